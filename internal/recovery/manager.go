// Package recovery brings a node back to full service after a start. It stores the store's identity,
// its checkpoints and the snapshot of what the decision module learned, passes the events of the
// node's loop to decide/recovery, which takes the decisions, and logs the results. It never blocks
// the loop: the only write that it waits for is that of the identity, before the node listens.
//
// The store holds the identity under "life/self", the last checkpoint under "life/mark" and the
// snapshot under "life/learned", all as CBOR (RFC 8949) with numbered fields.
package recovery

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	decide "robinmast/decide/recovery"
	"robinmast/internal/config"
	"robinmast/internal/settings"
	"robinmast/internal/store"
	"robinmast/rules"
)

const (
	identityKey        = "life/self"
	checkpointKey      = "life/mark"
	snapshotKey        = "life/learned"
	checkpointInterval = time.Second
)

// Counters are the counters of a Manager; any goroutine may read them.
type Counters struct {
	InDoubt      atomic.Int64 // requests failed because an earlier incarnation may have run them
	Snapshots    atomic.Int64 // snapshots written
	FailedWrites atomic.Int64 // writes that failed
	Discarded    atomic.Int64 // snapshots discarded because runs contradicted them
}

// Config is the configuration of a Manager.
type Config struct {
	Options         config.Recovery // the [comeback] section
	Store           *store.Store    // nil = nothing is stored
	StoreRecovery   store.Recovery  // what opening the store found
	HasResultCache  bool            // the store holds the result cache, so lost records put requests in doubt
	Node            string          // name of the node
	ControlServices int             // control services that can be asked for earlier incarnations
	Settings        rules.Settings
	Names           settings.Names
	Log             *slog.Logger
	WallClock       func() int64 // Unix milliseconds, nil = the system's
}

// Manager manages the recovery of one incarnation of a node. Its methods belong to the node's loop,
// except Identity, View and the counters, which any goroutine may use.
type Manager struct {
	Counters Counters

	cfg              Config
	log              *slog.Logger
	identity         decide.Identity        // belongs to the loop
	storeID          atomic.Pointer[string] // ID of the store, for reports
	startup          *decide.Startup
	check            *decide.StoreCheck // nil = there is no result cache
	found            decide.FoundState
	learned          *rules.Learned // of the snapshot in use, nil = none
	weight           float64
	warmStart        *decide.WarmStart
	pacer            decide.SnapshotPacer
	digest           uint64
	machineKind      string
	processStart     time.Time
	lastCheckpoint   time.Duration
	checkpoints      uint64
	storedCheckpoint atomic.Uint64 // number of the last checkpoint that was stored
	storedSince      time.Duration // StoreCheck.CompleteSince as last stored
	zeroUnix         int64         // Unix milliseconds at the zero of the loop's clock
	view             atomic.Pointer[View]
}

// View is the state of a node's recovery, for reports and counters.
type View struct {
	State           string  // name of the recovery.State
	RequestedShare  float64 // requested share of the load in full service
	Speed           float64 // share of its usual speed that the node has reached
	Integrity       string  // name of the recovery.Integrity, "" without a result cache
	IntegrityReason string  // reason for Memory
}

