package rules

import (
	"testing"
	"time"
)

func TestIdleLimitFollowsReuse(t *testing.T) {
	for name, tc := range map[string]struct {
		callers  int
		from, to time.Duration // the limit lies between
	}{
		"few callers come back soon":      {3, 500 * ms, 30 * time.Second},
		"dozens come back within seconds": {30, 4 * time.Second, 30 * time.Second},
		"hundreds of callers seldom do":   {900, minIdleTimeout, time.Second},
	} {
		b := newBed(t, func(s *Settings) { s.MaxIdleTimeout, s.Callers = 30*time.Second, tc.callers })
		for i := range 400 {
			b.pass(100 * ms)
			id := b.arrive(0, func(q *Request) { q.Caller = uint32(i % tc.callers) })
			b.settle()
			b.m.RunEnded(b.now, id, OK, 50*ms)
		}
		if got := b.m.idleTimeout; got < tc.from || got > tc.to {
			t.Errorf("%s: idle limit %v, want %v to %v", name, got, tc.from, tc.to)
		}
	}
}

func TestSwampOfHandshakesLetsTablesFill(t *testing.T) {
	for name, tc := range map[string]struct {
		runnable float64
		want     time.Duration
	}{
		"a few reads":         {2, time.Second},
		"handshakes in heaps": {12, 30 * time.Second},
	} {
		b := newBed(t, func(s *Settings) { s.MaxIdleTimeout = 30 * time.Second })
		for i := range 400 {
			b.pass(100*ms, 1, tc.runnable)
			id := b.arrive(0, func(q *Request) { q.Caller = uint32(i) })
			b.settle()
			b.m.RunEnded(b.now, id, OK, 50*ms)
		}
		if b.m.idleTimeout > tc.want || b.m.idleTimeout < tc.want/4 {
			t.Errorf("%s: idle limit %v, want about %v", name, b.m.idleTimeout, tc.want)
		}
	}
}

// Callers' numbers are always new: what is remembered of them must end, by time
// and by count.
func TestCallersAreForgotten(t *testing.T) {
	b := newBed(t, nil)
	for i := range 2 * maxTrackedCallers {
		id := b.arrive(0, func(q *Request) { q.Caller = uint32(i) })
		b.m.CallerGone(b.now, id)
		b.settle()
	}
	if n := len(b.m.lastArrival); n != maxTrackedCallers {
		t.Errorf("%d callers remembered", n)
	}
	b.pass(70 * time.Second)
	if n := len(b.m.lastArrival); n != 0 {
		t.Errorf("%d callers remembered for a minute", n)
	}
}
