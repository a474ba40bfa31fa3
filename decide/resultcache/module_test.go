package resultcache

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinmast/rules"
)

const ms = time.Millisecond

// settings returns settings with one class of each effect.
func settings() Settings {
	return Settings{
		Classes: map[string]Class{
			"pay": {Effect: rules.Keyed, Window: 5 * time.Second}, "read": {Effect: rules.Safe}, "once": {Effect: rules.Unsafe},
		},
		Tenants:       map[string]bool{"acme": true, "emca": true},
		ReadFreshness: time.Second, MaxBytes: 10_000, MaxRecords: 8, ClockSlack: 2 * time.Second,
	}
}

// newModuleAt returns a module whose time is unix at the zero of the monotonic clock.
func newModuleAt(set Settings, unix int64) *Module {
	m := New(set)
	m.StartClock(0, ClockReading{Wall: unix}, nil)
	return m
}

// keyedRecord returns a record of a keyed request that arrived at the given time.
func keyedRecord(name string, arrived int64) Record {
	return Record{
		RequestKey: RequestKey{"pay", "acme", name}, Effect: rules.Keyed, Run: "r" + name,
		Started: arrived, Window: 5000, Expires: arrived + 5000,
	}
}

// readRecord returns a record of a read that arrived at the given time.
func readRecord(name string, arrived int64) Record {
	return Record{RequestKey: RequestKey{"read", "acme", name}, Effect: rules.Safe, Started: arrived, Expires: arrived + 1000}
}

// Different keys have different texts, even if their parts contain separators or escapes.
func TestKeyTextIsUnique(t *testing.T) {
	keys := map[string]RequestKey{}
	for _, key := range []RequestKey{
		{"a", "b", "c"}, {"a/b", "", "c"}, {"a", "b/c", ""}, {"a%2Fb", "", "c"}, {"a", "", "b/c"}, {"", "a", "b/c"}, {"a%", "2Fb", "c"},
	} {
		if other, duplicate := keys[key.Text()]; duplicate {
			t.Errorf("%v and %v share %q", other, key, key.Text())
		}
		keys[key.Text()] = key
	}
}

