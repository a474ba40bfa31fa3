package rules

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness is a host that drives a module and records its actions.
type harness struct {
	t             *testing.T
	m             *Module
	now           time.Duration
	actions       []string
	lastID        RequestID
	done          map[string]bool // actions as "name id"
	timerAt       time.Duration
	publishedLoad float64
}

func (h *harness) record(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	h.actions = append(h.actions, line)
	h.done[line] = true
}
func (h *harness) Run(id RequestID)     { h.record("run %d", id) }
func (h *harness) Preempt(id RequestID) { h.record("preempt %d", id) }
func (h *harness) Refuse(id RequestID, after time.Duration, stopRetrying bool) {
	h.record("refuse %d", id)
	if after > 0 {
		h.record("retry-after %d", id)
	}
	if stopRetrying {
		h.record("stop-retrying %d", id)
	}
}
func (h *harness) Fail(id RequestID)                           { h.record("fail %d", id) }
func (h *harness) Call(id RequestID, t time.Duration)          { h.record("call %d", id) }
func (h *harness) SkipCall(id RequestID)                       { h.record("skip %d", id) }
func (h *harness) KeepRecord(id RequestID, span time.Duration) { h.record("keep %d", id) }
func (h *harness) ForgetRecord(id RequestID)                   { h.record("forget %d", id) }
func (h *harness) JoinEarlier(id RequestID)                    { h.record("join %d", id) }
func (h *harness) SetHealth(stored, good bool)                 { h.record("health %v %v", stored, good) }
func (h *harness) PublishLoad(v float64)                       { h.publishedLoad = v; h.record("load") }
func (h *harness) SetIdleTimeout(after time.Duration)          { h.record("idle %v", after) }
func (h *harness) StartTimer(token uint64, in time.Duration)   { h.timerAt = h.now + in }
func (h *harness) Log(line string)                             {}

func testSettings() Settings {
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

func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	h := &harness{t: t, done: map[string]bool{}, now: 50 * time.Second}
	m, err := New(h.now, s, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	h.m = m
	return h
}

// arrive feeds a request of a class, with changes, and returns its id.
func (h *harness) arrive(class int, change func(*Request)) RequestID {
	h.lastID++
	q := Request{ID: h.lastID, Class: class, MemoryKB: 10, CallerTimeout: 8 * time.Second}
	if change != nil {
		change(&q)
	}
	h.m.Arrive(h.now, q)
	return q.ID
}

func (h *harness) finishBatch() { h.m.FinishBatch(h.now) }

// advance lets time pass and fires the timer as a host would.
func (h *harness) advance(delay time.Duration, gauges ...float64) {
	for end := h.now + delay; h.timerAt <= end; {
		h.now = h.timerAt
		h.m.TimerFired(h.now, 1, gauges)
		h.finishBatch()
	}
}

func (h *harness) want(lines ...string) {
	h.t.Helper()
	for _, l := range lines {
		if !h.done[l] {
			h.t.Errorf("missing %q in %v", l, h.actions)
		}
	}
}

func (h *harness) wantNot(lines ...string) {
	h.t.Helper()
	for _, l := range lines {
		if h.done[l] {
			h.t.Errorf("unwanted %q", l)
		}
	}
}

func (h *harness) count(prefix string) int {
	n := 0
	for _, a := range h.actions {
		if len(a) > len(prefix) && a[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}
