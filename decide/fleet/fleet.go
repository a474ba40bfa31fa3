// Package fleet decides what a control service believes of its nodes: from their
// reports, from silence, and from what proxies saw, to one view of states and
// weights. It must never do I/O, read a clock or log; lines for people are
// returned as values.
//
// Invariants, held by TestInvariants and TestAnyOrder: the same reports at one
// time give the same view in any order; a late report of a dead incarnation
// changes nothing; a drain beats every other state but gone; while frozen no node
// leaves the view; a weight moves by at most a bounded factor a step.
package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Tuned values. Times are real durations, shares of 1.
const (
	reportEvery  = 700 * time.Millisecond  // that nodes are expected to report in
	silentAfter  = 1600 * time.Millisecond // two reports missed: no new work
	goneAfter    = 3 * time.Second         // as the plain list has it
	forgetAfter  = 2 * time.Minute         // after that a name is as new
	provenAfter  = 2 * reportEvery         // a restarted service drops nobody sooner, and listens for as long before it speaks
	listenNew    = 2 * time.Second         // that one which knows no nodes listens
	doubtShare   = 0.3                     // of the nodes falling silent together from which the ears are doubted
	doubtLeast   = 3                       // nodes, at least
	doubtWindow  = 2 * time.Second         // that counts as together
	thawShare    = 0.5                     // of those that fell silent heard again, and the ears are good
	thawAfter    = 20 * time.Second        // with others heard all the while, silence is believed after all
	penaltyNew   = 1.0                     // for each further incarnation
	penaltyFlip  = 0.5                     // for each change of health that a node counts itself
	penaltyHalf  = 8 * time.Second         // in which a penalty halves
	penaltyCut   = 3.0                     // from which a node is kept out (RFC 2439: cut-off threshold)
	penaltyReuse = 1.5                     // and under which it is taken again (reuse threshold)
	penaltyMost  = 4.5                     // a penalty never grows beyond: the longest exile is 13 s
	errorFrom    = 0.5                     // share of errors that proxies see from which a node fails
	errorUntil   = 0.2                     // and under which it no longer does
	errorLeast   = 6.0                     // requests, at least, for that to be believed
	runningAlpha = 0.1                     // weight of a step in what runs
	errorMost    = 30.0                    // requests, at most, that count
	errorHalf    = 1500 * time.Millisecond // in which what proxies saw halves
	probeShare   = 0.1                     // of its weight that a failing node keeps, so that it can show better
	stepFactor   = 1.25                    // most that a weight moves in a step
	stepEvery    = 250 * time.Millisecond  // a step
	weightOne    = 1000.0                  // the weight of a whole idle node of usual size
	refuseFrom   = 0.05                    // share that every node refuses from which proxies drop first
	dropPart     = 0.8                     // of that share: the nodes' own lines decide the rest
	clockOff     = time.Hour               // incarnations may be told by clocks as far off as that
	heardTimes   = 3                       // reports of a seemingly older incarnation that make it the newer, the other silent
)

// Phase is what a node says of itself.
type Phase uint8

// The phases.
const (
	Up           Phase = iota
	Draining           // it leaves; what it has it finishes
	OutOfService       // it asks for nothing, for reasons of its own
)

// Report is what a node says. Plain reports of the platform's kind have a name
// and a phase only.
type Report struct {
	Name, Addr, Zone string
	Incarnation      uint64 // Unix microseconds of its start, by its own clock
	Seq              uint64 // of the report within the incarnation, from 1
	Phase            Phase
	Healthy          bool
	Warm             float64 // share of its speed that it has reached
	DrainLeft        time.Duration
	Running, Limit   float64
	Pressure         float64
	Refused          float64 // share of what came that it refuses
	Flips            uint64  // changes of health in this incarnation
	Plain            bool
}

// newer reports whether r is later than o: incarnation and sequence order everything.
func (r *Report) newer(o *Report) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Seq, o.Seq)) > 0
}

