package harness

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	_ "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3" // the types of the resources
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3" // must be linked
	_ "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"robinmast/internal/standin/platform"
	"robinmast/internal/standin/proxy"
)

// nodeConfig is the platform's configuration of a node: the project's example.
const nodeConfig = `{"name":"NAME","listen":"LISTEN","pool":"POOL","members":"MEMBERS",
 "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":96,"sockets":512},"settings":{"tickMs":2,"groupSize":1,
 "lanes":[{"name":"read","aimMs":1000,"deadlineMs":4000,"effect":"idempotent","worth":1}],
 "parties":[{"name":"acme","share":1,"quotaRps":1000}],
 "extra":{"cpus":2,"ramKb":100000,"runFactor":4,"entryKb":1,"meters":["cpu_busy","runnable"],"passesDeadline":true,
  "tellsGone":true,"preemption":"drop","say":"weight","keepaliveMaxMs":30000,"upstreams":1,"heededMs":1000,"below":"none"},
 "bounds":{"retryAfter":true,"maxRetryAfterMs":1000},
 "obligations":{"fallMultiple":8,"rampTimeMs":9000,"fallMs":1500,"stopSendingWithinMs":2000,"answerSlackMs":60}}}`

// Fleet is a control service with its nodes and a proxy that subscribes to it.
type Fleet struct {
	Nodes   []*Node
	Control *Process
	Proxy   *proxy.Proxy

	c               *Case
	reportAddr, xds string
	controlStarts   int
	cancel          func()
}

// Node is one node of a fleet.
type Node struct {
	Name, Addr string
	Process    *Process
	Link       *Proxy // to the control service

	pool *platform.Pool
}

// StartFleet starts a control service, count nodes that report to it, each through a link of its own, and a proxy
// that subscribes over xDS. It returns once the proxy has every node as healthy.
func (c *Case) StartFleet(count int) *Fleet {
	f := &Fleet{c: c, reportAddr: c.FreeAddress(), xds: c.FreeAddress()}
	f.StartControl()
	members, err := platform.StartMembers()
	c.Must(err)
	for i := range count {
		n := &Node{Name: fmt.Sprintf("n%d", i+1), Addr: c.FreeAddress(), Link: c.StartProxy(f.reportAddr)}
		n.pool, err = platform.StartPool(2, 0, func(r platform.Run) (float64, string, []byte) { return 50, "complete", r.Body })
		c.Must(err)
		config := c.WriteFile(n.Name+".json", strings.NewReplacer("NAME", n.Name, "LISTEN", n.Addr, "POOL", n.pool.Addr(),
			"MEMBERS", members.Addr()).Replace(nodeConfig))
		ini := c.WriteFile(n.Name+".ini", "[control]\naddress = "+n.Link.Addr()+"\n")
		n.Process = c.Start(n.Name, c.DeployCommand("run")+" run --config "+ini, "EDGE_CONFIG="+config)
		f.Nodes = append(f.Nodes, n)
	}
	conn, err := grpc.NewClient("passthrough:///"+f.xds, grpc.WithNoProxy(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	c.Must(err)
	f.Proxy = proxy.New(conn, "proxy-1", false)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.Proxy.Run(ctx)
	go f.watch(ctx)
	c.Eventually("the proxy has every node as healthy", 15*time.Second, func() bool {
		return f.Count(corev3.HealthStatus_HEALTHY) == count
	})
	return f
}

// StartControl starts the control service, with the view that an earlier one saved.
func (f *Fleet) StartControl() {
	f.controlStarts++
	f.Control = f.c.Start(fmt.Sprintf("control-%d", f.controlStarts), fmt.Sprintf(
		"exec bin/robinmast-control --xds %s --reports %s --dir %s", f.xds, f.reportAddr, filepath.Join(f.c.Dir, "view")))
}

// Count returns how many endpoints the proxy has in a state.
func (f *Fleet) Count(status corev3.HealthStatus) (n int) {
	endpoints, _ := f.Proxy.Endpoints()
	for _, e := range endpoints {
		if e.Status == status {
			n++
		}
	}
	return n
}

// Alive reports whether a node answers a health check with GREEN.
func (n *Node) Alive() bool {
	healthy, err := platform.Probe(n.Addr, time.Second)
	return err == nil && healthy
}

// watch records every change of the proxy's endpoints.
func (f *Fleet) watch(ctx context.Context) {
	last := ""
	for ctx.Err() == nil {
		if s := f.Describe(); s != last {
			last = s
			f.c.Logf("proxy: %s", s)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Describe describes the proxy's endpoints.
func (f *Fleet) Describe() string {
	endpoints, _ := f.Proxy.Endpoints()
	var parts []string
	for _, n := range f.Nodes {
		if e, ok := endpoints[n.Addr]; ok {
			parts = append(parts, fmt.Sprintf("%s %v", n.Name, e.Status))
		} else {
			parts = append(parts, n.Name+" not listed")
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// Listed reports whether the proxy has a node in its list.
func (f *Fleet) Listed(n *Node) bool {
	endpoints, _ := f.Proxy.Endpoints()
	_, ok := endpoints[n.Addr]
	return ok
}

// Stop stops the proxy.
func (f *Fleet) Stop() { f.cancel() }
