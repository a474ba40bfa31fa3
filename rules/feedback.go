package rules

import (
	"maps"
	"math"
	"time"
)

// endsWalk reports whether a refused request is to try no other node; old: it was held too long here.
// Where walks are marked and few come here, the others have room and this node alone is short of it.
func (m *Module) endsWalk(r *request, old bool) bool {
	room := m.set.RetriesMarked && m.again < againFew
	alone := !room && (old || m.pressure > lastAll || m.pressure > lastRetry && (r.Retry || !m.set.RetriesMarked))
	return m.together == nil && alone || m.together != nil && m.together.StopsRetries(m.now, m.price(r))
}

// advice is the retry-after: a share of the line's drain time, more under pressure.
func (m *Module) advice() time.Duration {
	if !m.set.HonoursRetryAfter {
		return 0
	}
	longest := max(m.set.MaxRetryAfter, 0)
	if m.leaving() || m.stalled {
		return longest
	}
	wait := adviceShare * (1 + adviceGrow*m.pressure) * float64(len(m.line)) / max(m.drainRate(), m.limit)
	advice := min(max(time.Duration(wait*float64(time.Second)), m.span(minAdvice)), longest)
	if m.together != nil {
		return m.together.RetryAfter(m.now, advice, longest)
	}
	return advice
}

// say sets the free value and the health that callers are told.
func (m *Module) say() {
	maps.DeleteFunc(m.entries, func(_ RequestID, e *entry) bool {
		if e.expires < m.now && e.freed {
			m.freed--
		}
		return e.expires < m.now
	})
	old := m.now - idleShortest<<idleSteps
	maps.DeleteFunc(m.lastFrom, func(_ uint32, at time.Duration) bool { return at < old })
	m.closeIdle()
	share := 0.0
	if m.read > 0 {
		share = float64(m.overflow) / float64(m.read)
	}
	if share > refusedOK {
		m.pressure = min(m.pressure+pressureUp*share*(1-m.pressure), 0.95)
	} else if m.pressure = max(m.pressure-pressureDown, 0); len(m.line) == 0 && m.onCores < int(m.limit) {
		m.pressure *= pressureIdle
	}
	if m.read == 0 {
		m.stale *= staleFade
	}
	m.read, m.overflow = 0, 0
	// Callers had better go elsewhere while work does not move, while most of it is old when read (a
	// slow machine, a long accept queue), and at the end of a drain's grace.
	out := m.stalled || m.stale > staleOver || m.leaving()
	if out == m.healthy {
		m.healthy = !out
		m.host.SetHealth(true, !out)
	}
	value, none := 0.0, 0.0
	switch m.set.LoadFeedback {
	case FeedbackNone:
		return
	case FeedbackLevel:
		value, none = m.pressure, 1
	case FeedbackCredit:
		even := creditPart / float64(max(m.set.Callers, 1))
		value = max(1, (m.limit+float64(m.bound()))*(1-m.pressure*(1-even)))
	case FeedbackWeight:
		value = 1 - weightPart*m.pressure
	}
	if out {
		value = none
	}
	if math.Abs(value-m.said) > 0.005 {
		m.said = value
		m.host.PublishLoad(value)
	}
}
