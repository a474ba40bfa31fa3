package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// deployment is a module under random settings and a stand-in for the platform around it, which fails in
// every way that the protocol allows. It checks from outside that no answer is lost, no request without a
// safe effect runs twice, memory and concurrency stay survivable and nothing runs that arrives after a
// drain's grace, and that each action is allowed.
type deployment struct {
	t              *testing.T
	rng            *rand.Rand
	seed           uint64
	settings       Settings
	m              *Module
	now            time.Duration
	lastID         RequestID
	byID           map[RequestID]*try
	tries          []*try
	records        map[int]heldRecord // by operation
	events         []event
	timerAt        time.Duration
	drainStartedAt time.Duration // 0 = not draining
	stopAt         time.Duration
	runningCounts  []float64 // running requests after each batch of the last overload window
	longestRunMS   int       // milliseconds
	failed         bool
	counts         map[string]int
}

// try is one try of an operation; tries of the same request share the operation.
type try struct {
	request                                Request
	operation                              int
	arrivedAt, dueAt                       time.Duration
	running, callPending, calling          bool
	joined, finished, answered, callerGone bool
	ran, callMayHaveRun                    bool // it was started; a call of it may have had its effect
	lastCallNeverRan                       bool // its last call is known not to have run
	version                                int  // of its state: events scheduled for an older one are void
}

type heldRecord struct {
	holder  RequestID
	expires time.Duration
}

type event struct {
	at time.Duration
	do func()
}

func (d *deployment) fail(format string, args ...any) {
	d.t.Helper()
	d.failed = true
	d.t.Errorf("seed %d at %v: %s", d.seed, d.now, fmt.Sprintf(format, args...))
}

func (d *deployment) schedule(delay time.Duration, do func()) {
	d.events = append(d.events, event{d.now + delay, do})
}

// scheduleFor schedules something for a try unless its state changes before.
func (d *deployment) scheduleFor(tr *try, delay time.Duration, do func()) {
	tr.version++
	v := tr.version
	d.schedule(max(delay, d.settings.BatchInterval), func() {
		if tr.version == v && !tr.finished {
			do()
		}
	})
}

func (d *deployment) class(tr *try) *Class { return &d.settings.Classes[tr.request.Class] }

func (d *deployment) endRun(tr *try, o Outcome, took time.Duration) {
	if o == OK || o == Failed {
		tr.answered = true
	}
	tr.running, tr.callPending, tr.calling = false, false, false
	if o != Cancelled || tr.answered || tr.callerGone {
		tr.finished = true
	}
	d.m.RunEnded(d.now, tr.request.ID, o, took)
}

// continueRun lets a run go on to a call or to its end.
func (d *deployment) continueRun(tr *try, calls bool) {
	took := time.Duration(1+d.rng.IntN(d.longestRunMS)) * time.Millisecond
	d.scheduleFor(tr, took, func() {
		if calls && d.class(tr).CallsDependency && d.rng.IntN(2) == 0 {
			if tr.answered || tr.callerGone {
				d.endRun(tr, Cancelled, took)
				return
			}
			tr.running, tr.callPending, tr.callMayHaveRun, tr.lastCallNeverRan = false, true, false, true
			d.m.CallNeeded(d.now, tr.request.ID)
			return
		}
		switch {
		case tr.answered || tr.callerGone:
			d.endRun(tr, Cancelled, took)
		case d.rng.IntN(20) == 0:
			d.endRun(tr, Failed, took)
		default:
			d.endRun(tr, OK, took)
		}
	})
}

