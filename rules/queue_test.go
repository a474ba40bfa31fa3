package rules

import (
	"fmt"
	"testing"
	"time"
)

func TestLineAndLimit(t *testing.T) {
	b := newBed(t, nil)
	for range 6 {
		b.arrive(0, nil)
	}
	b.settle()
	if got := b.count("run "); got != 2 {
		t.Errorf("%d runs at the start, want the core count", got)
	}
	// The line's floor is the running limit: 2 wait, 2 are refused at once with advice.
	b.want("refuse 6", "advice 6", "refuse 5")
	b.m.RunEnded(b.now, 1, OK, 100*ms)
	b.settle()
	b.want("run 3") // the oldest
	b.wantNot("run 4")
}

func TestLeastValuableLeavesFullLine(t *testing.T) {
	b := newBed(t, nil)
	for range 4 {
		b.arrive(0, nil)
	}
	b.settle()
	b.arrive(1, nil) // worth 2
	b.settle()
	b.want("refuse 4")
	b.wantNot("refuse 5")
}

func TestHeldPastAgeIsRefusedNotRun(t *testing.T) {
	b := newBed(t, nil)
	for range 3 {
		b.arrive(0, nil)
	}
	b.settle()
	b.pass(2500*ms, 1, 2)
	b.want("refuse 3")
	b.wantNot("run 3")
}

func TestProcessPauseDoesNotEmptyTheLine(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.Classes[0].LatencyTarget = 6 * time.Second })
	for range 4 {
		b.arrive(0, nil)
	}
	b.settle()
	b.now += 2100 * ms // nothing is delivered meanwhile
	b.m.TimerFired(b.now, 1, []float64{1, 2})
	b.m.RunEnded(b.now, 1, OK, 100*ms)
	b.settle()
	b.want("run 3")
	b.wantNot("refuse 3", "refuse 4")
}

func TestOnlySuccessesTeachTheDrainRate(t *testing.T) {
	for _, o := range []Outcome{OK, Failed} {
		b := newBed(t, nil)
		for range 200 {
			for _, r := range append([]*request(nil), b.m.requests...) {
				if r.state == running {
					b.m.RunEnded(b.now, r.ID, o, 25*ms)
				}
			}
			for range 4 {
				b.arrive(0, nil)
			}
			b.pass(25*ms, 1, 2)
		}
		if got := b.m.drainSuccesses; (got > 1) != (o == OK) {
			t.Errorf("outcome %v taught a drain rate of %.1f", o, got)
		}
	}
}

func TestSlotGoesToTheOldestOrByWorthUnderPressure(t *testing.T) {
	for _, c := range []struct {
		pressure float64
		want     string
	}{{0, "run 3"}, {0.5, "run 4"}} {
		b := newBed(t, func(s *Settings) { s.UtilityPerWork = true })
		for range 3 {
			b.arrive(0, nil)
		}
		b.arrive(1, nil) // worth twice as much
		b.settle()
		b.m.pressure = c.pressure
		b.m.RunEnded(b.now, 1, OK, 50*ms)
		b.settle()
		b.want(c.want)
	}
}

func TestIdleCoresTryWhatBusyOnesRefuse(t *testing.T) {
	for _, c := range []struct {
		gauges []float64
		want   string
	}{{[]float64{0.4, 3}, "run 4"}, {[]float64{1, 9}, "refuse 4"}} {
		b := newBed(t, func(s *Settings) { s.Cores = 6; s.Classes[0].LatencyTarget = 2 * time.Second })
		for range 20 {
			b.m.runLatency[0].observe(time.Second, runLatencyWeight)
		}
		for range 3 {
			b.arrive(0, nil)
		}
		b.settle()
		b.pass(50*ms, c.gauges...)
		b.arrive(0, func(q *Request) { q.Age = 900 * ms }) // 1.1 s are left before an aim of 2 s: 1.4 runs don't fit
		b.settle()
		b.want(c.want)
	}
}

