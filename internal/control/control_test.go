package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"robinmast/decide/fleet"
	"robinmast/decide/shedding"
	"robinmast/internal/standin"
	"robinmast/internal/standin/proxy"
	"robinmast/internal/store"
)

// stage is a control service on loopback with nodes that report to it.
type stage struct {
	t      *testing.T
	s      *Service
	grpc   *grpc.Server
	addr   string
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	nodes map[string]*message
	mute  bool
}

func newStage(t *testing.T, st *store.Store) *stage {
	t.Helper()
	g := &stage{t: t, nodes: map[string]*message{}}
	g.s = New(Config{Store: st, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	ln := standin.Listen(t)
	g.addr = ln.Addr().String()
	g.serve(ln)
	g.done.Go(func() { g.s.Run(ctx) })
	g.done.Go(func() { g.report(ctx) })
	t.Cleanup(g.stop)
	return g
}

func (g *stage) serve(ln net.Listener) {
	g.grpc = grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(g.grpc, g.s.Streams)
	server := g.grpc
	g.done.Go(func() { _ = server.Serve(ln) }) // ends by Stop
}

func (g *stage) stop() {
	g.cancel()
	g.grpc.Stop()
	g.done.Wait()
}

// report lets every node speak each 300 ms.
func (g *stage) report(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		for name, m := range g.nodes {
			m.Seq++
			if !g.mute {
				g.put("/nodes/"+name, m)
			}
		}
		g.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (g *stage) put(path string, body any) int {
	text, _ := json.Marshal(body)
	w := httptest.NewRecorder()
	g.s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, path, strings.NewReader(string(text))))
	return w.Code
}

// set makes or replaces a node; a new incarnation begins at sequence 1.
func (g *stage) set(i int, inc uint64, change func(*message)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &message{Addr: fmt.Sprintf("127.1.0.%d:8080", i), Zone: fmt.Sprint("z", i%3), Incarnation: inc, Phase: "up", Healthy: true, Warm: 1, Running: 1, Limit: 8}
	if change != nil {
		change(m)
	}
	g.nodes[fmt.Sprintf("n%02d", i)] = m
}

func (g *stage) drop(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.nodes, fmt.Sprintf("n%02d", i))
}

func (g *stage) proxy(id string, delta bool, change func(*proxy.Proxy)) *proxy.Proxy {
	g.t.Helper()
	conn, err := grpc.NewClient(g.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		g.t.Fatal(err)
	}
	p := proxy.New(conn, id, delta)
	if change != nil {
		change(p)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { p.Run(ctx) })
	g.t.Cleanup(func() { cancel(); conn.Close(); done.Wait() })
	return p
}

// agree waits until the proxies hold exactly what the service believes, and
// returns how long that took.
func (g *stage) agree(what string, proxies ...*proxy.Proxy) time.Duration {
	g.t.Helper()
	began := time.Now()
	standin.Eventually(g.t, what, func() bool {
		v := g.s.View()
		for _, p := range proxies {
			has, _ := p.Endpoints()
			n := 0
			for _, node := range v.Nodes {
				status, listed := health[node.State]
				if !listed {
					continue
				}
				n++
				if e, ok := has[node.Addr]; !ok || e.Status != status {
					return false
				}
			}
			if n != len(has) {
				return false
			}
		}
		return len(v.Nodes) > 0
	})
	return time.Since(began)
}

// state waits until the service believes a node to be in a state.
func (g *stage) state(i int, want string) {
	g.t.Helper()
	name := fmt.Sprintf("n%02d", i)
	standin.Eventually(g.t, name+" "+want, func() bool {
		for _, n := range g.s.View().Nodes {
			if n.Name == name {
				return n.State.String() == want
			}
		}
		return want == "unknown"
	})
}

