// This file owns the end of every connection, whatever the reason, and is the
// only one that closes a descriptor. The order is always the same: take no more
// requests, answer what was read, FIN, read and discard up to a bound, close. It
// must never close over bytes that the peer has sent and nobody has read, since
// that resets the connection and takes answers on their way with it; and never
// hand on what was read after the FIN, since nobody could answer it.

package stream

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// lingerBytes is how much is read from a peer that goes on sending after its
// connection was stopped or ended; one that sends more is reset.
const lingerBytes = 256 << 10

// plan is how a connection is to end. A higher one replaces a lower.
type plan uint32

const (
	serving  plan = iota
	retiring      // once nothing is owed, unless there is something to read: then it goes on
	leaving       // once nothing is owed and nothing is there to read
	stopping      // once nothing is owed; what is read from now on is discarded
)

var errNothing = errors.New("nothing to read")

// Retire ends a connection that carries nothing. Input that is there by then
// keeps it.
func (c *Conn) CloseIfIdle(end CloseReason) { c.planned(retiring, end) }

// Leave ends the connection at the first moment at which all that was read is
// answered and nothing more has come.
func (c *Conn) CloseWhenIdle(end CloseReason) { c.planned(leaving, end) }

// Stop takes no more requests, and ends the connection once those read are answered.
func (c *Conn) CloseAfterAnswers(end CloseReason) { c.planned(stopping, end) }

func (c *Conn) planned(p plan, end CloseReason) {
	c.mu.Lock()
	if c.end == StillOpen && uint32(p) > c.plan.Load() {
		c.plan.Store(uint32(p))
		c.why = end
		c.nudge()
	}
	c.mu.Unlock()
}

// Ending tells whether an end is planned or has come.
func (c *Conn) Closing() bool { return plan(c.plan.Load()) != serving || c.CloseReason() != StillOpen }

// Nudge lets the reader look again whether a planned end can come: something that
// it waits for has changed.
func (c *Conn) RecheckClose() {
	if plan(c.plan.Load()) == serving {
		return
	}
	c.mu.Lock()
	c.nudge()
	c.mu.Unlock()
}

