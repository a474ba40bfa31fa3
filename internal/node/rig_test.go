package node

import (
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

// stubPeers stands in for the server, the worker pool and the dispatchers, and records what it receives.
type stubPeers struct {
	mu                 sync.Mutex // the result cache starts runs and answers from goroutines of its own
	started, stopped   []string
	continued, skipped []string
	polls              int
	answers            map[uint64][]exchange.Answer
	healthy            bool
	published          float64
	readersWait        bool // what BatchHandled returns
	batchesEnded       bool
}

func (s *stubPeers) StartRun(x *exchange.Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = append(s.started, x.Txn)
}

func (s *stubPeers) StopRun(x *exchange.Exchange) { s.stopped = append(s.stopped, x.Txn) }

func (s *stubPeers) ContinueWithout(x *exchange.Exchange) { s.skipped = append(s.skipped, x.Txn) }

func (s *stubPeers) ContinueWithResult(x *exchange.Exchange, result []byte) {
	s.continued = append(s.continued, x.Txn+" "+string(result))
}

func (s *stubPeers) PollGauges() { s.polls++ }

func (s *stubPeers) SetHealth(good bool) { s.healthy = good }

func (s *stubPeers) PublishLoad(v float64) { s.published = v }

func (s *stubPeers) SetIdleTimeout(time.Duration) {}

func (s *stubPeers) BatchHandled() (waiting bool) { return s.readersWait }

func (s *stubPeers) BatchesEnded() { s.batchesEnded = true }

func (s *stubPeers) Reply(tag uint64, a exchange.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[tag] = append(s.answers[tag], a)
}

// rig is a node whose batches the test runs itself.
type rig struct {
	*Node
	*stubPeers
	t        *testing.T
	counters exchange.Counters
	tag      uint64
	elapsed  time.Duration // what both clocks show
}

// advance moves both clocks on; no test with a rig waits for real time.
func (r *rig) advance(d time.Duration) { r.elapsed += d }

func (r *rig) unixMs() float64 { return 1764576000000 + float64(r.elapsed)/float64(time.Millisecond) }

func defaultSettings() rules.Settings {
	class := rules.Class{LatencyTarget: 2 * time.Second, Deadline: 6 * time.Second, Utility: 1, IdempotencyWindow: 300 * time.Millisecond}
	safe, keyed, unsafe := class, class, class
	keyed.Effect, unsafe.Effect = rules.Keyed, rules.Unsafe
	return rules.Settings{
		BatchInterval: 2 * time.Millisecond, Cores: 2, Nodes: 1, Callers: 1, Classes: []rules.Class{safe, keyed, unsafe},
		MemoryKB: 1e6, RunningMemoryFactor: 4, RecordKB: 1, Preemption: rules.PreemptDrop, OverloadRunsPerCore: 8,
		OverloadWindow: time.Second, DrainGrace: 100 * time.Millisecond, TimeoutsPassed: true, DisconnectsReported: true,
		Gauges: []string{"cpu_busy", "runnable"}, HonoursRetryAfter: true, MaxRetryAfter: time.Second,
	}
}

func newRig(t *testing.T, set rules.Settings, poolUp bool) *rig {
	t.Helper()
	return newRigWith(t, Config{Settings: set}, poolUp)
}

func newRigWith(t *testing.T, cfg Config, poolUp bool) *rig {
	t.Helper()
	r := &rig{t: t, stubPeers: &stubPeers{answers: map[uint64][]exchange.Answer{}}}
	cfg.ResultBytes, cfg.Log = 1<<10, slog.New(slog.NewTextHandler(io.Discard, nil))
	r.Node = New(cfg)
	r.clock = func() time.Duration { return r.elapsed }
	r.unixMillis = r.unixMs
	r.Attach(r.stubPeers, r.stubPeers)
	r.readClock()
	if err := r.restore(); err != nil {
		t.Fatal(err)
	}
	if err := r.buildModule(r.now, false); err != nil {
		t.Fatal(err)
	}
	if poolUp {
		r.WorkerPoolUp(false, time.Hour)
	}
	r.runBatches()
	return r
}

// runBatches runs a batch for the waiting events, and further ones for its follow-ups.
func (r *rig) runBatches() {
	r.runBatch()
	for len(r.followUps) > 0 {
		r.runBatch()
	}
}

// send makes a request arrive and runs the batches.
func (r *rig) send(class int, more func(*exchange.Request)) *exchange.Exchange {
	r.tag++
	c := exchange.Request{
		Txn: fmt.Sprintf("%016x", r.tag), Class: class, ClassName: fmt.Sprint("c", class), Safe: class == 0,
		ArrivedUnixMs: r.unixMs(), TimeoutMs: 5000, MemoryKB: 10,
	}
	if more != nil {
		more(&c)
	}
	x := exchange.New(&r.counters, r.stubPeers, r.tag, c)
	r.Arrived(x)
	r.runBatches()
	return x
}

func (r *rig) endRun(x *exchange.Exchange, e pool.Outcome, body string) {
	r.RunEnded(x, e, time.Millisecond, []byte(body))
	r.runBatches()
}

// wantAnswer checks that a request has exactly this one answer.
func (r *rig) wantAnswer(x *exchange.Exchange, kind exchange.Kind, body string) {
	r.t.Helper()
	if a := r.answers[x.Tag]; len(a) != 1 || a[0].Kind != kind || string(a[0].Body) != body {
		r.t.Errorf("request %d: answers %+v, want one of kind %v with %q", x.Tag, a, kind, body)
	}
}

// wantNoAnswer checks that a request has no answer.
func (r *rig) wantNoAnswer(x *exchange.Exchange) {
	r.t.Helper()
	if a := r.answers[x.Tag]; len(a) != 0 {
		r.t.Errorf("request %d was answered: %+v", x.Tag, a)
	}
}

// wantEmpty checks that no request is left in the node's tables.
func (r *rig) wantEmpty() {
	r.t.Helper()
	if len(r.requests) != 0 || len(r.byExchange) != 0 || len(r.byTxn) != 0 || r.counters.OpenRequests() != 0 {
		r.t.Errorf("left over: %d requests in the node, %d open", len(r.requests), r.counters.OpenRequests())
	}
}

func withKey(k string) func(*exchange.Request) { return func(c *exchange.Request) { c.Unique = k } }

func withItem(k string) func(*exchange.Request) { return func(c *exchange.Request) { c.Item = k } }
