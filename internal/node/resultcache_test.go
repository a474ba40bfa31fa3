package node

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"syscall"
	"testing"
	"time"

	decide "robinmast/decide/resultcache"
	"robinmast/internal/config"
	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/internal/resultcache"
	"robinmast/internal/settings"
	"robinmast/internal/standin"
	"robinmast/internal/store/vfs"
	"robinmast/rules"
)

// incarnation is one incarnation of a node with a result cache, on a disk that outlives
// it. bootMs is the host's clock at its start, milliseconds since boot.
type incarnation struct {
	*rig
	disk   *vfs.Mem
	cache  *resultcache.Cache
	bootMs int64
}

// cacheLog is the log of the result caches.
var cacheLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// startIncarnation starts a node on a disk; its worker pool has been up for poolUpFor.
func startIncarnation(t *testing.T, disk *vfs.Mem, bootMs int64, poolUpFor time.Duration, change func(*config.Results, *rules.Settings)) *incarnation {
	t.Helper()
	l := &incarnation{disk: disk, bootMs: bootMs}
	conf := config.Defaults()
	conf.Results.Enabled, conf.Results.Dir = true, "/r"
	set := defaultSettings()
	set.ReadFreshness = time.Second
	if change != nil {
		change(&conf.Results, &set)
	}
	elapsed := func() time.Duration {
		if l.rig == nil {
			return 0
		}
		return l.elapsed
	}
	var err error
	l.cache, err = resultcache.Open(resultcache.Config{
		Results: conf.Results, Store: conf.Store, Settings: set, FS: disk,
		Names: settings.Names{Classes: []string{"c0", "c1", "c2"}},
		Log:   cacheLog,
		Clocks: func() decide.ClockReading {
			return decide.ClockReading{Boot: "b", Up: l.bootMs + elapsed().Milliseconds()}
		}, Elapsed: elapsed,
	})
	if err != nil {
		t.Fatal(err)
	}
	l.rig = newRigWith(t, Config{Settings: set, ResultCache: l.cache}, false)
	l.tag = uint64(bootMs) << 16 // a transaction name is used once only
	l.WorkerPoolUp(false, poolUpFor)
	l.runBatches()
	t.Cleanup(func() { _ = l.cache.Close(l.now) })
	return l
}

// eventually runs batches until ok; the store calls back from its own goroutine.
func (l *incarnation) eventually(what string, ok func() bool) {
	l.t.Helper()
	standin.Eventually(l.t, what, func() bool { l.runBatches(); return ok() })
}

func (l *incarnation) hasRun(x *exchange.Exchange) bool {
	l.stubPeers.mu.Lock()
	defer l.stubPeers.mu.Unlock()
	for _, txn := range l.started {
		if txn == x.Txn {
			return true
		}
	}
	return false
}

func (l *incarnation) hasAnswer(x *exchange.Exchange) bool {
	l.stubPeers.mu.Lock()
	defer l.stubPeers.mu.Unlock()
	return len(l.answers[x.Tag]) > 0
}

// blockDisk blocks all operations on the disk until the returned function is called.
func blockDisk(disk *vfs.Mem) (release func()) {
	unblocked := make(chan struct{})
	disk.Fail(func(vfs.Op) error { <-unblocked; return nil })
	return func() { close(unblocked); disk.Fail(nil) }
}

// The node crashes at every operation on its disk, and at every byte of each write,
// while a keyed request runs and is answered. Whatever the next incarnation finds, the
// request does not run again once it may have run, and once it was answered a repeat gets
// the same bytes.
func TestCrashAtEveryDiskOperation(t *testing.T) {
	disk := vfs.NewMem(true)
	a := startIncarnation(t, disk, 1000, time.Hour, nil)
	idle := disk.Ops()
	release := blockDisk(disk)
	x := a.send(1, withKey("k"))
	ranEarly := a.hasRun(x)
	release()
	if ranEarly {
		t.Fatal("it ran before its intent was durable")
	}
	a.eventually("the run", func() bool { return a.hasRun(x) })
	ran := disk.Ops()
	a.RunEnded(x, pool.Complete, time.Millisecond, []byte("result"))
	a.eventually("the answer", func() bool { return a.hasAnswer(x) })
	a.wantAnswer(x, exchange.Served, "result")
	done := disk.Ops()
	if ran <= idle || done <= ran {
		t.Fatalf("operations: %d before, %d at the run, %d at the answer", idle, ran, done)
	}
	for n := idle; n <= done; n++ {
		cuts := []vfs.Cut{vfs.KeepAll, vfs.KeepNone}
		if o := disk.OpAt(max(n-1, 0)); o.Kind == vfs.OpWrite {
			for i := range len(o.Data) {
				cuts = append(cuts, vfs.KeepBytes(i))
			}
		}
		for i, cut := range cuts {
			b := startIncarnation(t, disk.After(n, cut), 1050, 10*time.Millisecond, nil) // the worker pool restarted too
			y := b.send(1, withKey("k"))
			b.eventually("a run or an answer", func() bool { return b.hasRun(y) || b.hasAnswer(y) })
			switch {
			case n >= done:
				b.wantAnswer(y, exchange.Served, "result")
			case n >= ran && b.hasRun(y):
				t.Errorf("operation %d, cut %d: it runs again", n, i)
			case n >= ran && b.answers[y.Tag][0].Kind == exchange.Refused:
				t.Errorf("operation %d, cut %d: refused though it ran", n, i)
			}
		}
	}
}

