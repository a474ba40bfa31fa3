// Package shedding is the fleet-aware load shedding of a node, which keeps refused requests from
// overloading the other nodes. It decides which requests to refuse at once because they would exceed
// the queue timeout, which refused requests must not be retried at other nodes, the retry-after
// of a refusal, and the utility of a further try relative to a first one.
//
// A node estimates the shortage of the fleet from the further tries that it receives, and, where
// control services send digests of the fleet's load, from those. The module never refuses a
// request that the node has capacity to finish, and never accepts more.
//
// The caller passes the current time in; the package does no I/O, reads no clock and writes no
// log. Log lines are returned as values. Nothing in it is safe for concurrent use.
//
// TestProperties checks the invariants: whatever the input, the retry-after is within its
// limits, shares are within 0 and 1, and estimates fade without new input; an expired digest
// has no effect, and trust in a digest falls continuously until it expires.
package shedding

import (
	"fmt"
	"math"
	"time"

	"robinmast/rules"
)

var _ rules.Shedder = (*Shedder)(nil)

const (
	rateTimeConstant  = 600 * time.Millisecond // of arrival rates: a few steps
	drainTimeConstant = 2 * time.Minute        // in which the usual drain rate decays
	retryTimeConstant = time.Second            // of the shares of further tries and refusals; further tries come in waves

	// First tries a second over the usual drain rate, below which a shortage is taken for
	// slowness of this node instead of overload of the fleet.
	minFirstTryRatio = 0.75
	// The peers' refusal share at which the estimated shortage of the fleet is above 0, and 1.
	shortagePeerRefusals     = 0.12
	fullShortagePeerRefusals = 0.30
	minRecentArrivals        = 4.0 // below which further tries are too few to estimate the peers' refusals

	maxStopShare         = 0.9  // of refusals, without a digest; the other retries show the peers the shortage
	shortageRetryUtility = 0.4  // of a further try over a first one in a full shortage: it may be late
	queueTimeoutShare    = 0.6  // of the queue timeout that the expected delay may take, as rates vary
	nearThresholdBands   = 2    // above the threshold, treated as without a digest: nodes' queues differ by so much
	minLocalShortage     = 0.05 // of this node, below which it does not take the fleet for short

	// Returns are scheduled in time slots.
	slotWidth       = 25 * time.Millisecond // the control interval
	numSlots        = 256                   // 6.4 s ahead
	slotReturnShare = 0.5                   // of the requests drained in a slot that may be returns
	retrySpread     = 0.5                   // the retry-after varies by this share of its mean, up and down

	// The retry-after is stretched by a factor while too many of the arrivals are further
	// tries, and not so far that run slots stay idle.
	stretchGrowth      = 1.04  // factor a step while further tries exceed their share
	stretchDecay       = 0.94  // factor a step while they do not
	stretchIdleDecay   = 0.8   // factor a step while run slots stay idle: corrected faster than too many returns
	maxStretch         = 2.0   // callers that stay away longer leave run slots idle
	minStretch         = 0.75  // below 1: callers that stay away too long withhold requests of high utility too
	acceptedRetryShare = 0.115 // of arrivals that may be further tries: 1.13 tries for a first try
	minStretchShortage = 0.9   // share of the time that run slots must be short before the factor grows

	fullTrustAge = time.Second             // up to which a digest is fully trusted: 1.5 reporting intervals
	maxDigestAge = 2500 * time.Millisecond // at which it expires

	goldenRatio      = math.Phi - 1
	logShortageAbove = 0.5 // shortage above which its begin is logged
	logShortageBelow = 0.1 // and below which its end is
)

