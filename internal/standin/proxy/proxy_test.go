package proxy

import (
	"testing"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"
)

// Guards against tests of the control service that pass although it sends a resource that cannot be decoded: a valid
// resource after it hid the error, and its version counted as applied.
func TestInvalidResourceIsReported(t *testing.T) {
	valid, err := anypb.New(&clusterv3.Cluster{Name: "valid"})
	if err != nil {
		t.Fatal(err)
	}
	invalid := &anypb.Any{TypeUrl: typeURLs[0], Value: []byte{0xff}}
	for _, resources := range [][]*anypb.Any{{invalid, valid}, {valid, invalid}} {
		p := New(nil, "p", false)
		if err := p.applyWorld(&discoveryv3.DiscoveryResponse{
			TypeUrl: typeURLs[0], VersionInfo: "1", Resources: resources,
		}); err == nil || p.versions[typeURLs[0]] != "" {
			t.Errorf("state of the world: error %v, version %q", err, p.versions[typeURLs[0]])
		}
		changes := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: typeURLs[0]}
		for _, resource := range resources {
			name := map[bool]string{true: "valid", false: "invalid"}[resource == valid]
			changes.Resources = append(changes.Resources, &discoveryv3.Resource{Name: name, Version: "1", Resource: resource})
		}
		if err := p.applyChanges(changes); err == nil || len(p.resourceVersions[typeURLs[0]]) != 1 {
			t.Errorf("delta: error %v, versions %v", err, p.resourceVersions[typeURLs[0]])
		}
	}
}
