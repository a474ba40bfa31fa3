// Package pools decides how the classes of a node share its running slots: what
// each is entitled to, what is lent and comes back, and what the cheapest keep
// under any load. It implements rules.Pools. It must never do I/O, read a clock
// or log, and never act on a name: names are for lines that people read.
//
// Invariants, held by TestInvariants: entitlements add up to the limit at most,
// and a reserve never passes its share of it; while slots are short a class within
// its floor gets the next one that is free, before a flood and before who is over
// its cap; whoever leaves a full line leaves a class that holds more than its
// floor's places there, if any does.
package pools

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"robinmast/rules"
)

// Tuned values. Shares are of 1.
const (
	rateSmoothing      = 0.1                    // weight of a step in the arrival rate: one second of memory
	usualRateSmoothing = 1.0 / 300              // the same in the usual rate: half a minute
	minRateSteps       = 20                     // steps after which a class's usual rate is known
	floodFactor        = 2.0                    // times its usual rate that counts for a class: the rest is a flood
	runSmoothing       = 0.08                   // weight of a run in its class's latency
	minRuns            = 5                      // runs before the latency is believed; until then hints are
	baseDrift          = 1.002                  // the base creeps up so that one lucky run is forgotten
	cheapBelow         = 0.5                    // of the mean run makes a class cheap
	cheapUntil         = 0.7                    // and this much more costly it is so no longer
	minFloodShare      = 0.1                    // of the limit that a flood's work takes at least
	demandHeadroom     = 1.15                   // of the demand a class is entitled to: rates lag
	shortageAbove      = 1.0                    // demand over the limit from which slots are short
	shortageUntil      = 0.85                   // and under which they no longer are
	overflowHold       = time.Second            // that slots stay short after the line was over its bound
	creditSpan         = 500 * time.Millisecond // of its entitlement that a class may save up, or overdraw
	ownSlowdown        = 1.3                    // slowness over that of the others that is a class's own
	capShrink          = 0.95                   // of its cap a step while it is so
	capGrow            = 1.03                   // and back
	minCapGrowth       = 0.08                   // least growth
	hangGaps           = 10.0                   // usual gaps without an end of a run after which a class hangs
	minHangTime        = 300 * time.Millisecond // and at least this long
	recentTime         = 2 * time.Second        // a class heard of for so long has its reserve kept free
	minReserveLimit    = 4.0                    // slots from which one is kept free for a reserve
	defaultRunTime     = 300 * time.Millisecond // a run's length before anything is known
	forgetAfter        = time.Minute            // after so long without a request a class is as new
	nominalStep        = 100 * time.Millisecond // that the weights above are meant for
)

// Class is what the settings say of a class.
type Class struct {
	Utility float64
	Reserve float64 // share of the slots it keeps in any case, 0 = only what it earns by being cheap
	Name    string  // for lines that people read
}

// Settings are the module's.
type Settings struct {
	Classes        []Class
	Reserve        float64 // share of the slots that the cheapest classes keep
	UtilityPerWork bool    // worth counts for each unit of work
}

// View is what a class's pool does at present.
type View struct {
	Name     string
	Running  int
	Queued   int
	Limit    float64 // slots it is entitled to
	Reserve  float64 // of them, kept in any case
	Lent     float64 // of its slots, not used by it
	Borrowed float64 // slots it uses beyond its own
	Refused  int64   // that left a full line since they held more than their places
	Cheap    bool
	Hanging  bool
}

// pool is one class's.
type pool struct {
	Class
	rate, usualRate  float64 // arrivals a second, now and as a rule
	rateSteps        float64 // that the second was learned from
	arrivals         int     // since the last step
	lastArrival      time.Duration
	active           bool
	hint             float64 // smoothed, seconds
	meanRun, baseRun float64 // latency of its runs, seconds
	runs             float64
	running          int
	queued           int
	lastProgress     time.Duration // last end of a run, or first start
	hanging          bool
	slotCap          float64 // slots it may have while they are short
	cheap            bool
	floor            float64 // slots it keeps in any case
	entitlement      float64 // slots it is entitled to, the floor included
	credit           float64 // slot-seconds it is owed
	refused          int64
	reserveUsedAt    time.Duration // when the reserve was last what let it start or stay
	reserveInUse     bool
	candidateTier    int // its tier while a slot is given
}

