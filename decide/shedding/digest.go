package shedding

import (
	"cmp"
	"math"
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

// ReceiveDigest handles a digest of the only control service: it is ReceiveDigestFrom with src 0.
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
