package rules

import (
	"fmt"
	"testing"
	"time"
)

func TestRetryAfterAndCreditFollowPressure(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.LoadFeedback = FeedbackCredit })
	for range 4 {
		h.arrive(0, nil)
	}
	h.finishBatch()
	h.m.runLimit, h.m.drainSeconds, h.m.drainSuccesses = 12, 1, 20
	h.m.publishFeedback()
	calm, credit := h.m.retryAfter(), h.publishedLoad
	h.m.arrivalCount, h.m.overloadCount, h.m.pressure = 100, 60, 0.9
	h.m.publishFeedback()
	if got := h.m.retryAfter(); got <= calm || got > time.Second {
		t.Errorf("advice %v under pressure, %v without, 1 s at most", got, calm)
	}
	if h.publishedLoad >= credit {
		t.Errorf("credit %v under pressure, %v without", h.publishedLoad, credit)
	}
}

func TestFullCreditWithoutPressure(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.LoadFeedback = FeedbackCredit })
	h.m.publishFeedback()
	if want := h.m.runLimit + float64(h.m.queueBound()); h.publishedLoad != want {
		t.Errorf("credit %v, want the whole room %v: one caller may carry most of the traffic", h.publishedLoad, want)
	}
}

func TestStaleArrivalsMakeUnhealthy(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.LoadFeedback = FeedbackWeight })
	for range 40 {
		h.arrive(0, func(q *Request) { q.Age = 1400 * ms })
		h.finishBatch()
	}
	h.advance(300*ms, 1, 2)
	h.want("health true false")
	if h.publishedLoad != 0 {
		t.Errorf("weight %v while all that is read is stale", h.publishedLoad)
	}
	h.advance(5*time.Second, 0, 0)
	h.want("health true true") // tried again after a while without reads
}

func TestWeightAndLevelFollowPressure(t *testing.T) {
	for kind, want := range map[LoadFeedback]float64{FeedbackWeight: 1 - pressureWeightShare*0.5, FeedbackLevel: 0.5} {
		h := newHarness(t, func(s *Settings) { s.LoadFeedback = kind })
		h.m.pressure = 0.5 + pressureDecrease
		h.arrive(0, nil)
		h.arrive(0, nil)
		h.arrive(0, nil)
		h.finishBatch() // the cores are taken and one waits: nothing is free
		h.m.publishFeedback()
		if diff := h.publishedLoad - want; diff > 0.01 || diff < -0.01 {
			t.Errorf("free value %v says %v at half pressure, want %v", kind, h.publishedLoad, want)
		}
	}
}

func TestStopsRetriesUnderPressure(t *testing.T) {
	for name, tc := range map[string]struct {
		pressure float64
		retry    bool
		unmarked bool
		again    float64 // share of marked retries read before
		last     bool
	}{
		"a passing overflow":               {0.1, true, false, 0.3, false},
		"a retry under lasting overflow":   {0.4, true, false, 0.3, true},
		"a first try under the same":       {0.4, false, false, 0.3, false},
		"what may be a retry":              {0.4, false, true, 0, true},
		"a first try under heavy overflow": {0.7, false, false, 0.3, true},
		"this node alone is in overflow":   {0.7, false, false, 0.02, false},
		"unmarked, a passing overflow":     {0.1, false, true, 0, false},
	} {
		h := newHarness(t, func(s *Settings) { s.RetriesMarked = !tc.unmarked })
		h.m.pressure, h.m.retryShare = tc.pressure, tc.again
		for range 12 {
			h.arrive(0, func(q *Request) { q.Retry = tc.retry })
		}
		h.finishBatch()
		if refused, last := h.count("refuse "), h.count("last "); refused == 0 || (last == refused) != tc.last {
			t.Errorf("%s: %d refused, %d of them last, want last %v", name, refused, last, tc.last)
		}
	}
}

