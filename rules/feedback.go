package rules

import (
	"maps"
	"math"
	"time"
)

const (
	sayEvery     = 200 * time.Millisecond // free value and pressure: a fifth of its usual life
	pressureUp   = 0.25                   // pressure gained per say for a full share of refusals
	pressureDown = 0.02                   // pressure lost per say without refusals
	pressureIdle = 0.6                    // of the pressure stays a say while slots are free
	refusedOK    = 0.03                   // share of refusals that is no pressure
	adviceShare  = 0.3                    // of the time in which the line drains that advice names
	adviceGrow   = 8.0                    // times that share more at full pressure: overload outlasts a line
	minAdvice    = 50 * time.Millisecond  // shortest retry-after: about a beat and a round trip
	lastRetry    = 0.3                    // pressure from which an overflowing retry is to try no other node
	lastAll      = 0.6                    // and any overflowing request: a walk in a large fleet is ten reads
	againFew     = 0.1                    // share of marked retries under which the others have room
	againAlpha   = 0.02                   // weight of a request in that share: fifty requests
	staleAge     = 0.5                    // of the aim gone before reading makes a request stale
	staleAlpha   = 0.3                    // weight of a request in the stale share: a slow small node reads few
	staleOver    = 0.7                    // stale share from which callers are sent elsewhere
	staleFade    = 0.97                   // of the stale share stays a say without reads: then tried again
	creditPart   = 0.6                    // of an even split is a caller's credit at full pressure
	weightPart   = 0.8                    // of the pressure that the weight passes on
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
