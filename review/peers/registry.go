package peers

import "sync"

// Registry is what the platform knows of each try: that it was sent to this machine, and whether it is over, that
// is answered or given up. The worker pool asks it, as the protocol page has it: it starts nothing for a request
// that is over, and ends a run that stands at a call once its request is over.
type Registry struct {
	mu    sync.Mutex
	tries map[string]*try
}

type try struct {
	class, body string
	over        bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{tries: map[string]*try{}} }

// Sent registers a try that is about to be written to a node.
func (g *Registry) Sent(id, class, body string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tries[id] == nil {
		g.tries[id] = &try{class: class, body: body}
	}
}

// Over notes that a try was answered or given up.
func (g *Registry) Over(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.tries[id]; t != nil {
		t.over = true
	}
}

// IsOver reports whether a try is over.
func (g *Registry) IsOver(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.tries[id]
	return t != nil && t.over
}

// matches reports whether a try with this id, class and body came to this machine.
func (g *Registry) matches(id, class, body string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.tries[id]
	return t != nil && t.class == class && t.body == body
}
