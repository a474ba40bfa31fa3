package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/standin"
	"robinmast/internal/stream"
)

// The tests of this file force the race conditions that docs/races.md lists: a gate blocks the reader, or a hook
// the close, at the point where the other side has to act.

// waitForUnread waits until the kernel holds bytes of this peer that the node has not read.
func waitForUnread(t *testing.T, c *client) {
	t.Helper()
	raw, err := c.Conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, "unread bytes", func() bool {
		n, one := 0, make([]byte, 1)
		_ = raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), one, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return n > 0
	})
}

// onlyConnection waits until there is one connection and returns it.
func (b *harness) onlyConnection(t *testing.T) *client {
	t.Helper()
	standin.Eventually(t, "one connection", func() bool { return b.Conns() == 1 })
	return b.connections()[0]
}

// readToEnd reads until the connection ends. It returns nil if it ended in order, and an error after a reset.
func readToEnd(d *standin.Dispatcher) error {
	_ = d.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := io.Copy(io.Discard, d.TCPConn)
	return err
}

var servedAnswer = exchange.Answer{Kind: exchange.Served, Body: []byte("r")}

// A request or half of one arrives between the last check for input on an idle connection and its FIN. It is not
// passed on, since it could not be answered, and the connection is not reset because of it.
func TestInputBetweenLastCheckAndFIN(t *testing.T) {
	whole := standin.EncodeMessage("RPC.CALL", "2", "read", safeFields, "x")
	for name, late := range map[string][]byte{
		"a request": whole, "half a request": whole[:40], "many": []byte(strings.Repeat(string(whole), 200)),
	} {
		t.Run(name, func(t *testing.T) {
			var d *standin.Dispatcher
			var c *client
			b := startServer(t, func(s *Server) {
				s.limits.BeforeFIN = func() {
					d.Write(late)
					waitForUnread(t, c)
				}
			})
			b.sink.answer = &servedAnswer
			d = b.dial(t)
			c = b.onlyConnection(t)
			d.Send("RPC.CALL", "1", "read", safeFields, "x")
			standin.Eventually(t, "the answer is sent", func() bool {
				a, _ := b.sink.counts()
				return a == 1 && c.Unsent() == 0 && !c.hasOpen()
			})
			c.CloseIfIdle(stream.IdleClosed)
			if got := d.Receive(); got != "1 ACK  r" {
				t.Errorf("%q", got)
			}
			if got := d.Receive(); got != "EOF" {
				t.Errorf("%q", got)
			}
			if err := readToEnd(d); err != nil {
				t.Errorf("the connection was not closed in order: %v", err)
			}
			d.Close()
			<-c.WhenClosed()
			if a, _ := b.sink.counts(); a != 1 || b.Traffic.Discarded.Load() == 0 {
				t.Errorf("%d arrived, %d bytes discarded", a, b.Traffic.Discarded.Load())
			}
		})
	}
}

// A request is in the kernel's receive buffer, not yet read, when an idle connection is to be closed: the close is
// cancelled and the request is answered.
func TestUnreadRequestCancelsIdleClose(t *testing.T) {
	b := startServer(t, nil)
	b.sink.gate = make(chan struct{})
	d := b.dial(t)
	c := b.onlyConnection(t)
	d.Send("RPC.CALL", "1", "read", safeFields, "x")
	standin.Eventually(t, "arrival", func() bool { return b.sink.last() != nil })
	b.sink.last().Answer(servedAnswer) // the gate still blocks the reader
	c.CloseIfIdle(stream.IdleClosed)
	d.Send("RPC.CALL", "2", "read", safeFields, "x")
	waitForUnread(t, c)
	close(b.sink.gate)
	standin.Eventually(t, "the second", func() bool { a, _ := b.sink.counts(); return a == 2 })
	b.sink.last().Answer(servedAnswer)
	for tag := 1; tag <= 2; tag++ {
		if got := d.Receive(); got != fmt.Sprint(tag, " ACK  r") {
			t.Errorf("%q", got)
		}
	}
	d.Send("RPC.HEALTH", "3", "")
	if got := d.Receive(); got != "3 GREEN  " {
		t.Errorf("the connection is not usable any more: %q", got)
	}
}

