// Package node owns the one loop that owns the decision module, the exchanges
// in hand, the kept keys and the timers. It takes whatever events wait, at most
// once a settings tick, feeds them to the module, lets it settle once, and
// carries out what it says. It must never decide about a request, and never
// wait for a socket.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"robinmast/decide/pools"
	"robinmast/decide/recovery"
	"robinmast/decide/shedding"
	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// pollLead is how long before a timer of the module is due the gauges are
// asked for: two ticks of the worker pool.
const pollLead = 5 * time.Millisecond

// Front is what the loop needs of the side towards dispatchers.
type Front interface {
	SetHealth(good bool)
	PublishLoad(value float64)
	SetIdleTimeout(after time.Duration)
}

// Pool is what the loop needs of the worker pool.
type Pool interface {
	StartRun(*exchange.Exchange)
	StopRun(*exchange.Exchange)
	ContinueWithResult(x *exchange.Exchange, result []byte)
	ContinueWithout(*exchange.Exchange)
	PollGauges()
}

// Calls is what the loop needs of what lies below. done is told once, unless the
// call was given up before.
type Calls interface {
	Call(ref string, statement []byte, timeout time.Duration, done func(o rules.Outcome, result []byte, took time.Duration)) (cancel func())
}

// Config is what a Node needs.
type Config struct {
	Settings    rules.Settings
	Seed        uint64
	ResultBytes int // memory for kept results
	Health      func(good bool)
	Load        func(Load)                               // told with each timer, nil = nobody wants to know
	LoadReport  func(shedding.LoadReport, shedding.View) // the same, where the module thinks of the fleet
	Calls       Calls                                    // what lies below, nil = nothing
	ResultCache ResultCache                              // what outlives the node, nil = nothing
	Recovery    Recovery                                 // the way back to full service, nil = it is not looked at
	Log         *slog.Logger
}

// Load is how the node stands.
type Load struct {
	Running  int
	Limit    float64
	Pressure float64
	Warm     float64 // share of its speed that a cold node has reached
	State    string  // on its way to full service, "" = it is not looked at
}

// load tells how the node stands, if somebody wants to know.
func (n *Node) load() {
	m, ok := n.module.(interface {
		Load() (int, float64, float64)
	})
	if n.cfg.Load == nil || !ok {
		return
	}
	l := Load{Warm: 1}
	l.Running, l.Limit, l.Pressure = m.Load()
	if s := n.cfg.Settings; s.ColdStart && s.WarmUpTime > 0 {
		l.Warm = min(1, s.ColdSpeed+(1-s.ColdSpeed)*float64(n.now-n.born)/float64(s.WarmUpTime))
	}
	if n.cfg.Recovery != nil {
		l.Warm = n.warm
	}
	n.cfg.Load(l)
	if n.cfg.LoadReport == nil {
		return
	}
	if t := n.together(); t != nil {
		n.cfg.LoadReport(t.LoadReport(), t.View(n.now))
	}
}

// together is the module's part that thinks of the fleet, nil if it is off.
func (n *Node) together() *shedding.Shedder {
	m, ok := n.module.(interface {
		Inspect() (rules.Pools, []rules.QueuedRequest, rules.Shedder)
	})
	if !ok {
		return nil
	}
	_, _, t := m.Inspect()
	together, _ := t.(*shedding.Shedder)
	return together
}

// Told takes the fleet's digest of one of the services, as of the moment since.
func (n *Node) ReceiveDigest(since time.Time, src int, d shedding.Digest) {
	n.post(event{kind: told, digest: &d, src: src, took: time.Since(since)})
}

// Together shows how the module thinks of the fleet, if it does and the loop
// answers in time.
func (n *Node) Shedding(most time.Duration) (shedding.View, bool) {
	show := make(chan shedding.View, 1)
	n.post(event{kind: inspect, seen: show})
	select {
	case v, ok := <-show:
		return v, ok
	case <-time.After(most):
		return shedding.View{}, false
	}
}

// kind is the kind of an event.
type kind uint8

const (
	arrived kind = iota
	gone
	finished
	bound
	drain
	blocked  // a run stands at a call below
	called   // a call below is over
	intended // the intent of a run is durable, or could not be written
	stray    // a run ended that this life did not ask for
	inspect  // somebody wants to see the pools, or how the fleet is thought of
	told     // the fleet's digest came
	lives    // what a control service heard of earlier lives came
	roomed   // the fleet's room came
)

