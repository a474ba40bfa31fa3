// Package connlimit paces new connections and health checks. When all dispatchers restart
// at once, or check health ten times as often as usual, handshakes and health checks would
// take the processor from the requests in progress. Package connlimit limits them to a share
// of one core: events are delayed in the order in which they come, and none is refused.
// Requests on open connections are not delayed.
//
// The caller passes the current time in; the package does no I/O, reads no clock and writes
// no log. A Limiter is a token bucket and needs one goroutine at a time.
//
// TestShare checks the invariant: in any span of time, the admitted events cost no more
// than the share of that span, the saved budget and one event more.
package connlimit

import "time"

// Kind is a kind of event that the limiter paces.
type Kind uint8

// Kinds of events.
const (
	Connect     Kind = iota // a new connection: accept, handshake and the later close
	HealthCheck             // an answered health check
	numKinds
)

const (
	burstWindow   = 100 * time.Millisecond // the budget of this time can be saved up, so that usual bursts pass undelayed
	costSmoothing = 0.05                   // weight of one event in the moving average of its kind's cost
	minCost       = 5 * time.Microsecond   // shorter measurements are below the clock's resolution
	maxCost       = 2 * time.Millisecond   // longer measurements mean that the process was not scheduled
	fullCostRatio = 3                      // full cost over the measured part; goroutines and closing are not measured
)

// initialCost is the assumed measured cost of an event until Charge has averaged in real ones.
var initialCost = [numKinds]time.Duration{Connect: 25 * time.Microsecond, HealthCheck: 10 * time.Microsecond}

// Limiter paces the events of one node. It may be used by one goroutine at a time.
type Limiter struct {
	share     float64 // of one core
	budget    float64 // seconds of processor time that may be used now; negative while events are delayed
	updatedAt time.Duration
	cost      [numKinds]float64 // measured seconds an event, moving average

	Delayed    [numKinds]int           // number of delayed events
	TotalDelay [numKinds]time.Duration // sum of their delays
}

// New returns a limiter that allows events a share, above 0, of one core.
func New(now time.Duration, share float64) *Limiter {
	l := &Limiter{share: share, updatedAt: now, budget: share * burstWindow.Seconds()}
	for k := range l.cost {
		l.cost[k] = initialCost[k].Seconds()
	}
	return l
}

// Charge records the measured processor time of an event of kind k. It updates the average
// cost that later calls of Delay use.
func (l *Limiter) Charge(k Kind, measured time.Duration) {
	x := min(max(measured, minCost), maxCost).Seconds()
	l.cost[k] += costSmoothing * (x - l.cost[k])
}

// Delay records an event of kind k that arrives now, and returns how long it must wait.
func (l *Limiter) Delay(now time.Duration, k Kind) time.Duration {
	if now > l.updatedAt {
		l.budget = min(l.budget+l.share*(now-l.updatedAt).Seconds(), l.share*burstWindow.Seconds())
		l.updatedAt = now
	}
	l.budget -= fullCostRatio * l.cost[k]
	if l.budget >= 0 {
		return 0
	}
	wait := time.Duration(-l.budget / l.share * float64(time.Second))
	l.Delayed[k]++
	l.TotalDelay[k] += wait
	return wait
}
