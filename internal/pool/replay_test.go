package pool

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/standin"
	"robinmast/internal/standin/platform"
	"robinmast/internal/stream"
)

// replay accepts the next link, replays lines on it and answers the poll that ends the replay.
func (w *stubPool) replay(link, after int, lines ...string) {
	w.t.Helper()
	w.accept(after)
	w.send(append([]string{`{"op":"bound","end":"hot","ms":5}`}, lines...)...)
	w.expect(fmt.Sprintf(`{"op":"poll","tag":"r%d"}`, link))
	w.send(fmt.Sprintf(`{"op":"polled","tag":"r%d","values":[0,0]}`, link))
}

func finishedLine(seq int, txn, end string) string {
	return fmt.Sprintf(`{"op":"finished","seq":%d,"id":%q,"end":%q,"ms":1,"body":""}`, seq, txn, end)
}

func suspendLine(txn string) string { return fmt.Sprintf(`{"op":"suspend","id":%q}`, txn) }

// breakWhenRead ends the link once its last notice was read.
func (w *stubPool) breakWhenRead(l *Link, seq int) {
	w.t.Helper()
	standin.Eventually(w.t, "the last notice", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.lastSeq == int64(seq) })
	w.c.Close()
	standin.Eventually(w.t, "the end of the link", func() bool { return !l.isReady() })
}

// outcomes waits until n runs have ended and returns their outcomes; none may end twice.
func outcomes(t *testing.T, sink *stubSink, n int) map[string]Outcome {
	t.Helper()
	standin.Eventually(t, "the ends", func() bool { return len(sink.endedRuns()) >= n })
	all := map[string]Outcome{}
	for _, e := range sink.endedRuns() {
		if _, twice := all[e.x.Txn]; twice {
			t.Errorf("%s ended twice", e.x.Txn)
		}
		all[e.x.Txn] = e.end
	}
	if len(all) != n {
		t.Errorf("ended: %v, want %d runs", all, n)
	}
	return all
}

// Guards against keyed and unsafe requests that run twice: after a break they were started again though the pool
// may have read the first command, and may end their run before it reads the second one.
func TestUnsafeRunsInDoubtAreNotStartedAgain(t *testing.T) {
	l, sink, w := startLink(t)
	w.bind(1, 0)
	read, doubted, withdrawn, safe := request("read", false), request("doubted", false), request("withdrawn", false), request("safe", true)
	l.StartRun(read)
	w.expect(spawnLine("read"))
	l.PollGauges()
	w.expect(`{"op":"poll","tag":"g1"}`)
	w.send(`{"op":"polled","tag":"g1","values":[0,0]}`, `{"op":"chatter","seq":1,"end":""}`)
	for _, x := range []*exchange.Exchange{doubted, withdrawn, safe} {
		l.StartRun(x)
		w.expect(spawnLine(x.Txn))
	}
	w.breakWhenRead(l, 1)
	l.StopRun(withdrawn)
	unsent := request("unsent", false)
	l.StartRun(unsent)
	w.replay(2, 1)
	w.expect(suspendLine("doubted"))
	w.expect(suspendLine("withdrawn"))
	w.expect(spawnLine("safe"))
	w.expect(spawnLine("unsent"))
	w.expectSilence()
	if got := outcomes(t, sink, 2); got["doubted"] != Error || got["withdrawn"] != Error {
		t.Errorf("ended: %v", got)
	}
	// The link breaks before the new commands are read. The end of a run that has failed changes nothing.
	w.send(finishedLine(2, "doubted", "complete"), finishedLine(3, "read", "complete"))
	w.breakWhenRead(l, 3)
	w.replay(3, 3, finishedLine(4, "withdrawn", "cancelled"), finishedLine(5, "unsent", "complete"))
	w.expect(spawnLine("safe"))
	w.expectSilence()
	w.send(finishedLine(6, "safe", "complete"))
	got := outcomes(t, sink, 5)
	if got["read"] != Complete || got["unsent"] != Complete || got["safe"] != Complete {
		t.Errorf("ended: %v", got)
	}
	if n := l.Counters.InDoubt.Load(); n != 2 || l.Counters.BadLines.Load() != 0 {
		t.Errorf("%d runs in doubt, %d bad lines", n, l.Counters.BadLines.Load())
	}
}

