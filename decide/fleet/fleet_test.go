package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// ms is one millisecond.
const ms = time.Millisecond

// testFleet is a Fleet with a virtual clock. The nodes in live report periodically.
type testFleet struct {
	t     *testing.T
	fleet *Fleet
	now   time.Duration
	live  map[string]*Report
	lines []string
	view  View
}

func newTestFleet(t *testing.T, nodes, zones int) *testFleet {
	tf := &testFleet{t: t, fleet: New(0), live: map[string]*Report{}}
	for i := range nodes {
		tf.add(fmt.Sprintf("n%02d", i), fmt.Sprintf("z%d", i%zones), 1000)
	}
	tf.advance(3 * time.Second)
	return tf
}

func (tf *testFleet) add(name, zone string, inc uint64) *Report {
	r := &Report{Name: name, Addr: "127.0.0.1:1", Zone: zone, Incarnation: inc, Healthy: true, Warm: 1, Running: 2, Limit: 10}
	tf.live[name] = r
	return r
}

// advance moves the clock; each node reports every 700 ms, at its own offset.
func (tf *testFleet) advance(d time.Duration) {
	for end := tf.now + d; tf.now < end; tf.now += 50 * ms {
		names := make([]string, 0, len(tf.live))
		for name := range tf.live {
			names = append(names, name)
		}
		slices.Sort(names)
		for i, name := range names {
			if int(tf.now/(50*ms))%14 == i%14 {
				r := tf.live[name]
				r.Seq++
				tf.fleet.Report(tf.now, *r)
			}
		}
		if tf.now%(250*ms) == 0 {
			var lines []string
			tf.view, lines = tf.fleet.Step(tf.now)
			tf.lines = append(tf.lines, lines...)
		}
	}
}

func (tf *testFleet) node(name string) Node {
	tf.t.Helper()
	for _, n := range tf.view.Nodes {
		if n.Name == name {
			return n
		}
	}
	return Node{State: Gone, Reason: "not in the view"}
}

func (tf *testFleet) wantState(name string, states ...State) {
	tf.t.Helper()
	if n := tf.node(name); !slices.Contains(states, n.State) {
		tf.t.Errorf("at %v %s is %v (%s), want %v", tf.now, name, n.State, n.Reason, states)
	}
}

func TestStates(t *testing.T) {
	tf := newTestFleet(t, 6, 2)
	tf.wantState("n00", Healthy)
	tf.live["n01"].Phase = Draining
	tf.live["n02"].Phase = OutOfService
	tf.live["n03"].Warm = 0.3
	tf.advance(3 * time.Second)
	tf.wantState("n01", Leaving)
	tf.wantState("n02", Refusing)
	tf.wantState("n03", Warming)
	if w := tf.node("n03").Weight; w == 0 || w > tf.node("n00").Weight/2 {
		t.Errorf("weight of a warming node %d, of a healthy one %d", w, tf.node("n00").Weight)
	}
	tf.live["n01"].Healthy = false // Leaving takes precedence
	tf.advance(time.Second)
	tf.wantState("n01", Leaving)
	delete(tf.live, "n01")
	tf.advance(4 * time.Second)
	tf.wantState("n01", Gone)
	delete(tf.live, "n04")
	tf.advance(2 * time.Second)
	tf.wantState("n04", Silent)
	tf.advance(2 * time.Second)
	tf.wantState("n04", Gone)
	if n := tf.node("n04"); n.Weight != 0 {
		t.Errorf("weight of a gone node is %d", n.Weight)
	}
	tf.advance(forgetAfter + time.Second)
	if n := tf.node("n04"); n.Name != "" {
		t.Error("a node is still listed long after it is gone")
	}
}

