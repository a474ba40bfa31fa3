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
type Trouble uint8

// The troubles.
const (
	Well Trouble = iota
	Hangs
	Dead // its connections are refused at once
)

// FleetOptions say what fleet it is. The settings are those of each node.
type FleetOptions struct {
	Settings    rules.Settings
	Nodes       int
	Dispatchers int
	Crowd       float64
	Mean        time.Duration                         // work of a request; spread by a factor from one half up
	Share       []float64                             // of the requests, by class
	Load        func(at time.Duration) float64        // of what all cores can do
	Trouble     func(at time.Duration, n int) Trouble // nil = none
	Speed       func(at time.Duration, n int) float64 // of a node's cores, nil = 1
	Walk        int                                   // further nodes tried
	Heed        float64                               // share of the dispatchers that heed
	Try         time.Duration                         // most that one try may take
	Retries     int                                   // of desktops
	Backoff     time.Duration
	Length      time.Duration
	Seed        uint64
	Line        func(at time.Duration, n int, s string) // lines of the modules, nil = nobody reads
}

// FleetSecond is what became of one second's requests and tries.
type FleetSecond struct {
	Asked, InTime, Served, First, Tries, Refused, Ended, HeldBack int
	Worth                                                         float64
}

// PerFirst is tries a first try.
func (s *FleetSecond) PerFirst() float64 { return float64(s.Tries) / float64(max(s.First, 1)) }

const fleetStep = 5 * time.Millisecond

// ask is a desktop's request on its way.
type ask struct {
	Arrival
	began      time.Duration
	dispatcher int
	tries      int
	tried      []int // nodes of this walk
	again      int   // desktop's tries so far
	id         rules.RequestID
	later      time.Duration
}

type fleetPlay struct {
	opt    FleetOptions
	rnd    *rand.Rand
	now    time.Duration
	nodes  []*play
	open   []map[rules.RequestID]*ask
	down   []Trouble
	gone   [][]rules.RequestID // given up while a node hung
	away   [][]time.Duration   // by dispatcher and node
	heeds  []bool
	due    map[int64][]func() // by step
	nextID rules.RequestID
	out    []FleetSecond
}

// PlayFleet plays a fleet and returns its seconds; the same options give the same.
func PlayFleet(opt FleetOptions) ([]FleetSecond, error) {
	f := &fleetPlay{opt: opt, rnd: rand.New(rand.NewPCG(opt.Seed, 9)), due: map[int64][]func(){}}
	f.nodes, f.open, f.down = make([]*play, opt.Nodes), make([]map[rules.RequestID]*ask, opt.Nodes), make([]Trouble, opt.Nodes)
	f.gone = make([][]rules.RequestID, opt.Nodes)
	for n := range f.nodes {
		if err := f.start(n, false); err != nil {
			return nil, err
		}
	}
	for d := range opt.Dispatchers {
		f.away = append(f.away, make([]time.Duration, opt.Nodes))
		f.heeds = append(f.heeds, float64(d)+0.5 < opt.Heed*float64(opt.Dispatchers))
	}
	f.out = make([]FleetSecond, int(opt.Length/time.Second)+1)
	capacity := float64(opt.Nodes*opt.Settings.Cores) / opt.Mean.Seconds()
	next := 0.0
	for ; f.now < opt.Length; f.now += fleetStep {
		if err := f.troubles(); err != nil {
			return nil, err
		}
		step := int64(f.now / fleetStep)
		for _, do := range f.due[step] {
			do()
		}
		delete(f.due, step)
		for next += opt.Load(f.now) * capacity * fleetStep.Seconds(); next > 0; next -= f.rnd.ExpFloat64() {
			f.begin()
		}
		for n, p := range f.nodes {
			if f.down[n] == Well {
				f.turn(n, p)
			}
		}
	}
	for n, p := range f.nodes {
		if len(p.res.Broken) > 0 {
			return f.out, fmt.Errorf("node %d: %s", n, p.res.Broken[0])
		}
	}
	return f.out, nil
}

// start makes a node anew.
func (f *fleetPlay) start(n int, cold bool) error {
	opt := Options{Settings: f.opt.Settings, Crowd: f.opt.Crowd}
	opt.Settings.ColdStart = cold
	opt.Settings.AnswerSlack = time.Hour // who hangs answers late, and that is no broken rule
	p := &play{opt: opt, now: f.now, all: map[rules.RequestID]*request{}, res: &Result{}}
	p.opt.Told = func(id rules.RequestID, how string, after time.Duration, last bool) { f.told(n, id, how, after, last) }
	m, err := rules.New(f.now, opt.Settings, 1, host{p})
	if err != nil {
		return err
	}
	p.m = m
	f.nodes[n], f.open[n] = p, map[rules.RequestID]*ask{}
	return nil
}

// troubles changes what is wrong with the nodes.
func (f *fleetPlay) troubles() error {
	if f.opt.Trouble == nil {
		return nil
	}
	for n := range f.nodes {
		t := f.opt.Trouble(f.now, n)
		if t == f.down[n] {
			continue
		}
		if t == Dead {
			for _, id := range slices.Sorted(maps.Keys(f.open[n])) { // their connections break
				f.walk(f.open[n][id])
			}
			f.open[n] = map[rules.RequestID]*ask{}
		} else if f.down[n] == Dead {
			if err := f.start(n, true); err != nil {
				return err
			}
		}
		f.down[n] = t
		if t == Well { // it reads what came meanwhile, cancels too
			for _, id := range f.gone[n] {
				f.leave(n, id)
			}
			f.gone[n] = nil
		}
	}
	return nil
}

