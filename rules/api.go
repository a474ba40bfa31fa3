// Package rules is robinmast's decision module: which requests a node queues, runs and refuses, which
// downstream calls it makes, and the load feedback that it publishes.
//
// A host feeds one Module per node: each event through its method, then FinishBatch once for the batch.
// Idempotency records of a previous incarnation come first, by RestoreRecord. The module acts through
// Host, always within such a call. All times are durations on the host's own monotonic clock, whose zero
// has no meaning. A Module belongs to one goroutine; it does no I/O, reads no clock and takes no lock.
//
// This file is the interface. Each decision has a file of its own, with its constants: queue.go,
// concurrency.go (the running limit), dependency.go (downstream calls), quota.go (tenants),
// idempotency.go (records of repeatable requests), memory.go, utility.go, latency.go, stall.go,
// feedback.go (pressure, load feedback, retry advice), connections.go (idle timeouts, connection storms)
// and drain.go. module.go dispatches the events, request.go has the states of a request.
package rules

import "time"

// RequestID names one try of a request on this node. The host never reuses one.
type RequestID uint64

// Effect says how often a request of a class may run.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // runs once within the idempotency window; repeats join it by KeepRecord
	Unsafe               // runs at most once
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes of runs and calls.
const (
	OK              Outcome = iota // it succeeded
	Failed                         // it failed and may have had its effect
	CallRejected                   // the call was rejected unread
	TimedOut                       // the call was abandoned and may have had its effect
	ConnectFailed                  // the downstream dependency was not reached
	ConnectionReset                // the call was interrupted and may have had its effect
	Cancelled                      // the run was preempted, or ended at a call after its answer
	NeverStarted                   // nothing was started: the request was over already
)

// NeverRan reports whether the outcome proves that nothing ran.
func (o Outcome) NeverRan() bool { return o == CallRejected || o == ConnectFailed || o == NeverStarted }

// Dependency says what a node's requests call.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone   Dependency = iota
	DependencyShared            // one dependency that every node loads
	DependencyTier              // another tier of nodes, reached through a balancer
)

// Preemption says what Host.Preempt does to running work.
type Preemption uint8

// The kinds of preemption.
const (
	PreemptNone  Preemption = iota // Preempt must not be used
	PreemptDrop                    // the work is lost and the request queued again
	PreemptPause                   // the work waits, with its memory, for Run
)

// LoadFeedback says how callers use the value set by Host.PublishLoad.
type LoadFeedback uint8

// The meanings of the published load.
const (
	FeedbackNone   LoadFeedback = iota // PublishLoad must not be used
	FeedbackLevel                      // callers send no request whose rank is below it
	FeedbackCredit                     // requests that each caller may have in flight here
	FeedbackWeight                     // probability with which a caller that chose this node keeps its choice
)

// Class holds the settings of a request class.
type Class struct {
	LatencyTarget        time.Duration // answers within it earn the full utility
	LatencyTargetStretch float64       // the target grows by this many times the request's own work
	Deadline             time.Duration // how long a client waits in all
	LateUtilityShare     float64       // share of the utility between latency target and deadline
	Utility              float64
	IdempotencyWindow    time.Duration // Keyed: how long after the arrival a repeat may come
	Effect               Effect
	CallsDependency      bool    // its requests may make downstream calls
	SkipUtilityShare     float64 // share of the utility left when a call is skipped, 0 = it must be made
}

// Tenant holds the settings of one tenant.
type Tenant struct {
	QuotaPerSecond float64 // requests over the whole fleet, 0 = no quota
	Share          float64 // expected share of the arrivals
}

// Settings are the settings of a node, fixed at its start.
type Settings struct {
	BatchInterval       time.Duration // shortest time between batches
	Cores               int
	Nodes               int // nodes of this tier at the start
	Callers             int // callers of this tier at the start
	ColdStart           bool
	Layer               int
	Classes             []Class
	Tenants             []Tenant
	OverQuotaUtility    float64       // factor on the utility of a request beyond its tenant's quota
	UtilityPerWork      bool          // Class.Utility is for each unit of work, not for each request
	RetriesMarked       bool          // Request.Retry is set for further tries
	TimeoutsPassed      bool          // Request.CallerTimeout is set
	DisconnectsReported bool          // CallerGone is called when a caller disconnects
	HonoursRetryAfter   bool          // callers receive and follow the retry-after of a refusal
	MaxRetryAfter       time.Duration // longer values are not followed by callers
	LoadFeedback        LoadFeedback
	LoadFeedbackTTL     time.Duration // how long callers use a published load
	Preemption          Preemption
	MemoryKB            float64
	RunningMemoryFactor float64       // memory of a running request over that of a queued one
	RecordKB            float64       // memory of an idempotency record with its result
	ReadFreshness       time.Duration // how long a read's answer may be shared, 0 = never
	Gauges              []string      // names of the gauges of TimerFired: cpu_busy and runnable are used
	MaxIdleTimeout      time.Duration
	Readiness           bool // callers drop unhealthy nodes from their list
	Dependency          Dependency
	CallShare           float64       // DependencyShared: mean calls that this node may have in flight
	CallWindow          time.Duration // DependencyShared: time over which that mean is taken
	AbandonedCallTime   time.Duration // DependencyShared: how long an abandoned call goes on
	AnswerSlack         time.Duration // how long after it is due an answer still counts
	ColdSpeed           float64       // share of its usual speed that a cold node starts at, at least
	WarmUpTime          time.Duration // a cold node is warm after this, at the latest
	DrainGrace          time.Duration // requests that arrive later than this after Drain must not run
	OverloadRunsPerCore float64       // mean runs per core that a warm node survives
	OverloadWindow      time.Duration // time over which that mean is taken
	NewPools            func() Pools  // scheduling by class, nil = one queue for all

	NewShedder func(now time.Duration) Shedder // fleet-aware load shedding, nil = none
}

