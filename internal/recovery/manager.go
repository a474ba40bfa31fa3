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

// Manager tracks the recovery of one incarnation of a node. Its methods belong to the node's loop,
// except Identity, View and the counters, which any goroutine may use.
type Manager struct {
	Counters Counters

	cfg              Config
	log              *slog.Logger
	identity         decide.Identity        // belongs to the loop
	storeID          atomic.Pointer[string] // ID of the store, for reports
	startup          *decide.Startup
	storeCheck       *decide.StoreCheck // nil = there is no result cache
	foundState       decide.FoundState  // what Open found in the store
	learned          *rules.Learned     // of the snapshot in use, nil = none
	weight           float64            // of learned, 0 to 1
	warmStart        *decide.WarmStart  // checks learned against runs, nil = no snapshot was used
	snapshotPacer    decide.SnapshotPacer
	digest           uint64 // of the settings, see settingsDigest
	machineKind      string // see machineDescription
	processStart     time.Time
	lastCheckpoint   time.Duration // time of the last checkpoint on the loop's clock
	checkpoints      uint64        // number of the last checkpoint
	storedCheckpoint atomic.Uint64 // number of the last checkpoint that was stored
	storedSince      time.Duration // StoreCheck.CompleteSince as last stored
	zeroUnix         int64         // Unix milliseconds at the zero of the loop's clock
	view             atomic.Pointer[View]
}

// View is the state of a node's recovery, for reports and counters.
type View struct {
	State           string  // name of the decide/recovery State
	RequestedShare  float64 // requested share of the load in full service
	Speed           float64 // share of its usual speed that the node has reached
	Integrity       string  // name of the decide/recovery Integrity, "" without a result cache
	IntegrityReason string  // reason for Integrity
}

// Open reads what earlier incarnations stored and begins a new one; processStart is when the process
// started. Stored state that is unreadable, and an identity that cannot be written, are logged: the node
// starts all the same.
func Open(cfg Config, processStart time.Time) (*Manager, error) {
	m := &Manager{
		cfg: cfg, log: cfg.Log, processStart: processStart,
		machineKind: machineDescription(cfg.Settings.Cores), digest: settingsDigest(cfg.Settings, cfg.Names),
	}
	if m.cfg.WallClock == nil {
		m.cfg.WallClock = func() int64 { return time.Now().UnixMilli() }
	}
	if cfg.Store == nil {
		return m, nil
	}
	m.foundState = decide.FoundState{
		Keys: cfg.Store.Len(), UnreadablePlaces: len(cfg.StoreRecovery.Damaged), CompleteSince: math.MinInt64,
	}
	switch err := m.get(identityKey, &m.identity); {
	case errors.Is(err, store.ErrNotFound):
		m.foundState.Created = cfg.Store.Len() == 0
		if !m.foundState.Created { // written before stores had an identity: taken as this node's
			m.foundState.Node = cfg.Node
		}
		m.identity = decide.Identity{ID: newStoreID()}
	case err != nil:
		m.foundState.UnreadablePlaces++
		m.log.Error("store identity is unreadable", "err", err)
	default:
		m.foundState.Node = m.identity.Node
	}
	if err := m.get(checkpointKey, &m.foundState.Checkpoint); err != nil && !errors.Is(err, store.ErrNotFound) {
		m.foundState.UnreadablePlaces++
		m.log.Error("store checkpoint is unreadable", "err", err)
	}
	m.checkpoints = m.foundState.Checkpoint.N
	m.storedCheckpoint.Store(m.checkpoints)
	m.identity.Node = cfg.Node
	m.identity.Epoch++
	m.foundState.Identity = m.identity
	m.storeID.Store(&m.foundState.Identity.ID)
	if err := m.put(identityKey, m.identity, store.Durable); err != nil {
		// The next incarnation will have the same number, so its store will count as incomplete.
		m.log.Error("this incarnation is not stored: requests will be in doubt after the next start",
			"err", err)
	}
	if cfg.Options.Snapshot {
		m.loadSnapshot()
	}
	return m, nil
}

// loadSnapshot reads the snapshot and logs whether it is used.
func (m *Manager) loadSnapshot() {
	var snapshot decide.Snapshot
	err := m.get(snapshotKey, &snapshot)
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	if err != nil {
		m.log.Warn("snapshot not taken up", "why", err)
		return
	}
	weight, why := decide.SnapshotWeight(
		&snapshot, m.digest, m.machineKind, len(m.cfg.Settings.Classes), m.cfg.WallClock())
	if weight <= 0 {
		m.log.Info("snapshot not taken up", "why", why)
		return
	}
	m.learned, m.weight = &snapshot.Learned, weight
	m.log.Info("snapshot taken up, to be checked against runs",
		"age", time.Duration(m.cfg.WallClock()-snapshot.Taken)*time.Millisecond, "weight", math.Round(100*weight)/100,
		"limit", math.Round(snapshot.Learned.RunLimit), "rate", math.Round(snapshot.Learned.DrainRate))
}

