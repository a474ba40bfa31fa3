// Package node owns the one loop that owns the decision module, the exchanges
// in hand, the kept keys and the timers. It takes whatever events wait, at most
// once a settings tick, feeds them to the module, lets it settle once, and
// carries out what it says. It must never decide about a request, and never
// wait for a socket.
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

// Front is what the loop needs of the side towards dispatchers.
type Front interface {
	SetHealth(good bool)
	PublishLoad(value float64)
	SetIdleTimeout(after time.Duration)
}

// Pool is what the loop needs of the worker pool.
type Pool interface {
	StartRun(*exchange.Exchange)
	StopRun(*exchange.Exchange)
	ContinueWithResult(x *exchange.Exchange, result []byte)
	ContinueWithout(*exchange.Exchange)
	PollGauges()
}

// Calls is what the loop needs of what lies below. done is told once, unless the
// call was given up before.
type Calls interface {
	Call(ref string, statement []byte, timeout time.Duration, done func(o rules.Outcome, result []byte, took time.Duration)) (cancel func())
}

// Config is what a Node needs.
type Config struct {
	Settings    rules.Settings
	Seed        uint64
	ResultBytes int // memory for kept results
	Health      func(good bool)
	Load        func(Load)                               // told with each timer, nil = nobody wants to know
	LoadReport  func(shedding.LoadReport, shedding.View) // the same, where the module thinks of the fleet
	Calls       Calls                                    // what lies below, nil = nothing
	ResultCache ResultCache                              // what outlives the node, nil = nothing
	Recovery    Recovery                                 // the way back to full service, nil = it is not looked at
	Log         *slog.Logger
}

// decisions is what the loop needs of the module.
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
	ModuleResets atomic.Int64 // times that the module failed and was made anew
	KeyConflicts atomic.Int64 // requests under a key that stood for another one

	cfg        Config
	front      Front
	pool       Pool
	clock      func() time.Duration // monotonic; what came before this process lies below zero
	unixMillis func() float64       // milliseconds

	mu     sync.Mutex
	events []event
	gauges []float64
	wake   chan struct{}

	// The rest belongs to the loop.
	module        decisionModule
	isPoolUp      bool
	poolUpSince   time.Duration
	now           time.Duration
	nextID        rules.RequestID
	lastCall      uint64 // made below so far
	requests      map[rules.RequestID]*openRequest
	byExchange    map[*exchange.Exchange]*openRequest
	byTxn         map[string]struct{}
	timers        []timer // by time
	gaugesPolled  bool    // the gauges were asked for the first timer
	records       recordTable
	followUps     []event // made by the loop itself, for its next batch
	restored      []*restoredRequest
	restoredByRun map[string]*restoredRequest // of them, those whose run may still end
	draining      bool
	drainSince    time.Duration // to leave
	drainTime     time.Duration // until the stop, from then

	loadShare, speed, feedback float64 // comeback: what is asked for, the speed reached, the free value before that
}

// New returns a node; Attach gives it its two sides and Run runs it.
func New(cfg Config) *Node {
	began := time.Now()
	return &Node{
		cfg: cfg, wake: make(chan struct{}, 1),
		clock:      func() time.Duration { return time.Since(began) },
		unixMillis: func() float64 { return float64(time.Now().UnixMicro()) / 1000 },
		requests:   map[rules.RequestID]*openRequest{}, byExchange: map[*exchange.Exchange]*openRequest{},
		byTxn: map[string]struct{}{}, records: newRecordTable(cfg.ResultBytes),
	}
}

// Attach sets the two sides; it must be called before Run.
func (n *Node) Attach(f Front, p Pool) { n.front, n.pool = f, p }