// Load is what one proxy saw of one node since its last load report.
type ProxyLoad struct {
	Proxy, Node string
	Good, Bad   float64 // requests
}

// State is what a node is believed to be.
type State uint8

// The states, in order of what beats what.
const (
	Healthy  State = iota
	Warming        // slower than it will be
	Failing        // it says healthy, proxies see errors
	Damped         // it comes and goes
	Refusing       // it says it can take nothing
	Silent         // reports are missing
	Leaving        // it drains
	Gone
)

var stateNames = [...]string{"healthy", "warming", "failing", "damped", "refusing", "silent", "draining", "gone"}

func (s State) String() string { return stateNames[s] }

// Serves reports whether new work may go to a node in this state.
func (s State) Serves() bool { return s <= Failing }

// Node is a node in the view.
type Node struct {
	Name, Addr, Zone string
	State            State
	Why              string
	Since            time.Duration
	Weight           int // 1 to 100,000; 0 = none
	Limit            float64
	Penalty          float64
	Unproven         bool // from before a restart, not heard since
}

// View is what is published. Version grows with each change.
type View struct {
	Version uint64
	Nodes   []Node  // by name
	Drop    float64 // share that proxies should drop themselves
	Frozen  bool
	Lost    []string // zones of which every node is gone or silent
}

// node is what is known of a name.
type node struct {
	last     Report
	heard    time.Duration // last report that counted
	seen     map[uint64]bool
	flips    map[uint64]uint64
	penalty  float64 // as of heard
	at       time.Duration
	damped   bool
	older    int // reports in a row of a seemingly older incarnation
	olderInc uint64
	errs     map[string]*seen // by proxy
	failing  bool
	state    State
	trusted  State // before it fell silent
	why      string
	since    time.Duration
	weight   float64
	running  float64 // smoothed: a report shows one moment
	life     uint64  // the incarnation that weight, errors and running are of
	unproven bool
	silent   time.Duration // since when it was silent, 0 = it is not
	kept     bool          // silent, but the service doubts itself
}

// seen is what one proxy saw of a node lately.
type seen struct {
	good, bad float64
	at        time.Duration
}

// Fleet is what is believed of all nodes. It belongs to one goroutine.
type Fleet struct {
	nodes   map[string]*node
	view    View
	stepped time.Duration
	frozen  bool
	since   time.Duration // of the frost
	fell    int           // how many fell silent for it
	began   time.Duration
	former  int // nodes that an earlier life of the service had, but for those that were gone
	again   int // of them, heard since
	lines   []string
}

// Bounds of what strangers can make it hold.
const (
	mostNodes        = 20_000
	mostIncarnations = 16
	mostProxies      = 32 // whose word on one node is kept
)

// New returns a fleet without nodes.
func New(now time.Duration) *Fleet {
	return &Fleet{nodes: map[string]*node{}, stepped: now, began: now}
}

func (f *Fleet) say(format string, args ...any) {
	f.lines = append(f.lines, fmt.Sprintf(format, args...))
}

// Proven reports whether the view may be published: an earlier life's only once most
// of its nodes were heard, or had time to speak, since it may be old or another's; a new
// one only once all nodes had time, since an empty view would empty the proxies.
func (f *Fleet) Ready(now time.Duration) bool {
	if f.former == 0 {
		return now-f.began >= listenNew
	}
	return 2*f.again > f.former || now-f.began >= provenAfter
}

