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
const maxLingerBytes = 256 << 10

// plan is how a connection is to end. A higher one replaces a lower.
type closePlan uint32

const (
	noClose           closePlan = iota
	closeIfIdle                 // once nothing is owed, unless there is something to read: then it goes on
	closeWhenIdle               // once nothing is owed and nothing is there to read
	closeAfterAnswers           // once nothing is owed; what is read from now on is discarded
)

var errNoInput = errors.New("nothing to read")

// Retire ends a connection that carries nothing. Input that is there by then
// keeps it.
func (c *Conn) CloseIfIdle(end CloseReason) { c.planClose(closeIfIdle, end) }

// Leave ends the connection at the first moment at which all that was read is
// answered and nothing more has come.
func (c *Conn) CloseWhenIdle(end CloseReason) { c.planClose(closeWhenIdle, end) }

// Stop takes no more requests, and ends the connection once those read are answered.
func (c *Conn) CloseAfterAnswers(end CloseReason) { c.planClose(closeAfterAnswers, end) }

func (c *Conn) planClose(p closePlan, end CloseReason) {
	c.mu.Lock()
	if c.closeReason == StillOpen && uint32(p) > c.plan.Load() {
		c.plan.Store(uint32(p))
		c.plannedReason = end
		c.recheckCloseLocked()
	}
	c.mu.Unlock()
}

// Ending tells whether an end is planned or has come.
func (c *Conn) Closing() bool {
	return closePlan(c.plan.Load()) != noClose || c.CloseReason() != StillOpen
}

// Nudge lets the reader look again whether a planned end can come: something that
// it waits for has changed.
func (c *Conn) RecheckClose() {
	if closePlan(c.plan.Load()) == noClose {
		return
	}
	c.mu.Lock()
	c.recheckCloseLocked()
	c.mu.Unlock()
}

// nudge is Nudge with the lock held. After the end the read deadline is hangUp's.
func (c *Conn) recheckCloseLocked() {
	if closePlan(c.plan.Load()) == noClose || c.closeReason != StillOpen {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	select {
	case c.recheck <- struct{}{}:
	default:
	}
}

// unnudge takes the deadline of a nudge back.
func (c *Conn) clearReadDeadline() {
	c.mu.Lock()
	if c.closeReason == StillOpen {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
}

// Said tells whether anything was ever sent on it.
func (c *Conn) HasSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queuedBytes > 0
}

// Hurry ends the lingering of a connection now; its descriptor is needed.
func (c *Conn) StopLingering() {
	c.lingerStopped.Store(true)
	if c.CloseReason() != StillOpen {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// receive reads once from the network. Where the end is planned it is the reader
// that ends the connection: between its last look, which found nothing, and the
// FIN nobody else reads, so that nothing can slip through between the two.
func (c *Conn) readNetwork(space []byte) (int, error) {
	if c.AnswersPending == nil {
		return c.readUnplanned(space)
	}
	for {
		if end := c.CloseReason(); end != StillOpen {
			return 0, &Error{Reason: end}
		}
		n, err := 0, error(nil)
		p := closePlan(c.plan.Load())
		switch {
		case p == noClose:
			n, err = c.Conn.Read(space)
		case c.peerClosed || c.discarded > maxLingerBytes:
			if c.tryClose() {
				continue
			}
			<-c.recheck
			continue
		default:
			c.clearReadDeadline()
			if n, err = c.readAvailable(space); err == errNoInput {
				if c.tryClose() {
					continue
				}
				n, err = c.Conn.Read(space) // until more comes, or a nudge
			} else if p == closeIfIdle {
				c.cancelCloseIfIdle()
			}
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && n == 0:
			c.clearReadDeadline()
		case err == io.EOF:
			c.peerClosed = true
			c.readCloseReason.CompareAndSwap(uint32(StillOpen), uint32(PeerClosed))
			c.CloseAfterAnswers(PeerClosed)
		case err != nil && n == 0:
			end := CloseReasonOf(err, ReadFailed)
			c.Abort(end)
			return 0, &Error{Reason: end, Cause: err}
		case closePlan(c.plan.Load()) == closeAfterAnswers || c.CloseReason() != StillOpen:
			c.discarded += n
			c.traffic.Discarded.Add(int64(n))
		default:
			return n, nil
		}
	}
}

// plainly reads where no end is planned. Once the connection has ended only hangUp
// reads: if both did, what is handed on would have holes.
func (c *Conn) readUnplanned(space []byte) (int, error) {
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
func (c *Conn) cancelCloseIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closePlan(c.plan.Load()) == closeIfIdle {
		c.plan.Store(uint32(noClose))
	}
}

// quiet ends the connection if nothing is owed and all is sent; it reports whether
// the plan needs no more waiting. The reader calls it, having found nothing to read.
func (c *Conn) tryClose() bool {
	if c.AnswersPending() {
		c.cancelCloseIfIdle()
		return closePlan(c.plan.Load()) == noClose
	}
	c.mu.Lock()
	if len(c.messageEnds) > 0 || c.closeReason != StillOpen {
		done := c.closeReason != StillOpen
		c.mu.Unlock()
		return done
	}
	end := c.plannedReason
	c.mu.Unlock()
	if c.limits.BeforeFIN != nil {
		c.limits.BeforeFIN()
	}
	c.Abort(end)
	return true
}

// look reads what is there, without waiting.
func (c *Conn) readAvailable(p []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNoInput
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
		return 0, errNoInput
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
	if c.closeReason != StillOpen {
		c.mu.Unlock()
		return
	}
	c.closeReason = end
	c.traffic.Dropped.Add(int64(len(c.messageEnds)))
	c.messageEnds = nil
	c.traffic.Held.Add(-c.heldBytes)
	c.heldBytes = 0
	c.mu.Unlock()
	c.traffic.Ended[end].Add(1)
	c.wakeWriter()
	select {
	case c.recheck <- struct{}{}: // for a reader that waits for answers only
	default:
	}
	if c.onClose != nil {
		c.onClose(end)
	}
	go c.closeDescriptor(end)
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
func (c *Conn) closeDescriptor(end CloseReason) {
	defer close(c.descriptorClosed)
	if c.AnswersPending == nil { // the reader first lets go: it may wait for what never comes
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		c.reading.Lock()
		//lint:ignore SA2001 it is only waited for: the next one to hold it sees the end
		c.reading.Unlock()
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && end.lingers() && c.limits.Linger > 0 && w.CloseWrite() == nil {
		c.discardInput()
	}
	_ = c.Conn.Close() // nothing more can be done for it
	if c.OnDescriptorClosed != nil {
		c.OnDescriptorClosed()
	}
}

// discard reads on, for what the peer sent before it heard of the end.
func (c *Conn) discardInput() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits.Linger))
	p := make([]byte, 4<<10)
	for most := maxLingerBytes; most > 0; {
		n, err := 0, error(nil)
		if c.lingerStopped.Load() {
			_ = c.Conn.SetReadDeadline(time.Time{})
			n, err = c.readAvailable(p)
		} else if n, err = c.Conn.Read(p); errors.Is(err, os.ErrDeadlineExceeded) {
			c.lingerStopped.Store(true) // one last look
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
func (c *Conn) WhenClosed() <-chan struct{} { return c.descriptorClosed }

var _ net.Conn = (*Conn)(nil)
