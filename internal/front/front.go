// Package front is the node's server for dispatchers. It accepts connections, reads requests, cancels and health
// checks with redcon, and sends answers through each connection's output ring.
//
// A Server passes requests to its Sink, which decides about them and answers through the exchange. The package
// makes no decision about a request, runs none, and keeps no request longer than its connection. One goroutine
// for each connection reads it; answers may come from any goroutine.
package front

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"robinmast/decide/connlimit"
	"robinmast/internal/exchange"
	"robinmast/internal/settings"
	"robinmast/internal/stream"
	"robinmast/rules"
)

// Limits and timeouts of connections; none of them decides about a request.
const (
	maxOpenRequests   = 32                     // requests open on one connection
	messagesPerBatch  = maxOpenRequests        // messages that a connection passes on between two batches of the sink
	inRingBytes       = 16 << 10               // input ring: one message and what was read beyond it
	outRingBytes      = 160 << 10              // output ring: the answers of all open requests
	sweepInterval     = 50 * time.Millisecond  // how often idle and stalled connections are looked for
	sweepLateLimit    = 500 * time.Millisecond // a sweep this late means that the process was frozen
	partialCloseAfter = time.Second            // for an incomplete message, while no connection slot is free
	finTimeout        = 2 * time.Second        // for a dispatcher to close after `0 FIN`
	partialIdleLimit  = 10 * time.Second       // for the rest of a message, if nothing is open
	partialMaxLimit   = 30 * time.Second       // for the rest of a message in any case
	firstMessageLimit = 2 * time.Second        // for the first whole message: dispatchers connect to send one
	acceptRetryDelay  = 20 * time.Millisecond  // after a failed accept, and between checks for a free slot
	warnInterval      = 2 * time.Second        // between warnings about input, connections and accept
	lingerTimeout     = 500 * time.Millisecond // for a dispatcher to receive the FIN and close its side
	drainPollInterval = 2 * time.Millisecond   // between checks whether all connections are closed

	// While no connection slot is free, a closing connection on which anything was sent lingers for at least
	// minLinger. Requests that cross the close are sent again by their dispatcher.
	minLinger    = 50 * time.Millisecond
	maxLingering = 8 // closing connections while no slot is free; no further one is closed to free a slot

	// After StopListening the listener closes after finalAcceptTimeouts waits of finalAcceptTimeout each in
	// which the kernel's accept queue had no connection, and after finalAcceptLimit in any case.
	finalAcceptTimeout  = time.Millisecond
	finalAcceptTimeouts = 2
	finalAcceptLimit    = 500 * time.Millisecond
)

// Sink receives the requests of dispatchers.
type Sink interface {
	// Arrived delivers a request that was read. It may wait until the sink has memory for it;
	// meanwhile nothing more is read from its connection.
	Arrived(*exchange.Exchange)
	// HasRoom reports whether Arrived would take a request without waiting.
	HasRoom(*exchange.Exchange) bool
	// CallerGone notifies that a request was cancelled by its dispatcher or that its
	// connection closed. It must not block, and may precede the end of Arrived.
	CallerGone(*exchange.Exchange)
	// Batch returns the number of the last batch of events that the sink has handled.
	Batch() uint64
	// RequestBatch makes the sink handle a batch soon, after which it calls BatchHandled. It must not block.
	RequestBatch()
}

// Config configures a Server.
type Config struct {
	Settings      rules.Settings
	Names         settings.Names // of the classes and tenants
	MaxConns      int            // connections open at once, 0 = no limit; more wait to be accepted
	OutBytes      int64          // bytes of memory of all output rings together
	SetupCPUShare float64        // share of a core for new connections and health checks, 0 = no limit
	ReadersAtOnce int            // connections whose input is handled at a time, 0 = one
	Log           *slog.Logger
}

// Counters counts messages and failures of a Server. It is safe for concurrent use.
type Counters struct {
	Calls          atomic.Int64 // RPC.CALL messages
	Cancels        atomic.Int64 // RPC.CANCEL messages
	Unmatched      atomic.Int64 // of those, for a tag that is not open
	Health         atomic.Int64 // RPC.HEALTH messages
	Malformed      atomic.Int64 // requests that could not be parsed, each answered with FAIL
	Unknown        atomic.Int64 // messages with another command
	AcceptFailures atomic.Int64 // errors of accept
}

