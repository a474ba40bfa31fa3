// Package recovery decides how a node, and a fleet that lost most of its nodes, return
// to full service:
//
//   - Startup tracks the state of a node from its start to full service, and the share
//     of its usual load that it requests on the way.
//   - WarmStart and SnapshotWeight decide how far a snapshot of learned figures is trusted.
//   - StoreCheck decides whether the node's store is complete, and which requests are in
//     doubt because an earlier incarnation may have run them.
//   - IncarnationRegistry, EventDetector and FairScheduler serve the control service: what
//     nodes last reported of their stores, events in which many nodes were lost, and the
//     order in which reconnecting proxies get their configuration.
//
// The package does no I/O, reads no clock and writes no log; times are passed in. It never
// refuses a request: the requested share only matters where callers have a choice of nodes.
// Each type belongs to one goroutine at a time.
//
// Invariants of Startup, checked by TestStartupProperties: states follow each other in
// their order, and each ends even if the input that it waits for never comes; the requested
// share is within 0 and 1, and is 1 in full service; the durations of all states add up to
// the time since the start of the process.
package recovery

import (
	"fmt"
	"math"
	"strings"
	"time"

	"robinmast/rules"
)

// State is a step of a node between its start and full service.
type State uint8

// The states, in their order. docs/recovery.md says what is allowed in each and what ends it.
const (
	Recovering  State = iota // the node reads its store; it does not listen yet
	Listening                // it listens; the worker pool has not reported yet, so nothing runs
	Probing                  // it measures its speed by its first runs
	Warming                  // it is slower than its usual speed
	FullService              // at its usual speed
	numStates
)

var stateNames = [numStates]string{"recovering", "listening", "proving", "warming", "full"}

// String returns the published name of the state.
func (s State) String() string { return stateNames[s] }

// Parameters of Startup.
const (
	maxListening      = 20 * time.Second        // without a worker pool; then Probing, which also ends by time
	probeRunsPerCore  = 3                       // runs per core after which the speed counts as measured
	maxProbing        = 2 * time.Second         // with fewer runs: without requests there is nothing to measure
	minRequestedShare = 0.25                    // of the usual share, requested while the speed is unknown or low
	warmSpeed         = 0.92                    // share of the usual speed that counts as warm
	warmDuration      = 300 * time.Millisecond  // for which the node must stay warm
	warmUpSlack       = time.Second             // beyond the warm-up time of the settings
	maxWarming        = 30 * time.Second        // whatever speed is measured
	speedSmoothing    = 0.15                    // weight of a run in the smoothed speed
	minSpeed          = 0.05                    // share of the usual speed; lower values are raised to it
	minUsualRuns      = 3                       // runs of a class before its usual run time is trusted
	scarceCapacity    = 0.6                     // of the fleet's usual capacity; below it nodes request their full share
	capacityTTL       = 2500 * time.Millisecond // lifetime of a reported fleet capacity
	maxShareStep      = 0.2                     // largest increase of the requested share per step: callers follow it at once
	idleTime          = time.Second             // without an arrival after which the speed is that of the warm-up ramp
)

// StartupSettings are the settings of a Startup.
type StartupSettings struct {
	Cores      int
	ColdSpeed  float64       // least share of the usual speed that a cold worker pool starts at
	WarmUpTime time.Duration // after which a cold worker pool is warm
	UsualRuns  []float64     // usual run time by class in seconds, from a snapshot; 0 = unknown
}

// UsualRuns returns the usual run time by class of a snapshot, in seconds; 0 = too few runs were observed.
func UsualRuns(learned rules.Learned) []float64 {
	usual := make([]float64, len(learned.Classes))
	for i, class := range learned.Classes {
		if class.Samples >= minUsualRuns {
			usual[i] = class.BaselineLatency
		}
	}
	return usual
}

// Startup tracks one node from the start of its process to full service.
type Startup struct {
	settings     StartupSettings
	processStart time.Duration
	state        State
	stateSince   time.Duration
	durations    [numStates]time.Duration

	poolReported    bool
	cold            bool
	poolStart       time.Duration // when the worker pool started
	successfulRuns  int           // successful runs
	speed           float64       // smoothed share of the usual speed; 0 = unknown
	warmSince       time.Duration // since when the node has been warm, -1 = it is not
	lastArrival     time.Duration
	arrivals        int
	furtherTries    int     // arrivals marked as further tries
	fleetShort      bool    // the whole fleet is short of capacity
	fleetCapacity   float64 // reported share of the fleet's usual capacity; 0 = unknown
	fleetCapacityAt time.Duration
	requestedShare  float64 // of the full-service load, as of the last step
}

// NewStartup returns the Startup of a process that started at processStart and has read
// its store by now.
func NewStartup(processStart, now time.Duration, settings StartupSettings) *Startup {
	s := &Startup{
		settings: settings, processStart: processStart, stateSince: processStart, warmSince: -1, lastArrival: now,
	}
	s.settings.ColdSpeed = min(max(s.settings.ColdSpeed, minSpeed), 1)
	s.enterState(now, Listening)
	return s
}

// enterState ends the current state and begins the given one.
func (s *Startup) enterState(now time.Duration, state State) {
	s.durations[s.state] += max(now-s.stateSince, 0)
	s.state, s.stateSince = state, now
}

// WorkerPoolUp reports that the worker pool is up, since when, and whether it started cold.
func (s *Startup) WorkerPoolUp(now, since time.Duration, cold bool) {
	if s.poolReported {
		return
	}
	s.poolReported, s.cold, s.poolStart = true, cold, since
	if s.state == Listening {
		s.enterState(now, Probing)
	}
}