// Pools are the pools of one node. They belong to one goroutine.
type Pools struct {
	settings       Settings
	pools          []*pool
	active         []*pool // of them, those heard of within a minute: the others cost nothing
	now            time.Duration
	lastStep       time.Duration
	limit          float64
	shortage       bool
	overflowAt     time.Duration // when the line was last over its bound
	totalRate      float64       // of all live classes
	totalUsualRate float64
}

var _ rules.Pools = (*Pools)(nil)

// New returns pools that know nothing yet.
func New(set Settings) *Pools {
	p := &Pools{settings: set, limit: 1}
	for _, c := range set.Classes {
		p.pools = append(p.pools, &pool{Class: c, slotCap: math.Inf(1), reserveUsedAt: -time.Hour})
	}
	return p
}

// length is how long a run of the class takes, in seconds: what runs took goes
// before what callers say.
func (c *pool) expectedRun() float64 {
	switch {
	case c.runs >= minRuns:
		return c.meanRun
	case c.hint > 0:
		return c.hint
	}
	return defaultRunTime.Seconds()
}

// density is what a slot earns in a second of the class's work.
func (p *Pools) utilityDensity(c *pool) float64 {
	if p.settings.UtilityPerWork {
		return c.Utility
	}
	return c.Utility / max(c.expectedRun(), 0.0001)
}

// slow is the class's latency over its base.
func (c *pool) slowdown() float64 {
	if c.runs < minRuns || c.baseRun <= 0 {
		return 1
	}
	return c.meanRun / c.baseRun
}

// Arrived tells of a request that was read, with its hint, 0 if there is none.
func (p *Pools) Arrived(now time.Duration, class int, hint time.Duration) {
	c := p.pools[class]
	c.arrivals++
	c.lastArrival = now
	if !c.active {
		c.active = true
		p.active = append(p.active, c)
	}
	if hint > 0 {
		if c.hint == 0 {
			c.hint = hint.Seconds()
		}
		c.hint += runSmoothing * (hint.Seconds() - c.hint)
	}
}

// Running tells that a class has n more runs on the cores, or fewer.
func (p *Pools) RunningChanged(now time.Duration, class, n int) {
	p.accrueCredit(now)
	c := p.pools[class]
	if c.running == 0 {
		c.lastProgress = now
	}
	c.running += n
	if n < 0 {
		c.lastProgress, c.hanging = now, false
	}
}

// Ran tells how long a run took that went well. Nothing else teaches.
func (p *Pools) RunSucceeded(_ time.Duration, class int, took time.Duration) {
	c := p.pools[class]
	c.runs++
	c.meanRun += max(runSmoothing, 1/c.runs) * (took.Seconds() - c.meanRun)
	if c.runs == minRuns {
		c.baseRun = c.meanRun
	}
	c.baseRun = min(c.baseRun*baseDrift, c.meanRun)
}

// advance books the slot time since the last event: what a class is entitled to
// and does not use is saved up, what it uses beyond that is overdrawn.
func (p *Pools) accrueCredit(now time.Duration) {
	dt := (now - p.now).Seconds()
	p.now = now
	if dt <= 0 {
		return
	}
	for _, c := range p.active {
		span := creditSpan.Seconds()
		most := max(c.entitlement*span, min(c.entitlement, 1)*c.expectedRun())
		c.credit += (c.entitlement - float64(c.running)) * dt
		c.credit = min(max(c.credit, -(c.entitlement+1)*span), most)
	}
}

