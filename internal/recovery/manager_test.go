package recovery

import (
	"bytes"
	"log/slog"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	decide "robinmast/decide/recovery"
	"robinmast/internal/config"
	"robinmast/internal/settings"
	"robinmast/internal/standin"
	"robinmast/internal/store"
	"robinmast/internal/store/vfs"
	"robinmast/rules"
)

const second = time.Second

// testNode is a node whose disk and clock outlive its incarnations.
type testNode struct {
	t        *testing.T
	disk     *vfs.Mem
	wall     int64
	log      bytes.Buffer
	settings rules.Settings
	name     string
	diskFull bool // writes fail once the store is open
}

// newTestNode returns a node with an empty disk.
func newTestNode(t *testing.T) *testNode {
	return &testNode{t: t, disk: vfs.NewMem(false), wall: 1_800_000_000_000, name: "n1", settings: rules.Settings{
		Cores: 2, ColdSpeed: 0.33, WarmUpTime: 3 * second, Classes: []rules.Class{
			{Deadline: 2 * second},
			{Effect: rules.Keyed, IdempotencyWindow: 10 * second, Deadline: 2 * second},
			{Effect: rules.Unsafe, Deadline: 2 * second},
		},
	}}
}

// start begins an incarnation.
func (n *testNode) start(snapshot bool) (m *Manager, s *store.Store) {
	n.t.Helper()
	s, rec, err := store.Open("/s", store.Options{FS: n.disk, Manual: true})
	if err != nil {
		n.t.Fatal(err)
	}
	if n.diskFull {
		n.disk.Fail(func(vfs.Op) error { return syscall.ENOSPC })
	}
	n.log.Reset()
	m, err = Open(Config{
		Options: config.Recovery{Enabled: true, Snapshot: snapshot}, Store: s, StoreRecovery: rec, HasResultCache: true,
		Node: n.name, ControlServices: 1, Settings: n.settings, Names: settings.Names{Classes: []string{"a", "b", "c"}},
		Log: slog.New(slog.NewTextHandler(&n.log, nil)), WallClock: func() int64 { return n.wall },
	}, time.Now())
	if err != nil {
		n.t.Fatal(err)
	}
	m.Begin(0)
	return m, s
}

// stop ends an incarnation and closes its store.
func (n *testNode) stop(m *Manager, s *store.Store, l rules.Learned) {
	n.t.Helper()
	m.Close(l)
	if err := s.Close(); err != nil {
		n.t.Fatal(err)
	}
}

// learned returns learned values of three classes.
func learned() rules.Learned {
	c := rules.LearnedClass{MeanLatency: 0.02, BaselineLatency: 0.02, Samples: 50, MeanHint: 0.02, HintVariance: 1e-4, HintCovariance: 1e-4}
	return rules.Learned{RunLimit: 4, DrainRate: 90, Classes: []rules.LearnedClass{c, c, c}}
}

// Incarnations are numbered, a store keeps its identity, and the report of the previous incarnation shows
// whether the store is an older copy. After a loss requests stay in doubt over another restart, and the
// store of another node is not accepted.
func TestIncarnationsOfOneStore(t *testing.T) {
	node := newTestNode(t)
	m, s := node.start(false)
	first := *m.Identity()
	if first.Epoch != 1 || len(first.ID) != 32 || !strings.Contains(node.log.String(), "memory unproven") {
		t.Fatalf("identity %+v, log %s", first, node.log.String())
	}
	m.ObservePrevious(second, nil)
	copied := node.disk.Clone()
	for now := second; now <= 4*second; now += second / 2 {
		m.Step(now, false, learned)
	}
	standin.Eventually(t, "checkpoints", func() bool { return m.Identity().Checkpoint >= 3 })
	previous := *m.Identity()
	node.stop(m, s, rules.Learned{})
	m, s = node.start(false)
	m.ObservePrevious(second, &previous)
	if integrity, why := m.storeCheck.Integrity(second); integrity != decide.Intact ||
		m.Identity().Epoch != 2 || m.Identity().ID != first.ID {
		t.Errorf("integrity %v (%s), identity %+v", integrity, why, m.Identity())
	}
	node.stop(m, s, rules.Learned{})
	node.disk = copied
	m, s = node.start(false)
	m.ObservePrevious(second, &previous)
	if !strings.Contains(node.log.String(), "older copy") || !m.InDoubt(2*second, 1, 1, true, 0) ||
		m.InDoubt(2*second, 0, 1, true, 0) || m.Counters.InDoubt.Load() != 1 {
		t.Errorf("an older copy is not recognised: %s", node.log.String())
	}
	standin.Eventually(t, "the time of the loss is stored", func() bool {
		var id decide.Identity
		return m.get(identityKey, &id) == nil && id.CompleteSince != 0
	})
	node.stop(m, s, rules.Learned{})
	node.wall += 2000 // the next incarnation, 2 s later, treats the same requests as in doubt
	m, s = node.start(false)
	if !m.InDoubt(second, 1, 2, true, 0) || m.InDoubt(9*second, 1, 2, true, 0) {
		t.Error("the next incarnation does not treat requests as in doubt for just the rest of the window")
	}
	node.stop(m, s, rules.Learned{})
	node.name = "n2"
	m, s = node.start(false)
	if !strings.Contains(node.log.String(), "the results directory belongs to node n1") {
		t.Errorf("the store of another node is accepted: %s", node.log.String())
	}
	node.stop(m, s, rules.Learned{})
}

