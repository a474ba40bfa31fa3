package stream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"robinmast/internal/standin"
	"robinmast/rules"
)

// pair returns the two ends of a loopback connection: one wrapped in a Conn, the other plain.
func pair(t *testing.T, l Limits, tr *Traffic, onClose func(CloseReason)) (*Conn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := New(raw, &Lines{MaxLength: 4 << 10}, l, tr, onClose)
	t.Cleanup(func() { peer.Close(); c.Close(); <-c.Done() })
	return c, peer.(*net.TCPConn)
}

var defaultLimits = Limits{ReadBufferBytes: 8 << 10, WriteBufferBytes: 64 << 10, StallTimeout: 10 * time.Second}

// checkBalanced returns an error unless each queued message was sent or dropped and no output is queued.
func (t *Traffic) checkBalanced() error {
	if q, s, d := t.Queued.Load(), t.Sent.Load(), t.Dropped.Load(); q != s+d {
		return fmt.Errorf("%d messages queued, %d sent, %d dropped", q, s, d)
	}
	if h := t.QueuedBytes.Load(); h != 0 {
		return fmt.Errorf("%d bytes still queued", h)
	}
	return nil
}

// Read returns whole messages only. Otherwise the parser behind it would buffer partial ones without a bound.
func TestReadReturnsWholeMessages(t *testing.T) {
	c, peer := pair(t, defaultLimits, &Traffic{}, nil)
	go func() {
		for _, s := range []string{"one\ntw", "o\nthr", "ee", "\n"} {
			peer.Write([]byte(s))
			time.Sleep(5 * time.Millisecond)
		}
		peer.CloseWrite()
	}()
	var all []byte
	buf := make([]byte, 64)
	for {
		n, err := c.Read(buf)
		if n > 0 && buf[n-1] != '\n' {
			t.Errorf("read %q, not whole", buf[:n])
		}
		all = append(all, buf[:n]...)
		if err != nil {
			if CloseReasonOf(err, ReadFailed) != PeerClosed {
				t.Errorf("reading ended with %v", err)
			}
			break
		}
	}
	if string(all) != "one\ntwo\nthree\n" {
		t.Errorf("read %q", all)
	}
}

// readSizes reads until the connection ends and returns a channel with the size of each read.
func readSizes(c *Conn) <-chan int {
	read := make(chan int)
	go func() {
		buf := make([]byte, 64)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			read <- n
		}
	}()
	return read
}

// An incomplete message has an age until it is whole.
func TestPartialAge(t *testing.T) {
	c, peer := pair(t, defaultLimits, &Traffic{}, nil)
	read := readSizes(c)
	peer.Write([]byte("ab"))
	for c.PartialAge(time.Now()) == 0 {
		time.Sleep(time.Millisecond)
	}
	peer.Write([]byte("c\n"))
	<-read
	if p := c.PartialAge(time.Now()); p != 0 {
		t.Errorf("partial age is %v after the message became whole", p)
	}
}

// Guards against requests lost by a peer that writes in pieces: a message that begins in the read that ends another
// one took over its age, so that the connection was closed as stalled. One that never ends keeps its own age.
func TestPartialAgeIsOfTheLastMessage(t *testing.T) {
	c, peer := pair(t, defaultLimits, &Traffic{}, nil)
	read := readSizes(c)
	partial := func() bool { return c.PartialAge(time.Now()) > 0 }
	write := func(p string) time.Time {
		began := time.Now()
		if _, err := peer.Write([]byte(p)); err != nil {
			t.Fatal(err)
		}
		return began
	}
	write("ab")
	standin.Eventually(t, "half a message", partial)
	for range 3 {
		time.Sleep(20 * time.Millisecond)
		began := write("c\nab")
		<-read
		now := time.Now()
		if age := c.PartialAge(now); age == 0 || age > now.Sub(began) {
			t.Fatalf("partial age is %v, %v after the message began", age, now.Sub(began))
		}
	}
	began := time.Now()
	in := c.traffic.BytesIn.Load()
	write("c")
	standin.Eventually(t, "more of the message", func() bool { return c.traffic.BytesIn.Load() > in })
	time.Sleep(5 * time.Millisecond)
	if now := time.Now(); c.PartialAge(now) < now.Sub(began) {
		t.Errorf("partial age is %v, more than %v after the message began", c.PartialAge(now), now.Sub(began))
	}
}

