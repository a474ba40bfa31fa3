// Package comeback owns a node's way back to full service: it keeps the store's
// identity and the snapshot of what was learned, feeds decide/comeback with what the
// loop sees, and says its lines. It must never decide what is believed, and never
// make the loop wait: the only write that is waited for is the identity's, before
// the node listens.
//
// The store holds the identity under "life/self", the last count of keys under
// "life/mark" and the snapshot under "life/learned", all as CBOR (RFC 8949) with
// numbered fields.
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

// Counters count what came of it; any goroutine may read them.
type Counters struct {
	InDoubt   atomic.Int64 // requests that were failed since they may have run in a life that is not remembered
	Snapshots atomic.Int64 // written
	Failed    atomic.Int64 // writes that failed
	Dropped   atomic.Int64 // priors that the evidence spoke against
}

// Config is what a Keeper needs.
type Config struct {
	Own      config.Recovery
	Store    *store.Store   // nil = nothing outlives the node
	Recovery store.Recovery // of its opening
	Results  bool           // the store holds remembered results: what is missing there is in doubt
	Node     string
	Listens  int // control services that can be asked for earlier lives
	Settings rules.Settings
	Names    settings.Names
	Log      *slog.Logger
	Wall     func() int64 // Unix milliseconds, nil = the system's
}

// Keeper is one life. Its methods belong to the node's loop but for Identity and
// the counters.
type Keeper struct {
	Counters Counters

	cfg              Config
	log              *slog.Logger
	identity         decide.Identity        // the loop's
	storeID          atomic.Pointer[string] // of the store, for reports
	startup          *decide.Startup
	check            *decide.StoreCheck // nil = there are no remembered results
	found            decide.FoundState
	learned          *rules.Learned // the snapshot as taken up
	weight           float64
	warmStart        *decide.WarmStart
	pacer            decide.SnapshotPacer
	digest           uint64
	machineKind      string
	processStart     time.Time
	lastCheckpoint   time.Duration
	checkpoints      uint64
	storedCheckpoint atomic.Uint64 // the last mark that the store has taken
	storedSince      time.Duration // as stored
	zeroUnix         int64         // Unix milliseconds at the loop's zero
	view             atomic.Pointer[View]
}

// View is how a node stands on its way, for reports and counters.
type View struct {
	State  string
	Ask    float64
	Warm   float64
	Memory string
	Why    string
}

// Open reads what earlier lives left and begins a new one; began is the process's.
func Open(cfg Config, began time.Time) (*Keeper, error) {
	k := &Keeper{cfg: cfg, log: cfg.Log, processStart: began, machineKind: machineDescription(cfg.Settings.Cores), digest: settingsDigest(cfg.Settings, cfg.Names)}
	if k.cfg.Wall == nil {
		k.cfg.Wall = func() int64 { return time.Now().UnixMilli() }
	}
	if cfg.Store == nil {
		return k, nil
	}
	k.found = decide.FoundState{Keys: cfg.Store.Len(), UnreadablePlaces: len(cfg.Recovery.Damaged), CompleteSince: math.MinInt64}
	switch err := k.get(identityKey, &k.identity); {
	case errors.Is(err, store.ErrNotFound):
		k.found.Created = cfg.Store.Len() == 0
		if !k.found.Created { // results from before there were identities: whose they are is not known, that they are is
			k.found.Node = cfg.Node
		}
		k.identity = decide.Identity{ID: newStoreID()}
	case err != nil:
		k.found.UnreadablePlaces++
		k.log.Error("the store's identity can't be read", "err", err)
	default:
		k.found.Node = k.identity.Node
	}
	if err := k.get(checkpointKey, &k.found.Checkpoint); err != nil && !errors.Is(err, store.ErrNotFound) {
		k.found.UnreadablePlaces++
		k.log.Error("the store's mark can't be read", "err", err)
	}
	k.checkpoints = k.found.Checkpoint.N
	k.storedCheckpoint.Store(k.checkpoints)
	k.identity.Node = cfg.Node
	k.identity.Epoch++
	k.found.Identity = k.identity
	k.storeID.Store(&k.found.Identity.ID)
	if err := k.put(identityKey, k.identity, store.Durable); err != nil {
		// The next life will find this one's number again, and doubt its memory.
		k.log.Error("this life can't be noted in the store: the next start will doubt it", "err", err)
	}
	if cfg.Own.Snapshot {
		k.loadSnapshot()
	}
	return k, nil
}