// Guards against a run that gets the result of one call at its next call: the command that continues a run was sent
// again after a break though the pool may have read it.
func TestResultOfCallIsNotSuppliedTwice(t *testing.T) {
	for name, c := range map[string]struct {
		safe bool
		// do acts after the break, up to the end of the run.
		do   func(l *Link, x *exchange.Exchange, w *stubPool)
		want Outcome
	}{
		"unsafe": {false, func(_ *Link, _ *exchange.Exchange, w *stubPool) {
			w.replay(2, 1)
			w.expect(suspendLine("a"))
			w.send(blockedLine(2, "a", "q2"), finishedLine(3, "a", "cancelled")) // it had gone on to its next call
		}, Error},
		"safe, stopped and started again": {true, func(l *Link, x *exchange.Exchange, w *stubPool) {
			w.replay(2, 1)
			w.expect(suspendLine("a"))
			w.send(blockedLine(2, "a", "q2")) // crosses the command
			w.send(finishedLine(3, "a", "cancelled"))
			w.expect(spawnLine("a"))
			w.send(blockedLine(4, "a", "q1"))
			standin.Eventually(w.t, "the call again", func() bool { return len(l.sink.(*stubSink).callsNeeded()) == 2 })
			l.ContinueWithResult(x, []byte("rows"))
			w.expect(supplyLine("a", "rows"))
			w.send(finishedLine(5, "a", "complete"))
		}, Complete},
		"safe, ended before it was stopped": {true, func(_ *Link, _ *exchange.Exchange, w *stubPool) {
			w.replay(2, 1)
			w.expect(suspendLine("a"))
			w.send(finishedLine(2, "a", "complete"))
		}, Complete},
		"safe, at its next call before the break": {true, func(l *Link, x *exchange.Exchange, w *stubPool) {
			w.replay(2, 1, blockedLine(2, "a", "q2"))
			w.expectSilence()
			l.ContinueWithResult(x, []byte("more"))
			w.expect(supplyLine("a", "more"))
			w.send(finishedLine(3, "a", "complete"))
		}, Complete},
		"safe, the link breaks again": {true, func(_ *Link, _ *exchange.Exchange, w *stubPool) {
			w.replay(2, 1)
			w.expect(suspendLine("a"))
			w.c.Close()
			w.replay(3, 1)
			w.expect(suspendLine("a"))
			w.c.Close()
			w.replay(4, 1, finishedLine(2, "a", "cancelled"))
			w.expect(spawnLine("a"))
			w.send(finishedLine(3, "a", "complete"))
		}, Complete},
		"safe, withdrawn while it stops": {true, func(l *Link, x *exchange.Exchange, w *stubPool) {
			w.replay(2, 1)
			w.expect(suspendLine("a"))
			l.StopRun(x)
			w.expect(suspendLine("a"))
			w.send(finishedLine(2, "a", "cancelled"))
		}, Cancelled},
		"safe, where runs can't be stopped": {true, func(_ *Link, _ *exchange.Exchange, w *stubPool) {
			w.replay(2, 1)
			w.expect(suspendLine("a"))
			w.send(`{"op":"unknown","end":"suspend","id":"a"}`)
		}, Error},
	} {
		t.Run(name, func(t *testing.T) {
			l, sink, w := startLink(t)
			w.bind(1, 0)
			x := request("a", c.safe)
			l.StartRun(x)
			w.expect(spawnLine("a"))
			w.send(blockedLine(1, "a", "q1"))
			standin.Eventually(t, "the call", func() bool { return len(sink.callsNeeded()) == 1 })
			l.ContinueWithResult(x, []byte("rows"))
			w.expect(supplyLine("a", "rows"))
			w.c.Close()
			c.do(l, x, w)
			if got := outcomes(t, sink, 1); got["a"] != c.want {
				t.Errorf("ended: %v, want %v", got, c.want)
			}
			w.expectSilence()
		})
	}
}

