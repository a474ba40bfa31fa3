// This file owns what the node tells a control service of itself. It must never
// wait, and never decide anything: each report is as of when it is sent.

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

// controlReport gathers what the next report says.
type controlReport struct {
	links  []*controlLink
	ledger *exchange.Counters

	told func(since time.Time, src int, d shedding.Digest) // nil = no digest is asked for

	back  *recovery.Keeper            // nil = nothing is said of the way back
	heard func(*decide.PreviousStore) // takes what was heard of earlier lives
	room  func(since time.Time, share float64)

	mu   sync.Mutex
	is   controlMessage
	said shedding.LoadReport
	view shedding.View
	part controlWord
	stop time.Time // the drain ends, zero = it has not begun
}

// controlLink is the link to one service: it has a pace of its own, so that one that
// hangs delays no other.
type controlLink struct {
	reporter *members.Reporter
	src      int

	read, refused, again int64 // as of its last report
	at                   time.Time
	knows                bool // it said what was heard of earlier lives
}

// controlMessage is PUT /nodes/NAME of docs/control.md.
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

	Together *controlWord `json:"together,omitempty"`
	Comeback *controlBack `json:"comeback,omitempty"`
}

// controlBack is the part of a report of a node that watches its way to full service.
type controlBack struct {
	State  string                `json:"state"`
	Memory string                `json:"memory,omitempty"`
	Store  *decide.PreviousStore `json:"store,omitempty"` // that remembers its results
	Reads  float64               `json:"reads"`           // arrivals a second
	Again  float64               `json:"again"`           // share of them that are further tries
}

// controlWord is the part of a report of a node that thinks of the fleet.
type controlWord struct {
	Drain  float64            `json:"drain"`
	Short  float64            `json:"short"`
	Demand map[string]float64 `json:"demand"` // first tries a second by band of price; bands without any are left out
	Ask    bool               `json:"ask"`    // for the digest
	Cut    float64            `json:"cut"`    // that the node follows, 0 = none
	Trust  float64            `json:"trust"`  // in its digest
}

// secure is how the service is spoken to, nil for plain text. The node's pair is
// read anew for each connection, so that it may be replaced.
func secure(own config.Control) (*tls.Config, error) {
	if own.Cert == "" {
		return nil, nil
	}
	load := func() (*tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(own.Cert, own.Key)
		return &pair, err
	}
	if _, err := load(); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	text, err := os.ReadFile(own.CA)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("control: %s holds no certificate", own.CA)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: ca, ServerName: own.ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}, nil
}

func newControlReport(cfg *platform, ledger *exchange.Counters, log *slog.Logger) (*controlReport, error) {
	own := cfg.own.Control
	tlsConfig, err := secure(own)
	if err != nil {
		return nil, err
	}
	c := &controlReport{ledger: ledger, is: controlMessage{
		Addr: cmp.Or(own.Advertise, cfg.Listen), Zone: own.Zone, Incarnation: time.Now().UnixMicro(), Phase: "up", Healthy: true, Warm: 1,
	}}
	for i, addr := range own.Address {
		l := &controlLink{src: i}
		l.reporter = members.NewControl(addr, cfg.Name, tlsConfig, func() string { return c.next(l) }, log)
		l.reporter.OnAnswer = func(sent time.Time, body []byte) { c.answered(l, sent, body) }
		c.links = append(c.links, l)
	}
	return c, nil
}

// word takes what the module says of itself for the fleet; it is put into words
// when the next report is made.
func (c *controlReport) word(w shedding.LoadReport, v shedding.View) {
	c.mu.Lock()
	c.said, c.view, c.is.Together = w, v, &c.part
	c.mu.Unlock()
}

// tell puts the last word into the next report; the lock must be held.
func (c *controlReport) tell() {
	c.part = controlWord{Drain: tenth(c.said.DrainRate), Short: round(c.said.ShortageShare), Demand: map[string]float64{},
		Ask: c.told != nil, Cut: c.view.Threshold, Trust: round(c.view.Trust)}
	for i, x := range c.said.Demand {
		if x = tenth(x); x > 0 {
			c.part.Demand[strconv.Itoa(i)] = x
		}
	}
}

