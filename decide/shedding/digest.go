package shedding

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// PriorityBands is the number of priority bands. A band is a range of utility; there are four
// bands to a doubling, from 2^-10 up.
const (
	PriorityBands    = 96
	bandOfOne        = 40 // band of utility 1
	bandsPerDoubling = 4
)

// band returns the priority band of a utility. NaN is in the lowest band.
func band(utility float64) int {
	if !(utility > 0) {
		return 0
	}
	return int(min(max(math.Floor(bandsPerDoubling*math.Log2(utility))+bandOfOne, 0), PriorityBands-1))
}

// bandFloor returns the least utility in a band.
func bandFloor(b int) float64 { return math.Exp2(float64(b-bandOfOne) / bandsPerDoubling) }

// LoadReport is the load of one node, as it reports it to the control services.
type LoadReport struct {
	DrainRate     float64                // queued requests a second that get a run slot
	ShortageShare float64                // share of the time in which run slots were short, 0 to 1
	Demand        [PriorityBands]float64 // first tries a second by band of their first-try utility
}

// Digest is a control service's summary of the load of the fleet. Epoch identifies the run of
// the service and grows from one to the next; Seq grows within it.
type Digest struct {
	Epoch     uint64  `json:"epoch"`
	Seq       uint64  `json:"seq"`
	Nodes     int     `json:"nodes"`  // nodes whose load reports are included
	DrainRate float64 `json:"drain"`  // requests a second, sum of the nodes
	Demand    float64 `json:"demand"` // first tries a second, sum of the nodes
	Threshold float64 `json:"cut"`    // least first-try utility that the fleet has capacity for, 0 = capacity for all
}

// newer reports whether d is later than o, by epoch and then by sequence number.
func (d *Digest) newer(o *Digest) bool {
	return cmp.Or(cmp.Compare(d.Epoch, o.Epoch), cmp.Compare(d.Seq, o.Seq)) > 0
}

// ReceiveDigest is ReceiveDigestFrom with source 0.
func (m *Shedder) ReceiveDigest(now, since time.Duration, d Digest) bool {
	return m.ReceiveDigestFrom(now, since, 0, d)
}

// ReceiveDigestFrom handles a digest from control service src, numbered from 0, that holds as
// of the time since. It returns false if the digest is ignored: it is invalid, expired, or not
// newer than the last one of that service. A lower epoch is accepted once the last digest has
// expired, since a service that lost its stored state may start again with a lower one.
func (m *Shedder) ReceiveDigestFrom(now, since time.Duration, src int, d Digest) bool {
	if !m.useDigests || src < 0 || src >= MaxSources || d.Epoch == 0 ||
		!(d.Threshold >= 0) || math.IsInf(d.Threshold, 0) || since > now {
		return false
	}
	s := &m.selector.sources[src]
	if s.received && !d.newer(&s.digest) && (d.Epoch == s.digest.Epoch || now-s.asOf < maxDigestAge) {
		m.IgnoredDigests++
		return false
	}
	if now-since >= maxDigestAge {
		m.IgnoredDigests++
		return false
	}
	*s = source{d, since, true}
	m.updateDigest(now)
	return true
}

// updateDigest takes the digest of the source to follow now.
func (m *Shedder) updateDigest(now time.Duration) {
	if s := m.selector.selectSource(now); s.received {
		m.digest, m.digestAsOf, m.hasDigest = s.digest, s.asOf, true
	}
}

// trust returns how far the digest is trusted: 1 up to fullTrustAge, then falling linearly to 0
// at maxDigestAge.
func (m *Shedder) trust(now time.Duration) float64 {
	if !m.hasDigest {
		return 0
	}
	age := now - m.digestAsOf
	return min(max(float64(maxDigestAge-age)/float64(maxDigestAge-fullTrustAge), 0), 1)
}

const (
	reportLifetime     = 2500 * time.Millisecond // a load report counts for so long: three reporting intervals
	maxMedianRatio     = 4.0                     // a node's figures count up to this multiple of the median
	minNodesForMedian  = 3                       // with a figure above 0; with fewer, figures are not limited
	overloadedRatio    = 1.05                    // demand over drain rate above which the fleet is overloaded
	recoveredRatio     = 0.97                    // and below which it no longer is
	minMeanShortage    = 0.7                     // mean ShortageShare below which the fleet is not overloaded, whatever the demand
	maxThresholdChange = 3                       // bands that the threshold changes by at most from one digest to the next
	maxReports         = 20_000                  // stored load reports
)