// What is too old when it is read is pressure as what finds a full line: a node that only
// reads what waited too long unread refuses as much, and would say that it has room.
func TestTimedOutOnArrivalRaisesPressure(t *testing.T) {
	for _, age := range []time.Duration{0, 1100 * ms} {
		h := newHarness(t, nil)
		for range 20 {
			on := []RequestID{h.arrive(3, nil), h.arrive(3, nil)} // both cores taken
			h.finishBatch()
			id := h.arrive(0, func(q *Request) { q.Age = age })
			h.finishBatch()
			for _, r := range append(on, id) {
				h.m.RunEnded(h.now, r, OK, 5*ms)
			}
			h.advance(50*ms, 1, 1)
		}
		if pressure := h.m.pressure > 0.3; pressure != (age > 0) {
			t.Errorf("read at an age of %v: pressure %v", age, h.m.pressure)
		}
	}
}

func TestStaleShareDecaysOnlyWithoutArrivals(t *testing.T) {
	for name, reads := range map[string]bool{"with reads": true, "without": false} {
		h := newHarness(t, nil)
		h.m.staleShare = 1
		for range 10 {
			if reads {
				h.arrive(0, func(q *Request) { q.Age = 2 * time.Second })
			}
			h.advance(feedbackInterval)
		}
		if faded := h.m.staleShare < 0.9; faded == reads {
			t.Errorf("%s: stale share %v", name, h.m.staleShare)
		}
	}
}

// A node that has become slow refuses at once what it can't finish; another node
// may well serve that, so its caller must not be told to try no other. Only what
// has no time left for a run at base speed is lost everywhere. It could harm
// where all nodes are slow for the same reason: their callers walk once more.
func TestSlowNodeSendsFreshRequestsElsewhere(t *testing.T) {
	h := newHarness(t, nil)
	h.m.runLatency[0] = latencyEstimate{mean: 2, baseline: 0.1, samples: 100} // a run takes two of the 2.5 s
	h.m.cpuBusy, h.m.runnable = 1, 9
	h.arrive(3, nil)
	h.arrive(3, nil) // both cores busy
	h.finishBatch()
	fresh := h.arrive(0, nil)
	old := h.arrive(0, func(q *Request) { q.Age = 2400 * ms })
	h.finishBatch()
	h.want(fmt.Sprint("refuse ", fresh), fmt.Sprint("refuse ", old), fmt.Sprint("last ", old))
	h.wantNot(fmt.Sprint("last ", fresh))
}

// What has waited past its age limit has used up what a walk to other nodes would
// take: it is told to try no other, however fast one might be. Where walks are marked
// and hardly any come here, the others have room, and it may go there while it can be
// served: a node that hot keys fill is no sign of a full fleet.
func TestExceededQueueTimeoutStopsRetries(t *testing.T) {
	for name, tc := range map[string]struct {
		marks bool
		again float64
		last  bool
	}{"unmarked": {false, 0, true}, "many walk": {true, 0.3, true}, "few walk": {true, 0.02, false}} {
		h := newHarness(t, func(s *Settings) { s.RetriesMarked = tc.marks })
		h.arrive(3, nil)
		h.arrive(3, nil) // both cores busy
		h.finishBatch()
		a := h.arrive(0, nil)
		h.m.retryShare = tc.again
		h.advance(1100*ms, 1, 9) // 0.12 of 8 s, with time left for a run
		h.want(fmt.Sprint("refuse ", a))
		if last := h.done[fmt.Sprint("last ", a)]; last != tc.last {
			t.Errorf("%s: last %v", name, last)
		}
	}
}

// Half a minute of reads tells how many of them are further tries.
func TestRetryShare(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.RetriesMarked = true })
	for i := range 400 {
		id := h.arrive(0, func(q *Request) { q.Retry = i%4 == 0 })
		h.finishBatch()
		h.m.RunEnded(h.now, id, OK, 5*ms)
		h.finishBatch()
	}
	if h.m.retryShare < 0.2 || h.m.retryShare > 0.3 {
		t.Errorf("one in four: %v", h.m.retryShare)
	}
}
