package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// play is a fleet with its clock; nodes report by themselves until told not to.
type play struct {
	t    *testing.T
	f    *Fleet
	now  time.Duration
	live map[string]*Report
	said []string
	view View
}

func newPlay(t *testing.T, nodes, zones int) *play {
	p := &play{t: t, f: New(0), live: map[string]*Report{}}
	for i := range nodes {
		p.add(fmt.Sprintf("n%02d", i), fmt.Sprintf("z%d", i%zones), 1000)
	}
	p.pass(3 * time.Second)
	return p
}

func (p *play) add(name, zone string, inc uint64) *Report {
	r := &Report{Name: name, Addr: "127.0.0.1:1", Zone: zone, Incarnation: inc, Healthy: true, Warm: 1, Running: 2, Limit: 10}
	p.live[name] = r
	return r
}

// pass lets time go by: everybody reports every 700 ms, each at its own time.
func (p *play) pass(d time.Duration) {
	for end := p.now + d; p.now < end; p.now += 50 * ms {
		names := make([]string, 0, len(p.live))
		for name := range p.live {
			names = append(names, name)
		}
		slices.Sort(names)
		for i, name := range names {
			if int(p.now/(50*ms))%14 == i%14 {
				r := p.live[name]
				r.Seq++
				p.f.Report(p.now, *r)
			}
		}
		if p.now%(250*ms) == 0 {
			var lines []string
			p.view, lines = p.f.Step(p.now)
			p.said = append(p.said, lines...)
		}
	}
}

func (p *play) node(name string) Node {
	p.t.Helper()
	for _, n := range p.view.Nodes {
		if n.Name == name {
			return n
		}
	}
	return Node{State: Gone, Why: "not in the view"}
}

func (p *play) want(name string, states ...State) {
	p.t.Helper()
	if n := p.node(name); !slices.Contains(states, n.State) {
		p.t.Errorf("at %v %s is %v (%s), want %v", p.now, name, n.State, n.Why, states)
	}
}

func TestStates(t *testing.T) {
	p := newPlay(t, 6, 2)
	p.want("n00", Healthy)
	p.live["n01"].Phase = Draining
	p.live["n02"].Phase = OutOfService
	p.live["n03"].Warm = 0.3
	p.pass(3 * time.Second)
	p.want("n01", Leaving)
	p.want("n02", Refusing)
	p.want("n03", Warming)
	if w := p.node("n03").Weight; w == 0 || w > p.node("n00").Weight/2 {
		t.Errorf("a warming node weighs %d, a warm one %d", w, p.node("n00").Weight)
	}
	p.live["n01"].Healthy = false // a drain beats everything
	p.pass(time.Second)
	p.want("n01", Leaving)
	delete(p.live, "n01")
	p.pass(4 * time.Second)
	p.want("n01", Gone)
	delete(p.live, "n04")
	p.pass(2 * time.Second)
	p.want("n04", Silent)
	p.pass(2 * time.Second)
	p.want("n04", Gone)
	if n := p.node("n04"); n.Weight != 0 {
		t.Errorf("gone, and weighs %d", n.Weight)
	}
	p.pass(forgetAfter + time.Second)
	if n := p.node("n04"); n.Name != "" {
		t.Error("a node that is long gone is still listed")
	}
}

// Late reports of a dead incarnation change nothing, nor do repeated and
// reordered ones; a clock that was an hour off is found out.
func TestIncarnations(t *testing.T) {
	p := newPlay(t, 4, 1)
	old := *p.live["n00"]
	p.live["n00"].Incarnation, p.live["n00"].Seq = 2000, 0
	p.pass(2 * time.Second)
	before := p.view.Version
	for range 20 {
		old.Seq++
		old.Phase = Draining
		if p.f.Report(p.now, old) {
			t.Fatal("a late report of a dead incarnation counts")
		}
	}
	again := *p.live["n00"]
	again.Phase = Draining
	if p.f.Report(p.now, again) {
		t.Error("a repeated report counts")
	}
	p.pass(time.Second)
	p.want("n00", Healthy)
	if p.view.Version > before+8 {
		t.Errorf("the view moved from %d to %d", before, p.view.Version)
	}
	p.live["n01"].Incarnation, p.live["n01"].Seq = 1000-900, 0 // its clock is off: it seems older
	p.pass(8 * time.Second)
	p.want("n01", Healthy, Warming)
}