// With a full disk at the start the node serves and logs that its incarnation is not stored. The next
// incarnation recognises that its store is incomplete.
func TestStartOnFullDisk(t *testing.T) {
	node := newTestNode(t)
	m, s := node.start(false)
	node.stop(m, s, rules.Learned{})
	complete := node.disk
	node.disk = complete.Clone()
	node.diskFull = true
	m, s = node.start(false)
	node.diskFull = false
	if !strings.Contains(node.log.String(), "this incarnation is not stored") {
		t.Fatalf("a full disk logs %s", node.log.String())
	}
	previous := *m.Identity()
	_ = s.Close() // as a crash would leave it
	node.disk = complete
	m, s = node.start(false)
	m.ObservePrevious(second, &previous)
	if integrity, _ := m.storeCheck.Integrity(second); integrity != decide.Incomplete {
		t.Errorf("integrity %v after an incarnation that could not be stored", integrity)
	}
	node.stop(m, s, rules.Learned{})
}

// A snapshot is used by the next incarnation, unless it is outdated, unreadable or of other settings, and
// is discarded when runs contradict it.
func TestSnapshotAcrossRestarts(t *testing.T) {
	node := newTestNode(t)
	m, s := node.start(true)
	node.stop(m, s, learned())
	m, s = node.start(true)
	l, weight, speed := m.WorkerPoolUp(second, second, true)
	if l == nil || weight < 0.9 || speed > 0.4 || !strings.Contains(node.log.String(), "snapshot taken up") {
		t.Fatalf("%v at %v, speed %v: %s", l, weight, speed, node.log.String())
	}
	dropped := false
	for i := range 12 {
		dropped = dropped || m.RunSucceeded(second+time.Duration(i)*time.Millisecond, 0, second, 20*time.Millisecond)
	}
	if !dropped || m.Counters.Discarded.Load() != 1 {
		t.Error("the snapshot is not discarded after runs of sixteen times the length")
	}
	node.stop(m, s, rules.Learned{})
	for name, change := range map[string]func(){
		"other settings":  func() { node.settings.WarmUpTime++ },
		"too old":         func() { node.wall += (13 * time.Hour).Milliseconds() },
		"clock went back": func() { node.wall -= (14 * time.Hour).Milliseconds() },
		"unreadable": func() {
			s, _, err := store.Open("/s", store.Options{FS: node.disk, Manual: true})
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
		was, disk, wall := node.settings, node.disk, node.wall
		node.disk = disk.Clone()
		change()
		m, s := node.start(true)
		if l, _, _ := m.WorkerPoolUp(second, second, false); l != nil || !strings.Contains(node.log.String(), "snapshot not taken up") {
			t.Errorf("%s: snapshot is used: %s", name, node.log.String())
		}
		_ = s.Close()
		node.settings, node.disk, node.wall = was, disk, wall
	}
}

// Snapshots stored by earlier releases must still be read, so the map keys of the learned figures are fixed.
func TestStoredSnapshotKeys(t *testing.T) {
	encoded, err := cbor.Marshal(decide.Snapshot{Learned: learned()})
	if err != nil {
		t.Fatal(err)
	}
	var snapshot map[int]any
	if err := cbor.Unmarshal(encoded, &snapshot); err != nil {
		t.Fatal(err)
	}
	class := map[any]any{"Mean": 0.02, "Base": 0.02, "Runs": 50.0, "Hint": 0.02, "Var": 1e-4, "Cov": 1e-4}
	want := map[any]any{"Limit": 4.0, "Rate": 90.0, "Classes": []any{class, class, class}}
	if !reflect.DeepEqual(snapshot[5], want) {
		t.Errorf("the learned figures are stored as %v, want %v", snapshot[5], want)
	}
}
