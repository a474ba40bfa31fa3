package pools_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"robinmast/decide/pools"
	"robinmast/internal/standin/simulation"
	"robinmast/rules"
)

const ms = time.Millisecond

// testSettings returns a node of eight cores, which slow down under contention, with three classes: cheap
// calls of little utility, texts that an agent waits for, and steps of scripts.
func testSettings() rules.Settings {
	cheap := rules.Class{LatencyTarget: 600 * ms, Deadline: 1500 * ms, Utility: 0.05}
	text, script := cheap, cheap
	text.Utility, script.Utility = 2, 3
	return rules.Settings{
		BatchInterval: ms, Cores: 8, Nodes: 1, Callers: 3,
		Classes: []rules.Class{cheap, text, script}, Tenants: []rules.Tenant{{Share: 1}},
		MemoryKB: 1e6, RunningMemoryFactor: 4, RecordKB: 1,
		Preemption: rules.PreemptDrop, OverloadRunsPerCore: 8, OverloadWindow: time.Second, DrainGrace: 300 * ms,
		TimeoutsPassed: true, DisconnectsReported: true, Gauges: []string{"cpu_busy", "runnable"},
		HonoursRetryAfter: true, MaxRetryAfter: time.Second, MaxIdleTimeout: 30 * time.Second, AnswerSlack: 60 * ms,
	}
}

const (
	cheapClass, textClass, scriptClass = 0, 1, 2
	testLength                         = 20 * time.Second
)

// usualMix returns the usual mix of requests; load is the work as a share of what the cores can do. The
// cheap calls have less utility for their work than either of the others.
func usualMix(load float64) []simulation.Stream {
	work := load * 8 // seconds of work a second
	return []simulation.Stream{
		{Class: cheapClass, Rate: simulation.Steady(work * 0.1 / 0.006), Work: simulation.Always(6 * ms)},
		{Class: textClass, Rate: simulation.Steady(work * 0.4 / 0.03), Work: simulation.Always(30 * ms)},
		{Class: scriptClass, Rate: simulation.Steady(work * 0.5 / 0.08), Work: simulation.Always(80 * ms)},
	}
}

// withPools adds pools with a reserve to the settings, or no pools if reserve is negative.
func withPools(set rules.Settings, reserve float64) rules.Settings {
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

// replay runs the arrivals through the decision module and fails the test if an invariant is violated.
func replay(t testing.TB, opt simulation.Options, arrivals []simulation.Arrival) *simulation.Result {
	t.Helper()
	if opt.ContentionFactor == 0 {
		opt.ContentionFactor = 0.02
	}
	res, err := simulation.Replay(opt, arrivals)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Violations {
		t.Errorf("invariant violated: %s", b)
	}
	return res
}

// worstSecond returns the least share of a class's requests that was served in any second.
func worstSecond(r *simulation.Result, class, from, to int) float64 {
	least := math.Inf(1)
	for s := from; s < to; s++ {
		if c := r.Total(class, s, s+1); c.Arrived > 0 {
			least = min(least, float64(c.Served)/float64(c.Arrived))
		}
	}
	return least
}

// servedInTime returns the share of requests that was served in time.
func servedInTime(c simulation.Count) float64 { return float64(c.InTime) / float64(max(c.Arrived, 1)) }

// between returns a rate that is in from one time to another, else out.
func between(from, to time.Duration, in, out float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return in
		}
		return out
	}
}

// The time during which the disturbances of scenarios last.
const disturbanceStart, disturbanceEnd = 8 * time.Second, 13 * time.Second

