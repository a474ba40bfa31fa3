package rules

// All decisions of a node, in the order a request lives: arrive, hold, start, call, answer, drain.
// The interface is in api.go; docs/design.md tells what comes from the paper and when exceptions act.

import (
	"cmp"
	"errors"
	"maps"
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

type state uint8

const (
	held    state = iota // in the line, or paused and back in it
	running              // on a core or waiting for its disk
	atCall               // stands at a call and waits for our word
	calling              // its call is out
	reusing              // waits for the result of the request it repeats
)

type request struct {
	Request
	state    state
	ran      bool          // a run took effect
	answered bool          // its final answer is out; its run may go on
	halted   bool          // told to stop after its answer
	over     bool          // nothing is left of it
	overdue  bool          // beyond its tenant's quota
	arrived  time.Duration // at the machine
	aim      time.Duration // an answer later than this is worth little
	started  time.Duration // its last run
	due      time.Duration // its answer must be out before this
	old      time.Duration // held beyond this it has waited too long
	calls    int           // calls made for the present need
	lastCall Outcome
}

// pace is a smoothed latency, in seconds, and its base: the lowest it has been
// since enough samples came, creeping up; 0 = not yet.
type pace struct{ mean, base, n float64 }

func (p *pace) learn(took time.Duration, alpha float64) {
	p.n++
	p.mean += max(alpha, 1/p.n) * (took.Seconds() - p.mean)
	if p.n == learnRuns {
		p.base = p.mean
	}
	p.base = min(p.base, p.mean)
}

// slow is the latency over its base, 1 while there is none.
func (p *pace) slow() float64 {
	if p.base <= 0 {
		return 1
	}
	return p.mean / p.base
}

// entry is a kept key; it outlives its request.
type entry struct {
	expires    time.Duration
	ran, freed bool
}

// allowance is what is left of this node's part of a tenant's quota, in requests, and its part of arrivals.
type allowance struct {
	left, sent float64
	at         time.Duration
}

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

// ---- arrive ----

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

// hear learns from the time since a caller was last heard what each idle limit would cost: a
// connection held idle takes a part of the cores, and one closed too early is opened anew.
func (m *Module) hear(caller uint32) {
	last, known := m.lastFrom[caller]
	if !known {
		last = m.born
	}
	if known || len(m.lastFrom) < mostCallers { // a stranger may name any number
		m.lastFrom[caller] = m.now
	}
	for i := range m.idleCost {
		gap, limit := m.now-last, idleShortest<<i
		cost := min(gap, limit).Seconds() / idleWorth.Seconds()
		if gap > limit || !known {
			cost++
		}
		m.idleCost[i] += idleAlpha * (cost - m.idleCost[i])
	}
}

// closeIdle sets the longest idle limit that costs little more than the cheapest.
// In a swamp of handshakes it closes none: a full table refuses for nothing.
func (m *Module) closeIdle() {
	if m.swamp > swampOver {
		m.door = m.now + doorHold
	}
	limit, least := m.set.MaxIdleTimeout, slices.Min(m.idleCost[:])
	for i, cost := range m.idleCost {
		if cost < least+idleSlack || m.now < m.door {
			limit = min(idleShortest<<i, m.set.MaxIdleTimeout)
		}
	}
	if limit != m.idleSaid {
		m.idleSaid = limit
		m.host.SetIdleTimeout(limit)
	}
}

// setTimes works out when the answer is due and until when it is wanted. Where
// callers pass no patience, the class deadline counts from the machine.
func (m *Module) setTimes(r *request) {
	c := m.class(r)
	r.due = r.arrived + c.Deadline
	if m.set.TimeoutsPassed && r.CallerTimeout > 0 {
		r.due = m.now + r.CallerTimeout
	}
	r.due = min(r.due, m.stopAt)
	share := ageShare
	if !m.set.RetriesMarked && !m.set.TimeoutsPassed { // it may be its client's third try
		share = unsureAge
	}
	r.old = r.arrived + time.Duration(share*float64(c.Deadline))
	r.aim = r.arrived + c.LatencyTarget
	if c.LatencyTargetStretch > 0 {
		work := r.WorkHint
		if work <= 0 {
			work = m.usualRun(r)
		}
		r.aim = min(r.aim+time.Duration(c.LatencyTargetStretch*float64(work)), r.arrived+c.Deadline)
	}
}

// remember links a request to what it repeats. It reports whether the request
// joins the line; otherwise it was answered or waits for the other's result.
func (m *Module) remember(r *request) bool {
	c := m.class(r)
	shared := c.Effect == Safe && m.set.ReadFreshness > 0 && r.Key != 0 && !r.Write
	if c.Effect != Keyed && !shared {
		return true
	}
	if r.RepeatOf != 0 {
		e := m.entries[r.RepeatOf]
		if e == nil || e.ran || !e.freed { // unknown counts as run: never risk a second effect
			r.state = reusing
			m.host.JoinEarlier(r.ID)
			return false
		}
	}
	span := m.set.ReadFreshness
	if c.Effect == Keyed {
		span = c.IdempotencyWindow + 2*m.set.BatchInterval
		if m.keyMemory()+m.set.RecordKB > keyMemory*m.set.MemoryKB { // it must not run unremembered
			m.turnAway(r, false)
			return false
		}
	} else if m.keyMemory() > keyMemory*m.set.MemoryKB/2 {
		return true
	}
	m.entries[r.ID] = &entry{expires: m.now + span}
	m.host.KeepRecord(r.ID, span)
	return true
}

// Restored tells of an entry kept by an earlier life of the node. Its run may have happened.
func (m *Module) RestoreRecord(now time.Duration, id RequestID, span time.Duration) {
	m.now = now
	m.entries[id] = &entry{expires: now + span, ran: true}
}

func (m *Module) keyMemory() float64 { return float64(len(m.entries)-m.freed) * m.set.RecordKB }

// overShare reports whether a request's tenant sends more than this node's part of its quota, and more of
// what comes here than its share: a node that hot keys or few callers fill sees all of them beyond. What
// the quota yields with time goes to first tries as they come, whatever becomes of them: who sends far more
// would else have the next one in its place.
func (m *Module) overShare(r *request) bool {
	if r.Tenant < 0 || r.Tenant >= len(m.quota) {
		return false
	}
	total := 0.0
	for i := range m.quota {
		if q := &m.quota[i]; !r.Retry {
			q.sent -= tenantAlpha * q.sent
		}
		total += m.quota[i].sent
	}
	q, t := &m.quota[r.Tenant], m.set.Tenants[r.Tenant]
	rate := t.QuotaPerSecond / float64(max(m.set.Nodes, 1))
	q.left = min(q.left+rate*(m.now-q.at).Seconds(), max(rate*quotaSpan.Seconds(), quotaSaved))
	q.at = m.now
	if !r.Retry {
		q.sent += tenantAlpha
		total += tenantAlpha
	}
	if r.Retry || rate > 0 && q.left < 1 {
		return rate > 0 && q.left < 1 && q.sent > tenantOver*t.Share*total
	}
	q.left--
	return false
}

// ---- hold ----

// bound is the count the line may hold: the longest wait times the learned
// drain rate, and never under the running limit.
func (m *Module) bound() int {
	if m.stalled {
		return 0
	}
	return int(max(m.limit, m.maxWait.Seconds()*m.drainRate()))
}

// drainRate is how many held requests a second get a slot: what was learned while
// slots were short, and until they were for a step, what full slots would yield.
func (m *Module) drainRate() float64 {
	if _, usual := m.ratio(); m.rateTime < m.span(stepEvery).Seconds() && usual > 0 {
		return m.limit / usual
	}
	return m.rateCount / max(m.rateTime, stepEvery.Seconds())
}

// pass counts the time in which slots were short: a burst may be over within a step.
func (m *Module) pass() {
	if m.waits {
		m.stood += (m.now - m.seen).Seconds()
	}
	m.seen = m.now
}

// tooOld reports whether a held request may not wait longer: its age limit has passed and no core is
// free (it was read late, not held), or what is left before its aim is too short to run it.
func (m *Module) tooOld(r *request) bool {
	return m.now > r.old && m.onCores >= m.set.Cores || m.hopeless(r)
}

func (m *Module) hopeless(r *request) bool {
	if m.onCores < m.set.Cores && m.coresIdle(1) { // it would run faster than usual, and costs nobody
		return m.leaves(r) < idleRunShare/m.runs[r.Class].slow()
	}
	return m.leaves(r) < minRunShare
}

// leaves is how many usual runs fit before an answer is worth little.
func (m *Module) leaves(r *request) float64 {
	left := min(r.aim, r.due-m.margin()) - m.now
	if m.class(r).LateUtilityShare > 0 {
		left = r.due - m.margin() - m.now
	}
	return float64(left) / float64(max(m.usualRun(r), 1))
}

// forlorn reports whether no other node could serve it either: not even a run at base speed fits.
func (m *Module) forlorn(r *request) bool { return m.leaves(r) < minRunShare/m.runs[r.Class].slow() }

// usualRun is how long a request runs at present: its class's mean, moved by its
// own hint along a slope over all classes: one class may have a few odd runs.
func (m *Module) usualRun(r *request) time.Duration {
	l := m.runs[r.Class]
	if l.n == 0 {
		return min(firstRunGuess, m.class(r).Deadline/8)
	}
	t := l.mean
	if r.WorkHint > 0 && m.hintVar > 0 {
		t = max(t+max(m.hintCov/m.hintVar, 0)*(r.WorkHint.Seconds()-m.hints[r.Class]), t/10)
	}
	if l.n < learnRuns {
		t = min(t, m.class(r).Deadline.Seconds()/8)
	}
	return time.Duration(t * float64(time.Second))
}

// worth is what serving a request earns. A marked retry may be late: its client has waited before.
func (m *Module) worth(r *request) float64 {
	v := m.class(r).Utility
	if r.overdue {
		v *= m.set.OverQuotaUtility
	}
	if r.Retry && m.together != nil {
		v *= m.together.RetryUtility()
	} else if r.Retry {
		v *= retryWorth
	}
	return v
}

// price is what serving a request as a first try earns for each unit of its expected work.
func (m *Module) price(r *request) float64 {
	first := request{Request: r.Request, overdue: r.overdue}
	if first.Retry = false; m.set.UtilityPerWork {
		return m.worth(&first)
	}
	return m.worth(&first) / cmp.Or(r.WorkHint, m.usualRun(r)).Seconds()
}

// inVain: what earns more would fill the slots, or push r out of a full line, until r is too old to start.
func (m *Module) inVain(r *request) bool {
	return m.together != nil && m.waits && (m.pressure > worthFrom || 8*len(m.line) > 7*m.bound()) &&
		float64(len(m.line)) > m.limit && m.together.ExceedsQueueTimeout(m.seenByPools(), m.value(r), r.old-m.now)
}

// endsWalk reports whether a refused request is to try no other node; old: it was held too long here.
// Where walks are marked and few come here, the others have room and this node alone is short of it.
func (m *Module) endsWalk(r *request, old bool) bool {
	room := m.set.RetriesMarked && m.again < againFew
	alone := !room && (old || m.pressure > lastAll || m.pressure > lastRetry && (r.Retry || !m.set.RetriesMarked))
	return m.together == nil && alone || m.together != nil && m.together.StopsRetries(m.now, m.price(r))
}

// value is what serving a held request earns for each unit of work.
func (m *Module) value(r *request) float64 {
	if m.set.UtilityPerWork {
		return m.worth(r)
	}
	return m.worth(r) / max(m.usualRun(r).Seconds(), 0.001)
}

// shed cuts the line to its bound: who earns least leaves, of equals the newest.
func (m *Module) shed() {
	for bound := m.bound(); len(m.line) > bound; {
		worst := len(m.line) - 1
		for i := worst - 1; i >= 0 && m.pools == nil; i-- {
			if m.value(m.line[i]) < m.value(m.line[worst]) {
				worst = i
			}
		}
		if m.pools != nil {
			worst = m.pools.Evict(m.now, bound, m.seenByPools())
		}
		m.overflow++
		m.turnAway(m.line[worst], m.endsWalk(m.line[worst], false))
	}
}

// ---- start ----

// crowd is how many requests may be in hand, so that even if all come back from calls at once the
// cores stay under the crowd known to be survived. A cold node's speed counts at its slowest ramp.
func (m *Module) crowd() float64 {
	speed := 1.0
	if m.set.ColdStart && m.set.WarmUpTime > 0 {
		done := min(1, float64(m.now-m.born)/float64(m.set.WarmUpTime))
		speed = m.set.ColdSpeed + (1-m.set.ColdSpeed)*done
	}
	return max(1, crowdMargin*float64(m.set.Cores)*(1+(max(m.set.OverloadRunsPerCore, 1)-1)*speed))
}

// slots is how many requests may run: with pools, those that stand still in a class of which
// nothing ends do not count, within the crowd that is survived.
func (m *Module) slots() int {
	if m.pools != nil {
		return int(min(m.limit+float64(m.pools.StalledRuns()), m.crowd()))
	}
	return int(min(m.limit, m.crowd()))
}

// core notes n more requests of r's class on the cores.
func (m *Module) core(r *request, n int) {
	m.onCores += n
	if m.pools != nil {
		m.pools.RunningChanged(m.now, r.Class, n)
	}
}

// seenByPools is the line as pools see it, until the next call.
func (m *Module) seenByPools() []QueuedRequest {
	m.waiting = m.waiting[:0]
	for _, r := range m.line {
		m.waiting = append(m.waiting, QueuedRequest{Class: r.Class, Utility: m.value(r)})
	}
	return m.waiting
}

// Load tells how many runs are on the cores, the running limit and the pressure.
func (m *Module) Load() (running int, limit, pressure float64) {
	return m.onCores, min(m.limit, m.crowd()), m.pressure
}

// Inspect shows what NewPools and NewTogether made, and the line as pools see it, until the next event.
func (m *Module) Inspect() (Pools, []QueuedRequest, Shedder) {
	return m.pools, m.seenByPools(), m.together
}

// next is the place of the request that gets a free slot: the oldest, but while
// overflow lasts the one that earns most for its work, of equals the oldest.
// Pools, where set, say it instead; -1 is none.
func (m *Module) next(slots int) int {
	if m.pools != nil {
		return m.pools.Next(m.now, slots, m.onCores, m.seenByPools())
	}
	best := 0
	for i := range m.line {
		if m.pressure > worthFrom && m.value(m.line[i]) > m.value(m.line[best]) {
			best = i
		}
	}
	return best
}

// start gives free slots to held requests.
func (m *Module) start() {
	crowd := m.crowd()
	slots := m.slots()
	m.kept = false
	for len(m.line) > 0 && m.onCores < slots && m.onCores+m.inCalls < int(crowd) && !m.stalled {
		i := m.next(slots)
		if m.kept = i < 0; m.kept {
			return
		}
		r := m.line[i]
		if m.tooOld(r) {
			m.turnAway(r, m.forlorn(r) || m.now > r.old && m.endsWalk(r, true))
			continue
		}
		grown := r.MemoryKB * (m.set.RunningMemoryFactor - 1)
		if m.memory+grown+m.keyMemory() > memoryMargin*m.set.MemoryKB {
			return
		}
		m.line = slices.Delete(m.line, i, i+1)
		m.memory += max(grown, 0)
		r.state, r.ran, r.started = running, true, m.now
		m.core(r, 1)
		if e := m.entries[r.ID]; e != nil {
			e.ran = true
		}
		m.host.Run(r.ID)
	}
}

// step moves the running limit and the drain rate.
func (m *Module) step(dt time.Duration) {
	share := min(m.stood/max(dt.Seconds(), m.set.BatchInterval.Seconds()), 1)
	m.rateTime += m.stood - rateAlpha*share*m.rateTime
	m.rateCount += m.drained - rateAlpha*share*m.rateCount
	ratio, _ := m.ratio()
	switch {
	case share > 0 && m.runnable >= 0 && m.runnable < float64(m.set.Cores)/2:
		m.limit += share * m.limit * (limitGrowFar - 1)
	case share > 0 && m.coresIdle(ratio):
		m.limit += share * max(limitAdd, m.limit*(limitGrow-1))
	case ratio > slowRatio && !m.coresIdle(ratio): // waits, not crowding, make runs long on idle cores
		m.limit *= limitShrink
	}
	m.limit = max(min(m.limit, m.crowd()), float64(m.set.Cores))
	m.stepCalls()
	var lines []string
	if m.together != nil {
		lines = m.together.Step(m.now, m.drainRate(), share)
	}
	m.drained, m.stood = 0, 0
	if m.pools != nil {
		lines = append(lines, m.pools.Step(m.now, min(m.limit, m.crowd()))...)
	}
	for _, line := range lines {
		m.host.Log(line)
	}
}

func (m *Module) coresIdle(ratio float64) bool {
	if m.cpuBusy < 0 && m.runnable < 0 {
		return ratio < (1+slowRatio)/2
	}
	wanted := m.runnable / float64(m.set.Cores) // as of now, while the busy share lags by a second or so
	return m.runnable >= 0 && wanted < 1 || m.cpuBusy >= 0 && m.cpuBusy < idleBelow && wanted < idleWanted
}

// ratio is the mean over the classes that have one of run latency over base,
// and usual their mean run latency in seconds, 0 while nothing is known.
func (m *Module) ratio() (ratio, usual float64) {
	n := 0.0
	for i := range m.runs {
		if p := &m.runs[i]; p.base > 0 {
			ratio += p.slow()
			usual += p.mean
			n++
		}
	}
	if n == 0 { // the first to end are the shortest: they say nothing yet
		return 1, 0
	}
	return ratio / n, usual / n
}

// ---- call ----

// NeedsCall tells that a running request stands at a call.
func (m *Module) CallNeeded(now time.Duration, id RequestID) {
	m.now = now
	if r := m.byID[id]; r != nil && r.state == running {
		m.moved()
		m.core(r, -1)
		m.inCalls++
		r.state, r.calls, r.lastCall = atCall, 0, NeverStarted
	}
}

// Called tells how a call ended.
func (m *Module) CallEnded(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	m.now = now
	m.countCalls()
	r := m.byID[id]
	if r == nil || r.state != calling {
		return
	}
	m.callsOut--
	m.moved()
	r.state, r.lastCall = atCall, o
	if o == OK || o == TimedOut {
		m.called.learn(took, callAlpha)
	}
	switch o {
	case OK:
		r.state, m.inCalls = running, m.inCalls-1
		m.core(r, 1)
	case TimedOut:
		m.callTime[m.callBucket%callBuckets] += m.set.AbandonedCallTime.Seconds()
	}
}

// decideCalls gives each request at a call its word, the dearest to leave out
// first. What finds no room waits in a line bounded like the other, or skips.
func (m *Module) decideCalls() {
	var wait []*request
	for _, r := range m.all {
		if !r.over && !r.answered && r.state == atCall {
			wait = append(wait, r)
		}
	}
	slices.SortStableFunc(wait, func(a, b *request) int { return cmp.Compare(m.loss(b), m.loss(a)) })
	spare := int(max(1, m.callLimit*max(1, m.maxWait.Seconds()/max(m.called.mean, 0.001))))
	for _, r := range wait {
		c := m.class(r)
		left := min(r.aim, r.due-m.margin()) - m.now
		timeout := callPart * left.Seconds()
		if b := m.callBudget; m.set.Dependency == DependencyShared && b > 0 {
			timeout = min(timeout, callBooked*b) // a share of calls below one affords no longer ones
		}
		// A failed call is repeated only where nothing is earned without it: repeats
		// swamp what lies below just when it is short.
		mayCall := r.calls == 0 || c.SkipUtilityShare <= 0 && r.calls < callTries &&
			(r.lastCall.NeverRan() || c.Effect == Safe)
		switch {
		case !mayCall && c.SkipUtilityShare <= 0:
			m.giveUp(r)
		case mayCall && left > 0 && m.roomToCall(timeout):
			m.callsOut++
			r.calls++
			r.state = calling
			m.host.Call(r.ID, max(time.Duration(timeout*float64(time.Second)), m.set.BatchInterval))
		case mayCall && spare > 0 && left > time.Duration(waitRunShare*float64(m.usualRun(r))):
			spare--
			m.callsShort = true
		case c.SkipUtilityShare > 0:
			m.callsShort = true
			r.state, m.inCalls = running, m.inCalls-1
			m.core(r, 1)
			m.host.SkipCall(r.ID)
		}
	}
}

// loss is what leaving a request's call out costs.
func (m *Module) loss(r *request) float64 { return m.worth(r) * (1 - m.class(r).SkipUtilityShare) }

// roomToCall keeps calls under what the crowd allows, the learned limit, and
// this node's share below even if every call out lasts to its timeout.
func (m *Module) roomToCall(timeout float64) bool {
	if float64(m.callsOut) >= m.crowd()-float64(m.set.Cores) {
		return false
	}
	if m.set.Dependency != DependencyShared || m.callBudget <= 0 {
		return true
	}
	if float64(m.callsOut) >= max(1, m.callLimit) {
		return false
	}
	sum := float64(m.callsOut+1) * min(timeout, m.set.CallWindow.Seconds())
	for _, s := range m.callTime {
		sum += s
	}
	return sum <= m.callBudget
}

// stepCalls moves the call limit as the running one; the base follows what has become slow for good.
func (m *Module) stepCalls() {
	switch {
	case m.called.slow() > callSlow:
		m.callLimit *= callShrink
	case m.callsShort:
		m.callLimit = max(m.callLimit*limitGrow, m.callLimit+0.02)
	}
	m.called.base *= callDrift
	m.callLimit = max(min(m.callLimit, m.set.CallShare), m.set.CallShare*callFloor)
	m.callsShort = false
}

// countCalls adds the calls held since last time to the sliding window, where an
// abandoned call is booked for as long as it stays below.
func (m *Module) countCalls() {
	width := m.set.CallWindow / (callBuckets - 1)
	if width <= 0 {
		return
	}
	for m.callSeen < m.now {
		if b := uint64(m.callSeen / width); b != m.callBucket {
			m.callBucket = b
			m.callTime[b%callBuckets] = 0
		}
		end := min(time.Duration(m.callBucket+1)*width, m.now)
		m.callTime[m.callBucket%callBuckets] += float64(m.callsOut) * (end - m.callSeen).Seconds()
		m.callSeen = end
	}
}

// ---- answer ----

// Ended tells that a run, or a reuse, is over.
func (m *Module) RunEnded(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	m.now = now
	m.countCalls()
	r := m.byID[id]
	if r == nil {
		return
	}
	if r.state == running && o != NeverStarted {
		m.moved()
	}
	if r.state == running && !r.answered && o == OK {
		m.learn(r, took)
	}
	if o == Cancelled && !r.answered { // stopped without an answer: it is still owed
		m.leaveCores(r)
		r.state = held
		if m.class(r).Effect == Safe {
			m.line = append([]*request{r}, m.line...)
		} else {
			m.giveUp(r)
		}
		return
	}
	if e := m.entries[id]; e != nil && o == NeverStarted && m.class(r).Effect == Keyed { // its only start took no effect
		e.ran = false
		m.release(r)
	}
	m.drop(r)
}

// learn takes a success into account. Nothing else teaches: fast errors look like speed.
func (m *Module) learn(r *request, took time.Duration) {
	if m.waits {
		m.drained++
	}
	p := &m.runs[r.Class]
	if r.WorkHint > 0 {
		dx, dy := r.WorkHint.Seconds()-m.hints[r.Class], took.Seconds()-p.mean
		m.hints[r.Class] += max(runAlpha, 1/(p.n+1)) * dx
		if p.n > 0 {
			m.hintVar += runAlpha / 2 * (dx*dx - m.hintVar)
			m.hintCov += runAlpha / 2 * (dx*dy - m.hintCov)
		}
	}
	p.base *= baseDrift
	p.learn(took, runAlpha)
	if m.pools != nil {
		m.pools.RunSucceeded(m.now, r.Class, took)
	}
}

// moved notes a sign of progress; after a stall, what was answered is stopped.
func (m *Module) moved() {
	m.progress = m.now
	if !m.stalled {
		return
	}
	m.stalled = false
	m.host.Log("work moves again")
	for _, r := range m.all {
		r.halted = false
	}
}

// watch looks for a stall: many usual gaps went by without a sign of progress.
func (m *Module) watch() {
	if m.onCores == 0 {
		m.progress, m.stalled = m.now, false
		return
	}
	_, usual := m.ratio()
	quiet := m.now - m.progress
	gaps := quiet.Seconds() * float64(m.onCores) / usual
	if !m.stalled && usual > 0 && gaps > stallGaps && quiet > m.span(stallMin) {
		m.stalled = true
		m.host.Log("no work moves: refusing")
	}
}

// turnAway refuses a request that never ran. Keyed work whose key may have run
// is never refused: it fails.
func (m *Module) turnAway(r *request, last bool) {
	if r.ran || (m.class(r).Effect == Keyed && r.RepeatOf != 0) {
		m.giveUp(r)
		return
	}
	m.release(r)
	m.drop(r)
	m.host.Refuse(r.ID, m.advice(), last)
}

// release frees the key of a request that will never run.
func (m *Module) release(r *request) {
	if e := m.entries[r.ID]; e != nil && !e.ran && !e.freed {
		if e.freed = true; float64(m.freed)*m.set.RecordKB < keyMemory*m.set.MemoryKB {
			m.freed++
		} else { // as many as could be kept: one that is unknown counts as run
			delete(m.entries, r.ID)
		}
		m.host.ForgetRecord(r.ID)
	}
}

// giveUp answers a request that has run, or may have, with an error, and stops
// safe work that nobody waits for.
func (m *Module) giveUp(r *request) {
	m.host.Fail(r.ID)
	m.letGo(r)
}

// letGo takes leave of a request to which no answer is owed any more.
func (m *Module) letGo(r *request) {
	r.answered = true
	if r.state == held || r.state == reusing {
		m.release(r)
		m.drop(r)
	}
	m.stop(r)
}

// stop halts safe work whose answer is out. Keyed and unsafe work goes on: its effect is wanted.
func (m *Module) stop(r *request) {
	able := r.state == running && !r.over && m.set.Preemption != PreemptNone
	if able && !r.halted && m.class(r).Effect == Safe {
		r.halted = true
		m.host.Preempt(r.ID)
	}
}

// advice is the retry-after: a share of the line's drain time, more under pressure.
func (m *Module) advice() time.Duration {
	if !m.set.HonoursRetryAfter {
		return 0
	}
	longest := max(m.set.MaxRetryAfter, 0)
	if m.leaving() || m.stalled {
		return longest
	}
	wait := adviceShare * (1 + adviceGrow*m.pressure) * float64(len(m.line)) / max(m.drainRate(), m.limit)
	advice := min(max(time.Duration(wait*float64(time.Second)), m.span(minAdvice)), longest)
	if m.together != nil {
		return m.together.RetryAfter(m.now, advice, longest)
	}
	return advice
}

// Gone tells that nobody waits for a request any more.
func (m *Module) CallerGone(now time.Duration, id RequestID) {
	m.now = now
	if r := m.byID[id]; r != nil {
		m.letGo(r)
	}
}

// margin is how long before it is due an answer must be decided.
func (m *Module) margin() time.Duration { return beat + 2*m.set.BatchInterval }

// expire answers what can't wait: all before it is due, held work past its age
// limit, and running safe work whose answer would be worth nothing.
func (m *Module) expire() {
	for _, r := range m.all {
		if r.over || r.answered {
			m.stop(r)
			continue
		}
		late := m.now >= r.due-m.margin()
		if c := m.class(r); !late && r.state != held && c.LateUtilityShare <= 0 && c.Effect == Safe && m.now > r.aim {
			late = true
			if r.state == running { // it takes at least this long: the runs that end in time hide it
				m.runs[r.Class].learn(m.now-r.started, runAlpha)
			}
		}
		switch {
		case r.state == held && (late || m.tooOld(r)):
			m.overflow++
			m.turnAway(r, late || m.forlorn(r) || m.now > r.old && m.endsWalk(r, true))
		case late:
			m.giveUp(r)
		}
	}
}

// leaveCores takes a request out of the counts of its state.
func (m *Module) leaveCores(r *request) {
	switch r.state {
	case running:
		m.core(r, -1)
	case atCall:
		m.inCalls--
	case calling:
		m.inCalls--
		m.callsOut--
		m.callTime[m.callBucket%callBuckets] += m.set.AbandonedCallTime.Seconds()
	default:
		return
	}
	m.memory -= max(r.MemoryKB*(m.set.RunningMemoryFactor-1), 0)
}

// drop forgets a request of which nothing is left.
func (m *Module) drop(r *request) {
	if r.over {
		return
	}
	m.leaveCores(r)
	m.line = slices.DeleteFunc(m.line, func(o *request) bool { return o == r })
	m.memory -= r.MemoryKB
	r.over = true
	delete(m.byID, r.ID)
}

// ---- drain ----

// Drain is the notice to leave: the process will be stopped after left.
func (m *Module) Drain(now time.Duration, left time.Duration) {
	m.now = now
	if !m.draining {
		m.draining, m.notice = true, now
	}
	m.stopAt = now + max(left-2*m.set.BatchInterval, 0)
	for _, r := range m.all {
		r.due = min(r.due, m.stopAt)
	}
}

// leaving reports whether callers had better go elsewhere: for most of the grace they still may come.
func (m *Module) leaving() bool {
	return m.draining && float64(m.now-m.notice) >= leaveShare*float64(m.set.DrainGrace)
}

// ---- the node as a whole ----

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

// say sets the free value and the health that callers are told.
func (m *Module) say() {
	maps.DeleteFunc(m.entries, func(_ RequestID, e *entry) bool {
		if e.expires < m.now && e.freed {
			m.freed--
		}
		return e.expires < m.now
	})
	old := m.now - idleShortest<<idleSteps
	maps.DeleteFunc(m.lastFrom, func(_ uint32, at time.Duration) bool { return at < old })
	m.closeIdle()
	share := 0.0
	if m.read > 0 {
		share = float64(m.overflow) / float64(m.read)
	}
	if share > refusedOK {
		m.pressure = min(m.pressure+pressureUp*share*(1-m.pressure), 0.95)
	} else if m.pressure = max(m.pressure-pressureDown, 0); len(m.line) == 0 && m.onCores < int(m.limit) {
		m.pressure *= pressureIdle
	}
	if m.read == 0 {
		m.stale *= staleFade
	}
	m.read, m.overflow = 0, 0
	// Callers had better go elsewhere while work does not move, while most of it is old when read (a
	// slow machine, a long accept queue), and at the end of a drain's grace.
	out := m.stalled || m.stale > staleOver || m.leaving()
	if out == m.healthy {
		m.healthy = !out
		m.host.SetHealth(true, !out)
	}
	value, none := 0.0, 0.0
	switch m.set.LoadFeedback {
	case FeedbackNone:
		return
	case FeedbackLevel:
		value, none = m.pressure, 1
	case FeedbackCredit:
		even := creditPart / float64(max(m.set.Callers, 1))
		value = max(1, (m.limit+float64(m.bound()))*(1-m.pressure*(1-even)))
	case FeedbackWeight:
		value = 1 - weightPart*m.pressure
	}
	if out {
		value = none
	}
	if math.Abs(value-m.said) > 0.005 {
		m.said = value
		m.host.PublishLoad(value)
	}
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
