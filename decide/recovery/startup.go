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
	numStates
)

var stateNames = [numStates]string{"recovering", "listening", "proving", "warming", "full"}

func (s State) String() string { return stateNames[s] }

// Tuned values of a life.
const (
	maxListening      = 20 * time.Second       // without a worker pool; then the wait for it is Proving's, which ends too
	probeRunsPerCore  = 3                      // runs a core that show its speed
	maxProbing        = 2 * time.Second        // without so many: nothing comes, so nothing is to be proved
	minRequestedShare = 0.25                   // of its share that a node of unknown speed asks for at the least
	warmSpeed         = 0.92                   // of its usual speed that counts as warm
	warmDuration      = 300 * time.Millisecond // for so long
	warmUpSlack       = time.Second            // beyond the ramp that the settings name
	maxWarming        = 30 * time.Second       // whatever is measured
	speedSmoothing    = 0.15                   // weight of a run in the speed
	minSpeed          = 0.05                   // of its usual speed: a slower one still has to prove itself
	minUsualRuns      = 3                      // runs of a class before its usual run is believed
	scarceCapacity    = 0.6                    // of the fleet's usual room, under which all ask for all
	capacityTTL       = 2500 * time.Millisecond
	maxShareStep      = 0.2 // that what is asked for moves by in a step at most: callers swing
	idleSeconds       = 1   // without an arrival after which a warming node's speed is the ramp's
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
	settings     StartupSettings
	processStart time.Duration
	state        State
	stateSince   time.Duration
	durations    [numStates]time.Duration

	poolReported    bool
	cold            bool
	poolStart       time.Duration // when the worker pool came up
	finishedRuns    int           // runs
	speed           float64       // of its usual, smoothed; 0 = nothing is known
	warmSince       time.Duration // since when it has been warm enough, -1 = it is not
	lastArrival     time.Duration // the last arrival
	arrivals        int
	furtherTries    int // of them, marked as further tries
	fleetShort      bool
	fleetCapacity   float64 // of the fleet's usual, as told
	fleetCapacityAt time.Duration
	requestedShare  float64
}

// NewLife returns the life of a process that began at that time and has now read its
// store.
func NewStartup(began, now time.Duration, set StartupSettings) *Startup {
	l := &Startup{settings: set, processStart: began, stateSince: began, warmSince: -1, lastArrival: now}
	l.settings.ColdSpeed = min(max(l.settings.ColdSpeed, minSpeed), 1)
	l.enterState(now, Listening)
	return l
}

// turn begins a state.
func (l *Startup) enterState(now time.Duration, s State) {
	l.durations[l.state] += max(now-l.stateSince, 0)
	l.state, l.stateSince = s, now
}

// Bound takes the word that the worker pool is up, since when, and whether it began cold.
func (l *Startup) WorkerPoolUp(now, since time.Duration, cold bool) {
	if l.poolReported {
		return
	}
	l.poolReported, l.cold, l.poolStart = true, cold, since
	if l.state == Listening {
		l.enterState(now, Probing)
	}
}

// Arrived takes a request; again marks a further try.
func (l *Startup) Arrived(now time.Duration, again bool) {
	l.lastArrival = now
	if l.state == FullService {
		return
	}
	l.arrivals++
	if again {
		l.furtherTries++
	}
}

// Short takes whether all of the fleet is short: then everybody asks for all it can
// do, and the last ones back are not left idle.
func (l *Startup) FleetShortage(short bool) { l.fleetShort = short }

// Room takes the share of the fleet's usual room that is there, as of the time given:
// while little of it is, everybody asks for all it can do.
func (l *Startup) FleetCapacity(since time.Duration, share float64) {
	if share > 0 && share <= 1 && since >= l.fleetCapacityAt { // what is no number is no word
		l.fleetCapacity, l.fleetCapacityAt = share, since
	}
}

// scarce reports whether the fleet has little room, or none at all, for its load.
func (l *Startup) capacityScarce(now time.Duration) bool {
	return l.fleetShort || l.fleetCapacity > 0 && l.fleetCapacity < scarceCapacity && now-l.fleetCapacityAt < capacityTTL
}

