package node

import (
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// host implements rules.Host: it carries out the module's actions, within the loop. It
// never calls the module back; an event that follows from an action is passed to the
// module in the next batch. host is a type of its own to keep these methods out of
// Node's exported ones.
type host struct{ *Node }

var _ rules.Host = host{}

// Run starts a run. Before the worker pool is up nothing is started: the requests that
// wait then are passed to a new module once it is.
func (h host) Run(id rules.RequestID) {
	if req := h.requests[id]; req != nil && !req.running {
		n := h.Node
		n.running++
		req.running, req.runsAtStart, req.startedAt = true, n.running, n.now
		if h.isPoolUp {
			if h.cfg.Settings.Classes[req.x.Class].Effect == rules.Unsafe {
				h.recentRuns.add(req.x.Txn, h.now+h.recentRunTime)
			}
			h.startRun(req)
		}
	}
}

// Preempt stops a run.
func (h host) Preempt(id rules.RequestID) {
	req := h.requests[id]
	switch {
	case req == nil || !req.running:
	case h.isPoolUp:
		h.stopRun(req)
	default:
		h.followUps = append(h.followUps, event{kind: runEnded, x: req.x, outcome: pool.Cancelled})
	}
}

// Refuse answers that the request never ran.
func (h host) Refuse(id rules.RequestID, retryAfter time.Duration, stopRetrying bool) {
	h.answer(id, exchange.Answer{Kind: exchange.Refused, RetryAfter: retryAfter, Last: stopRetrying})
}

// Fail answers without saying whether the request ran.
func (h host) Fail(id rules.RequestID) { h.answer(id, exchange.Answer{Kind: exchange.Failed}) }

// answer gives a request its final answer.
func (h host) answer(id rules.RequestID, a exchange.Answer) {
	if req := h.requests[id]; req != nil {
		req.x.Answer(a)
		h.releaseIfDone(req)
	}
}

// Call makes the downstream call that a run waits for. The configuration accepts
// settings with calls only if there is a dependency to call.
func (h host) Call(id rules.RequestID, timeout time.Duration) {
	req := h.requests[id]
	if req == nil || h.cfg.Calls == nil {
		return
	}
	req.cancelOpenCall()
	h.lastCallNumber++
	number := h.lastCallNumber
	req.callNumber = number
	req.cancelCall = h.cfg.Calls.Call(req.x.Txn, req.statement, timeout,
		func(o rules.Outcome, result []byte, took time.Duration) {
			h.post(event{kind: callEnded, x: req.x, callOutcome: o, body: result, duration: took, callNumber: number})
		})
}

// SkipCall lets a run continue without the call that it waits for.
func (h host) SkipCall(id rules.RequestID) {
	if req := h.requests[id]; req != nil {
		h.pool.ContinueWithout(req.x)
	}
}

// KeepRecord creates the idempotency record of a request, or renews it, to expire after span.
func (h host) KeepRecord(id rules.RequestID, span time.Duration) {
	req := h.requests[id]
	if req == nil {
		return
	}
	if key := recordKey(req.x, h.cfg.Settings); key != "" {
		h.records.keepRecord(req, key, h.now+span)
	}
}

// ForgetRecord removes the idempotency record of a request.
func (h host) ForgetRecord(id rules.RequestID) {
	if req := h.requests[id]; req != nil && req.record != nil {
		h.endRecord(req, false, nil)
		h.records.remove(req.record)
	}
}

// JoinEarlier serves a request from the result of the earlier one that it repeats.
func (h host) JoinEarlier(id rules.RequestID) {
	req := h.requests[id]
	if req == nil {
		return
	}
	req.joined = true
	rec := req.earlier // not that of its key, which may have expired
	switch {
	case rec == nil:
		h.endJoined(req, false, nil)
	case rec.ended && rec.succeeded && rec.result == nil && rec.stored:
		h.fetchResult(req, rec)
	case rec.ended:
		h.countFailedRepeat(rec, rec.succeeded)
		h.endJoined(req, rec.succeeded, rec.result)
	default:
		rec.join(req)
	}
}

// SetHealth sets the health that health checks and the membership service get. The module
// always passes true as the first argument.
func (h host) SetHealth(_, good bool) {
	h.front.SetHealth(good)
	if h.cfg.Health != nil {
		h.cfg.Health(good)
	}
}

// PublishLoad publishes the load feedback.
func (h host) PublishLoad(value float64) {
	h.feedback = value
	h.front.PublishLoad(h.scaleFeedback(value))
}

// SetIdleTimeout sets the idle timeout of connections.
func (h host) SetIdleTimeout(after time.Duration) { h.front.SetIdleTimeout(after) }

// StartTimer starts a timer that fires after in, and passes token to the module then.
func (h host) StartTimer(token uint64, in time.Duration) {
	at := h.now + in
	i := len(h.timers)
	for i > 0 && h.timers[i-1].at > at {
		i--
	}
	h.timers = append(h.timers, timer{})
	copy(h.timers[i+1:], h.timers[i:])
	h.timers[i] = timer{at: at, token: token}
}

// Log writes a line of the module to the node's log.
func (h host) Log(line string) { h.cfg.Log.Info("module", "line", line) }
