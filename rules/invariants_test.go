package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// customer is a made-up deployment: a node's module under settings drawn at random, and
// around it the platform as the wire page tells of it, which breaks in every allowed way.
// It checks the four rules and each action's own terms from outside the module.
type customer struct {
	t       *testing.T
	rng     *rand.Rand
	seed    uint64
	set     Settings
	m       *Module
	now     time.Duration
	next    RequestID
	tries   map[RequestID]*try
	order   []*try
	table   map[int]entryOf // by what is asked
	due     []event
	wake    time.Duration
	drained time.Duration // the notice, or 0
	stopAt  time.Duration
	crowd   []float64 // runs on cores, by tick, of the last fall window
	longest int       // run, in milliseconds
	broken  bool
	seen    map[string]int
}

// try is one try of something asked; tries of the same thing share what.
type try struct {
	q                             Request
	what                          int
	arrived, due                  time.Duration
	running, atCall, calling      bool
	reusing, over, answered, gone bool
	ran, called                   bool // a start took effect; a call that may have had its effect is behind it
	again                         bool // the last call is known not to have run
	version                       int  // of its running state: late events of an older one are void
}

type entryOf struct {
	holder  RequestID
	expires time.Duration
}

type event struct {
	at time.Duration
	do func()
}

func (c *customer) broke(format string, args ...any) {
	c.t.Helper()
	c.broken = true
	c.t.Errorf("seed %d at %v: %s", c.seed, c.now, fmt.Sprintf(format, args...))
}

func (c *customer) in(d time.Duration, do func()) { c.due = append(c.due, event{c.now + d, do}) }

// after lets something happen to a try unless its state has changed since.
func (c *customer) after(x *try, d time.Duration, do func()) {
	x.version++
	v := x.version
	c.in(max(d, c.set.BatchInterval), func() {
		if x.version == v && !x.over {
			do()
		}
	})
}

func (c *customer) class(x *try) *Class { return &c.set.Classes[x.q.Class] }

func (c *customer) ends(x *try, o Outcome, took time.Duration) {
	if o == OK || o == Failed {
		x.answered = true
	}
	x.running, x.atCall, x.calling = false, false, false
	if o != Cancelled || x.answered || x.gone {
		x.over = true
	}
	c.m.RunEnded(c.now, x.q.ID, o, took)
}

// goOn lets a run go on: to a call, or to its end.
func (c *customer) goOn(x *try, calls bool) {
	took := time.Duration(1+c.rng.IntN(c.longest)) * time.Millisecond
	c.after(x, took, func() {
		if calls && c.class(x).CallsDependency && c.rng.IntN(2) == 0 {
			if x.answered || x.gone {
				c.ends(x, Cancelled, took)
				return
			}
			x.running, x.atCall, x.called, x.again = false, true, false, true
			c.m.CallNeeded(c.now, x.q.ID)
			return
		}
		switch {
		case x.answered || x.gone:
			c.ends(x, Cancelled, took)
		case c.rng.IntN(20) == 0:
			c.ends(x, Failed, took)
		default:
			c.ends(x, OK, took)
		}
	})
}

func (c *customer) Run(id RequestID) {
	x := c.tries[id]
	if x == nil {
		c.broke("run of an unknown request %d", id)
		return
	}
	c.seen["run"]++
	if x.over || x.answered || x.gone {
		c.in(0, func() { c.m.RunEnded(c.now, id, NeverStarted, 0) })
		return
	}
	if x.running || x.atCall || x.calling {
		return
	}
	e := c.class(x).Effect
	if e != Safe && x.ran {
		c.broke("duplicate: %d of effect %d starts again", id, e)
	}
	for _, o := range c.order {
		if e == Keyed && o != x && o.what == x.what && o.ran && x.arrived-o.arrived < c.class(x).IdempotencyWindow && x.arrived >= o.arrived {
			c.broke("duplicate: %d runs what %d has run", id, o.q.ID)
		}
	}
	if c.drained > 0 && x.arrived > c.drained+c.set.DrainGrace {
		c.broke("drain: %d runs, it came %v after the notice", id, x.arrived-c.drained)
	}
	x.running, x.ran = true, true
	c.goOn(x, true)
}

func (c *customer) Preempt(id RequestID) {
	x := c.tries[id]
	if c.set.Preemption == PreemptNone {
		c.broke("halt of %d where nothing can be halted", id)
	}
	if c.class(x).Effect != Safe && !x.answered {
		c.broke("halt of %d, whose work is not safe to repeat", id)
	}
	if c.seen["halt"]++; x.running {
		c.after(x, c.set.BatchInterval, func() { c.ends(x, Cancelled, c.set.BatchInterval) })
	}
}

