package rules

import (
	"fmt"
	"testing"
	"time"
)

func TestQueueAndRunningLimit(t *testing.T) {
	h := newHarness(t, nil)
	for range 6 {
		h.arrive(0, nil)
	}
	h.finishBatch()
	if got := h.count("run "); got != 2 {
		t.Errorf("%d runs at the start, want the core count", got)
	}
	// The queue holds as many as may run at least: 2 wait, 2 are refused at once with a retry-after.
	h.want("refuse 6", "retry-after 6", "refuse 5")
	h.m.RunEnded(h.now, 1, OK, 100*ms)
	h.finishBatch()
	h.want("run 3") // the oldest
	h.wantNot("run 4")
}

func TestEvictsLeastUtility(t *testing.T) {
	h := newHarness(t, nil)
	for range 4 {
		h.arrive(0, nil)
	}
	h.finishBatch()
	h.arrive(1, nil) // utility 2
	h.finishBatch()
	h.want("refuse 4")
	h.wantNot("refuse 5")
}

func TestQueueTimeoutRefuses(t *testing.T) {
	h := newHarness(t, nil)
	for range 3 {
		h.arrive(0, nil)
	}
	h.finishBatch()
	h.advance(2500*ms, 1, 2)
	h.want("refuse 3")
	h.wantNot("run 3")
}

func TestProcessPauseDoesNotEmptyQueue(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Classes[0].LatencyTarget = 6 * time.Second })
	for range 4 {
		h.arrive(0, nil)
	}
	h.finishBatch()
	h.now += 2100 * ms // no event is delivered meanwhile
	h.m.TimerFired(h.now, 1, []float64{1, 2})
	h.m.RunEnded(h.now, 1, OK, 100*ms)
	h.finishBatch()
	h.want("run 3")
	h.wantNot("refuse 3", "refuse 4")
}

func TestDrainRateFromSuccessesOnly(t *testing.T) {
	for _, o := range []Outcome{OK, Failed} {
		h := newHarness(t, nil)
		for range 200 {
			for _, r := range append([]*request(nil), h.m.requests...) {
				if r.state == running {
					h.m.RunEnded(h.now, r.ID, o, 25*ms)
				}
			}
			for range 4 {
				h.arrive(0, nil)
			}
			h.advance(25*ms, 1, 2)
		}
		if got := h.m.drainSuccesses; (got > 1) != (o == OK) {
			t.Errorf("outcome %v led to %.1f counted successes", o, got)
		}
	}
}

func TestSlotByAgeOrByUtilityUnderPressure(t *testing.T) {
	for _, c := range []struct {
		pressure float64
		want     string
	}{{0, "run 3"}, {0.5, "run 4"}} {
		h := newHarness(t, func(s *Settings) { s.UtilityPerWork = true })
		for range 3 {
			h.arrive(0, nil)
		}
		h.arrive(1, nil) // twice the utility
		h.finishBatch()
		h.m.pressure = c.pressure
		h.m.RunEnded(h.now, 1, OK, 50*ms)
		h.finishBatch()
		h.want(c.want)
	}
}

func TestIdleCoresStartWhatBusyCoresRefuse(t *testing.T) {
	for _, c := range []struct {
		gauges []float64
		want   string
	}{{[]float64{0.4, 3}, "run 4"}, {[]float64{1, 9}, "refuse 4"}} {
		h := newHarness(t, func(s *Settings) { s.Cores = 6; s.Classes[0].LatencyTarget = 2 * time.Second })
		for range 20 {
			h.m.runLatency[0].observe(time.Second, runLatencyWeight)
		}
		for range 3 {
			h.arrive(0, nil)
		}
		h.finishBatch()
		h.advance(50*ms, c.gauges...)
		// 1.1 s are left before a target of 2 s: 1.4 runs of 1 s do not fit.
		h.arrive(0, func(q *Request) { q.Age = 900 * ms })
		h.finishBatch()
		h.want(c.want)
	}
}

