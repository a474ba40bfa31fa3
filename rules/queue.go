package rules

const (
	maxWaitShare         = 0.30 // max wait over the shortest aim: leaves most of it to run
	minRunsToTarget      = 1.4  // usual runs that must fit before the aim, or a start is waste
	minRunsToTargetIdle  = 0.7  // the same while cores idle, at base speed: trying costs little
	utilityOrderPressure = 0.2  // pressure from which slots go by worth instead of age
	drainRateWeight      = 0.06 // weight of a step in the drain rate: about 1.5 s of memory
)

// bound is the count the line may hold: the longest wait times the learned
// drain rate, and never under the running limit.
func (m *Module) queueBound() int {
	if m.stalled {
		return 0
	}
	return int(max(m.runLimit, m.maxQueueWait.Seconds()*m.drainRate()))
}

// drainRate is how many held requests a second get a slot: what was learned while
// slots were short, and until they were for a step, what full slots would yield.
func (m *Module) drainRate() float64 {
	if _, usual := m.meanLatency(); m.drainSeconds < m.scaled(limitInterval).Seconds() && usual > 0 {
		return m.runLimit / usual
	}
	return m.drainSuccesses / max(m.drainSeconds, limitInterval.Seconds())
}

func (m *Module) updateDrainRate(share float64) {
	m.drainSeconds += m.saturatedSeconds - drainRateWeight*share*m.drainSeconds
	m.drainSuccesses += m.saturatedSuccesses - drainRateWeight*share*m.drainSuccesses
}

// pass counts the time in which slots were short: a burst may be over within a step.
func (m *Module) countSaturation() {
	if m.saturated {
		m.saturatedSeconds += (m.now - m.saturationCountedAt).Seconds()
	}
	m.saturationCountedAt = m.now
}

// tooOld reports whether a held request may not wait longer: its age limit has passed and no core is
// free (it was read late, not held), or what is left before its aim is too short to run it.
func (m *Module) mustLeaveQueue(r *request) bool {
	return m.now > r.queueTimeoutAt && m.runningCount >= m.settings.Cores || m.cannotMeetTarget(r)
}

func (m *Module) cannotMeetTarget(r *request) bool {
	if m.runningCount < m.settings.Cores && m.coresIdle(1) { // it would run faster than usual, and costs nobody
		return m.runsThatFit(r) < minRunsToTargetIdle/m.runLatency[r.Class].ratio()
	}
	return m.runsThatFit(r) < minRunsToTarget
}

// leaves is how many usual runs fit before an answer is worth little.
func (m *Module) runsThatFit(r *request) float64 {
	left := min(r.targetAt, r.dueAt-m.answerMargin()) - m.now
	if m.class(r).LateUtilityShare > 0 {
		left = r.dueAt - m.answerMargin() - m.now
	}
	return float64(left) / float64(max(m.expectedRun(r), 1))
}

// forlorn reports whether no other node could serve it either: not even a run at base speed fits.
func (m *Module) cannotMeetTargetAnywhere(r *request) bool {
	return m.runsThatFit(r) < minRunsToTarget/m.runLatency[r.Class].ratio()
}

// inVain: what earns more would fill the slots, or push r out of a full line, until r is too old to start.
func (m *Module) exceedsQueueTimeout(r *request) bool {
	return m.shedder != nil && m.saturated && (m.pressure > utilityOrderPressure || 8*len(m.queue) > 7*m.queueBound()) &&
		float64(len(m.queue)) > m.runLimit && m.shedder.ExceedsQueueTimeout(m.viewQueue(), m.weightedUtility(r), r.queueTimeoutAt-m.now)
}

// shed cuts the line to its bound: who earns least leaves, of equals the newest.
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

// seenByPools is the line as pools see it, until the next call.
func (m *Module) viewQueue() []QueuedRequest {
	m.queueView = m.queueView[:0]
	for _, r := range m.queue {
		m.queueView = append(m.queueView, QueuedRequest{Class: r.Class, Utility: m.weightedUtility(r)})
	}
	return m.queueView
}

// Inspect shows what NewPools and NewTogether made, and the line as pools see it, until the next event.
func (m *Module) Inspect() (Pools, []QueuedRequest, Shedder) {
	return m.pools, m.viewQueue(), m.shedder
}

// next is the place of the request that gets a free slot: the oldest, but while
// overflow lasts the one that earns most for its work, of equals the oldest.
// Pools, where set, say it instead; -1 is none.
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