func (c *customer) final(id RequestID, refused bool) {
	x := c.tries[id]
	if x == nil || x.answered {
		c.broke("a second final answer for %d", id)
		return
	}
	if refused && x.ran && c.class(x).Effect != Safe {
		c.broke("duplicate: %d was turned away after it ran", id)
	}
	x.answered = true
	switch {
	case x.running:
	case x.atCall || x.calling:
		c.after(x, c.set.BatchInterval, func() { c.ends(x, Cancelled, c.set.BatchInterval) })
	default:
		x.over = true
	}
}

func (c *customer) Refuse(id RequestID, after time.Duration, _ bool) {
	c.seen["refuse"]++
	if after > c.set.MaxRetryAfter {
		c.broke("advice of %v", after)
	}
	c.final(id, true)
}

func (c *customer) Fail(id RequestID) {
	c.seen["fail"]++
	if x := c.tries[id]; x == nil || !x.gone {
		c.final(id, false)
	}
}

func (c *customer) Call(id RequestID, timeout time.Duration) {
	x := c.tries[id]
	if !x.atCall {
		return
	}
	c.seen["call"]++
	if x.called && c.class(x).Effect != Safe && !x.again {
		c.broke("duplicate: the call of %d is made again, it may have had its effect", id)
	}
	x.atCall, x.calling, x.called = false, true, true
	o := []Outcome{OK, OK, OK, Failed, CallRejected, TimedOut, ConnectFailed, ConnectionReset}[c.rng.IntN(8)]
	took := time.Duration(c.rng.Int64N(int64(max(timeout, 2))))
	if o == TimedOut {
		took = timeout
	}
	x.again = o.NeverRan()
	c.after(x, took, func() {
		x.calling, x.running, x.atCall = false, o == OK, o != OK
		c.m.CallEnded(c.now, id, o, took)
		if o == OK {
			c.goOn(x, true)
		}
	})
}

func (c *customer) SkipCall(id RequestID) {
	x := c.tries[id]
	if c.class(x).SkipUtilityShare <= 0 {
		c.broke("the call of %d is left out, it may not be", id)
	}
	if c.seen["skip"]++; x.atCall {
		x.atCall, x.running = false, true
		c.goOn(x, true)
	}
}

func (c *customer) KeepRecord(id RequestID, span time.Duration) {
	x := c.tries[id]
	if x.q.Write && c.class(x).Effect == Safe {
		c.broke("a write, %d, is kept for sharing", id)
	}
	if c.seen["keep"]++; !x.over {
		c.table[x.what] = entryOf{id, c.now + span}
	}
}

func (c *customer) ForgetRecord(id RequestID) {
	if x := c.tries[id]; c.table[x.what].holder == id {
		c.seen["forget"]++
		delete(c.table, x.what)
	}
}

func (c *customer) JoinEarlier(id RequestID) {
	x := c.tries[id]
	if c.seen["reuse"]++; x.q.RepeatOf == 0 {
		c.broke("%d is to share a result and repeats nothing", id)
		return
	}
	if x.q.Write && c.class(x).Effect == Safe {
		c.broke("%d is a write and shares an earlier result", id)
	}
	x.reusing = true
	var wait func()
	wait = func() {
		switch o := c.tries[x.q.RepeatOf]; {
		case o.over && o.ran:
			c.ends(x, OK, c.set.BatchInterval)
		case o.over:
			c.ends(x, Failed, c.set.BatchInterval)
		default:
			c.after(x, 20*time.Millisecond, wait)
		}
	}
	c.after(x, c.set.BatchInterval, wait)
}

func (c *customer) PublishLoad(float64) {
	if c.set.LoadFeedback == FeedbackNone {
		c.broke("a free value where none is used")
	}
}

func (c *customer) SetHealth(bool, bool)                   {}
func (c *customer) SetIdleTimeout(time.Duration)           {}
func (c *customer) Log(string)                             {}
func (c *customer) StartTimer(_ uint64, in time.Duration)  { c.wake = c.now + in }
func (c *customer) pick(of ...time.Duration) time.Duration { return of[c.rng.IntN(len(of))] }

