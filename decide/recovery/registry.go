package recovery

import "slices"

// Witness keeps, for a control service, what nodes last said of their stores, so
// that a node that comes back can be told what was heard of its name. It belongs to
// one goroutine.
type IncarnationRegistry struct {
	nodes map[string]*storeHistory
}

// lives are what was heard under a name.
type storeHistory struct {
	Stores      []PreviousStore `json:"all"`    // by store, the highest that was heard of each, the latest last
	Previous    PreviousStore   `json:"before"` // the life before it, as of its end
	Incarnation uint64          `json:"inc"`    // of the present life
	HasPrevious bool            `json:"had"`    // there was one before
}

// note takes what is said of a store. One that says less than was heard of it is an
// older copy: it takes nothing back, and does not count as the latest that was heard.
func (l *storeHistory) observe(h PreviousStore) {
	if i := slices.IndexFunc(l.Stores, func(o PreviousStore) bool { return o.ID == h.ID }); i >= 0 {
		if was := l.Stores[i]; h.Epoch < was.Epoch || h.Checkpoint < was.Checkpoint || h == was {
			return
		}
		l.Stores = slices.Delete(l.Stores, i, i+1)
	}
	l.Stores = append(l.Stores, h)
	if len(l.Stores) > maxStoresPerNode {
		l.Stores = slices.Delete(l.Stores, 0, len(l.Stores)-maxStoresPerNode)
	}
}

const (
	maxRegisteredNodes = 20_000
	maxStoresPerNode   = 8 // of a name whose last word is kept
)

// NewWitness returns a witness that has heard nothing.
func NewIncarnationRegistry() *IncarnationRegistry {
	return &IncarnationRegistry{nodes: map[string]*storeHistory{}}
}

// Said takes a node's word and returns what was heard of an earlier life, nil if
// nothing was. An older incarnation changes nothing.
func (w *IncarnationRegistry) Observe(name string, inc uint64, h PreviousStore) *PreviousStore {
	l := w.nodes[name]
	switch {
	case h.ID == "" || len(h.ID) > 64:
		return nil
	case l == nil && len(w.nodes) >= maxRegisteredNodes:
		return nil
	case l == nil:
		l = &storeHistory{Incarnation: inc}
		w.nodes[name] = l
		l.observe(h)
	case inc > l.Incarnation:
		l.Previous, l.Incarnation, l.HasPrevious = l.Stores[len(l.Stores)-1], inc, true
		l.observe(h)
	case inc == l.Incarnation:
		l.observe(h)
	}
	if inc != l.Incarnation || !l.HasPrevious {
		return nil
	}
	out := l.Previous
	return &out
}

// Saved is a witness as stored.
type SavedRegistry struct {
	Names map[string]storeHistory `json:"names"`
}

// Save is what to store.
func (w *IncarnationRegistry) Save() SavedRegistry {
	s := SavedRegistry{Names: make(map[string]storeHistory, len(w.nodes))}
	for name, l := range w.nodes {
		c := *l
		c.Stores = slices.Clone(l.Stores)
		s.Names[name] = c
	}
	return s
}

// Restore takes up what was stored.
func (w *IncarnationRegistry) Restore(s SavedRegistry) {
	for name, l := range s.Names {
		if len(w.nodes) < maxRegisteredNodes && len(l.Stores) > 0 && len(l.Stores) <= maxStoresPerNode {
			w.nodes[name] = &l
		}
	}
}
