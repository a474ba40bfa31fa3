package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"robinmast/internal/standin"
)

// workers is a test double of the worker pool that follows the published protocol. A run takes
// as many milliseconds as the request's body says. It records all notices, and can abort
// its link at any time.
type workers struct {
	t  *testing.T
	ln net.Listener

	mu      sync.Mutex
	link    net.Conn
	notices []string
	runs    map[string]*time.Timer
	started map[string]int
	muted   bool // notices are recorded but not sent
}

func newWorkers(t *testing.T) *workers {
	w := &workers{t: t, runs: map[string]*time.Timer{}, started: map[string]int{}}
	w.ln = w.listen()
	return w
}

// listen serves the protocol at another address.
func (w *workers) listen() net.Listener {
	ln := standin.Listen(w.t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return ln
}

func (w *workers) serve(c net.Conn) {
	defer c.Close()
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		var m struct {
			Op, ID, Class, Tag string
			Seq                int
			Body               []byte
		}
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			w.t.Errorf("worker pool got %q", lines.Text())
			return
		}
		w.mu.Lock()
		switch m.Op {
		case "bind":
			w.link = c
			fmt.Fprintln(c, `{"op":"bound","end":"hot","ms":3600000}`)
			for _, n := range w.notices[m.Seq:] {
				fmt.Fprintln(c, n)
			}
		case "spawn":
			if w.runs[m.ID] == nil {
				w.started[m.ID]++
				if statement, calls := strings.CutPrefix(string(m.Body), "call "); calls {
					w.runs[m.ID] = time.AfterFunc(time.Hour, func() {})
					text, _ := json.Marshal([]byte(statement))
					w.notice(fmt.Sprintf(`"op":"blocked","id":%q,"body":%s`, m.ID, text))
					break
				}
				var ms int
				fmt.Sscan(string(m.Body), &ms)
				body, _ := json.Marshal([]byte("did " + string(m.Body)))
				w.runs[m.ID] = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
					w.finish(m.ID, fmt.Sprintf(`"complete","ms":%d,"body":%s`, ms, body))
				})
			}
		case "supply":
			if w.runs[m.ID] != nil {
				body, _ := json.Marshal([]byte("from " + string(m.Body)))
				go w.finish(m.ID, fmt.Sprintf(`"complete","ms":5,"body":%s`, body))
			}
		case "suspend":
			if r := w.runs[m.ID]; r != nil && r.Stop() {
				go w.finish(m.ID, `"cancelled","ms":1`)
			}
		case "poll":
			fmt.Fprintf(c, `{"op":"polled","tag":%q,"values":[0.1,1]}`+"\n", m.Tag)
		}
		w.mu.Unlock()
	}
}

func (w *workers) finish(id, end string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.runs, id)
	w.notice(fmt.Sprintf(`"op":"finished","id":%q,"end":%s`, id, end))
}

// notice numbers, records and sends a notice; w.mu must be held.
func (w *workers) notice(text string) {
	n := fmt.Sprintf(`{"seq":%d,%s}`, len(w.notices)+1, text)
	w.notices = append(w.notices, n)
	if !w.muted && w.link != nil {
		fmt.Fprintln(w.link, n)
	}
}

// disconnect aborts the link.
func (w *workers) disconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.link != nil {
		w.link.(*net.TCPConn).SetLinger(0)
		w.link.Close()
		w.link = nil
	}
}

// system is a node under test with its worker pool and membership service.
type system struct {
	t       *testing.T
	ln      net.Listener
	addr    string
	workers *workers
	config  atomic.Pointer[string] // the text that a reload reads
	moved   atomic.Int64           // membership reports at the address that a reload set
	signals chan os.Signal
	done    chan error
	log     *logBuffer
	reports atomic.Int64
	out     atomic.Bool
	stopped bool
}

type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// line is the last log line with this message.
func (l *logBuffer) line(msg string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found map[string]any
	for _, text := range strings.Split(l.b.String(), "\n") {
		var m map[string]any
		if json.Unmarshal([]byte(text), &m) == nil && m["msg"] == msg {
			found = m
		}
	}
	return found
}

func newSystem(t *testing.T) *system {
	t.Helper()
	return newSystemWith(t, func(text string) string { return text })
}