// Shedder is the fleet-aware load shedding of one node. It implements rules.Shedder and belongs
// to one goroutine.
type Shedder struct {
	steppedAt  time.Duration
	useDigests bool

	arrivals, arrivalRate [PriorityBands]float64 // by band of utility: count since the last step, and a second
	firstTries, demand    [PriorityBands]float64 // first tries by band of first-try utility, likewise

	// Counts with exponential decay.
	recentArrivals, recentRetries float64 // retries: further tries
	recentRefusals, recentStops   float64 // stops: refusals that stop retries

	drainRate      float64 // queued requests a second that get a run slot
	shortageShare  float64 // recent share of the time in which run slots were short
	firstTryRate   float64 // a second
	usualDrainRate float64 // recent maximum, slowly decaying
	shortage       float64 // estimated shortage of the fleet, 0 to 1

	stretch       float64 // factor of the retry-after
	slotSequence  float64 // position in the low-discrepancy sequence of RetryAfter, 0 to 1
	stopRemainder float64 // running remainder, so that the exact share of refusals stops retries
	returns       [numSlots]uint16
	firstSlot     int64 // number of the earliest slot in returns

	digest         Digest
	digestAsOf     time.Duration
	hasDigest      bool
	selector       sourceSelector
	shortageLogged bool
	IgnoredDigests int // number of expired and outdated digests
}

// New returns the shedder of one node; useDigests lets it use the digests of control services.
func New(now time.Duration, useDigests bool) *Shedder {
	return &Shedder{steppedAt: now, useDigests: useDigests, stretch: 1, firstSlot: slotOf(now)}
}

// Arrived counts an arrival: its cost-weighted utility, by which the queue is ordered; the
// utility that it would have as a first try, which is comparable between nodes; and whether it
// is marked as a further try.
func (m *Shedder) Arrived(_ time.Duration, utility, firstTryUtility float64, furtherTry bool) {
	m.arrivals[band(utility)]++
	m.recentArrivals++
	if furtherTry {
		m.recentRetries++
		return
	}
	m.firstTries[band(firstTryUtility)]++
}

// Step updates the rates and estimates to now. drainRate is the number of queued requests a
// second that get a run slot, shortageShare the share of the time since the last step in which
// run slots were short. It returns log lines.
func (m *Shedder) Step(now time.Duration, drainRate, shortageShare float64) (lines []string) {
	dt := (now - m.steppedAt).Seconds()
	if dt <= 0 {
		return nil
	}
	m.steppedAt, m.drainRate = now, sanitize(drainRate)
	m.usualDrainRate = max(m.usualDrainRate*math.Exp(-dt/drainTimeConstant.Seconds()), m.drainRate)
	m.firstTryRate = 0
	decay := math.Exp(-dt / rateTimeConstant.Seconds())
	for i := range m.arrivals {
		m.arrivalRate[i] = decay*m.arrivalRate[i] + (1-decay)*m.arrivals[i]/dt
		m.demand[i] = decay*m.demand[i] + (1-decay)*m.firstTries[i]/dt
		m.arrivals[i], m.firstTries[i] = 0, 0
		m.firstTryRate += m.demand[i]
	}
	m.shortageShare = decay*m.shortageShare + (1-decay)*min(max(sanitize(shortageShare), 0), 1)
	decay = math.Exp(-dt / retryTimeConstant.Seconds())
	m.recentArrivals, m.recentRetries = decay*m.recentArrivals, decay*m.recentRetries
	m.recentRefusals, m.recentStops = decay*m.recentRefusals, decay*m.recentStops
	switch {
	case m.shortageShare <= minStretchShortage:
		m.stretch = max(m.stretch*stretchIdleDecay, minStretch)
	case m.recentArrivals > minRecentArrivals && m.recentRetries > acceptedRetryShare*m.recentArrivals:
		m.stretch = min(m.stretch*stretchGrowth, maxStretch)
	default:
		m.stretch = max(m.stretch*stretchDecay, minStretch)
	}
	m.updateDigest(now)
	m.shortage = m.fleetShortage(now)
	switch {
	case !m.shortageLogged && m.shortage > logShortageAbove:
		m.shortageLogged = true
		lines = append(lines, fmt.Sprintf("fleet overloaded: refusals stop retries (peers refuse about %.0f%%, digest age %s)",
			100*m.peerRefusalShare(), m.digestAge(now)))
	case m.shortageLogged && m.shortage < logShortageBelow:
		m.shortageLogged = false
		lines = append(lines, "fleet no longer overloaded: refusals allow retries")
	}
	return lines
}

