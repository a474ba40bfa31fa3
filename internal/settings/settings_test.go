package settings

import (
	"testing"
	"time"

	"robinmast/rules"
)

func TestParse(t *testing.T) {
	s, err := Parse([]byte(`{"tickMs": 2.5, "groupSize": 10, "novelty": {"x": [1]}, "countedBy": "work",
		"bounds": {"maxRetryAfterMs": 1000.0, "retryAfter": true},
		"lanes": [{"aimMs": 2500, "deadlineMs": 7900, "effect": "deduplicated", "windowMs": 5000, "worth": 2},
		          {"deadlineMs": 100, "effect": "at_most_once"}, {"deadlineMs": 100, "effect": "idempotent"}],
		"parties": [{"quotaRps": 43, "share": 0.5}],
		"extra": {"below": "shared", "callShare": 0.7, "classCalls": [true], "classSkipWorth": [0.3], "cpus": 6,
		          "say": "credit", "preemption": "pause", "meters": ["cpu_busy", "odd"], "ramKb": 61302}}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if s.Tick != 2500*time.Microsecond || s.Nodes != 10 || !s.WorthByWork || s.MaxRetryAfter != time.Second ||
		s.Below != rules.BelowShared || s.FreeValue != rules.SayCredit || s.Preemption != rules.PreemptPause ||
		s.CallShare != 0.7 || len(s.Tenants) != 1 || c.Effect != rules.Keyed || !c.Calls || c.SkipWorth != 0.3 {
		t.Errorf("read wrongly: %+v", s)
	}
	if s.Classes[1].Effect != rules.Unsafe || s.Classes[1].Calls || s.Classes[2].Effect != rules.Safe {
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
