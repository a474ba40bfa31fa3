package exchange

import (
	"sync"
	"sync/atomic"
	"testing"
)

type counter struct{ replies atomic.Int64 }

func (c *counter) Reply(uint64, Answer) { c.replies.Add(1) }

// However answers, cancels and ends of connections cross, a request ends once
// and the ledger adds up.
func TestEndsOnce(t *testing.T) {
	var l Counters
	const requests = 300
	for i := range requests {
		c := &counter{}
		x := New(&l, c, uint64(i+1), Request{})
		var first atomic.Int64
		var wg sync.WaitGroup
		for _, end := range []func() bool{
			func() bool { return x.Answer(Answer{Kind: Served}) },
			func() bool { return x.Answer(Answer{Kind: Refused}) },
			func() bool { return x.Answer(Answer{Kind: Failed}) },
			func() bool { return x.Abandon(EndedCancelled) },
			func() bool { return x.Abandon(EndedCallerGone) },
		} {
			wg.Go(func() {
				if end() {
					first.Add(1)
				}
			})
		}
		wg.Wait()
		answered := x.FinalState() != EndedCancelled && x.FinalState() != EndedCallerGone
		if first.Load() != 1 || x.FinalState() == Open || (c.replies.Load() == 1) != answered {
			t.Fatalf("%d ends, fate %v, %d replies", first.Load(), x.FinalState(), c.replies.Load())
		}
	}
	sum := int64(0)
	for f := EndedServed; f < numFates; f++ {
		sum += l.Count(f)
	}
	if sum != requests || l.Read.Load() != requests || l.OpenRequests() != 0 {
		t.Errorf("%d ends of %d requests, %d in hand", sum, l.Read.Load(), l.OpenRequests())
	}
}

func TestInHand(t *testing.T) {
	var l Counters
	x := New(&l, &counter{}, 1, Request{})
	New(&l, &counter{}, 2, Request{})
	x.Answer(Answer{})
	if l.OpenRequests() != 1 {
		t.Errorf("%d in hand, want 1", l.OpenRequests())
	}
}