// scenarios are overloads and disturbances, with what must hold in them with a reserve.
var scenarios = []struct {
	name    string
	streams []simulation.Stream
	change  func(*simulation.Options)
	least   map[int]float64 // share of a class that must be served in time during the disturbance
	served  []int           // classes of which some requests must be served in every second
}{
	{"overload", usualMix(1.3), nil, map[int]float64{textClass: 0.9, scriptClass: 0.65}, []int{cheapClass, textClass, scriptClass}},
	{"flood of cheap calls", append(usualMix(0.9), simulation.Stream{
		Class: cheapClass, Rate: between(disturbanceStart, disturbanceEnd, 10*8/0.006, 0), Work: simulation.Always(6 * ms),
	}), nil, map[int]float64{textClass: 0.9, scriptClass: 0.8}, []int{cheapClass, textClass, scriptClass}},
	{"flood of calls of high utility", append(usualMix(0.9), simulation.Stream{
		Class: cheapClass, Rate: between(disturbanceStart, disturbanceEnd, 10*8/0.006, 0), Work: simulation.Always(6 * ms),
	}), func(o *simulation.Options) { o.Settings.Classes[cheapClass].Utility = 2 }, map[int]float64{textClass: 0.8, scriptClass: 0.5}, []int{cheapClass, textClass, scriptClass}},
	{"flood of the costliest class", append(usualMix(0.9), simulation.Stream{
		Class: scriptClass, Rate: between(disturbanceStart, disturbanceEnd, 10*8/0.08, 0), Work: simulation.Always(80 * ms),
	}), nil, map[int]float64{textClass: 0.7}, []int{cheapClass, textClass, scriptClass}},
	{"flood with wrong hints", append(usualMix(0.9), simulation.Stream{
		Class: scriptClass, Rate: between(disturbanceStart, disturbanceEnd, 3*8/0.08, 0), Work: simulation.Always(80 * ms),
		Hint: func(time.Duration) time.Duration { return ms },
	}), nil, map[int]float64{textClass: 0.7}, []int{cheapClass, textClass}},
	{"mix is reversed", []simulation.Stream{
		{Class: cheapClass, Rate: simulation.Steady(40), Work: simulation.Always(6 * ms)},
		{Class: textClass, Rate: between(disturbanceStart, time.Hour, 20, 300), Work: simulation.Always(30 * ms)},
		{Class: scriptClass, Rate: between(disturbanceStart, time.Hour, 125, 5), Work: simulation.Always(80 * ms)},
	}, nil, map[int]float64{cheapClass: 0.3, scriptClass: 0.55}, []int{cheapClass, textClass, scriptClass}},
	{"class pauses and returns", []simulation.Stream{
		usualMix(1.2)[cheapClass], usualMix(1.2)[scriptClass],
		{Class: textClass, Rate: between(4*time.Second, disturbanceStart, 0, 1.2*8*0.4/0.03), Work: simulation.Always(30 * ms)},
	}, nil, map[int]float64{textClass: 0.9}, []int{cheapClass, scriptClass}},
	{"work becomes costly", []simulation.Stream{
		usualMix(0.9)[cheapClass], usualMix(0.9)[textClass],
		{Class: scriptClass, Rate: simulation.Steady(0.9 * 8 * 0.5 / 0.08), Work: func(at time.Duration) time.Duration {
			if at >= disturbanceStart && at < disturbanceEnd {
				return 400 * ms
			}
			return 80 * ms
		}},
	}, nil, map[int]float64{textClass: 0.85}, []int{cheapClass, textClass}},
	{"one class hangs", usualMix(0.9), func(o *simulation.Options) {
		o.Hangs = func(at time.Duration, class int) bool {
			return class == scriptClass && at >= disturbanceStart && at < disturbanceEnd
		}
	}, map[int]float64{cheapClass: 0.5, textClass: 0.5}, []int{cheapClass, textClass}},
}

