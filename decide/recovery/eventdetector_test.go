package recovery

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reportFleet sends the reports of n nodes, one per node and 0.7 s. speed returns the speed of node i, below
// 0 = no report; incarnation returns its incarnation.
func reportFleet(
	t *testing.T, d *EventDetector, n int, from, to time.Duration,
	speed func(i int, at time.Duration) float64, incarnation func(i int, at time.Duration) uint64,
) (lines []string) {
	t.Helper()
	for at := from; at < to; at += 100 * time.Millisecond {
		for i := range n {
			if (at/(100*time.Millisecond)+time.Duration(i))%7 != 0 {
				continue
			}
			if s := speed(i, at); s >= 0 {
				limit := 4.0
				if incarnation(i, at) > 1 { // it has not found its limit yet
					limit = 2.5
				}
				d.Observe(at, NodeReport{
					Name: fmt.Sprint(i), Zone: fmt.Sprint("z", i%3), Incarnation: incarnation(i, at),
					Warm: s, Limit: limit, ArrivalRate: 100, FurtherTryShare: 0.1,
				})
			}
		}
		lines = append(lines, d.Step(at)...)
	}
	return lines
}

func firstIncarnation(int, time.Duration) uint64 { return 1 }

// If two thirds of the nodes are killed at 10 s, return cold at 11 s and are warm at 14 s, one event
// with these times is detected. A rolling restart of one node per three seconds is no event.
func TestEventTimes(t *testing.T) {
	detector := NewEventDetector(0, 0)
	speed := func(i int, at time.Duration) float64 {
		if i >= 8 || at < 10*time.Second {
			return 1
		}
		if at < 11*time.Second {
			return -1
		}
		return min(1, 0.33+0.67*(at-11*time.Second).Seconds()/3)
	}
	incarnation := func(i int, at time.Duration) uint64 {
		if i < 8 && at >= 11*time.Second {
			return 2
		}
		return 1
	}
	lines := reportFleet(t, detector, 12, 0, 30*time.Second, speed, incarnation)
	list := detector.List()
	if len(list) != 1 || !list[0].Ended || len(lines) != 2 {
		t.Fatalf("%d events, lines %q", len(list), lines)
	}
	event := list[0]
	end := event.Began + event.FullAfter
	if event.LostNodes != 8 || event.FleetSize != 12 || event.LeastShare > 0.65 || event.LeastShare < 0.3 || len(event.Zones) != 3 || math.Abs(event.TriesPerRequest-1.11) > 0.01 ||
		event.HalfAfter <= 0 || event.MostAfter < event.HalfAfter || event.FullAfter < event.MostAfter || end < 13*time.Second || end > 16*time.Second {
		t.Errorf("%+v", event)
	}
	detector = NewEventDetector(0, 0)
	if lines := reportFleet(t, detector, 12, 0, 40*time.Second, func(int, time.Duration) float64 { return 1 },
		func(i int, at time.Duration) uint64 {
			return 1 + uint64(max(at/(3*time.Second)-time.Duration(i), 0)/12)
		}); len(lines) > 0 {
		t.Errorf("a rolling restart is an event: %q", lines)
	}
}

// The least capacity counts nodes that were away between two reports. If all nodes are killed together
// and return nearly warm within a second, no report shows a low capacity; only the gap between the
// incarnations does. If they are killed one after the other, only those away at the same moment count.
func TestLeastCapacityBetweenReports(t *testing.T) {
	for name, c := range map[string]struct {
		apart    time.Duration
		from, to float64
	}{"together": {0, 0, 0.02}, "0.6 s apart": {600 * time.Millisecond, 0.3, 0.7}} {
		detector := NewEventDetector(0, 0)
		dead := func(i int, at time.Duration) time.Duration { return at - 10*time.Second - time.Duration(i)*c.apart }
		speed := func(i int, at time.Duration) float64 {
			switch d := dead(i, at); {
			case d < 0:
				return 1
			case d < 900*time.Millisecond:
				return -1
			}
			return 0.9
		}
		incarnation := func(i int, at time.Duration) uint64 {
			if dead(i, at) >= 0 {
				return 2
			}
			return 1
		}
		reportFleet(t, detector, 6, 0, 19*time.Second, speed, incarnation)
		list := detector.List()
		if len(list) != 1 {
			t.Fatalf("%s: %d events", name, len(list))
		}
		if least := list[0].LeastShare; least < c.from || least > c.to {
			t.Errorf("%s: least capacity %.2f, want %.2f to %.2f", name, least, c.from, c.to)
		}
	}
}

