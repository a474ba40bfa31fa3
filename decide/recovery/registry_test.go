package recovery

import (
	"fmt"
	"testing"
)

// Reports that arrive out of order or come from an older incarnation do not change what the registry
// returns, it survives a restart of the service, and the number of names is bounded.
func TestIncarnationRegistry(t *testing.T) {
	registry := NewIncarnationRegistry()
	if registry.Observe("n", 5, PreviousStore{ID: "a", Epoch: 1, Checkpoint: 1}) != nil {
		t.Error("a previous store is returned for a name without reports")
	}
	registry.Observe("n", 5, PreviousStore{ID: "a", Epoch: 1, Checkpoint: 8})
	registry.Observe("n", 5, PreviousStore{ID: "a", Epoch: 1, Checkpoint: 3}) // out of order
	registry.Observe("n", 4, PreviousStore{ID: "z", Epoch: 9})                // of an older incarnation
	for range 2 {
		previous := registry.Observe("n", 6, PreviousStore{ID: "a", Epoch: 2, Checkpoint: 8})
		if previous == nil || *previous != (PreviousStore{ID: "a", Epoch: 1, Checkpoint: 8}) {
			t.Errorf("previous store is %v", previous)
		}
	}
	restored := NewIncarnationRegistry()
	restored.Restore(registry.Save())
	previous := restored.Observe("n", 7, PreviousStore{ID: "b", Epoch: 1})
	if previous == nil || previous.ID != "a" || previous.Epoch != 2 {
		t.Errorf("after a restart of the service: %v", previous)
	}
	for i := range maxRegisteredNodes + 10 {
		restored.Observe(fmt.Sprint(i), 1, PreviousStore{ID: "x"})
	}
	if len(restored.nodes) > maxRegisteredNodes || restored.Observe("one more", 1, PreviousStore{ID: "x"}) != nil {
		t.Errorf("%d names are registered", len(restored.nodes))
	}
}
