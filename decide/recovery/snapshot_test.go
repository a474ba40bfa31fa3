package recovery

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"robinmast/rules"
)

func learned(mean float64) rules.Learned {
	return rules.Learned{Limit: 4, Rate: 90, Classes: []rules.LearnedClass{{Mean: mean, Base: mean, Runs: 100, Hint: mean, Var: 1e-4, Cov: 1e-4}}}
}

// What makes a snapshot worth nothing, one by one.
func TestWeigh(t *testing.T) {
	const unix = int64(1_800_000_000_000)
	good := Snapshot{Version: SnapshotVersion, SettingsDigest: 7, Machine: "m", Taken: unix - 60_000, Learned: learned(0.02)}
	if w, why := SnapshotWeight(&good, 7, "m", 1, unix); w < 0.9 || why != "" {
		t.Fatalf("%v %s", w, why)
	}
	for name, change := range map[string]func(*Snapshot){
		"version": func(s *Snapshot) { s.Version++ },
		"site":    func(s *Snapshot) { s.SettingsDigest++ },
		"machine": func(s *Snapshot) { s.Machine = "n" },
		"old":     func(s *Snapshot) { s.Taken -= 13 * 3_600_000 },
		"future":  func(s *Snapshot) { s.Taken += 3_600_000 },
		"classes": func(s *Snapshot) { s.Learned.Classes = nil },
		"nan":     func(s *Snapshot) { s.Learned.Limit = math.NaN() },
		"million": func(s *Snapshot) { s.Learned.Classes = []rules.LearnedClass{{Mean: 1e6, Runs: 9}} },
		"below":   func(s *Snapshot) { s.Learned.Rate = -1 },
	} {
		s := good
		change(&s)
		if w, why := SnapshotWeight(&s, 7, "m", 1, unix); w != 0 || why == "" {
			t.Errorf("%s: believed at %v", name, w)
		}
	}
	old := good
	old.Taken = unix - (30 * time.Minute).Milliseconds()
	if w, _ := SnapshotWeight(&old, 7, "m", 1, unix); math.Abs(w-0.5) > 0.01 {
		t.Errorf("half an hour old it weighs %v", w)
	}
}

// A snapshot of a machine ten times as fast, or as slow, is dropped after a handful of
// runs; a true one stands, cold or not.
func TestWarmStartIsCheckedAgainstRuns(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	play := func(real, warm float64) (runs int, against string) {
		p := NewWarmStart(learned(0.02), warm)
		for !p.Settled() {
			runs++
			if against = p.ObserveRun(0, time.Duration(real/warm*(0.5+rnd.ExpFloat64()/2)*float64(time.Second)), warm); against != "" {
				break
			}
		}
		return
	}
	for _, c := range []struct {
		real, warm float64
		stands     bool
	}{{0.02, 1, true}, {0.02, 0.33, true}, {0.2, 1, false}, {0.002, 1, false}, {0.2, 0.33, false}} {
		if runs, against := play(c.real, c.warm); (against == "") != c.stands || runs > 2*warmStartRuns {
			t.Errorf("runs of %v s at %v of the speed: after %d runs %q", c.real, c.warm, runs, against)
		}
	}
}

// The module takes a prior up as a few runs' worth: evidence moves it at once, and
// forgetting leaves it as new.
func TestModuleWarmStart(t *testing.T) {
	set := rules.Settings{Cores: 2, MemoryKB: 1000, Classes: []rules.Class{{Deadline: 2 * time.Second, LatencyTarget: time.Second, Utility: 1}}}
	m, err := rules.New(0, set, 1, idleHost{})
	if err != nil {
		t.Fatal(err)
	}
	fresh := m.Learned()
	m.WarmStart(learned(0.02), 1, 0.5)
	got := m.Learned()
	if c := got.Classes[0]; math.Abs(c.Mean-0.04) > 1e-9 || c.Base != 0 || c.Runs > 4 || math.Abs(got.Rate-45) > 1e-9 {
		t.Errorf("taken up as %+v", got)
	}
	m.WarmStart(learned(5), 1, 1) // what is known already stays
	if c := m.Learned().Classes[0]; math.Abs(c.Mean-0.04) > 1e-9 {
		t.Errorf("a second prior changed %+v", c)
	}
	m.DiscardWarmStart()
	if got := m.Learned(); got.Rate != fresh.Rate || got.Classes[0] != fresh.Classes[0] {
		t.Errorf("not forgotten: %+v", got)
	}
}

type idleHost struct{ rules.Host }

func (idleHost) SetHealth(bool, bool)             {}
func (idleHost) StartTimer(uint64, time.Duration) {}

func TestSnapshotPacer(t *testing.T) {
	var p SnapshotPacer
	var times []time.Duration
	for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
		l := learned(0.02)
		if now < 10*time.Second {
			l.Classes[0].Runs = 2
		} else if now < time.Minute {
			l.Limit += now.Seconds()
		}
		if p.Due(now, &l) {
			times = append(times, now)
		}
	}
	if len(times) < 15 || len(times) > 25 || times[0] < 10*time.Second {
		t.Errorf("%d snapshots in ten minutes, at %v", len(times), times)
	}
}
