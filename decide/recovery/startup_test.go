package recovery

import (
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever comes in: states follow each other in their order, none lasts for ever, what
// is asked for is a share and all of it in full service, and the times add up.
func TestStartupProperties(t *testing.T) {
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
		if now > maxListening+maxProbing+min(ramp+warmUpSlack, maxWarming)+time.Second {
			t.Fatalf("still %v after %v", last, now)
		}
	})
}

// A cold node says that it is slow by what its runs take, and is in full service when
// they no longer are; one that is as fast as ever is there much sooner.
func TestStartupFollowsRunTimes(t *testing.T) {
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
