package rules

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// bed drives a module and records what it does.
type bed struct {
	t    *testing.T
	m    *Module
	now  time.Duration
	acts []string
	next RequestID
	last map[string]bool // "action id" seen
	wake time.Duration
	say  float64
}

func (b *bed) add(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	b.acts = append(b.acts, line)
	b.last[line] = true
}
func (b *bed) Run(id RequestID)     { b.add("run %d", id) }
func (b *bed) Preempt(id RequestID) { b.add("halt %d", id) }
func (b *bed) Refuse(id RequestID, after time.Duration, last bool) {
	b.add("refuse %d", id)
	if after > 0 {
		b.add("advice %d", id)
	}
	if last {
		b.add("last %d", id)
	}
}
func (b *bed) Fail(id RequestID)                           { b.add("fail %d", id) }
func (b *bed) Call(id RequestID, t time.Duration)          { b.add("call %d", id) }
func (b *bed) SkipCall(id RequestID)                       { b.add("skip %d", id) }
func (b *bed) KeepRecord(id RequestID, span time.Duration) { b.add("keep %d", id) }
func (b *bed) ForgetRecord(id RequestID)                   { b.add("forget %d", id) }
func (b *bed) JoinEarlier(id RequestID)                    { b.add("reuse %d", id) }
func (b *bed) SetHealth(stored, good bool)                 { b.add("health %v %v", stored, good) }
func (b *bed) PublishLoad(v float64)                       { b.say = v; b.add("say") }
func (b *bed) SetIdleTimeout(after time.Duration)          { b.add("idle %v", after) }
func (b *bed) StartTimer(token uint64, in time.Duration)   { b.wake = b.now + in }
func (b *bed) Log(line string)                             {}

func settings() Settings {
	return Settings{
		BatchInterval: 2 * ms, Cores: 2, Nodes: 4, Callers: 3, OverQuotaUtility: 0.05, HonoursRetryAfter: true,
		MaxRetryAfter: time.Second, TimeoutsPassed: true, Preemption: PreemptDrop, MemoryKB: 1e6,
		RunningMemoryFactor: 16, RecordKB: 100, Gauges: []string{"cpu_busy", "runnable", "novelty"},
		AnswerSlack: 60 * ms, ColdSpeed: 0.2, WarmUpTime: 18 * time.Second, DrainGrace: 2 * time.Second,
		OverloadRunsPerCore: 8, OverloadWindow: 1500 * ms, CallWindow: 5 * time.Second, CallShare: 10,
		AbandonedCallTime: 200 * ms,
		Classes: []Class{
			{LatencyTarget: 2500 * ms, Deadline: 8 * time.Second, Utility: 1},
			{LatencyTarget: 2500 * ms, Deadline: 8 * time.Second, Utility: 2, SkipUtilityShare: 0.5, CallsDependency: true},
			{LatencyTarget: 2500 * ms, Deadline: 8 * time.Second, Utility: 1, Effect: Keyed, IdempotencyWindow: 5 * time.Second},
			{LatencyTarget: 2500 * ms, Deadline: 8 * time.Second, Utility: 1, Effect: Unsafe},
		},
	}
}

func newBed(t *testing.T, change func(*Settings)) *bed {
	t.Helper()
	s := settings()
	if change != nil {
		change(&s)
	}
	b := &bed{t: t, last: map[string]bool{}, now: 50 * time.Second}
	m, err := New(b.now, s, 7, b)
	if err != nil {
		t.Fatal(err)
	}
	b.m = m
	return b
}

// arrive reads a request of a class, with changes, and returns its id.
func (b *bed) arrive(class int, change func(*Request)) RequestID {
	b.next++
	q := Request{ID: b.next, Class: class, MemoryKB: 10, CallerTimeout: 8 * time.Second}
	if change != nil {
		change(&q)
	}
	b.m.Arrive(b.now, q)
	return q.ID
}

func (b *bed) settle() { b.m.FinishBatch(b.now) }

// pass lets time go by, beat for beat, as the host would.
func (b *bed) pass(d time.Duration, gauges ...float64) {
	for end := b.now + d; b.wake <= end; {
		b.now = b.wake
		b.m.TimerFired(b.now, 1, gauges)
		b.settle()
	}
}

func (b *bed) want(lines ...string) {
	b.t.Helper()
	for _, l := range lines {
		if !b.last[l] {
			b.t.Errorf("missing %q in %v", l, b.acts)
		}
	}
}

func (b *bed) wantNot(lines ...string) {
	b.t.Helper()
	for _, l := range lines {
		if b.last[l] {
			b.t.Errorf("unwanted %q", l)
		}
	}
}