// missingCapacity agrees with a direct calculation at each return, and takes no more than a sort for
// 20,000 nodes that restart together.
func TestMissingCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 7))
	for range 300 {
		detector := NewEventDetector(0, 0)
		for range rng.IntN(12) {
			from := time.Duration(rng.IntN(10))
			l := loss{lastReport: from, returnedAt: from + 1 + time.Duration(rng.IntN(6)), size: float64(1 + rng.IntN(4))}
			if rng.IntN(5) == 0 {
				l.returnedAt = notReturned
			}
			detector.losses = append(detector.losses, l)
		}
		want := 0.0
		for _, a := range detector.losses {
			missing := 0.0
			for _, b := range detector.losses {
				if a.returnedAt != notReturned && b.lastReport < a.returnedAt && a.returnedAt <= b.returnedAt {
					missing += b.size
				}
			}
			want = max(want, missing)
		}
		if got := detector.missingCapacity(0, 1e9); got != want {
			t.Fatalf("%v missing of %+v, want %v", got, detector.losses, want)
		}
	}
	detector := NewEventDetector(0, 0)
	for i := range 20_000 {
		detector.losses = append(detector.losses, loss{lastReport: time.Duration(i), returnedAt: time.Duration(i) + time.Second, size: 1})
	}
	began := time.Now()
	if got := detector.missingCapacity(0, 1e9); got != 20_000 || time.Since(began) > time.Second {
		t.Errorf("%v of 20,000 missing, found in %v", got, time.Since(began))
	}
}

// If the lost nodes never return, the event ends after a time, and the capacity of the smaller fleet is
// the usual one from then on. Events of an earlier incarnation of the service are restored, an open one
// as ended, and their number is bounded.
func TestEventEnds(t *testing.T) {
	detector := NewEventDetector(0, 6)
	speed := func(i int, at time.Duration) float64 {
		if at > 5*time.Second && i > 2 {
			return -1
		}
		return 1
	}
	reportFleet(t, detector, 12, 0, 20*time.Second, speed, firstIncarnation)
	open := detector.List()
	if len(open) != 1 || open[0].Ended || open[0].Number != 7 {
		t.Fatalf("%+v", open)
	}
	later := NewEventDetector(0, 0)
	later.Restore(open, -time.Hour)
	if l := later.List(); len(l) != 1 || !l[0].Ended || l[0].Began > -50*time.Minute {
		t.Errorf("restored as %+v", l)
	}
	lines := reportFleet(t, detector, 12, 20*time.Second, maxEventDuration+30*time.Second, speed, firstIncarnation)
	if l := detector.List(); len(lines) != 1 || len(l) != 1 || !l[0].Ended {
		t.Errorf("%q %+v", lines, l)
	}
	for i := range 3 * maxEvents {
		later.Restore([]Event{{Number: i}}, 0)
	}
	if len(later.List()) > maxEvents {
		t.Errorf("%d events are listed", len(later.List()))
	}
}

// Implausible figures of one node move those of the fleet by no more than a node can.
func TestImplausibleReport(t *testing.T) {
	detector := NewEventDetector(0, 0)
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		for i := range 12 {
			report := NodeReport{Name: fmt.Sprint(i), Incarnation: 1, Warm: 1, Limit: 4, ArrivalRate: 10}
			if i == 0 {
				report.Limit, report.ArrivalRate, report.FurtherTryShare = math.Inf(1), -1, 1e6
			}
			detector.Observe(at, report)
		}
		if lines := detector.Step(at); len(lines) > 0 {
			t.Fatal(lines)
		}
	}
	if math.IsNaN(detector.usualCapacity) || detector.usualCapacity < 40 || detector.usualCapacity > 65 {
		t.Errorf("usual capacity is %v", detector.usualCapacity)
	}
}

