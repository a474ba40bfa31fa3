// Package pools decides how the request classes of a node share its concurrency slots: how many each
// is entitled to, when unused ones are lent to other classes and returned, and how many the classes
// with the shortest runs keep under any load. It implements rules.Pools.
//
// The package does no I/O, reads no clock and writes no log; times are passed in, log lines are
// returned. Names of classes only appear in those lines and in views, no decision depends on them.
// Pools belong to one goroutine.
//
// Invariants, checked by TestInvariants: entitlements add up to at most the limit, and reserves to at
// most their share of it; while slots are short, a class within its floor gets the next free one
// before classes that flood and classes over their cap; a request evicted from a full queue belongs
// to a class that has more requests there than its floor allows, if there is one.
package pools

import (
	"fmt"
	"math"
	"slices"
	"time"

	"robinmast/rules"
)

// Parameters. Shares are of 1; weights and factors of a step are for a step of nominalStep.
const (
	rateSmoothing      = 0.1                    // weight of a step in the arrival rate: a time constant of one second
	usualRateSmoothing = 1.0 / 300              // weight of a step in the usual arrival rate: half a minute
	minRateSteps       = 20                     // steps after which the usual rate of a class is known
	floodFactor        = 2.0                    // multiple of the usual rate beyond which arrivals are a flood
	runSmoothing       = 0.08                   // weight of a run in the mean run time of its class
	minRuns            = 5                      // runs before the mean run time is used; until then hints are
	baselineDrift      = 1.002                  // growth of the baseline run time per run, so that one short run is forgotten
	cheapBelow         = 0.5                    // share of the mean run time below which a class becomes cheap
	cheapUntil         = 0.7                    // share from which it no longer is
	minFloodShare      = 0.1                    // share of the limit that a flood needs at least to count as one
	demandHeadroom     = 1.15                   // factor on the demand, because smoothed rates lag
	shortageAbove      = 1.0                    // ratio of demand to limit above which slots become short
	shortageUntil      = 0.85                   // ratio below which they no longer are
	overflowHold       = time.Second            // slots stay short for this long after the queue exceeded its bound
	creditSpan         = 500 * time.Millisecond // credit, in terms of its entitlement, that a class may accrue or overdraw
	ownSlowdown        = 1.3                    // ratio to the others' slowdown above which a class is slow by itself
	capShrink          = 0.95                   // factor on its cap per step while it is
	capGrowth          = 1.03                   // factor on its cap per step otherwise
	minCapGrowth       = 0.08                   // least growth of a cap per step, in slots
	hangGaps           = 10.0                   // usual times between ends of runs after which a class without one hangs
	minHangTime        = 300 * time.Millisecond // and at least this time
	recentTime         = 2 * time.Second        // a class with an arrival within this time has its reserve kept free
	minReserveLimit    = 4.0                    // limit from which slots are kept free for reserves
	defaultRunTime     = 300 * time.Millisecond // expected run time before there are hints or runs
	forgetAfter        = time.Minute            // without arrivals for this long, a class is reset
	nominalStep        = 100 * time.Millisecond // length of a step for the weights above
)

// Class holds the settings of a request class.
type Class struct {
	Utility float64
	Reserve float64 // share of the slots that it always keeps; 0 = its part of Settings.Reserve while cheap
	Name    string  // for log lines and views
}

// Settings are the settings of Pools.
type Settings struct {
	Classes        []Class
	Reserve        float64 // share of the slots that cheap classes keep
	UtilityPerWork bool    // utilities are per unit of work, not per request
}

// View is the present state of the pool of one class.
type View struct {
	Name     string
	Running  int     // runs in progress
	Queued   int     // requests in the queue
	Limit    float64 // slots that it is entitled to
	Reserve  float64 // of them, kept under any load
	Lent     float64 // slots of its entitlement that it does not use
	Borrowed float64 // slots that it uses beyond its entitlement
	Refused  int64   // requests evicted from a full queue because the class had too many there
	Cheap    bool    // its runs are short compared with the mean
	Hanging  bool    // its runs no longer end
}

// pool is the state of one class.
type pool struct {
	Class
	rate, usualRate      float64 // arrivals per second, recent and long-term
	rateSteps            float64 // number of steps in usualRate
	arrivals             int     // since the last step
	lastArrival          time.Duration
	active               bool    // in Pools.active
	hint                 float64 // smoothed hint of its run time, seconds
	meanRun, baselineRun float64 // run time, smoothed and without contention, seconds
	runs                 float64 // successful runs
	running              int
	queued               int
	lastProgress         time.Duration // last end of a run, or start of the first
	hanging              bool          // its runs no longer end
	slotCap              float64       // slots that it may use while they are short
	cheap                bool
	floor                float64 // slots that it keeps under any load
	entitlement          float64 // slots that it is entitled to, the floor included
	credit               float64 // slot-seconds that it is owed
	refused              int64
	reserveUsedAt        time.Duration // when its reserve last made the difference for one of its requests
	reserveInUse         bool
	candidateTier        int // its tier in a decision of Next or Evict
}

// Pools are the pools of one node.
type Pools struct {
	settings       Settings
	pools          []*pool
	active         []*pool // those with an arrival within forgetAfter; the others cost no time
	now            time.Duration
	lastStep       time.Duration
	limit          float64
	shortage       bool
	overflowAt     time.Duration // when the queue last exceeded its bound
	totalRate      float64       // of all active classes
	totalUsualRate float64
}

var _ rules.Pools = (*Pools)(nil)

