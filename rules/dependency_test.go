package rules

import "testing"

func TestCallsStayWithinShare(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.Dependency = DependencyShared; s.CallShare = 0.3; s.Cores = 6 })
	for range 6 {
		b.arrive(1, nil)
	}
	b.settle()
	for id := RequestID(1); id <= 6; id++ {
		b.m.CallNeeded(b.now, id)
	}
	b.m.callLatency.mean = 2
	b.settle()
	if got := b.count("call "); got != 1 {
		t.Errorf("%d calls out at a share of 0.3, want one: its time-out fits the share", got)
	}
	if got := b.count("skip "); got < 4 {
		t.Errorf("%d skips, want all but one that waits to go on without", got)
	}
}

func TestFailedCall(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		want    string
	}{
		{"a skip that earns something comes before a repeat", 1, TimedOut, "skip 1"},
		{"safe repeats where it must call", 0, TimedOut, "call 1"},
		{"unsafe is not repeated", 3, TimedOut, "fail 1"},
		{"unsafe repeats what never ran", 3, CallRejected, "call 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, func(s *Settings) { s.Dependency = DependencyTier })
			id := b.arrive(c.class, nil)
			b.settle()
			b.m.CallNeeded(b.now, id)
			b.settle()
			b.want("call 1")
			b.last = map[string]bool{}
			b.m.CallEnded(b.now, id, c.outcome, 10*ms)
			b.settle()
			b.want(c.want)
		})
	}
}

// callBed has n requests of class 1 standing at a call of a shared dependency.
func callBed(t *testing.T, n int, change func(*Settings)) *bed {
	b := newBed(t, func(s *Settings) {
		s.Dependency, s.Cores = DependencyShared, 8
		if change != nil {
			change(s)
		}
	})
	for range n {
		b.arrive(1, nil)
	}
	b.settle()
	for id := RequestID(1); id <= RequestID(n); id++ {
		b.m.CallNeeded(b.now, id)
	}
	return b
}

func TestCallLimitFollowsCallLatency(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.Dependency = DependencyShared })
	for range 20 {
		b.m.callLatency.observe(100*ms, callLatencyWeight)
	}
	start := b.m.callLimit
	for range 20 {
		b.m.callLatency.observe(600*ms, callLatencyWeight)
	}
	b.pass(500*ms, 1, 1)
	if b.m.callLimit >= start {
		t.Errorf("limit %.2f did not shrink from %.2f as calls slowed sixfold", b.m.callLimit, start)
	}
	low := b.m.callLimit
	for range 60 {
		b.m.callLatency.observe(100*ms, callLatencyWeight)
	}
	for range 10 {
		b.m.callsLimited = true
		b.pass(100*ms, 1, 1)
	}
	if b.m.callLimit <= low {
		t.Errorf("limit %.2f did not recover with the latency", b.m.callLimit)
	}
}

func TestShortLineAtTheCallSkipsTheLeastLoss(t *testing.T) {
	b := callBed(t, 8, func(s *Settings) { s.Classes[1].SkipUtilityShare = 0.5 })
	b.m.callLimit, b.m.callLatency.mean = 2, 0.75 // the line at the call holds two
	b.m.requests[5].overQuota = true
	b.settle()
	b.want("call 1", "call 2", "skip 6") // the two oldest call, what is beyond its share skips
	b.wantNot("skip 3")                  // within the short line
}

func TestWaitingAtTheCallEndsInTime(t *testing.T) {
	b := callBed(t, 2, func(s *Settings) { s.CallShare = 1; s.Classes[1].SkipUtilityShare = 0.5 })
	b.settle()
	b.want("call 1")
	b.wantNot("skip 2")
	b.pass(2500*ms, 1, 1)
	b.want("skip 2")
}

func TestCallBaseDoesNotChaseCrowding(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.Dependency = DependencyShared })
	for range 20 {
		b.m.callLatency.observe(50*ms, callLatencyWeight)
	}
	for range 300 { // half a minute of calls four times as long
		b.m.callLatency.observe(200*ms, callLatencyWeight)
		b.m.callsLimited = true
		b.pass(100*ms, 1, 1)
	}
	if b.m.callLimit >= initialCallLimitShare*b.m.settings.CallShare {
		t.Errorf("limit %.2f grew back while calls stayed slow", b.m.callLimit)
	}
}
