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

var fullSize = flag.Bool("fleet.long", false, "run the rehearsals at full size: 24 nodes, 10 s")

// twoClasses is a smaller form of the classes of the benchmark's first site.
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

// fleetView is the part of a control service's GET /fleet that the tests read.
type fleetView struct {
	Nodes []struct {
		Name, Follows, State string
	}
	Digest struct {
		Nodes     int
		Epoch     uint64
		Threshold float64 `json:"cut"` // 0 = none
	}
}

// fetch gets a JSON document from a control service.
func fetch[T any](ctx context.Context, addr, path string) (v T, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return v, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return v, err
	}
	defer response.Body.Close()
	return v, json.NewDecoder(response.Body).Decode(&v)
}

func fetchFleet(ctx context.Context, addr string) (fleetView, error) {
	return fetch[fleetView](ctx, addr, "/fleet")
}

// pollInterval is the time between two views that pollServices gets of a service.
const pollInterval = 100 * time.Millisecond

// pollServices calls each for every control service at pollInterval until stop is called.
func pollServices(
	opt *Options, each func(ctx context.Context, service int, addr string, at time.Duration),
) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var polling sync.WaitGroup
	opt.OnStarted = func(f *Fleet) {
		began := time.Now()
		for i, addr := range f.ControlAddrs() {
			polling.Go(func() {
				for ctx.Err() == nil {
					each(ctx, i, addr, time.Since(began))
					select {
					case <-ctx.Done():
					case <-time.After(pollInterval):
					}
				}
			})
		}
	}
	return func() { cancel(); polling.Wait() }
}

// pollFleet runs a scenario and passes each view of the fleet that a control service publishes meanwhile.
func pollFleet(t *testing.T, s *Scenario, opt Options, each func(at time.Duration, v fleetView)) *Report {
	t.Helper()
	stop := pollServices(&opt, func(ctx context.Context, _ int, addr string, at time.Duration) {
		if v, err := fetchFleet(ctx, addr); err == nil {
			each(at, v)
		}
	})
	r := run(t, s, opt)
	stop()
	return r
}

// While the offered load is twice the capacity, the control service publishes a shedding threshold and
// all nodes follow it: a node hears of it in the answer to its next report and says so in the one after, so that
// the view shows it two report intervals later. Before the overload and soon after it there is none.
func TestThresholdFollowsOverload(t *testing.T) {
	const reportInterval = 700 * time.Millisecond // of the nodes
	s := scenario(t, "[fleet]\nnodes = 3\ncores = 2\nseconds = 10\ntogether = told\ncontrol = 1\n"+
		"[load]\nsteps = 0s 0.5, 3s 2, 7s 0.5\n[dispatchers]\nwalk = 2\nheed = 0\n"+twoClasses)
	var mu sync.Mutex
	var early, during, late, notFollowed int
	var published, followed time.Duration // first view with a threshold, and first with all nodes following it
	r := pollFleet(t, s, build(t), func(at time.Duration, v fleetView) {
		mu.Lock()
		defer mu.Unlock()
		overloaded := v.Digest.Threshold > 0
		if !overloaded {
			return
		}
		switch {
		case at < 2900*time.Millisecond:
			early++
		case at > 4500*time.Millisecond && at < 6*time.Second:
			during++
		case at > 9*time.Second:
			late++
		}
		if published == 0 {
			published = at
		}
		switch {
		case at >= 7*time.Second:
		case allFollow(v, 3):
			if followed == 0 {
				followed = at
			}
		case followed > 0:
			notFollowed++
		}
	})
	if early > 0 || during < 8 || late > 0 {
		t.Errorf("views with a threshold: %d before, %d during, %d after the overload", early, during, late)
	}
	if followed == 0 || followed-published > 2*reportInterval+2*pollInterval || notFollowed > 0 {
		t.Errorf("a threshold was published at %v, all nodes followed it at %v, later they did not in %d views",
			published, followed, notFollowed)
	}
	over, _ := r.Between(4, 6)
	before, _ := r.Between(1, 3)
	if over.Utility < 0.95*before.Utility {
		t.Errorf("utility %.0f in 2 s at twice the capacity, %.0f at half of it", over.Utility, before.Utility)
	}
}

// allFollow reports whether the given number of nodes follow the fleet's threshold.
func allFollow(v fleetView, nodes int) bool {
	n := 0
	for _, node := range v.Nodes {
		if node.Follows == "the cut" {
			n++
		}
	}
	return n == nodes
}

