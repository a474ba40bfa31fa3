package front

import (
	"sync"
	"sync/atomic"
	"time"

	"robinmast/decide/fairqueue"
)

// Costs of handling input, in bytes: what is charged beside the bytes of the messages themselves.
const (
	messageCost = 2 << 10 // of a message: its answer, its events and the steps that each message takes
	readCost    = 1 << 10 // of a read from the network that ends no message
)

// What a reader may do with one permit.
const (
	readQuantum       = 8 * messageCost // cost after which it needs another permit for the next message
	maxReadsPerPermit = 16              // reads from the network, however little each of them brings
)

// What may be handled between two batches of the sink, in bytes of cost.
const (
	// connBudget is that of each connection's reader, which may exceed it by one quantum: messagesPerBatch in all.
	connBudget = messagesPerBatch*messageCost - readQuantum
	// batchBudget is that of all readers together, for each permit that is held at a time: one connection alone leaves
	// half of it to others.
	batchBudget = 2 * messagesPerBatch * messageCost
)

// readScheduler grants the readers of connections permits to handle what they have read: few at a time, within a budget
// for each batch of the sink, and first to those with the least use of late. Without it all readers that have input
// compete with the sink's loop for the processor, so that each step of a request waits for as many others as there are
// clients that send without pause.
type readScheduler struct {
	waits        atomic.Int64  // permits that were not granted at once
	currentBatch func() uint64 // of the sink
	requestBatch func()        // asks the sink for a batch
	started      time.Time

	mu    sync.Mutex
	batch uint64 // for which the budgets were renewed last
	queue *fairqueue.Queue
}

// newReadScheduler returns a scheduler that grants up to atOnce permits at a time, at least one.
func newReadScheduler(atOnce int, sink Sink) *readScheduler {
	atOnce = max(atOnce, 1)
	return &readScheduler{
		currentBatch: sink.Batch, requestBatch: sink.RequestBatch, started: time.Now(),
		queue: fairqueue.New(fairqueue.Bounds{
			Slots: atOnce, Budget: float64(atOnce * batchBudget), FlowBudget: connBudget,
		}),
	}
}

// now is the time of the queue.
func (s *readScheduler) now() time.Duration { return time.Since(s.started) }

// newPermit returns the permit of one connection, not granted yet.
func (s *readScheduler) newPermit() *readPermit {
	p := &readPermit{scheduler: s, decided: make(chan struct{}, 1)}
	p.flow.Owner = p
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Join(s.now(), &p.flow)
	return p
}

// renew renews the budgets after a batch and reports whether readers still wait.
func (s *readScheduler) renew() (waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewOnce()
	return s.queue.Waiting() > 0
}

// renewOnce renews the budgets if that was not done yet since the last batch; s.mu must be held.
func (s *readScheduler) renewOnce() {
	if batch := s.currentBatch(); batch != s.batch {
		s.batch = batch
		grant(s.queue.Renew(s.now()))
	}
}

// unlimit lifts the bounds, once no further batch comes.
func (s *readScheduler) unlimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	grant(s.queue.Unlimit(s.now()))
}

// grant grants the permits of readers that wait. It never blocks, since decided has room for each.
func grant(flows []*fairqueue.Flow) {
	for _, f := range flows {
		f.Owner.(*readPermit).decided <- struct{}{}
	}
}

// readPermit is the permit of a connection's reader, a stream.Permit. Only the reader uses it, but for cancel.
type readPermit struct {
	scheduler *readScheduler
	decided   chan struct{} // receives a value when a reader that waits is to continue

	flow      fairqueue.Flow // guarded by scheduler.mu
	cancelled bool           // guarded by scheduler.mu: the connection is closed
	withdrawn bool           // the reader that waits continues without a permit; set before decided receives its value

	held  bool
	cost  int // since it was granted
	reads int // from the network, that before it was granted included
}

// requestResult is the outcome of a request for a permit.
type requestResult uint8

const (
	permitGranted requestResult = iota
	permitQueued
	permitCancelled // the connection is closed
)

// Acquire waits until the permit is granted, or the connection closed. It does nothing if it is held.
func (p *readPermit) Acquire() {
	if p.held {
		return
	}
	switch p.request() {
	case permitCancelled:
		return
	case permitQueued:
		p.scheduler.waits.Add(1)
		p.scheduler.requestBatch()
		<-p.decided
		if p.withdrawn {
			return
		}
	}
	p.held, p.cost, p.reads = true, 0, 1
}

// request asks for the permit.
func (p *readPermit) request() requestResult {
	p.scheduler.mu.Lock()
	defer p.scheduler.mu.Unlock()
	if p.cancelled {
		return permitCancelled
	}
	p.scheduler.renewOnce()
	if p.scheduler.queue.Request(p.scheduler.now(), &p.flow) {
		return permitGranted
	}
	return permitQueued
}

// cancel lets the reader continue without a permit, if it waits and from now on: its connection is closed, and nobody
// waits for answers to what it has read. It is called once, by any goroutine.
func (p *readPermit) cancel() {
	p.scheduler.mu.Lock()
	defer p.scheduler.mu.Unlock()
	p.cancelled = true
	if p.scheduler.queue.Leave(&p.flow) {
		p.withdrawn = true
		p.decided <- struct{}{}
	}
}

// charge adds the cost of a message to the permit.
func (p *readPermit) charge(cost int) { p.cost += cost }

// usedUp reports whether the next message needs another permit.
func (p *readPermit) usedUp() bool { return p.cost >= readQuantum }

// AllowsRead reports whether the permit is held and allows one more read from the network, and counts that read.
func (p *readPermit) AllowsRead() bool {
	if !p.held || p.reads >= maxReadsPerPermit {
		return false
	}
	p.reads++
	return true
}

// Release returns the permit. It does nothing if it is not held.
func (p *readPermit) Release() {
	if !p.held {
		return
	}
	p.held = false
	cost := float64(max(p.cost, p.reads*readCost))
	p.scheduler.mu.Lock()
	defer p.scheduler.mu.Unlock()
	if next := p.scheduler.queue.Done(p.scheduler.now(), &p.flow, cost); next != nil {
		grant([]*fairqueue.Flow{next})
	}
}