// A node that flaps through a rolling deploy is kept out while it does, and taken
// again once it was steady.
func TestFlapping(t *testing.T) {
	p := newPlay(t, 6, 2)
	for i := range 5 {
		p.live["n00"].Incarnation, p.live["n00"].Seq = uint64(2000+i), 0
		p.pass(time.Second)
	}
	p.want("n00", Damped)
	p.pass(30 * time.Second)
	p.want("n00", Healthy)
	p.live["n01"].Incarnation, p.live["n01"].Seq = 3000, 0 // one release is no flapping
	p.pass(2 * time.Second)
	p.want("n01", Healthy)
}

// All silent at once: the service doubts itself and nobody leaves the view; when
// they are heard again it thaws. A quarter that is truly dead leaves. More than
// that leaves too, if the others are heard all the while.
func TestSilence(t *testing.T) {
	p := newPlay(t, 12, 3)
	live := p.live
	p.live = map[string]*Report{}
	p.pass(30 * time.Second)
	if !p.view.Frozen {
		t.Fatal("all silent, and not frozen")
	}
	for _, n := range p.view.Nodes {
		if n.State != Healthy || n.Weight == 0 {
			t.Errorf("frozen, and %s is %v with weight %d", n.Name, n.State, n.Weight)
		}
	}
	p.live = live
	p.pass(3 * time.Second)
	if p.view.Frozen {
		t.Error("all are heard, and it is frozen still")
	}
	for i := range 3 {
		delete(p.live, fmt.Sprintf("n%02d", i))
	}
	p.pass(6 * time.Second)
	if p.view.Frozen {
		t.Error("a quarter is dead, and the view is frozen")
	}
	p.want("n00", Gone)
	for i := 3; i < 8; i++ {
		delete(p.live, fmt.Sprintf("n%02d", i))
	}
	p.pass(5 * time.Second)
	if !p.view.Frozen {
		t.Error("half of the rest is silent, and not frozen")
	}
	p.pass(thawAfter + 5*time.Second)
	p.want("n05", Gone)
	p.want("n09", Healthy)
}

// A zone that is lost whole is one event and believed at once.
func TestLostZone(t *testing.T) {
	p := newPlay(t, 12, 2)
	for i := 0; i < 12; i += 2 {
		delete(p.live, fmt.Sprintf("n%02d", i))
	}
	p.pass(6 * time.Second)
	if p.view.Frozen || !slices.Equal(p.view.Lost, []string{"z0"}) {
		t.Errorf("frozen %v, lost %v", p.view.Frozen, p.view.Lost)
	}
	p.want("n00", Gone)
	p.want("n01", Healthy)
}

// Proxies' word against a node's: errors seen by most make it fail, one proxy
// alone among three does not, and good answers bring it back.
func TestProxiesSeeErrors(t *testing.T) {
	p := newPlay(t, 3, 1)
	see := func(node string, bad float64, proxies ...string) {
		for range 8 {
			for _, x := range proxies {
				p.f.ObserveLoad(p.now, ProxyLoad{Proxy: x, Node: node, Good: 20 - bad, Bad: bad})
			}
			p.pass(500 * ms)
		}
	}
	see("n00", 19, "a", "b")
	p.want("n00", Failing)
	if w := p.node("n00").Weight; w == 0 || w > p.node("n01").Weight/5 {
		t.Errorf("failing, with weight %d of %d", w, p.node("n01").Weight)
	}
	p.f.ObserveLoad(p.now, ProxyLoad{Proxy: "a", Node: "n01", Good: 100})
	p.f.ObserveLoad(p.now, ProxyLoad{Proxy: "b", Node: "n01", Good: 100})
	see("n01", 19, "c")
	p.want("n01", Healthy, Failing)
	see("n00", 0, "a", "b")
	p.want("n00", Healthy)
}

// A restarted service serves the last view at once, unproven, and drops nobody
// before a reporting period has passed; who does not report leaves then.
// A service that comes back says nothing before most of its former nodes spoke, or had
// time to: an old view is not published as it is.
func TestListensBeforeItSpeaks(t *testing.T) {
	p := newPlay(t, 6, 2)
	f, err := Restore(p.now, p.f.Save(p.now))
	if err != nil {
		t.Fatal(err)
	}
	if f.Ready(p.now) || f.Ready(p.now+provenAfter-1) || !f.Ready(p.now+provenAfter) {
		t.Error("proven before anybody spoke, or not once all had time")
	}
	for i := range 4 {
		if f.Ready(p.now + 1) {
			t.Fatalf("proven by %d of 6", i)
		}
		f.Report(p.now+1, Report{Name: fmt.Sprintf("n%02d", i), Addr: "127.0.0.1:1", Incarnation: 1 << 60, Seq: 1, Healthy: true, Warm: 1, Limit: 4})
	}
	if !f.Ready(p.now + 1) {
		t.Error("not proven by four of six")
	}
	if g := New(0); g.Ready(listenNew-1) || !g.Ready(listenNew) {
		t.Error("a new one")
	}
}

