package pool

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
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

type finish struct {
	x    *exchange.Exchange
	end  Outcome
	took time.Duration
	body string
}

type recorder struct {
	mu     sync.Mutex
	bound  []bool
	since  time.Duration
	done   []finish
	calls  []string
	gauges []float64
}

func (r *recorder) WorkerPoolUp(cold bool, since time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bound, r.since = append(r.bound, cold), since
}

func (r *recorder) RunEnded(x *exchange.Exchange, end Outcome, took time.Duration, result []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = append(r.done, finish{x, end, took, string(result)})
}

func (r *recorder) CallNeeded(x *exchange.Exchange, statement []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, x.Txn+" "+string(statement))
}

func (r *recorder) blocked() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.calls...)
}

func (r *recorder) UnknownRunEnded(string, Outcome, []byte) {}
func (r *recorder) GaugesRead(v []float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges = v
}

func (r *recorder) finished() []finish {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]finish(nil), r.done...)
}

// workers stands in for the worker pool, from the published protocol: the test
// plays its part line by line.
type workers struct {
	t  *testing.T
	ln net.Listener
	c  net.Conn
	rd *bufio.Reader
}

func start(t *testing.T) (*Link, *recorder, *workers) {
	return startWith(t, time.Minute, time.Minute)
}

// startWith is start with limits for silence that a slow machine may meet by
// itself; only tests of them use it.
func startWith(t *testing.T, quiet, await time.Duration) (*Link, *recorder, *workers) {
	t.Helper()
	ln := standin.Listen(t)
	sink := &recorder{}
	l := New(ln.Addr().String(), sink, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l.quiet, l.await = quiet, await
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	w := &workers{t: t, ln: ln}
	t.Cleanup(func() {
		cancel()
		<-done
		if w.c != nil {
			w.c.Close()
		}
		ended := int64(0)
		for _, e := range stream.CloseReasons() {
			ended += l.Traffic.Ended[e].Load()
		}
		if ended != l.Traffic.Opened.Load() || l.Traffic.Queued.Load() != l.Traffic.Sent.Load()+l.Traffic.Dropped.Load() {
			t.Errorf("links or commands don't add up: %d opened, %d ended", l.Traffic.Opened.Load(), ended)
		}
		over := int64(0)
		for i := range l.Counters.Finished {
			over += l.Counters.Finished[i].Load()
		}
		if l.Counters.Started.Load() != over+int64(l.OpenRuns()) {
			t.Errorf("%d spawned, %d over, %d running", l.Counters.Started.Load(), over, l.OpenRuns())
		}
	})
	return l, sink, w
}

// accept takes the next link and its bind.
func (w *workers) accept(after int) {
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

func (w *workers) say(lines ...string) {
	w.t.Helper()
	if _, err := w.c.Write([]byte(strings.Join(lines, "\n") + "\n")); err != nil {
		w.t.Fatal(err)
	}
}

func (w *workers) expect(want string) {
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

// silent fails if anything is said for a moment.
func (w *workers) silent() {
	w.t.Helper()
	_ = w.c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if line, err := w.rd.ReadString('\n'); err == nil {
		w.t.Fatalf("said too early: %s", line)
	}
}

// open binds the link of the given number with nothing to replay.
func (w *workers) open(link, after int) {
	w.t.Helper()
	w.accept(after)
	w.say(`{"op":"bound","end":"hot","ms":5}`)
	w.expect(fmt.Sprintf(`{"op":"poll","tag":"r%d"}`, link))
	w.say(fmt.Sprintf(`{"op":"polled","tag":"r%d","values":[0,0]}`, link))
}

var ledger exchange.Counters

type nobody struct{}

func (nobody) Reply(uint64, exchange.Answer) {}

func request(txn string, safe bool) *exchange.Exchange {
	return exchange.New(&ledger, nobody{}, 1, exchange.Request{
		Txn: txn, ClassName: "read", Safe: safe, Body: []byte("\x00body\n\"\xff"),
	})
}

func spawnLine(txn string) string {
	return `{"op":"spawn","id":"` + txn + `","class":"read","body":"` +
		base64.StdEncoding.EncodeToString([]byte("\x00body\n\"\xff")) + `"}`
}

// The id, class and body go as they came, the result comes back unchanged, and
// every end of a run is told as what it is.
func TestRuns(t *testing.T) {
	l, sink, w := start(t)
	w.accept(0)
	w.say(`{"op":"bound","end":"chilly","ms":1234.5}`)
	w.expect(`{"op":"poll","tag":"r1"}`)
	a := request("a", true)
	l.StartRun(a) // waits for the replay to end
	w.silent()
	w.say(`{"op":"polled","tag":"r1","values":[0.5,3,0.1,7]}`)
	w.expect(spawnLine("a"))
	if len(sink.bound) != 1 || !sink.bound[0] || sink.since != 1234500*time.Microsecond {
		t.Errorf("bound %v since %v", sink.bound, sink.since)
	}
	standin.Eventually(t, "gauges", func() bool { sink.mu.Lock(); defer sink.mu.Unlock(); return len(sink.gauges) == 4 })
	ends := map[string]Outcome{"b": Error, "c": Cancelled, "d": NeverStarted}
	for _, id := range []string{"b", "c", "d"} {
		l.StartRun(request(id, true))
		w.expect(spawnLine(id))
	}
	l.StopRun(a)
	l.StopRun(a) // once is enough
	w.expect(`{"op":"suspend","id":"a"}`)
	l.PollGauges()
	w.expect(`{"op":"poll","tag":"g4"}`)
	result := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("\x00\xfe", 2000)))
	w.say(`{"op":"chatter","seq":1,"end":"hello"}`,
		`{"op":"finished","seq":2,"id":"b","end":"error","ms":7}`,
		`{"op":"finished","seq":3,"id":"c","end":"cancelled","ms":8}`,
		`{"op":"finished","seq":4,"id":"d","end":"unknown","ms":0}`,
		`{"op":"finished","seq":5,"id":"a","end":"complete","ms":9.25,"body":"`+result+`"}`)
	standin.Eventually(t, "ends", func() bool { return len(sink.finished()) == 4 })
	for _, f := range sink.finished() {
		if f.x == a {
			if f.end != Complete || f.body != strings.Repeat("\x00\xfe", 2000) || f.took != 9250*time.Microsecond {
				t.Errorf("a ended as %v after %v with %d bytes", f.end, f.took, len(f.body))
			}
		} else if f.end != ends[f.x.Txn] {
			t.Errorf("%s ended as %v", f.x.Txn, f.end)
		}
	}
}

// A lost link loses no run and repeats none: what ended meanwhile is taken from
// the replay before anything is spawned, and only the rest is asked for again.
func TestLinkLost(t *testing.T) {
	l, sink, w := start(t)
	w.open(1, 0)
	a, b, c := request("a", false), request("b", true), request("c", true)
	for _, x := range []*exchange.Exchange{a, b} {
		l.StartRun(x)
		w.expect(spawnLine(x.Txn))
	}
	w.say(`{"op":"chatter","seq":1,"end":""}`)
	standin.Eventually(t, "first notice", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.last == 1 })
	w.c.Close()
	standin.Eventually(t, "loss", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return !l.ready })
	l.StartRun(c)
	d := request("d", true)
	l.StartRun(d)
	l.StopRun(d) // never sent: it ends here
	l.StopRun(b) // may run: it must be said
	w.accept(1)
	w.silent()
	w.say(`{"op":"bound","end":"hot","ms":5}`, `{"op":"finished","seq":2,"id":"a","end":"complete","ms":3,"body":"cg=="}`)
	w.expect(`{"op":"poll","tag":"r2"}`)
	w.silent()
	w.say(`{"op":"polled","tag":"r1","values":[]}`) // not the one waited for
	w.silent()
	w.say(`{"op":"polled","tag":"r2","values":[]}`)
	w.expect(spawnLine("b"))
	w.expect(`{"op":"suspend","id":"b"}`)
	w.expect(spawnLine("c"))
	w.silent()
	got := sink.finished()
	if len(got) != 2 || got[0].x != d || got[0].end != Cancelled || got[1].x != a || got[1].body != "r" {
		t.Errorf("ended: %+v", got)
	}
	if l.Counters.Links.Load() != 2 || l.Counters.Restarted.Load() != 1 {
		t.Errorf("%d links, %d runs asked for again", l.Counters.Links.Load(), l.Counters.Restarted.Load())
	}
}

