package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"robinmast/rules"
)

// Fault is the state of a node.
type Fault uint8

// The faults.
const (
	NoFault Fault = iota
	Hung          // makes no progress and answers nothing
	Down          // refuses connections at once; it starts again cold
)

// FleetOptions describe a simulated fleet.
type FleetOptions struct {
	Settings         rules.Settings // of each node
	Nodes            int
	Dispatchers      int
	ContentionFactor float64                               // see Options
	MeanWork         time.Duration                         // of a request, distributed as in Arrivals
	ClassShares      []float64                             // shares of the requests, by class
	Load             func(at time.Duration) float64        // offered work as a share of the capacity of all cores
	Fault            func(at time.Duration, n int) Fault   // fault of node n; nil = none
	Speed            func(at time.Duration, n int) float64 // speed of node n's cores; nil = 1
	FurtherTries     int                                   // further nodes that a dispatcher tries
	HonouringShare   float64                               // share of the dispatchers that obey retry-after and stop-retrying
	TryTimeout       time.Duration                         // longest duration of a try
	DesktopRetries   int                                   // how often a desktop sends a request again
	DesktopBackoff   time.Duration                         // mean wait before a desktop's first retry; doubles with each
	Length           time.Duration                         // simulated time
	Seed             uint64
	OnLog            func(at time.Duration, n int, line string) // receives the log lines of the modules; nil = none
}

// FleetSecond counts the requests and tries of one second. The desktops make Requests; dispatchers make
// FirstTries and further ones, together Tries. Each answer counts in the second in which it arrives.
type FleetSecond struct {
	Requests, InTime, Served, FirstTries, Tries, Refused int
	StoppedByNode                                        int // refusals after which the dispatcher stopped retrying
	NoNodeAvailable                                      int // times that a dispatcher stopped because it had no node to try
	Utility                                              float64
}

// TriesPerFirstTry returns the number of tries for each first try.
func (s *FleetSecond) TriesPerFirstTry() float64 {
	return float64(s.Tries) / float64(max(s.FirstTries, 1))
}

// fleetStep is the time step of a simulated fleet.
const fleetStep = 5 * time.Millisecond

// fleetRequest is a request of a desktop.
type fleetRequest struct {
	Arrival
	created        time.Duration // when the desktop made it
	dispatcher     int
	tries          int             // so far, by the dispatcher
	triedNodes     []int           // since the desktop sent it last
	desktopRetries int             // so far
	id             rules.RequestID // of the current try
	retryAfter     time.Duration   // of the last refusal
}

// fleetSimulation is the state of a simulated fleet.
type fleetSimulation struct {
	options        FleetOptions
	random         *rand.Rand
	now            time.Duration
	nodes          []*nodeSimulation
	open           []map[rules.RequestID]*fleetRequest // unanswered tries, by node
	faults         []Fault                             // by node
	pendingCancels [][]rules.RequestID                 // cancelled while the node hung, by node
	avoidUntil     [][]time.Duration                   // by dispatcher and node
	honours        []bool                              // by dispatcher, see FleetOptions.HonouringShare
	scheduled      map[int64][]func()                  // functions to call, by the number of the step
	nextID         rules.RequestID
	seconds        []FleetSecond
}

// SimulateFleet simulates a fleet and returns its counts by second; the same options give the same result.
// The sizes go beyond what real processes on one machine reach. The network is perfect and refusing costs a
// node no processor time; internal/standin/fleet tests both with real processes. It returns an error for
// invalid settings and, with the counts, for a violated invariant.
func SimulateFleet(opt FleetOptions) ([]FleetSecond, error) {
	f := &fleetSimulation{options: opt, random: rand.New(rand.NewPCG(opt.Seed, 9)), scheduled: map[int64][]func(){}}
	f.nodes, f.faults = make([]*nodeSimulation, opt.Nodes), make([]Fault, opt.Nodes)
	f.open = make([]map[rules.RequestID]*fleetRequest, opt.Nodes)
	f.pendingCancels = make([][]rules.RequestID, opt.Nodes)
	for n := range f.nodes {
		if err := f.start(n, false); err != nil {
			return nil, err
		}
	}
	for d := range opt.Dispatchers {
		f.avoidUntil = append(f.avoidUntil, make([]time.Duration, opt.Nodes))
		f.honours = append(f.honours, float64(d)+0.5 < opt.HonouringShare*float64(opt.Dispatchers))
	}
	f.seconds = make([]FleetSecond, int(opt.Length/time.Second)+1)
	capacity := float64(opt.Nodes*opt.Settings.Cores) / opt.MeanWork.Seconds()
	next := 0.0
	for ; f.now < opt.Length; f.now += fleetStep {
		if err := f.updateFaults(); err != nil {
			return nil, err
		}
		step := int64(f.now / fleetStep)
		for _, do := range f.scheduled[step] {
			do()
		}
		delete(f.scheduled, step)
		for next += opt.Load(f.now) * capacity * fleetStep.Seconds(); next > 0; next -= f.random.ExpFloat64() {
			f.newRequest()
		}
		for n, node := range f.nodes {
			if f.faults[n] == NoFault {
				f.advanceNode(n, node)
			}
		}
	}
	for n, node := range f.nodes {
		if len(node.result.Violations) > 0 {
			return f.seconds, fmt.Errorf("node %d: %s", n, node.result.Violations[0])
		}
	}
	return f.seconds, nil
}

