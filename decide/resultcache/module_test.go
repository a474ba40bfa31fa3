package resultcache

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinmast/rules"
)

const ms = time.Millisecond

func settings() Settings {
	return Settings{
		Classes: map[string]Class{
			"pay": {Effect: rules.Keyed, Window: 5 * time.Second}, "read": {Effect: rules.Safe}, "once": {Effect: rules.Unsafe},
		},
		Tenants:       map[string]bool{"acme": true, "emca": true},
		ReadFreshness: time.Second, MaxBytes: 10_000, MaxRecords: 8, ClockSlack: 2 * time.Second,
	}
}

// at returns a module whose time is unix at monotonic zero.
func newModuleAt(set Settings, unix int64) *Module {
	m := New(set)
	m.StartClock(0, ClockReading{Wall: unix}, nil)
	return m
}

func keyedRecord(name string, arrived int64) Record {
	return Record{RequestKey: RequestKey{"pay", "acme", name}, Effect: rules.Keyed, Arrived: arrived, Window: 5000, Expires: arrived + 5000, Run: "r" + name}
}

func readRecord(name string, arrived int64) Record {
	return Record{RequestKey: RequestKey{"read", "acme", name}, Effect: rules.Safe, Arrived: arrived, Expires: arrived + 1000}
}

func TestKeyTextIsUnique(t *testing.T) {
	seen := map[string]RequestKey{}
	for _, id := range []RequestKey{
		{"a", "b", "c"}, {"a/b", "", "c"}, {"a", "b/c", ""}, {"a%2Fb", "", "c"}, {"a", "", "b/c"}, {"", "a", "b/c"}, {"a%", "2Fb", "c"},
	} {
		if was, twice := seen[id.Text()]; twice {
			t.Errorf("%v and %v share %q", was, id, id.Text())
		}
		seen[id.Text()] = id
	}
}

func TestRestore(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Settings)
		entry  func(*Record)
		drop   DropReason
		left   int64 // of its life
		kind   Kind
	}{
		"kept":              {nil, nil, Kept, 4000, Result},
		"1 ms left":         {nil, func(e *Record) { e.Expires = 11_001 }, Kept, 1, Result},
		"just aged":         {nil, func(e *Record) { e.Expires = 11_000 }, Expired, 0, 0},
		"class gone":        {func(s *Settings) { delete(s.Classes, "pay") }, nil, ClassRemoved, 0, 0},
		"tenant gone":       {func(s *Settings) { delete(s.Tenants, "acme") }, nil, TenantRemoved, 0, 0},
		"no tenants":        {func(s *Settings) { s.Tenants = nil }, nil, Kept, 4000, Result},
		"keyed now safe":    {func(s *Settings) { s.Classes["pay"] = Class{Effect: rules.Safe} }, nil, EffectChanged, 0, 0},
		"keyed now unsafe":  {func(s *Settings) { s.Classes["pay"] = Class{Effect: rules.Unsafe} }, nil, EffectChanged, 0, 0},
		"longer window":     {func(s *Settings) { s.Classes["pay"] = Class{rules.Keyed, 9 * time.Second} }, nil, Kept, 8000, Result},
		"shorter window":    {func(s *Settings) { s.Classes["pay"] = Class{rules.Keyed, 2 * time.Second} }, nil, Kept, 1000, Result},
		"window over":       {func(s *Settings) { s.Classes["pay"] = Class{rules.Keyed, time.Second} }, nil, Expired, 0, 0},
		"clock ran ahead":   {nil, func(e *Record) { e.Expires += 1e9 }, Kept, 5000 + windowSlackMillis, Result},
		"result too large":  {nil, func(e *Record) { e.Size = 20_000 }, Kept, 4000, ResultEvicted},
		"intent":            {nil, func(e *Record) { e.Kind = Intent }, Kept, 4000, Intent},
		"unsafe":            {nil, func(e *Record) { e.Kind, e.Effect = Intent, rules.Unsafe }, UnsafeReported, 0, 0},
		"no entries":        {func(s *Settings) { s.MaxRecords = 0 }, nil, NoRoom, 0, 0},
		"read":              {nil, func(e *Record) { *e = readRecord("x", 10_500); e.Kind = Result }, Kept, 500, Result},
		"read, fresh less":  {func(s *Settings) { s.ReadFreshness = 100 * ms }, func(e *Record) { *e = readRecord("x", 10_500); e.Kind = Result }, Kept, 100, Result},
		"read, none fresh":  {func(s *Settings) { s.ReadFreshness = 0 }, func(e *Record) { *e = readRecord("x", 10_500); e.Kind = Result }, EffectChanged, 0, 0},
		"read cut off":      {nil, func(e *Record) { *e = readRecord("x", 10_500); e.Kind = Intent }, Expired, 0, 0},
		"read cut off, bad": {func(s *Settings) { s.FailUnknownReads = true }, func(e *Record) { *e = readRecord("x", 10_500); e.Kind = Intent }, Kept, 500, Intent},
	} {
		set := settings()
		if c.change != nil {
			c.change(&set)
		}
		e := keyedRecord("k", 10_000)
		e.Kind, e.Size = Result, 100
		if c.entry != nil {
			c.entry(&e)
		}
		m := newModuleAt(set, 11_000)
		got, drop := m.Restore(0, e)
		if drop != c.drop || drop == Kept && (got.Expires-11_000 != c.left || got.Kind != c.kind || m.Len() != 1) {
			t.Errorf("%s: %v with %d ms left, kind %d; want %v, %d, %d", name, drop, got.Expires-11_000, got.Kind, c.drop, c.left, c.kind)
		}
	}
}

