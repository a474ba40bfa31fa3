// This file owns what proxies report of load (LRS): it asks for it and hands it
// to the loop as evidence. It must never believe more than counts of the nodes
// that are in the view.

package control

import (
	"fmt"
	"sync/atomic"
	"time"

	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"robinmast/decide/fleet"
)

// loadEvery is how often proxies are asked to report.
const loadEvery = 2 * time.Second

// Loads serves the load reporting service.
type Loads struct {
	loadv3.UnimplementedLoadReportingServiceServer

	Service *Service

	open atomic.Int64
}

// StreamLoadStats takes a proxy's reports; endpoints are told by address.
func (l *Loads) StreamLoadStats(g loadv3.LoadReportingService_StreamLoadStatsServer) error {
	if !l.Service.Streams.allowed(g.Context()) {
		return status.Error(codes.PermissionDenied, "this proxy may not subscribe")
	}
	if l.open.Add(1) > mostStreams {
		l.open.Add(-1)
		return status.Error(codes.ResourceExhausted, "too many load reports")
	}
	defer l.open.Add(-1)
	who := ""
	if p, ok := peer.FromContext(g.Context()); ok {
		who = p.Addr.String()
	}
	for first := true; ; first = false {
		q, err := g.Recv()
		if err != nil {
			return nil // the proxy went; it comes back by itself
		}
		if id := q.GetNode().GetId(); id != "" {
			who = clip(id)
		}
		if first {
			err := g.Send(&loadv3.LoadStatsResponse{
				SendAllClusters: true, Clusters: []string{Name}, LoadReportingInterval: durationpb.New(loadEvery), ReportEndpointGranularity: true,
			})
			if err != nil {
				return fmt.Errorf("load reports: %w", err)
			}
		}
		names := map[string]string{}
		for _, n := range l.Service.View().Nodes {
			names[n.Addr] = n.Name
		}
		for _, c := range q.GetClusterStats() {
			for _, z := range c.GetUpstreamLocalityStats() {
				for _, e := range z.GetUpstreamEndpointStats() {
					a := e.GetAddress().GetSocketAddress()
					if node, ok := names[fmt.Sprintf("%s:%d", a.GetAddress(), a.GetPortValue())]; ok {
						l.Service.Saw(fleet.ProxyLoad{
							Proxy: who, Node: node, Good: float64(e.GetTotalSuccessfulRequests()), Bad: float64(e.GetTotalErrorRequests()),
						})
					}
				}
			}
		}
	}
}