// draw makes the settings of a customer.
func (c *customer) draw() {
	r := c.rng
	c.set = Settings{
		BatchInterval: c.pick(time.Millisecond, 5*time.Millisecond), Cores: 1 + r.IntN(4), Nodes: 1 + r.IntN(20), Callers: r.IntN(50),
		ColdStart: r.IntN(3) == 0, OverQuotaUtility: 0.05, UtilityPerWork: r.IntN(2) == 0, RetriesMarked: r.IntN(2) == 0,
		TimeoutsPassed: r.IntN(2) == 0, DisconnectsReported: r.IntN(2) == 0, HonoursRetryAfter: true, MaxRetryAfter: time.Second,
		LoadFeedback: LoadFeedback(r.IntN(4)), LoadFeedbackTTL: time.Second, Preemption: Preemption(r.IntN(3)),
		MemoryKB: 2000 + 20000*r.Float64(), RunningMemoryFactor: 4 + 12*r.Float64(), RecordKB: 1 + 40*r.Float64(),
		ReadFreshness: c.pick(0, 200*time.Millisecond, 2*time.Second), Gauges: []string{"cpu_busy", "runnable"}, MaxIdleTimeout: 30 * time.Second,
		Dependency: Dependency(r.IntN(3)), CallShare: 0.5 + 5*r.Float64(), CallWindow: 5 * time.Second, AbandonedCallTime: 200 * time.Millisecond,
		AnswerSlack: 60 * time.Millisecond, ColdSpeed: 0.2 + 0.5*r.Float64(), WarmUpTime: 9 * time.Second,
		DrainGrace: c.pick(300*time.Millisecond, 2*time.Second), OverloadRunsPerCore: 3 + 5*r.Float64(), OverloadWindow: 1500 * time.Millisecond,
	}
	for i := range 3 {
		deadline := 1500 + r.IntN(8000)
		k := Class{
			LatencyTarget: time.Duration(deadline*(25+r.IntN(40))/100) * time.Millisecond, Deadline: time.Duration(deadline) * time.Millisecond,
			LateUtilityShare: 0.2 * float64(r.IntN(2)), Utility: float64(1 + r.IntN(4)), Effect: Effect((i + r.IntN(2)) % 3),
			IdempotencyWindow: time.Duration(2+r.IntN(8)) * time.Second, CallsDependency: c.set.Dependency != DependencyNone && r.IntN(3) > 0,
		}
		if r.IntN(2) == 0 && k.Effect == Safe {
			k.SkipUtilityShare = 0.5
		}
		c.set.Classes = append(c.set.Classes, k)
	}
	for range r.IntN(4) {
		c.set.Tenants = append(c.set.Tenants, Tenant{QuotaPerSecond: 30 * r.Float64(), Share: 0.3})
	}
}

// arrive reads one try: of something new, or once more of something asked before.
func (c *customer) arrive(age time.Duration) {
	c.next++
	x := &try{what: int(c.next), arrived: c.now - age}
	x.q = Request{
		ID: c.next, Class: c.rng.IntN(len(c.set.Classes)), Age: age, MemoryKB: 5 + 40*c.rng.Float64(), Caller: uint32(c.rng.IntN(60)),
		WorkHint: time.Duration(c.rng.IntN(2)) * time.Duration(20+c.rng.IntN(500)) * time.Millisecond, Tenant: c.rng.IntN(len(c.set.Tenants) + 1),
	}
	if n := len(c.order); n > 0 && c.rng.IntN(3) == 0 {
		o := c.order[n-1-c.rng.IntN(min(n, 60))]
		x.what, x.q.Class, x.q.Write = o.what, o.q.Class, o.q.Write
		x.q.Retry = c.set.RetriesMarked
	} else {
		x.q.Write = c.rng.IntN(3) == 0
	}
	k := c.class(x)
	if k.Effect == Safe {
		x.q.Key = uint64(x.what)
	}
	if e, ok := c.table[x.what]; ok && x.arrived < e.expires && k.Effect != Unsafe && !x.q.Write {
		if o := c.tries[e.holder]; k.Effect == Keyed || !o.over || c.now-o.arrived < c.set.ReadFreshness {
			x.q.RepeatOf = e.holder
		}
	} else if ok && k.Effect == Keyed && x.arrived < e.expires {
		x.q.RepeatOf = e.holder
	}
	x.due = x.arrived + k.Deadline
	if c.set.TimeoutsPassed {
		x.q.CallerTimeout = time.Duration(100+c.rng.IntN(3000)) * time.Millisecond
		x.due = c.now + x.q.CallerTimeout
	}
	x.due = max(x.due, c.now)
	c.tries[x.q.ID] = x
	c.order = append(c.order, x)
	c.m.Arrive(c.now, x.q)
	if c.set.DisconnectsReported && c.rng.IntN(6) == 0 {
		c.in(time.Duration(c.rng.IntN(3000))*time.Millisecond, func() {
			if x.over || x.answered {
				return
			}
			if x.gone = true; !x.running && !x.atCall && !x.calling {
				x.over = true
			} else if !x.running {
				c.after(x, c.set.BatchInterval, func() { c.ends(x, Cancelled, c.set.BatchInterval) })
			}
			c.m.CallerGone(c.now, x.q.ID)
		})
	}
}

