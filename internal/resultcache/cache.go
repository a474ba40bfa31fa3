// Package resultcache stores the results of a node's runs, so that repeats of requests get the same
// answer after a restart. decide/resultcache decides what is recorded and how repeats are handled; this
// package writes its records to a store and reads them back. It never blocks the node's loop: the
// outcome of whatever needs the disk is reported by callback.
//
// The store holds the record of a run under "m/KEY", its result under "b/KEY", and the checkpoint of
// the clocks under "clock".
package resultcache

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
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
	expiryGrace        = 10 * time.Second // for which the store holds expired records, for repeats that are read late
	maxPendingFetches  = 256              // pending calls of Fetch; further ones fail
	maxNamedRuns       = 8                // runs named in one log line
	failureLogInterval = 5 * time.Second  // least time between log lines about failed writes
)

// ErrNoRoom reports that the bounds of [results] leave no room for a record.
var ErrNoRoom = errors.New("no room for another record within the bounds of [results]")

// Counters are the counters of a Cache; any goroutine may read them.
type Counters struct {
	Intents    atomic.Int64 // runs that waited for an intent
	Stored     atomic.Int64 // results stored
	Restored   atomic.Int64 // records restored at the start
	Answered   atomic.Int64 // repeats answered with the result of an earlier incarnation
	Unknown    atomic.Int64 // repeats failed because the request ran, or may have run, and there is no result
	LateEnds   atomic.Int64 // runs of an earlier incarnation whose end the worker pool reported to this one
	Expired    atomic.Int64 // records removed because they expired
	Evicted    atomic.Int64 // records or results evicted for others
	NoRoom     atomic.Int64 // requests for whose record there was no room
	Superseded atomic.Int64 // runs that started, or ended, after a later run had taken over the record of their key
	Failed     atomic.Int64 // writes that failed
}

// Config is the configuration of a Cache.
type Config struct {
	Results           config.Results
	Store             config.Store
	Settings          rules.Settings
	Names             settings.Names
	Log               *slog.Logger
	MaintenanceSpread time.Duration              // upper bound of the random delay of the store's maintenance after Open
	FS                vfs.FS                     // nil = the real file system
	Clocks            func() decide.ClockReading // nil = the system's clocks
	Elapsed           func() time.Duration       // since Open, on the loop's clock; nil = the system's
}

// Cache stores the records and results of a node's runs. Its methods belong to the node's loop, except
// Store and the counters, which any goroutine may use; the callback of Fetch runs in another goroutine.
type Cache struct {
	Counters Counters

	cfg      Config
	log      *slog.Logger
	module   *decide.Module
	store    *store.Store
	recovery store.Recovery
	encoder  cbor.EncMode

	clockBase atomic.Int64 // the module's Unix time at Open, milliseconds; 0 = not known yet

	batch          store.Batch
	pending        []func(error) // to be called when the batch is written
	needsSync      bool          // a callback in pending waits for a durable write
	lastCheckpoint time.Duration // when the clocks' checkpoint was stored
	lastExpiry     time.Duration
	lastFailureLog time.Time // time of the last log line about a failed write
	fetches        chan fetchRequest
	fetcherDone    chan struct{}
}

// fetchRequest is a call of Fetch.
type fetchRequest struct {
	key, run string
	done     func([]byte, error)
}

