package main

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"os"
	"strconv"
	"sync"
	"time"

	decide "robinmast/decide/recovery"
	"robinmast/decide/shedding"
	"robinmast/internal/config"
	"robinmast/internal/exchange"
	"robinmast/internal/members"
	"robinmast/internal/node"
	"robinmast/internal/recovery"
)

// controlReport collects what the node reports to the control services. A report is made when
// it is sent, from the values of that moment. The methods never block and may be called by
// any goroutine.
type controlReport struct {
	links    []*controlLink
	requests *exchange.Counters

	// Set before the reporters run, nil where the feature is off. The time since is when the
	// answered report was sent.
	receiveDigest   func(since time.Time, source int, d shedding.Digest)
	recovery        *recovery.Manager
	observePrevious func(*decide.PreviousStore) // receives what is known of previous incarnations
	fleetCapacity   func(since time.Time, share float64)

	mu         sync.Mutex
	message    controlMessage
	loadReport shedding.LoadReport
	view       shedding.View
	shedding   controlShedding // part of message
	drainEnd   time.Time       // end of the drain, zero = the node does not drain

	reportedFull bool // the return to full service was reported
}

// controlLink is the link to one control service. Each has its own reporter, so that a service
// that hangs does not delay reports to the others.
type controlLink struct {
	reporter *members.Reporter
	source   int

	read, refused, furtherTries int64     // counters at the last report
	reportedAt                  time.Time // time of the last report
	previousObserved            bool      // the service has answered what it knows of previous incarnations
}

// controlMessage is the body of PUT /nodes/NAME, see docs/control.md.
type controlMessage struct {
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone,omitempty"`
	Incarnation int64   `json:"incarnation"`
	Seq         uint64  `json:"seq"`
	Phase       string  `json:"phase"`
	Healthy     bool    `json:"healthy"`
	Warm        float64 `json:"warm"`
	DrainLeftMs float64 `json:"drain_left_ms,omitempty"`
	Running     int     `json:"running"`
	Limit       float64 `json:"limit"`
	Pressure    float64 `json:"pressure"`
	Refused     float64 `json:"refused"`
	Flips       uint64  `json:"flips"`

	Shedding *controlShedding `json:"together,omitempty"`
	Recovery *controlRecovery `json:"comeback,omitempty"`
}

// controlRecovery is the part of a report with [comeback] on.
type controlRecovery struct {
	State           string                `json:"state"`
	Integrity       string                `json:"memory,omitempty"`
	Store           *decide.PreviousStore `json:"store,omitempty"` // identity of the store that holds the results
	ArrivalRate     float64               `json:"reads"`           // requests per second
	FurtherTryShare float64               `json:"again"`           // share of the requests that are further tries
}

// controlShedding is the part of a report with [together] on.
type controlShedding struct {
	DrainRate     float64            `json:"drain"`  // queued requests that get a slot per second
	ShortageShare float64            `json:"short"`  // share of the time in which slots were short
	Demand        map[string]float64 `json:"demand"` // first tries per second by priority band; bands at 0 are left out
	WantsDigest   bool               `json:"ask"`    // the response should have the fleet digest
	Threshold     float64            `json:"cut"`    // shedding threshold that the node follows, 0 = none
	DigestTrust   float64            `json:"trust"`  // in the digest that the node follows, 0 to 1
}

// controlTLS returns the TLS configuration for the control services, nil for plain text. The
// node's certificate and key are read again for each connection, so they may be replaced.
func controlTLS(options config.Control) (*tls.Config, error) {
	if options.Cert == "" {
		return nil, nil
	}
	load := func() (*tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(options.Cert, options.Key)
		return &pair, err
	}
	if _, err := load(); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	text, err := os.ReadFile(options.CA)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("control: no certificate in %s", options.CA)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: ca, ServerName: options.ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}, nil
}

// newControlReport returns the reports to the control services of [control]; they are sent once the
// links' reporters run. The error is that of loading the certificates.
func newControlReport(cfg *platform, requests *exchange.Counters, log *slog.Logger) (*controlReport, error) {
	options := cfg.iniConfig.Control
	tlsConfig, err := controlTLS(options)
	if err != nil {
		return nil, err
	}
	c := &controlReport{requests: requests, message: controlMessage{
		Addr: cmp.Or(options.Advertise, cfg.Listen), Zone: options.Zone, Incarnation: time.Now().UnixMicro(),
		Phase: "up", Healthy: true, Warm: 1,
	}}
	for i, addr := range options.Address {
		l := &controlLink{source: i}
		l.reporter = members.NewControl(addr, cfg.Name, tlsConfig, func() string { return c.next(l) }, log)
		l.reporter.OnAnswer = func(sent time.Time, body []byte) { c.handleResponse(l, sent, body) }
		c.links = append(c.links, l)
	}
	return c, nil
}

// setShedding sets the module's load report and view of the fleet, for the next report.
func (c *controlReport) setShedding(r shedding.LoadReport, v shedding.View) {
	c.mu.Lock()
	c.loadReport, c.view, c.message.Shedding = r, v, &c.shedding
	c.mu.Unlock()
}