// Step follows the running limit: it moves rates, caps and entitlements, and
// returns lines for the log.
func (p *Pools) Step(now time.Duration, limit float64) (lines []string) {
	p.accrueCredit(now)
	dt := now - p.lastStep
	p.lastStep, p.limit = now, max(limit, 1)
	weight := min(dt.Seconds()/nominalStep.Seconds(), 5)
	for _, c := range p.active {
		p.updateRates(c, dt, weight)
		p.detectHang(c)
	}
	p.active = slices.DeleteFunc(p.active, func(c *pool) bool { return !c.active })
	p.totalRate, p.totalUsualRate = 0, 0
	for _, c := range p.active {
		p.totalRate += c.rate
		p.totalUsualRate += c.usualRate
	}
	p.classifyCheap()
	p.updateCaps(weight)
	p.allocate()
	return p.reserveMessages()
}

// follow moves a class's rates. A class is known by what it usually sends: what
// goes beyond twice that is a flood, until it has lasted for half a minute.
func (p *Pools) updateRates(c *pool, dt time.Duration, weight float64) {
	if dt <= 0 {
		return
	}
	rate := float64(c.arrivals) / dt.Seconds()
	c.arrivals = 0
	c.rate += min(1, rateSmoothing*weight) * (rate - c.rate)
	if c.rate > c.usualRate/100 { // silence is not what it usually sends
		c.rateSteps++
		if c.rateSteps > minRateSteps { // a flood becomes usual slowly, however high it is
			rate = min(rate, floodFactor*max(c.usualRate, 1))
		}
		c.usualRate += max(usualRateSmoothing*weight, 1/c.rateSteps) * (rate - c.usualRate)
	}
	if c.running == 0 && p.now-c.lastArrival > forgetAfter {
		*c = pool{Class: c.Class, slotCap: c.slotCap, reserveUsedAt: c.reserveUsedAt, refused: c.refused, meanRun: c.meanRun, baseRun: c.baseRun, runs: c.runs}
	}
}

// expected is the arrival rate up to which a class sends no flood: twice what it
// usually does, and more as far as all others send more too, as they do when a
// neighbour goes down.
func (p *Pools) expectedRate(c *pool) float64 {
	rates, usual := p.totalRate-c.rate, p.totalUsualRate-c.usualRate
	growth := 1.0
	if usual > 0.1 {
		growth = max(rates/usual, 1)
	}
	if len(p.active) < 2 { // alone it takes nothing from anybody
		growth = math.Inf(1)
	}
	return floodFactor * growth * max(c.usualRate, 1)
}

// counted is the arrival rate that a class's entitlement follows.
func (p *Pools) countedRate(c *pool) float64 { return min(c.rate, p.expectedRate(c)) }

// demand is how many slots the class's work takes.
func (p *Pools) demand(c *pool) float64 { return demandHeadroom * p.countedRate(c) * c.expectedRun() }

// hang notes a class of which nothing ends any more.
func (p *Pools) detectHang(c *pool) {
	quiet := p.now - c.lastProgress
	if c.running > 0 && c.runs >= minRuns && quiet > minHangTime &&
		quiet.Seconds()*float64(c.running) > hangGaps*c.meanRun && quiet.Seconds() > 3*c.meanRun {
		c.hanging = true
	}
}

// judge says who is cheap: whose runs are short against the mean of what comes,
// floods left out, so that nobody drags the mean along. One class alone is not.
func (p *Pools) classifyCheap() {
	sum, weight := 0.0, 0.0
	for _, c := range p.active {
		w := min(p.countedRate(c), max(c.usualRate, 0.1))
		sum += w * c.expectedRun()
		weight += w
	}
	mean := sum / max(weight, 1e-9)
	for _, c := range p.active {
		bar := cheapBelow
		if c.cheap {
			bar = cheapUntil
		}
		c.cheap = c.expectedRun() < bar*mean
	}
}

