package recovery

import (
	"fmt"
	"math"
	"time"

	"robinmast/rules"
)

// SnapshotVersion is the version of the snapshot format. Other versions are not read.
const SnapshotVersion = 1

// Parameters of snapshots and warm starts.
const (
	snapshotHalfLife    = 30 * time.Minute // half-life of a snapshot's weight: load and code change
	maxSnapshotAge      = 12 * time.Hour   // older snapshots are not used
	maxClockSkew        = 5 * time.Minute  // a snapshot from further in the future was taken by a wrong clock
	warmStartRuns       = 6                // runs that a warm start is checked against
	maxRunTimeRatio     = 2.5              // factor, either way, by which run times may differ from it: work varies
	minSnapshotInterval = 5 * time.Second  // between snapshots
	maxSnapshotInterval = time.Minute      // while the learned figures hardly change
	significantChange   = 0.1              // relative change of a figure that counts
)

// Snapshot is the stored form of what an incarnation learned. SettingsDigest and Machine name
// what the figures depend on: those of other settings or another kind of machine do not apply.
type Snapshot struct {
	Version        int           `cbor:"1,keyasint"`
	SettingsDigest uint64        `cbor:"2,keyasint"`
	Machine        string        `cbor:"3,keyasint"`
	Taken          int64         `cbor:"4,keyasint"` // Unix milliseconds
	Learned        rules.Learned `cbor:"5,keyasint"`
}

// SnapshotWeight returns how far a snapshot is trusted, 0 to 1, and the reason if the weight is
// 0. unixMillis is the current Unix time.
func SnapshotWeight(
	snapshot *Snapshot, settingsDigest uint64, machine string, classes int, unixMillis int64,
) (weight float64, reason string) {
	age := time.Duration(unixMillis-snapshot.Taken) * time.Millisecond
	switch {
	case snapshot.Version != SnapshotVersion:
		return 0, fmt.Sprintf("it has format %d, this program reads %d", snapshot.Version, SnapshotVersion)
	case snapshot.SettingsDigest != settingsDigest:
		return 0, "the settings have changed"
	case snapshot.Machine != machine:
		return 0, "it was taken on another kind of machine: " + snapshot.Machine
	case len(snapshot.Learned.Classes) != classes || !plausible(&snapshot.Learned):
		return 0, "its figures are implausible"
	case age > maxSnapshotAge:
		return 0, fmt.Sprintf("it is %v old", age.Round(time.Minute))
	case age < -maxClockSkew:
		return 0, "its time is in the future: a clock is wrong"
	}
	return math.Exp2(-max(age, 0).Seconds() / snapshotHalfLife.Seconds()), ""
}

// plausible reports whether the figures can be what a decision module learned.
func plausible(learned *rules.Learned) bool {
	within := func(x, limit float64) bool { return x >= 0 && x <= limit } // false for NaN
	if !within(learned.RunLimit, 1e6) || !within(learned.DrainRate, 1e7) {
		return false
	}
	for _, c := range learned.Classes {
		if !within(c.MeanLatency, 3600) || !within(c.BaselineLatency, 3600) || !within(c.Samples, math.MaxFloat64) ||
			!within(c.MeanHint, 3600) || !within(c.HintVariance, 1e8) ||
			math.IsNaN(c.HintCovariance) || math.Abs(c.HintCovariance) > 1e8 {
			return false
		}
	}
	return true
}

// WarmStart checks a snapshot that is in use against the runs that follow.
type WarmStart struct {
	learned      rules.Learned
	initialSpeed float64 // share of its usual speed at which the node started
	runs         int
	logRatioSum  float64 // sum of the logarithms of actual over expected run time
	settled      bool
}

// NewWarmStart returns a check of the learned figures; speed is the one that was passed to
// rules.Module.WarmStart.
func NewWarmStart(learned rules.Learned, speed float64) *WarmStart {
	return &WarmStart{learned: learned, initialSpeed: speed}
}

// ObserveRun takes a finished run, with the share of its usual speed that the node should have
// reached. It returns the reason if the runs contradict the snapshot, else "". After enough runs
// Settled reports true, whatever the outcome.
func (w *WarmStart) ObserveRun(class int, took time.Duration, speed float64) (reason string) {
	if w.settled || class < 0 || class >= len(w.learned.Classes) || took <= 0 {
		return ""
	}
	c := &w.learned.Classes[class]
	if c.Samples < 1 || c.MeanLatency <= 0 {
		return ""
	}
	w.runs++
	w.logRatioSum += math.Log(took.Seconds() / (c.MeanLatency / max(speed, w.initialSpeed, 1e-3)))
	if w.runs < warmStartRuns {
		return ""
	}
	w.settled = true
	if ratio := math.Exp(w.logRatioSum / float64(w.runs)); ratio > maxRunTimeRatio || ratio < 1/maxRunTimeRatio {
		return fmt.Sprintf("%d runs took %.1f times as long as it predicts", w.runs, ratio)
	}
	return ""
}

// Settled reports whether the snapshot was checked against enough runs.
func (w *WarmStart) Settled() bool { return w.settled }

// SnapshotPacer decides when to store a snapshot: soon after the learned figures changed,
// rarely while they hardly change, and never before they rest on enough runs.
type SnapshotPacer struct {
	lastStored time.Duration
	last       rules.Learned
	stored     bool
}

// Due reports whether to store a snapshot now. The caller must then store it.
func (p *SnapshotPacer) Due(now time.Duration, learned *rules.Learned) bool {
	enoughRuns := false
	for _, c := range learned.Classes {
		enoughRuns = enoughRuns || c.Samples >= warmStartRuns
	}
	wait := maxSnapshotInterval
	if changedSignificantly(&p.last, learned) {
		wait = minSnapshotInterval
	}
	if !enoughRuns || p.stored && now-p.lastStored < wait {
		return false
	}
	p.lastStored, p.stored, p.last = now, true, *learned
	return true
}

// changedSignificantly reports whether the figures differ by more than significantChange.
func changedSignificantly(a, b *rules.Learned) bool {
	differs := func(x, y float64) bool { return math.Abs(x-y) > significantChange*max(math.Abs(x), math.Abs(y)) }
	if len(a.Classes) != len(b.Classes) || differs(a.RunLimit, b.RunLimit) || differs(a.DrainRate, b.DrainRate) {
		return true
	}
	for i := range a.Classes {
		if differs(a.Classes[i].MeanLatency, b.Classes[i].MeanLatency) {
			return true
		}
	}
	return false
}