// Aggregator computes digests from the load reports of the nodes. It belongs to one goroutine.
type Aggregator struct {
	epoch, seq    uint64
	reports       map[string]*nodeReport // by node name
	thresholdBand int                    // of the last digest, -1 = capacity for all
	last          Digest
}

// nodeReport is the latest load report of one node.
type nodeReport struct {
	LoadReport
	incarnation, seq uint64
	receivedAt       time.Duration
}

// NewAggregator returns an aggregator without load reports. epoch must be higher than in any
// earlier run of the service.
func NewAggregator(epoch uint64) *Aggregator {
	return &Aggregator{epoch: epoch, reports: map[string]*nodeReport{}, thresholdBand: -1}
}

// Observe handles a node's load report. It returns false if the report is ignored, because a
// later one of the node is known or too many nodes are.
func (a *Aggregator) Observe(now time.Duration, name string, incarnation, seq uint64, load LoadReport) bool {
	r := a.reports[name]
	if r == nil {
		if len(a.reports) >= maxReports {
			return false
		}
		r = &nodeReport{}
		a.reports[name] = r
	} else if cmp.Or(cmp.Compare(incarnation, r.incarnation), cmp.Compare(seq, r.seq)) <= 0 &&
		now-r.receivedAt < reportLifetime {
		return false
	}
	load.DrainRate, load.ShortageShare = sanitize(load.DrainRate), min(sanitize(load.ShortageShare), 1)
	for i := range load.Demand {
		load.Demand[i] = sanitize(load.Demand[i])
	}
	*r = nodeReport{load, incarnation, seq, now}
	return true
}

// Digest returns the digest of the fleet as of now. To find the threshold, it adds up demand
// from the highest band down until the sum exceeds the drain rate of the fleet; requests below
// that band find no capacity on any node.
func (a *Aggregator) Digest(now time.Duration) Digest {
	maps.DeleteFunc(a.reports, func(_ string, r *nodeReport) bool { return now-r.receivedAt >= reportLifetime })
	a.seq++
	d := Digest{Epoch: a.epoch, Seq: a.seq, Nodes: len(a.reports)}
	drains, demands := make([]float64, 0, len(a.reports)), make([]float64, 0, len(a.reports))
	names := slices.Sorted(maps.Keys(a.reports)) // floating-point sums depend on the order
	for _, name := range names {
		r := a.reports[name]
		sum := 0.0
		for _, x := range r.Demand {
			sum += x
		}
		drains, demands = append(drains, r.DrainRate), append(demands, sum)
	}
	maxDrain, maxDemand := outlierLimit(drains), outlierLimit(demands)
	var demandByBand [PriorityBands]float64
	shortage := 0.0
	for i, name := range names {
		r := a.reports[name]
		d.DrainRate += min(r.DrainRate, maxDrain)
		part := 1.0
		if demands[i] > maxDemand {
			part = maxDemand / demands[i]
		}
		for b, x := range r.Demand {
			demandByBand[b] += part * x
			d.Demand += part * x
		}
		shortage += r.ShortageShare
	}
	target := -1
	limit := overloadedRatio
	if a.thresholdBand >= 0 {
		limit = recoveredRatio
	}
	if d.DrainRate > 0 && d.Demand > limit*d.DrainRate && shortage >= minMeanShortage*float64(len(names)) {
		left := d.DrainRate
		for b := PriorityBands - 1; b >= 0; b-- {
			if left -= demandByBand[b]; left < 0 {
				target = b
				break
			}
		}
	}
	switch {
	case target < 0 || a.thresholdBand < 0:
		a.thresholdBand = target
	default:
		a.thresholdBand += min(max(target-a.thresholdBand, -maxThresholdChange), maxThresholdChange)
	}
	if a.thresholdBand >= 0 {
		d.Threshold = bandFloor(a.thresholdBand)
	}
	a.last = d
	return d
}

// Last returns the digest that Digest returned last, and a zero one before that.
func (a *Aggregator) Last() Digest { return a.last }

// outlierLimit returns the limit for one node's figure: a multiple of the median of the figures
// above 0, so that a node that reports nonsense has little effect on the sums.
func outlierLimit(figures []float64) float64 {
	positive := slices.DeleteFunc(slices.Clone(figures), func(x float64) bool { return x <= 0 })
	if len(positive) < minNodesForMedian {
		return math.MaxFloat64
	}
	slices.Sort(positive)
	return maxMedianRatio * positive[(len(positive)-1)/2]
}
