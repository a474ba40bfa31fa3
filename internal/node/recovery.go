// This file owns the loop's side of coming back: what it feeds to whoever watches
// the way to full service, and what it does with what that says. It must never
// decide what a node asks for, nor what is in doubt.

package node

import (
	"time"

	"robinmast/decide/recovery"
	"robinmast/internal/exchange"
	"robinmast/rules"
)

// Comeback is what the loop needs of the way back to full service. All of it
// belongs to the loop, and none of it waits.
type Recovery interface {
	Begin(now time.Duration)
	// Bound returns what the module may take as known, nil = nothing.
	WorkerPoolUp(now, since time.Duration, cold bool) (l *rules.Learned, weight, speed float64)
	// InDoubt reports whether a request of which nothing is remembered may have run.
	InDoubt(now time.Duration, class int, key uint64, again bool, age time.Duration) bool
	Arrived(now time.Duration, again bool)
	// Ran reports whether what the module took as known is to be forgotten.
	RunSucceeded(now time.Duration, class int, took, hint time.Duration) (forget bool)
	Step(now time.Duration, short bool, learned func() rules.Learned) (ask, warm float64)
	ObservePrevious(now time.Duration, h *recovery.PreviousStore)
	FleetCapacity(since time.Duration, share float64)
	Close(l rules.Learned)
}

// learner is a module that tells and takes what was learned.
type learner interface {
	Learned() rules.Learned
	WarmStart(l rules.Learned, weight, speed float64)
	DiscardWarmStart()
}

// Heard takes what a control service has heard of this name's earlier lives, nil =
// of none.
func (n *Node) ObservePrevious(h *recovery.PreviousStore) {
	n.post(event{kind: previousObserved, previous: h})
}

// Room takes the share of the fleet's usual room that is there, as of the moment since.
func (n *Node) FleetCapacity(since time.Time, share float64) {
	n.post(event{kind: fleetCapacityReceived, took: time.Since(since), capacityShare: share})
}

// bindLife tells that the worker pool is up, and gives the new module what an
// earlier life had learned.
func (n *Node) warmStartModule(e event) {
	if n.cfg.Recovery == nil {
		return
	}
	l, weight, speed := n.cfg.Recovery.WorkerPoolUp(n.now, n.now-e.took, e.cold)
	if m, ok := n.module.(learner); ok && l != nil {
		m.WarmStart(*l, weight, speed)
	}
}

// stepLife moves the way on, and says anew what the node asks for.
func (n *Node) stepRecovery() {
	if n.cfg.Recovery == nil {
		return
	}
	short := false
	if t := n.shedder(); t != nil {
		short = t.View(n.now).Shortage > 0.5
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

func (n *Node) learned() (l rules.Learned) {
	if m, ok := n.module.(learner); ok {
		l = m.Learned()
	}
	return l
}

func (n *Node) closeRecovery() {
	if n.cfg.Recovery != nil {
		n.cfg.Recovery.Close(n.learned())
	}
}

// asked is a free value with what the node asks for on its way in it.
func (n *Node) scaleFeedback(value float64) float64 {
	if n.cfg.Recovery == nil || n.loadShare >= 1 {
		return value
	}
	switch n.cfg.Settings.LoadFeedback {
	case rules.FeedbackLevel: // nothing ranked under it is sent
		return 1 - (1-value)*max(n.loadShare, minLoadShare)
	case rules.FeedbackCredit:
		return max(value*n.loadShare, 1)
	default:
		return value * max(n.loadShare, minLoadShare)
	}
}

// leastAsked keeps a node that nobody sends anything from never proving itself.
const minLoadShare = 0.05

// ranLife tells of a run that went well.
func (n *Node) observeRun(req *openRequest, e event, reused bool) {
	if n.cfg.Recovery == nil || reused || e.took <= 0 {
		return
	}
	hint := time.Duration(req.x.HintMs * float64(time.Millisecond))
	if n.cfg.Recovery.RunSucceeded(n.now, req.x.Class, e.took, hint) {
		if m, ok := n.module.(learner); ok {
			m.DiscardWarmStart()
		}
	}
}

// doubted takes an arrival; it reports whether that may have run in a life that is
// not remembered and was answered for it. Keyed work is the module's to fail: it is
// given an earlier request of which the module knows nothing, which counts as run.
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