func (d *deployment) Run(id RequestID) {
	tr := d.byID[id]
	if tr == nil {
		d.fail("run of an unknown request %d", id)
		return
	}
	d.counts["run"]++
	if tr.finished || tr.answered || tr.callerGone {
		d.schedule(0, func() { d.m.RunEnded(d.now, id, NeverStarted, 0) })
		return
	}
	if tr.running || tr.callPending || tr.calling {
		return
	}
	e := d.class(tr).Effect
	if e != Safe && tr.ran {
		d.fail("duplicate: %d of effect %d is started again", id, e)
	}
	for _, o := range d.tries {
		if e == Keyed && o != tr && o.operation == tr.operation && o.ran &&
			tr.arrivedAt-o.arrivedAt < d.class(tr).IdempotencyWindow && tr.arrivedAt >= o.arrivedAt {
			d.fail("duplicate: %d runs the operation that %d has run", id, o.request.ID)
		}
	}
	if d.drainStartedAt > 0 && tr.arrivedAt > d.drainStartedAt+d.settings.DrainGrace {
		d.fail("drain: %d runs, it arrived %v after the start of the drain", id, tr.arrivedAt-d.drainStartedAt)
	}
	tr.running, tr.ran = true, true
	d.continueRun(tr, true)
}

func (d *deployment) Preempt(id RequestID) {
	tr := d.byID[id]
	if d.settings.Preemption == PreemptNone {
		d.fail("preemption of %d where the platform has none", id)
	}
	if d.class(tr).Effect != Safe && !tr.answered {
		d.fail("preemption of %d, whose effect is not safe", id)
	}
	if d.counts["preempt"]++; tr.running {
		d.scheduleFor(tr, d.settings.BatchInterval, func() { d.endRun(tr, Cancelled, d.settings.BatchInterval) })
	}
}

func (d *deployment) answer(id RequestID, refused bool) {
	tr := d.byID[id]
	if tr == nil || tr.answered {
		d.fail("a second final answer for %d", id)
		return
	}
	if refused && tr.ran && d.class(tr).Effect != Safe {
		d.fail("duplicate: %d was refused after it ran", id)
	}
	tr.answered = true
	switch {
	case tr.running:
	case tr.callPending || tr.calling:
		d.scheduleFor(tr, d.settings.BatchInterval, func() { d.endRun(tr, Cancelled, d.settings.BatchInterval) })
	default:
		tr.finished = true
	}
}

func (d *deployment) Refuse(id RequestID, after time.Duration, _ bool) {
	d.counts["refuse"]++
	if after > d.settings.MaxRetryAfter {
		d.fail("retry-after of %v", after)
	}
	d.answer(id, true)
}

func (d *deployment) Fail(id RequestID) {
	d.counts["fail"]++
	if tr := d.byID[id]; tr == nil || !tr.callerGone {
		d.answer(id, false)
	}
}

func (d *deployment) Call(id RequestID, timeout time.Duration) {
	tr := d.byID[id]
	if !tr.callPending {
		return
	}
	d.counts["call"]++
	if tr.callMayHaveRun && d.class(tr).Effect != Safe && !tr.lastCallNeverRan {
		d.fail("duplicate: the call of %d is made again though it may have had its effect", id)
	}
	tr.callPending, tr.calling, tr.callMayHaveRun = false, true, true
	o := []Outcome{OK, OK, OK, Failed, CallRejected, TimedOut, ConnectFailed, ConnectionReset}[d.rng.IntN(8)]
	took := time.Duration(d.rng.Int64N(int64(max(timeout, 2))))
	if o == TimedOut {
		took = timeout
	}
	tr.lastCallNeverRan = o.NeverRan()
	d.scheduleFor(tr, took, func() {
		tr.calling, tr.running, tr.callPending = false, o == OK, o != OK
		d.m.CallEnded(d.now, id, o, took)
		if o == OK {
			d.continueRun(tr, true)
		}
	})
}

func (d *deployment) SkipCall(id RequestID) {
	tr := d.byID[id]
	if d.class(tr).SkipUtilityShare <= 0 {
		d.fail("the call of %d is skipped though it must be made", id)
	}
	if d.counts["skip"]++; tr.callPending {
		tr.callPending, tr.running = false, true
		d.continueRun(tr, true)
	}
}

func (d *deployment) KeepRecord(id RequestID, span time.Duration) {
	tr := d.byID[id]
	if tr.request.Write && d.class(tr).Effect == Safe {
		d.fail("a record is kept of %d, a write of a safe class", id)
	}
	if d.counts["keep"]++; !tr.finished {
		d.records[tr.operation] = heldRecord{id, d.now + span}
	}
}

