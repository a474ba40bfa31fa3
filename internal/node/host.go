// This file owns the module's Host: it carries out what the module says, within
// the loop. It must never weigh a request, and never call the module back: what
// follows from an action is fed in the next batch.

package node

import (
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// host is unexported, so that only the module can reach it.
type host struct{ *Node }

var _ rules.Host = host{}

// Run asks the worker pool for a run. Before it has come up nothing is asked
// for: what is held then is read again once it has.
func (h host) Run(id rules.RequestID) {
	if req := h.requests[id]; req != nil && !req.running {
		req.running = true
		if h.isPoolUp {
			h.startRun(req)
		}
	}
}

// Halt stops a run.
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

// Refuse answers that a request never ran.
func (h host) Refuse(id rules.RequestID, retryAfter time.Duration, last bool) {
	h.answer(id, exchange.Answer{Kind: exchange.Refused, RetryAfter: retryAfter, Last: last})
}

// Fail answers without a promise.
func (h host) Fail(id rules.RequestID) { h.answer(id, exchange.Answer{Kind: exchange.Failed}) }

func (h host) answer(id rules.RequestID, a exchange.Answer) {
	if req := h.requests[id]; req != nil {
		req.x.Answer(a)
		h.releaseIfDone(req)
	}
}

// Call makes the call that a run stands at. The configuration admits settings with
// calls only where there is something to call.
func (h host) Call(id rules.RequestID, timeout time.Duration) {
	req := h.requests[id]
	if req == nil || h.cfg.Calls == nil {
		return
	}
	req.cancelOpenCall()
	h.lastCall++
	call := h.lastCall
	req.callNumber = call
	req.cancelCall = h.cfg.Calls.Call(req.x.Txn, req.statement, timeout, func(o rules.Outcome, result []byte, took time.Duration) {
		h.post(event{kind: callEnded, x: req.x, callOutcome: o, body: result, took: took, callNumber: call})
	})
}

// Skip lets a run go on without the call it stands at.
func (h host) SkipCall(id rules.RequestID) {
	if req := h.requests[id]; req != nil {
		h.pool.ContinueWithout(req.x)
	}
}

// Keep makes or renews a request's entry in the table.
func (h host) KeepRecord(id rules.RequestID, span time.Duration) {
	req := h.requests[id]
	if req == nil {
		return
	}
	if key := recordKey(req.x, h.cfg.Settings); key != "" {
		h.records.keepRecord(req, key, h.now+span)
	}
}

// Forget takes a request's entry out of the table.
func (h host) ForgetRecord(id rules.RequestID) {
	if req := h.requests[id]; req != nil && req.record != nil {
		h.endRecord(req, false, nil)
		h.records.remove(req.record)
	}
}

// Reuse serves a request from the result of the one it repeats.
func (h host) JoinEarlier(id rules.RequestID) {
	req := h.requests[id]
	if req == nil {
		return
	}
	req.joined = true
	rec := h.records.byKey[recordKey(req.x, h.cfg.Settings)]
	switch {
	case rec == nil:
		h.endJoined(req, false, nil)
	case rec.ended && rec.succeeded && rec.result == nil && rec.stored:
		h.fetchResult(req, rec)
	case rec.ended:
		h.countFailedRepeat(rec, rec.succeeded)
		h.endJoined(req, rec.succeeded, rec.result)
	default:
		rec.waiting = append(rec.waiting, req)
	}
}

// SetHealth sets what health checks and the membership service are told.
func (h host) SetHealth(_, good bool) {
	h.front.SetHealth(good)
	if h.cfg.Health != nil {
		h.cfg.Health(good)
	}
}

// Say sets the free value.
func (h host) PublishLoad(value float64) {
	h.feedback = value
	h.front.PublishLoad(h.scaleFeedback(value))
}

// CloseIdle sets the idle limit of connections.
func (h host) SetIdleTimeout(after time.Duration) { h.front.SetIdleTimeout(after) }

// Wake sets a timer.
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

// Log passes a line of the module on.
func (h host) Log(line string) { h.cfg.Log.Info("module", "line", line) }
