package node

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"robinmast/internal/exchange"
	"robinmast/rules"
)

// pollLead is how long before a timer of the module fires the gauges are polled:
// two ticks of the worker pool.
const pollLead = 5 * time.Millisecond

// timer is a timer of the module.
type timer struct {
	at    time.Duration // when it fires
	token uint64        // the module's name for it
}

// Run restores the idempotency records of previous incarnations and runs the loop until
// ctx ends. It returns an error if the result cache cannot be restored or the module
// rejects the settings.
func (n *Node) Run(ctx context.Context) error {
	defer n.stopIntake()
	n.readClock()
	if err := n.restore(); err != nil {
		return err
	}
	if n.cfg.Recovery != nil {
		n.cfg.Recovery.Begin(n.now)
		n.loadShare, n.speed = 1, 1
	}
	if err := n.buildModule(n.now, n.cfg.Settings.ColdStart); err != nil {
		return err
	}
	n.loop(ctx)
	n.closeRecovery()
	if n.cfg.ResultCache == nil {
		return nil
	}
	n.readClock()
	// After an error the next start restores the state that a crash would leave.
	if err := n.cfg.ResultCache.Close(n.now); err != nil {
		n.cfg.Log.Error("result cache was not closed cleanly", "err", err)
	}
	return nil
}

// loop runs batches until ctx ends.
func (n *Node) loop(ctx context.Context) {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		wait.Reset(n.untilNextTimer())
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		case <-wait.C:
		}
		n.runBatch()
		// At most one batch per interval; events that arrive meanwhile form the next one.
		if pause := n.now + n.cfg.Settings.BatchInterval - n.clock(); pause > 0 {
			time.Sleep(pause)
		}
	}
}

// readClock sets the time that the loop and the module use for the present batch.
func (n *Node) readClock() { n.now = n.clock() }

// untilNextTimer returns the time until the next timer, gauge poll or follow-up event.
func (n *Node) untilNextTimer() time.Duration {
	if len(n.followUps) > 0 {
		return 0
	}
	if len(n.timers) == 0 {
		return time.Hour
	}
	at := n.timers[0].at
	if !n.gaugesPolled {
		at -= pollLead
	}
	return max(at-n.clock(), 0)
}

// runBatch passes the waiting events and the due timers to the module and finishes the batch.
func (n *Node) runBatch() {
	n.mu.Lock()
	events := n.events
	n.events = nil
	gauges := n.gauges
	n.mu.Unlock()
	n.readClock()
	followUps := n.followUps
	n.followUps = nil
	charged := int64(0)
	for _, e := range append(followUps, events...) { // guarded one by one: a panic loses one event only
		n.guard(func() { n.handleEvent(e) })
		charged += e.charged
	}
	n.intake.release(charged)
	defer n.noteBatch()
	n.guard(func() {
		for len(n.timers) > 0 && n.timers[0].at <= n.now {
			t := n.timers[0]
			n.timers = slices.Delete(n.timers, 0, 1)
			n.gaugesPolled = false
			n.module.TimerFired(n.now, t.token, gauges)
			n.stepRecovery()
			n.reportLoad()
		}
	})
	n.guard(func() { n.module.FinishBatch(n.now) })
	n.records.removeExpired(n.now)
	n.recentRuns.removeExpired(n.now)
	if n.cfg.ResultCache != nil {
		n.failOverdueRepeats()
		n.cfg.ResultCache.Flush(n.now)
	}
	if !n.gaugesPolled && len(n.timers) > 0 && n.timers[0].at-pollLead <= n.now {
		n.gaugesPolled = true
		n.pool.PollGauges()
	}
}

// guard runs step. If the module's code panics, guard fails all open requests and
// replaces the module: a defect in a decision must not end the process and lose every
// request that was read.
func (n *Node) guard(step func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if resets := n.ModuleResets.Add(1); resets&(resets-1) == 0 { // the 1st, 2nd, 4th, 8th ...
			n.cfg.Log.Error("decision module panicked and was replaced", "panic", fmt.Sprint(p),
				"resets", resets, "stack", string(debug.Stack()))
		}
		for _, req := range n.inArrivalOrder() {
			req.x.Answer(exchange.Answer{Kind: exchange.Failed})
			n.endRecord(req, false, nil)
			switch {
			case !req.running:
				n.release(req)
			case req.x.Safe && n.cfg.Settings.Preemption == rules.PreemptDrop:
				n.stopRun(req) // the new module does not count it as using a core
			}
		}
		if err := n.buildModule(n.poolUpSince, n.cfg.Settings.ColdStart); err != nil {
			panic(err) // the same settings were accepted before
		}
		n.notifyDrain()
	}()
	step()
}

// buildModule creates the module as of the time when the worker pool came up, so that a pool
// that started cold has been warming up since then. It returns an error if the settings are
// invalid.
func (n *Node) buildModule(poolUpSince time.Duration, cold bool) error {
	n.timers, n.gaugesPolled, n.poolUpSince = nil, false, poolUpSince
	n.cfg.Settings.ColdStart = cold
	now := n.now
	n.now = poolUpSince
	m, err := rules.New(poolUpSince, n.cfg.Settings, n.cfg.Seed, host{n})
	n.now = now
	if err != nil {
		return fmt.Errorf("module: %w", err)
	}
	n.module = m
	for _, r := range n.restored {
		if left := r.Expires - n.now; left > 0 {
			m.RestoreRecord(n.now, r.id, left)
		}
	}
	return nil
}
