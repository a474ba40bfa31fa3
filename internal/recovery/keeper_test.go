package recovery

import (
	"bytes"
	"log/slog"
	"strings"
	"syscall"
	"testing"
	"time"

	decide "robinmast/decide/recovery"
	"robinmast/internal/config"
	"robinmast/internal/settings"
	"robinmast/internal/standin"
	"robinmast/internal/store"
	"robinmast/internal/store/vfs"
	"robinmast/rules"
)

const second = time.Second

// world is a node's disk across its lives.
type testNode struct {
	t        *testing.T
	disk     *vfs.Mem
	wall     int64
	log      bytes.Buffer
	settings rules.Settings
	name     string
	diskFull bool // the disk, once the store is open
}

func newTestNode(t *testing.T) *testNode {
	return &testNode{t: t, disk: vfs.NewMem(false), wall: 1_800_000_000_000, name: "n1", settings: rules.Settings{
		Cores: 2, ColdSpeed: 0.33, WarmUpTime: 3 * second, Classes: []rules.Class{
			{Deadline: 2 * second}, {Effect: rules.Keyed, IdempotencyWindow: 10 * second, Deadline: 2 * second}, {Effect: rules.Unsafe, Deadline: 2 * second}},
	}}
}

// life begins a life; end closes its store.
func (w *testNode) start(snapshot bool) (k *Keeper, s *store.Store) {
	w.t.Helper()
	s, rec, err := store.Open("/s", store.Options{FS: w.disk, Manual: true})
	if err != nil {
		w.t.Fatal(err)
	}
	if w.diskFull {
		w.disk.Fail(func(vfs.Op) error { return syscall.ENOSPC })
	}
	w.log.Reset()
	k, err = Open(Config{Own: config.Recovery{Enabled: true, Snapshot: snapshot}, Store: s, Recovery: rec, Results: true, Node: w.name, Listens: 1,
		Settings: w.settings, Names: settings.Names{Classes: []string{"a", "b", "c"}}, Log: slog.New(slog.NewTextHandler(&w.log, nil)),
		Wall: func() int64 { return w.wall }}, time.Now())
	if err != nil {
		w.t.Fatal(err)
	}
	k.Begin(0)
	return k, s
}

func (w *testNode) stop(k *Keeper, s *store.Store, l rules.Learned) {
	w.t.Helper()
	k.Close(l)
	if err := s.Close(); err != nil {
		w.t.Fatal(err)
	}
}

func learned() rules.Learned {
	c := rules.LearnedClass{Mean: 0.02, Base: 0.02, Runs: 50, Hint: 0.02, Var: 1e-4, Cov: 1e-4}
	return rules.Learned{Limit: 4, Rate: 90, Classes: []rules.LearnedClass{c, c, c}}
}

// Lives are numbered, a store keeps its identity, and what was heard of the last life
// tells a kept folder from an older copy.
func TestIncarnationsOfOneStore(t *testing.T) {
	w := newTestNode(t)
	k, s := w.start(false)
	first := *k.Identity()
	if first.Epoch != 1 || len(first.ID) != 32 || !strings.Contains(w.log.String(), "memory unproven") {
		t.Fatalf("%+v, says %s", first, w.log.String())
	}
	k.ObservePrevious(second, nil)
	copied := w.disk.Clone()
	for now := second; now <= 4*second; now += second / 2 {
		k.Step(now, false, learned)
	}
	standin.Eventually(t, "marks", func() bool { return k.Identity().Checkpoint >= 3 })
	heard := *k.Identity()
	w.stop(k, s, rules.Learned{})
	k, s = w.start(false)
	k.ObservePrevious(second, &heard)
	if m, why := k.check.Integrity(second); m != decide.Intact || k.Identity().Epoch != 2 || k.Identity().ID != first.ID {
		t.Errorf("memory %v (%s), %+v", m, why, k.Identity())
	}
	w.stop(k, s, rules.Learned{})
	w.disk = copied
	k, s = w.start(false)
	k.ObservePrevious(second, &heard)
	if !strings.Contains(w.log.String(), "older copy") || !k.InDoubt(2*second, 1, 1, true, 0) || k.InDoubt(2*second, 0, 1, true, 0) || k.Counters.InDoubt.Load() != 1 {
		t.Errorf("an older copy is not doubted: %s", w.log.String())
	}
	standin.Eventually(t, "the doubt is stored", func() bool {
		var id decide.Identity
		return k.get(identityKey, &id) == nil && id.CompleteSince != 0
	})
	w.stop(k, s, rules.Learned{})
	w.wall += 2000 // the next life, 2 s later, doubts the same
	k, s = w.start(false)
	if !k.InDoubt(second, 1, 2, true, 0) || k.InDoubt(9*second, 1, 2, true, 0) {
		t.Error("the life after does not doubt for the rest of the window, or for longer")
	}
	w.stop(k, s, rules.Learned{})
	w.name = "n2"
	k, s = w.start(false)
	if !strings.Contains(w.log.String(), "the folder is that of n1") {
		t.Errorf("another node's folder passes for its own: %s", w.log.String())
	}
	w.stop(k, s, rules.Learned{})
}