// Open opens the store of the cache. The records are not restored yet.
func Open(cfg Config) (*Cache, error) {
	c := &Cache{
		cfg: cfg, log: cfg.Log, fetches: make(chan fetchRequest, maxPendingFetches), fetcherDone: make(chan struct{}),
	}
	if c.cfg.Clocks == nil {
		c.cfg.Clocks = systemClocks
	}
	if c.cfg.Elapsed == nil {
		began := time.Now()
		c.cfg.Elapsed = func() time.Duration { return time.Since(began) }
	}
	var err error
	if c.encoder, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	settings := decide.Settings{
		Classes: map[string]decide.Class{}, Tenants: map[string]bool{}, ReadFreshness: cfg.Settings.ReadFreshness,
		MaxBytes: cfg.Results.MaxBytes, MaxRecords: cfg.Results.MaxRecords, ClockSlack: cfg.Results.ClockSlack,
		FailUnknownReads: cfg.Results.FailUnknownReads, RecordUnsafe: cfg.Results.RecordUnsafe,
	}
	for i, name := range cfg.Names.Classes {
		class := cfg.Settings.Classes[i]
		settings.Classes[name] = decide.Class{Effect: class.Effect, Window: class.IdempotencyWindow}
	}
	for _, name := range cfg.Names.Tenants {
		settings.Tenants[name] = true
	}
	c.module = decide.New(settings)
	c.store, c.recovery, err = store.Open(cfg.Results.Dir, store.Options{
		FS: cfg.FS, SlackBytes: cfg.Store.SlackBytes, SyncInterval: cfg.Store.SyncInterval,
		CompactionRate: cfg.Store.CompactionRate, MaintenanceDelay: cfg.MaintenanceSpread, Now: c.storeTime,
	})
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	go c.fetcher()
	return c, nil
}

// storeTime is the store's clock, in Unix milliseconds: the module's time, or 0 before it is known, so
// that nothing expires until then.
func (c *Cache) storeTime() int64 {
	base := c.clockBase.Load()
	if base == 0 {
		return 0
	}
	return base + c.cfg.Elapsed().Milliseconds()
}

// systemClocks reads the wall clock, and the time since the boot of the machine if it is available.
func systemClocks() decide.ClockReading {
	reading := decide.ClockReading{Wall: time.Now().UnixMilli()}
	var ts unix.Timespec
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return reading // only the wall clock is available
	}
	reading.Boot, reading.Up = strings.TrimSpace(string(id)), ts.Nano()/int64(time.Millisecond)
	return reading
}

// RequestKey returns the key of all tries of x. Its Name is empty if nothing links them.
func (c *Cache) RequestKey(x *exchange.Exchange) decide.RequestKey {
	key := decide.RequestKey{Class: x.ClassName, Tenant: x.TenantName}
	switch c.cfg.Settings.Classes[x.Class].Effect {
	case rules.Keyed:
		key.Name = x.Unique
	case rules.Safe:
		key.Name = x.Item
	default:
		key.Name = x.Txn
	}
	return key
}

// ShouldRecord reports whether x is recorded, and whether its run must wait for a stored intent.
func (c *Cache) ShouldRecord(x *exchange.Exchange) (record, intent bool) {
	return c.module.ShouldRecord(c.cfg.Settings.Classes[x.Class].Effect, c.RequestKey(x).Name != "")
}

// Run is a run of a request, by the loop's clock.
type Run struct {
	Exchange *exchange.Exchange
	Started  time.Duration // when the node started it
	Expires  time.Duration // until when repeats of the request may arrive
}

// record returns a record of a run.
func (c *Cache) record(run Run) decide.Record {
	x := run.Exchange
	class := c.cfg.Settings.Classes[x.Class]
	record := decide.Record{
		RequestKey: c.RequestKey(x), Effect: class.Effect, Run: x.Txn,
		Started: c.module.Unix(run.Started), Expires: c.module.Unix(run.Expires),
	}
	if class.Effect == rules.Keyed {
		record.Window, record.BodyHash = class.IdempotencyWindow.Milliseconds(), x.BodyHash()
	}
	return record
}

// StoreIntent records that a run is about to start. done is called once the record is as durable as
// configured, or with the error; the run must wait for it.
func (c *Cache) StoreIntent(now time.Duration, run Run, done func(error)) {
	record := c.record(run)
	decision, changes := c.module.RecordIntent(now, record)
	c.applyChanges(changes)
	switch decision {
	case decide.IntentNoRoom:
		c.Counters.NoRoom.Add(1)
		done(ErrNoRoom)
		return
	case decide.IntentSuperseded: // its window is over, so that nothing can repeat it
		done(nil)
		return
	}
	record.Kind = decide.Intent
	c.Counters.Intents.Add(1)
	c.put(record)
	c.batch.Delete(resultPrefix + record.Text())
	c.notifyWhenWritten(done)
}

