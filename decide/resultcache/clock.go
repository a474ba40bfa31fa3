// This file owns the module's own Unix time, by which entries age. It runs on
// the node's monotonic clock while the node lives, so that no step of the wall
// clock touches it, and is carried across a restart by what is known of the time
// between. It must never run backwards.

package resultcache

import "time"

// SaveEvery is how often the mark has to be stored: what is known of the clock
// is never older than this.
const CheckpointInterval = time.Second

// Mark is what is stored of the clocks, to be found at the next start.
type ClockCheckpoint struct {
	Unix int64  // the module's own time, milliseconds
	Wall int64  // the wall clock, Unix milliseconds
	Boot string // names the machine's start, "" = not known
	Up   int64  // since that start, milliseconds
}

// Reading is what the clocks say at a start.
type ClockReading struct {
	Wall int64
	Boot string
	Up   int64
}

// Step is how the time between two lives was told.
type ClockStep uint8

// The ways.
const (
	NoCheckpoint        ClockStep = iota // nothing was known
	SameBoot                             // by the machine's own clock: exact
	WallClock                            // by the wall clock
	WallBackWithinSlack                  // the wall clock went back by up to the slack: no time passed
	WallBackTooFar                       // it went back further: nobody knows
)

func (s ClockStep) String() string {
	return [...]string{"first", "same_boot", "by_wall", "back_within_slack", "doubtful"}[s]
}

// clock is the module's time: base is Unix milliseconds at a monotonic zero.
type clock struct {
	base      int64
	uncertain bool
}

// Begin sets the module's time from what the last life stored, nil if nothing.
// It must come before anything else.
func (m *Module) StartClock(now time.Duration, r ClockReading, was *ClockCheckpoint) (ClockStep, time.Duration) {
	step, unix := NoCheckpoint, r.Wall
	if was != nil {
		passed := r.Wall - was.Wall
		switch {
		case was.Boot != "" && was.Boot == r.Boot && r.Up >= was.Up:
			step, passed = SameBoot, r.Up-was.Up
		case passed >= 0:
			step = WallClock
		case -passed <= m.settings.ClockSlack.Milliseconds():
			step = WallBackWithinSlack
		default:
			step = WallBackTooFar
		}
		if step != SameBoot { // the last life went on for up to this after its last mark
			passed = max(passed, CheckpointInterval.Milliseconds())
		}
		unix = was.Unix + passed
	}
	m.clock = clock{base: unix - now.Milliseconds(), uncertain: step == WallBackTooFar}
	if was == nil {
		return step, 0
	}
	return step, time.Duration(unix-was.Unix) * time.Millisecond
}

// Unix is the module's time, in Unix milliseconds.
func (m *Module) Unix(now time.Duration) int64 { return m.clock.base + now.Milliseconds() }

// Mark is what to store now.
func (m *Module) Checkpoint(now time.Duration, r ClockReading) ClockCheckpoint {
	return ClockCheckpoint{Unix: m.Unix(now), Wall: r.Wall, Boot: r.Boot, Up: r.Up}
}
