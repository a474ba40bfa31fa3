package recovery

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinmast/rules"
)

const processStart = 5 * time.Second // on the clock of the node's event loop

// completeStore returns what a start finds in a store without losses.
func completeStore() FoundState {
	return FoundState{
		Identity: Identity{ID: "a", Node: "n1", Epoch: 4}, Node: "n1", Keys: 100,
		Checkpoint: Checkpoint{N: 9, Keys: 100}, CompleteSince: math.MinInt64,
	}
}

// The integrity of the store follows from what a start finds in it and from what control services and
// the worker pool report of earlier incarnations.
func TestIntegrity(t *testing.T) {
	empty := FoundState{Identity: Identity{ID: "b", Node: "n1", Epoch: 1}, Created: true, CompleteSince: math.MinInt64}
	for _, c := range []struct {
		name         string
		found        func() FoundState
		previous     *PreviousStore // nil = no report
		noneReported bool           // a control service reported that there was no earlier incarnation
		noServices   bool           // no control service can be asked
		pool         time.Duration
		want         Integrity
	}{
		{name: "complete", found: completeStore, previous: &PreviousStore{ID: "a", Epoch: 3, Checkpoint: 9}, want: Intact},
		{name: "incarnations that were not reported", found: completeStore, previous: &PreviousStore{ID: "a", Epoch: 1, Checkpoint: 2}, want: Intact},
		{name: "no report yet of a complete store", found: completeStore, want: Unverified},
		{name: "none reported of a complete store", found: completeStore, noneReported: true, want: Intact},
		{name: "no control service", found: completeStore, noServices: true, want: Intact},
		{name: "first start", found: func() FoundState { return empty }, noneReported: true, want: Intact},
		{name: "no report yet", found: func() FoundState { return empty }, want: Unverified},
		{name: "emptied", found: func() FoundState { return empty }, previous: &PreviousStore{ID: "a", Epoch: 3}, want: Incomplete},
		{name: "emptied, older worker pool", found: func() FoundState { return empty }, pool: -time.Minute, want: Incomplete},
		{name: "another store", found: completeStore, previous: &PreviousStore{ID: "c", Epoch: 1}, want: Incomplete},
		{name: "older copy, by epoch", found: completeStore, previous: &PreviousStore{ID: "a", Epoch: 4}, want: Incomplete},
		{name: "older copy, by checkpoint", found: completeStore, previous: &PreviousStore{ID: "a", Epoch: 3, Checkpoint: 10}, want: Incomplete},
		{name: "store of another node", found: func() FoundState { f := completeStore(); f.Node = "n2"; return f }, want: Incomplete},
		{name: "half of the keys", found: func() FoundState { f := completeStore(); f.Keys = 50; return f }, want: Incomplete},
		{name: "unreadable places", found: func() FoundState { f := completeStore(); f.UnreadablePlaces = 1; return f }, want: Incomplete},
		{
			name: "a few keys fewer", found: func() FoundState { f := completeStore(); f.Keys = 90; return f },
			previous: &PreviousStore{ID: "a", Epoch: 3, Checkpoint: 9}, want: Intact,
		},
	} {
		services := 1
		if c.noServices {
			services = 0
		}
		check := NewStoreCheck(processStart, c.found(), services)
		if c.pool != 0 {
			check.WorkerPoolUp(c.pool)
		}
		if c.previous != nil || c.noneReported {
			check.ObservePrevious(processStart+time.Second/2, c.previous)
		}
		if integrity, why := check.Integrity(processStart + time.Second); integrity != c.want {
			t.Errorf("%s: %v (%s), want %v", c.name, integrity, why, c.want)
		}
	}
}

