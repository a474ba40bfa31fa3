// Package control owns the control service: it takes reports, keeps the view that
// decide/fleet makes of them, and hands it to proxies through xDS. This file owns
// the streams: one state machine each, one goroutine that reads and one that
// writes, so that a proxy that takes nothing holds up nobody. It must never
// decide what is sent; decide/xds does.
package control

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"io"
	"slices"
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

// Whole answers, which every proxy wants when all come back at once, are given to so
// many proxies at a time, whoever was served longest ago first: their bytes are the
// service's memory until they are taken. A proxy that takes nothing keeps its turn for
// no longer.
const (
	wholeAtOnce = 64
	wholeFor    = 250 * time.Millisecond
)

// mostStreams bounds the proxies; further ones are turned away with a reason.
const mostStreams = 5000

// Streams serves the aggregated discovery service.
type Streams struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer

	Sent, Nacks, TurnedAway atomic.Int64

	// May says which proxies may subscribe, by their connection; nil = all. It is
	// set before the first stream.
	May func(*tls.ConnectionState) bool

	mu      sync.Mutex
	view    *fleet.View
	zones   map[string]*published // of view, by zone, made when first asked for
	streams map[*stream]struct{}
	empty   bool // nothing was published yet: proxies wait

	began   time.Time
	turnMu  sync.Mutex // guards the next group
	turns   *recovery.FairScheduler
	waiting map[uint64]chan struct{} // closed when a turn is granted
	waker   *time.Timer
}

// NewStreams returns a server that has published nothing.
func NewStreams() *Streams {
	return &Streams{streams: map[*stream]struct{}{}, zones: map[string]*published{}, empty: true, began: time.Now(),
		turns: recovery.NewFairScheduler(wholeAtOnce, wholeFor), waiting: map[uint64]chan struct{}{}}
}

// Publish makes a view the latest. Whoever is behind goes straight to it.
func (s *Streams) Publish(v *fleet.View) {
	s.mu.Lock()
	s.view, s.empty = v, false
	clear(s.zones)
	for x := range s.streams {
		x.wake()
	}
	s.mu.Unlock()
}

// latest is what a zone's proxies are given now, nil before the first Publish.
func (s *Streams) latest(zone string) (*published, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.empty {
		return nil, nil
	}
	known := zone == "" || slices.ContainsFunc(s.view.Nodes, func(n fleet.Node) bool { return n.Zone == zone })
	if !known { // any name may be told: only zones that exist have a form of their own
		zone = ""
	}
	if p := s.zones[zone]; p != nil {
		return p, nil
	}
	p, err := publish(s.view, zone)
	if err == nil {
		s.zones[zone] = p
	}
	return p, err
}

// stream is one proxy's.
type stream struct {
	s    *Streams
	poke chan struct{}

	mu    sync.Mutex
	state *xds.Stream
	form  xds.Form
	node  string
	zone  string
	peer  string
	given [xds.NumTypes]bool // a whole answer, by type; the writing goroutine's own
	since time.Time
	last  time.Time // it was heard
}

func (x *stream) wake() {
	select {
	case x.poke <- struct{}{}:
	default:
	}
}

func salt() string {
	b := make([]byte, 6)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// allowed reports whether whoever is behind ctx may subscribe.
func (s *Streams) allowed(ctx context.Context) bool {
	if s.May == nil {
		return true
	}
	p, ok := peer.FromContext(ctx)
	if !ok {
		return false
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	return ok && s.May(&info.State)
}

// open notes a stream.
func (s *Streams) open(ctx context.Context, form xds.Form) (*stream, error) {
	if !s.allowed(ctx) {
		s.TurnedAway.Add(1)
		return nil, status.Error(codes.PermissionDenied, "this proxy may not subscribe")
	}
	x := &stream{s: s, poke: make(chan struct{}, 1), state: xds.New(form, salt()), form: form, since: time.Now(), last: time.Now()}
	if p, ok := peer.FromContext(ctx); ok {
		x.peer = p.Addr.String()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= mostStreams {
		s.TurnedAway.Add(1)
		return nil, status.Errorf(codes.ResourceExhausted, "%d proxies are connected", len(s.streams))
	}
	s.streams[x] = struct{}{}
	return x, nil
}

func (s *Streams) close(x *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, x)
}

// clip bounds what a proxy says of itself.
func clip(s string) string { return s[:min(len(s), 128)] }

// take hands a request to the stream's state machine.
func (x *stream) take(n *corev3.Node, r xds.Request) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.last = time.Now()
	if n != nil && x.node == "" {
		x.node, x.zone = clip(n.GetId()), clip(n.GetLocality().GetZone())
	}
	if r.Error != "" {
		x.s.Nacks.Add(1)
	}
	if !x.state.Request(r) {
		return status.Error(codes.InvalidArgument, "more names than one stream may subscribe to")
	}
	x.wake()
	return nil
}

// next is what to send now, with the bodies, nil for nothing.
func (x *stream) next() (*xds.Response, []*anypb.Any, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p, err := x.s.latest(x.zone)
	if p == nil || err != nil {
		return nil, nil, err
	}
	x.state.Update(p.snaps)
	r := x.state.Next()
	if r == nil {
		return nil, nil, nil
	}
	var bodies []*anypb.Any
	for _, name := range r.Names {
		bodies = append(bodies, p.bodies[r.Type][name])
	}
	return r, bodies, nil
}

// send writes a response. The first of a type is a whole answer, which takes a turn.
func (x *stream) send(ctx context.Context, r *xds.Response, bodies []*anypb.Any, write func(*xds.Response, []*anypb.Any) error) error {
	if !x.given[r.Type] {
		x.given[r.Type] = true
		x.mu.Lock()
		name := x.node
		x.mu.Unlock()
		done, err := x.s.whole(ctx, name)
		if err != nil {
			return err
		}
		defer done()
	}
	return write(r, bodies)
}

// run reads by one goroutine and writes by this one until the stream ends.
func (x *stream) run(ctx context.Context, read func() error, write func(*xds.Response, []*anypb.Any) error) error {
	ended := make(chan error, 1)
	go func() {
		for {
			if err := read(); err != nil {
				ended <- err
				return
			}
		}
	}()
	for {
		r, bodies, err := x.next()
		if err != nil {
			return status.Error(codes.Internal, err.Error())
		}
		if r != nil {
			if err := x.send(ctx, r, bodies, write); err != nil {
				return err
			}
			x.s.Sent.Add(1)
			continue
		}
		select {
		case <-x.poke:
		case err := <-ended:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
