// Package proxy owns stand-ins for proxies that listen to xDS, written from the
// protocol's public pages: one of each form, with scripted faults. It routes
// nothing by itself; it holds what it was told. It must never be used in service.
package proxy

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/anypb"

	"robinmast/decide/backoff"
)

const typePrefix = "type.googleapis.com/envoy.config."

// The types that a proxy subscribes to, in order.
var types = []string{
	typePrefix + "cluster.v3.Cluster", typePrefix + "endpoint.v3.ClusterLoadAssignment",
	typePrefix + "listener.v3.Listener", typePrefix + "route.v3.RouteConfiguration",
}

// Faults are what a proxy does wrong.
type Faults struct {
	NeverAcknowledges bool                      // reads, and acknowledges nothing
	RejectedType      string                    // type URL of which everything is rejected
	CloseStreamAfter  int                       // ends its stream after so many messages, each time; 0 = never
	UnknownVersions   bool                      // comes back with a version and a nonce that never were
	BeforeRead        func(ctx context.Context) // waits before each read
}

// Endpoint is a server as the proxy was told of it.
type Endpoint struct {
	Status   corev3.HealthStatus
	Weight   uint32
	Zone     string
	Priority uint32
}

// Proxy is one stand-in.
type Proxy struct {
	Delta  bool
	ID     string
	Zone   string
	Faults Faults

	conn *grpc.ClientConn

	mu               sync.Mutex
	versions         map[string]string            // World: by type
	resourceVersions map[string]map[string]string // Delta: versions by type and name
	endpoints        map[string]Endpoint          // by address
	dropPerMillion   uint32
	messages         int
	bytes            int
	streams          int
}

// New returns a proxy on a connection; Run runs it.
func New(conn *grpc.ClientConn, id string, delta bool) *Proxy {
	p := &Proxy{Delta: delta, ID: id, conn: conn, versions: map[string]string{}, resourceVersions: map[string]map[string]string{}, endpoints: map[string]Endpoint{}}
	for _, t := range types {
		p.resourceVersions[t] = map[string]string{}
	}
	return p
}

// Endpoints is what it was told, by address, and how many messages that took.
func (p *Proxy) Endpoints() (map[string]Endpoint, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.endpoints), p.messages
}

// Drop is the share of requests that it was told to drop, in millionths.
func (p *Proxy) DropPerMillion() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropPerMillion
}

// Bytes is how much it was sent, Streams how many streams it opened.
func (p *Proxy) Traffic() (bytes, streams int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes, p.streams
}

// Run keeps a stream until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	again := backoff.New(backoff.Settings{MinWait: 10 * time.Millisecond, InitialSpan: 40 * time.Millisecond, MaxSpan: time.Second, Window: 10 * time.Second, Budget: 100},
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	start := time.Now()
	for ctx.Err() == nil {
		again.TryStarted(time.Since(start))
		p.mu.Lock()
		p.streams++
		before := p.messages
		p.mu.Unlock()
		sctx, cancel := context.WithCancel(ctx)
		if p.Delta {
			_ = p.runDelta(sctx) // whatever ended it, it is opened again
		} else {
			_ = p.runStateOfTheWorld(sctx)
		}
		cancel()
		p.mu.Lock()
		if p.messages > before {
			again.Succeeded()
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(again.Failed(time.Since(start))):
		}
	}
}

func (p *Proxy) node() *corev3.Node {
	return &corev3.Node{Id: p.ID, Locality: &corev3.Locality{Zone: p.Zone}}
}

func resourceNames(t string) []string {
	if t == types[0] || t == types[2] {
		return nil
	}
	return []string{"robinmast"}
}

func rejection() *rpcstatus.Status {
	return &rpcstatus.Status{Code: 3, Message: "rejected by the stand-in"}
}

// wait is before each read; it reports whether the stream is to be cut.
func (p *Proxy) beforeRead(ctx context.Context, read int) bool {
	if p.Faults.BeforeRead != nil {
		p.Faults.BeforeRead(ctx)
	}
	return p.Faults.CloseStreamAfter > 0 && read >= p.Faults.CloseStreamAfter
}