// get reads the value of a key from the store. The error is that of the store or of the decoding.
func (m *Manager) get(key string, into any) error {
	text, err := m.cfg.Store.Get(key)
	if err == nil {
		err = cbor.Unmarshal(text, into)
	}
	return err
}

// put writes a value to the store and waits for it.
func (m *Manager) put(key string, v any, d store.Durability) error {
	var b store.Batch
	text, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	b.Put(key, text, 0)
	return m.cfg.Store.Apply(&b, d)
}

// putAsync writes a value to the store without waiting for it.
func (m *Manager) putAsync(key string, v any) {
	var b store.Batch
	text, err := cbor.Marshal(v)
	if err != nil { // both stored types can be encoded
		panic(err)
	}
	b.Put(key, text, 0)
	m.cfg.Store.ApplyAsync(&b, store.Buffered, func(err error) {
		if err != nil {
			m.Counters.FailedWrites.Add(1)
		} else if checkpoint, ok := v.(decide.Checkpoint); ok {
			m.storedCheckpoint.Store(checkpoint.N)
		}
	})
}

// Begin starts the recovery at the time now of the loop's clock, after the process has read its store.
// It must be called before the other methods of the loop.
func (m *Manager) Begin(now time.Duration) {
	settings := decide.StartupSettings{
		Cores: m.cfg.Settings.Cores, ColdSpeed: m.cfg.Settings.ColdSpeed, WarmUpTime: m.cfg.Settings.WarmUpTime,
	}
	if m.learned != nil {
		settings.UsualRuns = decide.UsualRuns(*m.learned)
	}
	processStart := now - time.Since(m.processStart)
	m.startup = decide.NewStartup(processStart, now, settings)
	m.zeroUnix = m.cfg.WallClock() - now.Milliseconds()
	if m.cfg.Store == nil || !m.cfg.HasResultCache {
		return
	}
	if m.identity.CompleteSince != 0 {
		m.foundState.CompleteSince = time.Duration(m.identity.CompleteSince-m.zeroUnix) * time.Millisecond
	}
	m.storeCheck = decide.NewStoreCheck(processStart, m.foundState, m.cfg.ControlServices)
	m.storedSince = m.foundState.CompleteSince
	integrity, _ := m.storeCheck.Integrity(now)
	if integrity == decide.Incomplete || integrity == decide.Unverified && m.foundState.Created {
		m.reportIntegrity(m.storeCheck.Describe())
	}
}

// reportIntegrity logs a line of the StoreCheck, if any, and stores CompleteSince if it changed.
func (m *Manager) reportIntegrity(line string) {
	if line == "" {
		return
	}
	m.log.Warn("comeback", "line", line, "store", m.identity.ID, "life", m.identity.Epoch)
	if completeSince := m.storeCheck.CompleteSince(); completeSince != m.storedSince {
		m.storedSince = completeSince
		m.identity.CompleteSince = m.zeroUnix + completeSince.Milliseconds()
		// An older copy of a store numbers its next checkpoints like those that the newer one has
		// reported already: under the old ID they would pass for those.
		id := newStoreID()
		m.identity.ID = id
		m.storeID.Store(&id)
		m.putAsync(identityKey, m.identity)
	}
}

// newStoreID returns a random ID for a store.
func newStoreID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// Identity returns what the node reports about its store, nil if there is no result cache. Any
// goroutine may call it.
func (m *Manager) Identity() *decide.PreviousStore {
	if m.cfg.Store == nil || !m.cfg.HasResultCache {
		return nil
	}
	return &decide.PreviousStore{
		ID: *m.storeID.Load(), Epoch: m.foundState.Identity.Epoch, Checkpoint: m.storedCheckpoint.Load(),
	}
}

// ObservePrevious takes what a control service knows of the previous incarnation, nil = it knows of none.
func (m *Manager) ObservePrevious(now time.Duration, previous *decide.PreviousStore) {
	if m.storeCheck != nil {
		m.reportIntegrity(m.storeCheck.ObservePrevious(now, previous))
	}
}

// FleetCapacity takes the share, 0 to 1, of the fleet's usual capacity that was available at the time since.
func (m *Manager) FleetCapacity(since time.Duration, share float64) {
	m.startup.FleetCapacity(since, share)
}

// WorkerPoolUp reports that the worker pool is up, since when, and whether it started cold. It returns
// what the decision module may start from, nil = nothing, with its weight and the share of its usual
// speed at which the node starts.
func (m *Manager) WorkerPoolUp(now, since time.Duration, cold bool) (learned *rules.Learned, weight, speed float64) {
	m.startup.WorkerPoolUp(now, since, cold)
	if m.storeCheck != nil {
		m.reportIntegrity(m.storeCheck.WorkerPoolUp(since))
	}
	if m.learned == nil {
		return nil, 0, 0
	}
	speed = m.startup.Speed(now)
	m.warmStart = decide.NewWarmStart(*m.learned, speed)
	return m.learned, m.weight, speed
}