// Ran takes the end of a run that went well: how long it took, and what a usual run
// of its work takes on a warm core by its caller's hint, 0 = not told.
func (l *Startup) RunSucceeded(_ time.Duration, class int, took, hint time.Duration) {
	if l.state == FullService || took <= 0 {
		return
	}
	l.finishedRuns++
	usual := hint.Seconds()
	if usual <= 0 && class >= 0 && class < len(l.settings.UsualRuns) {
		usual = l.settings.UsualRuns[class]
	}
	if usual <= 0 {
		return
	}
	x := min(usual/took.Seconds(), 1)
	if l.speed == 0 {
		l.speed = x
		return
	}
	l.speed += speedSmoothing * (x - l.speed)
}

// Warm is the share of its usual speed that the node has reached: by the ramp of the
// settings, and by its runs where they say less. Hints are rough and cores are
// shared, so that runs never make it less than half of what the ramp says.
func (l *Startup) Speed(now time.Duration) float64 {
	ramp := 1.0
	if l.cold && l.settings.WarmUpTime > 0 {
		ramp = min(1, l.settings.ColdSpeed+(1-l.settings.ColdSpeed)*max(now-l.poolStart, 0).Seconds()/l.settings.WarmUpTime.Seconds())
	}
	if l.state == FullService {
		return 1
	}
	if l.speed == 0 || now-l.lastArrival > idleSeconds*time.Second {
		return ramp
	}
	return min(ramp, max(l.speed, ramp/2, minSpeed))
}

// Step moves the life on. It returns what the node asks for, as a share of what it
// would in full service, and a line once it is there.
func (l *Startup) Step(now time.Duration) (ask float64, line string) {
	switch {
	case l.state == Listening && now-l.stateSince >= maxListening:
		l.enterState(now, Probing)
	case l.state == Probing && (l.finishedRuns >= probeRunsPerCore*max(l.settings.Cores, 1) || now-l.stateSince >= maxProbing):
		l.enterState(now, Warming)
	case l.state == Warming:
		if l.Speed(now) < warmSpeed {
			l.warmSince = -1
		} else if l.warmSince < 0 {
			l.warmSince = now
		}
		most := min(l.settings.WarmUpTime+warmUpSlack, maxWarming)
		if l.warmSince >= 0 && now-l.warmSince >= warmDuration || now-l.stateSince >= most {
			l.enterState(now, FullService)
			line = l.summary(now)
		}
	}
	want := 1.0
	switch l.state {
	case Listening:
		want = 0
	case Probing:
		want = max(min(l.Speed(now), l.settings.ColdSpeed), minRequestedShare)
	case Warming:
		want = max(l.Speed(now), minRequestedShare)
	}
	if l.capacityScarce(now) && l.state > Listening {
		want = 1
	}
	if l.state == FullService || want < l.requestedShare {
		l.requestedShare = want
	} else {
		l.requestedShare = min(l.requestedShare+maxShareStep, want)
	}
	return l.requestedShare, line
}

// line says how the way was.
func (l *Startup) summary(now time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "back in full service after %v:", (now - l.processStart).Round(time.Millisecond))
	for s := Recovering; s < FullService; s++ {
		fmt.Fprintf(&b, " %s %v,", s, l.durations[s].Round(time.Millisecond))
	}
	fmt.Fprintf(&b, " %d runs, tries a first try %.2f", l.finishedRuns, l.TriesPerRequest())
	return b.String()
}

// Tries is how many tries came for each first one on the way.
func (l *Startup) TriesPerRequest() float64 {
	if l.arrivals == l.furtherTries {
		return 1
	}
	return math.Round(100*float64(l.arrivals)/float64(l.arrivals-l.furtherTries)) / 100
}

// State tells the state, and since when it lasts.
func (l *Startup) State() (State, time.Duration) { return l.state, l.stateSince }

// Took tells how long each state has lasted.
func (l *Startup) Durations(now time.Duration) (all [numStates]time.Duration) {
	all = l.durations
	all[l.state] += max(now-l.stateSince, 0)
	return all
}
