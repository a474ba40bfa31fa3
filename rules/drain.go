package rules

import "time"

// drainServeShare is the share of the drain's grace after which callers are sent elsewhere.
const drainServeShare = 0.9

// Drain announces that the process will be stopped after left. Every answer goes out before that.
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

// drainEnding reports whether callers are to be sent elsewhere: for most of the grace they may still come.
func (m *Module) drainEnding() bool {
	return m.draining && float64(m.now-m.drainStartedAt) >= drainServeShare*float64(m.settings.DrainGrace)
}

// arrivedAfterGrace reports whether a request came after the drain's grace and must not run any more.
func (m *Module) arrivedAfterGrace(r *request) bool {
	return m.draining && r.arrivedAt > m.drainStartedAt+m.settings.DrainGrace-m.answerMargin()
}
