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
	l := Learned{Limit: m.limit, Classes: make([]LearnedClass, len(m.runs))}
	if m.rateTime >= m.span(stepEvery).Seconds() {
		l.Rate = m.rateCount / m.rateTime
	}
	for i, p := range m.runs {
		l.Classes[i] = LearnedClass{Mean: p.mean, Base: p.base, Runs: p.n, Hint: m.hints[i], Var: m.hintVar, Cov: m.hintCov}
	}
	return l
}

// Prior takes what an earlier life had learned as if it rested on a few runs:
// weight, from 0 to 1, says on how many. speed is the share of its usual speed that
// the node starts at. Classes of which something is known already stay as they are.
func (m *Module) WarmStart(l Learned, weight, speed float64) {
	if weight <= 0 || speed <= 0 || len(l.Classes) != len(m.runs) {
		return
	}
	for i, c := range l.Classes {
		if c.Runs < learnRuns || c.Mean <= 0 || m.runs[i].n > 0 {
			continue
		}
		// Fewer than learnRuns, so that no base is taken from what was not seen.
		m.runs[i] = pace{mean: c.Mean / speed, n: max(1, float64(int(weight*(learnRuns-1))))}
		m.hints[i], m.hintVar, m.hintCov = c.Hint, max(m.hintVar, c.Var), c.Cov/speed
	}
	if l.Rate > 0 && m.rateTime == 0 {
		m.rateTime = weight * time.Second.Seconds()
		m.rateCount = l.Rate * speed * m.rateTime
	}
}

// Forget drops what Prior brought: the evidence speaks against it.
func (m *Module) DiscardWarmStart() {
	for i := range m.runs {
		m.runs[i], m.hints[i] = pace{}, 0
	}
	m.hintVar, m.hintCov, m.rateTime, m.rateCount = 0, 0, 0, 0
}