// decisions is what the loop needs of the module.
type decisions interface {
	Arrive(now time.Duration, q rules.Request)
	RunEnded(now time.Duration, id rules.RequestID, o rules.Outcome, took time.Duration)
	CallerGone(now time.Duration, id rules.RequestID)
	Drain(now time.Duration, left time.Duration)
	CallNeeded(now time.Duration, id rules.RequestID)
	CallEnded(now time.Duration, id rules.RequestID, o rules.Outcome, took time.Duration)
	TimerFired(now time.Duration, token uint64, gauges []float64)
	FinishBatch(now time.Duration)
	RestoreRecord(now time.Duration, id rules.RequestID, span time.Duration)
}

type event struct {
	kind kind
	x    *exchange.Exchange
	end  pool.Outcome
	took time.Duration
	body []byte
	cold bool
	kept bool              // finished: the memory was told
	has  bool              // finished: the memory has the result
	told bool              // finished: the answer is out
	err  error             // intended
	run  string            // stray
	show chan []pools.View // inspect
	out  rules.Outcome     // called
	call uint64            // called: which one

	seen   chan shedding.View      // inspect
	digest *shedding.Digest        // told, took ago
	src    int                     // told, by which service
	life   *recovery.PreviousStore // lives, nil = of none
	share  float64                 // roomed, took ago
}

// item is a request in hand: what the module calls it, and what is left of it.
type item struct {
	id      rules.RequestID
	x       *exchange.Exchange
	running bool  // a run was asked for and is not over
	reusing bool  // waits for the result of the request it repeats
	kept    *kept // the entry it holds

	statement []byte // of the call it stands at
	call      uint64 // the number of the call that is out, 0 = none is
	hangUp    func() // gives it up

	gate atomic.Uint32 // of a run that waits for its intent
}

// Node is one node's loop. Its exported methods may be called by any goroutine.
type Node struct {
	ModuleResets atomic.Int64 // times that the module failed and was made anew
	KeyConflicts atomic.Int64 // requests under a key that stood for another one

	cfg   Config
	front Front
	pool  Pool
	clock func() time.Duration // monotonic; what came before this process lies below zero
	unix  func() float64       // milliseconds

	mu     sync.Mutex
	queue  []event
	gauges []float64
	poke   chan struct{}

	// The rest belongs to the loop.
	module  decisions
	isBound bool
	born    time.Duration
	now     time.Duration
	nextID  rules.RequestID
	calls   uint64 // made below so far
	items   map[rules.RequestID]*item
	byX     map[*exchange.Exchange]*item
	byTxn   map[string]struct{}
	timers  []timer // by time
	polled  bool    // the gauges were asked for the first timer
	table   table
	late    []event // made by the loop itself, for its next batch
	earlier []*earlier
	byRun   map[string]*earlier // of them, those whose run may still end
	leaving bool
	notice  time.Duration // to leave
	left    time.Duration // until the stop, from then

	ask, warm, value float64 // comeback: what is asked for, the speed reached, the free value before that
}

type timer struct {
	at    time.Duration
	token uint64
}

// New returns a node; Attach gives it its two sides and Run runs it.
func New(cfg Config) *Node {
	began := time.Now()
	return &Node{
		cfg: cfg, poke: make(chan struct{}, 1),
		clock: func() time.Duration { return time.Since(began) },
		unix:  func() float64 { return float64(time.Now().UnixMicro()) / 1000 },
		items: map[rules.RequestID]*item{}, byX: map[*exchange.Exchange]*item{},
		byTxn: map[string]struct{}{}, table: newTable(cfg.ResultBytes),
	}
}

// Attach sets the two sides; it must be called before Run.
func (n *Node) Attach(f Front, p Pool) { n.front, n.pool = f, p }

func (n *Node) post(e event) {
	n.mu.Lock()
	n.queue = append(n.queue, e)
	n.mu.Unlock()
	select {
	case n.poke <- struct{}{}:
	default:
	}
}

// Arrived takes a request that was read.
func (n *Node) Arrived(x *exchange.Exchange) { n.post(event{kind: arrived, x: x}) }

// Gone takes the word that nobody waits for a request.
func (n *Node) CallerGone(x *exchange.Exchange) { n.post(event{kind: gone, x: x}) }

// Finished takes the end of a run.
func (n *Node) RunEnded(x *exchange.Exchange, end pool.Outcome, took time.Duration, result []byte) {
	n.post(event{kind: finished, x: x, end: end, took: took, body: result})
}

