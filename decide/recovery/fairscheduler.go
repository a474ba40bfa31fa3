// This file owns whose turn it is to be given a whole answer, after all proxies lost
// the service at once and come back together: so many at a time, whoever was served
// longest ago first, and nobody who takes nothing keeps others waiting.

package recovery

import (
	"cmp"
	"slices"
	"time"
)

// Turns is a bounded number of turns. It belongs to one goroutine at a time.
type FairScheduler struct {
	limit      int           // turns at once
	maxHold    time.Duration // after which one that was not given back counts as over
	active     map[uint64]time.Duration
	queue      []waiter
	lastServed map[string]time.Duration // when a name was served
	lastTicket uint64

	Overdue int // turns that were not given back in time
}

type waiter struct {
	ticket     uint64
	name       string
	lastServed time.Duration // -1 = never
}

const maxServedNames = 20_000 // names whose last turn is remembered

// NewTurns returns turns for most at once, each for hold at most.
func NewFairScheduler(most int, hold time.Duration) *FairScheduler {
	return &FairScheduler{limit: max(most, 1), maxHold: hold, active: map[uint64]time.Duration{}, lastServed: map[string]time.Duration{}}
}

// Ask asks for a turn for a name and returns its number; Step grants it.
func (t *FairScheduler) Request(name string) uint64 {
	t.lastTicket++
	a := waiter{ticket: t.lastTicket, name: name, lastServed: -1}
	if at, known := t.lastServed[name]; known {
		a.lastServed = at
	}
	i, _ := slices.BinarySearchFunc(t.queue, a, func(x, y waiter) int {
		return cmp.Or(cmp.Compare(x.lastServed, y.lastServed), cmp.Compare(x.ticket, y.ticket))
	})
	t.queue = slices.Insert(t.queue, i, a)
	return a.ticket
}

// Done gives a turn back, or an ask that was not granted yet.
func (t *FairScheduler) Release(turn uint64) {
	if _, held := t.active[turn]; held {
		delete(t.active, turn)
		return
	}
	t.queue = slices.DeleteFunc(t.queue, func(a waiter) bool { return a.ticket == turn })
}

// Step grants what is free, and returns the turns granted and when to step again at
// the latest, 0 if nobody waits.
func (t *FairScheduler) Grant(now time.Duration) (granted []uint64, again time.Duration) {
	for turn, since := range t.active {
		if now-since >= t.maxHold {
			delete(t.active, turn)
			t.Overdue++
		}
	}
	for len(t.queue) > 0 && len(t.active) < t.limit {
		a := t.queue[0]
		t.queue = t.queue[1:]
		t.active[a.ticket] = now
		if _, known := t.lastServed[a.name]; known || len(t.lastServed) < maxServedNames {
			t.lastServed[a.name] = now
		}
		granted = append(granted, a.ticket)
	}
	if len(t.queue) == 0 {
		t.queue = nil
		return granted, 0
	}
	again = t.maxHold
	for _, since := range t.active {
		again = min(again, max(t.maxHold-(now-since), time.Millisecond))
	}
	return granted, again
}

// Waiting is how many wait for a turn.
func (t *FairScheduler) Waiting() int { return len(t.queue) }
