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
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
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

// message is a node's report on the wire: PUT /nodes/NAME, a JSON object. Shares
// are of 1, times milliseconds.
type message struct {
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone"`
	Incarnation uint64  `json:"incarnation"`
	Seq         uint64  `json:"seq"`
	Phase       string  `json:"phase"` // up, draining or out
	Healthy     bool    `json:"healthy"`
	Warm        float64 `json:"warm"`
	DrainLeftMs float64 `json:"drain_left_ms"`
	Running     float64 `json:"running"`
	Limit       float64 `json:"limit"`
	Pressure    float64 `json:"pressure"`
	Refused     float64 `json:"refused"`
	Flips       uint64  `json:"flips"`

	Together *word `json:"together"`
	Comeback *back `json:"comeback"`
}

// word is the part of a report of a node that thinks of the fleet (docs/shedding.md).
type word struct {
	Drain  float64            `json:"drain"`
	Short  float64            `json:"short"`
	Demand map[string]float64 `json:"demand"`
	Ask    bool               `json:"ask"`
	Cut    float64            `json:"cut"`
	Trust  float64            `json:"trust"`
}

// parse reads a word; figures that are none count as 0, bands that do not exist as none.
func (w *word) parse() *shedding.LoadReport {
	out := &shedding.LoadReport{DrainRate: w.Drain, ShortageShare: w.Short}
	for name, x := range w.Demand {
		if b, err := strconv.Atoi(name); err == nil && b >= 0 && b < shedding.PriorityBands {
			out.Demand[b] = x
		}
	}
	return out
}

// mostFollow bounds whose word is kept for that.
const mostFollow = 20_000

// followFor is how long a node's word on the cut it follows is shown.
const followFor = 3 * time.Second

var phases = map[string]fleet.Phase{"up": fleet.Up, "draining": fleet.Draining, "out": fleet.OutOfService}

// parseReport reads a node's report.
func parseReport(name string, text []byte) (*fleet.Report, parts, error) {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, parts{}, err
	}
	r, err := m.report(name)
	return r, parts{m.Together, m.Comeback}, err
}

// parts are what only some nodes' reports have.
type parts struct {
	word *word
	back *back
}

func (m *message) report(name string) (*fleet.Report, error) {
	phase, known := phases[m.Phase]
	host, _, err := net.SplitHostPort(m.Addr)
	switch {
	case !known:
		return nil, fmt.Errorf("phase %q is none of up, draining, out", clip(m.Phase))
	case err != nil || net.ParseIP(host) == nil:
		return nil, fmt.Errorf("addr %q is no IP address and port", clip(m.Addr))
	case m.Incarnation == 0 || m.Seq == 0:
		return nil, errors.New("incarnation and seq begin at 1")
	case len(m.Zone) > 128:
		return nil, errors.New("zone is longer than 128 bytes")
	}
	for what, v := range map[string]float64{"warm": m.Warm, "pressure": m.Pressure, "refused": m.Refused} {
		if !(v >= 0 && v <= 1) {
			return nil, fmt.Errorf("%s is no share of 1", what)
		}
	}
	for what, v := range map[string]float64{"running": m.Running, "limit": m.Limit, "drain_left_ms": m.DrainLeftMs} {
		if !(v >= 0 && v <= 1e9) || math.IsNaN(v) {
			return nil, fmt.Errorf("%s is out of bounds", what)
		}
	}
	return &fleet.Report{
		Name: name, Addr: m.Addr, Zone: m.Zone, Incarnation: m.Incarnation, Seq: m.Seq, Phase: phase, Healthy: m.Healthy, Warm: m.Warm,
		DrainLeft: time.Duration(m.DrainLeftMs * float64(time.Millisecond)), Running: m.Running, Limit: m.Limit,
		Pressure: m.Pressure, Refused: m.Refused, Flips: m.Flips,
	}, nil
}

// Handler serves reports and what operators ask for:
//
//	PUT /nodes/NAME      a node's report
//	PUT /members/NAME    the platform's plain one
//	GET /fleet, /events, /history, /proxies JSON
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /nodes/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.take(w, r, parseReport)
	})
	mux.HandleFunc("PUT /members/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.take(w, r, parsePlain)
	})
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, _ *http.Request) {
		v := s.View()
		now := s.now()
		out := Fleet{Version: v.Version, Drop: v.Drop, Frozen: v.Frozen, Lost: v.Lost, Nodes: []FleetNode{}}
		s.mu.Lock()
		out.Digest = s.digest
		follow := maps.Clone(s.follow)
		s.mu.Unlock()
		for _, n := range v.Nodes {
			out.Nodes = append(out.Nodes, FleetNode{
				Name: n.Name, Addr: n.Addr, Zone: n.Zone, State: n.State.String(), Why: n.Why, SinceS: math.Round((now-n.Since).Seconds()*10) / 10,
				Weight: n.Weight, Limit: n.Limit, Penalty: n.Penalty, Unproven: n.Unproven, Follows: follows(follow, n.Name, out.Digest.Threshold),
			})
		}
		answer(w, out)
	})
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.History()) })
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Events()) })
	mux.HandleFunc("GET /proxies", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Streams.Proxies()) })
	return mux
}

