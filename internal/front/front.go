// Package front owns the connections to dispatchers: it accepts them, reads
// requests, cancels and health checks with redcon, and sends answers through
// each connection's out ring. It must never decide what becomes of a request,
// never run one, and never keep anything of one beyond its connection. This file
// has what concerns all connections: accepting, idle ones, leaving.
package front

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"robinmast/decide/connlimit"
	"robinmast/internal/exchange"
	"robinmast/internal/settings"
	"robinmast/internal/stream"
	"robinmast/rules"
)

// Mechanics of connections; none of them decides about a request.
const (
	maxOpenRequests     = 32                     // requests open on one connection
	inRingBytes         = 16 << 10               // in ring: one message and what was read beyond it
	outRingBytes        = 160 << 10              // out ring: the answers of all open requests
	sweepInterval       = 50 * time.Millisecond  // idle and stalled connections are looked for
	sweepLateLimit      = 500 * time.Millisecond // a sweep this late means that the process stood still
	partialCloseAfter   = time.Second            // for half a message, while connections are short
	finTimeout          = 2 * time.Second        // for a dispatcher to close after `0 FIN`
	partialIdleLimit    = 10 * time.Second       // for the rest of a message, if nothing is open
	partialMaxLimit     = 30 * time.Second       // and in any case
	firstMessageLimit   = 2 * time.Second        // for a new connection's first whole message: its dispatcher has one to send
	acceptRetryDelay    = 20 * time.Millisecond  // while no descriptor is free
	warnInterval        = 2 * time.Second        // between log lines about bad input
	lingerTimeout       = 500 * time.Millisecond // for a dispatcher to hear of the end and close its side
	minLinger           = 50 * time.Millisecond  // of that at least, where something was sent on it: what crosses a close is sent again
	maxLingering        = 8                      // connections that linger while room is short; more are not ended
	finalAcceptTimeout  = time.Millisecond       // a wait for connections that the machine has accepted
	drainPollInterval   = 2 * time.Millisecond   // how often it is looked whether all connections have ended
	finalAcceptTimeouts = 2                      // such waits in vain before the listener closes
)

// Sink takes what dispatchers send. Its methods must not block.
type Sink interface {
	Arrived(*exchange.Exchange)
	CallerGone(*exchange.Exchange)
}

// Config is what a Server needs.
type Config struct {
	Settings      rules.Settings
	Names         settings.Names
	MaxConns      int     // connections held at once; more wait to be accepted
	OutBytes      int64   // memory of all out rings together
	SetupCPUShare float64 // share of a core that new connections and health checks may take, 0 = as they come
	Log           *slog.Logger
}

// Counters are what the front counts besides its traffic.
type Counters struct {
	Calls          atomic.Int64 // CALL messages
	Cancels        atomic.Int64 // CANCEL messages
	Unmatched      atomic.Int64 // of those, for a tag that is not open
	Health         atomic.Int64 // HEALTH messages
	Malformed      atomic.Int64 // requests that could not be read, each answered as failed
	Unknown        atomic.Int64 // other commands
	AcceptFailures atomic.Int64 // failures to accept
}

// Server is the side towards dispatchers.
type Server struct {
	Counters Counters
	Traffic  stream.Traffic

	cfg    Config
	parser requestParser
	sink   Sink
	ledger *exchange.Counters

	// The mechanics' constants, but in tests.
	limits                                                           stream.Limits
	finTimeout, partialIdleLimit, partialMaxLimit, firstMessageLimit time.Duration

	healthy     atomic.Bool
	feedback    atomic.Pointer[string]
	idleTimeout atomic.Int64 // idle limit, nanoseconds

	mu            sync.Mutex
	clients       map[*client]struct{}
	connClosed    chan struct{} // poked when a connection ends
	finAnnounced  bool          // no new request may come
	draining      bool          // connections end as soon as they owe nothing
	baseListener   net.Listener
	acceptingDone chan struct{} // closed when no connection is accepted any more

	stopAccepting atomic.Bool

	started   time.Time
	limiterMu sync.Mutex
	limiter   *connlimit.Limiter // nil = nothing is held

	lastWarning atomic.Int64
	suppressed  atomic.Int64
}

// New returns a server that hands what it reads to sink.
func New(cfg Config, sink Sink, ledger *exchange.Counters) *Server {
	s := &Server{
		cfg: cfg, parser: newRequestParser(cfg.Settings, cfg.Names), sink: sink, ledger: ledger,
		clients: map[*client]struct{}{}, connClosed: make(chan struct{}, 1),
		acceptingDone: make(chan struct{}),
		limits:        stream.Limits{In: inRingBytes, Out: outRingBytes, StallTimeout: stream.StallLimit, Linger: lingerTimeout},
		finTimeout:    finTimeout, partialIdleLimit: partialIdleLimit, partialMaxLimit: partialMaxLimit, firstMessageLimit: firstMessageLimit,
	}
	s.Traffic.HeldLimit = cfg.OutBytes
	s.started = time.Now()
	if cfg.SetupCPUShare > 0 {
		s.limiter = connlimit.New(0, cfg.SetupCPUShare)
	}
	s.healthy.Store(true)
	s.idleTimeout.Store(int64(cfg.Settings.MaxIdleTimeout))
	return s
}

