package pools

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinmast/rules"
)

// Checks the invariants of the package comment for arbitrary events.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(r, "classes")
		set := Settings{Reserve: rapid.Float64Range(0, 0.5).Draw(r, "reserve")}
		own := 0.0
		for range n {
			c := Class{Utility: rapid.Float64Range(0, 5).Draw(r, "utility"), Reserve: rapid.Float64Range(0, 0.5/float64(n)).Draw(r, "own")}
			own += c.Reserve
			set.Classes = append(set.Classes, c)
		}
		p := New(set)
		now := time.Duration(0)
		running := make([]int, n)
		limit := 1.0
		var queue []rules.QueuedRequest
		total := 0
		for range rapid.IntRange(1, 120).Draw(r, "events") {
			class := rapid.IntRange(0, n-1).Draw(r, "class")
			now += time.Duration(rapid.IntRange(0, 120).Draw(r, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0, 1:
				for range rapid.IntRange(1, 40).Draw(r, "burst") {
					p.Arrived(now, class, time.Duration(rapid.IntRange(0, 300).Draw(r, "hint"))*time.Millisecond)
					queue = append(queue, rules.QueuedRequest{Class: class, Utility: rapid.Float64Range(0, 9).Draw(r, "utility")})
				}
			case 2:
				if running[class] > 0 {
					p.RunningChanged(now, class, -1)
					p.RunSucceeded(now, class, time.Duration(rapid.IntRange(0, 900).Draw(r, "took"))*time.Millisecond)
					running[class]--
					total--
				}
			case 3:
				limit = rapid.Float64Range(0.1, 40).Draw(r, "limit")
				p.Step(now, limit)
				sum, floors := 0.0, 0.0
				for _, c := range p.pools {
					if c.floor < 0 || c.entitlement < c.floor-1e-9 || math.IsNaN(c.entitlement+c.credit+c.slotCap+c.usualRate) {
						r.Fatalf("floor %v, entitlement %v, credit %v, cap %v", c.floor, c.entitlement, c.credit, c.slotCap)
					}
					sum += c.entitlement
					floors += c.floor
				}
				if top := max(limit, 1); sum > top*(1+1e-9) || floors > (set.Reserve+own)*top+1e-9 {
					r.Fatalf("entitlements %v of %v, floors %v", sum, top, floors)
				}
			case 4:
				slots := int(max(limit, 1)) + p.StalledRuns()
				i := p.Next(now, slots, total, queue)
				if i >= len(queue) || i < -1 {
					r.Fatalf("index %d of %d", i, len(queue))
				}
				if i < 0 {
					continue
				}
				c := p.pools[queue[i].Class]
				if p.shortage && c.candidateTier >= 3 {
					for _, request := range queue {
						if other := p.pools[request.Class]; other.candidateTier == 1 && !(other.hanging && other.running > 0) {
							r.Fatalf("a class within its floor waits behind one of tier %d", c.candidateTier)
						}
					}
				}
				p.RunningChanged(now, queue[i].Class, 1)
				running[queue[i].Class]++
				total++
				queue = append(queue[:i:i], queue[i+1:]...)
			default:
				if len(queue) == 0 {
					continue
				}
				bound := rapid.IntRange(0, 30).Draw(r, "bound")
				i := p.Evict(now, bound, queue)
				if i < 0 || i >= len(queue) {
					r.Fatalf("index %d of %d", i, len(queue))
				}
				over := func(c *pool) bool { return float64(c.queued) > math.Ceil(c.floor/p.limit*float64(bound)) }
				if !over(p.pools[queue[i].Class]) {
					for _, request := range queue {
						if over(p.pools[request.Class]) {
							r.Fatal("a class within the places of its floor loses a request before one that exceeds them")
						}
					}
				}
				queue = append(queue[:i:i], queue[i+1:]...)
			}
			for _, c := range p.pools {
				if c.running < 0 {
					r.Fatal("negative number of runs")
				}
			}
		}
	})
}

// Whether a class is cheap depends on measured run times as soon as they are known, not on the callers'
// hints: wrong hints must not earn a reserve. A single class is not cheap.
func TestCheapFollowsRunTimes(t *testing.T) {
	feed := func(p *Pools, class int, hint, took time.Duration) {
		for i := range 30 {
			now := time.Duration(i) * 100 * time.Millisecond
			for range 10 {
				p.Arrived(now, class, hint)
			}
			if took > 0 {
				p.RunningChanged(now, class, 1)
				p.RunningChanged(now, class, -1)
				p.RunSucceeded(now, class, took)
			}
			p.Step(now, 8)
		}
	}
	ms := time.Millisecond
	p := New(Settings{Classes: make([]Class, 3), Reserve: 0.1})
	feed(p, 0, 5*ms, 0)
	feed(p, 1, 100*ms, 100*ms)
	feed(p, 2, ms, 0)
	if !p.pools[2].cheap || p.pools[1].cheap {
		t.Error("hints are not used while no run time is known")
	}
	feed(p, 2, ms, 120*ms)
	if p.pools[2].cheap || p.pools[2].floor > 0 {
		t.Error("a class with wrong hints keeps a reserve")
	}
	single := New(Settings{Classes: make([]Class, 1), Reserve: 0.1})
	feed(single, 0, ms, ms)
	if single.pools[0].cheap {
		t.Error("a single class is cheap")
	}
}

// Classes without requests become inactive, so that they cost no time.
func TestSilentClassesAreForgotten(t *testing.T) {
	p := New(Settings{Classes: make([]Class, 1000)})
	for i := range 1000 {
		p.Arrived(0, i, 0)
	}
	p.Step(time.Second, 4)
	if len(p.active) != 1000 {
		t.Fatalf("%d active", len(p.active))
	}
	p.Arrived(forgetAfter+time.Second, 7, 0)
	p.Step(forgetAfter+2*time.Second, 4)
	if len(p.active) != 1 {
		t.Errorf("%d classes stay active", len(p.active))
	}
}

// A class that lent its slots gets the next free one back: even if the others use all slots, one end of a
// run is enough for its floor.
func TestLentSlotsReturn(t *testing.T) {
	p := New(Settings{Classes: []Class{{Utility: 1, Reserve: 0.25}, {Utility: 9}}})
	now := time.Duration(0)
	feed := func(class, n int) {
		for range n {
			p.Arrived(now, class, 50*time.Millisecond)
		}
	}
	for range 40 {
		now += 100 * time.Millisecond
		feed(0, 8)
		feed(1, 40)
		p.Step(now, 8)
	}
	now += 3 * time.Second // class 0 sends nothing, and its slots are lent
	for range 8 {
		i := p.Next(now, 8, p.pools[1].running, []rules.QueuedRequest{{Class: 1, Utility: 9}})
		if i != 0 {
			t.Fatalf("slot %d is not lent", p.pools[1].running)
		}
		p.RunningChanged(now, 1, 1)
	}
	feed(0, 8)
	p.Step(now, 8)
	p.RunningChanged(now, 1, -1)
	if i := p.Next(now, 8, 7, []rules.QueuedRequest{{Class: 1, Utility: 9}, {Class: 0, Utility: 1}}); i != 1 {
		t.Errorf("the next free slot goes to index %d, not to the class that lent it", i)
	}
}