func TestDecideRepeat(t *testing.T) {
	fail := settings()
	fail.FailUnknownReads = true
	for name, c := range map[string]struct {
		set   Settings
		entry Record
		kind  Kind
		pool  int64
		want  RepeatAction
	}{
		"result":                        {settings(), keyedRecord("k", 100), Result, 500, AnswerEarlier},
		"failed":                        {settings(), keyedRecord("k", 100), Failed, 0, FailRepeat},
		"result had to leave":           {settings(), keyedRecord("k", 100), ResultEvicted, 0, FailRepeat},
		"the pool outlived the node":    {settings(), keyedRecord("k", 100), Intent, 50, WaitForRun},
		"the pool went down with it":    {settings(), keyedRecord("k", 100), Intent, 101, FailRepeat},
		"a read, cut off":               {settings(), readRecord("k", 100), Intent, 50, RunAgain},
		"a read that may have cut off":  {fail, readRecord("k", 100), Intent, 101, FailRepeat},
		"a read that may still be read": {fail, readRecord("k", 100), Intent, 50, WaitForRun},
	} {
		c.entry.Kind = c.kind
		if got := newModuleAt(c.set, 1000).DecideRepeat(c.entry, c.pool); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// What leaves first: aged entries, then reads, then results of keyed requests;
// never that one ran.
func TestEviction(t *testing.T) {
	set := settings()
	set.MaxBytes, set.MaxRecords = 4*recordOverhead+1400, 4
	m := newModuleAt(set, 0)
	store := func(e Record, size int64) StoreChanges {
		t.Helper()
		_, keep, o := m.RunEnded(0, e, true, size)
		if !keep {
			t.Fatalf("%s is not kept", e.Name)
		}
		return o
	}
	store(keyedRecord("a", 10), 300)
	store(keyedRecord("b", 20), 300)
	store(readRecord("c", 0), 300)
	if o := store(keyedRecord("d", 5), 600); len(o.Delete) != 1 || o.Delete[0] != "read/acme/c" || len(o.EvictResult) != 0 {
		t.Errorf("the read did not leave first: %+v", o)
	}
	o := store(keyedRecord("e", 30), 600)
	if len(o.Delete) != 0 || len(o.EvictResult) != 1 || o.EvictResult[0].Name != "d" || o.EvictResult[0].Kind != ResultEvicted {
		t.Errorf("the result that expires first did not leave: %+v", o)
	}
	if ok, _ := m.RecordIntent(0, keyedRecord("f", 40)); ok {
		t.Error("an intent beyond the bound, with all in their windows")
	}
	if ok, o := m.RecordIntent(5006*ms, keyedRecord("f", 40)); !ok || len(o.Delete) != 1 || o.Delete[0] != "pay/acme/d" {
		t.Errorf("what aged out did not leave: %v, %+v", ok, o)
	}
	if e, keep, _ := m.RunEnded(5006*ms, keyedRecord("f", 40), true, 1e6); !keep || e.Kind != ResultEvicted {
		t.Errorf("a result beyond the bound: %v, %+v", keep, e)
	}
}

func TestRunEnded(t *testing.T) {
	m := newModuleAt(settings(), 0)
	m.RecordIntent(0, keyedRecord("a", 0))
	if e, keep, _ := m.RunEnded(0, keyedRecord("a", 0), false, 0); !keep || e.Kind != Failed {
		t.Errorf("failed: %v, %+v", keep, e)
	}
	if _, keep, _ := m.RunEnded(0, readRecord("r", 0), false, 0); keep {
		t.Error("a failed read is kept")
	}
	if e, keep, _ := m.RunEnded(400*ms, readRecord("r", 0), true, 5); !keep || e.Expires != 1400 {
		t.Errorf("a read's freshness counts from its end: %v, %d", keep, e.Expires)
	}
	m.RecordIntent(0, keyedRecord("b", 0))
	if o := m.Withdraw(RequestKey{"pay", "acme", "b"}); len(o.Delete) != 1 || m.Len() != 2 {
		t.Errorf("withdrawn: %+v, %d left", o, m.Len())
	}
	if o := m.Withdraw(RequestKey{"pay", "acme", "a"}); len(o.Delete) != 0 {
		t.Error("an end was withdrawn")
	}
	m.RecordIntent(0, keyedRecord("c", 0))
	if _, keep, o := m.RunEnded(5000*ms, keyedRecord("c", 0), true, 1); keep || len(o.Delete) != 1 {
		t.Error("kept beyond its window")
	}
}

// TestInvariants runs any events over any settings, with restarts under clocks
// that jump, and checks what the package comment promises.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := settings()
		set.MaxBytes = int64(rapid.IntRange(200, 3000).Draw(r, "bytes"))
		set.MaxRecords = rapid.IntRange(1, 6).Draw(r, "entries")
		m := newModuleAt(set, 1_000_000)
		now, wall, up, boot := time.Duration(0), int64(1_000_000), int64(0), 0
		stored := map[string]Record{}
		born := map[string]int64{} // when each keyed entry was made, true time
		gone := map[string]bool{}  // aged out, by name
		truth := int64(0)          // milliseconds the node was up, and away as far as anybody can know
		apply := func(o StoreChanges) {
			for _, k := range o.Delete {
				if e, ok := stored[k]; ok && e.Effect == rules.Keyed && e.Expires > m.Unix(now) {
					r.Fatalf("%s left %d ms before its window was over", k, e.Expires-m.Unix(now))
				}
				delete(stored, k)
			}
			for _, e := range o.EvictResult {
				stored[e.Text()] = e
			}
		}
		pass := func(n int64) {
			now += time.Duration(n) * ms
			wall, up, truth = wall+n, up+n, truth+n
		}
		mark := m.Checkpoint(0, ClockReading{wall, "0", up})
		for i := range rapid.IntRange(1, 50).Draw(r, "steps") {
			name := fmt.Sprintf("%d", i)
			switch rapid.IntRange(0, 6).Draw(r, "what") {
			case 0, 1:
				e := keyedRecord(name, m.Unix(now))
				ok, o := m.RecordIntent(now, e)
				apply(o)
				if ok {
					e.Kind = Intent
					stored[e.Text()], born[e.Text()] = e, truth
				}
			case 2, 3:
				for k, e := range stored {
					if e.Kind != Intent {
						continue
					}
					got, keep, o := m.RunEnded(now, e, rapid.Bool().Draw(r, "good"), int64(rapid.IntRange(0, 900).Draw(r, "size")))
					apply(o)
					if keep {
						stored[k] = got
					} else if _, still := stored[k]; still {
						r.Fatalf("%s neither kept nor deleted", k)
					}
					break
				}
			case 4:
				e, keep, o := m.RunEnded(now, readRecord(name, m.Unix(now)), true, int64(rapid.IntRange(0, 900).Draw(r, "size")))
				apply(o)
				if keep {
					stored[e.Text()] = e
				}
			case 5:
				pass(int64(rapid.IntRange(0, 900).Draw(r, "ms")))
				mark = m.Checkpoint(now, ClockReading{wall, fmt.Sprint(boot), up})
			default: // a crash, with any wall clock after it
				before := m.Unix(now)
				pass(int64(rapid.IntRange(0, 999).Draw(r, "since the mark")))
				for k, e := range stored {
					if e.Expires <= m.Unix(now) {
						gone[k] = true
					}
				}
				_ = before
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
				step, passed := m.StartClock(now, ClockReading{wall, fmt.Sprint(boot), up}, &mark)
				if m.Unix(now) < last-1 {
					r.Fatalf("%v: the time went from %d to %d", step, last, m.Unix(now))
				}
				truth += m.Unix(now) - last
				_ = passed
				mark = m.Checkpoint(now, ClockReading{wall, fmt.Sprint(boot), up})
				next := map[string]Record{}
				for k, e := range stored {
					if got, drop := m.Restore(now, e); drop == Kept {
						if gone[k] {
							r.Fatalf("%s came back", k)
						}
						next[k] = got
					}
				}
				stored = next
			}
			if m.Bytes() > set.MaxBytes || m.Len() > set.MaxRecords || m.Len() != len(stored) {
				r.Fatalf("%d entries, %d known, %d bytes", m.Len(), len(stored), m.Bytes())
			}
			apply(StoreChanges{Delete: m.Expire(now)})
			for k := range stored {
				if b, ok := born[k]; ok && truth-b > 5000+set.ClockSlack.Milliseconds()+windowSlackMillis {
					r.Fatalf("%s lives %d ms after it was made", k, truth-b)
				}
			}
		}
	})
}
