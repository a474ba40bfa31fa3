package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// side stands in for both sides of the loop and for the dispatchers.
type side struct {
	mu                 sync.Mutex // a memory lets runs begin and answers out by itself
	spawned, suspended []string
	supplied, passed   []string
	polls              int
	answers            map[uint64][]exchange.Answer
	good               bool
	said               float64
}

func (s *side) StartRun(x *exchange.Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spawned = append(s.spawned, x.Txn)
}
func (s *side) StopRun(x *exchange.Exchange)         { s.suspended = append(s.suspended, x.Txn) }
func (s *side) ContinueWithout(x *exchange.Exchange) { s.passed = append(s.passed, x.Txn) }
func (s *side) ContinueWithResult(x *exchange.Exchange, result []byte) {
	s.supplied = append(s.supplied, x.Txn+" "+string(result))
}
func (s *side) PollGauges()                  { s.polls++ }
func (s *side) SetHealth(good bool)          { s.good = good }
func (s *side) PublishLoad(v float64)        { s.said = v }
func (s *side) SetIdleTimeout(time.Duration) {}
func (s *side) Reply(tag uint64, a exchange.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[tag] = append(s.answers[tag], a)
}

// rig is a node whose loop the test turns by hand.
type rig struct {
	*Node
	*side
	t      *testing.T
	ledger exchange.Counters
	tag    uint64
	passed time.Duration // what both clocks say
}

// pass lets time go by on both clocks; nothing here waits for a real one.
func (r *rig) pass(d time.Duration) { r.passed += d }

func (r *rig) unixMs() float64 { return 1764576000000 + float64(r.passed)/float64(time.Millisecond) }

func usual() rules.Settings {
	class := rules.Class{LatencyTarget: 2 * time.Second, Deadline: 6 * time.Second, Utility: 1, IdempotencyWindow: 300 * time.Millisecond}
	safe, once, never := class, class, class
	once.Effect, never.Effect = rules.Keyed, rules.Unsafe
	return rules.Settings{
		BatchInterval: 2 * time.Millisecond, Cores: 2, Nodes: 1, Callers: 1, Classes: []rules.Class{safe, once, never},
		MemoryKB: 1e6, RunningMemoryFactor: 4, RecordKB: 1, Preemption: rules.PreemptDrop, OverloadRunsPerCore: 8,
		OverloadWindow: time.Second, DrainGrace: 100 * time.Millisecond, TimeoutsPassed: true, DisconnectsReported: true,
		Gauges: []string{"cpu_busy", "runnable"}, HonoursRetryAfter: true, MaxRetryAfter: time.Second,
	}
}

func newRig(t *testing.T, set rules.Settings, bindNow bool) *rig {
	t.Helper()
	return newRigWith(t, Config{Settings: set}, bindNow)
}

func newRigWith(t *testing.T, cfg Config, bindNow bool) *rig {
	t.Helper()
	r := &rig{t: t, side: &side{answers: map[uint64][]exchange.Answer{}}}
	cfg.ResultBytes, cfg.Log = 1<<10, slog.New(slog.NewTextHandler(io.Discard, nil))
	r.Node = New(cfg)
	r.clock = func() time.Duration { return r.passed }
	r.unix = r.unixMs
	r.Attach(r.side, r.side)
	r.tick()
	if err := r.restore(); err != nil {
		t.Fatal(err)
	}
	if err := r.build(r.now, false); err != nil {
		t.Fatal(err)
	}
	if bindNow {
		r.WorkerPoolUp(false, time.Hour)
	}
	r.turn()
	return r
}

// turn lets the loop take what waits, and what it made of that.
func (r *rig) turn() {
	r.batch()
	for len(r.late) > 0 {
		r.batch()
	}
}

// send makes a request arrive and turns the loop.
func (r *rig) send(class int, more func(*exchange.Request)) *exchange.Exchange {
	r.tag++
	c := exchange.Request{
		Txn: fmt.Sprintf("%016x", r.tag), Class: class, ClassName: fmt.Sprint("c", class), Safe: class == 0,
		ArrivedUnixMs: r.unixMs(), TimeoutMs: 5000, MemoryKB: 10,
	}
	if more != nil {
		more(&c)
	}
	x := exchange.New(&r.ledger, r.side, r.tag, c)
	r.Arrived(x)
	r.turn()
	return x
}