// nudge is Nudge with the lock held. After the end the read deadline is hangUp's.
func (c *Conn) nudge() {
	if plan(c.plan.Load()) == serving || c.end != StillOpen {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	select {
	case c.turn <- struct{}{}:
	default:
	}
}

// unnudge takes the deadline of a nudge back.
func (c *Conn) unnudge() {
	c.mu.Lock()
	if c.end == StillOpen {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
}

// Said tells whether anything was ever sent on it.
func (c *Conn) HasSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queued > 0
}

// Hurry ends the lingering of a connection now; its descriptor is needed.
func (c *Conn) StopLingering() {
	c.hurried.Store(true)
	if c.CloseReason() != StillOpen {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// receive reads once from the network. Where the end is planned it is the reader
// that ends the connection: between its last look, which found nothing, and the
// FIN nobody else reads, so that nothing can slip through between the two.
func (c *Conn) receive(space []byte) (int, error) {
	if c.AnswersPending == nil {
		return c.plainly(space)
	}
	for {
		if end := c.CloseReason(); end != StillOpen {
			return 0, &Error{Reason: end}
		}
		n, err := 0, error(nil)
		p := plan(c.plan.Load())
		switch {
		case p == serving:
			n, err = c.Conn.Read(space)
		case c.eof || c.wasted > lingerBytes:
			if c.quiet() {
				continue
			}
			<-c.turn
			continue
		default:
			c.unnudge()
			if n, err = c.look(space); err == errNothing {
				if c.quiet() {
					continue
				}
				n, err = c.Conn.Read(space) // until more comes, or a nudge
			} else if p == retiring {
				c.keep()
			}
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && n == 0:
			c.unnudge()
		case err == io.EOF:
			c.eof = true
			c.readEnd.CompareAndSwap(uint32(StillOpen), uint32(PeerClosed))
			c.CloseAfterAnswers(PeerClosed)
		case err != nil && n == 0:
			end := CloseReasonOf(err, ReadFailed)
			c.Abort(end)
			return 0, &Error{Reason: end, Cause: err}
		case plan(c.plan.Load()) == stopping || c.CloseReason() != StillOpen:
			c.wasted += n
			c.traffic.Discarded.Add(int64(n))
		default:
			return n, nil
		}
	}
}

// plainly reads where no end is planned. Once the connection has ended only hangUp
// reads: if both did, what is handed on would have holes.
func (c *Conn) plainly(space []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if end := c.CloseReason(); end != StillOpen {
		return 0, &Error{Reason: end}
	}
	n, err := c.Conn.Read(space)
	if end := c.CloseReason(); end != StillOpen {
		c.traffic.Discarded.Add(int64(n))
		return 0, &Error{Reason: end}
	}
	return n, err
}

// keep gives a retirement up.
func (c *Conn) keep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan(c.plan.Load()) == retiring {
		c.plan.Store(uint32(serving))
	}
}

// quiet ends the connection if nothing is owed and all is sent; it reports whether
// the plan needs no more waiting. The reader calls it, having found nothing to read.
func (c *Conn) quiet() bool {
	if c.AnswersPending() {
		c.keep()
		return plan(c.plan.Load()) == serving
	}
	c.mu.Lock()
	if len(c.marks) > 0 || c.end != StillOpen {
		done := c.end != StillOpen
		c.mu.Unlock()
		return done
	}
	end := c.why
	c.mu.Unlock()
	if c.limits.BeforeFIN != nil {
		c.limits.BeforeFIN()
	}
	c.Abort(end)
	return true
}

// look reads what is there, without waiting.
func (c *Conn) look(p []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNothing
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		for {
			if n, failed = syscall.Read(int(fd), p); failed != syscall.EINTR {
				return true
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case failed == syscall.EAGAIN:
		return 0, errNothing
	case failed != nil:
		return 0, os.NewSyscallError("read", failed)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// Shut ends the connection now; what is queued and not sent is dropped. The first
// End counts, later ones do nothing.
func (c *Conn) Abort(end CloseReason) {
	c.mu.Lock()
	if c.end != StillOpen {
		c.mu.Unlock()
		return
	}
	c.end = end
	c.traffic.Dropped.Add(int64(len(c.marks)))
	c.marks = nil
	c.traffic.Held.Add(-c.held)
	c.held = 0
	c.mu.Unlock()
	c.traffic.Ended[end].Add(1)
	c.poke()
	select {
	case c.turn <- struct{}{}: // for a reader that waits for answers only
	default:
	}
	if c.onEnd != nil {
		c.onEnd(end)
	}
	go c.hangUp(end)
}

// Close ends the connection: in the way that reading ended, else from this side.
func (c *Conn) Close() error {
	end := c.ReadCloseReason()
	if end == StillOpen {
		end = ClosedLocally
	}
	c.Abort(end)
	return nil
}

// hangUp is the last of a connection: FIN, reading on until the peer has ended its
// side or the bound is reached, close.
func (c *Conn) hangUp(end CloseReason) {
	defer close(c.closed)
	if c.AnswersPending == nil { // the reader first lets go: it may wait for what never comes
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		c.reading.Lock()
		//lint:ignore SA2001 it is only waited for: the next one to hold it sees the end
		c.reading.Unlock()
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && end.lingers() && c.limits.Linger > 0 && w.CloseWrite() == nil {
		c.discard()
	}
	_ = c.Conn.Close() // nothing more can be done for it
	if c.OnDescriptorClosed != nil {
		c.OnDescriptorClosed()
	}
}

// discard reads on, for what the peer sent before it heard of the end.
func (c *Conn) discard() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits.Linger))
	p := make([]byte, 4<<10)
	for most := lingerBytes; most > 0; {
		n, err := 0, error(nil)
		if c.hurried.Load() {
			_ = c.Conn.SetReadDeadline(time.Time{})
			n, err = c.look(p)
		} else if n, err = c.Conn.Read(p); errors.Is(err, os.ErrDeadlineExceeded) {
			c.hurried.Store(true) // one last look
			continue
		}
		c.traffic.Discarded.Add(int64(n))
		most -= n
		if err != nil {
			return
		}
	}
}

// WhenClosed is closed once the descriptor is free.
func (c *Conn) WhenClosed() <-chan struct{} { return c.closed }

var _ net.Conn = (*Conn)(nil)
