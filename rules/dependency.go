package rules

import (
	"cmp"
	"slices"
	"time"
)

const (
	callBudgetShare       = 0.85  // of this node's share of calls below
	callTimeoutShare      = 0.6   // of the time left before the aim that one call may take
	maxBudgetSharePerCall = 0.5   // of its share over a window that one call may book by its time-out
	initialCallLimitShare = 0.3   // of the share is the first call limit: it is slow well below it
	minCallLimitShare     = 0.05  // of the share is the least call limit: it probes
	callContentionRatio   = 2.0   // call latency over base that counts as crowded
	callLimitDecrease     = 0.9   // shrink of the call limit a step while crowded
	callBaselineDrift     = 1.001 // the call base creeps up a step: faster, it would hide crowding
	callLatencyWeight     = 0.1   // weight of a call in the call latency: fewer calls than runs
	minRunsToWaitForCall  = 0.8   // usual runs that must be left to go on waiting for a call
	maxCallAttempts       = 2     // calls made for one need before going on without
	callWindowBuckets     = 25    // steps of the sliding mean of calls
)

// NeedsCall tells that a running request stands at a call.
func (m *Module) CallNeeded(now time.Duration, id RequestID) {
	m.now = now
	if r := m.byID[id]; r != nil && r.state == running {
		m.noteProgress()
		m.addRunning(r, -1)
		m.inCallCount++
		r.state, r.callAttempts, r.lastCallOutcome = callPending, 0, NeverStarted
	}
}

// Called tells how a call ended.
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

// decideCalls gives each request at a call its word, the dearest to leave out
// first. What finds no room waits in a line bounded like the other, or skips.
func (m *Module) decideCalls() {
	var wait []*request
	for _, r := range m.requests {
		if !r.finished && !r.answered && r.state == callPending {
			wait = append(wait, r)
		}
	}
	slices.SortStableFunc(wait, func(a, b *request) int { return cmp.Compare(m.skipLoss(b), m.skipLoss(a)) })
	spare := int(max(1, m.callLimit*max(1, m.maxQueueWait.Seconds()/max(m.callLatency.mean, 0.001))))
	for _, r := range wait {
		c := m.class(r)
		left := min(r.targetAt, r.dueAt-m.answerMargin()) - m.now
		timeout := callTimeoutShare * left.Seconds()
		if b := m.callBudget; m.settings.Dependency == DependencyShared && b > 0 {
			timeout = min(timeout, maxBudgetSharePerCall*b) // a share of calls below one affords no longer ones
		}
		// A failed call is repeated only where nothing is earned without it: repeats
		// swamp what lies below just when it is short.
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
		case mayCall && spare > 0 && left > time.Duration(minRunsToWaitForCall*float64(m.expectedRun(r))):
			spare--
			m.callsLimited = true
		case c.SkipUtilityShare > 0:
			m.callsLimited = true
			r.state, m.inCallCount = running, m.inCallCount-1
			m.addRunning(r, 1)
			m.host.SkipCall(r.ID)
		}
	}
}

// loss is what leaving a request's call out costs.
func (m *Module) skipLoss(r *request) float64 {
	return m.utility(r) * (1 - m.class(r).SkipUtilityShare)
}

// roomToCall keeps calls under what the crowd allows, the learned limit, and
// this node's share below even if every call out lasts to its timeout.
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
	sum := float64(m.callsInFlight+1) * min(timeout, m.settings.CallWindow.Seconds())
	for _, s := range m.callSeconds {
		sum += s
	}
	return sum <= m.callBudget
}

// stepCalls moves the call limit as the running one; the base follows what has become slow for good.
func (m *Module) adjustCallLimit() {
	switch {
	case m.callLatency.ratio() > callContentionRatio:
		m.callLimit *= callLimitDecrease
	case m.callsLimited:
		m.callLimit = max(m.callLimit*limitGrowth, m.callLimit+0.02)
	}
	m.callLatency.baseline *= callBaselineDrift
	m.callLimit = max(min(m.callLimit, m.settings.CallShare), m.settings.CallShare*minCallLimitShare)
	m.callsLimited = false
}

// countCalls adds the calls held since last time to the sliding window, where an
// abandoned call is booked for as long as it stays below.
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
		m.callSeconds[m.callBucket%callWindowBuckets] += float64(m.callsInFlight) * (end - m.callsCountedAt).Seconds()
		m.callsCountedAt = end
	}
}
