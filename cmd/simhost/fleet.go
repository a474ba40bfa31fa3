package main

import (
	"fmt"
	"time"

	"robinmast/internal/config"
	"robinmast/internal/settings"
	"robinmast/internal/simwire"
	"robinmast/rules"
)

// outcomes maps the wire's outcome codes to the module's outcomes.
var outcomes = map[byte]rules.Outcome{
	0: rules.OK, 255: rules.Failed, 254: rules.CallRejected, 253: rules.TimedOut,
	252: rules.ConnectFailed, 251: rules.ConnectionReset, 250: rules.Cancelled, 249: rules.NeverStarted,
}

// instance is one simulated node: its module and its actions in the present batch. The
// module is nil once its code has failed.
type instance struct {
	id      uint16
	module  *rules.Module
	actions simwire.Actions
	gauges  []float64
	active  bool // has events in the present batch
}

// fleet holds the instances of this process, which share no state.
type fleet struct {
	cfg         *config.Config
	instances   map[uint16]*instance
	active      []*instance // those with events in the present batch, in order
	reply       simwire.Reply
	settingsErr error // invalid settings of an instance
}

func newFleet(cfg *config.Config) *fleet {
	return &fleet{cfg: cfg, instances: map[uint16]*instance{}}
}

// handleBatch applies a batch and returns the reply to write.
func (f *fleet) handleBatch(b simwire.Batch) (*simwire.Reply, error) {
	f.active = f.active[:0]
	f.reply.Reset()
	var id uint16
	var addressed bool
	for i := range b.Count {
		rec := b.Record(i)
		if rec.Code() == simwire.EvAt {
			id, addressed = rec.U16(1), true
			continue
		}
		if !addressed {
			return nil, fmt.Errorf("event code %d before any At", rec.Code())
		}
		if err := f.handleEvent(b, id, rec); err != nil {
			return nil, err
		}
	}
	for _, n := range f.active {
		if !n.active { // its process ended within the batch
			continue
		}
		n.run(func() error { n.module.FinishBatch(b.Clock); return nil })
		f.reply.Add(n.id, &n.actions)
		n.actions.Reset()
		n.active = false
	}
	return &f.reply, nil
}

// handleEvent passes one event record to its instance.
func (f *fleet) handleEvent(b simwire.Batch, id uint16, rec simwire.Record) error {
	n := f.instances[id]
	switch code := rec.Code(); {
	case code < simwire.EvEnlist || code > simwire.EvDemand:
		return fmt.Errorf("unknown event code %d", code)
	case code == simwire.EvEnlist:
		if n != nil {
			n.active = false
		}
		return f.start(b, id, rec)
	case n == nil:
		return fmt.Errorf("event code %d for instance %d, which was never started", code, id)
	case code == simwire.EvExit:
		n.active = false
		delete(f.instances, id)
		return nil
	}
	f.markActive(n)
	n.run(func() error { return n.handleEvent(b, rec) })
	return nil
}

// markActive records that an instance has events in the present batch.
func (f *fleet) markActive(n *instance) {
	if !n.active {
		n.active = true
		f.active = append(f.active, n)
	}
}

// start creates the instance that an Enlist event requests.
func (f *fleet) start(b simwire.Batch, id uint16, rec simwire.Record) error {
	text, err := b.Tail(rec, 9)
	if err != nil {
		return fmt.Errorf("settings of instance %d: %w", id, err)
	}
	n := &instance{id: id}
	f.instances[id] = n
	f.markActive(n)
	n.protect(func() error {
		set, names, err := settings.ParseNamed(text)
		if err == nil {
			settings.UseShedding(&set, f.cfg)
			err = settings.UsePools(&set, names, f.cfg)
		}
		if err != nil {
			f.settingsErr = fmt.Errorf("instance %d: %w", id, err)
			return err
		}
		if n.module, err = rules.New(b.Clock, set, rec.U64(1), &host{&n.actions}); err != nil {
			f.settingsErr = fmt.Errorf("instance %d: %w", id, err)
		}
		return err
	})
	return nil
}

// run runs code of a module that has not failed; an error or a panic ends the instance.
func (n *instance) run(step func() error) {
	if n.module != nil {
		n.protect(step)
	}
}

// protect runs step; an error or a panic ends the instance.
func (n *instance) protect(step func() error) {
	defer func() {
		if p := recover(); p != nil {
			n.fail(fmt.Sprintf("panic: %v", p))
		}
	}()
	if err := step(); err != nil {
		n.fail(err.Error())
	}
}

