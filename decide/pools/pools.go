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
	rateAlpha   = 0.1                    // weight of a step in the arrival rate: one second of memory
	usualAlpha  = 1.0 / 300              // the same in the usual rate: half a minute
	learnSteps  = 20                     // steps after which a class's usual rate is known
	floodOver   = 2.0                    // times its usual rate that counts for a class: the rest is a flood
	runAlpha    = 0.08                   // weight of a run in its class's latency
	learnRuns   = 5                      // runs before the latency is believed; until then hints are
	baseDrift   = 1.002                  // the base creeps up so that one lucky run is forgotten
	cheapFrom   = 0.5                    // of the mean run makes a class cheap
	cheapUntil  = 0.7                    // and this much more costly it is so no longer
	floodLeast  = 0.1                    // of the limit that a flood's work takes at least
	headroom    = 1.15                   // of the demand a class is entitled to: rates lag
	shortFrom   = 1.0                    // demand over the limit from which slots are short
	shortUntil  = 0.85                   // and under which they no longer are
	overFor     = time.Second            // that slots stay short after the line was over its bound
	creditSpan  = 500 * time.Millisecond // of its entitlement that a class may save up, or overdraw
	ownSlow     = 1.3                    // slowness over that of the others that is a class's own
	capShrink   = 0.95                   // of its cap a step while it is so
	capGrow     = 1.03                   // and back
	capAdd      = 0.08                   // least growth
	quietGaps   = 10.0                   // usual gaps without an end of a run after which a class hangs
	quietLeast  = 300 * time.Millisecond // and at least this long
	recent      = 2 * time.Second        // a class heard of for so long has its reserve kept free
	keepFrom    = 4.0                    // slots from which one is kept free for a reserve
	firstGuess  = 300 * time.Millisecond // a run's length before anything is known
	forget      = time.Minute            // after so long without a request a class is as new
	stepsLength = 100 * time.Millisecond // that the weights above are meant for
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
	rate, usual float64 // arrivals a second, now and as a rule
	steps       float64 // that the second was learned from
	arrived     int     // since the last step
	seen        time.Duration
	heard       bool
	hint        float64 // smoothed, seconds
	run, base   float64 // latency of its runs, seconds
	runs        float64
	running     int
	held        int
	progress    time.Duration // last end of a run, or first start
	hangs       bool
	cap         float64 // slots it may have while they are short
	cheap       bool
	floor       float64 // slots it keeps in any case
	alloc       float64 // slots it is entitled to, the floor included
	credit      float64 // slot-seconds it is owed
	refused     int64
	saved       time.Duration // when the reserve was last what let it start or stay
	saving      bool
	next        int // its tier while a slot is given
}

// Pools are the pools of one node. They belong to one goroutine.
type Pools struct {
	set     Settings
	all     []*pool
	live    []*pool // of them, those heard of within a minute: the others cost nothing
	now     time.Duration
	stepped time.Duration
	limit   float64
	short   bool
	over    time.Duration // when the line was last over its bound
	rates   float64       // of all live classes
	usuals  float64
}

var _ rules.Pools = (*Pools)(nil)

// New returns pools that know nothing yet.
func New(set Settings) *Pools {
	p := &Pools{set: set, limit: 1}
	for _, c := range set.Classes {
		p.all = append(p.all, &pool{Class: c, cap: math.Inf(1), saved: -time.Hour})
	}
	return p
}

// length is how long a run of the class takes, in seconds: what runs took goes
// before what callers say.
func (c *pool) length() float64 {
	switch {
	case c.runs >= learnRuns:
		return c.run
	case c.hint > 0:
		return c.hint
	}
	return firstGuess.Seconds()
}

// density is what a slot earns in a second of the class's work.
func (p *Pools) density(c *pool) float64 {
	if p.set.UtilityPerWork {
		return c.Utility
	}
	return c.Utility / max(c.length(), 0.0001)
}

// slow is the class's latency over its base.
func (c *pool) slow() float64 {
	if c.runs < learnRuns || c.base <= 0 {
		return 1
	}
	return c.run / c.base
}