// After a loss, requests that an earlier incarnation may have run are in doubt, until no first try from
// before the start can be repeated any more.
func TestInDoubt(t *testing.T) {
	found := completeStore()
	found.UnreadablePlaces = 1
	const window = 10 * time.Second
	for _, c := range []struct {
		name   string
		effect rules.Effect
		repeat bool
		at     time.Duration // arrival at the machine, after the start
		want   bool
	}{
		{"a repeat", rules.Keyed, true, time.Second, true},
		{"a first try", rules.Keyed, false, time.Second, false},
		{"a first try from before", rules.Keyed, false, -time.Second, true},
		{"a repeat after the window", rules.Keyed, true, window, false},
		{"just within", rules.Keyed, true, window - 1, true},
		{"a read", rules.Safe, true, time.Second, false},
		{"unsafe", rules.Unsafe, true, time.Second, true},
	} {
		check := NewStoreCheck(processStart, found, 1)
		const age = 50 * time.Millisecond
		if got := check.MayHaveRun(processStart+c.at+age, c.effect, window, 1, c.repeat, age); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	check := NewStoreCheck(processStart, found, 1)
	check.MayHaveRun(processStart+1, rules.Keyed, window, 7, false, 0)
	if check.MayHaveRun(processStart+2, rules.Keyed, window, 7, true, 0) {
		t.Error("a repeat whose first try reached this incarnation is in doubt")
	}
	if !check.MayHaveRun(processStart+2, rules.Keyed, window, 8, true, 0) || check.InDoubt != 1 {
		t.Error("a repeat of another key is not in doubt, or not counted")
	}
	// The next incarnation holds the same requests in doubt, though its own store is complete.
	found = completeStore()
	found.CompleteSince = processStart - 2*time.Second
	check = NewStoreCheck(processStart, found, 1)
	check.ObservePrevious(processStart+1, &PreviousStore{ID: "a", Epoch: 3, Checkpoint: 9})
	if !check.MayHaveRun(processStart+time.Second, rules.Keyed, window, 0, true, 0) ||
		check.MayHaveRun(processStart+window-time.Second, rules.Keyed, window, 0, true, 0) {
		t.Error("requests are in doubt for less or more than the window of the previous incarnation")
	}
	// Unverified ends even without a report. A store that was there may be an older copy.
	for name, found := range map[string]FoundState{
		"new":      {Identity: Identity{ID: "b", Epoch: 1}, Created: true, CompleteSince: math.MinInt64},
		"existing": completeStore(),
	} {
		check = NewStoreCheck(processStart, found, 1)
		if !check.MayHaveRun(processStart+1, rules.Keyed, window, 0, true, 0) ||
			check.MayHaveRun(processStart+previousStoreWait, rules.Keyed, window, 0, true, 0) {
			t.Errorf("%s store: without a report requests are not in doubt, or still are after the wait", name)
		}
	}
}

// No key runs twice within its window, even if the node's results directory is lost or replaced by an
// older copy between incarnations. The model runs each key unless it has a record or is in doubt; the
// registry of the control service is kept throughout.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		type disk struct {
			id         Identity
			checkpoint Checkpoint
			keys       map[uint64]time.Duration
		}
		clone := func(d disk) disk {
			c := disk{d.id, d.checkpoint, map[uint64]time.Duration{}}
			for k, v := range d.keys {
				c.keys[k] = v
			}
			return c
		}
		registry, stores := NewIncarnationRegistry(), 0
		var now disk
		var copies []disk
		ran := map[uint64]time.Duration{} // when each key last ran
		at := time.Duration(0)
		for incarnation := uint64(1); incarnation <= 6; incarnation++ {
			found := FoundState{CompleteSince: math.MinInt64}
			if now.id.ID == "" {
				stores++
				now = disk{id: Identity{ID: fmt.Sprint(stores), Node: "n"}, keys: map[uint64]time.Duration{}}
				found.Created = true
			} else {
				found.Node, found.Checkpoint, found.Keys = "n", now.checkpoint, len(now.keys)
			}
			now.id.Epoch++
			found.Identity = now.id
			if now.id.CompleteSince != 0 {
				found.CompleteSince = time.Duration(now.id.CompleteSince)
			}
			check := NewStoreCheck(at, found, 1)
			previous := registry.Observe("n", incarnation, PreviousStore{
				ID: now.id.ID, Epoch: now.id.Epoch, Checkpoint: now.checkpoint.N,
			})
			check.ObservePrevious(at, previous)
			if s := check.CompleteSince(); s != found.CompleteSince {
				now.id.CompleteSince = int64(s)
				stores++
				now.id.ID = fmt.Sprint(stores)
			}
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				at += time.Duration(rapid.IntRange(1, 1000).Draw(t, "dt")) * time.Millisecond
				key := rapid.Uint64Range(1, 12).Draw(t, "key")
				first, ranBefore := ran[key]
				repeat := ranBefore && at-first < window
				if recordedAt, known := now.keys[key]; known && at-recordedAt < window {
					continue // answered from the record
				}
				if check.MayHaveRun(at, rules.Keyed, window, key, repeat, 0) {
					continue // failed
				}
				if repeat {
					t.Fatalf("key %d ran at %v and again at %v in incarnation %d: store is %v",
						key, first, at, incarnation, check.integrity)
				}
				ran[key], now.keys[key] = at, at
				now.checkpoint = Checkpoint{now.checkpoint.N + 1, len(now.keys)}
				registry.Observe("n", incarnation, PreviousStore{
					ID: now.id.ID, Epoch: now.id.Epoch, Checkpoint: now.checkpoint.N,
				})
				if rapid.IntRange(0, 3).Draw(t, "copy") == 0 {
					copies = append(copies, clone(now))
				}
			}
			switch rapid.SampledFrom([]string{"keep", "empty", "old"}).Draw(t, "directory") {
			case "empty":
				now = disk{}
			case "old":
				if len(copies) > 0 {
					now = clone(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "which")])
				}
			}
			at += time.Duration(rapid.IntRange(1, 3000).Draw(t, "away")) * time.Millisecond
		}
	})
}
