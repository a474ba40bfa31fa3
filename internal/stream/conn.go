// Package stream owns what every connection of the node has in common: one ring
// buffer a direction, framing that hands on whole messages only, a writer that
// nobody waits for, and the end: End is the one type of all ways to end, and
// end.go and close.go the one place that ends a connection. It must never know
// what a message means, and never block whoever sends.
package stream

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"robinmast/rules"
)

// StallLimit is how long a peer may usually take nothing before its connection
// ends. A machine that stands still for seconds must not lose its answers by it.
const StallLimit = 30 * time.Second

// Limits bound what a connection may hold and wait for.
type Limits struct {
	In           int           // bytes of the in ring, more than any message
	Out          int           // bytes of the out ring
	StallTimeout time.Duration // how long the peer may take nothing

	// Linger is how long an ended connection is still read, what comes being
	// discarded, until the peer has ended its side too. 0 = it is closed at once.
	Linger time.Duration

	BeforeFIN func() // called between the last look for input and FIN: tests hold it there
}

// Traffic counts connections, bytes and messages; any goroutine may read it.
type Traffic struct {
	Opened    atomic.Int64 // tries included that came to nothing
	BytesIn   atomic.Int64
	BytesOut  atomic.Int64
	Queued    atomic.Int64 // messages given to Send
	Sent      atomic.Int64 // of those, wholly taken by the network
	Dropped   atomic.Int64 // of those, ended with their connection
	Held      atomic.Int64 // bytes of memory in out rings
	HeldLimit int64        // bound of Held, 0 = none
	Discarded atomic.Int64 // bytes that were read after the end and thrown away
	Ended     [numCloseReasons]atomic.Int64
}

// NeverOpened counts a try to connect that came to nothing.
func (t *Traffic) NeverOpened(err error) CloseReason {
	end := CloseReasonOf(err, DialFailed)
	if end.Outcome() != rules.ConnectFailed {
		end = DialFailed
	}
	t.Opened.Add(1)
	t.Ended[end].Add(1)
	return end
}

// Conn is a connection whose bytes pass through its two rings. Read belongs to
// one goroutine; everything else may be called by any.
type Conn struct {
	net.Conn
	traffic         *Traffic
	limits          Limits
	frame           Framer
	in              *Ring         // owned by the reader
	readyBytes      int           // bytes at its front that are whole messages
	inputError      CloseReason   // what comes after them is no message
	peerClosed      bool          // the peer has ended its side
	discarded       int           // bytes read and discarded
	readCloseReason atomic.Uint32 // how reading ended, for Close
	partialSince    atomic.Int64

	// Owes tells whether answers to what was read are still to come. It makes this
	// a connection whose end can be planned: Retire, Leave and Stop are for its
	// like only. Set before the first Read; it may lock, but not send.
	AnswersPending func() bool
	// Closed, if set, is called once the descriptor is free.
	OnDescriptorClosed func()
	plan               atomic.Uint32 // a plan
	recheck            chan struct{} // poked when a plan, or what it waits for, has changed
	lingerStopped      atomic.Bool
	reading            sync.Mutex // held by whoever reads, where Owes is nil

	mu               sync.Mutex
	out              *Ring
	queuedBytes      uint64      // bytes ever queued
	sentBytes        uint64      // bytes ever sent
	messageEnds      []uint64    // where queued messages end, oldest first
	heldBytes        int64       // its part of traffic.Held
	plannedReason    CloseReason // what the plan ends it by
	closeReason      CloseReason
	writerWake       chan struct{}
	writerDone       chan struct{} // closed when the writer has ended
	descriptorClosed chan struct{} // closed when the descriptor is free
	onClose          func(CloseReason)
}

// New wraps a connection and starts its writer. onEnd is called once, when the
// connection has ended, by the goroutine that ended it; it may be nil.
func New(c net.Conn, frame Framer, l Limits, t *Traffic, onEnd func(CloseReason)) *Conn {
	t.Opened.Add(1)
	s := &Conn{
		Conn: c, traffic: t, limits: l, frame: frame, in: NewRing(l.In), out: NewRing(l.Out),
		writerWake: make(chan struct{}, 1), recheck: make(chan struct{}, 1),
		writerDone: make(chan struct{}), descriptorClosed: make(chan struct{}), onClose: onEnd,
	}
	go s.write()
	return s
}

// Read fills p with bytes of whole messages only, so that what parses them
// never has to keep part of one. Broken bytes give an *Error.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err != nil {
		c.readCloseReason.CompareAndSwap(uint32(StillOpen), uint32(CloseReasonOf(err, ReadFailed)))
	}
	return n, err
}

