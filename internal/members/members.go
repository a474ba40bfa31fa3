// Package members sends a node's reports to the membership service and to the control
// service: one at a fixed interval, and one at once when the phase changes. It never
// blocks its callers: whatever the service does, only reports are lost. A Reporter is safe
// for concurrent use; its Run is one goroutine.
package members

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"robinmast/decide/backoff"
	"robinmast/internal/stream"
)

// Times and limits of the reports. The membership service drops a node 3 s after its last
// report, so that two reports in a row may fail.
const (
	reportInterval = 700 * time.Millisecond // between the starts of two reports
	reportTimeout  = 900 * time.Millisecond // for a report and its answer
	backoffMin     = 50 * time.Millisecond  // wait after a failed report
	backoffMax     = reportInterval         // the same after many in a row
	logInterval    = 5 * time.Second        // between log lines while reports fail

	// All nodes lose a control service at the same moment: they reconnect spread over
	// controlMaxWait, and each makes at most controlBudget tries per controlWindow. A
	// control service that restarted drops no node within its first 3 s.
	controlMaxWait = 2800 * time.Millisecond
	controlWindow  = 10 * time.Second
	controlBudget  = 16

	lingerTimeout = 100 * time.Millisecond // for the service to close its side
	bufferBytes   = 8 << 10                // a report, or one read of an answer
)

// Reporter sends one node's reports to one service.
type Reporter struct {
	Sent   atomic.Int64 // reports that were accepted
	Failed atomic.Int64 // reports that were not

	Traffic stream.Traffic

	// OnAnswer, if set before Run, receives the body of each answer with status 200, and
	// when its report was made. It must not block.
	OnAnswer func(sent time.Time, body []byte)

	scheme       string
	name         string        // the node's name
	service      string        // the service's name for the log
	path         string        // URL path before the node's name
	body         func() string // makes a report of the present state
	url          atomic.Pointer[string]
	client       *http.Client
	log          *slog.Logger
	interval     time.Duration    // the constant, shorter in tests
	retryBackoff *backoff.Backoff // after failures, nil = doubling waits
	outOfService atomic.Bool      // the phase is OUT
	reportNow    chan struct{}    // signalled to report at once
}

// New returns a reporter to the membership service at addr for the node called name. It
// reports the phase UP or OUT.
func New(addr, name string, log *slog.Logger) *Reporter {
	r := newReporter(addr, name, "/members/", "membership service", log)
	r.body = func() string {
		if r.outOfService.Load() {
			return `{"phase":"OUT"}`
		}
		return `{"phase":"UP"}`
	}
	return r
}

// UseBackoff makes tries after a failure wait for random times within a budget, since all
// nodes lose the service at the same moment. It must be called before Run.
func (r *Reporter) UseBackoff(rnd *rand.Rand) {
	r.retryBackoff = backoff.New(backoff.Settings{
		MinWait: backoffMin, InitialSpan: 2 * backoffMin, MaxSpan: backoffMax, Window: controlWindow, Budget: 24,
	}, rnd)
}

