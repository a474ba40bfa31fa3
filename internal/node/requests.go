package node

import (
	"slices"
	"sync/atomic"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// openRequest is a request that has no final answer yet, or whose run is not over.
type openRequest struct {
	id      rules.RequestID // its name in the module
	x       *exchange.Exchange
	running bool    // a run was started and is not over; setRunEnded resets it
	joined  bool    // waits for the result of the earlier request that it repeats
	record  *record // the idempotency record that it holds
	earlier *record // the record of the earlier request that it repeats, nil = none

	waitsFor    *record       // the record whose run it waits for, nil = none
	runsAtStart int           // runs in progress when its run started, this one included
	startedAt   time.Duration // when its run was started last

	statement  []byte // of the downstream call that its run needs
	callNumber uint64 // the number of the call in flight, 0 = none
	cancelCall func() // cancels the call in flight

	intentGate atomic.Uint32 // state of a run that waits for its intent
}

// inArrivalOrder lists the open requests in order of arrival.
func (n *Node) inArrivalOrder() []*openRequest {
	list := make([]*openRequest, 0, len(n.requests))
	for _, req := range n.requests {
		list = append(list, req)
	}
	slices.SortFunc(list, func(a, b *openRequest) int { return int(a.id) - int(b.id) })
	return list
}

// handleArrival passes a request to the module. Its age counts from its arrival at the
// host, by the Unix clock; both clocks are read now.
func (n *Node) handleArrival(x *exchange.Exchange) {
	if x.FinalState() != exchange.Open { // its caller left before this batch
		return
	}
	// The worker pool could not distinguish two open requests of one name, and a run of that name may be over already.
	if _, open := n.byTxn[x.Txn]; open || n.recentRuns.contains(x.Txn) {
		n.RepeatedTxns.Add(1)
		x.Answer(exchange.Answer{Kind: exchange.Failed})
		return
	}
	n.nextID++
	req := &openRequest{id: n.nextID, x: x}
	n.requests[req.id], n.byExchange[x] = req, req
	n.byTxn[x.Txn] = struct{}{}
	q := moduleRequest(x, req.id, n.unixMillis())
	earlier, conflict := n.records.find(x, q, n.now, n.cfg.Settings)
	switch {
	case earlier == nil:
	case conflict:
		if c := n.KeyConflicts.Add(1); c&(c-1) == 0 { // the 1st, 2nd, 4th, 8th ...
			n.cfg.Log.Warn("idempotency key belongs to another request",
				"class", x.ClassName, "caller", x.Caller, "so_far", c)
		}
		x.Answer(exchange.Answer{Kind: exchange.Failed})
		n.release(req)
		return
	default:
		req.earlier, q.RepeatOf = earlier, earlier.holder
	}
	if n.cfg.Recovery != nil && n.checkInDoubt(req, &q) {
		return
	}
	n.module.Arrive(n.now, q)
}

// maxClockSpan bounds the times computed from the clocks of two programs, which may differ by any amount.
const maxClockSpan = time.Hour

// moduleRequest converts a request to the module's form; unix is the Unix time in milliseconds.
func moduleRequest(x *exchange.Exchange, id rules.RequestID, unix float64) rules.Request {
	clamp := func(ms float64, shortest time.Duration) time.Duration {
		return min(max(time.Duration(min(ms, float64(maxClockSpan/time.Millisecond))*float64(time.Millisecond)), shortest), maxClockSpan)
	}
	q := rules.Request{
		ID: id, Rank: x.Rank, WorkHint: clamp(x.HintMs, 0), Tenant: x.Tenant, Caller: x.Caller,
		Age: clamp(max(unix-x.ArrivedUnixMs, 0), 0), MemoryKB: x.MemoryKB, Class: x.Class, Retry: x.Retry, Key: hashKey(x.Item),
	}
	if x.TimeoutMs > 0 { // a deadline already past is passed on too: 0 would mean that none is known
		q.CallerTimeout = min(clamp(max(x.ArrivedUnixMs+x.TimeoutMs-unix, 0), time.Microsecond), clamp(x.TimeoutMs, time.Microsecond))
	}
	return q
}

// handleCallEnd handles the end of a downstream call. The run continues with its result if
// it succeeded; otherwise the module decides.
func (n *Node) handleCallEnd(e event) {
	req := n.byExchange[e.x]
	if req == nil || req.callNumber != e.callNumber { // its run ended meanwhile
		return
	}
	req.callNumber, req.cancelCall = 0, nil
	if e.callOutcome == rules.OK {
		n.pool.ContinueWithResult(req.x, e.body)
	}
	n.module.CallEnded(n.now, req.id, e.callOutcome, e.duration)
}

// cancelOpenCall cancels the request's call in flight, if there is one.
func (req *openRequest) cancelOpenCall() {
	if req.callNumber != 0 {
		req.cancelCall()
		req.callNumber, req.cancelCall = 0, nil
	}
}

// handleRunEnd handles the end of a run, or of the wait for an earlier request's
// result. Results and failures are answered here; a run that was stopped without an
// answer goes back to the module.
func (n *Node) handleRunEnd(e event) {
	req := n.byExchange[e.x]
	if req == nil || !req.running && !req.joined {
		return
	}
	if req.running && !e.recorded && n.storeOutcome(req, e) {
		return // the answer follows once the result is stored
	}
	joined, runsAtEnd := req.joined, n.running
	n.setRunEnded(req)
	req.joined = false
	req.cancelOpenCall()
	if req.record != nil && e.stored {
		req.record.stored, req.record.storeKey, req.record.storeRun = true, req.record.key[1:], req.x.Txn
	}
	switch e.outcome {
	case pool.Complete:
		if !e.answered {
			req.x.Answer(exchange.Answer{Kind: exchange.Served, Body: e.body})
		}
		n.endRecord(req, true, e.body)
		n.module.RunEnded(n.now, req.id, rules.OK, e.duration)
		if !joined {
			n.observeRun(req, e.duration, runsAtEnd)
		}
	case pool.Cancelled:
		n.module.RunEnded(n.now, req.id, rules.Cancelled, e.duration)
		n.releaseIfDone(req)
		return
	default:
		req.x.Answer(exchange.Answer{Kind: exchange.Failed})
		n.endRecord(req, false, nil)
		o := rules.Failed
		if e.outcome == pool.NeverStarted {
			o = rules.NeverStarted
			n.recentRuns.remove(req.x.Txn)
			if req.record != nil && !joined {
				req.record.neverStarted = true
			}
		}
		n.module.RunEnded(n.now, req.id, o, e.duration)
	}
	n.releaseIfDone(req)
}

// setRunEnded notes that a request has no run in progress.
func (n *Node) setRunEnded(req *openRequest) {
	if req.running {
		req.running = false
		n.running--
	}
}

// releaseIfDone releases a request that was answered and whose run is over.
func (n *Node) releaseIfDone(req *openRequest) {
	if req.running || req.x.FinalState() == exchange.Open {
		return
	}
	n.endRecord(req, false, nil)
	n.release(req)
}

// release removes a request from the tables and cancels its call in flight.
func (n *Node) release(req *openRequest) {
	req.cancelOpenCall()
	n.setRunEnded(req)
	if req.waitsFor != nil {
		delete(req.waitsFor.waiting, req.id)
		req.waitsFor = nil
	}
	delete(n.requests, req.id)
	delete(n.byExchange, req.x)
	delete(n.byTxn, req.x.Txn)
}
