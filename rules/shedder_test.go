package rules

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// fakeShedder is a Shedder that answers with the values of its fields and counts calls.
type fakeShedder struct {
	exceedsTimeout, stopsRetries bool
	retryUtility                 float64
	minRetryAfter                time.Duration
	arrived                      int
	retries                      int
	firstTryUtilities            []float64 // of the refused requests
	queueLength                  int
}

func (shedder *fakeShedder) Arrived(_ time.Duration, _, _ float64, again bool) {
	shedder.arrived++
	if again {
		shedder.retries++
	}
}
func (shedder *fakeShedder) Step(time.Duration, float64, float64) []string { return []string{"a line"} }
func (shedder *fakeShedder) ExceedsQueueTimeout(queue []QueuedRequest, _ float64, _ time.Duration) bool {
	shedder.queueLength = len(queue)
	return shedder.exceedsTimeout
}
func (shedder *fakeShedder) StopsRetries(_ time.Duration, utility float64) bool {
	shedder.firstTryUtilities = append(shedder.firstTryUtilities, utility)
	return shedder.stopsRetries
}
func (shedder *fakeShedder) RetryUtility() float64 { return shedder.retryUtility }
func (shedder *fakeShedder) RetryAfter(_, base, _ time.Duration) time.Duration {
	return max(shedder.minRetryAfter, base)
}

// harnessWithFullQueue has no free slot, more requests queued than running, and so much pressure that
// slots go by utility.
func harnessWithFullQueue(t *testing.T, shedder *fakeShedder) *harness {
	exceeds := shedder.exceedsTimeout
	shedder.exceedsTimeout = false
	defer func() { shedder.exceedsTimeout = exceeds }()
	h := newHarness(t, func(s *Settings) {
		s.NewShedder = func(time.Duration) Shedder { return shedder }
	})
	for range 4 * len(h.m.settings.Classes) {
		h.arrive(0, nil)
	}
	h.finishBatch()
	h.m.pressure = 2 * utilityOrderPressure
	for len(h.m.queue) <= int(h.m.runLimit) { // the bound may be the running limit itself
		h.m.drainSeconds, h.m.drainSuccesses = 1, 100
		h.arrive(0, nil)
		h.finishBatch()
	}
	if !h.m.saturated {
		t.Fatal("the module is not saturated")
	}
	return h
}

// A request that would exceed its queue timeout is refused on arrival, but only under pressure, while many
// are queued and no slot is free.
func TestExceedingQueueTimeoutIsRefusedOnArrival(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*harness)
		want   bool
	}{
		"exceeds the timeout": {func(*harness) {}, true},
		"without pressure":    {func(h *harness) { h.m.pressure = 0 }, false},
		"few are queued":      {func(h *harness) { h.m.queue = h.m.queue[:1] }, false},
		"slots are free":      {func(h *harness) { h.m.saturated = false }, false},
	} {
		shedder := &fakeShedder{exceedsTimeout: true, stopsRetries: true, retryUtility: 1}
		h := harnessWithFullQueue(t, shedder)
		c.change(h)
		id := h.arrive(0, nil)
		if got := h.done["refuse "+itoa(id)]; got != c.want {
			t.Errorf("%s: refused on arrival %v", name, got)
		}
		if c.want {
			h.want("refuse "+itoa(id), "stop-retrying "+itoa(id))
		}
	}
	shedder := &fakeShedder{retryUtility: 1}
	h := harnessWithFullQueue(t, shedder)
	if id := h.arrive(0, nil); h.done["refuse "+itoa(id)] || shedder.queueLength == 0 {
		t.Error("refused though it would not exceed its queue timeout, or the shedder was not asked")
	}
}

// A repeat of keyed work that may have run is not refused for its queue timeout: it fails.
func TestExceedingQueueTimeoutFailsWhatMayHaveRun(t *testing.T) {
	shedder := &fakeShedder{exceedsTimeout: true, retryUtility: 1}
	h := harnessWithFullQueue(t, shedder)
	first := h.arrive(2, nil) // refused on arrival: its record is released
	h.want("refuse "+itoa(first), "forget "+itoa(first))
	again := h.arrive(2, func(q *Request) { q.RepeatOf = first })
	if h.done["refuse "+itoa(again)] || !h.done["fail "+itoa(again)] {
		t.Errorf("a keyed repeat that exceeds its queue timeout: %v", h.actions)
	}
}

// With a shedder, its StopsRetries decides, whatever the pressure of this node is. It gets the utility that
// the request would have as a first try.
func TestShedderStopsRetries(t *testing.T) {
	for _, stops := range []bool{false, true} {
		shedder := &fakeShedder{stopsRetries: stops, retryUtility: 0.4}
		h := newHarness(t, func(s *Settings) { s.NewShedder = func(time.Duration) Shedder { return shedder } })
		for range 30 {
			h.arrive(0, func(q *Request) { q.Retry, q.WorkHint = true, 100*ms })
		}
		h.m.pressure = 0.9
		h.finishBatch()
		stopped := 0
		for line := range h.done {
			if strings.HasPrefix(line, "stop-retrying") {
				stopped++
			}
		}
		if len(shedder.firstTryUtilities) == 0 || (stopped == len(shedder.firstTryUtilities)) != stops ||
			!stops && stopped > 0 {
			t.Errorf("StopsRetries %v: %d of %d refusals stop retries", stops, stopped, len(shedder.firstTryUtilities))
		}
		for _, utility := range shedder.firstTryUtilities {
			if utility != 10 { // utility 1 for 0.1 s, no less for being a further try
				t.Fatalf("first-try utility %v", utility)
			}
		}
		if shedder.arrived != 30 || shedder.retries != 30 {
			t.Errorf("%d arrivals and %d further tries of 30 were passed on", shedder.arrived, shedder.retries)
		}
	}
}

// With a shedder, its RetryUtility applies: at 1 the newest request is evicted from a full queue, below 1
// the further try is.
func TestShedderSetsRetryUtility(t *testing.T) {
	for _, retryUtility := range []float64{1, 0.4} {
		shedder := &fakeShedder{retryUtility: retryUtility}
		h := newHarness(t, func(s *Settings) { s.NewShedder = func(time.Duration) Shedder { return shedder } })
		h.arrive(0, nil)
		h.arrive(0, nil)
		h.finishBatch() // no slot is free
		again := h.arrive(0, func(q *Request) { q.Retry = true })
		h.finishBatch()
		for range 5 {
			h.arrive(0, nil)
		}
		h.finishBatch()
		if got := h.done["refuse "+itoa(again)]; got != (retryUtility < 1) {
			t.Errorf("retry utility %v: the further try was evicted %v", retryUtility, got)
		}
	}
}

func itoa(id RequestID) string { return strconv.FormatUint(uint64(id), 10) }
