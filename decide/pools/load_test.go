package pools_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"robinmast/decide/pools"
	"robinmast/internal/standin/machine"
	"robinmast/rules"
)

const ms = time.Millisecond

// site is a machine of eight cores that slow with crowding: cheap calls of little
// worth, texts that an agent waits for, and script steps.
func site() rules.Settings {
	cheap := rules.Class{LatencyTarget: 600 * ms, Deadline: 1500 * ms, Utility: 0.05}
	text, script := cheap, cheap
	text.Utility, script.Utility = 2, 3
	return rules.Settings{
		BatchInterval: ms, Cores: 8, Nodes: 1, Callers: 3, Classes: []rules.Class{cheap, text, script}, Tenants: []rules.Tenant{{Share: 1}},
		MemoryKB: 1e6, RunningMemoryFactor: 4, RecordKB: 1, Preemption: rules.PreemptDrop, OverloadRunsPerCore: 8, OverloadWindow: time.Second,
		DrainGrace: 300 * ms, TimeoutsPassed: true, DisconnectsReported: true, Gauges: []string{"cpu_busy", "runnable"}, HonoursRetryAfter: true,
		MaxRetryAfter: time.Second, MaxIdleTimeout: 30 * time.Second, AnswerSlack: 60 * ms,
	}
}

const (
	cheap, text, script = 0, 1, 2
	length              = 20 * time.Second
)

// mix is the site's usual mix: a share of what its cores can do. The cheap calls
// earn less for their work than either of the others.
func mix(load float64) []machine.Stream {
	work := load * 8 // seconds of work a second
	return []machine.Stream{
		{Class: cheap, Rate: machine.Steady(work * 0.1 / 0.006), Work: machine.Always(6 * ms)},
		{Class: text, Rate: machine.Steady(work * 0.4 / 0.03), Work: machine.Always(30 * ms)},
		{Class: script, Rate: machine.Steady(work * 0.5 / 0.08), Work: machine.Always(80 * ms)},
	}
}

// with sets pools with a reserve, or none below zero.
func with(set rules.Settings, reserve float64) rules.Settings {
	if reserve < 0 {
		return set
	}
	var classes []pools.Class
	for i, c := range set.Classes {
		classes = append(classes, pools.Class{Utility: c.Utility, Name: fmt.Sprint(i)})
	}
	set.NewPools = func() rules.Pools {
		return pools.New(pools.Settings{Classes: classes, Reserve: reserve, UtilityPerWork: set.UtilityPerWork})
	}
	return set
}

func replay(t testing.TB, opt machine.Options, arrivals []machine.Arrival) *machine.Result {
	t.Helper()
	if opt.Crowd == 0 {
		opt.Crowd = 0.02
	}
	res, err := machine.Replay(opt, arrivals)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Broken {
		t.Errorf("a rule is broken: %s", b)
	}
	return res
}

// worst is the least share of a class's requests that was served in any second.
func worst(r *machine.Result, class, from, to int) float64 {
	least := math.Inf(1)
	for s := from; s < to; s++ {
		if c := r.Total(class, s, s+1); c.Arrived > 0 {
			least = min(least, float64(c.Served)/float64(c.Arrived))
		}
	}
	return least
}

func share(c machine.Count) float64 { return float64(c.InTime) / float64(max(c.Arrived, 1)) }

// between is a rate that holds from one time to another, else another one.
func between(from, to time.Duration, in, out float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return in
		}
		return out
	}
}

const from, to = 8 * time.Second, 13 * time.Second // when troubles last

