package control

import (
	"encoding/json"
	"errors"
	"maps"
	"math"
	"net/http"
	"robinmast/decide/fleet"
	"robinmast/decide/recovery"
	"robinmast/decide/shedding"
	"strings"
	"time"
)

// mostFollow bounds whose word is kept for that.
const mostFollow = 20_000

// followFor is how long a node's word on the cut it follows is shown.
const followFor = 3 * time.Second

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

// told is the answer to a report: the fleet's digest, and what was heard of the
// node's earlier lives.
type told struct {
	*shedding.Digest
	Heard *heard  `json:"heard,omitempty"`
	Room  float64 `json:"room,omitempty"` // share of the fleet's usual room that is there
}

// heard is nil in Before where nothing was heard of an earlier life.
type heard struct {
	Before *recovery.PreviousStore `json:"before,omitempty"`
}
