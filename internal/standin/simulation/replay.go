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
	Settings         rules.Settings
	ContentionFactor float64                                // slow-down for each run a core beyond one
	Hangs            func(at time.Duration, class int) bool // whose runs stand still
	OnAction         func(at time.Duration, what string, id rules.RequestID, value float64)
	Drain            time.Duration                                                        // when the notice to leave comes, 0 = never
	Length           time.Duration                                                        // 0 = until the last arrival's deadline
	OnAnswer         func(id rules.RequestID, how string, after time.Duration, last bool) // each answer, nil = nobody
}

// Count is what became of the requests of a class that arrived in one second.
type Count struct {
	Arrived, Served, InTime, Refused, Failed int
	Utility                                  float64
}

// Result is what a replay showed.
type Result struct {
	Seconds     [][]Count // by second of arrival and class
	Log         []string  // lines of the module
	Violations  []string  // rules that were broken
	PeakRunning int       // most runs at once
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
				c.Utility += x.Utility
			}
		}
	}
	return c
}

type request struct {
	Arrival
	id        rules.RequestID
	remaining float64 // seconds of work
	running   bool
	started   time.Duration
	answered  bool
	runs      int
}

type nodeSimulation struct {
	options  Options
	module   *rules.Module
	now      time.Duration
	requests map[rules.RequestID]*request
	running  []*request // in order of their start
	runEnds  []func()
	timers   []time.Duration
	cpuBusy  float64
	result   *Result
}

const step = time.Millisecond

// Replay plays the arrivals.
func Replay(opt Options, arrivals []Arrival) (*Result, error) {
	p := &nodeSimulation{options: opt, requests: map[rules.RequestID]*request{}, result: &Result{}}
	m, err := rules.New(0, opt.Settings, 1, host{p})
	if err != nil {
		return nil, err
	}
	p.module = m
	end := opt.Length
	for _, a := range arrivals {
		end = max(end, a.At+opt.Settings.Classes[a.Class].Deadline+time.Second)
	}
	if opt.Length > 0 {
		end = opt.Length
	}
	next := 0
	for ; p.now < end; p.now += step {
		p.advance(step)
		for _, f := range p.runEnds {
			f()
		}
		p.runEnds = nil
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
		p.checkConcurrency()
	}
	for _, r := range p.requests {
		if !r.answered {
			p.violation("request %d was never answered", r.id)
		}
	}
	return p.result, nil
}

func (p *nodeSimulation) violation(format string, args ...any) {
	if len(p.result.Violations) < 8 {
		p.result.Violations = append(p.result.Violations, fmt.Sprintf("%v: ", p.now)+fmt.Sprintf(format, args...))
	}
}

func (p *nodeSimulation) gauges() []float64 {
	values := make([]float64, len(p.options.Settings.Gauges))
	for i, g := range p.options.Settings.Gauges {
		switch g {
		case "cpu_busy":
			values[i] = p.cpuBusy
		case "runnable":
			values[i] = float64(len(p.running))
		}
	}
	return values
}

// run lets the cores work for a time.
func (p *nodeSimulation) advance(dt time.Duration) {
	cores := float64(p.options.Settings.Cores)
	work := p.running[:0:0]
	for _, r := range p.running {
		if p.options.Hangs == nil || !p.options.Hangs(p.now, r.Class) {
			work = append(work, r)
		}
	}
	n := float64(len(work))
	p.cpuBusy += min(1, dt.Seconds()) * (min(1, n/cores) - p.cpuBusy)
	speed := min(1, cores/max(n, 1)) / (1 + p.options.ContentionFactor*max(0, n/cores-1))
	for _, r := range work {
		if r.remaining -= speed * dt.Seconds(); r.remaining <= 0 {
			p.finish(r, rules.OK)
		}
	}
	p.result.PeakRunning = max(p.result.PeakRunning, len(p.running))
}

func (p *nodeSimulation) finish(r *request, o rules.Outcome) {
	p.running = slices.DeleteFunc(p.running, func(x *request) bool { return x == r })
	r.running = false
	took := p.now - r.started
	if o == rules.OK && !r.answered {
		p.answer(r, "served")
	}
	p.runEnds = append(p.runEnds, func() { p.module.RunEnded(p.now, r.id, o, took) })
}

func (p *nodeSimulation) arrive(a Arrival, id rules.RequestID) {
	r := &request{Arrival: a, id: id, remaining: a.Work.Seconds()}
	p.requests[id] = r
	p.count(r).Arrived++
	q := rules.Request{
		ID: id, Class: a.Class, Tenant: a.Tenant, WorkHint: a.Hint, MemoryKB: 5, Rank: 0.5, Retry: a.Retry, Caller: uint32(id % 3),
		CallerTimeout: p.options.Settings.Classes[a.Class].Deadline,
	}
	p.module.Arrive(p.now, q)
}

