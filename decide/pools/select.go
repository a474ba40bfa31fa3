package pools

import (
	"math"
	"time"

	"robinmast/rules"
)

// unusedFloor returns how many slots are kept free for a class: the part of its floor that it does not
// use, if it had an arrival recently.
func (p *Pools) unusedFloor(c *pool) float64 {
	if p.limit < minReserveLimit || c.floor == 0 || p.now-c.lastArrival > recentTime {
		return 0
	}
	return max(min(c.floor, math.Ceil(c.floor)-float64(c.running)), 0)
}

// flooding reports whether a class sends far more than usual, and enough to take a substantial share
// of the slots.
func (p *Pools) flooding(c *pool) bool {
	return c.rate > p.expectedRate(c) && c.rate*c.expectedRun() > minFloodShare*p.limit
}

// tier ranks the classes for a free slot: 0 for all while slots are not short; else 1 for a class
// within its floor, 2 for others, 3 for a flood beyond its entitlement, 4 for a class over its cap.
// Requests of one tier go by utility.
func (p *Pools) tier(c *pool) int {
	switch {
	case !p.shortage:
		return 0
	case c.floor > 0 && float64(c.running) < c.floor && c.credit > -c.floor*creditSpan.Seconds():
		return 1
	case float64(c.running) >= c.slotCap:
		return 4
	case c.credit <= 0 && p.flooding(c):
		return 3
	}
	return 2
}

// Next returns the index of the queued request that gets a free slot, -1 for none. slots is the number
// of slots, running how many of them are in use.
func (p *Pools) Next(now time.Duration, slots, running int, queue []rules.QueuedRequest) int {
	p.accrueCredit(now)
	reserved := 0.0
	for _, c := range p.active {
		reserved += p.unusedFloor(c)
		c.candidateTier = p.tier(c)
	}
	best, bestTier, maxUtility := -1, math.MaxInt, 0.0
	for i, request := range queue {
		c := p.pools[request.Class]
		maxUtility = max(maxUtility, request.Utility)
		// Only a class within its floor may take a slot that is kept free for a reserve.
		if c.floor == 0 || float64(c.running) >= c.floor {
			if float64(running) >= float64(slots)-math.Ceil(reserved-p.unusedFloor(c)-0.5) {
				continue
			}
		}
		if c.hanging && c.running > 0 {
			continue
		}
		if c.candidateTier < bestTier || c.candidateTier == bestTier && p.shortage &&
			request.Utility > queue[best].Utility {
			best, bestTier = i, c.candidateTier
		}
	}
	if best >= 0 && bestTier == 1 && queue[best].Utility < maxUtility {
		p.pools[queue[best].Class].reserveUsedAt = now
	}
	return best
}

// Evict returns the index of the request to evict from a queue that exceeds its bound: the one of least
// utility, of equals the newest, among floods that hold more places than they are entitled to, else
// among classes that hold more than those of their floor, else among all.
func (p *Pools) Evict(now time.Duration, bound int, queue []rules.QueuedRequest) int {
	p.accrueCredit(now)
	p.overflowAt, p.shortage = now, true
	for _, c := range p.active {
		c.queued = 0
	}
	for _, request := range queue {
		p.pools[request.Class].queued++
	}
	for _, c := range p.active {
		c.candidateTier = 0
		switch {
		case float64(c.queued) <= math.Ceil(c.floor/p.limit*float64(bound)):
			c.candidateTier = -1
		case float64(c.queued) > math.Ceil(c.entitlement/p.limit*float64(bound)) && p.flooding(c):
			c.candidateTier = 1
		}
	}
	chosen, lowest := -1, len(queue)-1
	for i := len(queue) - 1; i >= 0; i-- {
		request := queue[i]
		if request.Utility < queue[lowest].Utility {
			lowest = i
		}
		tier := p.pools[request.Class].candidateTier
		if tier < 0 {
			continue
		}
		if chosen < 0 || tier > p.pools[queue[chosen].Class].candidateTier ||
			tier == p.pools[queue[chosen].Class].candidateTier && request.Utility < queue[chosen].Utility {
			chosen = i
		}
	}
	if chosen < 0 {
		return lowest
	}
	if c := p.pools[queue[lowest].Class]; chosen != lowest && c.floor > 0 {
		c.reserveUsedAt = now
	}
	p.pools[queue[chosen].Class].refused++
	return chosen
}
