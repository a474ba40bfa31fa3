package node

import (
	"time"

	"robinmast/decide/resultcache"
	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	cache "robinmast/internal/resultcache"
	"robinmast/rules"
)

// ResultCache stores idempotency records and results that outlive the node's process.
// Its methods must not block; callbacks come from any goroutine, or from within the call.
type ResultCache interface {
	// Restore returns the records of previous incarnations; it is called once, before
	// anything else.
	Restore(now time.Duration) ([]cache.RestoredRecord, error)
	// ShouldRecord reports whether a request is recorded, and whether its run must wait until
	// its intent is durable.
	ShouldRecord(x *exchange.Exchange) (record, intent bool)
	// StoreIntent writes that the request is about to run; done is called once that is
	// durable, or with the error.
	StoreIntent(now time.Duration, run cache.Run, done func(error))
	// RunsUnrecorded reports whether a run whose intent failed with err starts all the same.
	RunsUnrecorded(err error) bool
	// RunEnded stores how a run ended; done, which may be nil, receives whether the result
	// is stored.
	RunEnded(now time.Duration, run cache.Run, succeeded bool, body []byte, done func(stored bool))
	// Withdraw removes the intent of a run that never started.
	Withdraw(x *exchange.Exchange)
	// LateRunEnded stores how a run of a previous incarnation ended.
	LateRunEnded(now time.Duration, r cache.RestoredRecord, succeeded bool, body []byte)
	// DecideRepeat decides how repeats of a restored request are treated.
	DecideRepeat(r cache.RestoredRecord, poolUpSince time.Duration) resultcache.RepeatAction
	// CountRepeat counts a repeat of a restored request, answered with a result or failed.
	CountRepeat(served bool)
	// Fetch reads the stored result of a run.
	Fetch(key, run string, done func(body []byte, err error))
	// Flush is called at the end of each batch, to write what it collected.
	Flush(now time.Duration)
	// Close writes what is left and closes the store.
	Close(now time.Duration) error
}

// States of openRequest.intentGate. The store's callback, which starts the run, and the
// loop, which may stop it, race to move it out of gateWaiting; the first one decides.
const (
	noGate      uint32 = iota // the run does not wait for an intent
	gateWaiting               // it waits until its intent is durable
	gateOpen                  // the callback started it
	gateStopped               // the loop stopped it before it started
)

// restoredRequest is a request of a previous incarnation, from its stored record.
type restoredRequest struct {
	cache.RestoredRecord
	id     rules.RequestID // its name in the module
	record *record         // in the record table, nil = none
}

// restore loads the records of previous incarnations.
func (n *Node) restore() error {
	if n.cfg.ResultCache == nil {
		return nil
	}
	list, err := n.cfg.ResultCache.Restore(n.now)
	if err != nil {
		return err
	}
	n.restoredByRun = map[string]*restoredRequest{}
	for _, r := range list {
		n.nextID++
		restored := &restoredRequest{RestoredRecord: r, id: n.nextID}
		n.restored = append(n.restored, restored)
		if r.Record.Kind == resultcache.Intent {
			n.restoredByRun[r.Record.Run] = restored
		}
	}
	// Until the worker pool reports its start, it may have outlived the previous incarnation.
	n.linkRestored(-maxClockSpan)
	return nil
}

// linkRestored puts the records of previous incarnations into the table; poolUpSince is
// when the worker pool came up.
func (n *Node) linkRestored(poolUpSince time.Duration) {
	for _, r := range n.restored {
		if n.now > r.Expires+lateReadGrace || r.record != nil && r.record.ended {
			if r.record != nil { // the end of its run was received meanwhile
				n.records.byKey[r.record.key] = r.record
			}
			continue
		}
		rec := &record{key: "u" + r.Key, bodyHash: r.Record.BodyHash, holder: r.id, expires: r.Expires,
			storeKey: r.Key, storeRun: r.Record.Run}
		if r.Record.Effect == rules.Safe {
			rec.key = "i" + r.Key
		}
		switch n.cfg.ResultCache.DecideRepeat(r.RestoredRecord, poolUpSince) {
		case resultcache.RunAgain:
			continue
		case resultcache.WaitForRun:
			if n.isPoolUp && r.Class >= 0 {
				rec.waitUntil = n.now + resultcache.InFlightTimeout(n.meanRunTime(r.Class), n.cfg.Settings.Classes[r.Class].Deadline)
			}
		case resultcache.AnswerEarlier:
			rec.ended, rec.succeeded, rec.stored = true, true, true
		case resultcache.FailRepeat:
			rec.ended, rec.failRepeats = true, true
		}
		r.record = rec
		n.records.byKey[rec.key] = rec
	}
}

// meanRunTime returns the mean run time of a class, 0 if nothing was learned.
func (n *Node) meanRunTime(class int) time.Duration {
	l := n.learned()
	if class < 0 || class >= len(l.Classes) {
		return 0
	}
	return time.Duration(l.Classes[class].MeanLatency * float64(time.Second))
}

// failOverdueRepeats fails the repeats of previous incarnations' runs whose end did not
// come in time: whether these runs started cannot be known.
func (n *Node) failOverdueRepeats() {
	overdue := 0
	for _, r := range n.restoredByRun {
		if r.record == nil || r.record.ended || r.record.waitUntil == 0 || n.now < r.record.waitUntil {
			continue
		}
		r.record.failRepeats, r.record.waitUntil = true, 0
		overdue++
		for _, w := range n.records.endRun(r.record, false, nil, n.now, 0) {
			n.cfg.ResultCache.CountRepeat(false)
			n.endJoined(w, false, nil)
		}
	}
	if overdue > 0 {
		n.cfg.Log.Warn("runs of a previous incarnation did not end in time: their repeats fail, "+
			"since it is unknown whether they started", "runs", overdue)
	}
}