func tenth(x float64) float64 { return math.Round(10*x) / 10 }

// answered takes the body of an answer to a report made at the time sent: the
// fleet's digest. What can't be read is as if never told.
func (c *controlReport) answered(l *controlLink, sent time.Time, body []byte) {
	if len(body) == 0 {
		return
	}
	var d struct {
		shedding.Digest
		Heard *controlHeard `json:"heard"`
		Room  float64       `json:"room"`
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return
	}
	if c.told != nil && d.Epoch != 0 {
		c.told(sent, l.src, d.Digest)
	}
	if c.room != nil && d.Room > 0 {
		c.room(sent, d.Room)
	}
	if c.heard != nil && d.Heard != nil {
		c.mu.Lock()
		told := l.knows
		l.knows = true
		c.mu.Unlock()
		if !told { // a life's first answer tells all there is: an earlier life has ended
			c.heard(d.Heard.Before)
		}
	}
}

// controlHeard is what a control service heard of this name's earlier lives.
type controlHeard struct {
	Before *decide.PreviousStore `json:"before,omitempty"` // nil = of none
}

// remembers lets reports say what the store is and how the way back stands.
func (c *controlReport) remembers(k *recovery.Keeper, heard func(*decide.PreviousStore), room func(time.Time, float64)) {
	c.back, c.heard, c.room = k, heard, room
}

// next is the report to send now.
func (c *controlReport) next(l *controlLink) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.is.Seq++
	if c.is.Together != nil {
		c.tell()
	}
	read, refused := c.ledger.Read.Load(), c.ledger.Count(exchange.EndedRefused)
	if c.is.Refused = 0; read > l.read {
		c.is.Refused = min(max(float64(refused-l.refused)/float64(read-l.read), 0), 1)
	}
	c.lifeNow(l, read)
	l.read, l.refused = read, refused
	if !c.stop.IsZero() {
		c.is.DrainLeftMs = max(float64(time.Until(c.stop).Milliseconds()), 0)
	}
	text, err := json.Marshal(c.is)
	if err != nil { // the type has nothing that can't be encoded but figures that are none
		return "{}"
	}
	return string(text)
}

// lifeNow puts the way back into the report; the lock must be held.
func (c *controlReport) lifeNow(l *controlLink, read int64) {
	if c.back == nil {
		return
	}
	now, again := time.Now(), c.ledger.FurtherTries.Load()
	b := &controlBack{Store: c.back.Identity()}
	if v := c.back.View(); v != nil {
		b.State, b.Memory = v.State, v.Memory
	}
	if dt := now.Sub(l.at).Seconds(); !l.at.IsZero() && dt > 0 && read > l.read {
		b.Reads = tenth(float64(read-l.read) / dt)
		b.Again = round(min(float64(again-l.again)/float64(read-l.read), 1))
	}
	l.again, l.at = again, now
	c.is.Comeback = b
}

// load takes how the node stands.
func (c *controlReport) load(l node.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.is.Running, c.is.Limit, c.is.Pressure, c.is.Warm = l.Running, l.Limit, l.Pressure, l.Warm
}

// health takes what health checks are told, and reports a change at once.
func (c *controlReport) health(good bool) {
	c.mu.Lock()
	changed := c.is.Healthy != good
	if changed {
		c.is.Healthy = good
		c.is.Flips++
	}
	c.mu.Unlock()
	if changed {
		c.poke()
	}
}

// drain takes the notice to leave, and reports it at once.
func (c *controlReport) drain(left time.Duration) {
	c.mu.Lock()
	c.is.Phase, c.stop = "draining", time.Now().Add(left)
	c.mu.Unlock()
	c.poke()
}

// poke has a report sent to every service at once.
func (c *controlReport) poke() {
	for _, l := range c.links {
		l.reporter.ReportNow()
	}
}
