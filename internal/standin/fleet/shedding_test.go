package fleet

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var fullSize = flag.Bool("fleet.long", false, "play the rehearsals at full size: 24 nodes, 10 s")

// classes of the rehearsals: as on the bench's first site, smaller.
const twoClasses = `
[class.script-step]
share = 0.77
ms = 20
aim = 800ms
deadline = 2500ms
[class.disclosure]
share = 0.23
ms = 20
worth = 2
aim = 800ms
deadline = 2s
`

// fleetView is GET /fleet, as an operator sees it.
type fleetView struct {
	Nodes []struct {
		Name, Follows, State string
	}
	Digest struct {
		Nodes              int
		Epoch              uint64
		Drain, Demand, Cut float64
	}
}

// fetch is what a control service says under a path, as an operator reads it.
func fetch[T any](ctx context.Context, addr, path string) (v T, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return v, err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return v, err
	}
	defer r.Body.Close()
	return v, json.NewDecoder(r.Body).Decode(&v)
}

func view(ctx context.Context, addr string) (fleetView, error) {
	return fetch[fleetView](ctx, addr, "/fleet")
}

// watching looks at every control service ten times a second until stop is called.
func pollServices(opt *Options, each func(ctx context.Context, service int, addr string, at time.Duration)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var looking sync.WaitGroup
	opt.OnStarted = func(f *Fleet) {
		began := time.Now()
		for i, addr := range f.ControlAddrs() {
			looking.Go(func() {
				for ctx.Err() == nil {
					each(ctx, i, addr, time.Since(began))
					select {
					case <-ctx.Done():
					case <-time.After(100 * time.Millisecond):
					}
				}
			})
		}
	}
	return func() { cancel(); looking.Wait() }
}

// watch looks at the fleet's view all the while, from outside.
func pollFleet(t *testing.T, s *Scenario, opt Options, each func(at time.Duration, v fleetView)) *Report {
	t.Helper()
	stop := pollServices(&opt, func(ctx context.Context, _ int, addr string, at time.Duration) {
		if v, err := view(ctx, addr); err == nil {
			each(at, v)
		}
	})
	r := run(t, s, opt)
	stop()
	return r
}

// Told: while the fleet gets twice what it can do there is a cut, every node that
// asks follows it, and it is gone soon after; before it there is none. A node of
// the old kind beside them is served all the same.
func TestThresholdFollowsOverload(t *testing.T) {
	s := scenario(t, "[fleet]\nnodes = 3\ncores = 2\nseconds = 9\ntogether = told\ncontrol = 1\n[load]\nsteps = 0s 0.5, 3s 2, 6s 0.5\n[dispatchers]\nwalk = 2\nheed = 0\n"+twoClasses)
	var mu sync.Mutex
	var early, during, late, follow int
	r := pollFleet(t, s, build(t), func(at time.Duration, v fleetView) {
		mu.Lock()
		defer mu.Unlock()
		cut := v.Digest.Cut > 0
		switch {
		case at < 2900*time.Millisecond && cut:
			early++
		case at > 4500*time.Millisecond && at < 6*time.Second && cut:
			during++
			n := 0
			for _, node := range v.Nodes {
				if node.Follows == "the cut" {
					n++
				}
			}
			if n == 3 {
				follow++
			}
		case at > 8*time.Second && cut:
			late++
		}
	})
	if early > 0 || during < 8 || late > 0 || follow < 3 {
		t.Errorf("seen with a cut: %d before, %d during, %d long after the overload; all followed it in %d", early, during, late, follow)
	}
	over, _ := r.Between(4, 6)
	before, _ := r.Between(1, 3)
	if over.Utility < 0.95*before.Utility {
		t.Errorf("worth %.0f in 2 s at twice the capacity, %.0f at half of it", over.Utility, before.Utility)
	}
}

// The service that tells is killed, and stopped, in the middle of an overload: the
// nodes go on alone, service goes on, and its next life is followed again.
func TestControlServiceLost(t *testing.T) {
	s := scenario(t, `
[fleet]
nodes = 3
cores = 2
seconds = 12
together = told
control = 1
[load]
steps = 0s 2
[dispatchers]
walk = 2
[fault.killed]
at = 4s
for = 4s
what = kill
on = control
`+twoClasses)
	var mu sync.Mutex
	epochs := map[uint64]bool{}
	again := 0
	r := pollFleet(t, s, build(t), func(at time.Duration, v fleetView) {
		mu.Lock()
		defer mu.Unlock()
		if v.Digest.Epoch > 0 {
			epochs[v.Digest.Epoch] = true
		}
		for _, n := range v.Nodes {
			if at > 10*time.Second && n.Follows == "the cut" {
				again++
			}
		}
	})
	if len(epochs) != 2 || again == 0 {
		t.Errorf("%d lives of the service were seen, its second is followed in %d looks", len(epochs), again)
	}
	with, _ := r.Between(2, 4)
	without, _ := r.Between(6, 8)
	if without.Utility < 0.85*with.Utility {
		t.Errorf("worth %.0f in 2 s while told, %.0f while the teller is away", with.Utility, without.Utility)
	}
}

