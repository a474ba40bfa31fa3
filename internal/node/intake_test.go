package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/internal/standin"
)

const testIntakeBytes = 64 << 10

// withdrawnRequests delivers requests with bodies of the largest size, each withdrawn at once, as one connection's
// reader does.
func (r *rig) withdrawnRequests(reader, count int) {
	for i := range count {
		x := exchange.New(&r.counters, r.stubPeers, 1, exchange.Request{
			Txn: fmt.Sprintf("%08x%08x", reader, i), Safe: true, Body: make([]byte, 2000),
		})
		r.Arrived(x)
		x.Abandon(exchange.EndedCancelled)
		r.CallerGone(x)
	}
}

// queuedBytes returns the bytes of the requests that wait for the loop.
func (r *rig) queuedBytes() (total int) {
	r.Node.mu.Lock()
	defer r.Node.mu.Unlock()
	for _, e := range r.events {
		if e.kind == requestArrived {
			total += eventOverheadBytes + len(e.x.Body)
		}
	}
	return total
}

// Guards against a node killed for memory: requests that were withdrawn at once counted against no bound while they
// waited for the loop, which clients that send without pause kept from running.
func TestRequestsThatWaitForTheLoopAreBounded(t *testing.T) {
	const readers, each = 40, 100
	r := newRigWith(t, Config{Settings: defaultSettings(), IntakeBytes: testIntakeBytes}, true)
	var delivered atomic.Int64
	var reading sync.WaitGroup
	for i := range readers {
		reading.Go(func() {
			r.withdrawnRequests(i, each)
			delivered.Add(1)
		})
	}
	most := 0
	for delivered.Load() < readers {
		most = max(most, r.queuedBytes())
		if r.intake.waits.Load() > 0 { // some reader waits: the queue is full
			r.runBatches()
		}
	}
	reading.Wait()
	r.runBatches()
	if most > testIntakeBytes {
		t.Errorf("%d bytes waited for the loop, at most %d may", most, testIntakeBytes)
	}
	if n := r.counters.Read.Load(); n != readers*each || r.queuedBytes() != 0 {
		t.Errorf("%d requests were read, %d bytes left", n, r.queuedBytes())
	}
	r.wantEmpty()
}

// While many readers wait, a request from another connection is served within a batch or two.
func TestIntakeIsFair(t *testing.T) {
	r := newRigWith(t, Config{Settings: defaultSettings(), IntakeBytes: testIntakeBytes}, true)
	var reading sync.WaitGroup
	const readers = 16 // each waits with one request: less than the intake holds
	for i := range readers {
		reading.Go(func() { r.withdrawnRequests(i, 200) })
	}
	standin.Eventually(t, "waiting readers", func() bool { return r.intake.waits.Load() >= readers })
	good := exchange.New(&r.counters, r.stubPeers, 7, exchange.Request{Txn: "good", Safe: true, MemoryKB: 1, TimeoutMs: 1e6, ArrivedUnixMs: r.unixMs()})
	before := r.intake.waits.Load()
	reading.Go(func() { r.Arrived(good) })
	standin.Eventually(t, "the request waits", func() bool { return r.intake.waits.Load() > before })
	r.runBatches() // makes room for all that wait
	standin.Eventually(t, "the request is delivered", func() bool {
		r.Node.mu.Lock()
		defer r.Node.mu.Unlock()
		for _, e := range r.events {
			if e.x == good {
				return true
			}
		}
		return false
	})
	done := make(chan struct{})
	go func() { reading.Wait(); close(done) }()
	for open := true; open; {
		select {
		case <-done:
			open = false
		default:
			r.runBatches()
		}
	}
	r.runBatches()
	r.endRun(good, pool.Complete, "r")
	r.wantAnswer(good, exchange.Served, "r")
}

// A request larger than the whole intake is delivered all the same.
func TestLargeRequestFitsIntake(t *testing.T) {
	r := newRigWith(t, Config{Settings: defaultSettings(), IntakeBytes: 1}, true)
	x := r.send(0, nil)
	r.endRun(x, pool.Complete, "r")
	r.wantAnswer(x, exchange.Served, "r")
}

// Readers that wait for the loop go on when it ends: nothing hangs at the exit.
func TestReadersGoOnWhenTheLoopEnds(t *testing.T) {
	for name, wait := range map[string]func(*rig){
		"for memory": func(r *rig) { r.withdrawnRequests(1, 100) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRigWith(t, Config{Settings: defaultSettings(), IntakeBytes: testIntakeBytes}, true)
			done := make(chan struct{})
			go func() { wait(r); close(done) }()
			select {
			case <-done:
				t.Fatal("did not wait")
			case <-time.After(20 * time.Millisecond):
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			if err := r.Run(ctx); err != nil {
				t.Fatal(err)
			}
			select {
			case <-done:
			case <-time.After(5 * time.Second):
				t.Fatal("waits though the loop has ended")
			}
		})
	}
}

// Ends of runs that no request of this process started take no memory without a result cache, which alone knows of
// earlier ones.
func TestEndsOfUnknownRunsAreNotQueued(t *testing.T) {
	r := newRig(t, defaultSettings(), true)
	for i := range 1000 {
		r.UnknownRunEnded(fmt.Sprint(i), pool.Complete, make([]byte, 4000))
	}
	if len(r.events) != 0 {
		t.Errorf("%d events queued", len(r.events))
	}
}

// A request whose connection closes while its reader waits for the loop is over before it is delivered: it does not run.
func TestRequestThatEndsBeforeItIsDelivered(t *testing.T) {
	r := newRig(t, defaultSettings(), true)
	x := exchange.New(&r.counters, r.stubPeers, 1, exchange.Request{Txn: "gone", Safe: true})
	x.Abandon(exchange.EndedCallerGone)
	r.CallerGone(x)
	r.runBatches()
	r.Arrived(x)
	r.runBatches()
	if len(r.started) != 0 {
		t.Errorf("started %v", r.started)
	}
	r.wantNoAnswer(x)
	r.wantEmpty()
}

// Each batch is reported to the server, whose readers wait for it, and is followed by another while any still waits. The
// end of the loop is reported too: nothing hangs at the exit.
func TestServerIsNotifiedOfBatches(t *testing.T) {
	r := newRig(t, defaultSettings(), true)
	for _, waiting := range []bool{true, false, true} {
		r.readersWait = waiting
		select {
		case <-r.wake:
		default:
		}
		before := r.Batch()
		r.runBatch()
		if woken := len(r.wake) == 1; woken != waiting || r.Batch() != before+1 {
			t.Errorf("readers wait %v: the loop is woken %v, batch %d after %d", waiting, woken, r.Batch(), before)
		}
	}
	r.readersWait = false
	<-r.wake
	r.RequestBatch()
	if len(r.wake) != 1 {
		t.Error("a reader that waits does not wake the loop")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := r.Run(ctx); err != nil || !r.batchesEnded {
		t.Errorf("the end of the loop is not reported: %v", err)
	}
}
