package control

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"robinmast/internal/standin"
)

// The service's certificate is replaced while a stream is open: by a half written one, an expired
// one, one that does not match the key, and a valid one. The stream must stay open, and new
// connections must get only the valid one. Who may report and subscribe depends on the client's
// certificate.
func TestCertificates(t *testing.T) {
	a := standin.NewAuthority(t)
	dir := t.TempDir()
	file := func(name string, text []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cert, key := a.Sign("control", time.Now().Add(time.Hour))
	certs, err := LoadCerts(file("cert", cert), file("key", key), file("ca", a.PEM),
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	may, err := MayReport("{name}.node")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), MayReport: may})
	s.Streams.MaySubscribe = MaySubscribe([]string{"*.proxy"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	go certs.Watch(ctx)
	xds, reports := standin.Listen(t), standin.Listen(t)
	g := grpc.NewServer(grpc.Creds(credentials.NewTLS(certs.ServerConfig("h2"))))
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(g, s.Streams)
	go func() { _ = g.Serve(xds) }()
	defer g.Stop()
	h := &http.Server{Handler: s.Handler(), ErrorLog: slog.NewLogLogger(slog.NewTextHandler(io.Discard, nil), 0)}
	go func() { _ = h.Serve(tls.NewListener(reports, certs.ServerConfig("http/1.1"))) }()
	defer h.Close()

	put := func(certName, name string) int {
		c := &http.Client{Transport: &http.Transport{TLSClientConfig: a.ClientTLS(certName, "control"), DisableKeepAlives: true}}
		url := "https://" + reports.Addr().String() + "/members/" + name
		q, _ := http.NewRequest(http.MethodPut, url, strings.NewReader(`{"phase":"UP"}`))
		r, err := c.Do(q)
		if err != nil {
			return 0
		}
		r.Body.Close()
		return r.StatusCode
	}
	for _, c := range []struct {
		certName, name string
		code           int
	}{{"n1.node", "n1", 204}, {"n1.node", "n2", 403}, {"a.proxy", "n1", 403}, {"", "n1", 0}} {
		if got := put(c.certName, c.name); got != c.code {
			t.Errorf("%q reports for %s: %d, want %d", c.certName, c.name, got, c.code)
		}
	}
	subscribe := func(certName string) (discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient, error) {
		creds := credentials.NewTLS(a.ClientTLS(certName, "control"))
		conn, err := grpc.NewClient(xds.Addr().String(), grpc.WithTransportCredentials(creds))
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { conn.Close() })
		st, err := discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
		if err == nil {
			err = st.Send(&discoveryv3.DiscoveryRequest{TypeUrl: typeURLs[0], Node: &corev3.Node{Id: certName}})
		}
		if err == nil {
			_, err = st.Recv()
		}
		return st, err
	}
	stream, err := subscribe("a.proxy")
	if err != nil {
		t.Fatal(err)
	}
	for _, certName := range []string{"n1.node", "a.b.proxy", ""} {
		if _, err := subscribe(certName); err == nil {
			t.Errorf("%q may subscribe", certName)
		}
	}
	serial := func() int64 {
		c, err := tls.Dial("tcp", reports.Addr().String(), a.ClientTLS("n1.node", "control"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if v := c.ConnectionState().Version; v != tls.VersionTLS13 {
			t.Errorf("protocol %x", v)
		}
		return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	first := serial()
	next, nextKey := a.Sign("control", time.Now().Add(time.Hour))
	want := a.Serial
	old, oldKey := a.Sign("control", time.Now().Add(-time.Minute))
	for name, pair := range map[string][2][]byte{
		"half written": {next[:len(next)/2], nextKey}, "expired": {old, oldKey}, "mismatched": {next, oldKey},
	} {
		file("cert", pair[0])
		file("key", pair[1])
		time.Sleep(2 * certPollInterval)
		if got := serial(); got != first {
			t.Errorf("%s certificate: in use", name)
		}
	}
	file("cert", next)
	file("key", nextKey)
	standin.Eventually(t, "the new certificate", func() bool { return serial() == want })
	if err := stream.Send(&discoveryv3.DiscoveryRequest{TypeUrl: typeURLs[2]}); err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Recv(); err != nil {
		t.Errorf("the stream did not survive the rotation: %v", err)
	}
	if c, err := tls.Dial("tcp", reports.Addr().String(), &tls.Config{
		RootCAs: a.ClientTLS("", "").RootCAs, ServerName: "control", MaxVersion: tls.VersionTLS12,
	}); err == nil {
		c.Close()
		t.Error("TLS 1.2 is accepted")
	}
}

// A node that reports that it is healthy while proxies report errors over LRS must be degraded.
func TestLoadReports(t *testing.T) {
	g := newTestService(t, nil)
	for i := range 3 {
		g.setNode(i, 1000, nil)
	}
	loadv := &LoadReporting{Service: g.service}
	ln := standin.Listen(t)
	server := grpc.NewServer()
	loadv3.RegisterLoadReportingServiceServer(server, loadv)
	go func() { _ = server.Serve(ln) }()
	defer server.Stop()
	g.awaitState(2, "healthy")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := grpc.NewClient(ln.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	st, err := loadv3.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Send(&loadv3.LoadStatsRequest{Node: &corev3.Node{Id: "p1"}}); err != nil {
		t.Fatal(err)
	}
	if r, err := st.Recv(); err != nil || !r.ReportEndpointGranularity ||
		r.LoadReportingInterval.AsDuration() != loadReportInterval {
		t.Fatalf("%v, %v", r, err)
	}
	report := func(good, bad uint64) {
		locality := &endpointv3.UpstreamLocalityStats{
			UpstreamEndpointStats: []*endpointv3.UpstreamEndpointStats{{
				Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
					Address: "127.1.0.0", PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: 8080}}}},
				TotalSuccessfulRequests: good, TotalErrorRequests: bad,
			}},
		}
		err := st.Send(&loadv3.LoadStatsRequest{ClusterStats: []*endpointv3.ClusterStats{
			{ClusterName: ResourceName, UpstreamLocalityStats: []*endpointv3.UpstreamLocalityStats{locality}},
		}})
		if err != nil {
			t.Fatal(err)
		}
	}
	p := g.startProxy("p1", true, nil)
	report(2, 60)
	g.awaitState(0, "failing")
	g.awaitView("a degraded node", p)
	standin.Eventually(t, "a healthy node after successful requests", func() bool {
		report(200, 0)
		time.Sleep(50 * time.Millisecond)
		return g.service.View().Nodes[0].State.String() == "healthy"
	})
}
