package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"time"

	"robinmast/decide/fleet"
	"robinmast/decide/recovery"
	"robinmast/decide/shedding"
)

// nodeReport is the body of PUT /nodes/NAME, a JSON object. Shares are from 0 to 1, durations in
// milliseconds; fleet.Report describes the fields.
type nodeReport struct {
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

	Shedding *sheddingReport `json:"together"`
	Recovery *recoveryReport `json:"comeback"`
}

// sheddingReport is the part of a report that a node with fleet-aware load shedding adds
// (docs/shedding.md). Rates are per second.
type sheddingReport struct {
	DrainRate     float64            `json:"drain"`
	ShortageShare float64            `json:"short"`
	Demand        map[string]float64 `json:"demand"`
	WantsDigest   bool               `json:"ask"`
	Threshold     float64            `json:"cut"`
	DigestTrust   float64            `json:"trust"`
}

// parse converts the report. Entries of Demand whose key is not the number of a priority band are
// ignored.
func (r *sheddingReport) parse() *shedding.LoadReport {
	report := &shedding.LoadReport{DrainRate: r.DrainRate, ShortageShare: r.ShortageShare}
	for name, rate := range r.Demand {
		if band, err := strconv.Atoi(name); err == nil && band >= 0 && band < shedding.PriorityBands {
			report.Demand[band] = rate
		}
	}
	return report
}

var phases = map[string]fleet.Phase{"up": fleet.Up, "draining": fleet.Draining, "out": fleet.OutOfService}

// parseReport parses the body of PUT /nodes/NAME.
func parseReport(name string, text []byte) (*fleet.Report, extensions, error) {
	var m nodeReport
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, extensions{}, err
	}
	report, err := m.report(name)
	return report, extensions{m.Shedding, m.Recovery}, err
}

// extensions are the optional parts of a report, nil if absent.
type extensions struct {
	shedding *sheddingReport
	recovery *recoveryReport
}

// report checks the values and converts them.
func (m *nodeReport) report(name string) (*fleet.Report, error) {
	phase, known := phases[m.Phase]
	host, _, err := net.SplitHostPort(m.Addr)
	switch {
	case !known:
		return nil, fmt.Errorf("phase %q is none of up, draining, out", truncate(m.Phase))
	case err != nil || net.ParseIP(host) == nil:
		return nil, fmt.Errorf("addr %q is no IP address and port", truncate(m.Addr))
	case m.Incarnation == 0 || m.Seq == 0:
		return nil, errors.New("incarnation and seq begin at 1")
	case len(m.Zone) > 128:
		return nil, errors.New("zone is longer than 128 bytes")
	}
	for field, value := range map[string]float64{"warm": m.Warm, "pressure": m.Pressure, "refused": m.Refused} {
		if !(value >= 0 && value <= 1) {
			return nil, fmt.Errorf("%s is no share of 1", field)
		}
	}
	for field, value := range map[string]float64{
		"running": m.Running, "limit": m.Limit, "drain_left_ms": m.DrainLeftMs,
	} {
		if !(value >= 0 && value <= 1e9) || math.IsNaN(value) {
			return nil, fmt.Errorf("%s is out of bounds", field)
		}
	}
	return &fleet.Report{
		Name: name, Addr: m.Addr, Zone: m.Zone, Incarnation: m.Incarnation, Seq: m.Seq, Phase: phase,
		Healthy: m.Healthy, Warm: m.Warm,
		DrainLeft: time.Duration(m.DrainLeftMs * float64(time.Millisecond)), Running: m.Running, Limit: m.Limit,
		Pressure: m.Pressure, Refused: m.Refused, Flips: m.Flips,
	}, nil
}

// parsePlainReport parses the body of PUT /members/NAME, which has the membership service's format.
func parsePlainReport(name string, text []byte) (*fleet.Report, extensions, error) {
	var m struct{ Phase, Addr, Zone string }
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, extensions{}, err
	}
	report := &fleet.Report{Name: name, Plain: true, Addr: m.Addr, Zone: truncate(m.Zone)}
	switch m.Phase {
	case "UP":
	case "OUT":
		report.Phase = fleet.OutOfService
	default:
		return nil, extensions{}, fmt.Errorf("phase %q is neither UP nor OUT", truncate(m.Phase))
	}
	return report, extensions{}, nil
}

// recoveryReport is the part of a report that a node adds if it tracks its recovery after a start.
type recoveryReport struct {
	State           string                  `json:"state"`
	Integrity       string                  `json:"memory"`
	Store           *recovery.PreviousStore `json:"store"`
	ArrivalRate     float64                 `json:"reads"`
	FurtherTryShare float64                 `json:"again"`
}

// parse combines the part with the report that it belongs to. It returns nil if either is nil.
func (r *recoveryReport) parse(report *fleet.Report) *recovery.NodeReport {
	if r == nil || report == nil {
		return nil
	}
	return &recovery.NodeReport{
		Name: report.Name, Zone: report.Zone, Incarnation: report.Incarnation, Leaving: report.Phase != fleet.Up,
		Warm: report.Warm, Limit: report.Limit, ArrivalRate: r.ArrivalRate, FurtherTryShare: r.FurtherTryShare,
	}
}