func (r *rig) end(x *exchange.Exchange, e pool.Outcome, body string) {
	r.RunEnded(x, e, time.Millisecond, []byte(body))
	r.turn()
}

// only checks that a request has just this one answer.
func (r *rig) only(x *exchange.Exchange, kind exchange.Kind, body string) {
	r.t.Helper()
	if a := r.answers[x.Tag]; len(a) != 1 || a[0].Kind != kind || string(a[0].Body) != body {
		r.t.Errorf("request %d: answers %+v, want one of kind %v with %q", x.Tag, a, kind, body)
	}
}

func (r *rig) none(x *exchange.Exchange) {
	r.t.Helper()
	if a := r.answers[x.Tag]; len(a) != 0 {
		r.t.Errorf("request %d was answered: %+v", x.Tag, a)
	}
}

// empty checks that nothing is left of any request.
func (r *rig) empty() {
	r.t.Helper()
	if len(r.items) != 0 || len(r.byX) != 0 || len(r.byTxn) != 0 || r.ledger.OpenRequests() != 0 {
		r.t.Errorf("left over: %d items, %d requests in hand", len(r.items), r.ledger.OpenRequests())
	}
}

func key(k string) func(*exchange.Request)   { return func(c *exchange.Request) { c.Unique = k } }
func about(k string) func(*exchange.Request) { return func(c *exchange.Request) { c.Item = k } }

// Every way in which a run can end is answered once, and nothing stays behind.
func TestRunEnds(t *testing.T) {
	r := newRig(t, usual(), true)
	a, b, c := r.send(0, nil), r.send(0, nil), r.send(1, key("k"))
	if len(r.spawned) != 2 { // two cores to start with
		t.Fatalf("spawned %v", r.spawned)
	}
	r.end(a, pool.Complete, "result")
	r.only(a, exchange.Served, "result")
	r.end(a, pool.Complete, "again") // harmless
	r.end(b, pool.Error, "")
	r.only(b, exchange.Failed, "")
	r.end(c, pool.NeverStarted, "") // odd, as it was not over: it is answered all the same
	r.only(a, exchange.Served, "result")
	r.only(c, exchange.Failed, "")
	r.empty()
}

// A stopped run without an answer is the module's again: safe work runs anew.
func TestStoppedRunIsHeldAgain(t *testing.T) {
	r := newRig(t, usual(), true)
	a := r.send(0, nil)
	r.end(a, pool.Cancelled, "")
	r.none(a)
	if len(r.spawned) != 2 || r.spawned[0] != r.spawned[1] {
		t.Fatalf("spawned %v", r.spawned)
	}
	r.end(a, pool.Complete, "r")
	r.only(a, exchange.Served, "r")
	r.empty()
}

// Unsafe work that was stopped may have had its effect: it fails, and neither is
// refused nor runs again.
func TestUnsafeRunsOnce(t *testing.T) {
	r := newRig(t, usual(), true)
	a := r.send(2, nil)
	r.end(a, pool.Cancelled, "")
	r.only(a, exchange.Failed, "")
	if len(r.spawned) != 1 {
		t.Errorf("spawned %v", r.spawned)
	}
	r.empty()
}

// A caller that leaves gets no answer; its safe run is stopped, and whichever
// way the run then ends, nothing stays behind.
func TestGone(t *testing.T) {
	for _, end := range []pool.Outcome{pool.Complete, pool.Error, pool.Cancelled, pool.NeverStarted} {
		r := newRig(t, usual(), true)
		held := []*exchange.Exchange{r.send(0, nil), r.send(0, nil), r.send(0, nil)}
		for _, x := range held {
			x.Abandon(exchange.EndedCallerGone)
			r.CallerGone(x)
		}
		r.turn()
		if len(r.spawned) != 2 || len(r.suspended) != 2 {
			t.Fatalf("spawned %v, stopped %v", r.spawned, r.suspended)
		}
		for _, x := range held {
			r.end(x, end, "late")
			r.none(x)
		}
		r.empty()
	}
}