// Late reports of a dead incarnation change nothing, and neither do repeated or reordered
// ones. A new incarnation that seems older, as after a corrected clock, is accepted once the
// other one is silent.
func TestIncarnations(t *testing.T) {
	tf := newTestFleet(t, 4, 1)
	old := *tf.live["n00"]
	tf.live["n00"].Incarnation, tf.live["n00"].Seq = 2000, 0
	tf.advance(2 * time.Second)
	before := tf.view.Version
	for range 20 {
		old.Seq++
		old.Phase = Draining
		if tf.fleet.Report(tf.now, old) {
			t.Fatal("a late report of a dead incarnation is accepted")
		}
	}
	again := *tf.live["n00"]
	again.Phase = Draining
	if tf.fleet.Report(tf.now, again) {
		t.Error("a repeated report is accepted")
	}
	tf.advance(time.Second)
	tf.wantState("n00", Healthy)
	if tf.view.Version > before+8 {
		t.Errorf("the view version went from %d to %d", before, tf.view.Version)
	}
	tf.live["n01"].Incarnation, tf.live["n01"].Seq = 1000-900, 0 // wrong clock: seems older
	tf.advance(8 * time.Second)
	tf.wantState("n01", Healthy, Warming)
}

// A node that restarts repeatedly is damped and gets no work until it has been steady for a
// while. A single restart does not damp a node.
func TestFlapping(t *testing.T) {
	tf := newTestFleet(t, 6, 2)
	for i := range 5 {
		tf.live["n00"].Incarnation, tf.live["n00"].Seq = uint64(2000+i), 0
		tf.advance(time.Second)
	}
	tf.wantState("n00", Damped)
	tf.advance(30 * time.Second)
	tf.wantState("n00", Healthy)
	tf.live["n01"].Incarnation, tf.live["n01"].Seq = 3000, 0 // a single restart
	tf.advance(2 * time.Second)
	tf.wantState("n01", Healthy)
}

// If all nodes fall silent at once, the view is frozen and no node leaves it until reports
// arrive again. A quarter of the nodes that dies leaves at once; a larger part leaves after a
// freeze, provided that the other nodes report throughout.
func TestSilence(t *testing.T) {
	tf := newTestFleet(t, 12, 3)
	live := tf.live
	tf.live = map[string]*Report{}
	tf.advance(30 * time.Second)
	if !tf.view.Frozen {
		t.Fatal("all nodes are silent and the view is not frozen")
	}
	for _, n := range tf.view.Nodes {
		if n.State != Healthy || n.Weight == 0 {
			t.Errorf("in the frozen view %s is %v with weight %d", n.Name, n.State, n.Weight)
		}
	}
	tf.live = live
	tf.advance(3 * time.Second)
	if tf.view.Frozen {
		t.Error("all nodes report and the view is still frozen")
	}
	for i := range 3 {
		delete(tf.live, fmt.Sprintf("n%02d", i))
	}
	tf.advance(6 * time.Second)
	if tf.view.Frozen {
		t.Error("a quarter of the nodes is dead and the view is frozen")
	}
	tf.wantState("n00", Gone)
	for i := 3; i < 8; i++ {
		delete(tf.live, fmt.Sprintf("n%02d", i))
	}
	tf.advance(5 * time.Second)
	if !tf.view.Frozen {
		t.Error("half of the other nodes is silent and the view is not frozen")
	}
	tf.advance(unfreezeAfter + 5*time.Second)
	tf.wantState("n05", Gone)
	tf.wantState("n09", Healthy)
}

// The loss of a whole zone does not freeze the view: its nodes are gone at once.
func TestLostZone(t *testing.T) {
	tf := newTestFleet(t, 12, 2)
	for i := 0; i < 12; i += 2 {
		delete(tf.live, fmt.Sprintf("n%02d", i))
	}
	tf.advance(6 * time.Second)
	if tf.view.Frozen || !slices.Equal(tf.view.LostZones, []string{"z0"}) {
		t.Errorf("frozen %v, lost %v", tf.view.Frozen, tf.view.LostZones)
	}
	tf.wantState("n00", Gone)
	tf.wantState("n01", Healthy)
}

