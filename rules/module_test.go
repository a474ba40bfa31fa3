package rules

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestNewRejectsUnusableSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no cores":    func(s *Settings) { s.Cores = 0 },
		"no classes":  func(s *Settings) { s.Classes = nil },
		"no memory":   func(s *Settings) { s.MemoryKB = 0 },
		"no deadline": func(s *Settings) { s.Classes[0].Deadline = 0 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(0, s, 1, &harness{done: map[string]bool{}}); err == nil {
			t.Errorf("%s: New accepted the settings", name)
		}
	}
}

func TestEveryRequestAnsweredWhenDue(t *testing.T) {
	for class, answer := range []string{"fail", "fail", "fail", "fail"} {
		t.Run(fmt.Sprint("class ", class), func(t *testing.T) {
			h := newHarness(t, nil)
			id := h.arrive(class, func(q *Request) { q.CallerTimeout = 900 * ms })
			h.finishBatch()
			h.want(fmt.Sprintf("run %d", id))
			h.advance(900*ms-2*ms, 1, 1)
			h.want(fmt.Sprintf("%s %d", answer, id))
		})
	}
}

func TestClassDeadlineWithoutCallerTimeout(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.TimeoutsPassed = false })
	id := h.arrive(3, func(q *Request) { q.CallerTimeout = 0; q.Age = 7 * time.Second })
	h.finishBatch()
	h.advance(time.Second-2*ms, 1, 1)
	if h.count("fail ")+h.count("refuse ") != 1 {
		t.Errorf("request %d not answered once: %v", id, h.actions)
	}
}

func TestKeyedAndUnsafeThatRanAreNotRefused(t *testing.T) {
	for _, class := range []int{2, 3} {
		h := newHarness(t, nil)
		id := h.arrive(class, nil)
		h.finishBatch()
		h.advance(9*time.Second, 1, 1)
		h.want(fmt.Sprintf("fail %d", id))
		h.wantNot(fmt.Sprintf("refuse %d", id), fmt.Sprintf("preempt %d", id))
	}
}

func TestMemoryBoundsRuns(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MemoryKB = 1000 })
	for range 8 {
		h.arrive(0, func(q *Request) { q.MemoryKB = 30 })
	}
	h.finishBatch()
	if got := h.count("run "); got != 1 {
		t.Errorf("%d runs of 480 KB started in 1000 KB", got)
	}
}

func TestGoneCallerIsNotAnswered(t *testing.T) {
	h := newHarness(t, nil)
	for range 3 {
		h.arrive(0, nil)
	}
	h.finishBatch()
	h.m.CallerGone(h.now, 1)
	h.m.CallerGone(h.now, 3)
	h.finishBatch()
	h.m.RunEnded(h.now, 1, Cancelled, 5*ms)
	h.finishBatch()
	h.advance(9*time.Second, 1, 1)
	h.want("preempt 1")
	h.wantNot("fail 1", "refuse 1", "run 3", "refuse 3")
}

func TestLateAndRepeatedEventsAreHarmless(t *testing.T) {
	h := newHarness(t, nil)
	id := h.arrive(0, nil)
	h.finishBatch()
	for range 2 {
		h.m.RunEnded(h.now, id, OK, 5*ms)
		h.m.RunEnded(h.now, id, NeverStarted, 0)
		h.m.CallNeeded(h.now, id)
		h.m.CallEnded(h.now, id, OK, 0)
		h.m.CallerGone(h.now, id)
		h.m.TimerFired(h.now, 99, nil)
		h.finishBatch()
	}
	if h.m.runningCount != 0 || h.m.inCallCount != 0 || len(h.m.requests) != 0 || h.m.requestMemoryKB != 0 {
		t.Errorf("left over: %d running, %d in calls, %d requests, %v KB",
			h.m.runningCount, h.m.inCallCount, len(h.m.requests), h.m.requestMemoryKB)
	}
}

func TestUnknownClassFails(t *testing.T) {
	h := newHarness(t, nil)
	h.arrive(200, nil)
	h.finishBatch()
	h.want("fail 1")
}

// runFixedEvents runs a fixed mix of events, with or without another module beside, and returns the actions.
func runFixedEvents(t *testing.T, others bool) []string {
	h := newHarness(t, nil)
	var o *harness
	if others {
		o = newHarness(t, nil)
	}
	for i := range 300 {
		h.arrive(i%4, func(q *Request) { q.Tenant = i % 3; q.MemoryKB = float64(5 + i%7) })
		if o != nil {
			o.arrive(i%2, nil)
			o.advance(10*ms, 0.2, 1)
		}
		h.finishBatch()
		if i%3 == 0 && len(h.m.requests) > 0 && h.m.requests[0].state == running {
			h.m.RunEnded(h.now, h.m.requests[0].ID, OK, 80*ms)
		}
		h.advance(20*ms, 0.9, 2)
	}
	return h.actions
}

