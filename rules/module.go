package rules

import (
	"errors"
	"math"
	"slices"
	"time"
)

// Tuned values. Shares are of 1; every time is a real duration.
const (
	beat          = 25 * time.Millisecond  // the one timer: finer than any aim, 40 wake-ups a second
	stepEvery     = 100 * time.Millisecond // the limit's steps: several completions apart
	sayEvery      = 200 * time.Millisecond // free value and pressure: a fifth of its usual life
	usualAim      = 2 * time.Second        // shorter aims shrink these, stallMin and minAdvice
	pauseOver     = 60 * time.Millisecond  // a beat this late means that the process stood still
	waitShare     = 0.30                   // max wait over the shortest aim: leaves most of it to run
	ageShare      = 0.12                   // age limit as a share of the class deadline
	unsureAge     = 0.05                   // the same where nothing tells how long its client has waited
	minRunShare   = 1.4                    // usual runs that must fit before the aim, or a start is waste
	idleRunShare  = 0.7                    // the same while cores idle, at base speed: trying costs little
	worthFrom     = 0.2                    // pressure from which slots go by worth instead of age
	limitGrow     = 1.03                   // growth a step while cores idle with work held
	limitGrowFar  = 1.25                   // the same while half the cores want no run: a start is far below
	limitAdd      = 0.08                   // least growth a step: a small limit gets on too
	limitShrink   = 0.95                   // shrink a step while runs take too long
	slowRatio     = 1.3                    // run latency over base that counts as crowded
	idleWanted    = 2.0                    // what wants a core, for each, from which that share is not believed
	idleBelow     = 0.95                   // share of busy cores under which they count as idle
	crowdMargin   = 0.85                   // of the crowd known to be survived: room for returns from calls
	memoryMargin  = 0.88                   // of the memory: room for what is read meanwhile
	keyMemory     = 0.45                   // of the memory that kept keys may take
	callMargin    = 0.85                   // of this node's share of calls below
	callPart      = 0.6                    // of the time left before the aim that one call may take
	callBooked    = 0.5                    // of its share over a window that one call may book by its time-out
	callFirst     = 0.3                    // of the share is the first call limit: it is slow well below it
	callFloor     = 0.05                   // of the share is the least call limit: it probes
	callSlow      = 2.0                    // call latency over base that counts as crowded
	callShrink    = 0.9                    // shrink of the call limit a step while crowded
	callDrift     = 1.001                  // the call base creeps up a step: faster, it would hide crowding
	callAlpha     = 0.1                    // weight of a call in the call latency: fewer calls than runs
	waitRunShare  = 0.8                    // usual runs that must be left to go on waiting for a call
	callTries     = 2                      // calls made for one need before going on without
	rateAlpha     = 0.06                   // weight of a step in the drain rate: about 1.5 s of memory
	runAlpha      = 0.08                   // weight of a run in its class latency: about a dozen runs
	learnRuns     = 5                      // runs of a class before its mean is believed: a small node sees few
	baseDrift     = 1.002                  // the base creeps up so that one lucky run is forgotten
	stallGaps     = 10.0                   // usual gaps without progress that count as a stall
	stallMin      = 800 * time.Millisecond // and at least this long
	tenantAlpha   = 0.01                   // weight of a request in its tenant's part of arrivals
	tenantOver    = 1.2                    // times its share that may come here: chance moves a hundred so far
	quotaSpan     = 5 * time.Second        // of a quota is saved at most: one node sees uneven traffic
	quotaSaved    = 12.0                   // requests are, where that is less: chance alone moves so few
	pressureUp    = 0.25                   // pressure gained per say for a full share of refusals
	pressureDown  = 0.02                   // pressure lost per say without refusals
	pressureIdle  = 0.6                    // of the pressure stays a say while slots are free
	refusedOK     = 0.03                   // share of refusals that is no pressure
	adviceShare   = 0.3                    // of the time in which the line drains that advice names
	adviceGrow    = 8.0                    // times that share more at full pressure: overload outlasts a line
	minAdvice     = 50 * time.Millisecond  // shortest retry-after: about a beat and a round trip
	lastRetry     = 0.3                    // pressure from which an overflowing retry is to try no other node
	lastAll       = 0.6                    // and any overflowing request: a walk in a large fleet is ten reads
	againFew      = 0.1                    // share of marked retries under which the others have room
	againAlpha    = 0.02                   // weight of a request in that share: fifty requests
	callBuckets   = 25                     // steps of the sliding mean of calls
	staleAge      = 0.5                    // of the aim gone before reading makes a request stale
	staleAlpha    = 0.3                    // weight of a request in the stale share: a slow small node reads few
	staleOver     = 0.7                    // stale share from which callers are sent elsewhere
	staleFade     = 0.97                   // of the stale share stays a say without reads: then tried again
	creditPart    = 0.6                    // of an even split is a caller's credit at full pressure
	leaveShare    = 0.9                    // of the drain's grace passes before callers are sent elsewhere
	weightPart    = 0.8                    // of the pressure that the weight passes on
	idleWorth     = 6 * time.Second        // open and idle this long, a connection costs as much as a new one
	idleShortest  = 250 * time.Millisecond // shortest idle limit considered: longer than a round trip
	idleSteps     = 8                      // idle limits considered, each twice the one before: up to 32 s
	idleSlack     = 0.1                    // cost over the least that a longer idle limit may have
	swampAlpha    = 0.005                  // weight of a beat in the swamp: 5 s, short ones pass by themselves
	swampOver     = 3.0                    // reads and new connections a core that count as a swamp
	doorHold      = 60 * time.Second       // from a swamp on tables may fill for so long: then tried again
	retryWorth    = 0.4                    // worth of a marked retry over a first try: it may be late
	mostCallers   = 4096                   // callers remembered: a fleet has a tenth of it
	idleAlpha     = 0.02                   // weight of a request in what an idle limit costs: fifty requests
	firstRunGuess = 300 * time.Millisecond // a run's length until the first one ended
)

