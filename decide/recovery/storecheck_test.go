package recovery

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinmast/rules"
)

const processStart = 5 * time.Second // of the process, on the loop's clock

func completeStore() FoundState {
	return FoundState{Identity: Identity{ID: "a", Node: "n1", Epoch: 4}, Node: "n1", Keys: 100, Checkpoint: Checkpoint{N: 9, Keys: 100}, CompleteSince: math.MinInt64}
}

// What a start finds and what it then hears, and how the memory stands for it.
func TestIntegrity(t *testing.T) {
	empty := FoundState{Identity: Identity{ID: "b", Node: "n1", Epoch: 1}, Created: true, CompleteSince: math.MinInt64}
	for _, c := range []struct {
		name  string
		found func() FoundState
		heard *PreviousStore // nil = nothing was said
		none  bool           // it was said that there was no earlier life
		pool  time.Duration
		want  Integrity
	}{
		{name: "all there", found: completeStore, heard: &PreviousStore{ID: "a", Epoch: 3, Checkpoint: 9}, want: Intact},
		{name: "lives that were not heard", found: completeStore, heard: &PreviousStore{ID: "a", Epoch: 1, Checkpoint: 2}, want: Intact},
		{name: "nobody to ask", found: completeStore, want: Intact},
		{name: "first start", found: func() FoundState { return empty }, none: true, want: Intact},
		{name: "not heard yet", found: func() FoundState { return empty }, want: Unverified},
		{name: "emptied", found: func() FoundState { return empty }, heard: &PreviousStore{ID: "a", Epoch: 3}, want: Incomplete},
		{name: "emptied, an old pool", found: func() FoundState { return empty }, pool: -time.Minute, want: Incomplete},
		{name: "another store", found: completeStore, heard: &PreviousStore{ID: "c", Epoch: 1}, want: Incomplete},
		{name: "yesterday's copy, by lives", found: completeStore, heard: &PreviousStore{ID: "a", Epoch: 4}, want: Incomplete},
		{name: "yesterday's copy, by marks", found: completeStore, heard: &PreviousStore{ID: "a", Epoch: 3, Checkpoint: 10}, want: Incomplete},
		{name: "another node's", found: func() FoundState { f := completeStore(); f.Node = "n2"; return f }, want: Incomplete},
		{name: "half of it", found: func() FoundState { f := completeStore(); f.Keys = 50; return f }, want: Incomplete},
		{name: "holes", found: func() FoundState { f := completeStore(); f.UnreadablePlaces = 1; return f }, want: Incomplete},
		{name: "a few keys fewer", found: func() FoundState { f := completeStore(); f.Keys = 90; return f }, want: Intact},
	} {
		d := NewStoreCheck(processStart, c.found(), 1)
		if c.pool != 0 {
			d.WorkerPoolUp(c.pool)
		}
		if c.heard != nil || c.none {
			d.ObservePrevious(processStart+time.Second/2, c.heard)
		}
		if s, why := d.Integrity(processStart + time.Second); s != c.want {
			t.Errorf("%s: %v (%s), want %v", c.name, s, why, c.want)
		}
	}
}

