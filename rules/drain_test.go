package rules

import (
	"fmt"
	"testing"
	"time"
)

func TestDrain(t *testing.T) {
	b := newBed(t, nil)
	a := b.arrive(3, nil)
	b.m.Drain(b.now, 4*time.Second)
	b.settle()
	// What comes within the grace still runs: to send callers elsewhere at the notice
	// would leave these cores idle just when the fleet is short of them.
	b.pass(1500*ms, 1, 1)
	b.wantNot("health true false")
	b.pass(400*ms, 1, 1)
	b.want("health true false") // in time for answers to tell it
	within := b.arrive(0, func(q *Request) { q.Age = 500 * ms })
	b.now += 200 * ms
	late := b.arrive(0, nil)
	b.settle()
	b.want(fmt.Sprint("run ", a), fmt.Sprint("run ", within), fmt.Sprint("refuse ", late), "health true false")
	b.wantNot(fmt.Sprint("run ", late))
	b.pass(1890*ms, 1, 1)
	b.want(fmt.Sprint("fail ", a)) // all answered before the stop
	if len(b.m.queue) != 0 {
		t.Errorf("%d still held at the stop", len(b.m.queue))
	}
}
