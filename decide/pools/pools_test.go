package pools

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinmast/rules"
)

// TestInvariants runs any events through the pools and checks what the package
// comment promises.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(r, "classes")
		set := Settings{Reserve: rapid.Float64Range(0, 0.5).Draw(r, "reserve")}
		own := 0.0
		for range n {
			c := Class{Utility: rapid.Float64Range(0, 5).Draw(r, "worth"), Reserve: rapid.Float64Range(0, 0.5/float64(n)).Draw(r, "own")}
			own += c.Reserve
			set.Classes = append(set.Classes, c)
		}
		p := New(set)
		now := time.Duration(0)
		running := make([]int, n)
		limit := 1.0
		var line []rules.QueuedRequest
		total := 0
		for range rapid.IntRange(1, 120).Draw(r, "events") {
			class := rapid.IntRange(0, n-1).Draw(r, "class")
			now += time.Duration(rapid.IntRange(0, 120).Draw(r, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0, 1:
				for range rapid.IntRange(1, 40).Draw(r, "burst") {
					p.Arrived(now, class, time.Duration(rapid.IntRange(0, 300).Draw(r, "hint"))*time.Millisecond)
					line = append(line, rules.QueuedRequest{Class: class, Utility: rapid.Float64Range(0, 9).Draw(r, "value")})
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
						r.Fatalf("floor %v, entitled to %v, owed %v, cap %v", c.floor, c.entitlement, c.credit, c.slotCap)
					}
					sum += c.entitlement
					floors += c.floor
				}
				if top := max(limit, 1); sum > top*(1+1e-9) || floors > (set.Reserve+own)*top+1e-9 {
					r.Fatalf("%v entitled of %v, floors %v", sum, top, floors)
				}
			case 4:
				slots := int(max(limit, 1)) + p.StalledRuns()
				i := p.Next(now, slots, total, line)
				if i >= len(line) || i < -1 {
					r.Fatalf("place %d of %d", i, len(line))
				}
				if i < 0 {
					continue
				}
				c := p.pools[line[i].Class]
				if p.shortage && c.candidateTier >= 3 {
					for _, w := range line {
						if o := p.pools[w.Class]; o.candidateTier == 1 && !(o.hanging && o.running > 0) {
							r.Fatalf("a class within its floor waits behind tier %d", c.candidateTier)
						}
					}
				}
				p.RunningChanged(now, line[i].Class, 1)
				running[line[i].Class]++
				total++
				line = append(line[:i:i], line[i+1:]...)
			default:
				if len(line) == 0 {
					continue
				}
				bound := rapid.IntRange(0, 30).Draw(r, "bound")
				i := p.Evict(now, bound, line)
				if i < 0 || i >= len(line) {
					r.Fatalf("place %d of %d", i, len(line))
				}
				over := func(c *pool) bool { return float64(c.queued) > math.Ceil(c.floor/p.limit*float64(bound)) }
				if !over(p.pools[line[i].Class]) {
					for _, w := range line {
						if over(p.pools[w.Class]) {
							r.Fatal("a class within its floor's places leaves before one that is over")
						}
					}
				}
				line = append(line[:i:i], line[i+1:]...)
			}
			for _, c := range p.pools {
				if c.running < 0 {
					r.Fatal("fewer than no runs")
				}
			}
		}
	})
}

// Who is cheap goes by what runs took once that is known, not by what callers say;
// one class alone, and equals, are not.
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
		t.Error("by hints: the claim is not believed while nothing is known")
	}
	feed(p, 2, ms, 120*ms)
	if p.pools[2].cheap || p.pools[2].floor > 0 {
		t.Error("a class that lies in its hints keeps a reserve")
	}
	one := New(Settings{Classes: make([]Class, 1), Reserve: 0.1})
	feed(one, 0, ms, ms)
	if one.pools[0].cheap {
		t.Error("a class alone is cheap")
	}
}

// What silent classes cost: nothing, once they were forgotten.
func TestSilentClassesAreForgotten(t *testing.T) {
	p := New(Settings{Classes: make([]Class, 1000)})
	for i := range 1000 {
		p.Arrived(0, i, 0)
	}
	p.Step(time.Second, 4)
	if len(p.active) != 1000 {
		t.Fatalf("%d live", len(p.active))
	}
	p.Arrived(forgetAfter+time.Second, 7, 0)
	p.Step(forgetAfter+2*time.Second, 4)
	if len(p.active) != 1 {
		t.Errorf("%d classes live on", len(p.active))
	}
}

// What a class lent comes back with the next slot that is free: the others may
// hold all of them, the first end of a run is enough for its floor.
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
	now += 3 * time.Second // class 0 is silent, and its slots are lent
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
		t.Errorf("the next free slot goes to place %d, not to the class that lent it", i)
	}
}
