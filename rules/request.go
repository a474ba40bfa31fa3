package rules

import (
	"slices"
	"time"
)

const (
	ageShare  = 0.12 // age limit as a share of the class deadline
	unsureAge = 0.05 // the same where nothing tells how long its client has waited
)

type state uint8

const (
	held    state = iota // in the line, or paused and back in it
	running              // on a core or waiting for its disk
	atCall               // stands at a call and waits for our word
	calling              // its call is out
	reusing              // waits for the result of the request it repeats
)

type request struct {
	Request
	state    state
	ran      bool          // a run took effect
	answered bool          // its final answer is out; its run may go on
	halted   bool          // told to stop after its answer
	over     bool          // nothing is left of it
	overdue  bool          // beyond its tenant's quota
	arrived  time.Duration // at the machine
	aim      time.Duration // an answer later than this is worth little
	started  time.Duration // its last run
	due      time.Duration // its answer must be out before this
	old      time.Duration // held beyond this it has waited too long
	calls    int           // calls made for the present need
	lastCall Outcome
}

// setTimes works out when the answer is due and until when it is wanted. Where
// callers pass no patience, the class deadline counts from the machine.
func (m *Module) setTimes(r *request) {
	c := m.class(r)
	r.due = r.arrived + c.Deadline
	if m.set.TimeoutsPassed && r.CallerTimeout > 0 {
		r.due = m.now + r.CallerTimeout
	}
	r.due = min(r.due, m.stopAt)
	share := ageShare
	if !m.set.RetriesMarked && !m.set.TimeoutsPassed { // it may be its client's third try
		share = unsureAge
	}
	r.old = r.arrived + time.Duration(share*float64(c.Deadline))
	r.aim = r.arrived + c.LatencyTarget
	if c.LatencyTargetStretch > 0 {
		work := r.WorkHint
		if work <= 0 {
			work = m.usualRun(r)
		}
		r.aim = min(r.aim+time.Duration(c.LatencyTargetStretch*float64(work)), r.arrived+c.Deadline)
	}
}

// Ended tells that a run, or a reuse, is over.
func (m *Module) RunEnded(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	m.now = now
	m.countCalls()
	r := m.byID[id]
	if r == nil {
		return
	}
	if r.state == running && o != NeverStarted {
		m.moved()
	}
	if r.state == running && !r.answered && o == OK {
		m.learn(r, took)
	}
	if o == Cancelled && !r.answered { // stopped without an answer: it is still owed
		m.leaveCores(r)
		r.state = held
		if m.class(r).Effect == Safe {
			m.line = append([]*request{r}, m.line...)
		} else {
			m.giveUp(r)
		}
		return
	}
	if e := m.entries[id]; e != nil && o == NeverStarted && m.class(r).Effect == Keyed { // its only start took no effect
		e.ran = false
		m.release(r)
	}
	m.drop(r)
}

// turnAway refuses a request that never ran. Keyed work whose key may have run
// is never refused: it fails.
func (m *Module) turnAway(r *request, last bool) {
	if r.ran || (m.class(r).Effect == Keyed && r.RepeatOf != 0) {
		m.giveUp(r)
		return
	}
	m.release(r)
	m.drop(r)
	m.host.Refuse(r.ID, m.advice(), last)
}

// giveUp answers a request that has run, or may have, with an error, and stops
// safe work that nobody waits for.
func (m *Module) giveUp(r *request) {
	m.host.Fail(r.ID)
	m.letGo(r)
}

// letGo takes leave of a request to which no answer is owed any more.
func (m *Module) letGo(r *request) {
	r.answered = true
	if r.state == held || r.state == reusing {
		m.release(r)
		m.drop(r)
	}
	m.stop(r)
}

// stop halts safe work whose answer is out. Keyed and unsafe work goes on: its effect is wanted.
func (m *Module) stop(r *request) {
	able := r.state == running && !r.over && m.set.Preemption != PreemptNone
	if able && !r.halted && m.class(r).Effect == Safe {
		r.halted = true
		m.host.Preempt(r.ID)
	}
}

// Gone tells that nobody waits for a request any more.
func (m *Module) CallerGone(now time.Duration, id RequestID) {
	m.now = now
	if r := m.byID[id]; r != nil {
		m.letGo(r)
	}
}

// margin is how long before it is due an answer must be decided.
func (m *Module) margin() time.Duration { return beat + 2*m.set.BatchInterval }

// expire answers what can't wait: all before it is due, held work past its age
// limit, and running safe work whose answer would be worth nothing.
func (m *Module) expire() {
	for _, r := range m.all {
		if r.over || r.answered {
			m.stop(r)
			continue
		}
		late := m.now >= r.due-m.margin()
		if c := m.class(r); !late && r.state != held && c.LateUtilityShare <= 0 && c.Effect == Safe && m.now > r.aim {
			late = true
			if r.state == running { // it takes at least this long: the runs that end in time hide it
				m.runs[r.Class].learn(m.now-r.started, runAlpha)
			}
		}
		switch {
		case r.state == held && (late || m.tooOld(r)):
			m.overflow++
			m.turnAway(r, late || m.forlorn(r) || m.now > r.old && m.endsWalk(r, true))
		case late:
			m.giveUp(r)
		}
	}
}

// leaveCores takes a request out of the counts of its state.
func (m *Module) leaveCores(r *request) {
	switch r.state {
	case running:
		m.core(r, -1)
	case atCall:
		m.inCalls--
	case calling:
		m.inCalls--
		m.callsOut--
		m.callTime[m.callBucket%callBuckets] += m.set.AbandonedCallTime.Seconds()
	default:
		return
	}
	m.memory -= max(r.MemoryKB*(m.set.RunningMemoryFactor-1), 0)
}

// drop forgets a request of which nothing is left.
func (m *Module) drop(r *request) {
	if r.over {
		return
	}
	m.leaveCores(r)
	m.line = slices.DeleteFunc(m.line, func(o *request) bool { return o == r })
	m.memory -= r.MemoryKB
	r.over = true
	delete(m.byID, r.ID)
}