// Report takes a node's word. It reports whether it changed anything.
func (f *Fleet) Report(now time.Duration, r Report) bool {
	n := f.nodes[r.Name]
	if n == nil {
		if len(f.nodes) >= mostNodes {
			return false
		}
		n = &node{seen: map[uint64]bool{}, flips: map[uint64]uint64{}, errs: map[string]*seen{}, state: Gone, since: now, at: now}
		f.nodes[r.Name] = n
	}
	if r.Plain { // the platform's: no incarnation, no sequence; each counts
		if n.last.Incarnation != 0 && now-n.heard < goneAfter {
			return false // a node that says more is known better
		}
		r.Incarnation, r.Seq, r.Warm, r.Healthy = 0, n.last.Seq+1, 1, r.Phase == Up
		r.Addr, r.Zone = cmp.Or(r.Addr, n.last.Addr), cmp.Or(r.Zone, n.last.Zone)
	}
	f.penalize(now, n, &r)
	n.remember(r.Incarnation)
	if n.last.Name != "" && !r.newer(&n.last) {
		if !f.takesOver(now, n, &r) {
			return false
		}
		f.say("node %s: an incarnation that seems older speaks on while the other is silent: its clock was off", r.Name)
	}
	n.older = 0
	if n.unproven && n.state != Gone {
		f.again++
	}
	n.last, n.heard, n.unproven = r, now, false
	return true
}

// takesOver reports whether a seemingly older incarnation is the newer one after
// all: the other is gone, and this one goes on reporting.
func (f *Fleet) takesOver(now time.Duration, n *node, r *Report) bool {
	if r.Incarnation == n.last.Incarnation || now-n.heard < goneAfter ||
		n.last.Incarnation-r.Incarnation > 2*uint64(clockOff/time.Microsecond) {
		return false
	}
	if n.olderInc != r.Incarnation {
		n.olderInc, n.older = r.Incarnation, 0
	}
	n.older++
	return n.older >= heardTimes
}

// penalize counts what makes a node unsteady: further incarnations, and changes
// of health by its own count, so that no report needs to be heard for it and
// their order does not matter.
func (f *Fleet) penalize(now time.Duration, n *node, r *Report) {
	more := 0.0
	if n.forgotten(r.Incarnation) {
		return
	}
	if len(n.seen) > 0 && !n.seen[r.Incarnation] {
		more += penaltyNew
	}
	if was := n.flips[r.Incarnation]; r.Flips > was {
		more += penaltyFlip * float64(min(r.Flips-was, 16))
		n.flips[r.Incarnation] = r.Flips
	}
	n.penalty = min(n.now(now)+more, penaltyMost)
	n.at = now
}

// remember notes an incarnation; the newest are kept, whatever order they come in.
func (n *node) remember(inc uint64) {
	n.seen[inc] = true
	if len(n.seen) > mostIncarnations {
		oldest := slices.Min(slices.Collect(maps.Keys(n.seen)))
		delete(n.seen, oldest)
		delete(n.flips, oldest)
	}
}

// forgotten reports whether an incarnation is older than all that are remembered.
func (n *node) forgotten(inc uint64) bool {
	return len(n.seen) >= mostIncarnations && inc < slices.Min(slices.Collect(maps.Keys(n.seen)))
}

// now is the penalty as it has decayed.
func (n *node) now(now time.Duration) float64 {
	return n.penalty * math.Exp2(-(now-n.at).Seconds()/penaltyHalf.Seconds())
}

// Saw takes what a proxy saw of a node.
func (f *Fleet) ObserveLoad(now time.Duration, l ProxyLoad) {
	n := f.nodes[l.Node]
	if n == nil || !(l.Good >= 0) || !(l.Bad >= 0) {
		return
	}
	s := n.errs[l.Proxy]
	if s == nil {
		if len(n.errs) >= mostProxies {
			return
		}
		s = &seen{at: now}
		n.errs[l.Proxy] = s
	}
	fade := math.Exp2(-(now - s.at).Seconds() / errorHalf.Seconds())
	s.good, s.bad, s.at = s.good*fade+min(l.Good, 1e6), s.bad*fade+min(l.Bad, 1e6), now
	if all := s.good + s.bad; all > errorMost { // a busy past must not outweigh a quiet present
		s.good, s.bad = s.good*errorMost/all, s.bad*errorMost/all
	}
}