// InDoubt reports whether a request without a record may have run in an earlier incarnation and must
// not run again. key links the tries of a request, 0 = nothing does; age is the time since the request
// reached the node's machine.
func (m *Manager) InDoubt(now time.Duration, class int, key uint64, furtherTry bool, age time.Duration) bool {
	if m.storeCheck == nil {
		return false
	}
	c := &m.cfg.Settings.Classes[class]
	window := c.IdempotencyWindow
	if c.Effect == rules.Unsafe { // nothing links its tries: one may arrive as long as its caller waits
		window = c.Deadline
	}
	if c.Effect == rules.Keyed && m.cfg.Options.RunKeyed || c.Effect == rules.Unsafe && m.cfg.Options.RunUnsafe {
		return false
	}
	if !m.storeCheck.MayHaveRun(now, c.Effect, window, key, furtherTry, age) {
		return false
	}
	m.Counters.InDoubt.Add(1)
	return true
}

// Arrived reports the arrival of a request; furtherTry marks a further try.
func (m *Manager) Arrived(now time.Duration, furtherTry bool) { m.startup.Arrived(now, furtherTry) }

// RunSucceeded reports a successful run: how long it took by UnsharedTime, and the caller's hint of that, 0 = no hint.
// It returns whether the decision module must discard what it took from the snapshot.
func (m *Manager) RunSucceeded(now time.Duration, class int, took, hint time.Duration) (discard bool) {
	m.startup.RunSucceeded(now, class, took, hint)
	if m.warmStart == nil || m.warmStart.Settled() {
		return false
	}
	if reason := m.warmStart.ObserveRun(class, took, m.startup.Speed(now)); reason != "" {
		m.Counters.Discarded.Add(1)
		m.log.Warn("snapshot dropped", "why", reason)
		m.learned = nil
		return true
	}
	return false
}

// Step advances the recovery, and stores a checkpoint and a snapshot when they are due. fleetShort reports
// that the whole fleet is short of capacity; learned is called if a snapshot may be due. It returns the
// share of its full-service load that the node requests, and the share of its usual speed that it has
// reached.
func (m *Manager) Step(now time.Duration, fleetShort bool, learned func() rules.Learned) (share, speed float64) {
	m.startup.FleetShortage(fleetShort)
	share, line := m.startup.Step(now)
	if line != "" {
		m.log.Info("comeback", "line", line, "in_doubt", m.Counters.InDoubt.Load())
	}
	speed = m.startup.Speed(now)
	state, _ := m.startup.State()
	view := View{State: state.String(), RequestedShare: share, Speed: speed}
	if m.storeCheck != nil {
		integrity, reason := m.storeCheck.Integrity(now)
		view.Integrity, view.IntegrityReason = integrity.String(), reason
	}
	m.view.Store(&view)
	if m.cfg.Store == nil || now-m.lastCheckpoint < checkpointInterval {
		return share, speed
	}
	m.lastCheckpoint = now
	m.checkpoint()
	if m.cfg.Options.Snapshot {
		if current := learned(); m.snapshotPacer.Due(now, &current) {
			m.storeSnapshot(current)
		}
	}
	return share, speed
}

// checkpoint stores how many keys the store holds: an incarnation that finds fewer, or an older
// checkpoint than a control service received, has lost some.
func (m *Manager) checkpoint() {
	if m.cfg.HasResultCache {
		m.checkpoints++
		m.putAsync(checkpointKey, decide.Checkpoint{N: m.checkpoints, Keys: m.cfg.Store.Len()})
	}
}

// storeSnapshot stores what the decision module learned.
func (m *Manager) storeSnapshot(learned rules.Learned) {
	m.Counters.Snapshots.Add(1)
	m.putAsync(snapshotKey, decide.Snapshot{
		Version: decide.SnapshotVersion, SettingsDigest: m.digest, Machine: m.machineKind, Taken: m.cfg.WallClock(),
		Learned: learned,
	})
}

// View returns the state of the recovery, nil before the first step.
func (m *Manager) View() *View { return m.view.Load() }

// Close stores a last checkpoint and snapshot. The loop must have ended, and the store must be open.
func (m *Manager) Close(learned rules.Learned) {
	if m.cfg.Store == nil {
		return
	}
	m.checkpoint()
	if m.cfg.Options.Snapshot && len(learned.Classes) > 0 {
		m.storeSnapshot(learned)
	}
}

// machineDescription describes the kind of machine that a snapshot applies to: processor, architecture
// and number of cores.
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
