// Package together decides what a node does with its refusals so that those of a
// whole fleet do not add up to harm: what is refused at once instead of being held
// in vain, whose walk through the list ends here, how long who was refused stays
// away, and what a further try is worth. It knows the fleet by what reaches the
// node alone, and by a digest where a control service tells one. It must never do
// I/O, read a clock or log, refuse what the node has room to finish, or take more.
//
// Invariants, held by TestProperties: whatever came in, advice lies within its
// bounds, shares within 0 and 1, and no state outlives its evidence; a digest past
// its life is as if never told, and on the way there trust falls without a jump.
package shedding

import (
	"fmt"
	"math"
	"time"

	"robinmast/rules"
)

var _ rules.Shedder = (*Shedder)(nil)

// Tuned values. Shares are of 1; every time is a real duration.
const (
	fade        = 600 * time.Millisecond // weight of the past in rates of arrivals: a few steps
	usualFade   = 2 * time.Minute        // in what the node usually drains
	wantedLeast = 0.75                   // of that in first tries, without which it is this node that is slow, not the fleet that is full
	walkFade    = time.Second            // and in what further tries tell of others: they come in waves
	shortFrom   = 0.12                   // of what others get that they refuse, from which the fleet counts as short
	shortFull   = 0.30                   // and from which it is short for certain
	endMost     = 0.9                    // of the walks that end here at most, unless told: the rest go on to tell
	leastRead   = 4.0                    // arrivals that the share of further tries must rest on
	retryShort  = 0.4                    // worth of a further try over a first while the fleet is short: it may be late
	vainShare   = 0.6                    // of the time it may be held within which a request must have its turn: rates swing
	slotWidth   = 25 * time.Millisecond  // of an appointment: a beat
	slots       = 256                    // appointments reach 6.4 s ahead
	slotShare   = 0.5                    // of what drains in a slot that may be given to returns
	spread      = 0.5                    // of the advice, either way, over which appointments lie: its mean stays
	longer      = 1.04                   // growth a step of the advice while returns exceed their share
	longest     = 2.0                    // times at most: who stays away for long lets slots run dry
	least       = 0.75                   // times at least, while returns are few: who stays away sends nothing dear either
	drained     = 0.8                    // of the growth stays a step while slots run dry
	shorter     = 0.94                   // of the growth stays a step while they do not
	returnsOK   = 0.115                  // share of arrivals that are further tries and no harm: 1.13 tries a first try
	dry         = 0.9                    // of the time slots must be short, or advice is not lengthened
	trustWhole  = time.Second            // a digest is believed whole for so long: a report and a half
	trustEnd    = 2500 * time.Millisecond
	nearCut     = 2 // bands above the cut within which a walk ends as alone: lines differ by so much
	golden      = math.Phi - 1
	sayFrom     = 0.5 // shortness from which people hear that the fleet is short
	sayUntil    = 0.1 // and under which that it no longer is
)

// Module is one node's. It belongs to one goroutine.
type Shedder struct {
	stepped time.Duration
	told    bool // digests are taken

	count, rate    [PriorityBands]float64 // arrivals by value: since the last step, and a second
	first, demand  [PriorityBands]float64 // first tries by price, the same
	read, again    float64                // arrivals and further tries, faded
	refused, out   float64                // refusals and those that ended a walk, faded
	drain          float64
	short          float64 // share of the last steps in which slots were short
	wanted         float64 // first tries a second
	usual          float64 // the highest drain of late, slowly forgotten
	fleetShort     float64 // how surely the fleet is short, 0 to 1
	grown          float64 // of the spread
	turn           float64 // of the sequence of appointments, 0 to 1
	odd            float64 // running remainder, so that a share of walks ends exactly
	slot           [slots]uint16
	slotAt         int64 // number of the first slot
	digest         Digest
	heard          time.Duration // as of when the digest holds
	hasDigest      bool
	choice         choice // of the service whose digest that is
	acting         bool
	IgnoredDigests int // digests that were older than what is known
}

// New returns a node's module; told lets it take digests.
func New(now time.Duration, told bool) *Shedder {
	return &Shedder{stepped: now, told: told, grown: 1, slotAt: slotOf(now)}
}

// Arrived takes an arrival: what serving it earns in the order of the line, its
// price by which nodes compare, and whether it is marked as a further try.
func (m *Shedder) Arrived(_ time.Duration, value, price float64, again bool) {
	m.count[band(value)]++
	m.read++
	if again {
		m.again++
		return
	}
	m.first[band(price)]++
}

