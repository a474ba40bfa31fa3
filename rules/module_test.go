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
		s := settings()
		change(&s)
		if _, err := New(0, s, 1, &bed{last: map[string]bool{}}); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestEveryRequestAnsweredByDue(t *testing.T) {
	for class, answer := range []string{"fail", "fail", "fail", "fail"} {
		t.Run(fmt.Sprint("class ", class), func(t *testing.T) {
			b := newBed(t, nil)
			id := b.arrive(class, func(q *Request) { q.CallerTimeout = 900 * ms })
			b.settle()
			b.want(fmt.Sprintf("run %d", id))
			b.pass(900*ms-2*ms, 1, 1)
			b.want(fmt.Sprintf("%s %d", answer, id))
		})
	}
}

func TestDueFromClassDeadlineWherePatienceIsNotPassed(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.TimeoutsPassed = false })
	id := b.arrive(3, func(q *Request) { q.CallerTimeout = 0; q.Age = 7 * time.Second })
	b.settle()
	b.pass(time.Second-2*ms, 1, 1)
	if b.count("fail ")+b.count("refuse ") != 1 {
		t.Errorf("request %d not answered once: %v", id, b.acts)
	}
}

func TestKeyedAndUnsafeThatRanAreNotRefused(t *testing.T) {
	for _, class := range []int{2, 3} {
		b := newBed(t, nil)
		id := b.arrive(class, nil)
		b.settle()
		b.pass(9*time.Second, 1, 1)
		b.want(fmt.Sprintf("fail %d", id))
		b.wantNot(fmt.Sprintf("refuse %d", id), fmt.Sprintf("halt %d", id))
	}
}

func TestMemoryGuard(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.MemoryKB = 1000 })
	for range 8 {
		b.arrive(0, func(q *Request) { q.MemoryKB = 30 })
	}
	b.settle()
	if got := b.count("run "); got != 1 {
		t.Errorf("%d runs of 480 KB started in 1000 KB", got)
	}
}

func TestGoneIsNotAnswered(t *testing.T) {
	b := newBed(t, nil)
	for range 3 {
		b.arrive(0, nil)
	}
	b.settle()
	b.m.CallerGone(b.now, 1)
	b.m.CallerGone(b.now, 3)
	b.settle()
	b.m.RunEnded(b.now, 1, Cancelled, 5*ms)
	b.settle()
	b.pass(9*time.Second, 1, 1)
	b.want("halt 1")
	b.wantNot("fail 1", "refuse 1", "run 3", "refuse 3")
}

func TestMootAndRepeatedEventsAreHarmless(t *testing.T) {
	b := newBed(t, nil)
	id := b.arrive(0, nil)
	b.settle()
	for range 2 {
		b.m.RunEnded(b.now, id, OK, 5*ms)
		b.m.RunEnded(b.now, id, NeverStarted, 0)
		b.m.CallNeeded(b.now, id)
		b.m.CallEnded(b.now, id, OK, 0)
		b.m.CallerGone(b.now, id)
		b.m.TimerFired(b.now, 99, nil)
		b.settle()
	}
	if b.m.runningCount != 0 || b.m.inCallCount != 0 || len(b.m.requests) != 0 || b.m.requestMemoryKB != 0 {
		t.Errorf("left over: %d on cores, %d in calls, %d requests, %v KB",
			b.m.runningCount, b.m.inCallCount, len(b.m.requests), b.m.requestMemoryKB)
	}
}

func TestUnknownClassFails(t *testing.T) {
	b := newBed(t, nil)
	b.arrive(200, nil)
	b.settle()
	b.want("fail 1")
}

// play runs a fixed mix of events and returns what the module did.
func play(t *testing.T, others bool) []string {
	b := newBed(t, nil)
	var o *bed
	if others {
		o = newBed(t, nil)
	}
	for i := range 300 {
		b.arrive(i%4, func(q *Request) { q.Tenant = i % 3; q.MemoryKB = float64(5 + i%7) })
		if o != nil {
			o.arrive(i%2, nil)
			o.pass(10*ms, 0.2, 1)
		}
		b.settle()
		if i%3 == 0 && len(b.m.requests) > 0 && b.m.requests[0].state == running {
			b.m.RunEnded(b.now, b.m.requests[0].ID, OK, 80*ms)
		}
		b.pass(20*ms, 0.9, 2)
	}
	return b.acts
}