// A full disk at the start: the node serves, says so, and the next life doubts.
func TestStartOnFullDisk(t *testing.T) {
	w := newTestNode(t)
	k, s := w.start(false)
	w.stop(k, s, rules.Learned{})
	whole := w.disk
	w.disk = whole.Clone()
	w.diskFull = true
	k, s = w.start(false)
	w.diskFull = false
	if !strings.Contains(w.log.String(), "this life can't be noted") {
		t.Fatalf("a full disk says %s", w.log.String())
	}
	heard := *k.Identity()
	_ = s.Close() // as a crash would leave it
	w.disk = whole
	k, s = w.start(false)
	k.ObservePrevious(second, &heard)
	if m, _ := k.check.Integrity(second); m != decide.Incomplete {
		t.Errorf("after a life that could not be noted memory is %v", m)
	}
	w.stop(k, s, rules.Learned{})
}

// Snapshots go from life to life; what speaks against one keeps it from being taken
// up, and runs that differ from it have it dropped.
func TestSnapshotAcrossRestarts(t *testing.T) {
	w := newTestNode(t)
	k, s := w.start(true)
	w.stop(k, s, learned())
	k, s = w.start(true)
	l, weight, speed := k.WorkerPoolUp(second, second, true)
	if l == nil || weight < 0.9 || speed > 0.4 || !strings.Contains(w.log.String(), "snapshot taken up") {
		t.Fatalf("%v at %v, speed %v: %s", l, weight, speed, w.log.String())
	}
	dropped := false
	for i := range 12 {
		dropped = dropped || k.RunSucceeded(second+time.Duration(i)*time.Millisecond, 0, second, 20*time.Millisecond)
	}
	if !dropped || k.Counters.Dropped.Load() != 1 {
		t.Error("runs sixteen times as long do not speak against it")
	}
	w.stop(k, s, rules.Learned{})
	for name, change := range map[string]func(){
		"another site": func() { w.settings.WarmUpTime++ },
		"too old":      func() { w.wall += (13 * time.Hour).Milliseconds() },
		"clock back":   func() { w.wall -= (14 * time.Hour).Milliseconds() },
		"bit flips": func() {
			s, _, err := store.Open("/s", store.Options{FS: w.disk, Manual: true})
			if err != nil {
				t.Fatal(err)
			}
			var b store.Batch
			b.Put(snapshotKey, []byte{0xa5, 1, 2, 3}, 0)
			if err := s.Apply(&b, store.Durable); err != nil {
				t.Fatal(err)
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
		},
	} {
		was, disk, wall := w.settings, w.disk, w.wall
		w.disk = disk.Clone()
		change()
		k, s := w.start(true)
		if l, _, _ := k.WorkerPoolUp(second, second, false); l != nil || !strings.Contains(w.log.String(), "snapshot not taken up") {
			t.Errorf("%s: taken up: %s", name, w.log.String())
		}
		_ = s.Close()
		w.settings, w.disk, w.wall = was, disk, wall
	}
}
