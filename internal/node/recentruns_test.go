package node

import (
	"fmt"
	"testing"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/pool"
)

// withTxn gives a request the name of another one.
func withTxn(txn string) func(*exchange.Request) { return func(c *exchange.Request) { c.Txn = txn } }

// Guards against an unsafe request that runs twice: a client sent it, left, and sent it again on another connection after
// its run had ended, when the node no longer knew its name.
func TestUnsafeRequestThatComesAgainDoesNotRun(t *testing.T) {
	for _, left := range []bool{false, true} {
		r := newRig(t, defaultSettings(), true)
		first := r.send(2, nil)
		if left {
			first.Abandon(exchange.EndedCallerGone)
			r.CallerGone(first)
		}
		r.endRun(first, pool.Complete, "result")
		r.advance(5 * time.Second)
		again := r.send(2, withTxn(first.Txn))
		r.wantAnswer(again, exchange.Failed, "")
		if len(r.started) != 1 || r.RepeatedTxns.Load() != 1 {
			t.Errorf("client left %v: runs %v, %d repeated names", left, r.started, r.RepeatedTxns.Load())
		}
		r.wantEmpty()
	}
}

// What never ran may come again under its name: refused, withdrawn or not started by the worker pool. So may a name
// whose request no caller can still wait for, and the name of a request that may run any number of times.
func TestRequestThatNeverRanMayComeAgain(t *testing.T) {
	r := newRig(t, defaultSettings(), true)
	x := r.send(2, nil)
	r.endRun(x, pool.NeverStarted, "")
	again := r.send(2, withTxn(x.Txn))
	if len(r.started) != 2 {
		t.Fatalf("never started: runs %v", r.started)
	}
	r.endRun(again, pool.Complete, "result")
	r.advance(6*time.Second + lateReadGrace + time.Millisecond)
	r.runBatches()
	r.endRun(r.send(2, withTxn(x.Txn)), pool.Complete, "result")
	if len(r.started) != 3 {
		t.Errorf("after its deadline: runs %v", r.started)
	}
	safe := r.send(0, nil)
	r.endRun(safe, pool.Complete, "result")
	r.send(0, withTxn(safe.Txn))
	if len(r.started) != 5 {
		t.Errorf("safe: runs %v", r.started)
	}
}

// A request that waits for the worker pool to come up is passed to the module twice, and runs once it is up.
func TestRequestBeforeWorkerPoolRuns(t *testing.T) {
	r := newRig(t, defaultSettings(), false)
	x := r.send(2, nil)
	r.WorkerPoolUp(false, time.Hour)
	r.runBatches()
	if len(r.started) != 1 || x.FinalState() != exchange.Open {
		t.Errorf("runs %v, state %v", r.started, x.FinalState())
	}
}

// The names of recent runs take bounded memory, and the newest are kept.
func TestRecentRunsAreBounded(t *testing.T) {
	var recent recentRuns
	name := func(i int) string { return fmt.Sprintf("%016x", i) }
	for i := range 3 * maxRecentRuns {
		recent.add(name(i), time.Hour)
	}
	if len(recent.expires) != maxRecentRuns || len(recent.oldest) != maxRecentRuns ||
		!recent.contains(name(3*maxRecentRuns-1)) || recent.contains(name(0)) {
		t.Errorf("%d names, %d in order", len(recent.expires), len(recent.oldest))
	}
	recent.removeExpired(time.Hour)
	if len(recent.expires) != 0 || recent.oldest != nil {
		t.Errorf("%d names are left", len(recent.expires))
	}
}
