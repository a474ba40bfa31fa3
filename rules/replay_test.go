package rules_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"robinmast/internal/standin/simulation"
	"robinmast/rules"
)

// replays are event traces on a simulated machine, each with the digest of every action that the module
// takes on it without pools, log lines included. The digests are recorded again when decisions change on
// purpose.
var replays = map[string]struct {
	seed    uint64
	change  func(*rules.Settings, *simulation.Options)
	streams []simulation.Stream
	digest  string
}{
	"calm":     {1, nil, mix(0.5), "51241145a18cfb8485628cc3"},
	"overload": {2, nil, mix(1.3), "72d92103e680609b64845af7"},
	"flood": {3, nil, append(mix(0.8), simulation.Stream{Class: 0, Rate: func(at time.Duration) float64 {
		if at > 4*time.Second && at < 6*time.Second {
			return 1500
		}
		return 0
	}, Work: simulation.Always(4 * time.Millisecond)}), "bbbf2bd6e64b62969a9945a0"},
	"cold": {4, func(s *rules.Settings, _ *simulation.Options) {
		s.ColdStart, s.WarmUpTime, s.ColdSpeed = true, 4*time.Second, 0.3
	}, mix(1.1), "e098490c18e54b1ac2a45eca"},
	"hang": {5, func(_ *rules.Settings, o *simulation.Options) {
		o.Hangs = func(at time.Duration, _ int) bool { return at > 3*time.Second && at < 5*time.Second }
	}, mix(0.9), "55577b5267b44caa342140e0"},
	"drain":     {6, func(_ *rules.Settings, o *simulation.Options) { o.Drain = 5 * time.Second; o.Length = 9 * time.Second }, mix(1.0), "45c18af6b72ffef82a841de9"},
	"unsafe":    {7, func(s *rules.Settings, _ *simulation.Options) { s.Classes[1].Effect = rules.Unsafe }, mix(1.3), "2c44dc696f3229b33b2a53a5"},
	"by work":   {8, func(s *rules.Settings, _ *simulation.Options) { s.UtilityPerWork = true }, mix(1.3), "285b5f7d1b78f7ae7274a862"},
	"two cores": {9, func(s *rules.Settings, _ *simulation.Options) { s.Cores = 2 }, mix(0.65), "8284edb5c806e4a4d27b0b13"},
}

// mix is a mix of three classes; load is the share of four cores that it takes.
func mix(load float64) []simulation.Stream {
	rate := load * 4 / 0.020
	return []simulation.Stream{
		{Class: 0, Rate: simulation.Steady(rate * 0.5), Work: simulation.Always(8 * time.Millisecond)},
		{Class: 1, Rate: simulation.Steady(rate * 0.3), Work: simulation.Always(25 * time.Millisecond)},
		{Class: 2, Tenant: 1, Rate: simulation.Steady(rate * 0.2), Work: simulation.Always(42 * time.Millisecond)},
	}
}

func replaySettings() rules.Settings {
	class := rules.Class{LatencyTarget: 600 * time.Millisecond, Deadline: 1500 * time.Millisecond, Utility: 1}
	valuable, slow := class, class
	valuable.Utility, slow.Utility, slow.LateUtilityShare = 3, 1.5, 0.4
	return rules.Settings{
		BatchInterval: time.Millisecond, Cores: 4, Nodes: 1, Callers: 3,
		Classes: []rules.Class{class, valuable, slow},
		Tenants: []rules.Tenant{{QuotaPerSecond: 160}, {QuotaPerSecond: 30}}, OverQuotaUtility: 0.2,
		MemoryKB: 1e6, RunningMemoryFactor: 4, RecordKB: 1,
		Preemption: rules.PreemptDrop, OverloadRunsPerCore: 8, OverloadWindow: time.Second,
		DrainGrace:     300 * time.Millisecond,
		TimeoutsPassed: true, DisconnectsReported: true, Gauges: []string{"cpu_busy", "runnable"},
		HonoursRetryAfter: true,
		MaxRetryAfter:     time.Second, LoadFeedback: rules.FeedbackWeight, MaxIdleTimeout: 30 * time.Second,
		AnswerSlack: 60 * time.Millisecond,
	}
}

// Without pools the module takes exactly the recorded actions.
func TestReplaysWithoutPools(t *testing.T) {
	for name, c := range replays {
		opt := simulation.Options{Settings: replaySettings(), ContentionFactor: 0.1}
		if c.change != nil {
			c.change(&opt.Settings, &opt)
		}
		h := sha256.New()
		n := 0
		opt.OnAction = func(at time.Duration, what string, id rules.RequestID, value float64) {
			n++
			fmt.Fprintf(h, "%d %s %d %.9g\n", at, what, id, value)
		}
		res, err := simulation.Replay(opt, simulation.Arrivals(c.seed, 8*time.Second, c.streams...))
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(h.Sum(nil)[:12]); got != c.digest {
			t.Errorf("%s: %d actions, digest %s, want %s", name, n, got, c.digest)
		}
		if len(res.Violations) > 0 && name != "drain" {
			t.Errorf("%s: invariants violated: %v", name, res.Violations)
		}
	}
}