func (b *bed) count(prefix string) int {
	n := 0
	for _, a := range b.acts {
		if len(a) > len(prefix) && a[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}

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

func TestLineAndLimit(t *testing.T) {
	b := newBed(t, nil)
	for range 6 {
		b.arrive(0, nil)
	}
	b.settle()
	if got := b.count("run "); got != 2 {
		t.Errorf("%d runs at the start, want the core count", got)
	}
	// The line's floor is the running limit: 2 wait, 2 are refused at once with advice.
	b.want("refuse 6", "advice 6", "refuse 5")
	b.m.RunEnded(b.now, 1, OK, 100*ms)
	b.settle()
	b.want("run 3") // the oldest
	b.wantNot("run 4")
}

func TestLeastValuableLeavesFullLine(t *testing.T) {
	b := newBed(t, nil)
	for range 4 {
		b.arrive(0, nil)
	}
	b.settle()
	b.arrive(1, nil) // worth 2
	b.settle()
	b.want("refuse 4")
	b.wantNot("refuse 5")
}

func TestLimitGrowsWhileCoresIdleAndShrinksWhenSlow(t *testing.T) {
	b := newBed(t, nil)
	for range 4 {
		b.arrive(0, nil)
	}
	b.settle()
	b.pass(300*ms, 0.5, 1)
	if b.m.runLimit <= 2 {
		t.Fatalf("limit %v did not grow with idle cores and held work", b.m.runLimit)
	}
	b.m.runLatency[0] = latencyEstimate{mean: 1, baseline: 0.2, samples: 20}
	b.pass(5*time.Second, 1, 9)
	if b.m.runLimit != 2 {
		t.Errorf("limit %v, want the floor after long slow runs", b.m.runLimit)
	}
}

func TestCrowdCeiling(t *testing.T) {
	for _, cold := range []bool{false, true} {
		b := newBed(t, func(s *Settings) { s.ColdStart = cold })
		b.m.runLimit = 1000
		for range 60 {
			b.arrive(0, nil)
		}
		b.settle()
		most := 16
		if cold {
			most = 4 // 2 cores x (1 + 7 x 0.2) = 4.8
		}
		if got := b.count("run "); got > most || got < 2 {
			t.Errorf("cold %v: %d runs, at most %d are survived", cold, got, most)
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

func TestHeldPastAgeIsRefusedNotRun(t *testing.T) {
	b := newBed(t, nil)
	for range 3 {
		b.arrive(0, nil)
	}
	b.settle()
	b.pass(2500*ms, 1, 2)
	b.want("refuse 3")
	b.wantNot("run 3")
}

func TestProcessPauseDoesNotEmptyTheLine(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.Classes[0].LatencyTarget = 6 * time.Second })
	for range 4 {
		b.arrive(0, nil)
	}
	b.settle()
	b.now += 2100 * ms // nothing is delivered meanwhile
	b.m.TimerFired(b.now, 1, []float64{1, 2})
	b.m.RunEnded(b.now, 1, OK, 100*ms)
	b.settle()
	b.want("run 3")
	b.wantNot("refuse 3", "refuse 4")
}

func TestKeyedRunsOnce(t *testing.T) {
	b := newBed(t, nil)
	first := b.arrive(2, nil)
	b.settle()
	b.want("keep 1", "run 1")
	second := b.arrive(2, func(q *Request) { q.RepeatOf = first; q.Retry = true })
	b.settle()
	b.want("reuse 2")
	b.wantNot("run 2", "refuse 2")
	b.m.RunEnded(b.now, first, Failed, 10*ms)
	b.m.RunEnded(b.now, second, Failed, 10*ms)
	b.arrive(2, func(q *Request) { q.RepeatOf = first })
	b.settle()
	b.want("reuse 3")
	b.wantNot("run 3")
}

func TestRefusedKeyMayRunLater(t *testing.T) {
	b := newBed(t, nil)
	for range 5 {
		b.arrive(2, nil)
	}
	b.settle()
	b.want("refuse 5", "forget 5")
	b.m.RunEnded(b.now, 1, OK, 10*ms)
	b.m.RunEnded(b.now, 2, OK, 10*ms)
	b.arrive(2, func(q *Request) { q.RepeatOf = 5 }) // was on its way while the entry stood
	b.settle()
	b.want("keep 6")
	b.wantNot("reuse 6")
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

func TestKeyTableIsBounded(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.MemoryKB = 10000; s.RecordKB = 1000; s.RunningMemoryFactor = 1 })
	for range 20 {
		id := b.arrive(2, nil)
		b.settle()
		b.m.RunEnded(b.now, id, OK, 10*ms)
	}
	if got := b.count("keep "); got > 4 {
		t.Errorf("%d keys kept, memory holds 4 within its share", got)
	}
	b.want("refuse 20")
	b.pass(6*time.Second, 0, 0)
	id := b.arrive(2, nil)
	b.settle()
	b.want(fmt.Sprintf("run %d", id)) // the table emptied with time
}

func TestDrain(t *testing.T) {
	b := newBed(t, nil)
	a := b.arrive(3, nil)
	b.m.Drain(b.now, 4*time.Second)
	b.settle()
	// What comes within the grace still runs: to send callers elsewhere at the notice
	// would leave these cores idle just when the fleet is short of them.
	b.pass(1500*ms, 1, 1)
	b.wantNot("health true false")
	b.pass(400*ms, 1, 1)
	b.want("health true false") // in time for answers to tell it
	within := b.arrive(0, func(q *Request) { q.Age = 500 * ms })
	b.now += 200 * ms
	late := b.arrive(0, nil)
	b.settle()
	b.want(fmt.Sprint("run ", a), fmt.Sprint("run ", within), fmt.Sprint("refuse ", late), "health true false")
	b.wantNot(fmt.Sprint("run ", late))
	b.pass(1890*ms, 1, 1)
	b.want(fmt.Sprint("fail ", a)) // all answered before the stop
	if len(b.m.queue) != 0 {
		t.Errorf("%d still held at the stop", len(b.m.queue))
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

func TestStallRefusesAndRecovers(t *testing.T) {
	b := newBed(t, nil)
	for range 20 {
		id := b.arrive(0, nil)
		b.settle()
		b.now += 50 * ms
		b.m.RunEnded(b.now, id, OK, 50*ms)
		b.settle()
		b.pass(25*ms, 1, 1)
	}
	a, c := b.arrive(0, nil), b.arrive(0, nil)
	b.settle()
	b.pass(1100*ms, 1, 2)
	d := b.arrive(0, nil)
	b.settle()
	b.want(fmt.Sprint("refuse ", d), fmt.Sprint("advice ", d), "health true false")
	b.wantNot(fmt.Sprint("last ", d)) // another node can serve it
	b.m.RunEnded(b.now, a, Cancelled, 900*ms)
	b.m.RunEnded(b.now, c, Cancelled, 900*ms)
	b.acts = nil
	b.settle()
	if !slices.Equal(b.acts, []string{fmt.Sprint("run ", c), fmt.Sprint("run ", a)}) { // their aim is 1.4 s away, and both cores are free
		t.Errorf("after the stall: %v", b.acts)
	}
	b.m.RunEnded(b.now, a, OK, 50*ms)
	e := b.arrive(0, nil)
	b.settle()
	b.want(fmt.Sprint("run ", e))
}

func TestOnlySuccessesTeachTheDrainRate(t *testing.T) {
	for _, o := range []Outcome{OK, Failed} {
		b := newBed(t, nil)
		for range 200 {
			for _, r := range append([]*request(nil), b.m.requests...) {
				if r.state == running {
					b.m.RunEnded(b.now, r.ID, o, 25*ms)
				}
			}
			for range 4 {
				b.arrive(0, nil)
			}
			b.pass(25*ms, 1, 2)
		}
		if got := b.m.drainSuccesses; (got > 1) != (o == OK) {
			t.Errorf("outcome %v taught a drain rate of %.1f", o, got)
		}
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

func TestAdviceAndCreditFollowPressure(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.LoadFeedback = FeedbackCredit })
	for range 4 {
		b.arrive(0, nil)
	}
	b.settle()
	b.m.runLimit, b.m.drainSeconds, b.m.drainSuccesses = 12, 1, 20
	b.m.publishFeedback()
	calm, credit := b.m.retryAfter(), b.say
	b.m.arrivalCount, b.m.overloadCount, b.m.pressure = 100, 60, 0.9
	b.m.publishFeedback()
	if got := b.m.retryAfter(); got <= calm || got > time.Second {
		t.Errorf("advice %v under pressure, %v without, 1 s at most", got, calm)
	}
	if b.say >= credit {
		t.Errorf("credit %v under pressure, %v without", b.say, credit)
	}
}

func TestGreedyTenantLeavesFirst(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSecond: 50}, {QuotaPerSecond: 50}} })
	for i := range 400 { // tenant 0 sends nine in ten, far over its quota
		id := b.arrive(0, func(q *Request) { q.Tenant = min(1, i%10/9) })
		b.settle()
		b.m.RunEnded(b.now, id, OK, 5*ms)
		b.settle()
	}
	b.arrive(3, nil)
	b.m.drainSeconds, b.m.drainSuccesses = 1, 1 // a slow drain, known: the line holds no more than the slots
	b.arrive(3, nil)                            // both cores busy
	b.settle()
	greedy := b.arrive(0, func(q *Request) { q.Tenant = 0 })
	b.arrive(0, func(q *Request) { q.Tenant = 1 })
	b.arrive(0, func(q *Request) { q.Tenant = 1 })
	b.settle()
	b.want(fmt.Sprint("refuse ", greedy))
}