// A node that reports healthy is Failing if most proxies observe errors, and Healthy again after
// successful requests. The errors of one proxy out of three count only once the counts of the
// other two have decayed, so n01 may be in either state.
func TestProxyErrors(t *testing.T) {
	tf := newTestFleet(t, 3, 1)
	observe := func(node string, bad float64, proxies ...string) {
		for range 8 {
			for _, x := range proxies {
				tf.fleet.ObserveLoad(tf.now, ProxyLoad{Proxy: x, Node: node, Good: 20 - bad, Bad: bad})
			}
			tf.advance(500 * ms)
		}
	}
	observe("n00", 19, "a", "b")
	tf.wantState("n00", Failing)
	if w := tf.node("n00").Weight; w == 0 || w > tf.node("n01").Weight/5 {
		t.Errorf("weight of a failing node %d, of a healthy one %d", w, tf.node("n01").Weight)
	}
	tf.fleet.ObserveLoad(tf.now, ProxyLoad{Proxy: "a", Node: "n01", Good: 100})
	tf.fleet.ObserveLoad(tf.now, ProxyLoad{Proxy: "b", Node: "n01", Good: 100})
	observe("n01", 19, "c")
	tf.wantState("n01", Healthy, Failing)
	observe("n00", 0, "a", "b")
	tf.wantState("n00", Healthy)
}

// A restarted service does not publish its restored view, which may be out of date, before most
// of the restored nodes have reported or all have had time to.
func TestReadyAfterRestart(t *testing.T) {
	tf := newTestFleet(t, 6, 2)
	f, err := Restore(tf.now, tf.fleet.Save(tf.now))
	if err != nil {
		t.Fatal(err)
	}
	if f.Ready(tf.now) || f.Ready(tf.now+restartGrace-1) || !f.Ready(tf.now+restartGrace) {
		t.Error("ready before any report, or not ready after restartGrace")
	}
	for i := range 4 {
		if f.Ready(tf.now + 1) {
			t.Fatalf("ready after the reports of %d of 6 nodes", i)
		}
		f.Report(tf.now+1, Report{Name: fmt.Sprintf("n%02d", i), Addr: "127.0.0.1:1", Incarnation: 1 << 60, Seq: 1, Healthy: true, Warm: 1, Limit: 4})
	}
	if !f.Ready(tf.now + 1) {
		t.Error("not ready after the reports of 4 of 6 nodes")
	}
	if g := New(0); g.Ready(initialCollectTime-1) || !g.Ready(initialCollectTime) {
		t.Error("a service without restored nodes is ready too early or too late")
	}
}

// A restarted service has its last view at once, marked unconfirmed, and removes no node before
// restartGrace has passed; nodes that do not report leave then.
func TestRestart(t *testing.T) {
	tf := newTestFleet(t, 6, 2)
	saved := tf.fleet.Save(tf.now)
	f, err := Restore(tf.now, saved)
	if err != nil {
		t.Fatal(err)
	}
	before := tf.view
	tf.fleet = f
	delete(tf.live, "n00")
	first, _ := f.Step(tf.now)
	if first.Version <= before.Version || len(first.Nodes) != 6 || !first.Nodes[0].Unconfirmed || first.Nodes[0].State != Healthy || first.Nodes[0].Weight == 0 {
		t.Errorf("first view: %+v", first)
	}
	tf.advance(restartGrace + reportInterval)
	tf.wantState("n00", Healthy)
	tf.advance(6 * time.Second)
	tf.wantState("n00", Gone)
	tf.wantState("n01", Healthy)
	if _, err := Restore(0, Saved{Format: 9}); err == nil {
		t.Error("saved state of an unknown format is accepted")
	}
}

// If every node refuses requests, proxies are told to drop some themselves.
func TestDrop(t *testing.T) {
	tf := newTestFleet(t, 3, 1)
	for _, r := range tf.live {
		r.Refused = 0.4
	}
	tf.advance(time.Second)
	if tf.view.Drop < 0.3 {
		t.Errorf("drop %v", tf.view.Drop)
	}
	tf.live["n00"].Refused = 0
	tf.advance(time.Second)
	if tf.view.Drop != 0 {
		t.Errorf("drop %v although one node refuses nothing", tf.view.Drop)
	}
}