// digestAge returns the age of the digest for log lines, "none" without a valid one.
func (m *Shedder) digestAge(now time.Duration) string {
	if m.trust(now) == 0 {
		return "none"
	}
	return (now - m.digestAsOf).Round(10 * time.Millisecond).String()
}

// peerRefusalShare estimates the share of its arrivals that another node refuses. If each node
// refuses a share r and stops the retries of a share e of those, then r(1-e) of all arrivals
// are further tries. Desktops that retry on their own add to it, the more so the greater the
// shortage of the fleet is.
func (m *Shedder) peerRefusalShare() float64 {
	if m.recentArrivals < minRecentArrivals {
		return 0
	}
	stopped := 0.0
	if m.recentRefusals > 1 {
		stopped = min(m.recentStops/m.recentRefusals, maxStopShare)
	}
	return min(m.recentRetries/m.recentArrivals/(1-stopped), 1)
}

// localShortage estimates the shortage of the fleet, 0 to 1, without a digest. It is above 0 if
// further tries show that peers refuse, run slots are short here, and first tries arrive faster
// than this node usually drains. Without the last condition a node that became slow would take
// its own refusals, which come back marked as further tries, for refusals of its peers, and
// would stop retries for which they have capacity.
func (m *Shedder) localShortage() float64 {
	if m.shortageShare < minLocalShortage || m.firstTryRate < minFirstTryRatio*m.usualDrainRate {
		return 0
	}
	return min(max((m.peerRefusalShare()-shortagePeerRefusals)/(fullShortagePeerRefusals-shortagePeerRefusals), 0), 1)
}

// fleetShortage estimates the shortage of the fleet, 0 to 1: by the digest as far as it is
// trusted, and by localShortage otherwise.
func (m *Shedder) fleetShortage(now time.Duration) float64 {
	local := m.localShortage()
	t := m.trust(now)
	if t == 0 {
		return local
	}
	byDigest := 0.0
	if m.digest.Threshold > 0 {
		byDigest = 1
	}
	return t*byDigest + (1-t)*local
}

// ExceedsQueueTimeout reports whether a request with the given cost-weighted utility, itself in
// queue, is expected to wait for most of queueTimeout (queueTimeoutShare) or longer.
func (m *Shedder) ExceedsQueueTimeout(queue []rules.QueuedRequest, utility float64, queueTimeout time.Duration) bool {
	ahead := -1
	for _, q := range queue {
		if q.Utility >= utility {
			ahead++
		}
	}
	return m.QueueDelay(max(ahead, 0), utility) > time.Duration(queueTimeoutShare*float64(queueTimeout))
}

// QueueDelay returns how long a request with the given cost-weighted utility is expected to
// wait behind ahead queued requests and those of a higher band that arrive meanwhile. It is
// math.MaxInt64 if the request would never run, or wait for more than an hour.
func (m *Shedder) QueueDelay(ahead int, utility float64) time.Duration {
	above := 0.0
	for i := band(utility) + 1; i < PriorityBands; i++ {
		above += m.arrivalRate[i]
	}
	left := m.drainRate - above
	if left <= 0 || math.IsNaN(left) {
		return math.MaxInt64
	}
	wait := float64(ahead) / left
	if wait > time.Hour.Seconds() {
		return math.MaxInt64
	}
	return time.Duration(wait * float64(time.Second))
}

// StopsRetries counts a refusal and reports whether the refused request must not be retried at
// other nodes. With a digest, that holds below the fleet's threshold, where no other node has
// capacity either. Without one, it holds for a share of the refusals that grows with the
// estimated shortage.
func (m *Shedder) StopsRetries(now time.Duration, firstTryUtility float64) bool {
	m.recentRefusals++
	share := maxStopShare * m.localShortage()
	if t := m.trust(now); t > 0 {
		byDigest := 0.0
		switch bands := band(firstTryUtility) - band(m.digest.Threshold); {
		case m.digest.Threshold <= 0:
		case bands < 0:
			byDigest = 1
		case bands <= nearThresholdBands:
			byDigest = share
		}
		share = t*byDigest + (1-t)*share
	}
	if m.stopRemainder += share; m.stopRemainder >= 1 {
		m.stopRemainder--
		m.recentStops++
		return true
	}
	return false
}