// caps keep a class whose own runs have become slow, not everybody's, from
// filling the slots: the law of the running limit, by class.
func (p *Pools) updateCaps(weight float64) {
	var slows []float64
	for _, c := range p.active {
		if c.runs >= minRuns {
			slows = append(slows, c.slowdown())
		}
	}
	if len(slows) < 2 {
		for _, c := range p.active {
			c.slotCap = p.limit
		}
		return
	}
	slices.Sort(slows)
	others := slows[(len(slows)-1)/2]
	for _, c := range p.active {
		if math.IsInf(c.slotCap, 1) {
			c.slotCap = p.limit
		}
		if c.slowdown() > ownSlowdown*others {
			c.slotCap *= 1 - (1-capShrink)*weight
		} else {
			c.slotCap += weight * max(minCapGrowth, c.slotCap*(capGrow-1))
		}
		c.slotCap = max(min(c.slotCap, p.limit), 1, c.floor)
	}
}

// share divides the limit: floors first, then by what a slot earns. Of classes
// that earn about the same nobody goes first.
func (p *Pools) allocate() {
	var cheap []*pool
	active := slices.Clone(p.active)
	total, left := 0.0, p.limit
	for _, c := range active {
		c.floor, c.entitlement = 0, 0
		total += p.demand(c)
		c.floor = min(p.demand(c), c.Reserve*p.limit, left)
		left -= c.floor
		if c.cheap {
			cheap = append(cheap, c)
		}
	}
	room := min(p.settings.Reserve*p.limit, left)
	left -= distribute(cheap, room, func(c *pool) float64 { return p.demand(c) - c.floor }, func(c *pool, x float64) { c.floor += x })
	for _, c := range active {
		c.entitlement = c.floor
	}
	slices.SortStableFunc(active, func(a, b *pool) int { return cmp.Compare(p.utilityDensity(b), p.utilityDensity(a)) })
	for i := 0; i < len(active); {
		j := i + 1
		for j < len(active) && p.utilityDensity(active[j]) > 0.9*p.utilityDensity(active[i]) {
			j++
		}
		left -= distribute(active[i:j], left, func(c *pool) float64 { return p.demand(c) - c.entitlement }, func(c *pool, x float64) { c.entitlement += x })
		i = j
	}
	bar := shortageAbove
	if p.shortage {
		bar = shortageUntil
	}
	p.shortage = total > bar*p.limit || p.overflowAt > 0 && p.now-p.overflowAt < overflowHold
	if spare := left; spare > 0 && total > 0 { // nobody's: everybody's by demand
		for _, c := range active {
			c.entitlement += spare * p.demand(c) / total
		}
	}
}

// fill gives out room evenly, to nobody more than it wants, and returns what it gave.
func distribute(list []*pool, room float64, wants func(*pool) float64, give func(*pool, float64)) (given float64) {
	order := slices.Clone(list)
	slices.SortStableFunc(order, func(a, b *pool) int { return cmp.Compare(wants(a), wants(b)) })
	for i, c := range order {
		x := max(min(wants(c), (room-given)/float64(len(order)-i)), 0)
		give(c, x)
		given += x
	}
	return given
}

// Stuck is how many runs stand still in classes that hang: they hold slots and
// no core, and the others need not wait for them.
func (p *Pools) StalledRuns() (n int) {
	for _, c := range p.active {
		if c.hanging {
			n += c.running
		}
	}
	return n
}

// keeps is how many more slots are kept free for a class's reserve: one heard of
// lately has its floor at hand, as far as it does not use it.
func (p *Pools) unusedFloor(c *pool) float64 {
	if p.limit < minReserveLimit || c.floor == 0 || p.now-c.lastArrival > recentTime {
		return 0
	}
	return max(min(c.floor, math.Ceil(c.floor)-float64(c.running)), 0)
}

// floods reports whether a class sends far more than it usually does, and more
// than a little of what the slots can do.
func (p *Pools) flooding(c *pool) bool {
	return c.rate > p.expectedRate(c) && c.rate*c.expectedRun() > minFloodShare*p.limit
}

