package recovery

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinmast/rules"
)

// Whatever comes in: states follow each other in their order, none lasts for ever, what
// is asked for is a share and all of it in full service, and the times add up.
func TestLifeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ramp := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ramp")) * time.Millisecond
		l := NewStartup(0, 0, StartupSettings{Cores: rapid.IntRange(0, 16).Draw(t, "cores"), ColdSpeed: rapid.Float64Range(-1, 2).Draw(t, "from"), WarmUpTime: ramp})
		deaf := rapid.Bool().Draw(t, "deaf") // nothing ever comes
		now, last := time.Duration(0), Listening
		for range 3000 {
			now += time.Duration(rapid.IntRange(1, 100).Draw(t, "dt")) * time.Millisecond
			switch e := rapid.IntRange(0, 5).Draw(t, "event"); {
			case deaf:
			case e == 0:
				l.WorkerPoolUp(now, now-time.Duration(rapid.IntRange(-10, 10_000).Draw(t, "up"))*time.Millisecond, rapid.Bool().Draw(t, "cold"))
			case e == 1:
				l.Arrived(now, rapid.Bool().Draw(t, "again"))
			case e == 2:
				l.RunSucceeded(now, rapid.IntRange(-1, 3).Draw(t, "class"), time.Duration(rapid.Int64Range(-1, 1e10).Draw(t, "took")), time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "hint")))
			case e == 3:
				l.FleetShortage(rapid.Bool().Draw(t, "short"))
			}
			ask, _ := l.Step(now)
			s, _ := l.State()
			if !(ask >= 0 && ask <= 1) || s == FullService && ask != 1 || s < last {
				t.Fatalf("asks for %v as %v after %v", ask, s, last)
			}
			if w := l.Speed(now); !(w > 0 && w <= 1) {
				t.Fatalf("warm is %v", w)
			}
			last = s
			sum := time.Duration(0)
			for _, d := range l.Durations(now) {
				sum += d
			}
			if sum != now {
				t.Fatalf("the states took %v of %v", sum, now)
			}
			if s == FullService {
				return
			}
		}
		if now > listenMost+proveMost+min(ramp+warmSlack, warmMost)+time.Second {
			t.Fatalf("still %v after %v", last, now)
		}
	})
}

// A cold node says that it is slow by what its runs take, and is in full service when
// they no longer are; one that is as fast as ever is there much sooner.
func TestLifeGoesByItsRuns(t *testing.T) {
	full := func(cold bool, speed func(time.Duration) float64) (at time.Duration, asked float64) {
		l := NewStartup(0, 10*time.Millisecond, StartupSettings{Cores: 2, ColdSpeed: 0.33, WarmUpTime: 3 * time.Second})
		l.WorkerPoolUp(20*time.Millisecond, 20*time.Millisecond, cold)
		asked = 1
		for now := 20 * time.Millisecond; now < time.Minute; now += 25 * time.Millisecond {
			l.Arrived(now, false)
			l.RunSucceeded(now, 0, time.Duration(float64(20*time.Millisecond)/speed(now)), 20*time.Millisecond)
			ask, line := l.Step(now)
			if now > time.Second/2 {
				asked = min(asked, ask)
			}
			if line != "" {
				if !strings.Contains(line, "back in full service") {
					t.Error(line)
				}
				return now, asked
			}
		}
		t.Fatal("never in full service")
		return
	}
	warm, _ := full(false, func(time.Duration) float64 { return 1 })
	cold, asked := full(true, func(now time.Duration) float64 { return min(1, 0.33+0.67*now.Seconds()/3) })
	if warm > time.Second || cold < 2500*time.Millisecond || cold > 4500*time.Millisecond || asked > 0.6 {
		t.Errorf("full after %v warm, %v cold; asked for %.2f at the least", warm, cold, asked)
	}
}

// Told that little of the fleet's room is there, a node that warms asks for all it can
// do; a word that is old counts as none.
func TestLifeGoesByTheFleetsRoom(t *testing.T) {
	ask := func(share float64, age time.Duration) float64 {
		l := NewStartup(0, 0, StartupSettings{Cores: 1, ColdSpeed: 0.3, WarmUpTime: 10 * time.Second})
		l.WorkerPoolUp(0, 0, true)
		got := 0.0
		for now := time.Duration(0); now < 4*time.Second; now += 25 * time.Millisecond {
			l.Arrived(now, false)
			l.RunSucceeded(now, 0, 60*time.Millisecond, 20*time.Millisecond)
			l.FleetCapacity(now-age, share)
			got, _ = l.Step(now)
		}
		return got
	}
	if a := ask(0.3, 0); a != 1 {
		t.Errorf("asks for %.2f while three tenths of the room are there", a)
	}
	for _, c := range []struct {
		share float64
		age   time.Duration
	}{{0.9, 0}, {0.3, 3 * time.Second}, {math.NaN(), 0}, {-1, 0}} {
		if a := ask(c.share, c.age); a > 0.7 {
			t.Errorf("asks for %.2f at room %v told %v ago", a, c.share, c.age)
		}
	}
}

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
func TestPriorIsHeldAgainstRuns(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	play := func(real, warm float64) (runs int, against string) {
		p := NewWarmStart(learned(0.02), warm)
		for !p.Settled() {
			runs++
			if against = p.Ran(0, time.Duration(real/warm*(0.5+rnd.ExpFloat64()/2)*float64(time.Second)), warm); against != "" {
				break
			}
		}
		return
	}
	for _, c := range []struct {
		real, warm float64
		stands     bool
	}{{0.02, 1, true}, {0.02, 0.33, true}, {0.2, 1, false}, {0.002, 1, false}, {0.2, 0.33, false}} {
		if runs, against := play(c.real, c.warm); (against == "") != c.stands || runs > 2*priorRuns {
			t.Errorf("runs of %v s at %v of the speed: after %d runs %q", c.real, c.warm, runs, against)
		}
	}
}

// The module takes a prior up as a few runs' worth: evidence moves it at once, and
// forgetting leaves it as new.
func TestModuleTakesPrior(t *testing.T) {
	set := rules.Settings{Cores: 2, MemoryKB: 1000, Classes: []rules.Class{{Deadline: 2 * time.Second, LatencyTarget: time.Second, Utility: 1}}}
	m, err := rules.New(0, set, 1, nobody{})
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

type nobody struct{ rules.Host }

func (nobody) SetHealth(bool, bool)             {}
func (nobody) StartTimer(uint64, time.Duration) {}

func TestPace(t *testing.T) {
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
