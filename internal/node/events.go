package node

import (
	"time"

	"robinmast/decide/pools"
	"robinmast/decide/recovery"
	"robinmast/decide/shedding"
	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// ReceiveDigest delivers the fleet digest of control service src. since is when the
// report that it answers was made.
func (n *Node) ReceiveDigest(since time.Time, src int, d shedding.Digest) {
	n.post(event{kind: digestReceived, digest: &d, service: src, duration: time.Since(since)})
}

// eventKind is the kind of an event.
type eventKind uint8

const (
	requestArrived eventKind = iota
	callerGone
	runEnded
	workerPoolUp
	drainNotice
	callNeeded            // a run waits for a downstream call
	callEnded             // a downstream call ended
	intentCompleted       // the intent was written or failed, and its run was not started
	unknownRunEnded       // a run ended that this incarnation did not start
	viewRequested         // a view of the pools or of the load shedding is requested
	digestReceived        // a fleet digest
	previousObserved      // what a control service observed of previous incarnations
	fleetCapacityReceived // the fleet's present capacity
)

// event is one input of the loop. A field whose comment names a kind is set for that kind only.
type event struct {
	kind        eventKind
	x           *exchange.Exchange // the request, if the event is about one
	outcome     pool.Outcome       // runEnded, unknownRunEnded
	duration    time.Duration      // how long the run or the call took, or how long ago the event happened
	body        []byte             // result of the run or the call; callNeeded: the statement
	charged     int64              // bytes of the intake to release once the event was handled
	cold        bool               // workerPoolUp: it started cold
	recorded    bool               // runEnded: the result cache needs no further call
	stored      bool               // runEnded: the result cache holds the result
	answered    bool               // runEnded: the answer was sent
	err         error              // intentCompleted
	runID       string             // unknownRunEnded
	poolViews   chan []pools.View  // viewRequested
	callOutcome rules.Outcome      // callEnded
	callNumber  uint64             // callEnded: number of the call

	sheddingView  chan shedding.View      // viewRequested
	digest        *shedding.Digest        // digestReceived
	service       int                     // digestReceived: number of the control service
	previous      *recovery.PreviousStore // previousObserved, nil = no previous incarnation
	capacityShare float64                 // fleetCapacityReceived
}

// post queues an event for the loop's next batch.
func (n *Node) post(e event) {
	n.mu.Lock()
	n.events = append(n.events, e)
	n.mu.Unlock()
	n.wakeLoop()
}

// wakeLoop makes the loop run its next batch as soon as the batch interval allows.
func (n *Node) wakeLoop() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Batch returns the number of the last batch that was handled.
func (n *Node) Batch() uint64 { return n.batch.Load() }

// RequestBatch makes the loop handle a batch soon, also if there is no event.
func (n *Node) RequestBatch() { n.wakeLoop() }

// noteBatch counts a batch as handled and lets the next readers go on.
func (n *Node) noteBatch() {
	n.batch.Add(1)
	if n.front.BatchHandled() {
		n.wakeLoop()
	}
}

// stopIntake lets all readers go on that wait for the loop, since it has ended.
func (n *Node) stopIntake() {
	n.intake.close()
	n.front.BatchesEnded()
}

// Arrived delivers a request that was read. It waits while too much input waits for the
// loop, so that only the reader of a connection may call it.
func (n *Node) Arrived(x *exchange.Exchange) {
	n.post(event{kind: requestArrived, x: x, charged: n.intake.admit(arrivalSize(x))})
}

// HasRoom reports whether Arrived would take a request without waiting for the loop.
func (n *Node) HasRoom(x *exchange.Exchange) bool { return n.intake.hasRoom(arrivalSize(x)) }

// arrivalSize returns the bytes that a request takes while it waits for the loop.
func arrivalSize(x *exchange.Exchange) int {
	return eventOverheadBytes + len(x.Body) + len(x.Unique) + len(x.Item)
}

// CallerGone notifies the node that nobody waits for a request any more.
func (n *Node) CallerGone(x *exchange.Exchange) { n.post(event{kind: callerGone, x: x}) }

// RunEnded delivers the end of a run; result is set if it is complete.
func (n *Node) RunEnded(x *exchange.Exchange, outcome pool.Outcome, took time.Duration, result []byte) {
	n.post(event{kind: runEnded, x: x, outcome: outcome, duration: took, body: result})
}

// WorkerPoolUp notifies the node that the worker pool has been up for since, and
// whether it started cold.
func (n *Node) WorkerPoolUp(cold bool, since time.Duration) {
	n.post(event{kind: workerPoolUp, cold: cold, duration: since})
}

// GaugesRead delivers the worker pool's gauges; the next timer passes them to the module.
func (n *Node) GaugesRead(values []float64) {
	n.mu.Lock()
	n.gauges = values
	n.mu.Unlock()
}

// CallNeeded notifies the node that a run waits for a downstream call with this statement.
func (n *Node) CallNeeded(x *exchange.Exchange, statement []byte) {
	n.post(event{kind: callNeeded, x: x, body: statement})
}

// Drain gives the drain notice: the process stops after left. Later notices have no effect.
func (n *Node) Drain(left time.Duration) { n.post(event{kind: drainNotice, duration: left}) }

// handleEvent applies one event.
func (n *Node) handleEvent(e event) {
	switch e.kind {
	case requestArrived:
		n.handleArrival(e.x)
	case callerGone:
		if req := n.byExchange[e.x]; req != nil {
			n.module.CallerGone(n.now, req.id)
			n.releaseIfDone(req)
		}
	case runEnded:
		n.handleRunEnd(e)
	case workerPoolUp:
		n.handleWorkerPoolUp(e)
	case drainNotice:
		if !n.draining {
			n.draining, n.drainSince, n.drainTime = true, n.now, e.duration
		}
		n.notifyDrain()
	case callNeeded:
		if req := n.byExchange[e.x]; req != nil && req.running {
			req.statement = e.body
			n.module.CallNeeded(n.now, req.id)
		}
	case callEnded:
		n.handleCallEnd(e)
	case intentCompleted:
		n.handleIntent(e)
	case unknownRunEnded:
		n.handleUnknownRun(e)
	case viewRequested:
		n.sendView(e)
	case digestReceived:
		if s := n.shedder(); s != nil {
			s.ReceiveDigestFrom(n.now, n.now-e.duration, e.service, *e.digest)
		}
	case fleetCapacityReceived:
		if n.cfg.Recovery != nil {
			n.cfg.Recovery.FleetCapacity(n.now-e.duration, e.capacityShare)
		}
	case previousObserved:
		if n.cfg.Recovery != nil {
			n.cfg.Recovery.ObservePrevious(n.now, e.previous)
		}
	}
}

// notifyDrain passes the drain notice to the module, if there was one, as of when it
// came: a replaced module must not start a grace of its own.
func (n *Node) notifyDrain() {
	if n.draining {
		n.module.Drain(n.drainSince, n.drainTime)
	}
}

// handleWorkerPoolUp replaces the module when the worker pool comes up for the first
// time, since only then it is known how long the pool has been warming up. Nothing can
// have run before; requests that arrived earlier are passed to the new module.
func (n *Node) handleWorkerPoolUp(e event) {
	if n.isPoolUp {
		return
	}
	n.isPoolUp = true
	waiting := n.inArrivalOrder()
	// At this age a pool is warm and the overload window is full: an older one makes no difference.
	up := min(e.duration, n.cfg.Settings.WarmUpTime+n.cfg.Settings.OverloadWindow)
	if err := n.buildModule(n.now-up, e.cold); err != nil {
		panic(err) // the same settings were accepted before
	}
	n.warmStartModule(e)
	n.notifyDrain()
	n.records = newRecordTable(n.cfg.ResultBytes)
	n.linkRestored(n.now - e.duration)
	for _, req := range waiting {
		n.release(req)
		if req.x.FinalState() == exchange.Open {
			n.handleArrival(req.x)
		}
	}
}