func (d *deployment) ForgetRecord(id RequestID) {
	if tr := d.byID[id]; d.records[tr.operation].holder == id {
		d.counts["forget"]++
		delete(d.records, tr.operation)
	}
}

func (d *deployment) JoinEarlier(id RequestID) {
	tr := d.byID[id]
	if d.counts["join"]++; tr.request.RepeatOf == 0 {
		d.fail("%d joins an earlier request and repeats none", id)
		return
	}
	if tr.request.Write && d.class(tr).Effect == Safe {
		d.fail("%d is a write and joins an earlier request", id)
	}
	tr.joined = true
	var wait func()
	wait = func() {
		switch o := d.byID[tr.request.RepeatOf]; {
		case o.finished && o.ran:
			d.endRun(tr, OK, d.settings.BatchInterval)
		case o.finished:
			d.endRun(tr, Failed, d.settings.BatchInterval)
		default:
			d.scheduleFor(tr, 20*time.Millisecond, wait)
		}
	}
	d.scheduleFor(tr, d.settings.BatchInterval, wait)
}

func (d *deployment) PublishLoad(float64) {
	if d.settings.LoadFeedback == FeedbackNone {
		d.fail("load published where no load feedback is used")
	}
}

func (d *deployment) SetHealth(bool, bool)                   {}
func (d *deployment) SetIdleTimeout(time.Duration)           {}
func (d *deployment) Log(string)                             {}
func (d *deployment) StartTimer(_ uint64, in time.Duration)  { d.timerAt = d.now + in }
func (d *deployment) pick(of ...time.Duration) time.Duration { return of[d.rng.IntN(len(of))] }

// drawSettings draws random settings.
func (d *deployment) drawSettings() {
	r := d.rng
	d.settings = Settings{
		BatchInterval: d.pick(time.Millisecond, 5*time.Millisecond), Cores: 1 + r.IntN(4), Nodes: 1 + r.IntN(20),
		Callers:   r.IntN(50),
		ColdStart: r.IntN(3) == 0, OverQuotaUtility: 0.05, UtilityPerWork: r.IntN(2) == 0,
		RetriesMarked:  r.IntN(2) == 0,
		TimeoutsPassed: r.IntN(2) == 0, DisconnectsReported: r.IntN(2) == 0, HonoursRetryAfter: true,
		MaxRetryAfter: time.Second,
		LoadFeedback:  LoadFeedback(r.IntN(4)), LoadFeedbackTTL: time.Second, Preemption: Preemption(r.IntN(3)),
		MemoryKB: 2000 + 20000*r.Float64(), RunningMemoryFactor: 4 + 12*r.Float64(), RecordKB: 1 + 40*r.Float64(),
		ReadFreshness: d.pick(0, 200*time.Millisecond, 2*time.Second), Gauges: []string{"cpu_busy", "runnable"},
		MaxIdleTimeout: 30 * time.Second,
		Dependency:     Dependency(r.IntN(3)), CallShare: 0.5 + 5*r.Float64(), CallWindow: 5 * time.Second,
		AbandonedCallTime: 200 * time.Millisecond,
		AnswerSlack:       60 * time.Millisecond, ColdSpeed: 0.2 + 0.5*r.Float64(), WarmUpTime: 9 * time.Second,
		DrainGrace: d.pick(300*time.Millisecond, 2*time.Second), OverloadRunsPerCore: 3 + 5*r.Float64(),
		OverloadWindow: 1500 * time.Millisecond,
	}
	for i := range 3 {
		deadline := 1500 + r.IntN(8000)
		k := Class{
			LatencyTarget:    time.Duration(deadline*(25+r.IntN(40))/100) * time.Millisecond,
			Deadline:         time.Duration(deadline) * time.Millisecond,
			LateUtilityShare: 0.2 * float64(r.IntN(2)), Utility: float64(1 + r.IntN(4)),
			Effect:            Effect((i + r.IntN(2)) % 3),
			IdempotencyWindow: time.Duration(2+r.IntN(8)) * time.Second,
			CallsDependency:   d.settings.Dependency != DependencyNone && r.IntN(3) > 0,
		}
		if r.IntN(2) == 0 && k.Effect == Safe {
			k.SkipUtilityShare = 0.5
		}
		d.settings.Classes = append(d.settings.Classes, k)
	}
	for range r.IntN(4) {
		d.settings.Tenants = append(d.settings.Tenants, Tenant{QuotaPerSecond: 30 * r.Float64(), Share: 0.3})
	}
}