// errors is the share of errors that proxies see: of each that saw enough, and
// of these the median, so that one proxy with a bad line condemns nobody.
func (n *node) errors(now time.Duration) (share float64, known bool) {
	var shares []float64
	for p, s := range n.errs {
		fade := math.Exp2(-(now - s.at).Seconds() / errorHalf.Seconds())
		if all := (s.good + s.bad) * fade; all >= errorLeast {
			shares = append(shares, s.bad/(s.good+s.bad))
		} else if all < 0.1 {
			delete(n.errs, p)
		}
	}
	if len(shares) == 0 {
		return 0, false
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2], true
}

// Step moves the view, and returns what people should hear of it. It is called
// every stepEvery or so; the view is as of then.
func (f *Fleet) Step(now time.Duration) (View, []string) {
	dt := now - f.stepped
	f.stepped = now
	names := slices.Sorted(maps.Keys(f.nodes))
	for _, name := range names {
		n := f.nodes[name]
		if now-n.heard > forgetAfter && n.silent > 0 && !n.kept {
			delete(f.nodes, name)
			continue
		}
		f.listen(now, n)
		n.smooth()
	}
	names = slices.DeleteFunc(names, func(name string) bool { return f.nodes[name] == nil })
	lost := f.doubt(now, names)
	for _, name := range names {
		n := f.nodes[name]
		f.judge(now, n)
		f.weigh(n, dt)
	}
	f.publish(now, names, lost)
	lines := f.lines
	f.lines = nil
	return f.view, lines
}

// smooth follows what runs. What a former life did says nothing of this one: it
// begins slowly, and with a clean record. It is done by steps, so that the order
// in which reports came does not matter.
func (n *node) smooth() {
	if n.life != n.last.Incarnation {
		n.life, n.failing, n.running, n.weight = n.last.Incarnation, false, n.last.Running, 0
		clear(n.errs)
	}
	n.running += runningAlpha * (n.last.Running - n.running)
}

// listen notes who is silent.
func (f *Fleet) listen(now time.Duration, n *node) {
	limit := silentAfter
	if n.unproven {
		limit = provenAfter + silentAfter
	}
	switch {
	case now-n.heard <= limit:
		n.silent, n.kept = 0, false
	case n.silent == 0:
		n.silent = max(now, 1)
	}
}

// doubt looks whether so many fell silent together that the service had better
// doubt its own ears. A zone that is silent whole, while others are heard, is one
// event: it is lost. It returns the zones that are.
func (f *Fleet) doubt(now time.Duration, names []string) (lost []string) {
	type zone struct{ all, heard, late int }
	zones := map[string]*zone{}
	active, silent, late, heard := 0, 0, 0, 0
	for _, name := range names {
		n := f.nodes[name]
		z := zones[n.last.Zone]
		if z == nil {
			z = &zone{}
			zones[n.last.Zone] = z
		}
		z.all++
		if n.state == Gone && n.silent > 0 && !n.kept {
			continue // an old death says nothing of now
		}
		active++
		switch {
		case n.silent == 0:
			z.heard++
			heard++
		case n.last.Phase != Draining:
			silent++
			if now-n.silent <= doubtWindow || n.kept {
				z.late++
				late++
			}
		}
	}
	whole, clean := 0, false // silent nodes of zones that are lost whole; a zone that is heard whole
	for _, z := range zones {
		clean = clean || z.heard > 0 && z.late == 0
	}
	for name, z := range zones {
		if z.heard > 0 && z.late >= z.heard && clean { // it is being lost: not all reports are missed at once
			whole += z.late
			active -= z.heard
		}
		if z.heard == 0 && z.all > 1 && heard > 0 { // whoever hears another zone has ears
			lost = append(lost, name)
			whole += z.late
		}
	}
	slices.Sort(lost)
	if !f.frozen {
		late -= whole
		active -= whole
	}
	switch {
	case !f.frozen && late >= doubtLeast && float64(late) > doubtShare*float64(active):
		f.frozen, f.since, f.fell = true, now, late
		f.say("%d of %d nodes fell silent together: the view is frozen, this service may be the one that hears nothing", late, active)
	case f.frozen && late > f.fell:
		f.fell = late
	case f.frozen && (float64(silent) <= thawShare*float64(f.fell) || now-f.since > thawAfter && heard > 0 && f.steady(now, names)):
		f.frozen = false
		f.say("the view thaws: %d nodes are heard, %d are silent", heard, silent)
	}
	for _, name := range names {
		n := f.nodes[name]
		n.kept = f.frozen && n.silent > 0 && n.state != Gone
	}
	return lost
}

