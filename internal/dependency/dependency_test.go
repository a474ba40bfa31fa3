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

// database answers each request on its connections as answer says; no bytes and no
// error keep it waiting, an error resets the connection.
func database(t *testing.T, answer func(q *http.Request, statement string) (text string, reset bool)) string {
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

type result struct {
	o    rules.Outcome
	text string
	took time.Duration
}

func client(t *testing.T, addr string) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return New(ctx, addr, 4, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func (c *Client) ask(timeout time.Duration) (chan result, func()) {
	got := make(chan result, 2)
	cancel := c.Call("f00d", []byte("a\x00b"), timeout, func(o rules.Outcome, text []byte, took time.Duration) {
		got <- result{o, string(text), took}
	})
	return got, cancel
}

const well = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows"

// Whatever the other side does, a call has one outcome, and only what it says in
// full counts as a result.
func TestOutcomes(t *testing.T) {
	status := func(line, header string) string {
		return "HTTP/1.1 " + line + "\r\n" + header + "Content-Length: 0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		text  string
		reset bool
		want  rules.Outcome
	}{
		"rows":          {well, false, rules.OK},
		"never started": {status("503 Full", "Never-Started: 1\r\n"), false, rules.CallRejected},
		"busy":          {status("503 Full", ""), false, rules.Failed},
		"fails":         {status("500 No", ""), false, rules.Failed},
		"gave up":       {status("504 Late", ""), false, rules.TimedOut},
		"hangs":         {"", false, rules.TimedOut},
		"half, hangs":   {well[:20], false, rules.TimedOut},
		"resets":        {"", true, rules.ConnectionReset},
		"without end":   {"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000), false, rules.Failed},
		"babbles":       {strings.Repeat("x", 1<<20), true, rules.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seen := make(chan string, 1)
			cl := client(t, database(t, func(q *http.Request, statement string) (string, bool) {
				seen <- fmt.Sprintf("%s %s %s %s %q", q.Method, q.URL.Path, q.Header.Get(refHeader), q.Header.Get(timeHeader), statement)
				return c.text, c.reset
			}))
			got, _ := cl.ask(1500 * time.Millisecond)
			r := <-got
			if r.o != c.want || (r.text != "rows") != (c.want != rules.OK) {
				t.Errorf("outcome %d with %.20q, want %d", r.o, r.text, c.want)
			}
			if r.took > 8*time.Second {
				t.Errorf("took %v", r.took)
			}
			if s := <-seen; s != `POST /v1/exec f00d 1500 "a\x00b"` {
				t.Errorf("sent %s", s)
			}
			if n := cl.Ended[c.want].Load(); n != 1 || cl.Calls.Load() != 1 {
				t.Errorf("counted %d times", n)
			}
		})
	}
}

// An answer that breaks off, at whatever byte, is no result, and the next call is none the worse.
func TestAnswerCutAtEveryByte(t *testing.T) {
	var at atomic.Int64
	cl := client(t, database(t, func(*http.Request, string) (string, bool) { return well[:at.Load()], int(at.Load()) < len(well) }))
	for cut := range well {
		at.Store(int64(cut))
		got, _ := cl.ask(5 * time.Second)
		if r := <-got; r.o != rules.ConnectionReset {
			t.Errorf("cut at %d: outcome %d with %q", cut, r.o, r.text)
		}
	}
	at.Store(int64(len(well)))
	got, _ := cl.ask(5 * time.Second)
	if r := <-got; r.o != rules.OK || r.text != "rows" {
		t.Errorf("whole: %+v", r)
	}
}

// A call that nobody waits for any more ends at once and is not told of; nothing is
// known to have begun where nobody listens; another address counts from the next call on.
func TestGivenUpAwayAndMoved(t *testing.T) {
	asked := make(chan bool, 1)
	cl := client(t, database(t, func(*http.Request, string) (string, bool) { asked <- true; return "", false }))
	got, cancel := cl.ask(time.Minute)
	<-asked
	cancel()
	standin.Eventually(t, "the end of the call", func() bool { return cl.Ended[rules.Cancelled].Load() == 1 })
	if len(got) != 0 {
		t.Errorf("told of: %+v", <-got)
	}
	addr, open := standin.ClosedAddress(t)
	cl.ChangeAddress(addr)
	got, _ = cl.ask(5 * time.Second)
	if r := <-got; r.o != rules.ConnectFailed {
		t.Errorf("away: %+v", r)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "rows") })}
	go srv.Serve(open())
	defer srv.Close()
	got, _ = cl.ask(5 * time.Second)
	if r := <-got; r.o != rules.OK || r.text != "rows" {
		t.Errorf("there again: %+v", r)
	}
}