// A cancel may come before the loop has even taken the request up.
func TestGoneBeforeArrival(t *testing.T) {
	r := newRig(t, usual(), true)
	x := exchange.New(&r.ledger, r.side, 1, exchange.Request{Txn: "x", ArrivedUnixMs: r.unixMs(), MemoryKB: 1, Safe: true})
	r.Arrived(x)
	x.Abandon(exchange.EndedCancelled)
	r.CallerGone(x)
	r.turn()
	if len(r.spawned) != 0 {
		t.Error("it was run")
	}
	r.empty()
}

// What the worker pool never answers still gets its answer before it is due,
// and the run's own end, much later, gives no second one.
func TestSilentPool(t *testing.T) {
	r := newRig(t, usual(), true)
	x := r.send(1, func(c *exchange.Request) { c.Unique, c.TimeoutMs = "k", 300 })
	for len(r.answers[x.Tag]) == 0 && r.passed < 2*time.Second {
		r.pass(2 * time.Millisecond)
		r.turn()
	}
	if r.passed >= 300*time.Millisecond {
		t.Errorf("answered after %v, due after 300 ms", r.passed)
	}
	r.only(x, exchange.Failed, "")
	r.end(x, pool.Complete, "late")
	r.only(x, exchange.Failed, "")
	if r.ledger.Late.Load() != 1 {
		t.Errorf("%d late answers", r.ledger.Late.Load())
	}
	r.empty()
}

// A keyed request runs once in its window, however often and whenever it comes.
func TestKeyed(t *testing.T) {
	r := newRig(t, usual(), true)
	first := r.send(1, key("k"))
	during := r.send(1, key("k"))
	other := r.send(1, key("other"))
	r.none(during)
	r.end(first, pool.Complete, "result")
	after := r.send(1, key("k"))
	for _, x := range []*exchange.Exchange{first, during, after} {
		r.only(x, exchange.Served, "result")
	}
	r.end(other, pool.Error, "")
	again := r.send(1, key("other"))
	r.only(again, exchange.Failed, "") // it ran: neither refused nor run again
	if len(r.spawned) != 2 {
		t.Fatalf("%d runs of two keys", len(r.spawned))
	}
	// A repeat that came within the window and is read after it still counts.
	r.pass(320 * time.Millisecond)
	late := r.send(1, func(c *exchange.Request) { c.Unique, c.ArrivedUnixMs = "k", c.ArrivedUnixMs-200 })
	r.only(late, exchange.Served, "result")
	r.empty()
	r.pass(320 * time.Millisecond)
	fresh := r.send(1, key("k"))
	if len(r.spawned) != 3 {
		t.Error("not run after its window")
	}
	r.end(fresh, pool.Complete, "new")
	r.only(fresh, exchange.Served, "new")
	r.empty()
}

// A caller that leaves does not end keyed work; its repeats get the result.
func TestKeyedOutlivesItsCaller(t *testing.T) {
	r := newRig(t, usual(), true)
	first := r.send(1, key("k"))
	first.Abandon(exchange.EndedCallerGone)
	r.CallerGone(first)
	second := r.send(1, key("k"))
	second.Abandon(exchange.EndedCancelled)
	r.CallerGone(second)
	third := r.send(1, key("k"))
	r.end(first, pool.Complete, "result")
	r.none(first)
	r.none(second)
	r.only(third, exchange.Served, "result")
	if len(r.spawned) != 1 || len(r.suspended) != 0 {
		t.Errorf("spawned %v, stopped %v", r.spawned, r.suspended)
	}
	r.empty()
}

// Work that was turned away before it ran leaves its key free.
func TestKeyedRefusedMayRun(t *testing.T) {
	r := newRig(t, usual(), true)
	first := r.send(1, func(c *exchange.Request) { c.Unique, c.TimeoutMs = "k", 1 }) // too late when it comes
	r.only(first, exchange.Refused, "")
	second := r.send(1, key("k"))
	if len(r.spawned) != 1 {
		t.Fatalf("spawned %v", r.spawned)
	}
	r.end(second, pool.Complete, "r")
	r.only(second, exchange.Served, "r")
	r.empty()
}