// Module decides for one node.
type Module struct {
	set  Settings
	host Host
	now  time.Duration

	born     time.Duration
	all      []*request // in order of reading
	byID     map[RequestID]*request
	line     []*request // held, oldest first
	memory   float64    // kilobytes that requests need
	onCores  int        // state running
	inCalls  int        // states atCall and calling
	callsOut int        // state calling
	runs     []pace     // run latency per class
	hints    []float64  // smoothed hint of those runs per class, seconds
	hintVar  float64    // smoothed square of hints off their class mean
	hintCov  float64    // and of that times run latency off its class mean

	limit     float64 // running limit
	quick     float64 // how far the shortest aim shrinks the times of learning, 1 = not at all
	maxWait   time.Duration
	waits     bool          // every slot is taken and requests are held
	seen      time.Duration // until when the next four count
	stood     float64       // seconds since the last step in which waits was true
	drained   float64       // successes in them
	rateTime  float64       // the two over the steps before, faded: their quotient is the drain rate
	rateCount float64
	progress  time.Duration // last sign that work moves
	stalled   bool

	cpuBusy, runnable float64 // gauges, -1 = not told

	quota []allowance // per tenant

	entries map[RequestID]*entry
	freed   int // of them that hold no memory any more

	callBudget float64              // seconds of calls a window, of this node's share
	callLimit  float64              // calls this node may have out
	called     pace                 // call latency
	callsShort bool                 // a call had to wait or was left out since the last step
	callTime   [callBuckets]float64 // seconds of calls held, per bucket
	callBucket uint64               // unsigned: the clock may be below zero, an index may not
	callSeen   time.Duration

	wakeAt, stepped, saidAt time.Duration
	read, overflow          int // since the last say
	pressure, said          float64
	again                   float64 // share of marked retries in what is read
	healthy                 bool
	stale                   float64 // share of requests that were old when read

	swamp    float64                  // what wants a core besides runs, for each core, smoothed
	door     time.Duration            // until then tables may fill
	lastFrom map[uint32]time.Duration // when each caller was last heard
	idleCost [idleSteps]float64       // what each idle limit costs a request, in new connections
	idleSaid time.Duration

	draining       bool
	notice, stopAt time.Duration

	pools   Pools // nil = one line for all
	waiting []QueuedRequest
	kept    bool // pools keep the free slots for others

	together Shedder // nil = this node alone counts
}