// Bound takes the word that the worker pool is up.
func (n *Node) WorkerPoolUp(cold bool, since time.Duration) {
	n.post(event{kind: bound, cold: cold, took: since})
}

// Polled takes the gauges; the next timer brings them to the module.
func (n *Node) GaugesRead(values []float64) {
	n.mu.Lock()
	n.gauges = values
	n.mu.Unlock()
}

// Blocked takes the word that a run stands at a call below.
func (n *Node) CallNeeded(x *exchange.Exchange, statement []byte) {
	n.post(event{kind: blocked, x: x, body: statement})
}

// Drain gives the notice to leave: the process stops after left.
func (n *Node) Drain(left time.Duration) { n.post(event{kind: drain, took: left}) }

// Run runs the loop until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.tick()
	if err := n.restore(); err != nil {
		return err
	}
	if n.cfg.Recovery != nil {
		n.cfg.Recovery.Begin(n.now)
		n.ask, n.warm = 1, 1
	}
	if err := n.build(n.now, n.cfg.Settings.ColdStart); err != nil {
		return err
	}
	n.loop(ctx)
	n.endLife()
	if n.cfg.ResultCache == nil {
		return nil
	}
	n.tick()
	if err := n.cfg.ResultCache.Close(n.now); err != nil { // the next start finds what a crash would leave
		n.cfg.Log.Error("remembered results were not closed in order", "err", err)
	}
	return nil
}

// loop takes batches until ctx ends.
func (n *Node) loop(ctx context.Context) {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		wait.Reset(n.untilTimer())
		select {
		case <-ctx.Done():
			return
		case <-n.poke:
		case <-wait.C:
		}
		n.batch()
		// The module's batches come at most once a tick; what arrives meanwhile
		// makes the next one.
		if pause := n.now + n.cfg.Settings.BatchInterval - n.clock(); pause > 0 {
			time.Sleep(pause)
		}
	}
}

func (n *Node) tick() { n.now = n.clock() }

// untilTimer is the time to the next thing the loop does by itself.
func (n *Node) untilTimer() time.Duration {
	if len(n.late) > 0 {
		return 0
	}
	if len(n.timers) == 0 {
		return time.Hour
	}
	at := n.timers[0].at
	if !n.polled {
		at -= pollLead
	}
	return max(at-n.clock(), 0)
}

// batch feeds what waits and lets the module settle.
func (n *Node) batch() {
	n.mu.Lock()
	queue := n.queue
	n.queue = nil
	gauges := n.gauges
	n.mu.Unlock()
	n.tick()
	late := n.late
	n.late = nil
	for _, e := range append(late, queue...) { // each by itself: a defect costs one event
		n.guard(func() { n.feed(e) })
	}
	n.guard(func() {
		for len(n.timers) > 0 && n.timers[0].at <= n.now {
			t := n.timers[0]
			n.timers = slices.Delete(n.timers, 0, 1)
			n.polled = false
			n.module.TimerFired(n.now, t.token, gauges)
			n.stepLife()
			n.load()
		}
	})
	n.guard(func() { n.module.FinishBatch(n.now) })
	n.table.expire(n.now)
	if n.cfg.ResultCache != nil {
		n.endWaits()
		n.cfg.ResultCache.Flush(n.now)
	}
	if !n.polled && len(n.timers) > 0 && n.timers[0].at-pollLead <= n.now {
		n.polled = true
		n.pool.PollGauges()
	}
}

// Pools shows what the pools by class do, nil if there are none or the loop does
// not answer in time.
func (n *Node) Pools(most time.Duration) []pools.View {
	show := make(chan []pools.View, 1)
	n.post(event{kind: inspect, show: show})
	select {
	case v := <-show:
		return v
	case <-time.After(most):
		return nil
	}
}

func (n *Node) inspect(e event) {
	if e.show != nil {
		e.show <- n.views()
	}
	if e.seen != nil {
		if t := n.together(); t != nil {
			e.seen <- t.View(n.now)
		}
		close(e.seen)
	}
}

func (n *Node) views() []pools.View {
	m, ok := n.module.(interface {
		Inspect() (rules.Pools, []rules.QueuedRequest, rules.Shedder)
	})
	if !ok {
		return nil
	}
	p, line, _ := m.Inspect()
	if p, ok := p.(*pools.Pools); ok {
		return p.Views(line)
	}
	return nil
}