func TestSendArrivesInOrderAndIsCounted(t *testing.T) {
	var tr Traffic
	c, peer := pair(t, defaultLimits, &tr, nil)
	var want bytes.Buffer
	c.AnswersPending = func() bool { return false }
	go c.Read(make([]byte, 64)) // the reader carries out the planned close
	go func() {
		for i := range 500 {
			msg := fmt.Appendf(nil, "message %d\n", i)
			want.Write(msg)
			if !c.Send(msg) {
				t.Error("Send did not queue the message")
			}
			if i%50 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		c.CloseWhenIdle(ClosedLocally)
	}()
	got, err := io.ReadAll(peer)
	if err != nil || !bytes.Equal(got, want.Bytes()) {
		t.Errorf("got %d bytes of %d, %v", len(got), want.Len(), err)
	}
	<-c.Done()
	if err := tr.checkBalanced(); err != nil || tr.Sent.Load() != 500 || tr.BytesOut.Load() != int64(want.Len()) {
		t.Errorf("%v; sent %d", err, tr.Sent.Load())
	}
}

// Whatever closes a connection, it closes once, with the right reason, and every queued message is counted as
// sent or dropped.
func TestEachCloseReason(t *testing.T) {
	small := Limits{ReadBufferBytes: 8 << 10, WriteBufferBytes: 2 << 10, StallTimeout: 200 * time.Millisecond}
	flood := make([]byte, 1<<10)
	for name, c := range map[string]struct {
		limits Limits
		do     func(c *Conn, peer *net.TCPConn)
		want   CloseReason
	}{
		"closes":   {defaultLimits, func(_ *Conn, p *net.TCPConn) { p.CloseWrite() }, PeerClosed},
		"resets":   {defaultLimits, func(_ *Conn, p *net.TCPConn) { p.SetLinger(0); p.Close() }, PeerReset},
		"too long": {defaultLimits, func(_ *Conn, p *net.TCPConn) { p.Write(make([]byte, 6<<10)) }, TooLong},
		"finished": {defaultLimits, func(c *Conn, _ *net.TCPConn) { c.Send([]byte("x\n")); c.CloseIfIdle(IdleClosed) }, IdleClosed},
		"closed":   {defaultLimits, func(c *Conn, _ *net.TCPConn) { c.Close() }, ClosedLocally},
		"overflows": {small, func(c *Conn, _ *net.TCPConn) {
			for c.Send(flood) {
			}
		}, Overflow},
		"takes nothing": {Limits{ReadBufferBytes: 8 << 10, WriteBufferBytes: 32 << 20, StallTimeout: 200 * time.Millisecond}, func(c *Conn, _ *net.TCPConn) {
			for range 16 << 10 {
				c.Send(flood)
			}
		}, WriteStalled},
	} {
		t.Run(name, func(t *testing.T) {
			var tr Traffic
			reasons := make(chan CloseReason, 8)
			conn, peer := pair(t, c.limits, &tr, func(r CloseReason) { reasons <- r })
			if name == "finished" {
				conn.AnswersPending = func() bool { return false }
			}
			go func() {
				buf := make([]byte, 64)
				for {
					if _, err := conn.Read(buf); err != nil {
						if conn.CloseReason() == StillOpen {
							conn.Abort(CloseReasonOf(err, ReadFailed))
						}
						return
					}
				}
			}()
			c.do(conn, peer)
			select {
			case reason := <-reasons:
				if reason != c.want {
					t.Errorf("closed with %v, want %v", reason, c.want)
				}
			case <-time.After(10 * time.Second):
				t.Fatal("the connection was not closed")
			}
			conn.Abort(DialFailed) // the first reason counts
			<-conn.Done()
			if conn.CloseReason() != c.want || tr.Closed[c.want].Load() != 1 || tr.Closed[DialFailed].Load() != 0 || len(reasons) != 0 {
				t.Errorf("closed again: %v", conn.CloseReason())
			}
			if conn.Send([]byte("late\n")) {
				t.Error("a closed connection queued a message")
			}
			if err := tr.checkBalanced(); err != nil {
				t.Error(err)
			}
		})
	}
}

// All connections together stay within QueuedBytesLimit: the one that exceeds it is closed, the others keep working.
func TestSharedMemoryBound(t *testing.T) {
	tr := &Traffic{QueuedBytesLimit: 256 << 10}
	limits := Limits{ReadBufferBytes: 8 << 10, WriteBufferBytes: 8 << 20, StallTimeout: 10 * time.Second}
	slow, _ := pair(t, limits, tr, nil)
	other, peer := pair(t, limits, tr, nil)
	chunk := make([]byte, 16<<10)
	for slow.Send(chunk) {
	}
	if slow.CloseReason() != Overflow {
		t.Fatalf("closed with %v, want %v", slow.CloseReason(), Overflow)
	}
	if !other.Send([]byte("still here\n")) {
		t.Fatal("the other connection does not send")
	}
	buf := make([]byte, 11)
	if _, err := io.ReadFull(peer, buf); err != nil {
		t.Fatal(err)
	}
}

func TestCloseReasonOf(t *testing.T) {
	for _, c := range []struct {
		err  error
		want CloseReason
	}{
		{nil, StillOpen}, {io.EOF, PeerClosed}, {fmt.Errorf("x: %w", syscall.ECONNRESET), PeerReset},
		{syscall.EPIPE, PeerReset}, {io.ErrClosedPipe, PeerReset}, {net.ErrClosed, ClosedLocally},
		{syscall.ECONNREFUSED, DialRefused}, {&Error{Reason: TooLong}, TooLong}, {errors.New("other error"), WriteFailed},
	} {
		if got := CloseReasonOf(c.err, WriteFailed); got != c.want {
			t.Errorf("%v is %v, want %v", c.err, got, c.want)
		}
	}
}

// Every CloseReason has a unique name and an outcome. Only an orderly close of the peer leaves requests open, and
// only a failed dial proves that none ran.
func TestOutcomes(t *testing.T) {
	names := map[string]bool{}
	for _, reason := range CloseReasons() {
		if names[reason.String()] || reason.String() == "unknown" || reason.String() == "" {
			t.Errorf("reason %d has no unique name", reason)
		}
		names[reason.String()] = true
		o := reason.Outcome()
		if (o == rules.OK) != (reason == PeerClosed) || o.NeverRan() != (reason == DialRefused || reason == DialFailed) {
			t.Errorf("%v has outcome %v", reason, o)
		}
	}
}

// interruptedConn calls interrupt just before the first read that does not wait for input.
type interruptedConn struct {
	*net.TCPConn
	once      sync.Once
	interrupt func()
}

func (c *interruptedConn) SyscallConn() (syscall.RawConn, error) {
	c.once.Do(c.interrupt)
	return c.TCPConn.SyscallConn()
}

// Guards against a close that is forgotten: a read that RecheckClose woke counted as input, which cancels CloseIfIdle.
func TestCloseIfIdleSurvivesRecheck(t *testing.T) {
	conn, _ := pair(t, defaultLimits, &Traffic{}, nil)
	conn.Conn = &interruptedConn{TCPConn: conn.Conn.(*net.TCPConn), interrupt: conn.RecheckClose}
	conn.AnswersPending = func() bool { return false }
	go conn.Read(make([]byte, 64))
	conn.CloseIfIdle(IdleClosed)
	standin.Eventually(t, "closed", func() bool { return conn.CloseReason() == IdleClosed })
}

// Guards against answers destroyed by a reset: a StopLingering between two reads ended them with input unread.
func TestStopLingeringLeavesNoInputUnread(t *testing.T) {
	var tr Traffic
	limits := defaultLimits
	limits.Linger = time.Minute // longer than the test
	conn, peer := pair(t, limits, &tr, nil)
	raw := conn.Conn.(*net.TCPConn)
	conn.Conn = &interruptedConn{TCPConn: raw, interrupt: conn.StopLingering}
	conn.AnswersPending = func() bool { return false }
	if _, err := peer.Write([]byte("late\n")); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, "input", func() bool { return hasInput(t, raw) })
	conn.StopLingering()
	conn.Abort(IdleClosed)
	<-conn.WhenClosed()
	if n := tr.Discarded.Load(); n != 5 {
		t.Errorf("%d bytes of 5 were read before the descriptor was closed", n)
	}
	if n, err := peer.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the peer read %d bytes, %v", n, err)
	}
}

