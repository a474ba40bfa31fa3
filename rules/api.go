// Package rules is robinmast's decision module: what a node takes, runs, calls
// and turns away. This file is its whole interface and holds no decision; the
// decisions, and every tuned value, are in rules.go.
//
// A host feeds one Module per node: each event through its method, then one
// Settle for the batch. What an earlier life of the node kept comes first, by
// Restored. The module answers through Host. All times are
// durations on the host's own monotonic clock, whose zero means nothing.
package rules

import "time"

// RequestID names one try of a request on this node. The host never reuses one.
type RequestID uint64

// Effect says how often a request of a class may run.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // runs once within the class window, repeats are linked by Keep
	Unsafe               // runs at most once
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes of runs and calls.
const (
	OK              Outcome = iota // it went well
	Failed                         // it failed and may have had its effect
	CallRejected                   // the call was bounced unseen
	TimedOut                       // the call was given up and may have had its effect
	ConnectFailed                  // nothing below was reached
	ConnectionReset                // the call broke off and may have had its effect
	Cancelled                      // the run was stopped, or ended at a call after its answer
	NeverStarted                   // nothing started, the request was over
)

// NeverRan reports whether the outcome proves that nothing ran.
func (o Outcome) NeverRan() bool { return o == CallRejected || o == ConnectFailed || o == NeverStarted }

// Below says what a node's requests call.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone   Dependency = iota
	DependencyShared            // one dependency that every node loads
	DependencyTier              // another tier of nodes, reached through a balancer
)

// Preemption says what Host.Halt does to running work.
type Preemption uint8

// The kinds of preemption.
const (
	PreemptNone  Preemption = iota // Halt must not be used
	PreemptDrop                    // the work is lost and the request held again
	PreemptPause                   // the work waits, with its memory, for Run
)

// FreeValue says what callers make of the value set by Host.Say.
type LoadFeedback uint8

// The meanings of the free value.
const (
	FeedbackNone   LoadFeedback = iota // Say must not be used
	FeedbackLevel                      // callers send nothing ranked under it
	FeedbackCredit                     // requests each caller may have out here
	FeedbackWeight                     // chance that a caller does not pass this node over
)

// Class is what the settings say of a request class.
type Class struct {
	LatencyTarget        time.Duration // answers within it earn the full worth
	LatencyTargetStretch float64       // the aim grows by this many times the request's own work
	Deadline             time.Duration // how long a client waits in all
	LateUtilityShare     float64       // share of the worth between aim and deadline
	Utility              float64
	IdempotencyWindow    time.Duration // Keyed: how long after reaching us a repeat may come
	Effect               Effect
	CallsDependency      bool    // its requests may call below
	SkipUtilityShare     float64 // share of the worth left when a call is skipped, 0 = must call
}

// Tenant is what the settings say of one tenant.
type Tenant struct {
	QuotaPerSecond float64 // over the whole fleet
	Share          float64
}

// Settings is what a node is told when it starts.
type Settings struct {
	BatchInterval       time.Duration // batches come at most this often
	Cores               int
	Nodes               int // nodes of this tier at the start
	Callers             int // callers of this tier at the start
	ColdStart           bool
	Layer               int
	Classes             []Class
	Tenants             []Tenant
	OverQuotaUtility    float64 // worth of a request beyond its tenant's share
	UtilityPerWork      bool    // worth counts for each unit of work
	RetriesMarked       bool
	TimeoutsPassed      bool
	DisconnectsReported bool
	HonoursRetryAfter   bool          // retry-after is passed on
	MaxRetryAfter       time.Duration // the longest that is heeded
	LoadFeedback        LoadFeedback
	LoadFeedbackTTL     time.Duration // how long callers remember the free value
	Preemption          Preemption
	MemoryKB            float64
	RunningMemoryFactor float64       // memory of a running request over a held one
	RecordKB            float64       // memory of a kept entry
	ReadFreshness       time.Duration // how long a read's answer may be shared, 0 = never
	Gauges              []string
	MaxIdleTimeout      time.Duration
	Readiness           bool // the callers' list follows health
	Dependency          Dependency
	CallShare           float64       // BelowShared: mean calls this node may hold
	CallWindow          time.Duration // BelowShared: span of that mean
	AbandonedCallTime   time.Duration // BelowShared: how long an abandoned call stays
	AnswerSlack         time.Duration // how long past due an answer still counts
	ColdSpeed           float64       // least share of its speed a cold node starts at
	WarmUpTime          time.Duration // a cold node is warm after this
	DrainGrace          time.Duration // what arrives later than this after Drain is not run
	OverloadRunsPerCore float64       // mean runs a core that a warm node survives
	OverloadWindow      time.Duration // span of that mean
	NewPools            func() Pools  // pools by class, nil = one line for all

	NewShedder func(now time.Duration) Shedder // refusals with the fleet in mind, nil = none
}

// Request is one try that was read and is now held.
type Request struct {
	ID            RequestID
	RepeatOf      RequestID     // the kept request it repeats, 0 = none
	CallerTimeout time.Duration // how long the caller still waits, 0 = not told
	Rank          float64       // its place by worth, 0 to 1
	WorkHint      time.Duration // expected work, 0 = not told
	Tenant        int
	Caller        uint32
	Age           time.Duration // since it reached the machine
	Key           uint64
	MemoryKB      float64 // memory while held
	Class         int
	Retry         bool // a further try or a second copy, where these are marked
	Write         bool
}

// Waiting is a held request as Pools see it.
type QueuedRequest struct {
	Class   int
	Utility float64 // what serving it earns for its work
}

// Pools say, where they are set, which of the line gets a free slot and which
// leaves a full one. The line, its bounds by count and age and the running limit
// stay as they are. decide/pools has them.
type Pools interface {
	Arrived(now time.Duration, class int, hint time.Duration)
	RunningChanged(now time.Duration, class, n int) // n more runs of a class are on the cores
	RunSucceeded(now time.Duration, class int, took time.Duration)
	Step(now time.Duration, limit float64) (lines []string)
	StalledRuns() int // runs that stand still and need no core
	Next(now time.Duration, slots, taken int, line []QueuedRequest) int
	Evict(now time.Duration, bound int, line []QueuedRequest) int
}

// Together says, where it is set, what becomes of refusals with the fleet in mind.
// Which requests run, and how many, stays as it is. decide/together has it.
type Shedder interface {
	Arrived(now time.Duration, value, price float64, again bool)
	Step(now time.Duration, drain, short float64) (lines []string)
	ExceedsQueueTimeout(line []QueuedRequest, value float64, most time.Duration) bool // it would be held for longer than most
	StopsRetries(now time.Duration, price float64) bool
	RetryUtility() float64 // of a further try over a first one
	RetryAfter(now, base, most time.Duration) time.Duration
}

// Host carries out what the module decides.
type Host interface {
	Run(id RequestID)
	Preempt(id RequestID)
	Refuse(id RequestID, retryAfter time.Duration, last bool)
	Fail(id RequestID)
	Call(id RequestID, timeout time.Duration)
	SkipCall(id RequestID)
	KeepRecord(id RequestID, span time.Duration)
	ForgetRecord(id RequestID)
	JoinEarlier(id RequestID)
	SetHealth(stored, good bool)
	PublishLoad(value float64)
	SetIdleTimeout(after time.Duration)
	StartTimer(token uint64, in time.Duration)
	Log(line string)
}
