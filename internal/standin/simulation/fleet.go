// This file owns a fleet of stand-in machines in virtual time, for sizes that real
// processes don't reach: dispatchers that walk their lists and heed what they are
// told or don't, desktops that try again, and nodes that hang or die and come back
// cold. Networks are perfect here and nothing costs the nodes' own processor: what
// that does is seen with real processes (internal/standin/fleet).

package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"robinmast/rules"
)

// Trouble is what is wrong with a node at a time.
type Fault uint8

// The troubles.
const (
	NoFault Fault = iota
	Hung
	Down // its connections are refused at once
)

// FleetOptions say what fleet it is. The settings are those of each node.
type FleetOptions struct {
	Settings         rules.Settings
	Nodes            int
	Dispatchers      int
	ContentionFactor float64
	MeanWork         time.Duration                         // work of a request; spread by a factor from one half up
	ClassShares      []float64                             // of the requests, by class
	Load             func(at time.Duration) float64        // of what all cores can do
	Fault            func(at time.Duration, n int) Fault   // nil = none
	Speed            func(at time.Duration, n int) float64 // of a node's cores, nil = 1
	FurtherTries     int                                   // further nodes tried
	HonouringShare   float64                               // share of the dispatchers that heed
	TryTimeout       time.Duration                         // most that one try may take
	DesktopRetries   int                                   // of desktops
	DesktopBackoff   time.Duration
	Length           time.Duration
	Seed             uint64
	OnLog            func(at time.Duration, n int, s string) // lines of the modules, nil = nobody reads
}

// FleetSecond is what became of one second's requests and tries.
type FleetSecond struct {
	Requests, InTime, Served, FirstTries, Tries, Refused, StoppedByNode, NoNodeAvailable int
	Utility                                                                              float64
}

// PerFirst is tries a first try.
func (s *FleetSecond) TriesPerFirstTry() float64 {
	return float64(s.Tries) / float64(max(s.FirstTries, 1))
}

const fleetStep = 5 * time.Millisecond

// ask is a desktop's request on its way.
type fleetRequest struct {
	Arrival
	created        time.Duration
	dispatcher     int
	tries          int
	triedNodes     []int // nodes of this walk
	desktopRetries int   // desktop's tries so far
	id             rules.RequestID
	retryAfter     time.Duration
}

type fleetSimulation struct {
	options        FleetOptions
	random         *rand.Rand
	now            time.Duration
	nodes          []*nodeSimulation
	open           []map[rules.RequestID]*fleetRequest
	faults         []Fault
	pendingCancels [][]rules.RequestID // given up while a node hung
	avoidUntil     [][]time.Duration   // by dispatcher and node
	honours        []bool
	scheduled      map[int64][]func() // by step
	nextID         rules.RequestID
	seconds        []FleetSecond
}

// PlayFleet plays a fleet and returns its seconds; the same options give the same.
func SimulateFleet(opt FleetOptions) ([]FleetSecond, error) {
	f := &fleetSimulation{options: opt, random: rand.New(rand.NewPCG(opt.Seed, 9)), scheduled: map[int64][]func(){}}
	f.nodes, f.open, f.faults = make([]*nodeSimulation, opt.Nodes), make([]map[rules.RequestID]*fleetRequest, opt.Nodes), make([]Fault, opt.Nodes)
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
		for n, p := range f.nodes {
			if f.faults[n] == NoFault {
				f.advanceNode(n, p)
			}
		}
	}
	for n, p := range f.nodes {
		if len(p.result.Violations) > 0 {
			return f.seconds, fmt.Errorf("node %d: %s", n, p.result.Violations[0])
		}
	}
	return f.seconds, nil
}

// start makes a node anew.
func (f *fleetSimulation) start(n int, cold bool) error {
	opt := Options{Settings: f.options.Settings, ContentionFactor: f.options.ContentionFactor}
	opt.Settings.ColdStart = cold
	opt.Settings.AnswerSlack = time.Hour // who hangs answers late, and that is no broken rule
	p := &nodeSimulation{options: opt, now: f.now, requests: map[rules.RequestID]*request{}, result: &Result{}}
	p.options.OnAnswer = func(id rules.RequestID, how string, after time.Duration, last bool) {
		f.answered(n, id, how, after, last)
	}
	m, err := rules.New(f.now, opt.Settings, 1, host{p})
	if err != nil {
		return err
	}
	p.module = m
	f.nodes[n], f.open[n] = p, map[rules.RequestID]*fleetRequest{}
	return nil
}

// troubles changes what is wrong with the nodes.
func (f *fleetSimulation) updateFaults() error {
	if f.options.Fault == nil {
		return nil
	}
	for n := range f.nodes {
		t := f.options.Fault(f.now, n)
		if t == f.faults[n] {
			continue
		}
		if t == Down {
			for _, id := range slices.Sorted(maps.Keys(f.open[n])) { // their connections break
				f.tryNextNode(f.open[n][id])
			}
			f.open[n] = map[rules.RequestID]*fleetRequest{}
		} else if f.faults[n] == Down {
			if err := f.start(n, true); err != nil {
				return err
			}
		}
		f.faults[n] = t
		if t == NoFault { // it reads what came meanwhile, cancels too
			for _, id := range f.pendingCancels[n] {
				f.cancel(n, id)
			}
			f.pendingCancels[n] = nil
		}
	}
	return nil
}

