package recovery

import "slices"

// IncarnationRegistry holds, for a control service, what nodes last reported about their stores.
// A restarted node gets from it what its previous incarnation reported.
type IncarnationRegistry struct {
	nodes map[string]*storeHistory
}

// storeHistory is what was reported under one node name.
type storeHistory struct {
	Stores      []PreviousStore `json:"all"`    // the highest report of each store, the latest last
	Previous    PreviousStore   `json:"before"` // of the previous incarnation, as of its last report
	Incarnation uint64          `json:"inc"`    // the current one
	HasPrevious bool            `json:"had"`    // whether Previous is set
}

// observe takes a report about a store. A report below the highest one of the same store comes
// from an older copy: it changes nothing, and does not count as the latest.
func (s *storeHistory) observe(store PreviousStore) {
	if i := slices.IndexFunc(s.Stores, func(known PreviousStore) bool { return known.ID == store.ID }); i >= 0 {
		if known := s.Stores[i]; store.Epoch < known.Epoch || store.Checkpoint < known.Checkpoint ||
			store == known {
			return
		}
		s.Stores = slices.Delete(s.Stores, i, i+1)
	}
	s.Stores = append(s.Stores, store)
	if len(s.Stores) > maxStoresPerNode {
		s.Stores = slices.Delete(s.Stores, 0, len(s.Stores)-maxStoresPerNode)
	}
}

const (
	maxRegisteredNodes = 20_000
	maxStoresPerNode   = 8 // of one node name
)

// NewIncarnationRegistry returns an empty registry.
func NewIncarnationRegistry() *IncarnationRegistry {
	return &IncarnationRegistry{nodes: map[string]*storeHistory{}}
}

// Observe takes a node's report and returns what its previous incarnation last reported, nil if
// none did. A report of an older incarnation changes nothing.
func (r *IncarnationRegistry) Observe(name string, incarnation uint64, store PreviousStore) *PreviousStore {
	history := r.nodes[name]
	switch {
	case store.ID == "" || len(store.ID) > 64:
		return nil
	case history == nil && len(r.nodes) >= maxRegisteredNodes:
		return nil
	case history == nil:
		history = &storeHistory{Incarnation: incarnation}
		r.nodes[name] = history
		history.observe(store)
	case incarnation > history.Incarnation:
		history.Previous, history.Incarnation, history.HasPrevious = history.Stores[len(history.Stores)-1], incarnation, true
		history.observe(store)
	case incarnation == history.Incarnation:
		history.observe(store)
	}
	if incarnation != history.Incarnation || !history.HasPrevious {
		return nil
	}
	out := history.Previous
	return &out
}

// SavedRegistry is the stored form of an IncarnationRegistry.
type SavedRegistry struct {
	Names map[string]storeHistory `json:"names"`
}

// Save returns a copy of the registry to store.
func (r *IncarnationRegistry) Save() SavedRegistry {
	saved := SavedRegistry{Names: make(map[string]storeHistory, len(r.nodes))}
	for name, history := range r.nodes {
		copied := *history
		copied.Stores = slices.Clone(history.Stores)
		saved.Names[name] = copied
	}
	return saved
}

// Restore adds what was stored; entries that exceed a limit are skipped.
func (r *IncarnationRegistry) Restore(saved SavedRegistry) {
	for name, history := range saved.Names {
		if len(r.nodes) < maxRegisteredNodes && len(history.Stores) > 0 &&
			len(history.Stores) <= maxStoresPerNode {
			r.nodes[name] = &history
		}
	}
}
