package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"robinmast/decide/connlimit"
	"robinmast/internal/exchange"
	"robinmast/internal/standin"
	"robinmast/internal/stream"
)

// A connection storm is limited to its share of CPU time, and requests on open connections are answered at once
// meanwhile. Without the limiter the same storm opens connections as fast as they come.
func TestConnectionStorm(t *testing.T) {
	storm := func(share float64) (opened int64, slowest time.Duration, delayed int) {
		b := startServer(t, func(s *Server) {
			if share > 0 {
				s.limiter = connlimit.New(0, share)
			}
		})
		b.sink.answer = &exchange.Answer{Kind: exchange.Refused}
		d := b.dial(t)
		d.Write(standin.EncodeMessage("RPC.HEALTH", "1", ""))
		d.Receive()
		stop := time.Now().Add(400 * time.Millisecond)
		var dialers sync.WaitGroup
		for range 4 {
			dialers.Go(func() {
				for time.Now().Before(stop) {
					if c, err := net.DialTimeout("tcp", b.addr, time.Second); err == nil {
						_ = c.Close()
					}
				}
			})
		}
		for tag := 2; time.Now().Before(stop); tag++ {
			start := time.Now()
			d.Write(standin.EncodeMessage("RPC.CALL", fmt.Sprint(tag), "read", safeFields))
			d.Receive()
			slowest = max(slowest, time.Since(start))
		}
		dialers.Wait()
		delayed, _ = b.Delayed()
		return b.Traffic.Opened.Load(), slowest, delayed
	}
	unlimited, _, _ := storm(0)
	limited, slowest, delayed := storm(0.002)
	if delayed == 0 || limited >= unlimited/2 {
		t.Errorf("%d connections opened with the limiter, %d of them delayed; %d without", limited, delayed, unlimited)
	}
	if slowest > 300*time.Millisecond {
		t.Errorf("a request on an open connection waited %v", slowest)
	}
}

// At MaxConns the node closes the connection that has been idle for longest, so that requests on connections in
// the kernel's accept queue get read. Connections with open requests stay; if there are no others, a new
// connection waits.
func TestFullServerClosesIdleConnection(t *testing.T) {
	b := startServer(t, func(s *Server) { s.cfg.MaxConns = 2 })
	busy, idle := b.dial(t), b.dial(t)
	busy.Send("RPC.CALL", "1", "read", safeFields, "x")
	standin.Eventually(t, "arrival", func() bool { return b.sink.last() != nil && b.Conns() == 2 })
	third := b.dial(t)
	third.Send("RPC.CALL", "1", "read", safeFields, "x")
	if got := idle.Receive(); got != "EOF" {
		t.Errorf("the idle connection received %q", got)
	}
	standin.Eventually(t, "second arrival", func() bool { a, _ := b.sink.counts(); return a == 2 })
	fourth := b.dial(t)
	fourth.Send("RPC.HEALTH", "1")
	time.Sleep(30 * time.Millisecond)
	if b.Conns() != 2 {
		t.Errorf("%d connections", b.Conns())
	}
	b.sink.arrived[0].Answer(exchange.Answer{Kind: exchange.Failed})
	if got := busy.Receive(); got != "1 FAIL  " {
		t.Errorf("%q", got)
	}
	if got := fourth.Receive(); got != "1 GREEN  " {
		t.Errorf("%q", got)
	}
	b.sink.arrived[1].Answer(exchange.Answer{Kind: exchange.Failed})
}

// noDescriptorListener is a listener whose first Accepts fail for lack of file descriptors.
type noDescriptorListener struct {
	net.Listener
	failures int
}

func (l *noDescriptorListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// When accept fails for lack of file descriptors, the node waits a moment before it retries. redcon would retry at
// once and use a whole core, and returning the error would stop the node.
func TestNoDescriptors(t *testing.T) {
	b := startServer(t, nil)
	ln := standin.Listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &listener{Listener: &noDescriptorListener{ln, 3}, server: b.Server, ctx: ctx}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	start := time.Now()
	got, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if d := time.Since(start); d < 3*acceptRetryDelay || b.Counters.AcceptFailures.Load() != 3 {
		t.Errorf("accepted after %v and %d failures", d, b.Counters.AcceptFailures.Load())
	}
	got.(*client).Abort(stream.ClosedLocally)
	cancel()
	l = &listener{Listener: &noDescriptorListener{ln, 9}, server: b.Server, ctx: ctx}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after cancelling the context: %v", err)
	}
}