// A tenant that sends three times its quota keeps what is within it: only the excess is
// marked, for as long as it lasts, and what becomes of a request gives nothing back: the
// one in its place would be another of those that never cease to come. Marked retries
// take nothing, their first try did; they are beyond while nothing is left.
func TestOnlyTheExcessOfATenantIsMarked(t *testing.T) {
	for name, tc := range map[string]struct{ refused, retry bool }{
		"served": {false, false}, "refused": {true, false}, "retries": {false, true},
	} {
		b := newBed(t, func(s *Settings) {
			s.Nodes, s.Tenants = 4, []Tenant{{QuotaPerSecond: 40, Share: 0.1}, {}} // 10 a second for this node
		})
		marked, from := 0, b.now
		for range 600 { // three times the quota
			id := b.arrive(0, func(q *Request) { q.Retry = tc.retry })
			if b.m.byID[id].overQuota {
				marked++
			}
			if b.settle(); tc.refused {
				r := b.m.byID[id]
				r.mayHaveRun = false
				b.m.remove(r)
			} else {
				b.m.RunEnded(b.now, id, OK, 5*ms)
			}
			if other := b.arrive(0, func(q *Request) { q.Tenant = 1 }); b.m.byID[other].overQuota {
				t.Fatal("a tenant without a quota is over it")
			}
			b.settle()
			b.m.RunEnded(b.now, b.next, OK, 5*ms)
			b.pass(time.Second/30, 0, 0)
		}
		want := 0
		if !tc.retry { // all but the quota and 5 s of it saved
			want = 600 - 50 - int(10*(b.now-from).Seconds())
		}
		if math.Abs(float64(marked-want)) > 2 || !tc.retry && want < 300 {
			t.Errorf("%s: %d of 600 marked, want %d", name, marked, want)
		}
		b.m.tenantUsage[0].remaining = 0
		if last := b.arrive(0, func(q *Request) { q.Retry = true }); b.m.byID[last].overQuota == tc.retry {
			t.Errorf("%s: with nothing left a retry is beyond: %v", name, tc.retry)
		}
	}
}