// troubles are the hard cases. Each says what must hold with a reserve; "classes"
// whose requests must go on being served in time through it, and how many.
var troubles = []struct {
	name    string
	streams []machine.Stream
	change  func(*machine.Options)
	least   map[int]float64 // share of a class served in time while it lasts
	alive   []int           // classes of which some are served in every second
}{
	{"overload", mix(1.3), nil, map[int]float64{text: 0.9, script: 0.65}, []int{cheap, text, script}},
	{"flood of cheap calls", append(mix(0.9), machine.Stream{
		Class: cheap, Rate: between(from, to, 10*8/0.006, 0), Work: machine.Always(6 * ms),
	}), nil, map[int]float64{text: 0.9, script: 0.8}, []int{cheap, text, script}},
	{"flood of calls that earn", append(mix(0.9), machine.Stream{
		Class: cheap, Rate: between(from, to, 10*8/0.006, 0), Work: machine.Always(6 * ms),
	}), func(o *machine.Options) { o.Settings.Classes[cheap].Utility = 2 }, map[int]float64{text: 0.8, script: 0.5}, []int{cheap, text, script}},
	{"flood of the dearest", append(mix(0.9), machine.Stream{
		Class: script, Rate: between(from, to, 10*8/0.08, 0), Work: machine.Always(80 * ms),
	}), nil, map[int]float64{text: 0.7}, []int{cheap, text, script}},
	{"flood that lies", append(mix(0.9), machine.Stream{
		Class: script, Rate: between(from, to, 3*8/0.08, 0), Work: machine.Always(80 * ms),
		Hint: func(time.Duration) time.Duration { return ms },
	}), nil, map[int]float64{text: 0.7}, []int{cheap, text}},
	{"mix turns over", []machine.Stream{
		{Class: cheap, Rate: machine.Steady(40), Work: machine.Always(6 * ms)},
		{Class: text, Rate: between(from, time.Hour, 20, 300), Work: machine.Always(30 * ms)},
		{Class: script, Rate: between(from, time.Hour, 125, 5), Work: machine.Always(80 * ms)},
	}, nil, map[int]float64{cheap: 0.3, script: 0.55}, []int{cheap, text, script}},
	{"falls silent, returns", []machine.Stream{
		mix(1.2)[cheap], mix(1.2)[script],
		{Class: text, Rate: between(4*time.Second, from, 0, 1.2*8*0.4/0.03), Work: machine.Always(30 * ms)},
	}, nil, map[int]float64{text: 0.9}, []int{cheap, script}},
	{"work turns costly", []machine.Stream{
		mix(0.9)[cheap], mix(0.9)[text],
		{Class: script, Rate: machine.Steady(0.9 * 8 * 0.5 / 0.08), Work: func(at time.Duration) time.Duration {
			if at >= from && at < to {
				return 400 * ms
			}
			return 80 * ms
		}},
	}, nil, map[int]float64{text: 0.85}, []int{cheap, text}},
	{"one class hangs", mix(0.9), func(o *machine.Options) {
		o.Hangs = func(at time.Duration, class int) bool { return class == script && at >= from && at < to }
	}, map[int]float64{cheap: 0.5, text: 0.5}, []int{cheap, text}},
}

// TestTroubles plays the hard cases with a reserve, and holds the four rules in
// all of them, with pools and without. Without pools the classes that a case
// names do worse, or the case would show nothing.
func TestTroubles(t *testing.T) {
	helped := 0
	for _, c := range troubles {
		arrivals := machine.Arrivals(3, length, c.streams...)
		var least [2]map[int]float64
		for i, reserve := range []float64{-1, reserve} {
			opt := machine.Options{Settings: site()}
			if c.change != nil {
				c.change(&opt)
			}
			opt.Settings = with(opt.Settings, reserve)
			r := replay(t, opt, arrivals)
			w := [2]int{int(from / time.Second), int(to / time.Second)}
			least[i] = map[int]float64{}
			for class := range opt.Settings.Classes {
				least[i][class] = share(r.Total(class, w[0], w[1]))
			}
			t.Logf("%-26s reserve %5.2f: worth %6.0f; in time: cheap %.2f text %.2f script %.2f; worst second: cheap %.2f text %.2f script %.2f", c.name, reserve,
				r.Total(-1, 0, 99).Worth, least[i][cheap], least[i][text], least[i][script],
				worst(r, cheap, w[0], w[1]), worst(r, text, w[0], w[1]), worst(r, script, w[0], w[1]))
			if i == 0 {
				continue
			}
			for class, want := range c.least {
				if got := least[1][class]; got < want {
					t.Errorf("%s: %.2f of class %d is served in time, want %.2f", c.name, got, class, want)
				}
			}
			for _, class := range c.alive {
				if worst(r, class, w[0], w[1]) <= 0 {
					t.Errorf("%s: class %d has a second without an answer", c.name, class)
				}
			}
		}
		for class := range least[1] {
			if least[1][class] > least[0][class]+0.1 {
				helped++
				break
			}
		}
	}
	if helped < 5 {
		t.Errorf("pools help in %d cases only", helped)
	}
}

