// Package stream has what all connections of the node share: a ring buffer for each direction, framing that
// passes on only whole messages, an asynchronous writer, and an orderly close.
//
// A Conn wraps a net.Conn. One goroutine reads from it; any goroutine may send, which never blocks. A writer
// goroutine for each connection sends what is queued. Every connection closes with exactly one CloseReason.
// The package does not interpret messages.
package stream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"robinmast/rules"
)

// StallLimit is the usual limit for how long a peer may accept no data before its connection is closed. It is
// long enough that a host frozen for some seconds does not lose its answers.
const StallLimit = 30 * time.Second

// Limits bound the memory of a connection and how long it waits.
type Limits struct {
	ReadBufferBytes  int           // bytes of the input ring, more than any message
	WriteBufferBytes int           // bytes of the output ring
	StallTimeout     time.Duration // how long the peer may accept no data

	// Linger is how long input of a closed connection is read and discarded while the peer has not closed
	// its side. 0 closes the descriptor at once.
	Linger time.Duration

	BeforeFIN func() // called between the last check for input and FIN; for tests
}

// Traffic counts connections, bytes and messages. It is safe for concurrent use.
type Traffic struct {
	Opened           atomic.Int64 // connections, failed attempts to connect included
	BytesIn          atomic.Int64
	BytesOut         atomic.Int64
	Queued           atomic.Int64                  // messages passed to Send
	Sent             atomic.Int64                  // of those, wholly written to the network
	Dropped          atomic.Int64                  // of those, lost with their connection
	QueuedBytes      atomic.Int64                  // bytes of memory in output rings
	QueuedBytesLimit int64                         // bound of QueuedBytes, 0 = none
	Discarded        atomic.Int64                  // bytes read and discarded, since the connection was closed or took no more requests
	Closed           [numCloseReasons]atomic.Int64 // connections, by close reason
}

// CountFailedDial counts a failed attempt to connect and returns the reason that err stands for.
func (t *Traffic) CountFailedDial(err error) CloseReason {
	reason := CloseReasonOf(err, DialFailed)
	if reason.Outcome() != rules.ConnectFailed {
		reason = DialFailed
	}
	t.Opened.Add(1)
	t.Closed[reason].Add(1)
	return reason
}

// Conn is a connection that buffers input and output in rings. Read may be called by one goroutine only; all
// other methods are safe for concurrent use.
type Conn struct {
	net.Conn
	traffic         *Traffic
	limits          Limits
	frame           Framer
	in              *Ring         // owned by the reader
	readyBytes      int           // bytes at the front of in that are whole messages
	inputError      CloseReason   // why the bytes after those are not a message, StillOpen = no error
	peerClosed      bool          // the peer has closed its side
	discarded       int           // bytes read and discarded
	readCloseReason atomic.Uint32 // why reading ended, for Close
	partialSince    atomic.Int64  // when an incomplete message began, by sinceClockStart; 0 = none

	// AnswersPending, if set, reports whether requests that were read are still to be answered. CloseIfIdle,
	// CloseWhenIdle and CloseAfterAnswers need it. It is set before the first Read; it may take locks, but
	// must not send.
	AnswersPending func() bool
	// OnDescriptorClosed, if set, is called once the descriptor is closed.
	OnDescriptorClosed func()
	// Permit, if set, is held by the reader while it handles what it has read. It is acquired after a read from the
	// network and released before the reader waits for input. It is set before the first Read.
	Permit        Permit
	plan          atomic.Uint32 // a closePlan
	recheck       chan struct{} // signalled when the plan, or a condition it waits for, has changed
	lingerStopped atomic.Bool
	reading       sync.Mutex // held while reading, if AnswersPending is nil

	mu               sync.Mutex
	out              *Ring
	totalQueued      uint64      // bytes queued since the connection was opened
	totalSent        uint64      // bytes written to the network since then
	messageEnds      []uint64    // ends of the queued messages, as values of totalQueued, oldest first
	ringBytes        int64       // this connection's share of traffic.QueuedBytes
	plannedReason    CloseReason // close reason of the plan
	closeReason      CloseReason
	writerWake       chan struct{}
	writerDone       chan struct{} // closed when the writer goroutine has returned
	descriptorClosed chan struct{} // closed when the descriptor is closed
	onClose          func(CloseReason)
}

// Permit is a reader's permission to handle input, of which there are fewer than readers. Only the reader calls its
// methods.
type Permit interface {
	Acquire() // waits until it is granted; does nothing if it is held
	Release() // does nothing if it is not held
	// AllowsRead reports whether it is held and allows one more read of available input, which is counted.
	AllowsRead() bool
}

// noPermit is a Permit that is always granted.
type noPermit struct{}

