// Package comeback decides how a node and a fleet come back after most of it is
// gone: in which state a node is from its start to full service and how much it asks
// for there (this file), how far a snapshot of what was learned is believed
// (prior.go), what of its stored state is in doubt (doubt.go), and what an event
// looked like for the fleet (events.go). It must never do I/O, read a clock or log,
// and never refuse what the node has room to finish: what it asks for only weighs
// where callers have a choice.
//
// Invariants, held by TestLifeProperties: states follow each other in their order and
// none lasts for ever, whatever is missing; what is asked for lies within 0 and 1,
// and is 1 in full service; the times of all states add up to the time to full service.
package recovery

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// State is where a node stands between its start and full service.
type State uint8

// The states, in their order. What is allowed in each, and what ends it, stands in
// docs/comeback.md.
const (
	Recovering State = iota // its store is read; it does not listen
	Listening               // it listens, and its worker pool has not been heard: nothing runs
	Probing                 // its first runs show how fast it is
	Warming                 // it is slower than it will be
	FullService
	states
)

var stateNames = [states]string{"recovering", "listening", "proving", "warming", "full"}

func (s State) String() string { return stateNames[s] }

// Tuned values of a life.
const (
	listenMost  = 20 * time.Second       // without a worker pool; then the wait for it is Proving's, which ends too
	proveRuns   = 3                      // runs a core that show its speed
	proveMost   = 2 * time.Second        // without so many: nothing comes, so nothing is to be proved
	proveAsks   = 0.25                   // of its share that a node of unknown speed asks for at the least
	warmEnough  = 0.92                   // of its usual speed that counts as warm
	warmFor     = 300 * time.Millisecond // for so long
	warmSlack   = time.Second            // beyond the ramp that the settings name
	warmMost    = 30 * time.Second       // whatever is measured
	speedAlpha  = 0.15                   // weight of a run in the speed
	speedLeast  = 0.05                   // of its usual speed: a slower one still has to prove itself
	usualLeast  = 3                      // runs of a class before its usual run is believed
	roomScarce  = 0.6                    // of the fleet's usual room, under which all ask for all
	roomLife    = 2500 * time.Millisecond
	askStep     = 0.2 // that what is asked for moves by in a step at most: callers swing
	restSeconds = 1   // without an arrival after which a warming node's speed is the ramp's
)

// LifeSettings are what a life depends on.
type StartupSettings struct {
	Cores      int
	ColdSpeed  float64       // least share of its speed that a cold pool starts at
	WarmUpTime time.Duration // after which it is warm
	UsualRuns  []float64     // seconds of a usual run by class, of an earlier life; 0 = not known
}

// Life is one node's way from its start to full service. It belongs to one goroutine.
type Startup struct {
	set   StartupSettings
	began time.Duration
	state State
	since time.Duration
	took  [states]time.Duration

	bound   bool
	cold    bool
	poolUp  time.Duration // when the worker pool came up
	ended   int           // runs
	speed   float64       // of its usual, smoothed; 0 = nothing is known
	warmAt  time.Duration // since when it has been warm enough, -1 = it is not
	heard   time.Duration // the last arrival
	arrived int
	again   int // of them, marked as further tries
	short   bool
	room    float64 // of the fleet's usual, as told
	roomAt  time.Duration
	ask     float64
}

// NewLife returns the life of a process that began at that time and has now read its
// store.
func NewStartup(began, now time.Duration, set StartupSettings) *Startup {
	l := &Startup{set: set, began: began, since: began, warmAt: -1, heard: now}
	l.set.ColdSpeed = min(max(l.set.ColdSpeed, speedLeast), 1)
	l.turn(now, Listening)
	return l
}

// turn begins a state.
func (l *Startup) turn(now time.Duration, s State) {
	l.took[l.state] += max(now-l.since, 0)
	l.state, l.since = s, now
}

// Bound takes the word that the worker pool is up, since when, and whether it began cold.
func (l *Startup) WorkerPoolUp(now, since time.Duration, cold bool) {
	if l.bound {
		return
	}
	l.bound, l.cold, l.poolUp = true, cold, since
	if l.state == Listening {
		l.turn(now, Probing)
	}
}

// Arrived takes a request; again marks a further try.
func (l *Startup) Arrived(now time.Duration, again bool) {
	l.heard = now
	if l.state == FullService {
		return
	}
	l.arrived++
	if again {
		l.again++
	}
}

