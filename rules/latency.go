package rules

import "time"

const (
	runAlpha      = 0.08                   // weight of a run in its class latency: about a dozen runs
	learnRuns     = 5                      // runs of a class before its mean is believed: a small node sees few
	baseDrift     = 1.002                  // the base creeps up so that one lucky run is forgotten
	firstRunGuess = 300 * time.Millisecond // a run's length until the first one ended
)

// pace is a smoothed latency, in seconds, and its base: the lowest it has been
// since enough samples came, creeping up; 0 = not yet.
type pace struct{ mean, base, n float64 }

func (p *pace) learn(took time.Duration, alpha float64) {
	p.n++
	p.mean += max(alpha, 1/p.n) * (took.Seconds() - p.mean)
	if p.n == learnRuns {
		p.base = p.mean
	}
	p.base = min(p.base, p.mean)
}

// slow is the latency over its base, 1 while there is none.
func (p *pace) slow() float64 {
	if p.base <= 0 {
		return 1
	}
	return p.mean / p.base
}

// usualRun is how long a request runs at present: its class's mean, moved by its
// own hint along a slope over all classes: one class may have a few odd runs.
func (m *Module) usualRun(r *request) time.Duration {
	l := m.runs[r.Class]
	if l.n == 0 {
		return min(firstRunGuess, m.class(r).Deadline/8)
	}
	t := l.mean
	if r.WorkHint > 0 && m.hintVar > 0 {
		t = max(t+max(m.hintCov/m.hintVar, 0)*(r.WorkHint.Seconds()-m.hints[r.Class]), t/10)
	}
	if l.n < learnRuns {
		t = min(t, m.class(r).Deadline.Seconds()/8)
	}
	return time.Duration(t * float64(time.Second))
}

// ratio is the mean over the classes that have one of run latency over base,
// and usual their mean run latency in seconds, 0 while nothing is known.
func (m *Module) ratio() (ratio, usual float64) {
	n := 0.0
	for i := range m.runs {
		if p := &m.runs[i]; p.base > 0 {
			ratio += p.slow()
			usual += p.mean
			n++
		}
	}
	if n == 0 { // the first to end are the shortest: they say nothing yet
		return 1, 0
	}
	return ratio / n, usual / n
}

// learn takes a success into account. Nothing else teaches: fast errors look like speed.
func (m *Module) learn(r *request, took time.Duration) {
	if m.waits {
		m.drained++
	}
	p := &m.runs[r.Class]
	if r.WorkHint > 0 {
		dx, dy := r.WorkHint.Seconds()-m.hints[r.Class], took.Seconds()-p.mean
		m.hints[r.Class] += max(runAlpha, 1/(p.n+1)) * dx
		if p.n > 0 {
			m.hintVar += runAlpha / 2 * (dx*dx - m.hintVar)
			m.hintCov += runAlpha / 2 * (dx*dy - m.hintCov)
		}
	}
	p.base *= baseDrift
	p.learn(took, runAlpha)
	if m.pools != nil {
		m.pools.RunSucceeded(m.now, r.Class, took)
	}
}