// Step brings the rates up to now: drain is how many held requests a second get a
// slot, short the share of the time in which slots were short. It returns lines
// for people.
func (m *Shedder) Step(now time.Duration, drain, short float64) (lines []string) {
	dt := (now - m.stepped).Seconds()
	if dt <= 0 {
		return nil
	}
	m.stepped, m.drain = now, sane(drain)
	m.usual = max(m.usual*math.Exp(-dt/usualFade.Seconds()), m.drain)
	m.wanted = 0
	keep := math.Exp(-dt / fade.Seconds())
	for i := range m.count {
		m.rate[i] = keep*m.rate[i] + (1-keep)*m.count[i]/dt
		m.demand[i] = keep*m.demand[i] + (1-keep)*m.first[i]/dt
		m.count[i], m.first[i] = 0, 0
		m.wanted += m.demand[i]
	}
	m.short = keep*m.short + (1-keep)*min(max(sane(short), 0), 1)
	keep = math.Exp(-dt / walkFade.Seconds())
	m.read, m.again, m.refused, m.out = keep*m.read, keep*m.again, keep*m.refused, keep*m.out
	switch { // who stays away too long lets slots run dry: that is mended faster than too many returns
	case m.short <= dry:
		m.grown = max(m.grown*drained, least)
	case m.read > leastRead && m.again > returnsOK*m.read:
		m.grown = min(m.grown*longer, longest)
	default:
		m.grown = max(m.grown*shorter, least)
	}
	m.follow(now)
	m.fleetShort = m.judge(now)
	switch {
	case !m.acting && m.fleetShort > sayFrom:
		m.acting = true
		lines = append(lines, fmt.Sprintf("the fleet is short: walks end here (others refuse about %.0f%%, digest %s)", 100*m.others(), m.age(now)))
	case m.acting && m.fleetShort < sayUntil:
		m.acting = false
		lines = append(lines, "the fleet has room again: walks go on")
	}
	return lines
}

func (m *Shedder) age(now time.Duration) string {
	if m.trust(now) == 0 {
		return "none"
	}
	return (now - m.heard).Round(10 * time.Millisecond).String()
}

// others is the share of what others get that they refuse, as further tries show
// it: where each node refuses r and ends e of the walks, r(1-e) of all arrivals
// are further tries. Desktops that try again raise it, the more so the shorter
// the fleet is.
func (m *Shedder) others() float64 {
	if m.read < leastRead {
		return 0
	}
	ended := 0.0
	if m.refused > 1 {
		ended = min(m.out/m.refused, endMost)
	}
	return min(m.again/m.read/(1-ended), 1)
}

// alone is how surely the fleet is short, as far as this node can tell: further tries
// say that others refuse, its own slots are short, and first tries come faster than it
// usually drains. Without the last a node that was slowed would take its own refusals,
// which come back marked, for those of others, and end walks that others had room for.
func (m *Shedder) alone() float64 {
	if m.short < 0.05 || m.wanted < wantedLeast*m.usual {
		return 0
	}
	return min(max((m.others()-shortFrom)/(shortFull-shortFrom), 0), 1)
}

// judge is how surely the fleet is short: by its digest as far as that is believed,
// else by what further tries tell, and never while this node is not short itself.
func (m *Shedder) judge(now time.Duration) float64 {
	alone := m.alone()
	t := m.trust(now)
	if t == 0 {
		return alone
	}
	told := 0.0
	if m.digest.Threshold > 0 {
		told = 1
	}
	return t*told + (1-t)*alone
}

// InVain reports whether a request of that value, itself in the line, would be
// held for longer than most.
func (m *Shedder) ExceedsQueueTimeout(line []rules.QueuedRequest, value float64, most time.Duration) bool {
	ahead := -1
	for _, w := range line {
		if w.Utility >= value {
			ahead++
		}
	}
	return m.QueueDelay(max(ahead, 0), value) > time.Duration(vainShare*float64(most))
}

// Wait is how long a request of that value would be held: those ahead of it and
// those of more value that come meanwhile go first. It is the longest there is
// where it would never have its turn.
func (m *Shedder) QueueDelay(ahead int, value float64) time.Duration {
	above := 0.0
	for i := band(value) + 1; i < PriorityBands; i++ {
		above += m.rate[i]
	}
	left := m.drain - above
	if left <= 0 || math.IsNaN(left) {
		return math.MaxInt64
	}
	wait := float64(ahead) / left
	if wait > time.Hour.Seconds() {
		return math.MaxInt64
	}
	return time.Duration(wait * float64(time.Second))
}

