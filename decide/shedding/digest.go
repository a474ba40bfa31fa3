// This file owns the fleet's digest: how it is made of nodes' words, and what a
// node believes of one.

package shedding

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Bands is how many bands of value there are, four to a doubling, from 2^-10 up.
const (
	PriorityBands = 96
	bandLowest    = 40
	perDouble     = 4
)

// band is the band of a value. What is no number is worth nothing.
func band(v float64) int {
	if !(v > 0) {
		return 0
	}
	return int(min(max(math.Floor(perDouble*math.Log2(v))+bandLowest, 0), PriorityBands-1))
}

// floor is the least value of a band.
func floor(b int) float64 { return math.Exp2(float64(b-bandLowest) / perDouble) }

// Word is what one node says of itself.
type LoadReport struct {
	DrainRate     float64                // held requests a second that get a slot, as learned
	ShortageShare float64                // share of the time in which slots were short
	Demand        [PriorityBands]float64 // first tries a second by price
}

// Digest is what a control service says of the fleet. Epoch is that of the
// service's life, Seq grows within it.
type Digest struct {
	Epoch     uint64  `json:"epoch"`
	Seq       uint64  `json:"seq"`
	Nodes     int     `json:"nodes"`  // whose words it holds
	DrainRate float64 `json:"drain"`  // requests a second, the fleet's
	Demand    float64 `json:"demand"` // first tries a second, the fleet's
	Threshold float64 `json:"cut"`    // the least price for which the fleet has room, 0 = it has room for all
}

// newer reports whether d is later than o.
func (d *Digest) newer(o *Digest) bool {
	return cmp.Or(cmp.Compare(d.Epoch, o.Epoch), cmp.Compare(d.Seq, o.Seq)) > 0
}

// Told takes a digest that holds as of the time since. It reports whether it was
// newer than what is known: an older one changes nothing, unless what is known is
// past its life, since a service that lost its folder may begin again lower.
func (m *Shedder) ReceiveDigest(now, since time.Duration, d Digest) bool {
	return m.ReceiveDigestFrom(now, since, 0, d)
}

// ToldBy is Told by one of several services, numbered from 0; each has an order of
// its own.
func (m *Shedder) ReceiveDigestFrom(now, since time.Duration, src int, d Digest) bool {
	if !m.told || src < 0 || src >= MaxSources || d.Epoch == 0 || !(d.Threshold >= 0) || math.IsInf(d.Threshold, 0) || since > now {
		return false
	}
	s := &m.choice.all[src]
	if s.has && !d.newer(&s.d) && (d.Epoch == s.d.Epoch || now-s.heard < trustEnd) {
		m.IgnoredDigests++
		return false
	}
	if now-since >= trustEnd {
		m.IgnoredDigests++
		return false
	}
	*s = source{d, since, true}
	m.follow(now)
	return true
}

// follow takes up whatever digest is to be followed now.
func (m *Shedder) follow(now time.Duration) {
	if s := m.choice.pick(now); s.has {
		m.digest, m.heard, m.hasDigest = s.d, s.heard, true
	}
}

// trust is how far the digest is believed: whole while young, then less, then not.
func (m *Shedder) trust(now time.Duration) float64 {
	if !m.hasDigest {
		return 0
	}
	age := now - m.heard
	return min(max(float64(trustEnd-age)/float64(trustEnd-trustWhole), 0), 1)
}

// Tuned values of the digest.
const (
	wordLife  = 2500 * time.Millisecond // a word counts for so long: three reports
	trimTimes = 4.0                     // of the median that one node's word counts at most
	trimFrom  = 3                       // nodes from which there is a median to speak of
	cutOver   = 1.05                    // demand over drain from which the fleet counts as full
	cutUntil  = 0.97                    // and under which it no longer does
	shortMean = 0.7                     // mean shortness of slots without which it is not full, whatever demand says
	cutStep   = 3                       // bands that the cut moves at most in a digest
	mostWords = 20_000
)

