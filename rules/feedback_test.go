package rules

import (
	"fmt"
	"testing"
	"time"
)

func TestAdviceAndCreditFollowPressure(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.LoadFeedback = FeedbackCredit })
	for range 4 {
		b.arrive(0, nil)
	}
	b.settle()
	b.m.runLimit, b.m.drainSeconds, b.m.drainSuccesses = 12, 1, 20
	b.m.publishFeedback()
	calm, credit := b.m.retryAfter(), b.say
	b.m.arrivalCount, b.m.overloadCount, b.m.pressure = 100, 60, 0.9
	b.m.publishFeedback()
	if got := b.m.retryAfter(); got <= calm || got > time.Second {
		t.Errorf("advice %v under pressure, %v without, 1 s at most", got, calm)
	}
	if b.say >= credit {
		t.Errorf("credit %v under pressure, %v without", b.say, credit)
	}
}

func TestCreditIsWholeWithoutPressure(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.LoadFeedback = FeedbackCredit })
	b.m.publishFeedback()
	if want := b.m.runLimit + float64(b.m.queueBound()); b.say != want {
		t.Errorf("credit %v, want the whole room %v: one caller may carry most of the traffic", b.say, want)
	}
}

func TestStaleReadsSendCallersElsewhere(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.LoadFeedback = FeedbackWeight })
	for range 40 {
		b.arrive(0, func(q *Request) { q.Age = 1400 * ms })
		b.settle()
	}
	b.pass(300*ms, 1, 2)
	b.want("health true false")
	if b.say != 0 {
		t.Errorf("weight %v while all that is read is stale", b.say)
	}
	b.pass(5*time.Second, 0, 0)
	b.want("health true true") // tried again after a while without reads
}

func TestWeightAndLevelFollowPressure(t *testing.T) {
	for kind, want := range map[LoadFeedback]float64{FeedbackWeight: 1 - pressureWeightShare*0.5, FeedbackLevel: 0.5} {
		b := newBed(t, func(s *Settings) { s.LoadFeedback = kind })
		b.m.pressure = 0.5 + pressureDecrease
		b.arrive(0, nil)
		b.arrive(0, nil)
		b.arrive(0, nil)
		b.settle() // the cores are taken and one waits: nothing is free
		b.m.publishFeedback()
		if diff := b.say - want; diff > 0.01 || diff < -0.01 {
			t.Errorf("free value %v says %v at half pressure, want %v", kind, b.say, want)
		}
	}
}

func TestWalksEndUnderLastingOverflow(t *testing.T) {
	for name, tc := range map[string]struct {
		pressure float64
		retry    bool
		unmarked bool
		again    float64 // share of marked retries read before
		last     bool
	}{
		"a passing overflow":               {0.1, true, false, 0.3, false},
		"a retry under lasting overflow":   {0.4, true, false, 0.3, true},
		"a first try under the same":       {0.4, false, false, 0.3, false},
		"what may be a retry":              {0.4, false, true, 0, true},
		"a first try under heavy overflow": {0.7, false, false, 0.3, true},
		"this node alone is in overflow":   {0.7, false, false, 0.02, false},
		"unmarked, a passing overflow":     {0.1, false, true, 0, false},
	} {
		b := newBed(t, func(s *Settings) { s.RetriesMarked = !tc.unmarked })
		b.m.pressure, b.m.retryShare = tc.pressure, tc.again
		for range 12 {
			b.arrive(0, func(q *Request) { q.Retry = tc.retry })
		}
		b.settle()
		if refused, last := b.count("refuse "), b.count("last "); refused == 0 || (last == refused) != tc.last {
			t.Errorf("%s: %d refused, %d of them last, want last %v", name, refused, last, tc.last)
		}
	}
}

// What is too old when it is read is pressure as what finds a full line: a node that only
// reads what waited too long unread refuses as much, and would say that it has room.
func TestTooOldWhenReadIsPressure(t *testing.T) {
	for _, age := range []time.Duration{0, 1100 * ms} {
		b := newBed(t, nil)
		for range 20 {
			on := []RequestID{b.arrive(3, nil), b.arrive(3, nil)} // both cores taken
			b.settle()
			id := b.arrive(0, func(q *Request) { q.Age = age })
			b.settle()
			for _, r := range append(on, id) {
				b.m.RunEnded(b.now, r, OK, 5*ms)
			}
			b.pass(50*ms, 1, 1)
		}
		if pressure := b.m.pressure > 0.3; pressure != (age > 0) {
			t.Errorf("read at an age of %v: pressure %v", age, b.m.pressure)
		}
	}
}

func TestStaleFadesOnlyWithoutReads(t *testing.T) {
	for name, reads := range map[string]bool{"with reads": true, "without": false} {
		b := newBed(t, nil)
		b.m.staleShare = 1
		for range 10 {
			if reads {
				b.arrive(0, func(q *Request) { q.Age = 2 * time.Second })
			}
			b.pass(feedbackInterval)
		}
		if faded := b.m.staleShare < 0.9; faded == reads {
			t.Errorf("%s: stale share %v", name, b.m.staleShare)
		}
	}
}

// A node that has become slow refuses at once what it can't finish; another node
// may well serve that, so its caller must not be told to try no other. Only what
// has no time left for a run at base speed is lost everywhere. It could harm
// where all nodes are slow for the same reason: their callers walk once more.
func TestSlowNodeSendsFreshRequestsElsewhere(t *testing.T) {
	b := newBed(t, nil)
	b.m.runLatency[0] = latencyEstimate{mean: 2, baseline: 0.1, samples: 100} // a run takes two of the 2.5 s
	b.m.cpuBusy, b.m.runnable = 1, 9
	b.arrive(3, nil)
	b.arrive(3, nil) // both cores busy
	b.settle()
	fresh := b.arrive(0, nil)
	old := b.arrive(0, func(q *Request) { q.Age = 2400 * ms })
	b.settle()
	b.want(fmt.Sprint("refuse ", fresh), fmt.Sprint("refuse ", old), fmt.Sprint("last ", old))
	b.wantNot(fmt.Sprint("last ", fresh))
}

// What has waited past its age limit has used up what a walk to other nodes would
// take: it is told to try no other, however fast one might be. Where walks are marked
// and hardly any come here, the others have room, and it may go there while it can be
// served: a node that hot keys fill is no sign of a full fleet.
func TestAgedOutTriesNoOther(t *testing.T) {
	for name, tc := range map[string]struct {
		marks bool
		again float64
		last  bool
	}{"unmarked": {false, 0, true}, "many walk": {true, 0.3, true}, "few walk": {true, 0.02, false}} {
		b := newBed(t, func(s *Settings) { s.RetriesMarked = tc.marks })
		b.arrive(3, nil)
		b.arrive(3, nil) // both cores busy
		b.settle()
		a := b.arrive(0, nil)
		b.m.retryShare = tc.again
		b.pass(1100*ms, 1, 9) // 0.12 of 8 s, with time left for a run
		b.want(fmt.Sprint("refuse ", a))
		if last := b.last[fmt.Sprint("last ", a)]; last != tc.last {
			t.Errorf("%s: last %v", name, last)
		}
	}
}

// Half a minute of reads tells how many of them are further tries.
func TestShareOfFurtherTries(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.RetriesMarked = true })
	for i := range 400 {
		id := b.arrive(0, func(q *Request) { q.Retry = i%4 == 0 })
		b.settle()
		b.m.RunEnded(b.now, id, OK, 5*ms)
		b.settle()
	}
	if b.m.retryShare < 0.2 || b.m.retryShare > 0.3 {
		t.Errorf("one in four: %v", b.m.retryShare)
	}
}
