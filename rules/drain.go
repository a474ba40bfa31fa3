package rules

import "time"

const drainServeShare = 0.9 // of the drain's grace passes before callers are sent elsewhere

// Drain is the notice to leave: the process will be stopped after left.
func (m *Module) Drain(now time.Duration, left time.Duration) {
	m.now = now
	if !m.draining {
		m.draining, m.drainStartedAt = true, now
	}
	m.stopAt = now + max(left-2*m.settings.BatchInterval, 0)
	for _, r := range m.requests {
		r.dueAt = min(r.dueAt, m.stopAt)
	}
}

// leaving reports whether callers had better go elsewhere: for most of the grace they still may come.
func (m *Module) drainEnding() bool {
	return m.draining && float64(m.now-m.drainStartedAt) >= drainServeShare*float64(m.settings.DrainGrace)
}