// NewControl returns a reporter to the control service at addr for the node called name. body
// returns the JSON of a report and must not block. With tlsConfig the reports are sent over TLS.
func NewControl(addr, name string, tlsConfig *tls.Config, body func() string, log *slog.Logger) *Reporter {
	r := newReporter(addr, name, "/nodes/", "control service", log)
	r.body = body
	r.retryBackoff = backoff.New(backoff.Settings{
		MinWait: backoffMin, InitialSpan: 2 * backoffMin, MaxSpan: controlMaxWait, Window: controlWindow, Budget: controlBudget,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if tlsConfig != nil {
		r.scheme = "https://"
		r.client.Transport.(*http.Transport).TLSClientConfig = tlsConfig
		r.setURL(addr)
	}
	return r
}

// newReporter returns a reporter without a body.
func newReporter(addr, name, path, service string, log *slog.Logger) *Reporter {
	r := &Reporter{
		scheme: "http://", name: name, path: path, service: service, interval: reportInterval, log: log, reportNow: make(chan struct{}, 1),
	}
	r.setURL(addr)
	r.client = &http.Client{Timeout: reportTimeout, Transport: &http.Transport{
		Proxy: nil, DialContext: r.dial, DisableCompression: true,
		MaxIdleConns: 1, MaxConnsPerHost: 2, IdleConnTimeout: 30 * time.Second,
	}}
	return r
}

// setURL sets the URL of the reports; it reports whether that changed.
func (r *Reporter) setURL(addr string) (changed bool) {
	u := r.scheme + addr + r.path + url.PathEscape(r.name)
	old := r.url.Swap(&u)
	return old == nil || *old != u
}

// ChangeAddress sends the reports to another address, starting with one at once. A report
// in flight ends where it started.
func (r *Reporter) ChangeAddress(addr string) {
	if !r.setURL(addr) {
		return
	}
	r.client.CloseIdleConnections()
	r.triggerReport()
}

// triggerReport makes Run send a report at once.
func (r *Reporter) triggerReport() {
	select {
	case r.reportNow <- struct{}{}:
	default:
	}
}

// dial opens a connection that is wrapped by package stream, which counts it in Traffic.
func (r *Reporter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := (&net.Dialer{Timeout: reportTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		r.Traffic.CountFailedDial(err)
		return nil, err
	}
	return stream.New(raw, stream.Bytes{}, stream.Limits{
		ReadBufferBytes: bufferBytes, WriteBufferBytes: bufferBytes, StallTimeout: reportTimeout, Linger: lingerTimeout,
	}, &r.Traffic, nil), nil
}

// ReportNow makes Run send a report at once; it does not wait for it.
func (r *Reporter) ReportNow() { r.triggerReport() }

// SetServing sets the phase, UP or OUT, and reports it at once if it changed.
func (r *Reporter) SetServing(up bool) {
	if r.outOfService.Swap(!up) == up {
		r.triggerReport()
	}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	defer r.client.CloseIdleConnections()
	wait, failing, start := backoffMin, false, time.Now()
	var logged time.Time
	for ctx.Err() == nil {
		began := time.Now()
		if r.retryBackoff != nil && failing {
			r.retryBackoff.AttemptStarted(began.Sub(start))
		}
		err := r.report(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := r.interval - time.Since(began)
		if err != nil {
			r.Failed.Add(1)
			if !failing || time.Since(logged) > logInterval {
				level, message := slog.LevelWarn, "report to the "+r.service+" failed"
				var ne net.Error
				if errors.As(err, &ne) && ne.Timeout() { // the service may have accepted it all the same
					level, message = slog.LevelInfo, "report to the "+r.service+" was not answered"
				}
				r.log.Log(ctx, level, message, "err", err, "failed", r.Failed.Load())
				logged = time.Now()
			}
			pause, wait = wait, min(2*wait, backoffMax)
			if r.retryBackoff != nil {
				pause = r.retryBackoff.Failed(time.Since(start))
			}
		} else {
			if r.retryBackoff != nil {
				r.retryBackoff.Succeeded()
			}
			r.Sent.Add(1)
			if failing {
				r.log.Info("reports to the " + r.service + " are accepted again")
			}
			wait = backoffMin
		}
		failing = err != nil
		select {
		case <-ctx.Done():
		case <-r.reportNow:
		case <-time.After(max(pause, 0)):
		}
	}
}

// report sends one report and waits for the answer. Any status but 204, or 200 if OnAnswer is
// set, is an error.
func (r *Reporter) report(ctx context.Context) error {
	sent := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, *r.url.Load(), strings.NewReader(r.body()))
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, 4<<10))
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if res.StatusCode == http.StatusOK && r.OnAnswer != nil {
		r.OnAnswer(sent, body)
		return nil
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("report: status %s", res.Status)
	}
	return nil
}