// steady reports whether somebody was heard all through the frost: then these
// ears are good and the silence is the nodes'.
func (f *Fleet) steady(now time.Duration, names []string) bool {
	for _, name := range names {
		if n := f.nodes[name]; n.silent == 0 && now-n.heard < reportEvery*2 {
			return true
		}
	}
	return false
}

// judge says what state a node is in.
func (f *Fleet) judge(now time.Duration, n *node) {
	penalty := n.now(now)
	if n.damped = penalty > penaltyCut || n.damped && penalty > penaltyReuse; penalty < 0.01 {
		n.penalty = 0
	}
	if share, known := n.errors(now); known {
		n.failing = share > errorFrom || n.failing && share > errorUntil
	} else if len(n.errs) == 0 {
		n.failing = false
	}
	r := &n.last
	state, why := Healthy, "reports"
	switch {
	case n.silent > 0 && !n.kept && now-n.heard > goneAfter+f.grace(n):
		state, why = Gone, "silent too long"
	case r.Phase == Draining:
		state, why = Leaving, "it says that it drains"
	case n.kept:
		state, why = n.trusted, "silent, but so are many: kept as it was"
	case n.silent > 0:
		state, why = Silent, "reports are missing"
	case r.Phase == OutOfService || !r.Healthy:
		state, why = Refusing, "it says that it can take nothing"
	case n.damped:
		state, why = Damped, "it comes and goes"
	case n.failing:
		state, why = Failing, "proxies see errors"
	case r.Warm < 0.99:
		state, why = Warming, "it says that it warms up"
	}
	if n.unproven && state <= Silent {
		state, why = min(n.state, Silent), "from before a restart of this service, not heard yet"
		if n.state == Gone {
			state = Gone
		}
	}
	if state != n.state {
		if n.last.Name != "" && (state == Damped || n.state == Damped || state == Failing) {
			f.say("node %s is %v now, was %v: %s", r.Name, state, n.state, why)
		}
		n.state, n.since = state, now
	}
	n.why = why
	if n.silent == 0 {
		n.trusted = state
	}
}

func (f *Fleet) grace(n *node) time.Duration {
	if n.unproven {
		return provenAfter
	}
	return 0
}

// weigh moves a node's weight towards its room, by a bounded factor a step, so
// that proxies do not all run to whoever has room just now.
func (f *Fleet) weigh(n *node, dt time.Duration) {
	r := &n.last
	switch {
	case n.kept || n.state == Silent: // as it was, should it come back
		return
	case !n.state.Serves():
		n.weight = 0
		return
	}
	want := weightOne
	if r.Limit > 0 {
		room := max(r.Limit-n.running, 0.1*r.Limit)
		want = weightOne * room / 10
	}
	want *= 1 - 0.8*min(max(r.Pressure, 0), 1)
	if n.state == Warming {
		want *= max(r.Warm, 0.02)
	}
	if n.state == Failing {
		want *= probeShare
	}
	want = max(want, 1)
	if n.weight == 0 { // it begins where slow start has it
		n.weight = want
		if n.state != Warming && r.Seq <= 1 {
			n.weight = max(want/4, 1)
		}
		return
	}
	if n.state == Failing { // who is found out loses at once, and comes back by steps
		n.weight = min(n.weight, want)
	}
	most := math.Pow(stepFactor, max(dt.Seconds()/stepEvery.Seconds(), 0))
	n.weight = min(max(want, n.weight/most), n.weight*most)
}