// The memory of an idle connection, with its goroutines, rings and redcon's buffers, is bounded: there are many
// connections and little memory.
func TestIdleConnectionMemory(t *testing.T) {
	b := startServer(t, nil)
	memory := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := memory()
	const conns = 200
	for i := range conns {
		d := b.dial(t)
		d.Send("RPC.CALL", "1", "read", safeFields, strings.Repeat("x", 2000))
		standin.Eventually(t, "arrival", func() bool { a, _ := b.sink.counts(); return a == i+1 })
		b.sink.last().Answer(exchange.Answer{Kind: exchange.Served, Body: make([]byte, 4096)})
		d.Receive()
	}
	b.sink.mu.Lock()
	b.sink.arrived = nil
	b.sink.mu.Unlock()
	if each := int64(memory()-before) / conns; each > 64<<10 {
		t.Errorf("%d bytes for each connection", each)
	} else {
		t.Logf("%d bytes for each connection, including the test's client", each)
	}
}

// While no connection slot is free, a connection with an incomplete message is closed after partialCloseAfter, and
// one with an open request stays.
func TestPartialMessageFreesSlot(t *testing.T) {
	b := startServer(t, func(s *Server) { s.cfg.MaxConns = 2 })
	busy, half := b.dial(t), b.dial(t)
	busy.Send("RPC.CALL", "1", "read", safeFields, "x")
	half.Write([]byte("*2\r\n$10\r\nRPC"))
	standin.Eventually(t, "a request and half a message", func() bool {
		for _, c := range b.connections() {
			if c.PartialAge(time.Now()) > 0 {
				return b.sink.last() != nil
			}
		}
		return false
	})
	if b.freeConnectionSlot() {
		t.Error("closed the connection with half a message at once")
	}
	for _, c := range b.connections() { // the message has only begun, whenever the last one came
		c.mu.Lock()
		c.lastUsed = c.lastUsed.Add(-2 * partialCloseAfter)
		c.mu.Unlock()
	}
	if b.freeConnectionSlot() {
		t.Error("closed a connection for the age of its last message")
	}
	for _, c := range b.connections() {
		c.RestartPartialTimer(time.Now().Add(-2 * partialCloseAfter))
	}
	if !b.freeConnectionSlot() || b.freeConnectionSlot() {
		t.Error("did not close exactly one connection")
	}
	if got := half.Receive(); got != "EOF" {
		t.Errorf("%q", got)
	}
	b.sink.last().Answer(exchange.Answer{Kind: exchange.Failed})
	if got := busy.Receive(); got != "1 FAIL  " {
		t.Errorf("%q", got)
	}
}

// Connections on which no whole message arrives are closed soon, while one with a valid message stays. Without
// firstMessageLimit, hundreds of clients that are not dispatchers would occupy all descriptors for the maximum
// idle timeout.
func TestFirstMessageLimit(t *testing.T) {
	b := startServer(t, func(s *Server) { s.firstMessageLimit = 150 * time.Millisecond })
	d, silent, half, invalid := b.dial(t), b.dial(t), b.dial(t), b.dial(t)
	d.Send("RPC.HEALTH", "1", "")
	if got := d.Receive(); got != "1 GREEN  " {
		t.Errorf("%q", got)
	}
	invalid.Send("RPC.HEALTH", "none", "") // its tag is no number
	if got := invalid.Receive(); got != "0 FAIL  " {
		t.Errorf("invalid: %q", got)
	}
	half.Write([]byte("*2\r\n$10\r\nRPC"))
	if got := silent.Receive(); got != "EOF" {
		t.Errorf("silent: %q", got)
	}
	if got := half.Receive(); got != "EOF" {
		t.Errorf("half: %q", got)
	}
	if got := invalid.Receive(); got != "EOF" {
		t.Errorf("invalid: %q", got)
	}
	d.Send("RPC.HEALTH", "2", "")
	if got := d.Receive(); got != "2 GREEN  " || b.Traffic.Closed[stream.ReadStalled].Load() != 3 {
		t.Errorf("%q, %d closed", got, b.Traffic.Closed[stream.ReadStalled].Load())
	}
}

// To free a slot, a connection without any valid message is closed first, however long others have been idle:
// those may be dispatchers', which would have to connect again.
func TestConnectionWithoutMessageIsClosedFirst(t *testing.T) {
	b := startServer(t, func(s *Server) { s.cfg.MaxConns = 2 })
	d := b.dial(t)
	d.Send("RPC.HEALTH", "1", "")
	d.Receive()
	silent := b.dial(t)
	standin.Eventually(t, "both connections", func() bool { return b.Conns() == 2 })
	if !b.freeConnectionSlot() {
		t.Error("no connection was closed")
	}
	if got := silent.Receive(); got != "EOF" {
		t.Errorf("%q", got)
	}
	d.Send("RPC.HEALTH", "2", "")
	if got := d.Receive(); got != "2 GREEN  " {
		t.Errorf("%q", got)
	}
}