// Drain is called while one connection has an open request and an unread one, and another receives half a message
// just before its FIN: both requests are answered and each connection ends in order.
func TestDrainAnswersRequestsReceived(t *testing.T) {
	var mu sync.Mutex
	var half *standin.Dispatcher
	b := startServer(t, func(s *Server) {
		s.limits.BeforeFIN = func() {
			mu.Lock()
			defer mu.Unlock()
			if half != nil {
				half.Write([]byte("*5\r\n$8\r\nRPC.CA"))
				half = nil
			}
		}
	})
	idle := b.dial(t)
	b.onlyConnection(t)
	mu.Lock()
	half = idle
	mu.Unlock()
	b.sink.gate = make(chan struct{})
	d := b.dial(t)
	d.Send("RPC.CALL", "1", "read", safeFields, "x")
	standin.Eventually(t, "arrival", func() bool { return b.sink.last() != nil })
	d.Send("RPC.CALL", "2", "read", safeFields, "x")
	for _, c := range b.connections() {
		if c.RemoteAddr().String() == d.LocalAddr().String() {
			waitForUnread(t, c)
		}
	}
	b.StopListening()
	drained := make(chan bool)
	go func() { drained <- b.Drain(5 * time.Second) }()
	if err := readToEnd(idle); err != nil {
		t.Errorf("half a message: %v", err)
	}
	idle.Close()
	close(b.sink.gate)
	standin.Eventually(t, "the second", func() bool { a, _ := b.sink.counts(); return a == 2 })
	for _, x := range b.sink.arrived {
		x.Answer(servedAnswer)
	}
	for range 2 {
		if got := d.Receive(); !strings.HasSuffix(got, " ACK  r") {
			t.Errorf("%q", got)
		}
	}
	if err := readToEnd(d); err != nil {
		t.Errorf("%v", err)
	}
	d.Close()
	if !<-drained {
		t.Error("Drain timed out")
	}
}

// An idle peer, and one that sends without end, delay the close no longer than the linger timeout and the bound
// in bytes.
func TestLingerIsBounded(t *testing.T) {
	b := startServer(t, func(s *Server) { s.limits.Linger = 50 * time.Millisecond })
	idle, flooding := b.dial(t), b.dial(t)
	idle.Send("RPC.HEALTH", "1", "")
	idle.Receive()
	standin.Eventually(t, "both connections", func() bool { return b.Conns() == 2 })
	b.StopListening()
	go func() {
		for chunk := make([]byte, 16<<10); ; {
			if _, err := flooding.Write(chunk); err != nil {
				return
			}
		}
	}()
	if !b.Drain(5 * time.Second) {
		t.Error("Drain timed out")
	}
	if n := b.Traffic.Discarded.Load(); n > 2*(256<<10)+64<<10 {
		t.Errorf("%d bytes of the flood were read", n)
	}
}

// Malformed input after a request, in the same segment or later, does not reset the connection before the answer
// to the request is read.
func TestMalformedInputAfterARequest(t *testing.T) {
	b := startServer(t, nil)
	d := b.dial(t)
	d.Write(append(standin.EncodeMessage("RPC.CALL", "1", "read", safeFields, "x"), strings.Repeat("FROB\r\n", 10<<10)...))
	standin.Eventually(t, "the request before it", func() bool { return b.sink.last() != nil })
	standin.Eventually(t, "the planned close", func() bool { return b.connections()[0].Closing() })
	b.sink.last().Answer(servedAnswer)
	if got := d.Receive(); got != "1 ACK  r" {
		t.Errorf("%q", got)
	}
	if err := readToEnd(d); err != nil {
		t.Errorf("ended by %v", err)
	}
	if a, _ := b.sink.counts(); a != 1 {
		t.Errorf("%d arrived", a)
	}
}

