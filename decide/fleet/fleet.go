// Package fleet derives a control service's view of its nodes (a state and a weight for
// each) from their reports, from missing reports and from the load reports of proxies.
//
// The caller passes the current time in; the package does no I/O, reads no clock and writes
// no log. Log lines are returned as values. A Fleet and a History are not safe for
// concurrent use.
//
// TestInvariants and TestAnyOrder check the invariants: the same reports at one time give
// the same view in any order; a late report of a dead incarnation changes nothing; Leaving
// takes precedence over every other state but Gone; while the view is frozen no node leaves
// it; a weight changes by at most a bounded factor a step.
package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	reportInterval = 700 * time.Millisecond  // expected time between two reports of a node
	silentAfter    = 1600 * time.Millisecond // two missed reports: no new work
	goneAfter      = 3 * time.Second         // as in the membership service's list
	forgetAfter    = 2 * time.Minute         // then the name counts as new

	// A restarted service removes no node before this time, and publishes no view
	// before it unless most of the restored nodes have reported.
	restartGrace = 2 * reportInterval
	// A service that knows no nodes collects reports for so long before it publishes.
	initialCollectTime = 2 * time.Second

	// The view is frozen if so many nodes fall silent together that the fault may be
	// the service's own network.
	freezeShare    = 0.3              // share of the active nodes
	freezeMinNodes = 3                // and at least so many
	freezeWindow   = 2 * time.Second  // within this time
	unfreezeShare  = 0.5              // share of them that may stay silent when the view is unfrozen
	unfreezeAfter  = 20 * time.Second // or so long after the freeze, if other nodes reported throughout

	// Flap damping as in RFC 2439.
	penaltyPerIncarnation = 1.0
	penaltyPerFlip        = 0.5 // per change of health that the node counts
	penaltyHalfLife       = 8 * time.Second
	cutOffThreshold       = 3.0 // RFC 2439, cut-off threshold
	reuseThreshold        = 1.5 // RFC 2439, reuse threshold
	maxPenalty            = 4.5 // limits the suppression of a steady node to 13 s

	// A node is Failing by the share of errors in the load reports of proxies.
	failingErrorShare   = 0.5
	recoveredErrorShare = 0.2
	minErrorRequests    = 6.0  // requests of one proxy, below which its share is ignored
	maxErrorRequests    = 30.0 // requests of one proxy that count at most
	errorHalfLife       = 1500 * time.Millisecond

	runningSmoothing = 0.1                    // weight of one step in the moving average of running requests
	probeShare       = 0.1                    // of its weight that a Failing node keeps, so that its recovery is noticed
	maxWeightFactor  = 1.25                   // largest change of a weight in stepInterval
	stepInterval     = 250 * time.Millisecond // expected time between two calls of Step
	fullWeight       = 1000.0                 // weight of an idle node with a limit of 10
	dropThreshold    = 0.05                   // share that every node refuses, above which proxies are to drop some
	dropShare        = 0.8                    // part of that share to drop; the nodes refuse the rest themselves
	maxClockSkew     = time.Hour              // of the clocks that incarnations are taken from
	takeoverReports  = 3                      // from a seemingly older incarnation, until it replaces a silent one
)

// Phase is the operating phase that a node reports.
type Phase uint8

// Operating phases.
const (
	Up           Phase = iota
	Draining           // it finishes its requests and then leaves
	OutOfService       // it takes no work, for reasons of its own
)

// Report is one report of a node. A plain report, in the membership service's format, has
// only a name, an address and a phase.
type Report struct {
	Name, Addr, Zone string
	Incarnation      uint64 // start of the node's process by its own clock, Unix microseconds
	Seq              uint64 // number of the report within the incarnation, from 1
	Phase            Phase
	Healthy          bool
	Warm             float64       // reached share of its full speed, 0 to 1
	DrainLeft        time.Duration // remaining time of the drain
	Running, Limit   float64       // running requests and their limit
	Pressure         float64       // 0 to 1
	Refused          float64       // refused share of the arrivals, 0 to 1
	Flips            uint64        // changes of health in this incarnation
	Plain            bool          // in the membership service's format
}

// newer reports whether r is later than o, by incarnation and then by sequence number.
func (r *Report) newer(o *Report) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Seq, o.Seq)) > 0
}