// Open reads what earlier incarnations stored and begins a new one; processStart is when the process
// started.
func Open(cfg Config, processStart time.Time) (*Manager, error) {
	k := &Manager{
		cfg: cfg, log: cfg.Log, processStart: processStart,
		machineKind: machineDescription(cfg.Settings.Cores), digest: settingsDigest(cfg.Settings, cfg.Names),
	}
	if k.cfg.WallClock == nil {
		k.cfg.WallClock = func() int64 { return time.Now().UnixMilli() }
	}
	if cfg.Store == nil {
		return k, nil
	}
	k.found = decide.FoundState{
		Keys: cfg.Store.Len(), UnreadablePlaces: len(cfg.StoreRecovery.Damaged), CompleteSince: math.MinInt64,
	}
	switch err := k.get(identityKey, &k.identity); {
	case errors.Is(err, store.ErrNotFound):
		k.found.Created = cfg.Store.Len() == 0
		if !k.found.Created { // written before stores had an identity: taken as this node's
			k.found.Node = cfg.Node
		}
		k.identity = decide.Identity{ID: newStoreID()}
	case err != nil:
		k.found.UnreadablePlaces++
		k.log.Error("store identity is unreadable", "err", err)
	default:
		k.found.Node = k.identity.Node
	}
	if err := k.get(checkpointKey, &k.found.Checkpoint); err != nil && !errors.Is(err, store.ErrNotFound) {
		k.found.UnreadablePlaces++
		k.log.Error("store checkpoint is unreadable", "err", err)
	}
	k.checkpoints = k.found.Checkpoint.N
	k.storedCheckpoint.Store(k.checkpoints)
	k.identity.Node = cfg.Node
	k.identity.Epoch++
	k.found.Identity = k.identity
	k.storeID.Store(&k.found.Identity.ID)
	if err := k.put(identityKey, k.identity, store.Durable); err != nil {
		// The next incarnation will use the same number and hold its store incomplete.
		k.log.Error("this incarnation is not stored: requests will be in doubt after the next start",
			"err", err)
	}
	if cfg.Options.Snapshot {
		k.loadSnapshot()
	}
	return k, nil
}

// loadSnapshot reads the snapshot and logs whether it is used.
func (k *Manager) loadSnapshot() {
	var snapshot decide.Snapshot
	err := k.get(snapshotKey, &snapshot)
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	if err != nil {
		k.log.Warn("snapshot not taken up", "why", err)
		return
	}
	weight, why := decide.SnapshotWeight(
		&snapshot, k.digest, k.machineKind, len(k.cfg.Settings.Classes), k.cfg.WallClock())
	if weight <= 0 {
		k.log.Info("snapshot not taken up", "why", why)
		return
	}
	k.learned, k.weight = &snapshot.Learned, weight
	k.log.Info("snapshot taken up, to be checked against runs",
		"age", time.Duration(k.cfg.WallClock()-snapshot.Taken)*time.Millisecond, "weight", math.Round(100*weight)/100,
		"limit", math.Round(snapshot.Learned.Limit), "rate", math.Round(snapshot.Learned.Rate))
}

// get reads the value of a key from the store.
func (k *Manager) get(key string, into any) error {
	text, err := k.cfg.Store.Get(key)
	if err == nil {
		err = cbor.Unmarshal(text, into)
	}
	return err
}

// put writes a value to the store and waits for it.
func (k *Manager) put(key string, v any, d store.Durability) error {
	var b store.Batch
	text, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	b.Put(key, text, 0)
	return k.cfg.Store.Apply(&b, d)
}

// putAsync writes a value to the store without waiting for it.
func (k *Manager) putAsync(key string, v any) {
	var b store.Batch
	text, err := cbor.Marshal(v)
	if err != nil { // the types have nothing that can't be encoded
		panic(err)
	}
	b.Put(key, text, 0)
	k.cfg.Store.ApplyAsync(&b, store.Buffered, func(err error) {
		if err != nil {
			k.Counters.FailedWrites.Add(1)
		} else if checkpoint, ok := v.(decide.Checkpoint); ok {
			k.storedCheckpoint.Store(checkpoint.N)
		}
	})
}

// Begin starts the recovery at the loop's time now, when the process has read its store. It must be
// called before the other methods of the loop.
func (k *Manager) Begin(now time.Duration) {
	settings := decide.StartupSettings{
		Cores: k.cfg.Settings.Cores, ColdSpeed: k.cfg.Settings.ColdSpeed, WarmUpTime: k.cfg.Settings.WarmUpTime,
	}
	if k.learned != nil {
		for _, c := range k.learned.Classes {
			settings.UsualRuns = append(settings.UsualRuns, c.Base)
		}
	}
	processStart := now - time.Since(k.processStart)
	k.startup = decide.NewStartup(processStart, now, settings)
	k.zeroUnix = k.cfg.WallClock() - now.Milliseconds()
	if k.cfg.Store == nil || !k.cfg.HasResultCache {
		return
	}
	if k.identity.CompleteSince != 0 {
		k.found.CompleteSince = time.Duration(k.identity.CompleteSince-k.zeroUnix) * time.Millisecond
	}
	k.check = decide.NewStoreCheck(processStart, k.found, k.cfg.ControlServices)
	k.storedSince = k.found.CompleteSince
	if integrity, _ := k.check.Integrity(now); integrity != decide.Intact {
		k.reportIntegrity(k.check.Describe())
	}
}

