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

// life is one life of a node with a memory, on a disk that outlives it. up is
// the machine's own clock, in milliseconds; lives follow each other by it.
type life struct {
	*rig
	disk *vfs.Mem
	mem  *resultcache.Cache
	up   int64
}

// lifeLog takes what memories say.
var lifeLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// live begins a life on a disk, the worker pool being up for poolUp.
func live(t *testing.T, disk *vfs.Mem, up int64, poolUp time.Duration, change func(*config.Results, *rules.Settings)) *life {
	t.Helper()
	l := &life{disk: disk, up: up}
	own := config.Defaults()
	own.Results.Enabled, own.Results.Dir = true, "/r"
	set := usual()
	set.ReadFreshness = time.Second
	if change != nil {
		change(&own.Results, &set)
	}
	passed := func() time.Duration {
		if l.rig == nil {
			return 0
		}
		return l.passed
	}
	var err error
	l.mem, err = resultcache.Open(resultcache.Config{
		Results: own.Results, Store: own.Store, Settings: set, FS: disk,
		Names:  settings.Names{Classes: []string{"c0", "c1", "c2"}},
		Log:    lifeLog,
		Clocks: func() decide.ClockReading { return decide.ClockReading{Boot: "b", Up: l.up + passed().Milliseconds()} }, Elapsed: passed,
	})
	if err != nil {
		t.Fatal(err)
	}
	l.rig = newRigWith(t, Config{Settings: set, ResultCache: l.mem}, false)
	l.tag = uint64(up) << 16 // a run's name is never used again
	l.WorkerPoolUp(false, poolUp)
	l.turn()
	t.Cleanup(func() { _ = l.mem.Close(l.now) })
	return l
}

// until turns the loop until ok: the store answers in its own time.
func (l *life) until(what string, ok func() bool) {
	l.t.Helper()
	standin.Eventually(l.t, what, func() bool { l.turn(); return ok() })
}

func (l *life) ran(x *exchange.Exchange) bool {
	l.side.mu.Lock()
	defer l.side.mu.Unlock()
	for _, txn := range l.spawned {
		if txn == x.Txn {
			return true
		}
	}
	return false
}

func (l *life) answered(x *exchange.Exchange) bool {
	l.side.mu.Lock()
	defer l.side.mu.Unlock()
	return len(l.answers[x.Tag]) > 0
}

// hold lets no operation on the disk begin until the function it returns is called.
func hold(disk *vfs.Mem) (release func()) {
	let := make(chan struct{})
	disk.Fail(func(vfs.Op) error { <-let; return nil })
	return func() { close(let); disk.Fail(nil) }
}

// The node is cut off at every operation on its disk, and inside each write at
// every byte, while a keyed request runs and is answered. Whatever the next life
// finds, the request never runs again once it may have, and once it was answered
// the repeat gets the same bytes.
func TestCrashAnywhere(t *testing.T) {
	disk := vfs.NewMem(true)
	a := live(t, disk, 1000, time.Hour, nil)
	began := disk.Ops()
	release := hold(disk)
	x := a.send(1, key("k"))
	ranEarly := a.ran(x)
	release()
	if ranEarly {
		t.Fatal("it ran before its intent was durable")
	}
	a.until("the run", func() bool { return a.ran(x) })
	ran := disk.Ops()
	a.RunEnded(x, pool.Complete, time.Millisecond, []byte("result"))
	a.until("the answer", func() bool { return a.answered(x) })
	a.only(x, exchange.Served, "result")
	done := disk.Ops()
	if ran <= began || done <= ran {
		t.Fatalf("operations: %d before, %d at the run, %d at the answer", began, ran, done)
	}
	for n := began; n <= done; n++ {
		cuts := []vfs.Cut{vfs.KeepAll, vfs.KeepNone}
		if o := disk.OpAt(max(n-1, 0)); o.Kind == vfs.OpWrite {
			for i := range len(o.Data) {
				cuts = append(cuts, vfs.KeepBytes(i))
			}
		}
		for i, cut := range cuts {
			b := live(t, disk.After(n, cut), 1050, 10*time.Millisecond, nil) // the pool went down too
			y := b.send(1, key("k"))
			b.until("a run or an answer", func() bool { return b.ran(y) || b.answered(y) })
			switch {
			case n >= done:
				b.only(y, exchange.Served, "result")
			case n >= ran && b.ran(y):
				t.Errorf("operation %d, cut %d: it runs again", n, i)
			case n >= ran && b.answers[y.Tag][0].Kind == exchange.Refused:
				t.Errorf("operation %d, cut %d: refused though it ran", n, i)
			}
		}
	}
}