// guard answers everything and makes the module anew should its code fail: a
// defect in a decision must not take the node down with all it has read.
func (n *Node) guard(run func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if resets := n.ModuleResets.Add(1); resets&(resets-1) == 0 { // the 1st, 2nd, 4th, 8th ...
			n.cfg.Log.Error("the module failed and is made anew", "panic", fmt.Sprint(p),
				"resets", resets, "stack", string(debug.Stack()))
		}
		for _, it := range n.ordered() {
			it.x.Answer(exchange.Answer{Kind: exchange.Failed})
			n.settleKept(it, false, nil)
			switch {
			case !it.running:
				n.forget(it)
			case it.x.Safe && n.cfg.Settings.Preemption == rules.PreemptDrop:
				n.suspend(it) // the new module does not count it on the cores
			}
		}
		if err := n.build(n.born, n.cfg.Settings.ColdStart); err != nil {
			panic(err) // it was made before from the same settings
		}
		n.drain()
	}()
	run()
}

// ordered lists the items in order of arrival.
func (n *Node) ordered() []*item {
	list := make([]*item, 0, len(n.items))
	for _, it := range n.items {
		list = append(list, it)
	}
	slices.SortFunc(list, func(a, b *item) int { return int(a.id) - int(b.id) })
	return list
}

// build makes the module, as of when the worker pool came up.
func (n *Node) build(born time.Duration, cold bool) error {
	n.timers, n.polled, n.born = nil, false, born
	n.cfg.Settings.ColdStart = cold
	now := n.now
	n.now = born
	m, err := rules.New(born, n.cfg.Settings, n.cfg.Seed, host{n})
	n.now = now
	if err != nil {
		return fmt.Errorf("module: %w", err)
	}
	n.module = m
	for _, r := range n.earlier {
		if left := r.Expires - n.now; left > 0 {
			m.RestoreRecord(n.now, r.id, left)
		}
	}
	return nil
}

// feed hands one event to the module.
func (n *Node) feed(e event) {
	switch e.kind {
	case arrived:
		n.arrive(e.x)
	case gone:
		if it := n.byX[e.x]; it != nil {
			n.module.CallerGone(n.now, it.id)
			n.leave(it)
		}
	case finished:
		n.finish(e)
	case bound:
		n.bind(e)
	case drain:
		if !n.leaving {
			n.leaving, n.notice, n.left = true, n.now, e.took
		}
		n.drain()
	case blocked:
		if it := n.byX[e.x]; it != nil && it.running {
			it.statement = e.body
			n.module.CallNeeded(n.now, it.id)
		}
	case called:
		n.called(e)
	case intended:
		n.intended(e)
	case stray:
		n.stray(e)
	case inspect:
		n.inspect(e)
	case told:
		if t := n.together(); t != nil {
			t.ReceiveDigestFrom(n.now, n.now-e.took, e.src, *e.digest)
		}
	case roomed:
		if n.cfg.Recovery != nil {
			n.cfg.Recovery.FleetCapacity(n.now-e.took, e.share)
		}
	case lives:
		if n.cfg.Recovery != nil {
			n.cfg.Recovery.ObservePrevious(n.now, e.life)
		}
	}
}

// drain tells the module of the notice, if there was one, as of when it came: a
// module made anew must not begin a grace of its own.
func (n *Node) drain() {
	if n.leaving {
		n.module.Drain(n.notice, n.left)
	}
}

// bind makes the module anew when the worker pool comes up for the first time,
// since only then is known how long it has been warming. Nothing can have run
// before; what came too early is read again.
func (n *Node) bind(e event) {
	if n.isBound {
		return
	}
	n.isBound = true
	waiting := n.ordered()
	up := min(e.took, n.cfg.Settings.WarmUpTime+n.cfg.Settings.OverloadWindow) // longer ago makes no difference
	if err := n.build(n.now-up, e.cold); err != nil {
		panic(err) // it was made before from the same settings
	}
	n.bindLife(e)
	n.drain()
	n.table = newTable(n.cfg.ResultBytes)
	n.relink(n.now - e.took)
	for _, it := range waiting {
		n.forget(it)
		if it.x.FinalState() == exchange.Open {
			n.arrive(it.x)
		}
	}
}