// Kept results have a bound of their own. A repeat whose result had to go
// fails: the work ran.
func TestKeptResultsAreBounded(t *testing.T) {
	r := newRig(t, usual(), true)
	big := string(make([]byte, 700))
	for _, k := range []string{"a", "b"} {
		r.end(r.send(1, key(k)), pool.Complete, big)
	}
	if r.table.bytes > 1<<10 {
		t.Errorf("%d bytes kept", r.table.bytes)
	}
	r.only(r.send(1, key("a")), exchange.Failed, "")
	r.only(r.send(1, key("b")), exchange.Served, big)
	if len(r.spawned) != 2 {
		t.Errorf("spawned %v", r.spawned)
	}
	r.pass(320 * time.Millisecond)
	r.tick()
	r.table.swept = 0
	r.table.expire(r.now + lateRead)
	if len(r.table.byKey) != 0 || r.table.bytes != 0 || len(r.table.results) != 0 {
		t.Errorf("%d entries and %d bytes left", len(r.table.byKey), r.table.bytes)
	}
}

// Reads of one item share a run, and its answer while it is fresh; a failure is
// not shared once it is known.
func TestFreshReads(t *testing.T) {
	set := usual()
	set.ReadFreshness = 100 * time.Millisecond
	r := newRig(t, set, true)
	a, b := r.send(0, about("i")), r.send(0, about("i"))
	none, other := r.send(0, nil), r.send(0, about("j"))
	r.end(a, pool.Complete, "r")
	c := r.send(0, about("i"))
	for _, x := range []*exchange.Exchange{a, b, c} {
		r.only(x, exchange.Served, "r")
	}
	r.end(none, pool.Complete, "n")
	r.end(other, pool.Error, "")
	d := r.send(0, about("j"))
	if len(r.spawned) != 4 {
		t.Errorf("spawned %v", r.spawned)
	}
	r.end(d, pool.Complete, "ok now")
	r.only(d, exchange.Served, "ok now")
	r.pass(120 * time.Millisecond)
	e := r.send(0, about("i"))
	if len(r.spawned) != 5 {
		t.Error("a stale answer was shared")
	}
	r.end(e, pool.Complete, "r2")
	r.only(e, exchange.Served, "r2")
	r.empty()
}

// Nothing runs before the worker pool is up; then the module begins with its
// age, and what came too early is read again.
func TestBoundLate(t *testing.T) {
	set := usual()
	set.ColdStart, set.ColdSpeed, set.WarmUpTime = false, 0.2, 10*time.Second
	r := newRig(t, set, false)
	early, left := r.send(0, nil), r.send(0, nil)
	left.Abandon(exchange.EndedCancelled)
	r.CallerGone(left)
	r.turn()
	if len(r.spawned) != 0 || len(r.suspended) != 0 {
		t.Fatalf("said to a worker pool that is not up: %v %v", r.spawned, r.suspended)
	}
	r.WorkerPoolUp(true, 4*time.Second)
	r.turn()
	if !r.cfg.Settings.ColdStart || r.now-r.born < 4*time.Second || r.now-r.born > 5*time.Second {
		t.Errorf("cold %v since %v", r.cfg.Settings.ColdStart, r.now-r.born)
	}
	if len(r.spawned) != 1 || r.spawned[0] != early.Txn {
		t.Errorf("spawned %v", r.spawned)
	}
	r.WorkerPoolUp(false, time.Hour) // a new link is no new worker pool
	r.turn()
	if !r.cfg.Settings.ColdStart {
		t.Error("a new link changed what is known")
	}
	r.end(early, pool.Complete, "r")
	r.only(early, exchange.Served, "r")
	r.empty()
}

// After the notice nothing runs that came past the grace; it is refused at once.
func TestDrain(t *testing.T) {
	r := newRig(t, usual(), true)
	before := r.send(0, nil)
	r.Drain(time.Second)
	r.turn()
	r.pass(120 * time.Millisecond)
	past := r.send(0, nil)
	r.only(past, exchange.Refused, "")
	if a := r.answers[past.Tag]; len(a) == 1 && a[0].RetryAfter != time.Second {
		t.Errorf("advice %v", a[0].RetryAfter)
	}
	r.end(before, pool.Complete, "r")
	r.only(before, exchange.Served, "r")
	r.empty()
}