// Events stored by earlier releases must still be read, so the JSON names of their fields are fixed.
func TestStoredEventNames(t *testing.T) {
	got, err := json.Marshal(Event{Number: 1, LostNodes: 2, FleetSize: 3, Zones: []string{"z"}, LeastShare: 0.5,
		HalfAfter: 5, MostAfter: 6, FullAfter: 7, TriesPerRequest: 1.5, Ended: true, EndReason: "w"})
	const want = `{"Number":1,"Began":0,"Lost":2,"Of":3,"Zones":["z"],"Least":0.5,"LeastAt":0,` +
		`"Half":5,"Most":6,"Full":7,"Tries":1.5,"Over":true,"Why":"w"}`
	if err != nil || string(got) != want {
		t.Errorf("stored as %s (%v), want %s", got, err, want)
	}
}

// The recorded time to full service does not depend on where between two reports the loss falls. All nodes are lost at
// one moment of the report interval, return before or after the report timeout, and report at once that they are in
// full service. One report may be lost or late: the last before the loss, the first after it, or that of full service.
// docs/recovery.md states the precision.
func TestPrecisionOfTimeToFullService(t *testing.T) {
	const (
		step      = 100 * time.Millisecond
		precision = reportInterval/2 + step
		lateBy    = 500 * time.Millisecond
		warmUp    = 3 * time.Second
	)
	type report struct {
		at, sent    time.Duration
		node        int
		incarnation uint64
		warm        float64
	}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(3, 8).Draw(t, "nodes")
		lostAt := 10*time.Second + time.Duration(rapid.IntRange(0, 69).Draw(t, "phase"))*10*time.Millisecond
		away := time.Duration(rapid.IntRange(10, 400).Draw(t, "away"))*10*time.Millisecond + 1
		back, end := lostAt+away, lostAt+away+warmUp+4*time.Second
		disturbed := rapid.SampledFrom([]string{"none", "last", "first", "full"}).Draw(t, "disturbed report")
		isLost := rapid.Bool().Draw(t, "lost instead of late")
		var reports []report
		for i := range nodes {
			phase := time.Duration(rapid.IntRange(0, 69).Draw(t, "phase of a node")) * 10 * time.Millisecond
			add := func(kind string, r report) {
				r.sent, r.node = r.at, i
				if i == 0 && kind == disturbed {
					if isLost {
						return
					}
					r.at += lateBy
				}
				reports = append(reports, r)
			}
			for at := phase; at < lostAt; at += reportInterval {
				kind := ""
				if at+reportInterval >= lostAt {
					kind = "last"
				}
				add(kind, report{at: at, incarnation: 1, warm: 1})
			}
			full := back + warmUp
			for at := back; at < full; at += reportInterval {
				kind := ""
				if at == back {
					kind = "first"
				}
				add(kind, report{at: at, incarnation: 2, warm: 0.33 + 0.6*float64(at-back)/float64(warmUp)})
			}
			add("full", report{at: full, incarnation: 2, warm: 1})
			for at := full + reportInterval; at < end; at += reportInterval {
				add("", report{at: at, incarnation: 2, warm: 1})
			}
		}
		slices.SortStableFunc(reports, func(a, b report) int { return cmp.Compare(a.at, b.at) })
		detector := NewEventDetector(0, 0)
		lastSent := map[int]time.Duration{}
		for now := step; now < end; now += step {
			for len(reports) > 0 && reports[0].at <= now {
				r := reports[0]
				reports = reports[1:]
				if r.sent < lastSent[r.node] { // the fleet ignores a report that is not later than the last one
					continue
				}
				lastSent[r.node] = r.sent
				detector.Observe(r.at, NodeReport{
					Name: fmt.Sprint("n", r.node), Incarnation: r.incarnation, Warm: r.warm, Limit: 4, ArrivalRate: 10,
				})
			}
			detector.Step(now)
		}
		list := detector.List()
		if len(list) != 1 || !list[0].Ended || list[0].LostNodes != nodes {
			t.Fatalf("events %+v", list)
		}
		allowed := precision
		if disturbed != "none" {
			allowed += reportInterval
		}
		want := away + warmUp
		if difference := list[0].FullAfter - want; difference.Abs() > allowed {
			t.Fatalf("full after %v, in truth after %v; %v is allowed", list[0].FullAfter, want, allowed)
		}
	})
}