// hasInput reports whether the connection has input that was not read.
func hasInput(t *testing.T, conn *net.TCPConn) bool {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		t.Fatal(err)
	}
	return n > 0
}

// Once a connection is closed, input is discarded and its reader returns at once. Otherwise the reader and the
// discarding loop would each read part of the input, and the reader would pass on messages with gaps.
func TestNoInputIsReadAfterClose(t *testing.T) {
	var tr Traffic
	limits := defaultLimits
	limits.Linger = time.Minute // longer than the timeouts of the test
	c, peer := pair(t, limits, &tr, nil)
	type read struct {
		text string
		err  error
	}
	reads := make(chan read)
	next := func() {
		buf := make([]byte, 64)
		n, err := c.Read(buf)
		reads <- read{string(buf[:n]), err}
	}
	go next()
	peer.Write([]byte("one\n"))
	if r := <-reads; r.text != "one\n" {
		t.Fatalf("%q, %v", r.text, r.err)
	}
	go next() // blocks in Read, or is about to
	c.Abort(ClosedLocally)
	if n, err := peer.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("no FIN: %d bytes, %v", n, err)
	}
	peer.Write([]byte("two\n"))
	select {
	case r := <-reads:
		if CloseReasonOf(r.err, StillOpen) != ClosedLocally || r.text != "" {
			t.Errorf("read %q, %v", r.text, r.err)
		}
	case <-time.After(8 * time.Second):
		t.Error("the reader is still blocked")
	}
	for end := time.Now().Add(8 * time.Second); tr.Discarded.Load() != 4; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes discarded", tr.Discarded.Load())
		}
	}
}

