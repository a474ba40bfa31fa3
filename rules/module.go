package rules

import (
	"errors"
	"math"
	"slices"
	"time"
)

const (
	beat         = 25 * time.Millisecond // the one timer: finer than any aim, 40 wake-ups a second
	usualAim     = 2 * time.Second       // shorter aims shrink these, stallMin and minAdvice
	pauseOver    = 60 * time.Millisecond // a beat this late means that the process stood still
	memoryMargin = 0.88                  // of the memory: room for what is read meanwhile
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
