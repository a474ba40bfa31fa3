package rules

import "time"

const (
	stallIntervals = 10.0                   // usual intervals between signs of progress that count as a stall
	minStallTime   = 800 * time.Millisecond // shortest time without progress that counts as a stall
)

// noteProgress records that a run continued or ended. At the end of a stall, answered requests may be
// preempted once more.
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

// detectStall looks for a stall: many times the usual interval passed without a sign of progress.
func (m *Module) detectStall() {
	if m.runningCount == 0 {
		m.lastProgress, m.stalled = m.now, false
		return
	}
	_, usual := m.meanLatency()
	quiet := m.now - m.lastProgress
	intervals := quiet.Seconds() * float64(m.runningCount) / usual
	if !m.stalled && usual > 0 && intervals > stallIntervals && quiet > m.scaled(minStallTime) {
		m.stalled = true
		m.host.Log("no work moves: refusing")
	}
}
