package rules

import (
	"fmt"
	"testing"
	"time"
)

func TestHintMovesTheUsualRun(t *testing.T) {
	b := newBed(t, nil)
	for i := range 60 {
		hint := time.Duration(100+100*(i%4)) * ms
		id := b.arrive(0, func(q *Request) { q.WorkHint = hint })
		b.settle()
		b.m.RunEnded(b.now, id, OK, 200*ms+2*hint) // a wait that does not grow, and half speed
		b.settle()
	}
	small := b.m.expectedRun(&request{Request: Request{WorkHint: 100 * ms}})
	big := b.m.expectedRun(&request{Request: Request{WorkHint: 1200 * ms}})
	if small > 600*ms || big < 1800*ms {
		t.Errorf("usual runs %v and %v, want about 400 ms and 2.6 s", small, big)
	}
	id := b.arrive(0, func(q *Request) { q.WorkHint = 1200 * ms }) // 3.6 s with room, and the aim is 2.5 s
	b.pass(25*ms, 1, 9)
	b.want(fmt.Sprint("refuse ", id))
}

func TestRunsStoppedAtTheirAimTeach(t *testing.T) {
	b := newBed(t, nil)
	for range 20 {
		b.m.runLatency[0].observe(200*ms, runLatencyWeight)
	}
	for range 2 {
		b.arrive(0, nil)
	}
	b.settle()
	b.pass(2600*ms, 1, 2)
	b.want("fail 1", "halt 1", "fail 2")
	if got := b.m.runLatency[0].mean; got < 0.4 {
		t.Errorf("usual run %.2f s after two that took over 2.5 s", got)
	}
}
