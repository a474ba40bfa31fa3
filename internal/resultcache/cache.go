// Package recall owns what the node remembers across restarts: it keeps, in a
// store, what decide/recall decides to keep, and reads it back. It must never
// decide what is kept or what a repeat is told, and never make the loop wait:
// what needs the disk is told by callback.
//
// The store holds, for each entry, its facts under "m/KEY" and its result under
// "b/KEY", and the clocks' mark under "clock".
package resultcache

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	decide "robinmast/decide/resultcache"
	"robinmast/internal/config"
	"robinmast/internal/exchange"
	"robinmast/internal/settings"
	"robinmast/internal/store"
	"robinmast/internal/store/vfs"
	"robinmast/rules"
)

const (
	recordPrefix       = "m/"
	resultPrefix       = "b/"
	clockKey           = "clock"
	expiryGrace        = 10 * time.Second // entries stay this much longer, for repeats read late
	maxPendingFetches  = 256              // results that may wait to be read
	maxNamedRuns       = 8                // runs named in one log line
	failureLogInterval = 5 * time.Second
)

// ErrNoRoom says that an entry found no room within the bounds of [results].
var ErrNoRoom = errors.New("no room for another remembered request")

// Counters count what became of what is remembered.
type Counters struct {
	Intents  atomic.Int64 // runs that waited for an intent
	Stored   atomic.Int64 // results stored
	Restored atomic.Int64 // entries taken over at the start
	Answered atomic.Int64 // repeats answered from an earlier life
	Unknown  atomic.Int64 // repeats failed, since their run may have happened
	Late     atomic.Int64 // ends of runs of an earlier life, told by a pool that outlived it
	Aged     atomic.Int64 // entries dropped by age
	Evicted  atomic.Int64 // entries or results that left for others
	NoRoom   atomic.Int64 // requests that found no room
	Failed   atomic.Int64 // writes that failed
}

// Config is what a Memory needs.
type Config struct {
	Results  config.Results
	Store    config.Store
	Settings rules.Settings
	Names    settings.Names
	Log      *slog.Logger
	Spread   time.Duration              // over which stores that open together begin their upkeep
	FS       vfs.FS                     // nil = the real one
	Clocks   func() decide.ClockReading // nil = the system's
	Elapsed  func() time.Duration       // since Open, on the loop's clock; nil = the system's
}

// Memory is what is remembered. Its methods belong to the node's loop but for
// Fetch's callback and the counters.
type Cache struct {
	Counters Counters

	cfg      Config
	log      *slog.Logger
	module   *decide.Module
	store    *store.Store
	recovery store.Recovery
	encoder  cbor.EncMode

	clockBase atomic.Int64 // the module's Unix time at Open; 0 = not known yet

	batch          store.Batch
	pending        []func(error)
	needsSync      bool          // somebody waits for the batch to be durable
	lastCheckpoint time.Duration // when the clocks' mark was stored
	lastExpiry     time.Duration
	lastFailureLog time.Time // of failed writes
	fetches        chan fetchRequest
	fetcherDone    chan struct{}
}

type fetchRequest struct {
	key  string
	done func([]byte, error)
}

// facts is an entry as stored: CBOR (RFC 8949) with numbered fields, so that later
// versions may add some.
type storedRecord struct {
	Kind    decide.Kind  `cbor:"1,keyasint"`
	Effect  rules.Effect `cbor:"2,keyasint"`
	Class   string       `cbor:"3,keyasint"`
	Tenant  string       `cbor:"4,keyasint"`
	Name    string       `cbor:"5,keyasint"`
	Run     string       `cbor:"6,keyasint"`
	Arrived int64        `cbor:"7,keyasint"`
	Window  int64        `cbor:"8,keyasint"`
	Expires int64        `cbor:"9,keyasint"`
	Size    int64        `cbor:"10,keyasint"`
}

// Open opens the memory in its folder. Nothing is restored yet.
func Open(cfg Config) (*Cache, error) {
	m := &Cache{cfg: cfg, log: cfg.Log, fetches: make(chan fetchRequest, maxPendingFetches), fetcherDone: make(chan struct{})}
	if m.cfg.Clocks == nil {
		m.cfg.Clocks = systemClocks
	}
	if m.cfg.Elapsed == nil {
		began := time.Now()
		m.cfg.Elapsed = func() time.Duration { return time.Since(began) }
	}
	var err error
	if m.encoder, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	set := decide.Settings{
		Classes: map[string]decide.Class{}, Tenants: map[string]bool{}, ReadFreshness: cfg.Settings.ReadFreshness,
		MaxBytes: cfg.Results.Bytes, MaxRecords: cfg.Results.Entries, ClockSlack: cfg.Results.Slack,
		FailUnknownReads: cfg.Results.FailUnknown, RecordUnsafe: cfg.Results.Unsafe,
	}
	for i, name := range cfg.Names.Classes {
		c := cfg.Settings.Classes[i]
		set.Classes[name] = decide.Class{Effect: c.Effect, Window: c.IdempotencyWindow}
	}
	for _, name := range cfg.Names.Tenants {
		set.Tenants[name] = true
	}
	m.module = decide.New(set)
	m.store, m.recovery, err = store.Open(cfg.Results.Dir, store.Options{
		FS: cfg.FS, Segment: cfg.Store.Segment, Interval: cfg.Store.Interval, CompactionRate: cfg.Store.CompactionRate, Spread: cfg.Spread,
		Now: m.storeTime,
	})
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	go m.fetcher()
	return m, nil
}

