package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"robinmast/decide/fleet"
	"robinmast/decide/recovery"
	"robinmast/decide/shedding"
	"strconv"
	"time"
)

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

// back is the part of a report of a node that watches its way to full service.
type back struct {
	State  string                  `json:"state"`
	Memory string                  `json:"memory"`
	Store  *recovery.PreviousStore `json:"store"`
	Reads  float64                 `json:"reads"`
	Again  float64                 `json:"again"`
}

// parse makes a word of it, nil if there is none.
func (b *back) parse(r *fleet.Report) *recovery.NodeReport {
	if b == nil || r == nil {
		return nil
	}
	return &recovery.NodeReport{Name: r.Name, Zone: r.Zone, Incarnation: r.Incarnation, Leaving: r.Phase != fleet.Up,
		Warm: r.Warm, Limit: r.Limit, ArrivalRate: b.Reads, FurtherTryShare: b.Again}
}
