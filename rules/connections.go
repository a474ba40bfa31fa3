package rules

import "slices"

// hear learns from the time since a caller was last heard what each idle limit would cost: a
// connection held idle takes a part of the cores, and one closed too early is opened anew.
func (m *Module) hear(caller uint32) {
	last, known := m.lastFrom[caller]
	if !known {
		last = m.born
	}
	if known || len(m.lastFrom) < mostCallers { // a stranger may name any number
		m.lastFrom[caller] = m.now
	}
	for i := range m.idleCost {
		gap, limit := m.now-last, idleShortest<<i
		cost := min(gap, limit).Seconds() / idleWorth.Seconds()
		if gap > limit || !known {
			cost++
		}
		m.idleCost[i] += idleAlpha * (cost - m.idleCost[i])
	}
}

// closeIdle sets the longest idle limit that costs little more than the cheapest.
// In a swamp of handshakes it closes none: a full table refuses for nothing.
func (m *Module) closeIdle() {
	if m.swamp > swampOver {
		m.door = m.now + doorHold
	}
	limit, least := m.set.MaxIdleTimeout, slices.Min(m.idleCost[:])
	for i, cost := range m.idleCost {
		if cost < least+idleSlack || m.now < m.door {
			limit = min(idleShortest<<i, m.set.MaxIdleTimeout)
		}
	}
	if limit != m.idleSaid {
		m.idleSaid = limit
		m.host.SetIdleTimeout(limit)
	}
}