// Arrived tells of a request that was read, with its hint, 0 if there is none.
func (p *Pools) Arrived(now time.Duration, class int, hint time.Duration) {
	c := p.all[class]
	c.arrived++
	c.seen = now
	if !c.heard {
		c.heard = true
		p.live = append(p.live, c)
	}
	if hint > 0 {
		if c.hint == 0 {
			c.hint = hint.Seconds()
		}
		c.hint += runAlpha * (hint.Seconds() - c.hint)
	}
}

// Running tells that a class has n more runs on the cores, or fewer.
func (p *Pools) RunningChanged(now time.Duration, class, n int) {
	p.advance(now)
	c := p.all[class]
	if c.running == 0 {
		c.progress = now
	}
	c.running += n
	if n < 0 {
		c.progress, c.hangs = now, false
	}
}

// Ran tells how long a run took that went well. Nothing else teaches.
func (p *Pools) RunSucceeded(_ time.Duration, class int, took time.Duration) {
	c := p.all[class]
	c.runs++
	c.run += max(runAlpha, 1/c.runs) * (took.Seconds() - c.run)
	if c.runs == learnRuns {
		c.base = c.run
	}
	c.base = min(c.base*baseDrift, c.run)
}

// advance books the slot time since the last event: what a class is entitled to
// and does not use is saved up, what it uses beyond that is overdrawn.
func (p *Pools) advance(now time.Duration) {
	dt := (now - p.now).Seconds()
	p.now = now
	if dt <= 0 {
		return
	}
	for _, c := range p.live {
		span := creditSpan.Seconds()
		most := max(c.alloc*span, min(c.alloc, 1)*c.length())
		c.credit += (c.alloc - float64(c.running)) * dt
		c.credit = min(max(c.credit, -(c.alloc+1)*span), most)
	}
}

// Step follows the running limit: it moves rates, caps and entitlements, and
// returns lines for the log.
func (p *Pools) Step(now time.Duration, limit float64) (lines []string) {
	p.advance(now)
	dt := now - p.stepped
	p.stepped, p.limit = now, max(limit, 1)
	weight := min(dt.Seconds()/stepsLength.Seconds(), 5)
	for _, c := range p.live {
		p.follow(c, dt, weight)
		p.hang(c)
	}
	p.live = slices.DeleteFunc(p.live, func(c *pool) bool { return !c.heard })
	p.rates, p.usuals = 0, 0
	for _, c := range p.live {
		p.rates += c.rate
		p.usuals += c.usual
	}
	p.judge()
	p.caps(weight)
	p.share()
	return p.told()
}

// follow moves a class's rates. A class is known by what it usually sends: what
// goes beyond twice that is a flood, until it has lasted for half a minute.
func (p *Pools) follow(c *pool, dt time.Duration, weight float64) {
	if dt <= 0 {
		return
	}
	rate := float64(c.arrived) / dt.Seconds()
	c.arrived = 0
	c.rate += min(1, rateAlpha*weight) * (rate - c.rate)
	if c.rate > c.usual/100 { // silence is not what it usually sends
		c.steps++
		if c.steps > learnSteps { // a flood becomes usual slowly, however high it is
			rate = min(rate, floodOver*max(c.usual, 1))
		}
		c.usual += max(usualAlpha*weight, 1/c.steps) * (rate - c.usual)
	}
	if c.running == 0 && p.now-c.seen > forget {
		*c = pool{Class: c.Class, cap: c.cap, saved: c.saved, refused: c.refused, run: c.run, base: c.base, runs: c.runs}
	}
}

// expected is the arrival rate up to which a class sends no flood: twice what it
// usually does, and more as far as all others send more too, as they do when a
// neighbour goes down.
func (p *Pools) expected(c *pool) float64 {
	rates, usual := p.rates-c.rate, p.usuals-c.usual
	growth := 1.0
	if usual > 0.1 {
		growth = max(rates/usual, 1)
	}
	if len(p.live) < 2 { // alone it takes nothing from anybody
		growth = math.Inf(1)
	}
	return floodOver * growth * max(c.usual, 1)
}

// counted is the arrival rate that a class's entitlement follows.
func (p *Pools) counted(c *pool) float64 { return min(c.rate, p.expected(c)) }

