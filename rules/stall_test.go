package rules

import (
	"fmt"
	"slices"
	"testing"
)

func TestStallRefusesAndRecovers(t *testing.T) {
	b := newBed(t, nil)
	for range 20 {
		id := b.arrive(0, nil)
		b.settle()
		b.now += 50 * ms
		b.m.RunEnded(b.now, id, OK, 50*ms)
		b.settle()
		b.pass(25*ms, 1, 1)
	}
	a, c := b.arrive(0, nil), b.arrive(0, nil)
	b.settle()
	b.pass(1100*ms, 1, 2)
	d := b.arrive(0, nil)
	b.settle()
	b.want(fmt.Sprint("refuse ", d), fmt.Sprint("advice ", d), "health true false")
	b.wantNot(fmt.Sprint("last ", d)) // another node can serve it
	b.m.RunEnded(b.now, a, Cancelled, 900*ms)
	b.m.RunEnded(b.now, c, Cancelled, 900*ms)
	b.acts = nil
	b.settle()
	if !slices.Equal(b.acts, []string{fmt.Sprint("run ", c), fmt.Sprint("run ", a)}) { // their aim is 1.4 s away, and both cores are free
		t.Errorf("after the stall: %v", b.acts)
	}
	b.m.RunEnded(b.now, a, OK, 50*ms)
	e := b.arrive(0, nil)
	b.settle()
	b.want(fmt.Sprint("run ", e))
}

func TestFirstRunsRaiseNoFalseStall(t *testing.T) {
	b := newBed(t, nil)
	for range 3 { // the first to end are the shortest
		id := b.arrive(0, nil)
		b.settle()
		b.m.RunEnded(b.now, id, OK, 10*ms)
	}
	b.arrive(0, nil)
	b.arrive(0, nil)
	b.settle()
	b.pass(1200*ms, 1, 2)
	if b.m.stalled {
		t.Error("three short runs made usual ones look stalled")
	}
}
