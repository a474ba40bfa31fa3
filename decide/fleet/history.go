package fleet

import (
	"slices"
	"time"
)

const (
	historyTime       = 24 * time.Hour
	maxHistory        = 4096 // changes; the oldest are dropped beyond
	maxHistoryPerNode = 64   // changes, so that a flapping node does not displace the others
)

// Change is a change of a node's state. It is stored as JSON: the names of its fields, or their
// tags, are the stored names.
type Change struct {
	At       time.Duration
	Name     string
	From, To State
	New      bool   // the node was unknown before
	Reason   string `json:"Why"` // of the new state
}

// History holds the changes of the nodes' states of the last 24 hours, within limits. It
// belongs to one goroutine.
type History struct {
	changes   []Change // oldest first
	lastState map[string]State
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{lastState: map[string]State{}} }

// Record adds the differences between v and the last recorded view. Nodes that are unconfirmed
// and unknown are skipped, since they have not reported yet.
func (h *History) Record(now time.Duration, v *View) {
	present := make(map[string]bool, len(v.Nodes))
	for i := range v.Nodes {
		n := &v.Nodes[i]
		present[n.Name] = true
		previous, known := h.lastState[n.Name]
		if known && previous == n.State || n.Unconfirmed && !known {
			continue
		}
		h.lastState[n.Name] = n.State
		h.add(Change{At: now, Name: n.Name, From: previous, To: n.State, New: !known, Reason: n.Reason})
	}
	for name := range h.lastState {
		if !present[name] {
			delete(h.lastState, name)
		}
	}
	expired := 0
	for expired < len(h.changes) && now-h.changes[expired].At > historyTime {
		expired++
	}
	h.changes = slices.Delete(h.changes, 0, expired)
}

// add appends a change and drops an old one where a limit is reached.
func (h *History) add(c Change) {
	n, oldest := 0, -1
	for i := range h.changes {
		if h.changes[i].Name == c.Name {
			if n++; oldest < 0 {
				oldest = i
			}
		}
	}
	switch {
	case n >= maxHistoryPerNode:
		h.changes = slices.Delete(h.changes, oldest, oldest+1)
	case len(h.changes) >= maxHistory:
		h.changes = slices.Delete(h.changes, 0, 1)
	}
	h.changes = append(h.changes, c)
}

// List returns the changes, oldest first.
func (h *History) List() []Change { return slices.Clone(h.changes) }

// Restore adds the changes that a previous run of the service saved; shift converts their
// times to the current clock. Changes that are out of order or have an unknown state are
// skipped.
func (h *History) Restore(changes []Change, shift time.Duration) {
	for _, c := range changes[max(len(changes)-maxHistory, 0):] {
		c.At += shift
		if c.To > Gone || c.From > Gone || len(h.changes) > 0 && c.At < h.changes[len(h.changes)-1].At {
			continue
		}
		h.changes = append(h.changes, c)
		h.lastState[c.Name] = c.To
	}
}