// demand is how many slots the class's work takes.
func (p *Pools) demand(c *pool) float64 { return headroom * p.counted(c) * c.length() }

// hang notes a class of which nothing ends any more.
func (p *Pools) hang(c *pool) {
	quiet := p.now - c.progress
	if c.running > 0 && c.runs >= learnRuns && quiet > quietLeast &&
		quiet.Seconds()*float64(c.running) > quietGaps*c.run && quiet.Seconds() > 3*c.run {
		c.hangs = true
	}
}

// judge says who is cheap: whose runs are short against the mean of what comes,
// floods left out, so that nobody drags the mean along. One class alone is not.
func (p *Pools) judge() {
	sum, weight := 0.0, 0.0
	for _, c := range p.live {
		w := min(p.counted(c), max(c.usual, 0.1))
		sum += w * c.length()
		weight += w
	}
	mean := sum / max(weight, 1e-9)
	for _, c := range p.live {
		bar := cheapFrom
		if c.cheap {
			bar = cheapUntil
		}
		c.cheap = c.length() < bar*mean
	}
}

// caps keep a class whose own runs have become slow, not everybody's, from
// filling the slots: the law of the running limit, by class.
func (p *Pools) caps(weight float64) {
	var slows []float64
	for _, c := range p.live {
		if c.runs >= learnRuns {
			slows = append(slows, c.slow())
		}
	}
	if len(slows) < 2 {
		for _, c := range p.live {
			c.cap = p.limit
		}
		return
	}
	slices.Sort(slows)
	others := slows[(len(slows)-1)/2]
	for _, c := range p.live {
		if math.IsInf(c.cap, 1) {
			c.cap = p.limit
		}
		if c.slow() > ownSlow*others {
			c.cap *= 1 - (1-capShrink)*weight
		} else {
			c.cap += weight * max(capAdd, c.cap*(capGrow-1))
		}
		c.cap = max(min(c.cap, p.limit), 1, c.floor)
	}
}

// share divides the limit: floors first, then by what a slot earns. Of classes
// that earn about the same nobody goes first.
func (p *Pools) share() {
	var cheap []*pool
	active := slices.Clone(p.live)
	total, left := 0.0, p.limit
	for _, c := range active {
		c.floor, c.alloc = 0, 0
		total += p.demand(c)
		c.floor = min(p.demand(c), c.Reserve*p.limit, left)
		left -= c.floor
		if c.cheap {
			cheap = append(cheap, c)
		}
	}
	room := min(p.set.Reserve*p.limit, left)
	left -= fill(cheap, room, func(c *pool) float64 { return p.demand(c) - c.floor }, func(c *pool, x float64) { c.floor += x })
	for _, c := range active {
		c.alloc = c.floor
	}
	slices.SortStableFunc(active, func(a, b *pool) int { return cmp.Compare(p.density(b), p.density(a)) })
	for i := 0; i < len(active); {
		j := i + 1
		for j < len(active) && p.density(active[j]) > 0.9*p.density(active[i]) {
			j++
		}
		left -= fill(active[i:j], left, func(c *pool) float64 { return p.demand(c) - c.alloc }, func(c *pool, x float64) { c.alloc += x })
		i = j
	}
	bar := shortFrom
	if p.short {
		bar = shortUntil
	}
	p.short = total > bar*p.limit || p.over > 0 && p.now-p.over < overFor
	if spare := left; spare > 0 && total > 0 { // nobody's: everybody's by demand
		for _, c := range active {
			c.alloc += spare * p.demand(c) / total
		}
	}
}

// fill gives out room evenly, to nobody more than it wants, and returns what it gave.
func fill(list []*pool, room float64, wants func(*pool) float64, give func(*pool, float64)) (given float64) {
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
	for _, c := range p.live {
		if c.hangs {
			n += c.running
		}
	}
	return n
}

// keeps is how many more slots are kept free for a class's reserve: one heard of
// lately has its floor at hand, as far as it does not use it.
func (p *Pools) keeps(c *pool) float64 {
	if p.limit < keepFrom || c.floor == 0 || p.now-c.seen > recent {
		return 0
	}
	return max(min(c.floor, math.Ceil(c.floor)-float64(c.running)), 0)
}

