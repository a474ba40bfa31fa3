package rules

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// controlInterval is the period of the module's only timer: shorter than any latency target,
	// at 40 wake-ups a second.
	controlInterval = 25 * time.Millisecond

	// referenceTarget: where the shortest latency target is below it, limitInterval, feedbackInterval,
	// minStallTime and minRetryAfter shrink in proportion.
	referenceTarget = 2 * time.Second

	// pauseThreshold: a timer that fires this late means that the whole process was paused.
	pauseThreshold = 60 * time.Millisecond
)

// Module decides for one node. It is not safe for concurrent use: its host calls it from one goroutine.
type Module struct {
	settings Settings
	host     Host
	now      time.Duration // time of the event being handled

	// Timer.
	startedAt      time.Duration
	timerDueAt     time.Duration
	limitSteppedAt time.Duration // last control step of the limits
	feedbackAt     time.Duration // last feedback interval
	timeScale      float64       // factor on the control intervals, at most 1, see referenceTarget

	// Requests (request.go, memory.go).
	requests        []*request // every unfinished request, in order of arrival
	byID            map[RequestID]*request
	requestMemoryKB float64

	// Queue (queue.go).
	queue               []*request // state queued, oldest first
	queueView           []QueuedRequest
	maxQueueWait        time.Duration
	saturated           bool          // requests are queued and no slot is free for them
	saturationCountedAt time.Duration // saturatedSeconds is complete up to here
	saturatedSeconds    float64       // time spent saturated since the last control step
	saturatedSuccesses  float64       // successful runs in that time
	drainSeconds        float64       // decaying sums of the two over earlier steps: drainSuccesses
	drainSuccesses      float64       // over drainSeconds is the drain rate
	pools               Pools         // nil = one queue for all classes
	shedder             Shedder       // nil = decisions take only this node into account

	// Running limit (concurrency.go).
	runLimit          float64
	runningCount      int     // requests in state running
	slotsReserved     bool    // the pools keep the free slots for other classes
	cpuBusy, runnable float64 // gauges: share of busy cores and runnable threads; -1 = not reported

	// Run latency (latency.go).
	runLatency     []latencyEstimate // by class
	meanHint       []float64         // smoothed work hint of the observed runs by class, seconds
	hintVariance   float64           // of the hints about their class means, all classes
	hintCovariance float64           // of the hints and the run latencies about their class means

	// Stall detection (stall.go).
	lastProgress time.Duration
	stalled      bool

	// Tenant quotas (quota.go).
	tenantUsage []tenantUsage // by tenant

	// Idempotency records (idempotency.go).
	records         map[RequestID]*idempotencyRecord
	releasedRecords int // records that take no memory in the host's table any more

	// Downstream calls (dependency.go).
	inCallCount    int                        // requests in states callPending and calling
	callsInFlight  int                        // requests in state calling
	callBudget     float64                    // seconds of calls that this node may use in a call window
	callLimit      float64                    // calls that this node may have in flight
	callLatency    latencyEstimate            // of calls to the downstream dependency
	callsLimited   bool                       // since the last control step a call had to wait or was skipped
	callSeconds    [callWindowBuckets]float64 // seconds of calls in flight, by bucket of the call window
	callBucket     uint64                     // unsigned: the clock may be below zero, an index may not
	callsCountedAt time.Duration              // callSeconds is complete up to here

	// Load feedback (feedback.go).
	arrivalCount  int     // since the last feedback interval
	overloadCount int     // of these, refused because of overload
	pressure      float64 // overload of this node, from 0 to 1
	publishedLoad float64 // -1 = none yet
	retryShare    float64 // smoothed share of marked retries among arrivals
	staleShare    float64 // smoothed share of requests that were stale on arrival
	healthy       bool    // last published health

	// Connections (connections.go).
	handshakeLoad float64                   // runnable threads beyond the runs, for each core, smoothed
	stormUntil    time.Duration             // until then no idle connection is closed
	lastArrival   map[uint32]time.Duration  // by caller
	idleCost      [idleTimeoutCount]float64 // smoothed cost of each idle timeout per request, in new connections
	idleTimeout   time.Duration             // last published

	// Drain (drain.go).
	draining       bool
	drainStartedAt time.Duration
	stopAt         time.Duration // every answer must be out before this
}