// A node to which hot keys or few callers send far more than its part sees every tenant
// beyond its quota; while each keeps to its share of what comes, none is marked.
func TestHotNodeMarksNoTenantWithinItsShare(t *testing.T) {
	b := newBed(t, func(s *Settings) {
		s.Nodes, s.Tenants = 4, []Tenant{{QuotaPerSecond: 3, Share: 0.75}, {QuotaPerSecond: 1, Share: 0.25}}
	})
	for i := range 800 { // ten times the quotas
		id := b.arrive(0, func(q *Request) { q.Tenant = i % 4 / 3 })
		if i > 100 && b.m.byID[id].overQuota {
			t.Fatalf("request %d of tenant %d is marked", i, i%4/3)
		}
		b.settle()
		b.m.RunEnded(b.now, id, OK, 5*ms)
		b.pass(25*ms, 0, 0)
	}
	marked := 0
	for range 200 { // now one alone
		id := b.arrive(0, func(q *Request) { q.Tenant = 1 })
		if b.m.byID[id].overQuota {
			marked++
		}
		b.settle()
		b.m.RunEnded(b.now, id, OK, 5*ms)
	}
	if marked < 150 {
		t.Errorf("%d of 200 marked", marked)
	}
}

// While overflow lasts and cores are taken, what is beyond a quota is refused as it comes:
// in the line it would take the next slot from what is within. A repeat of work that may
// have run still gets its result.
func TestBeyondAQuotaIsRefusedAtOnceInOverflow(t *testing.T) {
	for name, tc := range map[string]struct {
		pressure float64
		busy     int
		refused  bool
	}{"overflow lasts": {0.5, 2, true}, "it passes": {0.1, 2, false}, "a core is free": {0.5, 1, false}} {
		b := newBed(t, func(s *Settings) {
			s.Tenants = []Tenant{{QuotaPerSecond: 4, Share: 0.5}, {QuotaPerSecond: 4, Share: 0.5}}
		})
		ran := b.arrive(2, nil)
		for range tc.busy - 1 {
			b.arrive(3, nil)
		}
		b.settle()
		b.m.pressure = tc.pressure
		b.m.tenantUsage[0].remaining, b.m.tenantUsage[0].updatedAt, b.m.tenantUsage[0].arrivalShare = 0, b.now, 0.9
		beyond, within := b.arrive(0, nil), b.arrive(0, func(q *Request) { q.Tenant = 1 })
		again := b.arrive(2, func(q *Request) { q.RepeatOf = ran })
		b.wantNot(fmt.Sprint("refuse ", within))
		b.want(fmt.Sprint("reuse ", again))
		if b.last[fmt.Sprint("refuse ", beyond)] != tc.refused || b.last[fmt.Sprint("last ", beyond)] != tc.refused {
			t.Errorf("%s: refused at once: %v", name, !tc.refused)
		}
	}
}