// Connections in the kernel's accept queue may carry requests when the node stops listening: all are answered.
func TestStopListeningServesAcceptQueue(t *testing.T) {
	b := startServer(t, func(s *Server) { s.cfg.MaxConns = 1 })
	busy := b.dial(t)
	busy.Send("RPC.CALL", "1", "read", safeFields, "x")
	standin.Eventually(t, "arrival", func() bool { return b.sink.last() != nil })
	var more []*standin.Dispatcher
	for range 3 { // the first waits for a free slot, the others stay in the accept queue
		d := b.dial(t)
		d.Send("RPC.CALL", "1", "read", safeFields, "x")
		more = append(more, d)
	}
	b.StopListening()
	b.SendFin()
	drained := make(chan bool)
	go func() { drained <- b.Drain(5 * time.Second) }()
	b.sink.mu.Lock()
	b.sink.answer = &servedAnswer
	b.sink.mu.Unlock()
	b.sink.last().Answer(servedAnswer)
	for i, d := range append(more, busy) {
		for {
			got := d.Receive()
			if got == "0 FIN" {
				continue
			}
			if got != "1 ACK  r" {
				t.Errorf("connection %d: %q", i, got)
			}
			break
		}
		if err := readToEnd(d); err != nil {
			t.Errorf("connection %d ended by %v", i, err)
		}
		d.Close()
	}
	if !<-drained {
		t.Error("Drain timed out")
	}
	if c, err := net.Dial("tcp", b.addr); err == nil {
		c.Close()
		t.Error("still listening")
	}
}

// endlessListener has another connection whenever it is asked.
type endlessListener struct {
	net.Listener
	closed atomic.Bool
}

func (l *endlessListener) Accept() (net.Conn, error) {
	near, far := net.Pipe()
	far.Close()
	return near, nil
}

func (l *endlessListener) SetDeadline(time.Time) error { return nil }

func (l *endlessListener) Close() error {
	l.closed.Store(true)
	return nil
}

// Guards against a node that leaves and accepts until its stop: connections that keep coming do not keep the listener
// open.
func TestStopListeningUnderConnections(t *testing.T) {
	endless := &endlessListener{}
	l := &listener{Listener: endless, server: startServer(t, nil).Server, ctx: t.Context()}
	l.server.stopAccepting.Store(true)
	for began := time.Now(); ; {
		c, err := l.next()
		if errors.Is(err, net.ErrClosed) && endless.closed.Load() {
			break
		}
		if err != nil || time.Since(began) > 5*time.Second {
			t.Fatalf("accepts after %v, %v", time.Since(began), err)
		}
		c.Close()
	}
}

// A dispatcher that writes and reads one byte at a time is served like any other.
func TestByteByByte(t *testing.T) {
	b := startServer(t, nil)
	b.sink.answer = &exchange.Answer{Kind: exchange.Served, Body: []byte(strings.Repeat("r", 4096))}
	d := b.dial(t)
	for _, c := range standin.EncodeMessage("RPC.CALL", "1", "read", safeFields, "x") {
		d.Write([]byte{c})
	}
	var got []byte
	for one := make([]byte, 1); !strings.HasSuffix(string(got), "rr\r\n"); {
		_ = d.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := d.Read(one); err != nil {
			t.Fatal(err)
		}
		got = append(got, one[0])
	}
	if !strings.Contains(string(got), "ACK") {
		t.Errorf("%q", got)
	}
}

// TCP_NODELAY is set on accepted connections, so that the kernel does not delay small answers.
func TestNoDelay(t *testing.T) {
	b := startServer(t, nil)
	b.dial(t)
	raw, err := b.onlyConnection(t).Conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	on := 0
	err = errors.Join(raw.Control(func(fd uintptr) {
		on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	}), err)
	if err != nil || on == 0 {
		t.Errorf("TCP_NODELAY is %d, %v", on, err)
	}
}

// After CloseAfterAnswers a connection takes no more requests, not even the rest of a message of which half was
// read, and open requests are still answered.
func TestCloseAfterAnswersTakesNoMoreRequests(t *testing.T) {
	b := startServer(t, nil)
	d := b.dial(t)
	c := b.onlyConnection(t)
	whole := standin.EncodeMessage("RPC.CALL", "2", "read", safeFields, "x")
	d.Write(append(standin.EncodeMessage("RPC.CALL", "1", "read", safeFields, "x"), whole[:30]...))
	standin.Eventually(t, "half of the second", func() bool {
		a, _ := b.sink.counts()
		return a == 1 && c.PartialAge(time.Now()) > 0
	})
	c.CloseAfterAnswers(stream.ReadStalled)
	d.Write(append(append([]byte{}, whole[30:]...), standin.EncodeMessage("RPC.CALL", "3", "read", safeFields, "x")...))
	standin.Eventually(t, "discarded input", func() bool { return b.Traffic.Discarded.Load() > int64(len(whole)) })
	b.sink.last().Answer(servedAnswer)
	if got := d.Receive(); got != "1 ACK  r" {
		t.Errorf("%q", got)
	}
	if err := readToEnd(d); err != nil {
		t.Errorf("ended by %v", err)
	}
	if a, _ := b.sink.counts(); a != 1 {
		t.Errorf("%d arrived", a)
	}
}