// unix is the store's clock: the module's own time. Before that is known
// nothing has expired.
func (m *Cache) storeTime() int64 {
	base := m.clockBase.Load()
	if base == 0 {
		return 0
	}
	return base + m.cfg.Elapsed().Milliseconds()
}

// systemClocks reads the wall clock, and the machine's own since its start.
func systemClocks() decide.ClockReading {
	r := decide.ClockReading{Wall: time.Now().UnixMilli()}
	var ts unix.Timespec
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return r // without them the wall clock has to do
	}
	r.Boot, r.Up = strings.TrimSpace(string(id)), ts.Nano()/int64(time.Millisecond)
	return r
}

// Remembered is an entry of an earlier life.
type RestoredRecord struct {
	Record  decide.Record
	Class   int           // of the settings
	Key     string        // as KeyOf gives it
	Expires time.Duration // on the loop's clock
}

// Restore takes over what earlier lives left, now being the loop's time. It is
// called once, before anything else.
func (m *Cache) Restore(now time.Duration) ([]RestoredRecord, error) {
	began := time.Now()
	var was *decide.ClockCheckpoint
	text, err := m.store.Get(clockKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		m.log.Warn("remembered clock can't be read: the wall clock has to do", "err", err)
	default:
		was = &decide.ClockCheckpoint{}
		if err := cbor.Unmarshal(text, was); err != nil {
			m.log.Warn("remembered clock can't be read: the wall clock has to do", "err", err)
			was = nil
		}
	}
	step, away := m.module.StartClock(now, m.cfg.Clocks(), was)
	m.clockBase.Store(m.module.Unix(now) - m.cfg.Elapsed().Milliseconds())
	if step == decide.WallBackTooFar {
		m.log.Warn("the wall clock went back across the restart: remembered results live on for the slack only", "slack", m.cfg.Results.Slack)
	}
	var kept []RestoredRecord
	drops := map[decide.DropReason]int{}
	unreadable, doubted := 0, 0
	var runs []string
	var b store.Batch
	err = m.store.Scan(recordPrefix, func(key string, err error) {
		unreadable++
	}, func(e store.Entry) error {
		key := e.Key[len(recordPrefix):]
		var f storedRecord
		if err := cbor.Unmarshal(e.Value, &f); err != nil || (decide.RequestKey{Class: f.Class, Tenant: f.Tenant, Name: f.Name}).Text() != key {
			unreadable++
			return nil
		}
		var entry decide.Record
		drop := decide.PossiblyOutdated
		if e.Doubt {
			doubted++
		}
		if !e.Doubt || f.Effect != rules.Safe { // an older intent or result of keyed work is still true
			entry, drop = m.module.Restore(now, f.record())
		}
		drops[drop]++
		if drop != decide.Kept {
			if drop == decide.UnsafeReported && len(runs) < maxNamedRuns {
				runs = append(runs, f.Run)
			}
			b.Delete(e.Key)
			b.Delete(resultPrefix + key)
			return nil
		}
		kept = append(kept, RestoredRecord{Record: entry, Class: slices.Index(m.cfg.Names.Classes, entry.Class), Key: key, Expires: now + time.Duration(entry.Expires-m.module.Unix(now))*time.Millisecond})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("results: restore: %w", err)
	}
	if b.Len() > 0 {
		if err := m.store.Apply(&b, store.Soon); err != nil {
			m.logFailure(err) // they will be dropped again next time
		}
	}
	m.Counters.Restored.Store(int64(len(kept)))
	m.Counters.Aged.Add(int64(drops[decide.Expired]))
	args := []any{
		"kept", len(kept), "bytes", m.module.Bytes(), "clock", step.String(), "away", away,
		"recovery", m.recovery.Took, "restore", time.Since(began), "checkpoint", m.recovery.Checkpoint, "read_bytes", m.recovery.Read,
	}
	for d := decide.Expired; d <= decide.PossiblyOutdated; d++ {
		if drops[d] > 0 {
			args = append(args, "dropped_"+d.String(), drops[d])
		}
	}
	m.log.Info("remembered results", args...)
	for _, f := range m.recovery.Torn {
		m.log.Info("store: the torn end of a write that was never acknowledged is cut", "file", f.File, "offset", f.Offset, "bytes", f.Size)
	}
	for _, f := range m.recovery.Damaged {
		m.log.Error("store: damage; all other records are served, the file is set aside", "file", f.File, "offset", f.Offset, "bytes", f.Size, "reason", f.Reason)
	}
	if doubted > 0 {
		m.log.Warn("remembered results whose newest record may be lost: reads among them are dropped, keyed ones stand", "entries", doubted)
	}
	if unreadable > 0 {
		m.log.Error("remembered results that can't be read", "entries", unreadable)
	}
	if len(runs) > 0 {
		m.log.Warn("unsafe work that may have run before the restart", "count", drops[decide.UnsafeReported], "runs", runs)
	}
	m.putClockCheckpoint(now)
	return kept, nil
}

func (f storedRecord) record() decide.Record {
	return decide.Record{
		RequestKey: decide.RequestKey{Class: f.Class, Tenant: f.Tenant, Name: f.Name}, Kind: f.Kind, Effect: f.Effect, Run: f.Run,
		Arrived: f.Arrived, Window: f.Window, Expires: f.Expires, Size: f.Size,
	}
}

// ID is what x's tries have in common; its Name is empty for a request that has nothing.
func (m *Cache) RequestKey(x *exchange.Exchange) decide.RequestKey {
	id := decide.RequestKey{Class: x.ClassName, Tenant: x.TenantName}
	switch m.cfg.Settings.Classes[x.Class].Effect {
	case rules.Keyed:
		id.Name = x.Unique
	case rules.Safe:
		id.Name = x.Item
	default:
		id.Name = x.Txn
	}
	return id
}

// Wants reports whether x is remembered, and whether its run must wait for an intent.
func (m *Cache) Wants(x *exchange.Exchange) (remember, intent bool) {
	return m.module.ShouldRecord(m.cfg.Settings.Classes[x.Class].Effect, m.RequestKey(x).Name != "")
}

// entry is what is known of x; expires is on the loop's clock.
func (m *Cache) record(now time.Duration, x *exchange.Exchange, expires time.Duration) decide.Record {
	c := m.cfg.Settings.Classes[x.Class]
	e := decide.Record{RequestKey: m.RequestKey(x), Effect: c.Effect, Run: x.Txn, Arrived: m.module.Unix(now), Expires: m.module.Unix(expires)}
	if c.Effect == rules.Keyed {
		e.Window = c.IdempotencyWindow.Milliseconds()
	}
	return e
}

// Intend notes that x is about to run. done is called once the note is as
// durable as set, or with why it is not; the run must wait for it.
func (m *Cache) StoreIntent(now time.Duration, x *exchange.Exchange, expires time.Duration, done func(error)) {
	e := m.record(now, x, expires)
	ok, orders := m.module.RecordIntent(now, e)
	m.applyChanges(orders)
	if !ok {
		m.Counters.NoRoom.Add(1)
		done(ErrNoRoom)
		return
	}
	e.Kind = decide.Intent
	m.Counters.Intents.Add(1)
	m.put(e)
	m.batch.Delete(resultPrefix + e.Text())
	m.notifyWhenWritten(done)
}

// Ended notes how x's run ended. With done set it is called once that is as
// durable as set, or could not be stored; kept tells whether the result is.
func (m *Cache) RunEnded(now time.Duration, x *exchange.Exchange, expires time.Duration, good bool, body []byte, done func(kept bool)) {
	m.recordEnd(now, m.record(now, x, expires), good, body, done)
}

// Late notes the end of a run of an earlier life.
func (m *Cache) LateRunEnded(now time.Duration, r RestoredRecord, good bool, body []byte) {
	m.Counters.Late.Add(1)
	m.recordEnd(now, r.Record, good, body, nil)
}

func (m *Cache) recordEnd(now time.Duration, e decide.Record, good bool, body []byte, done func(kept bool)) {
	e, keep, orders := m.module.RunEnded(now, e, good, int64(len(body)))
	m.applyChanges(orders)
	if keep {
		m.put(e)
		if e.Kind == decide.Result {
			m.Counters.Stored.Add(1)
			m.batch.Put(resultPrefix+e.Text(), body, e.Expires+expiryGrace.Milliseconds())
		}
	}
	switch {
	case done == nil:
	case !keep:
		done(false)
	default:
		m.notifyWhenWritten(func(err error) { done(err == nil && e.Kind == decide.Result) })
	}
}

// Withdraw forgets the intent of a run that never began.
func (m *Cache) Withdraw(x *exchange.Exchange) {
	m.deleteRecords(m.module.Withdraw(m.RequestKey(x)).Delete)
}

// Judge says what a repeat of an earlier life's request is told; pool is when
// the worker pool came up, on the loop's clock.
func (m *Cache) DecideRepeat(r RestoredRecord, pool time.Duration) decide.RepeatAction {
	return m.module.DecideRepeat(r.Record, m.module.Unix(pool))
}

// Told counts what a repeat of an earlier life's request was told.
func (m *Cache) CountRepeat(good bool) {
	if good {
		m.Counters.Answered.Add(1)
		return
	}
	m.Counters.Unknown.Add(1)
}

func (m *Cache) put(e decide.Record) {
	text, err := m.encoder.Marshal(storedRecord{
		Kind: e.Kind, Effect: e.Effect, Class: e.Class, Tenant: e.Tenant, Name: e.Name, Run: e.Run,
		Arrived: e.Arrived, Window: e.Window, Expires: e.Expires, Size: e.Size,
	})
	if err != nil { // the type has nothing that can't be encoded
		panic(err)
	}
	m.batch.Put(recordPrefix+e.Text(), text, e.Expires+expiryGrace.Milliseconds())
}

// obey carries out what a decision brings with it.
func (m *Cache) applyChanges(o decide.StoreChanges) {
	m.Counters.Evicted.Add(int64(len(o.Delete) + len(o.EvictResult)))
	m.deleteRecords(o.Delete)
	for _, e := range o.EvictResult {
		m.put(e)
		m.batch.Delete(resultPrefix + e.Text())
	}
}

func (m *Cache) deleteRecords(keys []string) {
	for _, k := range keys {
		m.batch.Delete(recordPrefix + k)
		m.batch.Delete(resultPrefix + k)
	}
}

func (m *Cache) notifyWhenWritten(done func(error)) {
	m.pending = append(m.pending, done)
	m.needsSync = m.needsSync || m.cfg.Results.Durable
}

// mark puts the clocks' mark into the batch.
func (m *Cache) putClockCheckpoint(now time.Duration) {
	text, err := m.encoder.Marshal(m.module.Checkpoint(now, m.cfg.Clocks()))
	if err != nil { // the type has nothing that can't be encoded
		panic(err)
	}
	m.batch.Put(clockKey, text, 0)
	m.lastCheckpoint = now
}

// Flush hands all that was noted since the last time to the store, as one
// batch: a tick costs one sync, whatever it holds.
func (m *Cache) Flush(now time.Duration) {
	if now-m.lastExpiry > time.Second {
		m.lastExpiry = now
		old := m.module.Expire(now - expiryGrace)
		m.Counters.Aged.Add(int64(len(old)))
		m.deleteRecords(old)
	}
	if now-m.lastCheckpoint >= decide.CheckpointInterval && (m.module.Len() > 0 || m.batch.Len() > 0) {
		m.putClockCheckpoint(now)
	}
	if m.batch.Len() == 0 {
		return
	}
	b, waiting, d := m.batch, m.pending, store.Soon
	if m.needsSync {
		d = store.Durable
	}
	m.batch, m.pending, m.needsSync = store.Batch{}, nil, false
	m.store.ApplyAsync(&b, d, func(err error) {
		if err != nil {
			m.Counters.Failed.Add(1)
		}
		for _, done := range waiting {
			done(err)
		}
	})
}

// failed tells of a write that failed, now and then.
func (m *Cache) logFailure(err error) {
	if time.Since(m.lastFailureLog) > failureLogInterval {
		m.lastFailureLog = time.Now()
		m.log.Error("remembered results can't be written", "err", err)
	}
}

// Refused tells why an intent could not be written. It reports whether the run
// goes on unremembered.
func (m *Cache) RunsUnrecorded(err error) bool {
	m.logFailure(err)
	return m.cfg.Results.RunUnwritten
}

// Fetch reads a stored result; done is called by another goroutine.
func (m *Cache) Fetch(key string, done func(body []byte, err error)) {
	select {
	case m.fetches <- fetchRequest{key, done}:
	default:
		done(nil, store.ErrBusy)
	}
}

func (m *Cache) fetcher() {
	defer close(m.fetcherDone)
	for f := range m.fetches {
		f.done(m.store.Get(resultPrefix + f.key))
	}
}

// Count is the number of entries, Bytes what they take; both belong to the loop.
func (m *Cache) Count() int { return m.module.Len() }

// Recovery tells what opening the store found.
func (m *Cache) Recovery() store.Recovery { return m.recovery }

// Store is the store beneath, for its counters.
func (m *Cache) Store() *store.Store { return m.store }

// Close stores what is still to be stored and closes. The loop must have ended.
func (m *Cache) Close(now time.Duration) error {
	m.putClockCheckpoint(now)
	m.Flush(now)
	close(m.fetches)
	<-m.fetcherDone
	if err := m.store.Close(); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}
