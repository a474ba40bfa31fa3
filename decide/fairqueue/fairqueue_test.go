package fairqueue

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const longestUse = time.Millisecond

// unlimited lets one flow go at a time, without a budget.
var unlimited = Bounds{Slots: 1, Budget: math.Inf(1), FlowBudget: math.Inf(1)}

// simulation runs uses of a queue with one slot in virtual time, one after another.
type simulation struct {
	queue   *Queue
	random  *rand.Rand
	now     time.Duration
	current *Flow // the flow that goes
	used    map[*Flow]time.Duration
}

func newSimulation(seed uint64) *simulation {
	return &simulation{queue: New(unlimited), random: rand.New(rand.NewPCG(seed, 1)), used: map[*Flow]time.Duration{}}
}

// request makes a flow ask.
func (s *simulation) request(f *Flow) {
	if s.queue.Request(s.now, f) {
		s.current = f
	}
}

// finish ends the present use after cost and returns its flow.
func (s *simulation) finish(cost time.Duration) *Flow {
	f := s.current
	s.now += cost
	s.used[f] += cost
	s.current = s.queue.Done(s.now, f, cost.Seconds())
	return f
}

// greedyUse ends the present use after up to longestUse, and its flow asks again at once.
func (s *simulation) greedyUse() {
	s.request(s.finish(longestUse/10 + time.Duration(s.random.Int64N(int64(longestUse*9/10)))))
}

// addGreedy adds flows that always wait, and lets them go for a number of uses each.
func (s *simulation) addGreedy(count, uses int) []Flow {
	flows := make([]Flow, count)
	for i := range flows {
		s.queue.Join(s.now, &flows[i])
		s.request(&flows[i])
	}
	s.uses(uses * count)
	return flows
}

// uses lets greedy flows go a number of times.
func (s *simulation) uses(count int) {
	for range count {
		s.greedyUse()
	}
}

// A flow that uses at most half of its share waits for the present use only, however many others always wait, and for
// how long each of their uses takes.
func TestModestFlowWaitsForOneUse(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(r, "seed"))
		greedy := s.addGreedy(rapid.IntRange(1, 400).Draw(r, "greedy flows"), 20)
		var modest Flow
		s.queue.Join(s.now, &modest)
		s.uses(4 * len(greedy)) // so that its first request is not that of a flow that has just joined
		for range 50 {
			asked := s.now
			for range rapid.IntRange(1, 20).Draw(r, "uses in between") {
				s.greedyUse()
			}
			share := (s.now - asked) / time.Duration(len(greedy)+1)
			s.request(&modest)
			uses := 0
			for s.current != &modest {
				s.greedyUse()
				uses++
			}
			if uses > 1 {
				r.Fatalf("it waited for %d uses beside %d greedy flows", uses, len(greedy))
			}
			s.finish(share / 2)
		}
	})
}

// Flows that always wait get the same time, within a tenth, whatever their uses take.
func TestGreedyFlowsShareEqually(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(r, "seed"))
		flows := s.addGreedy(rapid.IntRange(3, 20).Draw(r, "flows"), 500)
		mean := s.now / time.Duration(len(flows))
		for i := range flows {
			if used := s.used[&flows[i]]; used < mean*9/10 || used > mean*11/10 {
				r.Fatalf("flow %d of %d used %v, the mean is %v", i, len(flows), used, mean)
			}
		}
	})
}

// A flow that used much and then nothing goes like a new one after some time, also if the queue's reference moved
// meanwhile; a little later than a long use it still goes after one that used little.
func TestUseIsForgotten(t *testing.T) {
	for _, away := range []time.Duration{time.Millisecond, 40 * halfLife, 3 * maxSpan} {
		q := New(unlimited)
		var much, little, present Flow
		for _, f := range []*Flow{&much, &little, &present} {
			q.Join(0, f)
		}
		q.Request(0, &much)
		q.Done(time.Second, &much, 1)
		q.Request(time.Second, &little)
		q.Done(time.Second+time.Millisecond, &little, 0.001)
		now := time.Second + time.Millisecond + away
		q.Request(now, &present)
		q.Request(now, &much)
		q.Request(now, &little)
		if next := q.Done(now, &present, 0.001); next != &little {
			t.Errorf("after %v the flow that used much goes first", away)
		}
		if next := q.Done(now, &little, 0.001); next != &much || q.Waiting() != 0 {
			t.Errorf("after %v the flow that used much is not next", away)
		}
		if away >= 40*halfLife && much.weight*0.9 > little.weight {
			t.Errorf("after %v a use of 1 long ago counts %g, one of 0.001 just now %g", away, much.weight, little.weight)
		}
	}
}

