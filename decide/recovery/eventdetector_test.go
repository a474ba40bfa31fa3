package recovery

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// watchFleet plays nodes that report each 0.7 s: warm says how warm node i is, nil-like
// below 0 = it says nothing; inc is its life.
func reportFleet(t *testing.T, e *EventDetector, n int, from, to time.Duration, warm func(i int, at time.Duration) float64, inc func(i int, at time.Duration) uint64) (lines []string) {
	t.Helper()
	for at := from; at < to; at += 100 * time.Millisecond {
		for i := range n {
			if (at/(100*time.Millisecond)+time.Duration(i))%7 != 0 {
				continue
			}
			if w := warm(i, at); w >= 0 {
				limit := 4.0
				if inc(i, at) > 1 { // it has not found its limit yet
					limit = 2.5
				}
				e.Observe(at, NodeReport{Name: fmt.Sprint(i), Zone: fmt.Sprint("z", i%3), Incarnation: inc(i, at), Warm: w, Limit: limit, ArrivalRate: 100, FurtherTryShare: 0.1})
			}
		}
		lines = append(lines, e.Step(at)...)
	}
	return lines
}

func firstIncarnation(int, time.Duration) uint64 { return 1 }

// Two thirds are killed at 10 s, come back cold at 11 s and are warm at 14 s: one event
// with its times; a rolling restart of one node a second is none.
func TestEventTimes(t *testing.T) {
	e := NewEventDetector(0, 0)
	warm := func(i int, at time.Duration) float64 {
		if i >= 8 || at < 10*time.Second {
			return 1
		}
		if at < 11*time.Second {
			return -1
		}
		return min(1, 0.33+0.67*(at-11*time.Second).Seconds()/3)
	}
	inc := func(i int, at time.Duration) uint64 {
		if i < 8 && at >= 11*time.Second {
			return 2
		}
		return 1
	}
	lines := reportFleet(t, e, 12, 0, 30*time.Second, warm, inc)
	list := e.List()
	if len(list) != 1 || !list[0].Over || len(lines) != 2 {
		t.Fatalf("%d events, lines %q", len(list), lines)
	}
	o := list[0]
	end := o.Began + o.Full
	if o.Lost != 8 || o.Of != 12 || o.Least > 0.65 || o.Least < 0.3 || len(o.Zones) != 3 || math.Abs(o.Tries-1.11) > 0.01 ||
		o.Half <= 0 || o.Most < o.Half || o.Full < o.Most || end < 13*time.Second || end > 16*time.Second {
		t.Errorf("%+v", o)
	}
	e = NewEventDetector(0, 0)
	if lines := reportFleet(t, e, 12, 0, 40*time.Second, func(int, time.Duration) float64 { return 1 },
		func(i int, at time.Duration) uint64 {
			return 1 + uint64(max(at/(3*time.Second)-time.Duration(i), 0)/12)
		}); len(lines) > 0 {
		t.Errorf("a rolling restart is an event: %q", lines)
	}
}

// All die together and are back within a second, and each says from its first word on that it
// is nearly warm: the least room is that of the moment in which all were dead, told by the gap
// between two lives. Killed one after the other, only those count that were away at one moment.
func TestLeastCapacityBetweenReports(t *testing.T) {
	for name, tc := range map[string]struct {
		apart    time.Duration
		from, to float64
	}{"together": {0, 0, 0.02}, "0.6 s apart": {600 * time.Millisecond, 0.3, 0.7}} {
		e := NewEventDetector(0, 0)
		dead := func(i int, at time.Duration) time.Duration { return at - 10*time.Second - time.Duration(i)*tc.apart }
		warm := func(i int, at time.Duration) float64 {
			switch d := dead(i, at); {
			case d < 0:
				return 1
			case d < 900*time.Millisecond:
				return -1
			}
			return 0.9
		}
		inc := func(i int, at time.Duration) uint64 {
			if dead(i, at) >= 0 {
				return 2
			}
			return 1
		}
		reportFleet(t, e, 6, 0, 19*time.Second, warm, inc)
		list := e.List()
		if len(list) != 1 {
			t.Fatalf("%s: %d events", name, len(list))
		}
		if least := list[0].Least; least < tc.from || least > tc.to {
			t.Errorf("%s: least room %.2f, want %.2f to %.2f", name, least, tc.from, tc.to)
		}
	}
}

