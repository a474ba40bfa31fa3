package recovery

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinmast/rules"
)

// Checks the invariants of Startup for arbitrary events: states follow each other in their order and
// each ends, the requested share is within 0 and 1 and is 1 in full service, and the durations add up.
func TestStartupProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ramp := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ramp")) * time.Millisecond
		startup := NewStartup(0, 0, StartupSettings{
			Cores: rapid.IntRange(0, 16).Draw(t, "cores"), ColdSpeed: rapid.Float64Range(-1, 2).Draw(t, "from"),
			WarmUpTime: ramp,
		})
		silent := rapid.Bool().Draw(t, "silent") // no event ever comes
		now, last := time.Duration(0), Listening
		for range 3000 {
			now += time.Duration(rapid.IntRange(1, 100).Draw(t, "dt")) * time.Millisecond
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case silent:
			case event == 0:
				startup.WorkerPoolUp(now, now-time.Duration(rapid.IntRange(-10, 10_000).Draw(t, "up"))*time.Millisecond,
					rapid.Bool().Draw(t, "cold"))
			case event == 1:
				startup.Arrived(now, rapid.Bool().Draw(t, "again"))
			case event == 2:
				startup.RunSucceeded(now, rapid.IntRange(-1, 3).Draw(t, "class"),
					time.Duration(rapid.Int64Range(-1, 1e10).Draw(t, "took")),
					time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "hint")))
			case event == 3:
				startup.FleetShortage(rapid.Bool().Draw(t, "short"))
			}
			share, _ := startup.Step(now)
			state, _ := startup.State()
			if !(share >= 0 && share <= 1) || state == FullService && share != 1 || state < last {
				t.Fatalf("requests %v in state %v after %v", share, state, last)
			}
			if speed := startup.Speed(now); !(speed > 0 && speed <= 1) {
				t.Fatalf("speed is %v", speed)
			}
			last = state
			sum := time.Duration(0)
			for _, d := range startup.Durations(now) {
				sum += d
			}
			if sum != now {
				t.Fatalf("the states took %v of %v", sum, now)
			}
			if state == FullService {
				return
			}
		}
		if now > maxListening+maxProbing+min(ramp+warmUpSlack, maxWarming)+time.Second {
			t.Fatalf("still %v after %v", last, now)
		}
	})
}

// A cold node requests less while its runs are slow, and reaches full service when they no longer are.
// A node that is fast from the start reaches it much sooner.
func TestStartupFollowsRunTimes(t *testing.T) {
	timeToFull := func(cold bool, speed func(time.Duration) float64) (at time.Duration, leastShare float64) {
		startup := NewStartup(0, 10*time.Millisecond, StartupSettings{Cores: 2, ColdSpeed: 0.33, WarmUpTime: 3 * time.Second})
		startup.WorkerPoolUp(20*time.Millisecond, 20*time.Millisecond, cold)
		leastShare = 1
		for now := 20 * time.Millisecond; now < time.Minute; now += 25 * time.Millisecond {
			startup.Arrived(now, false)
			startup.RunSucceeded(now, 0, time.Duration(float64(20*time.Millisecond)/speed(now)), 20*time.Millisecond)
			share, line := startup.Step(now)
			if now > time.Second/2 {
				leastShare = min(leastShare, share)
			}
			if line != "" {
				if !strings.Contains(line, "back in full service") {
					t.Error(line)
				}
				return now, leastShare
			}
		}
		t.Fatal("never in full service")
		return
	}
	warm, _ := timeToFull(false, func(time.Duration) float64 { return 1 })
	cold, leastShare := timeToFull(true, func(now time.Duration) float64 { return min(1, 0.33+0.67*now.Seconds()/3) })
	if warm > time.Second || cold < 2500*time.Millisecond || cold > 4500*time.Millisecond || leastShare > 0.6 {
		t.Errorf("full service after %v warm, %v cold; requested %.2f at the least", warm, cold, leastShare)
	}
}

// The run time of a class of which a snapshot saw fewer than minUsualRuns runs is not taken for its usual one.
func TestUsualRunsNeedSamples(t *testing.T) {
	got := UsualRuns(rules.Learned{Classes: []rules.LearnedClass{
		{BaselineLatency: 0.1, Samples: minUsualRuns - 1}, {BaselineLatency: 0.2, Samples: minUsualRuns}, {},
	}})
	if !slices.Equal(got, []float64{0, 0.2, 0}) {
		t.Errorf("usual runs %v", got)
	}
}

// Runs that share the cores are no slower than one alone, so that a warm node that is busy reaches full service as soon
// as an idle one.
func TestUnsharedTime(t *testing.T) {
	for _, c := range []struct {
		cores, atStart, atEnd int
		want                  time.Duration
	}{
		{2, 1, 1, 60 * time.Millisecond},
		{2, 2, 2, 60 * time.Millisecond},
		{2, 4, 4, 30 * time.Millisecond},
		{2, 8, 4, 20 * time.Millisecond},
		{0, 3, 3, 20 * time.Millisecond}, // the number of cores is not known: one
		{4, 0, 0, 60 * time.Millisecond},
	} {
		if got := UnsharedTime(60*time.Millisecond, c.cores, c.atStart, c.atEnd); got != c.want {
			t.Errorf("60 ms with %d and %d runs on %d cores: %v, want %v", c.atStart, c.atEnd, c.cores, got, c.want)
		}
	}
	startup := NewStartup(0, 0, StartupSettings{Cores: 2, ColdSpeed: 0.33, WarmUpTime: 3 * time.Second})
	startup.WorkerPoolUp(0, 0, true)
	for now := time.Duration(0); ; now += 25 * time.Millisecond {
		startup.Arrived(now, false)
		speed := min(1, 0.33+0.67*now.Seconds()/3)
		took := time.Duration(3 * float64(20*time.Millisecond) / speed) // six runs on two cores
		startup.RunSucceeded(now, 0, UnsharedTime(took, 2, 6, 6), 20*time.Millisecond)
		if _, line := startup.Step(now); line != "" {
			if now > 3500*time.Millisecond {
				t.Errorf("a busy node is in full service after %v", now)
			}
			return
		}
	}
}

// A warming node requests its full share while the reported capacity of the fleet is low. A report that
// is outdated or not a share is ignored.
func TestLifeGoesByTheFleetsRoom(t *testing.T) {
	requested := func(share float64, age time.Duration) float64 {
		startup := NewStartup(0, 0, StartupSettings{Cores: 1, ColdSpeed: 0.3, WarmUpTime: 10 * time.Second})
		startup.WorkerPoolUp(0, 0, true)
		got := 0.0
		for now := time.Duration(0); now < 4*time.Second; now += 25 * time.Millisecond {
			startup.Arrived(now, false)
			startup.RunSucceeded(now, 0, 60*time.Millisecond, 20*time.Millisecond)
			startup.FleetCapacity(now-age, share)
			got, _ = startup.Step(now)
		}
		return got
	}
	if got := requested(0.3, 0); got != 1 {
		t.Errorf("requests %.2f at three tenths of the fleet's capacity", got)
	}
	for _, c := range []struct {
		share float64
		age   time.Duration
	}{{0.9, 0}, {0.3, 3 * time.Second}, {math.NaN(), 0}, {-1, 0}} {
		if got := requested(c.share, c.age); got > 0.7 {
			t.Errorf("requests %.2f at capacity %v reported %v ago", got, c.share, c.age)
		}
	}
}
