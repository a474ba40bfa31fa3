package pool

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/standin"
	"robinmast/internal/stream"
)

// endedRun is a call of RunEnded.
type endedRun struct {
	x    *exchange.Exchange
	end  Outcome
	took time.Duration
	body string
}

// stubSink records the notices that it receives.
type stubSink struct {
	mu         sync.Mutex
	coldStarts []bool
	upSince    time.Duration
	ended      []endedRun
	calls      []string
	gauges     []float64
}

func (s *stubSink) WorkerPoolUp(cold bool, since time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldStarts, s.upSince = append(s.coldStarts, cold), since
}

func (s *stubSink) RunEnded(x *exchange.Exchange, end Outcome, took time.Duration, result []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, endedRun{x, end, took, string(result)})
}

func (s *stubSink) CallNeeded(x *exchange.Exchange, statement []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, x.Txn+" "+string(statement))
}

func (s *stubSink) callsNeeded() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

func (s *stubSink) UnknownRunEnded(string, Outcome, []byte) {}

func (s *stubSink) GaugesRead(v []float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gauges = v
}

func (s *stubSink) endedRuns() []endedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]endedRun(nil), s.ended...)
}

// stubPool stands in for the worker pool, according to the published protocol: the test
// sends and expects each line.
type stubPool struct {
	t  *testing.T
	ln net.Listener
	c  net.Conn
	rd *bufio.Reader
}

// startLink runs a Link to a stubPool until the end of the test, and then checks that all counters add up.
func startLink(t *testing.T) (*Link, *stubSink, *stubPool) {
	return startLinkWith(t, time.Minute, time.Minute)
}

// startLinkWith is startLink with shorter timeouts, which a slow host may exceed by
// itself; only tests of these timeouts use it.
func startLinkWith(t *testing.T, silenceTimeout, bindTimeout time.Duration) (*Link, *stubSink, *stubPool) {
	t.Helper()
	ln := standin.Listen(t)
	sink := &stubSink{}
	l := New(ln.Addr().String(), sink, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l.silenceTimeout, l.bindTimeout = silenceTimeout, bindTimeout
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	w := &stubPool{t: t, ln: ln}
	t.Cleanup(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Error("the link does not end with its context")
		}
		if w.c != nil {
			w.c.Close()
		}
		ended := int64(0)
		for _, e := range stream.CloseReasons() {
			ended += l.Traffic.Closed[e].Load()
		}
		if ended != l.Traffic.Opened.Load() || l.Traffic.Queued.Load() != l.Traffic.Sent.Load()+l.Traffic.Dropped.Load() {
			t.Errorf("links or commands do not add up: %d opened, %d ended", l.Traffic.Opened.Load(), ended)
		}
		over := int64(0)
		for i := range l.Counters.EndedRuns {
			over += l.Counters.EndedRuns[i].Load()
		}
		if l.Counters.Started.Load() != over+int64(l.OpenRuns()) {
			t.Errorf("%d started, %d ended, %d running", l.Counters.Started.Load(), over, l.OpenRuns())
		}
	})
	return l, sink, w
}

// accept accepts the next link and expects its bind.
func (w *stubPool) accept(after int) {
	w.t.Helper()
	_ = w.ln.(*net.TCPListener).SetDeadline(time.Now().Add(8 * time.Second))
	c, err := w.ln.Accept()
	if err != nil {
		w.t.Fatal(err)
	}
	if w.c != nil {
		w.c.Close()
	}
	w.c, w.rd = c, bufio.NewReader(c)
	w.expect(fmt.Sprintf(`{"op":"bind","seq":%d}`, after))
}

func (w *stubPool) send(lines ...string) {
	w.t.Helper()
	if _, err := w.c.Write([]byte(strings.Join(lines, "\n") + "\n")); err != nil {
		w.t.Fatal(err)
	}
}

func (w *stubPool) expect(want string) {
	w.t.Helper()
	_ = w.c.SetReadDeadline(time.Now().Add(5 * time.Second))
	line, err := w.rd.ReadString('\n')
	if err != nil {
		w.t.Fatalf("waiting for %s: %v", want, err)
	}
	if line = strings.TrimSuffix(line, "\n"); line != want {
		w.t.Fatalf("got %s, want %s", line, want)
	}
}

// expectSilence fails if a line is received within 30 ms.
func (w *stubPool) expectSilence() {
	w.t.Helper()
	_ = w.c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if line, err := w.rd.ReadString('\n'); err == nil {
		w.t.Fatalf("sent too early: %s", line)
	}
}

// bind accepts and binds the link of the given number, with nothing to replay.
func (w *stubPool) bind(link, after int) {
	w.t.Helper()
	w.accept(after)
	w.send(`{"op":"bound","end":"hot","ms":5}`)
	w.expect(fmt.Sprintf(`{"op":"poll","tag":"r%d"}`, link))
	w.send(fmt.Sprintf(`{"op":"polled","tag":"r%d","values":[0,0]}`, link))
}

var requestCounters exchange.Counters

type discardReplies struct{}

func (discardReplies) Reply(uint64, exchange.Answer) {}

func request(txn string, safe bool) *exchange.Exchange {
	return exchange.New(&requestCounters, discardReplies{}, 1, exchange.Request{
		Txn: txn, ClassName: "read", Safe: safe, Body: []byte("\x00body\n\"\xff"),
	})
}

func spawnLine(txn string) string {
	return `{"op":"spawn","id":"` + txn + `","class":"read","body":"` +
		base64.StdEncoding.EncodeToString([]byte("\x00body\n\"\xff")) + `"}`
}

func blockedLine(seq int, txn, statement string) string {
	return fmt.Sprintf(`{"op":"blocked","seq":%d,"id":%q,"body":%q}`, seq, txn, base64.StdEncoding.EncodeToString([]byte(statement)))
}

func supplyLine(txn, result string) string {
	return fmt.Sprintf(`{"op":"supply","id":%q,"body":%q}`, txn, base64.StdEncoding.EncodeToString([]byte(result)))
}
