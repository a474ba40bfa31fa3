package rules

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestKeyedRunsOnce(t *testing.T) {
	h := newHarness(t, nil)
	first := h.arrive(2, nil)
	h.finishBatch()
	h.want("keep 1", "run 1")
	second := h.arrive(2, func(q *Request) { q.RepeatOf = first; q.Retry = true })
	h.finishBatch()
	h.want("join 2")
	h.wantNot("run 2", "refuse 2")
	h.m.RunEnded(h.now, first, Failed, 10*ms)
	h.m.RunEnded(h.now, second, Failed, 10*ms)
	h.arrive(2, func(q *Request) { q.RepeatOf = first })
	h.finishBatch()
	h.want("join 3")
	h.wantNot("run 3")
}

func TestRefusedKeyMayRunLater(t *testing.T) {
	h := newHarness(t, nil)
	for range 5 {
		h.arrive(2, nil)
	}
	h.finishBatch()
	h.want("refuse 5", "forget 5")
	h.m.RunEnded(h.now, 1, OK, 10*ms)
	h.m.RunEnded(h.now, 2, OK, 10*ms)
	h.arrive(2, func(q *Request) { q.RepeatOf = 5 }) // was sent before the record was released
	h.finishBatch()
	h.want("keep 6")
	h.wantNot("join 6")
}

func TestRecordMemoryIsBounded(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MemoryKB = 10000; s.RecordKB = 1000; s.RunningMemoryFactor = 1 })
	for range 20 {
		id := h.arrive(2, nil)
		h.finishBatch()
		h.m.RunEnded(h.now, id, OK, 10*ms)
	}
	if got := h.count("keep "); got > 4 {
		t.Errorf("%d records kept, want 4 at most: their share of the memory", got)
	}
	h.want("refuse 20")
	h.advance(6*time.Second, 0, 0)
	id := h.arrive(2, nil)
	h.finishBatch()
	h.want(fmt.Sprintf("run %d", id)) // the records have expired
}

// Released records take no memory: a refused request, and one whose only start had no effect, leave room
// for others at once.
func TestReleasedRecordsTakeNoMemory(t *testing.T) {
	// Records may take 4,500 KB.
	h := newHarness(t, func(s *Settings) { s.MemoryKB, s.RunningMemoryFactor, s.RecordKB = 10000, 1, 300 })
	keyed := func(q *Request) { q.MemoryKB = 1 }
	for range 3 { // both cores busy, a full queue, and a further 30 requests
		for range 10 {
			h.arrive(2, keyed)
			h.finishBatch()
		}
		h.advance(200*ms, 1, 5)
	}
	if memory := h.m.recordMemoryKB(); memory == 0 || memory > 4*300 { // two run, two are queued
		t.Fatalf("%d records take %v KB", len(h.m.records), memory)
	}
	for _, r := range slices.Clone(h.m.requests) {
		h.m.RunEnded(h.now, r.ID, OK, 5*ms)
	}
	h.finishBatch()
	h.advance(5*time.Second+100*ms, 0, 0) // the idempotency windows of those that ran are over
	if len(h.m.records) != 0 || h.m.recordMemoryKB() != 0 {
		t.Errorf("%d records are left and take %v KB", len(h.m.records), h.m.recordMemoryKB())
	}
	a := h.arrive(2, keyed)
	h.finishBatch()
	h.want(fmt.Sprint("run ", a))
	h.m.RunEnded(h.now, a, NeverStarted, 0)
	h.want(fmt.Sprint("forget ", a))
	if memory := h.m.recordMemoryKB(); memory != 0 {
		t.Errorf("a start without effect keeps %v KB of records", memory)
	}
	c := h.arrive(2, keyed)
	h.finishBatch()
	h.want(fmt.Sprint("run ", c))
	h.m.RunEnded(h.now, c, OK, 5*ms)
	h.wantNot(fmt.Sprint("forget ", c))
	d := h.arrive(2, func(q *Request) { q.RepeatOf = c; q.MemoryKB = 1 })
	h.finishBatch()
	h.want(fmt.Sprint("join ", d))
	h.wantNot(fmt.Sprint("run ", d), fmt.Sprint("refuse ", d))
}

// A flood of refused keyed requests leaves at most twice as many records as may be kept with results. A
// repeat of a request whose record was discarded never runs.
func TestReleasedRecordsAreBounded(t *testing.T) {
	// 15 may be kept.
	h := newHarness(t, func(s *Settings) { s.MemoryKB, s.RunningMemoryFactor, s.RecordKB = 10000, 1, 300 })
	var last RequestID
	for range 500 {
		last = h.arrive(2, func(q *Request) { q.MemoryKB = 1 })
		h.finishBatch()
	}
	h.want(fmt.Sprint("refuse ", last), fmt.Sprint("forget ", last))
	if n := len(h.m.records); n > 30 || n-h.m.releasedRecords > 15 {
		t.Errorf("%d records, %d of them released", n, h.m.releasedRecords)
	}
	again := h.arrive(2, func(q *Request) { q.MemoryKB, q.RepeatOf = 1, last })
	h.finishBatch()
	h.want(fmt.Sprint("join ", again))
	h.wantNot(fmt.Sprint("run ", again))
	h.advance(6*time.Second, 1, 5)
	if n := len(h.m.records); h.m.releasedRecords != 0 || n > 4 {
		t.Errorf("after the window %d records, %d released", n, h.m.releasedRecords)
	}
}
