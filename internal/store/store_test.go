package store

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"robinmast/internal/store/vfs"
)

// Guards against loss and corruption by a power cut. A store with only durable writes is cut
// after each operation, and within each write after each byte; of what was not synced all,
// nothing or a random part is kept. Recovery must give exactly the last acknowledged state, or
// that with the batch in progress, must report no damage, and the store must be usable.
func TestEveryCut(t *testing.T) {
	h := newHarness(t)
	steps := workload(h, false, 60)
	ops := h.disk.Ops()
	random := rand.New(rand.NewPCG(1, 2))
	states := 0
	current := 0
	for n := 0; n <= ops; n++ {
		for current+1 < len(steps) && steps[current+1].operations <= n {
			current++
		}
		cuts := []vfs.Cut{vfs.KeepAll, vfs.KeepNone, vfs.KeepSome(random), vfs.KeepSome(random)}
		if n > 0 {
			if o := h.disk.OpAt(n - 1); o.Kind == vfs.OpWrite {
				for i := range len(o.Data) {
					cuts = append(cuts, vfs.KeepBytes(i))
				}
			}
		}
		for i, cut := range cuts {
			states++
			disk := h.disk.After(n, cut)
			next := steps[min(current+1, len(steps)-1)]
			s, rec := reopen(t, disk, next.now)
			got := contents(t, s)
			acknowledged := steps[current].contentsAt(next.now)
			if !maps.Equal(got, acknowledged) && !maps.Equal(got, next.contentsAt(next.now)) {
				t.Fatalf("cut %d after operation %d (%v): differs from the acknowledged state by %v, from the next by %v; %+v",
					i, n, h.disk.OpAt(max(n-1, 0)), difference(got, acknowledged), difference(got, next.contentsAt(next.now)), rec)
			}
			if len(rec.Damaged) > 0 {
				t.Fatalf("cut %d after operation %d: a power cut is reported as damage: %v", i, n, rec.Damaged)
			}
			if i < 4 { // the recovered store accepts writes, compaction and a restart
				if err := s.Put("after", []byte("cut"), 0, Durable); err != nil {
					t.Fatal(err)
				}
				if err := s.Compact(context.Background()); err != nil {
					t.Fatal(err)
				}
				got["after"] = "cut"
				if now := contents(t, s); !maps.Equal(now, got) {
					t.Fatalf("after a write and a compaction: %v, want %v", now, got)
				}
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				s, _ = reopen(t, disk, next.now)
				if now := contents(t, s); !maps.Equal(now, got) {
					t.Fatalf("after a restart: %v, want %v", now, got)
				}
			}
		}
	}
	t.Logf("%d states after %d operations", states, ops)
}

// Guards the weaker guarantee of Buffered writes. A power cut may lose those that were not
// synced, but recovery must not return a value that was never written, nor a part of a
// batch. A crash of the process alone must lose no acknowledged write.
func TestEveryCutBuffered(t *testing.T) {
	h := newHarness(t)
	steps := workload(h, true, 80)
	history := map[string]bool{}
	for _, s := range steps {
		for k, v := range s.state {
			history[k+"="+v] = true
		}
	}
	random := rand.New(rand.NewPCG(3, 4))
	current := 0
	for n := 0; n <= h.disk.Ops(); n++ {
		for current+1 < len(steps) && steps[current+1].operations <= n {
			current++
		}
		next := steps[min(current+1, len(steps)-1)]
		cuts := []vfs.Cut{vfs.KeepAll, vfs.KeepNone, vfs.KeepSome(random), vfs.KeepSome(random), vfs.KeepSome(random)}
		for i, cut := range cuts {
			s, _ := reopen(t, h.disk.After(n, cut), next.now)
			got := contents(t, s)
			for k, v := range got {
				if !history[k+"="+v] && (current+1 >= len(steps) || steps[current+1].state[k] != v) {
					t.Fatalf("cut %d after operation %d: %s=%s was never written", i, n, k, v)
				}
				if !strings.HasPrefix(k, "m") && got["m"+k] != v {
					t.Fatalf("cut %d after operation %d: part of a batch: %s=%s, m%s=%s", i, n, k, v, k, got["m"+k])
				}
			}
			if i == 0 { // the process alone crashed: no acknowledged write is lost
				want := steps[current].contentsAt(next.now)
				if !maps.Equal(got, want) && !maps.Equal(got, next.contentsAt(next.now)) {
					t.Fatalf("after operation %d (%v): differs from the acknowledged state by %v, from the next by %v",
						n, h.disk.OpAt(max(n-1, 0)), difference(got, want), difference(got, next.contentsAt(next.now)))
				}
			}
		}
	}
}

