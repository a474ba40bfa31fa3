// Package proxy has a stand-in for a proxy that subscribes to an xDS control service over ADS, in the
// state-of-the-world and in the delta variant, with scripted faults. It is written from the protocol's public
// documentation. It routes no requests: it records the endpoints that it received. It is for tests only.
package proxy

import (
	"context"
	"errors"
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

// typeURLPrefix is the common prefix of the type URLs.
const typeURLPrefix = "type.googleapis.com/envoy.config."

// typeURLs are the type URLs of the resources to which a proxy subscribes, in the order of the requests.
var typeURLs = []string{
	typeURLPrefix + "cluster.v3.Cluster", typeURLPrefix + "endpoint.v3.ClusterLoadAssignment",
	typeURLPrefix + "listener.v3.Listener", typeURLPrefix + "route.v3.RouteConfiguration",
}

// Faults are the scripted faults of a proxy.
type Faults struct {
	NeverAcknowledges bool                      // reads responses but sends no ACK
	RejectedType      string                    // type URL of which every response is rejected (NACK)
	CloseStreamAfter  int                       // responses after which each stream is closed; 0 = never
	UnknownVersions   bool                      // begins each stream with a nonce and versions that were never sent
	BeforeRead        func(ctx context.Context) // called before each read of a response, nil = none
}

// Endpoint is the last received state of a server.
type Endpoint struct {
	Status   corev3.HealthStatus
	Weight   uint32
	Zone     string
	Priority uint32
}

// Proxy is a stand-in proxy. Its exported fields may be set before Run; its methods are safe for concurrent
// use.
type Proxy struct {
	Delta  bool // whether it uses the delta variant
	ID     string
	Zone   string
	Faults Faults

	conn *grpc.ClientConn

	mu               sync.Mutex
	versions         map[string]string            // state of the world: by type
	resourceVersions map[string]map[string]string // delta: by type and resource name
	endpoints        map[string]Endpoint          // by address
	dropPerMillion   uint32                       // of a million requests, how many to drop
	responses        int                          // received responses
	resourceBytes    int                          // received bytes of resources
	openedStreams    int                          // opened streams
}

// New returns a proxy that uses a connection to a control service; Run runs it.
func New(conn *grpc.ClientConn, id string, delta bool) *Proxy {
	p := &Proxy{
		Delta: delta, ID: id, conn: conn, versions: map[string]string{},
		resourceVersions: map[string]map[string]string{}, endpoints: map[string]Endpoint{},
	}
	for _, t := range typeURLs {
		p.resourceVersions[t] = map[string]string{}
	}
	return p
}

// Endpoints returns the received endpoints by address, and how many responses were received.
func (p *Proxy) Endpoints() (map[string]Endpoint, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.endpoints), p.responses
}

// DropPerMillion returns how many of a million requests the proxy is configured to drop.
func (p *Proxy) DropPerMillion() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropPerMillion
}

// Traffic returns the received bytes of resources and the number of opened streams.
func (p *Proxy) Traffic() (bytes, streams int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resourceBytes, p.openedStreams
}

// Run keeps a stream open, with backoff between attempts, until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	retry := backoff.New(
		backoff.Settings{
			MinWait: 10 * time.Millisecond, InitialSpan: 40 * time.Millisecond, MaxSpan: time.Second,
			Window: 10 * time.Second, Budget: 100,
		},
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	start := time.Now()
	for ctx.Err() == nil {
		retry.AttemptStarted(time.Since(start))
		p.mu.Lock()
		p.openedStreams++
		before := p.responses
		p.mu.Unlock()
		sctx, cancel := context.WithCancel(ctx)
		if p.Delta {
			_ = p.runDelta(sctx) // the stream is opened again whatever the error
		} else {
			_ = p.runStateOfTheWorld(sctx)
		}
		cancel()
		p.mu.Lock()
		if p.responses > before {
			retry.Succeeded()
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(retry.Failed(time.Since(start))):
		}
	}
}

// node returns the identity that the proxy sends.
func (p *Proxy) node() *corev3.Node {
	return &corev3.Node{Id: p.ID, Locality: &corev3.Locality{Zone: p.Zone}}
}

// resourceNames returns the names of the resources of a type to subscribe to; nil = all of them.
func resourceNames(t string) []string {
	if t == typeURLs[0] || t == typeURLs[2] {
		return nil
	}
	return []string{"robinmast"}
}