// startRun starts a run, once its intent is durable if it needs one. The store's
// callback starts it directly, without waiting for the loop's next batch.
func (n *Node) startRun(req *openRequest) {
	if n.cfg.ResultCache != nil {
		if _, intent := n.cfg.ResultCache.ShouldRecord(req.x); intent {
			req.intentGate.Store(gateWaiting)
			n.cfg.ResultCache.StoreIntent(n.now, n.cacheRun(req), func(err error) {
				if err == nil && req.intentGate.CompareAndSwap(gateWaiting, gateOpen) {
					n.pool.StartRun(req.x)
					return
				}
				n.post(event{kind: intentCompleted, x: req.x, err: err})
			})
			return
		}
	}
	n.pool.StartRun(req.x)
}

// stopRun stops a run, or keeps one that waits for its intent from starting.
func (n *Node) stopRun(req *openRequest) {
	if req.intentGate.CompareAndSwap(gateWaiting, gateStopped) {
		return
	}
	n.pool.StopRun(req.x)
}

// cacheRun describes the run of a request to the result cache.
func (n *Node) cacheRun(req *openRequest) cache.Run {
	return cache.Run{Exchange: req.x, Started: req.startedAt, Expires: n.recordExpiry(req)}
}

// recordExpiry returns until when repeats of the request may arrive.
func (n *Node) recordExpiry(req *openRequest) time.Duration {
	if req.record != nil {
		return req.record.expires
	}
	return n.now + n.cfg.Settings.Classes[req.x.Class].Deadline
}

// handleIntent handles an intent after whose write the run was not started, because it was stopped or the write
// failed. Nothing ran, so the request may be tried again.
func (n *Node) handleIntent(e event) {
	req := n.byExchange[e.x]
	if req == nil {
		return
	}
	stopped := req.intentGate.Swap(noGate) == gateStopped
	if !stopped && e.err != nil && n.cfg.ResultCache.RunsUnrecorded(e.err) {
		n.pool.StartRun(req.x)
		return
	}
	if stopped {
		n.cfg.ResultCache.Withdraw(req.x)
	}
	if req.record != nil {
		n.records.remove(req.record)
	}
	n.handleRunEnd(event{x: req.x, outcome: pool.NeverStarted, recorded: true})
}

// storeOutcome stores how a run ended. It reports whether the answer waits for that: if
// so, the callback answers and posts the event again for handleRunEnd.
func (n *Node) storeOutcome(req *openRequest, e event) bool {
	if n.cfg.ResultCache == nil {
		return false
	}
	record, _ := n.cfg.ResultCache.ShouldRecord(req.x)
	if !record {
		return false
	}
	// A cancelled run had started: only a safe one may run again.
	hasRun := e.outcome == pool.Error || e.outcome == pool.Cancelled && !req.x.Safe
	switch {
	case e.outcome == pool.Complete:
		n.cfg.ResultCache.RunEnded(n.now, n.cacheRun(req), true, e.body, func(hasResult bool) {
			followUp := e
			followUp.recorded, followUp.stored, followUp.answered = true, hasResult, true
			e.x.Answer(exchange.Answer{Kind: exchange.Served, Body: e.body})
			n.post(followUp)
		})
		return true
	case hasRun:
		n.cfg.ResultCache.RunEnded(n.now, n.cacheRun(req), false, nil, nil)
	default:
		n.cfg.ResultCache.Withdraw(req.x)
	}
	return false
}

// handleUnknownRun handles the end of a previous incarnation's run, from a worker pool
// that outlived it: waiting requests and later repeats get its result.
func (n *Node) handleUnknownRun(e event) {
	r := n.restoredByRun[e.runID]
	if r == nil || r.record == nil || r.record.ended && r.record.succeeded {
		return
	}
	delete(n.restoredByRun, e.runID)
	succeeded := e.outcome == pool.Complete
	n.cfg.ResultCache.LateRunEnded(n.now, r.RestoredRecord, succeeded, e.body)
	r.record.failRepeats = !succeeded
	for _, w := range n.records.endRun(r.record, succeeded, e.body, n.now, 0) {
		n.cfg.ResultCache.CountRepeat(succeeded)
		n.endJoined(w, succeeded, e.body)
	}
}

// UnknownRunEnded delivers the end of a run that this incarnation did not start. It waits
// while too much input waits for the loop: only the reader of the pool link may call it.
func (n *Node) UnknownRunEnded(run string, outcome pool.Outcome, result []byte) {
	if n.cfg.ResultCache == nil {
		return // no request of a previous incarnation is known
	}
	charged := n.intake.admit(eventOverheadBytes + len(run) + len(result))
	n.post(event{kind: unknownRunEnded, runID: run, outcome: outcome, body: result, charged: charged})
}

// fetchResult serves a request from a result that is only on the disk.
func (n *Node) fetchResult(req *openRequest, rec *record) {
	x := req.x
	n.cfg.ResultCache.Fetch(rec.storeKey, rec.storeRun, func(body []byte, err error) {
		outcome := pool.Complete
		if err != nil {
			outcome = pool.Error
		}
		n.cfg.ResultCache.CountRepeat(err == nil)
		n.post(event{kind: runEnded, x: x, outcome: outcome, duration: n.cfg.Settings.BatchInterval, body: body})
	})
}

// countFailedRepeat counts a repeat of a previous incarnation's request that fails at once.
func (n *Node) countFailedRepeat(rec *record, succeeded bool) {
	if rec.failRepeats && !succeeded {
		n.cfg.ResultCache.CountRepeat(false)
	}
}
