package control

import (
	"encoding/json"
	"errors"
	"maps"
	"math"
	"net/http"
	"strings"
	"time"

	"robinmast/decide/fleet"
	"robinmast/decide/recovery"
	"robinmast/decide/shedding"
)

// maxSheddingStates limits the number of sheddingStates in memory.
const maxSheddingStates = 20_000

// sheddingStateTTL is how long a sheddingState is shown after its report.
const sheddingStateTTL = 3 * time.Second

// Handler returns the HTTP handler for reports and for operators' queries:
//
//	PUT /nodes/NAME      a node's report
//	PUT /members/NAME    a report in the membership service's format
//	GET /fleet, /events, /history, /proxies    state as JSON
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /nodes/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.handleReport(w, r, parseReport)
	})
	mux.HandleFunc("PUT /members/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.handleReport(w, r, parsePlainReport)
	})
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, _ *http.Request) {
		v := s.View()
		now := s.now()
		out := Fleet{Version: v.Version, Drop: v.Drop, Frozen: v.Frozen, Lost: v.LostZones, Nodes: []FleetNode{}}
		s.mu.Lock()
		out.Digest = s.digest
		states := maps.Clone(s.sheddingStates)
		s.mu.Unlock()
		for _, n := range v.Nodes {
			out.Nodes = append(out.Nodes, FleetNode{
				Name: n.Name, Addr: n.Addr, Zone: n.Zone, State: n.State.String(), Why: n.Reason,
				SinceS: math.Round((now-n.Since).Seconds()*10) / 10,
				Weight: n.Weight, Limit: n.Limit, Penalty: n.Penalty, Unproven: n.Unconfirmed,
				Follows: describeFollows(states, n.Name, out.Digest.Threshold),
			})
		}
		writeJSON(w, out)
	})
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.History()) })
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Events()) })
	mux.HandleFunc("GET /proxies", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Streams.Proxies())
	})
	return mux
}

// describeFollows returns whether a node applies the fleet's shedding threshold, in the words of
// FleetNode.Follows.
func describeFollows(states map[string]sheddingState, name string, threshold float64) string {
	state, known := states[name]
	switch {
	case !known:
		return ""
	case !state.wantsDigest:
		return "alone"
	case state.digestTrust <= 0:
		return "hears no digest"
	case (state.threshold > 0) != (threshold > 0):
		return "an older cut"
	}
	return "the cut"
}

// Fleet is the answer to GET /fleet: the view and the digest.
type Fleet struct {
	Version uint64      `json:"version"`
	Drop    float64     `json:"drop"`
	Frozen  bool        `json:"frozen"`
	Lost    []string    `json:"lost_zones,omitempty"`
	Nodes   []FleetNode `json:"nodes"`

	Digest shedding.Digest `json:"digest"`
}

// FleetNode is one node in Fleet.
type FleetNode struct {
	Name     string  `json:"name"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	State    string  `json:"state"` // name of the fleet.State
	Why      string  `json:"why"`
	SinceS   float64 `json:"since_s"` // seconds in this state
	Weight   int     `json:"weight"`
	Limit    float64 `json:"limit"`
	Penalty  float64 `json:"penalty"`
	Unproven bool    `json:"unproven,omitempty"`
	// Follows tells whether the node applies the fleet's shedding threshold: "the cut" (yes, or none as
	// the fleet), "an older cut" (it applies one and the fleet has none, or the reverse), "hears no
	// digest", or "alone" (it asks for no digest). The values are not compared: they change with each
	// digest, and a node reports the one before. It is empty for a node without fleet-aware load shedding.
	Follows string `json:"follows,omitempty"`
}

// recordSheddingState records what a node reported about the digest it follows, unless the node is new and
// maxSheddingStates are recorded; s.mu must be held.
func (s *Service) recordSheddingState(name string, state sheddingState) {
	if _, known := s.sheddingStates[name]; known || len(s.sheddingStates) < maxSheddingStates {
		s.sheddingStates[name] = state
	}
}

// writeJSON answers with v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client is gone
}

// handleReport reads a report and queues it for Run. It answers 200 with a reportResponse, 204 if
// that is empty, 400 with the reason if the report is malformed, 403 if the client may not report
// for this name, 413 if the report is too large, and 503 if the queue is full.
func (s *Service) handleReport(
	w http.ResponseWriter, r *http.Request, parse func(string, []byte) (*fleet.Report, extensions, error),
) {
	name := r.PathValue("name")
	if s.cfg.MayReport != nil && !s.cfg.MayReport(r, name) {
		s.Refused.Add(1)
		http.Error(w, "not allowed to report for this name", http.StatusForbidden)
		return
	}
	var text strings.Builder
	body := http.MaxBytesReader(w, r.Body, maxReportBytes)
	buffer := make([]byte, 1<<10)
	for {
		n, err := body.Read(buffer)
		text.Write(buffer[:n])
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
	report, extensions, err := parse(name, []byte(text.String()))
	if err == nil && (name == "" || len(name) > 128) {
		err = errors.New("name is empty or longer than 128 bytes")
	}
	if err != nil {
		s.Refused.Add(1)
		http.Error(w, "report: "+err.Error(), http.StatusBadRequest)
		return
	}
	in := input{report: report, recovery: extensions.recovery.parse(report)}
	loadReport := extensions.shedding
	if loadReport != nil {
		in.shedding = loadReport.parse()
	}
	if !s.enqueue(in) {
		http.Error(w, "too many reports wait", http.StatusServiceUnavailable)
		return
	}
	var response reportResponse
	s.mu.Lock()
	if loadReport != nil {
		if loadReport.WantsDigest && s.digest.Epoch != 0 {
			response.Digest = &s.digest
		}
		s.recordSheddingState(name, sheddingState{threshold: loadReport.Threshold, digestTrust: loadReport.DigestTrust,
			wantsDigest: loadReport.WantsDigest, reportedAt: s.now()})
	}
	if extensions.recovery != nil {
		response.Capacity = math.Round(100*s.capacity) / 100
	}
	if recoveryPart := extensions.recovery; recoveryPart != nil && recoveryPart.Store != nil {
		response.Previous = &previousIncarnation{
			Store: s.incarnations.Observe(name, report.Incarnation, *recoveryPart.Store),
		}
	}
	encoded, err := json.Marshal(response) // under the lock: response points to s.digest
	s.mu.Unlock()
	if response == (reportResponse{}) || err != nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded) // fails only if the client is gone
}

// reportResponse is the answer to a report: the fleet's digest for a node that asks for it, and
// for a node that reports its recovery the fleet's capacity and what the node's previous
// incarnation reported.
type reportResponse struct {
	*shedding.Digest
	Previous *previousIncarnation `json:"heard,omitempty"`
	Capacity float64              `json:"room,omitempty"` // share of the fleet's usual capacity that is available
}

// previousIncarnation has a nil Store if no earlier incarnation reported one.
type previousIncarnation struct {
	Store *recovery.PreviousStore `json:"before,omitempty"`
}