// rejection returns the error detail of a NACK (code 3 is INVALID_ARGUMENT).
func rejection() *rpcstatus.Status {
	return &rpcstatus.Status{Code: 3, Message: "rejected by the stand-in"}
}

// beforeRead applies the faults that precede a read and reports whether the stream must be closed; read is the
// number of responses read so far.
func (p *Proxy) beforeRead(ctx context.Context, read int) bool {
	if p.Faults.BeforeRead != nil {
		p.Faults.BeforeRead(ctx)
	}
	return p.Faults.CloseStreamAfter > 0 && read >= p.Faults.CloseStreamAfter
}

// runStateOfTheWorld runs one stream of the state-of-the-world variant.
func (p *Proxy) runStateOfTheWorld(ctx context.Context) error {
	s, err := discoveryv3.NewAggregatedDiscoveryServiceClient(p.conn).StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	for _, t := range typeURLs {
		p.mu.Lock()
		q := &discoveryv3.DiscoveryRequest{
			Node: p.node(), TypeUrl: t, VersionInfo: p.versions[t], ResourceNames: resourceNames(t),
		}
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
		a := &discoveryv3.DiscoveryRequest{
			TypeUrl: r.TypeUrl, ResponseNonce: r.Nonce, VersionInfo: r.VersionInfo, ResourceNames: resourceNames(r.TypeUrl),
		}
		p.mu.Lock()
		p.responses++
		for _, b := range r.Resources {
			p.resourceBytes += len(b.Value)
		}
		if r.TypeUrl == p.Faults.RejectedType {
			a.VersionInfo, a.ErrorDetail = p.versions[r.TypeUrl], rejection()
		} else {
			err = p.applyWorld(r)
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

// runDelta runs one stream of the delta variant.
func (p *Proxy) runDelta(ctx context.Context) error {
	s, err := discoveryv3.NewAggregatedDiscoveryServiceClient(p.conn).DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	for _, t := range typeURLs {
		p.mu.Lock()
		q := &discoveryv3.DeltaDiscoveryRequest{
			Node: p.node(), TypeUrl: t, ResourceNamesSubscribe: resourceNames(t),
			InitialResourceVersions: maps.Clone(p.resourceVersions[t]),
		}
		p.mu.Unlock()
		if p.Faults.UnknownVersions {
			q.ResponseNonce = "never sent"
			q.InitialResourceVersions = map[string]string{"robinmast": "of another service", "long gone": "1"}
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
		p.responses++
		for _, b := range r.Resources {
			p.resourceBytes += len(b.Resource.Value)
		}
		if r.TypeUrl == p.Faults.RejectedType {
			a.ErrorDetail = rejection()
		} else {
			err = p.applyChanges(r)
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

// applyWorld applies all resources of a response and stores its version, unless one of them is invalid. The lock must
// be held.
func (p *Proxy) applyWorld(r *discoveryv3.DiscoveryResponse) error {
	var errs []error
	for _, b := range r.Resources {
		errs = append(errs, p.apply(b))
	}
	err := errors.Join(errs...)
	if err == nil {
		p.versions[r.TypeUrl] = r.VersionInfo
	}
	return err
}

// applyChanges applies the changed resources of a response and stores the versions of the valid ones. The lock must
// be held.
func (p *Proxy) applyChanges(r *discoveryv3.DeltaDiscoveryResponse) error {
	versions := p.resourceVersions[r.TypeUrl]
	for _, name := range r.RemovedResources {
		delete(versions, name)
	}
	var errs []error
	for _, b := range r.Resources {
		err := p.apply(b.Resource)
		if err == nil {
			versions[b.Name] = b.Version
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// apply stores the endpoints of a ClusterLoadAssignment in place of the previous ones. Resources of other types
// are only decoded. The lock must be held.
func (p *Proxy) apply(b *anypb.Any) error {
	m, err := b.UnmarshalNew()
	if err != nil {
		return fmt.Errorf("decode resource: %w", err)
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
				Status: e.HealthStatus, Weight: e.GetLoadBalancingWeight().GetValue(),
				Zone: l.GetLocality().GetZone(), Priority: l.Priority,
			}
		}
	}
	for _, d := range load.GetPolicy().GetDropOverloads() {
		p.dropPerMillion += d.GetDropPercentage().GetNumerator()
	}
	return nil
}

// Status returns the received health status of a server, UNKNOWN if there is none.
func (p *Proxy) Status(addr string) corev3.HealthStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[addr].Status
}