// Guards against silent loss by damaged files. Every file is truncated at every byte, and
// every byte is changed. The store must open, mark as in doubt every key whose value differs,
// report the damage, and set the damaged segment aside without changing the contents.
func TestDamage(t *testing.T) {
	h := newHarness(t)
	workload(h, false, 50)
	h.apply(Durable, "k00", "last", "mk00", "last")
	if err := h.s.Sync(); err != nil {
		t.Fatal(err)
	}
	want := h.expected()
	names, err := h.disk.List(dir)
	if err != nil {
		t.Fatal(err)
	}
	newest := ""
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			newest = name
		}
	}
	check := func(what string, disk *vfs.Mem, name string) {
		s, rec := reopen(t, disk, h.now)
		got, lost := map[string]string{}, 0
		inDoubt := map[string]bool{}
		unreadable := 0
		err := s.Scan("", func(string, error) { unreadable++ }, func(e Entry) error {
			got[e.Key] = string(e.Value)
			inDoubt[e.Key] = e.InDoubt
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		for k, v := range got {
			if want[k] != v { // an older value, or a lost deletion
				if lost++; len(rec.Damaged) > 0 && !inDoubt[k] {
					t.Fatalf("%s: key %s is %q, want %q, and is not marked as in doubt", what, k, v, want[k])
				}
			}
		}
		for k := range want {
			if _, ok := got[k]; !ok {
				if lost++; len(rec.Damaged) > 0 && unreadable == 0 && !s.InDoubt(k) {
					t.Fatalf("%s: key %s is missing and is not marked as in doubt", what, k)
				}
			}
		}
		bytes := int64(0)
		for _, f := range append(rec.Damaged, rec.Torn...) {
			bytes += f.Size
		}
		// A truncated newest segment can't be told from a shorter log.
		if bytes += int64(len(s.Info().Faults)); lost > 0 && bytes == 0 &&
			!(name == newest && strings.Contains(what, " truncated at ")) {
			t.Fatalf("%s: %d keys differ and no fault is reported", what, lost)
		}
		if strings.HasSuffix(name, checkpointSuffix) && lost > 0 {
			t.Fatalf("%s: %d keys differ although the log is intact", what, lost)
		}
		if len(rec.Damaged)+unreadable > 0 {
			if err := s.Compact(context.Background()); err != nil {
				t.Fatal(err)
			}
			if now := contents(t, s); !maps.Equal(now, got) {
				t.Fatalf("%s: compaction changed %v to %v", what, got, now)
			}
			if i := s.Info(); i.SetAside == 0 || len(i.Faults) > 0 {
				t.Fatalf("%s: the damaged segment is not set aside: %+v", what, i)
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			rep, err := Verify(dir, Options{FS: disk, Now: func() int64 { return h.now }})
			if err != nil || len(rep.Faults) == 0 || !strings.HasSuffix(rep.Faults[0].File, damagedSuffix) {
				t.Fatalf("%s: Verify returned %+v, %v", what, rep, err)
			}
		}
	}
	for _, name := range names {
		whole := h.disk.Bytes(vfs.Join(dir, name))
		stride := 1
		if testing.Short() {
			stride = 7
		}
		for i := 0; i < len(whole); i += stride {
			truncated := h.disk.Clone()
			truncated.Put(vfs.Join(dir, name), whole[:i])
			check(fmt.Sprintf("%s truncated at %d of %d", name, i, len(whole)), truncated, name)
			changed := h.disk.Clone()
			b := append([]byte(nil), whole...)
			b[i] ^= 0x55
			changed.Put(vfs.Join(dir, name), b)
			if _, err := decodeHeader(b); name[8] == '-' && errors.As(err, new(*VersionError)) {
				continue
			}
			check(fmt.Sprintf("%s changed at %d of %d", name, i, len(whole)), changed, name)
		}
	}
}

// Guards against marking too many keys as in doubt: a key that was written after the damaged
// record is not in doubt, and a write of a key ends the state.
func TestInDoubtEndsWithWrite(t *testing.T) {
	h := newHarness(t)
	for _, kv := range [][2]string{{"a", "1"}, {"b", "1"}, {"a", "2"}, {"c", "1"}} {
		h.apply(Durable, kv[0], kv[1])
	}
	if err := h.s.Sync(); err != nil {
		t.Fatal(err)
	}
	names, err := h.disk.List(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		whole := h.disk.Bytes(vfs.Join(dir, name))
		at := strings.LastIndex(string(whole), "a2")
		if at < 0 {
			continue
		}
		b := slices.Clone(whole)
		b[at+1] ^= 1
		h.disk.Put(vfs.Join(dir, name), b)
	}
	s, rec := reopen(t, h.disk.Clone(), h.now)
	v, err := s.Get("a")
	if err != nil || string(v) != "1" || len(rec.Damaged) != 1 || rec.InDoubt != 2 {
		t.Fatalf("Get of a returned %q, %v; %+v", v, err, rec)
	}
	for key, want := range map[string]bool{"a": true, "b": true, "c": false, "never": true} {
		if got := s.InDoubt(key); got != want {
			t.Errorf("InDoubt of %s is %v", key, got)
		}
	}
	var batch Batch
	batch.Put("a", []byte("3"), 0)
	if err := s.Apply(&batch, Durable); err != nil {
		t.Fatal(err)
	}
	if s.InDoubt("a") {
		t.Error("a is still in doubt after a write")
	}
}

// The disk becomes full at any write of a compaction. Reads must still work, writes must fail
// with ErrFull and not be visible, and everything must work again once there is space.
func TestDiskFull(t *testing.T) {
	for failAfter := 0; ; failAfter++ {
		h := newHarness(t)
		workload(h, false, 30)
		want := h.expected()
		count, failed := 0, false
		h.disk.Fail(func(o vfs.Op) error {
			if o.Kind != vfs.OpWrite && o.Kind != vfs.OpCreate {
				return nil
			}
			count++
			if failed = count > failAfter; failed { // until Fail(nil)
				return &vfs.Torn{N: len(o.Data) / 2, Err: syscall.ENOSPC}
			}
			return nil
		})
		err := h.s.Compact(context.Background())
		if !failed {
			if err != nil {
				t.Fatal(err)
			}
			if failAfter < 4 {
				t.Fatalf("compaction took only %d writes", failAfter)
			}
			return
		}
		if !errors.Is(err, ErrFull) {
			t.Fatalf("write %d: compaction returned %v, want ErrFull", failAfter, err)
		}
		if got := contents(t, h.s); !maps.Equal(got, want) {
			t.Fatalf("write %d: contents are %v, want %v", failAfter, got, want)
		}
		if err := h.s.Put("k", []byte("v"), 0, Durable); !errors.Is(err, ErrFull) {
			t.Fatalf("write %d: a write to a full disk returned %v, want ErrFull", failAfter, err)
		}
		if _, err := h.s.Get("k"); !errors.Is(err, ErrNotFound) {
			t.Fatalf("write %d: a failed write is visible: %v", failAfter, err)
		}
		h.disk.Fail(nil)
		h.apply(Durable, "k", "v")
		if err := h.s.Compact(context.Background()); err != nil {
			t.Fatal(err)
		}
		s, rec := reopen(t, h.disk.After(h.disk.Ops(), vfs.KeepNone), h.now)
		if got := contents(t, s); !maps.Equal(got, h.expected()) || len(rec.Damaged) > 0 {
			t.Fatalf("write %d: contents after the disk has space again are %v, want %v; %v",
				failAfter, got, h.expected(), rec.Damaged)
		}
	}
}

// A sync fails, and the truncation after it works or fails too. The write that needed the
// sync must fail and not be visible, acknowledged writes must survive a power cut, and the
// segment must not be used again: a second sync of the file could succeed without the data.
func TestFailedSync(t *testing.T) {
	for _, truncates := range []bool{true, false} {
		h := newHarness(t)
		h.apply(Durable, "a", "1")
		h.apply(Buffered, "b", "2")
		var file string
		h.disk.Fail(func(o vfs.Op) error {
			if o.Kind == vfs.OpSync && (file == "" || o.Name == file) {
				file = o.Name
				return syscall.EIO
			}
			if o.Kind == vfs.OpTruncate && !truncates {
				return syscall.EIO
			}
			return nil
		})
		if err := h.s.Put("a", []byte("lost"), 0, Durable); err == nil || errors.Is(err, ErrFull) {
			t.Fatalf("a write whose sync failed returned %v", err)
		}
		if v, err := h.s.Get("a"); string(v) != "1" {
			t.Fatalf("Get of a returned %q, %v", v, err)
		}
		h.apply(Durable, "c", "3")
		if h.s.Stats.AbandonedSegments.Load() != 1 {
			t.Error("the segment was not abandoned")
		}
		h.disk.Fail(nil)
		for i, cut := range []vfs.Cut{vfs.KeepAll, vfs.KeepNone} {
			s, _ := reopen(t, h.disk.After(h.disk.Ops(), cut), h.now)
			if got := contents(t, s); !maps.Equal(got, h.expected()) {
				t.Errorf("truncates %v, cut %d: %v, want %v", truncates, i, got, h.expected())
			}
		}
	}
}

// Guards against buffered writes that a power cut takes after a successful Sync: a segment whose failed write could
// not be truncated was left as it was, and the next Sync looked at its successor only.
func TestSyncAfterFailedTruncation(t *testing.T) {
	h := newHarness(t)
	h.apply(Durable, "a", "1")
	h.apply(Buffered, "b", "2")
	h.disk.Fail(func(o vfs.Op) error {
		switch o.Kind {
		case vfs.OpWrite:
			return &vfs.Torn{N: len(o.Data) / 2, Err: syscall.EIO}
		case vfs.OpTruncate:
			return syscall.EIO
		}
		return nil
	})
	if err := h.s.Put("a", []byte("lost"), 0, Buffered); err == nil {
		t.Fatal("a write to a failing disk succeeded")
	}
	h.disk.Fail(nil)
	if err := h.s.Sync(); err != nil {
		t.Fatal(err)
	}
	for i, cut := range []vfs.Cut{vfs.KeepAll, vfs.KeepNone} {
		s, rec := reopen(t, h.disk.After(h.disk.Ops(), cut), h.now)
		if got := contents(t, s); !maps.Equal(got, h.expected()) || len(rec.Damaged) > 0 {
			t.Errorf("cut %d: contents are %v, want %v; damaged %v", i, got, h.expected(), rec.Damaged)
		}
	}
	h.apply(Durable, "c", "3")
	if h.s.Stats.AbandonedSegments.Load() != 1 {
		t.Error("the segment was not abandoned")
	}
}

// withDeletion returns a store with a key whose value is in one sealed segment and whose deletion in the next.
func withDeletion(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	for _, pairs := range [][]string{{"a", "1", "live", "x"}, {"a", ""}} {
		h.apply(Durable, pairs...)
		if err := h.s.runInWriter(h.s.rotate); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// Guards against deleted keys that return: compaction dropped a deletion although the file with the deleted value
// could not be removed, or its removal not be synced.
func TestDeletionOutlivesSegmentThatStays(t *testing.T) {
	for _, kind := range []vfs.OpKind{vfs.OpRemove, vfs.OpSyncDir} {
		h := withDeletion(t)
		stays := "" // the first file that is to be removed
		h.disk.Fail(func(o vfs.Op) error {
			if o.Kind == kind && (stays == "" || o.Name == stays) {
				stays = o.Name
				return syscall.EIO
			}
			return nil
		})
		for range 3 {
			if err := h.s.Compact(context.Background()); err == nil {
				t.Errorf("%v fails: compaction succeeded", kind)
			}
		}
		if got := contents(t, h.s); !maps.Equal(got, h.expected()) {
			t.Errorf("%v fails: contents are %v, want %v", kind, got, h.expected())
		}
		for _, cut := range []vfs.Cut{vfs.KeepAll, vfs.KeepNone} {
			s, rec := reopen(t, h.disk.After(h.disk.Ops(), cut), h.now)
			if got := contents(t, s); !maps.Equal(got, h.expected()) || len(rec.Damaged) > 0 {
				t.Errorf("%v fails: contents after a restart are %v, want %v; damaged %v",
					kind, got, h.expected(), rec.Damaged)
			}
		}
		h.disk.Fail(nil)
		if err := h.s.Compact(context.Background()); err != nil {
			t.Fatal(err)
		}
		s, _ := reopen(t, h.disk.After(h.disk.Ops(), vfs.KeepAll), h.now)
		if got := contents(t, s); !maps.Equal(got, h.expected()) {
			t.Errorf("contents after the disk works again are %v, want %v", got, h.expected())
		}
		if names, err := h.disk.List(dir); err != nil || len(names) > 3 {
			t.Errorf("files after the disk works again: %v, %v", names, err)
		}
	}
}

// Guards against deleted keys that return after a power cut which keeps a later removal of a file and not an earlier
// one.
func TestDeletionOutlivesRemovalsInAnyOrder(t *testing.T) {
	h := withDeletion(t)
	began := h.disk.Ops()
	if err := h.s.Compact(context.Background()); err != nil {
		t.Fatal(err)
	}
	last := func(o vfs.Op, i, of int) (bool, int) { return i == of-1, len(o.Data) }
	for n := began; n <= h.disk.Ops(); n++ {
		s, _ := reopen(t, h.disk.After(n, last), h.now)
		if got := contents(t, s); !maps.Equal(got, h.expected()) {
			t.Fatalf("cut after operation %d: contents are %v, want %v", n, got, h.expected())
		}
	}
}

// Guards against deletions that go too early or never: the index counts the stale records of each key exactly, also
// after compactions that could not remove a file.
func TestStaleRecordsAreCountedExactly(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t)
		for range 12 {
			for range 10 {
				value := "v"
				if random.IntN(4) == 0 {
					value = ""
				}
				h.apply(Durable, fmt.Sprint("k", random.IntN(8)), value)
			}
			h.disk.Fail(func(o vfs.Op) error {
				if o.Kind == vfs.OpRemove && random.IntN(2) == 0 {
					return syscall.EIO
				}
				return nil
			})
			_ = h.s.Compact(context.Background()) // may fail
			h.disk.Fail(nil)
		}
		opt := h.options()
		opt.FS, opt.ignoreCheckpoint = h.disk.After(h.disk.Ops(), vfs.KeepAll), true
		s, _, err := Open(dir, opt)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := staleRecords(h.s), staleRecords(s); !maps.Equal(got, want) {
			t.Errorf("seed %d: the store counts %v, on the disk are %v", seed, got, want)
		}
	}
}

// staleRecords returns the number of stale records of each key that has any.
func staleRecords(s *Store) map[string]uint32 {
	counts := map[string]uint32{}
	s.index.Ascend(func(it item) bool {
		if it.staleRecords > 0 {
			counts[it.key] = it.staleRecords
		}
		return true
	})
	return counts
}

// The smallest of several voids of one segment in one file counts, as it does across files.
func TestSmallestVoidCounts(t *testing.T) {
	disk := vfs.NewMem(false)
	file, err := disk.Create("/voids")
	if err != nil {
		t.Fatal(err)
	}
	const salt, other = 1, 7
	var records []byte
	for _, from := range []int64{100, 300, 200} {
		records = appendVoid(records, salt, headerSize+int64(len(records)), other, from)
	}
	if _, err := file.WriteAt(records, headerSize); err != nil {
		t.Fatal(err)
	}
	f := segmentFile{segment: &segment{name: "voids", salt: salt, file: file}, headerOK: true, size: headerSize + int64(len(records))}
	result, err := (&Store{}).scanSegment(f, 0)
	if err != nil || result.voids[other] != 100 {
		t.Errorf("voids %v, want one from 100 on; %v", result.voids, err)
	}
}

// Compares the store with a map under random operations, restarts and crashes of the process.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHarness(t)
		defer func() { _ = h.s.Close() }()
		key := rapid.SampledFrom([]string{"a", "b", "c", "d/1", "d/2", "", "\x00\xff"})
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 9).Draw(r, "what") {
			case 0:
				h.apply(Durable, key.Draw(r, "key"), "")
			case 1:
				h.now += int64(rapid.IntRange(1, 30).Draw(r, "ms"))
			case 2:
				if err := h.s.Compact(context.Background()); err != nil {
					r.Fatal(err)
				}
			case 3:
				if err := h.s.Close(); err != nil {
					r.Fatal(err)
				}
				h.open()
			case 4: // crash of the process
				remaining := h.disk.Clone()
				_ = h.s.Close()
				h.disk = remaining
				h.open()
			case 5:
				k, v := key.Draw(r, "key"), rapid.StringN(1, 9, 600).Draw(r, "value")
				e := h.now + int64(rapid.IntRange(1, 40).Draw(r, "ttl"))
				if err := h.s.Put(k, []byte(v), e, Durable); err != nil {
					r.Fatal(err)
				}
				h.model[k], h.expiries[k] = v, e
			case 6:
				h.s.sweep()
			default:
				h.apply(Durability(rapid.IntRange(0, 1).Draw(r, "durability")), key.Draw(r, "key"),
					rapid.StringN(1, 9, 300).Draw(r, "value"), key.Draw(r, "key2"), rapid.StringN(1, 9, 300).Draw(r, "value2"))
			}
			if got := contents(t, h.s); !maps.Equal(got, h.expected()) {
				r.Fatalf("contents are %q, want %q", got, h.expected())
			}
		}
	})
}