// follows says how a node stands to the fleet's cut.
func follows(all map[string]follower, name string, cut float64) string {
	o, known := all[name]
	switch {
	case !known:
		return ""
	case !o.ask:
		return "alone"
	case o.trust <= 0:
		return "hears no digest"
	case (o.cut > 0) != (cut > 0):
		return "an older cut"
	}
	return "the cut"
}

// Fleet is the view as JSON.
type Fleet struct {
	Version uint64      `json:"version"`
	Drop    float64     `json:"drop"`
	Frozen  bool        `json:"frozen"`
	Lost    []string    `json:"lost_zones,omitempty"`
	Nodes   []FleetNode `json:"nodes"`

	Digest shedding.Digest `json:"digest"`
}

// FleetNode is one node of it.
type FleetNode struct {
	Name     string  `json:"name"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	State    string  `json:"state"`
	Why      string  `json:"why"`
	SinceS   float64 `json:"since_s"`
	Weight   int     `json:"weight"`
	Limit    float64 `json:"limit"`
	Penalty  float64 `json:"penalty"`
	Unproven bool    `json:"unproven,omitempty"`
	Follows  string  `json:"follows,omitempty"` // "the cut", "an older cut", "hears no digest", "alone"; none = not of that kind
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // whoever asked has gone
}

// parsePlain reads the platform's report.
func parsePlain(name string, text []byte) (*fleet.Report, parts, error) {
	var m struct{ Phase, Addr, Zone string }
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, parts{}, err
	}
	r := &fleet.Report{Name: name, Plain: true, Addr: m.Addr, Zone: clip(m.Zone)}
	switch m.Phase {
	case "UP":
	case "OUT":
		r.Phase = fleet.OutOfService
	default:
		return nil, parts{}, fmt.Errorf("phase %q is neither UP nor OUT", clip(m.Phase))
	}
	return r, parts{}, nil
}

// take reads a report and answers 204, 200 with the fleet's digest where it is asked for, 400 with what is wrong, 403 or 503.
func (s *Service) take(w http.ResponseWriter, r *http.Request, parse func(string, []byte) (*fleet.Report, parts, error)) {
	name := r.PathValue("name")
	if s.cfg.May != nil && !s.cfg.May(r, name) {
		s.Refused.Add(1)
		http.Error(w, "not allowed to report for this name", http.StatusForbidden)
		return
	}
	var text strings.Builder
	body := http.MaxBytesReader(w, r.Body, mostBody)
	buf := make([]byte, 1<<10)
	for {
		n, err := body.Read(buf)
		text.Write(buf[:n])
		if err != nil {
			var large *http.MaxBytesError
			if errors.As(err, &large) {
				s.Refused.Add(1)
				http.Error(w, "report too large", http.StatusRequestEntityTooLarge)
				return
			}
			break
		}
	}
	report, more, err := parse(name, []byte(text.String()))
	if err == nil && (name == "" || len(name) > 128) {
		err = errors.New("name is empty or longer than 128 bytes")
	}
	if err != nil {
		s.Refused.Add(1)
		http.Error(w, "report: "+err.Error(), http.StatusBadRequest)
		return
	}
	e := event{report: report, back: more.back.parse(report)}
	said := more.word
	if said != nil {
		e.word = said.parse()
	}
	if !s.enqueue(e) {
		http.Error(w, "too many reports wait", http.StatusServiceUnavailable)
		return
	}
	var out told
	s.mu.Lock()
	if said != nil {
		if said.Ask && s.digest.Epoch != 0 {
			out.Digest = &s.digest
		}
		if len(s.follow) < mostFollow {
			s.follow[name] = follower{cut: said.Cut, trust: said.Trust, ask: said.Ask, at: s.now()}
		}
	}
	if more.back != nil {
		out.Room = math.Round(100*s.room) / 100
	}
	if b := more.back; b != nil && b.Store != nil {
		out.Heard = &heard{Before: s.seen.Observe(name, report.Incarnation, *b.Store)}
	}
	text2, err := json.Marshal(out) // while the digest stays as it is
	s.mu.Unlock()
	if out == (told{}) || err != nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text2) // whoever asked has gone
}
