// Package xds decides what to send next on the xDS stream of one proxy: which resources,
// with which version and nonce and in which order, and what an ACK, a NACK or a nonce of a
// former stream means. It implements both variants of the protocol, state-of-the-world and
// delta (incremental). It handles resource names and versions only, never their content.
//
// The package does no I/O, reads no clock and writes no log. A Stream is not safe for
// concurrent use.
//
// TestInvariants checks the invariants: at most one response of each type awaits its ACK or
// NACK, so that a proxy that never answers costs one response; each response is built from
// the latest snapshot; it holds only resources that the proxy subscribed to and, in delta,
// only those that it does not have; a proxy that has accepted everything has exactly the
// part of the snapshot that it subscribed to.
//
// Source: "xDS REST and gRPC protocol" in the documentation of Envoy.
package xds

import (
	"maps"
	"slices"
	"strconv"
)

// Type is an xDS resource type.
type Type uint8

// Resource types in the order in which they are sent (make before break).
const (
	Clusters Type = iota
	Endpoints
	Listeners
	Routes
	NumTypes // number of resource types
)

// String returns the name of the type's discovery service, such as "CDS".
func (t Type) String() string { return [...]string{"CDS", "EDS", "LDS", "RDS"}[t] }

// Snapshot holds the published resources of one type. Versions are digests of content, so
// they keep their meaning when the service restarts.
type Snapshot struct {
	Version   string            // of the whole snapshot
	Resources map[string]string // version of each resource by its name
}

// Variant is the protocol variant that a stream uses.
type Variant uint8

// Protocol variants.
const (
	StateOfTheWorld Variant = iota // each response lists all resources of its type
	Delta                          // each response lists changes only
)

// Request is a discovery request from a proxy.
type Request struct {
	Type    Type
	Version string   // StateOfTheWorld: the version accepted last
	Nonce   string   // nonce of the response that this request answers, empty on the first request
	Names   []string // StateOfTheWorld: names subscribed to; empty means all resources for Clusters and Listeners
	Error   string   // reason of a NACK, empty for an ACK

	Subscribe, Unsubscribe []string          // Delta; "*" means all resources
	InitialVersions        map[string]string // Delta, first request: versions that the proxy has, by resource name
}

// Response is a discovery response to send.
type Response struct {
	Type    Type
	Version string
	Nonce   string
	Names   []string // StateOfTheWorld: all resources; Delta: new and changed ones; sorted
	Removed []string // Delta: names that no longer exist; sorted
}

// Status is the state of one resource type on a stream.
type Status struct {
	Subscribed bool
	Sent       string // version sent last
	Acked      string // version accepted last
	Waiting    bool   // a response awaits its ACK or NACK
	Nacks      int
	LastNack   string // reason of the last NACK
}

// subscription is the state of one resource type on a stream.
type subscription struct {
	requested         bool // the proxy has sent a request for this type
	wildcard          bool // all resources
	names             map[string]bool
	clientVersions    map[string]string // Delta: versions that the proxy has or was sent; empty = unknown
	pending           *Response         // awaits its ACK or NACK
	lastNonce         string            // of the response sent last
	sentVersion       string
	ackedVersion      string
	rejectedVersion   string          // not sent again
	resend            bool            // StateOfTheWorld: the subscription changed, respond even if the version did not
	newNames          map[string]bool // Delta: subscribed since the last response; answered even if absent
	noInitialVersions bool            // Delta: the first request listed no resources that the proxy has
	nacks             int
	lastNack          string
}

// Limits on what one proxy can make the service store.
const (
	maxNames     = 4096 // names that one stream subscribes to, per type
	maxNackBytes = 512  // stored length of a NACK's reason
)

// Stream is the state of one proxy's xDS stream. It belongs to one goroutine.
type Stream struct {
	variant       Variant
	snapshots     [NumTypes]Snapshot
	subscriptions [NumTypes]subscription
	responses     uint64 // number of responses sent
	noncePrefix   string // distinguishes the nonces of this stream from those of former ones
}

