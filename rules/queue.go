package rules

const (
	maxWaitShare         = 0.30 // longest wait as a share of the shortest latency target: the rest is the run
	minRunsToTarget      = 1.4  // expected runs that must fit before the latency target, or a start is wasted
	minRunsToTargetIdle  = 0.7  // the same while cores are idle, at baseline latency: a try costs little then
	utilityOrderPressure = 0.2  // pressure from which slots go by cost-weighted utility instead of age
	drainRateWeight      = 0.06 // weight of a control step in the drain rate: about 1.5 s of memory
)

// queueBound is how many requests may be queued: the longest wait times the drain rate, and never fewer
// than the running limit.
func (m *Module) queueBound() int {
	if m.stalled {
		return 0
	}
	return int(max(m.runLimit, m.maxQueueWait.Seconds()*m.drainRate()))
}

// drainRate is how many queued requests get a slot, in requests a second: the rate observed while
// saturated, and until that has lasted for a control step, what the running limit would yield.
func (m *Module) drainRate() float64 {
	if _, latency := m.meanLatency(); m.drainSeconds < m.scaled(limitInterval).Seconds() && latency > 0 {
		return m.runLimit / latency
	}
	return m.drainSuccesses / max(m.drainSeconds, limitInterval.Seconds())
}

// updateDrainRate adds a control step of which saturatedShare was saturated.
func (m *Module) updateDrainRate(saturatedShare float64) {
	m.drainSeconds += m.saturatedSeconds - drainRateWeight*saturatedShare*m.drainSeconds
	m.drainSuccesses += m.saturatedSuccesses - drainRateWeight*saturatedShare*m.drainSuccesses
}

// countSaturation counts saturated time by batch, since a burst may be over within a control step.
func (m *Module) countSaturation() {
	if m.saturated {
		m.saturatedSeconds += (m.now - m.saturationCountedAt).Seconds()
	}
	m.saturationCountedAt = m.now
}

// mustLeaveQueue reports whether a queued request may not wait longer: its queue timeout is exceeded and
// no core is free (with a free core it was read late rather than queued), or it cannot meet its target.
func (m *Module) mustLeaveQueue(r *request) bool {
	return m.now > r.queueTimeoutAt && m.runningCount >= m.settings.Cores || m.cannotMeetTarget(r)
}

// cannotMeetTarget reports whether too little time is left for a run before the latency target.
func (m *Module) cannotMeetTarget(r *request) bool {
	if m.runningCount < m.settings.Cores && m.coresIdle(1) { // it would run faster and delay nothing
		return m.runsThatFit(r) < minRunsToTargetIdle/m.runLatency[r.Class].ratio()
	}
	return m.runsThatFit(r) < minRunsToTarget
}

// runsThatFit is how many expected runs fit before the latency target, or before the answer is due
// where a late answer has utility.
func (m *Module) runsThatFit(r *request) float64 {
	left := min(r.targetAt, r.dueAt-m.answerMargin()) - m.now
	if m.class(r).LateUtilityShare > 0 {
		left = r.dueAt - m.answerMargin() - m.now
	}
	return float64(left) / float64(max(m.expectedRun(r), 1))
}

// cannotMeetTargetAnywhere reports whether no other node could meet the latency target either: not even
// a run at baseline latency fits.
func (m *Module) cannotMeetTargetAnywhere(r *request) bool {
	return m.runsThatFit(r) < minRunsToTarget/m.runLatency[r.Class].ratio()
}

// exceedsQueueTimeout reports whether a newly queued request would exceed its queue timeout, because
// requests of higher utility would take the slots or evict it from a queue that is almost full.
func (m *Module) exceedsQueueTimeout(r *request) bool {
	return m.shedder != nil && m.saturated &&
		(m.pressure > utilityOrderPressure || 8*len(m.queue) > 7*m.queueBound()) &&
		float64(len(m.queue)) > m.runLimit &&
		m.shedder.ExceedsQueueTimeout(m.viewQueue(), m.weightedUtility(r), r.queueTimeoutAt-m.now)
}

// evictExcess evicts requests until the queue is within its bound: the least cost-weighted utility
// first, of equals the newest. Pools, where set, choose instead.
func (m *Module) evictExcess() {
	for bound := m.queueBound(); len(m.queue) > bound; {
		worst := len(m.queue) - 1
		for i := worst - 1; i >= 0 && m.pools == nil; i-- {
			if m.weightedUtility(m.queue[i]) < m.weightedUtility(m.queue[worst]) {
				worst = i
			}
		}
		if m.pools != nil {
			worst = m.pools.Evict(m.now, bound, m.viewQueue())
		}
		m.overloadCount++
		m.refuse(m.queue[worst], m.stopsRetries(m.queue[worst], false))
	}
}

// viewQueue returns the queue for Pools and Shedder. It is valid until the next call.
func (m *Module) viewQueue() []QueuedRequest {
	m.queueView = m.queueView[:0]
	for _, r := range m.queue {
		m.queueView = append(m.queueView, QueuedRequest{Class: r.Class, Utility: m.weightedUtility(r)})
	}
	return m.queueView
}

// Inspect returns the pools and the shedder of the settings, nil where there are none, and the queue.
// The queue is valid until the next event.
func (m *Module) Inspect() (Pools, []QueuedRequest, Shedder) {
	return m.pools, m.viewQueue(), m.shedder
}

// nextQueued is the index of the request that gets a free slot: the oldest, but under pressure the one
// of the highest cost-weighted utility, of equals the oldest. Pools, where set, choose instead; -1 is none.
func (m *Module) nextQueued(slots int) int {
	if m.pools != nil {
		return m.pools.Next(m.now, slots, m.runningCount, m.viewQueue())
	}
	best := 0
	for i := range m.queue {
		if m.pressure > utilityOrderPressure && m.weightedUtility(m.queue[i]) > m.weightedUtility(m.queue[best]) {
			best = i
		}
	}
	return best
}
