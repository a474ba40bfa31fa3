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
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"robinmast/decide/fleet"
	"robinmast/decide/shedding"
	"robinmast/internal/standin"
	"robinmast/internal/standin/proxy"
	"robinmast/internal/store"
)

// Nodes are replaced a sixth at a time; one flaps, one falls silent without draining, two report
// that they are healthy while proxies observe errors. Proxies of both variants must have the
// latest view within 2 s of each change, without a stale node.
func TestRollingDeploy(t *testing.T) {
	g := newTestService(t, nil)
	for i := range 12 {
		g.setNode(i, 1000, nil)
	}
	a, b := g.startProxy("world", false, nil), g.startProxy("delta", true, func(p *proxy.Proxy) { p.Zone = "z1" })
	g.awaitState(11, "healthy")
	g.awaitView("the first view", a, b) // nothing is published until all nodes had time to report
	worst := time.Duration(0)
	for batch := range 3 { // half of the fleet, a sixth at a time
		first := 2 * batch
		for i := first; i < first+2; i++ {
			g.setNode(i, 1000, func(m *nodeReport) { m.Phase = "draining"; m.Seq = 500 })
		}
		g.awaitState(first, "draining")
		worst = max(worst, g.awaitView("drains", a, b))
		for i := first; i < first+2; i++ {
			g.setNode(i, 2000, func(m *nodeReport) { m.Warm = 0.2 })
		}
		g.awaitState(first+1, "warming")
		worst = max(worst, g.awaitView("cold successors", a, b))
		g.setNode(first, 2000, func(m *nodeReport) { m.Seq = 500 })
		g.awaitState(first, "healthy")
	}
	for i := range 5 { // a node that flaps
		g.setNode(6, uint64(3000+i), nil)
		time.Sleep(320 * time.Millisecond)
	}
	g.awaitState(6, "damped")
	worst = max(worst, g.awaitView("a node that flaps", a, b))
	g.remove(7) // a node that stops without draining
	g.awaitState(7, "gone")
	worst = max(worst, g.awaitView("a node that is gone", a, b))
	if endpoints, _ := a.Endpoints(); endpoints["127.1.0.7:8080"].Status != corev3.HealthStatus_UNKNOWN {
		t.Error("the proxy still has a stale node")
	}
	for i, bad := range []float64{40, 8} { // one fails fast, one only lets its callers time out
		addr := fmt.Sprintf("n%02d", 8+i)
		standin.Eventually(t, addr+" failing", func() bool {
			g.service.ObserveLoad(fleet.ProxyLoad{Proxy: "world", Node: addr, Bad: bad})
			time.Sleep(100 * time.Millisecond)
			for _, n := range g.service.View().Nodes {
				if n.Name == addr {
					return n.State == fleet.Failing
				}
			}
			return false
		})
		worst = max(worst, g.awaitView("a node that proxies see fail", a, b))
	}
	if worst > 2*time.Second {
		t.Errorf("a proxy had the view only after %v", worst)
	}
	endpoints, _ := b.Endpoints()
	for addr, e := range endpoints {
		if want := map[bool]uint32{true: 0, false: 1}[e.Zone == "z1"]; e.Priority != want {
			t.Errorf("%s of zone %s has priority %d for a proxy of z1", addr, e.Zone, e.Priority)
		}
	}
	t.Logf("proxies had the view within %v", worst)
}

