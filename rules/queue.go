package rules

const (
	waitShare    = 0.30 // max wait over the shortest aim: leaves most of it to run
	minRunShare  = 1.4  // usual runs that must fit before the aim, or a start is waste
	idleRunShare = 0.7  // the same while cores idle, at base speed: trying costs little
	worthFrom    = 0.2  // pressure from which slots go by worth instead of age
	rateAlpha    = 0.06 // weight of a step in the drain rate: about 1.5 s of memory
)

// bound is the count the line may hold: the longest wait times the learned
// drain rate, and never under the running limit.
func (m *Module) bound() int {
	if m.stalled {
		return 0
	}
	return int(max(m.limit, m.maxWait.Seconds()*m.drainRate()))
}

// drainRate is how many held requests a second get a slot: what was learned while
// slots were short, and until they were for a step, what full slots would yield.
func (m *Module) drainRate() float64 {
	if _, usual := m.ratio(); m.rateTime < m.span(stepEvery).Seconds() && usual > 0 {
		return m.limit / usual
	}
	return m.rateCount / max(m.rateTime, stepEvery.Seconds())
}

// pass counts the time in which slots were short: a burst may be over within a step.
func (m *Module) pass() {
	if m.waits {
		m.stood += (m.now - m.seen).Seconds()
	}
	m.seen = m.now
}

// tooOld reports whether a held request may not wait longer: its age limit has passed and no core is
// free (it was read late, not held), or what is left before its aim is too short to run it.
func (m *Module) tooOld(r *request) bool {
	return m.now > r.old && m.onCores >= m.set.Cores || m.hopeless(r)
}

func (m *Module) hopeless(r *request) bool {
	if m.onCores < m.set.Cores && m.coresIdle(1) { // it would run faster than usual, and costs nobody
		return m.leaves(r) < idleRunShare/m.runs[r.Class].slow()
	}
	return m.leaves(r) < minRunShare
}

// leaves is how many usual runs fit before an answer is worth little.
func (m *Module) leaves(r *request) float64 {
	left := min(r.aim, r.due-m.margin()) - m.now
	if m.class(r).LateUtilityShare > 0 {
		left = r.due - m.margin() - m.now
	}
	return float64(left) / float64(max(m.usualRun(r), 1))
}

// forlorn reports whether no other node could serve it either: not even a run at base speed fits.
func (m *Module) forlorn(r *request) bool { return m.leaves(r) < minRunShare/m.runs[r.Class].slow() }

// inVain: what earns more would fill the slots, or push r out of a full line, until r is too old to start.
func (m *Module) inVain(r *request) bool {
	return m.together != nil && m.waits && (m.pressure > worthFrom || 8*len(m.line) > 7*m.bound()) &&
		float64(len(m.line)) > m.limit && m.together.ExceedsQueueTimeout(m.seenByPools(), m.value(r), r.old-m.now)
}

// shed cuts the line to its bound: who earns least leaves, of equals the newest.
func (m *Module) shed() {
	for bound := m.bound(); len(m.line) > bound; {
		worst := len(m.line) - 1
		for i := worst - 1; i >= 0 && m.pools == nil; i-- {
			if m.value(m.line[i]) < m.value(m.line[worst]) {
				worst = i
			}
		}
		if m.pools != nil {
			worst = m.pools.Evict(m.now, bound, m.seenByPools())
		}
		m.overflow++
		m.turnAway(m.line[worst], m.endsWalk(m.line[worst], false))
	}
}

// seenByPools is the line as pools see it, until the next call.
func (m *Module) seenByPools() []QueuedRequest {
	m.waiting = m.waiting[:0]
	for _, r := range m.line {
		m.waiting = append(m.waiting, QueuedRequest{Class: r.Class, Utility: m.value(r)})
	}
	return m.waiting
}

// Inspect shows what NewPools and NewTogether made, and the line as pools see it, until the next event.
func (m *Module) Inspect() (Pools, []QueuedRequest, Shedder) {
	return m.pools, m.seenByPools(), m.together
}

// next is the place of the request that gets a free slot: the oldest, but while
// overflow lasts the one that earns most for its work, of equals the oldest.
// Pools, where set, say it instead; -1 is none.
func (m *Module) next(slots int) int {
	if m.pools != nil {
		return m.pools.Next(m.now, slots, m.onCores, m.seenByPools())
	}
	best := 0
	for i := range m.line {
		if m.pressure > worthFrom && m.value(m.line[i]) > m.value(m.line[best]) {
			best = i
		}
	}
	return best
}