// start starts node n with a new decision module.
func (f *fleetSimulation) start(n int, cold bool) error {
	opt := Options{Settings: f.options.Settings, ContentionFactor: f.options.ContentionFactor}
	opt.Settings.ColdStart = cold
	opt.Settings.AnswerSlack = time.Hour // a node that hung answers late, which violates no invariant
	node := &nodeSimulation{options: opt, now: f.now, requests: map[rules.RequestID]*request{}, result: &Result{}}
	node.options.OnAnswer = func(id rules.RequestID, outcome string, after time.Duration, stopRetrying bool) {
		f.answered(n, id, outcome, after, stopRetrying)
	}
	m, err := rules.New(f.now, opt.Settings, 1, host{node})
	if err != nil {
		return err
	}
	node.module = m
	f.nodes[n], f.open[n] = node, map[rules.RequestID]*fleetRequest{}
	return nil
}

// updateFaults applies the faults that begin or end now.
func (f *fleetSimulation) updateFaults() error {
	if f.options.Fault == nil {
		return nil
	}
	for n := range f.nodes {
		fault := f.options.Fault(f.now, n)
		if fault == f.faults[n] {
			continue
		}
		if fault == Down {
			for _, id := range slices.Sorted(maps.Keys(f.open[n])) { // their connections are reset
				f.tryNextNode(f.open[n][id])
			}
			f.open[n] = map[rules.RequestID]*fleetRequest{}
		} else if f.faults[n] == Down {
			if err := f.start(n, true); err != nil {
				return err
			}
		}
		f.faults[n] = fault
		if fault == NoFault { // the node reads the cancels that arrived during the hang
			for _, id := range f.pendingCancels[n] {
				f.cancel(n, id)
			}
			f.pendingCancels[n] = nil
		}
	}
	return nil
}

// advanceNode advances a node by one step.
func (f *fleetSimulation) advanceNode(n int, node *nodeSimulation) {
	node.now = f.now
	if len(node.requests) == 0 && (len(node.timers) == 0 || node.timers[0] > f.now) {
		return
	}
	speed := 1.0
	if f.options.Speed != nil {
		speed = f.options.Speed(f.now, n)
	}
	node.advance(time.Duration(speed * float64(fleetStep)))
	for _, end := range node.runEnds {
		end()
	}
	node.runEnds = nil
	for len(node.timers) > 0 && node.timers[0] <= f.now {
		node.timers = node.timers[1:]
		node.module.TimerFired(f.now, 1, node.gauges())
	}
	node.module.FinishBatch(f.now)
	for id, r := range node.requests {
		if r.answered && !r.running {
			delete(node.requests, id)
		}
	}
	if f.options.OnLog != nil {
		for _, line := range node.result.Log {
			f.options.OnLog(f.now, n, line)
		}
	}
	node.result.Log, node.result.Seconds = nil, nil
}

// schedule calls do after a time, at the earliest in the next step.
func (f *fleetSimulation) schedule(in time.Duration, do func()) {
	step := int64((f.now + max(in, fleetStep) + fleetStep - 1) / fleetStep)
	f.scheduled[step] = append(f.scheduled[step], do)
}

// currentSecond returns the counters of the current second.
func (f *fleetSimulation) currentSecond() *FleetSecond { return &f.seconds[int(f.now/time.Second)] }

