package rules

import (
	"fmt"
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
