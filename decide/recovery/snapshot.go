// This file owns how far a snapshot of what an earlier life learned is believed,
// and when the evidence speaks against it.

package recovery

import (
	"fmt"
	"math"
	"time"

	"robinmast/rules"
)

// SnapshotVersion is of the snapshot's form. Another one is not read.
const SnapshotVersion = 1

// Tuned values of priors.
const (
	snapshotHalfLife    = 30 * time.Minute // in which a prior's weight halves: load and code change
	maxSnapshotAge      = 12 * time.Hour   // and from which it has none
	maxClockSkew        = 5 * time.Minute  // a snapshot from so far ahead was made by another clock
	warmStartRuns       = 6                // runs that a prior is held against
	maxRunTimeRatio     = 2.5              // times, either way, that they may differ from it: work varies
	minSnapshotInterval = 5 * time.Second  // from one snapshot to the next
	maxSnapshotInterval = time.Minute      // while what was learned hardly moves
	significantChange   = 0.1              // that counts as moving
)

// Snapshot is what a life learned, as stored. Site and Machine are digests of what
// the figures depend on: figures of another site or another kind of machine say
// nothing here.
type Snapshot struct {
	Version        int           `cbor:"1,keyasint"`
	SettingsDigest uint64        `cbor:"2,keyasint"`
	Machine        string        `cbor:"3,keyasint"`
	Taken          int64         `cbor:"4,keyasint"` // Unix milliseconds
	Learned        rules.Learned `cbor:"5,keyasint"`
}

// Weigh says how far a snapshot is to be believed, 0 to 1, and why not where it is
// not. unix is the time now, in milliseconds.
func SnapshotWeight(s *Snapshot, site uint64, machine string, classes int, unix int64) (weight float64, why string) {
	age := time.Duration(unix-s.Taken) * time.Millisecond
	switch {
	case s.Version != SnapshotVersion:
		return 0, fmt.Sprintf("it has form %d, this program knows %d", s.Version, SnapshotVersion)
	case s.SettingsDigest != site:
		return 0, "the site's settings are others now"
	case s.Machine != machine:
		return 0, "it is of another kind of machine: " + s.Machine
	case len(s.Learned.Classes) != classes || !plausible(&s.Learned):
		return 0, "its figures make no sense"
	case age > maxSnapshotAge:
		return 0, fmt.Sprintf("it is %v old", age.Round(time.Minute))
	case age < -maxClockSkew:
		return 0, "it is from the future: the clock is off"
	}
	return math.Exp2(-max(age, 0).Seconds() / snapshotHalfLife.Seconds()), ""
}

// sound reports whether figures can be what a module learned.
func plausible(l *rules.Learned) bool {
	ok := func(x, most float64) bool { return x >= 0 && x <= most } // false for what is no number
	if !ok(l.Limit, 1e6) || !ok(l.Rate, 1e7) {
		return false
	}
	for _, c := range l.Classes {
		if !ok(c.Mean, 3600) || !ok(c.Base, 3600) || !ok(c.Runs, math.MaxFloat64) || !ok(c.Hint, 3600) || !ok(c.Var, 1e8) ||
			math.IsNaN(c.Cov) || math.Abs(c.Cov) > 1e8 {
			return false
		}
	}
	return true
}

// Prior is a snapshot that was taken up and is still doubted.
type WarmStart struct {
	learned      rules.Learned
	initialSpeed float64 // share of its usual speed that the node started at
	runs         int
	logRatioSum  float64 // sum of the logarithms of took over expected
	settled      bool
}

// NewPrior holds what was taken up against what is seen from now on; speed is what
// Module.Prior was told.
func NewWarmStart(l rules.Learned, speed float64) *WarmStart {
	return &WarmStart{learned: l, initialSpeed: speed}
}

// Ran takes the end of a run, with the share of its speed that the node should have
// reached. It returns a reason once the evidence speaks against the prior; then, or
// once it has stood, Settled reports true.
func (p *WarmStart) ObserveRun(class int, took time.Duration, warm float64) (against string) {
	if p.settled || class < 0 || class >= len(p.learned.Classes) || took <= 0 {
		return ""
	}
	c := &p.learned.Classes[class]
	if c.Runs < 1 || c.Mean <= 0 {
		return ""
	}
	p.runs++
	p.logRatioSum += math.Log(took.Seconds() / (c.Mean / max(warm, p.initialSpeed, 1e-3)))
	if p.runs < warmStartRuns {
		return ""
	}
	p.settled = true
	if times := math.Exp(p.logRatioSum / float64(p.runs)); times > maxRunTimeRatio || times < 1/maxRunTimeRatio {
		return fmt.Sprintf("%d runs took %.1f times what it says", p.runs, times)
	}
	return ""
}

// Settled reports whether the prior was held against enough runs.
func (p *WarmStart) Settled() bool { return p.settled }

// Pace decides when a snapshot is worth storing: soon after what was learned moved,
// seldom while it hardly does, never before it rests on anything.
type SnapshotPacer struct {
	lastStored time.Duration
	last       rules.Learned
	stored     bool
}

// Due reports whether to store a snapshot now; the caller then does.
func (p *SnapshotPacer) Due(now time.Duration, l *rules.Learned) bool {
	known := false
	for _, c := range l.Classes {
		known = known || c.Runs >= warmStartRuns
	}
	wait := maxSnapshotInterval
	if changed(&p.last, l) {
		wait = minSnapshotInterval
	}
	if !known || p.stored && now-p.lastStored < wait {
		return false
	}
	p.lastStored, p.stored, p.last = now, true, *l
	return true
}

func changed(a, b *rules.Learned) bool {
	far := func(x, y float64) bool { return math.Abs(x-y) > significantChange*max(math.Abs(x), math.Abs(y)) }
	if len(a.Classes) != len(b.Classes) || far(a.Limit, b.Limit) || far(a.Rate, b.Rate) {
		return true
	}
	for i := range a.Classes {
		if far(a.Classes[i].Mean, b.Classes[i].Mean) {
			return true
		}
	}
	return false
}
