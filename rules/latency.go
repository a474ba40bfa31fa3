package rules

import "time"

const (
	runLatencyWeight  = 0.08                   // weight of a run in its class latency: about a dozen runs
	minSamples        = 5                      // runs of a class before its mean is believed: a small node sees few
	runBaselineDrift  = 1.002                  // the base creeps up so that one lucky run is forgotten
	initialRunLatency = 300 * time.Millisecond // a run's length until the first one ended
)

// pace is a smoothed latency, in seconds, and its base: the lowest it has been
// since enough samples came, creeping up; 0 = not yet.
type latencyEstimate struct{ mean, baseline, samples float64 }

func (p *latencyEstimate) observe(took time.Duration, alpha float64) {
	p.samples++
	p.mean += max(alpha, 1/p.samples) * (took.Seconds() - p.mean)
	if p.samples == minSamples {
		p.baseline = p.mean
	}
	p.baseline = min(p.baseline, p.mean)
}

// slow is the latency over its base, 1 while there is none.
func (p *latencyEstimate) ratio() float64 {
	if p.baseline <= 0 {
		return 1
	}
	return p.mean / p.baseline
}

// usualRun is how long a request runs at present: its class's mean, moved by its
// own hint along a slope over all classes: one class may have a few odd runs.
func (m *Module) expectedRun(r *request) time.Duration {
	l := m.runLatency[r.Class]
	if l.samples == 0 {
		return min(initialRunLatency, m.class(r).Deadline/8)
	}
	t := l.mean
	if r.WorkHint > 0 && m.hintVariance > 0 {
		t = max(t+max(m.hintCovariance/m.hintVariance, 0)*(r.WorkHint.Seconds()-m.meanHint[r.Class]), t/10)
	}
	if l.samples < minSamples {
		t = min(t, m.class(r).Deadline.Seconds()/8)
	}
	return time.Duration(t * float64(time.Second))
}

// ratio is the mean over the classes that have one of run latency over base,
// and usual their mean run latency in seconds, 0 while nothing is known.
func (m *Module) meanLatency() (ratio, usual float64) {
	n := 0.0
	for i := range m.runLatency {
		if p := &m.runLatency[i]; p.baseline > 0 {
			ratio += p.ratio()
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
func (m *Module) observeSuccess(r *request, took time.Duration) {
	if m.saturated {
		m.saturatedSuccesses++
	}
	p := &m.runLatency[r.Class]
	if r.WorkHint > 0 {
		dx, dy := r.WorkHint.Seconds()-m.meanHint[r.Class], took.Seconds()-p.mean
		m.meanHint[r.Class] += max(runLatencyWeight, 1/(p.samples+1)) * dx
		if p.samples > 0 {
			m.hintVariance += runLatencyWeight / 2 * (dx*dx - m.hintVariance)
			m.hintCovariance += runLatencyWeight / 2 * (dx*dy - m.hintCovariance)
		}
	}
	p.baseline *= runBaselineDrift
	p.observe(took, runLatencyWeight)
	if m.pools != nil {
		m.pools.RunSucceeded(m.now, r.Class, took)
	}
}
