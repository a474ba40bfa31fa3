// Package door decides how fast a node takes what is no request: new connections and
// health checks. When all dispatchers restart, or probe ten times as often, these
// would take the core from the requests in hand; they are held to a share of it, in
// the order in which they come, and none is turned away. It must never do I/O, read a
// clock or log, and never hold a request on a connection that is open.
//
// Invariant, held by TestShare: in any span of time no more is let in than the share
// of that span, what may be saved up, and one event more.
package connlimit

import "time"

// Kind is what comes.
type Kind uint8

// The kinds.
const (
	Connect     Kind = iota // a connection is opened, with all that it takes until it is closed
	HealthCheck             // a health check is answered
	kinds
)

// Tuned values.
const (
	savedFor   = 100 * time.Millisecond // share of so long may be saved up: usual bursts pass as they come
	costAlpha  = 0.05                   // weight of an event in what its kind costs
	costLeast  = 5 * time.Microsecond   // less is not believed: the clock is coarse
	costMost   = 2 * time.Millisecond   // nor is more: the process stood still
	wholeTimes = 3                      // a connection's or check's whole cost over the part that is seen: its goroutines, its end
)

// first is what an event is taken to cost until some were seen: the part that is seen.
var first = [kinds]time.Duration{Connect: 25 * time.Microsecond, HealthCheck: 10 * time.Microsecond}

// Door is one node's. It belongs to one goroutine at a time.
type Limiter struct {
	share float64 // of a core
	left  float64 // seconds of it that may be used now; below 0 it is owed
	at    time.Duration
	cost  [kinds]float64 // seconds, smoothed

	Delayed    [kinds]int           // events that had to wait
	TotalDelay [kinds]time.Duration // and how long, all together
}

// New returns a door that lets take share of a core, above 0.
func New(now time.Duration, share float64) *Limiter {
	d := &Limiter{share: share, at: now, left: share * savedFor.Seconds()}
	for k := range d.cost {
		d.cost[k] = first[k].Seconds()
	}
	return d
}

// Took takes what an event took of the processor, as far as that was seen.
func (d *Limiter) Charge(k Kind, seen time.Duration) {
	x := min(max(seen, costLeast), costMost).Seconds()
	d.cost[k] += costAlpha * (x - d.cost[k])
}

// Ask takes an event that came and returns how long it is to wait.
func (d *Limiter) Delay(now time.Duration, k Kind) time.Duration {
	if now > d.at {
		d.left = min(d.left+d.share*(now-d.at).Seconds(), d.share*savedFor.Seconds())
		d.at = now
	}
	d.left -= wholeTimes * d.cost[k]
	if d.left >= 0 {
		return 0
	}
	wait := time.Duration(-d.left / d.share * float64(time.Second))
	d.Delayed[k]++
	d.TotalDelay[k] += wait
	return wait
}
