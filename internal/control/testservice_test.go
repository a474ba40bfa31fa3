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
	"strings"
	"sync"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"robinmast/internal/standin"
	"robinmast/internal/standin/proxy"
	"robinmast/internal/store"
)

// testService is a control service on loopback with simulated nodes that report to it.
type testService struct {
	t       *testing.T
	service *Service
	grpc    *grpc.Server
	addr    string
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu    sync.Mutex
	nodes map[string]*nodeReport // what each node reports next
	muted bool                   // no node reports
}

// newTestService starts a service; a nil store means none.
func newTestService(t *testing.T, st *store.Store) *testService {
	t.Helper()
	g := &testService{t: t, nodes: map[string]*nodeReport{}}
	g.service = New(Config{Store: st, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	ln := standin.Listen(t)
	g.addr = ln.Addr().String()
	g.serve(ln)
	g.done.Go(func() { g.service.Run(ctx) })
	g.done.Go(func() { g.report(ctx) })
	t.Cleanup(g.stop)
	return g
}

func (g *testService) serve(ln net.Listener) {
	g.grpc = grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(g.grpc, g.service.Streams)
	server := g.grpc
	g.done.Go(func() { _ = server.Serve(ln) }) // returns after Stop
}

func (g *testService) stop() {
	g.cancel()
	g.grpc.Stop()
	g.done.Wait()
}

// report sends a report for each node every 300 ms until ctx is done.
func (g *testService) report(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		for name, m := range g.nodes {
			m.Seq++
			if !g.muted {
				g.putReport("/nodes/"+name, m)
			}
		}
		g.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// putReport sends a report and returns the status code.
func (g *testService) putReport(path string, body any) int {
	text, _ := json.Marshal(body)
	w := httptest.NewRecorder()
	g.service.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, path, strings.NewReader(string(text))))
	return w.Code
}

// setNode adds or replaces a node. A new incarnation starts at sequence number 1.
func (g *testService) setNode(i int, incarnation uint64, change func(*nodeReport)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &nodeReport{
		Addr: fmt.Sprintf("127.1.0.%d:8080", i), Zone: fmt.Sprint("z", i%3), Incarnation: incarnation,
		Phase: "up", Healthy: true, Warm: 1, Running: 1, Limit: 8,
	}
	if change != nil {
		change(m)
	}
	g.nodes[fmt.Sprintf("n%02d", i)] = m
}

// remove stops the reports of a node.
func (g *testService) remove(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.nodes, fmt.Sprintf("n%02d", i))
}

// startProxy connects a simulated proxy until the end of the test.
func (g *testService) startProxy(id string, delta bool, change func(*proxy.Proxy)) *proxy.Proxy {
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

// awaitView waits until the proxies have exactly the endpoints of the service's view, and returns
// how long that took.
func (g *testService) awaitView(what string, proxies ...*proxy.Proxy) time.Duration {
	g.t.Helper()
	began := time.Now()
	standin.Eventually(g.t, what, func() bool {
		v := g.service.View()
		for _, p := range proxies {
			endpoints, _ := p.Endpoints()
			n := 0
			for _, node := range v.Nodes {
				status, listed := healthStatus[node.State]
				if !listed {
					continue
				}
				n++
				if e, ok := endpoints[node.Addr]; !ok || e.Status != status {
					return false
				}
			}
			if n != len(endpoints) {
				return false
			}
		}
		return len(v.Nodes) > 0
	})
	return time.Since(began)
}

// awaitState waits until a node has a state in the view.
func (g *testService) awaitState(i int, want string) {
	g.t.Helper()
	name := fmt.Sprintf("n%02d", i)
	standin.Eventually(g.t, name+" "+want, func() bool {
		for _, n := range g.service.View().Nodes {
			if n.Name == name {
				return n.State.String() == want
			}
		}
		return want == "unknown"
	})
}
