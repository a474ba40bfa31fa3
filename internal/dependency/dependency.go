// Package dependency makes the downstream calls: calls to the database that all nodes
// share. Each call is one HTTP request over a bounded number of connections and has one
// outcome, whatever the other side does. The package does not decide whether a call is
// made and never retries one. A Client is safe for concurrent use.
package dependency

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"robinmast/internal/stream"
	"robinmast/rules"
)

// Path, headers and limits of the calls.
const (
	execPath           = "/v1/exec"
	refHeader          = "Request-Ref"          // the transaction name of the calling run
	timeoutHeader      = "Statement-Timeout-Ms" // how long the node waits, milliseconds
	neverStartedHeader = "Never-Started"        // in a response: the statement was not started

	dialTimeout    = time.Second
	idleTimeout    = 20 * time.Second       // of an unused connection
	lingerTimeout  = 100 * time.Millisecond // for the database to close its side
	bufferBytes    = 8 << 10                // of each ring of a connection
	maxResultBytes = 64 << 10               // a longer result fails the call
	logInterval    = 5 * time.Second        // between log lines about failed calls
)

// Client makes calls to one database.
type Client struct {
	Traffic stream.Traffic
	Calls   atomic.Int64                         // calls made
	Ended   [rules.NeverStarted + 1]atomic.Int64 // calls ended, by outcome

	url        atomic.Pointer[string]
	http       *http.Client
	log        *slog.Logger
	lastLogged atomic.Int64    // Unix time of the last log line, nanoseconds
	ctx        context.Context // ends all calls
}

// New returns a client of the database at addr that opens at most conns connections. All
// calls end with ctx.
func New(ctx context.Context, addr string, conns int, log *slog.Logger) *Client {
	c := &Client{log: log, ctx: ctx}
	c.ChangeAddress(addr)
	c.http = &http.Client{Transport: &http.Transport{
		Proxy: nil, DialContext: c.dial, DisableCompression: true,
		MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns, IdleConnTimeout: idleTimeout,
	}}
	context.AfterFunc(ctx, c.http.CloseIdleConnections)
	return c
}

// ChangeAddress sends later calls to another address; calls in flight end where they
// started.
func (c *Client) ChangeAddress(addr string) {
	u := "http://" + addr + execPath
	if old := c.url.Swap(&u); old != nil && *old != u {
		c.http.CloseIdleConnections()
	}
}

// dial opens a connection that is wrapped by package stream, which counts it in Traffic.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		c.Traffic.CountFailedDial(err)
		return nil, fmt.Errorf("dial downstream dependency: %w", err)
	}
	return stream.New(raw, stream.Bytes{}, stream.Limits{
		ReadBufferBytes: bufferBytes, WriteBufferBytes: bufferBytes, StallTimeout: stream.StallLimit, Linger: lingerTimeout,
	}, &c.Traffic, nil), nil
}

// Call makes a downstream call for the run with the transaction name ref. done is called once, by another
// goroutine, with the outcome and the result; after cancel it is not called.
func (c *Client) Call(ref string, statement []byte, timeout time.Duration,
	done func(o rules.Outcome, result []byte, took time.Duration)) (cancel func()) {
	c.Calls.Add(1)
	ctx, stop := context.WithTimeout(c.ctx, timeout)
	var finished atomic.Bool
	began := time.Now()
	go func() {
		defer stop()
		o, result, err := c.exec(ctx, ref, statement, timeout)
		if finished.Load() {
			o = rules.Cancelled
		}
		c.Ended[o].Add(1)
		if o == rules.Cancelled || finished.Swap(true) {
			return
		}
		if err != nil {
			c.logFailure(o, err)
		}
		done(o, result, time.Since(began))
	}()
	return func() {
		finished.Store(true)
		stop()
	}
}

// exec makes one HTTP request and returns its outcome, with the result if it is OK and the
// cause of a failure if there is one.
func (c *Client) exec(
	ctx context.Context, ref string, statement []byte, timeout time.Duration,
) (rules.Outcome, []byte, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, *c.url.Load(), bytes.NewReader(statement))
	if err != nil {
		return rules.ConnectFailed, nil, fmt.Errorf("downstream call: %w", err)
	}
	req.Header.Set(refHeader, ref)
	req.Header.Set(timeoutHeader, strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	res, err := c.http.Do(req)
	if err != nil {
		return failedOutcome(ctx, connected.Load()), nil, fmt.Errorf("downstream call: %w", err)
	}
	defer res.Body.Close()
	result, err := io.ReadAll(io.LimitReader(res.Body, maxResultBytes+1))
	switch {
	case err != nil:
		return failedOutcome(ctx, true), nil, fmt.Errorf("downstream call: %w", err)
	case len(result) > maxResultBytes:
		return rules.Failed, nil, errors.New("downstream call: result exceeds 64 KiB")
	case res.StatusCode == http.StatusOK:
		return rules.OK, result, nil
	case res.Header.Get(neverStartedHeader) != "":
		return rules.CallRejected, nil, nil
	case res.StatusCode == http.StatusGatewayTimeout || res.StatusCode == http.StatusRequestTimeout:
		return rules.TimedOut, nil, nil
	}
	return rules.Failed, nil, fmt.Errorf("downstream call: status %s", res.Status)
}

// failedOutcome returns the outcome of a call without a complete response.
func failedOutcome(ctx context.Context, connected bool) rules.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return rules.Cancelled
	case !connected: // so nothing of it was sent
		return rules.ConnectFailed
	case ctx.Err() != nil:
		return rules.TimedOut
	}
	return rules.ConnectionReset
}

// outcomeNames has the names of the outcomes in the log.
var outcomeNames = [...]string{
	rules.OK: "ok", rules.Failed: "failed", rules.CallRejected: "full", rules.TimedOut: "timed_out",
	rules.ConnectFailed: "connect_failed", rules.ConnectionReset: "reset", rules.Cancelled: "given_up", rules.NeverStarted: "moot",
}

// logFailure logs failed calls at a bounded rate.
func (c *Client) logFailure(o rules.Outcome, err error) {
	now, last := time.Now().UnixNano(), c.lastLogged.Load()
	if now-last < int64(logInterval) || !c.lastLogged.CompareAndSwap(last, now) {
		return
	}
	c.log.Warn("downstream calls fail", "outcome", outcomeNames[o], "err", err,
		"made", c.Calls.Load(), "well", c.Ended[rules.OK].Load())
}
