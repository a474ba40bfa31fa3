package rules

import "time"

const (
	stallIntervals = 10.0                   // usual gaps without progress that count as a stall
	minStallTime   = 800 * time.Millisecond // and at least this long
)

// moved notes a sign of progress; after a stall, what was answered is stopped.
func (m *Module) noteProgress() {
	m.lastProgress = m.now
	if !m.stalled {
		return
	}
	m.stalled = false
	m.host.Log("work moves again")
	for _, r := range m.requests {
		r.preempted = false
	}
}

// watch looks for a stall: many usual gaps went by without a sign of progress.
func (m *Module) detectStall() {
	if m.runningCount == 0 {
		m.lastProgress, m.stalled = m.now, false
		return
	}
	_, usual := m.meanLatency()
	quiet := m.now - m.lastProgress
	gaps := quiet.Seconds() * float64(m.runningCount) / usual
	if !m.stalled && usual > 0 && gaps > stallIntervals && quiet > m.scaled(minStallTime) {
		m.stalled = true
		m.host.Log("no work moves: refusing")
	}
}
