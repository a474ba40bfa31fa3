package rules

import (
	"math"
	"time"
)

const (
	feedbackInterval = 200 * time.Millisecond // a fifth of the usual lifetime of published load feedback

	// Pressure, per feedback interval.
	pressureIncrease   = 0.25 // added if every request is refused
	pressureDecrease   = 0.02 // subtracted without refusals
	idlePressureFactor = 0.6  // while slots are free
	toleratedRefusals  = 0.03 // share of refusals that does not count as overload
	maxPressure        = 0.95

	// Retry advice.
	retryAfterShare        = 0.3                   // of the time in which the queue drains
	retryAfterGain         = 8.0                   // increase at full pressure: overload outlasts a queue
	minRetryAfter          = 50 * time.Millisecond // about a control interval and a round trip
	stopRetriesPressure    = 0.3                   // pressure from which refused retries are to stop
	stopFirstTriesPressure = 0.6                   // first tries too: retries in a large fleet cost ten reads
	fewRetriesShare        = 0.1                   // marked retries below which others have capacity
	retryShareWeight       = 0.02                  // weight of a request in that share: about fifty requests

	// Staleness of arrivals, and the health that follows from it.
	staleTargetShare    = 0.5  // a request is stale if this share of its latency target had passed on arrival
	staleShareWeight    = 0.3  // weight of a request in the stale share: a slow small node reads few
	unhealthyStaleShare = 0.7  // stale share from which callers are sent elsewhere
	staleShareFactor    = 0.97 // per feedback interval without arrivals: after a while the node is tried again

	// Published load.
	pressureCreditShare = 0.6   // of an even split, a caller's credit at full pressure
	pressureWeightShare = 0.8   // share of the pressure that the weight passes on
	minLoadChange       = 0.005 // smaller changes are not published
)

// stopsRetries reports whether the caller of a refused request must try no other node; timedOut:
// its queue timeout was exceeded here. Where retries are marked and few arrive, the other nodes have
// capacity and only this node is short of it.
func (m *Module) stopsRetries(r *request, timedOut bool) bool {
	othersHaveCapacity := m.settings.RetriesMarked && m.retryShare < fewRetriesShare
	localDecision := !othersHaveCapacity && (timedOut || m.pressure > stopFirstTriesPressure ||
		m.pressure > stopRetriesPressure && (r.Retry || !m.settings.RetriesMarked))
	return m.shedder == nil && localDecision ||
		m.shedder != nil && m.shedder.StopsRetries(m.now, m.firstTryUtility(r))
}

// retryAfter is the advice to a refused caller: a share of the time in which the queue drains, longer
// under pressure; 0 where it is not passed on.
func (m *Module) retryAfter() time.Duration {
	if !m.settings.HonoursRetryAfter {
		return 0
	}
	longest := max(m.settings.MaxRetryAfter, 0)
	if m.drainEnding() || m.stalled {
		return longest
	}
	seconds := retryAfterShare * (1 + retryAfterGain*m.pressure) * float64(len(m.queue)) /
		max(m.drainRate(), m.runLimit)
	after := min(max(time.Duration(seconds*float64(time.Second)), m.scaled(minRetryAfter)), longest)
	if m.shedder != nil {
		return m.shedder.RetryAfter(m.now, after, longest)
	}
	return after
}

// publishFeedback does the work of a feedback interval: it discards expired records and callers and
// publishes the idle timeout, the health and the load.
func (m *Module) publishFeedback() {
	m.expireRecords()
	m.forgetCallers()
	m.updateIdleTimeout()
	m.updatePressure()
	unhealthy := m.updateHealth()
	m.publishLoad(unhealthy)
}

// updatePressure follows the share of arrivals that were refused because of overload.
func (m *Module) updatePressure() {
	share := 0.0
	if m.arrivalCount > 0 {
		share = float64(m.overloadCount) / float64(m.arrivalCount)
	}
	if share > toleratedRefusals {
		m.pressure = min(m.pressure+pressureIncrease*share*(1-m.pressure), maxPressure)
	} else {
		m.pressure = max(m.pressure-pressureDecrease, 0)
		if len(m.queue) == 0 && m.runningCount < int(m.runLimit) {
			m.pressure *= idlePressureFactor
		}
	}
	if m.arrivalCount == 0 {
		m.staleShare *= staleShareFactor
	}
	m.arrivalCount, m.overloadCount = 0, 0
}

// updateHealth publishes a change of health and reports whether the node is unhealthy: it is stalled,
// most requests are stale on arrival (a slow machine, a long accept queue), or its drain is ending.
func (m *Module) updateHealth() bool {
	unhealthy := m.stalled || m.staleShare > unhealthyStaleShare || m.drainEnding()
	if unhealthy == m.healthy {
		m.healthy = !unhealthy
		m.host.SetHealth(true, !unhealthy)
	}
	return unhealthy
}

// publishLoad publishes the load feedback of the kind that the settings ask for; an unhealthy node
// publishes the value that keeps callers away.
func (m *Module) publishLoad(unhealthy bool) {
	value, unavailable := 0.0, 0.0
	switch m.settings.LoadFeedback {
	case FeedbackNone:
		return
	case FeedbackLevel:
		value, unavailable = m.pressure, 1
	case FeedbackCredit:
		evenShare := pressureCreditShare / float64(max(m.settings.Callers, 1))
		value = max(1, (m.runLimit+float64(m.queueBound()))*(1-m.pressure*(1-evenShare)))
	case FeedbackWeight:
		value = 1 - pressureWeightShare*m.pressure
	}
	if unhealthy {
		value = unavailable
	}
	if math.Abs(value-m.publishedLoad) > minLoadChange {
		m.publishedLoad = value
		m.host.PublishLoad(value)
	}
}