func TestMarkedRetriesLeaveAFullLineFirst(t *testing.T) {
	b := newBed(t, nil)
	retry := func(q *Request) { q.Retry = true }
	b.arrive(0, nil) // these two fill the cores
	b.arrive(0, nil)
	b.settle()
	old := b.arrive(0, retry)
	first := b.arrive(0, nil)
	dear := b.arrive(1, retry)
	b.arrive(0, nil)
	b.settle()
	b.want(fmt.Sprintf("refuse %d", old), fmt.Sprintf("refuse %d", dear))
	b.wantNot(fmt.Sprintf("refuse %d", first))
}

// Bursts that are over within a step must teach the bound too: where runs take a
// few milliseconds no line ever stands for a whole step, a bound learned only
// from those stays at the slots, and one refusal in a burst keeps a caller away
// for longer than the burst. It could harm where short runs say nothing of long
// ones: the rate is then too high until slots were short for a step.
func TestShortBurstsTeachTheBound(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.BatchInterval = ms })
	for range 60 { // two cores, runs of 5 ms, a burst of ten every 25 ms
		for range 10 {
			b.arrive(0, nil)
		}
		for b.now += ms; len(b.m.queue) > 0 || b.m.runningCount > 0; b.now += 5 * ms {
			b.settle()
			for _, r := range append([]*request(nil), b.m.requests...) {
				if r.state == running {
					b.m.RunEnded(b.now+5*ms, r.ID, OK, 5*ms)
				}
			}
		}
		b.pass(max(b.wake-b.now, 0), 0.5, 1)
	}
	if got := b.m.drainRate(); got < 200 || got > 800 {
		t.Errorf("two slots and runs of 5 ms drain %.0f a second", got)
	}
	if got := b.m.queueBound(); got < 100 {
		t.Errorf("a bound of %d", got)
	}
	b.acts = nil
	for range 80 { // half a second of work, well before its aim
		b.arrive(0, nil)
	}
	b.settle()
	for _, act := range b.acts {
		if act != "run 601" && act != "run 602" {
			t.Errorf("%s, though all fits", act)
		}
	}
}

// Where neither marks nor patience tell how long a client has waited already, what is held
// may be its third try, and is let go sooner.
func TestUnsureAgeIsHeldForLess(t *testing.T) {
	for name, tc := range map[string]struct {
		marks, patience bool
		held            time.Duration
	}{"marked": {true, false, 960 * ms}, "patience": {false, true, 960 * ms}, "neither": {false, false, 400 * ms}} {
		b := newBed(t, func(s *Settings) { s.RetriesMarked, s.TimeoutsPassed = tc.marks, tc.patience })
		b.arrive(3, nil)
		b.arrive(3, nil) // both cores busy
		b.settle()
		from := b.now
		a := b.arrive(0, nil) // 8 s until its deadline
		for !b.last[fmt.Sprint("refuse ", a)] && b.now < from+2*time.Second {
			b.pass(25*ms, 1, 9)
		}
		if took := b.now - from; took < tc.held || took > tc.held+60*ms {
			t.Errorf("%s: refused after %v, want %v", name, took, tc.held)
		}
	}
}

// What was read past its age limit while a core is free starts at once: it did not wait
// here, it came late, and refusing it costs another read somewhere.
func TestReadLateStartsOnAFreeCore(t *testing.T) {
	for busy, starts := range []bool{true, true, false} { // of two cores
		b := newBed(t, nil)
		for range busy {
			b.arrive(3, nil)
		}
		b.settle()
		late := b.arrive(0, func(q *Request) { q.Age = 1100 * ms }) // 0.12 of 8 s is 960 ms; its aim is 2.5 s
		b.settle()
		if b.last[fmt.Sprint("run ", late)] != starts || b.last[fmt.Sprint("refuse ", late)] == starts {
			t.Errorf("%d of 2 cores taken: starts %v", busy, !starts)
		}
	}
}