// ProxyLoad is what one proxy observed of one node since its last load report.
type ProxyLoad struct {
	Proxy, Node string
	Good, Bad   float64 // requests that succeeded and failed
}

// State is the state that the service assigns to a node.
type State uint8

// Node states; a later one takes precedence over an earlier one.
const (
	Healthy  State = iota
	Warming        // not at full speed yet
	Failing        // it reports that it is healthy, but proxies observe errors
	Damped         // flapping: it restarts or changes its health too often
	Refusing       // it reports that it takes no work
	Silent         // reports are missing
	Leaving        // it drains
	Gone
)

var stateNames = [...]string{"healthy", "warming", "failing", "damped", "refusing", "silent", "draining", "gone"}

// String returns the published name of the state.
func (s State) String() string { return stateNames[s] }

// Serves reports whether new work may go to a node in this state.
func (s State) Serves() bool { return s <= Failing }

// Node is a node in the view.
type Node struct {
	Name, Addr, Zone string
	State            State
	Reason           string        // reason of the state
	Since            time.Duration // when the state began
	Weight           int           // 1 to 100,000; 0 = no new work
	Limit            float64       // of running requests, as reported
	Penalty          float64       // flap damping penalty
	Unconfirmed      bool          // restored after a restart of the service, no report received since
}

// View is the published view of the fleet. Version grows with each change.
type View struct {
	Version   uint64
	Nodes     []Node   // by name
	Drop      float64  // share of the requests that proxies should drop themselves, 0 to 1
	Frozen    bool     // too many nodes fell silent together; no node is removed
	LostZones []string // names of zones in which every node is gone or silent
}

// node is the state of the node of one name.
type node struct {
	lastReport   Report
	reportedAt   time.Duration // when lastReport was received
	incarnations map[uint64]bool
	flips        map[uint64]uint64 // highest reported count by incarnation

	penalty   float64 // as of penaltyAt
	penaltyAt time.Duration
	damped    bool

	olderReports     int // reports in a row of a seemingly older incarnation
	olderIncarnation uint64

	proxyErrors map[string]*errorCounts // by proxy
	failing     bool

	state              State
	stateBeforeSilence State // state while reports last arrived
	reason             string
	since              time.Duration // start of state

	weight             float64
	running            float64 // moving average: a report shows one moment only
	currentIncarnation uint64  // incarnation that weight, proxyErrors and running belong to

	unconfirmed bool
	silentSince time.Duration // 0 = not silent
	frozen      bool          // silent, but kept in its state while the view is frozen
}

// errorCounts are the requests to a node that one proxy reported, decayed as of at.
type errorCounts struct {
	good, bad float64
	at        time.Duration
}

// Fleet is the state of all nodes. Its log lines are returned by Step. It belongs to one goroutine.
type Fleet struct {
	nodes          map[string]*node
	view           View
	steppedAt      time.Duration
	frozen         bool
	frozenSince    time.Duration
	frozenSilent   int // highest number of nodes that fell silent together in this freeze
	startedAt      time.Duration
	restoredNodes  int // restored nodes that were not Gone
	confirmedNodes int // of them, those that have reported since
	lines          []string
}

// Limits on what reports can make a Fleet store.
const (
	maxNodes        = 20_000
	maxIncarnations = 16 // per node
	maxProxies      = 32 // per node, with their error counts
)

// New returns a fleet without nodes.
func New(now time.Duration) *Fleet {
	return &Fleet{nodes: map[string]*node{}, steppedAt: now, startedAt: now}
}

// logf adds a line to those that Step returns.
func (f *Fleet) logf(format string, args ...any) {
	f.lines = append(f.lines, fmt.Sprintf(format, args...))
}

// Ready reports whether the view may be published. A restored view may be out of date or
// another service's, so it waits until most of its nodes have reported or all have had time
// to. A new service waits until all nodes have had time to report, since an empty view would
// remove every node from the proxies.
func (f *Fleet) Ready(now time.Duration) bool {
	if f.restoredNodes == 0 {
		return now-f.startedAt >= initialCollectTime
	}
	return 2*f.confirmedNodes > f.restoredNodes || now-f.startedAt >= restartGrace
}