// A run that the worker pool is known to have heard of is not asked for again: it
// may have ended since the replay, and would run twice. What was sent in the last
// moments before the break is, whatever was heard: it may be lost all the same.
func TestHeardRunsAreNotAskedForAgain(t *testing.T) {
	l, _, w := start(t)
	w.open(1, 0)
	l.StartRun(request("a", false))
	w.expect(spawnLine("a"))
	l.StartRun(request("b", true))
	w.expect(spawnLine("b"))
	l.PollGauges()
	w.expect(`{"op":"poll","tag":"g2"}`)
	w.say(`{"op":"polled","tag":"g2","values":[0,0]}`)
	standin.Eventually(t, "word of both", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.heard == 2 })
	time.Sleep(lostTail + 50*time.Millisecond)
	l.StartRun(request("c", true))
	w.expect(spawnLine("c"))
	l.PollGauges()
	w.expect(`{"op":"poll","tag":"g3"}`)
	w.say(`{"op":"polled","tag":"g3","values":[0,0]}`)
	standin.Eventually(t, "word of c", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.heard == 3 })
	l.mu.Lock()
	for _, r := range l.runs { // as if the break came at once, however slow the test is
		if r.x.Txn == "c" {
			r.at = r.at.Add(time.Hour)
		}
	}
	l.mu.Unlock()
	w.c.Close()
	w.open(2, 0)
	w.expect(spawnLine("c"))
	w.silent()
	l.gap(1) // notices are lost: nothing is sure any more
	w.c.Close()
	w.open(3, 0)
	w.expect(spawnLine("b")) // a may not run twice and has failed
	w.expect(spawnLine("c"))
}