// Runs all scenarios with and without pools. With pools the classes that a scenario names are served as it
// requires, and in both cases the invariants of the decision module hold. In most scenarios pools must improve
// some class, or the scenarios would show nothing.
func TestOverloadScenarios(t *testing.T) {
	helped := 0
	for _, c := range scenarios {
		arrivals := simulation.Arrivals(3, testLength, c.streams...)
		var least [2]map[int]float64
		for i, reserve := range []float64{-1, reserve} {
			opt := simulation.Options{Settings: testSettings()}
			if c.change != nil {
				c.change(&opt)
			}
			opt.Settings = withPools(opt.Settings, reserve)
			r := replay(t, opt, arrivals)
			w := [2]int{int(disturbanceStart / time.Second), int(disturbanceEnd / time.Second)}
			least[i] = map[int]float64{}
			for class := range opt.Settings.Classes {
				least[i][class] = servedInTime(r.Total(class, w[0], w[1]))
			}
			t.Logf("%-26s reserve %5.2f: utility %6.0f; in time: cheap %.2f text %.2f script %.2f; worst second: cheap %.2f text %.2f script %.2f", c.name, reserve,
				r.Total(-1, 0, 99).Utility, least[i][cheapClass], least[i][textClass], least[i][scriptClass],
				worstSecond(r, cheapClass, w[0], w[1]), worstSecond(r, textClass, w[0], w[1]), worstSecond(r, scriptClass, w[0], w[1]))
			if i == 0 {
				continue
			}
			for class, want := range c.least {
				if got := least[1][class]; got < want {
					t.Errorf("%s: %.2f of class %d is served in time, want %.2f", c.name, got, class, want)
				}
			}
			for _, class := range c.served {
				if worstSecond(r, class, w[0], w[1]) <= 0 {
					t.Errorf("%s: class %d has a second without a served request", c.name, class)
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
		t.Errorf("pools help in only %d scenarios", helped)
	}
}

// reserve is the share of the slots that the tests keep for cheap classes.
const reserve = 0.04

// At a load of 130% pools reach nearly the best possible utility, and some cheap calls are served in every
// second; without a reserve there are seconds without one.
func TestOverload(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		arrivals := simulation.Arrivals(seed, testLength, usualMix(1.3)...)
		best, err := simulation.BestUtility(testSettings(), arrivals)
		if err != nil {
			t.Fatal(err)
		}
		withReserve := replay(t, simulation.Options{Settings: withPools(testSettings(), reserve)}, arrivals)
		if got := withReserve.Total(-1, 0, 99).Utility / best; got < 0.94 || got > 1 {
			t.Errorf("seed %d: %.3f of the best utility", seed, got)
		}
		if w := worstSecond(withReserve, cheapClass, 0, 20); w <= 0 {
			t.Errorf("seed %d: a second without a served cheap call", seed)
		}
		if w := worstSecond(replay(t, simulation.Options{Settings: withPools(testSettings(), 0)}, arrivals), cheapClass, 0, 20); w > 0 {
			t.Errorf("seed %d: without a reserve %.2f of the cheap calls are served in the worst second: the test shows nothing", seed, w)
		}
		if len(withReserve.Log) == 0 {
			t.Error("the use of the reserve is not logged")
		}
	}
}

// With unusual settings - many classes, one, equal or zero utilities, a cold node, a drain, unsafe work -
// the invariants of the decision module hold, and enough is served.
func TestEdges(t *testing.T) {
	same := func(n int, utility float64) rules.Settings {
		s := testSettings()
		c := s.Classes[textClass]
		c.Utility = utility
		s.Classes = nil
		for range n {
			s.Classes = append(s.Classes, c)
		}
		return s
	}
	spread := func(n int) (streams []simulation.Stream) {
		for i := range n {
			streams = append(streams, simulation.Stream{
				Class: i, Rate: simulation.Steady(1.2 * 8 / 0.03 / float64(n)), Work: simulation.Always(30 * ms),
			})
		}
		return streams
	}
	for name, c := range map[string]struct {
		set     rules.Settings
		streams []simulation.Stream
		change  func(*simulation.Options)
		served  float64
	}{
		"a thousand classes": {same(1000, 1), spread(1000), nil, 0.7},
		"one class":          {same(1, 1), spread(1), nil, 0.75},
		"equal utilities":    {same(4, 1), spread(4), nil, 0.75},
		"utility of zero":    {same(2, 0), spread(2), nil, 0.75},
		"cold": {testSettings(), usualMix(1.0), func(o *simulation.Options) {
			o.Settings.ColdStart, o.Settings.WarmUpTime, o.Settings.ColdSpeed = true, 4*time.Second, 0.3
		}, 0.8},
		"drain":     {testSettings(), usualMix(0.8)[1:], func(o *simulation.Options) { o.Drain, o.Length = 6*time.Second, 10*time.Second }, 0.5},
		"once":      {testSettings(), usualMix(1.3), func(o *simulation.Options) { o.Settings.Classes[scriptClass].Effect = rules.Unsafe }, 0.5},
		"by work":   {testSettings(), usualMix(1.3), func(o *simulation.Options) { o.Settings.UtilityPerWork = true }, 0.5},
		"two cores": {testSettings(), usualMix(0.3), func(o *simulation.Options) { o.Settings.Cores = 2 }, 0.6},
	} {
		opt := simulation.Options{Settings: c.set}
		if c.change != nil {
			c.change(&opt)
		}
		opt.Settings = withPools(opt.Settings, reserve)
		end := 8 * time.Second
		if opt.Drain > 0 {
			end = opt.Drain
		}
		r := replay(t, opt, simulation.Arrivals(5, end, c.streams...))
		all := r.Total(-1, 0, 99)
		if got := float64(all.Served) / float64(all.Arrived); got < c.served || len(r.Violations) > 0 {
			t.Errorf("%s: %.2f served, want %.2f; %v", name, got, c.served, r.Violations)
		}
	}
}

// While all runs are stalled requests are refused as without pools, and service resumes afterwards. Of two
// tenants in one class, the one far over its share is served less.
func TestStallAndTenants(t *testing.T) {
	r := replay(t, simulation.Options{Settings: withPools(testSettings(), reserve), Hangs: func(at time.Duration, _ int) bool {
		return at >= disturbanceStart && at < disturbanceEnd
	}}, simulation.Arrivals(3, testLength, usualMix(0.8)...))
	if c := r.Total(-1, 10, 12); c.Refused == 0 {
		t.Errorf("nothing is refused during a stall: %+v", c)
	}
	if c := r.Total(-1, 15, 20); servedInTime(c) < 0.9 {
		t.Errorf("%.2f is served in time after a stall", servedInTime(c))
	}
	set := testSettings()
	set.Tenants, set.OverQuotaUtility = []rules.Tenant{{Share: 0.5, QuotaPerSecond: 133}, {Share: 0.5, QuotaPerSecond: 133}}, 0.2
	rate := 1.5 * 8 / 0.03
	served := map[int]int{}
	var arrivals = simulation.Arrivals(4, 10*time.Second,
		simulation.Stream{Class: textClass, Tenant: 0, Rate: simulation.Steady(0.85 * rate), Work: simulation.Always(30 * ms)},
		simulation.Stream{Class: textClass, Tenant: 1, Rate: simulation.Steady(0.15 * rate), Work: simulation.Always(30 * ms)})
	sent := map[int]int{}
	for _, a := range arrivals {
		sent[a.Tenant]++
	}
	count := func(_ time.Duration, what string, id rules.RequestID, _ float64) {
		if what == "run" {
			served[arrivals[id-1].Tenant]++
		}
	}
	replay(t, simulation.Options{Settings: withPools(set, reserve), OnAction: count}, arrivals)
	if big, small := float64(served[0])/float64(sent[0]), float64(served[1])/float64(sent[1]); small < big+0.1 {
		t.Errorf("%.2f run of the tenant over its share, %.2f of the other", big, small)
	}
}

// recordingHost records which requests run and which make their downstream call.
type recordingHost struct{ run, call []rules.RequestID }

func (h *recordingHost) Run(id rules.RequestID)                    { h.run = append(h.run, id) }
func (h *recordingHost) Call(id rules.RequestID, _ time.Duration)  { h.call = append(h.call, id) }
func (*recordingHost) Preempt(rules.RequestID)                     {}
func (*recordingHost) Refuse(rules.RequestID, time.Duration, bool) {}
func (*recordingHost) Fail(rules.RequestID)                        {}
func (*recordingHost) SkipCall(rules.RequestID)                    {}
func (*recordingHost) KeepRecord(rules.RequestID, time.Duration)   {}
func (*recordingHost) ForgetRecord(rules.RequestID)                {}
func (*recordingHost) JoinEarlier(rules.RequestID)                 {}
func (*recordingHost) SetHealth(bool, bool)                        {}
func (*recordingHost) PublishLoad(float64)                         {}
func (*recordingHost) SetIdleTimeout(time.Duration)                {}
func (*recordingHost) StartTimer(uint64, time.Duration)            {}
func (*recordingHost) Log(string)                                  {}

// A request holds no slot of its class during its downstream call, and holds one again afterwards.
func TestDownstreamCallReleasesSlot(t *testing.T) {
	set := testSettings()
	set.Cores, set.Dependency, set.CallShare, set.CallWindow = 1, rules.DependencyShared, 20, time.Second
	set.Classes[textClass].CallsDependency = true
	set = withPools(set, reserve)
	var used *pools.Pools
	make := set.NewPools
	set.NewPools = func() rules.Pools { used = make().(*pools.Pools); return used }
	h := &recordingHost{}
	m, err := rules.New(0, set, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	for id := rules.RequestID(1); id <= 2; id++ {
		m.Arrive(ms, rules.Request{ID: id, Class: textClass, MemoryKB: 1, CallerTimeout: time.Second, WorkHint: 30 * ms})
	}
	m.FinishBatch(ms)
	if len(h.run) != 1 || used.Views(nil)[textClass].Running != 1 {
		t.Fatalf("ran %v", h.run)
	}
	m.CallNeeded(2*ms, 1)
	m.FinishBatch(2 * ms)
	if len(h.call) != 1 || len(h.run) != 2 || used.Views(nil)[textClass].Running != 1 {
		t.Errorf("called %v, ran %v, %d running", h.call, h.run, used.Views(nil)[textClass].Running)
	}
	m.CallEnded(3*ms, 1, rules.OK, ms)
	if n := used.Views(nil)[textClass].Running; n != 2 {
		t.Errorf("%d running after the call ended", n)
	}
	m.RunEnded(4*ms, 1, rules.OK, 2*ms)
	m.RunEnded(4*ms, 2, rules.OK, 2*ms)
	if n := used.Views(nil)[textClass].Running; n != 0 {
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
		{"single-queue", func(s rules.Settings) rules.Settings { return s }},
		{"static-split", func(s rules.Settings) rules.Settings {
			s.NewPools = func() rules.Pools { return simulation.NewStaticSplit(len(s.Classes)) }
			return s
		}},
		{"pools-no-reserve", func(s rules.Settings) rules.Settings { return withPools(s, 0) }},
		{"pools-reserve", func(s rules.Settings) rules.Settings { return withPools(s, reserve) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				share, least, low := 0.0, math.Inf(1), math.Inf(1)
				const seeds = 5
				for seed := uint64(1); seed <= seeds; seed++ {
					arrivals := simulation.Arrivals(seed, testLength, usualMix(1.3)...)
					best, err := simulation.BestUtility(testSettings(), arrivals)
					if err != nil {
						b.Fatal(err)
					}
					r := replay(b, simulation.Options{Settings: c.set(testSettings())}, arrivals)
					share += r.Total(-1, 0, 99).Utility / best / seeds
					low = min(low, worstSecond(r, cheapClass, 2, 20))
					for s := 2; s < 20; s++ {
						least = min(least, r.Total(-1, s, s+1).Utility*testLength.Seconds()/best)
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
				set := testSettings()
				c := set.Classes[textClass]
				set.Classes = nil
				var streams []simulation.Stream
				for i := range n {
					set.Classes = append(set.Classes, c)
					streams = append(streams, simulation.Stream{
						Class: i, Rate: simulation.Steady(1.2 * 8 / 0.005 / float64(n)), Work: simulation.Always(5 * ms),
					})
				}
				arrivals := simulation.Arrivals(1, 5*time.Second, streams...)
				b.ResetTimer()
				for range b.N {
					replay(b, simulation.Options{Settings: withPools(set, reserve)}, arrivals)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(arrivals)), "ns/request")
			})
		}
	}
}