// Report handles a report of a node. It returns false if the report was ignored because it
// is out of date or exceeds a limit.
func (f *Fleet) Report(now time.Duration, r Report) bool {
	n := f.nodes[r.Name]
	if n == nil {
		if len(f.nodes) >= maxNodes {
			return false
		}
		n = &node{
			incarnations: map[uint64]bool{}, flips: map[uint64]uint64{}, proxyErrors: map[string]*errorCounts{},
			state: Gone, since: now, penaltyAt: now,
		}
		f.nodes[r.Name] = n
	}
	if r.Plain { // has no incarnation and no sequence number, so each one counts
		if n.lastReport.Incarnation != 0 && now-n.reportedAt < goneAfter {
			return false // a recent full report holds more
		}
		r.Incarnation, r.Seq, r.Warm, r.Healthy = 0, n.lastReport.Seq+1, 1, r.Phase == Up
		r.Addr, r.Zone = cmp.Or(r.Addr, n.lastReport.Addr), cmp.Or(r.Zone, n.lastReport.Zone)
	}
	f.addPenalty(now, n, &r)
	n.addIncarnation(r.Incarnation)
	if n.lastReport.Name != "" && !r.newer(&n.lastReport) {
		if !f.takesOver(now, n, &r) {
			return false
		}
		f.logf("node %s: a seemingly older incarnation goes on reporting while the newer one is silent; its clock was wrong",
			r.Name)
	}
	n.olderReports = 0
	if n.unconfirmed && n.state != Gone {
		f.confirmedNodes++
	}
	n.lastReport, n.reportedAt, n.unconfirmed = r, now, false
	return true
}

// takesOver reports whether a seemingly older incarnation replaces the current one: the
// current one is silent, and the older one goes on reporting. Incarnations come from the
// nodes' clocks, which may have been set back.
func (f *Fleet) takesOver(now time.Duration, n *node, r *Report) bool {
	if r.Incarnation == n.lastReport.Incarnation || now-n.reportedAt < goneAfter ||
		n.lastReport.Incarnation-r.Incarnation > 2*uint64(maxClockSkew/time.Microsecond) {
		return false
	}
	if n.olderIncarnation != r.Incarnation {
		n.olderIncarnation, n.olderReports = r.Incarnation, 0
	}
	n.olderReports++
	return n.olderReports >= takeoverReports
}

// addPenalty raises the flap damping penalty for new incarnations and for changes of health.
// The changes are counted by the node, so that lost and reordered reports make no difference.
func (f *Fleet) addPenalty(now time.Duration, n *node, r *Report) {
	increase := 0.0
	if n.olderThanKnown(r.Incarnation) {
		return
	}
	if len(n.incarnations) > 0 && !n.incarnations[r.Incarnation] {
		increase += penaltyPerIncarnation
	}
	if known := n.flips[r.Incarnation]; r.Flips > known {
		increase += penaltyPerFlip * float64(min(r.Flips-known, 16))
		n.flips[r.Incarnation] = r.Flips
	}
	n.penalty = min(n.currentPenalty(now)+increase, maxPenalty)
	n.penaltyAt = now
}

// addIncarnation stores an incarnation; the newest are kept, in whatever order they come.
func (n *node) addIncarnation(incarnation uint64) {
	n.incarnations[incarnation] = true
	if len(n.incarnations) > maxIncarnations {
		oldest := slices.Min(slices.Collect(maps.Keys(n.incarnations)))
		delete(n.incarnations, oldest)
		delete(n.flips, oldest)
	}
}

// olderThanKnown reports whether maxIncarnations are stored and all are newer than incarnation.
func (n *node) olderThanKnown(incarnation uint64) bool {
	return len(n.incarnations) >= maxIncarnations && incarnation < slices.Min(slices.Collect(maps.Keys(n.incarnations)))
}

// currentPenalty returns the penalty decayed to now.
func (n *node) currentPenalty(now time.Duration) float64 {
	return n.penalty * math.Exp2(-(now-n.penaltyAt).Seconds()/penaltyHalfLife.Seconds())
}