// Guards against runs in doubt, and so failed requests, because the worker pool's address changed: commands are held
// back until the pool has read what was sent.
func TestMoveLeavesNoRunInDoubt(t *testing.T) {
	l, sink, w := startLink(t)
	w.bind(1, 0)
	standin.Eventually(t, "the link", l.isReady)
	l.mu.Lock()
	l.settleTimeout = time.Minute // however slow the test is
	l.mu.Unlock()
	l.StartRun(request("a", false))
	w.expect(spawnLine("a"))
	next := &stubPool{t: t, ln: standin.Listen(t)}
	l.ChangeAddress(next.ln.Addr().String())
	w.expect(`{"op":"poll","tag":"m1"}`)
	l.StartRun(request("b", false))
	gone := request("gone", false)
	l.StartRun(gone)
	l.StopRun(gone) // never sent: it ends here
	l.PollGauges()
	w.expectSilence()
	w.send(`{"op":"polled","tag":"m1","values":[0,0]}`)
	next.replay(2, 0)
	next.expect(spawnLine("b"))
	next.expectSilence()
	next.send(finishedLine(1, "a", "complete"), finishedLine(2, "b", "complete"))
	if got := outcomes(t, sink, 3); got["a"] != Complete || got["b"] != Complete || got["gone"] != Cancelled {
		t.Errorf("ended: %v", got)
	}
	next.c.Close()
	w.c.Close()
}

// A link that is about to move before its replay has ended sends no command any more, which the move would leave in
// doubt.
func TestMoveDuringReplay(t *testing.T) {
	l, sink, w := startLink(t)
	w.accept(0)
	w.send(`{"op":"bound","end":"hot","ms":5}`)
	w.expect(`{"op":"poll","tag":"r1"}`)
	l.StartRun(request("a", false))
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	l.settle(t.Context(), c)
	w.send(`{"op":"polled","tag":"r1","values":[0,0]}`)
	w.expectSilence()
	w.c.Close()
	w.replay(2, 0)
	w.expect(spawnLine("a"))
	w.send(finishedLine(1, "a", "complete"))
	if got := outcomes(t, sink, 1); got["a"] != Complete {
		t.Errorf("ended: %v", got)
	}
}

// A worker pool that does not answer, or a link that breaks, does not keep a link from moving.
func TestMoveIsBounded(t *testing.T) {
	for name, do := range map[string]func(w *stubPool){
		"silence": func(*stubPool) {},
		"break":   func(w *stubPool) { w.c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			l, sink, w := startLink(t)
			w.bind(1, 0)
			l.StartRun(request("a", false))
			w.expect(spawnLine("a"))
			next := &stubPool{t: t, ln: standin.Listen(t)}
			l.ChangeAddress(next.ln.Addr().String())
			w.expect(`{"op":"poll","tag":"m1"}`)
			l.StartRun(request("b", false))
			do(w)
			next.replay(2, 0)
			next.expect(suspendLine("a"))
			next.expect(spawnLine("b"))
			next.send(finishedLine(1, "b", "complete"))
			if got := outcomes(t, sink, 2); got["a"] != Error || got["b"] != Complete {
				t.Errorf("ended: %v", got)
			}
			next.c.Close()
			w.c.Close()
		})
	}
}