// arrive feeds one try: of a new operation, or a further one of an earlier operation.
func (d *deployment) arrive(age time.Duration) {
	d.lastID++
	tr := &try{operation: int(d.lastID), arrivedAt: d.now - age}
	tr.request = Request{
		ID: d.lastID, Class: d.rng.IntN(len(d.settings.Classes)), Age: age, MemoryKB: 5 + 40*d.rng.Float64(),
		Caller:   uint32(d.rng.IntN(60)),
		WorkHint: time.Duration(d.rng.IntN(2)) * time.Duration(20+d.rng.IntN(500)) * time.Millisecond,
		Tenant:   d.rng.IntN(len(d.settings.Tenants) + 1),
	}
	if n := len(d.tries); n > 0 && d.rng.IntN(3) == 0 {
		o := d.tries[n-1-d.rng.IntN(min(n, 60))]
		tr.operation, tr.request.Class, tr.request.Write = o.operation, o.request.Class, o.request.Write
		tr.request.Retry = d.settings.RetriesMarked
	} else {
		tr.request.Write = d.rng.IntN(3) == 0
	}
	k := d.class(tr)
	if k.Effect == Safe {
		tr.request.Key = uint64(tr.operation)
	}
	if e, ok := d.records[tr.operation]; ok && tr.arrivedAt < e.expires && k.Effect != Unsafe &&
		!tr.request.Write {
		if o := d.byID[e.holder]; k.Effect == Keyed || !o.finished || d.now-o.arrivedAt < d.settings.ReadFreshness {
			tr.request.RepeatOf = e.holder
		}
	} else if ok && k.Effect == Keyed && tr.arrivedAt < e.expires {
		tr.request.RepeatOf = e.holder
	}
	tr.dueAt = tr.arrivedAt + k.Deadline
	if d.settings.TimeoutsPassed {
		tr.request.CallerTimeout = time.Duration(100+d.rng.IntN(3000)) * time.Millisecond
		tr.dueAt = d.now + tr.request.CallerTimeout
	}
	tr.dueAt = max(tr.dueAt, d.now)
	d.byID[tr.request.ID] = tr
	d.tries = append(d.tries, tr)
	d.m.Arrive(d.now, tr.request)
	if d.settings.DisconnectsReported && d.rng.IntN(6) == 0 {
		d.schedule(time.Duration(d.rng.IntN(3000))*time.Millisecond, func() {
			if tr.finished || tr.answered {
				return
			}
			if tr.callerGone = true; !tr.running && !tr.callPending && !tr.calling {
				tr.finished = true
			} else if !tr.running {
				d.scheduleFor(tr, d.settings.BatchInterval, func() { d.endRun(tr, Cancelled, d.settings.BatchInterval) })
			}
			d.m.CallerGone(d.now, tr.request.ID)
		})
	}
}

