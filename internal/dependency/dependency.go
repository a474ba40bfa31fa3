// Package dependency owns the calls to what lies below a node, the database that all
// nodes share: one HTTP request each, a bounded number of connections, and one
// outcome, whatever the other side does. It must never decide whether a call is made
// or repeated, and never make one twice by itself.
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

// Mechanics of the calls.
const (
	path        = "/v1/exec"
	refHeader   = "Request-Ref"          // whose call it is
	timeHeader  = "Statement-Timeout-Ms" // for how long its caller waits
	neverHeader = "Never-Started"        // in an answer: the statement was not begun

	dialTimeout = time.Second
	idleTime    = 20 * time.Second
	lingerTime  = 100 * time.Millisecond // for the other side to close its side
	ringLimit   = 8 << 10
	mostResult  = 64 << 10 // a longer result is a failure
	logGap      = 5 * time.Second
)

// Client makes calls.
type Client struct {
	Traffic stream.Traffic
	Calls   atomic.Int64
	Ended   [rules.NeverStarted + 1]atomic.Int64 // by outcome

	url    atomic.Pointer[string]
	http   *http.Client
	log    *slog.Logger
	logged atomic.Int64
	ctx    context.Context
}

// New returns a client of the database at addr that opens so many connections at
// most. All calls end with ctx.
func New(ctx context.Context, addr string, conns int, log *slog.Logger) *Client {
	c := &Client{log: log, ctx: ctx}
	c.ChangeAddress(addr)
	c.http = &http.Client{Transport: &http.Transport{
		Proxy: nil, DialContext: c.dial, DisableCompression: true,
		MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns, IdleConnTimeout: idleTime,
	}}
	context.AfterFunc(ctx, c.http.CloseIdleConnections)
	return c
}

// Move takes later calls to another address; those out end where they began.
func (c *Client) ChangeAddress(addr string) {
	u := "http://" + addr + path
	if old := c.url.Swap(&u); old != nil && *old != u {
		c.http.CloseIdleConnections()
	}
}

// dial opens a connection whose bytes pass through rings like all others.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		c.Traffic.NeverOpened(err)
		return nil, fmt.Errorf("dial what lies below: %w", err)
	}
	return stream.New(raw, stream.Bytes{}, stream.Limits{
		In: ringLimit, Out: ringLimit, StallTimeout: stream.StallLimit, Linger: lingerTime,
	}, &c.Traffic, nil), nil
}

// Call makes the call that the run ref stands at. done is told once, by any
// goroutine, how it ended and with what; cancel gives the call up, after which done
// is not told.
func (c *Client) Call(ref string, statement []byte, timeout time.Duration, done func(o rules.Outcome, result []byte, took time.Duration)) (cancel func()) {
	c.Calls.Add(1)
	ctx, stop := context.WithTimeout(c.ctx, timeout)
	var given atomic.Bool
	began := time.Now()
	go func() {
		defer stop()
		o, result, err := c.call(ctx, ref, statement, timeout)
		if given.Load() {
			o = rules.Cancelled
		}
		c.Ended[o].Add(1)
		if o == rules.Cancelled || given.Swap(true) {
			return
		}
		if err != nil {
			c.complain(o, err)
		}
		done(o, result, time.Since(began))
	}()
	return func() {
		given.Store(true)
		stop()
	}
}

func (c *Client) call(ctx context.Context, ref string, statement []byte, timeout time.Duration) (rules.Outcome, []byte, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, *c.url.Load(), bytes.NewReader(statement))
	if err != nil {
		return rules.ConnectFailed, nil, fmt.Errorf("call below: %w", err)
	}
	req.Header.Set(refHeader, ref)
	req.Header.Set(timeHeader, strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	res, err := c.http.Do(req)
	if err != nil {
		return broken(ctx, connected.Load()), nil, fmt.Errorf("call below: %w", err)
	}
	defer res.Body.Close()
	result, err := io.ReadAll(io.LimitReader(res.Body, mostResult+1))
	switch {
	case err != nil:
		return broken(ctx, true), nil, fmt.Errorf("call below: %w", err)
	case len(result) > mostResult:
		return rules.Failed, nil, errors.New("call below: a result without an end")
	case res.StatusCode == http.StatusOK:
		return rules.OK, result, nil
	case res.Header.Get(neverHeader) != "":
		return rules.CallRejected, nil, nil
	case res.StatusCode == http.StatusGatewayTimeout || res.StatusCode == http.StatusRequestTimeout:
		return rules.TimedOut, nil, nil
	}
	return rules.Failed, nil, fmt.Errorf("call below: status %s", res.Status)
}

// broken is how a call ended that got no answer.
func broken(ctx context.Context, connected bool) rules.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return rules.Cancelled
	case !connected: // so nothing of it was said
		return rules.ConnectFailed
	case ctx.Err() != nil:
		return rules.TimedOut
	}
	return rules.ConnectionReset
}

// names are the outcomes in lines.
var names = [...]string{
	rules.OK: "ok", rules.Failed: "failed", rules.CallRejected: "full", rules.TimedOut: "timed_out",
	rules.ConnectFailed: "connect_failed", rules.ConnectionReset: "reset", rules.Cancelled: "given_up", rules.NeverStarted: "moot",
}

// complain logs failures at a bounded rate.
func (c *Client) complain(o rules.Outcome, err error) {
	now, last := time.Now().UnixNano(), c.logged.Load()
	if now-last < int64(logGap) || !c.logged.CompareAndSwap(last, now) {
		return
	}
	c.log.Warn("calls below fail", "outcome", names[o], "err", err, "made", c.Calls.Load(), "well", c.Ended[rules.OK].Load())
}
