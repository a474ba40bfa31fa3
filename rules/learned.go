package rules

import "time"

// Learned is what a module knows of its node's performance, so that it can outlive the process. It is
// stored as CBOR; the tags keep the map keys of stored snapshots.
type Learned struct {
	RunLimit  float64        `cbor:"Limit"`
	DrainRate float64        `cbor:"Rate"` // requests a second, 0 = not known
	Classes   []LearnedClass // by class of the settings
}

// LearnedClass is what is known of one class's runs. Latencies and hints are in seconds.
type LearnedClass struct {
	MeanLatency     float64 `cbor:"Mean"` // smoothed run latency
	BaselineLatency float64 `cbor:"Base"` // run latency without contention
	Samples         float64 `cbor:"Runs"` // number of runs observed
	MeanHint        float64 `cbor:"Hint"` // smoothed work hint
	HintVariance    float64 `cbor:"Var"`
	HintCovariance  float64 `cbor:"Cov"` // of hint and run latency
}

// Learned returns what the module has learned so far.
func (m *Module) Learned() Learned {
	l := Learned{RunLimit: m.runLimit, Classes: make([]LearnedClass, len(m.runLatency))}
	if m.drainSeconds >= m.scaled(limitInterval).Seconds() {
		l.DrainRate = m.drainSuccesses / m.drainSeconds
	}
	for i, e := range m.runLatency {
		l.Classes[i] = LearnedClass{
			MeanLatency: e.mean, BaselineLatency: e.baseline, Samples: e.samples,
			MeanHint: m.meanHint[i], HintVariance: m.hintVariance, HintCovariance: m.hintCovariance,
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
		if c.Samples < minSamples || c.MeanLatency <= 0 || m.runLatency[i].samples > 0 {
			continue
		}
		// Fewer than minSamples, so that the baseline comes from observed runs only.
		samples := max(1, float64(int(weight*(minSamples-1))))
		m.runLatency[i] = latencyEstimate{mean: c.MeanLatency / speed, samples: samples}
		m.meanHint[i], m.hintVariance, m.hintCovariance = c.MeanHint, max(m.hintVariance, c.HintVariance), c.HintCovariance/speed
	}
	if l.DrainRate > 0 && m.drainSeconds == 0 {
		m.drainSeconds = weight * time.Second.Seconds()
		m.drainSuccesses = l.DrainRate * speed * m.drainSeconds
	}
}

// DiscardWarmStart discards what WarmStart brought, when what was observed contradicts it.
func (m *Module) DiscardWarmStart() {
	for i := range m.runLatency {
		m.runLatency[i], m.meanHint[i] = latencyEstimate{}, 0
	}
	m.hintVariance, m.hintCovariance, m.drainSeconds, m.drainSuccesses = 0, 0, 0, 0
}