// New returns a stream on which nothing has been sent. The nonces begin with noncePrefix, which
// must be different for each stream.
func New(variant Variant, noncePrefix string) *Stream {
	s := &Stream{variant: variant, noncePrefix: noncePrefix}
	for i := range s.subscriptions {
		s.subscriptions[i] = subscription{
			names: map[string]bool{}, clientVersions: map[string]string{}, newNames: map[string]bool{},
		}
	}
	return s
}

// Update sets the published snapshots. Snapshots that were not sent yet are skipped.
func (s *Stream) Update(snapshots [NumTypes]Snapshot) { s.snapshots = snapshots }

// Status returns the state of a resource type.
func (s *Stream) Status(t Type) Status {
	sub := &s.subscriptions[t]
	return Status{
		Subscribed: sub.requested, Sent: sub.sentVersion, Acked: sub.ackedVersion, Waiting: sub.pending != nil,
		Nacks: sub.nacks, LastNack: sub.lastNack,
	}
}

// Request handles a request from the proxy. It returns false if the request exceeds the
// limit of names; the caller should then close the stream.
func (s *Stream) Request(r Request) (ok bool) {
	sub := &s.subscriptions[r.Type]
	first := !sub.requested
	sub.requested = true
	if r.Nonce != "" && r.Nonce == sub.lastNonce && sub.pending != nil {
		s.handleAnswer(sub, r)
	} else if r.Nonce != "" && r.Nonce != sub.lastNonce && !first && s.variant == StateOfTheWorld {
		return true // stale nonce: xDS protocol, "ACK/NACK and resource type instance version"
	}
	if s.variant == Delta {
		return s.subscribeDelta(sub, r, first)
	}
	return s.subscribeStateOfTheWorld(sub, r, first)
}

// handleAnswer handles the ACK or NACK of the pending response. After a NACK the proxy keeps
// what it had, and the rejected version is not sent again.
func (s *Stream) handleAnswer(sub *subscription, r Request) {
	answered := sub.pending
	sub.pending = nil
	if r.Error == "" {
		sub.ackedVersion = answered.Version
		return
	}
	sub.nacks++
	sub.lastNack = r.Error[:min(len(r.Error), maxNackBytes)]
	sub.rejectedVersion = answered.Version
	if s.variant == Delta { // the proxy may have any version of these resources, or none
		for _, n := range slices.Concat(answered.Names, answered.Removed) {
			sub.clientVersions[n] = ""
		}
	}
}

// subscribeStateOfTheWorld applies the subscription of a state-of-the-world request.
func (s *Stream) subscribeStateOfTheWorld(sub *subscription, r Request, first bool) bool {
	if len(r.Names) > maxNames {
		return false
	}
	wildcard := len(r.Names) == 0 && (r.Type == Clusters || r.Type == Listeners)
	names := map[string]bool{}
	for _, n := range r.Names {
		if n == "*" {
			wildcard = true
			continue
		}
		names[n] = true
	}
	if !maps.Equal(names, sub.names) || wildcard != sub.wildcard {
		sub.resend = sub.resend || !first || len(names) > 0 || wildcard
		sub.names, sub.wildcard = names, wildcard
	}
	if first {
		// A reconnecting proxy sends the version that it has, and the same version need
		// not be sent again. Versions are digests, so this holds after a restart of the
		// service too; any other version is out of date.
		sub.resend = r.Version == "" || r.Version != s.snapshots[r.Type].Version
		if !sub.resend {
			sub.sentVersion, sub.ackedVersion = r.Version, r.Version
		}
	}
	return true
}