// RetryUtility returns the factor of a further try's utility over a first try's: 1 while only
// some nodes are full, down to shortageRetryUtility with the shortage of the fleet.
func (m *Shedder) RetryUtility() float64 { return 1 - (1-shortageRetryUtility)*m.shortage }

// RetryAfter returns how long a request refused now is to stay away, at most limit. Callers that
// are refused together must not return together: each gets a time slot near base whose returns
// do not exceed a share of what drains in it, or the emptiest one. The mean is base, and longer
// only while there are too many returns and no run slot stays idle for it.
func (m *Shedder) RetryAfter(now, base, limit time.Duration) time.Duration {
	if base <= 0 || limit <= 0 {
		return base
	}
	from := slotOf(now)
	if from-m.firstSlot >= numSlots || from < m.firstSlot {
		m.returns, m.firstSlot = [numSlots]uint16{}, from
	}
	for ; m.firstSlot < from; m.firstSlot++ {
		m.returns[uint64(m.firstSlot)%numSlots] = 0
	}
	base = time.Duration(m.stretch * float64(base))
	maxReturns := uint16(min(max(slotReturnShare*m.drainRate*slotWidth.Seconds(), 1), math.MaxUint16))
	soonest, end := time.Duration((1-retrySpread)*float64(base)), time.Duration((1+retrySpread)*float64(base))
	first, last := slotOf(now+soonest), slotOf(now+min(end, limit))
	last = min(last, from+numSlots-1)
	first = min(first, last)
	n := last - first + 1
	m.slotSequence += goldenRatio // low-discrepancy sequence: fills the range of slots evenly
	m.slotSequence -= math.Floor(m.slotSequence)
	begin := int64(m.slotSequence * float64(n))
	best := first + begin
	for i := range n {
		s := first + (begin+i)%n
		if at := &m.returns[uint64(s)%numSlots]; *at < m.returns[uint64(best)%numSlots] {
			best = s
		}
		if m.returns[uint64(best)%numSlots] < maxReturns {
			break
		}
	}
	if at := &m.returns[uint64(best)%numSlots]; *at < math.MaxUint16 {
		*at++
	}
	return min(max(time.Duration(best)*slotWidth-now, soonest, slotWidth), max(limit, slotWidth))
}

// slotOf returns the number of the time slot that t is in.
func slotOf(t time.Duration) int64 {
	n := int64(t / slotWidth)
	if t < 0 && t%slotWidth != 0 {
		n--
	}
	return n
}

// View is the state of a Shedder, for counters and reports. Shares are within 0 and 1.
type View struct {
	PeerRefusalShare float64       // estimated share of arrivals that other nodes refuse
	Shortage         float64       // estimated shortage of the fleet, 0 to 1
	Trust            float64       // in the digest, 0 to 1
	Threshold        float64       // of the digest: least first-try utility that the fleet has capacity for, 0 = all
	DigestAge        time.Duration // 0 without a valid digest
	StoppedRetries   float64       // recent share of refusals that stop retries
	RetryAfterFactor float64       // factor of the retry-after
	Source           int           // number of the control service whose digest is followed
}

// View returns the state of the shedder at now.
func (m *Shedder) View(now time.Duration) View {
	v := View{
		PeerRefusalShare: m.peerRefusalShare(), Shortage: m.shortage, Trust: m.trust(now),
		RetryAfterFactor: m.stretch, StoppedRetries: m.recentStops / max(m.recentRefusals, 1),
	}
	if v.Trust > 0 {
		v.Threshold, v.DigestAge, v.Source = m.digest.Threshold, now-m.digestAsOf, m.selector.current
	}
	return v
}

// LoadReport returns the node's load as of the last step.
func (m *Shedder) LoadReport() LoadReport {
	return LoadReport{DrainRate: m.drainRate, ShortageShare: m.shortageShare, Demand: m.demand}
}

// sanitize returns x, or 0 if x is NaN, negative or above 1e9.
func sanitize(x float64) float64 {
	if math.IsNaN(x) || x < 0 || x > 1e9 {
		return 0
	}
	return x
}