// A module made anew while the node leaves keeps to the grace and the stop that
// count from the notice: with a grace of its own it would run what came too late.
func TestDrainOutlivesTheModule(t *testing.T) {
	for name, anew := range map[string]func(*rig){
		"after a defect": func(r *rig) { r.guard(func() { panic("defect") }) },
		"bound late":     func(r *rig) { r.WorkerPoolUp(false, time.Hour); r.turn() },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, usual(), name != "bound late")
			r.Drain(400 * time.Millisecond)
			r.turn()
			r.pass(120 * time.Millisecond)
			anew(r)
			past := r.send(0, nil)
			r.only(past, exchange.Refused, "")
			if len(r.spawned) != 0 {
				t.Errorf("spawned %v", r.spawned)
			}
			r.empty()
		})
	}
}

// A request in hand under the same name can't be told apart by the worker pool.
func TestSameTxn(t *testing.T) {
	r := newRig(t, usual(), true)
	a := r.send(0, nil)
	b := r.send(0, func(c *exchange.Request) { c.Txn = a.Txn })
	r.only(b, exchange.Failed, "")
	r.none(a)
	r.end(a, pool.Complete, "r")
	r.only(a, exchange.Served, "r")
	r.empty()
}

// Should the module's code fail, all that was read is answered and the node
// goes on with a new module; runs that go on end without a trace.
func TestModuleFails(t *testing.T) {
	r := newRig(t, usual(), true)
	running, held := r.send(0, nil), []*exchange.Exchange{}
	for range 3 {
		held = append(held, r.send(0, nil))
	}
	r.guard(func() { panic("defect") })
	for _, x := range append(held, running) {
		r.only(x, exchange.Failed, "")
	}
	if len(r.suspended) != 2 {
		t.Errorf("stopped %v", r.suspended)
	}
	after := r.send(0, nil)
	r.end(running, pool.Complete, "late")
	r.end(held[0], pool.Complete, "late")
	r.only(running, exchange.Failed, "")
	r.end(after, pool.Complete, "r")
	r.only(after, exchange.Served, "r")
	if r.ModuleResets.Load() != 1 {
		t.Errorf("%d resets", r.ModuleResets.Load())
	}
	r.empty()
}

// faulty is a module with a defect in one of its methods.
type faulty struct{ decisions }

func (faulty) CallerGone(time.Duration, rules.RequestID) { panic("defect") }

// A defect costs what it was fed, not what waited behind it in the same batch:
// those requests were read and are owed an answer.
func TestModuleFailsWithinABatch(t *testing.T) {
	r := newRig(t, usual(), true)
	first := r.send(0, nil)
	r.module = faulty{r.module}
	first.Abandon(exchange.EndedCallerGone)
	r.CallerGone(first)
	behind := exchange.New(&r.ledger, r.side, 77, exchange.Request{Txn: "behind", ArrivedUnixMs: r.unixMs(), TimeoutMs: 5000, MemoryKB: 1, Safe: true})
	r.Arrived(behind)
	r.turn()
	if r.ModuleResets.Load() != 1 {
		t.Fatalf("%d resets", r.ModuleResets.Load())
	}
	r.end(first, pool.Cancelled, "")
	r.end(behind, pool.Complete, "r")
	r.only(behind, exchange.Served, "r")
	r.none(first)
	r.empty()
}

// The module's timer brings the gauges, which are asked for a little earlier.
func TestGauges(t *testing.T) {
	r := newRig(t, usual(), true)
	r.GaugesRead([]float64{0.5, 3})
	for r.polls < 3 {
		if r.passed > 2*time.Second {
			t.Fatal("gauges not asked for")
		}
		r.pass(r.untilTimer())
		r.turn()
	}
	if len(r.timers) != 1 {
		t.Errorf("%d timers", len(r.timers))
	}
}

// spy notes what reaches the module.
type spy struct {
	decisions
	gauges  []float64
	settled []time.Duration
	fed     int
}