// New starts the decisions of one node at time now. The seed is not used: nothing here is random.
// It returns an error if the settings have no cores, no classes, no memory or a class without a deadline.
func New(now time.Duration, set Settings, _ uint64, host Host) (*Module, error) {
	if set.Cores < 1 || len(set.Classes) == 0 || set.MemoryKB <= 0 {
		return nil, errors.New("settings: cores, request classes and memory must be greater than zero")
	}
	set.Classes = slices.Clone(set.Classes)
	shortest := time.Duration(math.MaxInt64)
	for i, c := range set.Classes {
		if c.Deadline <= 0 {
			return nil, fmt.Errorf("settings: class %d: the deadline must be greater than zero", i)
		}
		if c.LatencyTarget <= 0 {
			set.Classes[i].LatencyTarget = c.Deadline
		}
		shortest = min(shortest, set.Classes[i].LatencyTarget)
	}
	m := &Module{
		settings: set, host: host, now: now, startedAt: now, limitSteppedAt: now, feedbackAt: now,
		timeScale:    min(float64(shortest)/float64(referenceTarget), 1),
		byID:         map[RequestID]*request{},
		maxQueueWait: time.Duration(maxWaitShare * float64(shortest)),
		runLimit:     float64(set.Cores), cpuBusy: -1, runnable: -1,
		runLatency: make([]latencyEstimate, len(set.Classes)), meanHint: make([]float64, len(set.Classes)),
		lastProgress: now,
		tenantUsage:  make([]tenantUsage, len(set.Tenants)),
		records:      map[RequestID]*idempotencyRecord{},
		callLimit:    initialCallLimitShare * set.CallShare,
		callBudget:   callBudgetShare * set.CallShare * set.CallWindow.Seconds(), callsCountedAt: now,
		publishedLoad: -1, healthy: true,
		stormUntil:  now, // not zero: a clock that starts below zero would begin in a storm
		lastArrival: map[uint32]time.Duration{}, idleTimeout: set.MaxIdleTimeout,
		stopAt: math.MaxInt64,
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

// Arrive takes a request that was read: it is queued, refused, failed or joined to an earlier one.
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
	if q.Class >= len(m.settings.Classes) { // unknown class: its effect and deadline are not known
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
	afterGrace := m.arrivedAfterGrace(r)
	// A request beyond its tenant's quota would take a core from the next one within its quota.
	overQuota := r.overQuota && r.RepeatOf == 0 && m.pressure > utilityOrderPressure &&
		m.runningCount >= m.settings.Cores
	if overQuota && !afterGrace {
		m.overloadCount++
		m.refuse(r, m.shedder == nil || m.stopsRetries(r, true))
		return
	}
	if afterGrace || m.exceedsMemory(0) {
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

// TimerFired handles the module's timer. gauges are the values of Settings.Gauges, in their order.
func (m *Module) TimerFired(now time.Duration, _ uint64, gauges []float64) {
	m.now = now
	m.readGauges(gauges)
	m.discountPause()
	m.observeHandshakes()
	m.countSaturation()
	m.detectStall()
	// Half an interval less, so that the step is taken by the nearest timer event.
	if dt := now - m.limitSteppedAt; dt > m.scaled(limitInterval)-controlInterval/2 {
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

// discountPause keeps a pause of the whole process from counting as a stall or as time in the queue.
func (m *Module) discountPause() {
	if late := m.now - m.timerDueAt; late > pauseThreshold {
		m.lastProgress += late
		for _, r := range m.queue {
			r.queueTimeoutAt += late
		}
	}
}

// scaled shortens a control interval in proportion to the shortest latency target.
func (m *Module) scaled(t time.Duration) time.Duration {
	return time.Duration(m.timeScale * float64(t))
}

func (m *Module) startTimer() {
	m.timerDueAt = m.now + controlInterval
	m.host.StartTimer(1, controlInterval)
}

// FinishBatch decides after the events of a batch: it answers expired requests, makes calls, starts
// queued requests and evicts those that exceed the queue's bound.
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
