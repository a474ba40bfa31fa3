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

// Told takes the fleet's digest of one of the services, as of the moment since.
func (n *Node) ReceiveDigest(since time.Time, src int, d shedding.Digest) {
	n.post(event{kind: digestReceived, digest: &d, service: src, took: time.Since(since)})
}

// kind is the kind of an event.
type eventKind uint8

const (
	requestArrived eventKind = iota
	callerGone
	runEnded
	workerPoolUp
	drainNotice
	callNeeded            // a run stands at a call below
	callEnded             // a call below is over
	intentHandled         // the intent of a run is durable, or could not be written
	unknownRunEnded       // a run ended that this life did not ask for
	inspectionAsked       // somebody wants to see the pools, or how the fleet is thought of
	digestReceived        // the fleet's digest came
	previousObserved      // what a control service heard of earlier lives came
	fleetCapacityReceived // the fleet's room came
)

type event struct {
	kind        eventKind
	x           *exchange.Exchange
	outcome     pool.Outcome
	took        time.Duration
	body        []byte
	cold        bool
	recorded    bool              // finished: the memory was told
	stored      bool              // finished: the memory has the result
	answered    bool              // finished: the answer is out
	err         error             // intended
	runID       string            // stray
	poolViews   chan []pools.View // inspect
	callOutcome rules.Outcome     // called
	callNumber  uint64            // called: which one

	sheddingView  chan shedding.View      // inspect
	digest        *shedding.Digest        // told, took ago
	service       int                     // told, by which service
	previous      *recovery.PreviousStore // lives, nil = of none
	capacityShare float64                 // roomed, took ago
}

func (n *Node) post(e event) {
	n.mu.Lock()
	n.events = append(n.events, e)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Arrived takes a request that was read.
func (n *Node) Arrived(x *exchange.Exchange) { n.post(event{kind: requestArrived, x: x}) }

// Gone takes the word that nobody waits for a request.
func (n *Node) CallerGone(x *exchange.Exchange) { n.post(event{kind: callerGone, x: x}) }

// Finished takes the end of a run.
func (n *Node) RunEnded(x *exchange.Exchange, end pool.Outcome, took time.Duration, result []byte) {
	n.post(event{kind: runEnded, x: x, outcome: end, took: took, body: result})
}

// Bound takes the word that the worker pool is up.
func (n *Node) WorkerPoolUp(cold bool, since time.Duration) {
	n.post(event{kind: workerPoolUp, cold: cold, took: since})
}

// Polled takes the gauges; the next timer brings them to the module.
func (n *Node) GaugesRead(values []float64) {
	n.mu.Lock()
	n.gauges = values
	n.mu.Unlock()
}

// Blocked takes the word that a run stands at a call below.
func (n *Node) CallNeeded(x *exchange.Exchange, statement []byte) {
	n.post(event{kind: callNeeded, x: x, body: statement})
}

// Drain gives the notice to leave: the process stops after left.
func (n *Node) Drain(left time.Duration) { n.post(event{kind: drainNotice, took: left}) }

// feed hands one event to the module.
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
			n.draining, n.drainSince, n.drainTime = true, n.now, e.took
		}
		n.notifyDrain()
	case callNeeded:
		if req := n.byExchange[e.x]; req != nil && req.running {
			req.statement = e.body
			n.module.CallNeeded(n.now, req.id)
		}
	case callEnded:
		n.handleCallEnd(e)
	case intentHandled:
		n.handleIntent(e)
	case unknownRunEnded:
		n.handleUnknownRun(e)
	case inspectionAsked:
		n.answerInspection(e)
	case digestReceived:
		if t := n.shedder(); t != nil {
			t.ReceiveDigestFrom(n.now, n.now-e.took, e.service, *e.digest)
		}
	case fleetCapacityReceived:
		if n.cfg.Recovery != nil {
			n.cfg.Recovery.FleetCapacity(n.now-e.took, e.capacityShare)
		}
	case previousObserved:
		if n.cfg.Recovery != nil {
			n.cfg.Recovery.ObservePrevious(n.now, e.previous)
		}
	}
}

// drain tells the module of the notice, if there was one, as of when it came: a
// module made anew must not begin a grace of its own.
func (n *Node) notifyDrain() {
	if n.draining {
		n.module.Drain(n.drainSince, n.drainTime)
	}
}

// bind makes the module anew when the worker pool comes up for the first time,
// since only then is known how long it has been warming. Nothing can have run
// before; what came too early is read again.
func (n *Node) handleWorkerPoolUp(e event) {
	if n.isPoolUp {
		return
	}
	n.isPoolUp = true
	waiting := n.inArrivalOrder()
	up := min(e.took, n.cfg.Settings.WarmUpTime+n.cfg.Settings.OverloadWindow) // longer ago makes no difference
	if err := n.buildModule(n.now-up, e.cold); err != nil {
		panic(err) // it was made before from the same settings
	}
	n.warmStartModule(e)
	n.notifyDrain()
	n.records = newRecordTable(n.cfg.ResultBytes)
	n.linkRestored(n.now - e.took)
	for _, req := range waiting {
		n.release(req)
		if req.x.FinalState() == exchange.Open {
			n.handleArrival(req.x)
		}
	}
}
