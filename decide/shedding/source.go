// This file owns whose digest a node follows where several control services tell one:
// never a mix of two.

package shedding

import "time"

// Sources is how many services a node listens to at most.
const MaxSources = 5

// Tuned values of the choice.
const (
	stickFor  = 2 * time.Second // after a change no other, unless the one followed falls silent
	heardPart = 0.5             // of the nodes that the followed one hears another must hear to be believed over it
	cutApart  = 2               // bands between two cuts from which they disagree
)

// source is what one service told last.
type source struct {
	d     Digest
	heard time.Duration // as of when it holds
	has   bool
}

// fresh reports whether it is believed whole.
func (s *source) fresh(now time.Duration) bool { return s.has && now-s.heard < trustWhole }

// choice is which of them is followed.
type choice struct {
	all   [MaxSources]source
	at    int
	moved time.Duration
	Moves int
}

// pick says which source to follow now: the one followed so far while it is fresh;
// else whichever spoke last; and of two that are fresh and disagree about danger the
// more cautious, if it hears enough of the fleet to know.
func (c *choice) pick(now time.Duration) *source {
	cur := &c.all[c.at]
	best := c.at
	switch {
	case !cur.fresh(now):
		for i := range c.all {
			if s := &c.all[i]; s.has && (!c.all[best].has || s.heard > c.all[best].heard) {
				best = i
			}
		}
	case now-c.moved >= stickFor:
		for i := range c.all {
			s := &c.all[i]
			if !s.fresh(now) || float64(s.d.Nodes) < heardPart*float64(cur.d.Nodes) {
				continue
			}
			if b := &c.all[best]; s.d.Threshold > 0 && (b.d.Threshold <= 0 || band(s.d.Threshold) >= band(b.d.Threshold)+cutApart) {
				best = i
			}
		}
	}
	if best != c.at {
		c.at, c.moved = best, now
		c.Moves++
	}
	return &c.all[c.at]
}
