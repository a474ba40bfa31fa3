package resultcache

import "time"

// CheckpointInterval is how often the clock's checkpoint has to be stored. A checkpoint found at
// a start is at most this much older than the end of the previous incarnation.
const CheckpointInterval = time.Second

// ClockCheckpoint is the stored state of the clocks, from which the next start continues. It is stored as CBOR
// under its field names.
type ClockCheckpoint struct {
	Unix int64  // the module's time, milliseconds
	Wall int64  // the wall clock, Unix milliseconds
	Boot string // identifies the boot of the machine, "" = unknown
	Up   int64  // time since that boot, milliseconds
}

// ClockReading is a reading of the clocks.
type ClockReading struct {
	Wall int64  // the wall clock, Unix milliseconds
	Boot string // identifies the boot of the machine, "" = unknown
	Up   int64  // time since that boot, milliseconds
}

// ClockStep is how the time between two incarnations was determined.
type ClockStep uint8

// The values of ClockStep.
const (
	NoCheckpoint        ClockStep = iota // no checkpoint was stored
	SameBoot                             // by the machine's time since boot: exact
	WallClock                            // by the wall clock
	WallBackWithinSlack                  // the wall clock went back by at most Settings.ClockSlack: taken as no time
	WallBackTooFar                       // the wall clock went back further: the time is unknown
)

// String returns the name of the step in log lines.
func (s ClockStep) String() string {
	return [...]string{"first", "same_boot", "by_wall", "back_within_slack", "doubtful"}[s]
}

// clock is the module's Unix time, by which records expire. It follows the node's monotonic clock,
// so that steps of the wall clock do not affect it, is carried across a restart by a
// ClockCheckpoint, and never runs backwards.
type clock struct {
	base      int64 // Unix milliseconds at the monotonic clock's zero
	uncertain bool  // the time since the previous incarnation is unknown
}

// StartClock sets the module's time from the checkpoint that the previous incarnation stored, nil
// if there is none. It returns how it did so, and the time since that checkpoint. It must be called
// before any other method.
func (m *Module) StartClock(
	now time.Duration, reading ClockReading, previous *ClockCheckpoint,
) (ClockStep, time.Duration) {
	step, unix := NoCheckpoint, reading.Wall
	if previous != nil {
		passed := reading.Wall - previous.Wall
		switch {
		case previous.Boot != "" && previous.Boot == reading.Boot && reading.Up >= previous.Up:
			step, passed = SameBoot, reading.Up-previous.Up
		case passed >= 0:
			step = WallClock
		case -passed <= m.settings.ClockSlack.Milliseconds():
			step = WallBackWithinSlack
		default:
			step = WallBackTooFar
		}
		if step != SameBoot { // the previous incarnation ran for up to this after its last checkpoint
			passed = max(passed, CheckpointInterval.Milliseconds())
		}
		unix = previous.Unix + passed
	}
	m.clock = clock{base: unix - now.Milliseconds(), uncertain: step == WallBackTooFar}
	if previous == nil {
		return step, 0
	}
	return step, time.Duration(unix-previous.Unix) * time.Millisecond
}

// Unix returns the module's time in Unix milliseconds.
func (m *Module) Unix(now time.Duration) int64 { return m.clock.base + now.Milliseconds() }

// Checkpoint returns what to store now.
func (m *Module) Checkpoint(now time.Duration, reading ClockReading) ClockCheckpoint {
	return ClockCheckpoint{Unix: m.Unix(now), Wall: reading.Wall, Boot: reading.Boot, Up: reading.Up}
}