// Request is one try of a request, as read from a connection of its caller.
type Request struct {
	ID            RequestID
	RepeatOf      RequestID     // the recorded request that it repeats, 0 = none
	CallerTimeout time.Duration // how long the caller still waits, 0 = not known
	Rank          float64       // its position among requests by utility, from 0 (least) to 1
	WorkHint      time.Duration // expected work, 0 = not known
	Tenant        int
	Caller        uint32
	Age           time.Duration // time from reaching the machine to being read
	Key           uint64        // identifies the item of a read whose answer may be shared, 0 = none
	MemoryKB      float64       // memory while queued
	Class         int
	Retry         bool // a further try or a second copy, where these are marked
	Write         bool
}

// QueuedRequest is a queued request as Pools and Shedder see it.
type QueuedRequest struct {
	Class   int
	Utility float64 // cost-weighted utility
}

// Pools choose which queued request gets a free slot and which one is evicted from a full queue. They are
// optional: see Settings.NewPools. They set neither the bound of the queue nor the running limit. Package
// decide/pools implements them.
type Pools interface {
	// Arrived counts an arrival of a class; hint is its expected work, 0 = not known.
	Arrived(now time.Duration, class int, hint time.Duration)
	// RunningChanged adds n to the running requests of a class.
	RunningChanged(now time.Duration, class, n int)
	// RunSucceeded observes the latency of a successful run.
	RunSucceeded(now time.Duration, class int, took time.Duration)
	// Step is the control step; limit is the running limit. It returns lines for the log.
	Step(now time.Duration, limit float64) (lines []string)
	// StalledRuns is the number of running requests that make no progress and need no core.
	StalledRuns() int
	// Next returns the index in queue of the request that gets a free slot, -1 to keep it free.
	Next(now time.Duration, slots, running int, queue []QueuedRequest) int
	// Evict returns the index in queue of the request that leaves a queue longer than bound.
	Evict(now time.Duration, bound int, queue []QueuedRequest) int
}

// Shedder decides about refusals by the load of the whole fleet. It is optional: see Settings.NewShedder.
// It does not decide which requests run, or how many. Package decide/shedding implements it.
type Shedder interface {
	// Arrived counts an arrival: its cost-weighted utility, and that which it has as a first try.
	Arrived(now time.Duration, utility, firstTryUtility float64, retry bool)
	// Step is the control step: the drain rate in requests a second and the share of the time since the
	// last step in which no slot was free. It returns lines for the log.
	Step(now time.Duration, drainRate, saturatedShare float64) (lines []string)
	// ExceedsQueueTimeout reports whether a request of this cost-weighted utility would be queued for
	// longer than timeout.
	ExceedsQueueTimeout(queue []QueuedRequest, utility float64, timeout time.Duration) bool
	// StopsRetries reports whether the caller of a refused request must try no other node.
	StopsRetries(now time.Duration, firstTryUtility float64) bool
	// RetryUtility is the utility of a further try relative to a first one.
	RetryUtility() float64
	// RetryAfter returns the retry-after for a refusal; base is what the node alone would advise.
	RetryAfter(now, base, longest time.Duration) time.Duration
}

// Host carries out what the module decides.
type Host interface {
	// Run starts a queued request, or resumes a paused one.
	Run(id RequestID)
	// Preempt stops the run of a request as Settings.Preemption says.
	Preempt(id RequestID)
	// Refuse answers that a request never ran. stopRetrying: the caller must try no other node.
	Refuse(id RequestID, retryAfter time.Duration, stopRetrying bool)
	// Fail answers with an error, without a promise that nothing ran.
	Fail(id RequestID)
	// Call makes the downstream call that a run needs.
	Call(id RequestID, timeout time.Duration)
	// SkipCall lets a run go on without its downstream call.
	SkipCall(id RequestID)
	// KeepRecord keeps the key of a request, and then its result, for span, so that repeats find it.
	KeepRecord(id RequestID, span time.Duration)
	// ForgetRecord discards such a record: the request never ran.
	ForgetRecord(id RequestID)
	// JoinEarlier answers a request with the result of the one that it repeats, once there is one.
	JoinEarlier(id RequestID)
	// SetHealth publishes the node's health; good means that callers may send requests here. The module
	// always passes stored as true.
	SetHealth(stored, good bool)
	// PublishLoad publishes the load in the sense of Settings.LoadFeedback.
	PublishLoad(value float64)
	// SetIdleTimeout sets how long a connection may be idle before it is closed.
	SetIdleTimeout(after time.Duration)
	// StartTimer asks for TimerFired with this token after in.
	StartTimer(token uint64, in time.Duration)
	// Log writes a line to the node's log.
	Log(line string)
}