// ReadEnd is how reading ended, StillOpen while it has not.
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
		n, err := c.readNetwork(space)
		switch {
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

// scan queues what was read up to the first broken byte.
func (c *Conn) queueInput(p []byte) CloseReason {
	c.traffic.BytesIn.Add(int64(len(p)))
	before := c.in.Len()
	whole, end := c.frame.Scan(p)
	if end != StillOpen {
		p = p[:whole] // the messages before it were read, and are answered
	}
	c.in.Commit(len(p))
	if whole > 0 {
		c.readyBytes = before + whole
	}
	if c.in.Len() > c.readyBytes {
		c.partialSince.CompareAndSwap(0, sinceClockStart(time.Now()))
	}
	if whole > 0 && c.in.Len() == c.readyBytes {
		c.partialSince.Store(0)
	}
	return end
}

// begin is what the monotonic clock counts from here; the Unix clock may jump.
var clockStart = time.Now()

// since is a time on that clock, never 0.
func sinceClockStart(t time.Time) int64 { return int64(t.Sub(clockStart)) | 1 }

// Partial is how long a message has been begun and not finished, 0 if none is.
func (c *Conn) PartialAge(now time.Time) time.Duration {
	from := c.partialSince.Load()
	if from == 0 {
		return 0
	}
	return max(time.Duration(sinceClockStart(now)-from), 1)
}

// Excuse lets the time of a message that is not finished count from now on.
func (c *Conn) RestartPartialTimer(now time.Time) {
	if from := c.partialSince.Load(); from != 0 {
		c.partialSince.CompareAndSwap(from, sinceClockStart(now))
	}
}

// Send queues one message, whole or not at all, and never blocks. A peer that
// leaves too much unread loses its connection.
func (c *Conn) Send(msg []byte) bool {
	c.traffic.Queued.Add(1)
	c.mu.Lock()
	if c.closeReason != StillOpen {
		c.mu.Unlock()
		c.traffic.Dropped.Add(1)
		return false
	}
	ok := c.out.Append(msg)
	c.updateHeld()
	if limit := c.traffic.HeldLimit; !ok || limit > 0 && c.out.Cap() > minRingBytes && c.traffic.Held.Load() > limit {
		if ok {
			c.messageEnds = append(c.messageEnds, c.queuedBytes+uint64(len(msg)))
		} else {
			c.traffic.Dropped.Add(1)
		}
		c.mu.Unlock()
		c.Abort(Overflow)
		return false
	}
	c.queuedBytes += uint64(len(msg))
	c.messageEnds = append(c.messageEnds, c.queuedBytes)
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

// account keeps the sum of all out rings; the lock must be held.
func (c *Conn) updateHeld() {
	if now := int64(c.out.Cap()); now != c.heldBytes {
		c.traffic.Held.Add(now - c.heldBytes)
		c.heldBytes = now
	}
}

// Unsent is the number of messages queued and not yet wholly sent.
func (c *Conn) Unsent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.messageEnds)
}

// Ended is how the connection ended, StillOpen while it has not.
func (c *Conn) CloseReason() CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason
}

// Write is Send for those who know connections as an io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.Send(p) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// Done is closed once the writer has ended.
func (c *Conn) Done() <-chan struct{} { return c.writerDone }

// write is the writer: it sends what is queued until the connection ends.
func (c *Conn) write() {
	defer close(c.writerDone)
	var waiting time.Time // since when the peer has taken nothing
	var renew time.Time   // the deadline is moved on from then only: moving it costs as much as a small write
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
		if waiting.IsZero() {
			waiting = now
		}
		var err error
		if !now.Before(renew) {
			err = c.Conn.SetWriteDeadline(now.Add(c.limits.StallTimeout / 4))
			renew = now.Add(c.limits.StallTimeout / 8)
		}
		if err == nil {
			n, err = c.Conn.Write(chunk)
		}
		if n > 0 {
			waiting = time.Time{}
			c.recordWritten(n)
		}
		if err == nil || n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if err != nil {
				renew = time.Time{}
			}
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			renew = time.Time{}
			if time.Since(waiting) < c.limits.StallTimeout {
				continue
			}
			c.Abort(WriteStalled)
			return
		}
		c.Abort(CloseReasonOf(err, WriteFailed))
		return
	}
}

// took notes that the network took n bytes.
func (c *Conn) recordWritten(n int) {
	c.traffic.BytesOut.Add(int64(n))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason != StillOpen {
		return
	}
	c.out.Discard(n)
	c.updateHeld()
	c.sentBytes += uint64(n)
	whole := 0
	for whole < len(c.messageEnds) && c.messageEnds[whole] <= c.sentBytes {
		whole++
	}
	c.traffic.Sent.Add(int64(whole))
	if c.messageEnds = c.messageEnds[whole:]; len(c.messageEnds) == 0 {
		c.messageEnds = nil
		c.recheckCloseLocked()
	}
}
