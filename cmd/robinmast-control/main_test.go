package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"robinmast/internal/control"
	"robinmast/internal/standin"
	"robinmast/internal/standin/platform"
	"robinmast/internal/standin/proxy"
)

// build compiles the program name of cmd/ and returns its path.
func build(t *testing.T, name string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), name)
	if out, err := exec.Command("go", "build", "-o", binary, "../"+name).CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return binary
}

// freeAddress returns a loopback address on which nothing listens at the moment.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// fetchFleet returns the answer to GET /fleet, zero on failure.
func fetchFleet(addr string, secure *tls.Config) (f control.Fleet) {
	c := &http.Client{Transport: &http.Transport{TLSClientConfig: secure, DisableKeepAlives: true}}
	url := "http://" + addr + "/fleet"
	if secure != nil {
		url = "https://" + addr + "/fleet"
	}
	r, err := c.Get(url)
	if err != nil {
		return f
	}
	defer r.Body.Close()
	_ = json.NewDecoder(r.Body).Decode(&f) // on failure f stays zero
	return f
}

// The node's program reports to the service's program. The service is killed and must restart with
// its last view; a proxy must see the node from its start to its drain.
func TestNodeToProxy(t *testing.T) {
	t.Run("plain", func(t *testing.T) { nodeToProxy(t, false) })
	t.Run("TLS", func(t *testing.T) { nodeToProxy(t, true) })
}

// nodeToProxy is the test with plain text or TLS.
func nodeToProxy(t *testing.T, secure bool) {
	service, node := build(t, "robinmast-control"), build(t, "robinmast")
	dir := t.TempDir()
	xds, reports, listen := freeAddress(t), freeAddress(t), freeAddress(t)
	args := []string{"--xds", xds, "--reports", reports, "--dir", filepath.Join(dir, "view")}
	ini := "[control]\naddress = " + reports + "\nzone = z1\n"
	var operator *tls.Config
	creds := insecure.NewCredentials()
	if secure {
		a := standin.NewAuthority(t)
		put := func(name string, text []byte) string {
			path := filepath.Join(dir, name)
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
			return path
		}
		cert, key := a.Sign("control", time.Now().Add(time.Hour))
		ca := put("ca", a.PEM)
		args = append(args, "--cert", put("control.cert", cert), "--key", put("control.key", key), "--ca", ca)
		cert, key = a.Sign("n3.node", time.Now().Add(time.Hour))
		ini += "cert = " + put("node.cert", cert) + "\nkey = " + put("node.key", key) + "\nca = " + ca + "\nserver_name = control\n"
		operator, creds = a.ClientTLS("somebody.operators", "control"), credentials.NewTLS(a.ClientTLS("p.proxy", "control"))
	}
	startService := func() *exec.Cmd {
		c := exec.Command(service, args...)
		c.Stderr = &bytes.Buffer{}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		return c
	}
	serviceProcess := startService()
	defer func() { _ = serviceProcess.Process.Kill(); _ = serviceProcess.Wait() }()

	pool, err := platform.StartPool(2, 0, func(r platform.Run) (float64, string, []byte) { return 1, "complete", nil })
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	members, err := platform.StartMembers()
	if err != nil {
		t.Fatal(err)
	}
	defer members.Close()
	text, err := os.ReadFile("../robinmast/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	config := strings.NewReplacer(
		"127.0.0.1:8080", listen, "127.0.0.1:4400", pool.Addr(), "127.0.0.1:2379", members.Addr(),
		`"stopSendingWithinMs":200`, `"stopSendingWithinMs":1500`,
	).Replace(string(text))
	for name, text := range map[string]string{"config.json": config, "robinmast.ini": ini} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	nodeProcess := exec.Command(node, "run", "--config", filepath.Join(dir, "robinmast.ini"))
	nodeProcess.Env = append(os.Environ(), "EDGE_CONFIG="+filepath.Join(dir, "config.json"))
	if err := nodeProcess.Start(); err != nil {
		t.Fatal(err)
	}
	nodeExit := make(chan error, 1)
	go func() { nodeExit <- nodeProcess.Wait() }()
	defer nodeProcess.Process.Kill()

	conn, err := grpc.NewClient(xds, grpc.WithTransportCredentials(creds))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	p := proxy.New(conn, "p", true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	status := func() string {
		has, _ := p.Endpoints()
		if e, ok := has[listen]; ok {
			return e.Status.String()
		}
		return "none"
	}
	standin.Eventually(t, "a healthy node at the proxy", func() bool { return status() == "HEALTHY" })
	f := fetchFleet(reports, operator)
	if len(f.Nodes) != 1 || f.Nodes[0].Name != "n3" || f.Nodes[0].Zone != "z1" || f.Nodes[0].Limit < 2 {
		t.Fatalf("%+v", f)
	}
	_ = serviceProcess.Process.Kill()
	_ = serviceProcess.Wait()
	serviceProcess = startService()
	standin.Eventually(t, "the last view after kill -9", func() bool {
		return len(fetchFleet(reports, operator).Nodes) == 1
	})
	if after := fetchFleet(reports, operator); after.Version <= f.Version {
		t.Errorf("version %d after %d", after.Version, f.Version)
	}
	standin.Eventually(t, "a new report of the node", func() bool {
		f := fetchFleet(reports, operator)
		return len(f.Nodes) == 1 && !f.Nodes[0].Unproven
	})
	if status() != "HEALTHY" {
		t.Errorf("the proxy has the node as %s", status())
	}
	if err := nodeProcess.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, "the drain at the proxy", func() bool { return status() == "DRAINING" })
	if err := <-nodeExit; err != nil {
		t.Error(err)
	}
	standin.Eventually(t, "no such node at the proxy", func() bool { return status() == "none" })
}