func TestSlotGoesToTheOldestOrByWorthUnderPressure(t *testing.T) {
	for _, c := range []struct {
		pressure float64
		want     string
	}{{0, "run 3"}, {0.5, "run 4"}} {
		b := newBed(t, func(s *Settings) { s.UtilityPerWork = true })
		for range 3 {
			b.arrive(0, nil)
		}
		b.arrive(1, nil) // worth twice as much
		b.settle()
		b.m.pressure = c.pressure
		b.m.RunEnded(b.now, 1, OK, 50*ms)
		b.settle()
		b.want(c.want)
	}
}

func TestIdleCoresTryWhatBusyOnesRefuse(t *testing.T) {
	for _, c := range []struct {
		gauges []float64
		want   string
	}{{[]float64{0.4, 3}, "run 4"}, {[]float64{1, 9}, "refuse 4"}} {
		b := newBed(t, func(s *Settings) { s.Cores = 6; s.Classes[0].LatencyTarget = 2 * time.Second })
		for range 20 {
			b.m.runLatency[0].observe(time.Second, runLatencyWeight)
		}
		for range 3 {
			b.arrive(0, nil)
		}
		b.settle()
		b.pass(50*ms, c.gauges...)
		b.arrive(0, func(q *Request) { q.Age = 900 * ms }) // 1.1 s are left before an aim of 2 s: 1.4 runs don't fit
		b.settle()
		b.want(c.want)
	}
}

func TestLimitDoesNotShrinkWhileCoresIdle(t *testing.T) {
	b := newBed(t, nil)
	b.m.runLimit = 8
	b.m.runLatency[0] = latencyEstimate{mean: 1, baseline: 0.2, samples: 20}
	b.pass(2*time.Second, 0.5, 1)
	if b.m.runLimit != 8 {
		t.Errorf("limit %v shrank on idle cores", b.m.runLimit)
	}
}

func TestCreditIsWholeWithoutPressure(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.LoadFeedback = FeedbackCredit })
	b.m.publishFeedback()
	if want := b.m.runLimit + float64(b.m.queueBound()); b.say != want {
		t.Errorf("credit %v, want the whole room %v: one caller may carry most of the traffic", b.say, want)
	}
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

func TestStaleReadsSendCallersElsewhere(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.LoadFeedback = FeedbackWeight })
	for range 40 {
		b.arrive(0, func(q *Request) { q.Age = 1400 * ms })
		b.settle()
	}
	b.pass(300*ms, 1, 2)
	b.want("health true false")
	if b.say != 0 {
		t.Errorf("weight %v while all that is read is stale", b.say)
	}
	b.pass(5*time.Second, 0, 0)
	b.want("health true true") // tried again after a while without reads
}

func TestFirstRunsRaiseNoFalseStall(t *testing.T) {
	b := newBed(t, nil)
	for range 3 { // the first to end are the shortest
		id := b.arrive(0, nil)
		b.settle()
		b.m.RunEnded(b.now, id, OK, 10*ms)
	}
	b.arrive(0, nil)
	b.arrive(0, nil)
	b.settle()
	b.pass(1200*ms, 1, 2)
	if b.m.stalled {
		t.Error("three short runs made usual ones look stalled")
	}
}

func TestHintMovesTheUsualRun(t *testing.T) {
	b := newBed(t, nil)
	for i := range 60 {
		hint := time.Duration(100+100*(i%4)) * ms
		id := b.arrive(0, func(q *Request) { q.WorkHint = hint })
		b.settle()
		b.m.RunEnded(b.now, id, OK, 200*ms+2*hint) // a wait that does not grow, and half speed
		b.settle()
	}
	small := b.m.expectedRun(&request{Request: Request{WorkHint: 100 * ms}})
	big := b.m.expectedRun(&request{Request: Request{WorkHint: 1200 * ms}})
	if small > 600*ms || big < 1800*ms {
		t.Errorf("usual runs %v and %v, want about 400 ms and 2.6 s", small, big)
	}
	id := b.arrive(0, func(q *Request) { q.WorkHint = 1200 * ms }) // 3.6 s with room, and the aim is 2.5 s
	b.pass(25*ms, 1, 9)
	b.want(fmt.Sprint("refuse ", id))
}

