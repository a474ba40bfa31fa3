package control

import (
	"fmt"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"robinmast/decide/xds"
)

// StreamAggregatedResources serves a stream of the state-of-the-world variant.
func (s *Streams) StreamAggregatedResources(
	server discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer,
) error {
	x, err := s.register(server.Context(), xds.StateOfTheWorld)
	if err != nil {
		return err
	}
	defer s.unregister(x)
	return x.run(server.Context(), func() error {
		request, err := server.Recv()
		if err != nil {
			return err
		}
		resourceType, known := typeForURL(request.GetTypeUrl())
		if !known {
			return nil // this type is not published, so the request gets no response
		}
		return x.receive(request.GetNode(), xds.Request{
			Type: resourceType, Version: request.GetVersionInfo(), Nonce: request.GetResponseNonce(),
			Names: request.GetResourceNames(),
			Error: nackReason(request.GetErrorDetail().GetCode(), request.GetErrorDetail().GetMessage()),
		})
	}, func(response *xds.Response, bodies []*anypb.Any) error {
		return server.Send(&discoveryv3.DiscoveryResponse{
			VersionInfo: response.Version, Resources: bodies, TypeUrl: typeURLs[response.Type], Nonce: response.Nonce,
		})
	})
}

// DeltaAggregatedResources serves a stream of the delta (incremental) variant.
func (s *Streams) DeltaAggregatedResources(
	server discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer,
) error {
	x, err := s.register(server.Context(), xds.Delta)
	if err != nil {
		return err
	}
	defer s.unregister(x)
	return x.run(server.Context(), func() error {
		request, err := server.Recv()
		if err != nil {
			return err
		}
		resourceType, known := typeForURL(request.GetTypeUrl())
		if !known {
			return nil
		}
		return x.receive(request.GetNode(), xds.Request{
			Type: resourceType, Nonce: request.GetResponseNonce(),
			Subscribe: request.GetResourceNamesSubscribe(), Unsubscribe: request.GetResourceNamesUnsubscribe(),
			InitialVersions: request.GetInitialResourceVersions(),
			Error:           nackReason(request.GetErrorDetail().GetCode(), request.GetErrorDetail().GetMessage()),
		})
	}, func(response *xds.Response, bodies []*anypb.Any) error {
		out := &discoveryv3.DeltaDiscoveryResponse{
			SystemVersionInfo: response.Version, TypeUrl: typeURLs[response.Type], Nonce: response.Nonce,
			RemovedResources: response.Removed,
		}
		for i, body := range bodies {
			out.Resources = append(out.Resources, &discoveryv3.Resource{
				Name: response.Names[i], Version: fmt.Sprintf("%016x", contentHash(body)), Resource: body,
			})
		}
		return server.Send(out)
	})
}

// nackReason returns why a proxy rejected a response, empty if it did not. A NACK may have only an
// error code.
func nackReason(code int32, message string) string {
	if code == 0 && message == "" {
		return ""
	}
	if message == "" {
		return fmt.Sprintf("code %d without a reason", code)
	}
	return message
}