func (s *spy) TimerFired(now time.Duration, token uint64, g []float64) {
	s.gauges = g
	s.decisions.TimerFired(now, token, g)
}

func (s *spy) Arrive(now time.Duration, q rules.Request) {
	s.fed++
	s.decisions.Arrive(now, q)
}

func (s *spy) FinishBatch(now time.Duration) {
	s.settled = append(s.settled, now)
	s.decisions.FinishBatch(now)
}

func TestGaugesReachTheModule(t *testing.T) {
	r := newRig(t, usual(), true)
	s := &spy{decisions: r.module}
	r.module = s
	r.GaugesRead([]float64{0.5, 3})
	for s.gauges == nil && r.passed < 2*time.Second {
		r.pass(r.untilTimer())
		r.turn()
	}
	if len(s.gauges) != 2 || s.gauges[0] != 0.5 || s.gauges[1] != 3 {
		t.Errorf("gauges %v", s.gauges)
	}
}

// However fast events come, the module settles once for all that waited, and at
// most once a tick.
func TestBatches(t *testing.T) {
	set := usual()
	set.BatchInterval = 5 * time.Millisecond
	r := newRig(t, set, true)
	s := &spy{decisions: r.module}
	r.module = s
	began := time.Now() // the one test on a real clock: it is about how fast the loop turns
	r.clock = func() time.Duration { return r.passed + time.Since(began) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.loop(ctx); close(done) }()
	const requests = 200
	for i := range requests {
		r.Arrived(exchange.New(&r.ledger, r.side, uint64(i+1), exchange.Request{Txn: fmt.Sprint(i), ArrivedUnixMs: r.unixMs(), Safe: true, MemoryKB: 1}))
		time.Sleep(100 * time.Microsecond)
	}
	time.Sleep(20 * time.Millisecond)
	cancel()
	<-done
	if s.fed != requests {
		t.Errorf("%d of %d requests reached the module", s.fed, requests)
	}
	for i := 1; i < len(s.settled); i++ {
		if gap := s.settled[i] - s.settled[i-1]; gap < set.BatchInterval {
			t.Fatalf("settled again after %v", gap)
		}
	}
}

// The clocks of two programs may say anything; the module gets sane times.
func TestRequestTimes(t *testing.T) {
	const now = 1764576000500.0
	for _, c := range []struct {
		door, limit   float64
		age, patience time.Duration
	}{
		{now - 100, 480, 100 * time.Millisecond, 380 * time.Millisecond},
		{now - 100, 0, 100 * time.Millisecond, 0}, // not told
		{now - 500, 480, 500 * time.Millisecond, time.Microsecond},
		{now + 300, 480, 0, 480 * time.Millisecond}, // from the future
		{0, 480, longest, time.Microsecond},
		{now, 1e300, 0, longest},
		{1e18, 1e-9, 0, time.Microsecond},
	} {
		x := exchange.New(&exchange.Counters{}, nil, 1, exchange.Request{ArrivedUnixMs: c.door, TimeoutMs: c.limit, HintMs: 12.5})
		q := request(x, 1, now)
		if q.Age != c.age || q.CallerTimeout != c.patience || q.WorkHint != 12500*time.Microsecond {
			t.Errorf("door %v, limit %v: age %v, patience %v", c.door, c.limit, q.Age, q.CallerTimeout)
		}
	}
}

