package rules

import (
	"errors"
	"math"
	"slices"
	"time"
)

const (
	controlInterval = 25 * time.Millisecond // the one timer: finer than any aim, 40 wake-ups a second
	referenceTarget = 2 * time.Second       // shorter aims shrink these, stallMin and minAdvice
	pauseThreshold  = 60 * time.Millisecond // a beat this late means that the process stood still
)

// Module decides for one node.
type Module struct {
	settings Settings
	host     Host
	now      time.Duration

	startedAt       time.Duration
	requests        []*request // in order of reading
	byID            map[RequestID]*request
	queue           []*request        // held, oldest first
	requestMemoryKB float64           // kilobytes that requests need
	runningCount    int               // state running
	inCallCount     int               // states atCall and calling
	callsInFlight   int               // state calling
	runLatency      []latencyEstimate // run latency per class
	meanHint        []float64         // smoothed hint of those runs per class, seconds
	hintVariance    float64           // smoothed square of hints off their class mean
	hintCovariance  float64           // and of that times run latency off its class mean

	runLimit            float64 // running limit
	timeScale           float64 // how far the shortest aim shrinks the times of learning, 1 = not at all
	maxQueueWait        time.Duration
	saturated           bool          // every slot is taken and requests are held
	saturationCountedAt time.Duration // until when the next four count
	saturatedSeconds    float64       // seconds since the last step in which waits was true
	saturatedSuccesses  float64       // successes in them
	drainSeconds        float64       // the two over the steps before, faded: their quotient is the drain rate
	drainSuccesses      float64
	lastProgress        time.Duration // last sign that work moves
	stalled             bool

	cpuBusy, runnable float64 // gauges, -1 = not told

	tenantUsage []tenantUsage // per tenant

	records         map[RequestID]*idempotencyRecord
	releasedRecords int // of them that hold no memory any more

	callBudget     float64                    // seconds of calls a window, of this node's share
	callLimit      float64                    // calls this node may have out
	callLatency    latencyEstimate            // call latency
	callsLimited   bool                       // a call had to wait or was left out since the last step
	callSeconds    [callWindowBuckets]float64 // seconds of calls held, per bucket
	callBucket     uint64                     // unsigned: the clock may be below zero, an index may not
	callsCountedAt time.Duration

	timerDueAt, limitSteppedAt, feedbackAt time.Duration
	arrivalCount, overloadCount            int // since the last say
	pressure, publishedLoad                float64
	retryShare                             float64 // share of marked retries in what is read
	healthy                                bool
	staleShare                             float64 // share of requests that were old when read

	handshakeLoad float64                   // what wants a core besides runs, for each core, smoothed
	stormUntil    time.Duration             // until then tables may fill
	lastArrival   map[uint32]time.Duration  // when each caller was last heard
	idleCost      [idleTimeoutCount]float64 // what each idle limit costs a request, in new connections
	idleTimeout   time.Duration

	draining               bool
	drainStartedAt, stopAt time.Duration

	pools         Pools // nil = one line for all
	queueView     []QueuedRequest
	slotsReserved bool // pools keep the free slots for others

	shedder Shedder // nil = this node alone counts
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
		settings: set, host: host, now: now, startedAt: now, runLimit: float64(set.Cores), lastProgress: now,
		callLimit: initialCallLimitShare * set.CallShare, callBudget: callBudgetShare * set.CallShare * set.CallWindow.Seconds(),
		maxQueueWait: time.Duration(maxWaitShare * float64(shortest)),
		byID:         map[RequestID]*request{}, records: map[RequestID]*idempotencyRecord{},
		runLatency: make([]latencyEstimate, len(set.Classes)), meanHint: make([]float64, len(set.Classes)),
		tenantUsage: make([]tenantUsage, len(set.Tenants)), cpuBusy: -1, runnable: -1,
		lastArrival:    map[uint32]time.Duration{},
		callsCountedAt: now, limitSteppedAt: now, feedbackAt: now, publishedLoad: -1, healthy: true,
		stopAt: math.MaxInt64, timeScale: min(float64(shortest)/float64(referenceTarget), 1),
		idleTimeout: set.MaxIdleTimeout, stormUntil: now, // a clock below zero is no swamp
	}
	if set.NewPools != nil {
		m.pools = set.NewPools()
	}
	if set.NewShedder != nil {
		m.shedder = set.NewShedder(now)
	}
	host.SetHealth(true, true)
	m.startTimer()
	return m, nil
}

