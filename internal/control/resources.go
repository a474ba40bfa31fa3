package control

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"robinmast/decide/fleet"
	"robinmast/decide/xds"
)

// ResourceName is the name of every resource that the service publishes.
const ResourceName = "robinmast"

// typeURLs are the type URLs of the resource types in the protocol.
var typeURLs = [xds.NumTypes]string{
	xds.Clusters:  "type.googleapis.com/envoy.config.cluster.v3.Cluster",
	xds.Endpoints: "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
	xds.Listeners: "type.googleapis.com/envoy.config.listener.v3.Listener",
	xds.Routes:    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
}

// typeForURL returns the resource type of a type URL and whether it is known.
func typeForURL(url string) (xds.Type, bool) {
	i := slices.Index(typeURLs[:], url)
	return xds.Type(max(i, 0)), i >= 0
}

// resources are the xDS resources of one view for proxies of one zone.
type resources struct {
	version   uint64
	snapshots [xds.NumTypes]xds.Snapshot
	bodies    [xds.NumTypes]map[string]*anypb.Any
}

// healthStatus maps node states to endpoint health. A node that is gone is not listed at all.
var healthStatus = map[fleet.State]corev3.HealthStatus{
	fleet.Healthy: corev3.HealthStatus_HEALTHY, fleet.Warming: corev3.HealthStatus_HEALTHY,
	fleet.Failing: corev3.HealthStatus_DEGRADED, fleet.Leaving: corev3.HealthStatus_DRAINING,
	fleet.Damped: corev3.HealthStatus_UNHEALTHY, fleet.Refusing: corev3.HealthStatus_UNHEALTHY,
	fleet.Silent: corev3.HealthStatus_UNHEALTHY,
}

// adsSource tells proxies to fetch a resource over the aggregated stream.
var adsSource = &corev3.ConfigSource{
	ResourceApiVersion:    corev3.ApiVersion_V3,
	ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}},
}

// buildResources builds the resources of a view for proxies of a zone: a cluster, its endpoints by
// zone, a listener and a route, each with a hash of its content as its version.
func buildResources(view *fleet.View, zone string) (*resources, error) {
	built := &resources{version: view.Version}
	assignment, limit := buildEndpoints(view, zone)
	cluster := buildCluster(limit)
	listener, err := buildListener()
	if err != nil {
		return nil, err
	}
	route := &routev3.RouteConfiguration{Name: ResourceName, VirtualHosts: []*routev3.VirtualHost{{
		Name: ResourceName, Domains: []string{"*"},
		Routes: []*routev3.Route{{
			Match: &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: "/"}},
			Action: &routev3.Route_Route{Route: &routev3.RouteAction{
				ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: ResourceName},
			}},
		}},
	}}}
	for t, message := range [xds.NumTypes]proto.Message{
		xds.Clusters: cluster, xds.Endpoints: assignment, xds.Listeners: listener, xds.Routes: route,
	} {
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		if err != nil {
			return nil, fmt.Errorf("%v: %w", xds.Type(t), err)
		}
		body := &anypb.Any{TypeUrl: typeURLs[t], Value: encoded}
		version := fmt.Sprintf("%016x", contentHash(body))
		built.bodies[t] = map[string]*anypb.Any{ResourceName: body}
		built.snapshots[t] = xds.Snapshot{Version: version, Resources: map[string]string{ResourceName: version}}
	}
	return built, nil
}

