// This file owns what is kept of the past: each node's changes of state with their
// evidence, over a day, bounded.

package fleet

import (
	"slices"
	"time"
)

// Bounds of the history.
const (
	historyFor  = 24 * time.Hour
	historyMost = 4096 // changes: beyond, the oldest leave
	historyNode = 64   // of one node, so that one that flaps does not push out the rest
)

// Change is one node's change of state.
type Change struct {
	At       time.Duration
	Name     string
	From, To State
	New      bool   // it was not known before
	Why      string // the evidence
}

// History is what is kept. It belongs to one goroutine.
type History struct {
	list []Change // oldest first
	last map[string]State
}

// NewHistory returns an empty one.
func NewHistory() *History { return &History{last: map[string]State{}} }

// Note takes a view and keeps what changed since the last one. A node that is still
// unproven has not changed: nobody spoke for it yet.
func (h *History) Record(now time.Duration, v *View) {
	seen := make(map[string]bool, len(v.Nodes))
	for i := range v.Nodes {
		n := &v.Nodes[i]
		seen[n.Name] = true
		was, known := h.last[n.Name]
		if known && was == n.State || n.Unproven && !known {
			continue
		}
		h.last[n.Name] = n.State
		h.add(Change{At: now, Name: n.Name, From: was, To: n.State, New: !known, Why: n.Why})
	}
	for name := range h.last {
		if !seen[name] { // forgotten
			delete(h.last, name)
		}
	}
	cut := 0
	for cut < len(h.list) && now-h.list[cut].At > historyFor {
		cut++
	}
	h.list = slices.Delete(h.list, 0, cut)
}

func (h *History) add(c Change) {
	n, oldest := 0, -1
	for i := range h.list {
		if h.list[i].Name == c.Name {
			if n++; oldest < 0 {
				oldest = i
			}
		}
	}
	switch {
	case n >= historyNode:
		h.list = slices.Delete(h.list, oldest, oldest+1)
	case len(h.list) >= historyMost:
		h.list = slices.Delete(h.list, 0, 1)
	}
	h.list = append(h.list, c)
}

// List tells the changes, oldest first.
func (h *History) List() []Change { return slices.Clone(h.list) }

// Restore takes up what an earlier life of the service kept; shift brings its times to
// this clock. What is not in order, or of no state that there is, is left out.
func (h *History) Restore(list []Change, shift time.Duration) {
	for _, c := range list[max(len(list)-historyMost, 0):] {
		c.At += shift
		if c.To > Gone || c.From > Gone || len(h.list) > 0 && c.At < h.list[len(h.list)-1].At {
			continue
		}
		h.list = append(h.list, c)
		h.last[c.Name] = c.To
	}
}