// Checks for arbitrary requests, ends and renewals that the slots and the budget are kept, no flow that asked is lost or
// waits without need, and none goes that did not ask. In the end all may go.
func TestBoundsAreKept(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(r, "slots")
		budget := rapid.Float64Range(1, 5000).Draw(r, "budget")
		flowBudget := rapid.Float64Range(1, budget).Draw(r, "budget of a flow")
		q, now, left := New(Bounds{slots, budget, flowBudget}), time.Duration(0), budget
		used := map[*Flow]float64{} // since the last renewal
		flows := make([]Flow, 12)
		waiting, going := map[*Flow]bool{}, map[*Flow]bool{}
		let := func(next *Flow) {
			if !waiting[next] {
				r.Fatal("a flow goes that does not wait")
			}
			delete(waiting, next)
			going[next] = true
		}
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			if rapid.IntRange(0, 9).Draw(r, "renew") == 0 {
				left = budget + min(left, 0)
				clear(used)
				for _, f := range q.Renew(now) {
					let(f)
				}
			}
			now += time.Duration(rapid.IntRange(0, 200_000).Draw(r, "ms")) * time.Millisecond
			f := &flows[rapid.IntRange(0, len(flows)-1).Draw(r, "flow")]
			switch {
			case going[f]:
				delete(going, f)
				cost := rapid.Float64Range(0, 5000).Draw(r, "cost")
				left -= cost
				used[f] += cost
				if next := q.Done(now, f, cost); next != nil {
					let(next)
				}
			case waiting[f]:
				if rapid.Bool().Draw(r, "withdraw") {
					if !q.withdraw(f) {
						r.Fatal("a flow that waits can't withdraw")
					}
					delete(waiting, f)
				}
			case q.withdraw(f):
				r.Fatal("a flow withdraws that does not wait")
			case q.Request(now, f):
				if left <= 0 || used[f] >= flowBudget {
					r.Fatalf("a flow goes without budget: %g left, it used %g of %g", left, used[f], flowBudget)
				}
				going[f] = true
			default:
				waiting[f] = true
			}
			entitled := 0
			for f := range waiting {
				if used[f] < flowBudget {
					entitled++
				}
			}
			free := len(going) < slots && left > 0
			if len(going) > slots || free && entitled > 0 || q.Waiting() != len(waiting) {
				r.Fatalf("%d go of %d, %d wait, the queue has %d, left %g", len(going), slots, len(waiting), q.Waiting(), left)
			}
		}
		for _, f := range q.Unlimit(now) {
			let(f)
		}
		if len(waiting) > 0 {
			r.Fatalf("%d flows still wait without bounds", len(waiting))
		}
	})
}

// Flows that leave after one use and join again get no more than one that stays, which waits for the present use only as
// long as it uses at most half of its share.
func TestJoiningAgainGivesNoCredit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(r, "seed"))
		var modest Flow
		s.queue.Join(s.now, &modest)
		leaving := s.addGreedy(rapid.IntRange(2, 100).Draw(r, "flows that leave"), 1)
		rejoin := func() {
			f := s.finish(longestUse/10 + time.Duration(s.random.Int64N(int64(longestUse*9/10))))
			s.queue.Leave(f)
			*f = Flow{}
			s.queue.Join(s.now, f)
			s.request(f)
		}
		for range 20 * len(leaving) {
			rejoin()
		}
		for range 50 {
			asked := s.now
			for range rapid.IntRange(1, 20).Draw(r, "uses in between") {
				rejoin()
			}
			share := (s.now - asked) / time.Duration(len(leaving)+1)
			s.request(&modest)
			uses := 0
			for s.current != &modest {
				rejoin()
				uses++
			}
			if uses > 1 {
				r.Fatalf("it waited for %d uses beside %d flows that leave and join", uses, len(leaving))
			}
			s.finish(share / 2)
		}
	})
}

// A flow that joins waits for two uses of each of the others at most, however long they have been waiting.
func TestNewFlowWaitsForTwoRounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(r, "seed"))
		greedy := s.addGreedy(rapid.IntRange(2, 300).Draw(r, "greedy flows"), rapid.IntRange(1, 40).Draw(r, "uses of each"))
		var fresh Flow
		s.queue.Join(s.now, &fresh)
		s.request(&fresh)
		uses := 0
		for s.current != &fresh {
			s.greedyUse()
			uses++
		}
		if uses > 2*len(greedy) {
			r.Fatalf("it waited for %d uses beside %d greedy flows", uses, len(greedy))
		}
	})
}
