package rules

import (
	"testing"
	"time"
)

func TestLimitGrowsOnIdleCoresAndShrinksUnderContention(t *testing.T) {
	h := newHarness(t, nil)
	for range 4 {
		h.arrive(0, nil)
	}
	h.finishBatch()
	h.advance(300*ms, 0.5, 1)
	if h.m.runLimit <= 2 {
		t.Fatalf("limit %v did not grow with idle cores and queued requests", h.m.runLimit)
	}
	h.m.runLatency[0] = latencyEstimate{mean: 1, baseline: 0.2, samples: 20}
	h.advance(5*time.Second, 1, 9)
	if h.m.runLimit != 2 {
		t.Errorf("limit %v, want the core count after a time of slow runs", h.m.runLimit)
	}
}

func TestConcurrencyCeiling(t *testing.T) {
	for _, cold := range []bool{false, true} {
		h := newHarness(t, func(s *Settings) { s.ColdStart = cold })
		h.m.runLimit = 1000
		for range 60 {
			h.arrive(0, nil)
		}
		h.finishBatch()
		most := 16
		if cold {
			most = 4 // 2 cores x (1 + 7 x 0.2) = 4.8, less the margin
		}
		if got := h.count("run "); got > most || got < 2 {
			t.Errorf("cold %v: %d runs, want 2 to %d", cold, got, most)
		}
	}
}

func TestLimitDoesNotShrinkOnIdleCores(t *testing.T) {
	h := newHarness(t, nil)
	h.m.runLimit = 8
	h.m.runLatency[0] = latencyEstimate{mean: 1, baseline: 0.2, samples: 20}
	h.advance(2*time.Second, 0.5, 1)
	if h.m.runLimit != 8 {
		t.Errorf("limit %v shrank on idle cores", h.m.runLimit)
	}
}

// The gauge of busy cores is a mean over a second or so, that of runnable threads is current. In a burst
// after a quiet time the first still says idle while the second shows contention; growth by the first alone
// would raise the limit to the concurrency that the node barely survives. The risk is a gauge of runnable
// threads that counts threads which want no core.
func TestLaggingBusyShareDoesNotGrowLimit(t *testing.T) {
	for _, tc := range []struct {
		runnable float64
		grows    bool
	}{{1, true}, {3, true}, {8, false}} { // two cores
		h := newHarness(t, nil)
		for range 30 {
			h.arrive(0, nil)
		}
		h.finishBatch()
		h.advance(time.Second, 0.6, tc.runnable)
		if grew := h.m.runLimit > 2; grew != tc.grows {
			t.Errorf("%.0f runnable threads on two cores: limit %.1f", tc.runnable, h.m.runLimit)
		}
	}
}