// EndsWalk reports whether a refused request is to try no other node. Told, it is
// so below the fleet's cut: no node keeps less than what is turned away. Alone, it
// is so for a share of them that grows with what others refuse.
func (m *Shedder) StopsRetries(now time.Duration, price float64) bool {
	m.refused++
	share := endMost * m.alone()
	if t := m.trust(now); t > 0 {
		below := 0.0
		switch over := band(price) - band(m.digest.Threshold); {
		case m.digest.Threshold <= 0:
		case over < 0:
			below = 1
		case over <= nearCut:
			below = share
		}
		share = t*below + (1-t)*share
	}
	if m.odd += share; m.odd >= 1 {
		m.odd--
		m.out++
		return true
	}
	return false
}

// RetryWorth is the worth of a further try over that of a first: less while the
// fleet is short, the same while only some nodes were full.
func (m *Shedder) RetryUtility() float64 { return 1 - (1-retryShort)*m.fleetShort }

// Advice is how long who is refused now is to stay away: near base, at the first
// slot whose returns are within what drains then, so that those refused together
// do not return together. Where all are taken it is the emptiest. Its mean is base,
// and more only while returns exceed their share and no slot runs dry for it.
func (m *Shedder) RetryAfter(now, base, most time.Duration) time.Duration {
	if base <= 0 || most <= 0 {
		return base
	}
	from := slotOf(now)
	if from-m.slotAt >= slots || from < m.slotAt {
		m.slot, m.slotAt = [slots]uint16{}, from
	}
	for ; m.slotAt < from; m.slotAt++ {
		m.slot[uint64(m.slotAt)%slots] = 0
	}
	base = time.Duration(m.grown * float64(base))
	room := uint16(min(max(slotShare*m.drain*slotWidth.Seconds(), 1), math.MaxUint16))
	soonest, end := time.Duration((1-spread)*float64(base)), time.Duration((1+spread)*float64(base))
	first, last := slotOf(now+soonest), slotOf(now+min(end, most))
	last = min(last, from+slots-1)
	first = min(first, last)
	n := last - first + 1
	m.turn += golden // the next of a sequence that fills the window evenly
	m.turn -= math.Floor(m.turn)
	begin := int64(m.turn * float64(n))
	best := first + begin
	for i := range n {
		s := first + (begin+i)%n
		if at := &m.slot[uint64(s)%slots]; *at < m.slot[uint64(best)%slots] {
			best = s
		}
		if m.slot[uint64(best)%slots] < room {
			break
		}
	}
	if at := &m.slot[uint64(best)%slots]; *at < math.MaxUint16 {
		*at++
	}
	return min(max(time.Duration(best)*slotWidth-now, soonest, slotWidth), max(most, slotWidth))
}

func slotOf(t time.Duration) int64 {
	n := int64(t / slotWidth)
	if t < 0 && t%slotWidth != 0 {
		n--
	}
	return n
}

// View is how the module stands, for counters and reports.
type View struct {
	PeerRefusalShare float64 // share that other nodes refuse, as further tries show it
	Shortage         float64 // how surely the fleet is short
	Trust            float64 // in the digest
	Threshold        float64 // told
	DigestAge        time.Duration
	StoppedRetries   float64 // share of refusals that ended a walk lately
	AdviceStretch    float64 // of the spread of advice
	Source           int     // the service that is followed
}

// View shows how the module stands.
func (m *Shedder) View(now time.Duration) View {
	v := View{PeerRefusalShare: m.others(), Shortage: m.fleetShort, Trust: m.trust(now), AdviceStretch: m.grown, StoppedRetries: m.out / max(m.refused, 1)}
	if v.Trust > 0 {
		v.Threshold, v.DigestAge, v.Source = m.digest.Threshold, now-m.heard, m.choice.at
	}
	return v
}

// Word is what the node tells of itself.
func (m *Shedder) LoadReport() LoadReport {
	return LoadReport{DrainRate: m.drain, ShortageShare: m.short, Demand: m.demand}
}

// sane is x, or 0 where x is no number of any use.
func sane(x float64) float64 {
	if math.IsNaN(x) || x < 0 || x > 1e9 {
		return 0
	}
	return x
}