// If the control service is killed during an overload, the nodes shed on their own and utility stays
// about the same. After its restart they follow the digests of its new epoch.
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
	followedAgain := 0
	r := pollFleet(t, s, build(t), func(at time.Duration, v fleetView) {
		mu.Lock()
		defer mu.Unlock()
		if v.Digest.Epoch > 0 {
			epochs[v.Digest.Epoch] = true
		}
		for _, n := range v.Nodes {
			if at > 10*time.Second && n.Follows == "the cut" {
				followedAgain++
			}
		}
	})
	if len(epochs) != 2 || followedAgain == 0 {
		t.Errorf("%d epochs of the service, want 2; nodes followed the second %d times", len(epochs), followedAgain)
	}
	with, _ := r.Between(2, 4)
	without, _ := r.Between(6, 8)
	if without.Utility < 0.85*with.Utility {
		t.Errorf("utility %.0f in 2 s with the control service, %.0f without", with.Utility, without.Utility)
	}
}

// Digests that arrive 2.6 s late have expired, so no node follows them.
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
	followed, views := 0, 0
	pollFleet(t, s, build(t), func(at time.Duration, v fleetView) {
		mu.Lock()
		defer mu.Unlock()
		if at < 6*time.Second {
			return
		}
		views++
		for _, n := range v.Nodes {
			if n.Follows == "the cut" || n.Follows == "an older cut" {
				followed++
			}
		}
	})
	if views == 0 || followed > 0 {
		t.Errorf("in %d views nodes followed %d times a digest that was 2.6 s old on arrival", views, followed)
	}
}

// Nodes that lose the control service at the same moment reconnect spread over time, so that they cause
// no connection storm.
func TestNodesReconnectSpread(t *testing.T) {
	nodes, outage, minSpread := 6, 4, 300*time.Millisecond // outage in seconds
	if *fullSize {
		nodes, outage, minSpread = 24, 10, 2*time.Second
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
`, nodes, outage+6, outage))
	opt := build(t)
	opt.LogDir = t.ArtifactDir()
	run(t, s, opt)
	spread := reconnectSpread(t, opt.LogDir, nodes)
	if spread < minSpread {
		t.Errorf("%d nodes reconnected within %v, want at least %v", nodes, spread, minSpread)
	}
	t.Logf("%d nodes reconnected within %v", nodes, spread)
}

// reconnectSpread returns the time between the first and the last node's reconnect, by their logs.
func reconnectSpread(t *testing.T, dir string, nodes int) time.Duration {
	t.Helper()
	stamp := regexp.MustCompile(`time=(\S+) .*reports to the control service are accepted again`)
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
		t.Fatalf("%d of %d nodes reconnected", len(reconnects), nodes)
	}
	slices.SortFunc(reconnects, func(a, b time.Time) int { return a.Compare(b) })
	return reconnects[len(reconnects)-1].Sub(reconnects[0])
}

// First tries that would exceed the queue timeout are refused at once instead of waiting in the queue.
// Without load shedding the same scenario refuses clearly fewer of them promptly. The utility of 5 s varies
// by 2 % from play to play, by which requests find a slot, so that 20 s are compared.
func TestRefusedPromptly(t *testing.T) {
	runWith := func(together string) *Report {
		return runUndisturbed(t, scenario(t, "[fleet]\nnodes = 3\ncores = 2\nseconds = 22\ntogether = "+together+
			"\n[load]\nsteps = 0s 0.5, 1s 1.6\n[dispatchers]\nwalk = 2\n"+twoClasses), build(t))
	}
	with, without := runWith("alone"), runWith("off")
	if with.PromptRefusalShare < 0.75 {
		t.Errorf("%.3f of the refused first tries were answered within 20 ms", with.PromptRefusalShare)
	}
	if without.PromptRefusalShare > with.PromptRefusalShare-0.15 {
		t.Errorf("%.3f refused promptly without load shedding, %.3f with it: the scenario shows no difference",
			without.PromptRefusalShare, with.PromptRefusalShare)
	}
	a, _ := with.Between(2, 22)
	b, _ := without.Between(2, 22)
	t.Logf("utility %.0f with load shedding, %.0f without", a.Utility, b.Utility)
	if a.Utility < 0.97*b.Utility {
		t.Errorf("utility %.0f with load shedding, %.0f without", a.Utility, b.Utility)
	}
}

// While one node is overloaded and the others have capacity, its refusals do not stop retries and all
// requests are served, without and with digests.
func TestOneNodeOverloaded(t *testing.T) {
	for _, together := range []string{"alone", "told"} {
		t.Run(together, func(t *testing.T) {
			r := runUndisturbed(t, scenario(t, "[fleet]\nnodes = 3\ncores = 2\nseconds = 7\ncontrol = 1\ntogether = "+together+`
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
				t.Fatalf("%d tries were refused: the node was not overloaded", r.Tally.Tries[refused])
			}
			notServed := 0
			for i, n := range r.Tally.Requests {
				if outcome(i) != served {
					notServed += n
				}
			}
			if share := float64(notServed) / float64(r.Tally.Started); share > 0.001 {
				t.Errorf("%d of %d requests were not served", notServed, r.Tally.Started)
			}
			if stopped := float64(r.Tally.StoppedRetries) / float64(r.Tally.Tries[refused]); stopped > 0.1 {
				t.Errorf("%.2f of the refusals stopped retries", stopped)
			}
		})
	}
}