// The worker pool outlives the node: repeats wait for the run that continues and get its
// result, and so do those of a third incarnation. Three concurrent repeats start no run.
func TestWorkerPoolOutlivesTheNode(t *testing.T) {
	disk := vfs.NewMem(false)
	a := startIncarnation(t, disk, 1000, time.Hour, nil)
	x := a.send(1, withKey("k"))
	a.eventually("the run", func() bool { return a.hasRun(x) })
	b := startIncarnation(t, disk.Clone(), 1030, time.Hour, nil)
	var all []*exchange.Exchange
	for range 3 {
		all = append(all, b.send(1, withKey("k")))
	}
	other := b.send(1, func(c *exchange.Request) { c.Unique, c.TenantName = "k", "other" })
	b.eventually("another tenant's run", func() bool { return b.hasRun(other) })
	b.UnknownRunEnded("ffffffffffffffff", pool.Complete, []byte("of a run that nobody started"))
	b.UnknownRunEnded(x.Txn, pool.Complete, []byte("result"))
	for _, y := range all {
		b.eventually("the answer", func() bool { return b.hasAnswer(y) })
		b.wantAnswer(y, exchange.Served, "result")
	}
	b.UnknownRunEnded(x.Txn, pool.Complete, []byte("delivered twice"))
	if len(b.started) != 1 {
		t.Errorf("ran %v", b.started)
	}
	if err := b.cache.Store().Sync(); err != nil {
		t.Fatal(err)
	}
	c := startIncarnation(t, b.disk.Clone(), 1060, time.Hour, nil)
	y := c.send(1, withKey("k"))
	c.eventually("the answer", func() bool { return c.hasAnswer(y) })
	c.wantAnswer(y, exchange.Served, "result")
	if len(c.started) != 0 {
		t.Errorf("ran %v", c.started)
	}
}

// The node crashes between a run's intent and its start, and the worker pool outlives it:
// the end of the run is never received. Repeats fail after InFlightTimeout, before their
// own deadline; if the end is received after all, later repeats get the result.
func TestEndThatNobodyTells(t *testing.T) {
	long := func(_ *config.Results, set *rules.Settings) { set.Classes[1].IdempotencyWindow = 10 * time.Second }
	disk := vfs.NewMem(false)
	a := startIncarnation(t, disk, 1000, time.Hour, long)
	x := a.send(1, withKey("k"))
	a.eventually("the run", func() bool { return a.hasRun(x) })
	b := startIncarnation(t, disk.Clone(), 1030, time.Hour, long)
	deadline := b.cfg.Settings.Classes[1].Deadline
	y := b.send(1, withKey("k"))
	b.advance(decide.InFlightTimeout(0, deadline) - 10*time.Millisecond)
	b.runBatches()
	b.wantNoAnswer(y)
	b.advance(20 * time.Millisecond)
	b.eventually("the answer", func() bool { return b.hasAnswer(y) })
	b.wantAnswer(y, exchange.Failed, "")
	if len(b.started) != 0 || decide.InFlightTimeout(0, deadline) >= deadline || decide.InFlightTimeout(10*time.Millisecond, deadline) > deadline/2 {
		t.Errorf("ran %v, waited for %v of %v", b.started, decide.InFlightTimeout(0, deadline), deadline)
	}
	b.UnknownRunEnded(x.Txn, pool.Complete, []byte("result"))
	b.runBatches()
	z := b.send(1, withKey("k"))
	b.eventually("the answer", func() bool { return b.hasAnswer(z) })
	b.wantAnswer(z, exchange.Served, "result")
}