// reportIntegrity logs a line of the StoreCheck, if any, and stores CompleteSince if it changed.
func (k *Manager) reportIntegrity(line string) {
	if line == "" {
		return
	}
	k.log.Warn("comeback", "line", line, "store", k.identity.ID, "life", k.identity.Epoch)
	if completeSince := k.check.CompleteSince(); completeSince != k.storedSince {
		k.storedSince = completeSince
		k.identity.CompleteSince = k.zeroUnix + completeSince.Milliseconds()
		// Its checkpoints continue those of a copy: under the old ID they would pass for those already reported.
		id := newStoreID()
		k.identity.ID = id
		k.storeID.Store(&id)
		k.putAsync(identityKey, k.identity)
	}
}

// newStoreID returns a random ID for a store.
func newStoreID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// Identity returns what the node's reports say about its store, nil if there is no result cache. Any
// goroutine may call it.
func (k *Manager) Identity() *decide.PreviousStore {
	if k.cfg.Store == nil || !k.cfg.HasResultCache {
		return nil
	}
	return &decide.PreviousStore{
		ID: *k.storeID.Load(), Epoch: k.found.Identity.Epoch, Checkpoint: k.storedCheckpoint.Load(),
	}
}

// ObservePrevious takes what a control service knows of an earlier incarnation, nil = of none.
func (k *Manager) ObservePrevious(now time.Duration, previous *decide.PreviousStore) {
	if k.check != nil {
		k.reportIntegrity(k.check.ObservePrevious(now, previous))
	}
}

// FleetCapacity takes the share of the fleet's usual capacity that was there at the time since.
func (k *Manager) FleetCapacity(since time.Duration, share float64) {
	k.startup.FleetCapacity(since, share)
}

// WorkerPoolUp reports that the worker pool is up, since when, and whether it started cold. It returns
// what the decision module may start from, nil = nothing, with its weight and the share of its usual
// speed at which the node starts.
func (k *Manager) WorkerPoolUp(now, since time.Duration, cold bool) (learned *rules.Learned, weight, speed float64) {
	k.startup.WorkerPoolUp(now, since, cold)
	if k.check != nil {
		k.reportIntegrity(k.check.WorkerPoolUp(since))
	}
	if k.learned == nil {
		return nil, 0, 0
	}
	speed = k.startup.Speed(now)
	k.warmStart = decide.NewWarmStart(*k.learned, speed)
	return k.learned, k.weight, speed
}

// InDoubt reports whether a request without a record may have run in an earlier incarnation and must
// not run again. key links the tries of a request, 0 = nothing does; age is the time since the request
// reached the machine.
func (k *Manager) InDoubt(now time.Duration, class int, key uint64, furtherTry bool, age time.Duration) bool {
	if k.check == nil {
		return false
	}
	c := &k.cfg.Settings.Classes[class]
	window := c.IdempotencyWindow
	if c.Effect == rules.Unsafe { // nothing links its tries: one may come as long as its caller waits
		window = c.Deadline
	}
	if c.Effect == rules.Keyed && k.cfg.Options.RunKeyed || c.Effect == rules.Unsafe && k.cfg.Options.RunUnsafe {
		return false
	}
	if !k.check.MayHaveRun(now, c.Effect, window, key, furtherTry, age) {
		return false
	}
	k.Counters.InDoubt.Add(1)
	return true
}

