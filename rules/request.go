package rules

import (
	"slices"
	"time"
)

// Queue timeouts, as shares of the class deadline.
const (
	queueTimeoutShare      = 0.12
	unknownAgeTimeoutShare = 0.05 // where nothing says how long the client has waited already
)

type requestState uint8

const (
	queued      requestState = iota // in the queue, for the first time or again after a preemption
	running                         // on a core or waiting for its disk
	callPending                     // needs a downstream call that is not decided yet
	calling                         // its downstream call is in flight
	joined                          // waits for the result of the earlier request that it repeats
)

// request is the state of one unfinished try.
type request struct {
	Request
	state           requestState
	mayHaveRun      bool // it was started, and the start may have had its effect
	answered        bool // its final answer is out; its run may go on
	preempted       bool // preempted after its answer
	finished        bool // the host has no state of it any more
	overQuota       bool // beyond its tenant's quota
	arrivedAt       time.Duration
	targetAt        time.Duration // arrivedAt plus the latency target: later answers have little or no utility
	startedAt       time.Duration // last start
	dueAt           time.Duration // its answer must be out before this
	queueTimeoutAt  time.Duration
	callAttempts    int // for the call that it needs at present
	lastCallOutcome Outcome
}

// setDeadlines sets when the answer is due, its latency target and its queue timeout. Where callers
// pass no timeout, the class deadline counts from the arrival.
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

// RunEnded reports that a run, or the wait of a joined request, has ended.
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
	if o == Cancelled && !r.answered { // preempted by the host, and not answered yet
		m.leaveExecution(r)
		r.state = queued
		if m.class(r).Effect == Safe {
			m.queue = append([]*request{r}, m.queue...)
		} else {
			m.fail(r)
		}
		return
	}
	// A keyed request whose only start was never carried out.
	if rec := m.records[id]; rec != nil && o == NeverStarted && m.class(r).Effect == Keyed {
		rec.mayHaveRun = false
		m.releaseRecord(r)
	}
	m.remove(r)
}

// refuse refuses a request that never ran; stopRetrying: its caller must try no other node. A request
// that may have run, or repeats a keyed one that may have, is never refused: it fails.
func (m *Module) refuse(r *request, stopRetrying bool) {
	if r.mayHaveRun || (m.class(r).Effect == Keyed && r.RepeatOf != 0) {
		m.fail(r)
		return
	}
	m.releaseRecord(r)
	m.remove(r)
	m.host.Refuse(r.ID, m.retryAfter(), stopRetrying)
}

// fail answers a request that has run, or may have, with an error and preempts it where that is safe.
func (m *Module) fail(r *request) {
	m.host.Fail(r.ID)
	m.markAnswered(r)
}

// markAnswered records that a request needs no answer any more. A request that is not running is removed.
func (m *Module) markAnswered(r *request) {
	r.answered = true
	if r.state == queued || r.state == joined {
		m.releaseRecord(r)
		m.remove(r)
	}
	m.preemptAnswered(r)
}

// preemptAnswered preempts a safe run whose answer is out. Keyed and unsafe runs go on: their effect is
// wanted.
func (m *Module) preemptAnswered(r *request) {
	preemptible := r.state == running && !r.finished && m.settings.Preemption != PreemptNone
	if preemptible && !r.preempted && m.class(r).Effect == Safe {
		r.preempted = true
		m.host.Preempt(r.ID)
	}
}

// CallerGone reports that nobody waits for a request any more.
func (m *Module) CallerGone(now time.Duration, id RequestID) {
	m.now = now
	if r := m.byID[id]; r != nil {
		m.markAnswered(r)
	}
}

// answerMargin is how long before it is due an answer must be decided: a timer event and two batches.
func (m *Module) answerMargin() time.Duration { return controlInterval + 2*m.settings.BatchInterval }

// answerExpired answers every request that is almost due, queued requests that must leave the queue,
// and safe requests whose answer would have no utility after the latency target.
func (m *Module) answerExpired() {
	for _, r := range m.requests {
		if r.finished || r.answered {
			m.preemptAnswered(r)
			continue
		}
		expired := m.now >= r.dueAt-m.answerMargin()
		if c := m.class(r); !expired && r.state != queued && c.LateUtilityShare <= 0 && c.Effect == Safe &&
			m.now > r.targetAt {
			expired = true
			if r.state == running { // a lower bound of its latency: only the short runs end in time
				m.runLatency[r.Class].observe(m.now-r.startedAt, runLatencyWeight)
			}
		}
		switch {
		case r.state == queued && (expired || m.mustLeaveQueue(r)):
			m.overloadCount++
			m.refuse(r, expired || m.cannotMeetTargetAnywhere(r) ||
				m.now > r.queueTimeoutAt && m.stopsRetries(r, true))
		case expired:
			m.fail(r)
		}
	}
}

// leaveExecution takes a request out of the counts and the memory of runs and calls.
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

// remove takes a finished request out of every count.
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
