package members

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"robinmast/internal/standin"
	"robinmast/internal/stream"
)

// startReporter runs a Reporter until the end of the test, and then checks that each connection was closed.
func startReporter(t *testing.T, addr string) *Reporter {
	t.Helper()
	r := New(addr, "n3", slog.New(slog.NewTextHandler(io.Discard, nil)))
	r.interval = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		standin.Eventually(t, "every connection's end", func() bool {
			ended := int64(0)
			for _, e := range stream.CloseReasons() {
				ended += r.Traffic.Closed[e].Load()
			}
			return ended == r.Traffic.Opened.Load() && r.Traffic.QueuedBytes.Load() == 0
		})
	})
	return r
}

// Reports are sent at the interval, and one at once when the phase changes.
func TestReports(t *testing.T) {
	var mu sync.Mutex
	var got []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		mu.Lock()
		got = append(got, fmt.Sprint(q.Method, " ", q.URL.Path, " ", q.ContentLength, " ", string(body)))
		mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	r := startReporter(t, strings.TrimPrefix(srv.URL, "http://"))
	standin.Eventually(t, "three reports", func() bool { return r.Sent.Load() >= 3 })
	r.SetServing(true) // no change
	r.SetServing(false)
	standin.Eventually(t, "the change", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return got[len(got)-1] == `PUT /members/n3 15 {"phase":"OUT"}`
	})
	mu.Lock()
	defer mu.Unlock()
	if got[0] != `PUT /members/n3 14 {"phase":"UP"}` {
		t.Errorf("first report %q", got[0])
	}
}

// Whatever the service does, reports continue and are accepted once it works again, and
// setting the phase never blocks.
func TestServiceFailures(t *testing.T) {
	for name, bad := range map[string]func(net.Conn){
		"resets":     func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"closes":     func(c net.Conn) { c.Close() },
		"hangs":      func(c net.Conn) { time.Sleep(3 * time.Second); c.Close() },
		"status 500": func(c net.Conn) { io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"); c.Close() },
		"status 200": func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); c.Close() },
		"not HTTP":   func(c net.Conn) { io.WriteString(c, strings.Repeat("x", 1<<20)); c.Close() },
		"never ends": func(c net.Conn) { io.WriteString(c, "HTTP/1.1 204 No Content\r\nX: "); time.Sleep(3 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := standin.Listen(t)
			var healthy atomic.Bool
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					if !healthy.Load() {
						go bad(c)
						continue
					}
					go func() {
						buf := make([]byte, 4096)
						for {
							n, err := c.Read(buf)
							if err != nil {
								return
							}
							if strings.Contains(string(buf[:n]), `"phase"`) {
								io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
							}
						}
					}()
				}
			}()
			r := startReporter(t, ln.Addr().String())
			standin.Eventually(t, "failure", func() bool { return r.Failed.Load() >= 2 })
			began := time.Now()
			r.SetServing(false)
			r.SetServing(true)
			if d := time.Since(began); d > time.Second { // the stub hangs for 3 s
				t.Errorf("setting the phase took %v", d)
			}
			sent := r.Sent.Load()
			healthy.Store(true)
			standin.Eventually(t, "recovery", func() bool { return r.Sent.Load() > sent+1 })
		})
	}
}

// Reports to an unreachable service are tried again until it is up.
func TestServiceUnreachable(t *testing.T) {
	addr, open := standin.ClosedAddress(t)
	r := startReporter(t, addr)
	standin.Eventually(t, "refused reports", func() bool { return r.Traffic.Closed[stream.DialRefused].Load() >= 3 })
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	go srv.Serve(open())
	defer srv.Close()
	standin.Eventually(t, "a report", func() bool { return r.Sent.Load() > 0 })
}

// Two reports in a row may fail, even by timeout, before the service would drop the node.
func TestIntervalAllowsTwoFailures(t *testing.T) {
	const dropTimeout = 3 * time.Second
	if worst := reportInterval + 2*reportTimeout + backoffMin + 2*backoffMin; worst > dropTimeout-300*time.Millisecond {
		t.Errorf("two reports may be %v apart", worst)
	}
}