// Server is the node's server for dispatchers. Its methods are safe for concurrent use.
type Server struct {
	Counters Counters
	Traffic  stream.Traffic

	cfg             Config
	parser          requestParser
	sink            Sink
	requestCounters *exchange.Counters

	// Set from the constants above; tests change them.
	limits                                                           stream.Limits // of each connection
	finTimeout, partialIdleLimit, partialMaxLimit, firstMessageLimit time.Duration

	healthy     atomic.Bool
	feedback    atomic.Pointer[string] // published load feedback as a field, nil = none yet
	idleTimeout atomic.Int64           // nanoseconds, 0 = none

	mu            sync.Mutex
	clients       map[*client]struct{}
	connClosed    chan struct{} // signalled when a connection's descriptor is closed
	finAnnounced  bool          // FIN is sent on every connection
	draining      bool          // connections close as soon as no answer is pending
	baseListener  net.Listener  // passed to Serve, nil before
	acceptingDone chan struct{} // closed when no more connections are accepted

	stopAccepting atomic.Bool // StopListening was called

	readScheduler *readScheduler

	started   time.Time
	limiterMu sync.Mutex
	limiter   *connlimit.Limiter // nil = no limit

	lastWarning atomic.Int64 // Unix time of the last warning, nanoseconds
	suppressed  atomic.Int64 // warnings suppressed since
}

// New returns a Server that passes requests to sink and counts them in requestCounters.
func New(cfg Config, sink Sink, requestCounters *exchange.Counters) *Server {
	s := &Server{
		cfg: cfg, parser: newRequestParser(cfg.Settings, cfg.Names), sink: sink, requestCounters: requestCounters,
		clients: map[*client]struct{}{}, connClosed: make(chan struct{}, 1),
		acceptingDone: make(chan struct{}),
		limits: stream.Limits{
			ReadBufferBytes: inRingBytes, WriteBufferBytes: outRingBytes, StallTimeout: stream.StallLimit, Linger: lingerTimeout,
		},
		finTimeout: finTimeout, partialIdleLimit: partialIdleLimit, partialMaxLimit: partialMaxLimit,
		firstMessageLimit: firstMessageLimit,
	}
	s.Traffic.QueuedBytesLimit = cfg.OutBytes
	s.started = time.Now()
	if cfg.SetupCPUShare > 0 {
		s.limiter = connlimit.New(0, cfg.SetupCPUShare)
	}
	s.readScheduler = newReadScheduler(cfg.ReadersAtOnce, sink)
	s.healthy.Store(true)
	s.idleTimeout.Store(int64(cfg.Settings.MaxIdleTimeout))
	return s
}

// SetHealth sets the answer to health checks: GREEN if healthy, else RED.
func (s *Server) SetHealth(healthy bool) { s.healthy.Store(healthy) }

// PublishLoad sets the load feedback that is sent with every answer and health check.
func (s *Server) PublishLoad(value float64) {
	text := "feedback=" + strconv.FormatFloat(value, 'f', 4, 64)
	s.feedback.Store(&text)
}

// SetIdleTimeout sets how long a connection may be idle before FIN is sent on it. 0 or less restores the maximum
// of the settings.
func (s *Server) SetIdleTimeout(after time.Duration) {
	if after <= 0 {
		after = s.cfg.Settings.MaxIdleTimeout
	}
	s.idleTimeout.Store(int64(after))
}

// BatchHandled notifies the server that its sink has handled a batch. It reports whether input waits for the next one.
func (s *Server) BatchHandled() (waiting bool) { return s.readScheduler.renew() }

// BatchesEnded notifies the server that its sink handles no further batch.
func (s *Server) BatchesEnded() { s.readScheduler.unlimit() }

// ReadWaits returns how many times input had to wait for other connections' input.
func (s *Server) ReadWaits() int64 { return s.readScheduler.waits.Load() }

// Serve accepts connections from ln until ctx is cancelled or StopListening is called, and then returns nil.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	s.mu.Lock()
	s.baseListener = ln
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	go s.sweep(ctx)
	defer close(s.acceptingDone)
	rs := redcon.NewServer(ln.Addr().String(), s.command, s.redconAccepted, s.redconClosed)
	if err := rs.Serve(&listener{Listener: ln, server: s, ctx: ctx}); err != nil {
		return fmt.Errorf("serve dispatchers: %w", err)
	}
	return nil
}

