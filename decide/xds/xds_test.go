package xds

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// proxy models an xDS client: the resources it has and the requests it sends.
type proxy struct {
	form      Variant
	resources [NumTypes]map[string]string
	names     [NumTypes][]string
	version   [NumTypes]string
	nonce     [NumTypes]string
}

func snapshot(t Type, resources map[string]string) Snapshot {
	var parts []string
	for n, v := range resources {
		parts = append(parts, n+"="+v)
	}
	slices.Sort(parts)
	return Snapshot{Version: fmt.Sprintf("%v:%s", t, strings.Join(parts, ",")), Resources: resources}
}

// firstRequest returns the first request of a type on a new stream.
func (p *proxy) firstRequest(t Type) Request {
	r := Request{Type: t}
	if p.form == StateOfTheWorld {
		r.Version, r.Names = p.version[t], p.names[t]
		return r
	}
	r.Subscribe, r.InitialVersions = p.names[t], maps.Clone(p.resources[t])
	return r
}

// answer returns the ACK or, if reject is set, the NACK of a response. On an ACK it applies the response.
func (p *proxy) answer(s *Stream, r *Response, content map[string]string, reject bool) Request {
	p.nonce[r.Type] = r.Nonce
	answer := Request{Type: r.Type, Nonce: r.Nonce, Version: p.version[r.Type], Names: p.names[r.Type]}
	if p.form == Delta {
		answer.Names = nil
	}
	if reject {
		answer.Error = "no"
		return answer
	}
	if p.form == StateOfTheWorld {
		p.resources[r.Type] = map[string]string{}
		p.version[r.Type], answer.Version = r.Version, r.Version
	}
	for _, n := range r.Names {
		p.resources[r.Type][n] = content[n]
	}
	for _, n := range r.Removed {
		delete(p.resources[r.Type], n)
	}
	return answer
}

func newProxy(form Variant) *proxy {
	p := &proxy{form: form}
	for t := range p.resources {
		p.resources[t] = map[string]string{}
	}
	return p
}

// A proxy of either protocol variant subscribes, accepts, rejects, lags and reconnects in any
// order while the snapshots change. The invariants in the package comment hold throughout, and
// at the end the proxy has exactly the published resources that it subscribed to.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := newProxy(Variant(rapid.IntRange(0, 1).Draw(r, "form")))
		all := []string{"a", "b", "c", "d"}
		p.names[Endpoints] = []string{"a", "b"}
		p.names[Routes] = []string{"c"}
		var snap [NumTypes]Snapshot
		change := func(t Type) {
			m := map[string]string{}
			for _, n := range all {
				if v := rapid.IntRange(0, 3).Draw(r, "version"); v > 0 {
					m[n] = fmt.Sprint(v)
				}
			}
			snap[t] = snapshot(t, m)
		}
		for t := Type(0); t < NumTypes; t++ {
			change(t)
		}
		streams := 0
		var s *Stream
		var pending []*Response
		connect := func() {
			streams++
			s = New(p.form, fmt.Sprint(streams))
			s.Update(snap)
			pending = nil
			for t := Type(0); t < NumTypes; t++ {
				s.Request(p.firstRequest(t))
			}
		}
		connect()
		send := func() {
			for {
				x := s.Next()
				if x == nil {
					return
				}
				for _, o := range pending {
					if o.Type == x.Type {
						r.Fatalf("two responses of %v are pending", x.Type)
					}
				}
				if x.Version != snap[x.Type].Version {
					r.Fatalf("version %s is sent, the latest is %s", x.Version, snap[x.Type].Version)
				}
				for _, n := range x.Names {
					if subscribed := p.names[x.Type]; x.Type != Clusters && x.Type != Listeners && !slices.Contains(subscribed, n) {
						r.Fatalf("%v %s is sent without a subscription", x.Type, n)
					}
				}
				if p.form == Delta {
					for _, n := range x.Names {
						if held, ok := p.resources[x.Type][n]; ok && held == snap[x.Type].Resources[n] && x.Version != "" &&
							s.subscriptions[x.Type].nacks == 0 && !s.subscriptions[x.Type].newNames[n] {
							r.Fatalf("%v %s is sent again although the proxy has it", x.Type, n)
						}
					}
				}
				pending = append(pending, x)
			}
		}
		content := map[string]map[string]string{}
		for range rapid.IntRange(0, 40).Draw(r, "events") {
			typ := Type(rapid.IntRange(0, int(NumTypes)-1).Draw(r, "type"))
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0:
				change(typ)
				s.Update(snap)
			case 1:
				connect()
			case 2, 3:
				send()
				for _, x := range pending {
					if content[x.Version] == nil {
						content[x.Version] = snap[x.Type].Resources
					}
				}
				if len(pending) > 0 {
					x := pending[0]
					pending = pending[1:]
					s.Request(p.answer(s, x, content[x.Version], rapid.IntRange(0, 3).Draw(r, "reject") == 0))
				}
			case 4:
				send()
				for _, x := range pending {
					if content[x.Version] == nil {
						content[x.Version] = snap[x.Type].Resources
					}
				}
			default: // an answer with a nonce that was never sent
				s.Request(Request{Type: typ, Nonce: "never sent", Version: "x", Names: p.names[typ]})
			}
		}
		// Every type changes, since a rejected version is not sent again; then the proxy accepts everything.
		for t := Type(0); t < NumTypes; t++ {
			m := maps.Clone(snap[t].Resources)
			m["last"] = "1"
			snap[t] = snapshot(t, m)
		}
		s.Update(snap)
		for range 20 {
			send()
			for _, x := range pending {
				c := content[x.Version]
				if c == nil {
					c = snap[x.Type].Resources
				}
				s.Request(p.answer(s, x, c, false))
			}
			pending = nil
		}
		for t := Type(0); t < NumTypes; t++ {
			want := map[string]string{}
			for n, v := range snap[t].Resources {
				if len(p.names[t]) == 0 || slices.Contains(p.names[t], n) {
					want[n] = v
				}
			}
			if !maps.Equal(p.resources[t], want) {
				r.Fatalf("form %d, %v: the proxy has %v, want %v", p.form, t, p.resources[t], want)
			}
		}
	})
}