// takeUp reads the snapshot and says what becomes of it.
func (k *Keeper) loadSnapshot() {
	var s decide.Snapshot
	err := k.get(snapshotKey, &s)
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	if err != nil {
		k.log.Warn("snapshot not taken up", "why", err)
		return
	}
	weight, why := decide.SnapshotWeight(&s, k.digest, k.machineKind, len(k.cfg.Settings.Classes), k.cfg.Wall())
	if weight <= 0 {
		k.log.Info("snapshot not taken up", "why", why)
		return
	}
	k.learned, k.weight = &s.Learned, weight
	k.log.Info("snapshot taken up, doubted", "age", time.Duration(k.cfg.Wall()-s.Taken)*time.Millisecond, "weight", math.Round(100*weight)/100,
		"limit", math.Round(s.Learned.Limit), "rate", math.Round(s.Learned.Rate))
}

func (k *Keeper) get(key string, into any) error {
	text, err := k.cfg.Store.Get(key)
	if err == nil {
		err = cbor.Unmarshal(text, into)
	}
	return err
}

func (k *Keeper) put(key string, v any, d store.Durability) error {
	var b store.Batch
	text, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	b.Put(key, text, 0)
	return k.cfg.Store.Apply(&b, d)
}

// later is put for what nobody waits for.
func (k *Keeper) putAsync(key string, v any) {
	var b store.Batch
	text, err := cbor.Marshal(v)
	if err != nil { // the types have nothing that can't be encoded
		panic(err)
	}
	b.Put(key, text, 0)
	k.cfg.Store.ApplyAsync(&b, store.Soon, func(err error) {
		if err != nil {
			k.Counters.Failed.Add(1)
		} else if m, ok := v.(decide.Checkpoint); ok {
			k.storedCheckpoint.Store(m.N)
		}
	})
}

// Begin takes the loop's time, before anything else: the process has now read its store.
func (k *Keeper) Begin(now time.Duration) {
	set := decide.StartupSettings{Cores: k.cfg.Settings.Cores, ColdSpeed: k.cfg.Settings.ColdSpeed, WarmUpTime: k.cfg.Settings.WarmUpTime}
	if k.learned != nil {
		for _, c := range k.learned.Classes {
			set.UsualRuns = append(set.UsualRuns, c.Base)
		}
	}
	start := now - time.Since(k.processStart)
	k.startup = decide.NewStartup(start, now, set)
	k.zeroUnix = k.cfg.Wall() - now.Milliseconds()
	if k.cfg.Store == nil || !k.cfg.Results {
		return
	}
	if k.identity.CompleteSince != 0 {
		k.found.CompleteSince = time.Duration(k.identity.CompleteSince-k.zeroUnix) * time.Millisecond
	}
	k.check = decide.NewStoreCheck(start, k.found, k.cfg.Listens)
	k.storedSince = k.found.CompleteSince
	if s, _ := k.check.Integrity(now); s != decide.Intact {
		k.reportIntegrity(k.check.Describe())
	}
}

// tell says a line of the memory's, and stores from when on nothing is missing if
// that changed.
func (k *Keeper) reportIntegrity(line string) {
	if line == "" {
		return
	}
	k.log.Warn("comeback", "line", line, "store", k.identity.ID, "life", k.identity.Epoch)
	if s := k.check.CompleteSince(); s != k.storedSince {
		k.storedSince = s
		k.identity.CompleteSince = k.zeroUnix + s.Milliseconds()
		id := newStoreID() // its marks go on from a copy's: under the old name they would pass for those that were heard
		k.identity.ID = id
		k.storeID.Store(&id)
		k.putAsync(identityKey, k.identity)
	}
}

// newID is a random name for a store.
func newStoreID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// Identity is what reports say of the store, nil where there is none; any goroutine
// may ask.
func (k *Keeper) Identity() *decide.PreviousStore {
	if k.cfg.Store == nil || !k.cfg.Results {
		return nil
	}
	return &decide.PreviousStore{ID: *k.storeID.Load(), Epoch: k.found.Identity.Epoch, Checkpoint: k.storedCheckpoint.Load()}
}

// Heard takes what a control service has heard of an earlier life, nil = of none.
func (k *Keeper) ObservePrevious(now time.Duration, h *decide.PreviousStore) {
	if k.check != nil {
		k.reportIntegrity(k.check.ObservePrevious(now, h))
	}
}