// Digests 2 s late are taken for what they are, old: trust falls, nobody follows
// what no longer holds, and service is as if alone.
func TestDigestsComeLate(t *testing.T) {
	s := scenario(t, `
[fleet]
nodes = 3
cores = 2
seconds = 8
together = told
control = 1
[load]
steps = 0s 1.5
[fault.late]
at = 2s
for = 6s
what = delay
link = nodes -> control
delay = 1300ms
`+twoClasses)
	var mu sync.Mutex
	followed, looks := 0, 0
	pollFleet(t, s, build(t), func(at time.Duration, v fleetView) {
		mu.Lock()
		defer mu.Unlock()
		if at < 6*time.Second {
			return
		}
		looks++
		for _, n := range v.Nodes {
			if n.Follows == "the cut" || n.Follows == "an older cut" {
				followed++
			}
		}
	})
	if looks == 0 || followed > 0 {
		t.Errorf("in %d looks %d nodes followed a digest that was 2.6 s old when it came", looks, followed)
	}
}

// Nodes that lose the control service together come back spread out, and make
// fewer tries than a pace that doubles to 0.7 s would.
func TestNodesReconnectSpread(t *testing.T) {
	nodes, away, least := 6, 4, 300*time.Millisecond
	if *fullSize {
		nodes, away, least = 24, 10, 2*time.Second
	}
	s := scenario(t, fmt.Sprintf(`
[fleet]
nodes = %d
cores = 1
seconds = %d
control = 1
[load]
steps = 0s 0.2
[fault.lost]
at = 1s
for = %ds
what = kill
on = control
`, nodes, away+6, away))
	opt := build(t)
	opt.Keep = t.TempDir()
	run(t, s, opt)
	spread := reconnectSpread(t, opt.Keep, nodes)
	if spread < least {
		t.Errorf("%d nodes came back within %v", nodes, spread)
	}
	t.Logf("%d nodes came back within %v", nodes, spread)
}

// returned is within what time all nodes said that their reports are taken again.
func reconnectSpread(t *testing.T, dir string, nodes int) time.Duration {
	t.Helper()
	stamp := regexp.MustCompile(`time=(\S+) .*reports to the control service are taken again`)
	var reconnects []time.Time
	for i := range nodes {
		if m := stamp.FindStringSubmatch(nodeLog(t, dir, i)); m != nil {
			at, err := time.Parse(time.RFC3339Nano, m[1])
			if err != nil {
				t.Fatal(err)
			}
			reconnects = append(reconnects, at)
		}
	}
	if len(reconnects) < nodes {
		t.Fatalf("%d of %d nodes came back", len(reconnects), nodes)
	}
	slices.SortFunc(reconnects, func(a, b time.Time) int { return a.Compare(b) })
	return reconnects[len(reconnects)-1].Sub(reconnects[0])
}

// Refused first tries hear so at once, instead of being held in vain: with the
// defence switched off the same night fails this.
func TestRefusedPromptly(t *testing.T) {
	play := func(together string) *Report {
		return run(t, scenario(t, "[fleet]\nnodes = 3\ncores = 2\nseconds = 7\ntogether = "+together+
			"\n[load]\nsteps = 0s 0.5, 1s 1.6\n[dispatchers]\nwalk = 2\n"+twoClasses), build(t))
	}
	with, without := play("alone"), play("off")
	if with.PromptRefusalShare < 0.75 {
		t.Errorf("%.3f of the refused first tries heard so within 20 ms", with.PromptRefusalShare)
	}
	if without.PromptRefusalShare > with.PromptRefusalShare-0.15 {
		t.Errorf("%.3f did with the defence switched off, %.3f with it: this test shows nothing", without.PromptRefusalShare, with.PromptRefusalShare)
	}
	a, _ := with.Between(2, 7)
	b, _ := without.Between(2, 7)
	if a.Utility < 0.97*b.Utility {
		t.Errorf("worth %.0f with the defence, %.0f without", a.Utility, b.Utility)
	}
}

// One node is full while the others have room: walks are not ended, and what fits
// is served, alone and told.
func TestOneNodeOverloaded(t *testing.T) {
	for _, together := range []string{"alone", "told"} {
		t.Run(together, func(t *testing.T) {
			r := run(t, scenario(t, "[fleet]\nnodes = 3\ncores = 2\nseconds = 7\ncontrol = 1\ntogether = "+together+`
[load]
steps = 0s 0.5
[dispatchers]
walk = 2
[fault.full]
at = 1s
for = 6s
what = slow
factor = 6
on = nodes:1
`+twoClasses), build(t))
			if r.Tally.Tries[refused] < 10 {
				t.Fatalf("%d tries were refused: nothing was full", r.Tally.Tries[refused])
			}
			lost := 0
			for e, n := range r.Tally.Requests {
				if outcome(e) != served {
					lost += n
				}
			}
			if share := float64(lost) / float64(r.Tally.Started); share > 0.001 {
				t.Errorf("%d of %d requests were not served", lost, r.Tally.Started)
			}
			if ended := float64(r.Tally.StoppedRetries) / float64(r.Tally.Tries[refused]); ended > 0.1 {
				t.Errorf("%.2f of the refusals ended a walk", ended)
			}
		})
	}
}

