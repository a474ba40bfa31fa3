package stream

// Every connection is closed in the same order, whatever the reason: take no more requests, answer those
// that were read, send FIN, read and discard input up to a bound, close the descriptor. Closing a descriptor
// while its receive buffer holds unread bytes makes the kernel send RST, which destroys answers in flight.
// Input read after the FIN is never passed on, since it could not be answered. Only this file closes
// descriptors.

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxLingerBytes bounds how much input is discarded from a peer that keeps sending after its connection was
// stopped or closed. A peer that sends more is reset.
const maxLingerBytes = 256 << 10

// closePlan says when a connection is to be closed. A higher value replaces a lower one.
type closePlan uint32

const (
	noClose           closePlan = iota
	closeIfIdle                 // once all output is sent; cancelled if there is input or a pending answer
	closeWhenIdle               // once no answer is pending and there is no input to read
	closeAfterAnswers           // once no answer is pending; input is discarded from now on
)

var errNoInput = errors.New("no input available")

// CloseIfIdle closes the connection if it carries nothing. Input that has arrived by then, or a request that is
// not answered, cancels the close.
func (c *Conn) CloseIfIdle(reason CloseReason) { c.planClose(closeIfIdle, reason) }

// CloseWhenIdle closes the connection as soon as all requests read are answered and no more input is available.
func (c *Conn) CloseWhenIdle(reason CloseReason) { c.planClose(closeWhenIdle, reason) }

// CloseAfterAnswers takes no more requests, and closes the connection once those already read are answered.
func (c *Conn) CloseAfterAnswers(reason CloseReason) { c.planClose(closeAfterAnswers, reason) }

// planClose plans a close, unless one of a higher value is planned or the connection is closed.
func (c *Conn) planClose(p closePlan, reason CloseReason) {
	c.mu.Lock()
	if c.closeReason == StillOpen && uint32(p) > c.plan.Load() {
		c.plan.Store(uint32(p))
		c.plannedReason = reason
		c.recheckCloseLocked()
	}
	c.mu.Unlock()
}

// Closing reports whether a close is planned or has happened.
func (c *Conn) Closing() bool {
	return closePlan(c.plan.Load()) != noClose || c.CloseReason() != StillOpen
}

// RecheckClose makes the reader check again whether a planned close can happen. Call it when a condition that
// the close waits for has changed.
func (c *Conn) RecheckClose() {
	if closePlan(c.plan.Load()) == noClose {
		return
	}
	c.mu.Lock()
	c.recheckCloseLocked()
	c.mu.Unlock()
}

// recheckCloseLocked is RecheckClose for callers that hold c.mu. Once the connection is closed, the read
// deadline belongs to closeDescriptor.
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

// clearReadDeadline removes the read deadline that recheckCloseLocked set to wake the reader.
func (c *Conn) clearReadDeadline() {
	c.mu.Lock()
	if c.closeReason == StillOpen {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
}

// SetReadDeadline sets the deadline of Read. Once the connection is closed it does nothing: the deadline belongs to
// closeDescriptor then, and Read fails without waiting.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason != StillOpen {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// HasSent reports whether any message was ever queued to be sent.
func (c *Conn) HasSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totalQueued > 0
}

// StopLingering ends the linger phase of a closed connection now, to free its descriptor.
func (c *Conn) StopLingering() {
	c.lingerStopped.Store(true)
	if c.CloseReason() != StillOpen {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// readNetwork reads once from the network. A planned close is carried out by the reader itself: nobody else
// reads between its last check, which found no input, and the FIN, so no request is read and then lost.
func (c *Conn) readNetwork(space []byte) (int, error) {
	if c.AnswersPending == nil {
		return c.readUnplanned(space)
	}
	for {
		if reason := c.CloseReason(); reason != StillOpen {
			return 0, &Error{Reason: reason}
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
				n, err = c.Conn.Read(space) // until there is input, or RecheckClose ends the read
			} else if n > 0 && p == closeIfIdle {
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
			reason := CloseReasonOf(err, ReadFailed)
			c.Abort(reason)
			return 0, &Error{Reason: reason, Cause: err}
		case closePlan(c.plan.Load()) == closeAfterAnswers || c.CloseReason() != StillOpen:
			c.discarded += n
			c.traffic.Discarded.Add(int64(n))
		default:
			return n, nil
		}
	}
}

// CheckPeer closes the connection if the peer has reset it, and reports whether it is open. The kernel still delivers what
// had arrived before a reset, ahead of the error: requests for whose answers nobody waits. The reader calls it after it
// has read and before it handles what it read, and again after it had to wait. Only a connection with AnswersPending
// is checked.
func (c *Conn) CheckPeer() bool {
	if c.AnswersPending != nil && c.wasReset() {
		c.Abort(PeerReset)
	}
	return c.CloseReason() == StillOpen
}

// wasReset reports whether the peer has reset the connection. One that only closed its side, and may read its answers,
// has not.
func (c *Conn) wasReset() bool {
	raw, err := c.rawConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd)}} // errors are reported without being asked for
		n, err := unix.Poll(state, 0)
		reset = err == nil && n == 1 && state[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
	})
	return err == nil && reset
}