// tier orders the classes that may have a slot: 0 while none is short; else first
// who is within its floor, then everybody by what is earned, then a flood beyond
// what it is entitled to, at last who is over its cap.
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

// Next says which of the line gets a free slot, -1 for none; slots is how many
// there are, taken how many of them are taken.
func (p *Pools) Next(now time.Duration, slots, taken int, line []rules.QueuedRequest) int {
	p.accrueCredit(now)
	kept := 0.0
	for _, c := range p.active {
		kept += p.unusedFloor(c)
		c.candidateTier = p.tier(c)
	}
	best, bestTier, most := -1, math.MaxInt, 0.0
	for i, w := range line {
		c := p.pools[w.Class]
		most = max(most, w.Utility)
		// A class within its floor may take what is kept; any other leaves it.
		if c.floor == 0 || float64(c.running) >= c.floor {
			if float64(taken) >= float64(slots)-math.Ceil(kept-p.unusedFloor(c)-0.5) {
				continue
			}
		}
		if c.hanging && c.running > 0 {
			continue
		}
		if c.candidateTier < bestTier || c.candidateTier == bestTier && p.shortage && w.Utility > line[best].Utility {
			best, bestTier = i, c.candidateTier
		}
	}
	if best >= 0 && bestTier == 1 && line[best].Utility < most {
		p.pools[line[best].Class].reserveUsedAt = now
	}
	return best
}

// Leaves says who leaves a line that is over its bound: of the floods that hold
// more than their places, else of the classes that hold more than their floor's,
// the request that earns least, of equals the newest.
func (p *Pools) Evict(now time.Duration, bound int, line []rules.QueuedRequest) int {
	p.accrueCredit(now)
	p.overflowAt, p.shortage = now, true
	for _, c := range p.active {
		c.queued = 0
	}
	for _, w := range line {
		p.pools[w.Class].queued++
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
	worst, plain := -1, len(line)-1
	for i := len(line) - 1; i >= 0; i-- {
		w := line[i]
		if w.Utility < line[plain].Utility {
			plain = i
		}
		over := p.pools[w.Class].candidateTier
		if over < 0 {
			continue
		}
		if worst < 0 || over > p.pools[line[worst].Class].candidateTier || over == p.pools[line[worst].Class].candidateTier && w.Utility < line[worst].Utility {
			worst = i
		}
	}
	if worst < 0 {
		return plain
	}
	if c := p.pools[line[plain].Class]; worst != plain && c.floor > 0 {
		c.reserveUsedAt = now
	}
	p.pools[line[worst].Class].refused++
	return worst
}

// told says when a reserve begins to be what keeps a class alive, and when that ends.
func (p *Pools) reserveMessages() (lines []string) {
	for _, c := range p.active {
		saving := p.now-c.reserveUsedAt < recentTime
		if saving == c.reserveInUse {
			continue
		}
		c.reserveInUse = saving
		if saving {
			lines = append(lines, fmt.Sprintf("a reserve of %.1f slots keeps class %s alive", c.floor, c.Name))
		} else {
			lines = append(lines, fmt.Sprintf("class %s no longer needs its reserve", c.Name))
		}
	}
	return lines
}

// Views tells what the pools do.
func (p *Pools) Views(line []rules.QueuedRequest) []View {
	for _, c := range p.pools {
		c.queued = 0
	}
	for _, w := range line {
		p.pools[w.Class].queued++
	}
	views := make([]View, len(p.pools))
	for i, c := range p.pools {
		r := float64(c.running)
		views[i] = View{
			Name: c.Name, Running: c.running, Queued: c.queued, Limit: c.entitlement, Reserve: c.floor, Lent: max(c.entitlement-r, 0),
			Borrowed: max(r-c.entitlement, 0), Refused: c.refused, Cheap: c.cheap, Hanging: c.hanging,
		}
	}
	return views
}
