package resultcache

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against the record of a request that is deleted or replaced by an earlier request under its key: one whose run
// ends late, is withdrawn, or starts only after the later one.
func TestEarlierRunLeavesNewerRecord(t *testing.T) {
	for name, act := range map[string]func(m *Module, earlier Record) StoreChanges{
		"ends with a result": func(m *Module, earlier Record) StoreChanges {
			_, mustStore, changes := m.RunEnded(6000*ms, earlier, true, 5)
			if mustStore {
				t.Error("the result of the earlier run is stored")
			}
			return changes
		},
		"fails": func(m *Module, earlier Record) StoreChanges {
			_, _, changes := m.RunEnded(6000*ms, earlier, false, 0)
			return changes
		},
		"is withdrawn": func(m *Module, earlier Record) StoreChanges {
			return m.Withdraw(earlier.RequestKey, earlier.Run)
		},
		"starts": func(m *Module, earlier Record) StoreChanges {
			decision, changes := m.RecordIntent(6000*ms, earlier)
			if decision != IntentSuperseded {
				t.Errorf("starts: decision %d, want %d", decision, IntentSuperseded)
			}
			return changes
		},
	} {
		for _, ended := range []bool{false, true} {
			m := newModuleAt(settings(), 0)
			earlier, newer := keyedRecord("k", 0), keyedRecord("k", 5300)
			newer.Run = "newer"
			m.RecordIntent(0, earlier)
			m.RecordIntent(5300*ms, newer)
			want := Intent
			if ended {
				m.RunEnded(5600*ms, newer, true, 5)
				want = Result
			}
			changes := act(m, earlier)
			record := m.records[newer.Text()]
			if len(changes.Delete) != 0 || record == nil || record.Run != "newer" || record.Kind != want {
				t.Errorf("%s, the newer run has ended %v: changes %+v, record %+v", name, ended, changes, record)
			}
		}
	}
}

// keyHistory is the reference of one key: its runs, of which the one that arrived last and was not withdrawn is to have
// the stored record while its window lasts.
type keyHistory struct {
	open   []Record // runs whose end is still to come
	newest Record   // Run "" = none
	ended  bool
}

// windowOver reports whether a new request under the key is no repeat.
func (h *keyHistory) windowOver(unix int64) bool {
	return h.newest.Run == "" || unix >= h.newest.Expires
}

// referenceStore applies what the module decides to a map, as the cache does to its store.
type referenceStore map[string]Record

func (s referenceStore) apply(changes StoreChanges) {
	for _, key := range changes.Delete {
		delete(s, key)
	}
	for _, record := range changes.EvictResult {
		s[record.Text()] = record
	}
}

// Checks for arbitrary runs under few keys, with late ends, withdrawals, evictions, expiry and restarts, that the store
// has the record of each key's newest run until its window is over.
func TestStoreHasNewestRuns(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := settings()
		set.MaxBytes, set.MaxRecords = 3000, 8
		m, now := newModuleAt(set, 0), time.Duration(0)
		stored, keys := referenceStore{}, map[string]*keyHistory{"a": {}, "b": {}}
		for i := range rapid.IntRange(1, 60).Draw(r, "steps") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "key")
			h := keys[name]
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0, 1: // a request arrives after the window of the last one, and starts
				if !h.windowOver(m.Unix(now)) {
					continue
				}
				record := keyedRecord(name, m.Unix(now))
				record.Run = fmt.Sprint("run", i)
				decision, changes := m.RecordIntent(now, record)
				stored.apply(changes)
				if decision != StoreIntent {
					r.Fatalf("decision %d for the intent of the newest run", decision)
				}
				record.Kind = Intent
				stored[record.Text()] = record
				h.open, h.newest, h.ended = append(h.open, record), record, false
			case 2, 3: // any of its open runs ends, or turns out not to have started
				if len(h.open) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(h.open)-1).Draw(r, "run")
				run := h.open[n]
				h.open = append(h.open[:n:n], h.open[n+1:]...)
				if rapid.IntRange(0, 3).Draw(r, "never started") == 0 {
					stored.apply(m.Withdraw(run.RequestKey, run.Run))
					if h.newest.Run == run.Run {
						h.newest = Record{}
					}
					continue
				}
				got, mustStore, changes := m.RunEnded(now, run, rapid.Bool().Draw(r, "good"), int64(rapid.IntRange(0, 2000).Draw(r, "size")))
				stored.apply(changes)
				if mustStore {
					stored[got.Text()] = got
				}
				h.ended = h.ended || h.newest.Run == run.Run
			case 4:
				now += time.Duration(rapid.SampledFrom([]int{50, 3000, 5000, 5000}).Draw(r, "ms")) * ms
				stored.apply(StoreChanges{Delete: m.Expire(now)})
			default: // a restart
				unix := m.Unix(now)
				m = newModuleAt(set, unix-now.Milliseconds())
				for key, record := range stored {
					if got, reason := m.Restore(now, record); reason == Restored {
						stored[key] = got
					} else {
						delete(stored, key)
					}
				}
			}
			for name, h := range keys {
				if h.windowOver(m.Unix(now)) {
					continue
				}
				record, found := stored[h.newest.Text()]
				if !found || record.Run != h.newest.Run || h.ended == (record.Kind == Intent) {
					r.Fatalf("key %s: stored %+v (found %v), newest run %s, ended %v", name, record, found, h.newest.Run, h.ended)
				}
			}
		}
	})
}