// reserve is the share that the tests keep for the cheapest.
const reserve = 0.04

// TestOverload: at 130% of what the cores do, pools earn nearly the best that could
// be had, and the cheap calls live in every second; without a reserve they do not.
func TestOverload(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		arrivals := machine.Arrivals(seed, length, mix(1.3)...)
		best, err := machine.Best(site(), arrivals)
		if err != nil {
			t.Fatal(err)
		}
		kept := replay(t, machine.Options{Settings: with(site(), reserve)}, arrivals)
		if got := kept.Total(-1, 0, 99).Worth / best; got < 0.94 || got > 1 {
			t.Errorf("seed %d: %.3f of the best worth", seed, got)
		}
		if w := worst(kept, cheap, 0, 20); w <= 0 {
			t.Errorf("seed %d: a second without a cheap call", seed)
		}
		if w := worst(replay(t, machine.Options{Settings: with(site(), 0)}, arrivals), cheap, 0, 20); w > 0 {
			t.Errorf("seed %d: without a reserve %.2f of the cheap calls live in the worst second: the case shows nothing", seed, w)
		}
		if len(kept.Log) == 0 {
			t.Error("nothing is said of the reserve that saves them")
		}
	}
}

// Settings at the edges: many classes, one, equal worths, a worth of zero, cold
// nodes, drains, work that may run once; the rules hold, and enough is served.
func TestEdges(t *testing.T) {
	same := func(n int, worth float64) rules.Settings {
		s := site()
		c := s.Classes[text]
		c.Utility = worth
		s.Classes = nil
		for range n {
			s.Classes = append(s.Classes, c)
		}
		return s
	}
	spread := func(n int) (streams []machine.Stream) {
		for i := range n {
			streams = append(streams, machine.Stream{Class: i, Rate: machine.Steady(1.2 * 8 / 0.03 / float64(n)), Work: machine.Always(30 * ms)})
		}
		return streams
	}
	for name, c := range map[string]struct {
		set     rules.Settings
		streams []machine.Stream
		change  func(*machine.Options)
		served  float64
	}{
		"a thousand classes": {same(1000, 1), spread(1000), nil, 0.7},
		"one class":          {same(1, 1), spread(1), nil, 0.75},
		"equal worths":       {same(4, 1), spread(4), nil, 0.75},
		"worth of zero":      {same(2, 0), spread(2), nil, 0.75},
		"cold": {site(), mix(1.0), func(o *machine.Options) {
			o.Settings.ColdStart, o.Settings.WarmUpTime, o.Settings.ColdSpeed = true, 4*time.Second, 0.3
		}, 0.8},
		"drain":     {site(), mix(0.8)[1:], func(o *machine.Options) { o.Drain, o.Length = 6*time.Second, 10*time.Second }, 0.5},
		"once":      {site(), mix(1.3), func(o *machine.Options) { o.Settings.Classes[script].Effect = rules.Unsafe }, 0.5},
		"by work":   {site(), mix(1.3), func(o *machine.Options) { o.Settings.UtilityPerWork = true }, 0.5},
		"two cores": {site(), mix(0.3), func(o *machine.Options) { o.Settings.Cores = 2 }, 0.6},
	} {
		opt := machine.Options{Settings: c.set}
		if c.change != nil {
			c.change(&opt)
		}
		opt.Settings = with(opt.Settings, reserve)
		end := 8 * time.Second
		if opt.Drain > 0 {
			end = opt.Drain
		}
		r := replay(t, opt, machine.Arrivals(5, end, c.streams...))
		all := r.Total(-1, 0, 99)
		if got := float64(all.Served) / float64(all.Arrived); got < c.served || len(r.Broken) > 0 {
			t.Errorf("%s: %.2f served, want %.2f; %v", name, got, c.served, r.Broken)
		}
	}
}