// floods reports whether a class sends far more than it usually does, and more
// than a little of what the slots can do.
func (p *Pools) floods(c *pool) bool {
	return c.rate > p.expected(c) && c.rate*c.length() > floodLeast*p.limit
}

// tier orders the classes that may have a slot: 0 while none is short; else first
// who is within its floor, then everybody by what is earned, then a flood beyond
// what it is entitled to, at last who is over its cap.
func (p *Pools) tier(c *pool) int {
	switch {
	case !p.short:
		return 0
	case c.floor > 0 && float64(c.running) < c.floor && c.credit > -c.floor*creditSpan.Seconds():
		return 1
	case float64(c.running) >= c.cap:
		return 4
	case c.credit <= 0 && p.floods(c):
		return 3
	}
	return 2
}

// Next says which of the line gets a free slot, -1 for none; slots is how many
// there are, taken how many of them are taken.
func (p *Pools) Next(now time.Duration, slots, taken int, line []rules.QueuedRequest) int {
	p.advance(now)
	kept := 0.0
	for _, c := range p.live {
		kept += p.keeps(c)
		c.next = p.tier(c)
	}
	best, bestTier, most := -1, math.MaxInt, 0.0
	for i, w := range line {
		c := p.all[w.Class]
		most = max(most, w.Utility)
		// A class within its floor may take what is kept; any other leaves it.
		if c.floor == 0 || float64(c.running) >= c.floor {
			if float64(taken) >= float64(slots)-math.Ceil(kept-p.keeps(c)-0.5) {
				continue
			}
		}
		if c.hangs && c.running > 0 {
			continue
		}
		if c.next < bestTier || c.next == bestTier && p.short && w.Utility > line[best].Utility {
			best, bestTier = i, c.next
		}
	}
	if best >= 0 && bestTier == 1 && line[best].Utility < most {
		p.all[line[best].Class].saved = now
	}
	return best
}

// Leaves says who leaves a line that is over its bound: of the floods that hold
// more than their places, else of the classes that hold more than their floor's,
// the request that earns least, of equals the newest.
func (p *Pools) Evict(now time.Duration, bound int, line []rules.QueuedRequest) int {
	p.advance(now)
	p.over, p.short = now, true
	for _, c := range p.live {
		c.held = 0
	}
	for _, w := range line {
		p.all[w.Class].held++
	}
	for _, c := range p.live {
		c.next = 0
		switch {
		case float64(c.held) <= math.Ceil(c.floor/p.limit*float64(bound)):
			c.next = -1
		case float64(c.held) > math.Ceil(c.alloc/p.limit*float64(bound)) && p.floods(c):
			c.next = 1
		}
	}
	worst, plain := -1, len(line)-1
	for i := len(line) - 1; i >= 0; i-- {
		w := line[i]
		if w.Utility < line[plain].Utility {
			plain = i
		}
		over := p.all[w.Class].next
		if over < 0 {
			continue
		}
		if worst < 0 || over > p.all[line[worst].Class].next || over == p.all[line[worst].Class].next && w.Utility < line[worst].Utility {
			worst = i
		}
	}
	if worst < 0 {
		return plain
	}
	if c := p.all[line[plain].Class]; worst != plain && c.floor > 0 {
		c.saved = now
	}
	p.all[line[worst].Class].refused++
	return worst
}

// told says when a reserve begins to be what keeps a class alive, and when that ends.
func (p *Pools) told() (lines []string) {
	for _, c := range p.live {
		saving := p.now-c.saved < recent
		if saving == c.saving {
			continue
		}
		c.saving = saving
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
	for _, c := range p.all {
		c.held = 0
	}
	for _, w := range line {
		p.all[w.Class].held++
	}
	views := make([]View, len(p.all))
	for i, c := range p.all {
		r := float64(c.running)
		views[i] = View{
			Name: c.Name, Running: c.running, Queued: c.held, Limit: c.alloc, Reserve: c.floor, Lent: max(c.alloc-r, 0),
			Borrowed: max(r-c.alloc, 0), Refused: c.refused, Cheap: c.cheap, Hanging: c.hangs,
		}
	}
	return views
}