func TestSameEventsSameActions(t *testing.T) {
	if !reflect.DeepEqual(play(t, false), play(t, false)) {
		t.Error("two runs of the same events differ")
	}
}

func TestInstancesShareNothing(t *testing.T) {
	if !reflect.DeepEqual(play(t, false), play(t, true)) {
		t.Error("another instance changed what this one does")
	}
}

func TestExtremeSettingsStillServe(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"a call share under one": func(s *Settings) { s.Dependency, s.CallShare = DependencyShared, 0.3 },
		"hundreds of callers":    func(s *Settings) { s.Callers, s.LoadFeedback = 1300, FeedbackCredit },
		"no callers":             func(s *Settings) { s.Callers, s.LoadFeedback = 0, FeedbackCredit },
		"one core":               func(s *Settings) { s.Cores = 1 },
		"no keepalive":           func(s *Settings) { s.MaxIdleTimeout = 0 },
		"no call window":         func(s *Settings) { s.Dependency, s.CallWindow = DependencyShared, 0 },
	} {
		b := newBed(t, change)
		for i := range 40 {
			id := b.arrive(1, func(q *Request) { q.Caller = uint32(i) })
			b.settle()
			b.m.CallNeeded(b.now, id)
			b.settle()
			if b.last[fmt.Sprintf("call %d", id)] {
				b.now += 50 * ms
				b.m.CallEnded(b.now, id, OK, 50*ms)
			}
			b.m.RunEnded(b.now, id, OK, 200*ms)
			b.settle()
			b.pass(500*ms, 0.5, 1)
		}
		if runs, calls := b.count("run "), b.count("call "); runs < 40 || calls < 5 {
			t.Errorf("%s: %d runs and %d calls of 40", name, runs, calls)
		}
	}
}

// The clock's zero means nothing: a host may count from any time, so that a node
// whose worker pool came up before it may begin far below zero. What is decided
// must be the same.
func TestClockBelowZero(t *testing.T) {
	day := func(from time.Duration) []string {
		b := &bed{t: t, last: map[string]bool{}, now: from}
		s := settings()
		s.Dependency, s.MaxIdleTimeout = DependencyShared, 30*time.Second
		m, err := New(b.now, s, 7, b)
		if err != nil {
			t.Fatal(err)
		}
		id := RequestID(0)
		for i := range 4000 {
			b.now += 5 * ms
			if i%40 == 0 {
				id++
				m.Arrive(b.now, Request{ID: id, Class: 1, CallerTimeout: 7 * time.Second, MemoryKB: 10, Caller: uint32(i)})
			}
			if i%40 == 10 {
				m.CallNeeded(b.now, id)
			}
			if i%40 == 20 {
				m.CallEnded(b.now, id, OK, 50*ms)
			}
			if i%40 == 30 {
				m.RunEnded(b.now, id, OK, 150*ms)
			}
			if b.now >= b.wake {
				m.TimerFired(b.now, 1, []float64{0.5, 1})
			}
			m.FinishBatch(b.now)
		}
		return b.acts
	}
	want := day(50 * time.Second)
	for _, from := range []time.Duration{-10 * time.Second, -time.Hour, -1} {
		if got := day(from); !reflect.DeepEqual(got, want) {
			t.Errorf("from %v: %d actions, want %d", from, len(got), len(want))
		}
	}
}

// Where aims and work are short, learning must be as much quicker: a bound that
// takes eight seconds to be known refuses through a third of a short release.
func TestShortAimsAreLearnedFaster(t *testing.T) {
	steps := func(aim time.Duration) (n int) {
		b := newBed(t, func(s *Settings) { s.Classes[0].LatencyTarget = aim })
		for range 40 {
			at := b.m.limitSteppedAt
			b.pass(25 * ms)
			if b.m.limitSteppedAt != at {
				n++
			}
		}
		return n
	}
	if long, short := steps(2500*ms), steps(500*ms); long != 10 || short < 3*long {
		t.Errorf("%d steps at a long aim, %d at a short one", long, short)
	}
}