// The reader of a connection that was closed for malformed input returns. A reader that kept asking for input
// after the close would spin and use a whole core.
func TestReaderReturnsOnMalformedInput(t *testing.T) {
	for name, bytes := range map[string][]byte{"no message": []byte("FROB\r\n"), "without an end": make([]byte, 32<<10)} {
		t.Run(name, func(t *testing.T) {
			c, peer := pair(t, defaultLimits, &Traffic{}, nil)
			c.frame = &RESP{}
			if name == "without an end" {
				c.frame = &Lines{MaxLength: 4 << 10}
			}
			c.AnswersPending = func() bool { return false }
			read := make(chan error, 1)
			go func() {
				n, err := c.Read(make([]byte, 64))
				read <- fmt.Errorf("%d bytes: %w", n, err)
			}()
			peer.Write(bytes)
			select {
			case err := <-read:
				if reason := CloseReasonOf(err, StillOpen); reason != BadFraming && reason != TooLong {
					t.Error(err)
				}
			case <-time.After(8 * time.Second):
				t.Error("the reader does not return")
			}
		})
	}
}

// Guards against a process that does not exit, or a descriptor that stays open, for as long as the reader's own
// deadline: one that the reader sets while the connection closes must not replace that of the linger phase.
func TestReaderDeadlineDoesNotProlongLinger(t *testing.T) {
	limits := defaultLimits
	limits.Linger = 200 * time.Millisecond
	c, peer := pair(t, limits, &Traffic{}, nil)
	c.Abort(ClosedLocally)
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // the linger phase begins, as the peer stays open
		t.Fatal(err)
	}
	for range 100 {
		if err := c.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	select {
	case <-c.WhenClosed():
	case <-time.After(5 * time.Second):
		t.Error("the descriptor is still open")
	}
}

