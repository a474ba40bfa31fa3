package rules

import (
	"fmt"
	"testing"
	"time"
)

func TestWorkHintMovesExpectedRun(t *testing.T) {
	h := newHarness(t, nil)
	for i := range 60 {
		hint := time.Duration(100+100*(i%4)) * ms
		id := h.arrive(0, func(q *Request) { q.WorkHint = hint })
		h.finishBatch()
		h.m.RunEnded(h.now, id, OK, 200*ms+2*hint) // a constant wait, and half speed
		h.finishBatch()
	}
	small := h.m.expectedRun(&request{Request: Request{WorkHint: 100 * ms}})
	big := h.m.expectedRun(&request{Request: Request{WorkHint: 1200 * ms}})
	if small > 600*ms || big < 1800*ms {
		t.Errorf("expected runs %v and %v, want about 400 ms and 2.6 s", small, big)
	}
	// 2.6 s, times 1.4 is 3.6 s; the latency target is 2.5 s.
	id := h.arrive(0, func(q *Request) { q.WorkHint = 1200 * ms })
	h.advance(25*ms, 1, 9)
	h.want(fmt.Sprint("refuse ", id))
}

func TestRunsPreemptedAtTargetAreObserved(t *testing.T) {
	h := newHarness(t, nil)
	for range 20 {
		h.m.runLatency[0].observe(200*ms, runLatencyWeight)
	}
	for range 2 {
		h.arrive(0, nil)
	}
	h.finishBatch()
	h.advance(2600*ms, 1, 2)
	h.want("fail 1", "preempt 1", "fail 2")
	if got := h.m.runLatency[0].mean; got < 0.4 {
		t.Errorf("mean run %.2f s after two that took over 2.5 s", got)
	}
}