// Invalid arguments must end the program with a message and the right status.
func TestArguments(t *testing.T) {
	for name, c := range map[string]struct {
		args   []string
		status int
		text   string
	}{
		"beyond loopback": {[]string{"--xds", "0.0.0.0:1"}, 2, "0.0.0.0:1 is not loopback"},
		"no address":      {[]string{"--reports", "here"}, 2, "--reports: address here: missing port"},
		"unknown flag":    {[]string{"--what"}, 2, "unknown flag"},
		"directory":       {[]string{"--xds", "127.0.0.1:0", "--reports", "127.0.0.1:0", "--dir", "/dev/null/x"}, 1, "open store"},
	} {
		var errs bytes.Buffer
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if got := execute(ctx, c.args, &errs); got != c.status || !strings.Contains(errs.String(), c.text) {
			t.Errorf("%s: status %d, %q", name, got, errs.String())
		}
		cancel()
	}
}

// BenchmarkProxyMemory measures the memory that the program needs for each further proxy, with 300
// nodes in its view.
//
//	go test ./cmd/robinmast-control -run - -bench ProxyMemory -benchtime 1x
func BenchmarkProxyMemory(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "robinmast-control")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		b.Fatalf("build: %v: %s", err, out)
	}
	const xds, reports, proxies = "127.0.0.1:18990", "127.0.0.1:18991", 500
	for range b.N {
		s := exec.Command(binary, "--xds", xds, "--reports", reports)
		if err := s.Start(); err != nil {
			b.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		for i := range 300 {
			q, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/nodes/n%d", reports, i), strings.NewReader(fmt.Sprintf(
				`{"addr":"127.0.%d.%d:80","zone":"z","incarnation":1,"seq":1,"phase":"up","healthy":true,"warm":1,"limit":8}`, i>>8, i&255)))
			if r, err := http.DefaultClient.Do(q); err == nil {
				r.Body.Close()
			}
		}
		time.Sleep(2500 * time.Millisecond)
		rss := func() (kb int) {
			text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.Process.Pid))
			_, rest, _ := strings.Cut(string(text), "VmRSS:")
			fmt.Sscan(rest, &kb)
			return kb
		}
		before := rss()
		ctx, cancel := context.WithCancel(context.Background())
		for i := range proxies {
			conn, err := grpc.NewClient(xds, grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			go proxy.New(conn, fmt.Sprint(i), i%2 == 0).Run(ctx)
		}
		time.Sleep(2 * time.Second)
		b.ReportMetric(float64(rss()-before)/proxies, "KB/proxy")
		b.ReportMetric(float64(before)/1024, "MB-before")
		cancel()
		_ = s.Process.Kill()
		_ = s.Wait() // the error says only that it was killed
	}
}
