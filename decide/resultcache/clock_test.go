package resultcache

import (
	"testing"
	"time"
)

// The module's time goes on across a restart: by the machine's time since boot, by the wall clock, with a
// wall clock that went back within the slack, and with one that went back further.
func TestClock(t *testing.T) {
	was := &ClockCheckpoint{Unix: 50_000, Wall: 60_000, Boot: "a", Up: 7000}
	for name, c := range map[string]struct {
		now  ClockReading
		was  *ClockCheckpoint
		step ClockStep
		unix int64
	}{
		"first":              {ClockReading{Wall: 9}, nil, NoCheckpoint, 9},
		"same boot":          {ClockReading{Wall: 1, Boot: "a", Up: 7300}, was, SameBoot, 50_300},
		"same boot, no time": {ClockReading{Wall: 1e9, Boot: "a", Up: 7000}, was, SameBoot, 50_000},
		"other boot":         {ClockReading{Wall: 64_000, Boot: "b", Up: 100}, was, WallClock, 54_000},
		"other boot, quick":  {ClockReading{Wall: 60_010, Boot: "b"}, was, WallClock, 51_000},
		"boot unknown":       {ClockReading{Wall: 64_000}, &ClockCheckpoint{Unix: 50_000, Wall: 60_000}, WallClock, 54_000},
		"up went back":       {ClockReading{Wall: 64_000, Boot: "a", Up: 10}, was, WallClock, 54_000},
		"back a little":      {ClockReading{Wall: 58_000, Boot: "b"}, was, WallBackWithinSlack, 51_000},
		"back too far":       {ClockReading{Wall: 57_999, Boot: "b"}, was, WallBackTooFar, 51_000},
	} {
		m := New(settings())
		now := 123 * time.Second
		step, _ := m.StartClock(now, c.now, c.was)
		if step != c.step || m.Unix(now) != c.unix || m.Unix(now+ms) != c.unix+1 {
			t.Errorf("%s: %v at %d, want %v at %d", name, step, m.Unix(now), c.step, c.unix)
		}
	}
	m := New(settings())
	m.StartClock(0, ClockReading{Wall: 1000, Boot: "b"}, was) // 59 s back: uncertain
	record := keyedRecord("k", 49_000)
	record.Kind = Intent
	if got, reason := m.Restore(0, record); reason != Restored || got.Expires != 51_000+2000 {
		t.Errorf("after a clock step: %v, until %d", reason, got.Expires)
	}
}
