package recovery

import (
	"fmt"
	"testing"
)

// Reports out of order, of dead lives, or of strangers change nothing of what is told.
func TestIncarnationRegistry(t *testing.T) {
	w := NewIncarnationRegistry()
	if w.Observe("n", 5, PreviousStore{ID: "a", Epoch: 1, Checkpoint: 1}) != nil {
		t.Error("something was heard of a name that said nothing before")
	}
	w.Observe("n", 5, PreviousStore{ID: "a", Epoch: 1, Checkpoint: 8})
	w.Observe("n", 5, PreviousStore{ID: "a", Epoch: 1, Checkpoint: 3}) // overtaken
	w.Observe("n", 4, PreviousStore{ID: "z", Epoch: 9})                // of a dead life
	for range 2 {
		if h := w.Observe("n", 6, PreviousStore{ID: "a", Epoch: 2, Checkpoint: 8}); h == nil || *h != (PreviousStore{ID: "a", Epoch: 1, Checkpoint: 8}) {
			t.Errorf("heard %v", h)
		}
	}
	again := NewIncarnationRegistry()
	again.Restore(w.Save())
	if h := again.Observe("n", 7, PreviousStore{ID: "b", Epoch: 1}); h == nil || h.ID != "a" || h.Epoch != 2 {
		t.Errorf("after a restart of the service: %v", h)
	}
	for i := range maxRegisteredNodes + 10 {
		again.Observe(fmt.Sprint(i), 1, PreviousStore{ID: "x"})
	}
	if len(again.nodes) > maxRegisteredNodes || again.Observe("one more", 1, PreviousStore{ID: "x"}) != nil {
		t.Errorf("%d names are held", len(again.nodes))
	}
}
