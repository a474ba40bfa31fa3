package recovery

import "slices"

// Witness keeps, for a control service, what nodes last said of their stores, so
// that a node that comes back can be told what was heard of its name. It belongs to
// one goroutine.
type IncarnationRegistry struct {
	names map[string]*lives
}

// lives are what was heard under a name.
type lives struct {
	All    []PreviousStore `json:"all"`    // by store, the highest that was heard of each, the latest last
	Before PreviousStore   `json:"before"` // the life before it, as of its end
	Inc    uint64          `json:"inc"`    // of the present life
	Had    bool            `json:"had"`    // there was one before
}

// note takes what is said of a store. One that says less than was heard of it is an
// older copy: it takes nothing back, and does not count as the latest that was heard.
func (l *lives) note(h PreviousStore) {
	if i := slices.IndexFunc(l.All, func(o PreviousStore) bool { return o.ID == h.ID }); i >= 0 {
		if was := l.All[i]; h.Epoch < was.Epoch || h.Checkpoint < was.Checkpoint || h == was {
			return
		}
		l.All = slices.Delete(l.All, i, i+1)
	}
	l.All = append(l.All, h)
	if len(l.All) > mostStores {
		l.All = slices.Delete(l.All, 0, len(l.All)-mostStores)
	}
}

const (
	mostNames  = 20_000
	mostStores = 8 // of a name whose last word is kept
)

// NewWitness returns a witness that has heard nothing.
func NewIncarnationRegistry() *IncarnationRegistry {
	return &IncarnationRegistry{names: map[string]*lives{}}
}

// Said takes a node's word and returns what was heard of an earlier life, nil if
// nothing was. An older incarnation changes nothing.
func (w *IncarnationRegistry) Observe(name string, inc uint64, h PreviousStore) *PreviousStore {
	l := w.names[name]
	switch {
	case h.ID == "" || len(h.ID) > 64:
		return nil
	case l == nil && len(w.names) >= mostNames:
		return nil
	case l == nil:
		l = &lives{Inc: inc}
		w.names[name] = l
		l.note(h)
	case inc > l.Inc:
		l.Before, l.Inc, l.Had = l.All[len(l.All)-1], inc, true
		l.note(h)
	case inc == l.Inc:
		l.note(h)
	}
	if inc != l.Inc || !l.Had {
		return nil
	}
	out := l.Before
	return &out
}

// Saved is a witness as stored.
type SavedRegistry struct {
	Names map[string]lives `json:"names"`
}

// Save is what to store.
func (w *IncarnationRegistry) Save() SavedRegistry {
	s := SavedRegistry{Names: make(map[string]lives, len(w.names))}
	for name, l := range w.names {
		c := *l
		c.All = slices.Clone(l.All)
		s.Names[name] = c
	}
	return s
}

// Restore takes up what was stored.
func (w *IncarnationRegistry) Restore(s SavedRegistry) {
	for name, l := range s.Names {
		if len(w.names) < mostNames && len(l.All) > 0 && len(l.All) <= mostStores {
			w.names[name] = &l
		}
	}
}