// newRequest creates a request of a random class at a random dispatcher.
func (f *fleetSimulation) newRequest() {
	class, x := 0, f.random.Float64()
	for class = range f.options.ClassShares {
		if x -= f.options.ClassShares[class]; x < 0 {
			break
		}
	}
	work := time.Duration(float64(f.options.MeanWork) * (0.5 + f.random.ExpFloat64()/2))
	f.currentSecond().Requests++
	f.tryNextNode(&fleetRequest{
		Arrival: Arrival{At: f.now, Class: class, Work: work, Hint: work}, created: f.now,
		dispatcher: f.random.IntN(f.options.Dispatchers),
	})
}

// tryNextNode sends the request to a random node that the dispatcher does not avoid and has not tried, unless
// the tries or the time are used up.
func (f *fleetSimulation) tryNextNode(r *fleetRequest) {
	deadline := f.options.Settings.Classes[r.Class].Deadline
	if len(r.triedNodes) > f.options.FurtherTries || f.now-r.created > deadline-20*time.Millisecond {
		f.retryByDesktop(r)
		return
	}
	avoidUntil := f.avoidUntil[r.dispatcher]
	for range 4 { // candidates
		n := f.random.IntN(len(f.nodes))
		if avoidUntil[n] > f.now || slices.Contains(r.triedNodes, n) {
			continue
		}
		f.send(r, n)
		return
	}
	f.currentSecond().NoNodeAvailable++
	f.retryByDesktop(r)
}

// send makes one try at a node.
func (f *fleetSimulation) send(r *fleetRequest, n int) {
	s := f.currentSecond()
	if r.tries == 0 {
		s.FirstTries++
	}
	s.Tries++
	f.nextID++
	r.triedNodes = append(r.triedNodes, n)
	r.id = f.nextID
	r.Retry = r.tries > 0
	r.tries++
	if f.faults[n] == Down {
		f.schedule(0, func() { f.tryNextNode(r) })
		return
	}
	id := r.id
	f.open[n][id] = r
	arrival := r.Arrival
	arrival.At = f.now
	timeout := min(f.options.TryTimeout, f.options.Settings.Classes[r.Class].Deadline-(f.now-r.created))
	node := f.nodes[n]
	if f.faults[n] == NoFault {
		node.now = f.now
		node.arrive(arrival, id)
	}
	f.schedule(timeout, func() { // the try times out
		if f.open[n][id] != r || r.id != id {
			return
		}
		delete(f.open[n], id)
		switch {
		case f.nodes[n] != node:
		case f.faults[n] == NoFault:
			f.cancel(n, id)
		default:
			f.pendingCancels[n] = append(f.pendingCancels[n], id)
		}
		f.avoidUntil[r.dispatcher][n] = f.now + time.Second/2
		f.tryNextNode(r)
	})
}

// cancel notifies a node that the caller of a request is gone.
func (f *fleetSimulation) cancel(n int, id rules.RequestID) {
	node := f.nodes[n]
	node.now = f.now
	if r := node.requests[id]; r != nil {
		r.answered = true
		node.module.CallerGone(f.now, id)
	}
}

// answered handles the answer of a node.
func (f *fleetSimulation) answered(n int, id rules.RequestID, outcome string, after time.Duration, stopRetrying bool) {
	r := f.open[n][id]
	if r == nil || r.id != id {
		return
	}
	delete(f.open[n], id)
	s := f.currentSecond()
	switch outcome {
	case "served":
		s.Served++
		c := f.options.Settings.Classes[r.Class]
		if f.now-r.created <= c.LatencyTarget {
			s.InTime++
			s.Utility += c.Utility
		}
		return
	case "refused":
		s.Refused++
		r.retryAfter = after
		if f.honours[r.dispatcher] {
			f.avoidUntil[r.dispatcher][n] = max(f.avoidUntil[r.dispatcher][n], f.now+after)
			if stopRetrying {
				s.StoppedByNode++
				f.schedule(0, func() { f.retryByDesktop(r) })
				return
			}
		}
	}
	f.schedule(0, func() { f.tryNextNode(r) })
}

// retryByDesktop ends the tries of the dispatcher; the desktop sends the request again after a backoff if it
// has retries left.
func (f *fleetSimulation) retryByDesktop(r *fleetRequest) {
	if r.desktopRetries >= f.options.DesktopRetries {
		return
	}
	wait := time.Duration(float64(f.options.DesktopBackoff<<r.desktopRetries) * (0.5 + f.random.Float64()))
	r.desktopRetries++
	r.triedNodes = r.triedNodes[:0]
	f.schedule(max(wait, r.retryAfter), func() { f.tryNextNode(r) })
}
