package rules

import (
	"fmt"
	"testing"
	"time"
)

func TestDrain(t *testing.T) {
	h := newHarness(t, nil)
	a := h.arrive(3, nil)
	h.m.Drain(h.now, 4*time.Second)
	h.finishBatch()
	// Requests that arrive within the grace still run: sending callers elsewhere from the start of the drain
	// would leave these cores idle just when the fleet is short of them.
	h.advance(1500*ms, 1, 1)
	h.wantNot("health true false")
	h.advance(400*ms, 1, 1)
	h.want("health true false") // early enough for answers to carry it
	within := h.arrive(0, func(q *Request) { q.Age = 500 * ms })
	h.now += 200 * ms
	late := h.arrive(0, nil)
	h.finishBatch()
	h.want(fmt.Sprint("run ", a), fmt.Sprint("run ", within), fmt.Sprint("refuse ", late), "health true false")
	h.wantNot(fmt.Sprint("run ", late))
	h.advance(1890*ms, 1, 1)
	h.want(fmt.Sprint("fail ", a)) // all answered before the stop
	if len(h.m.queue) != 0 {
		t.Errorf("%d still queued at the stop", len(h.m.queue))
	}
}