// Everything stands still: the stall rule refuses as without pools, and work goes
// on after it. Of two tenants in one class the one far over its part loses.
func TestStallAndTenants(t *testing.T) {
	r := replay(t, machine.Options{Settings: with(site(), reserve), Hangs: func(at time.Duration, _ int) bool {
		return at >= from && at < to
	}}, machine.Arrivals(3, length, mix(0.8)...))
	if c := r.Total(-1, 10, 12); c.Refused == 0 {
		t.Errorf("nothing is refused in a stall: %+v", c)
	}
	if c := r.Total(-1, 15, 20); share(c) < 0.9 {
		t.Errorf("%.2f is served in time after a stall", share(c))
	}
	set := site()
	set.Tenants, set.OverQuotaUtility = []rules.Tenant{{Share: 0.5, QuotaPerSecond: 133}, {Share: 0.5, QuotaPerSecond: 133}}, 0.2
	rate := 1.5 * 8 / 0.03
	served := map[int]int{}
	var arrivals = machine.Arrivals(4, 10*time.Second,
		machine.Stream{Class: text, Tenant: 0, Rate: machine.Steady(0.85 * rate), Work: machine.Always(30 * ms)},
		machine.Stream{Class: text, Tenant: 1, Rate: machine.Steady(0.15 * rate), Work: machine.Always(30 * ms)})
	sent := map[int]int{}
	for _, a := range arrivals {
		sent[a.Tenant]++
	}
	replay(t, machine.Options{Settings: with(set, reserve), Action: func(_ time.Duration, what string, id rules.RequestID, _ float64) {
		if what == "run" {
			served[arrivals[id-1].Tenant]++
		}
	}}, arrivals)
	if big, small := float64(served[0])/float64(sent[0]), float64(served[1])/float64(sent[1]); small < big+0.1 {
		t.Errorf("of the tenant over its part %.2f run, of the other %.2f", big, small)
	}
}

// caller is a host of which all that counts is what it lets run and call.
type caller struct{ run, call []rules.RequestID }

func (c *caller) Run(id rules.RequestID)                    { c.run = append(c.run, id) }
func (c *caller) Call(id rules.RequestID, _ time.Duration)  { c.call = append(c.call, id) }
func (*caller) Preempt(rules.RequestID)                     {}
func (*caller) Refuse(rules.RequestID, time.Duration, bool) {}
func (*caller) Fail(rules.RequestID)                        {}
func (*caller) SkipCall(rules.RequestID)                    {}
func (*caller) KeepRecord(rules.RequestID, time.Duration)   {}
func (*caller) ForgetRecord(rules.RequestID)                {}
func (*caller) JoinEarlier(rules.RequestID)                 {}
func (*caller) SetHealth(bool, bool)                        {}
func (*caller) PublishLoad(float64)                         {}
func (*caller) SetIdleTimeout(time.Duration)                {}
func (*caller) StartTimer(uint64, time.Duration)            {}
func (*caller) Log(string)                                  {}

