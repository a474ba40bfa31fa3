package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Saved is the state that a restart of the service restores. It is stored as JSON: the names of
// its fields, or their tags, are the stored names.
type Saved struct {
	Format  int
	Version uint64
	Nodes   []SavedNode
}

// SavedNode is one node in Saved.
type SavedNode struct {
	Report                     // the last one
	ReportAge    time.Duration `json:"Heard"` // age of the report when it was saved
	State        State
	Weight       float64
	Penalty      float64
	Incarnations []uint64 `json:"Seen"` // known incarnations, sorted
}

// savedFormat is the format version of Saved.
const savedFormat = 1

// Save returns the state to restore after a restart of the service.
func (f *Fleet) Save(now time.Duration) Saved {
	s := Saved{Format: savedFormat, Version: f.view.Version}
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		n := f.nodes[name]
		s.Nodes = append(s.Nodes, SavedNode{
			Report: n.lastReport, ReportAge: now - n.reportedAt, State: n.state, Weight: n.weight,
			Penalty: n.currentPenalty(now), Incarnations: slices.Sorted(maps.Keys(n.incarnations)),
		})
	}
	return s
}

// Restore returns a fleet with the state that a previous run of the service saved. Every
// node but those that were Gone counts as having reported just now, but as unconfirmed: none is
// removed before restartGrace has passed. If the format is unknown, Restore returns an empty
// fleet and an error.
func Restore(now time.Duration, saved Saved) (*Fleet, error) {
	f := New(now)
	if saved.Format != savedFormat {
		return f, fmt.Errorf("restore fleet: saved state has format %d, only format %d is supported", saved.Format, savedFormat)
	}
	f.view.Version = saved.Version + 1 // the version published last may not have been saved
	for _, s := range saved.Nodes {
		if s.Name == "" || len(f.nodes) >= maxNodes || s.State > Gone {
			continue
		}
		n := &node{
			lastReport: s.Report, reportedAt: now, incarnations: map[uint64]bool{},
			flips: map[uint64]uint64{s.Incarnation: s.Flips}, proxyErrors: map[string]*errorCounts{},
			state: s.State, stateBeforeSilence: s.State, since: now,
			penaltyAt: now, penalty: min(max(s.Penalty, 0), maxPenalty),
			weight: max(s.Weight, 0), running: s.Running, currentIncarnation: s.Incarnation, unconfirmed: true,
		}
		if s.State == Gone {
			n.reportedAt = now - goneAfter
		} else {
			f.restoredNodes++
		}
		for _, i := range s.Incarnations[:min(len(s.Incarnations), maxIncarnations)] {
			n.incarnations[i] = true
		}
		f.nodes[s.Name] = n
	}
	return f, nil
}