// snapshotsWith returns snapshots with resources of one type only.
func snapshotsWith(t Type, resources map[string]string) [NumTypes]Snapshot {
	var s [NumTypes]Snapshot
	s[t] = snapshot(t, resources)
	return s
}

// A proxy that reconnects with the published version is sent nothing; one with any other
// version, also of an earlier run of the service, is sent the latest at once.
func TestReconnect(t *testing.T) {
	snap := snapshotsWith(Clusters, map[string]string{"a": "1"})
	for version, sends := range map[string]bool{snap[Clusters].Version: false, "": true, "of an earlier run": true} {
		s := New(StateOfTheWorld, "x")
		s.Update(snap)
		s.Request(Request{Type: Clusters, Version: version, Nonce: "of another stream"})
		first := s.Next()
		if (first != nil) != sends {
			t.Errorf("version %q: sent %v", version, first != nil)
		}
		if first != nil {
			s.Request(Request{Type: Clusters, Nonce: first.Nonce, Version: first.Version})
		}
		s.Update(snapshotsWith(Clusters, map[string]string{"a": "2"}))
		for r := s.Next(); r != nil; r = s.Next() {
			s.Request(Request{Type: Clusters, Nonce: r.Nonce, Version: r.Version})
		}
		if st := s.Status(Clusters); st.Acked == "" || st.Acked != st.Sent {
			t.Errorf("version %q: %+v", version, st)
		}
	}
}

// A NACK leaves the accepted version as it is, is counted with its reason and does not affect
// other types; the rejected version is not sent again. Clusters are sent first.
func TestNack(t *testing.T) {
	s := New(StateOfTheWorld, "x")
	snap := snapshotsWith(Clusters, map[string]string{"a": "1"})
	snap[Endpoints] = snapshot(Endpoints, map[string]string{"a": "1"})
	s.Update(snap)
	s.Request(Request{Type: Endpoints, Names: []string{"a"}})
	s.Request(Request{Type: Clusters})
	c, e := s.Next(), s.Next()
	if c.Type != Clusters || e.Type != Endpoints || s.Next() != nil {
		t.Fatalf("%+v, %+v", c, e)
	}
	s.Request(Request{Type: Clusters, Nonce: c.Nonce, Error: strings.Repeat("bad ", 1000)})
	s.Request(Request{Type: Endpoints, Nonce: e.Nonce, Version: e.Version, Names: []string{"a"}})
	if s.Next() != nil {
		t.Error("the rejected version is sent again")
	}
	st := s.Status(Clusters)
	if st.Nacks != 1 || st.Acked != "" || len(st.LastNack) != maxNackBytes || s.Status(Endpoints).Acked == "" {
		t.Errorf("%+v, %+v", st, s.Status(Endpoints))
	}
	snap[Clusters] = snapshot(Clusters, map[string]string{"a": "2"})
	s.Update(snap)
	if r := s.Next(); r == nil || r.Type != Clusters {
		t.Error("the next version is not sent")
	}
}

// 50 updates while a response is pending lead to a single further response, of the latest version.
func TestUpdatesAreCoalesced(t *testing.T) {
	for _, form := range []Variant{StateOfTheWorld, Delta} {
		s := New(form, "x")
		s.Update(snapshotsWith(Clusters, map[string]string{"a": "0"}))
		s.Request(Request{Type: Clusters})
		first := s.Next()
		for i := 1; i <= 50; i++ {
			s.Update(snapshotsWith(Clusters, map[string]string{"a": fmt.Sprint(i)}))
			if s.Next() != nil {
				t.Fatal("a second response is sent while one is pending")
			}
		}
		s.Request(Request{Type: Clusters, Nonce: first.Nonce, Version: first.Version})
		r := s.Next()
		if r == nil || !strings.HasSuffix(r.Version, "a=50") || s.Next() != nil {
			t.Errorf("form %d: %+v", form, r)
		}
	}
}