func (noPermit) Acquire()         {}
func (noPermit) Release()         {}
func (noPermit) AllowsRead() bool { return false }

// New wraps a connection and starts its writer goroutine. onClose is called once, when the connection is
// closed, by the goroutine that closed it; it may be nil.
func New(c net.Conn, frame Framer, l Limits, t *Traffic, onClose func(CloseReason)) *Conn {
	t.Opened.Add(1)
	s := &Conn{
		Conn: c, traffic: t, limits: l, frame: frame, in: NewRing(l.ReadBufferBytes), out: NewRing(l.WriteBufferBytes),
		writerWake: make(chan struct{}, 1), recheck: make(chan struct{}, 1),
		writerDone: make(chan struct{}), descriptorClosed: make(chan struct{}), onClose: onClose, Permit: noPermit{},
	}
	go s.write()
	return s
}

// Read fills p with bytes of whole messages only, so that a parser never has to buffer a partial one. Bytes
// that are not a message give an *Error.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err != nil {
		c.Permit.Release()
		c.readCloseReason.CompareAndSwap(uint32(StillOpen), uint32(CloseReasonOf(err, ReadFailed)))
	}
	return n, err
}

// ReadCloseReason returns why reading ended, StillOpen while it has not.
func (c *Conn) ReadCloseReason() CloseReason { return CloseReason(c.readCloseReason.Load()) }

func (c *Conn) read(p []byte) (int, error) {
	for c.readyBytes == 0 {
		if c.inputError != StillOpen {
			if c.AnswersPending == nil {
				return 0, &Error{Reason: c.inputError}
			}
			c.in.Discard(c.in.Len())
			c.partialSince.Store(0)
			c.CloseAfterAnswers(c.inputError)
		}
		space := c.in.Space()
		if len(space) == 0 {
			c.inputError = TooLong
			continue
		}
		n, err := c.readWithPermit(space)
		switch {
		case n > 0 && !c.CheckPeer():
			c.traffic.Discarded.Add(int64(n))
			return 0, &Error{Reason: c.CloseReason()}
		case n > 0:
			c.inputError = c.queueInput(space[:n])
		case err != nil:
			return 0, err
		}
	}
	n := copy(p, c.in.Front()[:min(c.readyBytes, len(c.in.Front()))])
	c.in.Discard(n)
	c.readyBytes -= n
	return n, nil
}

// readWithPermit reads once from the network. The reader keeps its permit while that allows and input is available, so that
// a request and its withdrawal are handled together, and releases it before it waits.
func (c *Conn) readWithPermit(space []byte) (int, error) {
	if closePlan(c.plan.Load()) == noClose && c.CloseReason() == StillOpen && c.Permit.AllowsRead() {
		n, err := c.readAvailable(space)
		switch {
		case n > 0:
			return n, nil
		case err == errNoInput || err == io.EOF || errors.Is(err, os.ErrDeadlineExceeded):
			// readNetwork waits for input, handles the end of it, or clears a deadline that recheckCloseLocked set.
		default: // the kernel reports an error once
			reason := CloseReasonOf(err, ReadFailed)
			c.Abort(reason)
			return 0, &Error{Reason: reason, Cause: err}
		}
	}
	c.Permit.Release()
	n, err := c.readNetwork(space)
	if n > 0 {
		c.Permit.Acquire()
	}
	return n, err
}

// queueInput queues what was read up to the first byte that breaks the framing, and returns the reason to
// close the connection if there is one.
func (c *Conn) queueInput(p []byte) CloseReason {
	c.traffic.BytesIn.Add(int64(len(p)))
	before := c.in.Len()
	whole, reason := c.frame.Scan(p)
	if reason != StillOpen {
		p = p[:whole] // the messages before it are still answered
	}
	c.in.Commit(len(p))
	if whole > 0 {
		c.readyBytes = before + whole
	}
	c.updatePartialSince(whole > 0)
	return reason
}

// updatePartialSince records, after input was queued, when the incomplete message at its end began. endedMessage:
// the input had the end of a message, so that what is incomplete now began with this input.
func (c *Conn) updatePartialSince(endedMessage bool) {
	switch {
	case c.in.Len() == c.readyBytes:
		c.partialSince.Store(0)
	case endedMessage:
		c.partialSince.Store(sinceClockStart(time.Now()))
	default:
		c.partialSince.CompareAndSwap(0, sinceClockStart(time.Now()))
	}
}

// clockStart is the origin of this package's monotonic times; wall clock time may jump.
var clockStart = time.Now()

// sinceClockStart returns the nanoseconds from clockStart to t. The lowest bit is set, so it is never 0.
func sinceClockStart(t time.Time) int64 { return int64(t.Sub(clockStart)) | 1 }