// A record is restored, shortened or discarded according to the present settings and the time.
func TestRestore(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Settings)
		modify func(*Record)
		reason DropReason
		left   int64 // of its lifetime, milliseconds
		kind   Kind
	}{
		"kept":                      {nil, nil, Restored, 4000, Result},
		"1 ms left":                 {nil, func(record *Record) { record.Expires = 11_001 }, Restored, 1, Result},
		"just expired":              {nil, func(record *Record) { record.Expires = 11_000 }, Expired, 0, 0},
		"class removed":             {func(s *Settings) { delete(s.Classes, "pay") }, nil, ClassRemoved, 0, 0},
		"tenant removed":            {func(s *Settings) { delete(s.Tenants, "acme") }, nil, TenantRemoved, 0, 0},
		"no tenants":                {func(s *Settings) { s.Tenants = nil }, nil, Restored, 4000, Result},
		"keyed now safe":            {func(s *Settings) { s.Classes["pay"] = Class{Effect: rules.Safe} }, nil, EffectChanged, 0, 0},
		"keyed now unsafe":          {func(s *Settings) { s.Classes["pay"] = Class{Effect: rules.Unsafe} }, nil, EffectChanged, 0, 0},
		"longer window":             {func(s *Settings) { s.Classes["pay"] = Class{rules.Keyed, 9 * time.Second} }, nil, Restored, 8000, Result},
		"shorter window":            {func(s *Settings) { s.Classes["pay"] = Class{rules.Keyed, 2 * time.Second} }, nil, Restored, 1000, Result},
		"window over":               {func(s *Settings) { s.Classes["pay"] = Class{rules.Keyed, time.Second} }, nil, Expired, 0, 0},
		"clock ran ahead":           {nil, func(record *Record) { record.Expires += 1e9 }, Restored, 5000 + windowSlackMillis, Result},
		"result too large":          {nil, func(record *Record) { record.Size = 20_000 }, Restored, 4000, ResultEvicted},
		"intent":                    {nil, func(record *Record) { record.Kind = Intent }, Restored, 4000, Intent},
		"unsafe":                    {nil, func(record *Record) { record.Kind, record.Effect = Intent, rules.Unsafe }, UnsafeReported, 0, 0},
		"no records":                {func(s *Settings) { s.MaxRecords = 0 }, nil, NoRoom, 0, 0},
		"read":                      {nil, func(record *Record) { *record = readRecord("x", 10_500); record.Kind = Result }, Restored, 500, Result},
		"read, shorter freshness":   {func(s *Settings) { s.ReadFreshness = 100 * ms }, func(record *Record) { *record = readRecord("x", 10_500); record.Kind = Result }, Restored, 100, Result},
		"read, no freshness":        {func(s *Settings) { s.ReadFreshness = 0 }, func(record *Record) { *record = readRecord("x", 10_500); record.Kind = Result }, EffectChanged, 0, 0},
		"interrupted read":          {nil, func(record *Record) { *record = readRecord("x", 10_500); record.Kind = Intent }, Expired, 0, 0},
		"interrupted read, failing": {func(s *Settings) { s.FailUnknownReads = true }, func(record *Record) { *record = readRecord("x", 10_500); record.Kind = Intent }, Restored, 500, Intent},
	} {
		set := settings()
		if c.change != nil {
			c.change(&set)
		}
		record := keyedRecord("k", 10_000)
		record.Kind, record.Size = Result, 100
		if c.modify != nil {
			c.modify(&record)
		}
		m := newModuleAt(set, 11_000)
		got, reason := m.Restore(0, record)
		if reason != c.reason || reason == Restored && (got.Expires-11_000 != c.left || got.Kind != c.kind || m.Len() != 1) {
			t.Errorf("%s: %v with %d ms left, kind %d; want %v, %d, %d", name, reason, got.Expires-11_000, got.Kind, c.reason, c.left, c.kind)
		}
	}
}