// A rolling deploy: servers are replaced a sixth at a time, some flap, one says
// healthy while proxies see errors, one falls silent without a word. Both clients
// hold the latest view within 2 s of each change, and no stale server.
func TestRollingDeploy(t *testing.T) {
	g := newStage(t, nil)
	for i := range 12 {
		g.set(i, 1000, nil)
	}
	a, b := g.proxy("world", false, nil), g.proxy("delta", true, func(p *proxy.Proxy) { p.Zone = "z1" })
	g.state(11, "healthy")
	g.agree("the first view", a, b) // nothing is published before all had time to report
	worst := time.Duration(0)
	for batch := range 3 { // half of the fleet, a sixth at a time
		first := 2 * batch
		for i := first; i < first+2; i++ {
			g.set(i, 1000, func(m *message) { m.Phase = "draining"; m.Seq = 500 })
		}
		g.state(first, "draining")
		worst = max(worst, g.agree("drains", a, b))
		for i := first; i < first+2; i++ {
			g.set(i, 2000, func(m *message) { m.Warm = 0.2 })
		}
		g.state(first+1, "warming")
		worst = max(worst, g.agree("cold successors", a, b))
		g.set(first, 2000, func(m *message) { m.Seq = 500 })
		g.state(first, "healthy")
	}
	for i := range 5 { // one flaps
		g.set(6, uint64(3000+i), nil)
		time.Sleep(320 * time.Millisecond)
	}
	g.state(6, "damped")
	worst = max(worst, g.agree("a node that flaps", a, b))
	g.drop(7) // one goes without a word
	g.state(7, "gone")
	worst = max(worst, g.agree("a node that is gone", a, b))
	if has, _ := a.Endpoints(); has["127.1.0.7:8080"].Status != corev3.HealthStatus_UNKNOWN {
		t.Error("a stale server is kept")
	}
	for i, bad := range []float64{40, 8} { // one fails fast; one never answers, which its callers' time-outs tell
		addr := fmt.Sprintf("n%02d", 8+i)
		standin.Eventually(t, addr+" failing", func() bool {
			g.s.Saw(fleet.ProxyLoad{Proxy: "world", Node: addr, Bad: bad})
			time.Sleep(100 * time.Millisecond)
			for _, n := range g.s.View().Nodes {
				if n.Name == addr {
					return n.State == fleet.Failing
				}
			}
			return false
		})
		worst = max(worst, g.agree("a node that proxies see fail", a, b))
	}
	if worst > 2*time.Second {
		t.Errorf("the clients agreed with the view after %v at worst", worst)
	}
	has, _ := b.Endpoints()
	for addr, e := range has {
		if want := map[bool]uint32{true: 0, false: 1}[e.Zone == "z1"]; e.Priority != want {
			t.Errorf("%s of zone %s has priority %d for a proxy of z1", addr, e.Zone, e.Priority)
		}
	}
	t.Logf("agreed within %v at worst", worst)
}

// Proxies that misbehave hold up nobody: one never answers, one reads nothing for
// long, one rejects endpoints, one cuts its stream after every message, one comes
// back with a version and a nonce that never were.
func TestBadProxies(t *testing.T) {
	g := newStage(t, nil)
	for i := range 6 {
		g.set(i, 1000, nil)
	}
	eds := "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	for turn, delta := range []bool{false, true} {
		inc := uint64(1001 + turn)
		good := g.proxy(fmt.Sprint("good ", delta), delta, nil)
		silent := g.proxy(fmt.Sprint("never answers ", delta), delta, func(p *proxy.Proxy) { p.Faults.NeverAcknowledges = true })
		g.proxy(fmt.Sprint("reads nothing ", delta), delta, func(p *proxy.Proxy) {
			p.Faults.BeforeRead = func(ctx context.Context) { <-ctx.Done() }
		})
		rejects := g.proxy(fmt.Sprint("rejects ", delta), delta, func(p *proxy.Proxy) { p.Faults.RejectedType = eds })
		cut := g.proxy(fmt.Sprint("cuts ", delta), delta, func(p *proxy.Proxy) { p.Faults.CloseStreamAfter = 1 })
		forgets := g.proxy(fmt.Sprint("forgets ", delta), delta, func(p *proxy.Proxy) { p.Faults.UnknownVersions = true })
		g.state(5, "healthy")
		g.agree("the first view", good, silent, cut, forgets)
		for i := range 50 {
			g.set(0, inc, func(m *message) { m.Seq, m.Phase = uint64(1000*(i+1)), []string{"up", "out"}[i%2] })
			time.Sleep(10 * time.Millisecond)
		}
		g.set(0, inc, func(m *message) { m.Seq, m.Phase = 100_000, "draining" })
		g.state(0, "draining")
		if d := g.agree("the last view", good, cut, forgets); d > 2*time.Second {
			t.Errorf("good proxies agreed after %v", d)
		}
		if _, n := silent.Endpoints(); n > 4 {
			t.Errorf("a proxy that never answers was sent %d messages", n)
		}
		if has, _ := rejects.Endpoints(); len(has) != 0 {
			t.Error("what was rejected was applied")
		}
		seen := 0
		for _, p := range g.s.Streams.Proxies() {
			if p.Node == fmt.Sprint("rejects ", delta) {
				seen++
				if st := p.Types["EDS"]; st.Nacks == 0 || !strings.Contains(st.LastNack, "rejected by the stand-in") || p.Types["CDS"].Acked == "" {
					t.Errorf("%+v", p)
				}
			}
		}
		if seen != 1 {
			t.Errorf("%d streams of one proxy", seen)
		}
		g.set(0, inc, func(m *message) { m.Seq = 200_000 })
		g.state(0, "healthy")
	}
}

