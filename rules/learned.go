package rules

import "time"

// What the module has learned, out and in again, so that it can outlive a process.
// This file holds no decision: how far a prior is believed is said by whoever brings it.

// Learned is what a module knows of its node's work. Times are seconds, the rate
// is held requests a second.
type Learned struct {
	Limit   float64        // running limit
	Rate    float64        // at which the line drains, 0 = not known
	Classes []LearnedClass // by class of the settings
}

// LearnedClass is what is known of one class's runs.
type LearnedClass struct {
	Mean, Base, Runs float64 // usual run, the shortest it has been, runs it rests on
	Hint, Var, Cov   float64 // hint of those runs, its square off the mean, and times run off its mean
}

// Learned tells what the module has learned so far.
func (m *Module) Learned() Learned {
	l := Learned{Limit: m.runLimit, Classes: make([]LearnedClass, len(m.runLatency))}
	if m.drainSeconds >= m.scaled(limitInterval).Seconds() {
		l.Rate = m.drainSuccesses / m.drainSeconds
	}
	for i, p := range m.runLatency {
		l.Classes[i] = LearnedClass{Mean: p.mean, Base: p.baseline, Runs: p.samples, Hint: m.meanHint[i], Var: m.hintVariance, Cov: m.hintCovariance}
	}
	return l
}

// Prior takes what an earlier life had learned as if it rested on a few runs:
// weight, from 0 to 1, says on how many. speed is the share of its usual speed that
// the node starts at. Classes of which something is known already stay as they are.
func (m *Module) WarmStart(l Learned, weight, speed float64) {
	if weight <= 0 || speed <= 0 || len(l.Classes) != len(m.runLatency) {
		return
	}
	for i, c := range l.Classes {
		if c.Runs < minSamples || c.Mean <= 0 || m.runLatency[i].samples > 0 {
			continue
		}
		// Fewer than learnRuns, so that no base is taken from what was not seen.
		m.runLatency[i] = latencyEstimate{mean: c.Mean / speed, samples: max(1, float64(int(weight*(minSamples-1))))}
		m.meanHint[i], m.hintVariance, m.hintCovariance = c.Hint, max(m.hintVariance, c.Var), c.Cov/speed
	}
	if l.Rate > 0 && m.drainSeconds == 0 {
		m.drainSeconds = weight * time.Second.Seconds()
		m.drainSuccesses = l.Rate * speed * m.drainSeconds
	}
}

// Forget drops what Prior brought: the evidence speaks against it.
func (m *Module) DiscardWarmStart() {
	for i := range m.runLatency {
		m.runLatency[i], m.meanHint[i] = latencyEstimate{}, 0
	}
	m.hintVariance, m.hintCovariance, m.drainSeconds, m.drainSuccesses = 0, 0, 0, 0
}