// SetHealth sets what health checks are told.
func (s *Server) SetHealth(good bool) { s.healthy.Store(good) }

// Say sets the free value that goes out with every answer and health check.
func (s *Server) PublishLoad(value float64) {
	text := "feedback=" + strconv.FormatFloat(value, 'f', 4, 64)
	s.feedback.Store(&text)
}

// CloseIdle sets how long a connection may carry nothing.
func (s *Server) SetIdleTimeout(after time.Duration) {
	if after <= 0 {
		after = s.cfg.Settings.MaxIdleTimeout
	}
	s.idleTimeout.Store(int64(after))
}

// Serve accepts connections from ln until ctx ends or the server leaves.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	s.mu.Lock()
	s.baseListener = ln
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	go s.sweep(ctx)
	defer close(s.acceptingDone)
	rs := redcon.NewServer(ln.Addr().String(), s.command, s.redconAccepted, s.redconClosed)
	if err := rs.Serve(&listener{Listener: ln, s: s, ctx: ctx}); err != nil {
		return fmt.Errorf("serve dispatchers: %w", err)
	}
	return nil
}

// listener wraps accepted connections, so that all bytes pass their rings, and
// keeps accept errors from redcon, which would try again at once and for ever.
type listener struct {
	net.Listener
	s   *Server
	ctx context.Context
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.next()
		switch {
		case err == nil:
			for l.ctx.Err() == nil && l.s.atCapacity() {
				l.s.freeConnectionSlot()
				select {
				case <-l.s.connClosed:
				case <-l.ctx.Done():
				case <-time.After(acceptRetryDelay):
				}
			}
			l.s.awaitAdmission(l.ctx, connlimit.Connect)
			began := time.Now()
			cl := l.s.newClient(c)
			l.s.chargeAdmission(connlimit.Connect, began)
			if l.ctx.Err() != nil { // it waited until the end
				cl.Abort(stream.ClosedLocally)
			}
			return cl, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		}
		l.s.Counters.AcceptFailures.Add(1)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.s.warnLimited("no descriptor for a new connection", err)
		} else {
			l.s.warnLimited("accept failed", err)
		}
		select {
		case <-l.ctx.Done():
			return nil, net.ErrClosed
		case <-time.After(acceptRetryDelay):
		}
	}
}

// next accepts one connection. Once no more are wanted it takes those that the
// machine has accepted, which may carry requests already, and only then closes
// the listener: that would reset them.
func (l *listener) next() (net.Conn, error) {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	for vain := 0; ; {
		last := ok && l.s.stopAccepting.Load()
		if last {
			_ = d.SetDeadline(time.Now().Add(finalAcceptTimeout))
		}
		c, err := l.Listener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if !last {
			continue // told just now
		}
		if vain++; vain >= finalAcceptTimeouts {
			_ = l.Listener.Close()
			return nil, net.ErrClosed
		}
	}
}

// pause waits until the door lets an event in; what is on open connections goes on.
func (s *Server) awaitAdmission(ctx context.Context, k connlimit.Kind) {
	if s.limiter == nil {
		return
	}
	s.limiterMu.Lock()
	wait := s.limiter.Delay(time.Since(s.started), k)
	s.limiterMu.Unlock()
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// took tells the door what an event has taken.
func (s *Server) chargeAdmission(k connlimit.Kind, began time.Time) {
	if s.limiter == nil {
		return
	}
	seen := time.Since(began)
	s.limiterMu.Lock()
	s.limiter.Charge(k, seen)
	s.limiterMu.Unlock()
}

// Held is how many connections and health checks had to wait at the door.
func (s *Server) Delayed() (connects, probes int) {
	if s.limiter == nil {
		return 0, 0
	}
	s.limiterMu.Lock()
	defer s.limiterMu.Unlock()
	return s.limiter.Delayed[connlimit.Connect], s.limiter.Delayed[connlimit.HealthCheck]
}

func (s *Server) atCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.MaxConns > 0 && len(s.clients) >= s.cfg.MaxConns
}

// makeRoom ends the connection that has carried nothing for longest, if one has
// nothing open: first of those that never said anything whole, and one with half
// a message only if there is no other. A connection that the machine has accepted
// and the node has not may carry requests already, which nobody would answer.
// It reports whether one was asked to end.
func (s *Server) freeConnectionSlot() bool {
	var best *client
	var bestUsed time.Time
	bestRank, lingering := 0, 0
	now := time.Now()
	for _, c := range s.connections() {
		c.mu.Lock()
		free, used, rank, over := len(c.open) == 0, c.lastUsed, 0, c.endedAt
		if c.sentValid {
			rank = 1
		}
		c.mu.Unlock()
		if c.Closing() {
			lingering++
			if !over.IsZero() && now.Sub(over) >= minLinger {
				c.StopLingering()
			}
			continue
		}
		part := c.PartialAge(now) > 0
		if !free || c.Unsent() > 0 || part && now.Sub(used) < partialCloseAfter {
			continue
		}
		if part {
			rank = 2
		}
		if best == nil || rank < bestRank || rank == bestRank && used.Before(bestUsed) {
			best, bestUsed, bestRank = c, used, rank
		}
	}
	if best == nil || lingering >= maxLingering {
		return false
	}
	if !best.HasSent() { // nothing was sent on it that a reset could take away
		best.StopLingering()
	}
	best.CloseIfIdle(stream.IdleClosed)
	return true
}