// What is missing between lives is what a look at each return says, and a fleet of 20,000
// nodes that restart together costs no more than sorting them.
func TestMissingCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 7))
	for range 300 {
		e := NewEventDetector(0, 0)
		for range rng.IntN(12) {
			from := time.Duration(rng.IntN(10))
			l := loss{lastReport: from, returned: from + 1 + time.Duration(rng.IntN(6)), size: float64(1 + rng.IntN(4))}
			if rng.IntN(5) == 0 {
				l.returned = notReturned
			}
			e.losses = append(e.losses, l)
		}
		want := 0.0
		for _, a := range e.losses {
			missing := 0.0
			for _, b := range e.losses {
				if a.returned != notReturned && b.lastReport < a.returned && a.returned <= b.returned {
					missing += b.size
				}
			}
			want = max(want, missing)
		}
		if got := e.missingCapacity(0, 1e9); got != want {
			t.Fatalf("%v missing of %+v, want %v", got, e.losses, want)
		}
	}
	e := NewEventDetector(0, 0)
	for i := range 20_000 {
		e.losses = append(e.losses, loss{lastReport: time.Duration(i), returned: time.Duration(i) + time.Second, size: 1})
	}
	began := time.Now()
	if got := e.missingCapacity(0, 1e9); got != 20_000 || time.Since(began) > time.Second {
		t.Errorf("%v of 20,000 missing, found in %v", got, time.Since(began))
	}
}

// All go and stay away: the event ends, and the smaller fleet is the usual one then.
// What an earlier life of the service saw stays known, its open event ended.
func TestEventEnds(t *testing.T) {
	e := NewEventDetector(0, 6)
	gone := func(i int, at time.Duration) float64 {
		if at > 5*time.Second && i > 2 {
			return -1
		}
		return 1
	}
	reportFleet(t, e, 12, 0, 20*time.Second, gone, firstIncarnation)
	open := e.List()
	if len(open) != 1 || open[0].Over || open[0].Number != 7 {
		t.Fatalf("%+v", open)
	}
	later := NewEventDetector(0, 0)
	later.Restore(open, -time.Hour)
	if l := later.List(); len(l) != 1 || !l[0].Over || l[0].Began > -50*time.Minute {
		t.Errorf("taken over as %+v", l)
	}
	lines := reportFleet(t, e, 12, 20*time.Second, maxEventDuration+30*time.Second, gone, firstIncarnation)
	if l := e.List(); len(lines) != 1 || len(l) != 1 || !l[0].Over {
		t.Errorf("%q %+v", lines, l)
	}
	for i := range 3 * maxEvents {
		later.Restore([]Event{{Number: i}}, 0)
	}
	if len(later.List()) > maxEvents {
		t.Errorf("%d events are kept", len(later.List()))
	}
}

// One node's nonsense moves the fleet's figures by no more than a node can.
func TestImplausibleReport(t *testing.T) {
	e := NewEventDetector(0, 0)
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		for i := range 12 {
			w := NodeReport{Name: fmt.Sprint(i), Incarnation: 1, Warm: 1, Limit: 4, ArrivalRate: 10}
			if i == 0 {
				w.Limit, w.ArrivalRate, w.FurtherTryShare = math.Inf(1), -1, 1e6
			}
			e.Observe(at, w)
		}
		if lines := e.Step(at); len(lines) > 0 {
			t.Fatal(lines)
		}
	}
	if math.IsNaN(e.usualCapacity) || e.usualCapacity < 40 || e.usualCapacity > 65 {
		t.Errorf("usual room is %v", e.usualCapacity)
	}
}