// The worker pool outlived the node: repeats wait for the run that goes on, get
// its result, and so do those of a third life. Three at once run nothing.
func TestPoolOutlives(t *testing.T) {
	disk := vfs.NewMem(false)
	a := live(t, disk, 1000, time.Hour, nil)
	x := a.send(1, key("k"))
	a.until("the run", func() bool { return a.ran(x) })
	b := live(t, disk.Clone(), 1030, time.Hour, nil)
	var all []*exchange.Exchange
	for range 3 {
		all = append(all, b.send(1, key("k")))
	}
	other := b.send(1, func(c *exchange.Request) { c.Unique, c.TenantName = "k", "other" })
	b.until("another tenant's run", func() bool { return b.ran(other) })
	b.UnknownRunEnded("ffffffffffffffff", pool.Complete, []byte("not asked for by anybody"))
	b.UnknownRunEnded(x.Txn, pool.Complete, []byte("result"))
	for _, y := range all {
		b.until("the answer", func() bool { return b.answered(y) })
		b.only(y, exchange.Served, "result")
	}
	b.UnknownRunEnded(x.Txn, pool.Complete, []byte("told twice"))
	if len(b.spawned) != 1 {
		t.Errorf("ran %v", b.spawned)
	}
	if err := b.mem.Store().Sync(); err != nil {
		t.Fatal(err)
	}
	c := live(t, b.disk.Clone(), 1060, time.Hour, nil)
	y := c.send(1, key("k"))
	c.until("the answer", func() bool { return c.answered(y) })
	c.only(y, exchange.Served, "result")
	if len(c.spawned) != 0 {
		t.Errorf("ran %v", c.spawned)
	}
}

// The node was cut off between a run's intent and its begin, and the worker pool
// outlived it: nobody ever tells the run's end. Repeats fail once it was awaited for
// long enough, before their own time is over; should its end be told after all, later
// repeats get it.
func TestEndThatNobodyTells(t *testing.T) {
	long := func(_ *config.Results, set *rules.Settings) { set.Classes[1].IdempotencyWindow = 10 * time.Second }
	disk := vfs.NewMem(false)
	a := live(t, disk, 1000, time.Hour, long)
	x := a.send(1, key("k"))
	a.until("the run", func() bool { return a.ran(x) })
	b := live(t, disk.Clone(), 1030, time.Hour, long)
	deadline := b.cfg.Settings.Classes[1].Deadline
	y := b.send(1, key("k"))
	b.pass(decide.InFlightTimeout(0, deadline) - 10*time.Millisecond)
	b.turn()
	b.none(y)
	b.pass(20 * time.Millisecond)
	b.until("the answer", func() bool { return b.answered(y) })
	b.only(y, exchange.Failed, "")
	if len(b.spawned) != 0 || decide.InFlightTimeout(0, deadline) >= deadline || decide.InFlightTimeout(10*time.Millisecond, deadline) > deadline/2 {
		t.Errorf("ran %v, awaited for %v of %v", b.spawned, decide.InFlightTimeout(0, deadline), deadline)
	}
	b.UnknownRunEnded(x.Txn, pool.Complete, []byte("result"))
	b.turn()
	z := b.send(1, key("k"))
	b.until("the answer", func() bool { return b.answered(z) })
	b.only(z, exchange.Served, "result")
}

// A key that returns 1 ms before its result aged out gets it, 1 ms after it runs;
// the time the node was away counts.
func TestAgedOut(t *testing.T) {
	for _, late := range []time.Duration{-time.Millisecond, time.Millisecond} {
		disk := vfs.NewMem(false)
		a := live(t, disk, 1000, time.Hour, nil)
		x := a.send(1, key("k"))
		a.until("the run", func() bool { return a.ran(x) })
		a.RunEnded(x, pool.Complete, time.Millisecond, []byte("result"))
		a.until("the answer", func() bool { return a.answered(x) })
		b := live(t, disk.Clone(), 1200, time.Hour, nil)
		b.pass(304*time.Millisecond - 200*time.Millisecond + late) // the window, and two ticks
		y := b.send(1, key("k"))
		b.until("a run or an answer", func() bool { return b.ran(y) || b.answered(y) })
		if b.ran(y) != (late > 0) {
			t.Errorf("%v after it aged out: ran %v", late, b.ran(y))
		}
	}
}

// A run stopped before its intent is durable never begins, and its key is free;
// one whose intent can't be written fails, or runs unremembered, as set.
func TestIntentFails(t *testing.T) {
	for _, run := range []bool{false, true} {
		disk := vfs.NewMem(false)
		a := live(t, disk, 1000, time.Hour, func(r *config.Results, _ *rules.Settings) { r.RunUnwritten = run })
		disk.Fail(func(o vfs.Op) error {
			if o.Kind == vfs.OpWrite {
				return syscall.ENOSPC
			}
			return nil
		})
		x := a.send(1, key("k"))
		a.until("a run or an answer", func() bool { return a.ran(x) || a.answered(x) })
		if a.ran(x) != run {
			t.Errorf("unwritable, run set to %v: ran %v", run, a.ran(x))
		}
		if !run {
			a.only(x, exchange.Failed, "")
			a.empty()
		}
		disk.Fail(nil)
		if y := a.send(1, key("k")); !run {
			a.until("a run with room again", func() bool { return a.ran(y) })
		}
	}
}

