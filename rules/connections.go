package rules

import (
	"maps"
	"slices"
	"time"
)

const (
	idleCostUnit      = 6 * time.Second        // a connection idle for this long costs as much as opening one
	idleCostWeight    = 0.02                   // weight of a request in idleCost: about fifty requests
	idleCostTolerance = 0.1                    // excess over the least cost that a longer idle timeout may have
	minIdleTimeout    = 250 * time.Millisecond // longer than a round trip
	idleTimeoutCount  = 8                      // timeouts considered, each twice the one before: up to 32 s
	maxTrackedCallers = 4096                   // ten times the callers of a usual fleet

	handshakeLoadWeight = 0.005            // weight of a control interval: 5 s, as shorter storms pass
	stormHandshakeLoad  = 3.0              // reads and handshakes per core that count as a connection storm
	stormHoldTime       = 60 * time.Second // after a storm no idle connection is closed for so long
)

// observeCaller learns what each idle timeout would cost from the time since a caller's last request: a
// connection kept idle takes a part of the cores, and one closed too early must be opened anew.
func (m *Module) observeCaller(caller uint32) {
	last, known := m.lastArrival[caller]
	if !known {
		last = m.startedAt
	}
	// Caller numbers are not verified: an unknown caller may send any number of them.
	if known || len(m.lastArrival) < maxTrackedCallers {
		m.lastArrival[caller] = m.now
	}
	for i := range m.idleCost {
		idle, timeout := m.now-last, minIdleTimeout<<i
		cost := min(idle, timeout).Seconds() / idleCostUnit.Seconds()
		if idle > timeout || !known {
			cost++
		}
		m.idleCost[i] += idleCostWeight * (cost - m.idleCost[i])
	}
}

// updateIdleTimeout publishes the longest idle timeout that costs little more than the cheapest. After a
// connection storm it closes no idle connection: a full connection table refuses new ones at no cost.
func (m *Module) updateIdleTimeout() {
	if m.handshakeLoad > stormHandshakeLoad {
		m.stormUntil = m.now + stormHoldTime
	}
	timeout, least := m.settings.MaxIdleTimeout, slices.Min(m.idleCost[:])
	for i, cost := range m.idleCost {
		if cost < least+idleCostTolerance || m.now < m.stormUntil {
			timeout = min(minIdleTimeout<<i, m.settings.MaxIdleTimeout)
		}
	}
	if timeout != m.idleTimeout {
		m.idleTimeout = timeout
		m.host.SetIdleTimeout(timeout)
	}
}

// forgetCallers discards callers whose last request is longer ago than every timeout considered.
func (m *Module) forgetCallers() {
	oldest := m.now - minIdleTimeout<<idleTimeoutCount
	maps.DeleteFunc(m.lastArrival, func(_ uint32, at time.Duration) bool { return at < oldest })
}

// observeHandshakes smooths the number of runnable threads beyond the runs: mostly reads and handshakes.
func (m *Module) observeHandshakes() {
	m.handshakeLoad += handshakeLoadWeight *
		(max(m.runnable-float64(m.runningCount), 0)/float64(m.settings.Cores) - m.handshakeLoad)
}