// Arrived reports the arrival of a request; furtherTry marks a further try.
func (s *Startup) Arrived(now time.Duration, furtherTry bool) {
	s.lastArrival = now
	if s.state == FullService {
		return
	}
	s.arrivals++
	if furtherTry {
		s.furtherTries++
	}
}

// FleetShortage reports whether the whole fleet is short of capacity: then every node
// requests its full share, so that the nodes that return last are not left idle.
func (s *Startup) FleetShortage(short bool) { s.fleetShort = short }

// FleetCapacity reports the share of the fleet's usual capacity that was there at the time
// since. While it is low, every node requests its full share.
func (s *Startup) FleetCapacity(since time.Duration, share float64) {
	if share > 0 && share <= 1 && since >= s.fleetCapacityAt { // false for NaN
		s.fleetCapacity, s.fleetCapacityAt = share, since
	}
}

// capacityScarce reports whether the fleet has too little capacity for its load.
func (s *Startup) capacityScarce(now time.Duration) bool {
	return s.fleetShort || s.fleetCapacity > 0 && s.fleetCapacity < scarceCapacity &&
		now-s.fleetCapacityAt < capacityTTL
}

// RunSucceeded reports a successful run: how long it took by UnsharedTime, and the caller's hint of
// how long its work takes on a warm core, 0 = no hint.
func (s *Startup) RunSucceeded(_ time.Duration, class int, took, hint time.Duration) {
	if s.state == FullService || took <= 0 {
		return
	}
	s.successfulRuns++
	usual := hint.Seconds()
	if usual <= 0 && class >= 0 && class < len(s.settings.UsualRuns) {
		usual = s.settings.UsualRuns[class]
	}
	if usual <= 0 {
		return
	}
	speed := min(usual/took.Seconds(), 1)
	if s.speed == 0 {
		s.speed = speed
		return
	}
	s.speed += speedSmoothing * (speed - s.speed)
}

// UnsharedTime estimates how long a run would have taken on a core of its own: the cores are shared evenly by the
// runs in progress, of which there were so many at its start and at its end, itself included.
func UnsharedTime(took time.Duration, cores, runsAtStart, runsAtEnd int) time.Duration {
	runsPerCore := float64(runsAtStart+runsAtEnd) / 2 / float64(max(cores, 1))
	return time.Duration(float64(took) / max(runsPerCore, 1))
}

// Speed returns the share of its usual speed that the node has reached: by the warm-up ramp
// of the settings, or by its runs if they are slower. Hints are rough and cores are shared,
// so runs never lower it below half of the ramp's value.
func (s *Startup) Speed(now time.Duration) float64 {
	ramp := 1.0
	if s.cold && s.settings.WarmUpTime > 0 {
		ramp = min(1, s.settings.ColdSpeed+
			(1-s.settings.ColdSpeed)*max(now-s.poolStart, 0).Seconds()/s.settings.WarmUpTime.Seconds())
	}
	if s.state == FullService {
		return 1
	}
	if s.speed == 0 || now-s.lastArrival > idleTime {
		return ramp
	}
	return min(ramp, max(s.speed, ramp/2, minSpeed))
}

// Step moves to the next state if the current one is over. It returns the share of its
// full-service load that the node requests, and a log line when the node reaches full service,
// else "".
func (s *Startup) Step(now time.Duration) (share float64, line string) {
	switch {
	case s.state == Listening && now-s.stateSince >= maxListening:
		s.enterState(now, Probing)
	case s.state == Probing && (s.successfulRuns >= probeRunsPerCore*max(s.settings.Cores, 1) ||
		now-s.stateSince >= maxProbing):
		s.enterState(now, Warming)
	case s.state == Warming:
		if s.Speed(now) < warmSpeed {
			s.warmSince = -1
		} else if s.warmSince < 0 {
			s.warmSince = now
		}
		maxTime := min(s.settings.WarmUpTime+warmUpSlack, maxWarming)
		if s.warmSince >= 0 && now-s.warmSince >= warmDuration || now-s.stateSince >= maxTime {
			s.enterState(now, FullService)
			line = s.summary(now)
		}
	}
	target := 1.0
	switch s.state {
	case Listening:
		target = 0
	case Probing:
		target = max(min(s.Speed(now), s.settings.ColdSpeed), minRequestedShare)
	case Warming:
		target = max(s.Speed(now), minRequestedShare)
	}
	if s.capacityScarce(now) && s.state > Listening {
		target = 1
	}
	if s.state == FullService || target < s.requestedShare {
		s.requestedShare = target
	} else {
		s.requestedShare = min(s.requestedShare+maxShareStep, target)
	}
	return s.requestedShare, line
}

// summary describes the startup for the log.
func (s *Startup) summary(now time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "back in full service after %v:", (now - s.processStart).Round(time.Millisecond))
	for state := Recovering; state < FullService; state++ {
		fmt.Fprintf(&b, " %s %v,", state, s.durations[state].Round(time.Millisecond))
	}
	fmt.Fprintf(&b, " %d runs, %.2f tries per first try", s.successfulRuns, s.TriesPerRequest())
	return b.String()
}

// TriesPerRequest returns the number of tries per first try until full service.
func (s *Startup) TriesPerRequest() float64 {
	if s.arrivals == s.furtherTries {
		return 1
	}
	return math.Round(100*float64(s.arrivals)/float64(s.arrivals-s.furtherTries)) / 100
}

// State returns the state and when it began.
func (s *Startup) State() (State, time.Duration) { return s.state, s.stateSince }

// Durations returns how long each state has lasted.
func (s *Startup) Durations(now time.Duration) (durations [numStates]time.Duration) {
	durations = s.durations
	durations[s.state] += max(now-s.stateSince, 0)
	return durations
}