// The age of a command counts up to the end of the link that it was sent on, not of one that never became ready.
func TestSafeRunsAreStartedAgainAfterTwoBreaks(t *testing.T) {
	l, _, w := startLink(t)
	w.bind(1, 0)
	l.StartRun(request("a", true))
	w.expect(spawnLine("a"))
	l.PollGauges()
	w.expect(`{"op":"poll","tag":"g1"}`)
	w.send(`{"op":"polled","tag":"g1","values":[0,0]}`, `{"op":"chatter","seq":1,"end":""}`)
	l.mu.Lock()
	l.runs["a"].sentAt = time.Now() // however slow the test is
	l.mu.Unlock()
	w.breakWhenRead(l, 1)
	w.accept(1)
	time.Sleep(2 * unreadWindow)
	w.c.Close()
	w.replay(3, 1)
	w.expect(spawnLine("a"))
}

// Under breaks at random moments no keyed or unsafe run starts twice, every run ends once, and safe ones are served.
func TestRandomBreaksStartNothingTwice(t *testing.T) {
	rnd := rand.New(rand.NewPCG(44, 1))
	workers, err := platform.StartPool(64, 0, func(platform.Run) (float64, string, []byte) {
		return 5 + 20*rand.Float64(), "complete", nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer workers.Close()
	workers.SetCommandInterval(5 * time.Millisecond)
	sink := &stubSink{}
	l := New(workers.Addr(), sink, slog.New(slog.NewTextHandler(io.Discard, nil)))
	done := sync.WaitGroup{}
	done.Go(func() { l.Run(t.Context()) })
	t.Cleanup(done.Wait)
	safe := map[string]bool{}
	nextBreak, nextPoll := time.Now().Add(100*time.Millisecond), time.Now()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		txn := fmt.Sprintf("%016x", len(safe)+1)
		safe[txn] = rnd.IntN(4) == 0
		l.StartRun(request(txn, safe[txn]))
		if time.Now().After(nextPoll) {
			l.PollGauges()
			nextPoll = time.Now().Add(25 * time.Millisecond)
		}
		if time.Now().After(nextBreak) {
			nextBreak = time.Now().Add(time.Duration(30+rnd.IntN(30)) * time.Millisecond)
			l.mu.Lock()
			c := l.conn
			l.mu.Unlock()
			if c != nil {
				c.Abort(stream.PeerReset)
			}
		}
	}
	standin.Eventually(t, "the end of all runs", func() bool { return l.OpenRuns() == 0 })
	starts, ends := workers.RunCounts(), outcomes(t, sink, len(safe))
	for txn, isSafe := range safe {
		if !isSafe && starts[txn] > 1 {
			t.Errorf("%s was started %d times", txn, starts[txn])
		}
		if isSafe && ends[txn] != Complete {
			t.Errorf("safe run %s ended as %v", txn, ends[txn])
		}
	}
	t.Logf("%d runs, %d links, %d started again, %d in doubt", len(safe), l.Counters.Links.Load(),
		l.Counters.Restarted.Load(), l.Counters.InDoubt.Load())
}

// Guards against a run that never ends for the node: a request of the name of one that failed at a break was started,
// and the notice of its end was taken for that of the failed one.
func TestStartOfAnAbandonedNameFails(t *testing.T) {
	l, sink, w := startLink(t)
	w.bind(1, 0)
	l.StartRun(request("doubted", false))
	w.expect(spawnLine("doubted"))
	w.send(`{"op":"chatter","seq":1,"end":""}`)
	w.breakWhenRead(l, 1)
	w.replay(2, 1)
	w.expect(suspendLine("doubted"))
	standin.Eventually(t, "the failure of the run in doubt", func() bool { return len(sink.endedRuns()) == 1 })
	again := request("doubted", false)
	l.StartRun(again)
	standin.Eventually(t, "the failure of the second request", func() bool { return len(sink.endedRuns()) == 2 })
	if last := sink.endedRuns()[1]; last.x != again || last.end != Error {
		t.Errorf("ended: %+v, want the second request with an error", last)
	}
	w.expectSilence()
	if n := l.OpenRuns(); n != 0 {
		t.Errorf("%d runs are open", n)
	}
}