// arrive gives a request to the module. Its age counts from the machine's door,
// by the Unix clock; both clocks are read now.
func (n *Node) arrive(x *exchange.Exchange) {
	if x.FinalState() != exchange.Open { // its caller left before it was taken up
		return
	}
	if _, twice := n.byTxn[x.Txn]; twice { // the worker pool could not tell them apart
		x.Answer(exchange.Answer{Kind: exchange.Failed})
		return
	}
	n.nextID++
	it := &item{id: n.nextID, x: x}
	n.items[it.id], n.byX[x] = it, it
	n.byTxn[x.Txn] = struct{}{}
	q := request(x, it.id, n.unix())
	earlier, other := n.table.earlier(x, q, n.now, n.cfg.Settings)
	switch {
	case earlier == it.id:
	case other:
		if c := n.KeyConflicts.Add(1); c&(c-1) == 0 { // the 1st, 2nd, 4th, 8th ...
			n.cfg.Log.Warn("a key that stands for another request", "class", x.ClassName, "caller", x.Caller, "so_far", c)
		}
		x.Answer(exchange.Answer{Kind: exchange.Failed})
		n.forget(it)
		return
	default:
		q.RepeatOf = earlier
	}
	if n.cfg.Recovery != nil && n.doubted(it, &q) {
		return
	}
	n.module.Arrive(n.now, q)
}

// Bounds for what the clocks of two programs may say.
const longest = time.Hour

// request turns a call into the module's terms; unix is the time in milliseconds.
func request(x *exchange.Exchange, id rules.RequestID, unix float64) rules.Request {
	clamp := func(ms float64, least time.Duration) time.Duration {
		return min(max(time.Duration(min(ms, float64(longest/time.Millisecond))*float64(time.Millisecond)), least), longest)
	}
	q := rules.Request{
		ID: id, Rank: x.Rank, WorkHint: clamp(x.HintMs, 0), Tenant: x.Tenant, Caller: x.Caller,
		Age: clamp(max(unix-x.ArrivedUnixMs, 0), 0), MemoryKB: x.MemoryKB, Class: x.Class, Retry: x.Retry, Key: hash(x.Item),
	}
	if x.TimeoutMs > 0 { // a time already past is still told: 0 would mean that nothing is known
		q.CallerTimeout = min(clamp(max(x.ArrivedUnixMs+x.TimeoutMs-unix, 0), time.Microsecond), clamp(x.TimeoutMs, time.Microsecond))
	}
	return q
}

// called takes the end of a call. The run goes on with its result, if there is one.
func (n *Node) called(e event) {
	it := n.byX[e.x]
	if it == nil || it.call != e.call { // its run ended meanwhile
		return
	}
	it.call, it.hangUp = 0, nil
	if e.out == rules.OK {
		n.pool.ContinueWithResult(it.x, e.body)
	}
	n.module.CallEnded(n.now, it.id, e.out, e.took)
}

// giveUpCall ends the call of a request that is over, if one is out.
func (it *item) giveUpCall() {
	if it.call != 0 {
		it.hangUp()
		it.call, it.hangUp = 0, nil
	}
}

// finish takes the end of a run or a reuse. A result goes out by itself, as
// does a failure; a run that was stopped without an answer is the module's again.
func (n *Node) finish(e event) {
	it := n.byX[e.x]
	if it == nil || !it.running && !it.reusing {
		return
	}
	if it.running && !e.kept && n.store(it, e) {
		return // the answer follows once the result is stored
	}
	reused := it.reusing
	it.running, it.reusing = false, false
	it.giveUpCall()
	if it.kept != nil && e.has {
		it.kept.stored, it.kept.ref = true, it.kept.key[1:]
	}
	switch e.end {
	case pool.Complete:
		if !e.told {
			it.x.Answer(exchange.Answer{Kind: exchange.Served, Body: e.body})
		}
		n.settleKept(it, true, e.body)
		n.module.RunEnded(n.now, it.id, rules.OK, e.took)
		n.ranLife(it, e, reused)
	case pool.Cancelled:
		n.module.RunEnded(n.now, it.id, rules.Cancelled, e.took)
		n.leave(it)
		return
	default:
		it.x.Answer(exchange.Answer{Kind: exchange.Failed})
		n.settleKept(it, false, nil)
		o := rules.Failed
		if e.end == pool.NeverStarted {
			o = rules.NeverStarted
			if it.kept != nil && !reused {
				it.kept.moot = true
			}
		}
		n.module.RunEnded(n.now, it.id, o, e.took)
	}
	n.leave(it)
}

// leave forgets a request of which nothing is left.
func (n *Node) leave(it *item) {
	if it.running || it.x.FinalState() == exchange.Open {
		return
	}
	n.settleKept(it, false, nil)
	n.forget(it)
}

func (n *Node) forget(it *item) {
	it.giveUpCall()
	delete(n.items, it.id)
	delete(n.byX, it.x)
	delete(n.byTxn, it.x.Txn)
}