func (p *Proxy) runStateOfTheWorld(ctx context.Context) error {
	s, err := discoveryv3.NewAggregatedDiscoveryServiceClient(p.conn).StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	for _, t := range types {
		p.mu.Lock()
		q := &discoveryv3.DiscoveryRequest{Node: p.node(), TypeUrl: t, VersionInfo: p.versions[t], ResourceNames: resourceNames(t)}
		p.mu.Unlock()
		if p.Faults.UnknownVersions {
			q.VersionInfo, q.ResponseNonce = "of another service", "never sent"
		}
		if err := s.Send(q); err != nil {
			return err
		}
	}
	for read := 0; ; read++ {
		if p.beforeRead(ctx, read) {
			return nil
		}
		r, err := s.Recv()
		if err != nil {
			return err
		}
		a := &discoveryv3.DiscoveryRequest{TypeUrl: r.TypeUrl, ResponseNonce: r.Nonce, VersionInfo: r.VersionInfo, ResourceNames: resourceNames(r.TypeUrl)}
		p.mu.Lock()
		p.messages++
		for _, b := range r.Resources {
			p.bytes += len(b.Value)
		}
		if r.TypeUrl == p.Faults.RejectedType {
			a.VersionInfo, a.ErrorDetail = p.versions[r.TypeUrl], rejection()
		} else {
			p.versions[r.TypeUrl] = r.VersionInfo
			for _, b := range r.Resources {
				err = p.apply(b)
			}
		}
		p.mu.Unlock()
		if err != nil {
			return err
		}
		if p.Faults.NeverAcknowledges {
			continue
		}
		if err := s.Send(a); err != nil {
			return err
		}
	}
}

func (p *Proxy) runDelta(ctx context.Context) error {
	s, err := discoveryv3.NewAggregatedDiscoveryServiceClient(p.conn).DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	for _, t := range types {
		p.mu.Lock()
		q := &discoveryv3.DeltaDiscoveryRequest{Node: p.node(), TypeUrl: t, ResourceNamesSubscribe: resourceNames(t), InitialResourceVersions: maps.Clone(p.resourceVersions[t])}
		p.mu.Unlock()
		if p.Faults.UnknownVersions {
			q.ResponseNonce, q.InitialResourceVersions = "never sent", map[string]string{"robinmast": "of another service", "long gone": "1"}
		}
		if err := s.Send(q); err != nil {
			return err
		}
	}
	for read := 0; ; read++ {
		if p.beforeRead(ctx, read) {
			return nil
		}
		r, err := s.Recv()
		if err != nil {
			return err
		}
		a := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: r.TypeUrl, ResponseNonce: r.Nonce}
		p.mu.Lock()
		p.messages++
		for _, b := range r.Resources {
			p.bytes += len(b.Resource.Value)
		}
		if r.TypeUrl == p.Faults.RejectedType {
			a.ErrorDetail = rejection()
		} else {
			for _, n := range r.RemovedResources {
				delete(p.resourceVersions[r.TypeUrl], n)
			}
			for _, b := range r.Resources {
				p.resourceVersions[r.TypeUrl][b.Name] = b.Version
				err = p.apply(b.Resource)
			}
		}
		p.mu.Unlock()
		if err != nil {
			return err
		}
		if p.Faults.NeverAcknowledges {
			continue
		}
		if err := s.Send(a); err != nil {
			return err
		}
	}
}

// apply takes endpoints; the lock must be held. Other types only have to parse.
func (p *Proxy) apply(b *anypb.Any) error {
	m, err := b.UnmarshalNew()
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	load, ok := m.(*endpointv3.ClusterLoadAssignment)
	if !ok {
		return nil
	}
	p.endpoints, p.dropPerMillion = map[string]Endpoint{}, 0
	for _, l := range load.Endpoints {
		for _, e := range l.LbEndpoints {
			a := e.GetEndpoint().GetAddress().GetSocketAddress()
			p.endpoints[fmt.Sprintf("%s:%d", a.GetAddress(), a.GetPortValue())] = Endpoint{
				Status: e.HealthStatus, Weight: e.GetLoadBalancingWeight().GetValue(), Zone: l.GetLocality().GetZone(), Priority: l.Priority,
			}
		}
	}
	for _, d := range load.GetPolicy().GetDropOverloads() {
		p.dropPerMillion += d.GetDropPercentage().GetNumerator()
	}
	return nil
}

// Status is what it was told of one server.
func (p *Proxy) Status(addr string) corev3.HealthStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[addr].Status
}
