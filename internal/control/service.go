// Package control implements the control service. It receives the reports of the nodes over
// HTTP and the load reports of the proxies over LRS, passes them to decide/fleet, which keeps a
// view of the fleet, and publishes that view to proxies over xDS. It also aggregates the nodes'
// load into a digest (decide/shedding) and detects the loss of many nodes (decide/recovery).
//
// The package decides no node state, weight, digest or event itself, and not what a stream is
// sent either: decide/xds does that. One goroutine, Service.Run, owns the decision modules and
// receives its inputs from a bounded queue. It never waits for a proxy or for a node: an input
// is dropped if the queue is full, and each stream has goroutines of its own, one that reads and
// one that writes, so that a proxy that stops reading delays no other.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"robinmast/decide/fleet"
	"robinmast/decide/recovery"
	"robinmast/decide/shedding"
	"robinmast/internal/store"
)

const (
	stepInterval    = 100 * time.Millisecond // between steps of the decision modules
	saveInterval    = time.Second            // least time between saves of the view
	viewKey         = "fleet"                // of the saved view in the store
	maxQueuedInputs = 8192                   // inputs queued for Run; further ones are dropped and counted
	maxReportBytes  = 4 << 10                // maximum size of the body of a report
)

// Config configures a Service.
type Config struct {
	Store *store.Store // nil = no state survives a restart of the service
	Log   *slog.Logger
	// MayReport reports whether the client of an HTTP request may report for a node name; nil
	// allows every client.
	MayReport func(r *http.Request, name string) bool
}

// Service is the control service without its listeners. Its methods are safe for concurrent use.
type Service struct {
	Streams *Streams

	Reports atomic.Int64 // processed
	Ignored atomic.Int64 // processed without effect, such as those older than the last one
	Refused atomic.Int64 // malformed or not allowed
	Dropped atomic.Int64 // inputs dropped because the queue was full

	cfg    Config
	start  time.Time
	inputs chan input

	mu              sync.Mutex
	view            fleet.View
	digest          shedding.Digest
	events          []recovery.Event
	history         []fleet.Change
	lastSavedChange fleet.Change                  // the newest change that is in the store; used by Run only
	capacity        float64                       // share of the usual capacity that is available, 0 = unknown
	incarnations    *recovery.IncarnationRegistry // guarded by mu: a report is answered before Run processes it
	sheddingStates  map[string]sheddingState
}

// sheddingState is what a node with fleet-aware load shedding last reported about the digest it
// uses.
type sheddingState struct {
	threshold, digestTrust float64
	wantsDigest            bool
	reportedAt             time.Duration
}

// input is an input of Run: a report of a node, with its optional parts, or a load report of a
// proxy.
type input struct {
	report    *fleet.Report
	shedding  *shedding.LoadReport // nil = the node sent none
	recovery  *recovery.NodeReport // nil = the node sent none
	proxyLoad *fleet.ProxyLoad
}

// New returns a service that does nothing until Run is called.
func New(cfg Config) *Service {
	return &Service{
		Streams: NewStreams(), cfg: cfg, start: time.Now(), inputs: make(chan input, maxQueuedInputs),
		sheddingStates: map[string]sheddingState{}, incarnations: recovery.NewIncarnationRegistry(),
	}
}

// View returns the latest view. Its times count from the start of the service.
func (s *Service) View() fleet.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// now returns the time since the start of the service.
func (s *Service) now() time.Duration { return time.Since(s.start) }

// restore returns the fleet as a previous run of the service saved it, an empty one if there is
// none or if it is unreadable.
func (s *Service) restore() *fleet.Fleet {
	if s.cfg.Store == nil {
		return fleet.New(s.now())
	}
	saved, err := s.cfg.Store.Get(viewKey)
	if errors.Is(err, store.ErrNotFound) {
		return fleet.New(s.now())
	}
	var view fleet.Saved
	if err == nil {
		err = json.Unmarshal(saved, &view)
	}
	if err == nil {
		var restored *fleet.Fleet
		if restored, err = fleet.Restore(s.now(), view); err == nil {
			s.cfg.Log.Info("saved view restored, not confirmed by nodes yet",
				"nodes", len(view.Nodes), "version", view.Version)
			return restored
		}
	}
	s.cfg.Log.Error("saved view is unreadable: nothing is published until nodes report", "err", err)
	return fleet.New(s.now())
}