// ObserveLoad handles a proxy's load report on a node.
func (f *Fleet) ObserveLoad(now time.Duration, l ProxyLoad) {
	n := f.nodes[l.Node]
	if n == nil || !(l.Good >= 0) || !(l.Bad >= 0) {
		return
	}
	c := n.proxyErrors[l.Proxy]
	if c == nil {
		if len(n.proxyErrors) >= maxProxies {
			return
		}
		c = &errorCounts{at: now}
		n.proxyErrors[l.Proxy] = c
	}
	decay := math.Exp2(-(now - c.at).Seconds() / errorHalfLife.Seconds())
	c.good, c.bad, c.at = c.good*decay+min(l.Good, 1e6), c.bad*decay+min(l.Bad, 1e6), now
	if all := c.good + c.bad; all > maxErrorRequests { // a busy past must not outweigh a quiet present
		c.good, c.bad = c.good*maxErrorRequests/all, c.bad*maxErrorRequests/all
	}
}

// errorShare returns the median of the error shares of those proxies that observed enough
// requests, so that one proxy with a bad network does not make a node Failing.
func (n *node) errorShare(now time.Duration) (share float64, known bool) {
	var shares []float64
	for p, c := range n.proxyErrors {
		decay := math.Exp2(-(now - c.at).Seconds() / errorHalfLife.Seconds())
		if all := (c.good + c.bad) * decay; all >= minErrorRequests {
			shares = append(shares, c.bad/(c.good+c.bad))
		} else if all < 0.1 {
			delete(n.proxyErrors, p)
		}
	}
	if len(shares) == 0 {
		return 0, false
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2], true
}

// Step updates the view to now, and returns it with the log lines since the last step. Call
// it every stepInterval or so.
func (f *Fleet) Step(now time.Duration) (View, []string) {
	elapsed := now - f.steppedAt
	f.steppedAt = now
	names := slices.Sorted(maps.Keys(f.nodes))
	for _, name := range names {
		n := f.nodes[name]
		if now-n.reportedAt > forgetAfter && n.silentSince > 0 && !n.frozen {
			delete(f.nodes, name)
			continue
		}
		f.updateSilence(now, n)
		n.updateRunning()
	}
	names = slices.DeleteFunc(names, func(name string) bool { return f.nodes[name] == nil })
	lost := f.updateFreeze(now, names)
	for _, name := range names {
		n := f.nodes[name]
		f.updateState(now, n)
		f.updateWeight(n, elapsed)
	}
	f.updateView(now, names, lost)
	lines := f.lines
	f.lines = nil
	return f.view, lines
}

// updateRunning updates the average of running requests. A new incarnation starts slowly and
// without the errors of the previous one. Done in steps, not in Report, so that the order of
// the reports makes no difference.
func (n *node) updateRunning() {
	if n.currentIncarnation != n.lastReport.Incarnation {
		n.currentIncarnation, n.failing, n.running, n.weight = n.lastReport.Incarnation, false, n.lastReport.Running, 0
		clear(n.proxyErrors)
	}
	n.running += runningSmoothing * (n.lastReport.Running - n.running)
}

// updateView builds the view, with a new version if it differs from the last one.
func (f *Fleet) updateView(now time.Duration, names []string, lost []string) {
	v := View{Version: f.view.Version, Frozen: f.frozen, LostZones: lost}
	refused, serving := 1.0, 0
	for _, name := range names {
		n := f.nodes[name]
		weight := 0
		if n.state.Serves() {
			weight = int(min(math.Round(n.weight), 100_000))
		}
		v.Nodes = append(v.Nodes, Node{
			Name: name, Addr: n.lastReport.Addr, Zone: n.lastReport.Zone, State: n.state, Reason: n.reason, Since: n.since,
			Weight: weight, Limit: math.Round(n.lastReport.Limit), Penalty: math.Round(10*n.currentPenalty(now)) / 10,
			Unconfirmed: n.unconfirmed,
		})
		if n.state.Serves() {
			serving++
			refused = min(refused, max(n.lastReport.Refused, 0))
		}
	}
	if serving > 0 && refused > dropThreshold {
		v.Drop = math.Round(100*dropShare*refused) / 100
	}
	if differs(&v, &f.view) {
		v.Version++
	}
	f.view = v
}

// differs reports whether two views differ in what proxies are sent.
func differs(a, b *View) bool {
	return a.Drop != b.Drop || a.Frozen != b.Frozen || !slices.Equal(a.LostZones, b.LostZones) ||
		!slices.EqualFunc(a.Nodes, b.Nodes, func(x, y Node) bool {
			x.Penalty, y.Penalty, x.Reason, y.Reason, x.Since, y.Since = 0, 0, "", "", 0, 0
			return x == y
		})
}
