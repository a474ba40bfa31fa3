package front

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"robinmast/decide/connlimit"
	"robinmast/internal/exchange"
	"robinmast/internal/stream"
)

// listener wraps accepted connections, so that all bytes pass through their rings, and hides accept errors from
// redcon, which would retry at once and for ever.
type listener struct {
	net.Listener
	server *Server
	ctx    context.Context

	finalSince time.Time // when Accept first found that StopListening was called
}

// Accept returns the next connection as a *client, once there is a free slot and the limiter admits it. It
// retries after errors until the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.next()
		switch {
		case err == nil:
			for l.ctx.Err() == nil && l.server.atCapacity() {
				l.server.freeConnectionSlot()
				select {
				case <-l.server.connClosed:
				case <-l.ctx.Done():
				case <-time.After(acceptRetryDelay):
				}
			}
			l.server.awaitAdmission(l.ctx, connlimit.Connect)
			start := time.Now()
			cl := l.server.newClient(c)
			l.server.chargeAdmission(connlimit.Connect, start)
			if l.ctx.Err() != nil { // cancelled while it waited
				cl.Abort(stream.ClosedLocally)
			}
			// Without this, connections that come without pause are accepted for a whole time slice, and the goroutines of
			// each run before the sink's loop.
			runtime.Gosched()
			return cl, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		}
		l.server.Counters.AcceptFailures.Add(1)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.server.warnLimited("no file descriptor for a new connection", err)
		} else {
			l.server.warnLimited("accept failed", err)
		}
		select {
		case <-l.ctx.Done():
			return nil, net.ErrClosed
		case <-time.After(acceptRetryDelay):
		}
	}
}

// next accepts one connection. After StopListening it still accepts the connections in the kernel's accept
// queue, which may carry requests already, before it closes the listener, since closing resets them. Connections
// that keep coming do not keep it open for longer than finalAcceptLimit.
func (l *listener) next() (net.Conn, error) {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	for timeouts := 0; ; {
		final := ok && l.server.stopAccepting.Load()
		if final {
			now := time.Now()
			if l.finalSince.IsZero() {
				l.finalSince = now
			}
			if now.Sub(l.finalSince) > finalAcceptLimit {
				_ = l.Listener.Close()
				return nil, net.ErrClosed
			}
			_ = d.SetDeadline(now.Add(finalAcceptTimeout))
		}
		c, err := l.Listener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if !final {
			continue // StopListening was called during Accept
		}
		if timeouts++; timeouts >= finalAcceptTimeouts {
			_ = l.Listener.Close()
			return nil, net.ErrClosed
		}
	}
}

// awaitAdmission waits until the limiter admits an event, or ctx is cancelled. Requests on open connections are
// not delayed.
func (s *Server) awaitAdmission(ctx context.Context, kind connlimit.Kind) {
	if s.limiter == nil {
		return
	}
	s.limiterMu.Lock()
	wait := s.limiter.Delay(time.Since(s.started), kind)
	s.limiterMu.Unlock()
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// chargeAdmission charges the limiter with the time since start, the cost of an event.
func (s *Server) chargeAdmission(kind connlimit.Kind, start time.Time) {
	if s.limiter == nil {
		return
	}
	cost := time.Since(start)
	s.limiterMu.Lock()
	s.limiter.Charge(kind, cost)
	s.limiterMu.Unlock()
}

// Delayed returns how many connections and health checks had to wait for admission.
func (s *Server) Delayed() (connects, healthChecks int) {
	if s.limiter == nil {
		return 0, 0
	}
	s.limiterMu.Lock()
	defer s.limiterMu.Unlock()
	return s.limiter.Delayed[connlimit.Connect], s.limiter.Delayed[connlimit.HealthCheck]
}

// atCapacity reports whether Config.MaxConns connections are open.
func (s *Server) atCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.MaxConns > 0 && len(s.clients) >= s.cfg.MaxConns
}

// freeConnectionSlot starts to close the connection that has been idle for longest and has no open request, and
// reports whether there was one. Connections that never sent a valid message go first, those with an incomplete
// message last. It makes room for connections in the kernel's accept queue, which may carry requests already
// that nobody would answer.
func (s *Server) freeConnectionSlot() bool {
	var victim *client
	var victimUsed time.Time
	victimRank, lingering := 0, 0
	now := time.Now()
	for _, c := range s.connections() {
		c.mu.Lock()
		idle, used, rank, closedAt := len(c.open) == 0, c.lastUsed, 0, c.closedAt
		if c.sentValid {
			rank = 1
		}
		c.mu.Unlock()
		if c.Closing() {
			lingering++
			if !closedAt.IsZero() && now.Sub(closedAt) >= minLinger {
				c.StopLingering()
			}
			continue
		}
		partial := c.PartialAge(now)
		if !idle || c.Unsent() > 0 || partial > 0 && partial < partialCloseAfter {
			continue
		}
		if partial > 0 {
			rank = 2
		}
		if victim == nil || rank < victimRank || rank == victimRank && used.Before(victimUsed) {
			victim, victimUsed, victimRank = c, used, rank
		}
	}
	if victim == nil || lingering >= maxLingering {
		return false
	}
	if !victim.HasSent() { // a reset cannot destroy an answer
		victim.StopLingering()
	}
	victim.CloseIfIdle(stream.IdleClosed)
	return true
}

// newClient wraps an accepted connection and registers it.
func (s *Server) newClient(c net.Conn) *client {
	cl := &client{server: s, open: map[uint64]*exchange.Exchange{}, lastUsed: time.Now()}
	cl.Conn = stream.New(c, &stream.RESP{}, s.limits, &s.Traffic, cl.onClose)
	cl.AnswersPending, cl.OnDescriptorClosed = cl.hasOpen, cl.onDescriptorClosed
	cl.permit = s.readScheduler.newPermit()
	cl.Permit = cl.permit
	s.mu.Lock()
	s.clients[cl] = struct{}{}
	finAnnounced, draining := s.finAnnounced, s.draining
	s.mu.Unlock()
	if finAnnounced {
		cl.sendFin()
	}
	if draining {
		cl.CloseWhenIdle(stream.ClosedLocally)
	}
	return cl
}

// redconAccepted attaches the client to redcon's connection.
func (s *Server) redconAccepted(conn redcon.Conn) bool {
	cl, ok := conn.NetConn().(*client)
	if !ok {
		return false
	}
	conn.SetContext(cl)
	return true
}

// redconClosed is called when redcon stops reading a connection. By then the connection is closed, unless
// redcon rejects input that the framing accepted.
func (s *Server) redconClosed(conn redcon.Conn, _ error) {
	if c, ok := conn.Context().(*client); ok {
		c.Abort(stream.BadFraming)
		c.permit.Release()
	}
}