// Reads are remembered within their freshness, apart by tenant; one cut off by a
// crash runs again, or fails where that is set.
func TestReadsRemembered(t *testing.T) {
	for _, fail := range []bool{false, true} {
		set := func(r *config.Results, _ *rules.Settings) { r.FailUnknown = fail }
		disk := vfs.NewMem(false)
		a := live(t, disk, 1000, time.Hour, set)
		x, cut := a.send(0, about("i")), a.send(0, about("cut"))
		a.until("both runs", func() bool { return a.ran(x) && a.ran(cut) })
		a.RunEnded(x, pool.Complete, time.Millisecond, []byte("read"))
		a.until("the answer", func() bool { return a.answered(x) })
		b := live(t, disk.Clone(), 1300, 0, set)
		y := b.send(0, about("i"))
		b.until("the answer", func() bool { return b.answered(y) })
		b.only(y, exchange.Served, "read")
		other := b.send(0, func(c *exchange.Request) { c.Item, c.TenantName = "i", "other" })
		b.until("another tenant's run", func() bool { return b.ran(other) })
		z := b.send(0, about("cut"))
		b.until("a run or an answer", func() bool { return b.ran(z) || b.answered(z) })
		if b.ran(z) == fail {
			t.Errorf("cut off, to fail: %v, ran: %v", fail, b.ran(z))
		}
		for _, running := range []*exchange.Exchange{other, z} { // else they would pass for a stall
			b.RunEnded(running, pool.Error, time.Millisecond, nil)
		}
		b.turn()
		b.pass(time.Second)
		w := b.send(0, about("i"))
		b.until("a run once it is no longer fresh", func() bool { return b.ran(w) })
	}
}

// Results that found no room in memory are read from the disk, and what was
// remembered counts in the module's memory of keys.
func TestResultsFromDisk(t *testing.T) {
	disk := vfs.NewMem(false)
	a := live(t, disk, 1000, time.Hour, nil)
	body := func(i int) string { return fmt.Sprintf("%0400d", i) }
	for i := range 6 { // KeyBytes holds two
		x := a.send(1, key(fmt.Sprint(i)))
		a.until("the run", func() bool { return a.ran(x) })
		a.RunEnded(x, pool.Complete, time.Millisecond, []byte(body(i)))
		a.until("the answer", func() bool { return a.answered(x) })
	}
	b := live(t, disk.Clone(), 1010, time.Hour, nil)
	for _, l := range []*life{a, b} {
		for i := range 6 {
			y := l.send(1, key(fmt.Sprint(i)))
			l.until("the answer", func() bool { return l.answered(y) })
			l.only(y, exchange.Served, body(i))
		}
	}
	if len(b.spawned) != 0 || b.mem.Counters.Restored.Load() != 6 || b.mem.Counters.Answered.Load() != 6 {
		t.Errorf("ran %v; %d restored, %d answered", b.spawned, b.mem.Counters.Restored.Load(), b.mem.Counters.Answered.Load())
	}
}

// Restored entries count in the module's memory of keys, however often it is made.
func TestRestoredEntriesCount(t *testing.T) {
	large := func(_ *config.Results, set *rules.Settings) { set.RecordKB = 0.3 * set.MemoryKB }
	disk := vfs.NewMem(false)
	a := live(t, disk, 1000, time.Hour, large)
	x := a.send(1, key("k"))
	a.until("the run", func() bool { return a.ran(x) })
	b := live(t, disk.Clone(), 1010, time.Hour, large)
	for range 2 {
		y := b.send(1, key("other"))
		b.only(y, exchange.Refused, "")
		b.guard(func() { panic("defect") })
	}
	b.pass(400 * time.Millisecond)
	b.turn()
	y := b.send(1, key("other"))
	b.until("a run once the entry aged out", func() bool { return b.ran(y) })
}

// Unsafe work waits for its intent where that is set, and the next life neither
// keeps the entry nor forgets to name it.
func TestUnsafeIntent(t *testing.T) {
	set := func(r *config.Results, _ *rules.Settings) { r.Unsafe = true }
	disk := vfs.NewMem(false)
	a := live(t, disk, 1000, time.Hour, set)
	release := hold(disk)
	x := a.send(2, nil)
	ranEarly := a.ran(x)
	release()
	if ranEarly {
		t.Error("it ran before its intent was written")
	}
	a.until("the run", func() bool { return a.ran(x) })
	cut := disk.Clone()
	a.RunEnded(x, pool.Complete, time.Millisecond, []byte("done"))
	a.until("the answer", func() bool { return a.answered(x) })
	a.turn()
	if err := a.mem.Store().Sync(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		disk  *vfs.Mem
		named bool
	}{{cut, true}, {disk.Clone(), false}} {
		var log bytes.Buffer
		lifeLog = slog.New(slog.NewTextHandler(&log, nil))
		b := live(t, c.disk, 1010, time.Hour, set)
		lifeLog = slog.New(slog.NewTextHandler(io.Discard, nil))
		if named := strings.Contains(log.String(), "unsafe work that may have run") && strings.Contains(log.String(), x.Txn); named != c.named || len(b.earlier) != 0 {
			t.Errorf("cut off %v: named %v, %d entries: %s", c.named, named, len(b.earlier), log.String())
		}
	}
}
