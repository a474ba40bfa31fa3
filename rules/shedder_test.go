package rules

import (
	"strconv"
	"testing"
	"time"
)

// neighbours stands in for decide/together: it says what it is told to.
type neighbours struct {
	vain, ends bool
	retry      float64
	advice     time.Duration
	arrived    int
	again      int
	asked      []float64 // prices of refusals
	line       int
}

func (n *neighbours) Arrived(_ time.Duration, _, _ float64, again bool) {
	n.arrived++
	if again {
		n.again++
	}
}
func (n *neighbours) Step(time.Duration, float64, float64) []string { return []string{"a line"} }
func (n *neighbours) ExceedsQueueTimeout(line []QueuedRequest, _ float64, _ time.Duration) bool {
	n.line = len(line)
	return n.vain
}
func (n *neighbours) StopsRetries(_ time.Duration, price float64) bool {
	n.asked = append(n.asked, price)
	return n.ends
}
func (n *neighbours) RetryUtility() float64 { return n.retry }
func (n *neighbours) RetryAfter(_, base, _ time.Duration) time.Duration {
	return max(n.advice, base)
}

// beside is a bed whose slots are taken and whose line holds more than runs, under
// lasting pressure, so that slots go by worth.
func beside(t *testing.T, n *neighbours) *bed {
	vain := n.vain
	n.vain = false
	defer func() { n.vain = vain }()
	b := newBed(t, func(s *Settings) {
		s.NewShedder = func(time.Duration) Shedder { return n }
	})
	for range 4 * len(b.m.settings.Classes) {
		b.arrive(0, nil)
	}
	b.settle()
	b.m.pressure = 2 * utilityOrderPressure
	for len(b.m.queue) <= int(b.m.runLimit) { // its bound may be the limit itself
		b.m.drainSeconds, b.m.drainSuccesses = 1, 100
		b.arrive(0, nil)
		b.settle()
	}
	if !b.m.saturated {
		t.Fatal("slots are not short")
	}
	return b
}

// What would be held in vain is refused at once, and not where it may run: not
// without pressure, not while few are held, not while slots are free.
func TestInVainIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*bed)
		want   bool
	}{
		"in vain":          {func(*bed) {}, true},
		"without pressure": {func(b *bed) { b.m.pressure = 0 }, false},
		"few are held":     {func(b *bed) { b.m.queue = b.m.queue[:1] }, false},
		"slots are free":   {func(b *bed) { b.m.saturated = false }, false},
	} {
		n := &neighbours{vain: true, ends: true, retry: 1}
		b := beside(t, n)
		c.change(b)
		id := b.arrive(0, nil)
		if got := b.last["refuse "+itoa(id)]; got != c.want {
			t.Errorf("%s: refused at once %v", name, got)
		}
		if c.want {
			b.want("refuse "+itoa(id), "last "+itoa(id))
		}
	}
	n := &neighbours{retry: 1}
	b := beside(t, n)
	if id := b.arrive(0, nil); b.last["refuse "+itoa(id)] || n.line == 0 {
		t.Error("refused though it is not in vain, or nobody asked")
	}
}

// A repeat of keyed work that may have run is never refused by it: it fails.
func TestInVainFailsWhatMayHaveRun(t *testing.T) {
	n := &neighbours{vain: true, retry: 1}
	b := beside(t, n)
	first := b.arrive(2, nil) // refused at once: its key is free again
	b.want("refuse "+itoa(first), "forget "+itoa(first))
	again := b.arrive(2, func(q *Request) { q.RepeatOf = first })
	if b.last["refuse "+itoa(again)] || !b.last["fail "+itoa(again)] {
		t.Errorf("a keyed repeat in vain: %v", b.acts)
	}
}

// Walks end as the fleet has it, whatever this node's own pressure is, and the
// price is that of a first try.
func TestWalksEndAsTheFleetHasIt(t *testing.T) {
	for _, ends := range []bool{false, true} {
		n := &neighbours{ends: ends, retry: 0.4}
		b := newBed(t, func(s *Settings) { s.NewShedder = func(time.Duration) Shedder { return n } })
		for range 30 {
			b.arrive(0, func(q *Request) { q.Retry, q.WorkHint = true, 100*ms })
		}
		b.m.pressure = 0.9
		b.settle()
		last := 0
		for line := range b.last {
			if line[:4] == "last" {
				last++
			}
		}
		if len(n.asked) == 0 || (last == len(n.asked)) != ends || !ends && last > 0 {
			t.Errorf("ends %v: %d of %d refusals ended a walk", ends, last, len(n.asked))
		}
		for _, price := range n.asked {
			if price != 10 { // worth 1 for 0.1 s, no less for being a further try
				t.Fatalf("price %v", price)
			}
		}
		if n.arrived != 30 || n.again != 30 {
			t.Errorf("%d arrivals and %d further tries were told of 30", n.arrived, n.again)
		}
	}
}

// A further try counts as the fleet has it: whole, the newest leaves a full line;
// less, the further try does.
func TestFurtherTriesCountAsTheFleetHasIt(t *testing.T) {
	for _, worth := range []float64{1, 0.4} {
		n := &neighbours{retry: worth}
		b := newBed(t, func(s *Settings) { s.NewShedder = func(time.Duration) Shedder { return n } })
		b.arrive(0, nil)
		b.arrive(0, nil)
		b.settle() // both slots are taken
		again := b.arrive(0, func(q *Request) { q.Retry = true })
		b.settle()
		for range 5 {
			b.arrive(0, nil)
		}
		b.settle()
		if got := b.last["refuse "+itoa(again)]; got != (worth < 1) {
			t.Errorf("worth %v: the further try left the line %v", worth, got)
		}
	}
}

func itoa(id RequestID) string { return strconv.FormatUint(uint64(id), 10) }
