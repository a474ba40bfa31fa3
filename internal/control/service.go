// This file owns the service's one loop: it feeds decide/fleet, publishes its
// views and saves them. It must never wait for a proxy or for whoever reports.

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
	tick      = 100 * time.Millisecond
	saveEvery = time.Second
	savedKey  = "fleet"
	queueSize = 8192    // reports that may wait for the loop; more are dropped and counted
	mostBody  = 4 << 10 // bytes of a report
)

// Config is what a Service needs.
type Config struct {
	Store *store.Store // nil = nothing outlives the service
	Log   *slog.Logger
	// May says whether the caller of an HTTP request may report for a name; nil = anybody.
	May func(r *http.Request, name string) bool
}

// Service is the control service without its listeners.
type Service struct {
	Streams *Streams

	Reports, Ignored, Refused, Dropped atomic.Int64 // taken, without effect, not understood or not allowed, for want of room

	cfg   Config
	began time.Time
	queue chan event

	mu     sync.Mutex
	view   fleet.View
	digest shedding.Digest
	events []recovery.Event
	past   []fleet.Change
	kept   fleet.Change                  // the last that was stored
	room   float64                       // share of the fleet's usual that is there, 0 = not known
	seen   *recovery.IncarnationRegistry // guarded by mu: answers are given while reports wait for the loop
	follow map[string]follower
}

// follower is what a node that thinks of the fleet said last.
type follower struct {
	cut, trust float64
	ask        bool
	at         time.Duration
}

type event struct {
	report *fleet.Report
	word   *shedding.LoadReport // of the node that reports
	back   *recovery.NodeReport // the same, of its way to full service
	load   *fleet.ProxyLoad
}

// New returns a service; Run runs it.
func New(cfg Config) *Service {
	return &Service{Streams: NewStreams(), cfg: cfg, began: time.Now(), queue: make(chan event, queueSize), follow: map[string]follower{}, seen: recovery.NewIncarnationRegistry()}
}

// View is the latest view; its times count from the service's start.
func (s *Service) View() fleet.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *Service) now() time.Duration { return time.Since(s.began) }

// restore begins with what an earlier life saved.
func (s *Service) restore() *fleet.Fleet {
	if s.cfg.Store == nil {
		return fleet.New(s.now())
	}
	text, err := s.cfg.Store.Get(savedKey)
	if errors.Is(err, store.ErrNotFound) {
		return fleet.New(s.now())
	}
	var saved fleet.Saved
	if err == nil {
		err = json.Unmarshal(text, &saved)
	}
	if err == nil {
		var f *fleet.Fleet
		if f, err = fleet.Restore(s.now(), saved); err == nil {
			s.cfg.Log.Info("the last view is served, unproven", "nodes", len(saved.Nodes), "version", saved.Version)
			return f
		}
	}
	s.cfg.Log.Error("the last view can't be read: proxies wait until nodes report", "err", err)
	return fleet.New(s.now())
}

// Run serves until ctx ends. Nothing is published before the view is proven; proxies
// keep what they have.
func (s *Service) Run(ctx context.Context) {
	f := s.restore()
	w, past := s.restoreEvents()
	g := shedding.NewAggregator(uint64(time.Now().UnixMicro()))
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	published, noted, saved, unsaved := uint64(0), uint64(0), time.Time{}, false
	step := func() {
		v, lines := f.Step(s.now())
		for _, line := range lines {
			s.cfg.Log.Info("fleet", "line", line)
		}
		was := g.Last().Threshold
		d := g.Digest(s.now())
		if (was > 0) != (d.Threshold > 0) {
			s.cfg.Log.Info("fleet", "line", fmt.Sprintf("the fleet's cut is %.1f: %.0f first tries a second, %.0f drain, by %d nodes", d.Threshold, d.Demand, d.DrainRate, d.Nodes))
		}
		for _, line := range w.Step(s.now()) {
			s.cfg.Log.Info("fleet", "line", line)
			unsaved = true
		}
		changes := s.past // of this goroutine's making: nobody else writes it
		if v.Version != noted {
			noted = v.Version
			past.Record(s.now(), &v)
			changes = past.List()
		}
		s.mu.Lock()
		s.view, s.digest, s.events, s.room, s.past = v, d, w.List(), w.Capacity(), changes
		maps.DeleteFunc(s.follow, func(_ string, o follower) bool { return s.now()-o.at > followFor })
		s.mu.Unlock()
		if v.Version != published && f.Ready(s.now()) {
			published = v.Version
			s.Streams.Publish(&v)
			unsaved = true
		}
		if unsaved && time.Since(saved) > saveEvery { // the last of several changes too
			saved, unsaved = time.Now(), false
			s.save(f)
			s.saveLives()
		}
	}
	step()
	for {
		select {
		case <-ctx.Done():
			s.save(f)
			s.saveLives()
			return
		case e := <-s.queue:
			s.feed(f, g, w, e)
			for more := true; more; {
				select {
				case e := <-s.queue:
					s.feed(f, g, w, e)
				default:
					more = false
				}
			}
		case <-ticker.C:
			step()
		}
	}
}

func (s *Service) feed(f *fleet.Fleet, g *shedding.Aggregator, w *recovery.EventDetector, e event) {
	switch {
	case e.report != nil:
		s.Reports.Add(1)
		if !f.Report(s.now(), *e.report) {
			s.Ignored.Add(1)
		}
		if e.back != nil {
			w.Observe(s.now(), *e.back)
		}
		if e.word != nil {
			g.Observe(s.now(), e.report.Name, e.report.Incarnation, e.report.Seq, *e.word)
		}
	case e.load != nil:
		f.ObserveLoad(s.now(), *e.load)
	}
}

// save stores the view, at a pace: what was published since is published anew
// under a higher version.
func (s *Service) save(f *fleet.Fleet) {
	if s.cfg.Store == nil {
		return
	}
	text, err := json.Marshal(f.Save(s.now()))
	if err != nil {
		s.cfg.Log.Error("view not saved", "err", err)
		return
	}
	var b store.Batch
	b.Put(savedKey, text, 0)
	s.cfg.Store.ApplyAsync(&b, store.Soon, func(err error) {
		if err != nil {
			s.cfg.Log.Error("view not saved", "err", err)
		}
	})
}

// enqueue hands an event to the loop, and drops it rather than wait.
func (s *Service) enqueue(e event) bool {
	select {
	case s.queue <- e:
		return true
	default:
		s.Dropped.Add(1)
		return false
	}
}

// Saw takes what a proxy saw of a node.
func (s *Service) Saw(l fleet.ProxyLoad) { s.enqueue(event{load: &l}) }
