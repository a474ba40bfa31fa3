// Package members owns the reports to the membership service: one every so
// often, and one at once when the phase changes. It must never hold up anything
// else: whatever the service does, all that is lost is a report.
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

// Mechanics of the reports. An entry lapses 3 s after the last one, so that two
// tries in a row may fail.
const (
	period     = 700 * time.Millisecond
	timeout    = 900 * time.Millisecond
	backoffMin = 50 * time.Millisecond
	backoffMax = period
	logGap     = 5 * time.Second

	// A control service that is lost is lost to all nodes at once: they come back
	// spread over controlMost, and each makes so many tries in a window at most. A
	// service that came back drops nobody sooner than 3 s.
	controlMost   = 2800 * time.Millisecond
	controlWindow = 10 * time.Second
	controlBudget = 16

	lingerTime = 100 * time.Millisecond // for the service to close its side

	ringLimit = 8 << 10 // a report, and what is read of an answer at a time
)

// Reporter reports one node's phase.
type Reporter struct {
	Sent   atomic.Int64 // reports that were taken
	Failed atomic.Int64

	Traffic stream.Traffic

	// Answered, if set before Run, takes the body of each answer that has one, and
	// when its report was made. It must not wait.
	OnAnswer func(sent time.Time, body []byte)

	scheme string
	name   string
	what   string        // the service, for lines
	path   string        // of the reports, before the name
	body   func() string // a report, as of now
	url    atomic.Pointer[string]
	client *http.Client
	log    *slog.Logger
	period time.Duration    // the constant, but in tests
	again  *backoff.Backoff // after failures, nil = as the membership service is used to
	out    atomic.Bool
	change chan struct{}
}

// New returns a reporter to the membership service at addr for the node called name.
func New(addr, name string, log *slog.Logger) *Reporter {
	r := newReporter(addr, name, "/members/", "membership service", log)
	r.body = func() string {
		if r.out.Load() {
			return `{"phase":"OUT"}`
		}
		return `{"phase":"UP"}`
	}
	return r
}

// Spread lets tries after a failure wait random times within a budget: all nodes lose
// the service at one moment. It must be called before Run.
func (r *Reporter) UseBackoff(rnd *rand.Rand) {
	r.again = backoff.New(backoff.Settings{MinWait: backoffMin, InitialSpan: 2 * backoffMin, MaxSpan: backoffMax, Window: controlWindow, Budget: 24}, rnd)
}

// NewControl returns a reporter to the control service at addr; body makes a
// report and must not wait. secure, if set, is how it is spoken to.
func NewControl(addr, name string, secure *tls.Config, body func() string, log *slog.Logger) *Reporter {
	r := newReporter(addr, name, "/nodes/", "control service", log)
	r.body = body
	r.again = backoff.New(backoff.Settings{
		MinWait: backoffMin, InitialSpan: 2 * backoffMin, MaxSpan: controlMost, Window: controlWindow, Budget: controlBudget,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if secure != nil {
		r.scheme = "https://"
		r.client.Transport.(*http.Transport).TLSClientConfig = secure
		r.point(addr)
	}
	return r
}

func newReporter(addr, name, path, what string, log *slog.Logger) *Reporter {
	r := &Reporter{
		scheme: "http://", name: name, path: path, what: what, period: period, log: log, change: make(chan struct{}, 1),
	}
	r.point(addr)
	r.client = &http.Client{Timeout: timeout, Transport: &http.Transport{
		Proxy: nil, DialContext: r.dial, DisableCompression: true,
		MaxIdleConns: 1, MaxConnsPerHost: 2, IdleConnTimeout: 30 * time.Second,
	}}
	return r
}

func (r *Reporter) point(addr string) (changed bool) {
	u := r.scheme + addr + r.path + url.PathEscape(r.name)
	old := r.url.Swap(&u)
	return old == nil || *old != u
}

// Move takes the reports to another address, beginning with one at once. A
// report that is under way ends where it began.
func (r *Reporter) ChangeAddress(addr string) {
	if !r.point(addr) {
		return
	}
	r.client.CloseIdleConnections()
	r.poke()
}

func (r *Reporter) poke() {
	select {
	case r.change <- struct{}{}:
	default:
	}
}

// dial opens a connection whose bytes pass through rings like all others.
func (r *Reporter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, network, addr)
	if err != nil {
		r.Traffic.NeverOpened(err)
		return nil, err
	}
	return stream.New(raw, stream.Bytes{}, stream.Limits{In: ringLimit, Out: ringLimit, StallTimeout: timeout, Linger: lingerTime}, &r.Traffic, nil), nil
}

// Poke has a report sent at once.
func (r *Reporter) ReportNow() { r.poke() }

// SetUp sets the phase and, if it changed, reports it at once.
func (r *Reporter) SetServing(up bool) {
	if r.out.Swap(!up) == up {
		r.poke()
	}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	defer r.client.CloseIdleConnections()
	wait, failing, start := backoffMin, false, time.Now()
	var logged time.Time
	for ctx.Err() == nil {
		began := time.Now()
		if r.again != nil && failing {
			r.again.TryStarted(began.Sub(start))
		}
		err := r.report(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := r.period - time.Since(began)
		if err != nil {
			r.Failed.Add(1)
			if !failing || time.Since(logged) > logGap {
				level, what := slog.LevelWarn, "report to the "+r.what+" failed"
				var ne net.Error
				if errors.As(err, &ne) && ne.Timeout() { // it may count all the same
					level, what = slog.LevelInfo, "report to the "+r.what+" was not answered"
				}
				r.log.Log(ctx, level, what, "err", err, "failed", r.Failed.Load())
				logged = time.Now()
			}
			pause, wait = wait, min(2*wait, backoffMax)
			if r.again != nil {
				pause = r.again.Failed(time.Since(start))
			}
		} else {
			if r.again != nil {
				r.again.Succeeded()
			}
			r.Sent.Add(1)
			if failing {
				r.log.Info("reports to the " + r.what + " are taken again")
			}
			wait = backoffMin
		}
		failing = err != nil
		select {
		case <-ctx.Done():
		case <-r.change:
		case <-time.After(max(pause, 0)):
		}
	}
}

// report sends one report and waits until it was taken.
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