// A stranger uses the key of somebody else's request for one of its own: it is told
// nothing of the other's result, at no point of the other's life, its request does
// not run, and the other is served as if it had not come.
func TestKeyOfAnother(t *testing.T) {
	body := func(k, b string) func(*exchange.Request) {
		return func(c *exchange.Request) { c.Unique, c.Body = k, []byte(b) }
	}
	stranger := func(r *rig) { r.t.Helper(); r.only(r.send(1, body("k", "theirs")), exchange.Failed, "") }
	t.Run("held", func(t *testing.T) {
		r := newRig(t, usual(), false) // before the worker pool is bound nothing is run
		x := r.send(1, body("k", "mine"))
		stranger(r)
		r.WorkerPoolUp(false, time.Hour)
		r.turn()
		stranger(r)
		r.end(x, pool.Complete, "result")
		r.only(x, exchange.Served, "result")
		r.empty()
	})
	t.Run("running and over", func(t *testing.T) {
		r := newRig(t, usual(), true)
		x := r.send(1, body("k", "mine"))
		stranger(r)
		same := r.send(1, body("k", "mine"))
		r.end(x, pool.Complete, "result")
		stranger(r)
		r.only(x, exchange.Served, "result")
		r.only(same, exchange.Served, "result")
		r.only(r.send(1, body("k", "mine")), exchange.Served, "result")
		if len(r.spawned) != 1 || r.KeyConflicts.Load() != 2 {
			t.Errorf("%d runs, %d told of", len(r.spawned), r.KeyConflicts.Load())
		}
		r.empty()
	})
	t.Run("the stranger first", func(t *testing.T) {
		r := newRig(t, usual(), true)
		x := r.send(1, body("k", "theirs"))
		r.end(x, pool.NeverStarted, "") // the worker pool knows no such request
		r.only(x, exchange.Failed, "")
		x = r.send(1, body("k", "mine"))
		r.end(x, pool.Complete, "result")
		r.only(x, exchange.Served, "result")
		r.empty()
	})
}

// calls stands in for what lies below.
type calls struct {
	refs   []string
	done   []func(rules.Outcome, []byte, time.Duration)
	hungUp int
}

func (c *calls) Call(ref string, statement []byte, _ time.Duration, done func(rules.Outcome, []byte, time.Duration)) func() {
	c.refs = append(c.refs, ref+" "+string(statement))
	c.done = append(c.done, done)
	return func() { c.hungUp++ }
}

// A run that stands at a call is let go on with the call's result; a call that failed is
// made again only where that is safe; one whose request is over is given up, and what it
// brings later goes nowhere.
func TestCallsBelow(t *testing.T) {
	set := usual()
	set.Dependency, set.CallShare, set.CallWindow = rules.DependencyShared, 10, 5*time.Second
	for i := range set.Classes {
		set.Classes[i].CallsDependency = true
	}
	below := &calls{}
	r := newRigWith(t, Config{Settings: set, Calls: below}, true)
	answer := func(i int, o rules.Outcome, text string) {
		below.done[i](o, []byte(text), time.Millisecond)
		r.turn()
	}
	blocked := func(x *exchange.Exchange, statement string) { r.CallNeeded(x, []byte(statement)); r.turn() }
	x := r.send(0, nil)
	blocked(x, "q1")
	answer(0, rules.OK, "rows")
	blocked(x, "q2")
	answer(1, rules.ConnectionReset, "") // safe work: made again
	if len(below.refs) != 3 || below.refs[2] != x.Txn+" q2" {
		t.Fatalf("calls %v", below.refs)
	}
	answer(2, rules.OK, "more")
	r.end(x, pool.Complete, "result")
	r.only(x, exchange.Served, "result")
	if len(r.supplied) != 2 || r.supplied[0] != x.Txn+" rows" || r.supplied[1] != x.Txn+" more" {
		t.Errorf("supplied %v", r.supplied)
	}

	once := r.send(2, nil) // unsafe
	blocked(once, "q")
	answer(3, rules.TimedOut, "") // it may have had its effect
	r.only(once, exchange.Failed, "")
	r.end(once, pool.Cancelled, "") // as its request is over
	if len(below.refs) != 4 || len(r.supplied) != 2 {
		t.Errorf("calls %v, supplied %v", below.refs, r.supplied)
	}

	gone := r.send(0, nil)
	blocked(gone, "q")
	gone.Abandon(exchange.EndedCallerGone)
	r.CallerGone(gone)
	r.turn()
	r.end(gone, pool.Cancelled, "")
	if below.hungUp != 1 {
		t.Errorf("%d calls given up", below.hungUp)
	}
	answer(4, rules.OK, "late")
	blocked(gone, "q")
	if len(r.supplied) != 2 || len(below.refs) != 5 {
		t.Errorf("after its end: calls %v, supplied %v", below.refs, r.supplied)
	}
	r.empty()
}