// buildEndpoints builds the endpoints of a view by zone, and returns the sum of the concurrency
// limits of the nodes that serve. The proxies' own zone has priority 0 and all others 1; without a
// zone all have 0.
func buildEndpoints(view *fleet.View, zone string) (_ *endpointv3.ClusterLoadAssignment, limit float64) {
	localities := map[string]*endpointv3.LocalityLbEndpoints{}
	for _, n := range view.Nodes {
		status, listed := healthStatus[n.State]
		if !listed {
			continue
		}
		host, port, err := net.SplitHostPort(n.Addr)
		if err != nil {
			continue // without an address no requests can be routed to it
		}
		portNumber, err := strconv.ParseUint(port, 10, 16)
		if err != nil {
			continue
		}
		if n.State.Serves() {
			limit += n.Limit
		}
		locality := localities[n.Zone]
		if locality == nil {
			locality = &endpointv3.LocalityLbEndpoints{
				Locality: &corev3.Locality{Zone: n.Zone}, LoadBalancingWeight: wrapperspb.UInt32(0),
			}
			if zone != "" && n.Zone != zone {
				locality.Priority = 1
			}
			localities[n.Zone] = locality
		}
		weight := uint32(max(n.Weight, 1))
		if n.State.Serves() {
			locality.LoadBalancingWeight.Value += weight
		}
		locality.LbEndpoints = append(locality.LbEndpoints, &endpointv3.LbEndpoint{
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
				Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
					Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(portNumber)},
				}}},
				Hostname: n.Name,
			}},
			HealthStatus: status, LoadBalancingWeight: wrapperspb.UInt32(weight),
		})
	}
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: ResourceName}
	for _, locality := range localities {
		locality.LoadBalancingWeight.Value = max(locality.LoadBalancingWeight.Value, 1)
		assignment.Endpoints = append(assignment.Endpoints, locality)
	}
	slices.SortFunc(assignment.Endpoints, func(a, b *endpointv3.LocalityLbEndpoints) int {
		return cmp.Compare(a.Locality.Zone, b.Locality.Zone)
	})
	hasPriority0 := func(locality *endpointv3.LocalityLbEndpoints) bool { return locality.Priority == 0 }
	if len(assignment.Endpoints) > 0 && !slices.ContainsFunc(assignment.Endpoints, hasPriority0) {
		for _, locality := range assignment.Endpoints { // priorities must begin at 0: the own zone is empty
			locality.Priority = 0
		}
	}
	if view.Drop > 0 {
		drop := &endpointv3.ClusterLoadAssignment_Policy_DropOverload{
			Category: "the whole fleet refuses",
			DropPercentage: &typev3.FractionalPercent{
				Numerator: uint32(math.Round(view.Drop * 1e6)), Denominator: typev3.FractionalPercent_MILLION,
			},
		}
		assignment.Policy = &endpointv3.ClusterLoadAssignment_Policy{
			DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{drop},
		}
	}
	return assignment, limit
}

// buildCluster builds the cluster; limit is the sum of the nodes' concurrency limits, 0 = unknown.
func buildCluster(limit float64) *clusterv3.Cluster {
	breakers := &clusterv3.CircuitBreakers{}
	if limit > 0 { // the sum of the concurrency limits, and as much again for the queues
		maxRequests := wrapperspb.UInt32(uint32(min(max(2*math.Ceil(limit/8)*8, 1), math.MaxUint32)))
		breakers.Thresholds = []*clusterv3.CircuitBreakers_Thresholds{
			{MaxRequests: maxRequests, MaxPendingRequests: maxRequests},
		}
	}
	return &clusterv3.Cluster{
		Name: ResourceName, ConnectTimeout: durationpb.New(time.Second), LbPolicy: clusterv3.Cluster_ROUND_ROBIN,
		CircuitBreakers:      breakers,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		OutlierDetection: &clusterv3.OutlierDetection{ // a proxy ejects a node that fails for it, for a short time
			Consecutive_5Xx: wrapperspb.UInt32(2), BaseEjectionTime: durationpb.New(500 * time.Millisecond),
			MaxEjectionTime: durationpb.New(8 * time.Second), MaxEjectionPercent: wrapperspb.UInt32(50),
		},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{EdsConfig: adsSource, ServiceName: ResourceName},
	}
}

// buildListener builds the listener, which refers to the route.
func buildListener() (*listenerv3.Listener, error) {
	manager, err := anypb.New(&hcmv3.HttpConnectionManager{
		StatPrefix: ResourceName,
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{
			Rds: &hcmv3.Rds{ConfigSource: adsSource, RouteConfigName: ResourceName},
		},
	})
	if err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	return &listenerv3.Listener{Name: ResourceName, ApiListener: &listenerv3.ApiListener{ApiListener: manager}}, nil
}

// contentHash returns the hash of a resource that serves as its version: the same bytes have the
// same version after a restart of the service too.
func contentHash(body *anypb.Any) uint64 { return xxhash.Sum64(body.GetValue()) }