// Misbehaving proxies must not delay others: one never sends an ACK or NACK, one reads nothing, one
// rejects endpoints, one closes its stream after each message, one reconnects with a version and a
// nonce that were never sent.
func TestBadProxies(t *testing.T) {
	g := newTestService(t, nil)
	for i := range 6 {
		g.setNode(i, 1000, nil)
	}
	eds := "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	for round, delta := range []bool{false, true} {
		incarnation := uint64(1001 + round)
		good := g.startProxy(fmt.Sprint("good ", delta), delta, nil)
		silent := g.startProxy(fmt.Sprint("never answers ", delta), delta, func(p *proxy.Proxy) {
			p.Faults.NeverAcknowledges = true
		})
		g.startProxy(fmt.Sprint("reads nothing ", delta), delta, func(p *proxy.Proxy) {
			p.Faults.BeforeRead = func(ctx context.Context) { <-ctx.Done() }
		})
		rejects := g.startProxy(fmt.Sprint("rejects ", delta), delta, func(p *proxy.Proxy) { p.Faults.RejectedType = eds })
		reconnects := g.startProxy(fmt.Sprint("cuts ", delta), delta, func(p *proxy.Proxy) { p.Faults.CloseStreamAfter = 1 })
		forgets := g.startProxy(fmt.Sprint("forgets ", delta), delta, func(p *proxy.Proxy) { p.Faults.UnknownVersions = true })
		g.awaitState(5, "healthy")
		g.awaitView("the first view", good, silent, reconnects, forgets)
		for i := range 50 {
			g.setNode(0, incarnation, func(m *nodeReport) { m.Seq, m.Phase = uint64(1000*(i+1)), []string{"up", "out"}[i%2] })
			time.Sleep(10 * time.Millisecond)
		}
		g.setNode(0, incarnation, func(m *nodeReport) { m.Seq, m.Phase = 100_000, "draining" })
		g.awaitState(0, "draining")
		if d := g.awaitView("the last view", good, reconnects, forgets); d > 2*time.Second {
			t.Errorf("the other proxies had the view only after %v", d)
		}
		if _, n := silent.Endpoints(); n > 4 {
			t.Errorf("a proxy that never sends an ACK was sent %d messages", n)
		}
		if endpoints, _ := rejects.Endpoints(); len(endpoints) != 0 {
			t.Error("a rejected response was applied")
		}
		streams := 0
		for _, p := range g.service.Streams.Proxies() {
			if p.Node == fmt.Sprint("rejects ", delta) {
				streams++
				st := p.Types["EDS"]
				if st.Nacks == 0 || !strings.Contains(st.LastNack, "rejected by the stand-in") || p.Types["CDS"].Acked == "" {
					t.Errorf("%+v", p)
				}
			}
		}
		if streams != 1 {
			t.Errorf("%d streams of the proxy that rejects, want 1", streams)
		}
		g.setNode(0, incarnation, func(m *nodeReport) { m.Seq = 200_000 })
		g.awaitState(0, "healthy")
	}
}