// Guards against disk use beyond its bound: writes that replace values counted as growth of the live data, by which the
// bound grows too.
func TestReplacedValuesDoNotRaiseBound(t *testing.T) {
	h := newHarness(t)
	h.apply(Durable, "old", strings.Repeat("x", 1000))
	group := func(keys ...string) []*pendingWrite {
		var ops []op
		size := int64(0)
		for _, key := range keys {
			ops = append(ops, op{key: key, value: make([]byte, 1000)})
			size += int64(ops[len(ops)-1].size())
		}
		return []*pendingWrite{{ops: ops, size: size}}
	}
	h.s.diskBytes = 2*h.s.liveBytes + h.s.opt.SlackBytes - 900
	for _, c := range []struct {
		group []*pendingWrite
		over  bool
	}{{group("new"), false}, {group("old"), true}, {group("new", "new", "new"), true}} {
		if over, _ := h.s.spaceNeeded(c.group); over != c.over {
			t.Errorf("%q: over %v, want %v", c.group[0].ops[0].key, over, c.over)
		}
	}
}

// On the operating system's file system, concurrent writers must share syncs, and disk use
// must stay within its bound while all keys are overwritten repeatedly.
func TestGroupCommitAndBound(t *testing.T) {
	s, _, err := Open(filepath.Join(t.TempDir(), "store"), Options{SlackBytes: 256 << 10})
	if err != nil {
		t.Fatal(err)
	}
	const writers, each = 16, 150
	var wg sync.WaitGroup
	value := []byte(strings.Repeat("v", 1000))
	for n := range writers {
		wg.Go(func() {
			for i := range each {
				if err := s.Put(fmt.Sprintf("k%d-%d", n, i%4), value, 0, Durable); err != nil {
					t.Error(err)
				}
				if info := s.Info(); info.DiskBytes > info.Bound {
					t.Errorf("%d bytes on the disk, the bound is %d", info.DiskBytes, info.Bound)
				}
			}
		})
	}
	wg.Wait()
	if n := s.Stats.Syncs.Load(); n >= writers*each*3/4 {
		t.Errorf("%d syncs for %d writes", n, writers*each)
	}
	if s.Len() != writers*4 || s.Stats.Compactions.Load() == 0 {
		t.Errorf("%d keys, %d compactions", s.Len(), s.Stats.Compactions.Load())
	}
	if _, _, err := Open(s.dir, Options{}); !errors.Is(err, vfs.ErrLocked) {
		t.Errorf("opening the store twice returned %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, rec, err := Open(s.dir, Options{})
	if err != nil || rec.Entries != writers*4 || !rec.Checkpoint {
		t.Fatalf("%+v, %v", rec, err)
	}
	if err := s.Put("k", nil, 0, Durable); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := s.Put("k", nil, 0, Durable); !errors.Is(err, ErrClosed) {
		t.Errorf("a write after Close returned %v", err)
	}
}

// A file with another version of the format is refused and not changed.
func TestOtherVersion(t *testing.T) {
	path := t.TempDir()
	b := header{id: 1, salt: 5}.encode()
	b[8] = 9
	checksum := crc32.Checksum(b[:headerSize-4], castagnoli)
	binary.LittleEndian.PutUint32(b[headerSize-4:], checksum)
	name := filepath.Join(path, segmentName(1, 5, segmentSuffix))
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	_, _, err := Open(path, Options{})
	var v *VersionError
	if !errors.As(err, &v) || v.Version != 9 {
		t.Fatalf("Open returned %v", err)
	}
	if now, _ := os.ReadFile(name); string(now) != string(b) {
		t.Error("the file was changed")
	}
}

// Any bytes in a segment: opening must not panic, and a compaction must not change the contents.
func FuzzRecovery(f *testing.F) {
	var ops = []op{{key: "k", value: []byte("v"), seq: 1}, {key: "k2", seq: 2, delete: true}}
	good := appendRecord(header{id: 1, salt: 5}.encode(), 5, headerSize, 0, ops, nil)
	f.Add(good)
	f.Add(good[:len(good)-3])
	f.Add(appendVoid(append([]byte(nil), good...), 5, int64(len(good)), 1, headerSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		disk := vfs.NewMem(false)
		disk.Put(vfs.Join(dir, segmentName(1, 5, segmentSuffix)), b)
		s, _, err := Open(dir, Options{FS: disk, Manual: true})
		if err != nil {
			return
		}
		before := contents(t, s)
		if err := s.Compact(context.Background()); err != nil {
			t.Fatal(err)
		}
		if after := contents(t, s); !maps.Equal(before, after) {
			t.Errorf("compaction changed %v to %v", before, after)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	})
}