// Should notices be lost for good, what may have run and must not run twice
// fails, and safe work is asked for again.
func TestNoticesLost(t *testing.T) {
	l, sink, w := start(t)
	w.open(1, 0)
	a, b := request("a", false), request("b", true)
	for _, x := range []*exchange.Exchange{a, b} {
		l.StartRun(x)
		w.expect(spawnLine(x.Txn))
	}
	w.c.Close()
	w.accept(0)
	w.say(`{"op":"bound","end":"hot","ms":5}`, `{"op":"chatter","seq":4001,"end":""}`)
	w.expect(`{"op":"poll","tag":"r2"}`)
	w.say(`{"op":"polled","tag":"r2","values":[]}`)
	w.expect(spawnLine("b"))
	w.silent()
	if got := sink.finished(); len(got) != 1 || got[0].x != a || got[0].end != Error {
		t.Errorf("ended: %+v", got)
	}
}

// Nonsense from the worker pool is harmless.
func TestBadLines(t *testing.T) {
	l, sink, w := start(t)
	w.open(1, 0)
	a, b := request("a", true), request("b", true)
	l.StartRun(a)
	l.StartRun(b)
	w.expect(spawnLine("a"))
	w.expect(spawnLine("b"))
	w.say(`not JSON`, `[]`, `{}`, ``, `{"op":"sing"}`, `{"op":7}`, `{"op":"bound","end":"hot","ms":5}`,
		`{"op":"finished","seq":1,"id":"nobody","end":"complete","ms":1}`,
		`{"op":"finished","seq":1,"id":"a","end":"error","ms":1}`, // a number that was read
		`{"op":"finished","id":"a","end":"error","ms":1}`,
		`{"op":"finished","seq":2,"id":"a","end":"complete","ms":1,"body":"***"}`, // the result can't be read
		`{"op":"unknown","end":"spawn","id":"nobody"}`, `{"op":"unknown","end":"suspend","id":"a"}`,
		`{"op":"unknown","end":"spawn","id":"b"}`,
		`{"op":"finished","seq":2,"id":"a","end":"complete","ms":-5,"body":"cg=="}`)
	standin.Eventually(t, "ends", func() bool { return len(sink.finished()) == 2 })
	got := sink.finished()
	if got[0].x != b || got[0].end != NeverStarted { // not carried out: it has no run, and is no sign of work
		t.Errorf("b ended: %+v", got[0])
	}
	if got[1].x != a || got[1].end != Complete || got[1].body != "r" || got[1].took != 0 {
		t.Errorf("a ended: %+v", got[1])
	}
	if l.Counters.Links.Load() != 1 {
		t.Errorf("%d links", l.Counters.Links.Load())
	}
}

