package dependency

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"robinmast/internal/standin"
	"robinmast/rules"
)

// stubDatabase answers each request on its connections with the text that answer returns,
// and then resets the connection if answer says so. An empty text leaves the request
// without a response.
func stubDatabase(t *testing.T, answer func(q *http.Request, statement string) (text string, reset bool)) string {
	t.Helper()
	return standin.Serve(t, func(c net.Conn) {
		for rd := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(rd)
			if err != nil {
				return
			}
			statement, _ := io.ReadAll(q.Body)
			text, reset := answer(q, string(statement))
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			if reset {
				c.(*net.TCPConn).SetLinger(0)
				return
			}
		}
	})
}

type callResult struct {
	outcome rules.Outcome
	text    string
	took    time.Duration
}

func newClient(t *testing.T, addr string) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return New(ctx, addr, 4, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func (c *Client) call(timeout time.Duration) (chan callResult, func()) {
	got := make(chan callResult, 2)
	cancel := c.Call("f00d", []byte("a\x00b"), timeout, func(o rules.Outcome, text []byte, took time.Duration) {
		got <- callResult{o, string(text), took}
	})
	return got, cancel
}

const goodResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows"

// callTimeout is longer than a busy machine is likely to stop the test's process: a call that
// times out before its request was sent would end with another outcome.
const callTimeout = 5 * time.Second

// Whatever the database does, a call has one outcome, and only a complete response counts
// as a result.
func TestCallOutcomes(t *testing.T) {
	status := func(line, header string) string {
		return "HTTP/1.1 " + line + "\r\n" + header + "Content-Length: 0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		text  string
		reset bool
		want  rules.Outcome
	}{
		"rows":          {goodResponse, false, rules.OK},
		"never started": {status("503 Full", "Never-Started: 1\r\n"), false, rules.CallRejected},
		"busy":          {status("503 Full", ""), false, rules.Failed},
		"fails":         {status("500 No", ""), false, rules.Failed},
		"timed out":     {status("504 Late", ""), false, rules.TimedOut},
		"hangs":         {"", false, rules.TimedOut},
		"half, hangs":   {goodResponse[:20], false, rules.TimedOut},
		"resets":        {"", true, rules.ConnectionReset},
		"too long":      {"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000), false, rules.Failed},
		"not HTTP":      {strings.Repeat("x", 1<<20), true, rules.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requests := make(chan string, 1)
			cl := newClient(t, stubDatabase(t, func(q *http.Request, statement string) (string, bool) {
				requests <- fmt.Sprintf("%s %s %s %s %q", q.Method, q.URL.Path, q.Header.Get(refHeader), q.Header.Get(timeoutHeader), statement)
				return c.text, c.reset
			}))
			got, _ := cl.call(callTimeout)
			r := <-got
			if r.outcome != c.want || (r.text != "rows") != (c.want != rules.OK) {
				t.Errorf("outcome %d with %.20q, want %d", r.outcome, r.text, c.want)
			}
			if r.took > 8*time.Second {
				t.Errorf("took %v", r.took)
			}
			select {
			case s := <-requests:
				if s != `POST /v1/exec f00d 5000 "a\x00b"` {
					t.Errorf("sent %s", s)
				}
			case <-time.After(time.Minute):
				t.Error("no request reached the database")
			}
			if n := cl.Ended[c.want].Load(); n != 1 || cl.Calls.Load() != 1 {
				t.Errorf("counted %d times", n)
			}
		})
	}
}

// A response that ends early, at whatever byte, is no result, and the next call succeeds.
func TestResponseCutAtEveryByte(t *testing.T) {
	var at atomic.Int64
	cl := newClient(t, stubDatabase(t, func(*http.Request, string) (string, bool) {
		return goodResponse[:at.Load()], int(at.Load()) < len(goodResponse)
	}))
	for cut := range goodResponse {
		at.Store(int64(cut))
		got, _ := cl.call(5 * time.Second)
		if r := <-got; r.outcome != rules.ConnectionReset {
			t.Errorf("cut at %d: outcome %d with %q", cut, r.outcome, r.text)
		}
	}
	at.Store(int64(len(goodResponse)))
	got, _ := cl.call(5 * time.Second)
	if r := <-got; r.outcome != rules.OK || r.text != "rows" {
		t.Errorf("whole: %+v", r)
	}
}

// A cancelled call ends at once and its callback is not called. A call to an address where
// nothing listens fails to connect. Another address applies from the next call on.
func TestCancelledUnreachableAndMoved(t *testing.T) {
	requested := make(chan bool, 1)
	cl := newClient(t, stubDatabase(t, func(*http.Request, string) (string, bool) { requested <- true; return "", false }))
	got, cancel := cl.call(time.Minute)
	<-requested
	cancel()
	standin.Eventually(t, "the end of the call", func() bool { return cl.Ended[rules.Cancelled].Load() == 1 })
	if len(got) != 0 {
		t.Errorf("callback called: %+v", <-got)
	}
	addr, open := standin.ClosedAddress(t)
	cl.ChangeAddress(addr)
	got, _ = cl.call(5 * time.Second)
	if r := <-got; r.outcome != rules.ConnectFailed {
		t.Errorf("unreachable: %+v", r)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "rows") })}
	go srv.Serve(open())
	defer srv.Close()
	got, _ = cl.call(5 * time.Second)
	if r := <-got; r.outcome != rules.OK || r.text != "rows" {
		t.Errorf("reachable again: %+v", r)
	}
}
