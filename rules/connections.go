package rules

import (
	"slices"
	"time"
)

const (
	idleWorth    = 6 * time.Second        // open and idle this long, a connection costs as much as a new one
	idleShortest = 250 * time.Millisecond // shortest idle limit considered: longer than a round trip
	idleSteps    = 8                      // idle limits considered, each twice the one before: up to 32 s
	idleSlack    = 0.1                    // cost over the least that a longer idle limit may have
	swampAlpha   = 0.005                  // weight of a beat in the swamp: 5 s, short ones pass by themselves
	swampOver    = 3.0                    // reads and new connections a core that count as a swamp
	doorHold     = 60 * time.Second       // from a swamp on tables may fill for so long: then tried again
	mostCallers  = 4096                   // callers remembered: a fleet has a tenth of it
	idleAlpha    = 0.02                   // weight of a request in what an idle limit costs: fifty requests
)

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
