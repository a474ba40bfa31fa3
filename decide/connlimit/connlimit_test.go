package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any span of time the admitted events cost no more than the share of that span, the saved
// budget and one event more; no event is delayed while budget is left.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		l := New(0, share)
		type admission struct {
			at   time.Duration
			cost float64
		}
		var admissions []admission
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "dt")) * time.Microsecond
			k := Kind(rapid.IntRange(0, int(numKinds)-1).Draw(t, "kind"))
			if rapid.Bool().Draw(t, "charge") {
				l.Charge(k, time.Duration(rapid.Int64Range(-1, 1e9).Draw(t, "measured")))
			}
			wait := l.Delay(now, k)
			if wait < 0 || wait == 0 && l.budget < 0 {
				t.Fatalf("delay %v with a budget of %v s", wait, l.budget)
			}
			admissions = append(admissions, admission{now + wait, fullCostRatio * l.cost[k]})
		}
		for i := range admissions {
			sum, most := 0.0, 0.0
			for j := i; j < len(admissions); j++ {
				sum += admissions[j].cost
				most = max(most, admissions[j].cost)
				if span := (admissions[j].at - admissions[i].at).Seconds(); sum > share*span+share*burstWindow.Seconds()+most+1e-9 {
					t.Fatalf("events of %v s admitted within %v", sum, span)
				}
			}
		}
	})
}

// A usual burst passes undelayed. A connection storm is limited to its share, at the measured
// cost of a connection.
func TestConnectionStormIsLimited(t *testing.T) {
	l := New(0, 0.2)
	for range 50 {
		if w := l.Delay(time.Second, Connect); w > 0 {
			t.Fatalf("a burst of 50 connections is delayed by %v", w)
		}
	}
	last := time.Duration(0)
	for i := range 20_000 { // in one second
		now := 2*time.Second + time.Duration(i)*50*time.Microsecond
		l.Charge(Connect, 50*time.Microsecond)
		last = now + l.Delay(now, Connect)
	}
	if seconds := (last - 2*time.Second).Seconds(); seconds < 10 || seconds > 20 { // 3 s of a core at a fifth
		t.Errorf("20,000 connections of 150 us are admitted within %.1f s", seconds)
	}
	if l.Delayed[Connect] < 15_000 || l.Delayed[HealthCheck] > 0 {
		t.Errorf("delayed %v", l.Delayed)
	}
}
