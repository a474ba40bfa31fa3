package rules

import (
	"cmp"
	"slices"
	"time"
)

const (
	callMargin   = 0.85  // of this node's share of calls below
	callPart     = 0.6   // of the time left before the aim that one call may take
	callBooked   = 0.5   // of its share over a window that one call may book by its time-out
	callFirst    = 0.3   // of the share is the first call limit: it is slow well below it
	callFloor    = 0.05  // of the share is the least call limit: it probes
	callSlow     = 2.0   // call latency over base that counts as crowded
	callShrink   = 0.9   // shrink of the call limit a step while crowded
	callDrift    = 1.001 // the call base creeps up a step: faster, it would hide crowding
	callAlpha    = 0.1   // weight of a call in the call latency: fewer calls than runs
	waitRunShare = 0.8   // usual runs that must be left to go on waiting for a call
	callTries    = 2     // calls made for one need before going on without
	callBuckets  = 25    // steps of the sliding mean of calls
)

// NeedsCall tells that a running request stands at a call.
func (m *Module) CallNeeded(now time.Duration, id RequestID) {
	m.now = now
	if r := m.byID[id]; r != nil && r.state == running {
		m.moved()
		m.core(r, -1)
		m.inCalls++
		r.state, r.calls, r.lastCall = atCall, 0, NeverStarted
	}
}

// Called tells how a call ended.
func (m *Module) CallEnded(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	m.now = now
	m.countCalls()
	r := m.byID[id]
	if r == nil || r.state != calling {
		return
	}
	m.callsOut--
	m.moved()
	r.state, r.lastCall = atCall, o
	if o == OK || o == TimedOut {
		m.called.learn(took, callAlpha)
	}
	switch o {
	case OK:
		r.state, m.inCalls = running, m.inCalls-1
		m.core(r, 1)
	case TimedOut:
		m.callTime[m.callBucket%callBuckets] += m.set.AbandonedCallTime.Seconds()
	}
}

// decideCalls gives each request at a call its word, the dearest to leave out
// first. What finds no room waits in a line bounded like the other, or skips.
func (m *Module) decideCalls() {
	var wait []*request
	for _, r := range m.all {
		if !r.over && !r.answered && r.state == atCall {
			wait = append(wait, r)
		}
	}
	slices.SortStableFunc(wait, func(a, b *request) int { return cmp.Compare(m.loss(b), m.loss(a)) })
	spare := int(max(1, m.callLimit*max(1, m.maxWait.Seconds()/max(m.called.mean, 0.001))))
	for _, r := range wait {
		c := m.class(r)
		left := min(r.aim, r.due-m.margin()) - m.now
		timeout := callPart * left.Seconds()
		if b := m.callBudget; m.set.Dependency == DependencyShared && b > 0 {
			timeout = min(timeout, callBooked*b) // a share of calls below one affords no longer ones
		}
		// A failed call is repeated only where nothing is earned without it: repeats
		// swamp what lies below just when it is short.
		mayCall := r.calls == 0 || c.SkipUtilityShare <= 0 && r.calls < callTries &&
			(r.lastCall.NeverRan() || c.Effect == Safe)
		switch {
		case !mayCall && c.SkipUtilityShare <= 0:
			m.giveUp(r)
		case mayCall && left > 0 && m.roomToCall(timeout):
			m.callsOut++
			r.calls++
			r.state = calling
			m.host.Call(r.ID, max(time.Duration(timeout*float64(time.Second)), m.set.BatchInterval))
		case mayCall && spare > 0 && left > time.Duration(waitRunShare*float64(m.usualRun(r))):
			spare--
			m.callsShort = true
		case c.SkipUtilityShare > 0:
			m.callsShort = true
			r.state, m.inCalls = running, m.inCalls-1
			m.core(r, 1)
			m.host.SkipCall(r.ID)
		}
	}
}

// loss is what leaving a request's call out costs.
func (m *Module) loss(r *request) float64 { return m.worth(r) * (1 - m.class(r).SkipUtilityShare) }

// roomToCall keeps calls under what the crowd allows, the learned limit, and
// this node's share below even if every call out lasts to its timeout.
func (m *Module) roomToCall(timeout float64) bool {
	if float64(m.callsOut) >= m.crowd()-float64(m.set.Cores) {
		return false
	}
	if m.set.Dependency != DependencyShared || m.callBudget <= 0 {
		return true
	}
	if float64(m.callsOut) >= max(1, m.callLimit) {
		return false
	}
	sum := float64(m.callsOut+1) * min(timeout, m.set.CallWindow.Seconds())
	for _, s := range m.callTime {
		sum += s
	}
	return sum <= m.callBudget
}

// stepCalls moves the call limit as the running one; the base follows what has become slow for good.
func (m *Module) stepCalls() {
	switch {
	case m.called.slow() > callSlow:
		m.callLimit *= callShrink
	case m.callsShort:
		m.callLimit = max(m.callLimit*limitGrow, m.callLimit+0.02)
	}
	m.called.base *= callDrift
	m.callLimit = max(min(m.callLimit, m.set.CallShare), m.set.CallShare*callFloor)
	m.callsShort = false
}

// countCalls adds the calls held since last time to the sliding window, where an
// abandoned call is booked for as long as it stays below.
func (m *Module) countCalls() {
	width := m.set.CallWindow / (callBuckets - 1)
	if width <= 0 {
		return
	}
	for m.callSeen < m.now {
		if b := uint64(m.callSeen / width); b != m.callBucket {
			m.callBucket = b
			m.callTime[b%callBuckets] = 0
		}
		end := min(time.Duration(m.callBucket+1)*width, m.now)
		m.callTime[m.callBucket%callBuckets] += float64(m.callsOut) * (end - m.callSeen).Seconds()
		m.callSeen = end
	}
}
