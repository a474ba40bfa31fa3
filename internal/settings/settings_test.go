package settings

import (
	"strings"
	"testing"
	"time"

	"robinmast/rules"
)

func TestParse(t *testing.T) {
	s, err := Parse([]byte(`{"tickMs": 2.5, "groupSize": 10, "novelty": {"x": [1]}, "countedBy": "work",
		"bounds": {"maxRetryAfterMs": 1000.0, "retryAfter": true},
		"lanes": [{"aimMs": 2500, "deadlineMs": 7900, "effect": "deduplicated", "windowMs": 5000, "worth": 2},
		          {"deadlineMs": 100, "effect": "at_most_once"}, {"deadlineMs": 100, "effect": "idempotent"}],
		"parties": [{"quotaRps": 43, "share": 0.5}], "obligations": {"fallMultiple": 4},
		"extra": {"below": "shared", "callShare": 0.7, "callsOverMs": 5000, "runFactor": 4, "entryKb": 3, "classCalls": [true], "classSkipWorth": [0.3], "cpus": 6,
		          "say": "credit", "preemption": "pause", "meters": ["cpu_busy", "odd"], "ramKb": 61302}}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if s.BatchInterval != 2500*time.Microsecond || s.Nodes != 10 || !s.UtilityPerWork || s.MaxRetryAfter != time.Second ||
		s.Dependency != rules.DependencyShared || s.LoadFeedback != rules.FeedbackCredit || s.Preemption != rules.PreemptPause ||
		s.CallShare != 0.7 || len(s.Tenants) != 1 || c.Effect != rules.Keyed || !c.CallsDependency || c.SkipUtilityShare != 0.3 {
		t.Errorf("read wrongly: %+v", s)
	}
	if s.Classes[1].Effect != rules.Unsafe || s.Classes[1].CallsDependency || s.Classes[2].Effect != rules.Safe {
		t.Errorf("classes read wrongly: %+v", s.Classes)
	}
}

func TestParseRejects(t *testing.T) {
	for _, text := range []string{
		``, `[]`, `{"extra": {"cpus": "six"}}`, `{"extra": {"say": "shout"}}`,
		`{"extra": {"below": "sea"}}`, `{"extra": {"preemption": "kill"}}`, `{"lanes": [{"effect": "maybe"}]}`,
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s: accepted", text)
		}
	}
}

// validSettings is a minimal valid text with one example of each setting that a check concerns.
const validSettings = `{"tickMs": 2, "bounds": {"maxRetryAfterMs": 1000},
	"lanes": [{"deadlineMs": 900, "effect": "idempotent"}, {"deadlineMs": 900, "effect": "deduplicated", "windowMs": 500}],
	"parties": [{"quotaRps": 4, "share": 0.5}],
	"extra": {"cpus": 2, "ramKb": 5000, "runFactor": 4, "entryKb": 3, "below": "shared", "callShare": 0.5, "callsOverMs": 5000,
	          "classCalls": [true], "classSkipWorth": [0.5], "justStarted": true},
	"obligations": {"fallMultiple": 4, "rampTimeMs": 9000, "coldFrom": 0.3}}`

// Each bad setting gives an error of one line that names it. None is replaced by a default,
// which could loosen a rule of the decision module.
func TestBadSettingsAreNamed(t *testing.T) {
	if _, err := Parse([]byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	for key, change := range map[string][2]string{
		"tickMs":                        {`"tickMs": 2`, `"tickMs": -2`},
		"bounds.maxRetryAfterMs":        {`: 1000`, `: -1`},
		"lanes: missing":                {`"lanes"`, `"lane"`},
		"lanes[0].deadlineMs":           {`{"deadlineMs": 900, "effect": "i`, `{"effect": "i`},
		"lanes[1].windowMs: missing":    {`"windowMs": 500`, `"windowMs": 0`},
		"lanes[1].windowMs: -1":         {`"windowMs": 500`, `"windowMs": -1`},
		"lanes[].effect":                {`"idempotent"`, `"sometimes"`},
		"parties[0].share":              {`"share": 0.5`, `"share": 1.5`},
		"parties[0].quotaRps":           {`"quotaRps": 4`, `"quotaRps": -4`},
		"extra.cpus":                    {`"cpus": 2`, `"cpu": 2`},
		"extra.ramKb":                   {`"ramKb": 5000, `, ``},
		"extra.runFactor":               {`"runFactor": 4, `, ``},
		"extra.entryKb: missing":        {`"entryKb": 3`, `"entryKb": 0`},
		"extra.callShare":               {`"callShare": 0.5, `, ``},
		"extra.callsOverMs":             {`"callsOverMs": 5000`, `"callsOverMs": 0`},
		"extra.classCalls[0]":           {`"below": "shared"`, `"below": "none"`},
		"extra.classCalls, ":            {`[true]`, `[true, false, true]`},
		"extra.classSkipWorth[0]":       {`"classSkipWorth": [0.5]`, `"classSkipWorth": [2]`},
		"extra.below":                   {`"below": "shared"`, `"below": "sea"`},
		"obligations.fallMultiple":      {`"fallMultiple": 4, `, ``},
		"obligations.rampTimeMs":        {`"rampTimeMs": 9000, `, ``},
		"obligations.coldFrom: 3 is":    {`"coldFrom": 0.3`, `"coldFrom": 3`},
		"cannot unmarshal string into ": {`"cpus": 2`, `"cpus": "two"`},
	} {
		text := strings.Replace(validSettings, change[0], change[1], 1)
		if text == validSettings {
			t.Fatalf("%s: nothing changed", key)
		}
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", key, err)
		}
	}
}
