package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any span no more is let in than its share, what was saved up and one event more;
// nobody waits where there is room.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		d := New(0, share)
		type in struct {
			at   time.Duration
			cost float64
		}
		var all []in
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "dt")) * time.Microsecond
			k := Kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind"))
			if rapid.Bool().Draw(t, "learn") {
				d.Charge(k, time.Duration(rapid.Int64Range(-1, 1e9).Draw(t, "took")))
			}
			wait := d.Delay(now, k)
			if wait < 0 || wait == 0 && d.left < 0 {
				t.Fatalf("waits %v with %v left", wait, d.left)
			}
			all = append(all, in{now + wait, wholeTimes * d.cost[k]})
		}
		for i := range all {
			sum, most := 0.0, 0.0
			for j := i; j < len(all); j++ {
				sum += all[j].cost
				most = max(most, all[j].cost)
				if span := (all[j].at - all[i].at).Seconds(); sum > share*span+share*savedFor.Seconds()+most+1e-9 {
					t.Fatalf("%v s let in within %v", sum, span)
				}
			}
		}
	})
}

// A usual burst passes at once; a flood is held to its share, and what it costs is learned.
func TestFloodIsHeld(t *testing.T) {
	d := New(0, 0.2)
	for range 50 {
		if w := d.Delay(time.Second, Connect); w > 0 {
			t.Fatalf("a burst of fifty waits %v", w)
		}
	}
	last := time.Duration(0)
	for i := range 20_000 { // in one second
		now := 2*time.Second + time.Duration(i)*50*time.Microsecond
		d.Charge(Connect, 50*time.Microsecond)
		last = now + d.Delay(now, Connect)
	}
	if took := (last - 2*time.Second).Seconds(); took < 10 || took > 20 { // 3 s of a core at a fifth
		t.Errorf("20,000 connections of 150 us are let in within %.1f s", took)
	}
	if d.Delayed[Connect] < 15_000 || d.Delayed[HealthCheck] > 0 {
		t.Errorf("held %v", d.Delayed)
	}
}