// The same reports at one time give the same view in any order.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var reports []Report
		for range rapid.IntRange(1, 40).Draw(r, "reports") {
			reports = append(reports, Report{
				Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "name"), Zone: "z", Addr: "127.0.0.1:1",
				Incarnation: uint64(rapid.IntRange(1, 20).Draw(r, "incarnation")), Seq: uint64(rapid.IntRange(1, 5).Draw(r, "seq")),
				Phase: Up, Healthy: true, Warm: 1, Limit: 10,
			})
		}
		for i := range reports { // the same incarnation and sequence number always mean the same report
			x := &reports[i]
			x.Running, x.Flips = float64(x.Seq), x.Seq
			x.Phase = Phase((x.Seq + x.Incarnation) % 3)
		}
		views := func(list []Report) View {
			f := New(0)
			for _, x := range list {
				f.Report(time.Second, x)
			}
			v, _ := f.Step(time.Second)
			return v
		}
		want := views(reports)
		other := slices.Clone(reports)
		seed := rapid.Uint64().Draw(r, "order")
		rnd := rand.New(rand.NewPCG(seed, 1))
		rnd.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		if got := views(other); differs(&got, &want) {
			r.Fatalf("in another order: %+v, want %+v", got, want)
		}
	})
}

// Weights change by bounded steps, only serving nodes have one, and no node leaves a frozen view.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tf := newTestFleet(t, 6, 2)
		last, incarnations, settling := map[string]Node{}, map[string]uint64{}, map[string]int{}
		for range rapid.IntRange(1, 25).Draw(r, "events") {
			name := fmt.Sprintf("n%02d", rapid.IntRange(0, 5).Draw(r, "node"))
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0:
				delete(tf.live, name)
			case 1:
				inc := uint64(1000 + rapid.IntRange(0, 9).Draw(r, "incarnation"))
				tf.add(name, "z0", inc)
			case 2:
				if x := tf.live[name]; x != nil {
					x.Running, x.Pressure = rapid.Float64Range(0, 12).Draw(r, "running"), rapid.Float64Range(-1, 2).Draw(r, "pressure")
				}
			case 3:
				if x := tf.live[name]; x != nil {
					x.Phase = Phase(rapid.IntRange(0, 2).Draw(r, "phase"))
				}
			case 4:
				tf.fleet.ObserveLoad(tf.now, ProxyLoad{Proxy: "p", Node: name, Good: rapid.Float64Range(-1, 50).Draw(r, "good"), Bad: rapid.Float64Range(-1, 50).Draw(r, "bad")})
			default:
				tf.live = map[string]*Report{}
			}
			for range rapid.IntRange(1, 8).Draw(r, "steps") {
				frozen := tf.view.Frozen
				tf.advance(250 * ms)
				for _, n := range tf.view.Nodes {
					previous, known := last[n.Name]
					if inc := tf.fleet.nodes[n.Name].lastReport.Incarnation; incarnations[n.Name] != inc { // a new incarnation starts slowly
						incarnations[n.Name], settling[n.Name] = inc, 3
					}
					settling[n.Name]--
					known = known && settling[n.Name] <= 0
					if known && previous.Weight > 20 && n.Weight > 20 && n.State == previous.State && (float64(n.Weight) > maxWeightFactor*1.3*float64(previous.Weight) || float64(previous.Weight) > maxWeightFactor*1.3*float64(n.Weight)) {
						r.Fatalf("the weight of %s went from %d to %d", n.Name, previous.Weight, n.Weight)
					}
					if known && frozen && tf.view.Frozen && previous.State.Serves() && n.State == Gone {
						r.Fatalf("%s left the frozen view", n.Name)
					}
					if (n.Weight > 0) != n.State.Serves() {
						r.Fatalf("%s is %v with weight %d", n.Name, n.State, n.Weight)
					}
					last[n.Name] = n
				}
			}
		}
	})
}