// All reports stop at once: the view is frozen, not emptied. The service ends
// and begins again from its store: the same view at once, unproven, under a
// higher version; proxies that are up to date are sent nothing new.
func TestSilenceAndRestart(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "view")
	st, _, err := store.Open(dir, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	g := newStage(t, st)
	for i := range 8 {
		g.set(i, 1000, nil)
	}
	a := g.proxy("a", true, nil)
	g.state(7, "healthy")
	g.agree("the first view", a)
	g.mu.Lock()
	g.mute = true
	g.mu.Unlock()
	standin.Eventually(t, "the frost", func() bool { return g.s.View().Frozen })
	time.Sleep(4 * time.Second)
	if has, _ := a.Endpoints(); len(has) != 8 {
		t.Errorf("%d endpoints are left", len(has))
	}
	was := g.s.View()
	g.stop()
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	st, _, err = store.Open(dir, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	h := newStage(t, st)
	b := h.proxy("b", false, nil)
	h.agree("the last view, at once", b)
	v := h.s.View()
	if v.Version <= was.Version || len(v.Nodes) != 8 || !v.Nodes[0].Unproven || !v.Nodes[0].State.Serves() {
		t.Errorf("after the restart: %+v", v)
	}
	h.stop()
}

// A thousand proxies connect at once; each has the view, and each is bounded.
func TestManyProxies(t *testing.T) {
	g := newStage(t, nil)
	for i := range 20 {
		g.set(i, 1000, nil)
	}
	g.state(19, "healthy")
	g.agree("the first view", g.proxy("first", true, nil))
	var conns []*grpc.ClientConn
	for range 10 {
		c, err := grpc.NewClient(g.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	var all []*proxy.Proxy
	for i := range 1000 {
		p := proxy.New(conns[i%len(conns)], fmt.Sprint(i), i%2 == 0)
		all = append(all, p)
		done.Go(func() { p.Run(ctx) })
	}
	took := g.agree("the view at a thousand proxies", all...)
	cancel()
	for _, c := range conns {
		c.Close()
	}
	done.Wait()
	t.Logf("a thousand agree after %v", took)
}

func TestReportsRejected(t *testing.T) {
	s := New(Config{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), May: func(_ *http.Request, name string) bool { return name != "other" }})
	good := `{"addr":"127.0.0.1:1","incarnation":5,"seq":1,"phase":"up","warm":1}`
	for _, c := range []struct {
		path, body string
		code       int
	}{
		{"/nodes/n1", good, 204},
		{"/members/n1", `{"phase":"UP"}`, 204},
		{"/nodes/other", good, 403},
		{"/members/n1", `{"phase":"up"}`, 400},
		{"/members/n1", `{`, 400},
		{"/nodes/n1", strings.Replace(good, `"up"`, `"sideways"`, 1), 400},
		{"/nodes/n1", strings.Replace(good, `127.0.0.1:1`, `host:1`, 1), 400},
		{"/nodes/n1", strings.Replace(good, `"seq":1`, `"seq":0`, 1), 400},
		{"/nodes/n1", strings.Replace(good, `"warm":1`, `"warm":7`, 1), 400},
		{"/nodes/n1", strings.Replace(good, `"warm":1`, `"limit":-1`, 1), 400},
		{"/nodes/n1", `{"zone":"` + strings.Repeat("z", 5000) + `"}`, 413},
		{"/nodes/" + strings.Repeat("n", 200), good, 400},
	} {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, c.path, strings.NewReader(c.body)))
		if w.Code != c.code || w.Code == 400 && strings.Count(w.Body.String(), "\n") != 1 {
			t.Errorf("%.30s %.80s: %d %q, want %d", c.path, c.body, w.Code, w.Body.String(), c.code)
		}
	}
}