func TestMarkedRetriesAreEvictedFirst(t *testing.T) {
	h := newHarness(t, nil)
	retry := func(q *Request) { q.Retry = true }
	h.arrive(0, nil) // these two fill the cores
	h.arrive(0, nil)
	h.finishBatch()
	old := h.arrive(0, retry)
	first := h.arrive(0, nil)
	valuable := h.arrive(1, retry)
	h.arrive(0, nil)
	h.finishBatch()
	h.want(fmt.Sprintf("refuse %d", old), fmt.Sprintf("refuse %d", valuable))
	h.wantNot(fmt.Sprintf("refuse %d", first))
}

// Bursts that are over within a control step must raise the queue bound too. Where runs take a few
// milliseconds, requests are never queued for a whole step; a bound learned from whole steps would stay at
// the running limit, and a refusal would keep a caller away for longer than the burst. The risk is a drain
// rate that is too high, until slots were short for a step, where short runs say nothing of long ones.
func TestShortBurstsRaiseQueueBound(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.BatchInterval = ms })
	for range 60 { // two cores, runs of 5 ms, a burst of ten every 25 ms
		for range 10 {
			h.arrive(0, nil)
		}
		for h.now += ms; len(h.m.queue) > 0 || h.m.runningCount > 0; h.now += 5 * ms {
			h.finishBatch()
			for _, r := range append([]*request(nil), h.m.requests...) {
				if r.state == running {
					h.m.RunEnded(h.now+5*ms, r.ID, OK, 5*ms)
				}
			}
		}
		h.advance(max(h.timerAt-h.now, 0), 0.5, 1)
	}
	if got := h.m.drainRate(); got < 200 || got > 800 {
		t.Errorf("drain rate %.0f a second with two slots and runs of 5 ms", got)
	}
	if got := h.m.queueBound(); got < 100 {
		t.Errorf("queue bound %d, want 100 at least", got)
	}
	h.actions = nil
	for range 80 { // half a second of work, well before its latency target
		h.arrive(0, nil)
	}
	h.finishBatch()
	for _, act := range h.actions {
		if act != "run 601" && act != "run 602" {
			t.Errorf("%s, though every request fits", act)
		}
	}
}

// Where neither marked retries nor caller timeouts say how long a client has waited already, a request may
// be its third try and has a shorter queue timeout.
func TestUnknownAgeShortensQueueTimeout(t *testing.T) {
	for name, tc := range map[string]struct {
		marks, timeouts bool
		wait            time.Duration
	}{"marked": {true, false, 960 * ms}, "timeouts": {false, true, 960 * ms}, "neither": {false, false, 400 * ms}} {
		h := newHarness(t, func(s *Settings) { s.RetriesMarked, s.TimeoutsPassed = tc.marks, tc.timeouts })
		h.arrive(3, nil)
		h.arrive(3, nil) // both cores busy
		h.finishBatch()
		from := h.now
		a := h.arrive(0, nil) // 8 s until its deadline
		for !h.done[fmt.Sprint("refuse ", a)] && h.now < from+2*time.Second {
			h.advance(25*ms, 1, 9)
		}
		if took := h.now - from; took < tc.wait || took > tc.wait+60*ms {
			t.Errorf("%s: refused after %v, want %v", name, took, tc.wait)
		}
	}
}

// A request read after its queue timeout starts at once if a core is free: it arrived late rather than
// waited here, and a refusal would cost another read at some node.
func TestLateArrivalStartsOnFreeCore(t *testing.T) {
	for busy, starts := range []bool{true, true, false} { // of two cores
		h := newHarness(t, nil)
		for range busy {
			h.arrive(3, nil)
		}
		h.finishBatch()
		// 0.12 of 8 s is 960 ms; its latency target is 2.5 s.
		late := h.arrive(0, func(q *Request) { q.Age = 1100 * ms })
		h.finishBatch()
		if h.done[fmt.Sprint("run ", late)] != starts || h.done[fmt.Sprint("refuse ", late)] == starts {
			t.Errorf("%d of 2 cores busy: started %v", busy, !starts)
		}
	}
}
