package rules

import "time"

// Learned is what a module knows of its node's performance, so that it can outlive the process. Its fields
// are stored under their Go names.
type Learned struct {
	Limit   float64        // running limit
	Rate    float64        // drain rate in requests a second, 0 = not known
	Classes []LearnedClass // by class of the settings
}

// LearnedClass is what is known of one class's runs.
type LearnedClass struct {
	Mean, Base, Runs float64 // run latency and its baseline in seconds, number of runs observed
	Hint, Var, Cov   float64 // mean work hint in seconds, hint variance, covariance of hint and latency
}

// Learned returns what the module has learned so far.
func (m *Module) Learned() Learned {
	l := Learned{Limit: m.runLimit, Classes: make([]LearnedClass, len(m.runLatency))}
	if m.drainSeconds >= m.scaled(limitInterval).Seconds() {
		l.Rate = m.drainSuccesses / m.drainSeconds
	}
	for i, e := range m.runLatency {
		l.Classes[i] = LearnedClass{
			Mean: e.mean, Base: e.baseline, Runs: e.samples,
			Hint: m.meanHint[i], Var: m.hintVariance, Cov: m.hintCovariance,
		}
	}
	return l
}

// WarmStart takes over what a previous incarnation had learned, as if it rested on a few runs: weight,
// from 0 to 1, says on how many. speed is the share of its usual speed that the node starts at. Classes
// with observed runs stay as they are.
func (m *Module) WarmStart(l Learned, weight, speed float64) {
	if weight <= 0 || speed <= 0 || len(l.Classes) != len(m.runLatency) {
		return
	}
	for i, c := range l.Classes {
		if c.Runs < minSamples || c.Mean <= 0 || m.runLatency[i].samples > 0 {
			continue
		}
		// Fewer than minSamples, so that the baseline comes from observed runs only.
		samples := max(1, float64(int(weight*(minSamples-1))))
		m.runLatency[i] = latencyEstimate{mean: c.Mean / speed, samples: samples}
		m.meanHint[i], m.hintVariance, m.hintCovariance = c.Hint, max(m.hintVariance, c.Var), c.Cov/speed
	}
	if l.Rate > 0 && m.drainSeconds == 0 {
		m.drainSeconds = weight * time.Second.Seconds()
		m.drainSuccesses = l.Rate * speed * m.drainSeconds
	}
}

// DiscardWarmStart discards what WarmStart brought, when what was observed contradicts it.
func (m *Module) DiscardWarmStart() {
	for i := range m.runLatency {
		m.runLatency[i], m.meanHint[i] = latencyEstimate{}, 0
	}
	m.hintVariance, m.hintCovariance, m.drainSeconds, m.drainSuccesses = 0, 0, 0, 0
}
