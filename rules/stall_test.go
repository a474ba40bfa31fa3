package rules

import (
	"fmt"
	"slices"
	"testing"
)

func TestStallRefusesAndRecovers(t *testing.T) {
	h := newHarness(t, nil)
	for range 20 {
		id := h.arrive(0, nil)
		h.finishBatch()
		h.now += 50 * ms
		h.m.RunEnded(h.now, id, OK, 50*ms)
		h.finishBatch()
		h.advance(25*ms, 1, 1)
	}
	a, c := h.arrive(0, nil), h.arrive(0, nil)
	h.finishBatch()
	h.advance(1100*ms, 1, 2)
	d := h.arrive(0, nil)
	h.finishBatch()
	h.want(fmt.Sprint("refuse ", d), fmt.Sprint("retry-after ", d), "health true false")
	h.wantNot(fmt.Sprint("stop-retrying ", d)) // another node can serve it
	h.m.RunEnded(h.now, a, Cancelled, 900*ms)
	h.m.RunEnded(h.now, c, Cancelled, 900*ms)
	h.actions = nil
	h.finishBatch()
	// Their latency target is 1.4 s away, and both cores are free.
	if !slices.Equal(h.actions, []string{fmt.Sprint("run ", c), fmt.Sprint("run ", a)}) {
		t.Errorf("actions after the preemptions: %v", h.actions)
	}
	h.m.RunEnded(h.now, a, OK, 50*ms)
	e := h.arrive(0, nil)
	h.finishBatch()
	h.want(fmt.Sprint("run ", e))
}

func TestFirstRunsCauseNoFalseStall(t *testing.T) {
	h := newHarness(t, nil)
	for range 3 { // the first runs to end are the shortest
		id := h.arrive(0, nil)
		h.finishBatch()
		h.m.RunEnded(h.now, id, OK, 10*ms)
	}
	h.arrive(0, nil)
	h.arrive(0, nil)
	h.finishBatch()
	h.advance(1200*ms, 1, 2)
	if h.m.stalled {
		t.Error("after three short runs, usual ones count as a stall")
	}
}