// turn lets a node work for a step.
func (f *fleetPlay) turn(n int, p *play) {
	p.now = f.now
	if len(p.all) == 0 && (len(p.timers) == 0 || p.timers[0] > f.now) {
		return
	}
	speed := 1.0
	if f.opt.Speed != nil {
		speed = f.opt.Speed(f.now, n)
	}
	p.run(time.Duration(speed * float64(fleetStep)))
	for _, end := range p.ended {
		end()
	}
	p.ended = nil
	for len(p.timers) > 0 && p.timers[0] <= f.now {
		p.timers = p.timers[1:]
		p.m.TimerFired(f.now, 1, p.gauges())
	}
	p.m.FinishBatch(f.now)
	for id, r := range p.all {
		if r.answered && !r.running {
			delete(p.all, id)
		}
	}
	if f.opt.Line != nil {
		for _, line := range p.res.Log {
			f.opt.Line(f.now, n, line)
		}
	}
	p.res.Log, p.res.Seconds = nil, nil
}

// at does something after a time, a step later at the least.
func (f *fleetPlay) at(in time.Duration, do func()) {
	step := int64((f.now + max(in, fleetStep) + fleetStep - 1) / fleetStep)
	f.due[step] = append(f.due[step], do)
}

func (f *fleetPlay) second() *FleetSecond { return &f.out[int(f.now/time.Second)] }

// begin lets a desktop begin a request.
func (f *fleetPlay) begin() {
	class, x := 0, f.rnd.Float64()
	for class = range f.opt.Share {
		if x -= f.opt.Share[class]; x < 0 {
			break
		}
	}
	work := time.Duration(float64(f.opt.Mean) * (0.5 + f.rnd.ExpFloat64()/2))
	f.second().Asked++
	f.walk(&ask{Arrival: Arrival{At: f.now, Class: class, Work: work, Hint: work}, began: f.now, dispatcher: f.rnd.IntN(f.opt.Dispatchers)})
}

// walk tries the next node of the dispatcher's list.
func (f *fleetPlay) walk(a *ask) {
	deadline := f.opt.Settings.Classes[a.Class].Deadline
	if len(a.tried) > f.opt.Walk || f.now-a.began > deadline-20*time.Millisecond {
		f.gaveUp(a)
		return
	}
	away := f.away[a.dispatcher]
	for range 4 { // of a long list a few are looked at
		n := f.rnd.IntN(len(f.nodes))
		if away[n] > f.now || slices.Contains(a.tried, n) {
			continue
		}
		f.try(a, n)
		return
	}
	f.second().HeldBack++
	f.gaveUp(a)
}

// try sends a request to a node.
func (f *fleetPlay) try(a *ask, n int) {
	s := f.second()
	if a.tries == 0 {
		s.First++
	}
	s.Tries++
	f.nextID++
	a.tried = append(a.tried, n)
	a.id = f.nextID
	a.Retry = a.tries > 0
	a.tries++
	if f.down[n] == Dead {
		f.at(0, func() { f.walk(a) })
		return
	}
	id := a.id
	f.open[n][id] = a
	q := a.Arrival
	q.At = f.now
	left := min(f.opt.Try, f.opt.Settings.Classes[a.Class].Deadline-(f.now-a.began))
	p := f.nodes[n]
	if f.down[n] == Well {
		p.now = f.now
		p.arrive(q, id)
	}
	f.at(left, func() { // the dispatcher gives the try up
		if f.open[n][id] != a || a.id != id {
			return
		}
		delete(f.open[n], id)
		switch {
		case f.nodes[n] != p:
		case f.down[n] == Well:
			f.leave(n, id)
		default:
			f.gone[n] = append(f.gone[n], id)
		}
		f.away[a.dispatcher][n] = f.now + time.Second/2
		f.walk(a)
	})
}

// leave tells a node that nobody waits for a request any more.
func (f *fleetPlay) leave(n int, id rules.RequestID) {
	p := f.nodes[n]
	p.now = f.now
	if r := p.all[id]; r != nil {
		r.answered = true
		p.m.CallerGone(f.now, id)
	}
}

// told takes a node's answer.
func (f *fleetPlay) told(n int, id rules.RequestID, how string, after time.Duration, last bool) {
	a := f.open[n][id]
	if a == nil || a.id != id {
		return
	}
	delete(f.open[n], id)
	s := f.second()
	switch how {
	case "served":
		s.Served++
		c := f.opt.Settings.Classes[a.Class]
		if f.now-a.began <= c.LatencyTarget {
			s.InTime++
			s.Worth += c.Utility
		}
		return
	case "refused":
		s.Refused++
		a.later = after
		if f.heeds[a.dispatcher] {
			f.away[a.dispatcher][n] = max(f.away[a.dispatcher][n], f.now+after)
			if last {
				s.Ended++
				f.at(0, func() { f.gaveUp(a) })
				return
			}
		}
	}
	f.at(0, func() { f.walk(a) })
}

// gaveUp ends a walk: the desktop tries again while there is time.
func (f *fleetPlay) gaveUp(a *ask) {
	if a.again >= f.opt.Retries {
		return
	}
	wait := time.Duration(float64(f.opt.Backoff<<a.again) * (0.5 + f.rnd.Float64()))
	a.again++
	a.tried = a.tried[:0]
	f.at(max(wait, a.later), func() { f.walk(a) })
}