// readUnplanned reads on a connection without planned closes (AnswersPending is nil). Once the connection is
// closed only closeDescriptor reads: two concurrent readers would leave gaps in what the caller receives.
func (c *Conn) readUnplanned(space []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if reason := c.CloseReason(); reason != StillOpen {
		return 0, &Error{Reason: reason}
	}
	n, err := c.Conn.Read(space)
	if reason := c.CloseReason(); reason != StillOpen {
		c.traffic.Discarded.Add(int64(n))
		return 0, &Error{Reason: reason}
	}
	return n, err
}

// cancelCloseIfIdle withdraws a planned CloseIfIdle, and a StopLingering that was meant for it.
func (c *Conn) cancelCloseIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closePlan(c.plan.Load()) == closeIfIdle {
		c.plan.Store(uint32(noClose))
		c.lingerStopped.Store(false)
	}
}

// tryClose closes the connection if no answer is pending and everything is sent. It reports whether there is
// nothing left to wait for: the connection is closed, or the planned close was cancelled. The reader calls it
// after it found no input.
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
	reason := c.plannedReason
	c.mu.Unlock()
	if c.limits.BeforeFIN != nil {
		c.limits.BeforeFIN()
	}
	c.Abort(reason)
	return true
}

// rawConn returns the descriptor of the connection. The error is errNoInput if it has none.
func (c *Conn) rawConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoInput
	}
	return sc.SyscallConn()
}

// readAvailable reads the input that is available, without waiting. It returns errNoInput if there is none.
func (c *Conn) readAvailable(p []byte) (n int, err error) {
	raw, err := c.rawConn()
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

// Abort closes the connection now and drops messages that are queued and not sent. The first reason counts;
// later calls do nothing.
func (c *Conn) Abort(reason CloseReason) {
	c.mu.Lock()
	if c.closeReason != StillOpen {
		c.mu.Unlock()
		return
	}
	c.closeReason = reason
	c.traffic.Closed[reason].Add(1) // under the lock: whoever finds the connection closed finds it counted
	c.traffic.Dropped.Add(int64(len(c.messageEnds)))
	c.messageEnds = nil
	c.traffic.QueuedBytes.Add(-c.ringBytes)
	c.ringBytes = 0
	c.mu.Unlock()
	c.wakeWriter()
	select {
	case c.recheck <- struct{}{}: // wakes a reader that waits only for answers
	default:
	}
	if c.onClose != nil {
		c.onClose(reason)
	}
	go c.closeDescriptor(reason)
}

// Close closes the connection with the reason for which reading ended, or else with ClosedLocally.
func (c *Conn) Close() error {
	reason := c.ReadCloseReason()
	if reason == StillOpen {
		reason = ClosedLocally
	}
	c.Abort(reason)
	return nil
}

// closeDescriptor sends FIN, discards input until the peer has closed its side or a bound is reached, and
// closes the descriptor.
func (c *Conn) closeDescriptor(reason CloseReason) {
	defer close(c.descriptorClosed)
	if c.AnswersPending == nil { // wake the reader first: it may be blocked on input that never comes
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		c.reading.Lock()
		//lint:ignore SA2001 only waits for the reader: whoever locks it next finds the connection closed
		c.reading.Unlock()
	}
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && reason.lingers() && c.limits.Linger > 0 && w.CloseWrite() == nil {
		c.discardInput()
	}
	_ = c.Conn.Close() // an error cannot be handled any more
	if c.OnDescriptorClosed != nil {
		c.OnDescriptorClosed()
	}
}

// discardInput reads and discards what the peer sent before it received the FIN.
func (c *Conn) discardInput() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits.Linger))
	p := make([]byte, 4<<10)
	for remaining := maxLingerBytes; remaining > 0; {
		n, err := 0, error(nil)
		if c.lingerStopped.Load() {
			_ = c.Conn.SetReadDeadline(time.Time{})
			n, err = c.readAvailable(p)
		} else {
			n, err = c.Conn.Read(p)
		}
		c.traffic.Discarded.Add(int64(n))
		remaining -= n
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // the deadline says nothing about what is still unread
			c.lingerStopped.Store(true)
		case err != nil:
			return
		}
	}
}

// WhenClosed returns a channel that is closed once the descriptor is closed.
func (c *Conn) WhenClosed() <-chan struct{} { return c.descriptorClosed }

var _ net.Conn = (*Conn)(nil)
