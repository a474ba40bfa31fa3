// Package simulation owns a stand-in for one server in virtual time: cores that
// runs share and that slow with crowding, callers whose patience ends, and the
// decision module between them. It replays a list of arrivals, the same each
// time, and keeps what the four rules ask for. It must never decide for the
// module, and never read a real clock.
package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"robinmast/rules"
)

// Arrival is one request to come.
type Arrival struct {
	At     time.Duration
	Class  int
	Tenant int
	Work   time.Duration // on one core by itself
	Hint   time.Duration // what its caller says of that; 0 = nothing
	Retry  bool
}

// Stream is a flow of requests of one class.
type Stream struct {
	Class, Tenant int
	Rate          func(at time.Duration) float64 // requests a second
	Work          func(at time.Duration) time.Duration
	Hint          func(work time.Duration) time.Duration // nil = the truth
}

// Steady is a rate that does not change.
func Steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Always is work that does not change.
func Always(w time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return w }
}

// Arrivals draws the requests of some streams: Poisson arrivals, work spread
// around its mean by a factor from one half up.
func Arrivals(seed uint64, length time.Duration, streams ...Stream) []Arrival {
	var all []Arrival
	for i, s := range streams {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		due, passed := r.ExpFloat64(), 0.0 // arrivals come where the integral of the rate passes such steps
		for at := time.Duration(0); at < length; at += step {
			more := s.Rate(at) * step.Seconds()
			for passed += more; passed >= due; due += r.ExpFloat64() {
				all = append(all, s.draw(r, at+time.Duration((1-(passed-due)/more)*float64(step))))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// draw makes one request.
func (s *Stream) draw(r *rand.Rand, at time.Duration) Arrival {
	work := time.Duration(float64(s.Work(at)) * (0.5 + r.ExpFloat64()/2))
	hint := work
	if s.Hint != nil {
		hint = s.Hint(work)
	}
	return Arrival{At: at, Class: s.Class, Tenant: s.Tenant, Work: work, Hint: hint}
}

// Options say what machine it is.
type Options struct {
	Settings rules.Settings
	Crowd    float64                                // slow-down for each run a core beyond one
	Hangs    func(at time.Duration, class int) bool // whose runs stand still
	Action   func(at time.Duration, what string, id rules.RequestID, value float64)
	Drain    time.Duration                                                        // when the notice to leave comes, 0 = never
	Length   time.Duration                                                        // 0 = until the last arrival's deadline
	Told     func(id rules.RequestID, how string, after time.Duration, last bool) // each answer, nil = nobody
}

// Count is what became of the requests of a class that arrived in one second.
type Count struct {
	Arrived, Served, InTime, Refused, Failed int
	Worth                                    float64
}

// Result is what a replay showed.
type Result struct {
	Seconds [][]Count // by second of arrival and class
	Log     []string  // lines of the module
	Broken  []string  // rules that were broken
	Peak    int       // most runs at once
}

// Total adds up the seconds from one to before another, a class of -1 meaning all.
func (r *Result) Total(class, from, to int) (c Count) {
	for s := from; s < min(to, len(r.Seconds)); s++ {
		for k, x := range r.Seconds[s] {
			if class < 0 || k == class {
				c.Arrived += x.Arrived
				c.Served += x.Served
				c.InTime += x.InTime
				c.Refused += x.Refused
				c.Failed += x.Failed
				c.Worth += x.Worth
			}
		}
	}
	return c
}

type request struct {
	Arrival
	id       rules.RequestID
	left     float64 // seconds of work
	running  bool
	began    time.Duration
	answered bool
	ran      int
}

type play struct {
	opt    Options
	m      *rules.Module
	now    time.Duration
	all    map[rules.RequestID]*request
	runs   []*request // in order of their start
	ended  []func()
	timers []time.Duration
	busy   float64
	res    *Result
}

const step = time.Millisecond

// Replay plays the arrivals.
func Replay(opt Options, arrivals []Arrival) (*Result, error) {
	p := &play{opt: opt, all: map[rules.RequestID]*request{}, res: &Result{}}
	m, err := rules.New(0, opt.Settings, 1, host{p})
	if err != nil {
		return nil, err
	}
	p.m = m
	end := opt.Length
	for _, a := range arrivals {
		end = max(end, a.At+opt.Settings.Classes[a.Class].Deadline+time.Second)
	}
	if opt.Length > 0 {
		end = opt.Length
	}
	next := 0
	for ; p.now < end; p.now += step {
		p.run(step)
		for _, f := range p.ended {
			f()
		}
		p.ended = nil
		if opt.Drain > 0 && p.now == opt.Drain {
			m.Drain(p.now, 3*time.Second)
		}
		for next < len(arrivals) && arrivals[next].At <= p.now {
			p.arrive(arrivals[next], rules.RequestID(next+1))
			next++
		}
		for len(p.timers) > 0 && p.timers[0] <= p.now {
			p.timers = p.timers[1:]
			m.TimerFired(p.now, 1, p.gauges())
		}
		m.FinishBatch(p.now)
		p.check()
	}
	for _, r := range p.all {
		if !r.answered {
			p.broken("request %d was never answered", r.id)
		}
	}
	return p.res, nil
}

func (p *play) broken(format string, args ...any) {
	if len(p.res.Broken) < 8 {
		p.res.Broken = append(p.res.Broken, fmt.Sprintf("%v: ", p.now)+fmt.Sprintf(format, args...))
	}
}

func (p *play) gauges() []float64 {
	values := make([]float64, len(p.opt.Settings.Gauges))
	for i, g := range p.opt.Settings.Gauges {
		switch g {
		case "cpu_busy":
			values[i] = p.busy
		case "runnable":
			values[i] = float64(len(p.runs))
		}
	}
	return values
}

// run lets the cores work for a time.
func (p *play) run(dt time.Duration) {
	cores := float64(p.opt.Settings.Cores)
	work := p.runs[:0:0]
	for _, r := range p.runs {
		if p.opt.Hangs == nil || !p.opt.Hangs(p.now, r.Class) {
			work = append(work, r)
		}
	}
	n := float64(len(work))
	p.busy += min(1, dt.Seconds()) * (min(1, n/cores) - p.busy)
	speed := min(1, cores/max(n, 1)) / (1 + p.opt.Crowd*max(0, n/cores-1))
	for _, r := range work {
		if r.left -= speed * dt.Seconds(); r.left <= 0 {
			p.finish(r, rules.OK)
		}
	}
	p.res.Peak = max(p.res.Peak, len(p.runs))
}

func (p *play) finish(r *request, o rules.Outcome) {
	p.runs = slices.DeleteFunc(p.runs, func(x *request) bool { return x == r })
	r.running = false
	took := p.now - r.began
	if o == rules.OK && !r.answered {
		p.answer(r, "served")
	}
	p.ended = append(p.ended, func() { p.m.RunEnded(p.now, r.id, o, took) })
}

func (p *play) arrive(a Arrival, id rules.RequestID) {
	r := &request{Arrival: a, id: id, left: a.Work.Seconds()}
	p.all[id] = r
	p.cell(r).Arrived++
	q := rules.Request{
		ID: id, Class: a.Class, Tenant: a.Tenant, WorkHint: a.Hint, MemoryKB: 5, Rank: 0.5, Retry: a.Retry, Caller: uint32(id % 3),
		CallerTimeout: p.opt.Settings.Classes[a.Class].Deadline,
	}
	p.m.Arrive(p.now, q)
}

func (p *play) cell(r *request) *Count {
	at := int(r.At / time.Second)
	for len(p.res.Seconds) <= at {
		p.res.Seconds = append(p.res.Seconds, make([]Count, len(p.opt.Settings.Classes)))
	}
	return &p.res.Seconds[at][r.Class]
}

func (p *play) answer(r *request, how string) {
	if r.answered {
		p.broken("request %d was answered twice", r.id)
		return
	}
	r.answered = true
	if p.opt.Told != nil && how != "refused" {
		p.opt.Told(r.id, how, 0, false)
	}
	c := p.opt.Settings.Classes[r.Class]
	x := p.cell(r)
	after := p.now - r.At
	if after > c.Deadline+p.opt.Settings.AnswerSlack {
		p.broken("request %d was answered after %v", r.id, after)
	}
	switch how {
	case "served":
		x.Served++
		if after <= c.LatencyTarget {
			x.InTime++
			x.Worth += c.Utility
		} else {
			x.Worth += c.Utility * c.LateUtilityShare
		}
	case "refused":
		x.Refused++
		if r.ran > 0 {
			p.broken("request %d was refused after it ran", r.id)
		}
	default:
		x.Failed++
	}
}

// check holds the crowd against what is survived.
func (p *play) check() {
	s := p.opt.Settings
	if s.OverloadRunsPerCore > 0 && float64(len(p.runs)) > s.OverloadRunsPerCore*float64(s.Cores) {
		p.broken("%d runs on %d cores", len(p.runs), s.Cores)
	}
}

// host carries out what the module says.
type host struct{ p *play }

func (h host) note(what string, id rules.RequestID, value float64) {
	if h.p.opt.Action != nil {
		h.p.opt.Action(h.p.now, what, id, value)
	}
}

func (h host) Run(id rules.RequestID) {
	h.note("run", id, 0)
	r := h.p.all[id]
	if r.running {
		return
	}
	if r.ran > 0 && h.p.opt.Settings.Classes[r.Class].Effect != rules.Safe {
		h.p.broken("request %d runs again", id)
	}
	r.running, r.began, r.left = true, h.p.now, r.Work.Seconds()
	r.ran++
	h.p.runs = append(h.p.runs, r)
}

func (h host) Preempt(id rules.RequestID) {
	h.note("halt", id, 0)
	if r := h.p.all[id]; r.running && (h.p.opt.Hangs == nil || !h.p.opt.Hangs(h.p.now, r.Class)) {
		h.p.finish(r, rules.Cancelled)
	}
}

func (h host) Refuse(id rules.RequestID, after time.Duration, last bool) {
	v := after.Seconds()
	if last {
		v = -v - 1
	}
	h.note("refuse", id, v)
	h.p.answer(h.p.all[id], "refused")
	if h.p.opt.Told != nil {
		h.p.opt.Told(id, "refused", after, last)
	}
}

func (h host) Fail(id rules.RequestID) {
	h.note("fail", id, 0)
	h.p.answer(h.p.all[id], "failed")
}

func (h host) Call(id rules.RequestID, d time.Duration)       { h.note("call", id, d.Seconds()) }
func (h host) SkipCall(id rules.RequestID)                    { h.note("skip", id, 0) }
func (h host) KeepRecord(id rules.RequestID, d time.Duration) { h.note("keep", id, d.Seconds()) }
func (h host) ForgetRecord(id rules.RequestID)                { h.note("forget", id, 0) }
func (h host) JoinEarlier(id rules.RequestID)                 { h.note("reuse", id, 0) }
func (h host) SetHealth(_, good bool)                         { h.note("health", 0, map[bool]float64{true: 1}[good]) }
func (h host) PublishLoad(v float64)                          { h.note("say", 0, v) }
func (h host) SetIdleTimeout(d time.Duration)                 { h.note("idle", 0, d.Seconds()) }

func (h host) StartTimer(_ uint64, in time.Duration) { h.p.timers = append(h.p.timers, h.p.now+in) }

func (h host) Log(line string) {
	h.note("log "+line, 0, 0)
	h.p.res.Log = append(h.p.res.Log, fmt.Sprintf("%v %s", h.p.now, line))
}
