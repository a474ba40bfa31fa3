package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// A module that is replaced while the node drains keeps the grace and the stop time that
// count from the notice: with a grace of its own it would run requests that came too late.
func TestDrainSurvivesModuleReset(t *testing.T) {
	for name, rebuild := range map[string]func(*rig){
		"after a defect": func(r *rig) { r.guard(func() { panic("defect") }) },
		"pool up late":   func(r *rig) { r.WorkerPoolUp(false, time.Hour); r.runBatches() },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, defaultSettings(), name != "pool up late")
			r.Drain(400 * time.Millisecond)
			r.runBatches()
			r.advance(120 * time.Millisecond)
			rebuild(r)
			past := r.send(0, nil)
			r.wantAnswer(past, exchange.Refused, "")
			if len(r.started) != 0 {
				t.Errorf("started %v", r.started)
			}
			r.wantEmpty()
		})
	}
}

// If the module panics, all open requests are answered and the node continues with a new
// module; the runs that continue end without a second answer.
func TestModulePanic(t *testing.T) {
	r := newRig(t, defaultSettings(), true)
	running, queued := r.send(0, nil), []*exchange.Exchange{}
	for range 3 {
		queued = append(queued, r.send(0, nil))
	}
	r.guard(func() { panic("defect") })
	for _, x := range append(queued, running) {
		r.wantAnswer(x, exchange.Failed, "")
	}
	if len(r.stopped) != 2 {
		t.Errorf("stopped %v", r.stopped)
	}
	after := r.send(0, nil)
	r.endRun(running, pool.Complete, "late")
	r.endRun(queued[0], pool.Complete, "late")
	r.wantAnswer(running, exchange.Failed, "")
	r.endRun(after, pool.Complete, "r")
	r.wantAnswer(after, exchange.Served, "r")
	if r.ModuleResets.Load() != 1 {
		t.Errorf("%d resets", r.ModuleResets.Load())
	}
	r.wantEmpty()
}

// faultyModule panics in one of its methods.
type faultyModule struct{ decisionModule }

func (faultyModule) CallerGone(time.Duration, rules.RequestID) { panic("defect") }

// A panic loses the event that caused it, not those that follow in the same batch: their
// requests were read and must be answered.
func TestModulePanicWithinABatch(t *testing.T) {
	r := newRig(t, defaultSettings(), true)
	first := r.send(0, nil)
	r.module = faultyModule{r.module}
	first.Abandon(exchange.EndedCallerGone)
	r.CallerGone(first)
	behind := exchange.New(&r.counters, r.stubPeers, 77, exchange.Request{Txn: "behind", ArrivedUnixMs: r.unixMs(), TimeoutMs: 5000, MemoryKB: 1, Safe: true})
	r.Arrived(behind)
	r.runBatches()
	if r.ModuleResets.Load() != 1 {
		t.Fatalf("%d resets", r.ModuleResets.Load())
	}
	r.endRun(first, pool.Cancelled, "")
	r.endRun(behind, pool.Complete, "r")
	r.wantAnswer(behind, exchange.Served, "r")
	r.wantNoAnswer(first)
	r.wantEmpty()
}

// The gauges are polled a little before each timer of the module.
func TestGaugesArePolledBeforeTheTimer(t *testing.T) {
	r := newRig(t, defaultSettings(), true)
	r.GaugesRead([]float64{0.5, 3})
	for r.polls < 3 {
		if r.elapsed > 2*time.Second {
			t.Fatal("gauges not polled")
		}
		r.advance(r.untilNextTimer())
		r.runBatches()
	}
	if len(r.timers) != 1 {
		t.Errorf("%d timers", len(r.timers))
	}
}

// recordingModule records what reaches the module.
type recordingModule struct {
	decisionModule
	gauges   []float64
	finished []time.Duration
	arrivals int
}

func (s *recordingModule) TimerFired(now time.Duration, token uint64, g []float64) {
	s.gauges = g
	s.decisionModule.TimerFired(now, token, g)
}

func (s *recordingModule) Arrive(now time.Duration, q rules.Request) {
	s.arrivals++
	s.decisionModule.Arrive(now, q)
}

func (s *recordingModule) FinishBatch(now time.Duration) {
	s.finished = append(s.finished, now)
	s.decisionModule.FinishBatch(now)
}

// The module's timer receives the gauges that were read last.
func TestGaugesReachTheModule(t *testing.T) {
	r := newRig(t, defaultSettings(), true)
	s := &recordingModule{decisionModule: r.module}
	r.module = s
	r.GaugesRead([]float64{0.5, 3})
	for s.gauges == nil && r.elapsed < 2*time.Second {
		r.advance(r.untilNextTimer())
		r.runBatches()
	}
	if len(s.gauges) != 2 || s.gauges[0] != 0.5 || s.gauges[1] != 3 {
		t.Errorf("gauges %v", s.gauges)
	}
}

// However fast events arrive, the module finishes one batch for all that waited, and at
// most one per batch interval.
func TestOneBatchPerInterval(t *testing.T) {
	set := defaultSettings()
	set.BatchInterval = 5 * time.Millisecond
	r := newRig(t, set, true)
	s := &recordingModule{decisionModule: r.module}
	r.module = s
	began := time.Now() // the one test on a real clock, as it measures the loop's rate
	r.clock = func() time.Duration { return r.elapsed + time.Since(began) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.loop(ctx); close(done) }()
	const requests = 200
	for i := range requests {
		r.Arrived(exchange.New(&r.counters, r.stubPeers, uint64(i+1), exchange.Request{Txn: fmt.Sprint(i), ArrivedUnixMs: r.unixMs(), Safe: true, MemoryKB: 1}))
		time.Sleep(100 * time.Microsecond)
	}
	time.Sleep(20 * time.Millisecond)
	cancel()
	<-done
	if s.arrivals != requests {
		t.Errorf("%d of %d requests reached the module", s.arrivals, requests)
	}
	for i := 1; i < len(s.finished); i++ {
		if gap := s.finished[i] - s.finished[i-1]; gap < set.BatchInterval {
			t.Fatalf("next batch after %v", gap)
		}
	}
}