// check checks the invariants after a batch.
func (d *deployment) check() {
	memory, running := 0.0, 0
	for _, tr := range d.tries {
		if tr.finished {
			continue
		}
		factor := 1.0
		if tr.running || tr.callPending || tr.calling {
			factor = d.settings.RunningMemoryFactor
		}
		memory += tr.request.MemoryKB * factor
		if tr.running {
			running++
		}
		if !tr.answered && !tr.callerGone && (d.now > tr.dueAt+d.settings.AnswerSlack ||
			d.drainStartedAt > 0 && d.now >= d.stopAt) {
			d.fail("lost: %d has no answer at %v, due at %v", tr.request.ID, d.now, tr.dueAt)
		}
	}
	for operation, e := range d.records {
		if d.now < e.expires {
			memory += d.settings.RecordKB
		} else if d.now > e.expires+2*time.Second { // requests that arrived before it expired may be read until then
			delete(d.records, operation)
		}
	}
	if memory > d.settings.MemoryKB {
		d.fail("overload: %.0f of %.0f KB", memory, d.settings.MemoryKB)
	}
	d.runningCounts = append(d.runningCounts, float64(running))
	if n := int(d.settings.OverloadWindow / d.settings.BatchInterval); len(d.runningCounts) > n {
		d.runningCounts = d.runningCounts[1:]
		mean := 0.0
		for _, v := range d.runningCounts {
			mean += v / float64(n)
		}
		speed := 1.0
		if d.settings.ColdStart {
			speed = min(1, d.settings.ColdSpeed+(1-d.settings.ColdSpeed)*float64(d.now-50*time.Second)/float64(d.settings.WarmUpTime))
		}
		if survivable := float64(d.settings.Cores) * (1 + (d.settings.OverloadRunsPerCore-1)*speed); mean > survivable {
			d.fail("overload: %.1f runs in the mean, %.1f are survivable", mean, survivable)
		}
	}
	live := d.tries[:0]
	for _, tr := range d.tries {
		if !tr.finished || tr.arrivedAt > d.now-15*time.Second { // longer than any idempotency window
			live = append(live, tr)
		}
	}
	d.tries = live
}

// run simulates 14 s, with a drain in the last three.
func (d *deployment) run() {
	d.drawSettings()
	d.now = 50 * time.Second
	d.byID, d.records, d.counts = map[RequestID]*try{}, map[int]heldRecord{}, map[string]int{}
	var err error
	if d.m, err = New(d.now, d.settings, d.seed, d); err != nil {
		d.t.Fatalf("seed %d: %v", d.seed, err)
	}
	rate := float64(d.settings.Cores) * (1 + 20*d.rng.Float64()) * d.settings.BatchInterval.Seconds()
	d.longestRunMS = 400
	blind := d.rng.IntN(3) == 0 // gauges that always show idle cores let the limit grow to its ceiling
	if blind {
		d.longestRunMS = 1500
	}
	drainAt, end := d.now+11*time.Second, d.now+14*time.Second
	for ; d.now < end && !d.failed; d.now += d.settings.BatchInterval {
		for i := 0; i < len(d.events); i++ {
			if d.events[i].at <= d.now {
				do := d.events[i].do
				d.events = append(d.events[:i], d.events[i+1:]...)
				i--
				do()
			}
		}
		if d.now >= drainAt && d.drainStartedAt == 0 {
			d.drainStartedAt, d.stopAt = d.now, end-d.settings.BatchInterval
			d.m.Drain(d.now, d.stopAt-d.now)
		}
		for n := rate; d.rng.Float64() < n && d.now < end-500*time.Millisecond; n-- {
			age := time.Duration(0)
			if d.rng.IntN(5) == 0 {
				age = time.Duration(d.rng.IntN(1500)) * time.Millisecond
			}
			d.arrive(age)
		}
		if d.now >= d.timerAt {
			runnable := 0.0
			for _, tr := range d.tries {
				if tr.running {
					runnable++
				}
			}
			if blind {
				runnable = 0
			}
			d.m.TimerFired(d.now, 1, []float64{min(1, runnable/float64(d.settings.Cores)), runnable})
		}
		d.m.FinishBatch(d.now)
		d.check()
	}
}

// The invariants hold in any deployment: effects, preemption, dependencies, load feedback, hints, memory,
// windows and failures are drawn at random.
func TestInvariantsInRandomDeployments(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(60) {
		d := &deployment{t: t, rng: rand.New(rand.NewPCG(seed, 13)), seed: seed}
		d.run()
		for action, n := range d.counts {
			counts[action] += n
		}
	}
	for _, action := range []string{"run", "preempt", "refuse", "fail", "call", "skip", "keep", "forget", "join"} {
		if counts[action] < 50 {
			t.Errorf("action %s occurred %d times: too few to check it", action, counts[action])
		}
	}
}