// newSystemWith is newSystem with a configuration that change has edited.
func newSystemWith(t *testing.T, change func(string) string) *system {
	t.Helper()
	s := &system{t: t, workers: newWorkers(t), signals: make(chan os.Signal, 4), done: make(chan error, 1), log: &logBuffer{}}
	members := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		s.out.Store(bytes.Contains(body, []byte("OUT")))
		s.reports.Add(1)
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(members.Close)
	ln := standin.Listen(t)
	s.ln, s.addr = ln, ln.Addr().String()
	text := strings.NewReplacer("127.0.0.1:8080", s.addr, "127.0.0.1:4400", s.workers.ln.Addr().String(),
		"127.0.0.1:2379", strings.TrimPrefix(members.URL, "http://"), `"stop_ms":3200`, `"stop_ms":3000`, `"cpus":2`, `"cpus":64`,
		`"stopSendingWithinMs":200`, `"stopSendingWithinMs":700`, `"aimMs":1000`, `"aimMs":3500`).Replace(goodConfig)
	text = change(text)
	cfg, err := parse([]byte(text), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewJSONHandler(s.log, nil))
	s.config.Store(&text)
	reload := func() (*platform, error) { return parse([]byte(*s.config.Load()), noEnv) }
	go func() { s.done <- serve(cfg, nil, nil, ln, notices{s.signals, s.signals}, reload, log) }()
	t.Cleanup(func() {
		if !s.stopped {
			s.stop()
		}
	})
	d := s.dial()
	standin.Eventually(t, "a bound worker pool", func() bool { return s.log.line("worker pool bound") != nil })
	d.Send("RPC.HEALTH", "1", "")
	if got := d.Receive(); !strings.HasPrefix(got, "1 GREEN") {
		t.Fatalf("%q", got)
	}
	d.Close()
	return s
}

// stop sends the notice to leave, waits for the exit and checks that the counters add up.
func (s *system) stop() map[string]any {
	s.t.Helper()
	s.stopped = true
	began := time.Now()
	s.signals <- syscall.SIGTERM
	select {
	case err := <-s.done:
		if err != nil {
			s.t.Fatal(err)
		}
	case <-time.After(10 * time.Second):
		s.t.Fatal("did not stop")
	}
	if d := time.Since(began); d > 3*time.Second {
		s.t.Errorf("stopped after %v", d)
	}
	c := s.log.line("node stopped")
	group := func(m map[string]any, k string) map[string]any { g, _ := m[k].(map[string]any); return g }
	n := func(m map[string]any, keys ...string) (sum float64) {
		for _, k := range keys {
			v, _ := m[k].(float64)
			sum += v
		}
		return sum
	}
	r, d, p := group(c, "requests"), group(c, "dispatchers"), group(c, "pool")
	if n(r, "read") != n(r, "served", "refused", "failed", "cancelled", "gone") || n(r, "in_hand") != 0 || n(r, "read") != n(d, "calls") {
		s.t.Errorf("requests do not add up: %v, %v", r, d)
	}
	if n(p, "spawned") != n(p, "complete", "error", "cancelled", "moot", "running") {
		s.t.Errorf("runs do not add up: %v", p)
	}
	for _, side := range []map[string]any{d, p, group(c, "members"), group(c, "below")} {
		l := group(side, "link")
		ends := 0.0
		for k := range l {
			if strings.HasPrefix(k, "end_") {
				ends += n(l, k)
			}
		}
		if n(l, "opened") != ends || n(l, "queued") != n(l, "sent", "dropped") {
			s.t.Errorf("the counters of a link do not add up: %v", l)
		}
	}
	if x := n(group(c, "process"), "module_resets"); x != 0 {
		s.t.Errorf("the module failed %v times", x)
	}
	return c
}

type dispatcher struct{ *standin.Dispatcher }

func (s *system) dial() dispatcher { return dispatcher{standin.Dial(s.t, s.addr)} }

var txns atomic.Int64

// call sends a request that runs for ms milliseconds and returns its txn.
func (d dispatcher) call(tag, ms int, params string) string {
	txn := fmt.Sprintf("%016x", txns.Add(1))
	class := "read"
	if strings.Contains(params, "unique=") {
		class = "pay"
	}
	d.Send("RPC.CALL", fmt.Sprint(tag), class, fmt.Sprintf("txn=%s,door=%d,lb=1,team=acme,limit=4000,cpu=5,ram=10,standing=0.5%s",
		txn, time.Now().UnixMilli(), params), fmt.Sprint(ms))
	return txn
}
