package shedding

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

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
