package recovery

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"robinmast/internal/settings"
	"robinmast/rules"
)

// The digest of the settings is stored with each snapshot and covers their text as
// fmt's %+v prints it, field names included. The types below fix that text, so that a
// snapshot outlives a renamed field: their names and order are part of the format.
type (
	digestedSettings struct {
		Tick           time.Duration
		Cores          int
		Nodes          int
		Callers        int
		Cold           bool
		Layer          int
		Classes        []digestedClass
		Tenants        []digestedTenant
		OverShare      float64
		WorthByWork    bool
		MarksRetries   bool
		PassesPatience bool
		TellsGone      bool
		HonoursRetry   bool
		MaxRetryAfter  time.Duration
		FreeValue      uint8
		FreeValueLife  time.Duration
		Preemption     uint8
		MemoryKB       float64
		RunFactor      float64
		EntryKB        float64
		Fresh          time.Duration
		Gauges         []string
		KeepaliveMax   time.Duration
		Readiness      bool
		Below          uint8
		CallShare      float64
		CallWindow     time.Duration
		CallLinger     time.Duration
		AnswerSlack    time.Duration
		ColdFrom       float64
		Ramp           time.Duration
		DrainGrace     time.Duration
		FallMultiple   float64
		FallWindow     time.Duration
		NewPools       func()
		NewTogether    func()
	}

	digestedClass struct {
		Aim        time.Duration
		AimStretch float64
		Deadline   time.Duration
		LateShare  float64
		Worth      float64
		Window     time.Duration
		Effect     uint8
		Calls      bool
		SkipWorth  float64
	}

	digestedTenant struct {
		QuotaPerSecond float64
		Share          float64
	}

	digestedNames struct {
		Classes []string
		Tenants []string
	}
)

// settingsDigest returns the digest of the settings that learned values depend on. It does not cover
// a cold start, nor the features that are enabled apart from the platform's settings.
func settingsDigest(set rules.Settings, names settings.Names) uint64 {
	return xxhash.Sum64String(digestText(set, names))
}

// digestText returns the text that settingsDigest covers.
func digestText(set rules.Settings, names settings.Names) string {
	classes := make([]digestedClass, len(set.Classes))
	for i, c := range set.Classes {
		classes[i] = digestedClass{
			Aim: c.LatencyTarget, AimStretch: c.LatencyTargetStretch, Deadline: c.Deadline,
			LateShare: c.LateUtilityShare, Worth: c.Utility,
			Window: c.IdempotencyWindow, Effect: uint8(c.Effect), Calls: c.CallsDependency, SkipWorth: c.SkipUtilityShare,
		}
	}
	tenants := make([]digestedTenant, len(set.Tenants))
	for i, t := range set.Tenants {
		tenants[i] = digestedTenant{QuotaPerSecond: t.QuotaPerSecond, Share: t.Share}
	}
	digested := digestedSettings{
		Tick: set.BatchInterval, Cores: set.Cores, Nodes: set.Nodes, Callers: set.Callers, Layer: set.Layer,
		Classes: classes, Tenants: tenants, OverShare: set.OverQuotaUtility, WorthByWork: set.UtilityPerWork,
		MarksRetries: set.RetriesMarked, PassesPatience: set.TimeoutsPassed, TellsGone: set.DisconnectsReported,
		HonoursRetry: set.HonoursRetryAfter, MaxRetryAfter: set.MaxRetryAfter,
		FreeValue: uint8(set.LoadFeedback), FreeValueLife: set.LoadFeedbackTTL, Preemption: uint8(set.Preemption),
		MemoryKB: set.MemoryKB, RunFactor: set.RunningMemoryFactor, EntryKB: set.RecordKB, Fresh: set.ReadFreshness,
		Gauges: set.Gauges, KeepaliveMax: set.MaxIdleTimeout, Readiness: set.Readiness, Below: uint8(set.Dependency),
		CallShare: set.CallShare, CallWindow: set.CallWindow, CallLinger: set.AbandonedCallTime,
		AnswerSlack: set.AnswerSlack, ColdFrom: set.ColdSpeed, Ramp: set.WarmUpTime, DrainGrace: set.DrainGrace,
		FallMultiple: set.OverloadRunsPerCore, FallWindow: set.OverloadWindow,
	}
	return fmt.Sprintf("%+v %+v", digested, digestedNames{Classes: names.Classes, Tenants: names.Tenants})
}