// PartialAge returns how long ago the first part of an incomplete message was read, 0 if there is none.
func (c *Conn) PartialAge(now time.Time) time.Duration {
	from := c.partialSince.Load()
	if from == 0 {
		return 0
	}
	return max(time.Duration(sinceClockStart(now)-from), 1)
}

// RestartPartialTimer makes PartialAge count from now if a message is incomplete.
func (c *Conn) RestartPartialTimer(now time.Time) {
	if from := c.partialSince.Load(); from != 0 {
		c.partialSince.CompareAndSwap(from, sinceClockStart(now))
	}
}

// Send queues one message, whole or not at all, and never blocks. It reports whether the message was queued.
// If too much output is unsent, the connection is aborted with Overflow.
func (c *Conn) Send(msg []byte) bool {
	c.traffic.Queued.Add(1)
	c.mu.Lock()
	if c.closeReason != StillOpen {
		c.mu.Unlock()
		c.traffic.Dropped.Add(1)
		return false
	}
	ok := c.out.Append(msg)
	c.updateRingBytes()
	if limit := c.traffic.QueuedBytesLimit; !ok || limit > 0 && c.out.Cap() > minRingBytes && c.traffic.QueuedBytes.Load() > limit {
		if ok {
			c.messageEnds = append(c.messageEnds, c.totalQueued+uint64(len(msg)))
		} else {
			c.traffic.Dropped.Add(1)
		}
		c.mu.Unlock()
		c.Abort(Overflow)
		return false
	}
	c.totalQueued += uint64(len(msg))
	c.messageEnds = append(c.messageEnds, c.totalQueued)
	c.mu.Unlock()
	c.wakeWriter()
	return true
}

func (c *Conn) wakeWriter() {
	select {
	case c.writerWake <- struct{}{}:
	default:
	}
}

// updateRingBytes updates traffic.QueuedBytes with the present size of the output ring; c.mu must be held.
func (c *Conn) updateRingBytes() {
	if now := int64(c.out.Cap()); now != c.ringBytes {
		c.traffic.QueuedBytes.Add(now - c.ringBytes)
		c.ringBytes = now
	}
}

// Unsent returns the number of messages that are queued and not wholly sent.
func (c *Conn) Unsent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.messageEnds)
}

// CloseReason returns why the connection was closed, StillOpen while it is open.
func (c *Conn) CloseReason() CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason
}

// Write is Send as an io.Writer. It never blocks, and returns net.ErrClosed if p could not be queued.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.Send(p) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// Done returns a channel that is closed once the writer goroutine has returned.
func (c *Conn) Done() <-chan struct{} { return c.writerDone }

// write is the writer goroutine: it sends what is queued until the connection is closed.
func (c *Conn) write() {
	defer close(c.writerDone)
	var stalledSince time.Time // since when the peer has accepted no data
	// The write deadline is not moved before this time: moving it costs as much as a small write.
	var nextDeadlineUpdate time.Time
	for {
		c.mu.Lock()
		if c.closeReason != StillOpen {
			c.mu.Unlock()
			return
		}
		chunk := c.out.Front()
		if len(chunk) == 0 {
			c.mu.Unlock()
			<-c.writerWake
			continue
		}
		c.mu.Unlock()
		now, n := time.Now(), 0
		if stalledSince.IsZero() {
			stalledSince = now
		}
		var err error
		if !now.Before(nextDeadlineUpdate) {
			err = c.Conn.SetWriteDeadline(now.Add(c.limits.StallTimeout / 4))
			nextDeadlineUpdate = now.Add(c.limits.StallTimeout / 8)
		}
		if err == nil {
			n, err = c.Conn.Write(chunk)
		}
		if n > 0 {
			stalledSince = time.Time{}
			c.recordWritten(n)
		}
		if err == nil || n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if err != nil {
				nextDeadlineUpdate = time.Time{}
			}
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			nextDeadlineUpdate = time.Time{}
			if time.Since(stalledSince) < c.limits.StallTimeout {
				continue
			}
			c.Abort(WriteStalled)
			return
		}
		c.Abort(CloseReasonOf(err, WriteFailed))
		return
	}
}

// recordWritten records that n bytes were written to the network.
func (c *Conn) recordWritten(n int) {
	c.traffic.BytesOut.Add(int64(n))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason != StillOpen {
		return
	}
	c.out.Discard(n)
	c.updateRingBytes()
	c.totalSent += uint64(n)
	whole := 0
	for whole < len(c.messageEnds) && c.messageEnds[whole] <= c.totalSent {
		whole++
	}
	c.traffic.Sent.Add(int64(whole))
	if c.messageEnds = c.messageEnds[whole:]; len(c.messageEnds) == 0 {
		c.messageEnds = nil
		c.recheckCloseLocked()
	}
}