// Gatherer makes digests of nodes' words. It belongs to one goroutine.
type Aggregator struct {
	epoch, seq uint64
	words      map[string]*heard
	cut        int // band of the last digest, -1 = the fleet had room for all
	last       Digest
}

type heard struct {
	LoadReport
	inc, seq uint64
	at       time.Duration
}

// NewGatherer returns a gatherer; epoch must grow with each life of the service.
func NewAggregator(epoch uint64) *Aggregator {
	return &Aggregator{epoch: epoch, words: map[string]*heard{}, cut: -1}
}

// Heard takes a node's word. It reports whether it was newer than what is known.
func (g *Aggregator) Observe(now time.Duration, name string, inc, seq uint64, w LoadReport) bool {
	h := g.words[name]
	if h == nil {
		if len(g.words) >= mostWords {
			return false
		}
		h = &heard{}
		g.words[name] = h
	} else if cmp.Or(cmp.Compare(inc, h.inc), cmp.Compare(seq, h.seq)) <= 0 && now-h.at < wordLife {
		return false
	}
	w.DrainRate, w.ShortageShare = sane(w.DrainRate), min(sane(w.ShortageShare), 1)
	for i := range w.Demand {
		w.Demand[i] = sane(w.Demand[i])
	}
	*h = heard{w, inc, seq, now}
	return true
}

// Digest is the fleet's digest as of now. It is the water level: from the dearest
// band down, demand is added up until all drains are full; what lies below finds
// no room anywhere.
func (g *Aggregator) Digest(now time.Duration) Digest {
	maps.DeleteFunc(g.words, func(_ string, h *heard) bool { return now-h.at >= wordLife })
	g.seq++
	d := Digest{Epoch: g.epoch, Seq: g.seq, Nodes: len(g.words)}
	drains, demands := make([]float64, 0, len(g.words)), make([]float64, 0, len(g.words))
	names := slices.Sorted(maps.Keys(g.words)) // sums of floats depend on the order
	for _, name := range names {
		h := g.words[name]
		sum := 0.0
		for _, x := range h.Demand {
			sum += x
		}
		drains, demands = append(drains, h.DrainRate), append(demands, sum)
	}
	mostDrain, mostDemand := bound(drains), bound(demands)
	var all [PriorityBands]float64
	short := 0.0
	for i, name := range names {
		h := g.words[name]
		d.DrainRate += min(h.DrainRate, mostDrain)
		part := 1.0
		if demands[i] > mostDemand {
			part = mostDemand / demands[i]
		}
		for b, x := range h.Demand {
			all[b] += part * x
			d.Demand += part * x
		}
		short += h.ShortageShare
	}
	want := -1
	limit := cutOver
	if g.cut >= 0 {
		limit = cutUntil
	}
	if d.DrainRate > 0 && d.Demand > limit*d.DrainRate && short >= shortMean*float64(len(names)) {
		left := d.DrainRate
		for b := PriorityBands - 1; b >= 0; b-- {
			if left -= all[b]; left < 0 {
				want = b
				break
			}
		}
	}
	switch {
	case want < 0 || g.cut < 0:
		g.cut = want
	default:
		g.cut += min(max(want-g.cut, -cutStep), cutStep)
	}
	if g.cut >= 0 {
		d.Threshold = floor(g.cut)
	}
	g.last = d
	return d
}

// Last is the digest that was made last.
func (g *Aggregator) Last() Digest { return g.last }

// bound is the most that one node's figure counts: some times the median of those
// that are above 0, so that one liar moves the fleet's figure by a few shares only.
func bound(all []float64) float64 {
	some := slices.DeleteFunc(slices.Clone(all), func(x float64) bool { return x <= 0 })
	if len(some) < trimFrom {
		return math.MaxFloat64
	}
	slices.Sort(some)
	return trimTimes * some[(len(some)-1)/2]
}
