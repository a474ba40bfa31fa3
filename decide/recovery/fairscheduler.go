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
	most  int           // turns at once
	hold  time.Duration // after which one that was not given back counts as over
	held  map[uint64]time.Duration
	queue []asker
	last  map[string]time.Duration // when a name was served
	seq   uint64

	Overdue int // turns that were not given back in time
}

type asker struct {
	turn   uint64
	name   string
	served time.Duration // -1 = never
}

const mostServed = 20_000 // names whose last turn is remembered

// NewTurns returns turns for most at once, each for hold at most.
func NewFairScheduler(most int, hold time.Duration) *FairScheduler {
	return &FairScheduler{most: max(most, 1), hold: hold, held: map[uint64]time.Duration{}, last: map[string]time.Duration{}}
}

// Ask asks for a turn for a name and returns its number; Step grants it.
func (t *FairScheduler) Request(name string) uint64 {
	t.seq++
	a := asker{turn: t.seq, name: name, served: -1}
	if at, known := t.last[name]; known {
		a.served = at
	}
	i, _ := slices.BinarySearchFunc(t.queue, a, func(x, y asker) int {
		return cmp.Or(cmp.Compare(x.served, y.served), cmp.Compare(x.turn, y.turn))
	})
	t.queue = slices.Insert(t.queue, i, a)
	return a.turn
}

// Done gives a turn back, or an ask that was not granted yet.
func (t *FairScheduler) Release(turn uint64) {
	if _, held := t.held[turn]; held {
		delete(t.held, turn)
		return
	}
	t.queue = slices.DeleteFunc(t.queue, func(a asker) bool { return a.turn == turn })
}

// Step grants what is free, and returns the turns granted and when to step again at
// the latest, 0 if nobody waits.
func (t *FairScheduler) Grant(now time.Duration) (granted []uint64, again time.Duration) {
	for turn, since := range t.held {
		if now-since >= t.hold {
			delete(t.held, turn)
			t.Overdue++
		}
	}
	for len(t.queue) > 0 && len(t.held) < t.most {
		a := t.queue[0]
		t.queue = t.queue[1:]
		t.held[a.turn] = now
		if _, known := t.last[a.name]; known || len(t.last) < mostServed {
			t.last[a.name] = now
		}
		granted = append(granted, a.turn)
	}
	if len(t.queue) == 0 {
		t.queue = nil
		return granted, 0
	}
	again = t.hold
	for _, since := range t.held {
		again = min(again, max(t.hold-(now-since), time.Millisecond))
	}
	return granted, again
}

// Waiting is how many wait for a turn.
func (t *FairScheduler) Waiting() int { return len(t.queue) }