func TestRestart(t *testing.T) {
	p := newPlay(t, 6, 2)
	saved := p.f.Save(p.now)
	f, err := Restore(p.now, saved)
	if err != nil {
		t.Fatal(err)
	}
	was := p.view
	p.f = f
	delete(p.live, "n00")
	var first View
	first, _ = f.Step(p.now)
	if first.Version <= was.Version || len(first.Nodes) != 6 || !first.Nodes[0].Unproven || first.Nodes[0].State != Healthy || first.Nodes[0].Weight == 0 {
		t.Errorf("the first view: %+v", first)
	}
	p.pass(provenAfter + reportEvery)
	p.want("n00", Healthy)
	p.pass(6 * time.Second)
	p.want("n00", Gone)
	p.want("n01", Healthy)
	if _, err := Restore(0, Saved{Format: 9}); err == nil {
		t.Error("another format is taken")
	}
}

// Where every node refuses, proxies are told to drop before.
func TestDrop(t *testing.T) {
	p := newPlay(t, 3, 1)
	for _, r := range p.live {
		r.Refused = 0.4
	}
	p.pass(time.Second)
	if p.view.Drop < 0.3 {
		t.Errorf("drop %v", p.view.Drop)
	}
	p.live["n00"].Refused = 0
	p.pass(time.Second)
	if p.view.Drop != 0 {
		t.Errorf("one takes all, drop %v", p.view.Drop)
	}
}

// TestAnyOrder: the same reports at one time give the same view in any order.
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
		for i := range reports { // a report is the same however often it comes
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
			r.Fatalf("in another order %+v, want %+v", got, want)
		}
	})
}

// TestInvariants: weights move by bounded steps, and while frozen nobody leaves.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := newPlay(t, 6, 2)
		weights, incs, fresh := map[string]Node{}, map[string]uint64{}, map[string]int{}
		for range rapid.IntRange(1, 25).Draw(r, "events") {
			name := fmt.Sprintf("n%02d", rapid.IntRange(0, 5).Draw(r, "node"))
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0:
				delete(p.live, name)
			case 1:
				inc := uint64(1000 + rapid.IntRange(0, 9).Draw(r, "incarnation"))
				p.add(name, "z0", inc)
			case 2:
				if x := p.live[name]; x != nil {
					x.Running, x.Pressure = rapid.Float64Range(0, 12).Draw(r, "running"), rapid.Float64Range(-1, 2).Draw(r, "pressure")
				}
			case 3:
				if x := p.live[name]; x != nil {
					x.Phase = Phase(rapid.IntRange(0, 2).Draw(r, "phase"))
				}
			case 4:
				p.f.ObserveLoad(p.now, ProxyLoad{Proxy: "p", Node: name, Good: rapid.Float64Range(-1, 50).Draw(r, "good"), Bad: rapid.Float64Range(-1, 50).Draw(r, "bad")})
			default:
				p.live = map[string]*Report{}
			}
			for range rapid.IntRange(1, 8).Draw(r, "steps") {
				frozen := p.view.Frozen
				p.pass(250 * ms)
				for _, n := range p.view.Nodes {
					was, had := weights[n.Name]
					if inc := p.f.nodes[n.Name].last.Incarnation; incs[n.Name] != inc { // another life begins slowly
						incs[n.Name], fresh[n.Name] = inc, 3
					}
					fresh[n.Name]--
					had = had && fresh[n.Name] <= 0
					if had && was.Weight > 20 && n.Weight > 20 && n.State == was.State && (float64(n.Weight) > stepFactor*1.3*float64(was.Weight) || float64(was.Weight) > stepFactor*1.3*float64(n.Weight)) {
						r.Fatalf("the weight of %s went from %d to %d", n.Name, was.Weight, n.Weight)
					}
					if had && frozen && p.view.Frozen && was.State.Serves() && n.State == Gone {
						r.Fatalf("%s left a frozen view", n.Name)
					}
					if (n.Weight > 0) != n.State.Serves() {
						r.Fatalf("%s is %v with weight %d", n.Name, n.State, n.Weight)
					}
					weights[n.Name] = n
				}
			}
		}
	})
}