// A request at a call holds no slot of its class; when it comes back it does again.
func TestCallsBelow(t *testing.T) {
	set := site()
	set.Cores, set.Dependency, set.CallShare, set.CallWindow = 1, rules.DependencyShared, 20, time.Second
	set.Classes[text].CallsDependency = true
	set = with(set, reserve)
	var used *pools.Pools
	make := set.NewPools
	set.NewPools = func() rules.Pools { used = make().(*pools.Pools); return used }
	h := &caller{}
	m, err := rules.New(0, set, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	for id := rules.RequestID(1); id <= 2; id++ {
		m.Arrive(ms, rules.Request{ID: id, Class: text, MemoryKB: 1, CallerTimeout: time.Second, WorkHint: 30 * ms})
	}
	m.FinishBatch(ms)
	if len(h.run) != 1 || used.Views(nil)[text].Running != 1 {
		t.Fatalf("ran %v", h.run)
	}
	m.CallNeeded(2*ms, 1)
	m.FinishBatch(2 * ms)
	if len(h.call) != 1 || len(h.run) != 2 || used.Views(nil)[text].Running != 1 {
		t.Errorf("called %v, ran %v, %d running", h.call, h.run, used.Views(nil)[text].Running)
	}
	m.CallEnded(3*ms, 1, rules.OK, ms)
	if n := used.Views(nil)[text].Running; n != 2 {
		t.Errorf("%d running after the call came back", n)
	}
	m.RunEnded(4*ms, 1, rules.OK, 2*ms)
	m.RunEnded(4*ms, 2, rules.OK, 2*ms)
	if n := used.Views(nil)[text].Running; n != 0 {
		t.Errorf("%d running after all ended", n)
	}
}

// BenchmarkPolicies compares policies on the same arrivals, five seeds each.
//
//	go test ./decide/pools -run - -bench Policies -benchtime 1x
func BenchmarkPolicies(b *testing.B) {
	for _, c := range []struct {
		name string
		set  func(rules.Settings) rules.Settings
	}{
		{"plain-line", func(s rules.Settings) rules.Settings { return s }},
		{"static-split", func(s rules.Settings) rules.Settings {
			s.NewPools = func() rules.Pools { return machine.NewSplit(len(s.Classes)) }
			return s
		}},
		{"pools-no-reserve", func(s rules.Settings) rules.Settings { return with(s, 0) }},
		{"pools-reserve", func(s rules.Settings) rules.Settings { return with(s, reserve) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				share, least, low := 0.0, math.Inf(1), math.Inf(1)
				const seeds = 5
				for seed := uint64(1); seed <= seeds; seed++ {
					arrivals := machine.Arrivals(seed, length, mix(1.3)...)
					best, err := machine.Best(site(), arrivals)
					if err != nil {
						b.Fatal(err)
					}
					r := replay(b, machine.Options{Settings: c.set(site())}, arrivals)
					share += r.Total(-1, 0, 99).Worth / best / seeds
					low = min(low, worst(r, cheap, 2, 20))
					for s := 2; s < 20; s++ {
						least = min(least, r.Total(-1, s, s+1).Worth*length.Seconds()/best)
					}
				}
				b.ReportMetric(share, "of-best")
				b.ReportMetric(least, "worst-second-of-best")
				b.ReportMetric(low, "cheap-worst-second")
			}
		})
	}
}

// BenchmarkClasses measures what a request costs the module, without pools and
// with, by the number of classes.
//
//	go test ./decide/pools -run - -bench Classes -benchtime 3x
func BenchmarkClasses(b *testing.B) {
	for _, n := range []int{2, 16, 256} {
		for _, reserve := range []float64{-1, 0.04} {
			b.Run(fmt.Sprintf("classes=%d/pools=%v", n, reserve >= 0), func(b *testing.B) {
				set := site()
				c := set.Classes[text]
				set.Classes = nil
				var streams []machine.Stream
				for i := range n {
					set.Classes = append(set.Classes, c)
					streams = append(streams, machine.Stream{Class: i, Rate: machine.Steady(1.2 * 8 / 0.005 / float64(n)), Work: machine.Always(5 * ms)})
				}
				arrivals := machine.Arrivals(1, 5*time.Second, streams...)
				b.ResetTimer()
				for range b.N {
					replay(b, machine.Options{Settings: with(set, reserve)}, arrivals)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(arrivals)), "ns/request")
			})
		}
	}
}