// Short takes whether all of the fleet is short: then everybody asks for all it can
// do, and the last ones back are not left idle.
func (l *Startup) FleetShortage(short bool) { l.short = short }

// Room takes the share of the fleet's usual room that is there, as of the time given:
// while little of it is, everybody asks for all it can do.
func (l *Startup) FleetCapacity(since time.Duration, share float64) {
	if share > 0 && share <= 1 && since >= l.roomAt { // what is no number is no word
		l.room, l.roomAt = share, since
	}
}

// scarce reports whether the fleet has little room, or none at all, for its load.
func (l *Startup) scarce(now time.Duration) bool {
	return l.short || l.room > 0 && l.room < roomScarce && now-l.roomAt < roomLife
}

// Ran takes the end of a run that went well: how long it took, and what a usual run
// of its work takes on a warm core by its caller's hint, 0 = not told.
func (l *Startup) RunSucceeded(_ time.Duration, class int, took, hint time.Duration) {
	if l.state == FullService || took <= 0 {
		return
	}
	l.ended++
	usual := hint.Seconds()
	if usual <= 0 && class >= 0 && class < len(l.set.UsualRuns) {
		usual = l.set.UsualRuns[class]
	}
	if usual <= 0 {
		return
	}
	x := min(usual/took.Seconds(), 1)
	if l.speed == 0 {
		l.speed = x
		return
	}
	l.speed += speedAlpha * (x - l.speed)
}

// Warm is the share of its usual speed that the node has reached: by the ramp of the
// settings, and by its runs where they say less. Hints are rough and cores are
// shared, so that runs never make it less than half of what the ramp says.
func (l *Startup) Speed(now time.Duration) float64 {
	ramp := 1.0
	if l.cold && l.set.WarmUpTime > 0 {
		ramp = min(1, l.set.ColdSpeed+(1-l.set.ColdSpeed)*max(now-l.poolUp, 0).Seconds()/l.set.WarmUpTime.Seconds())
	}
	if l.state == FullService {
		return 1
	}
	if l.speed == 0 || now-l.heard > restSeconds*time.Second {
		return ramp
	}
	return min(ramp, max(l.speed, ramp/2, speedLeast))
}

// Step moves the life on. It returns what the node asks for, as a share of what it
// would in full service, and a line once it is there.
func (l *Startup) Step(now time.Duration) (ask float64, line string) {
	switch {
	case l.state == Listening && now-l.since >= listenMost:
		l.turn(now, Probing)
	case l.state == Probing && (l.ended >= proveRuns*max(l.set.Cores, 1) || now-l.since >= proveMost):
		l.turn(now, Warming)
	case l.state == Warming:
		if l.Speed(now) < warmEnough {
			l.warmAt = -1
		} else if l.warmAt < 0 {
			l.warmAt = now
		}
		most := min(l.set.WarmUpTime+warmSlack, warmMost)
		if l.warmAt >= 0 && now-l.warmAt >= warmFor || now-l.since >= most {
			l.turn(now, FullService)
			line = l.line(now)
		}
	}
	want := 1.0
	switch l.state {
	case Listening:
		want = 0
	case Probing:
		want = max(min(l.Speed(now), l.set.ColdSpeed), proveAsks)
	case Warming:
		want = max(l.Speed(now), proveAsks)
	}
	if l.scarce(now) && l.state > Listening {
		want = 1
	}
	if l.state == FullService || want < l.ask {
		l.ask = want
	} else {
		l.ask = min(l.ask+askStep, want)
	}
	return l.ask, line
}

// line says how the way was.
func (l *Startup) line(now time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "back in full service after %v:", (now - l.began).Round(time.Millisecond))
	for s := Recovering; s < FullService; s++ {
		fmt.Fprintf(&b, " %s %v,", s, l.took[s].Round(time.Millisecond))
	}
	fmt.Fprintf(&b, " %d runs, tries a first try %.2f", l.ended, l.TriesPerRequest())
	return b.String()
}

// Tries is how many tries came for each first one on the way.
func (l *Startup) TriesPerRequest() float64 {
	if l.arrived == l.again {
		return 1
	}
	return math.Round(100*float64(l.arrived)/float64(l.arrived-l.again)) / 100
}

// State tells the state, and since when it lasts.
func (l *Startup) State() (State, time.Duration) { return l.state, l.since }

// Took tells how long each state has lasted.
func (l *Startup) Durations(now time.Duration) (all [states]time.Duration) {
	all = l.took
	all[l.state] += max(now-l.since, 0)
	return all
}
