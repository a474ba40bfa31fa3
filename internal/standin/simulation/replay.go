// Package simulation runs the decision module of a node, or of each node of a fleet, in virtual time.
//
// Replay feeds a list of arrivals to one simulated node, whose cores are shared by its runs and slow down
// under contention, and checks that every request gets exactly one answer in time, that a refused request
// never ran, that no request runs again unless that is safe, and that concurrency stays below the level that
// counts as overload. SimulateFleet does the same for a fleet with dispatchers and desktops. BestUtility
// bounds from above what any policy could reach.
//
// The same input gives the same result. The package takes no decision for the module, reads no real clock
// and starts no goroutine; its types are not safe for concurrent use. It is for tests and benchmarks only.
package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"robinmast/rules"
)

// Arrival is a request that arrives at the node.
type Arrival struct {
	At     time.Duration
	Class  int
	Tenant int
	Work   time.Duration // time that the request takes alone on one core
	Hint   time.Duration // the caller's estimate of Work; 0 = none
	Retry  bool          // whether the request is marked as a further try
}

// Stream is a random flow of requests of one class and tenant.
type Stream struct {
	Class, Tenant int
	Rate          func(at time.Duration) float64         // requests per second
	Work          func(at time.Duration) time.Duration   // mean work of a request
	Hint          func(work time.Duration) time.Duration // the caller's estimate of the work; nil = exact
}

// Steady returns a constant rate, in requests per second.
func Steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Always returns a constant mean work.
func Always(w time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return w }
}