// A repeat is answered, waits, runs again or fails, depending on its record and the worker pool's start.
func TestDecideRepeat(t *testing.T) {
	fail := settings()
	fail.FailUnknownReads = true
	for name, c := range map[string]struct {
		set    Settings
		record Record
		kind   Kind
		pool   int64
		want   RepeatAction
	}{
		"result":                              {settings(), keyedRecord("k", 100), Result, 500, AnswerEarlier},
		"failed":                              {settings(), keyedRecord("k", 100), Failed, 0, FailRepeat},
		"result evicted":                      {settings(), keyedRecord("k", 100), ResultEvicted, 0, FailRepeat},
		"worker pool outlived the node":       {settings(), keyedRecord("k", 100), Intent, 50, WaitForRun},
		"worker pool restarted with the node": {settings(), keyedRecord("k", 100), Intent, 101, FailRepeat},
		"interrupted read":                    {settings(), readRecord("k", 100), Intent, 50, RunAgain},
		"interrupted read, failing":           {fail, readRecord("k", 100), Intent, 101, FailRepeat},
		"read in progress, failing":           {fail, readRecord("k", 100), Intent, 50, WaitForRun},
	} {
		c.record.Kind = c.kind
		if got := newModuleAt(c.set, 1000).DecideRepeat(c.record, c.pool); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// Expired records are removed first, then records of reads, then results of keyed requests. That a keyed
// request ran is never evicted within its window.
func TestEviction(t *testing.T) {
	set := settings()
	set.MaxBytes, set.MaxRecords = 4*recordOverhead+1400, 4
	m := newModuleAt(set, 0)
	store := func(record Record, size int64) StoreChanges {
		t.Helper()
		_, mustStore, changes := m.RunEnded(0, record, true, size)
		if !mustStore {
			t.Fatalf("%s is not stored", record.Name)
		}
		return changes
	}
	store(keyedRecord("a", 10), 300)
	store(keyedRecord("b", 20), 300)
	store(readRecord("c", 0), 300)
	if changes := store(keyedRecord("d", 5), 600); len(changes.Delete) != 1 || changes.Delete[0] != "read/acme/c" || len(changes.EvictResult) != 0 {
		t.Errorf("the read is not evicted first: %+v", changes)
	}
	changes := store(keyedRecord("e", 30), 600)
	if len(changes.Delete) != 0 || len(changes.EvictResult) != 1 || changes.EvictResult[0].Name != "d" || changes.EvictResult[0].Kind != ResultEvicted {
		t.Errorf("the result that expires first is not evicted: %+v", changes)
	}
	if decision, _ := m.RecordIntent(0, keyedRecord("f", 40)); decision != IntentNoRoom {
		t.Error("an intent is recorded beyond the bound, with all records in their windows")
	}
	if decision, changes := m.RecordIntent(5006*ms, keyedRecord("f", 40)); decision != StoreIntent || len(changes.Delete) != 1 || changes.Delete[0] != "pay/acme/d" {
		t.Errorf("the expired record is not removed: %v, %+v", decision, changes)
	}
	if record, mustStore, _ := m.RunEnded(5006*ms, keyedRecord("f", 40), true, 1e6); !mustStore || record.Kind != ResultEvicted {
		t.Errorf("a result is stored beyond the bound: %v, %+v", mustStore, record)
	}
}

// The end of a run is recorded depending on the effect, and only while the window lasts. Only an intent can
// be withdrawn.
func TestRunEnded(t *testing.T) {
	m := newModuleAt(settings(), 0)
	m.RecordIntent(0, keyedRecord("a", 0))
	if record, mustStore, _ := m.RunEnded(0, keyedRecord("a", 0), false, 0); !mustStore || record.Kind != Failed {
		t.Errorf("failed: %v, %+v", mustStore, record)
	}
	if _, mustStore, _ := m.RunEnded(0, readRecord("r", 0), false, 0); mustStore {
		t.Error("a failed read is stored")
	}
	if record, mustStore, _ := m.RunEnded(400*ms, readRecord("r", 0), true, 5); !mustStore || record.Expires != 1400 {
		t.Errorf("the freshness of a read does not count from its end: %v, %d", mustStore, record.Expires)
	}
	m.RecordIntent(0, keyedRecord("b", 0))
	if changes := m.Withdraw(RequestKey{"pay", "acme", "b"}, "rb"); len(changes.Delete) != 1 || m.Len() != 2 {
		t.Errorf("withdrawn: %+v, %d left", changes, m.Len())
	}
	if changes := m.Withdraw(RequestKey{"pay", "acme", "a"}, "ra"); len(changes.Delete) != 0 {
		t.Error("the end of a run was withdrawn")
	}
	m.RecordIntent(0, keyedRecord("c", 0))
	if _, mustStore, changes := m.RunEnded(5000*ms, keyedRecord("c", 0), true, 1); mustStore || len(changes.Delete) != 1 {
		t.Error("stored after its window")
	}
}

// Checks the invariants of the package comment for arbitrary events and settings, with restarts during
// which the wall clock steps.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := settings()
		set.MaxBytes = int64(rapid.IntRange(200, 3000).Draw(r, "bytes"))
		set.MaxRecords = rapid.IntRange(1, 6).Draw(r, "records")
		m := newModuleAt(set, 1_000_000)
		now, wall, up, boot := time.Duration(0), int64(1_000_000), int64(0), 0
		stored := map[string]Record{}
		made := map[string]int64{}   // true time at which each keyed record was made
		expired := map[string]bool{} // expired records, by key
		trueTime := int64(0)         // true time: milliseconds that the node was up, and down as far as it can be known
		apply := func(changes StoreChanges) {
			for _, k := range changes.Delete {
				if record, ok := stored[k]; ok && record.Effect == rules.Keyed && record.Expires > m.Unix(now) {
					r.Fatalf("%s was evicted %d ms before its window was over", k, record.Expires-m.Unix(now))
				}
				delete(stored, k)
			}
			for _, record := range changes.EvictResult {
				stored[record.Text()] = record
			}
		}
		pass := func(n int64) {
			now += time.Duration(n) * ms
			wall, up, trueTime = wall+n, up+n, trueTime+n
		}
		checkpoint := m.Checkpoint(0, ClockReading{wall, "0", up})
		for i := range rapid.IntRange(1, 50).Draw(r, "steps") {
			name := fmt.Sprintf("%d", i)
			switch rapid.IntRange(0, 6).Draw(r, "what") {
			case 0, 1:
				record := keyedRecord(name, m.Unix(now))
				decision, changes := m.RecordIntent(now, record)
				apply(changes)
				if decision == StoreIntent {
					record.Kind = Intent
					stored[record.Text()], made[record.Text()] = record, trueTime
				}
			case 2, 3:
				for k, record := range stored {
					if record.Kind != Intent {
						continue
					}
					got, mustStore, changes := m.RunEnded(now, record, rapid.Bool().Draw(r, "good"), int64(rapid.IntRange(0, 900).Draw(r, "size")))
					apply(changes)
					if mustStore {
						stored[k] = got
					} else if _, found := stored[k]; found {
						r.Fatalf("%s is neither stored nor deleted", k)
					}
					break
				}
			case 4:
				record, mustStore, changes := m.RunEnded(now, readRecord(name, m.Unix(now)), true, int64(rapid.IntRange(0, 900).Draw(r, "size")))
				apply(changes)
				if mustStore {
					stored[record.Text()] = record
				}
			case 5:
				pass(int64(rapid.IntRange(0, 900).Draw(r, "ms")))
				checkpoint = m.Checkpoint(now, ClockReading{wall, fmt.Sprint(boot), up})
			default: // a crash, after which the wall clock may have stepped
				pass(int64(rapid.IntRange(0, 999).Draw(r, "since the checkpoint")))
				for k, record := range stored {
					if record.Expires <= m.Unix(now) {
						expired[k] = true
					}
				}
				last := m.Unix(now)
				away := int64(rapid.IntRange(0, 3000).Draw(r, "away"))
				wall += away
				if rapid.Bool().Draw(r, "reboot") {
					boot, up = boot+1, int64(rapid.IntRange(0, 100).Draw(r, "up"))
					wall += int64(rapid.IntRange(-9000, 9000).Draw(r, "step"))
				} else {
					up += away
				}
				m = New(set)
				now = time.Duration(rapid.IntRange(0, 1000).Draw(r, "now")) * ms
				step, _ := m.StartClock(now, ClockReading{wall, fmt.Sprint(boot), up}, &checkpoint)
				if m.Unix(now) < last-1 {
					r.Fatalf("%v: the time went from %d to %d", step, last, m.Unix(now))
				}
				trueTime += m.Unix(now) - last
				checkpoint = m.Checkpoint(now, ClockReading{wall, fmt.Sprint(boot), up})
				next := map[string]Record{}
				for k, record := range stored {
					if got, reason := m.Restore(now, record); reason == Restored {
						if expired[k] {
							r.Fatalf("%s came back", k)
						}
						next[k] = got
					}
				}
				stored = next
			}
			if m.Bytes() > set.MaxBytes || m.Len() > set.MaxRecords || m.Len() != len(stored) {
				r.Fatalf("%d records, %d stored, %d bytes", m.Len(), len(stored), m.Bytes())
			}
			apply(StoreChanges{Delete: m.Expire(now)})
			for k := range stored {
				if b, ok := made[k]; ok && trueTime-b > 5000+set.ClockSlack.Milliseconds()+windowSlackMillis {
					r.Fatalf("%s exists %d ms after it was made", k, trueTime-b)
				}
			}
		}
	})
}