// Guards against a keyed request that runs again after a restart: a run that was cut off, as at a call whose request is
// over, had its intent withdrawn as if it had never started.
func TestRunThatWasCutOffDoesNotRunAgain(t *testing.T) {
	long := func(_ *config.Results, set *rules.Settings) { set.Classes[1].IdempotencyWindow = 10 * time.Second }
	for name, poolUpFor := range map[string]time.Duration{"same worker pool": time.Hour, "new worker pool": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			disk := vfs.NewMem(false)
			a := startIncarnation(t, disk, 1000, time.Hour, long)
			x := a.send(1, withKey("k"))
			a.eventually("the run", func() bool { return a.hasRun(x) })
			a.RunEnded(x, pool.Cancelled, time.Millisecond, nil)
			a.eventually("the answer", func() bool { return a.hasAnswer(x) })
			a.wantAnswer(x, exchange.Failed, "")
			z := a.send(1, withKey("z")) // its result is stored after the end of the first run
			a.eventually("the run", func() bool { return a.hasRun(z) })
			a.RunEnded(z, pool.Complete, time.Millisecond, []byte("result"))
			a.eventually("the answer", func() bool { return a.hasAnswer(z) })
			b := startIncarnation(t, disk.Clone(), 1200, poolUpFor, long)
			y := b.send(1, withKey("k"))
			b.eventually("a run or an answer", func() bool { return b.hasRun(y) || b.hasAnswer(y) })
			b.wantAnswer(y, exchange.Failed, "")
			if b.hasRun(y) {
				t.Error("it ran again")
			}
		})
	}
}

// Guards against a result that answers a request of another body: after a restart nothing was known of the body of a
// recorded run, so that a conflicting request under its key got its result, or waited for it.
func TestKeyConflictAfterRestart(t *testing.T) {
	body := func(text string) func(*exchange.Request) {
		return func(request *exchange.Request) { request.Unique, request.Body = "k", []byte(text) }
	}
	for name, ends := range map[string]bool{"a result": true, "a run in progress": false} {
		t.Run(name, func(t *testing.T) {
			disk := vfs.NewMem(false)
			a := startIncarnation(t, disk, 1000, time.Hour, nil)
			x := a.send(1, body("mine"))
			a.eventually("the run", func() bool { return a.hasRun(x) })
			if ends {
				a.RunEnded(x, pool.Complete, time.Millisecond, []byte("result"))
				a.eventually("the answer", func() bool { return a.hasAnswer(x) })
			}
			b := startIncarnation(t, disk.Clone(), 1050, time.Hour, nil)
			conflicting := b.send(1, body("theirs"))
			b.eventually("an answer", func() bool { return b.hasAnswer(conflicting) || b.hasRun(conflicting) })
			b.wantAnswer(conflicting, exchange.Failed, "")
			if b.hasRun(conflicting) {
				t.Error("it ran")
			}
			repeat := b.send(1, body("mine"))
			if !ends {
				b.runBatches()
				b.UnknownRunEnded(x.Txn, pool.Complete, []byte("result"))
			}
			b.eventually("the answer", func() bool { return b.hasAnswer(repeat) })
			b.wantAnswer(repeat, exchange.Served, "result")
		})
	}
}

// A repeat that arrives 1 ms before its result expires gets it; 1 ms after, it runs. The
// time during which the node was down counts.
func TestAgedOut(t *testing.T) {
	for _, late := range []time.Duration{-time.Millisecond, time.Millisecond} {
		disk := vfs.NewMem(false)
		a := startIncarnation(t, disk, 1000, time.Hour, nil)
		x := a.send(1, withKey("k"))
		a.eventually("the run", func() bool { return a.hasRun(x) })
		a.RunEnded(x, pool.Complete, time.Millisecond, []byte("result"))
		a.eventually("the answer", func() bool { return a.hasAnswer(x) })
		b := startIncarnation(t, disk.Clone(), 1200, time.Hour, nil)
		b.advance(304*time.Millisecond - 200*time.Millisecond + late) // the window, and two batch intervals
		y := b.send(1, withKey("k"))
		b.eventually("a run or an answer", func() bool { return b.hasRun(y) || b.hasAnswer(y) })
		if b.hasRun(y) != (late > 0) {
			t.Errorf("%v after it expired: ran %v", late, b.hasRun(y))
		}
	}
}

