package recovery

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"robinmast/rules"
)

// learned returns figures of one class with the given mean run time in seconds.
func learned(mean float64) rules.Learned {
	return rules.Learned{RunLimit: 4, DrainRate: 90, Classes: []rules.LearnedClass{
		{MeanLatency: mean, BaselineLatency: mean, Samples: 100, MeanHint: mean, HintVariance: 1e-4, HintCovariance: 1e-4},
	}}
}

// A snapshot is not used if its version, settings or machine differ, if it is too old or from the
// future, or if its figures are implausible. Its weight halves with its half-life.
func TestWeigh(t *testing.T) {
	const unix = int64(1_800_000_000_000)
	good := Snapshot{Version: SnapshotVersion, SettingsDigest: 7, Machine: "m", Taken: unix - 60_000, Learned: learned(0.02)}
	if w, why := SnapshotWeight(&good, 7, "m", 1, unix); w < 0.9 || why != "" {
		t.Fatalf("%v %s", w, why)
	}
	for name, change := range map[string]func(*Snapshot){
		"version":   func(s *Snapshot) { s.Version++ },
		"settings":  func(s *Snapshot) { s.SettingsDigest++ },
		"machine":   func(s *Snapshot) { s.Machine = "n" },
		"old":       func(s *Snapshot) { s.Taken -= 13 * 3_600_000 },
		"future":    func(s *Snapshot) { s.Taken += 3_600_000 },
		"classes":   func(s *Snapshot) { s.Learned.Classes = nil },
		"nan":       func(s *Snapshot) { s.Learned.RunLimit = math.NaN() },
		"too large": func(s *Snapshot) { s.Learned.Classes = []rules.LearnedClass{{MeanLatency: 1e6, Samples: 9}} },
		"negative":  func(s *Snapshot) { s.Learned.DrainRate = -1 },
	} {
		s := good
		change(&s)
		if w, why := SnapshotWeight(&s, 7, "m", 1, unix); w != 0 || why == "" {
			t.Errorf("%s: weight %v", name, w)
		}
	}
	old := good
	old.Taken = unix - (30 * time.Minute).Milliseconds()
	if w, _ := SnapshotWeight(&old, 7, "m", 1, unix); math.Abs(w-0.5) > 0.01 {
		t.Errorf("weight %v after half an hour", w)
	}
}

// A snapshot that is wrong by a factor of ten, either way, is contradicted after a few runs. A correct
// one is not, whether the node is cold or warm.
func TestWarmStartIsCheckedAgainstRuns(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	check := func(runTime, speed float64) (runs int, reason string) {
		warmStart := NewWarmStart(learned(0.02), speed)
		for !warmStart.Settled() {
			runs++
			took := time.Duration(runTime / speed * (0.5 + rnd.ExpFloat64()/2) * float64(time.Second))
			if reason = warmStart.ObserveRun(0, took, speed); reason != "" {
				break
			}
		}
		return
	}
	for _, c := range []struct {
		runTime, speed float64
		accepted       bool
	}{{0.02, 1, true}, {0.02, 0.33, true}, {0.2, 1, false}, {0.002, 1, false}, {0.2, 0.33, false}} {
		if runs, reason := check(c.runTime, c.speed); (reason == "") != c.accepted || runs > 2*warmStartRuns {
			t.Errorf("runs of %v s at %v of the usual speed: after %d runs %q", c.runTime, c.speed, runs, reason)
		}
	}
}

// The decision module weights a snapshot like a few runs, so that measured runs soon outweigh it, does
// not let it replace figures that it already has, and is as new after it discarded the snapshot.
func TestModuleWarmStart(t *testing.T) {
	set := rules.Settings{Cores: 2, MemoryKB: 1000, Classes: []rules.Class{
		{Deadline: 2 * time.Second, LatencyTarget: time.Second, Utility: 1},
	}}
	m, err := rules.New(0, set, 1, idleHost{})
	if err != nil {
		t.Fatal(err)
	}
	fresh := m.Learned()
	m.WarmStart(learned(0.02), 1, 0.5)
	got := m.Learned()
	if c := got.Classes[0]; math.Abs(c.MeanLatency-0.04) > 1e-9 || c.BaselineLatency != 0 || c.Samples > 4 || math.Abs(got.DrainRate-45) > 1e-9 {
		t.Errorf("warm start gives %+v", got)
	}
	m.WarmStart(learned(5), 1, 1) // figures that are known already stay
	if c := m.Learned().Classes[0]; math.Abs(c.MeanLatency-0.04) > 1e-9 {
		t.Errorf("a second warm start changed %+v", c)
	}
	m.DiscardWarmStart()
	if got := m.Learned(); got.DrainRate != fresh.DrainRate || got.Classes[0] != fresh.Classes[0] {
		t.Errorf("not discarded: %+v", got)
	}
}

// idleHost ignores what a module without requests does.
type idleHost struct{ rules.Host }

func (idleHost) SetHealth(bool, bool)             {}
func (idleHost) StartTimer(uint64, time.Duration) {}

// A snapshot is stored seldom while the figures do not change, and not before they rest on enough runs.
func TestSnapshotPacer(t *testing.T) {
	var pacer SnapshotPacer
	var times []time.Duration
	for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
		figures := learned(0.02)
		if now < 10*time.Second {
			figures.Classes[0].Samples = 2
		} else if now < time.Minute {
			figures.RunLimit += now.Seconds()
		}
		if pacer.Due(now, &figures) {
			times = append(times, now)
		}
	}
	if len(times) < 15 || len(times) > 25 || times[0] < 10*time.Second {
		t.Errorf("%d snapshots in ten minutes, at %v", len(times), times)
	}
}