// Two services, and a fleet cut in halves of which each hears one: for so long each
// service's digest holds the half that reaches it, and both halves go on being told;
// healed, each holds all again. A service that hangs delays no report to the other.
func TestHalvesAreToldApart(t *testing.T) {
	s := scenario(t, `
[fleet]
nodes = 4
cores = 1
seconds = 15
together = told
control = 2
[load]
steps = 0s 2
[dispatchers]
walk = 3
[fault.a]
at = 3s
for = 6s
what = cut
link = nodes:1-2 -> control:2
[fault.b]
at = 3s
for = 6s
what = cut
link = nodes:3-4 -> control:1
`+twoClasses)
	opt := build(t)
	var mu sync.Mutex
	halves, whole, full, nobody := [2]int{}, [2]int{}, 0, 0
	stop := pollServices(&opt, func(ctx context.Context, i int, addr string, at time.Duration) {
		v, err := view(ctx, addr)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil:
		case at > 7*time.Second && at < 9*time.Second: // words of before have aged out
			full++
			if v.Digest.Nodes == 2 {
				halves[i]++
			}
			told := 0
			for _, n := range v.Nodes {
				if n.Follows == "the cut" {
					told++
				}
			}
			if told < 2 && v.Digest.Cut > 0 {
				nobody++
			}
		case at > 13*time.Second && v.Digest.Nodes == 4:
			whole[i]++
		}
	})
	r := run(t, s, opt)
	stop()
	if halves[0]+halves[1] < full*9/10 || halves[0] == 0 || halves[1] == 0 || nobody > full/3 {
		t.Errorf("of %d looks at halves %v held just their own, in %d the half did not follow", full, halves, nobody)
	}
	if whole[0] == 0 || whole[1] == 0 {
		t.Errorf("healed, %v looks held all", whole)
	}
	before, _ := r.Between(1, 3)
	during, _ := r.Between(5, 9)
	if during.Utility/4 < 0.85*before.Utility/2 {
		t.Errorf("worth %.0f a second in halves, %.0f before", during.Utility/4, before.Utility/2)
	}
}

// Half of the nodes are older programs without [together]: all rules hold, and the
// fleet serves as much as one that is all of a kind, within what chance does.
func TestNodesWithoutShedding(t *testing.T) {
	r := run(t, scenario(t, `
[fleet]
nodes = 4
cores = 1
seconds = 8
control = 1
together = told
plain = 2
[load]
steps = 0s 0.6, 3s 2
[dispatchers]
walk = 3
`+twoClasses), build(t))
	over, _ := r.Between(4, 8)
	if rate := over.Utility / 4; rate < 0.95*r.Capacity*1.23 {
		t.Errorf("worth %.0f a second at twice the capacity, all cores are worth %.0f", rate, r.Capacity*1.23)
	}
}

// A liar among the nodes, and the word of a dead incarnation, make no cut where the
// fleet has room, and keep none from anybody.
func TestFalseLoadReports(t *testing.T) {
	s := scenario(t, "[fleet]\nnodes = 3\ncores = 1\nseconds = 6\ncontrol = 1\ntogether = told\n[load]\nsteps = 0s 0.5\n"+twoClasses)
	opt := build(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var reporting sync.WaitGroup
	accepted, thresholds := 0, 0
	opt.OnStarted = func(f *Fleet) {
		addr := f.ControlAddrs()[0]
		reporting.Go(func() {
			for seq := 1; ctx.Err() == nil; seq++ {
				for name, inc := range map[string]int{"liar": 9, "n1": 1} { // n1's is of a life long past
					body := fmt.Sprintf(`{"addr":"127.0.0.1:9","incarnation":%d,"seq":%d,"phase":"up","healthy":true,"warm":1,"limit":1,`+
						`"together":{"drain":0.001,"short":1,"demand":{"80":1000000},"ask":true}}`, inc, seq)
					q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+"/nodes/"+name, strings.NewReader(body))
					if err != nil {
						return
					}
					if r, err := http.DefaultClient.Do(q); err == nil {
						if r.StatusCode == http.StatusOK {
							accepted++
						}
						r.Body.Close()
					}
				}
				if v, err := view(ctx, addr); err == nil && v.Digest.Cut > 0 && seq > 20 { // the others have spoken
					thresholds++
				}
				select {
				case <-ctx.Done():
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	r := run(t, s, opt)
	cancel()
	reporting.Wait()
	if accepted < 10 {
		t.Fatalf("%d lies were taken: nobody lied", accepted)
	}
	if thresholds > 0 {
		t.Errorf("a cut was seen %d times", thresholds)
	}
	if r.ServedShare < 0.999 {
		t.Errorf("%.4f served at half of what fits", r.ServedShare)
	}
}