// turn lets a node work for a step.
func (f *fleetSimulation) advanceNode(n int, p *nodeSimulation) {
	p.now = f.now
	if len(p.requests) == 0 && (len(p.timers) == 0 || p.timers[0] > f.now) {
		return
	}
	speed := 1.0
	if f.options.Speed != nil {
		speed = f.options.Speed(f.now, n)
	}
	p.advance(time.Duration(speed * float64(fleetStep)))
	for _, end := range p.runEnds {
		end()
	}
	p.runEnds = nil
	for len(p.timers) > 0 && p.timers[0] <= f.now {
		p.timers = p.timers[1:]
		p.module.TimerFired(f.now, 1, p.gauges())
	}
	p.module.FinishBatch(f.now)
	for id, r := range p.requests {
		if r.answered && !r.running {
			delete(p.requests, id)
		}
	}
	if f.options.OnLog != nil {
		for _, line := range p.result.Log {
			f.options.OnLog(f.now, n, line)
		}
	}
	p.result.Log, p.result.Seconds = nil, nil
}

// at does something after a time, a step later at the least.
func (f *fleetSimulation) schedule(in time.Duration, do func()) {
	step := int64((f.now + max(in, fleetStep) + fleetStep - 1) / fleetStep)
	f.scheduled[step] = append(f.scheduled[step], do)
}

func (f *fleetSimulation) currentSecond() *FleetSecond { return &f.seconds[int(f.now/time.Second)] }

// begin lets a desktop begin a request.
func (f *fleetSimulation) newRequest() {
	class, x := 0, f.random.Float64()
	for class = range f.options.ClassShares {
		if x -= f.options.ClassShares[class]; x < 0 {
			break
		}
	}
	work := time.Duration(float64(f.options.MeanWork) * (0.5 + f.random.ExpFloat64()/2))
	f.currentSecond().Requests++
	f.tryNextNode(&fleetRequest{Arrival: Arrival{At: f.now, Class: class, Work: work, Hint: work}, created: f.now, dispatcher: f.random.IntN(f.options.Dispatchers)})
}

// walk tries the next node of the dispatcher's list.
func (f *fleetSimulation) tryNextNode(a *fleetRequest) {
	deadline := f.options.Settings.Classes[a.Class].Deadline
	if len(a.triedNodes) > f.options.FurtherTries || f.now-a.created > deadline-20*time.Millisecond {
		f.retryByDesktop(a)
		return
	}
	away := f.avoidUntil[a.dispatcher]
	for range 4 { // of a long list a few are looked at
		n := f.random.IntN(len(f.nodes))
		if away[n] > f.now || slices.Contains(a.triedNodes, n) {
			continue
		}
		f.send(a, n)
		return
	}
	f.currentSecond().NoNodeAvailable++
	f.retryByDesktop(a)
}

// try sends a request to a node.
func (f *fleetSimulation) send(a *fleetRequest, n int) {
	s := f.currentSecond()
	if a.tries == 0 {
		s.FirstTries++
	}
	s.Tries++
	f.nextID++
	a.triedNodes = append(a.triedNodes, n)
	a.id = f.nextID
	a.Retry = a.tries > 0
	a.tries++
	if f.faults[n] == Down {
		f.schedule(0, func() { f.tryNextNode(a) })
		return
	}
	id := a.id
	f.open[n][id] = a
	q := a.Arrival
	q.At = f.now
	left := min(f.options.TryTimeout, f.options.Settings.Classes[a.Class].Deadline-(f.now-a.created))
	p := f.nodes[n]
	if f.faults[n] == NoFault {
		p.now = f.now
		p.arrive(q, id)
	}
	f.schedule(left, func() { // the dispatcher gives the try up
		if f.open[n][id] != a || a.id != id {
			return
		}
		delete(f.open[n], id)
		switch {
		case f.nodes[n] != p:
		case f.faults[n] == NoFault:
			f.cancel(n, id)
		default:
			f.pendingCancels[n] = append(f.pendingCancels[n], id)
		}
		f.avoidUntil[a.dispatcher][n] = f.now + time.Second/2
		f.tryNextNode(a)
	})
}

// leave tells a node that nobody waits for a request any more.
func (f *fleetSimulation) cancel(n int, id rules.RequestID) {
	p := f.nodes[n]
	p.now = f.now
	if r := p.requests[id]; r != nil {
		r.answered = true
		p.module.CallerGone(f.now, id)
	}
}

// told takes a node's answer.
func (f *fleetSimulation) answered(n int, id rules.RequestID, how string, after time.Duration, last bool) {
	a := f.open[n][id]
	if a == nil || a.id != id {
		return
	}
	delete(f.open[n], id)
	s := f.currentSecond()
	switch how {
	case "served":
		s.Served++
		c := f.options.Settings.Classes[a.Class]
		if f.now-a.created <= c.LatencyTarget {
			s.InTime++
			s.Utility += c.Utility
		}
		return
	case "refused":
		s.Refused++
		a.retryAfter = after
		if f.honours[a.dispatcher] {
			f.avoidUntil[a.dispatcher][n] = max(f.avoidUntil[a.dispatcher][n], f.now+after)
			if last {
				s.StoppedByNode++
				f.schedule(0, func() { f.retryByDesktop(a) })
				return
			}
		}
	}
	f.schedule(0, func() { f.tryNextNode(a) })
}

// gaveUp ends a walk: the desktop tries again while there is time.
func (f *fleetSimulation) retryByDesktop(a *fleetRequest) {
	if a.desktopRetries >= f.options.DesktopRetries {
		return
	}
	wait := time.Duration(float64(f.options.DesktopBackoff<<a.desktopRetries) * (0.5 + f.random.Float64()))
	a.desktopRetries++
	a.triedNodes = a.triedNodes[:0]
	f.schedule(max(wait, a.retryAfter), func() { f.tryNextNode(a) })
}