// A network partition leaves each half of the nodes with one of two control services. Each service's
// digest then covers the half that reaches it, and both halves follow digests. After the partition each
// covers all nodes again.
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
	halves, whole, views, notFollowed := [2]int{}, [2]int{}, 0, 0 // halves and whole by service
	stop := pollServices(&opt, func(ctx context.Context, i int, addr string, at time.Duration) {
		v, err := fetchFleet(ctx, addr)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil:
		case at > 7*time.Second && at < 9*time.Second: // load reports from before the partition have expired
			views++
			if v.Digest.Nodes == 2 {
				halves[i]++
			}
			follow := 0
			for _, n := range v.Nodes {
				if n.Follows == "the cut" {
					follow++
				}
			}
			if follow < 2 && v.Digest.Threshold > 0 {
				notFollowed++
			}
		case at > 13*time.Second && v.Digest.Nodes == 4:
			whole[i]++
		}
	})
	r := run(t, s, opt)
	stop()
	if halves[0]+halves[1] < views*9/10 || halves[0] == 0 || halves[1] == 0 || notFollowed > views/3 {
		t.Errorf("of %d views in the partition %v covered only the service's own half, in %d it did not follow",
			views, halves, notFollowed)
	}
	if whole[0] == 0 || whole[1] == 0 {
		t.Errorf("after the partition, views of all nodes by service: %v", whole)
	}
	before, _ := r.Between(1, 3)
	during, _ := r.Between(5, 9)
	if during.Utility/4 < 0.85*before.Utility/2 {
		t.Errorf("utility %.0f a second in the partition, %.0f before", during.Utility/4, before.Utility/2)
	}
}

// With half of the nodes lacking [together], as older programs do, the fleet serves nearly all the utility
// that its cores can deliver.
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
		t.Errorf("utility %.0f a second at twice the capacity, all cores can deliver %.0f", rate, r.Capacity*1.23)
	}
}

// False load reports, from an unknown node and from an old incarnation of a known one, cause no shedding
// threshold while the fleet has capacity.
func TestFalseLoadReports(t *testing.T) {
	s := scenario(t, "[fleet]\nnodes = 3\ncores = 1\nseconds = 6\ncontrol = 1\ntogether = told\n"+
		"[load]\nsteps = 0s 0.5\n"+twoClasses)
	opt := build(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var reporting sync.WaitGroup
	accepted, thresholds := 0, 0
	opt.OnStarted = func(f *Fleet) {
		addr := f.ControlAddrs()[0]
		reporting.Go(func() {
			for seq := 1; ctx.Err() == nil; seq++ {
				for name, incarnation := range map[string]int{"unknown": 9, "n1": 1} { // an old incarnation of n1
					body := fmt.Sprintf(`{"addr":"127.0.0.1:9","incarnation":%d,"seq":%d,"phase":"up","healthy":true,`+
						`"warm":1,"limit":1,"together":{"drain":0.001,"short":1,"demand":{"80":1000000},"ask":true}}`,
						incarnation, seq)
					request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+"/nodes/"+name,
						strings.NewReader(body))
					if err != nil {
						return
					}
					if response, err := http.DefaultClient.Do(request); err == nil {
						if response.StatusCode == http.StatusOK {
							accepted++
						}
						response.Body.Close()
					}
				}
				// From 2 s on the digest includes the reports of the real nodes.
				if v, err := fetchFleet(ctx, addr); err == nil && v.Digest.Threshold > 0 && seq > 20 {
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
		t.Fatalf("only %d false reports were accepted", accepted)
	}
	if thresholds > 0 {
		t.Errorf("%d views had a threshold", thresholds)
	}
	if r.ServedShare < 0.999 {
		t.Errorf("%.4f served at half of the capacity", r.ServedShare)
	}
}