func TestWeightAndLevelFollowPressure(t *testing.T) {
	for kind, want := range map[LoadFeedback]float64{FeedbackWeight: 1 - pressureWeightShare*0.5, FeedbackLevel: 0.5} {
		b := newBed(t, func(s *Settings) { s.LoadFeedback = kind })
		b.m.pressure = 0.5 + pressureDecrease
		b.arrive(0, nil)
		b.arrive(0, nil)
		b.arrive(0, nil)
		b.settle() // the cores are taken and one waits: nothing is free
		b.m.publishFeedback()
		if diff := b.say - want; diff > 0.01 || diff < -0.01 {
			t.Errorf("free value %v says %v at half pressure, want %v", kind, b.say, want)
		}
	}
}

func TestRunsStoppedAtTheirAimTeach(t *testing.T) {
	b := newBed(t, nil)
	for range 20 {
		b.m.runLatency[0].observe(200*ms, runLatencyWeight)
	}
	for range 2 {
		b.arrive(0, nil)
	}
	b.settle()
	b.pass(2600*ms, 1, 2)
	b.want("fail 1", "halt 1", "fail 2")
	if got := b.m.runLatency[0].mean; got < 0.4 {
		t.Errorf("usual run %.2f s after two that took over 2.5 s", got)
	}
}

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

func TestWalksEndUnderLastingOverflow(t *testing.T) {
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
		b := newBed(t, func(s *Settings) { s.RetriesMarked = !tc.unmarked })
		b.m.pressure, b.m.retryShare = tc.pressure, tc.again
		for range 12 {
			b.arrive(0, func(q *Request) { q.Retry = tc.retry })
		}
		b.settle()
		if refused, last := b.count("refuse "), b.count("last "); refused == 0 || (last == refused) != tc.last {
			t.Errorf("%s: %d refused, %d of them last, want last %v", name, refused, last, tc.last)
		}
	}
}

// What is too old when it is read is pressure as what finds a full line: a node that only
// reads what waited too long unread refuses as much, and would say that it has room.
func TestTooOldWhenReadIsPressure(t *testing.T) {
	for _, age := range []time.Duration{0, 1100 * ms} {
		b := newBed(t, nil)
		for range 20 {
			on := []RequestID{b.arrive(3, nil), b.arrive(3, nil)} // both cores taken
			b.settle()
			id := b.arrive(0, func(q *Request) { q.Age = age })
			b.settle()
			for _, r := range append(on, id) {
				b.m.RunEnded(b.now, r, OK, 5*ms)
			}
			b.pass(50*ms, 1, 1)
		}
		if pressure := b.m.pressure > 0.3; pressure != (age > 0) {
			t.Errorf("read at an age of %v: pressure %v", age, b.m.pressure)
		}
	}
}