// warnLimited logs a warning, at most one every warnInterval, with the number of warnings suppressed before.
func (s *Server) warnLimited(message string, err error, args ...any) {
	now, last := time.Now().UnixNano(), s.lastWarning.Load()
	if now-last < int64(warnInterval) || !s.lastWarning.CompareAndSwap(last, now) {
		s.suppressed.Add(1)
		return
	}
	if err != nil {
		args = append(args, "err", err)
	}
	s.cfg.Log.Warn(message, append(args, "muted", s.suppressed.Swap(0))...)
}

// sweep looks for connections to close, until ctx is cancelled.
func (s *Server) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) > sweepLateLimit {
			s.restartTimers(now)
		}
		last = now
		s.sweepOnce(now)
	}
}

// restartTimers makes the timeouts of every connection count from now, after the process was frozen: input that
// arrived meanwhile could not be read, which is not the peers' fault.
func (s *Server) restartTimers(now time.Time) {
	for _, c := range s.connections() {
		c.RestartPartialTimer(now)
		c.mu.Lock()
		c.lastUsed = now
		c.mu.Unlock()
	}
}

// sweepOnce closes connections that are stalled or idle, and sends FIN on those that reached the idle timeout.
func (s *Server) sweepOnce(now time.Time) {
	limit := time.Duration(s.idleTimeout.Load())
	for _, c := range s.connections() {
		c.mu.Lock()
		idle, open, finSentAt, sentValid := now.Sub(c.lastUsed), len(c.open), c.finSentAt, c.sentValid
		c.mu.Unlock()
		partial := c.PartialAge(now)
		switch {
		// A client that sends no whole message after connecting is not a dispatcher: those connect in order
		// to send. A dispatcher that slow only has to connect again.
		case !sentValid && idle > s.firstMessageLimit:
			c.CloseIfIdle(stream.ReadStalled)
		case partial > s.partialMaxLimit, partial > s.partialIdleLimit && open == 0:
			c.CloseAfterAnswers(stream.ReadStalled)
		case open > 0 || partial > 0 || c.Unsent() > 0:
		case !finSentAt.IsZero() && now.Sub(finSentAt) > s.finTimeout && idle > s.finTimeout:
			c.CloseIfIdle(stream.IdleClosed)
		case limit > 0 && idle > limit:
			c.sendFin()
		}
	}
}

// connections returns a snapshot of the registered connections.
func (s *Server) connections() []*client {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*client, 0, len(s.clients))
	for c := range s.clients {
		list = append(list, c)
	}
	return list
}

// Conns returns the number of connections whose descriptors are open.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// SendFin sends FIN on every connection, also on those accepted later: the dispatchers are to send no new
// request on them and to close them.
func (s *Server) SendFin() {
	s.mu.Lock()
	s.finAnnounced = true
	s.mu.Unlock()
	for _, c := range s.connections() {
		c.sendFin()
	}
}

// StopListening makes Serve accept no more connections. Those already in the kernel's accept queue are still
// served.
func (s *Server) StopListening() {
	s.mu.Lock()
	ln := s.baseListener
	s.mu.Unlock()
	if ln == nil {
		return
	}
	s.stopAccepting.Store(true)
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); ok {
		_ = d.SetDeadline(time.Unix(1, 0))
		return
	}
	_ = ln.Close()
}

// Drain closes every connection as soon as all requests read from it are answered. It returns true when none is
// left, or aborts the remaining ones after timeout and returns false. StopListening must have been called before.
func (s *Server) Drain(timeout time.Duration) bool {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.connections() {
		c.CloseWhenIdle(stream.ClosedLocally)
	}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		select {
		case <-s.acceptingDone:
			if s.Conns() == 0 {
				return true
			}
		default:
		}
	}
	for _, c := range s.connections() {
		c.StopLingering()
		c.Abort(stream.ClosedLocally)
	}
	return false
}

// Flushed reports whether every answer was written to the network.
func (s *Server) Flushed() bool {
	for _, c := range s.connections() {
		if c.Unsent() > 0 {
			return false
		}
	}
	return true
}

// AbortAll aborts every connection.
func (s *Server) AbortAll() {
	for _, c := range s.connections() {
		c.Abort(stream.ClosedLocally)
	}
}