// subscribeDelta applies the subscription changes of a delta request.
func (s *Stream) subscribeDelta(sub *subscription, r Request, first bool) bool {
	if first {
		if len(r.InitialVersions) > maxNames {
			return false
		}
		sub.noInitialVersions = len(r.InitialVersions) == 0
		for n, v := range r.InitialVersions {
			sub.clientVersions[n] = v
		}
		if len(r.Subscribe) == 0 && (r.Type == Clusters || r.Type == Listeners) {
			sub.wildcard = true
		}
	}
	for _, n := range r.Subscribe {
		if n == "*" {
			sub.wildcard = true
			continue
		}
		sub.names[n] = true
		sub.newNames[n] = true
		if !first { // a repeated subscription is answered again, as the proxy may have dropped the resource
			delete(sub.clientVersions, n)
		}
	}
	for _, n := range r.Unsubscribe {
		if n == "*" {
			sub.wildcard = false
			continue
		}
		delete(sub.names, n)
		delete(sub.newNames, n)
		if !sub.wildcard {
			delete(sub.clientVersions, n)
		}
	}
	return len(sub.names) <= maxNames
}

// includes reports whether the subscription includes a resource.
func (sub *subscription) includes(name string) bool { return sub.wildcard || sub.names[name] }

// Next returns the next response to send, or nil if there is none. Call it until it returns
// nil; types are sent in the order of their constants.
func (s *Stream) Next() *Response {
	for t := Type(0); t < NumTypes; t++ {
		sub := &s.subscriptions[t]
		if !sub.requested || sub.pending != nil {
			continue
		}
		var r *Response
		if s.variant == Delta {
			r = s.nextDelta(t, sub)
		} else {
			r = s.nextStateOfTheWorld(t, sub)
		}
		if r == nil {
			continue
		}
		s.responses++
		r.Type, r.Version, r.Nonce = t, s.snapshots[t].Version, s.noncePrefix+"-"+strconv.FormatUint(s.responses, 10)
		sub.pending, sub.lastNonce, sub.sentVersion = r, r.Nonce, r.Version
		sub.resend = false
		clear(sub.newNames)
		return r
	}
	return nil
}

// nextStateOfTheWorld returns the next state-of-the-world response of a type, or nil.
func (s *Stream) nextStateOfTheWorld(t Type, sub *subscription) *Response {
	snapshot := s.snapshots[t]
	if snapshot.Version == "" || !sub.wildcard && len(sub.names) == 0 {
		return nil
	}
	if !sub.resend && (snapshot.Version == sub.sentVersion || snapshot.Version == sub.rejectedVersion) {
		return nil
	}
	r := &Response{}
	for n := range snapshot.Resources {
		if sub.includes(n) {
			r.Names = append(r.Names, n)
		}
	}
	slices.Sort(r.Names)
	return r
}

// nextDelta returns the next delta response of a type, or nil.
func (s *Stream) nextDelta(t Type, sub *subscription) *Response {
	snapshot := s.snapshots[t]
	if snapshot.Version == "" || snapshot.Version == sub.rejectedVersion && len(sub.newNames) == 0 {
		return nil
	}
	r := &Response{}
	for n, v := range snapshot.Resources {
		if sub.includes(n) && sub.clientVersions[n] != v {
			r.Names = append(r.Names, n)
		}
	}
	for n := range sub.clientVersions {
		if _, exists := snapshot.Resources[n]; !exists {
			r.Removed = append(r.Removed, n)
		}
	}
	for n := range sub.newNames { // subscribed but absent: reported as removed, so that the proxy does not wait
		if _, exists := snapshot.Resources[n]; !exists && !slices.Contains(r.Removed, n) {
			r.Removed = append(r.Removed, n)
		}
	}
	if len(r.Names) == 0 && len(r.Removed) == 0 {
		if sub.sentVersion == "" && sub.noInitialVersions { // the proxy waits for a first response, even an empty one
			return r
		}
		if snapshot.Version != sub.rejectedVersion { // the proxy is up to date
			sub.sentVersion, sub.ackedVersion = snapshot.Version, snapshot.Version
		}
		return nil
	}
	slices.Sort(r.Names)
	slices.Sort(r.Removed)
	for _, n := range r.Names {
		sub.clientVersions[n] = snapshot.Resources[n]
	}
	for _, n := range r.Removed {
		delete(sub.clientVersions, n)
	}
	return r
}