// Arrived reports the arrival of a request; furtherTry marks a further try.
func (k *Manager) Arrived(now time.Duration, furtherTry bool) { k.startup.Arrived(now, furtherTry) }

// RunSucceeded reports a successful run: how long it took, and the caller's hint of that, 0 = no hint.
// It returns whether the decision module must discard what it took from the snapshot.
func (k *Manager) RunSucceeded(now time.Duration, class int, took, hint time.Duration) (discard bool) {
	k.startup.RunSucceeded(now, class, took, hint)
	if k.warmStart == nil || k.warmStart.Settled() {
		return false
	}
	if reason := k.warmStart.ObserveRun(class, took, k.startup.Speed(now)); reason != "" {
		k.Counters.Discarded.Add(1)
		k.log.Warn("snapshot dropped", "why", reason)
		k.learned = nil
		return true
	}
	return false
}

// Step advances the recovery, and stores a checkpoint and a snapshot when they are due. short says
// that the whole fleet is short of capacity; learned is called if a snapshot may be due. It returns the
// share of its full-service load that the node requests, and the share of its usual speed that it has
// reached.
func (k *Manager) Step(now time.Duration, short bool, learned func() rules.Learned) (share, speed float64) {
	k.startup.FleetShortage(short)
	share, line := k.startup.Step(now)
	if line != "" {
		k.log.Info("comeback", "line", line, "in_doubt", k.Counters.InDoubt.Load())
	}
	speed = k.startup.Speed(now)
	state, _ := k.startup.State()
	view := View{State: state.String(), RequestedShare: share, Speed: speed}
	if k.check != nil {
		integrity, reason := k.check.Integrity(now)
		view.Integrity, view.IntegrityReason = integrity.String(), reason
	}
	k.view.Store(&view)
	if k.cfg.Store == nil || now-k.lastCheckpoint < checkpointInterval {
		return share, speed
	}
	k.lastCheckpoint = now
	k.checkpoint()
	if k.cfg.Options.Snapshot {
		if figures := learned(); k.pacer.Due(now, &figures) {
			k.storeSnapshot(figures)
		}
	}
	return share, speed
}

// checkpoint stores how many keys the store holds: an incarnation that finds fewer, or an older
// checkpoint than a control service received, has lost some.
func (k *Manager) checkpoint() {
	if k.cfg.HasResultCache {
		k.checkpoints++
		k.putAsync(checkpointKey, decide.Checkpoint{N: k.checkpoints, Keys: k.cfg.Store.Len()})
	}
}

// storeSnapshot stores what the decision module learned.
func (k *Manager) storeSnapshot(learned rules.Learned) {
	k.Counters.Snapshots.Add(1)
	k.putAsync(snapshotKey, decide.Snapshot{
		Version: decide.SnapshotVersion, SettingsDigest: k.digest, Machine: k.machineKind, Taken: k.cfg.WallClock(),
		Learned: learned,
	})
}

// View returns the state of the recovery, nil before the first step.
func (k *Manager) View() *View { return k.view.Load() }

// Close stores a last checkpoint and snapshot. The loop must have ended, and the store must be open.
func (k *Manager) Close(learned rules.Learned) {
	if k.cfg.Store == nil {
		return
	}
	k.checkpoint()
	if k.cfg.Options.Snapshot && len(learned.Classes) > 0 {
		k.storeSnapshot(learned)
	}
}

// machineDescription describes the kind of machine that learned figures apply to.
func machineDescription(cores int) string {
	name := "unknown"
	if f, err := os.Open("/proc/cpuinfo"); err == nil {
		defer f.Close()
		for s := bufio.NewScanner(f); s.Scan(); {
			if key, value, ok := strings.Cut(s.Text(), ":"); ok && strings.TrimSpace(key) == "model name" {
				name = strings.TrimSpace(value)
				break
			}
		}
	}
	return fmt.Sprintf("%s, %s, %d cores of work", name[:min(len(name), 80)], runtime.GOARCH, cores)
}
