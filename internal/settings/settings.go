// Package settings owns how a node's settings text becomes the module's
// settings; the simulator's host and the real node share it. It must never
// decide anything: it maps names, words and units, and skips what it doesn't know.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"robinmast/rules"
)

// settingsJSON mirrors the wire's settings; keys it does not name are skipped.
type settingsJSON struct {
	TickMs       float64 `json:"tickMs"`
	GroupSize    int     `json:"groupSize"`
	Layer        int     `json:"layer"`
	CountedBy    string  `json:"countedBy"`
	OverShare    float64 `json:"overShareWorth"`
	ClientHabits struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clientHabits"`
	Bounds struct {
		MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`
		RetryAfter      bool    `json:"retryAfter"`
	} `json:"bounds"`
	Lanes []struct {
		Name       string  `json:"name"`
		AimMs      float64 `json:"aimMs"`
		AimStretch float64 `json:"aimStretch"`
		DeadlineMs float64 `json:"deadlineMs"`
		Effect     string  `json:"effect"`
		LateShare  float64 `json:"lateShare"`
		WindowMs   float64 `json:"windowMs"`
		Worth      float64 `json:"worth"`
	} `json:"lanes"`
	Parties []struct {
		Name     string  `json:"name"`
		QuotaRps float64 `json:"quotaRps"`
		Share    float64 `json:"share"`
	} `json:"parties"`
	Extra struct {
		Below          string    `json:"below"`
		CallShare      float64   `json:"callShare"`
		CallsOverMs    float64   `json:"callsOverMs"`
		ClassCalls     []bool    `json:"classCalls"`
		ClassSkipWorth []float64 `json:"classSkipWorth"`
		CPUs           int       `json:"cpus"`
		EntryKb        float64   `json:"entryKb"`
		FreshMs        float64   `json:"freshMs"`
		HeededMs       float64   `json:"heededMs"`
		JustStarted    bool      `json:"justStarted"`
		KeepaliveMaxMs float64   `json:"keepaliveMaxMs"`
		Meters         []string  `json:"meters"`
		PassesDeadline bool      `json:"passesDeadline"`
		Preemption     string    `json:"preemption"`
		RAMKb          float64   `json:"ramKb"`
		Readiness      bool      `json:"readiness"`
		RunFactor      float64   `json:"runFactor"`
		Say            string    `json:"say"`
		StaysForMs     float64   `json:"staysForMs"`
		TellsGone      bool      `json:"tellsGone"`
		Upstreams      int       `json:"upstreams"`
	} `json:"extra"`
	Obligations struct {
		AnswerSlackMs       float64 `json:"answerSlackMs"`
		ColdFrom            float64 `json:"coldFrom"`
		FallMs              float64 `json:"fallMs"`
		FallMultiple        float64 `json:"fallMultiple"`
		RampTimeMs          float64 `json:"rampTimeMs"`
		StopSendingWithinMs float64 `json:"stopSendingWithinMs"`
	} `json:"obligations"`
}

var effects = map[string]rules.Effect{
	"idempotent": rules.Safe, "deduplicated": rules.Keyed, "at_most_once": rules.Unsafe,
}

var belows = map[string]rules.Dependency{
	"": rules.DependencyNone, "none": rules.DependencyNone, "shared": rules.DependencyShared, "tier": rules.DependencyTier,
}

var preemptions = map[string]rules.Preemption{
	"": rules.PreemptNone, "none": rules.PreemptNone, "drop": rules.PreemptDrop, "pause": rules.PreemptPause,
}

var freeValues = map[string]rules.LoadFeedback{
	"": rules.FeedbackNone, "none": rules.FeedbackNone, "level": rules.FeedbackLevel, "credit": rules.FeedbackCredit,
	"weight": rules.FeedbackWeight,
}

// pick looks a word up and says which setting held an unknown one.
func pick[T any](words map[string]T, setting, word string) (T, error) {
	v, ok := words[word]
	if !ok {
		return v, fmt.Errorf("setting %s: unknown word %q", setting, word)
	}
	return v, nil
}

// Names are the words by which requests name their class and tenant, in the
// order of the module's settings.
type Names struct {
	Classes []string
	Tenants []string
}

// duration turns milliseconds into a duration, to the nearest microsecond.
func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// Parse turns a node's settings text into the module's settings.
func Parse(text []byte) (rules.Settings, error) {
	s, _, err := ParseNamed(text)
	return s, err
}

// ParseNamed is Parse and the names of classes and tenants.
func ParseNamed(text []byte) (rules.Settings, Names, error) {
	var names Names
	s, err := parse(text, &names)
	return s, names, err
}

func parse(text []byte, names *Names) (rules.Settings, error) {
	var j settingsJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return rules.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := j.check(); err != nil {
		return rules.Settings{}, err
	}
	x, o := j.Extra, j.Obligations
	s := rules.Settings{
		BatchInterval: duration(j.TickMs), Cores: x.CPUs, Nodes: j.GroupSize, Callers: x.Upstreams,
		ColdStart: x.JustStarted, Layer: j.Layer, OverQuotaUtility: j.OverShare, UtilityPerWork: j.CountedBy == "work",
		RetriesMarked: j.ClientHabits.MarksRetry, TimeoutsPassed: x.PassesDeadline, DisconnectsReported: x.TellsGone,
		HonoursRetryAfter: j.Bounds.RetryAfter, MaxRetryAfter: duration(j.Bounds.MaxRetryAfterMs),
		LoadFeedbackTTL: duration(x.HeededMs), MemoryKB: x.RAMKb, RunningMemoryFactor: x.RunFactor, RecordKB: x.EntryKb,
		ReadFreshness: duration(x.FreshMs), Gauges: x.Meters, MaxIdleTimeout: duration(x.KeepaliveMaxMs),
		Readiness: x.Readiness, CallShare: x.CallShare, CallWindow: duration(x.CallsOverMs),
		AbandonedCallTime: duration(x.StaysForMs), AnswerSlack: duration(o.AnswerSlackMs), ColdSpeed: o.ColdFrom,
		WarmUpTime: duration(o.RampTimeMs), DrainGrace: duration(o.StopSendingWithinMs),
		OverloadRunsPerCore: o.FallMultiple, OverloadWindow: duration(o.FallMs),
	}
	var err error
	if s.Dependency, err = pick(belows, "extra.below", x.Below); err != nil {
		return s, err
	}
	if s.Preemption, err = pick(preemptions, "extra.preemption", x.Preemption); err != nil {
		return s, err
	}
	if s.LoadFeedback, err = pick(freeValues, "extra.say", x.Say); err != nil {
		return s, err
	}
	for i, l := range j.Lanes {
		c := rules.Class{
			LatencyTarget: duration(l.AimMs), LatencyTargetStretch: l.AimStretch, Deadline: duration(l.DeadlineMs),
			LateUtilityShare: l.LateShare, Utility: l.Worth, IdempotencyWindow: duration(l.WindowMs),
		}
		if c.Effect, err = pick(effects, "lanes[].effect", l.Effect); err != nil {
			return s, err
		}
		if i < len(x.ClassCalls) {
			c.CallsDependency = x.ClassCalls[i]
		}
		if i < len(x.ClassSkipWorth) {
			c.SkipUtilityShare = x.ClassSkipWorth[i]
		}
		s.Classes = append(s.Classes, c)
		names.Classes = append(names.Classes, l.Name)
	}
	for _, p := range j.Parties {
		names.Tenants = append(names.Tenants, p.Name)
		s.Tenants = append(s.Tenants, rules.Tenant{QuotaPerSecond: p.QuotaRps, Share: p.Share})
	}
	return s, nil
}
