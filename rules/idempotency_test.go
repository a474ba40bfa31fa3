package rules

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestKeyedRunsOnce(t *testing.T) {
	b := newBed(t, nil)
	first := b.arrive(2, nil)
	b.settle()
	b.want("keep 1", "run 1")
	second := b.arrive(2, func(q *Request) { q.RepeatOf = first; q.Retry = true })
	b.settle()
	b.want("reuse 2")
	b.wantNot("run 2", "refuse 2")
	b.m.RunEnded(b.now, first, Failed, 10*ms)
	b.m.RunEnded(b.now, second, Failed, 10*ms)
	b.arrive(2, func(q *Request) { q.RepeatOf = first })
	b.settle()
	b.want("reuse 3")
	b.wantNot("run 3")
}

func TestRefusedKeyMayRunLater(t *testing.T) {
	b := newBed(t, nil)
	for range 5 {
		b.arrive(2, nil)
	}
	b.settle()
	b.want("refuse 5", "forget 5")
	b.m.RunEnded(b.now, 1, OK, 10*ms)
	b.m.RunEnded(b.now, 2, OK, 10*ms)
	b.arrive(2, func(q *Request) { q.RepeatOf = 5 }) // was on its way while the entry stood
	b.settle()
	b.want("keep 6")
	b.wantNot("reuse 6")
}

func TestKeyTableIsBounded(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.MemoryKB = 10000; s.RecordKB = 1000; s.RunningMemoryFactor = 1 })
	for range 20 {
		id := b.arrive(2, nil)
		b.settle()
		b.m.RunEnded(b.now, id, OK, 10*ms)
	}
	if got := b.count("keep "); got > 4 {
		t.Errorf("%d keys kept, memory holds 4 within its share", got)
	}
	b.want("refuse 20")
	b.pass(6*time.Second, 0, 0)
	id := b.arrive(2, nil)
	b.settle()
	b.want(fmt.Sprintf("run %d", id)) // the table emptied with time
}

// The memory of keys counts what is kept, not what was given back: requests that were turned
// away, and one whose only start took no effect, leave room for others at once.
func TestForgottenKeysTakeNoMemory(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.MemoryKB, s.RunningMemoryFactor, s.RecordKB = 10000, 1, 300 }) // keys may take 4,500
	keyed := func(q *Request) { q.MemoryKB = 1 }
	for range 3 { // both cores busy, a full line, and 30 that come too much
		for range 10 {
			b.arrive(2, keyed)
			b.settle()
		}
		b.pass(200*ms, 1, 5)
	}
	if kept := b.m.recordMemoryKB(); kept == 0 || kept > 4*300 { // two run, two are held
		t.Fatalf("%d entries take %v kB", len(b.m.records), kept)
	}
	for _, r := range slices.Clone(b.m.requests) {
		b.m.RunEnded(b.now, r.ID, OK, 5*ms)
	}
	b.settle()
	b.pass(5*time.Second+100*ms, 0, 0) // the windows of those that ran are over
	if len(b.m.records) != 0 || b.m.recordMemoryKB() != 0 {
		t.Errorf("%d entries are left and take %v kB", len(b.m.records), b.m.recordMemoryKB())
	}
	a := b.arrive(2, keyed)
	b.settle()
	b.want(fmt.Sprint("run ", a))
	b.m.RunEnded(b.now, a, NeverStarted, 0)
	b.want(fmt.Sprint("forget ", a))
	if again := b.m.recordMemoryKB(); again != 0 {
		t.Errorf("a start without effect keeps %v kB", again)
	}
	c := b.arrive(2, keyed)
	b.settle()
	b.want(fmt.Sprint("run ", c))
	b.m.RunEnded(b.now, c, OK, 5*ms)
	b.wantNot(fmt.Sprint("forget ", c))
	d := b.arrive(2, func(q *Request) { q.RepeatOf = c; q.MemoryKB = 1 })
	b.settle()
	b.want(fmt.Sprint("reuse ", d))
	b.wantNot(fmt.Sprint("run ", d), fmt.Sprint("refuse ", d))
}

// A flood of keyed requests that are all turned away leaves no more entries behind than
// could be kept, twice over; a repeat of one that is no longer known never runs.
func TestForgottenKeysAreBounded(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.MemoryKB, s.RunningMemoryFactor, s.RecordKB = 10000, 1, 300 }) // 15 may be kept
	var last RequestID
	for range 500 {
		last = b.arrive(2, func(q *Request) { q.MemoryKB = 1 })
		b.settle()
	}
	b.want(fmt.Sprint("refuse ", last), fmt.Sprint("forget ", last))
	if n := len(b.m.records); n > 30 || n-b.m.releasedRecords > 15 {
		t.Errorf("%d entries, %d of them freed", n, b.m.releasedRecords)
	}
	again := b.arrive(2, func(q *Request) { q.MemoryKB, q.RepeatOf = 1, last })
	b.settle()
	b.want(fmt.Sprint("reuse ", again))
	b.wantNot(fmt.Sprint("run ", again))
	b.pass(6*time.Second, 1, 5)
	if n := len(b.m.records); b.m.releasedRecords != 0 || n > 4 {
		t.Errorf("after the window %d entries, %d freed", n, b.m.releasedRecords)
	}
}