// New returns pools without any measurements.
func New(settings Settings) *Pools {
	p := &Pools{settings: settings, limit: 1}
	for _, c := range settings.Classes {
		p.pools = append(p.pools, &pool{Class: c, slotCap: math.Inf(1), reserveUsedAt: -time.Hour})
	}
	return p
}

// expectedRun returns the expected run time of the class in seconds: the measured one if there are
// enough runs, else that of the callers' hints.
func (c *pool) expectedRun() float64 {
	switch {
	case c.runs >= minRuns:
		return c.meanRun
	case c.hint > 0:
		return c.hint
	}
	return defaultRunTime.Seconds()
}

// utilityDensity returns the utility per slot-second of the class's work.
func (p *Pools) utilityDensity(c *pool) float64 {
	if p.settings.UtilityPerWork {
		return c.Utility
	}
	return c.Utility / max(c.expectedRun(), 0.0001)
}

// slowdown returns the ratio of the class's mean run time to its baseline, 1 while it is not known.
func (c *pool) slowdown() float64 {
	if c.runs < minRuns || c.baselineRun <= 0 {
		return 1
	}
	return c.meanRun / c.baselineRun
}

// Arrived reports a request that was read, with its hint of the run time, 0 = no hint.
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

// RunningChanged reports that a class has n more runs in progress, fewer if n is negative.
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

// RunSucceeded reports how long a successful run took. Only successful runs are measured.
func (p *Pools) RunSucceeded(_ time.Duration, class int, took time.Duration) {
	c := p.pools[class]
	c.runs++
	c.meanRun += max(runSmoothing, 1/c.runs) * (took.Seconds() - c.meanRun)
	if c.runs == minRuns {
		c.baselineRun = c.meanRun
	}
	c.baselineRun = min(c.baselineRun*baselineDrift, c.meanRun)
}

// accrueCredit accounts for the slot time since the last event: a class gains credit for the part of
// its entitlement that it does not use, and loses credit for what it uses beyond it.
func (p *Pools) accrueCredit(now time.Duration) {
	dt := (now - p.now).Seconds()
	p.now = now
	if dt <= 0 {
		return
	}
	for _, c := range p.active {
		span := creditSpan.Seconds()
		maxCredit := max(c.entitlement*span, min(c.entitlement, 1)*c.expectedRun())
		c.credit += (c.entitlement - float64(c.running)) * dt
		c.credit = min(max(c.credit, -(c.entitlement+1)*span), maxCredit)
	}
}

// Step takes the concurrency limit, and updates rates, caps and entitlements. It returns log lines.
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

// updateRates updates the arrival rates of a class. Arrivals beyond floodFactor times the usual rate
// are a flood, until they have lasted for about half a minute and are usual themselves.
func (p *Pools) updateRates(c *pool, dt time.Duration, weight float64) {
	if dt <= 0 {
		return
	}
	rate := float64(c.arrivals) / dt.Seconds()
	c.arrivals = 0
	c.rate += min(1, rateSmoothing*weight) * (rate - c.rate)
	if c.rate > c.usualRate/100 { // times without requests do not lower the usual rate
		c.rateSteps++
		if c.rateSteps > minRateSteps { // limits how fast a flood raises the usual rate
			rate = min(rate, floodFactor*max(c.usualRate, 1))
		}
		c.usualRate += max(usualRateSmoothing*weight, 1/c.rateSteps) * (rate - c.usualRate)
	}
	if c.running == 0 && p.now-c.lastArrival > forgetAfter {
		*c = pool{Class: c.Class, slotCap: c.slotCap, reserveUsedAt: c.reserveUsedAt, refused: c.refused,
			meanRun: c.meanRun, baselineRun: c.baselineRun, runs: c.runs}
	}
}

// detectHang marks a class whose runs no longer end.
func (p *Pools) detectHang(c *pool) {
	quiet := p.now - c.lastProgress
	if c.running > 0 && c.runs >= minRuns && quiet > minHangTime &&
		quiet.Seconds()*float64(c.running) > hangGaps*c.meanRun && quiet.Seconds() > 3*c.meanRun {
		c.hanging = true
	}
}

// StalledRuns returns the number of runs in hanging classes: they hold slots but no core, so the
// other classes need not wait for them.
func (p *Pools) StalledRuns() (n int) {
	for _, c := range p.active {
		if c.hanging {
			n += c.running
		}
	}
	return n
}

// reserveMessages returns a log line for each class that begins or ceases to depend on its reserve.
func (p *Pools) reserveMessages() (lines []string) {
	for _, c := range p.active {
		inUse := p.now-c.reserveUsedAt < recentTime
		if inUse == c.reserveInUse {
			continue
		}
		c.reserveInUse = inUse
		if inUse {
			lines = append(lines, fmt.Sprintf("reserve of %.1f slots in use by class %s", c.floor, c.Name))
		} else {
			lines = append(lines, fmt.Sprintf("reserve no longer in use by class %s", c.Name))
		}
	}
	return lines
}

// Views returns the state of all pools, by class; queue is the node's queue.
func (p *Pools) Views(queue []rules.QueuedRequest) []View {
	for _, c := range p.pools {
		c.queued = 0
	}
	for _, request := range queue {
		p.pools[request.Class].queued++
	}
	views := make([]View, len(p.pools))
	for i, c := range p.pools {
		running := float64(c.running)
		views[i] = View{
			Name: c.Name, Running: c.running, Queued: c.queued, Limit: c.entitlement, Reserve: c.floor,
			Lent: max(c.entitlement-running, 0), Borrowed: max(running-c.entitlement, 0), Refused: c.refused,
			Cheap: c.cheap, Hanging: c.hanging,
		}
	}
	return views
}
