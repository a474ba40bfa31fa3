package rules

import (
	"testing"
	"time"
)

func TestIdleTimeoutFollowsReuse(t *testing.T) {
	for name, tc := range map[string]struct {
		callers  int
		from, to time.Duration // range of the idle timeout
	}{
		"few callers return soon":      {3, 500 * ms, 30 * time.Second},
		"dozens return within seconds": {30, 4 * time.Second, 30 * time.Second},
		"hundreds seldom return":       {900, minIdleTimeout, time.Second},
	} {
		h := newHarness(t, func(s *Settings) { s.MaxIdleTimeout, s.Callers = 30*time.Second, tc.callers })
		for i := range 400 {
			h.advance(100 * ms)
			id := h.arrive(0, func(q *Request) { q.Caller = uint32(i % tc.callers) })
			h.finishBatch()
			h.m.RunEnded(h.now, id, OK, 50*ms)
		}
		if got := h.m.idleTimeout; got < tc.from || got > tc.to {
			t.Errorf("%s: idle timeout %v, want %v to %v", name, got, tc.from, tc.to)
		}
	}
}

func TestConnectionStormKeepsIdleConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		runnable float64
		want     time.Duration
	}{
		"a few reads":        {2, time.Second},
		"a connection storm": {12, 30 * time.Second},
	} {
		h := newHarness(t, func(s *Settings) { s.MaxIdleTimeout = 30 * time.Second })
		for i := range 400 {
			h.advance(100*ms, 1, tc.runnable)
			id := h.arrive(0, func(q *Request) { q.Caller = uint32(i) })
			h.finishBatch()
			h.m.RunEnded(h.now, id, OK, 50*ms)
		}
		if h.m.idleTimeout > tc.want || h.m.idleTimeout < tc.want/4 {
			t.Errorf("%s: idle timeout %v, want about %v", name, h.m.idleTimeout, tc.want)
		}
	}
}

// Caller numbers may always be new: the callers that are tracked must be bounded by time and by number.
func TestCallersAreForgotten(t *testing.T) {
	h := newHarness(t, nil)
	for i := range 2 * maxTrackedCallers {
		id := h.arrive(0, func(q *Request) { q.Caller = uint32(i) })
		h.m.CallerGone(h.now, id)
		h.finishBatch()
	}
	if n := len(h.m.lastArrival); n != maxTrackedCallers {
		t.Errorf("%d callers tracked", n)
	}
	h.advance(70 * time.Second)
	if n := len(h.m.lastArrival); n != 0 {
		t.Errorf("%d callers tracked after a minute without requests", n)
	}
}