// A dispatcher resets its connection at each stage of a request. Nothing of its requests is left open, and a
// request on another connection is served.
func TestResetAtEachStage(t *testing.T) {
	whole := standin.EncodeMessage("RPC.CALL", "1", "read", safeFields, "x")
	b := startServer(t, nil)
	other := b.dial(t)
	other.Send("RPC.HEALTH", "1", "")
	other.Receive() // a valid message, so that firstMessageLimit does not apply
	for name, prepare := range map[string]func(d *standin.Dispatcher) (afterReset func()){
		"connected":    func(*standin.Dispatcher) func() { return nil },
		"half written": func(d *standin.Dispatcher) func() { d.Write(whole[:40]); return nil },
		"unread": func(d *standin.Dispatcher) func() {
			gate := make(chan struct{})
			b.sink.mu.Lock()
			b.sink.gate = gate
			n := len(b.sink.arrived)
			b.sink.mu.Unlock()
			d.Write(whole)
			standin.Eventually(t, "a request passed on", func() bool { a, _ := b.sink.counts(); return a > n })
			d.Send("RPC.CALL", "2", "read", safeFields, "x")
			return func() {
				b.sink.mu.Lock()
				b.sink.gate = nil
				b.sink.mu.Unlock()
				close(gate)
			}
		},
		"queued or running": func(d *standin.Dispatcher) func() {
			a, _ := b.sink.counts()
			d.Write(whole)
			standin.Eventually(t, "arrival", func() bool { n, _ := b.sink.counts(); return n > a })
			return nil
		},
		"answered": func(d *standin.Dispatcher) func() {
			a, _ := b.sink.counts()
			d.Write(whole)
			standin.Eventually(t, "arrival", func() bool { n, _ := b.sink.counts(); return n > a })
			b.sink.last().Answer(servedAnswer)
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			before := b.Conns()
			d := b.dial(t)
			standin.Eventually(t, "the connection", func() bool { return b.Conns() == before+1 })
			afterReset := prepare(d)
			d.SetLinger(0)
			d.Close()
			if afterReset != nil {
				afterReset()
			}
			standin.Eventually(t, "the close", func() bool { return b.Conns() == before && b.requestCounters.OpenRequests() == 0 })
			a, _ := b.sink.counts()
			other.Send("RPC.CALL", "1", "read", safeFields, "x")
			standin.Eventually(t, "the request on the other connection", func() bool { n, _ := b.sink.counts(); return n > a })
			b.sink.last().Answer(servedAnswer)
			if got := other.Receive(); got != "1 ACK  r" {
				t.Errorf("%q", got)
			}
		})
	}
}

// Guards against running requests whose caller is gone: a client reset its connection with much still unread, and the requests that the kernel
// held were read and passed on all the same.
func TestUnreadRequestsOfAResetConnectionAreDropped(t *testing.T) {
	const unread = 25 // beside the first request, with bodies that take far more than the input ring
	gate := make(chan struct{})
	b := startServer(t, func(s *Server) { s.sink.(*recordingSink).gate = gate })
	d := b.dial(t)
	for i := range 1 + unread {
		d.Send("RPC.CALL", fmt.Sprint(i+1), "read", safeFields, string(make([]byte, maxBodyBytes)))
	}
	standin.Eventually(t, "the first request", func() bool { a, _ := b.sink.counts(); return a == 1 })
	d.SetLinger(0)
	d.Close()
	close(gate)
	standin.Eventually(t, "the close", func() bool { return b.Conns() == 0 && b.requestCounters.OpenRequests() == 0 })
	readAtOnce := inRingBytes/maxBodyBytes + 1 // what had been read from the network before the reset
	if arrived, gone := b.sink.counts(); arrived > readAtOnce || gone != arrived {
		t.Errorf("%d requests were passed on and %d abandoned, want at most %d of both", arrived, gone, readAtOnce)
	}
	if n := b.Traffic.Closed[stream.PeerReset].Load(); n != 1 {
		t.Errorf("%d connections closed as reset, want 1", n)
	}
}
