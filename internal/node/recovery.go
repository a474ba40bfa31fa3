package node

import (
	"time"

	"robinmast/decide/recovery"
	"robinmast/internal/exchange"
	"robinmast/rules"
)

// Recovery tracks the recovery to full service after a start: how much load the node
// asks for, which requests are in doubt, and the learned state for a warm start. Its
// methods are called by the loop's goroutine only and must not block.
type Recovery interface {
	// Begin is called once, before anything else, when the node starts.
	Begin(now time.Duration)
	// WorkerPoolUp returns the learned state for a warm start of the module, nil = none,
	// with its weight and the share of full speed to start at, both from 0 to 1.
	WorkerPoolUp(now, since time.Duration, cold bool) (l *rules.Learned, weight, speed float64)
	// InDoubt reports whether a request without an idempotency record may have run in a
	// previous incarnation. key is that of its record, 0 = none; retry marks a further try.
	InDoubt(now time.Duration, class int, key uint64, retry bool, age time.Duration) bool
	// Arrived counts a request; retry marks a further try.
	Arrived(now time.Duration, retry bool)
	// RunSucceeded observes a successful run, how long it would have taken on a core of its own and
	// the work that its request expected (0 = not known). It reports whether the module's warm start is to be discarded.
	RunSucceeded(now time.Duration, class int, took, hint time.Duration) (discardWarmStart bool)
	// Step runs at each timer of the module. short means that the fleet is short of
	// capacity. It returns the share of its full load that the node asks for, and the share
	// of its full speed that it has reached.
	Step(now time.Duration, short bool, learned func() rules.Learned) (loadShare, speed float64)
	// ObservePrevious takes what a control service observed of previous incarnations, nil = of none.
	ObservePrevious(now time.Duration, previous *recovery.PreviousStore)
	// FleetCapacity takes the present share of the fleet's usual capacity, as of since.
	FleetCapacity(since time.Duration, share float64)
	// Close stores the learned state for the next start.
	Close(l rules.Learned)
}

// learner is a module with a learned state that can be saved and restored.
type learner interface {
	Learned() rules.Learned
	WarmStart(l rules.Learned, weight, speed float64)
	DiscardWarmStart()
}

// ObservePrevious delivers what a control service observed of previous incarnations of
// this node's name, nil = of none.
func (n *Node) ObservePrevious(previous *recovery.PreviousStore) {
	n.post(event{kind: previousObserved, previous: previous})
}

// FleetCapacity delivers the present share of the fleet's usual capacity, as of since.
func (n *Node) FleetCapacity(since time.Time, share float64) {
	n.post(event{kind: fleetCapacityReceived, duration: time.Since(since), capacityShare: share})
}

// warmStartModule reports that the worker pool is up, and gives the new module what a
// previous incarnation learned.
func (n *Node) warmStartModule(e event) {
	if n.cfg.Recovery == nil {
		return
	}
	l, weight, speed := n.cfg.Recovery.WorkerPoolUp(n.now, n.now-e.duration, e.cold)
	if m, ok := n.module.(learner); ok && l != nil {
		m.WarmStart(*l, weight, speed)
	}
}

// stepRecovery advances the recovery, and publishes the load feedback again if the share
// of load that the node asks for has changed.
func (n *Node) stepRecovery() {
	if n.cfg.Recovery == nil {
		return
	}
	short := false
	if s := n.shedder(); s != nil {
		short = s.View(n.now).Shortage > 0.5
	}
	loadShare, speed := n.cfg.Recovery.Step(n.now, short, n.learned)
	n.speed = speed
	if loadShare != n.loadShare {
		n.loadShare = loadShare
		if n.cfg.Settings.LoadFeedback != rules.FeedbackNone {
			n.front.PublishLoad(n.scaleFeedback(n.feedback))
		}
	}
}

// learned returns the module's learned state, empty if it has none.
func (n *Node) learned() (l rules.Learned) {
	if m, ok := n.module.(learner); ok {
		l = m.Learned()
	}
	return l
}

// closeRecovery stores the learned state.
func (n *Node) closeRecovery() {
	if n.cfg.Recovery != nil {
		n.cfg.Recovery.Close(n.learned())
	}
}

// scaleFeedback scales a load feedback value by the share of load that the node asks for.
func (n *Node) scaleFeedback(value float64) float64 {
	if n.cfg.Recovery == nil || n.loadShare >= 1 {
		return value
	}
	switch n.cfg.Settings.LoadFeedback {
	case rules.FeedbackLevel: // requests ranked below the value are not sent
		return 1 - (1-value)*max(n.loadShare, minLoadShare)
	case rules.FeedbackCredit:
		return max(value*n.loadShare, 1)
	default:
		return value * max(n.loadShare, minLoadShare)
	}
}

// minLoadShare keeps the feedback high enough that some requests are sent: without any,
// a recovering node could never show that it is healthy.
const minLoadShare = 0.05

// observeRun passes a request's successful run to the recovery; runsAtEnd is the number of runs in progress at its
// end, itself included.
func (n *Node) observeRun(req *openRequest, duration time.Duration, runsAtEnd int) {
	if n.cfg.Recovery == nil || duration <= 0 {
		return
	}
	hint := time.Duration(req.x.HintMs * float64(time.Millisecond))
	took := recovery.UnsharedTime(duration, n.cfg.Settings.Cores, req.runsAtStart, runsAtEnd)
	if n.cfg.Recovery.RunSucceeded(n.now, req.x.Class, took, hint) {
		if m, ok := n.module.(learner); ok {
			m.DiscardWarmStart()
		}
	}
}

// checkInDoubt observes an arrival. A request that may have run in a previous
// incarnation without leaving a record is failed, and checkInDoubt returns true. Keyed
// requests are left to the module to fail: they are marked as repeats of an earlier
// request that the module does not know, which it treats as run.
func (n *Node) checkInDoubt(req *openRequest, q *rules.Request) bool {
	n.cfg.Recovery.Arrived(n.now, q.Retry)
	if q.RepeatOf != 0 || !n.cfg.Recovery.InDoubt(n.now, q.Class, hashKey(recordKey(req.x, n.cfg.Settings)), q.Retry, q.Age) {
		return false
	}
	if n.cfg.Settings.Classes[q.Class].Effect == rules.Keyed {
		n.nextID++
		q.RepeatOf = n.nextID
		return false
	}
	req.x.Answer(exchange.Answer{Kind: exchange.Failed})
	n.release(req)
	return true
}