// wrap makes an accepted connection a dispatcher's.
func (s *Server) newClient(c net.Conn) *client {
	cl := &client{server: s, open: map[uint64]*exchange.Exchange{}, lastUsed: time.Now()}
	cl.Conn = stream.New(c, &stream.RESP{}, s.limits, &s.Traffic, cl.connEnded)
	cl.AnswersPending, cl.OnDescriptorClosed = cl.hasOpen, cl.connDescriptorClosed
	s.mu.Lock()
	s.clients[cl] = struct{}{}
	leaving, shut := s.finAnnounced, s.draining
	s.mu.Unlock()
	if leaving {
		cl.sendFin()
	}
	if shut {
		cl.CloseWhenIdle(stream.ClosedLocally)
	}
	return cl
}

// complain logs bad input at a bounded rate.
func (s *Server) warnLimited(what string, err error, more ...any) {
	now, last := time.Now().UnixNano(), s.lastWarning.Load()
	if now-last < int64(warnInterval) || !s.lastWarning.CompareAndSwap(last, now) {
		s.suppressed.Add(1)
		return
	}
	if err != nil {
		more = append(more, "err", err)
	}
	s.cfg.Log.Warn(what, append(more, "muted", s.suppressed.Swap(0))...)
}

func (s *Server) redconAccepted(conn redcon.Conn) bool {
	cl, ok := conn.NetConn().(*client)
	if !ok {
		return false
	}
	conn.SetContext(cl)
	return true
}

// closed is told when redcon reads a connection no more. By then it has ended,
// unless redcon takes for broken what the framing let through.
func (s *Server) redconClosed(conn redcon.Conn, _ error) {
	if c, ok := conn.Context().(*client); ok {
		c.Abort(stream.BadFraming)
	}
}

// sweep looks for connections to close, until ctx ends.
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

// excuse lets every connection's times count from now: the process stood still,
// and that its peers were not heard meanwhile is nobody's fault.
func (s *Server) restartTimers(now time.Time) {
	for _, c := range s.connections() {
		c.RestartPartialTimer(now)
		c.mu.Lock()
		c.lastUsed = now
		c.mu.Unlock()
	}
}

func (s *Server) sweepOnce(now time.Time) {
	limit := time.Duration(s.idleTimeout.Load())
	for _, c := range s.connections() {
		c.mu.Lock()
		idle, open, fin, spoke := now.Sub(c.lastUsed), len(c.open), c.finSentAt, c.sentValid
		c.mu.Unlock()
		partial := c.PartialAge(now)
		switch {
		// Whoever says nothing whole after connecting is no dispatcher: those connect
		// to send. Should one be that slow, it only has to connect again.
		case !spoke && idle > s.firstMessageLimit:
			c.CloseIfIdle(stream.ReadStalled)
		case partial > s.partialMaxLimit, partial > s.partialIdleLimit && open == 0:
			c.CloseAfterAnswers(stream.ReadStalled)
		case open > 0 || partial > 0 || c.Unsent() > 0:
		case !fin.IsZero() && now.Sub(fin) > s.finTimeout && idle > s.finTimeout:
			c.CloseIfIdle(stream.IdleClosed)
		case limit > 0 && idle > limit:
			c.sendFin()
		}
	}
}

func (s *Server) connections() []*client {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*client, 0, len(s.clients))
	for c := range s.clients {
		list = append(list, c)
	}
	return list
}

// Conns is the number of connections open now.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// Fin tells every dispatcher, and whoever connects later, to send no new
// request on its connection and to close it.
func (s *Server) SendFin() {
	s.mu.Lock()
	s.finAnnounced = true
	s.mu.Unlock()
	for _, c := range s.connections() {
		c.sendFin()
	}
}

// StopListening refuses new connections from now on. Those that the machine has
// accepted by then are still taken.
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

// Leave ends every connection as soon as all that was read from it is answered,
// and returns when none is left, or after most: what is open then is let go. The
// listener must have been stopped. It reports whether all ended in order.
func (s *Server) Drain(most time.Duration) bool {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.connections() {
		c.CloseWhenIdle(stream.ClosedLocally)
	}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(drainPollInterval) {
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

// Flushed reports whether every answer given was taken by the network.
func (s *Server) Flushed() bool {
	for _, c := range s.connections() {
		if c.Unsent() > 0 {
			return false
		}
	}
	return true
}

// Shut ends every connection.
func (s *Server) AbortAll() {
	for _, c := range s.connections() {
		c.Abort(stream.ClosedLocally)
	}
}