// recordingPermit records how it is used.
type recordingPermit struct {
	reads     int // that it allows each time it is acquired
	left      int
	held      bool
	acquired  int
	unheldEnd int // messages that were passed on while it was not held
}

func (p *recordingPermit) Acquire() {
	if !p.held {
		p.held, p.left = true, p.reads
		p.acquired++
	}
}

func (p *recordingPermit) Release() { p.held = false }

func (p *recordingPermit) AllowsRead() bool {
	p.left--
	return p.held && p.left >= 0
}

// A reader handles input with its permit only, keeps that for as many reads of available input as it allows, and does
// not hold it while it waits for input.
func TestReaderHoldsItsPermitWhileItHandlesInput(t *testing.T) {
	const messages = 64
	for _, reads := range []int{0, 4} {
		c, peer := pair(t, defaultLimits, &Traffic{}, nil)
		c.AnswersPending = func() bool { return false }
		permit := &recordingPermit{reads: reads}
		c.Permit = permit
		if _, err := peer.Write(bytes.Repeat([]byte(strings.Repeat("x", 1023)+"\n"), messages)); err != nil {
			t.Fatal(err)
		}
		standin.Eventually(t, "all input", func() bool { return hasInput(t, c.Conn.(*net.TCPConn)) })
		p, read := make([]byte, 512), 0
		for read < messages<<10 {
			n, err := c.Read(p)
			if err != nil {
				t.Fatal(err)
			}
			if !permit.held {
				permit.unheldEnd++
			}
			read += n
		}
		// The input ring takes a message at a time, so that there are about as many reads as messages.
		most := messages + 1
		if reads > 0 {
			most = messages/reads + 1
		}
		if permit.unheldEnd > 0 || permit.acquired > most || reads == 0 && permit.acquired < messages/8 {
			t.Errorf("%d reads allowed: acquired %d times, at most %d may be; input handled without it %d times",
				reads, permit.acquired, most, permit.unheldEnd)
		}
		waiting := make(chan struct{})
		go func() { _, _ = c.Read(p); close(waiting) }()
		peer.Close()
		<-waiting
		if permit.held {
			t.Errorf("%d reads allowed: held after the last input", reads)
		}
	}
}

// Guards against a request that is lost with its connection: the deadline with which RecheckClose wakes a reader outlasted a
// close that input had cancelled, and a reader that held its permit took it for the failure of its read.
func TestDeadlineOfACancelledCloseDoesNotEndReading(t *testing.T) {
	c, peer := pair(t, defaultLimits, &Traffic{}, nil)
	c.AnswersPending = func() bool { return false }
	c.Permit = &recordingPermit{reads: 4}
	p := make([]byte, 64)
	for _, message := range []string{"one\n", "two\n", "three\n"} {
		if _, err := peer.Write([]byte(message)); err != nil {
			t.Fatal(err)
		}
		standin.Eventually(t, "input", func() bool { return hasInput(t, c.Conn.(*net.TCPConn)) })
		if err := c.Conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
		if n, err := c.Read(p); err != nil || string(p[:n]) != message {
			t.Fatalf("read %q, %v; want %q", p[:n], err, message)
		}
	}
}

// Guards against answers destroyed by a reset: a connection that was to be closed at once for its descriptor, and stayed open
// since it had input, did not linger at its later close either.
func TestCancelledCloseLeavesLingeringOn(t *testing.T) {
	limits := defaultLimits
	limits.Linger = time.Minute // longer than the test
	c, peer := pair(t, limits, &Traffic{}, nil)
	c.AnswersPending = func() bool { return false }
	if _, err := peer.Write([]byte("request\n")); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, "input", func() bool { return hasInput(t, c.Conn.(*net.TCPConn)) })
	c.StopLingering()
	c.CloseIfIdle(IdleClosed)
	if n, err := c.Read(make([]byte, 64)); n != 8 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	c.Abort(IdleClosed)
	select {
	case <-c.WhenClosed():
		t.Error("the descriptor was closed before the peer had closed its side")
	case <-time.After(50 * time.Millisecond):
	}
	peer.Close()
	<-c.WhenClosed()
}