// RunEnded records the end of a run; body is its result if it succeeded. done, if not nil, is
// called once the record is as durable as configured, or could not be stored; its argument reports
// whether the result is stored.
func (c *Cache) RunEnded(now time.Duration, run Run, succeeded bool, body []byte, done func(stored bool)) {
	c.recordEnd(now, c.record(run), succeeded, body, done)
}

// LateRunEnded records the end of a run of an earlier incarnation.
func (c *Cache) LateRunEnded(now time.Duration, restored RestoredRecord, succeeded bool, body []byte) {
	c.Counters.LateEnds.Add(1)
	c.recordEnd(now, restored.Record, succeeded, body, nil)
}

// recordEnd records the end of a run, see RunEnded.
func (c *Cache) recordEnd(now time.Duration, record decide.Record, succeeded bool, body []byte,
	done func(stored bool)) {
	record, mustStore, changes := c.module.RunEnded(now, record, succeeded, int64(len(body)))
	c.applyChanges(changes)
	if mustStore {
		c.put(record)
		if record.Kind == decide.Result {
			c.Counters.Stored.Add(1)
			c.batch.Put(resultPrefix+record.Text(), body, record.Expires+expiryGrace.Milliseconds())
		}
	}
	switch {
	case done == nil:
	case !mustStore:
		done(false)
	default:
		c.notifyWhenWritten(func(err error) { done(err == nil && record.Kind == decide.Result) })
	}
}

// Withdraw removes the intent of the run of x, which never started.
func (c *Cache) Withdraw(x *exchange.Exchange) {
	c.deleteRecords(c.module.Withdraw(c.RequestKey(x), x.Txn).Delete)
}

// DecideRepeat decides how a repeat of a request of an earlier incarnation is handled. poolStart is when
// the worker pool started, on the loop's clock.
func (c *Cache) DecideRepeat(restored RestoredRecord, poolStart time.Duration) decide.RepeatAction {
	return c.module.DecideRepeat(restored.Record, c.module.Unix(poolStart))
}

// CountRepeat counts a repeat of a request of an earlier incarnation: answered, or failed.
func (c *Cache) CountRepeat(answered bool) {
	if answered {
		c.Counters.Answered.Add(1)
		return
	}
	c.Counters.Unknown.Add(1)
}

// put adds a record to the batch.
func (c *Cache) put(record decide.Record) {
	text, err := c.encoder.Marshal(storedRecord{
		Kind: record.Kind, Effect: record.Effect, Class: record.Class, Tenant: record.Tenant, Name: record.Name, Run: record.Run,
		Started: record.Started, Window: record.Window, Expires: record.Expires, Size: record.Size,
		BodyHash: record.BodyHash,
	})
	if err != nil { // the type can always be encoded
		panic(err)
	}
	c.batch.Put(recordPrefix+record.Text(), text, record.Expires+expiryGrace.Milliseconds())
}

// applyChanges adds the changes that follow from a decision to the batch.
func (c *Cache) applyChanges(changes decide.StoreChanges) {
	c.Counters.Evicted.Add(int64(len(changes.Delete) + len(changes.EvictResult)))
	if changes.Superseded {
		c.Counters.Superseded.Add(1)
	}
	c.deleteRecords(changes.Delete)
	for _, record := range changes.EvictResult {
		c.put(record)
		c.batch.Delete(resultPrefix + record.Text())
	}
}

// deleteRecords adds the deletion of records and their results to the batch.
func (c *Cache) deleteRecords(keys []string) {
	for _, key := range keys {
		c.batch.Delete(recordPrefix + key)
		c.batch.Delete(resultPrefix + key)
	}
}

// notifyWhenWritten calls done when the current batch is written, or could not be.
func (c *Cache) notifyWhenWritten(done func(error)) {
	c.pending = append(c.pending, done)
	c.needsSync = c.needsSync || c.cfg.Results.Durable
}

