package rules

import (
	"maps"
	"slices"
	"time"
)

const (
	idleCostUnit        = 6 * time.Second        // open and idle this long, a connection costs as much as a new one
	minIdleTimeout      = 250 * time.Millisecond // shortest idle limit considered: longer than a round trip
	idleTimeoutCount    = 8                      // idle limits considered, each twice the one before: up to 32 s
	idleCostTolerance   = 0.1                    // cost over the least that a longer idle limit may have
	handshakeLoadWeight = 0.005                  // weight of a beat in the swamp: 5 s, short ones pass by themselves
	stormHandshakeLoad  = 3.0                    // reads and new connections a core that count as a swamp
	stormHoldTime       = 60 * time.Second       // from a swamp on tables may fill for so long: then tried again
	maxTrackedCallers   = 4096                   // callers remembered: a fleet has a tenth of it
	idleCostWeight      = 0.02                   // weight of a request in what an idle limit costs: fifty requests
)

// hear learns from the time since a caller was last heard what each idle limit would cost: a
// connection held idle takes a part of the cores, and one closed too early is opened anew.
func (m *Module) observeCaller(caller uint32) {
	last, known := m.lastArrival[caller]
	if !known {
		last = m.startedAt
	}
	if known || len(m.lastArrival) < maxTrackedCallers { // a stranger may name any number
		m.lastArrival[caller] = m.now
	}
	for i := range m.idleCost {
		gap, limit := m.now-last, minIdleTimeout<<i
		cost := min(gap, limit).Seconds() / idleCostUnit.Seconds()
		if gap > limit || !known {
			cost++
		}
		m.idleCost[i] += idleCostWeight * (cost - m.idleCost[i])
	}
}

// closeIdle sets the longest idle limit that costs little more than the cheapest.
// In a swamp of handshakes it closes none: a full table refuses for nothing.
func (m *Module) updateIdleTimeout() {
	if m.handshakeLoad > stormHandshakeLoad {
		m.stormUntil = m.now + stormHoldTime
	}
	limit, least := m.settings.MaxIdleTimeout, slices.Min(m.idleCost[:])
	for i, cost := range m.idleCost {
		if cost < least+idleCostTolerance || m.now < m.stormUntil {
			limit = min(minIdleTimeout<<i, m.settings.MaxIdleTimeout)
		}
	}
	if limit != m.idleTimeout {
		m.idleTimeout = limit
		m.host.SetIdleTimeout(limit)
	}
}

func (m *Module) forgetCallers() {
	old := m.now - minIdleTimeout<<idleTimeoutCount
	maps.DeleteFunc(m.lastArrival, func(_ uint32, at time.Duration) bool { return at < old })
}

func (m *Module) observeHandshakes() {
	m.handshakeLoad += handshakeLoadWeight * (max(m.runnable-float64(m.runningCount), 0)/float64(m.settings.Cores) - m.handshakeLoad)
}