// A request whose intent cannot be written fails and releases its key, or runs without
// a record, as configured.
func TestIntentWriteFails(t *testing.T) {
	for _, run := range []bool{false, true} {
		disk := vfs.NewMem(false)
		a := startIncarnation(t, disk, 1000, time.Hour, func(r *config.Results, _ *rules.Settings) { r.RunUnrecorded = run })
		disk.Fail(func(o vfs.Op) error {
			if o.Kind == vfs.OpWrite {
				return syscall.ENOSPC
			}
			return nil
		})
		x := a.send(1, withKey("k"))
		a.eventually("a run or an answer", func() bool { return a.hasRun(x) || a.hasAnswer(x) })
		if a.hasRun(x) != run {
			t.Errorf("disk full, RunUnwritten %v: ran %v", run, a.hasRun(x))
		}
		if !run {
			a.wantAnswer(x, exchange.Failed, "")
			a.wantEmpty()
		}
		disk.Fail(nil)
		if y := a.send(1, withKey("k")); !run {
			a.eventually("a run once the disk has room", func() bool { return a.hasRun(y) })
		}
	}
}

// Results of reads survive a restart while they are fresh, separately for each tenant. A
// read that was running at the crash runs again, or fails if configured so.
func TestReadsSurviveRestart(t *testing.T) {
	for _, fail := range []bool{false, true} {
		set := func(r *config.Results, _ *rules.Settings) { r.FailUnknownReads = fail }
		disk := vfs.NewMem(false)
		a := startIncarnation(t, disk, 1000, time.Hour, set)
		x, interrupted := a.send(0, withItem("i")), a.send(0, withItem("interrupted"))
		a.eventually("both runs", func() bool { return a.hasRun(x) && a.hasRun(interrupted) })
		a.RunEnded(x, pool.Complete, time.Millisecond, []byte("read"))
		a.eventually("the answer", func() bool { return a.hasAnswer(x) })
		b := startIncarnation(t, disk.Clone(), 1300, 0, set)
		y := b.send(0, withItem("i"))
		b.eventually("the answer", func() bool { return b.hasAnswer(y) })
		b.wantAnswer(y, exchange.Served, "read")
		other := b.send(0, func(c *exchange.Request) { c.Item, c.TenantName = "i", "other" })
		b.eventually("another tenant's run", func() bool { return b.hasRun(other) })
		z := b.send(0, withItem("interrupted"))
		b.eventually("a run or an answer", func() bool { return b.hasRun(z) || b.hasAnswer(z) })
		if b.hasRun(z) == fail {
			t.Errorf("running at the crash, FailUnknown %v: ran %v", fail, b.hasRun(z))
		}
		for _, running := range []*exchange.Exchange{other, z} { // otherwise they would look like a stalled worker pool
			b.RunEnded(running, pool.Error, time.Millisecond, nil)
		}
		b.runBatches()
		b.advance(time.Second)
		w := b.send(0, withItem("i"))
		b.eventually("a run once it is no longer fresh", func() bool { return b.hasRun(w) })
	}
}

// Results that were evicted from memory are read from the disk, before and after a
// restart.
func TestResultsReadFromDisk(t *testing.T) {
	disk := vfs.NewMem(false)
	a := startIncarnation(t, disk, 1000, time.Hour, nil)
	body := func(i int) string { return fmt.Sprintf("%0400d", i) }
	for i := range 6 { // ResultBytes holds two
		x := a.send(1, withKey(fmt.Sprint(i)))
		a.eventually("the run", func() bool { return a.hasRun(x) })
		a.RunEnded(x, pool.Complete, time.Millisecond, []byte(body(i)))
		a.eventually("the answer", func() bool { return a.hasAnswer(x) })
	}
	b := startIncarnation(t, disk.Clone(), 1010, time.Hour, nil)
	for _, l := range []*incarnation{a, b} {
		for i := range 6 {
			y := l.send(1, withKey(fmt.Sprint(i)))
			l.eventually("the answer", func() bool { return l.hasAnswer(y) })
			l.wantAnswer(y, exchange.Served, body(i))
		}
	}
	if len(b.started) != 0 || b.cache.Counters.Restored.Load() != 6 || b.cache.Counters.Answered.Load() != 6 {
		t.Errorf("ran %v; %d restored, %d answered", b.started, b.cache.Counters.Restored.Load(), b.cache.Counters.Answered.Load())
	}
}

// Guards against more records than the module's memory allows: the record of a result that is only on the disk counts
// before and after it is read from there, in its own incarnation and the next.
func TestResultsOnDiskCountAgainstMemory(t *testing.T) {
	large := func(_ *config.Results, set *rules.Settings) { set.RecordKB = 0.3 * set.MemoryKB }
	disk := vfs.NewMem(false)
	body := strings.Repeat("x", 2000) // more than ResultBytes
	a := startIncarnation(t, disk, 1000, time.Hour, large)
	x := a.send(1, withKey("k"))
	a.eventually("the run", func() bool { return a.hasRun(x) })
	a.RunEnded(x, pool.Complete, time.Millisecond, []byte(body))
	a.eventually("the answer", func() bool { return a.hasAnswer(x) })
	b := startIncarnation(t, disk.Clone(), 1010, time.Hour, large)
	for _, incarnation := range []*incarnation{a, b} {
		other := incarnation.send(1, withKey("other"))
		incarnation.wantAnswer(other, exchange.Refused, "")
		repeat := incarnation.send(1, withKey("k"))
		incarnation.eventually("the answer", func() bool { return incarnation.hasAnswer(repeat) })
		incarnation.wantAnswer(repeat, exchange.Served, body)
		other = incarnation.send(1, withKey("other"))
		incarnation.wantAnswer(other, exchange.Refused, "")
	}
}

