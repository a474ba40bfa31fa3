package rules

import (
	"slices"
	"time"
)

const (
	queueTimeoutShare      = 0.12 // age limit as a share of the class deadline
	unknownAgeTimeoutShare = 0.05 // the same where nothing tells how long its client has waited
)

type requestState uint8

const (
	queued      requestState = iota // in the line, or paused and back in it
	running                         // on a core or waiting for its disk
	callPending                     // stands at a call and waits for our word
	calling                         // its call is out
	joined                          // waits for the result of the request it repeats
)

type request struct {
	Request
	state           requestState
	mayHaveRun      bool          // a run took effect
	answered        bool          // its final answer is out; its run may go on
	preempted       bool          // told to stop after its answer
	finished        bool          // nothing is left of it
	overQuota       bool          // beyond its tenant's quota
	arrivedAt       time.Duration // at the machine
	targetAt        time.Duration // an answer later than this is worth little
	startedAt       time.Duration // its last run
	dueAt           time.Duration // its answer must be out before this
	queueTimeoutAt  time.Duration // held beyond this it has waited too long
	callAttempts    int           // calls made for the present need
	lastCallOutcome Outcome
}

// setTimes works out when the answer is due and until when it is wanted. Where
// callers pass no patience, the class deadline counts from the machine.
func (m *Module) setDeadlines(r *request) {
	c := m.class(r)
	r.dueAt = r.arrivedAt + c.Deadline
	if m.settings.TimeoutsPassed && r.CallerTimeout > 0 {
		r.dueAt = m.now + r.CallerTimeout
	}
	r.dueAt = min(r.dueAt, m.stopAt)
	share := queueTimeoutShare
	if !m.settings.RetriesMarked && !m.settings.TimeoutsPassed { // it may be its client's third try
		share = unknownAgeTimeoutShare
	}
	r.queueTimeoutAt = r.arrivedAt + time.Duration(share*float64(c.Deadline))
	r.targetAt = r.arrivedAt + c.LatencyTarget
	if c.LatencyTargetStretch > 0 {
		work := r.WorkHint
		if work <= 0 {
			work = m.expectedRun(r)
		}
		r.targetAt = min(r.targetAt+time.Duration(c.LatencyTargetStretch*float64(work)), r.arrivedAt+c.Deadline)
	}
}

// Ended tells that a run, or a reuse, is over.
func (m *Module) RunEnded(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	m.now = now
	m.countCallTime()
	r := m.byID[id]
	if r == nil {
		return
	}
	if r.state == running && o != NeverStarted {
		m.noteProgress()
	}
	if r.state == running && !r.answered && o == OK {
		m.observeSuccess(r, took)
	}
	if o == Cancelled && !r.answered { // stopped without an answer: it is still owed
		m.leaveExecution(r)
		r.state = queued
		if m.class(r).Effect == Safe {
			m.queue = append([]*request{r}, m.queue...)
		} else {
			m.fail(r)
		}
		return
	}
	if e := m.records[id]; e != nil && o == NeverStarted && m.class(r).Effect == Keyed { // its only start took no effect
		e.mayHaveRun = false
		m.releaseRecord(r)
	}
	m.remove(r)
}

// turnAway refuses a request that never ran. Keyed work whose key may have run
// is never refused: it fails.
func (m *Module) refuse(r *request, last bool) {
	if r.mayHaveRun || (m.class(r).Effect == Keyed && r.RepeatOf != 0) {
		m.fail(r)
		return
	}
	m.releaseRecord(r)
	m.remove(r)
	m.host.Refuse(r.ID, m.retryAfter(), last)
}

// giveUp answers a request that has run, or may have, with an error, and stops
// safe work that nobody waits for.
func (m *Module) fail(r *request) {
	m.host.Fail(r.ID)
	m.markAnswered(r)
}

// letGo takes leave of a request to which no answer is owed any more.
func (m *Module) markAnswered(r *request) {
	r.answered = true
	if r.state == queued || r.state == joined {
		m.releaseRecord(r)
		m.remove(r)
	}
	m.preemptAnswered(r)
}

// stop halts safe work whose answer is out. Keyed and unsafe work goes on: its effect is wanted.
func (m *Module) preemptAnswered(r *request) {
	able := r.state == running && !r.finished && m.settings.Preemption != PreemptNone
	if able && !r.preempted && m.class(r).Effect == Safe {
		r.preempted = true
		m.host.Preempt(r.ID)
	}
}

// Gone tells that nobody waits for a request any more.
func (m *Module) CallerGone(now time.Duration, id RequestID) {
	m.now = now
	if r := m.byID[id]; r != nil {
		m.markAnswered(r)
	}
}

// margin is how long before it is due an answer must be decided.
func (m *Module) answerMargin() time.Duration { return controlInterval + 2*m.settings.BatchInterval }

// expire answers what can't wait: all before it is due, held work past its age
// limit, and running safe work whose answer would be worth nothing.
func (m *Module) answerExpired() {
	for _, r := range m.requests {
		if r.finished || r.answered {
			m.preemptAnswered(r)
			continue
		}
		late := m.now >= r.dueAt-m.answerMargin()
		if c := m.class(r); !late && r.state != queued && c.LateUtilityShare <= 0 && c.Effect == Safe && m.now > r.targetAt {
			late = true
			if r.state == running { // it takes at least this long: the runs that end in time hide it
				m.runLatency[r.Class].observe(m.now-r.startedAt, runLatencyWeight)
			}
		}
		switch {
		case r.state == queued && (late || m.mustLeaveQueue(r)):
			m.overloadCount++
			m.refuse(r, late || m.cannotMeetTargetAnywhere(r) || m.now > r.queueTimeoutAt && m.stopsRetries(r, true))
		case late:
			m.fail(r)
		}
	}
}

// leaveCores takes a request out of the counts of its state.
func (m *Module) leaveExecution(r *request) {
	switch r.state {
	case running:
		m.addRunning(r, -1)
	case callPending:
		m.inCallCount--
	case calling:
		m.inCallCount--
		m.callsInFlight--
		m.callSeconds[m.callBucket%callWindowBuckets] += m.settings.AbandonedCallTime.Seconds()
	default:
		return
	}
	m.requestMemoryKB -= max(r.MemoryKB*(m.settings.RunningMemoryFactor-1), 0)
}

// drop forgets a request of which nothing is left.
func (m *Module) remove(r *request) {
	if r.finished {
		return
	}
	m.leaveExecution(r)
	m.queue = slices.DeleteFunc(m.queue, func(o *request) bool { return o == r })
	m.requestMemoryKB -= r.MemoryKB
	r.finished = true
	delete(m.byID, r.ID)
}
