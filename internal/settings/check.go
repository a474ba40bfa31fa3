package settings

import (
	"errors"
	"fmt"
	"math"
)

// rangeCheck is the allowed range of a setting, including both ends.
type rangeCheck struct {
	key      string
	value    float64
	min, max float64
}

// check returns an error that names the first setting that is out of range, missing or in
// conflict with another one. A setting may be missing only where that makes the decision
// module stricter. A bad value is never replaced by a default.
func (j *settingsJSON) check() error {
	extra, obligations := &j.Extra, &j.Obligations
	unbounded := math.MaxFloat64
	ranges := []rangeCheck{
		{"tickMs", j.TickMs, 0, 60_000},
		{"groupSize", float64(j.GroupSize), 0, unbounded},
		{"overShareWorth", j.OverShare, 0, unbounded},
		{"bounds.maxRetryAfterMs", j.Bounds.MaxRetryAfterMs, 0, unbounded},
		{"extra.cpus", float64(extra.CPUs), 1, unbounded},
		{"extra.ramKb", extra.RAMKb, 1, unbounded},
		{"extra.runFactor", extra.RunFactor, 1, unbounded},
		{"extra.entryKb", extra.EntryKb, 0, unbounded},
		{"extra.freshMs", extra.FreshMs, 0, unbounded},
		{"extra.heededMs", extra.HeededMs, 0, unbounded},
		{"extra.keepaliveMaxMs", extra.KeepaliveMaxMs, 0, unbounded},
		{"extra.upstreams", float64(extra.Upstreams), 0, unbounded},
		{"extra.callShare", extra.CallShare, 0, unbounded},
		{"extra.callsOverMs", extra.CallsOverMs, 0, unbounded},
		{"extra.staysForMs", extra.StaysForMs, 0, unbounded},
		{"obligations.answerSlackMs", obligations.AnswerSlackMs, 0, unbounded},
		{"obligations.coldFrom", obligations.ColdFrom, 0, 1},
		{"obligations.fallMs", obligations.FallMs, 0, unbounded},
		{"obligations.fallMultiple", obligations.FallMultiple, 1, unbounded},
		{"obligations.rampTimeMs", obligations.RampTimeMs, 0, unbounded},
		{"obligations.stopSendingWithinMs", obligations.StopSendingWithinMs, 0, unbounded},
	}
	for i, lane := range j.Lanes {
		key := func(name string) string { return fmt.Sprintf("lanes[%d].%s", i, name) }
		ranges = append(ranges,
			rangeCheck{key("deadlineMs"), lane.DeadlineMs, 0.001, unbounded}, rangeCheck{key("aimMs"), lane.AimMs, 0, unbounded},
			rangeCheck{key("aimStretch"), lane.AimStretch, 0, unbounded}, rangeCheck{key("lateShare"), lane.LateShare, 0, 1},
			rangeCheck{key("windowMs"), lane.WindowMs, 0, unbounded}, rangeCheck{key("worth"), lane.Worth, 0, unbounded})
	}
	for i, party := range j.Parties {
		ranges = append(ranges, rangeCheck{fmt.Sprintf("parties[%d].quotaRps", i), party.QuotaRps, 0, unbounded},
			rangeCheck{fmt.Sprintf("parties[%d].share", i), party.Share, 0, 1})
	}
	for i, share := range extra.ClassSkipWorth {
		ranges = append(ranges, rangeCheck{fmt.Sprintf("extra.classSkipWorth[%d]", i), share, 0, 1})
	}
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return fmt.Errorf("setting %s: %v is missing or out of range, want %s", r.key, r.value, rangeText(r.min, r.max))
		}
	}
	return j.checkConsistency()
}

// rangeText describes a range; math.MaxFloat64 as the highest value means no upper bound.
func rangeText(lowest, highest float64) string {
	if highest == math.MaxFloat64 {
		return fmt.Sprintf("at least %v", lowest)
	}
	return fmt.Sprintf("%v to %v", lowest, highest)
}

// checkConsistency returns an error that names a setting that another one makes useless or
// dangerous.
func (j *settingsJSON) checkConsistency() error {
	extra := &j.Extra
	if len(j.Lanes) == 0 {
		return errors.New("setting lanes: missing, a node needs at least one request class")
	}
	for i, lane := range j.Lanes {
		if lane.Effect == "deduplicated" && lane.WindowMs == 0 {
			return fmt.Errorf(
				"setting lanes[%d].windowMs: missing for a deduplicated class: its idempotency window is unknown", i)
		}
		if (lane.Effect == "deduplicated" || extra.FreshMs > 0) && extra.EntryKb == 0 {
			return errors.New(
				"setting extra.entryKb: missing, the memory of idempotency records and shared results would not count")
		}
	}
	if n := max(len(extra.ClassCalls), len(extra.ClassSkipWorth)); n > len(j.Lanes) {
		return fmt.Errorf("setting extra.classCalls, extra.classSkipWorth: %d entries for %d classes", n, len(j.Lanes))
	}
	for i, calls := range extra.ClassCalls {
		if calls && (extra.Below == "" || extra.Below == "none") {
			return fmt.Errorf(
				"setting extra.classCalls[%d]: the class calls a downstream dependency, but extra.below is none", i)
		}
	}
	if extra.Below == "shared" && (extra.CallShare == 0 || extra.CallsOverMs == 0) {
		return errors.New(
			"setting extra.callShare, extra.callsOverMs: missing for a shared dependency: the calls to it would be unlimited")
	}
	if extra.JustStarted && j.Obligations.RampTimeMs == 0 {
		return errors.New("setting obligations.rampTimeMs: missing for a node that has just started: it would count as warm")
	}
	return nil
}
