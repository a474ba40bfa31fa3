package fleet

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"robinmast/internal/config"
)

// Check validates a scenario whose fields were changed. An error joins a config.Fault for each fault
// found.
func (s *Scenario) Check() error {
	var errs []error
	s.validate(func(section, key, format string, args ...any) {
		errs = append(errs, config.Fault{
			File: s.Name, Section: section, Key: key, Message: fmt.Sprintf(format, args...),
		})
	})
	return errors.Join(errs...)
}

// validate checks the values of all keys and how the sections fit together, and parses the load steps.
func (s *Scenario) validate(fault func(section, key, format string, args ...any)) {
	inRange := func(section, key string, v, low, high float64) {
		if !(v >= low && v <= high) {
			fault(section, key, "%g is not between %g and %g", v, low, high)
		}
	}
	oneOf := func(section, key, v string, words ...string) {
		if !slices.Contains(words, v) {
			fault(section, key, "%q is not one of %s", v, strings.Join(words, ", "))
		}
	}
	f, d := &s.Fleet, &s.Dispatchers
	inRange("fleet", "nodes", float64(f.Nodes), 1, 24)
	inRange("fleet", "plain", float64(f.PlainNodes), 0, float64(f.Nodes))
	inRange("fleet", "cores", float64(f.Cores), 1, 16)
	inRange("fleet", "control", float64(f.Control), 0, 5)
	inRange("fleet", "seconds", float64(f.Seconds), 2, 600)
	inRange("fleet", "crowd", f.Contention, 0, 10)
	inRange("fleet", "cold_from", f.ColdSpeed, 0.01, 1)
	inRange("fleet", "cold_ramp", f.WarmUpTime.Seconds(), 0.01, 600)
	inRange("fleet", "node_cores", f.NodeCores, 0.1, 4)
	inRange("fleet", "memory_mb", float64(f.MemoryMB), 32, 512)
	oneOf("fleet", "together", f.Shedding, "off", "alone", "told")
	oneOf("fleet", "comeback", f.Recovery, "off", "on", "snapshot")
	if f.Shedding == "told" && f.Control == 0 {
		fault("fleet", "together", "told requires control = 1 or more")
	}
	inRange("dispatchers", "count", float64(d.Count), 1, 32)
	inRange("dispatchers", "walk", float64(d.FurtherNodes), 0, 24)
	inRange("dispatchers", "heed", d.HonouringShare, 0, 1)
	inRange("dispatchers", "connect", float64(d.MaxConnections), 1, 16)
	inRange("dispatchers", "try", d.TryTimeout.Seconds(), 0.01, 60)
	oneOf("dispatchers", "route", d.Routing, "random", "least")
	if d.ProbeInterval != 0 {
		inRange("dispatchers", "probe", d.ProbeInterval.Seconds(), 0.02, 60)
	}
	inRange("desktops", "retries", float64(s.Desktops.Retries), 0, 5)
	inRange("desktops", "backoff", s.Desktops.Backoff.Seconds(), 0.001, 60)
	share := 0.0
	for _, c := range s.Classes {
		section := "class." + c.Name
		inRange(section, "share", c.Share, 0, 1)
		inRange(section, "ms", c.WorkMs, 0.1, 10_000)
		inRange(section, "worth", c.Utility, 0.01, 1000)
		inRange(section, "deadline", c.Deadline.Seconds(), 0.01, 60)
		inRange(section, "aim", c.LatencyTarget.Seconds(), 0.01, c.Deadline.Seconds())
		oneOf(section, "effect", c.Effect, "safe", "keyed", "unsafe")
		share += c.Share
	}
	if math.Abs(share-1) > 1e-6 {
		fault("class."+s.Classes[len(s.Classes)-1].Name, "share", "the classes' shares add up to %g, not 1", share)
	}
	s.parseSteps(fault)
	for i := range s.Faults {
		s.validateFault(&s.Faults[i], inRange, oneOf, fault)
	}
}

// parseSteps parses and checks the load steps.
func (s *Scenario) parseSteps(fault func(section, key, format string, args ...any)) {
	s.Load.steps = nil
	for part := range strings.SplitSeq(s.Load.Steps, ",") {
		words := strings.Fields(part)
		if len(words) != 2 {
			fault("load", "steps", "%q is not a time and a load, such as 5s 1.5", strings.TrimSpace(part))
			break
		}
		at, err := time.ParseDuration(words[0])
		load, err2 := strconv.ParseFloat(words[1], 64)
		if err != nil || err2 != nil || !(load >= 0.01 && load <= 20) || at < 0 {
			fault("load", "steps", "%q is not a time and a load between 0.01 and 20", strings.TrimSpace(part))
			break
		}
		if n := len(s.Load.steps); n > 0 && at <= s.Load.steps[n-1].at {
			fault("load", "steps", "step at %s does not follow the one at %s", at, s.Load.steps[n-1].at)
		}
		s.Load.steps = append(s.Load.steps, loadStep{at, load})
	}
	if n := len(s.Load.steps); n > 0 && s.Load.steps[0].at != 0 {
		fault("load", "steps", "the first step begins at %s, not 0s", s.Load.steps[0].at)
	}
}

