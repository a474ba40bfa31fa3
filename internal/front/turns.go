package front

import (
	"sync"
	"sync/atomic"
	"time"

	"robinmast/decide/fairqueue"
)

// Costs of handling input, in bytes: what is charged beside the bytes of the messages themselves.
const (
	messageCost = 2 << 10         // of a message: its answer, its events and the steps that each message takes
	readCost    = 1 << 10         // of a turn in which no message became whole
	maxTurnCost = 8 * messageCost // after which a reader asks for another turn
)

// What may be handled between two batches of the sink, in bytes of cost.
const (
	// connBudget is that of each connection's reader, which may exceed it by one turn: messagesPerBatch in all.
	connBudget = messagesPerBatch*messageCost - maxTurnCost
	// batchBudget is that of all readers together, for each turn that is held at a time: one alone leaves room for others.
	batchBudget = 2 * messagesPerBatch * messageCost
)

// readTurns lets the readers of few connections at a time handle what they have read, within a budget for each batch of
// the sink, and those first that had the least to handle of late. Without it all readers with input run beside the sink,
// so that each step of a request waits for as many others as there are clients that send without pause.
type readTurns struct {
	waits        atomic.Int64  // turns that were not granted at once
	currentBatch func() uint64 // of the sink
	requestBatch func()        // asks the sink for a batch
	started      time.Time

	mu    sync.Mutex
	batch uint64 // for which the budgets were renewed last
	queue *fairqueue.Queue
}

// newReadTurns returns turns of which up to atOnce are held at a time, at least one.
func newReadTurns(atOnce int, sink Sink) *readTurns {
	atOnce = max(atOnce, 1)
	return &readTurns{
		currentBatch: sink.Batch, requestBatch: sink.RequestBatch, started: time.Now(),
		queue: fairqueue.New(fairqueue.Bounds{
			Slots: atOnce, Budget: float64(atOnce * batchBudget), FlowBudget: connBudget,
		}),
	}
}

// now is the time of the queue.
func (t *readTurns) now() time.Duration { return time.Since(t.started) }

// newTurn returns the turn of one connection.
func (t *readTurns) newTurn() *readTurn {
	turn := &readTurn{turns: t, granted: make(chan struct{}, 1)}
	turn.flow.Owner = turn
	return turn
}

// renew renews the budgets after a batch and reports whether readers still wait.
func (t *readTurns) renew() (waiting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewOnce()
	return t.queue.Waiting() > 0
}

// renewOnce renews the budgets if that was not done yet since the last batch; t.mu must be held.
func (t *readTurns) renewOnce() {
	if batch := t.currentBatch(); batch != t.batch {
		t.batch = batch
		grant(t.queue.Renew(t.now()))
	}
}

// unlimit lifts the bounds, once no further batch comes.
func (t *readTurns) unlimit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	grant(t.queue.Unlimit(t.now()))
}

// grant lets readers that wait go on. It never blocks, as each has room for its grant.
func grant(flows []*fairqueue.Flow) {
	for _, f := range flows {
		f.Owner.(*readTurn).granted <- struct{}{}
	}
}

// readTurn is the turn of a connection's reader, a stream.Turn. Only the reader uses it, but for cancel.
type readTurn struct {
	turns   *readTurns
	granted chan struct{} // receives a value when a reader that waits is to go on

	flow      fairqueue.Flow // guarded by turns.mu
	cancelled bool           // guarded by turns.mu: no further turn is needed
	withdrawn bool           // the reader that waits goes on without a turn; set before granted receives its value

	held bool
	cost int // of the present turn so far
}

// requestResult is what became of a request for a turn.
type requestResult uint8

const (
	turnGranted   requestResult = iota // it may be used at once
	turnQueued                         // it is to be waited for
	turnCancelled                      // the connection is closed
)

// Acquire waits until the turn is granted, or the connection closed. It does nothing if it is held.
func (t *readTurn) Acquire() {
	if t.held {
		return
	}
	switch t.request() {
	case turnCancelled:
		return
	case turnQueued:
		t.turns.waits.Add(1)
		t.turns.requestBatch()
		<-t.granted
		if t.withdrawn {
			return
		}
	}
	t.held, t.cost = true, 0
}

// request asks for the turn.
func (t *readTurn) request() requestResult {
	t.turns.mu.Lock()
	defer t.turns.mu.Unlock()
	if t.cancelled {
		return turnCancelled
	}
	t.turns.renewOnce()
	if t.turns.queue.Request(t.turns.now(), &t.flow) {
		return turnGranted
	}
	return turnQueued
}

// cancel lets the reader go on without a turn, if it waits and from now on: its connection is closed, and what it has read
// is for nobody. Any goroutine may call it.
func (t *readTurn) cancel() {
	t.turns.mu.Lock()
	defer t.turns.mu.Unlock()
	t.cancelled = true
	if t.turns.queue.Withdraw(&t.flow) {
		t.withdrawn = true
		t.granted <- struct{}{}
	}
}

// charge adds the cost of a message to the turn. If the turn has cost enough it asks for another one before, unless the
// message must not wait, and reports that it may have waited.
func (t *readTurn) charge(cost int, mustNotWait bool) (waited bool) {
	if t.cost >= maxTurnCost && !mustNotWait {
		t.Release()
		t.Acquire()
		waited = true
	}
	t.cost += cost
	return waited
}

// Held reports whether the turn is held.
func (t *readTurn) Held() bool { return t.held }

// Release ends the turn. It does nothing if it is not held.
func (t *readTurn) Release() {
	if !t.held {
		return
	}
	t.held = false
	t.turns.mu.Lock()
	defer t.turns.mu.Unlock()
	if next := t.turns.queue.Done(t.turns.now(), &t.flow, float64(max(t.cost, readCost))); next != nil {
		grant([]*fairqueue.Flow{next})
	}
}
