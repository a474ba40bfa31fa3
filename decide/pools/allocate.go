package pools

import (
	"cmp"
	"math"
	"slices"
)

// expectedRate returns the arrival rate up to which a class does not flood: twice its usual rate, and
// more if all other classes also send more than usual, as they do when another node fails.
func (p *Pools) expectedRate(c *pool) float64 {
	otherRates, otherUsualRates := p.totalRate-c.rate, p.totalUsualRate-c.usualRate
	growth := 1.0
	if otherUsualRates > 0.1 {
		growth = max(otherRates/otherUsualRates, 1)
	}
	if len(p.active) < 2 { // a single class takes nothing from others
		growth = math.Inf(1)
	}
	return floodFactor * growth * max(c.usualRate, 1)
}

// countedRate returns the arrival rate on which the entitlement of a class is based.
func (p *Pools) countedRate(c *pool) float64 { return min(c.rate, p.expectedRate(c)) }

// demand returns the number of slots that the work of a class needs.
func (p *Pools) demand(c *pool) float64 { return demandHeadroom * p.countedRate(c) * c.expectedRun() }

// classifyCheap decides which classes are cheap: those whose runs are short compared with the mean
// over the arrivals. Floods are left out, so that no class can shift the mean. A single class is not
// cheap.
func (p *Pools) classifyCheap() {
	sum, weight := 0.0, 0.0
	for _, c := range p.active {
		w := min(p.countedRate(c), max(c.usualRate, 0.1))
		sum += w * c.expectedRun()
		weight += w
	}
	mean := sum / max(weight, 1e-9)
	for _, c := range p.active {
		threshold := cheapBelow
		if c.cheap {
			threshold = cheapUntil
		}
		c.cheap = c.expectedRun() < threshold*mean
	}
}

// updateCaps updates the caps of the classes, which keep a class whose runs alone have become slow
// from filling the slots: the rule of the concurrency limit, per class.
func (p *Pools) updateCaps(weight float64) {
	var slowdowns []float64
	for _, c := range p.active {
		if c.runs >= minRuns {
			slowdowns = append(slowdowns, c.slowdown())
		}
	}
	if len(slowdowns) < 2 {
		for _, c := range p.active {
			c.slotCap = p.limit
		}
		return
	}
	slices.Sort(slowdowns)
	median := slowdowns[(len(slowdowns)-1)/2]
	for _, c := range p.active {
		if math.IsInf(c.slotCap, 1) {
			c.slotCap = p.limit
		}
		if c.slowdown() > ownSlowdown*median {
			c.slotCap *= 1 - (1-capShrink)*weight
		} else {
			c.slotCap += weight * max(minCapGrowth, c.slotCap*(capGrowth-1))
		}
		c.slotCap = max(min(c.slotCap, p.limit), 1, c.floor)
	}
}

// allocate divides the limit between the classes: floors first, then the demands in the order of
// utility density. Classes of about the same density share evenly.
func (p *Pools) allocate() {
	var cheap []*pool
	active := slices.Clone(p.active)
	demand, unassigned := 0.0, p.limit
	for _, c := range active {
		c.floor, c.entitlement = 0, 0
		demand += p.demand(c)
		c.floor = min(p.demand(c), c.Reserve*p.limit, unassigned)
		unassigned -= c.floor
		if c.cheap {
			cheap = append(cheap, c)
		}
	}
	reserve := min(p.settings.Reserve*p.limit, unassigned)
	unassigned -= distribute(cheap, reserve, func(c *pool) float64 { return p.demand(c) - c.floor },
		func(c *pool, slots float64) { c.floor += slots })
	for _, c := range active {
		c.entitlement = c.floor
	}
	slices.SortStableFunc(active, func(a, b *pool) int {
		return cmp.Compare(p.utilityDensity(b), p.utilityDensity(a))
	})
	for i := 0; i < len(active); {
		j := i + 1
		for j < len(active) && p.utilityDensity(active[j]) > 0.9*p.utilityDensity(active[i]) {
			j++
		}
		unassigned -= distribute(active[i:j], unassigned, func(c *pool) float64 { return p.demand(c) - c.entitlement },
			func(c *pool, slots float64) { c.entitlement += slots })
		i = j
	}
	threshold := shortageAbove
	if p.shortage {
		threshold = shortageUntil
	}
	p.shortage = demand > threshold*p.limit || p.overflowAt > 0 && p.now-p.overflowAt < overflowHold
	if spare := unassigned; spare > 0 && demand > 0 { // what is left is divided in proportion to demand
		for _, c := range active {
			c.entitlement += spare * p.demand(c) / demand
		}
	}
}

// distribute divides available slots evenly between the pools of list, to none more than its demand, and
// returns how many were assigned.
func distribute(
	list []*pool, available float64, demand func(*pool) float64, assign func(*pool, float64),
) (assigned float64) {
	order := slices.Clone(list)
	slices.SortStableFunc(order, func(a, b *pool) int { return cmp.Compare(demand(a), demand(b)) })
	for i, c := range order {
		share := max(min(demand(c), (available-assigned)/float64(len(order)-i)), 0)
		assign(c, share)
		assigned += share
	}
	return assigned
}
