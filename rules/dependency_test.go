package rules

import "testing"

func TestCallsStayWithinCallShare(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Dependency = DependencyShared; s.CallShare = 0.3; s.Cores = 6 })
	for range 6 {
		h.arrive(1, nil)
	}
	h.finishBatch()
	for id := RequestID(1); id <= 6; id++ {
		h.m.CallNeeded(h.now, id)
	}
	h.m.callLatency.mean = 2
	h.finishBatch()
	if got := h.count("call "); got != 1 {
		t.Errorf("%d calls in flight at a call share of 0.3, want one, whose timeout fits the budget", got)
	}
	if got := h.count("skip "); got < 4 {
		t.Errorf("%d calls skipped, want all but the one in flight and one that waits", got)
	}
}

func TestFailedCall(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		want    string
	}{
		{"a skip that leaves some utility comes before a repeat", 1, TimedOut, "skip 1"},
		{"safe, repeated where the call must be made", 0, TimedOut, "call 1"},
		{"unsafe, not repeated", 3, TimedOut, "fail 1"},
		{"unsafe, repeated after a call that never ran", 3, CallRejected, "call 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, func(s *Settings) { s.Dependency = DependencyTier })
			id := h.arrive(c.class, nil)
			h.finishBatch()
			h.m.CallNeeded(h.now, id)
			h.finishBatch()
			h.want("call 1")
			h.done = map[string]bool{}
			h.m.CallEnded(h.now, id, c.outcome, 10*ms)
			h.finishBatch()
			h.want(c.want)
		})
	}
}

// harnessAtCall has n requests of class 1 with a pending call of a shared dependency.
func harnessAtCall(t *testing.T, n int, change func(*Settings)) *harness {
	h := newHarness(t, func(s *Settings) {
		s.Dependency, s.Cores = DependencyShared, 8
		if change != nil {
			change(s)
		}
	})
	for range n {
		h.arrive(1, nil)
	}
	h.finishBatch()
	for id := RequestID(1); id <= RequestID(n); id++ {
		h.m.CallNeeded(h.now, id)
	}
	return h
}

func TestCallLimitFollowsCallLatency(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Dependency = DependencyShared })
	for range 20 {
		h.m.callLatency.observe(100*ms, callLatencyWeight)
	}
	start := h.m.callLimit
	for range 20 {
		h.m.callLatency.observe(600*ms, callLatencyWeight)
	}
	h.advance(500*ms, 1, 1)
	if h.m.callLimit >= start {
		t.Errorf("call limit %.2f did not shrink from %.2f as calls took six times as long", h.m.callLimit, start)
	}
	low := h.m.callLimit
	for range 60 {
		h.m.callLatency.observe(100*ms, callLatencyWeight)
	}
	for range 10 {
		h.m.callsLimited = true
		h.advance(100*ms, 1, 1)
	}
	if h.m.callLimit <= low {
		t.Errorf("call limit %.2f did not recover with the latency", h.m.callLimit)
	}
}

func TestFullCallQueueSkipsTheLeastLoss(t *testing.T) {
	h := harnessAtCall(t, 8, func(s *Settings) { s.Classes[1].SkipUtilityShare = 0.5 })
	h.m.callLimit, h.m.callLatency.mean = 2, 0.75 // the queue for calls holds two
	h.m.requests[5].overQuota = true
	h.finishBatch()
	h.want("call 1", "call 2", "skip 6") // the two oldest call, the one over its quota skips
	h.wantNot("skip 3")                  // within the bound of the queue
}

func TestWaitForCallEndsInTime(t *testing.T) {
	h := harnessAtCall(t, 2, func(s *Settings) { s.CallShare = 1; s.Classes[1].SkipUtilityShare = 0.5 })
	h.finishBatch()
	h.want("call 1")
	h.wantNot("skip 2")
	h.advance(2500*ms, 1, 1)
	h.want("skip 2")
}

func TestCallBaselineDoesNotFollowContention(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Dependency = DependencyShared })
	for range 20 {
		h.m.callLatency.observe(50*ms, callLatencyWeight)
	}
	for range 300 { // half a minute of calls four times as long
		h.m.callLatency.observe(200*ms, callLatencyWeight)
		h.m.callsLimited = true
		h.advance(100*ms, 1, 1)
	}
	if h.m.callLimit >= initialCallLimitShare*h.m.settings.CallShare {
		t.Errorf("call limit %.2f grew back while calls stayed slow", h.m.callLimit)
	}
}
