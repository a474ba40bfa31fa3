package rules

import "time"

const (
	runLatencyWeight  = 0.08                   // weight of a run in its class's mean: about a dozen runs
	minSamples        = 5                      // runs before a mean is relied on: a small node has few
	runBaselineDrift  = 1.002                  // factor per run, so that one unusually short run is forgotten
	initialRunLatency = 300 * time.Millisecond // assumed until the first run of a class has ended
)

// latencyEstimate is a smoothed latency and its baseline, the lowest mean since there were enough
// samples; the baseline drifts upwards. Both are in seconds, 0 = not known yet.
type latencyEstimate struct{ mean, baseline, samples float64 }

func (l *latencyEstimate) observe(took time.Duration, weight float64) {
	l.samples++
	l.mean += max(weight, 1/l.samples) * (took.Seconds() - l.mean)
	if l.samples == minSamples {
		l.baseline = l.mean
	}
	l.baseline = min(l.baseline, l.mean)
}

// ratio is the mean over the baseline, 1 while there is no baseline.
func (l *latencyEstimate) ratio() float64 {
	if l.baseline <= 0 {
		return 1
	}
	return l.mean / l.baseline
}

// expectedRun is how long a request would run at present: the mean of its class, corrected by its work
// hint along one regression line for all classes, since a single class may have only a few runs, with
// outliers among them.
func (m *Module) expectedRun(r *request) time.Duration {
	l := m.runLatency[r.Class]
	if l.samples == 0 {
		return min(initialRunLatency, m.class(r).Deadline/8)
	}
	seconds := l.mean
	if r.WorkHint > 0 && m.hintVariance > 0 {
		slope := max(m.hintCovariance/m.hintVariance, 0)
		seconds = max(seconds+slope*(r.WorkHint.Seconds()-m.meanHint[r.Class]), seconds/10)
	}
	if l.samples < minSamples {
		seconds = min(seconds, m.class(r).Deadline.Seconds()/8)
	}
	return time.Duration(seconds * float64(time.Second))
}

// meanLatency averages over the classes that have a baseline: ratio is that of run latency to its
// baseline, seconds the run latency, 0 while there is none.
func (m *Module) meanLatency() (ratio, seconds float64) {
	n := 0.0
	for i := range m.runLatency {
		if l := &m.runLatency[i]; l.baseline > 0 {
			ratio += l.ratio()
			seconds += l.mean
			n++
		}
	}
	if n == 0 { // the first runs to end are the shortest and not representative
		return 1, 0
	}
	return ratio / n, seconds / n
}

// observeSuccess learns from a successful run. Other outcomes are not observed: fast errors would look
// like short runs.
func (m *Module) observeSuccess(r *request, took time.Duration) {
	if m.saturated {
		m.saturatedSuccesses++
	}
	l := &m.runLatency[r.Class]
	if r.WorkHint > 0 {
		hintDelta, latencyDelta := r.WorkHint.Seconds()-m.meanHint[r.Class], took.Seconds()-l.mean
		m.meanHint[r.Class] += max(runLatencyWeight, 1/(l.samples+1)) * hintDelta
		if l.samples > 0 {
			m.hintVariance += runLatencyWeight / 2 * (hintDelta*hintDelta - m.hintVariance)
			m.hintCovariance += runLatencyWeight / 2 * (hintDelta*latencyDelta - m.hintCovariance)
		}
	}
	l.baseline *= runBaselineDrift
	l.observe(took, runLatencyWeight)
	if m.pools != nil {
		m.pools.RunSucceeded(m.now, r.Class, took)
	}
}
