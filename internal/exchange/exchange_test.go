package exchange

import (
	"sync"
	"sync/atomic"
	"testing"
)

type replyCounter struct{ replies atomic.Int64 }

func (c *replyCounter) Reply(uint64, Answer) { c.replies.Add(1) }

// However answers, cancellations and connection losses race, a request ends once and the
// counters add up.
func TestExchangeEndsOnce(t *testing.T) {
	var counters Counters
	const requests = 300
	for i := range requests {
		replier := &replyCounter{}
		x := New(&counters, replier, uint64(i+1), Request{})
		var ended atomic.Int64
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
					ended.Add(1)
				}
			})
		}
		wg.Wait()
		answered := x.FinalState() != EndedCancelled && x.FinalState() != EndedCallerGone
		if ended.Load() != 1 || x.FinalState() == Open || (replier.replies.Load() == 1) != answered {
			t.Fatalf("%d ends, final state %v, %d replies", ended.Load(), x.FinalState(), replier.replies.Load())
		}
	}
	sum := int64(0)
	for f := EndedServed; f < numFinalStates; f++ {
		sum += counters.Count(f)
	}
	if sum != requests || counters.Read.Load() != requests || counters.OpenRequests() != 0 {
		t.Errorf("%d ends of %d requests, %d open", sum, counters.Read.Load(), counters.OpenRequests())
	}
}

// OpenRequests counts the requests that have not ended.
func TestOpenRequests(t *testing.T) {
	var counters Counters
	x := New(&counters, &replyCounter{}, 1, Request{})
	New(&counters, &replyCounter{}, 2, Request{})
	x.Answer(Answer{})
	if counters.OpenRequests() != 1 {
		t.Errorf("%d open, want 1", counters.OpenRequests())
	}
}