// New starts a node's decisions. The seed is not used: nothing here is random.
func New(now time.Duration, set Settings, _ uint64, host Host) (*Module, error) {
	if set.Cores < 1 || len(set.Classes) == 0 || set.MemoryKB <= 0 {
		return nil, errors.New("settings: a node needs cores, request classes and memory")
	}
	set.Classes = slices.Clone(set.Classes)
	shortest := time.Duration(math.MaxInt64)
	for i, c := range set.Classes {
		if c.Deadline <= 0 {
			return nil, errors.New("settings: a class without a deadline")
		}
		if c.LatencyTarget <= 0 {
			set.Classes[i].LatencyTarget = c.Deadline
		}
		shortest = min(shortest, set.Classes[i].LatencyTarget)
	}
	m := &Module{
		set: set, host: host, now: now, born: now, limit: float64(set.Cores), progress: now,
		callLimit: callFirst * set.CallShare, callBudget: callMargin * set.CallShare * set.CallWindow.Seconds(),
		maxWait: time.Duration(waitShare * float64(shortest)),
		byID:    map[RequestID]*request{}, entries: map[RequestID]*entry{},
		runs: make([]pace, len(set.Classes)), hints: make([]float64, len(set.Classes)),
		quota: make([]allowance, len(set.Tenants)), cpuBusy: -1, runnable: -1,
		lastFrom: map[uint32]time.Duration{},
		callSeen: now, stepped: now, saidAt: now, said: -1, healthy: true,
		stopAt: math.MaxInt64, quick: min(float64(shortest)/float64(usualAim), 1),
		idleSaid: set.MaxIdleTimeout, door: now, // a clock below zero is no swamp
	}
	if set.NewPools != nil {
		m.pools = set.NewPools()
	}
	if set.NewShedder != nil {
		m.together = set.NewShedder(now)
	}
	host.SetHealth(true, true)
	m.wake()
	return m, nil
}

// Arrive takes a request that was read.
func (m *Module) Arrive(now time.Duration, q Request) {
	m.now = now
	m.read++
	m.again -= againAlpha * m.again
	if q.Retry {
		m.again += againAlpha
	}
	r := &request{Request: q, arrived: now - q.Age}
	m.byID[q.ID] = r
	m.all = append(m.all, r)
	m.memory += q.MemoryKB
	m.hear(q.Caller)
	if q.Class >= len(m.set.Classes) { // an unknown class: nothing is known of its rules
		m.drop(r)
		m.host.Fail(r.ID)
		return
	}
	if m.pools != nil {
		m.pools.Arrived(now, q.Class, q.WorkHint)
	}
	m.stale -= staleAlpha * m.stale
	if float64(q.Age) > staleAge*float64(m.class(r).LatencyTarget) {
		m.stale += staleAlpha
	}
	m.setTimes(r)
	r.overdue = m.overShare(r)
	if m.together != nil {
		m.together.Arrived(now, m.value(r), m.price(r), r.Retry)
	}
	late := m.draining && r.arrived > m.notice+m.set.DrainGrace-m.margin() // it must not run any more
	// What is beyond a quota would keep a core from what comes next and is within.
	beyond := r.overdue && r.RepeatOf == 0 && m.pressure > worthFrom && m.onCores >= m.set.Cores
	if beyond && !late {
		m.overflow++
		m.turnAway(r, m.together == nil || m.endsWalk(r, true))
		return
	}
	if late || m.memory+m.keyMemory() > memoryMargin*m.set.MemoryKB {
		m.turnAway(r, false)
		return
	}
	if m.remember(r) {
		if m.line = append(m.line, r); m.inVain(r) {
			m.overflow++
			m.turnAway(r, m.endsWalk(r, false))
		}
	}
}

// Woke is the one timer. It brings the gauges.
func (m *Module) TimerFired(now time.Duration, _ uint64, gauges []float64) {
	m.now = now
	for i, v := range gauges[:min(len(gauges), len(m.set.Gauges))] {
		switch m.set.Gauges[i] {
		case "cpu_busy":
			m.cpuBusy = v
		case "runnable":
			m.runnable = v
		}
	}
	if late := now - m.wakeAt; late > pauseOver { // the process stood still: nobody's fault here
		m.progress += late
		for _, r := range m.line {
			r.old += late
		}
	}
	m.swamp += swampAlpha * (max(m.runnable-float64(m.onCores), 0)/float64(m.set.Cores) - m.swamp)
	m.pass()
	m.watch()
	if dt := now - m.stepped; dt > m.span(stepEvery)-beat/2 { // at the nearest beat
		m.step(dt)
		m.stepped = now
	}
	if now-m.saidAt > m.span(sayEvery)-beat/2 {
		m.say()
		m.saidAt = now
	}
	m.wake()
}

// span is a time of learning, shorter where all work and aims are.
func (m *Module) span(t time.Duration) time.Duration { return time.Duration(m.quick * float64(t)) }

func (m *Module) wake() {
	m.wakeAt = m.now + beat
	m.host.StartTimer(1, beat)
}

// Settle decides after the events of a batch.
func (m *Module) FinishBatch(now time.Duration) {
	m.now = now
	m.countCalls()
	m.pass()
	m.expire()
	m.decideCalls()
	m.start()
	m.shed()
	m.waits = len(m.line) > 0 && (m.onCores >= m.slots() || m.kept) && !m.stalled
	m.all = slices.DeleteFunc(m.all, func(r *request) bool { return r.over })
}

func (m *Module) class(r *request) *Class { return &m.set.Classes[r.Class] }