// Restored records count against the module's memory for records, also in a module that
// replaces another.
func TestRestoredRecordsCountAgainstMemory(t *testing.T) {
	large := func(_ *config.Results, set *rules.Settings) { set.RecordKB = 0.3 * set.MemoryKB }
	disk := vfs.NewMem(false)
	a := startIncarnation(t, disk, 1000, time.Hour, large)
	x := a.send(1, withKey("k"))
	a.eventually("the run", func() bool { return a.hasRun(x) })
	b := startIncarnation(t, disk.Clone(), 1010, time.Hour, large)
	for range 2 {
		y := b.send(1, withKey("other"))
		b.wantAnswer(y, exchange.Refused, "")
		b.guard(func() { panic("defect") })
	}
	b.advance(400 * time.Millisecond)
	b.runBatches()
	y := b.send(1, withKey("other"))
	b.eventually("a run once the record expired", func() bool { return b.hasRun(y) })
}

// Guards against runs that begin for nobody: a run that is stopped before its intent is durable never begins, and its
// key is free again, in this incarnation and the next.
func TestRunStoppedBeforeIntentNeverBegins(t *testing.T) {
	disk := vfs.NewMem(false)
	a := startIncarnation(t, disk, 1000, time.Hour, nil)
	release := blockDisk(disk)
	x := a.send(1, withKey("k"))
	x.Abandon(exchange.EndedCallerGone)
	a.CallerGone(x)
	a.runBatches()
	host{a.Node}.Preempt(a.byExchange[x].id)
	release()
	a.eventually("the end of the request", func() bool { return len(a.byExchange) == 0 })
	if err := a.cache.Store().Sync(); err != nil {
		t.Fatal(err)
	}
	a.runBatches()
	if a.hasRun(x) {
		t.Error("it ran")
	}
	b := startIncarnation(t, disk.Clone(), 1050, 10*time.Millisecond, nil)
	for _, incarnation := range []*incarnation{a, b} {
		repeat := incarnation.send(1, withKey("k"))
		incarnation.eventually("a run or an answer", func() bool {
			return incarnation.hasRun(repeat) || incarnation.hasAnswer(repeat)
		})
		if !incarnation.hasRun(repeat) {
			t.Errorf("the repeat did not run: %+v", incarnation.answers[repeat.Tag])
		}
	}
}

// Unsafe work waits for its intent if configured so. The next incarnation logs the
// requests that may have run, and keeps no record of them.
func TestUnsafeIntent(t *testing.T) {
	set := func(r *config.Results, _ *rules.Settings) { r.RecordUnsafe = true }
	disk := vfs.NewMem(false)
	a := startIncarnation(t, disk, 1000, time.Hour, set)
	release := blockDisk(disk)
	x := a.send(2, nil)
	ranEarly := a.hasRun(x)
	release()
	if ranEarly {
		t.Error("it ran before its intent was written")
	}
	a.eventually("the run", func() bool { return a.hasRun(x) })
	crashed := disk.Clone() // the disk of a node that crashes during the run
	a.RunEnded(x, pool.Complete, time.Millisecond, []byte("done"))
	a.eventually("the answer", func() bool { return a.hasAnswer(x) })
	a.runBatches()
	if err := a.cache.Store().Sync(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		disk   *vfs.Mem
		logged bool
	}{{crashed, true}, {disk.Clone(), false}} {
		var log bytes.Buffer
		cacheLog = slog.New(slog.NewTextHandler(&log, nil))
		b := startIncarnation(t, c.disk, 1010, time.Hour, set)
		cacheLog = slog.New(slog.NewTextHandler(io.Discard, nil))
		logged := strings.Contains(log.String(), "unsafe work that may have run") && strings.Contains(log.String(), x.Txn)
		if logged != c.logged || len(b.restored) != 0 {
			t.Errorf("running at the crash %v: logged %v, %d records: %s", c.logged, logged, len(b.restored), log.String())
		}
	}
}
