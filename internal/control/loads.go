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

// loadReportInterval is the interval at which proxies are asked to report load.
const loadReportInterval = 2 * time.Second

// LoadReporting implements the load reporting service (LRS) of Envoy. It passes the request counts that
// proxies report to Service, for nodes in its view only.
type LoadReporting struct {
	loadv3.UnimplementedLoadReportingServiceServer

	Service *Service

	open atomic.Int64 // streams that are open, at most maxStreams
}

// StreamLoadStats receives the load reports of a proxy. Endpoints are mapped to nodes by address.
func (l *LoadReporting) StreamLoadStats(server loadv3.LoadReportingService_StreamLoadStatsServer) error {
	if !l.Service.Streams.allowed(server.Context()) {
		return status.Error(codes.PermissionDenied, "this proxy may not subscribe")
	}
	if l.open.Add(1) > maxStreams {
		l.open.Add(-1)
		return status.Error(codes.ResourceExhausted, "too many load reports")
	}
	defer l.open.Add(-1)
	proxy := ""
	if client, ok := peer.FromContext(server.Context()); ok {
		proxy = client.Addr.String()
	}
	for first := true; ; first = false {
		request, err := server.Recv()
		if err != nil {
			return nil // the proxy disconnected; it will reconnect
		}
		if id := request.GetNode().GetId(); id != "" {
			proxy = truncate(id)
		}
		if first {
			err := server.Send(&loadv3.LoadStatsResponse{
				SendAllClusters: true, Clusters: []string{ResourceName},
				LoadReportingInterval: durationpb.New(loadReportInterval), ReportEndpointGranularity: true,
			})
			if err != nil {
				return fmt.Errorf("load reports: %w", err)
			}
		}
		nodeNames := map[string]string{}
		for _, n := range l.Service.View().Nodes {
			nodeNames[n.Addr] = n.Name
		}
		for _, cluster := range request.GetClusterStats() {
			for _, locality := range cluster.GetUpstreamLocalityStats() {
				for _, endpoint := range locality.GetUpstreamEndpointStats() {
					address := endpoint.GetAddress().GetSocketAddress()
					if node, ok := nodeNames[fmt.Sprintf("%s:%d", address.GetAddress(), address.GetPortValue())]; ok {
						l.Service.ObserveLoad(fleet.ProxyLoad{
							Proxy: proxy, Node: node,
							Good: float64(endpoint.GetTotalSuccessfulRequests()), Bad: float64(endpoint.GetTotalErrorRequests()),
						})
					}
				}
			}
		}
	}
}