// check looks at the rules after a batch.
func (c *customer) check() {
	memory, running := 0.0, 0
	for _, x := range c.order {
		if x.over {
			continue
		}
		factor := 1.0
		if x.running || x.atCall || x.calling {
			factor = c.set.RunningMemoryFactor
		}
		memory += x.q.MemoryKB * factor
		if x.running {
			running++
		}
		if !x.answered && !x.gone && (c.now > x.due+c.set.AnswerSlack || c.drained > 0 && c.now >= c.stopAt) {
			c.broke("lost: %d has no answer at %v, due at %v", x.q.ID, c.now, x.due)
		}
	}
	for what, e := range c.table {
		if c.now < e.expires {
			memory += c.set.RecordKB
		} else if c.now > e.expires+2*time.Second { // what came before its end may be read until then
			delete(c.table, what)
		}
	}
	if memory > c.set.MemoryKB {
		c.broke("fall-over: %.0f of %.0f kB", memory, c.set.MemoryKB)
	}
	c.crowd = append(c.crowd, float64(running))
	if n := int(c.set.OverloadWindow / c.set.BatchInterval); len(c.crowd) > n {
		c.crowd = c.crowd[1:]
		mean := 0.0
		for _, v := range c.crowd {
			mean += v / float64(n)
		}
		speed := 1.0
		if c.set.ColdStart {
			speed = min(1, c.set.ColdSpeed+(1-c.set.ColdSpeed)*float64(c.now-50*time.Second)/float64(c.set.WarmUpTime))
		}
		if most := float64(c.set.Cores) * (1 + (c.set.OverloadRunsPerCore-1)*speed); mean > most {
			c.broke("fall-over: %.1f runs in the mean, %.1f are survived", mean, most)
		}
	}
	live := c.order[:0]
	for _, x := range c.order {
		if !x.over || x.arrived > c.now-15*time.Second { // longer than any window
			live = append(live, x)
		}
	}
	c.order = live
}

// play lets a day of 14 s pass, a drain at its end.
func (c *customer) play() {
	c.draw()
	c.now = 50 * time.Second
	c.tries, c.table, c.seen = map[RequestID]*try{}, map[int]entryOf{}, map[string]int{}
	var err error
	if c.m, err = New(c.now, c.set, c.seed, c); err != nil {
		c.t.Fatalf("seed %d: %v", c.seed, err)
	}
	rate := float64(c.set.Cores) * (1 + 20*c.rng.Float64()) * c.set.BatchInterval.Seconds()
	c.longest = 400
	blind := c.rng.IntN(3) == 0 // gauges that always say idle let the limit grow as far as it may
	if blind {
		c.longest = 1500
	}
	notice, end := c.now+11*time.Second, c.now+14*time.Second
	for ; c.now < end && !c.broken; c.now += c.set.BatchInterval {
		for i := 0; i < len(c.due); i++ {
			if c.due[i].at <= c.now {
				do := c.due[i].do
				c.due = append(c.due[:i], c.due[i+1:]...)
				i--
				do()
			}
		}
		if c.now >= notice && c.drained == 0 {
			c.drained, c.stopAt = c.now, end-c.set.BatchInterval
			c.m.Drain(c.now, c.stopAt-c.now)
		}
		for n := rate; c.rng.Float64() < n && c.now < end-500*time.Millisecond; n-- {
			age := time.Duration(0)
			if c.rng.IntN(5) == 0 {
				age = time.Duration(c.rng.IntN(1500)) * time.Millisecond
			}
			c.arrive(age)
		}
		if c.now >= c.wake {
			wants := 0.0
			for _, x := range c.order {
				if x.running {
					wants++
				}
			}
			if blind {
				wants = 0
			}
			c.m.TimerFired(c.now, 1, []float64{min(1, wants/float64(c.set.Cores)), wants})
		}
		c.m.FinishBatch(c.now)
		c.check()
	}
}

// The four rules hold at any customer: effects, halts, dependencies, feedback, hints, memory,
// windows and troubles drawn at random, each action on its own terms.
func TestRulesAtAnyCustomer(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(60) {
		c := &customer{t: t, rng: rand.New(rand.NewPCG(seed, 13)), seed: seed}
		c.play()
		for what, n := range c.seen {
			seen[what] += n
		}
	}
	for _, what := range []string{"run", "halt", "refuse", "fail", "call", "skip", "keep", "forget", "reuse"} {
		if seen[what] < 50 {
			t.Errorf("%s was met %d times: the days say little of it", what, seen[what])
		}
	}
}
