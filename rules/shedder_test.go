package rules

import (
	"strconv"
	"testing"
	"time"
)

// neighbours stands in for decide/together: it says what it is told to.
type fakeShedder struct {
	exceedsTimeout, stopsRetries bool
	retryUtility                 float64
	minRetryAfter                time.Duration
	arrived                      int
	retries                      int
	firstTryUtilities            []float64 // prices of refusals
	queueLength                  int
}

func (shedder *fakeShedder) Arrived(_ time.Duration, _, _ float64, again bool) {
	shedder.arrived++
	if again {
		shedder.retries++
	}
}
func (shedder *fakeShedder) Step(time.Duration, float64, float64) []string { return []string{"a line"} }
func (shedder *fakeShedder) ExceedsQueueTimeout(line []QueuedRequest, _ float64, _ time.Duration) bool {
	shedder.queueLength = len(line)
	return shedder.exceedsTimeout
}
func (shedder *fakeShedder) StopsRetries(_ time.Duration, price float64) bool {
	shedder.firstTryUtilities = append(shedder.firstTryUtilities, price)
	return shedder.stopsRetries
}
func (shedder *fakeShedder) RetryUtility() float64 { return shedder.retryUtility }
func (shedder *fakeShedder) RetryAfter(_, base, _ time.Duration) time.Duration {
	return max(shedder.minRetryAfter, base)
}

// beside is a bed whose slots are taken and whose line holds more than runs, under
// lasting pressure, so that slots go by worth.
func harnessWithFullQueue(t *testing.T, shedder *fakeShedder) *harness {
	vain := shedder.exceedsTimeout
	shedder.exceedsTimeout = false
	defer func() { shedder.exceedsTimeout = vain }()
	h := newHarness(t, func(s *Settings) {
		s.NewShedder = func(time.Duration) Shedder { return shedder }
	})
	for range 4 * len(h.m.settings.Classes) {
		h.arrive(0, nil)
	}
	h.finishBatch()
	h.m.pressure = 2 * utilityOrderPressure
	for len(h.m.queue) <= int(h.m.runLimit) { // its bound may be the limit itself
		h.m.drainSeconds, h.m.drainSuccesses = 1, 100
		h.arrive(0, nil)
		h.finishBatch()
	}
	if !h.m.saturated {
		t.Fatal("slots are not short")
	}
	return h
}

// What would be held in vain is refused at once, and not where it may run: not
// without pressure, not while few are held, not while slots are free.
func TestExceedingQueueTimeoutIsRefusedOnArrival(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*harness)
		want   bool
	}{
		"in vain":          {func(*harness) {}, true},
		"without pressure": {func(h *harness) { h.m.pressure = 0 }, false},
		"few are held":     {func(h *harness) { h.m.queue = h.m.queue[:1] }, false},
		"slots are free":   {func(h *harness) { h.m.saturated = false }, false},
	} {
		shedder := &fakeShedder{exceedsTimeout: true, stopsRetries: true, retryUtility: 1}
		h := harnessWithFullQueue(t, shedder)
		c.change(h)
		id := h.arrive(0, nil)
		if got := h.done["refuse "+itoa(id)]; got != c.want {
			t.Errorf("%s: refused at once %v", name, got)
		}
		if c.want {
			h.want("refuse "+itoa(id), "last "+itoa(id))
		}
	}
	shedder := &fakeShedder{retryUtility: 1}
	h := harnessWithFullQueue(t, shedder)
	if id := h.arrive(0, nil); h.done["refuse "+itoa(id)] || shedder.queueLength == 0 {
		t.Error("refused though it is not in vain, or nobody asked")
	}
}

// A repeat of keyed work that may have run is never refused by it: it fails.
func TestExceedingQueueTimeoutFailsWhatMayHaveRun(t *testing.T) {
	shedder := &fakeShedder{exceedsTimeout: true, retryUtility: 1}
	h := harnessWithFullQueue(t, shedder)
	first := h.arrive(2, nil) // refused at once: its key is free again
	h.want("refuse "+itoa(first), "forget "+itoa(first))
	again := h.arrive(2, func(q *Request) { q.RepeatOf = first })
	if h.done["refuse "+itoa(again)] || !h.done["fail "+itoa(again)] {
		t.Errorf("a keyed repeat in vain: %v", h.actions)
	}
}

// Walks end as the fleet has it, whatever this node's own pressure is, and the
// price is that of a first try.
func TestShedderStopsRetries(t *testing.T) {
	for _, ends := range []bool{false, true} {
		shedder := &fakeShedder{stopsRetries: ends, retryUtility: 0.4}
		h := newHarness(t, func(s *Settings) { s.NewShedder = func(time.Duration) Shedder { return shedder } })
		for range 30 {
			h.arrive(0, func(q *Request) { q.Retry, q.WorkHint = true, 100*ms })
		}
		h.m.pressure = 0.9
		h.finishBatch()
		last := 0
		for line := range h.done {
			if line[:4] == "last" {
				last++
			}
		}
		if len(shedder.firstTryUtilities) == 0 || (last == len(shedder.firstTryUtilities)) != ends || !ends && last > 0 {
			t.Errorf("ends %v: %d of %d refusals ended a walk", ends, last, len(shedder.firstTryUtilities))
		}
		for _, price := range shedder.firstTryUtilities {
			if price != 10 { // worth 1 for 0.1 s, no less for being a further try
				t.Fatalf("price %v", price)
			}
		}
		if shedder.arrived != 30 || shedder.retries != 30 {
			t.Errorf("%d arrivals and %d further tries were told of 30", shedder.arrived, shedder.retries)
		}
	}
}

// A further try counts as the fleet has it: whole, the newest leaves a full line;
// less, the further try does.
func TestShedderSetsRetryUtility(t *testing.T) {
	for _, worth := range []float64{1, 0.4} {
		shedder := &fakeShedder{retryUtility: worth}
		h := newHarness(t, func(s *Settings) { s.NewShedder = func(time.Duration) Shedder { return shedder } })
		h.arrive(0, nil)
		h.arrive(0, nil)
		h.finishBatch() // both slots are taken
		again := h.arrive(0, func(q *Request) { q.Retry = true })
		h.finishBatch()
		for range 5 {
			h.arrive(0, nil)
		}
		h.finishBatch()
		if got := h.done["refuse "+itoa(again)]; got != (worth < 1) {
			t.Errorf("worth %v: the further try left the line %v", worth, got)
		}
	}
}

func itoa(id RequestID) string { return strconv.FormatUint(uint64(id), 10) }
