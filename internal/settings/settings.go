// Package settings converts the platform's settings of a node, a JSON text, and the node's INI
// file to the settings of the decision module. cmd/robinmast and cmd/simhost both use it.
//
// It maps names, words and units, checks ranges, and skips unknown keys. It makes no decision
// about requests, does no I/O and holds no state.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"robinmast/rules"
)

// settingsJSON mirrors the platform's settings under their own names; unknown keys are skipped.
// Fields that end in Ms are milliseconds, those that end in Kb are kilobytes.
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

// The words of the platform's settings, with the values of the decision module.
var effects = map[string]rules.Effect{
	"idempotent": rules.Safe, "deduplicated": rules.Keyed, "at_most_once": rules.Unsafe,
}

var dependencies = map[string]rules.Dependency{
	"": rules.DependencyNone, "none": rules.DependencyNone, "shared": rules.DependencyShared, "tier": rules.DependencyTier,
}

var preemptions = map[string]rules.Preemption{
	"": rules.PreemptNone, "none": rules.PreemptNone, "drop": rules.PreemptDrop, "pause": rules.PreemptPause,
}

var loadFeedbacks = map[string]rules.LoadFeedback{
	"": rules.FeedbackNone, "none": rules.FeedbackNone, "level": rules.FeedbackLevel, "credit": rules.FeedbackCredit,
	"weight": rules.FeedbackWeight,
}

// lookUp returns the value of a word; the error for an unknown word names the setting.
func lookUp[T any](words map[string]T, setting, word string) (T, error) {
	v, ok := words[word]
	if !ok {
		return v, fmt.Errorf("setting %s: unknown value %q", setting, word)
	}
	return v, nil
}

// Names holds the names that requests use for their class and tenant, in the order of the
// module's settings.
type Names struct {
	Classes []string
	Tenants []string
}

// duration converts milliseconds to a duration, rounded to the nearest microsecond.
func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// Parse converts the JSON text of a node's settings to the module's settings. The error names
// the first setting that is missing, invalid or in conflict with another one.
func Parse(text []byte) (rules.Settings, error) {
	s, _, err := ParseNamed(text)
	return s, err
}

// ParseNamed is like Parse and also returns the names of classes and tenants.
func ParseNamed(text []byte) (rules.Settings, Names, error) {
	var names Names
	s, err := parse(text, &names)
	return s, names, err
}

// parse converts the JSON text and stores the names of classes and tenants in names.
func parse(text []byte, names *Names) (rules.Settings, error) {
	var j settingsJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return rules.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := j.check(); err != nil {
		return rules.Settings{}, err
	}
	extra, obligations := j.Extra, j.Obligations
	s := rules.Settings{
		BatchInterval:       duration(j.TickMs),
		Cores:               extra.CPUs,
		Nodes:               j.GroupSize,
		Callers:             extra.Upstreams,
		ColdStart:           extra.JustStarted,
		Layer:               j.Layer,
		OverQuotaUtility:    j.OverShare,
		UtilityPerWork:      j.CountedBy == "work",
		RetriesMarked:       j.ClientHabits.MarksRetry,
		TimeoutsPassed:      extra.PassesDeadline,
		DisconnectsReported: extra.TellsGone,
		HonoursRetryAfter:   j.Bounds.RetryAfter,
		MaxRetryAfter:       duration(j.Bounds.MaxRetryAfterMs),
		LoadFeedbackTTL:     duration(extra.HeededMs),
		MemoryKB:            extra.RAMKb,
		RunningMemoryFactor: extra.RunFactor,
		RecordKB:            extra.EntryKb,
		ReadFreshness:       duration(extra.FreshMs),
		Gauges:              extra.Meters,
		MaxIdleTimeout:      duration(extra.KeepaliveMaxMs),
		Readiness:           extra.Readiness,
		CallShare:           extra.CallShare,
		CallWindow:          duration(extra.CallsOverMs),
		AbandonedCallTime:   duration(extra.StaysForMs),
		AnswerSlack:         duration(obligations.AnswerSlackMs),
		ColdSpeed:           obligations.ColdFrom,
		WarmUpTime:          duration(obligations.RampTimeMs),
		DrainGrace:          duration(obligations.StopSendingWithinMs),
		OverloadRunsPerCore: obligations.FallMultiple,
		OverloadWindow:      duration(obligations.FallMs),
	}
	var err error
	if s.Dependency, err = lookUp(dependencies, "extra.below", extra.Below); err != nil {
		return s, err
	}
	if s.Preemption, err = lookUp(preemptions, "extra.preemption", extra.Preemption); err != nil {
		return s, err
	}
	if s.LoadFeedback, err = lookUp(loadFeedbacks, "extra.say", extra.Say); err != nil {
		return s, err
	}
	for i, lane := range j.Lanes {
		class := rules.Class{
			LatencyTarget: duration(lane.AimMs), LatencyTargetStretch: lane.AimStretch, Deadline: duration(lane.DeadlineMs),
			LateUtilityShare: lane.LateShare, Utility: lane.Worth, IdempotencyWindow: duration(lane.WindowMs),
		}
		if class.Effect, err = lookUp(effects, "lanes[].effect", lane.Effect); err != nil {
			return s, err
		}
		if i < len(extra.ClassCalls) {
			class.CallsDependency = extra.ClassCalls[i]
		}
		if i < len(extra.ClassSkipWorth) {
			class.SkipUtilityShare = extra.ClassSkipWorth[i]
		}
		s.Classes = append(s.Classes, class)
		names.Classes = append(names.Classes, lane.Name)
	}
	for _, party := range j.Parties {
		names.Tenants = append(names.Tenants, party.Name)
		s.Tenants = append(s.Tenants, rules.Tenant{QuotaPerSecond: party.QuotaRps, Share: party.Share})
	}
	return s, nil
}