// Room takes the share of the fleet's usual room that is there, as told.
func (k *Keeper) FleetCapacity(since time.Duration, share float64) {
	k.startup.FleetCapacity(since, share)
}

// Bound takes the word that the worker pool is up. It returns what the module may
// take as known, with its weight and the share of its speed that the node starts at.
func (k *Keeper) WorkerPoolUp(now, since time.Duration, cold bool) (l *rules.Learned, weight, speed float64) {
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

// InDoubt reports whether a request of which nothing is remembered may have run in
// an earlier life and must not run again.
func (k *Keeper) InDoubt(now time.Duration, class int, key uint64, again bool, age time.Duration) bool {
	if k.check == nil {
		return false
	}
	c := &k.cfg.Settings.Classes[class]
	window := c.IdempotencyWindow
	if c.Effect == rules.Unsafe { // nothing links its tries: one may come as long as its caller waits
		window = c.Deadline
	}
	if c.Effect == rules.Keyed && k.cfg.Own.RunKeyed || c.Effect == rules.Unsafe && k.cfg.Own.RunUnsafe {
		return false
	}
	if !k.check.MayHaveRun(now, c.Effect, window, key, again, age) {
		return false
	}
	k.Counters.InDoubt.Add(1)
	return true
}

// Arrived takes a request.
func (k *Keeper) Arrived(now time.Duration, again bool) { k.startup.Arrived(now, again) }

// Ran takes the end of a run that went well. It reports whether the module is to
// forget what it took as known.
func (k *Keeper) RunSucceeded(now time.Duration, class int, took, hint time.Duration) (forget bool) {
	k.startup.RunSucceeded(now, class, took, hint)
	if k.warmStart == nil || k.warmStart.Settled() {
		return false
	}
	if against := k.warmStart.ObserveRun(class, took, k.startup.Speed(now)); against != "" {
		k.Counters.Dropped.Add(1)
		k.log.Warn("snapshot dropped", "why", against)
		k.learned = nil
		return true
	}
	return false
}

// Step moves the life on: it returns what the node asks for and the share of its
// speed that it has reached. learned is called where a snapshot may be due; short
// tells that the whole fleet is.
func (k *Keeper) Step(now time.Duration, short bool, learned func() rules.Learned) (ask, warm float64) {
	k.startup.FleetShortage(short)
	ask, line := k.startup.Step(now)
	if line != "" {
		k.log.Info("comeback", "line", line, "in_doubt", k.Counters.InDoubt.Load())
	}
	warm = k.startup.Speed(now)
	s, _ := k.startup.State()
	v := View{State: s.String(), Ask: ask, Warm: warm}
	if k.check != nil {
		m, why := k.check.Integrity(now)
		v.Memory, v.Why = m.String(), why
	}
	k.view.Store(&v)
	if k.cfg.Store == nil || now-k.lastCheckpoint < checkpointInterval {
		return ask, warm
	}
	k.lastCheckpoint = now
	k.checkpoint()
	if k.cfg.Own.Snapshot {
		if l := learned(); k.pacer.Due(now, &l) {
			k.storeSnapshot(l)
		}
	}
	return ask, warm
}

// mark notes how many keys the store holds: a life that finds fewer, or an older
// mark than was heard, has lost some.
func (k *Keeper) checkpoint() {
	if k.cfg.Results {
		k.checkpoints++
		k.putAsync(checkpointKey, decide.Checkpoint{N: k.checkpoints, Keys: k.cfg.Store.Len()})
	}
}

func (k *Keeper) storeSnapshot(l rules.Learned) {
	k.Counters.Snapshots.Add(1)
	k.putAsync(snapshotKey, decide.Snapshot{Version: decide.SnapshotVersion, SettingsDigest: k.digest, Machine: k.machineKind, Taken: k.cfg.Wall(), Learned: l})
}

// View shows how the node stands, nil before the first step.
func (k *Keeper) View() *View { return k.view.Load() }

// Close stores what was learned; the loop has ended, the store is still open.
func (k *Keeper) Close(l rules.Learned) {
	if k.cfg.Store == nil {
		return
	}
	k.checkpoint()
	if k.cfg.Own.Snapshot && len(l.Classes) > 0 {
		k.storeSnapshot(l)
	}
}

// machine names the kind of machine.
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
