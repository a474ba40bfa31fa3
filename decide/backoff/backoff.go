// Package backoff decides when one of the program's own repeats may be made: a
// reconnect, or a report that failed. All of a fleet lose the same peer at the same
// moment, so that each waits a random time of its own, and none makes more than a
// budget over a window allows. It must never do I/O, read a clock or log.
//
// Invariants, held by TestProperties: a wait lies between the floor and the most;
// in any window no more repeats are made than the budget, whatever fails how often
// and whoever wants to be quick.
package backoff

import (
	"math/rand/v2"
	"time"
)

// steady is the least wait over the most once waits have grown to it: who comes back
// at a random moment between even waits is spread over all of one, while full jitter
// would bring half of them back in its first third.
const steady = 0.75

// Settings are one link's. All times are above 0.
type Settings struct {
	MinWait     time.Duration // the least wait after a failure
	InitialSpan time.Duration // the span of the first wait; it doubles with each failure
	MaxSpan     time.Duration // the most that the span grows to
	Window      time.Duration // the budget is for so long
	Budget      int           // tries in a window
}

// Backoff is one link's. It belongs to one goroutine.
type Backoff struct {
	set            Settings
	rnd            *rand.Rand
	span           time.Duration
	made           []time.Duration // the last tries, Budget of them at most
	BudgetExceeded int             // times that the budget made a try wait
}

// New returns a link's backoff; rnd must differ from node to node.
func New(set Settings, rnd *rand.Rand) *Backoff {
	return &Backoff{set: set, rnd: rnd, span: set.InitialSpan, made: make([]time.Duration, 0, max(set.Budget, 1))}
}

// Failed takes a failure and returns how long to wait before the next try: full
// jitter, from the floor to the span, which doubles; once it is the most, the upper
// part of it only. Where the budget is spent it
// is until the oldest try leaves the window.
func (b *Backoff) Failed(now time.Duration) time.Duration {
	wait := b.set.MinWait
	if b.span >= b.set.MaxSpan { // phases are random by now, and even waits keep them spread evenly
		wait = max(wait, time.Duration(steady*float64(b.set.MaxSpan)))
	}
	if over := b.span - wait; over > 0 {
		wait += time.Duration(b.rnd.Int64N(int64(over) + 1))
	}
	b.span = min(2*b.span, b.set.MaxSpan)
	if free := b.free(now + wait); free > now+wait {
		b.BudgetExceeded++
		wait = free - now
	}
	return wait
}

// Well takes a success: the next failure waits as the first did.
func (b *Backoff) Succeeded() { b.span = b.set.InitialSpan }

// Trying takes the word that a try is made now.
func (b *Backoff) TryStarted(now time.Duration) {
	if b.set.Budget <= 0 {
		return
	}
	if len(b.made) == b.set.Budget {
		copy(b.made, b.made[1:])
		b.made = b.made[:len(b.made)-1]
	}
	b.made = append(b.made, now)
}

// free is when the budget allows a try, at or after the time given.
func (b *Backoff) free(at time.Duration) time.Duration {
	if b.set.Budget <= 0 || len(b.made) < b.set.Budget {
		return at
	}
	return max(at, b.made[0]+b.set.Window)
}
