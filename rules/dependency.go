package rules

import (
	"cmp"
	"slices"
	"time"
)

const (
	callBudgetShare       = 0.85 // of this node's share of the downstream dependency's capacity
	maxBudgetSharePerCall = 0.5  // of the call budget that the timeout of one call may take
	callTimeoutShare      = 0.6  // of the time left before the latency target that one call may take
	minRunsToWaitForCall  = 0.8  // expected runs that must fit before the target to go on waiting for a call
	maxCallAttempts       = 2    // attempts at one downstream call

	// Call limit, as shares of CallShare, and its change in a control step.
	initialCallLimitShare = 0.3  // the dependency may slow down well below the full share
	minCallLimitShare     = 0.05 // enough to probe for recovery
	callLimitDecrease     = 0.9  // factor under contention
	minCallLimitIncrease  = 0.02 // calls added at least

	callContentionRatio = 2.0   // call latency over its baseline that means contention
	callBaselineDrift   = 1.001 // factor per control step: a faster drift would hide contention
	callLatencyWeight   = 0.1   // weight of a call in the mean latency: there are fewer calls than runs
	callWindowBuckets   = 25    // buckets of the sliding call window
)

// CallNeeded reports that a running request needs a downstream call before it can go on.
func (m *Module) CallNeeded(now time.Duration, id RequestID) {
	m.now = now
	if r := m.byID[id]; r != nil && r.state == running {
		m.noteProgress()
		m.addRunning(r, -1)
		m.inCallCount++
		r.state, r.callAttempts, r.lastCallOutcome = callPending, 0, NeverStarted
	}
}

// CallEnded reports how a downstream call ended.
func (m *Module) CallEnded(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	m.now = now
	m.countCallTime()
	r := m.byID[id]
	if r == nil || r.state != calling {
		return
	}
	m.callsInFlight--
	m.noteProgress()
	r.state, r.lastCallOutcome = callPending, o
	if o == OK || o == TimedOut {
		m.callLatency.observe(took, callLatencyWeight)
	}
	switch o {
	case OK:
		r.state, m.inCallCount = running, m.inCallCount-1
		m.addRunning(r, 1)
	case TimedOut:
		m.callSeconds[m.callBucket%callWindowBuckets] += m.settings.AbandonedCallTime.Seconds()
	}
}

// decideCalls decides on every pending call, in the order of what skipping it would lose. A call is made,
// waits in a bounded queue, is skipped, or its request fails.
func (m *Module) decideCalls() {
	var pending []*request
	for _, r := range m.requests {
		if !r.finished && !r.answered && r.state == callPending {
			pending = append(pending, r)
		}
	}
	slices.SortStableFunc(pending, func(a, b *request) int { return cmp.Compare(m.skipLoss(b), m.skipLoss(a)) })
	mayWait := int(max(1, m.callLimit*max(1, m.maxQueueWait.Seconds()/max(m.callLatency.mean, 0.001))))
	for _, r := range pending {
		c := m.class(r)
		left := min(r.targetAt, r.dueAt-m.answerMargin()) - m.now
		timeout := callTimeoutShare * left.Seconds()
		if b := m.callBudget; m.settings.Dependency == DependencyShared && b > 0 {
			timeout = min(timeout, maxBudgetSharePerCall*b) // matters for a CallShare below 1
		}
		// A failed call is repeated only where its request has no utility without it: repeats overload
		// the dependency just when it is short of capacity.
		mayCall := r.callAttempts == 0 || c.SkipUtilityShare <= 0 && r.callAttempts < maxCallAttempts &&
			(r.lastCallOutcome.NeverRan() || c.Effect == Safe)
		switch {
		case !mayCall && c.SkipUtilityShare <= 0:
			m.fail(r)
		case mayCall && left > 0 && m.mayStartCall(timeout):
			m.callsInFlight++
			r.callAttempts++
			r.state = calling
			m.host.Call(r.ID, max(time.Duration(timeout*float64(time.Second)), m.settings.BatchInterval))
		case mayCall && mayWait > 0 && left > time.Duration(minRunsToWaitForCall*float64(m.expectedRun(r))):
			mayWait--
			m.callsLimited = true
		case c.SkipUtilityShare > 0:
			m.callsLimited = true
			r.state, m.inCallCount = running, m.inCallCount-1
			m.addRunning(r, 1)
			m.host.SkipCall(r.ID)
		}
	}
}

// skipLoss is the utility that is lost by skipping a request's call.
func (m *Module) skipLoss(r *request) float64 {
	return m.utility(r) * (1 - m.class(r).SkipUtilityShare)
}

// mayStartCall reports whether one more call fits: within the concurrency ceiling, and for a shared
// dependency within the call limit and, even if every call in flight lasts until its timeout, the budget.
func (m *Module) mayStartCall(timeout float64) bool {
	if float64(m.callsInFlight) >= m.concurrencyCeiling()-float64(m.settings.Cores) {
		return false
	}
	if m.settings.Dependency != DependencyShared || m.callBudget <= 0 {
		return true
	}
	if float64(m.callsInFlight) >= max(1, m.callLimit) {
		return false
	}
	seconds := float64(m.callsInFlight+1) * min(timeout, m.settings.CallWindow.Seconds())
	for _, s := range m.callSeconds {
		seconds += s
	}
	return seconds <= m.callBudget
}

// adjustCallLimit is the control step of the call limit: lowered under contention, raised while calls had
// to wait or were skipped. The baseline drifts towards a latency that has risen for good.
func (m *Module) adjustCallLimit() {
	switch {
	case m.callLatency.ratio() > callContentionRatio:
		m.callLimit *= callLimitDecrease
	case m.callsLimited:
		m.callLimit = max(m.callLimit*limitGrowth, m.callLimit+minCallLimitIncrease)
	}
	m.callLatency.baseline *= callBaselineDrift
	m.callLimit = max(min(m.callLimit, m.settings.CallShare), m.settings.CallShare*minCallLimitShare)
	m.callsLimited = false
}

// countCallTime adds the time of the calls in flight to the sliding call window. An abandoned call
// counts for as long as it goes on in the dependency, which CallEnded and leaveExecution add.
func (m *Module) countCallTime() {
	width := m.settings.CallWindow / (callWindowBuckets - 1)
	if width <= 0 {
		return
	}
	for m.callsCountedAt < m.now {
		if b := uint64(m.callsCountedAt / width); b != m.callBucket {
			m.callBucket = b
			m.callSeconds[b%callWindowBuckets] = 0
		}
		end := min(time.Duration(m.callBucket+1)*width, m.now)
		seconds := (end - m.callsCountedAt).Seconds()
		m.callSeconds[m.callBucket%callWindowBuckets] += float64(m.callsInFlight) * seconds
		m.callsCountedAt = end
	}
}
