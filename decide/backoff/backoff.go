// Package backoff decides when a failed connection attempt or a failed report of this
// program may be repeated. All nodes of a fleet lose the same peer at the same moment, so
// each node waits a random time, and a budget limits the attempts in any time window.
//
// The caller passes the current time and a random source in; the package does no I/O,
// reads no clock and writes no log. A Backoff is not safe for concurrent use.
//
// TestProperties checks the invariants: a wait lies between Settings.MinWait and
// Settings.MaxSpan, or lasts until the budget allows an attempt, and no window holds more
// attempts than the budget, however often attempts fail.
package backoff

import (
	"math/rand/v2"
	"time"
)

// maxSpanJitterFloor is the least wait as a share of MaxSpan once the span has grown to it.
// Clients that return at a random moment of nearly even waits are spread over a whole wait,
// while full jitter would bring half of them back in its first third.
const maxSpanJitterFloor = 0.75

// Settings are the settings of one connection. All times are above 0.
type Settings struct {
	MinWait     time.Duration // least wait after a failure
	InitialSpan time.Duration // jitter span of the first wait; it doubles with each failure
	MaxSpan     time.Duration // upper limit of the jitter span
	Window      time.Duration // length of the sliding window that Budget applies to
	Budget      int           // attempts in a window; 0 or less means no limit
}

// Backoff is the retry state of one connection. It belongs to one goroutine.
type Backoff struct {
	settings       Settings
	random         *rand.Rand
	span           time.Duration
	attempts       []time.Duration // start times of the latest attempts, at most Budget of them
	BudgetExceeded int             // number of attempts that the budget delayed
}

// New returns the backoff of one connection; random must be seeded differently on each node.
func New(settings Settings, random *rand.Rand) *Backoff {
	return &Backoff{
		settings: settings, random: random, span: settings.InitialSpan,
		attempts: make([]time.Duration, 0, max(settings.Budget, 1)),
	}
}

// Failed records a failure and returns how long to wait before the next attempt: full
// jitter between MinWait and the span, which doubles each time up to MaxSpan; from then on
// only the upper part of the span. Where the budget is used up, the wait lasts until the
// oldest attempt leaves the window.
func (b *Backoff) Failed(now time.Duration) time.Duration {
	wait := b.settings.MinWait
	if b.span >= b.settings.MaxSpan { // phases are random by now, and nearly even waits keep them spread
		wait = max(wait, time.Duration(maxSpanJitterFloor*float64(b.settings.MaxSpan)))
	}
	if over := b.span - wait; over > 0 {
		wait += time.Duration(b.random.Int64N(int64(over) + 1))
	}
	b.span = min(2*b.span, b.settings.MaxSpan)
	if allowed := b.allowedAt(now + wait); allowed > now+wait {
		b.BudgetExceeded++
		wait = allowed - now
	}
	return wait
}

// Succeeded records a success: the span starts again at InitialSpan. The attempts made so
// far still count against the budget.
func (b *Backoff) Succeeded() { b.span = b.settings.InitialSpan }

// AttemptStarted records that an attempt starts now; it counts against the budget.
func (b *Backoff) AttemptStarted(now time.Duration) {
	if b.settings.Budget <= 0 {
		return
	}
	if len(b.attempts) == b.settings.Budget {
		copy(b.attempts, b.attempts[1:])
		b.attempts = b.attempts[:len(b.attempts)-1]
	}
	b.attempts = append(b.attempts, now)
}

// allowedAt returns the first time, not before earliest, at which the budget allows an attempt.
func (b *Backoff) allowedAt(earliest time.Duration) time.Duration {
	if b.settings.Budget <= 0 || len(b.attempts) < b.settings.Budget {
		return earliest
	}
	return max(earliest, b.attempts[0]+b.settings.Window)
}