// Whatever a report's bytes, it is read or told wrong, and its figures are sane.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"addr":"127.0.0.1:1","incarnation":5,"seq":1,"phase":"up","warm":1,"limit":8}`))
	f.Add([]byte(`{"addr":"[::1]:65535","incarnation":18446744073709551615,"seq":1,"phase":"draining","running":1e309}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, _, err := parseReport("n", text)
		if err == nil && !(r.Warm >= 0 && r.Warm <= 1 && r.Limit >= 0 && r.Incarnation > 0) {
			t.Errorf("taken: %+v", r)
		}
		if r, _, err := parsePlain("n", text); err == nil && !r.Plain {
			t.Errorf("taken: %+v", r)
		}
	})
}

// crawl is a connection that reads well at first, and then a byte a second.
type crawl struct {
	net.Conn
	left int
}

func (c *crawl) Read(p []byte) (int, error) {
	if c.left <= 0 {
		time.Sleep(time.Second)
		p = p[:min(len(p), 1)]
	}
	n, err := c.Conn.Read(p[:min(len(p), max(c.left, 1))])
	c.left -= n
	return n, err
}

// Proxies that read a byte a second, while a view of 100 nodes changes again and
// again: whoever reads well has each at once.
func TestCrawlingProxies(t *testing.T) {
	g := newStage(t, nil)
	for i := range 100 {
		g.set(i, 1000, nil)
	}
	good := g.proxy("good", true, nil)
	g.state(99, "healthy")
	g.agree("the first view", good)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	var mu sync.Mutex
	var raw []net.Conn
	for i := range 20 {
		conn, err := grpc.NewClient(g.addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
				if err != nil {
					return nil, err
				}
				mu.Lock()
				raw = append(raw, c)
				mu.Unlock()
				return &crawl{Conn: c, left: 3000}, nil
			}))
		if err != nil {
			t.Fatal(err)
		}
		p := proxy.New(conn, fmt.Sprint("crawls ", i), i%2 == 0)
		done.Go(func() { p.Run(ctx) })
		defer conn.Close()
	}
	worst := time.Duration(0)
	for i := range 6 {
		phase := []string{"draining", "up"}[i%2]
		g.set(0, 2000, func(m *message) { m.Phase, m.Seq = phase, uint64(1000*(i+1)) })
		g.state(0, map[string]string{"draining": "draining", "up": "healthy"}[phase])
		worst = max(worst, g.agree("a view beside crawling proxies", good))
	}
	if worst > time.Second {
		t.Errorf("agreed after %v", worst)
	}
	t.Logf("agreed within %v at worst", worst)
	cancel()
	mu.Lock()
	for _, c := range raw { // else they would be read to their end, a byte a second
		c.Close()
	}
	mu.Unlock()
	done.Wait()
}

// Of changes that follow each other quickly the last one is saved too: a service
// killed outright later on must not come back with the one before.
func TestLastChangeIsSaved(t *testing.T) {
	st, _, err := store.Open(filepath.Join(t.TempDir(), "view"), store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	g := newStage(t, st)
	g.set(0, 1000, nil)
	g.state(0, "healthy")
	time.Sleep(3 * time.Second) // published, and its weight has settled
	g.set(0, 1000, func(m *message) { m.Seq, m.Limit = 1000, 9 })
	time.Sleep(500 * time.Millisecond)
	g.set(0, 1000, func(m *message) { m.Seq, m.Phase = 2000, "draining" })
	g.state(0, "draining")
	standin.Eventually(t, "the drain in the store", func() bool {
		text, err := st.Get(savedKey)
		return err == nil && strings.Contains(string(text), `"State":6`)
	})
	g.stop()
}

// Proxies of both forms are away for fifty updates and come back with what they
// had: each has the latest within 2 s, and no server that went meanwhile.
func TestMissedUpdates(t *testing.T) {
	g := newStage(t, nil)
	for i := range 6 {
		g.set(i, 1000, nil)
	}
	g.state(5, "healthy")
	for turn, delta := range []bool{false, true} {
		conn, err := grpc.NewClient(g.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		p := proxy.New(conn, fmt.Sprint("away ", delta), delta)
		var done sync.WaitGroup
		ctx, away := context.WithCancel(context.Background())
		done.Go(func() { p.Run(ctx) })
		g.agree("the view before", p)
		away()
		done.Wait()
		before := g.s.View().Version
		for i := 0; g.s.View().Version < before+50; i++ {
			g.set(turn, 1000, func(m *message) {
				m.Seq, m.Phase = uint64(10_000+100*i), []string{"out", "up"}[i%2]
				g.put(fmt.Sprintf("/nodes/n%02d", turn), m)
			})
			time.Sleep(120 * time.Millisecond)
			if i > 150 {
				t.Fatal("the view does not move")
			}
		}
		g.drop(4 + turn)
		g.state(4+turn, "gone")
		ctx, back := context.WithCancel(context.Background())
		done.Go(func() { p.Run(ctx) })
		if d := g.agree("the latest after fifty updates", p); d > 2*time.Second {
			t.Errorf("after %v", d)
		}
		if has, _ := p.Endpoints(); len(has) != 5-turn {
			t.Errorf("%d servers, want %d", len(has), 5-turn)
		}
		back()
		done.Wait()
	}
}

// A node that thinks of the fleet and asks gets its digest with the answer to its
// report; one of the old kind, or one that does not ask, gets 204 as ever.
func TestDigestForWhoAsks(t *testing.T) {
	g := newStage(t, nil)
	report := func(name string, seq uint64, w *word) *httptest.ResponseRecorder {
		text, _ := json.Marshal(message{Addr: "127.0.0.1:1", Incarnation: 5, Seq: seq, Phase: "up", Healthy: true, Warm: 1, Limit: 8, Together: w})
		out := httptest.NewRecorder()
		g.s.Handler().ServeHTTP(out, httptest.NewRequest(http.MethodPut, "/nodes/"+name, strings.NewReader(string(text))))
		return out
	}
	full := &word{Drain: 100, Short: 1, Demand: map[string]float64{"70": 50, "60": 80, "50": 70, "-3": 9, "960": 9, "x": 9}, Ask: true}
	var d shedding.Digest
	seq := uint64(0)
	standin.Eventually(t, "a digest with a cut", func() bool {
		seq++
		report("a", seq, full)
		out := report("b", seq, full)
		return out.Code == http.StatusOK && json.Unmarshal(out.Body.Bytes(), &d) == nil && d.Threshold > 0
	})
	if d.Epoch == 0 || d.Seq == 0 || d.Nodes != 2 || d.DrainRate != 200 || d.Demand != 400 {
		t.Errorf("digest %+v", d)
	}
	if out := report("c", 1, nil); out.Code != http.StatusNoContent || out.Body.Len() > 0 {
		t.Errorf("a node of the old kind got %d %q", out.Code, out.Body)
	}
	quiet := *full
	quiet.Ask = false
	if out := report("d", 1, &quiet); out.Code != http.StatusNoContent {
		t.Errorf("a node that did not ask got %d", out.Code)
	}
	seq++
	full.Cut, full.Trust = d.Threshold, 1
	report("a", seq, full)
	out := httptest.NewRecorder()
	g.s.Handler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/fleet", nil))
	var v Fleet
	if err := json.Unmarshal(out.Body.Bytes(), &v); err != nil || v.Digest.Threshold != d.Threshold {
		t.Fatalf("the fleet: %v, %+v", err, v.Digest)
	}
	standin.Eventually(t, "how nodes stand to the cut", func() bool {
		out := httptest.NewRecorder()
		g.s.Handler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/fleet", nil))
		_ = json.Unmarshal(out.Body.Bytes(), &v)
		got := map[string]string{}
		for _, n := range v.Nodes {
			got[n.Name] = n.Follows
		}
		return got["a"] == "the cut" && got["b"] == "hears no digest" && got["c"] == "" && got["d"] == "alone"
	})
}
