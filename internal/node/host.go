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
	if it := h.items[id]; it != nil && !it.running {
		it.running = true
		if h.isBound {
			h.spawn(it)
		}
	}
}

// Halt stops a run.
func (h host) Preempt(id rules.RequestID) {
	it := h.items[id]
	switch {
	case it == nil || !it.running:
	case h.isBound:
		h.suspend(it)
	default:
		h.late = append(h.late, event{kind: finished, x: it.x, end: pool.Cancelled})
	}
}

// Refuse answers that a request never ran.
func (h host) Refuse(id rules.RequestID, retryAfter time.Duration, last bool) {
	h.answer(id, exchange.Answer{Kind: exchange.Refused, RetryAfter: retryAfter, Last: last})
}

// Fail answers without a promise.
func (h host) Fail(id rules.RequestID) { h.answer(id, exchange.Answer{Kind: exchange.Failed}) }

func (h host) answer(id rules.RequestID, a exchange.Answer) {
	if it := h.items[id]; it != nil {
		it.x.Answer(a)
		h.leave(it)
	}
}

// Call makes the call that a run stands at. The configuration admits settings with
// calls only where there is something to call.
func (h host) Call(id rules.RequestID, timeout time.Duration) {
	it := h.items[id]
	if it == nil || h.cfg.Calls == nil {
		return
	}
	it.giveUpCall()
	h.calls++
	call := h.calls
	it.call = call
	it.hangUp = h.cfg.Calls.Call(it.x.Txn, it.statement, timeout, func(o rules.Outcome, result []byte, took time.Duration) {
		h.post(event{kind: called, x: it.x, out: o, body: result, took: took, call: call})
	})
}

// Skip lets a run go on without the call it stands at.
func (h host) SkipCall(id rules.RequestID) {
	if it := h.items[id]; it != nil {
		h.pool.ContinueWithout(it.x)
	}
}

// Keep makes or renews a request's entry in the table.
func (h host) KeepRecord(id rules.RequestID, span time.Duration) {
	it := h.items[id]
	if it == nil {
		return
	}
	if key := keyOf(it.x, h.cfg.Settings); key != "" {
		h.table.keep(it, key, h.now+span)
	}
}

// Forget takes a request's entry out of the table.
func (h host) ForgetRecord(id rules.RequestID) {
	if it := h.items[id]; it != nil && it.kept != nil {
		h.settleKept(it, false, nil)
		h.table.drop(it.kept)
	}
}

// Reuse serves a request from the result of the one it repeats.
func (h host) JoinEarlier(id rules.RequestID) {
	it := h.items[id]
	if it == nil {
		return
	}
	it.reusing = true
	e := h.table.byKey[keyOf(it.x, h.cfg.Settings)]
	switch {
	case e == nil:
		h.reused(it, false, nil)
	case e.over && e.good && e.body == nil && e.stored:
		h.fetch(it, e)
	case e.over:
		h.toldEarlier(e, e.good)
		h.reused(it, e.good, e.body)
	default:
		e.waiting = append(e.waiting, it)
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
	h.value = value
	h.front.PublishLoad(h.asked(value))
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
