package rules

import "time"

const (
	stallGaps = 10.0                   // usual gaps without progress that count as a stall
	stallMin  = 800 * time.Millisecond // and at least this long
)

// moved notes a sign of progress; after a stall, what was answered is stopped.
func (m *Module) moved() {
	m.progress = m.now
	if !m.stalled {
		return
	}
	m.stalled = false
	m.host.Log("work moves again")
	for _, r := range m.all {
		r.halted = false
	}
}

// watch looks for a stall: many usual gaps went by without a sign of progress.
func (m *Module) watch() {
	if m.onCores == 0 {
		m.progress, m.stalled = m.now, false
		return
	}
	_, usual := m.ratio()
	quiet := m.now - m.progress
	gaps := quiet.Seconds() * float64(m.onCores) / usual
	if !m.stalled && usual > 0 && gaps > stallGaps && quiet > m.span(stallMin) {
		m.stalled = true
		m.host.Log("no work moves: refusing")
	}
}