// fail ends the instance. Its only action in this batch is then the InternalError.
func (n *instance) fail(text string) {
	n.module = nil
	n.actions.Reset()
	n.actions.Text(simwire.AcInternalError, text)
}

// handleEvent calls the module's method for one event.
func (n *instance) handleEvent(b simwire.Batch, rec simwire.Record) error {
	now, m, id := b.Clock, n.module, rules.RequestID(rec.U64(1))
	switch rec.Code() {
	case simwire.EvDemand:
		m.Arrive(now, parseDemand(rec))
	case simwire.EvEnded:
		o, ok := outcomes[rec.U8(17)]
		if !ok {
			return fmt.Errorf("unknown outcome code %d", rec.U8(17))
		}
		m.RunEnded(now, id, o, rec.Time(9))
	case simwire.EvAtCall:
		m.CallNeeded(now, id)
	case simwire.EvCameBack:
		o, ok := outcomes[rec.U8(9)]
		if !ok {
			return fmt.Errorf("unknown outcome code %d", rec.U8(9))
		}
		m.CallEnded(now, id, o, rec.Time(10))
	case simwire.EvHangup:
		m.CallerGone(now, id)
	case simwire.EvLameDuck:
		m.Drain(now, rec.Time(1))
	case simwire.EvTickDue:
		n.gauges = n.gauges[:0]
		for i := range min(int(rec.U8(9)), (simwire.EventSize-10)/4) {
			n.gauges = append(n.gauges, rec.F32(10+4*i))
		}
		m.TimerFired(now, rec.U64(1), n.gauges)
	}
	return nil
}

// parseDemand converts a Demand record to a request.
func parseDemand(rec simwire.Record) rules.Request {
	opts := rec.U8(66)
	r := rules.Request{
		ID: rules.RequestID(rec.U64(1)), RepeatOf: rules.RequestID(rec.U64(9)), CallerTimeout: rec.Time(17),
		Rank: rec.F32(25), Tenant: int(rec.U32(37)), Caller: rec.U32(41), Age: rec.Time(45),
		Key: rec.U64(53), MemoryKB: rec.F32(61), Class: int(rec.U8(65)),
		Retry: opts&simwire.OptRetry != 0, Write: opts&simwire.OptWrite != 0,
	}
	if opts&simwire.OptHint != 0 {
		r.WorkHint = rec.Time(29)
	}
	return r
}

// host implements rules.Host: it collects a module's actions in wire form.
type host struct{ actions *simwire.Actions }

func (h *host) Run(id rules.RequestID)          { h.actions.ID(simwire.AcLaunch, uint64(id)) }
func (h *host) Preempt(id rules.RequestID)      { h.actions.ID(simwire.AcYank, uint64(id)) }
func (h *host) Fail(id rules.RequestID)         { h.actions.ID(simwire.AcFail, uint64(id)) }
func (h *host) SkipCall(id rules.RequestID)     { h.actions.ID(simwire.AcSkip, uint64(id)) }
func (h *host) ForgetRecord(id rules.RequestID) { h.actions.ID(simwire.AcReleaseKey, uint64(id)) }
func (h *host) JoinEarlier(id rules.RequestID)  { h.actions.ID(simwire.AcReuse, uint64(id)) }
func (h *host) Refuse(id rules.RequestID, retryAfter time.Duration, stopRetrying bool) {
	h.actions.PushBack(uint64(id), retryAfter, stopRetrying)
}
func (h *host) Call(id rules.RequestID, timeout time.Duration) {
	h.actions.IDTime(simwire.AcCallDep, uint64(id), timeout)
}
func (h *host) KeepRecord(id rules.RequestID, span time.Duration) {
	h.actions.IDTime(simwire.AcKeep, uint64(id), span)
}
func (h *host) SetHealth(stored, good bool)        { h.actions.SetHealth(stored, good) }
func (h *host) PublishLoad(value float64)          { h.actions.Signal(value) }
func (h *host) SetIdleTimeout(after time.Duration) { h.actions.IdleLimit(after) }
func (h *host) StartTimer(token uint64, in time.Duration) {
	h.actions.IDTime(simwire.AcAfter, token, in)
}
func (h *host) Log(line string) { h.actions.Text(simwire.AcWriteLog, line) }