// Which requests are in doubt, and until when.
func TestInDoubt(t *testing.T) {
	f := completeStore()
	f.UnreadablePlaces = 1
	const window = 10 * time.Second
	for _, c := range []struct {
		name   string
		effect rules.Effect
		again  bool
		at     time.Duration // after the start, as it reached the machine
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
		d := NewStoreCheck(processStart, f, 1)
		if got := d.MayHaveRun(processStart+c.at+50*time.Millisecond, c.effect, window, 1, c.again, 50*time.Millisecond); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	d := NewStoreCheck(processStart, f, 1)
	d.MayHaveRun(processStart+1, rules.Keyed, window, 7, false, 0)
	if d.MayHaveRun(processStart+2, rules.Keyed, window, 7, true, 0) {
		t.Error("a repeat whose first try came to this life is in doubt")
	}
	if !d.MayHaveRun(processStart+2, rules.Keyed, window, 8, true, 0) || d.InDoubt != 1 {
		t.Error("another is not, or is not counted")
	}
	// A life that comes soon after doubts the same, though its own store is whole.
	f = completeStore()
	f.CompleteSince = processStart - 2*time.Second
	d = NewStoreCheck(processStart, f, 1)
	d.ObservePrevious(processStart+1, &PreviousStore{ID: "a", Epoch: 3, Checkpoint: 9})
	if !d.MayHaveRun(processStart+time.Second, rules.Keyed, window, 0, true, 0) || d.MayHaveRun(processStart+window-time.Second, rules.Keyed, window, 0, true, 0) {
		t.Error("the doubt of the life before did not last as long as its window")
	}
	// Unproven ends, whatever is missing.
	d = NewStoreCheck(processStart, FoundState{Identity: Identity{ID: "b", Epoch: 1}, Created: true, CompleteSince: math.MinInt64}, 1)
	if !d.MayHaveRun(processStart+1, rules.Keyed, window, 0, true, 0) || d.MayHaveRun(processStart+previousStoreWait, rules.Keyed, window, 0, true, 0) {
		t.Error("doubt without a word does not end, or never was")
	}
}

// A model of a node whose folder is lost, rolled back or kept across its lives, that
// runs each key once a life unless it is in doubt: where the witness lives, no key runs
// twice within its window, whatever is done to the folder.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		type disk struct {
			id   Identity
			mark Checkpoint
			keys map[uint64]time.Duration
		}
		clone := func(d disk) disk {
			c := disk{d.id, d.mark, map[uint64]time.Duration{}}
			for k, v := range d.keys {
				c.keys[k] = v
			}
			return c
		}
		w, stores := NewIncarnationRegistry(), 0
		var now disk
		var copies []disk
		ran := map[uint64]time.Duration{} // the truth
		at := time.Duration(0)
		for life := uint64(1); life <= 6; life++ {
			f := FoundState{CompleteSince: math.MinInt64}
			if now.id.ID == "" {
				stores++
				now = disk{id: Identity{ID: fmt.Sprint(stores), Node: "n"}, keys: map[uint64]time.Duration{}}
				f.Created = true
			} else {
				f.Node, f.Checkpoint, f.Keys = "n", now.mark, len(now.keys)
			}
			now.id.Epoch++
			f.Identity = now.id
			if now.id.CompleteSince != 0 {
				f.CompleteSince = time.Duration(now.id.CompleteSince)
			}
			d := NewStoreCheck(at, f, 1)
			heard := w.Observe("n", life, PreviousStore{ID: now.id.ID, Epoch: now.id.Epoch, Checkpoint: now.mark.N})
			d.ObservePrevious(at, heard)
			if s := d.CompleteSince(); s != f.CompleteSince {
				now.id.CompleteSince = int64(s)
				stores++
				now.id.ID = fmt.Sprint(stores)
			}
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				at += time.Duration(rapid.IntRange(1, 1000).Draw(t, "dt")) * time.Millisecond
				key := rapid.Uint64Range(1, 12).Draw(t, "key")
				first, before := ran[key]
				again := before && at-first < window
				if seen, known := now.keys[key]; known && at-seen < window {
					continue // answered from what is remembered
				}
				if d.MayHaveRun(at, rules.Keyed, window, key, again, 0) {
					continue // failed
				}
				if again {
					t.Fatalf("key %d ran at %v and again at %v in life %d: memory %v", key, first, at, life, d.integrity)
				}
				ran[key], now.keys[key] = at, at
				now.mark = Checkpoint{now.mark.N + 1, len(now.keys)}
				w.Observe("n", life, PreviousStore{ID: now.id.ID, Epoch: now.id.Epoch, Checkpoint: now.mark.N})
				if rapid.IntRange(0, 3).Draw(t, "copy") == 0 {
					copies = append(copies, clone(now))
				}
			}
			switch rapid.SampledFrom([]string{"keep", "empty", "old"}).Draw(t, "folder") {
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