// Run processes inputs and publishes the view until ctx is done. It publishes nothing until the
// fleet is ready (fleet.Fleet.Ready); until then proxies keep the resources that they have.
func (s *Service) Run(ctx context.Context) {
	nodes := s.restore()
	detector, history := s.restoreHistory()
	aggregator := shedding.NewAggregator(uint64(time.Now().UnixMicro()))
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	publishedVersion, recordedVersion, lastSave, dirty := uint64(0), uint64(0), time.Time{}, false
	step := func() {
		view, logLines := nodes.Step(s.now())
		for _, line := range logLines {
			s.cfg.Log.Info("fleet", "line", line)
		}
		previousThreshold := aggregator.Last().Threshold
		digest := aggregator.Digest(s.now())
		if (previousThreshold > 0) != (digest.Threshold > 0) {
			s.cfg.Log.Info("fleet", "line", fmt.Sprintf(
				"the fleet's shedding threshold is %.1f: %.0f first tries per second, drain rate %.0f, from %d nodes",
				digest.Threshold, digest.Demand, digest.DrainRate, digest.Nodes))
		}
		for _, line := range detector.Step(s.now()) {
			s.cfg.Log.Info("fleet", "line", line)
			dirty = true
		}
		changes := s.history // read without the lock: only this goroutine writes it
		if view.Version != recordedVersion {
			recordedVersion = view.Version
			history.Record(s.now(), &view)
			changes = history.List()
		}
		s.mu.Lock()
		s.view, s.digest, s.history = view, digest, changes
		s.events, s.capacity = detector.List(), detector.Capacity()
		maps.DeleteFunc(s.sheddingStates, func(_ string, state sheddingState) bool {
			return s.now()-state.reportedAt > sheddingStateTTL
		})
		s.mu.Unlock()
		if view.Version != publishedVersion && nodes.Ready(s.now()) {
			publishedVersion = view.Version
			s.Streams.Publish(&view)
			dirty = true
		}
		if dirty && time.Since(lastSave) > saveInterval { // a change within the interval is saved at its end
			lastSave, dirty = time.Now(), false
			s.saveView(nodes)
			s.saveHistory()
		}
	}
	step()
	for {
		select {
		case <-ctx.Done():
			s.saveView(nodes)
			s.saveHistory()
			return
		case in := <-s.inputs:
			s.handle(nodes, aggregator, detector, in)
			for more := true; more; {
				select {
				case in := <-s.inputs:
					s.handle(nodes, aggregator, detector, in)
				default:
					more = false
				}
			}
		case <-ticker.C:
			step()
		}
	}
}

// handle passes one input to the decision modules.
func (s *Service) handle(
	nodes *fleet.Fleet, aggregator *shedding.Aggregator, detector *recovery.EventDetector, in input,
) {
	switch {
	case in.report != nil:
		s.Reports.Add(1)
		if !nodes.Report(s.now(), *in.report) {
			s.Ignored.Add(1)
		}
		if in.recovery != nil {
			detector.Observe(s.now(), *in.recovery)
		}
		if in.shedding != nil {
			aggregator.Observe(s.now(), in.report.Name, in.report.Incarnation, in.report.Seq, *in.shedding)
		}
	case in.proxyLoad != nil:
		nodes.ObserveLoad(s.now(), *in.proxyLoad)
	}
}

// saveView stores the view without waiting for the disk. Views published after the last save are
// lost with the process; the restored view is published under a higher version than they had.
func (s *Service) saveView(nodes *fleet.Fleet) {
	if s.cfg.Store == nil {
		return
	}
	view, err := json.Marshal(nodes.Save(s.now()))
	if err != nil {
		s.cfg.Log.Error("view not saved", "err", err)
		return
	}
	var batch store.Batch
	batch.Put(viewKey, view, 0)
	s.cfg.Store.ApplyAsync(&batch, store.Buffered, func(err error) {
		if err != nil {
			s.cfg.Log.Error("view not saved", "err", err)
		}
	})
}

// enqueue queues an input for Run. It drops the input and returns false if the queue is full.
func (s *Service) enqueue(in input) bool {
	select {
	case s.inputs <- in:
		return true
	default:
		s.Dropped.Add(1)
		return false
	}
}

// ObserveLoad takes what a proxy observed of a node.
func (s *Service) ObserveLoad(load fleet.ProxyLoad) { s.enqueue(input{proxyLoad: &load}) }