// A link that ends in any way is replaced.
func TestLinkReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(w *workers)
		want stream.CloseReason
	}{
		"closed":             {func(w *workers) { w.c.Close() }, stream.PeerClosed},
		"reset":              {func(w *workers) { w.c.(*net.TCPConn).SetLinger(0); w.c.Close() }, stream.PeerReset},
		"a line without end": {func(w *workers) { w.c.Write(make([]byte, longestLine+1)) }, stream.TooLong},
		"nothing said":       {func(*workers) {}, stream.ReadStalled},
		"half a line said":   {func(w *workers) { w.c.Write([]byte(`{"op":`)) }, stream.ReadStalled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, _, w := startWith(t, time.Second, time.Minute)
			w.open(1, 0)
			standin.Eventually(t, "link", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.ready })
			c.do(w)
			w.open(2, 0)
			if l.Traffic.Ended[c.want].Load() != 1 {
				t.Errorf("did not end by %v", c.want)
			}
		})
	}
}

// A bind that went astray is said again on a new link.
func TestBoundNeverCame(t *testing.T) {
	l, _, w := startWith(t, time.Minute, time.Second)
	w.accept(0)
	w.open(2, 0)
	standin.Eventually(t, "link", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.ready })
	if l.Traffic.Ended[stream.ReadStalled].Load() != 1 {
		t.Error("the first link did not end as stalled")
	}
}