// fillShedding updates the shedding part of the message; c.mu must be held.
func (c *controlReport) fillShedding() {
	c.shedding = controlShedding{
		DrainRate: roundTenth(c.loadReport.DrainRate), ShortageShare: round(c.loadReport.ShortageShare),
		Demand:      map[string]float64{},
		WantsDigest: c.receiveDigest != nil, Threshold: c.view.Threshold, DigestTrust: round(c.view.Trust),
	}
	for band, rate := range c.loadReport.Demand {
		if rate = roundTenth(rate); rate > 0 {
			c.shedding.Demand[strconv.Itoa(band)] = rate
		}
	}
}

// roundTenth rounds to one decimal.
func roundTenth(x float64) float64 { return math.Round(10*x) / 10 }

// handleResponse handles the body of the response to a report that was sent at the time sent:
// the fleet digest, the fleet's capacity, and what the service knows of this node's previous
// incarnations. A body that is not valid JSON is ignored.
func (c *controlReport) handleResponse(l *controlLink, sent time.Time, body []byte) {
	if len(body) == 0 {
		return
	}
	var d struct {
		shedding.Digest
		Previous *controlPrevious `json:"heard"`
		Capacity float64          `json:"room"`
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return
	}
	if c.receiveDigest != nil && d.Epoch != 0 {
		c.receiveDigest(sent, l.source, d.Digest)
	}
	if c.fleetCapacity != nil && d.Capacity > 0 {
		c.fleetCapacity(sent, d.Capacity)
	}
	if c.observePrevious != nil && d.Previous != nil {
		c.mu.Lock()
		observed := l.previousObserved
		l.previousObserved = true
		c.mu.Unlock()
		if !observed { // the first response is complete, as previous incarnations have ended
			c.observePrevious(d.Previous.Store)
		}
	}
}

// controlPrevious is what a control service knows of previous incarnations of this node's name.
type controlPrevious struct {
	Store *decide.PreviousStore `json:"before,omitempty"` // nil = there was none
}

// useRecovery adds the recovery state to the reports, and passes on what services answer of
// previous incarnations and of the fleet's capacity. It must be called before the reporters run.
func (c *controlReport) useRecovery(
	manager *recovery.Manager, observePrevious func(*decide.PreviousStore), fleetCapacity func(time.Time, float64),
) {
	c.recovery, c.observePrevious, c.fleetCapacity = manager, observePrevious, fleetCapacity
}

// next returns the report to send now over a link.
func (c *controlReport) next(l *controlLink) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.message.Seq++
	if c.message.Shedding != nil {
		c.fillShedding()
	}
	read, refused := c.requests.Read.Load(), c.requests.Count(exchange.EndedRefused)
	if c.message.Refused = 0; read > l.read {
		c.message.Refused = min(max(float64(refused-l.refused)/float64(read-l.read), 0), 1)
	}
	c.fillRecovery(l, read)
	l.read, l.refused = read, refused
	if !c.drainEnd.IsZero() {
		c.message.DrainLeftMs = max(float64(time.Until(c.drainEnd).Milliseconds()), 0)
	}
	text, err := json.Marshal(c.message)
	if err != nil { // only a NaN or infinite number cannot be encoded
		return "{}"
	}
	return string(text)
}

// fillRecovery updates the recovery part of the message; c.mu must be held.
func (c *controlReport) fillRecovery(l *controlLink, read int64) {
	if c.recovery == nil {
		return
	}
	now, furtherTries := time.Now(), c.requests.FurtherTries.Load()
	part := &controlRecovery{Store: c.recovery.Identity()}
	if v := c.recovery.View(); v != nil {
		part.State, part.Integrity = v.State, v.Integrity
	}
	if seconds := now.Sub(l.reportedAt).Seconds(); !l.reportedAt.IsZero() && seconds > 0 && read > l.read {
		part.ArrivalRate = roundTenth(float64(read-l.read) / seconds)
		part.FurtherTryShare = round(min(float64(furtherTries-l.furtherTries)/float64(read-l.read), 1))
	}
	l.furtherTries, l.reportedAt = furtherTries, now
	c.message.Recovery = part
}

// setLoad sets the node's load, for the next report. The node's return to full service is reported at once, so that the
// end of an event is known to the tenth of a second.
func (c *controlReport) setLoad(l node.Load) {
	c.mu.Lock()
	c.message.Running, c.message.Limit, c.message.Pressure, c.message.Warm = l.Running, l.Limit, l.Pressure, l.Warm
	first := !c.reportedFull && c.inFullService()
	c.reportedFull = c.reportedFull || first
	c.mu.Unlock()
	if first {
		c.reportNow()
	}
}

// inFullService reports whether the node has returned to full service; c.mu must be held.
func (c *controlReport) inFullService() bool {
	if c.recovery == nil || c.message.Warm < 1 {
		return false
	}
	view := c.recovery.View()
	return view != nil && view.State == decide.FullService.String()
}

// setHealthy sets the result of the node's health checks, and reports a change at once.
func (c *controlReport) setHealthy(healthy bool) {
	c.mu.Lock()
	changed := c.message.Healthy != healthy
	if changed {
		c.message.Healthy = healthy
		c.message.Flips++
	}
	c.mu.Unlock()
	if changed {
		c.reportNow()
	}
}

// drain reports at once that the node drains for the time left.
func (c *controlReport) drain(left time.Duration) {
	c.mu.Lock()
	c.message.Phase, c.drainEnd = "draining", time.Now().Add(left)
	c.mu.Unlock()
	c.reportNow()
}

// reportNow sends a report to every service without waiting for the interval.
func (c *controlReport) reportNow() {
	for _, l := range c.links {
		l.reporter.ReportNow()
	}
}
