package shedding

import "time"

// MaxSources is the largest number of control services that a node takes digests from.
const MaxSources = 5

const (
	minFollowTime = 2 * time.Second // after a change of source, unless its digest gets old
	minNodesRatio = 0.5             // least share of the followed source's nodes that a more cautious one must know
	cautionBands  = 2               // priority bands by which a more cautious source's threshold must be higher
)

// source is the latest digest of one control service.
type source struct {
	digest   Digest
	asOf     time.Duration // time at which the digest was made
	received bool          // a digest has been received
}

// fresh reports whether the digest is recent enough to be fully trusted.
func (s *source) fresh(now time.Duration) bool { return s.received && now-s.asOf < fullTrustAge }

// sourceSelector selects the control service whose digest a node follows. Digests of several
// services are never mixed.
type sourceSelector struct {
	sources   [MaxSources]source
	current   int // index of the followed source
	changedAt time.Duration
	changes   int // number of changes of source
}

// selectSource returns the source to follow now. That is the current one as long as its digest
// is fresh, and otherwise the one with the latest digest. If two fresh digests disagree, it is
// the one with the higher threshold, provided that its service knows enough of the fleet.
func (selector *sourceSelector) selectSource(now time.Duration) *source {
	current := &selector.sources[selector.current]
	best := selector.current
	switch {
	case !current.fresh(now):
		for i := range selector.sources {
			if s := &selector.sources[i]; s.received && (!selector.sources[best].received || s.asOf > selector.sources[best].asOf) {
				best = i
			}
		}
	case now-selector.changedAt >= minFollowTime:
		for i := range selector.sources {
			s := &selector.sources[i]
			if !s.fresh(now) || float64(s.digest.Nodes) < minNodesRatio*float64(current.digest.Nodes) {
				continue
			}
			if b := &selector.sources[best]; s.digest.Threshold > 0 &&
				(b.digest.Threshold <= 0 || band(s.digest.Threshold) >= band(b.digest.Threshold)+cautionBands) {
				best = i
			}
		}
	}
	if best != selector.current {
		selector.current, selector.changedAt = best, now
		selector.changes++
	}
	return &selector.sources[selector.current]
}
