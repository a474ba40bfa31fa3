package fleet

import (
	"fmt"
	"testing"
	"time"
)

func viewOf(states map[string]State) *View {
	v := &View{}
	for name, s := range states {
		v.Nodes = append(v.Nodes, Node{Name: name, State: s, Why: "because"})
	}
	return v
}

// Changes are kept with their evidence, once each, for a day, and outlive the service;
// one node that flaps does not push out the rest.
func TestHistory(t *testing.T) {
	h := NewHistory()
	h.Record(1, viewOf(map[string]State{"a": Healthy}))
	h.Record(2, viewOf(map[string]State{"a": Healthy}))
	h.Record(3, viewOf(map[string]State{"a": Silent}))
	if l := h.List(); len(l) != 2 || !l[0].New || l[1].From != Healthy || l[1].To != Silent || l[1].Why != "because" {
		t.Fatalf("%+v", l)
	}
	for i := range 500 {
		h.Record(time.Duration(10+i), viewOf(map[string]State{"a": Silent, "b": State(i % 2)}))
	}
	if l := h.List(); len(l) != 2+historyNode || l[1].Name != "a" {
		t.Errorf("%d changes are kept, a flapping node's among them", len(l))
	}
	again := NewHistory()
	again.Restore(h.List(), -time.Hour)
	again.Record(5, viewOf(map[string]State{"a": Silent, "b": State(1)})) // nothing changed meanwhile
	if l := again.List(); len(l) != 2+historyNode || l[0].At > 0 {
		t.Errorf("after a restart %d changes, the first at %v", len(l), l[0].At)
	}
	again.Record(25*time.Hour, viewOf(map[string]State{"a": Gone}))
	if l := again.List(); len(l) != 1 || l[0].To != Gone {
		t.Errorf("a day later %d are kept", len(l))
	}
	for i := range 2 * historyMost {
		again.Record(26*time.Hour, viewOf(map[string]State{fmt.Sprint(i): Healthy}))
	}
	if len(again.List()) > historyMost || len(again.last) > 1 {
		t.Errorf("%d changes, %d names are kept", len(again.List()), len(again.last))
	}
	wrong := NewHistory()
	wrong.Restore([]Change{{At: 5, Name: "x", To: 99}, {At: 5, Name: "y"}, {At: 4, Name: "z"}}, 0)
	if len(wrong.List()) != 1 {
		t.Errorf("taken up: %+v", wrong.List())
	}
}