// Arrivals draws the requests of some streams, sorted by time. Arrivals are Poisson processes. The work is
// the mean times 0.5 + X/2, where X is exponentially distributed with mean 1.
func Arrivals(seed uint64, length time.Duration, streams ...Stream) []Arrival {
	var all []Arrival
	for i, s := range streams {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		due, passed := r.ExpFloat64(), 0.0 // exponential steps of the integral of the rate
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

// draw returns a request that arrives at a time.
func (s *Stream) draw(r *rand.Rand, at time.Duration) Arrival {
	work := time.Duration(float64(s.Work(at)) * (0.5 + r.ExpFloat64()/2))
	hint := work
	if s.Hint != nil {
		hint = s.Hint(work)
	}
	return Arrival{At: at, Class: s.Class, Tenant: s.Tenant, Work: work, Hint: hint}
}

// Options describe the simulated node and its observers.
type Options struct {
	Settings rules.Settings
	// ContentionFactor is the slow-down for each run per core beyond one: n runs on c cores slow each
	// other down by 1 + ContentionFactor*(n/c-1).
	ContentionFactor float64
	// Hangs reports whether the runs of a class make no progress at a time; nil = never.
	Hangs func(at time.Duration, class int) bool
	// OnAction receives each action of the module; nil = none. The value depends on the action.
	OnAction func(at time.Duration, what string, id rules.RequestID, value float64)
	// Drain is the time at which the node begins to drain; 0 = never.
	Drain time.Duration
	// Length is the simulated time; 0 = until one second after the last deadline.
	Length time.Duration
	// OnAnswer receives each answer ("served", "refused" or "failed"), for a refusal with its retry-after
	// time and whether the caller shall stop retrying; nil = none.
	OnAnswer func(id rules.RequestID, outcome string, after time.Duration, stopRetrying bool)
}

// Count holds the outcomes of the requests of a class that arrived in one second.
type Count struct {
	Arrived, Served, InTime, Refused, Failed int     // InTime: served within the latency target
	Utility                                  float64 // of the served requests
}

// Result is the result of a replay.
type Result struct {
	Seconds     [][]Count // by the second of arrival, then by class
	Log         []string  // log lines of the module, with their times
	Violations  []string  // violated invariants, at most 8
	PeakRunning int       // highest number of concurrent runs
}

// Total returns the sum of the counts of a class, or of all classes if class is -1, over the seconds from
// (inclusive) to (exclusive).
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

// request is the state of a request at the simulated node.
type request struct {
	Arrival
	id        rules.RequestID
	remaining float64 // remaining work in seconds on one core
	running   bool
	started   time.Duration
	answered  bool
	runs      int // how often the request was started
}

// nodeSimulation is a simulated node with its decision module.
type nodeSimulation struct {
	options  Options
	module   *rules.Module
	now      time.Duration
	requests map[rules.RequestID]*request
	running  []*request // ordered by start time
	runEnds  []func()   // pending notifications that a run ended
	timers   []time.Duration
	cpuBusy  float64 // smoothed share of busy cores
	result   *Result
}

// step is the time step of a replay.
const step = time.Millisecond

// Replay runs the arrivals through the decision module of a simulated node. Its error is that of rules.New;
// violated invariants are in Result.Violations.
func Replay(opt Options, arrivals []Arrival) (*Result, error) {
	sim := &nodeSimulation{options: opt, requests: map[rules.RequestID]*request{}, result: &Result{}}
	m, err := rules.New(0, opt.Settings, 1, host{sim})
	if err != nil {
		return nil, err
	}
	sim.module = m
	end := opt.Length
	for _, a := range arrivals {
		end = max(end, a.At+opt.Settings.Classes[a.Class].Deadline+time.Second)
	}
	if opt.Length > 0 {
		end = opt.Length
	}
	next := 0
	for ; sim.now < end; sim.now += step {
		sim.advance(step)
		for _, f := range sim.runEnds {
			f()
		}
		sim.runEnds = nil
		if opt.Drain > 0 && sim.now == opt.Drain {
			m.Drain(sim.now, 3*time.Second)
		}
		for next < len(arrivals) && arrivals[next].At <= sim.now {
			sim.arrive(arrivals[next], rules.RequestID(next+1))
			next++
		}
		for len(sim.timers) > 0 && sim.timers[0] <= sim.now {
			sim.timers = sim.timers[1:]
			m.TimerFired(sim.now, 1, sim.gauges())
		}
		m.FinishBatch(sim.now)
		sim.checkConcurrency()
	}
	for _, r := range sim.requests {
		if !r.answered {
			sim.violation("request %d was never answered", r.id)
		}
	}
	return sim.result, nil
}

// violation records a violated invariant.
func (sim *nodeSimulation) violation(format string, args ...any) {
	if len(sim.result.Violations) < 8 {
		sim.result.Violations = append(sim.result.Violations,
			fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
	}
}

// gauges returns the values of the configured gauges.
func (sim *nodeSimulation) gauges() []float64 {
	values := make([]float64, len(sim.options.Settings.Gauges))
	for i, g := range sim.options.Settings.Gauges {
		switch g {
		case "cpu_busy":
			values[i] = sim.cpuBusy
		case "runnable":
			values[i] = float64(len(sim.running))
		}
	}
	return values
}

// advance lets the runs progress for a time.
func (sim *nodeSimulation) advance(dt time.Duration) {
	cores := float64(sim.options.Settings.Cores)
	active := sim.running[:0:0] // runs that make progress
	for _, r := range sim.running {
		if sim.options.Hangs == nil || !sim.options.Hangs(sim.now, r.Class) {
			active = append(active, r)
		}
	}
	n := float64(len(active))
	sim.cpuBusy += min(1, dt.Seconds()) * (min(1, n/cores) - sim.cpuBusy)
	speed := min(1, cores/max(n, 1)) / (1 + sim.options.ContentionFactor*max(0, n/cores-1))
	for _, r := range active {
		if r.remaining -= speed * dt.Seconds(); r.remaining <= 0 {
			sim.finish(r, rules.OK)
		}
	}
	sim.result.PeakRunning = max(sim.result.PeakRunning, len(sim.running))
}

// finish ends a run; the module is notified after all runs have advanced.
func (sim *nodeSimulation) finish(r *request, o rules.Outcome) {
	sim.running = slices.DeleteFunc(sim.running, func(x *request) bool { return x == r })
	r.running = false
	took := sim.now - r.started
	if o == rules.OK && !r.answered {
		sim.answer(r, "served")
	}
	sim.runEnds = append(sim.runEnds, func() { sim.module.RunEnded(sim.now, r.id, o, took) })
}

// arrive gives a request to the module.
func (sim *nodeSimulation) arrive(a Arrival, id rules.RequestID) {
	r := &request{Arrival: a, id: id, remaining: a.Work.Seconds()}
	sim.requests[id] = r
	sim.count(r).Arrived++
	q := rules.Request{
		ID: id, Class: a.Class, Tenant: a.Tenant, WorkHint: a.Hint, MemoryKB: 5, Rank: 0.5,
		Retry: a.Retry, Caller: uint32(id % 3),
		CallerTimeout: sim.options.Settings.Classes[a.Class].Deadline,
	}
	sim.module.Arrive(sim.now, q)
}

// count returns the counters for the second and the class of a request.
func (sim *nodeSimulation) count(r *request) *Count {
	at := int(r.At / time.Second)
	for len(sim.result.Seconds) <= at {
		sim.result.Seconds = append(sim.result.Seconds, make([]Count, len(sim.options.Settings.Classes)))
	}
	return &sim.result.Seconds[at][r.Class]
}

// answer records the answer to a request and checks that it is the only one, in time, and no refusal after
// a run.
func (sim *nodeSimulation) answer(r *request, outcome string) {
	if r.answered {
		sim.violation("request %d was answered twice", r.id)
		return
	}
	r.answered = true
	if sim.options.OnAnswer != nil && outcome != "refused" {
		sim.options.OnAnswer(r.id, outcome, 0, false)
	}
	c := sim.options.Settings.Classes[r.Class]
	counts := sim.count(r)
	after := sim.now - r.At
	if after > c.Deadline+sim.options.Settings.AnswerSlack {
		sim.violation("request %d was answered after %v", r.id, after)
	}
	switch outcome {
	case "served":
		counts.Served++
		if after <= c.LatencyTarget {
			counts.InTime++
			counts.Utility += c.Utility
		} else {
			counts.Utility += c.Utility * c.LateUtilityShare
		}
	case "refused":
		counts.Refused++
		if r.runs > 0 {
			sim.violation("request %d was refused after it ran", r.id)
		}
	default:
		counts.Failed++
	}
}

// checkConcurrency checks that the concurrent runs stay below the level that counts as overload.
func (sim *nodeSimulation) checkConcurrency() {
	s := sim.options.Settings
	if s.OverloadRunsPerCore > 0 && float64(len(sim.running)) > s.OverloadRunsPerCore*float64(s.Cores) {
		sim.violation("%d concurrent runs on %d cores", len(sim.running), s.Cores)
	}
}

// host is the rules.Host of a simulated node.
type host struct{ node *nodeSimulation }

// record passes an action to Options.OnAction. Its names are part of the digests in rules/replay_test.go.
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
		h.node.violation("request %d, which is not safe to repeat, runs again", id)
	}
	r.running, r.started, r.remaining = true, h.node.now, r.Work.Seconds()
	r.runs++
	h.node.running = append(h.node.running, r)
}

func (h host) Preempt(id rules.RequestID) {
	h.record("halt", id, 0)
	hangs := h.node.options.Hangs
	if r := h.node.requests[id]; r.running && (hangs == nil || !hangs(h.node.now, r.Class)) {
		h.node.finish(r, rules.Cancelled)
	}
}

func (h host) Refuse(id rules.RequestID, after time.Duration, stopRetrying bool) {
	v := after.Seconds()
	if stopRetrying {
		v = -v - 1
	}
	h.record("refuse", id, v)
	h.node.answer(h.node.requests[id], "refused")
	if h.node.options.OnAnswer != nil {
		h.node.options.OnAnswer(id, "refused", after, stopRetrying)
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