// Arrive takes a request that was read.
func (m *Module) Arrive(now time.Duration, q Request) {
	m.now = now
	m.arrivalCount++
	m.retryShare -= retryShareWeight * m.retryShare
	if q.Retry {
		m.retryShare += retryShareWeight
	}
	r := &request{Request: q, arrivedAt: now - q.Age}
	m.byID[q.ID] = r
	m.requests = append(m.requests, r)
	m.requestMemoryKB += q.MemoryKB
	m.observeCaller(q.Caller)
	if q.Class >= len(m.settings.Classes) { // an unknown class: nothing is known of its rules
		m.remove(r)
		m.host.Fail(r.ID)
		return
	}
	if m.pools != nil {
		m.pools.Arrived(now, q.Class, q.WorkHint)
	}
	m.staleShare -= staleShareWeight * m.staleShare
	if float64(q.Age) > staleTargetShare*float64(m.class(r).LatencyTarget) {
		m.staleShare += staleShareWeight
	}
	m.setDeadlines(r)
	r.overQuota = m.exceedsQuota(r)
	if m.shedder != nil {
		m.shedder.Arrived(now, m.weightedUtility(r), m.firstTryUtility(r), r.Retry)
	}
	late := m.draining && r.arrivedAt > m.drainStartedAt+m.settings.DrainGrace-m.answerMargin() // it must not run any more
	// What is beyond a quota would keep a core from what comes next and is within.
	beyond := r.overQuota && r.RepeatOf == 0 && m.pressure > utilityOrderPressure && m.runningCount >= m.settings.Cores
	if beyond && !late {
		m.overloadCount++
		m.refuse(r, m.shedder == nil || m.stopsRetries(r, true))
		return
	}
	if late || m.exceedsMemory(0) {
		m.refuse(r, false)
		return
	}
	if m.linkRecord(r) {
		if m.queue = append(m.queue, r); m.exceedsQueueTimeout(r) {
			m.overloadCount++
			m.refuse(r, m.stopsRetries(r, false))
		}
	}
}

// Woke is the one timer. It brings the gauges.
func (m *Module) TimerFired(now time.Duration, _ uint64, gauges []float64) {
	m.now = now
	m.readGauges(gauges)
	m.discountPause()
	m.observeHandshakes()
	m.countSaturation()
	m.detectStall()
	if dt := now - m.limitSteppedAt; dt > m.scaled(limitInterval)-controlInterval/2 { // at the nearest beat
		m.adjustLimits(dt)
		m.limitSteppedAt = now
	}
	if now-m.feedbackAt > m.scaled(feedbackInterval)-controlInterval/2 {
		m.publishFeedback()
		m.feedbackAt = now
	}
	m.startTimer()
}

func (m *Module) readGauges(gauges []float64) {
	for i, v := range gauges[:min(len(gauges), len(m.settings.Gauges))] {
		switch m.settings.Gauges[i] {
		case "cpu_busy":
			m.cpuBusy = v
		case "runnable":
			m.runnable = v
		}
	}
}

func (m *Module) discountPause() {
	if late := m.now - m.timerDueAt; late > pauseThreshold { // the process stood still: nobody's fault here
		m.lastProgress += late
		for _, r := range m.queue {
			r.queueTimeoutAt += late
		}
	}
}

// span is a time of learning, shorter where all work and aims are.
func (m *Module) scaled(t time.Duration) time.Duration {
	return time.Duration(m.timeScale * float64(t))
}

func (m *Module) startTimer() {
	m.timerDueAt = m.now + controlInterval
	m.host.StartTimer(1, controlInterval)
}

// Settle decides after the events of a batch.
func (m *Module) FinishBatch(now time.Duration) {
	m.now = now
	m.countCallTime()
	m.countSaturation()
	m.answerExpired()
	m.decideCalls()
	m.startQueued()
	m.evictExcess()
	m.saturated = len(m.queue) > 0 && (m.runningCount >= m.slots() || m.slotsReserved) && !m.stalled
	m.requests = slices.DeleteFunc(m.requests, func(r *request) bool { return r.finished })
}

func (m *Module) class(r *request) *Class { return &m.settings.Classes[r.Class] }
