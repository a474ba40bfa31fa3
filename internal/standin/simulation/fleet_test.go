package simulation

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"robinmast/decide/shedding"
	"robinmast/rules"
)

var longFleets = flag.Bool("simulation.long", false, "play fleets of 300 and 3,000 nodes, and look for fleets that stay down")

func fleetOf(nodes int, on bool) FleetOptions {
	set := rules.Settings{
		BatchInterval: time.Millisecond, Cores: 2, Nodes: nodes, Callers: 20, MemoryKB: 1e6, RunningMemoryFactor: 2, RetriesMarked: true, HonoursRetryAfter: true,
		MaxRetryAfter: 2 * time.Second, Preemption: rules.PreemptDrop, Gauges: []string{"cpu_busy", "runnable"}, MaxIdleTimeout: time.Minute,
		ColdSpeed: 0.33, WarmUpTime: 3 * time.Second, OverloadRunsPerCore: 8, OverloadWindow: time.Second, OverQuotaUtility: 1, Tenants: []rules.Tenant{{Share: 1}},
		Classes: []rules.Class{
			{LatencyTarget: 800 * time.Millisecond, Deadline: 2500 * time.Millisecond, Utility: 1},
			{LatencyTarget: 800 * time.Millisecond, Deadline: 2 * time.Second, Utility: 2},
		},
	}
	if on {
		set.NewShedder = func(now time.Duration) rules.Shedder { return shedding.New(now, false) }
	}
	return FleetOptions{
		Settings: set, Nodes: nodes, Dispatchers: 20, ContentionFactor: 0.1, MeanWork: 20 * time.Millisecond, ClassShares: []float64{0.77, 0.23},
		Load: func(time.Duration) float64 { return 0.9 }, FurtherTries: 5, HonouringShare: 1, TryTimeout: time.Second, DesktopRetries: 2, DesktopBackoff: 100 * time.Millisecond,
		Length: 12 * time.Second, Seed: 1,
	}
}

// sum adds up seconds from one to before another.
func sum(all []FleetSecond, from, to int) (s FleetSecond) {
	for _, x := range all[from:min(to, len(all))] {
		s.Requests += x.Requests
		s.InTime += x.InTime
		s.Served += x.Served
		s.FirstTries += x.FirstTries
		s.Tries += x.Tries
		s.Refused += x.Refused
		s.StoppedByNode += x.StoppedByNode
		s.NoNodeAvailable += x.NoNodeAvailable
		s.Utility += x.Utility
	}
	return s
}

func playFleet(t testing.TB, opt FleetOptions) []FleetSecond {
	t.Helper()
	out, err := SimulateFleet(opt)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// thirdHangs lets a third of the nodes hang, or die, from 4 s to 7 s.
func thirdHangs(nodes int, what Fault) func(time.Duration, int) Fault {
	return func(at time.Duration, n int) Fault {
		if n < nodes/3 && at >= 4*time.Second && at < 7*time.Second {
			return what
		}
		return NoFault
	}
}

// A fleet in virtual time: the same seed plays the same; a third that hangs or dies
// costs what it can do and not much more, and it is back soon after.
func TestFleetInVirtualTime(t *testing.T) {
	for _, what := range []Fault{Hung, Down} {
		opt := fleetOf(30, true)
		opt.Fault = thirdHangs(30, what)
		all := playFleet(t, opt)
		if again := playFleet(t, opt); fmt.Sprint(again) != fmt.Sprint(all) {
			t.Error("the same seed plays another night")
		}
		before, during, after := sum(all, 1, 4), sum(all, 5, 7), sum(all, 9, 12)
		if during.Utility/2 < 0.55*before.Utility/3 || after.Utility < 0.95*before.Utility {
			t.Errorf("trouble %d: worth a second %.0f before, %.0f while it lasts, %.0f after", what, before.Utility/3, during.Utility/2, after.Utility/3)
		}
	}
}

// Sizes that real processes don't reach. -simulation.long prints the table of
// docs/results.md.
func TestFleetSizes(t *testing.T) {
	sizes := []int{60}
	if *longFleets {
		sizes = []int{6, 30, 300, 3000}
	}
	for _, nodes := range sizes {
		for _, on := range []bool{false, true} {
			opt := fleetOf(nodes, on)
			opt.Fault = thirdHangs(nodes, Hung)
			began := time.Now()
			all := playFleet(t, opt)
			hang := sum(all, 4, 7)
			before, after := sum(all, 1, 4), sum(all, 8, 12)
			opt = fleetOf(nodes, on)
			opt.Load = func(at time.Duration) float64 {
				if at > 3*time.Second && at < 8*time.Second {
					return 1.5
				}
				return 0.9
			}
			storm := sum(playFleet(t, opt), 4, 8)
			t.Logf("%4d nodes, together %-5v: worth a node and second %.1f before, %.1f while a third hangs (%.2f tries), %.1f after; at 1.5 %.1f with %.3f tries; %v for both",
				nodes, on, before.Utility/3/float64(nodes), hang.Utility/3/float64(nodes), hang.TriesPerFirstTry(), after.Utility/4/float64(nodes),
				storm.Utility/4/float64(nodes), storm.TriesPerFirstTry(), time.Since(began).Round(time.Second/10))
			if after.Utility/4 < 0.95*before.Utility/3 {
				t.Errorf("%d nodes are not back", nodes)
			}
		}
	}
}

// A search for a size, mix and trigger after which the fleet stays down or swings:
// cheap and dear classes, callers that heed nothing, many tries, slow nodes. It says
// what it found; none may be found with together on.
func TestNoFleetStaysDown(t *testing.T) {
	sizes, seeds := []int{12}, uint64(1)
	if *longFleets {
		sizes, seeds = []int{6, 30, 120}, 3
	}
	var stuck []string
	played := 0
	for _, nodes := range sizes {
		for _, heed := range []float64{0, 0.6} {
			for _, retries := range []int{2, 5} {
				for _, dear := range []float64{1, 10} {
					for trigger, name := range []string{"hang", "kill", "surge", "slow"} {
						for seed := range seeds {
							opt := fleetOf(nodes, true)
							opt.Seed, opt.HonouringShare, opt.DesktopRetries, opt.Length = seed+1, heed, retries, 16*time.Second
							opt.Settings.Classes[1].Utility = 2 * dear
							switch trigger {
							case 0:
								opt.Fault = thirdHangs(nodes, Hung)
							case 1:
								opt.Fault = thirdHangs(nodes, Down)
							case 2:
								opt.Load = func(at time.Duration) float64 {
									if at >= 4*time.Second && at < 7*time.Second {
										return 4
									}
									return 0.9
								}
							case 3:
								opt.Speed = func(at time.Duration, n int) float64 {
									if n < nodes/3 && at >= 4*time.Second && at < 7*time.Second {
										return 0.2
									}
									return 1
								}
							}
							all := playFleet(t, opt)
							before, after := sum(all, 1, 4), sum(all, 12, 16)
							played++
							share := func(s FleetSecond) float64 { return float64(s.InTime) / float64(s.Requests) }
							if share(after) < 0.95*share(before) {
								stuck = append(stuck, fmt.Sprintf("%d nodes, heed %.1f, %d retries, dear %.0f, %s, seed %d: %.3f in time before, %.3f after",
									nodes, heed, retries, dear, name, seed+1, share(before), share(after)))
							}
						}
					}
				}
			}
		}
	}
	t.Logf("%d nights played, %d fleets stay down 5 s after the trigger", played, len(stuck))
	if len(stuck) > 0 {
		t.Errorf("stay down:\n%s", strings.Join(stuck, "\n"))
	}
}