// The worker pool may be away or come up long after the node.
func TestPoolAway(t *testing.T) {
	addr, open := standin.ClosedAddress(t)
	l := New(addr, &recorder{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	standin.Eventually(t, "tries", func() bool { return l.Traffic.Ended[stream.DialRefused].Load() >= 2 })
	w := &workers{t: t, ln: open()}
	w.open(1, 0)
	l.PollGauges()
	standin.Eventually(t, "link", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.ready })
	cancel()
	<-done
	w.c.Close()
}

// Any line at all leaves the link's books in order.
func FuzzLine(f *testing.F) {
	for _, s := range []string{
		`{"op":"finished","seq":1,"id":"a","end":"complete","ms":1,"body":"cg=="}`, `{"op":"unknown","end":"spawn","id":"a"}`,
		`{"op":"polled","tag":"r1","values":[1e308]}`, `{"op":"chatter","seq":9223372036854775807}`, `{`, `{"op":"bound","ms":1e999}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		sink := &recorder{}
		l := New("", sink, slog.New(slog.NewTextHandler(io.Discard, nil)))
		near, far := net.Pipe()
		go io.Copy(io.Discard, far)
		c := stream.New(near, &stream.Lines{Longest: longestLine}, stream.Limits{In: inLimit, Out: outLimit, StallTimeout: time.Second}, &l.Traffic, nil)
		defer func() { c.Close(); far.Close(); <-c.Done() }()
		l.conn = c
		l.StartRun(request("a", true))
		l.line(c, line)
		var n notice
		if json.Unmarshal(line, &n) != nil && len(sink.done) > 0 {
			t.Fatal("a line that can't be read ended a run")
		}
		if l.OpenRuns()+len(sink.done) != 1 {
			t.Fatalf("%d runs, %d ended", l.OpenRuns(), len(sink.done))
		}
	})
}

// Notices that come twice are part of the protocol: counted, not complained of.
func TestRepeatedNoticesAreNoComplaint(t *testing.T) {
	l, _, w := start(t)
	w.open(1, 0)
	w.say(`{"op":"chatter","seq":1,"end":""}`, `{"op":"chatter","seq":1,"end":""}`, `{"op":"sing"}`)
	standin.Eventually(t, "all lines", func() bool { return l.Counters.BadLines.Load() > 0 })
	if l.Counters.RepeatedNotices.Load() != 1 || l.Counters.BadLines.Load() != 1 {
		t.Errorf("%d repeated, %d bad", l.Counters.RepeatedNotices.Load(), l.Counters.BadLines.Load())
	}
}

func blockedLine(seq int, txn, statement string) string {
	return fmt.Sprintf(`{"op":"blocked","seq":%d,"id":%q,"body":%q}`, seq, txn, base64.StdEncoding.EncodeToString([]byte(statement)))
}

func supplyLine(txn, result string) string {
	return fmt.Sprintf(`{"op":"supply","id":%q,"body":%q}`, txn, base64.StdEncoding.EncodeToString([]byte(result)))
}

// A run that stands at a call goes on with its result, or without it. The word is said
// again where it may have been lost with its link, and not where the run has been heard of since.
func TestCallsBelow(t *testing.T) {
	l, sink, w := start(t)
	w.open(1, 0)
	a, b, c := request("a", true), request("b", false), request("c", true)
	for _, x := range []*exchange.Exchange{a, b, c} {
		l.StartRun(x)
		w.expect(spawnLine(x.Txn))
	}
	w.say(blockedLine(1, "a", "q1"), blockedLine(2, "b", "q2"), blockedLine(3, "c", "q3"), blockedLine(4, "stranger", "q"), blockedLine(2, "b", "again"))
	standin.Eventually(t, "three calls", func() bool { return len(sink.blocked()) == 3 })
	if got := strings.Join(sink.blocked(), ","); got != "a q1,b q2,c q3" {
		t.Errorf("calls %s", got)
	}
	l.ContinueWithResult(a, []byte("rows"))
	w.expect(supplyLine("a", "rows"))
	l.ContinueWithout(c)
	w.expect(`{"op":"pass","id":"c"}`)
	w.say(blockedLine(5, "a", "q4"), `{"op":"finished","seq":6,"id":"c","end":"complete","ms":1,"body":""}`)
	standin.Eventually(t, "a second call", func() bool { return len(sink.blocked()) == 4 && len(sink.finished()) == 1 })
	l.ContinueWithResult(b, nil)
	w.expect(supplyLine("b", ""))
	w.c.Close() // at once, so that it may not have read that
	w.accept(6)
	l.ContinueWithResult(c, []byte("late")) // it is over
	l.ContinueWithResult(a, []byte("more")) // waits for the replay to end
	w.say(`{"op":"bound","end":"hot","ms":5}`)
	w.expect(`{"op":"poll","tag":"r2"}`)
	w.say(`{"op":"polled","tag":"r2","values":[0,0]}`)
	for range 4 { // runs that may not have been heard of are asked for again first
		_ = w.c.SetReadDeadline(time.Now().Add(5 * time.Second))
		line, err := w.rd.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		switch line = strings.TrimSuffix(line, "\n"); line {
		case spawnLine("a"), spawnLine("b"), supplyLine("a", "more"), supplyLine("b", ""):
		default:
			t.Errorf("said %s", line)
		}
	}
	w.silent()
	l.StopRun(a)
	w.expect(`{"op":"suspend","id":"a"}`)
}

// The link breaks within a notice, at every one of its bytes. The notice comes again on
// the next link, and counts once: no result is cut, none is taken for another's, none runs twice.
func TestNoticeCutAtEveryByte(t *testing.T) {
	l, sink, w := start(t)
	w.open(1, 0)
	link := 1
	for cut, whole := 0, 1; cut < whole; cut++ {
		txn := fmt.Sprintf("%016x", cut)
		l.StartRun(request(txn, false))
		w.expect(spawnLine(txn))
		w.say(fmt.Sprintf(`{"op":"polled","tag":"g%d","values":[0,0]}`, cut+1)) // so it has been heard of
		line := fmt.Sprintf(`{"op":"finished","seq":%d,"id":%q,"end":"complete","ms":3,"body":"cm93cw=="}`, cut+1, txn)
		whole = len(line)
		standin.Eventually(t, "heard", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.heard == uint64(cut+1) })
		if _, err := w.c.Write([]byte(line[:cut])); err != nil {
			t.Fatal(err)
		}
		l.mu.Lock() // as if it had been sent long before the break
		l.runs[txn].at = time.Now().Add(-time.Hour)
		l.mu.Unlock()
		w.c.Close()
		link++
		w.accept(cut)
		w.say(`{"op":"bound","end":"hot","ms":5}`, line)
		w.expect(fmt.Sprintf(`{"op":"poll","tag":"r%d"}`, link))
		w.say(fmt.Sprintf(`{"op":"polled","tag":"r%d","values":[0,0]}`, link))
		standin.Eventually(t, "the end", func() bool { return len(sink.finished()) == cut+1 })
		if f := sink.finished()[cut]; f.x.Txn != txn || f.end != Complete || f.body != "rows" {
			t.Fatalf("cut at %d: %+v", cut, f)
		}
		standin.Eventually(t, "the link", l.isReady)
	}
	if n := l.Counters.Restarted.Load(); n != 0 {
		t.Errorf("%d runs were asked for again", n)
	}
}
