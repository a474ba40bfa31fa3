// This file owns which settings can't be served: what is out of range, what a rule
// needs and is missing, and what contradicts itself. Where the wire leaves a value
// open and leaving it out only makes the module stricter, it is not asked for.
// It must never put a value in the place of a bad one.

package settings

import (
	"errors"
	"fmt"
	"math"
)

// span is the range of a setting, both ends allowed.
type span struct {
	key      string
	value    float64
	from, to float64
}

// check names the first setting that can't be served.
func (j *settingsJSON) check() error {
	x, o := &j.Extra, &j.Obligations
	most := math.MaxFloat64
	spans := []span{
		{"tickMs", j.TickMs, 0, 60_000}, {"groupSize", float64(j.GroupSize), 0, most},
		{"overShareWorth", j.OverShare, 0, most}, {"bounds.maxRetryAfterMs", j.Bounds.MaxRetryAfterMs, 0, most},
		{"extra.cpus", float64(x.CPUs), 1, most}, {"extra.ramKb", x.RAMKb, 1, most},
		{"extra.runFactor", x.RunFactor, 1, most}, {"extra.entryKb", x.EntryKb, 0, most},
		{"extra.freshMs", x.FreshMs, 0, most}, {"extra.heededMs", x.HeededMs, 0, most},
		{"extra.keepaliveMaxMs", x.KeepaliveMaxMs, 0, most}, {"extra.upstreams", float64(x.Upstreams), 0, most},
		{"extra.callShare", x.CallShare, 0, most}, {"extra.callsOverMs", x.CallsOverMs, 0, most},
		{"extra.staysForMs", x.StaysForMs, 0, most},
		{"obligations.answerSlackMs", o.AnswerSlackMs, 0, most}, {"obligations.coldFrom", o.ColdFrom, 0, 1},
		{"obligations.fallMs", o.FallMs, 0, most}, {"obligations.fallMultiple", o.FallMultiple, 1, most},
		{"obligations.rampTimeMs", o.RampTimeMs, 0, most}, {"obligations.stopSendingWithinMs", o.StopSendingWithinMs, 0, most},
	}
	for i, l := range j.Lanes {
		at := func(key string) string { return fmt.Sprintf("lanes[%d].%s", i, key) }
		spans = append(spans, span{at("deadlineMs"), l.DeadlineMs, 0.001, most}, span{at("aimMs"), l.AimMs, 0, most},
			span{at("aimStretch"), l.AimStretch, 0, most}, span{at("lateShare"), l.LateShare, 0, 1},
			span{at("windowMs"), l.WindowMs, 0, most}, span{at("worth"), l.Worth, 0, most})
	}
	for i, p := range j.Parties {
		spans = append(spans, span{fmt.Sprintf("parties[%d].quotaRps", i), p.QuotaRps, 0, most},
			span{fmt.Sprintf("parties[%d].share", i), p.Share, 0, 1})
	}
	for i, w := range x.ClassSkipWorth {
		spans = append(spans, span{fmt.Sprintf("extra.classSkipWorth[%d]", i), w, 0, 1})
	}
	for _, s := range spans {
		if s.value < s.from || s.value > s.to {
			return fmt.Errorf("setting %s: %v is missing or out of range, from %v on%s", s.key, s.value, s.from, upTo(s.to))
		}
	}
	return j.contradicts()
}

func upTo(most float64) string {
	if most == math.MaxFloat64 {
		return ""
	}
	return fmt.Sprintf(" up to %v", most)
}

// contradicts names a setting that another one makes useless or dangerous.
func (j *settingsJSON) contradicts() error {
	x := &j.Extra
	if len(j.Lanes) == 0 {
		return errors.New("setting lanes: missing, a node needs request classes")
	}
	for i, l := range j.Lanes {
		if l.Effect == "deduplicated" && l.WindowMs == 0 {
			return fmt.Errorf("setting lanes[%d].windowMs: missing for a deduplicated class: nothing says how long its repeats may come", i)
		}
		if (l.Effect == "deduplicated" || x.FreshMs > 0) && x.EntryKb == 0 {
			return errors.New("setting extra.entryKb: missing, and keys are kept: their memory would not count")
		}
	}
	if n := max(len(x.ClassCalls), len(x.ClassSkipWorth)); n > len(j.Lanes) {
		return fmt.Errorf("setting extra.classCalls, extra.classSkipWorth: %d entries for %d classes", n, len(j.Lanes))
	}
	for i, calls := range x.ClassCalls {
		if calls && (x.Below == "" || x.Below == "none") {
			return fmt.Errorf("setting extra.classCalls[%d]: its requests may call below, and extra.below is none", i)
		}
	}
	if x.Below == "shared" && (x.CallShare == 0 || x.CallsOverMs == 0) {
		return errors.New("setting extra.callShare, extra.callsOverMs: missing for a shared dependency: nothing would bound its calls")
	}
	if x.JustStarted && j.Obligations.RampTimeMs == 0 {
		return errors.New("setting obligations.rampTimeMs: missing for a node that was only just started: its crowd would count as warm")
	}
	return nil
}