// putClockCheckpoint adds a checkpoint of the clocks to the batch.
func (c *Cache) putClockCheckpoint(now time.Duration) {
	text, err := c.encoder.Marshal(c.module.Checkpoint(now, c.cfg.Clocks()))
	if err != nil { // the type can always be encoded
		panic(err)
	}
	c.batch.Put(clockKey, text, 0)
	c.lastCheckpoint = now
}

// Flush writes everything recorded since the last call to the store, as one batch: a control interval
// costs one sync, however much was recorded.
func (c *Cache) Flush(now time.Duration) {
	if now-c.lastExpiry > time.Second {
		c.lastExpiry = now
		expired := c.module.Expire(now - expiryGrace)
		c.Counters.Expired.Add(int64(len(expired)))
		c.deleteRecords(expired)
	}
	if now-c.lastCheckpoint >= decide.CheckpointInterval && (c.module.Len() > 0 || c.batch.Len() > 0) {
		c.putClockCheckpoint(now)
	}
	if c.batch.Len() == 0 {
		return
	}
	batch, pending, durability := c.batch, c.pending, store.Buffered
	if c.needsSync {
		durability = store.Durable
	}
	c.batch, c.pending, c.needsSync = store.Batch{}, nil, false
	c.store.ApplyAsync(&batch, durability, func(err error) {
		if err != nil {
			c.Counters.Failed.Add(1)
		}
		for _, done := range pending {
			done(err)
		}
	})
}

// logFailure logs a failed write, at most once per failureLogInterval.
func (c *Cache) logFailure(err error) {
	if time.Since(c.lastFailureLog) > failureLogInterval {
		c.lastFailureLog = time.Now()
		c.log.Error("results can't be written to the store", "err", err)
	}
}

// RunsUnrecorded takes the error of an intent that could not be written, and reports whether the request
// runs without a record.
func (c *Cache) RunsUnrecorded(err error) bool {
	c.logFailure(err)
	return c.cfg.Results.RunUnrecorded
}

// Fetch reads the stored result of a run. done is called by another goroutine, or at once with store.ErrBusy if
// too many reads are pending. The error is store.ErrNotFound if a later run has the record of the key by then.
func (c *Cache) Fetch(key, run string, done func(body []byte, err error)) {
	select {
	case c.fetches <- fetchRequest{key, run, done}:
	default:
		done(nil, store.ErrBusy)
	}
}

// fetcher reads the requested results until Close.
func (c *Cache) fetcher() {
	defer close(c.fetcherDone)
	for f := range c.fetches {
		f.done(c.fetch(f.key, f.run))
	}
}

// fetch reads the stored result of a run. The record is read after the result: the intent of a later run replaces the
// record in the batch that deletes the result, so that a record of this run shows whose result it was.
func (c *Cache) fetch(key, run string) ([]byte, error) {
	body, err := c.store.Get(resultPrefix + key)
	if err != nil {
		return nil, err
	}
	text, err := c.store.Get(recordPrefix + key)
	if err != nil {
		return nil, err
	}
	var stored storedRecord
	if err := cbor.Unmarshal(text, &stored); err != nil {
		return nil, fmt.Errorf("record of a result: %w", err)
	}
	if stored.Run != run {
		return nil, store.ErrNotFound
	}
	return body, nil
}

// Count returns the number of records.
func (c *Cache) Count() int { return c.module.Len() }

// Recovery returns what opening the store found.
func (c *Cache) Recovery() store.Recovery { return c.recovery }

// Store returns the underlying store, for its counters.
func (c *Cache) Store() *store.Store { return c.store }

// Close writes what is not written yet and closes the store. The loop must have ended.
func (c *Cache) Close(now time.Duration) error {
	c.putClockCheckpoint(now)
	c.Flush(now)
	close(c.fetches)
	<-c.fetcherDone
	if err := c.store.Close(); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}
