package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"robinmast/decide/fleet"
	"robinmast/internal/standin/proxy"
)

// BenchmarkPropagation measures the time from a node's report (a drain, its end)
// to the view of every proxy, half of them of each form, over transports within
// the process.
//
//	go test ./internal/control -run - -bench Propagation -benchtime 10x
func BenchmarkPropagation(b *testing.B) {
	for _, c := range []struct{ nodes, proxies int }{
		{10, 2}, {10, 200}, {10, 1000}, {300, 2}, {300, 200}, {300, 1000}, {3000, 2}, {3000, 200}, {3000, 1000},
	} {
		b.Run(fmt.Sprintf("nodes=%d/proxies=%d", c.nodes, c.proxies), func(b *testing.B) {
			s := New(Config{Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go s.Run(ctx)
			ln := bufconn.Listen(1 << 20)
			g := grpc.NewServer()
			discoveryv3.RegisterAggregatedDiscoveryServiceServer(g, s.Streams)
			go func() { _ = g.Serve(ln) }()
			defer g.Stop()
			seq := uint64(0)
			report := func(only int, phase fleet.Phase) {
				seq++
				for i := range c.nodes {
					if only >= 0 && i != only {
						continue
					}
					r := fleet.Report{
						Name: fmt.Sprint("n", i), Addr: fmt.Sprintf("127.%d.%d.1:80", i>>8, i&255), Zone: fmt.Sprint("z", i%3),
						Incarnation: 1, Seq: seq, Phase: phase, Healthy: true, Warm: 1, Limit: 8,
					}
					for !s.enqueue(event{report: &r}) {
						time.Sleep(time.Millisecond)
					}
				}
			}
			report(-1, fleet.Up)
			var all []*proxy.Proxy
			for i := range c.proxies {
				conn, err := grpc.NewClient("passthrough:///x", grpc.WithTransportCredentials(insecure.NewCredentials()),
					grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) { return ln.Dial() }))
				if err != nil {
					b.Fatal(err)
				}
				defer conn.Close()
				p := proxy.New(conn, fmt.Sprint(i), i%2 == 0)
				all = append(all, p)
				go p.Run(ctx)
			}
			wait := func(addr string, want corev3.HealthStatus) {
				for _, p := range all {
					for end := time.Now().Add(time.Minute); p.Status(addr) != want; time.Sleep(200 * time.Microsecond) {
						if time.Now().After(end) {
							b.Fatalf("%s is not %v in time", addr, want)
						}
					}
				}
			}
			wait("127.0.0.1:80", corev3.HealthStatus_HEALTHY)
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			var last time.Time
			b.ResetTimer()
			for i := range b.N {
				if time.Since(last) > 500*time.Millisecond {
					report(-1, fleet.Up)
					last = time.Now()
				}
				for _, change := range []struct {
					phase fleet.Phase
					want  corev3.HealthStatus
				}{{fleet.Draining, corev3.HealthStatus_DRAINING}, {fleet.Up, corev3.HealthStatus_HEALTHY}} {
					node := i % min(c.nodes, 7)
					began := time.Now()
					report(node, change.phase)
					wait(fmt.Sprintf("127.%d.%d.1:80", node>>8, node&255), change.want)
					_ = h.RecordValue(int64(time.Since(began))) // beyond a minute it is clipped
				}
			}
			b.StopTimer()
			world, delta := 0, 0
			for _, p := range all {
				n, _ := p.Traffic()
				if p.Delta {
					delta += n
				} else {
					world += n
				}
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e6, "p99-ms")
			b.ReportMetric(float64(world)/float64(max(delta, 1)), "world/delta-bytes")
		})
	}
}
