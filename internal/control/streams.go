package control

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"

	"robinmast/decide/fleet"
	"robinmast/decide/recovery"
	"robinmast/decide/xds"
)

// The first response of a type on a stream holds the full set of resources. Its bytes take up
// memory of the service until the proxy reads them, and when all proxies reconnect at once each
// needs one. Therefore at most maxFullResponses are written at a time, first to the proxies that
// were served longest ago. A proxy that does not read keeps its slot for at most
// fullResponseTimeout.
const (
	maxFullResponses    = 64
	fullResponseTimeout = 250 * time.Millisecond
)

// maxStreams limits the connected proxies; further streams are rejected with an error.
const maxStreams = 5000

// Streams implements the aggregated discovery service of xDS. Its methods are safe for concurrent
// use.
type Streams struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer

	Sent     atomic.Int64 // responses
	Nacks    atomic.Int64 // received
	Rejected atomic.Int64 // streams that were not accepted

	// MaySubscribe reports whether the proxy on a TLS connection may subscribe; nil allows all.
	// It must be set before the first stream.
	MaySubscribe func(*tls.ConnectionState) bool

	mu          sync.Mutex
	view        *fleet.View
	resources   map[string]*resources // built from view, by zone, on the first request of the zone
	streams     map[*stream]struct{}
	unpublished bool // Publish was not called yet, so proxies wait

	start       time.Time
	schedulerMu sync.Mutex // guards the fields below
	scheduler   *recovery.FairScheduler
	queued      map[uint64]chan struct{} // by ticket, closed when it is granted
	grantTimer  *time.Timer
}

// NewStreams returns a server that has published nothing.
func NewStreams() *Streams {
	return &Streams{
		streams: map[*stream]struct{}{}, resources: map[string]*resources{}, unpublished: true, start: time.Now(),
		scheduler: recovery.NewFairScheduler(maxFullResponses, fullResponseTimeout),
		queued:    map[uint64]chan struct{}{},
	}
}

// Publish makes a view the latest and notifies all streams. A proxy that is several views behind
// is sent the latest one only.
func (s *Streams) Publish(view *fleet.View) {
	s.mu.Lock()
	s.view, s.unpublished = view, false
	clear(s.resources)
	for x := range s.streams {
		x.notify()
	}
	s.mu.Unlock()
}

// latestResources returns the resources of the latest view for proxies of a zone, nil before the
// first Publish.
func (s *Streams) latestResources(zone string) (*resources, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unpublished {
		return nil, nil
	}
	known := zone == "" || slices.ContainsFunc(s.view.Nodes, func(n fleet.Node) bool { return n.Zone == zone })
	if !known { // zone names come from proxies: only existing zones get an entry in the map
		zone = ""
	}
	if resources := s.resources[zone]; resources != nil {
		return resources, nil
	}
	resources, err := buildResources(s.view, zone)
	if err == nil {
		s.resources[zone] = resources
	}
	return resources, err
}

// stream is the xDS stream of one proxy.
type stream struct {
	streams *Streams
	wakeup  chan struct{}

	mu          sync.Mutex
	state       *xds.Stream // protocol state of each type
	variant     xds.Variant
	node        string
	zone        string
	peer        string
	fullSent    [xds.NumTypes]bool // by type, whether a full response was sent; used by the writing goroutine only
	connected   time.Time
	lastRequest time.Time // time of the last request
}

// notify wakes up the writing goroutine without waiting for it.
func (x *stream) notify() {
	select {
	case x.wakeup <- struct{}{}:
	default:
	}
}

// newSalt returns a random string that tells the nonces of this stream from those of others.
func newSalt() string {
	b := make([]byte, 6)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// allowed reports whether the client of the call with context ctx may subscribe.
func (s *Streams) allowed(ctx context.Context) bool {
	if s.MaySubscribe == nil {
		return true
	}
	client, ok := peer.FromContext(ctx)
	if !ok {
		return false
	}
	security, ok := client.AuthInfo.(credentials.TLSInfo)
	return ok && s.MaySubscribe(&security.State)
}

// register adds a stream. It returns a gRPC status error if the proxy may not subscribe or if there
// are too many streams.
func (s *Streams) register(ctx context.Context, variant xds.Variant) (*stream, error) {
	if !s.allowed(ctx) {
		s.Rejected.Add(1)
		return nil, status.Error(codes.PermissionDenied, "this proxy may not subscribe")
	}
	x := &stream{streams: s, wakeup: make(chan struct{}, 1), state: xds.New(variant, newSalt()), variant: variant,
		connected: time.Now(), lastRequest: time.Now()}
	if client, ok := peer.FromContext(ctx); ok {
		x.peer = client.Addr.String()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= maxStreams {
		s.Rejected.Add(1)
		return nil, status.Errorf(codes.ResourceExhausted, "%d proxies are connected", len(s.streams))
	}
	s.streams[x] = struct{}{}
	return x, nil
}

// unregister removes a stream.
func (s *Streams) unregister(x *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, x)
}

// maxTextBytes is how many bytes of a text from outside are kept.
const maxTextBytes = 128

// truncate cuts a text from outside to maxTextBytes, between two characters: the encoding of resources rejects
// invalid UTF-8.
func truncate(s string) string { return strings.ToValidUTF8(s[:min(len(s), maxTextBytes)], "") }

// receive passes a request to the stream's state machine.
func (x *stream) receive(node *corev3.Node, request xds.Request) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastRequest = time.Now()
	if node != nil && x.node == "" {
		x.node, x.zone = truncate(node.GetId()), truncate(node.GetLocality().GetZone())
	}
	if request.Error != "" {
		x.streams.Nacks.Add(1)
	}
	if !x.state.Request(request) {
		return status.Error(codes.InvalidArgument, "more names than one stream may subscribe to")
	}
	x.notify()
	return nil
}

// nextResponse returns the response to send now and its resources, nil if there is none.
func (x *stream) nextResponse() (*xds.Response, []*anypb.Any, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	resources, err := x.streams.latestResources(x.zone)
	if resources == nil || err != nil {
		return nil, nil, err
	}
	x.state.Update(resources.snapshots)
	response := x.state.Next()
	if response == nil {
		return nil, nil, nil
	}
	var bodies []*anypb.Any
	for _, name := range response.Names {
		bodies = append(bodies, resources.bodies[response.Type][name])
	}
	return response, bodies, nil
}

// send writes a response. The first one of a type is a full response, which needs a slot.
func (x *stream) send(
	ctx context.Context, response *xds.Response, bodies []*anypb.Any,
	write func(*xds.Response, []*anypb.Any) error,
) error {
	if !x.fullSent[response.Type] {
		x.fullSent[response.Type] = true
		x.mu.Lock()
		name := x.node
		x.mu.Unlock()
		release, err := x.streams.acquireFullResponse(ctx, name)
		if err != nil {
			return err
		}
		defer release()
	}
	return write(response, bodies)
}

// run reads requests in a goroutine of its own and writes responses in the calling one until the
// stream ends.
func (x *stream) run(
	ctx context.Context, read func() error, write func(*xds.Response, []*anypb.Any) error,
) error {
	readErr := make(chan error, 1)
	go func() {
		for {
			if err := read(); err != nil {
				readErr <- err
				return
			}
		}
	}()
	for {
		response, bodies, err := x.nextResponse()
		if err != nil {
			return status.Error(codes.Internal, err.Error())
		}
		if response != nil {
			if err := x.send(ctx, response, bodies, write); err != nil {
				return err
			}
			x.streams.Sent.Add(1)
			continue
		}
		select {
		case <-x.wakeup:
		case err := <-readErr:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