// validateFault checks a fault.
func (s *Scenario) validateFault(
	f *FaultSection, inRange func(string, string, float64, float64, float64),
	oneOf func(string, string, string, ...string), fault func(string, string, string, ...any),
) {
	section := "fault." + f.Name
	oneOf(section, "what", f.Kind, slices.Concat(processFaults, linkFaults, clientFaults)...)
	oneOf(section, "folder", f.ResultsState, "keep", "empty", "old", "half", "swap")
	inRange(section, "at", f.At.Seconds(), 0, float64(s.Fleet.Seconds))
	inRange(section, "for", f.Duration.Seconds(), 0, 600)
	inRange(section, "times", float64(f.Count), 1, 100)
	if f.Count > 1 && f.Interval <= f.Duration {
		fault(section, "every", "%s is too short: it must be longer than for = %s", f.Interval, f.Duration)
	}
	s.validateFactor(f, inRange)
	switch {
	case slices.Contains(processFaults, f.Kind):
		if _, err := s.selectMembers(f.Targets, "nodes", "control"); err != nil {
			fault(section, "on", "%v", err)
		}
	case slices.Contains(linkFaults, f.Kind):
		if _, _, err := s.parseLink(f.Link); err != nil {
			fault(section, "link", "%v", err)
		}
	}
}

// validateFactor checks the factor of a fault that has one, and sets its default.
func (s *Scenario) validateFactor(f *FaultSection, inRange func(string, string, float64, float64, float64)) {
	limits, ok := map[string]struct{ standard, least, most float64 }{
		"slow":    {3, 0.1, 1000},
		"squeeze": {0.3, 0.05, 1}, // share of the time to run
		"probe":   {10, 0.1, 100},
	}[f.Kind]
	if !ok {
		return
	}
	if f.Factor == 0 {
		f.Factor = limits.standard
	}
	inRange("fault."+f.Name, "factor", f.Factor, limits.least, limits.most)
}

// memberSet is a subset of the members of a group.
type memberSet struct {
	group   string
	indexes []int // from 0
}

// contains reports whether member i of a group is in the set.
func (m memberSet) contains(group string, i int) bool {
	return m.group == group && slices.Contains(m.indexes, i)
}

// selectMembers parses GROUP:WHICH, where WHICH is a list of numbers from 1 such as 1,3-4, or a share of
// the group with a decimal point, which selects its last members, rounded to the nearest number. Without
// WHICH, or with *, it selects all.
func (s *Scenario) selectMembers(text string, allowed ...string) (memberSet, error) {
	group, which, _ := strings.Cut(strings.TrimSpace(text), ":")
	m := memberSet{group: group}
	if !slices.Contains(allowed, group) {
		return m, fmt.Errorf("group of %q is not one of %s", text, strings.Join(allowed, ", "))
	}
	size := map[string]int{
		"dispatchers": s.Dispatchers.Count, "nodes": s.Fleet.Nodes, "pools": s.Fleet.Nodes,
		"control": s.Fleet.Control, "members": 1,
	}[group]
	if which == "" || which == "*" {
		which = fmt.Sprintf("1-%d", size)
	}
	if strings.Contains(which, ".") {
		share, err := strconv.ParseFloat(which, 64)
		if err != nil || !(share > 0 && share <= 1) {
			return m, fmt.Errorf("%q is not a share above 0 and up to 1", which)
		}
		n := int(math.Round(share * float64(size)))
		which = fmt.Sprintf("%d-%d", size-n+1, size)
	}
	for part := range strings.SplitSeq(which, ",") {
		from, to, ranged := strings.Cut(part, "-")
		a, err := strconv.Atoi(from)
		b := a
		if ranged && err == nil {
			b, err = strconv.Atoi(to)
		}
		if err != nil || a < 1 || b > size {
			return m, fmt.Errorf("%q is not one of the %d %s", part, size, group)
		}
		for i := a; i <= b; i++ {
			m.indexes = append(m.indexes, i-1)
		}
	}
	return m, nil
}

// parseLink parses FROM -> TO, where FROM is the group that opens the connections.
func (s *Scenario) parseLink(text string) (from, to memberSet, err error) {
	i := strings.Index(text, "->")
	if i < 0 {
		return from, to, fmt.Errorf("%q is not a link such as dispatchers:1 -> nodes:0.5", text)
	}
	if from, err = s.selectMembers(text[:i], groups...); err != nil {
		return
	}
	to, err = s.selectMembers(text[i+2:], groups...)
	return
}
