package rules

import (
	"math"
	"time"
)

const (
	feedbackInterval       = 200 * time.Millisecond // free value and pressure: a fifth of its usual life
	pressureIncrease       = 0.25                   // pressure gained per say for a full share of refusals
	pressureDecrease       = 0.02                   // pressure lost per say without refusals
	idlePressureFactor     = 0.6                    // of the pressure stays a say while slots are free
	toleratedRefusals      = 0.03                   // share of refusals that is no pressure
	retryAfterShare        = 0.3                    // of the time in which the line drains that advice names
	retryAfterGain         = 8.0                    // times that share more at full pressure: overload outlasts a line
	minRetryAfter          = 50 * time.Millisecond  // shortest retry-after: about a beat and a round trip
	stopRetriesPressure    = 0.3                    // pressure from which an overflowing retry is to try no other node
	stopFirstTriesPressure = 0.6                    // and any overflowing request: a walk in a large fleet is ten reads
	fewRetriesShare        = 0.1                    // share of marked retries under which the others have room
	retryShareWeight       = 0.02                   // weight of a request in that share: fifty requests
	staleTargetShare       = 0.5                    // of the aim gone before reading makes a request stale
	staleShareWeight       = 0.3                    // weight of a request in the stale share: a slow small node reads few
	unhealthyStaleShare    = 0.7                    // stale share from which callers are sent elsewhere
	staleShareFactor       = 0.97                   // of the stale share stays a say without reads: then tried again
	pressureCreditShare    = 0.6                    // of an even split is a caller's credit at full pressure
	pressureWeightShare    = 0.8                    // of the pressure that the weight passes on
)

// endsWalk reports whether a refused request is to try no other node; old: it was held too long here.
// Where walks are marked and few come here, the others have room and this node alone is short of it.
func (m *Module) stopsRetries(r *request, old bool) bool {
	room := m.settings.RetriesMarked && m.retryShare < fewRetriesShare
	alone := !room && (old || m.pressure > stopFirstTriesPressure || m.pressure > stopRetriesPressure && (r.Retry || !m.settings.RetriesMarked))
	return m.shedder == nil && alone || m.shedder != nil && m.shedder.StopsRetries(m.now, m.firstTryUtility(r))
}

// advice is the retry-after: a share of the line's drain time, more under pressure.
func (m *Module) retryAfter() time.Duration {
	if !m.settings.HonoursRetryAfter {
		return 0
	}
	longest := max(m.settings.MaxRetryAfter, 0)
	if m.drainEnding() || m.stalled {
		return longest
	}
	wait := retryAfterShare * (1 + retryAfterGain*m.pressure) * float64(len(m.queue)) / max(m.drainRate(), m.runLimit)
	advice := min(max(time.Duration(wait*float64(time.Second)), m.scaled(minRetryAfter)), longest)
	if m.shedder != nil {
		return m.shedder.RetryAfter(m.now, advice, longest)
	}
	return advice
}

// publishFeedback does what is due once in a feedback interval: it discards what has expired
// and publishes the idle timeout, the health and the load.
func (m *Module) publishFeedback() {
	m.expireRecords()
	m.forgetCallers()
	m.updateIdleTimeout()
	m.updatePressure()
	unhealthy := m.updateHealth()
	m.publishLoad(unhealthy)
}

func (m *Module) updatePressure() {
	share := 0.0
	if m.arrivalCount > 0 {
		share = float64(m.overloadCount) / float64(m.arrivalCount)
	}
	if share > toleratedRefusals {
		m.pressure = min(m.pressure+pressureIncrease*share*(1-m.pressure), 0.95)
	} else if m.pressure = max(m.pressure-pressureDecrease, 0); len(m.queue) == 0 && m.runningCount < int(m.runLimit) {
		m.pressure *= idlePressureFactor
	}
	if m.arrivalCount == 0 {
		m.staleShare *= staleShareFactor
	}
	m.arrivalCount, m.overloadCount = 0, 0
}

// updateHealth publishes a change of the node's health and reports whether it is unhealthy.
func (m *Module) updateHealth() bool {
	// Callers had better go elsewhere while work does not move, while most of it is old when read (a
	// slow machine, a long accept queue), and at the end of a drain's grace.
	out := m.stalled || m.staleShare > unhealthyStaleShare || m.drainEnding()
	if out == m.healthy {
		m.healthy = !out
		m.host.SetHealth(true, !out)
	}
	return out
}

func (m *Module) publishLoad(unhealthy bool) {
	value, none := 0.0, 0.0
	switch m.settings.LoadFeedback {
	case FeedbackNone:
		return
	case FeedbackLevel:
		value, none = m.pressure, 1
	case FeedbackCredit:
		even := pressureCreditShare / float64(max(m.settings.Callers, 1))
		value = max(1, (m.runLimit+float64(m.queueBound()))*(1-m.pressure*(1-even)))
	case FeedbackWeight:
		value = 1 - pressureWeightShare*m.pressure
	}
	if unhealthy {
		value = none
	}
	if math.Abs(value-m.publishedLoad) > 0.005 {
		m.publishedLoad = value
		m.host.PublishLoad(value)
	}
}