func (p *nodeSimulation) count(r *request) *Count {
	at := int(r.At / time.Second)
	for len(p.result.Seconds) <= at {
		p.result.Seconds = append(p.result.Seconds, make([]Count, len(p.options.Settings.Classes)))
	}
	return &p.result.Seconds[at][r.Class]
}

func (p *nodeSimulation) answer(r *request, how string) {
	if r.answered {
		p.violation("request %d was answered twice", r.id)
		return
	}
	r.answered = true
	if p.options.OnAnswer != nil && how != "refused" {
		p.options.OnAnswer(r.id, how, 0, false)
	}
	c := p.options.Settings.Classes[r.Class]
	x := p.count(r)
	after := p.now - r.At
	if after > c.Deadline+p.options.Settings.AnswerSlack {
		p.violation("request %d was answered after %v", r.id, after)
	}
	switch how {
	case "served":
		x.Served++
		if after <= c.LatencyTarget {
			x.InTime++
			x.Utility += c.Utility
		} else {
			x.Utility += c.Utility * c.LateUtilityShare
		}
	case "refused":
		x.Refused++
		if r.runs > 0 {
			p.violation("request %d was refused after it ran", r.id)
		}
	default:
		x.Failed++
	}
}

// check holds the crowd against what is survived.
func (p *nodeSimulation) checkConcurrency() {
	s := p.options.Settings
	if s.OverloadRunsPerCore > 0 && float64(len(p.running)) > s.OverloadRunsPerCore*float64(s.Cores) {
		p.violation("%d runs on %d cores", len(p.running), s.Cores)
	}
}

// host carries out what the module says.
type host struct{ node *nodeSimulation }

func (h host) record(what string, id rules.RequestID, value float64) {
	if h.node.options.OnAction != nil {
		h.node.options.OnAction(h.node.now, what, id, value)
	}
}

func (h host) Run(id rules.RequestID) {
	h.record("run", id, 0)
	r := h.node.requests[id]
	if r.running {
		return
	}
	if r.runs > 0 && h.node.options.Settings.Classes[r.Class].Effect != rules.Safe {
		h.node.violation("request %d runs again", id)
	}
	r.running, r.started, r.remaining = true, h.node.now, r.Work.Seconds()
	r.runs++
	h.node.running = append(h.node.running, r)
}

func (h host) Preempt(id rules.RequestID) {
	h.record("halt", id, 0)
	if r := h.node.requests[id]; r.running && (h.node.options.Hangs == nil || !h.node.options.Hangs(h.node.now, r.Class)) {
		h.node.finish(r, rules.Cancelled)
	}
}

func (h host) Refuse(id rules.RequestID, after time.Duration, last bool) {
	v := after.Seconds()
	if last {
		v = -v - 1
	}
	h.record("refuse", id, v)
	h.node.answer(h.node.requests[id], "refused")
	if h.node.options.OnAnswer != nil {
		h.node.options.OnAnswer(id, "refused", after, last)
	}
}

func (h host) Fail(id rules.RequestID) {
	h.record("fail", id, 0)
	h.node.answer(h.node.requests[id], "failed")
}

func (h host) Call(id rules.RequestID, d time.Duration)       { h.record("call", id, d.Seconds()) }
func (h host) SkipCall(id rules.RequestID)                    { h.record("skip", id, 0) }
func (h host) KeepRecord(id rules.RequestID, d time.Duration) { h.record("keep", id, d.Seconds()) }
func (h host) ForgetRecord(id rules.RequestID)                { h.record("forget", id, 0) }
func (h host) JoinEarlier(id rules.RequestID)                 { h.record("reuse", id, 0) }
func (h host) SetHealth(_, good bool)                         { h.record("health", 0, map[bool]float64{true: 1}[good]) }
func (h host) PublishLoad(v float64)                          { h.record("say", 0, v) }
func (h host) SetIdleTimeout(d time.Duration)                 { h.record("idle", 0, d.Seconds()) }

func (h host) StartTimer(_ uint64, in time.Duration) {
	h.node.timers = append(h.node.timers, h.node.now+in)
}

func (h host) Log(line string) {
	h.record("log "+line, 0, 0)
	h.node.result.Log = append(h.node.result.Log, fmt.Sprintf("%v %s", h.node.now, line))
}
