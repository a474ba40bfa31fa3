package control

import (
	"fmt"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"robinmast/decide/xds"
)

// StreamAggregatedResources is the state-of-the-world form.
func (s *Streams) StreamAggregatedResources(g discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	x, err := s.open(g.Context(), xds.World)
	if err != nil {
		return err
	}
	defer s.close(x)
	return x.run(g.Context(), func() error {
		q, err := g.Recv()
		if err != nil {
			return err
		}
		t, known := typeOf(q.GetTypeUrl())
		if !known {
			return nil // a type that is not published: it never will be answered
		}
		return x.take(q.GetNode(), xds.Request{
			Type: t, Version: q.GetVersionInfo(), Nonce: q.GetResponseNonce(), Names: q.GetResourceNames(), Error: reason(q.GetErrorDetail().GetCode(), q.GetErrorDetail().GetMessage()),
		})
	}, func(r *xds.Response, bodies []*anypb.Any) error {
		return g.Send(&discoveryv3.DiscoveryResponse{VersionInfo: r.Version, Resources: bodies, TypeUrl: typeURLs[r.Type], Nonce: r.Nonce})
	})
}

// DeltaAggregatedResources is the incremental form.
func (s *Streams) DeltaAggregatedResources(g discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	x, err := s.open(g.Context(), xds.Delta)
	if err != nil {
		return err
	}
	defer s.close(x)
	return x.run(g.Context(), func() error {
		q, err := g.Recv()
		if err != nil {
			return err
		}
		t, known := typeOf(q.GetTypeUrl())
		if !known {
			return nil
		}
		return x.take(q.GetNode(), xds.Request{
			Type: t, Nonce: q.GetResponseNonce(), Subscribe: q.GetResourceNamesSubscribe(), Unsubscribe: q.GetResourceNamesUnsubscribe(),
			Initial: q.GetInitialResourceVersions(), Error: reason(q.GetErrorDetail().GetCode(), q.GetErrorDetail().GetMessage()),
		})
	}, func(r *xds.Response, bodies []*anypb.Any) error {
		out := &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: r.Version, TypeUrl: typeURLs[r.Type], Nonce: r.Nonce, RemovedResources: r.Removed}
		for i, b := range bodies {
			out.Resources = append(out.Resources, &discoveryv3.Resource{Name: r.Names[i], Version: fmt.Sprintf("%016x", digest(b)), Resource: b})
		}
		return g.Send(out)
	})
}

// reason is why a response was rejected; a rejection without a reason is one too.
func reason(code int32, message string) string {
	if code == 0 && message == "" {
		return ""
	}
	if message == "" {
		return fmt.Sprintf("code %d without a reason", code)
	}
	return message
}
