package control

import (
	"slices"
	"strings"
	"time"

	"robinmast/decide/xds"
)

// Proxy is the state of a connected proxy, as GET /proxies returns it under the Go field names.
type Proxy struct {
	Node, Zone string    // as the proxy names itself
	Peer       string    // remote address
	Form       string    // protocol variant, "world" or "delta"
	Since      time.Time // time at which it connected
	Heard      time.Time // time of its last request
	Types      map[string]xds.Status
	Behind     []string // types of which it has not accepted the latest version
}

// Proxies returns the connected proxies, sorted by name and address.
func (s *Streams) Proxies() []Proxy {
	s.mu.Lock()
	all := make([]*stream, 0, len(s.streams))
	for x := range s.streams {
		all = append(all, x)
	}
	s.mu.Unlock()
	list := make([]Proxy, 0, len(all))
	for _, x := range all {
		x.mu.Lock()
		p := Proxy{
			Node: x.node, Zone: x.zone, Peer: x.peer, Form: [...]string{"world", "delta"}[x.variant],
			Since: x.connected, Heard: x.lastRequest, Types: map[string]xds.Status{},
		}
		latest, err := s.latestResources(x.zone)
		for t := xds.Type(0); t < xds.NumTypes; t++ {
			st := x.state.Status(t)
			if !st.Subscribed {
				continue
			}
			p.Types[t.String()] = st
			if err == nil && latest != nil && st.Acked != latest.snapshots[t].Version {
				p.Behind = append(p.Behind, t.String())
			}
		}
		x.mu.Unlock()
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Proxy) int { return strings.Compare(a.Node+a.Peer, b.Node+b.Peer) })
	return list
}