func TestStaleFadesOnlyWithoutReads(t *testing.T) {
	for name, reads := range map[string]bool{"with reads": true, "without": false} {
		b := newBed(t, nil)
		b.m.staleShare = 1
		for range 10 {
			if reads {
				b.arrive(0, func(q *Request) { q.Age = 2 * time.Second })
			}
			b.pass(feedbackInterval)
		}
		if faded := b.m.staleShare < 0.9; faded == reads {
			t.Errorf("%s: stale share %v", name, b.m.staleShare)
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

func TestMarkedRetriesLeaveAFullLineFirst(t *testing.T) {
	b := newBed(t, nil)
	retry := func(q *Request) { q.Retry = true }
	b.arrive(0, nil) // these two fill the cores
	b.arrive(0, nil)
	b.settle()
	old := b.arrive(0, retry)
	first := b.arrive(0, nil)
	dear := b.arrive(1, retry)
	b.arrive(0, nil)
	b.settle()
	b.want(fmt.Sprintf("refuse %d", old), fmt.Sprintf("refuse %d", dear))
	b.wantNot(fmt.Sprintf("refuse %d", first))
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

// Bursts that are over within a step must teach the bound too: where runs take a
// few milliseconds no line ever stands for a whole step, a bound learned only
// from those stays at the slots, and one refusal in a burst keeps a caller away
// for longer than the burst. It could harm where short runs say nothing of long
// ones: the rate is then too high until slots were short for a step.
func TestShortBurstsTeachTheBound(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.BatchInterval = ms })
	for range 60 { // two cores, runs of 5 ms, a burst of ten every 25 ms
		for range 10 {
			b.arrive(0, nil)
		}
		for b.now += ms; len(b.m.queue) > 0 || b.m.runningCount > 0; b.now += 5 * ms {
			b.settle()
			for _, r := range append([]*request(nil), b.m.requests...) {
				if r.state == running {
					b.m.RunEnded(b.now+5*ms, r.ID, OK, 5*ms)
				}
			}
		}
		b.pass(max(b.wake-b.now, 0), 0.5, 1)
	}
	if got := b.m.drainRate(); got < 200 || got > 800 {
		t.Errorf("two slots and runs of 5 ms drain %.0f a second", got)
	}
	if got := b.m.queueBound(); got < 100 {
		t.Errorf("a bound of %d", got)
	}
	b.acts = nil
	for range 80 { // half a second of work, well before its aim
		b.arrive(0, nil)
	}
	b.settle()
	for _, act := range b.acts {
		if act != "run 601" && act != "run 602" {
			t.Errorf("%s, though all fits", act)
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

// A node that has become slow refuses at once what it can't finish; another node
// may well serve that, so its caller must not be told to try no other. Only what
// has no time left for a run at base speed is lost everywhere. It could harm
// where all nodes are slow for the same reason: their callers walk once more.
func TestSlowNodeSendsFreshRequestsElsewhere(t *testing.T) {
	b := newBed(t, nil)
	b.m.runLatency[0] = latencyEstimate{mean: 2, baseline: 0.1, samples: 100} // a run takes two of the 2.5 s
	b.m.cpuBusy, b.m.runnable = 1, 9
	b.arrive(3, nil)
	b.arrive(3, nil) // both cores busy
	b.settle()
	fresh := b.arrive(0, nil)
	old := b.arrive(0, func(q *Request) { q.Age = 2400 * ms })
	b.settle()
	b.want(fmt.Sprint("refuse ", fresh), fmt.Sprint("refuse ", old), fmt.Sprint("last ", old))
	b.wantNot(fmt.Sprint("last ", fresh))
}

// The busy share is a mean over a second or so, what wants a core is as of now. In
// a burst after a quiet spell the first still says idle while the second says
// crowded: growth on its word would run the limit up to the crowd that the node
// barely survives. It could harm where the gauge of runnable work counts what
// wants no core.
func TestLaggingBusyShareGrowsNoLimit(t *testing.T) {
	for _, tc := range []struct {
		runnable float64
		grows    bool
	}{{1, true}, {3, true}, {8, false}} { // two cores
		b := newBed(t, nil)
		for range 30 {
			b.arrive(0, nil)
		}
		b.settle()
		b.pass(time.Second, 0.6, tc.runnable)
		if grew := b.m.runLimit > 2; grew != tc.grows {
			t.Errorf("%.0f runnable on two cores: a limit of %.1f", tc.runnable, b.m.runLimit)
		}
	}
}

// What has waited past its age limit has used up what a walk to other nodes would
// take: it is told to try no other, however fast one might be. Where walks are marked
// and hardly any come here, the others have room, and it may go there while it can be
// served: a node that hot keys fill is no sign of a full fleet.
func TestAgedOutTriesNoOther(t *testing.T) {
	for name, tc := range map[string]struct {
		marks bool
		again float64
		last  bool
	}{"unmarked": {false, 0, true}, "many walk": {true, 0.3, true}, "few walk": {true, 0.02, false}} {
		b := newBed(t, func(s *Settings) { s.RetriesMarked = tc.marks })
		b.arrive(3, nil)
		b.arrive(3, nil) // both cores busy
		b.settle()
		a := b.arrive(0, nil)
		b.m.retryShare = tc.again
		b.pass(1100*ms, 1, 9) // 0.12 of 8 s, with time left for a run
		b.want(fmt.Sprint("refuse ", a))
		if last := b.last[fmt.Sprint("last ", a)]; last != tc.last {
			t.Errorf("%s: last %v", name, last)
		}
	}
}

// Half a minute of reads tells how many of them are further tries.
func TestShareOfFurtherTries(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.RetriesMarked = true })
	for i := range 400 {
		id := b.arrive(0, func(q *Request) { q.Retry = i%4 == 0 })
		b.settle()
		b.m.RunEnded(b.now, id, OK, 5*ms)
		b.settle()
	}
	if b.m.retryShare < 0.2 || b.m.retryShare > 0.3 {
		t.Errorf("one in four: %v", b.m.retryShare)
	}
}

// The memory of keys counts what is kept, not what was given back: requests that were turned
// away, and one whose only start took no effect, leave room for others at once.
func TestForgottenKeysTakeNoMemory(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.MemoryKB, s.RunningMemoryFactor, s.RecordKB = 10000, 1, 300 }) // keys may take 4,500
	keyed := func(q *Request) { q.MemoryKB = 1 }
	for range 3 { // both cores busy, a full line, and 30 that come too much
		for range 10 {
			b.arrive(2, keyed)
			b.settle()
		}
		b.pass(200*ms, 1, 5)
	}
	if kept := b.m.recordMemoryKB(); kept == 0 || kept > 4*300 { // two run, two are held
		t.Fatalf("%d entries take %v kB", len(b.m.records), kept)
	}
	for _, r := range slices.Clone(b.m.requests) {
		b.m.RunEnded(b.now, r.ID, OK, 5*ms)
	}
	b.settle()
	b.pass(5*time.Second+100*ms, 0, 0) // the windows of those that ran are over
	if len(b.m.records) != 0 || b.m.recordMemoryKB() != 0 {
		t.Errorf("%d entries are left and take %v kB", len(b.m.records), b.m.recordMemoryKB())
	}
	a := b.arrive(2, keyed)
	b.settle()
	b.want(fmt.Sprint("run ", a))
	b.m.RunEnded(b.now, a, NeverStarted, 0)
	b.want(fmt.Sprint("forget ", a))
	if again := b.m.recordMemoryKB(); again != 0 {
		t.Errorf("a start without effect keeps %v kB", again)
	}
	c := b.arrive(2, keyed)
	b.settle()
	b.want(fmt.Sprint("run ", c))
	b.m.RunEnded(b.now, c, OK, 5*ms)
	b.wantNot(fmt.Sprint("forget ", c))
	d := b.arrive(2, func(q *Request) { q.RepeatOf = c; q.MemoryKB = 1 })
	b.settle()
	b.want(fmt.Sprint("reuse ", d))
	b.wantNot(fmt.Sprint("run ", d), fmt.Sprint("refuse ", d))
}

// Where neither marks nor patience tell how long a client has waited already, what is held
// may be its third try, and is let go sooner.
func TestUnsureAgeIsHeldForLess(t *testing.T) {
	for name, tc := range map[string]struct {
		marks, patience bool
		held            time.Duration
	}{"marked": {true, false, 960 * ms}, "patience": {false, true, 960 * ms}, "neither": {false, false, 400 * ms}} {
		b := newBed(t, func(s *Settings) { s.RetriesMarked, s.TimeoutsPassed = tc.marks, tc.patience })
		b.arrive(3, nil)
		b.arrive(3, nil) // both cores busy
		b.settle()
		from := b.now
		a := b.arrive(0, nil) // 8 s until its deadline
		for !b.last[fmt.Sprint("refuse ", a)] && b.now < from+2*time.Second {
			b.pass(25*ms, 1, 9)
		}
		if took := b.now - from; took < tc.held || took > tc.held+60*ms {
			t.Errorf("%s: refused after %v, want %v", name, took, tc.held)
		}
	}
}

// What was read past its age limit while a core is free starts at once: it did not wait
// here, it came late, and refusing it costs another read somewhere.
func TestReadLateStartsOnAFreeCore(t *testing.T) {
	for busy, starts := range []bool{true, true, false} { // of two cores
		b := newBed(t, nil)
		for range busy {
			b.arrive(3, nil)
		}
		b.settle()
		late := b.arrive(0, func(q *Request) { q.Age = 1100 * ms }) // 0.12 of 8 s is 960 ms; its aim is 2.5 s
		b.settle()
		if b.last[fmt.Sprint("run ", late)] != starts || b.last[fmt.Sprint("refuse ", late)] == starts {
			t.Errorf("%d of 2 cores taken: starts %v", busy, !starts)
		}
	}
}

// A flood of keyed requests that are all turned away leaves no more entries behind than
// could be kept, twice over; a repeat of one that is no longer known never runs.
func TestForgottenKeysAreBounded(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.MemoryKB, s.RunningMemoryFactor, s.RecordKB = 10000, 1, 300 }) // 15 may be kept
	var last RequestID
	for range 500 {
		last = b.arrive(2, func(q *Request) { q.MemoryKB = 1 })
		b.settle()
	}
	b.want(fmt.Sprint("refuse ", last), fmt.Sprint("forget ", last))
	if n := len(b.m.records); n > 30 || n-b.m.releasedRecords > 15 {
		t.Errorf("%d entries, %d of them freed", n, b.m.releasedRecords)
	}
	again := b.arrive(2, func(q *Request) { q.MemoryKB, q.RepeatOf = 1, last })
	b.settle()
	b.want(fmt.Sprint("reuse ", again))
	b.wantNot(fmt.Sprint("run ", again))
	b.pass(6*time.Second, 1, 5)
	if n := len(b.m.records); b.m.releasedRecords != 0 || n > 4 {
		t.Errorf("after the window %d entries, %d freed", n, b.m.releasedRecords)
	}
}
