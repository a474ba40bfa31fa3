package front

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/settings"
	"robinmast/internal/standin"
	"robinmast/internal/stream"
	"robinmast/rules"
)

// recordingSink is a Sink that records what it receives.
type recordingSink struct {
	mu       sync.Mutex
	arrived  []*exchange.Exchange
	gone     []*exchange.Exchange
	answer   *exchange.Answer // given to every request at once, if set
	gate     chan struct{}    // if set, blocks the reader in Arrived
	batch    atomic.Uint64    // number of the last batch
	paced    bool             // batch is set by the test; else each message finds a new batch
	server   *Server          // gets BatchHandled
	requests atomic.Int64     // calls of RequestBatch
}

func (r *recordingSink) Batch() uint64 {
	if r.paced {
		return r.batch.Load()
	}
	return r.batch.Add(1)
}

// RequestBatch handles a batch at once, unless the test sets the batches.
func (r *recordingSink) RequestBatch() {
	r.requests.Add(1)
	if !r.paced && r.server != nil {
		go r.server.BatchHandled()
	}
}

func (r *recordingSink) Arrived(x *exchange.Exchange) {
	r.mu.Lock()
	r.arrived = append(r.arrived, x)
	a, gate := r.answer, r.gate
	r.mu.Unlock()
	if gate != nil {
		<-gate
	}
	if a != nil {
		x.Answer(*a)
	}
}

func (r *recordingSink) HasRoom(*exchange.Exchange) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate == nil
}

func (r *recordingSink) CallerGone(x *exchange.Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = append(r.gone, x)
}

func (r *recordingSink) counts() (arrived, gone int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.arrived), len(r.gone)
}

func (r *recordingSink) last() *exchange.Exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.arrived) == 0 {
		return nil
	}
	return r.arrived[len(r.arrived)-1]
}

// harness is a running Server with its sink and counters.
type harness struct {
	*Server
	sink            *recordingSink
	requestCounters *exchange.Counters
	addr            string
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startServer runs a Server, changed by tune, until the end of the test, and then checks that all messages,
// connections and requests are accounted for.
func startServer(t *testing.T, tune func(*Server)) *harness {
	t.Helper()
	set := rules.Settings{
		Classes:        []rules.Class{{Effect: rules.Safe}, {Effect: rules.Keyed}},
		Tenants:        []rules.Tenant{{}},
		MaxIdleTimeout: 30 * time.Second,
	}
	names := settings.Names{Classes: []string{"read", "pay"}, Tenants: []string{"acme"}}
	b := &harness{sink: &recordingSink{}, requestCounters: &exchange.Counters{}}
	b.Server = New(Config{Settings: set, Names: names, Log: discardLogger()}, b.sink, b.requestCounters)
	b.sink.server = b.Server
	if tune != nil {
		tune(b.Server)
	}
	ln := standin.Listen(t)
	b.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- b.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		b.AbortAll()
		if err := <-serveErr; err != nil {
			t.Error(err)
		}
		traffic := &b.Traffic
		standin.Eventually(t, "every queued message sent or dropped", func() bool {
			return traffic.Queued.Load() == traffic.Sent.Load()+traffic.Dropped.Load() && traffic.QueuedBytes.Load() == 0
		})
		// A reader that was closing its connection when AbortAll came may be at it still.
		standin.Eventually(t, "every connection gone", func() bool { return b.Conns() == 0 })
		closed := int64(0)
		for _, reason := range stream.CloseReasons() {
			closed += traffic.Closed[reason].Load()
		}
		if closed != traffic.Opened.Load() || b.requestCounters.OpenRequests() != 0 {
			t.Errorf("%d connections opened and %d closed, %d requests still open",
				traffic.Opened.Load(), closed, b.requestCounters.OpenRequests())
		}
	})
	return b
}

func (b *harness) dial(t *testing.T) *standin.Dispatcher { return standin.Dial(t, b.addr) }