// publish makes the view, with a new version if it differs.
func (f *Fleet) publish(now time.Duration, names []string, lost []string) {
	v := View{Version: f.view.Version, Frozen: f.frozen, Lost: lost}
	refused, serving := 1.0, 0
	for _, name := range names {
		n := f.nodes[name]
		weight := 0
		if n.state.Serves() {
			weight = int(min(math.Round(n.weight), 100_000))
		}
		v.Nodes = append(v.Nodes, Node{
			Name: name, Addr: n.last.Addr, Zone: n.last.Zone, State: n.state, Why: n.why, Since: n.since,
			Weight: weight, Limit: math.Round(n.last.Limit), Penalty: math.Round(10*n.now(now)) / 10,
			Unproven: n.unproven,
		})
		if n.state.Serves() {
			serving++
			refused = min(refused, max(n.last.Refused, 0))
		}
	}
	if serving > 0 && refused > refuseFrom {
		v.Drop = math.Round(100*dropPart*refused) / 100
	}
	if differs(&v, &f.view) {
		v.Version++
	}
	f.view = v
}

// differs reports whether proxies would see a difference.
func differs(a, b *View) bool {
	return a.Drop != b.Drop || a.Frozen != b.Frozen || !slices.Equal(a.Lost, b.Lost) || !slices.EqualFunc(a.Nodes, b.Nodes, func(x, y Node) bool {
		x.Penalty, y.Penalty, x.Why, y.Why, x.Since, y.Since = 0, 0, "", "", 0, 0
		return x == y
	})
}

// Saved is what outlives the service, as of when it was saved.
type Saved struct {
	Format  int
	Version uint64
	Nodes   []SavedNode
}

// SavedNode is a node in Saved; times are ages.
type SavedNode struct {
	Report
	Heard   time.Duration
	State   State
	Weight  float64
	Penalty float64
	Seen    []uint64
}

// savedFormat is the version of Saved.
const savedFormat = 1

// Save returns what is to outlive the service.
func (f *Fleet) Save(now time.Duration) Saved {
	s := Saved{Format: savedFormat, Version: f.view.Version}
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		n := f.nodes[name]
		s.Nodes = append(s.Nodes, SavedNode{
			Report: n.last, Heard: now - n.heard, State: n.state, Weight: n.weight, Penalty: n.now(now),
			Seen: slices.Sorted(maps.Keys(n.seen)),
		})
	}
	return s
}

// Restore takes over what an earlier life saved. Every node counts as heard just
// now, but as unproven: nobody is dropped before a reporting period has passed.
func Restore(now time.Duration, s Saved) (*Fleet, error) {
	f := New(now)
	if s.Format != savedFormat {
		return f, fmt.Errorf("saved fleet of format %d, this program knows %d", s.Format, savedFormat)
	}
	f.view.Version = s.Version + 1 // what was published last may not have been saved
	for _, o := range s.Nodes {
		if o.Name == "" || len(f.nodes) >= mostNodes || o.State > Gone {
			continue
		}
		n := &node{
			last: o.Report, heard: now, seen: map[uint64]bool{}, flips: map[uint64]uint64{o.Incarnation: o.Flips}, errs: map[string]*seen{},
			state: o.State, trusted: o.State, since: now, at: now, penalty: min(max(o.Penalty, 0), penaltyMost), weight: max(o.Weight, 0), running: o.Running, life: o.Incarnation, unproven: true,
		}
		if o.State == Gone {
			n.heard = now - goneAfter
		} else {
			f.former++
		}
		for _, i := range o.Seen[:min(len(o.Seen), mostIncarnations)] {
			n.seen[i] = true
		}
		f.nodes[o.Name] = n
	}
	return f, nil
}
