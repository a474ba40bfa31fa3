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
	low, credit := h.m.retryAfter(), h.publishedLoad
	h.m.arrivalCount, h.m.overloadCount, h.m.pressure = 100, 60, 0.9
	h.m.publishFeedback()
	if got := h.m.retryAfter(); got <= low || got > time.Second {
		t.Errorf("retry-after %v under pressure, %v without, 1 s at most", got, low)
	}
	if h.publishedLoad >= credit {
		t.Errorf("credit %v under pressure, %v without", h.publishedLoad, credit)
	}
}

func TestFullCreditWithoutPressure(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.LoadFeedback = FeedbackCredit })
	h.m.publishFeedback()
	if want := h.m.runLimit + float64(h.m.queueBound()); h.publishedLoad != want {
		t.Errorf("credit %v, want %v, all that fits: one caller may carry most of the traffic", h.publishedLoad, want)
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
		t.Errorf("weight %v while every arrival is stale", h.publishedLoad)
	}
	h.advance(5*time.Second, 0, 0)
	h.want("health true true") // tried again after a while without arrivals
}

func TestWeightAndLevelFollowPressure(t *testing.T) {
	for kind, want := range map[LoadFeedback]float64{FeedbackWeight: 1 - pressureWeightShare*0.5, FeedbackLevel: 0.5} {
		h := newHarness(t, func(s *Settings) { s.LoadFeedback = kind })
		h.m.pressure = 0.5 + pressureDecrease
		h.arrive(0, nil)
		h.arrive(0, nil)
		h.arrive(0, nil)
		h.finishBatch() // both cores are busy and one request is queued
		h.m.publishFeedback()
		if diff := h.publishedLoad - want; diff > 0.01 || diff < -0.01 {
			t.Errorf("load feedback %v: published %v at half pressure, want %v", kind, h.publishedLoad, want)
		}
	}
}

func TestStopsRetriesUnderPressure(t *testing.T) {
	for name, tc := range map[string]struct {
		pressure float64
		retry    bool
		unmarked bool
		retries  float64 // share of marked retries among earlier arrivals
		stops    bool
	}{
		"a retry at low pressure":         {0.1, true, false, 0.3, false},
		"a retry under pressure":          {0.4, true, false, 0.3, true},
		"a first try under pressure":      {0.4, false, false, 0.3, false},
		"an unmarked try under pressure":  {0.4, false, true, 0, true},
		"a first try under high pressure": {0.7, false, false, 0.3, true},
		"only this node under pressure":   {0.7, false, false, 0.02, false},
		"an unmarked try at low pressure": {0.1, false, true, 0, false},
	} {
		h := newHarness(t, func(s *Settings) { s.RetriesMarked = !tc.unmarked })
		h.m.pressure, h.m.retryShare = tc.pressure, tc.retries
		for range 12 {
			h.arrive(0, func(q *Request) { q.Retry = tc.retry })
		}
		h.finishBatch()
		if refused, stopped := h.count("refuse "), h.count("stop-retrying "); refused == 0 ||
			(stopped == refused) != tc.stops {
			t.Errorf("%s: %d refused, %d of them stop retries, want that %v", name, refused, stopped, tc.stops)
		}
	}
}

// A refusal of a request that is past its queue timeout on arrival raises the pressure as one from a full
// queue does: a node that reads only such requests refuses as many, and would publish that it has capacity.
func TestTimedOutOnArrivalRaisesPressure(t *testing.T) {
	for _, age := range []time.Duration{0, 1100 * ms} {
		h := newHarness(t, nil)
		for range 20 {
			busy := []RequestID{h.arrive(3, nil), h.arrive(3, nil)} // both cores busy
			h.finishBatch()
			id := h.arrive(0, func(q *Request) { q.Age = age })
			h.finishBatch()
			for _, r := range append(busy, id) {
				h.m.RunEnded(h.now, r, OK, 5*ms)
			}
			h.advance(50*ms, 1, 1)
		}
		if pressure := h.m.pressure > 0.3; pressure != (age > 0) {
			t.Errorf("arrivals of age %v: pressure %v", age, h.m.pressure)
		}
	}
}

func TestStaleShareDecaysOnlyWithoutArrivals(t *testing.T) {
	for name, reads := range map[string]bool{"with arrivals": true, "without": false} {
		h := newHarness(t, nil)
		h.m.staleShare = 1
		for range 10 {
			if reads {
				h.arrive(0, func(q *Request) { q.Age = 2 * time.Second })
			}
			h.advance(feedbackInterval)
		}
		if decayed := h.m.staleShare < 0.9; decayed == reads {
			t.Errorf("%s: stale share %v", name, h.m.staleShare)
		}
	}
}

// A node that has become slow refuses at once what it cannot finish. Another node may serve that, so its
// refusal must not stop retries; only a request with no time for a run at baseline latency is
// lost everywhere. The risk is one more try for each caller where all nodes are slow for the same reason.
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
	h.want(fmt.Sprint("refuse ", fresh), fmt.Sprint("refuse ", old), fmt.Sprint("stop-retrying ", old))
	h.wantNot(fmt.Sprint("stop-retrying ", fresh))
}

// A request whose queue timeout is exceeded has used up the time that retries at other nodes would take:
// its refusal stops retries. Where retries are marked and few arrive, the other nodes have capacity
// and it may go there: a node that is full because of hot keys is no sign of a full fleet.
func TestExceededQueueTimeoutStopsRetries(t *testing.T) {
	for name, tc := range map[string]struct {
		marks   bool
		retries float64
		stops   bool
	}{"unmarked": {false, 0, true}, "many retries": {true, 0.3, true}, "few retries": {true, 0.02, false}} {
		h := newHarness(t, func(s *Settings) { s.RetriesMarked = tc.marks })
		h.arrive(3, nil)
		h.arrive(3, nil) // both cores busy
		h.finishBatch()
		a := h.arrive(0, nil)
		h.m.retryShare = tc.retries
		h.advance(1100*ms, 1, 9) // 0.12 of 8 s, with time left for a run
		h.want(fmt.Sprint("refuse ", a))
		if stopped := h.done[fmt.Sprint("stop-retrying ", a)]; stopped != tc.stops {
			t.Errorf("%s: the refusal stops retries: %v", name, stopped)
		}
	}
}

// The retry share follows the share of marked retries among the arrivals.
func TestRetryShare(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.RetriesMarked = true })
	for i := range 400 {
		id := h.arrive(0, func(q *Request) { q.Retry = i%4 == 0 })
		h.finishBatch()
		h.m.RunEnded(h.now, id, OK, 5*ms)
		h.finishBatch()
	}
	if h.m.retryShare < 0.2 || h.m.retryShare > 0.3 {
		t.Errorf("retry share %v, want about one in four", h.m.retryShare)
	}
}
