// Package node connects the decision module to the dispatchers' connections, the
// worker pool, the result cache and the control service. One goroutine, started by
// Node.Run, owns the module, the open requests, the idempotency records and the
// timers. It takes all waiting events in batches, at most one batch per
// Settings.BatchInterval, passes them to the module, calls the module's FinishBatch
// once, and carries out the actions that the module calls for. The loop makes no
// decision about a request and never waits for a socket or the disk.
package node

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"robinmast/decide/shedding"
	"robinmast/internal/exchange"
	"robinmast/rules"
)

// Front is the server that dispatchers connect to. Its methods must not block.
type Front interface {
	SetHealth(good bool)
	PublishLoad(value float64)
	SetIdleTimeout(after time.Duration)
	// BatchHandled is called after each batch; waiting asks for the next one soon.
	BatchHandled() (waiting bool)
	// BatchesEnded is called when no further batch comes.
	BatchesEnded()
}

// Pool is the link to the worker pool. Its methods must not block.
type Pool interface {
	StartRun(*exchange.Exchange)
	StopRun(*exchange.Exchange)
	ContinueWithResult(x *exchange.Exchange, result []byte)
	ContinueWithout(*exchange.Exchange)
	PollGauges()
}

// Calls makes calls to the downstream dependency. done is called once, from any
// goroutine, unless the call was cancelled before.
type Calls interface {
	Call(ref string, statement []byte, timeout time.Duration,
		done func(o rules.Outcome, result []byte, took time.Duration)) (cancel func())
}

// Config configures a Node.
type Config struct {
	Settings    rules.Settings
	Seed        uint64                                   // of the module's random numbers
	ResultBytes int                                      // bound for results held in memory, bytes
	IntakeBytes int                                      // bound for requests that wait for the loop, bytes, 0 = 1 MiB
	Health      func(good bool)                          // called when the module sets the health, may be nil
	Load        func(Load)                               // called at each timer of the module, nil = not reported
	LoadReport  func(shedding.LoadReport, shedding.View) // called after Load if the settings have a load shedder
	Calls       Calls                                    // downstream dependency, nil = none
	ResultCache ResultCache                              // persistent result cache, nil = none
	Recovery    Recovery                                 // recovery to full service, nil = not tracked
	Log         *slog.Logger
}

// decisionModule is the part of rules.Module that the loop calls.
type decisionModule interface {
	Arrive(now time.Duration, q rules.Request)
	RunEnded(now time.Duration, id rules.RequestID, o rules.Outcome, took time.Duration)
	CallerGone(now time.Duration, id rules.RequestID)
	Drain(now time.Duration, left time.Duration)
	CallNeeded(now time.Duration, id rules.RequestID)
	CallEnded(now time.Duration, id rules.RequestID, o rules.Outcome, took time.Duration)
	TimerFired(now time.Duration, token uint64, gauges []float64)
	FinishBatch(now time.Duration)
	RestoreRecord(now time.Duration, id rules.RequestID, span time.Duration)
}

// Node is one node's loop. Its exported methods may be called by any goroutine.
type Node struct {
	ModuleResets atomic.Int64 // times that the module panicked and was replaced
	KeyConflicts atomic.Int64 // requests whose idempotency key belongs to another request
	RepeatedTxns atomic.Int64 // requests that failed since their transaction name is that of another one

	cfg        Config
	front      Front
	pool       Pool
	clock      func() time.Duration // monotonic; negative before the start of this process
	unixMillis func() float64       // Unix time, milliseconds

	intake *intake       // bounds the requests in events
	batch  atomic.Uint64 // number of the last batch that was handled

	mu     sync.Mutex
	events []event       // for the next batch
	gauges []float64     // read last
	wake   chan struct{} // signalled when an event is queued

	// The fields below are used by the loop's goroutine only.
	module         decisionModule
	isPoolUp       bool
	poolUpSince    time.Duration // the start that the module assumes, by clock
	now            time.Duration
	nextID         rules.RequestID
	lastCallNumber uint64 // of downstream calls
	requests       map[rules.RequestID]*openRequest
	running        int // requests with a run in progress
	byExchange     map[*exchange.Exchange]*openRequest
	byTxn          map[string]struct{} // transaction names of the open requests
	recentRuns     recentRuns
	recentRunTime  time.Duration // how long a name stays in recentRuns
	timers         []timer       // earliest first
	gaugesPolled   bool          // the gauges were polled for the earliest timer
	records        recordTable
	followUps      []event                     // produced by the loop itself, for its next batch
	restored       []*restoredRequest          // requests of previous incarnations
	restoredByRun  map[string]*restoredRequest // the restored requests whose run may still end
	draining       bool
	drainSince     time.Duration // when the drain notice came
	drainTime      time.Duration // from then until the process stops

	// Recovery: the share of its full load that the node asks for, the share of its
	// speed that it has reached, and the load feedback before scaling by loadShare.
	loadShare, speed, feedback float64
}

// New returns a node. Attach must be called before Run.
func New(cfg Config) *Node {
	began := time.Now()
	n := &Node{
		cfg: cfg, wake: make(chan struct{}, 1), intake: newIntake(cfg.IntakeBytes),
		clock:      func() time.Duration { return time.Since(began) },
		unixMillis: func() float64 { return float64(time.Now().UnixMicro()) / 1000 },
		requests:   map[rules.RequestID]*openRequest{}, byExchange: map[*exchange.Exchange]*openRequest{},
		byTxn: map[string]struct{}{}, records: newRecordTable(cfg.ResultBytes),
	}
	for _, class := range cfg.Settings.Classes { // nobody waits for a request for longer
		n.recentRunTime = max(n.recentRunTime, class.Deadline+lateReadGrace)
	}
	return n
}

// IntakeWaits returns how many requests had to wait until the loop had taken earlier ones.
func (n *Node) IntakeWaits() int64 { return n.intake.waits.Load() }

// Attach sets the server and the worker pool; it must be called before Run.
func (n *Node) Attach(f Front, p Pool) { n.front, n.pool = f, p }
