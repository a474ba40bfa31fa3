// This file owns the loop's side of what outlives the node: a run that waits for
// its intent, a result that is stored before it goes out, and what repeats of an
// earlier life's requests are told. It must never wait for the disk, and never
// decide what is remembered.

package node

import (
	"time"

	"robinmast/decide/resultcache"
	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	memory "robinmast/internal/resultcache"
	"robinmast/rules"
)

// Memory is what the loop needs of what outlives the node. Callbacks come from
// any goroutine, or at once.
type ResultCache interface {
	// Restore takes over what earlier lives left; it is called once, before all else.
	Restore(now time.Duration) ([]memory.RestoredRecord, error)
	// Wants reports whether a request is remembered, and whether its run must wait for Intend.
	Wants(x *exchange.Exchange) (remember, intent bool)
	StoreIntent(now time.Duration, x *exchange.Exchange, expires time.Duration, done func(error))
	// Refused reports whether a run whose intent could not be written goes on.
	RunsUnrecorded(err error) bool
	RunEnded(now time.Duration, x *exchange.Exchange, expires time.Duration, good bool, body []byte, done func(kept bool))
	Withdraw(x *exchange.Exchange)
	LateRunEnded(now time.Duration, r memory.RestoredRecord, good bool, body []byte)
	DecideRepeat(r memory.RestoredRecord, pool time.Duration) resultcache.RepeatAction
	CountRepeat(good bool)
	Fetch(key string, done func(body []byte, err error))
	// Flush ends a batch.
	Flush(now time.Duration)
	Close(now time.Duration) error
}

// The gate of a run that waits for its intent: whoever moves it from waiting has
// the word, the store that lets it begin or the loop that stops it.
const (
	noGate uint32 = iota
	gateWaiting
	gateOpen
	gateStopped
)

// earlier is an entry of an earlier life of the node.
type restoredRequest struct {
	memory.RestoredRecord
	id     rules.RequestID // stands for the request that made it
	record *record
}

// restore takes over what earlier lives left.
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
		e := &restoredRequest{RestoredRecord: r, id: n.nextID}
		n.restored = append(n.restored, e)
		if r.Record.Kind == resultcache.Intent {
			n.restoredByRun[r.Record.Run] = e
		}
	}
	n.linkRestored(-maxClockSpan) // until the worker pool says since when it is up, it may have outlived us
	return nil
}

// relink puts the entries of earlier lives into the table; pool is when the
// worker pool came up.
func (n *Node) linkRestored(poolUpSince time.Duration) {
	for _, r := range n.restored {
		if n.now > r.Expires+lateReadGrace || r.record != nil && r.record.ended {
			if r.record != nil { // its run's end came meanwhile
				n.records.byKey[r.record.key] = r.record
			}
			continue
		}
		rec := &record{key: "u" + r.Key, holder: r.id, expires: r.Expires, storeKey: r.Key}
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

// usualRun is how long a run of a class usually takes, 0 where nothing is known.
func (n *Node) meanRunTime(class int) time.Duration {
	l := n.learned()
	if class < 0 || class >= len(l.Classes) {
		return 0
	}
	return time.Duration(l.Classes[class].Mean * float64(time.Second))
}

// endWaits fails the repeats of runs of earlier lives whose end was awaited for long
// enough: whether they began can't be known.
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
		n.cfg.Log.Warn("runs of an earlier life were not heard to end: their repeats fail, since nothing tells whether they began", "runs", overdue)
	}
}

// spawn asks for a run, once its intent is durable if it needs one: then it
// begins at once and does not wait for the loop's next batch.
func (n *Node) startRun(req *openRequest) {
	if n.cfg.ResultCache != nil {
		if _, intent := n.cfg.ResultCache.Wants(req.x); intent {
			req.intentGate.Store(gateWaiting)
			n.cfg.ResultCache.StoreIntent(n.now, req.x, n.recordExpiry(req), func(err error) {
				if err == nil && req.intentGate.CompareAndSwap(gateWaiting, gateOpen) {
					n.pool.StartRun(req.x)
					return
				}
				n.post(event{kind: intentHandled, x: req.x, err: err})
			})
			return
		}
	}
	n.pool.StartRun(req.x)
}

// suspend stops a run, or keeps one that waits for its intent from beginning.
func (n *Node) stopRun(req *openRequest) {
	if req.intentGate.CompareAndSwap(gateWaiting, gateStopped) {
		return
	}
	n.pool.StopRun(req.x)
}

// expires is until when a repeat of the request may come.
func (n *Node) recordExpiry(req *openRequest) time.Duration {
	if req.record != nil {
		return req.record.expires
	}
	return n.now + n.cfg.Settings.Classes[req.x.Class].Deadline
}

// intended takes the word of an intent after which the run did not begin. One
// that could not be written fails its request, which may come again: nothing ran.
func (n *Node) handleIntent(e event) {
	req := n.byExchange[e.x]
	if req == nil {
		return
	}
	switch {
	case req.intentGate.Swap(noGate) == gateStopped:
		n.cfg.ResultCache.Withdraw(req.x)
		n.handleRunEnd(event{x: req.x, outcome: pool.Cancelled, recorded: true})
	case e.err != nil && n.cfg.ResultCache.RunsUnrecorded(e.err):
		n.pool.StartRun(req.x)
	default:
		if req.record != nil {
			n.records.remove(req.record)
		}
		n.handleRunEnd(event{x: req.x, outcome: pool.NeverStarted, recorded: true})
	}
}

// store notes how a run ended. It reports whether the answer has to wait for
// that: finish comes again then.
func (n *Node) storeOutcome(req *openRequest, e event) bool {
	if n.cfg.ResultCache == nil {
		return false
	}
	record, _ := n.cfg.ResultCache.Wants(req.x)
	if !record {
		return false
	}
	switch e.outcome {
	case pool.Complete:
		n.cfg.ResultCache.RunEnded(n.now, req.x, n.recordExpiry(req), true, e.body, func(has bool) {
			stored := e
			stored.recorded, stored.stored, stored.answered = true, has, true
			e.x.Answer(exchange.Answer{Kind: exchange.Served, Body: e.body})
			n.post(stored)
		})
		return true
	case pool.Error:
		n.cfg.ResultCache.RunEnded(n.now, req.x, n.recordExpiry(req), false, nil, nil)
	default:
		n.cfg.ResultCache.Withdraw(req.x)
	}
	return false
}

// stray takes the end of a run of an earlier life, from a worker pool that
// outlived it: whoever waits gets its result, and so do later repeats.
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

// Stray takes the end of a run that this life did not ask for.
func (n *Node) UnknownRunEnded(run string, end pool.Outcome, result []byte) {
	n.post(event{kind: unknownRunEnded, runID: run, outcome: end, body: result})
}

// fetch serves a request from a result that is only on the disk.
func (n *Node) fetchResult(req *openRequest, rec *record) {
	x := req.x
	n.cfg.ResultCache.Fetch(rec.storeKey, func(body []byte, err error) {
		end := pool.Complete
		if err != nil {
			end = pool.Error
		}
		n.cfg.ResultCache.CountRepeat(err == nil)
		n.post(event{kind: runEnded, x: x, outcome: end, took: n.cfg.Settings.BatchInterval, body: body})
	})
}

// toldEarlier counts a repeat of an earlier life's request that fails at once.
func (n *Node) countFailedRepeat(rec *record, succeeded bool) {
	if rec.failRepeats && !succeeded {
		n.cfg.ResultCache.CountRepeat(false)
	}
}
