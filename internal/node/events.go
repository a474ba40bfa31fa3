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
	n.post(event{kind: told, digest: &d, src: src, took: time.Since(since)})
}

// kind is the kind of an event.
type kind uint8

const (
	arrived kind = iota
	gone
	finished
	bound
	drain
	blocked  // a run stands at a call below
	called   // a call below is over
	intended // the intent of a run is durable, or could not be written
	stray    // a run ended that this life did not ask for
	inspect  // somebody wants to see the pools, or how the fleet is thought of
	told     // the fleet's digest came
	lives    // what a control service heard of earlier lives came
	roomed   // the fleet's room came
)

type event struct {
	kind kind
	x    *exchange.Exchange
	end  pool.Outcome
	took time.Duration
	body []byte
	cold bool
	kept bool              // finished: the memory was told
	has  bool              // finished: the memory has the result
	told bool              // finished: the answer is out
	err  error             // intended
	run  string            // stray
	show chan []pools.View // inspect
	out  rules.Outcome     // called
	call uint64            // called: which one

	seen   chan shedding.View      // inspect
	digest *shedding.Digest        // told, took ago
	src    int                     // told, by which service
	life   *recovery.PreviousStore // lives, nil = of none
	share  float64                 // roomed, took ago
}

func (n *Node) post(e event) {
	n.mu.Lock()
	n.queue = append(n.queue, e)
	n.mu.Unlock()
	select {
	case n.poke <- struct{}{}:
	default:
	}
}

// Arrived takes a request that was read.
func (n *Node) Arrived(x *exchange.Exchange) { n.post(event{kind: arrived, x: x}) }

// Gone takes the word that nobody waits for a request.
func (n *Node) CallerGone(x *exchange.Exchange) { n.post(event{kind: gone, x: x}) }

// Finished takes the end of a run.
func (n *Node) RunEnded(x *exchange.Exchange, end pool.Outcome, took time.Duration, result []byte) {
	n.post(event{kind: finished, x: x, end: end, took: took, body: result})
}

// Bound takes the word that the worker pool is up.
func (n *Node) WorkerPoolUp(cold bool, since time.Duration) {
	n.post(event{kind: bound, cold: cold, took: since})
}

// Polled takes the gauges; the next timer brings them to the module.
func (n *Node) GaugesRead(values []float64) {
	n.mu.Lock()
	n.gauges = values
	n.mu.Unlock()
}

// Blocked takes the word that a run stands at a call below.
func (n *Node) CallNeeded(x *exchange.Exchange, statement []byte) {
	n.post(event{kind: blocked, x: x, body: statement})
}

// Drain gives the notice to leave: the process stops after left.
func (n *Node) Drain(left time.Duration) { n.post(event{kind: drain, took: left}) }

// feed hands one event to the module.
func (n *Node) feed(e event) {
	switch e.kind {
	case arrived:
		n.arrive(e.x)
	case gone:
		if it := n.byX[e.x]; it != nil {
			n.module.CallerGone(n.now, it.id)
			n.leave(it)
		}
	case finished:
		n.finish(e)
	case bound:
		n.bind(e)
	case drain:
		if !n.leaving {
			n.leaving, n.notice, n.left = true, n.now, e.took
		}
		n.drain()
	case blocked:
		if it := n.byX[e.x]; it != nil && it.running {
			it.statement = e.body
			n.module.CallNeeded(n.now, it.id)
		}
	case called:
		n.called(e)
	case intended:
		n.intended(e)
	case stray:
		n.stray(e)
	case inspect:
		n.inspect(e)
	case told:
		if t := n.together(); t != nil {
			t.ReceiveDigestFrom(n.now, n.now-e.took, e.src, *e.digest)
		}
	case roomed:
		if n.cfg.Recovery != nil {
			n.cfg.Recovery.FleetCapacity(n.now-e.took, e.share)
		}
	case lives:
		if n.cfg.Recovery != nil {
			n.cfg.Recovery.ObservePrevious(n.now, e.life)
		}
	}
}

// drain tells the module of the notice, if there was one, as of when it came: a
// module made anew must not begin a grace of its own.
func (n *Node) drain() {
	if n.leaving {
		n.module.Drain(n.notice, n.left)
	}
}

// bind makes the module anew when the worker pool comes up for the first time,
// since only then is known how long it has been warming. Nothing can have run
// before; what came too early is read again.
func (n *Node) bind(e event) {
	if n.isBound {
		return
	}
	n.isBound = true
	waiting := n.ordered()
	up := min(e.took, n.cfg.Settings.WarmUpTime+n.cfg.Settings.OverloadWindow) // longer ago makes no difference
	if err := n.build(n.now-up, e.cold); err != nil {
		panic(err) // it was made before from the same settings
	}
	n.bindLife(e)
	n.drain()
	n.table = newTable(n.cfg.ResultBytes)
	n.relink(n.now - e.took)
	for _, it := range waiting {
		n.forget(it)
		if it.x.FinalState() == exchange.Open {
			n.arrive(it.x)
		}
	}
}