func TestDeterministic(t *testing.T) {
	if !reflect.DeepEqual(runFixedEvents(t, false), runFixedEvents(t, false)) {
		t.Error("the same events led to different actions")
	}
}

func TestInstancesShareNoState(t *testing.T) {
	if !reflect.DeepEqual(runFixedEvents(t, false), runFixedEvents(t, true)) {
		t.Error("another instance changed the actions of this one")
	}
}

func TestExtremeSettingsStillServe(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"a call share below one": func(s *Settings) { s.Dependency, s.CallShare = DependencyShared, 0.3 },
		"hundreds of callers":    func(s *Settings) { s.Callers, s.LoadFeedback = 1300, FeedbackCredit },
		"no callers":             func(s *Settings) { s.Callers, s.LoadFeedback = 0, FeedbackCredit },
		"one core":               func(s *Settings) { s.Cores = 1 },
		"no keepalive":           func(s *Settings) { s.MaxIdleTimeout = 0 },
		"no call window":         func(s *Settings) { s.Dependency, s.CallWindow = DependencyShared, 0 },
	} {
		h := newHarness(t, change)
		for i := range 40 {
			id := h.arrive(1, func(q *Request) { q.Caller = uint32(i) })
			h.finishBatch()
			h.m.CallNeeded(h.now, id)
			h.finishBatch()
			if h.done[fmt.Sprintf("call %d", id)] {
				h.now += 50 * ms
				h.m.CallEnded(h.now, id, OK, 50*ms)
			}
			h.m.RunEnded(h.now, id, OK, 200*ms)
			h.finishBatch()
			h.advance(500*ms, 0.5, 1)
		}
		if runs, calls := h.count("run "), h.count("call "); runs < 40 || calls < 5 {
			t.Errorf("%s: %d runs and %d calls of 40", name, runs, calls)
		}
	}
}

// The zero of the host's clock has no meaning: a node whose worker pool came up first may start far below
// zero. The actions must not depend on it.
func TestClockBelowZero(t *testing.T) {
	run := func(from time.Duration) []string {
		h := &harness{t: t, done: map[string]bool{}, now: from}
		s := testSettings()
		s.Dependency, s.MaxIdleTimeout = DependencyShared, 30*time.Second
		m, err := New(h.now, s, 7, h)
		if err != nil {
			t.Fatal(err)
		}
		id := RequestID(0)
		for i := range 4000 {
			h.now += 5 * ms
			if i%40 == 0 {
				id++
				m.Arrive(h.now, Request{ID: id, Class: 1, CallerTimeout: 7 * time.Second, MemoryKB: 10, Caller: uint32(i)})
			}
			if i%40 == 10 {
				m.CallNeeded(h.now, id)
			}
			if i%40 == 20 {
				m.CallEnded(h.now, id, OK, 50*ms)
			}
			if i%40 == 30 {
				m.RunEnded(h.now, id, OK, 150*ms)
			}
			if h.now >= h.timerAt {
				m.TimerFired(h.now, 1, []float64{0.5, 1})
			}
			m.FinishBatch(h.now)
		}
		return h.actions
	}
	want := run(50 * time.Second)
	for _, from := range []time.Duration{-10 * time.Second, -time.Hour, -1} {
		if got := run(from); !reflect.DeepEqual(got, want) {
			t.Errorf("from %v: %d actions, want %d", from, len(got), len(want))
		}
	}
}

// Where latency targets are short, control intervals must be short too: a queue bound that takes eight
// seconds to learn refuses requests through a third of a short release.
func TestShortTargetsShortenControlIntervals(t *testing.T) {
	steps := func(target time.Duration) (n int) {
		h := newHarness(t, func(s *Settings) { s.Classes[0].LatencyTarget = target })
		for range 40 {
			at := h.m.limitSteppedAt
			h.advance(25 * ms)
			if h.m.limitSteppedAt != at {
				n++
			}
		}
		return n
	}
	if long, short := steps(2500*ms), steps(500*ms); long != 10 || short < 3*long {
		t.Errorf("%d control steps with a long latency target, %d with a short one", long, short)
	}
}
