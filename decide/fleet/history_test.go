package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// viewOf returns a view with one node for each name.
func viewOf(states map[string]State) *View {
	v := &View{}
	for name, s := range states {
		v.Nodes = append(v.Nodes, Node{Name: name, State: s, Reason: "because"})
	}
	return v
}

// Each change is stored once, with its reason, for 24 hours, and survives a restart of the
// service. A flapping node does not displace the changes of other nodes.
func TestHistory(t *testing.T) {
	h := NewHistory()
	h.Record(1, viewOf(map[string]State{"a": Healthy}))
	h.Record(2, viewOf(map[string]State{"a": Healthy}))
	h.Record(3, viewOf(map[string]State{"a": Silent}))
	if l := h.List(); len(l) != 2 || !l[0].New || l[1].From != Healthy || l[1].To != Silent || l[1].Reason != "because" {
		t.Fatalf("%+v", l)
	}
	for i := range 500 {
		h.Record(time.Duration(10+i), viewOf(map[string]State{"a": Silent, "b": State(i % 2)}))
	}
	if l := h.List(); len(l) != 2+maxHistoryPerNode || l[1].Name != "a" {
		t.Errorf("%d changes stored with a flapping node", len(l))
	}
	restored := NewHistory()
	restored.Restore(h.List(), -time.Hour)
	restored.Record(5, viewOf(map[string]State{"a": Silent, "b": State(1)})) // no change since
	if l := restored.List(); len(l) != 2+maxHistoryPerNode || l[0].At > 0 {
		t.Errorf("after a restart: %d changes, the first at %v", len(l), l[0].At)
	}
	restored.Record(25*time.Hour, viewOf(map[string]State{"a": Gone}))
	if l := restored.List(); len(l) != 1 || l[0].To != Gone {
		t.Errorf("%d changes stored a day later", len(l))
	}
	for i := range 2 * maxHistory {
		restored.Record(26*time.Hour, viewOf(map[string]State{fmt.Sprint(i): Healthy}))
	}
	if len(restored.List()) > maxHistory || len(restored.lastState) > 1 {
		t.Errorf("%d changes and %d names stored", len(restored.List()), len(restored.lastState))
	}
	invalid := NewHistory()
	invalid.Restore([]Change{{At: 5, Name: "x", To: 99}, {At: 5, Name: "y"}, {At: 4, Name: "z"}}, 0)
	if len(invalid.List()) != 1 {
		t.Errorf("invalid changes restored: %+v", invalid.List())
	}
}

// The state stored by earlier releases must still be read, so the JSON names of its fields are fixed.
func TestStoredNames(t *testing.T) {
	for want, value := range map[string]any{
		`{"At":1,"Name":"n","From":0,"To":1,"New":true,"Why":"w"}`: Change{At: 1, Name: "n", To: Warming, New: true, Reason: "w"},
		`{"Format":1,"Version":2,"Nodes":[{"Name":"n","Addr":"","Zone":"","Incarnation":3,"Seq":4,"Phase":0,` +
			`"Healthy":true,"Warm":1,"DrainLeft":0,"Running":0,"Limit":8,"Pressure":0,"Refused":0,"Flips":5,` +
			`"Plain":false,"Heard":6,"State":1,"Weight":7,"Penalty":0.5,"Seen":[2,3]}]}`: Saved{
			Format: 1, Version: 2, Nodes: []SavedNode{{
				Report:    Report{Name: "n", Incarnation: 3, Seq: 4, Healthy: true, Warm: 1, Limit: 8, Flips: 5},
				ReportAge: 6, State: Warming, Weight: 7, Penalty: 0.5, Incarnations: []uint64{2, 3},
			}},
		},
	} {
		if got, err := json.Marshal(value); err != nil || string(got) != want {
			t.Errorf("stored as %s (%v), want %s", got, err, want)
		}
	}
}