// When all reports stop at once, the fault is probably not the nodes': the view must be frozen, not
// emptied. After a restart the service must publish the saved view at once, marked unproven, under
// a higher version.
func TestSilenceAndRestart(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "view")
	st, _, err := store.Open(dir, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	g := newTestService(t, st)
	for i := range 8 {
		g.setNode(i, 1000, nil)
	}
	a := g.startProxy("a", true, nil)
	g.awaitState(7, "healthy")
	g.awaitView("the first view", a)
	g.mu.Lock()
	g.muted = true
	g.mu.Unlock()
	standin.Eventually(t, "a frozen view", func() bool { return g.service.View().Frozen })
	time.Sleep(4 * time.Second)
	if endpoints, _ := a.Endpoints(); len(endpoints) != 8 {
		t.Errorf("%d endpoints are left, want 8", len(endpoints))
	}
	before := g.service.View()
	g.stop()
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	st, _, err = store.Open(dir, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	h := newTestService(t, st)
	b := h.startProxy("b", false, nil)
	h.awaitView("the saved view at once", b)
	v := h.service.View()
	if v.Version <= before.Version || len(v.Nodes) != 8 || !v.Nodes[0].Unconfirmed || !v.Nodes[0].State.Serves() {
		t.Errorf("after the restart: %+v", v)
	}
	h.stop()
}

// A thousand proxies connect at once, and each must get the view.
func TestManyProxies(t *testing.T) {
	g := newTestService(t, nil)
	for i := range 20 {
		g.setNode(i, 1000, nil)
	}
	g.awaitState(19, "healthy")
	g.awaitView("the first view", g.startProxy("first", true, nil))
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
	took := g.awaitView("the view at 1000 proxies", all...)
	cancel()
	for _, c := range conns {
		c.Close()
	}
	done.Wait()
	t.Logf("1000 proxies had the view after %v", took)
}

// Malformed reports must be rejected with a reason of one line, those for a foreign name with 403.
func TestReportsRejected(t *testing.T) {
	s := New(Config{
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
		MayReport: func(_ *http.Request, name string) bool { return name != "other" },
	})
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

// Any bytes must be rejected or parsed into a report with valid values.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"addr":"127.0.0.1:1","incarnation":5,"seq":1,"phase":"up","warm":1,"limit":8}`))
	f.Add([]byte(`{"addr":"[::1]:65535","incarnation":18446744073709551615,"seq":1,"phase":"draining","running":1e309}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, _, err := parseReport("n", text)
		if err == nil && !(r.Warm >= 0 && r.Warm <= 1 && r.Limit >= 0 && r.Incarnation > 0) {
			t.Errorf("accepted: %+v", r)
		}
		if r, _, err := parsePlainReport("n", text); err == nil && !r.Plain {
			t.Errorf("accepted: %+v", r)
		}
	})
}

// slowConn is a connection that reads normally at first and then one byte per second.
type slowConn struct {
	net.Conn
	fastBytes int
}

func (c *slowConn) Read(p []byte) (int, error) {
	if c.fastBytes <= 0 {
		time.Sleep(time.Second)
		p = p[:min(len(p), 1)]
	}
	n, err := c.Conn.Read(p[:min(len(p), max(c.fastBytes, 1))])
	c.fastBytes -= n
	return n, err
}

// While a view of 100 nodes changes repeatedly, proxies that read one byte per second must not delay
// a proxy that reads normally.
func TestSlowReadingProxies(t *testing.T) {
	g := newTestService(t, nil)
	for i := range 100 {
		g.setNode(i, 1000, nil)
	}
	good := g.startProxy("good", true, nil)
	g.awaitState(99, "healthy")
	g.awaitView("the first view", good)
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
				return &slowConn{Conn: c, fastBytes: 3000}, nil
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
		g.setNode(0, 2000, func(m *nodeReport) { m.Phase, m.Seq = phase, uint64(1000*(i+1)) })
		g.awaitState(0, map[string]string{"draining": "draining", "up": "healthy"}[phase])
		worst = max(worst, g.awaitView("a view beside slow proxies", good))
	}
	if worst > time.Second {
		t.Errorf("the proxy had the view only after %v", worst)
	}
	t.Logf("the proxy had the view within %v", worst)
	cancel()
	mu.Lock()
	for _, c := range raw { // else the rest would be read at one byte per second
		c.Close()
	}
	mu.Unlock()
	done.Wait()
}

// Saving is rate limited. The last of several changes in quick succession must be saved all the
// same: else a service that is killed later would restart with the change before it.
func TestLastChangeIsSaved(t *testing.T) {
	st, _, err := store.Open(filepath.Join(t.TempDir(), "view"), store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	g := newTestService(t, st)
	g.setNode(0, 1000, nil)
	g.awaitState(0, "healthy")
	time.Sleep(3 * time.Second) // published, and its weight is stable
	g.setNode(0, 1000, func(m *nodeReport) { m.Seq, m.Limit = 1000, 9 })
	time.Sleep(500 * time.Millisecond)
	g.setNode(0, 1000, func(m *nodeReport) { m.Seq, m.Phase = 2000, "draining" })
	g.awaitState(0, "draining")
	standin.Eventually(t, "the drain in the store", func() bool {
		text, err := st.Get(viewKey)
		return err == nil && strings.Contains(string(text), `"State":6`)
	})
	g.stop()
}

// Proxies of both variants miss fifty updates and reconnect with their old resources. Each must have
// the latest view within 2 s, without the nodes that left meanwhile.
func TestMissedUpdates(t *testing.T) {
	g := newTestService(t, nil)
	for i := range 6 {
		g.setNode(i, 1000, nil)
	}
	g.awaitState(5, "healthy")
	for round, delta := range []bool{false, true} {
		conn, err := grpc.NewClient(g.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		p := proxy.New(conn, fmt.Sprint("away ", delta), delta)
		var done sync.WaitGroup
		ctx, disconnect := context.WithCancel(context.Background())
		done.Go(func() { p.Run(ctx) })
		g.awaitView("the view before the updates", p)
		disconnect()
		done.Wait()
		before := g.service.View().Version
		for i := 0; g.service.View().Version < before+50; i++ {
			g.setNode(round, 1000, func(m *nodeReport) {
				m.Seq, m.Phase = uint64(10_000+100*i), []string{"out", "up"}[i%2]
				g.putReport(fmt.Sprintf("/nodes/n%02d", round), m)
			})
			time.Sleep(120 * time.Millisecond)
			if i > 150 {
				t.Fatal("the view does not change")
			}
		}
		g.remove(4 + round)
		g.awaitState(4+round, "gone")
		ctx, disconnectAgain := context.WithCancel(context.Background())
		done.Go(func() { p.Run(ctx) })
		if d := g.awaitView("the latest after fifty updates", p); d > 2*time.Second {
			t.Errorf("the proxy had the view only after %v", d)
		}
		if endpoints, _ := p.Endpoints(); len(endpoints) != 5-round {
			t.Errorf("%d nodes, want %d", len(endpoints), 5-round)
		}
		disconnectAgain()
		done.Wait()
	}
}

// A node that asks for the fleet's digest must get it in the answer to its report. A node without
// fleet-aware load shedding, and one that does not ask, must get 204 without a body.
func TestDigestOnRequest(t *testing.T) {
	g := newTestService(t, nil)
	report := func(name string, seq uint64, w *sheddingReport) *httptest.ResponseRecorder {
		text, _ := json.Marshal(nodeReport{Addr: "127.0.0.1:1", Incarnation: 5, Seq: seq, Phase: "up", Healthy: true,
			Warm: 1, Limit: 8, Shedding: w})
		out := httptest.NewRecorder()
		put := httptest.NewRequest(http.MethodPut, "/nodes/"+name, strings.NewReader(string(text)))
		g.service.Handler().ServeHTTP(out, put)
		return out
	}
	demand := map[string]float64{"70": 50, "60": 80, "50": 70, "-3": 9, "960": 9, "x": 9}
	full := &sheddingReport{DrainRate: 100, ShortageShare: 1, Demand: demand, WantsDigest: true}
	var d shedding.Digest
	seq := uint64(0)
	standin.Eventually(t, "a digest with a threshold", func() bool {
		seq++
		report("a", seq, full)
		out := report("b", seq, full)
		return out.Code == http.StatusOK && json.Unmarshal(out.Body.Bytes(), &d) == nil && d.Threshold > 0
	})
	if d.Epoch == 0 || d.Seq == 0 || d.Nodes != 2 || d.DrainRate != 200 || d.Demand != 400 {
		t.Errorf("digest %+v", d)
	}
	if out := report("c", 1, nil); out.Code != http.StatusNoContent || out.Body.Len() > 0 {
		t.Errorf("a node without load shedding got %d %q", out.Code, out.Body)
	}
	noDigest := *full
	noDigest.WantsDigest = false
	if out := report("d", 1, &noDigest); out.Code != http.StatusNoContent {
		t.Errorf("a node that did not ask got %d", out.Code)
	}
	seq++
	full.Threshold, full.DigestTrust = d.Threshold, 1
	report("a", seq, full)
	out := httptest.NewRecorder()
	g.service.Handler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/fleet", nil))
	var v Fleet
	if err := json.Unmarshal(out.Body.Bytes(), &v); err != nil || v.Digest.Threshold != d.Threshold {
		t.Fatalf("GET /fleet: %v, %+v", err, v.Digest)
	}
	standin.Eventually(t, "whether nodes follow the threshold", func() bool {
		out := httptest.NewRecorder()
		g.service.Handler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/fleet", nil))
		_ = json.Unmarshal(out.Body.Bytes(), &v)
		got := map[string]string{}
		for _, n := range v.Nodes {
			got[n.Name] = n.Follows
		}
		return got["a"] == "the cut" && got["b"] == "hears no digest" && got["c"] == "" && got["d"] == "alone"
	})
}

// A node whose state is recorded stays up to date though no more nodes can be recorded.
func TestSheddingStateOfKnownNodeIsUpdated(t *testing.T) {
	s := &Service{sheddingStates: map[string]sheddingState{}}
	for i := range maxSheddingStates {
		s.recordSheddingState(fmt.Sprint(i), sheddingState{})
	}
	s.recordSheddingState("0", sheddingState{threshold: 1})
	s.recordSheddingState("another", sheddingState{threshold: 1})
	if s.sheddingStates["0"].threshold != 1 || len(s.sheddingStates) != maxSheddingStates {
		t.Errorf("threshold %v of a known node, %d states", s.sheddingStates["0"].threshold, len(s.sheddingStates))
	}
}
