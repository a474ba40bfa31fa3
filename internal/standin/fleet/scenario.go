// This file owns the form of a scenario: an INI file of sizes, load and faults,
// its bounds and checks, and the schedule that a seed makes of it. It must never
// start anything.

package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"robinmast/internal/config"

	"gopkg.in/ini.v1"
)

// Scenario is one night to rehearse. docs/operators/overload.md has every key.
type Scenario struct {
	Name        string
	Fleet       FleetSection
	Load        LoadSection
	Dispatchers DispatcherSection
	Desktops    DesktopSection
	Classes     []ClassSection
	Faults      []FaultSection
}

// FleetPart is [fleet]: what is started.
type FleetSection struct {
	Nodes          int           `ini:"nodes"`      // 1 to 24
	Cores          int           `ini:"cores"`      // of each worker pool, 1 to 16
	Control        int           `ini:"control"`    // control services, 0 to 5
	Together       string        `ini:"together"`   // off, alone or told
	Recovery       string        `ini:"comeback"`   // off, on, or snapshot: with what was learned kept
	PlainNodes     int           `ini:"plain"`      // so many of the nodes run without [together], as older programs do
	ResultCache    bool          `ini:"results"`    // each node remembers results in a folder of its own
	Seconds        int           `ini:"seconds"`    // 2 to 600
	Seed           uint64        `ini:"seed"`       // of arrivals, work, choices and jitter
	Contention     float64       `ini:"crowd"`      // slow-down for each run a core beyond one
	ColdSpeed      float64       `ini:"cold_from"`  // share of its speed at which a killed pool returns
	WarmUpTime     time.Duration `ini:"cold_ramp"`  // until it is warm
	NodeCores      float64       `ini:"node_cores"` // granted to each node, 0.1 to 4
	MemoryMB       int           `ini:"memory_mb"`  // granted to each node, 32 to 512
	MaxRetryAfter  time.Duration `ini:"max_advice"` // longest retry-after that is heeded
	UtilityPerWork bool          `ini:"worth_by_work"`
}

// LoadPart is [load]: shares of what all cores can do, from a time on each.
type LoadSection struct {
	Steps string `ini:"steps"` // "0s 0.9, 5s 1.5, 15s 0.9"
	steps []loadStep
}

type loadStep struct {
	at   time.Duration
	load float64
}

// DispatcherPart is [dispatchers].
type DispatcherSection struct {
	Count          int           `ini:"count"`   // 1 to 32
	FurtherNodes   int           `ini:"walk"`    // further nodes tried after a refusal or failure, 0 to 24
	FollowShare    float64       `ini:"heed"`    // share of them that heed what a node says
	ProbeInterval  time.Duration `ini:"probe"`   // between health checks of a node, 0 = none
	TryTimeout     time.Duration `ini:"try"`     // most that one try may take
	Routing        string        `ini:"route"`   // random or least (of two, the one with less open)
	MaxConnections int           `ini:"connect"` // most connections to a node
}

// DesktopPart is [desktops]: clients behind the dispatchers.
type DesktopSection struct {
	Retries      int           `ini:"retries"` // 0 to 5
	Backoff      time.Duration `ini:"backoff"` // before the first, then twice as long each
	Jitter       bool          `ini:"jitter"`  // half to one and a half of the backoff
	FollowAdvice bool          `ini:"heed"`    // wait as long as they are advised
}

// ClassPart is [class.NAME].
type ClassSection struct {
	Name          string
	Share         float64       `ini:"share"` // of the requests
	WorkMs        float64       `ini:"ms"`    // mean work on one core
	Utility       float64       `ini:"worth"`
	LatencyTarget time.Duration `ini:"aim"`
	Deadline      time.Duration `ini:"deadline"`
	Effect        string        `ini:"effect"` // safe, keyed or unsafe
}

// FaultPart is [fault.NAME].
type FaultSection struct {
	Name           string
	At             time.Duration `ini:"at"`
	Duration       time.Duration `ini:"for"`
	Count          int           `ini:"times"` // how often it comes, 1 unless given
	Interval       time.Duration `ini:"every"` // from one to the next
	Kind           string        `ini:"what"`
	Targets        string        `ini:"on"`   // processes: nodes:1-2, nodes:0.33, control:1
	Link           string        `ini:"link"` // links: dispatchers:*-nodes:0.5
	Delay          time.Duration `ini:"delay"`
	Jitter         time.Duration `ini:"jitter"`
	BytesPerSecond int           `ini:"rate"`
	StopAfter      int           `ini:"after"`
	Factor         float64       `ini:"factor"`
	ResultsState   string        `ini:"folder"` // keep, empty, old, half (of its files) or swap (its neighbour's): what a started node finds
}

// Kinds of faults: on processes, on links, on callers.
var (
	processFaults = []string{"kill", "hang", "stop", "term", "late", "squeeze", "slow"}
	linkFaults    = []string{"cut", "cut_up", "cut_down", "delay", "throttle", "half_open", "reset", "mid_message"}
	clientFaults  = []string{"reconnect", "probe", "return"}
	groups        = []string{"dispatchers", "nodes", "pools", "control", "members"}
)

// Defaults is a scenario in which nothing goes wrong.
func Defaults() *Scenario {
	return &Scenario{
		Fleet: FleetSection{Nodes: 6, Cores: 2, Together: "off", Recovery: "off", Seconds: 12, Seed: 1, Contention: 0.1, ColdSpeed: 0.33,
			WarmUpTime: 3 * time.Second, NodeCores: 1, MemoryMB: 96, MaxRetryAfter: 2 * time.Second},
		Load:        LoadSection{Steps: "0s 0.9"},
		Dispatchers: DispatcherSection{Count: 4, FurtherNodes: 2, FollowShare: 1, ProbeInterval: time.Second, TryTimeout: time.Second, Routing: "random", MaxConnections: 4},
		Desktops:    DesktopSection{Retries: 2, Backoff: 100 * time.Millisecond, Jitter: true, FollowAdvice: true},
	}
}

// Load reads a scenario. An error joins one config.Fault for each thing wrong.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	return Parse(path, text)
}

// Parse reads text as the file called name.
func Parse(name string, text []byte) (*Scenario, error) {
	s := Defaults()
	lines, faults := config.Locate(name, text)
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, SpaceBeforeInlineComment: true, SkipUnrecognizableLines: true}, text)
	if err != nil {
		return nil, config.Fault{File: name, What: err.Error()}
	}
	fault := func(section, key, format string, args ...any) {
		line := lines.Line(section, key)
		faults = append(faults, config.Fault{File: name, Line: line, Section: section, Key: key, What: fmt.Sprintf(format, args...)})
	}
	s.Name = name
	for _, sec := range file.Sections() {
		var section any
		kind, subject, _ := strings.Cut(sec.Name(), ".")
		switch {
		case sec.Name() == ini.DefaultSection:
			for _, k := range sec.Keys() {
				fault("", k.Name(), "stands before any section")
			}
			continue
		case sec.Name() == "fleet":
			section = &s.Fleet
		case sec.Name() == "load":
			section = &s.Load
		case sec.Name() == "dispatchers":
			section = &s.Dispatchers
		case sec.Name() == "desktops":
			section = &s.Desktops
		case kind == "class" && subject != "":
			s.Classes = append(s.Classes, ClassSection{Name: subject, Share: 1, WorkMs: 20, Utility: 1, LatencyTarget: 700 * time.Millisecond, Deadline: 2 * time.Second, Effect: "safe"})
			section = &s.Classes[len(s.Classes)-1]
		case kind == "fault" && subject != "":
			s.Faults = append(s.Faults, FaultSection{Name: subject, Count: 1, ResultsState: "keep"})
			section = &s.Faults[len(s.Faults)-1]
		default:
			fault(sec.Name(), "", "unknown section; there are fleet, load, dispatchers, desktops, class.NAME and fault.NAME")
			continue
		}
		setFields(sec, section, fault)
	}
	if len(s.Classes) == 0 {
		s.Classes = []ClassSection{{Name: "step", Share: 1, WorkMs: 20, Utility: 1, LatencyTarget: 700 * time.Millisecond, Deadline: 2 * time.Second, Effect: "safe"}}
	}
	s.validate(fault)
	if len(faults) == 0 {
		return s, nil
	}
	slices.SortStableFunc(faults, func(a, b config.Fault) int { return cmp.Compare(a.Line, b.Line) })
	errs := make([]error, len(faults))
	for i, f := range faults {
		errs[i] = f
	}
	return nil, errors.Join(errs...)
}

// fill sets the fields of a part from a section's keys.
func setFields(sec *ini.Section, section any, fault func(section, key, format string, args ...any)) {
	known := iniKeys(section)
	for _, k := range sec.Keys() {
		if !slices.Contains(known, k.Name()) {
			fault(sec.Name(), k.Name(), "unknown key; there are %s", strings.Join(known, ", "))
			return
		}
		single := ini.Empty().Section("")
		if _, err := single.NewKey(k.Name(), k.Value()); err != nil {
			fault(sec.Name(), k.Name(), "%v", err)
			continue
		}
		if err := single.StrictMapTo(section); err != nil {
			fault(sec.Name(), k.Name(), "%q can't be read: %v", k.Value(), err)
		}
	}
}

// tags are the keys of a part of a scenario, from its fields' tags.
func iniKeys(part any) (names []string) {
	t := reflect.TypeOf(part).Elem()
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("ini"); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// Check tells whether a scenario that was changed can still be played.
func (s *Scenario) Check() error {
	var errs []error
	s.validate(func(section, key, format string, args ...any) {
		errs = append(errs, config.Fault{File: s.Name, Section: section, Key: key, What: fmt.Sprintf(format, args...)})
	})
	return errors.Join(errs...)
}

// check tells what the parts alone can't.
func (s *Scenario) validate(fault func(section, key, format string, args ...any)) {
	inRange := func(section, key string, v, low, high float64) {
		if !(v >= low && v <= high) {
			fault(section, key, "%g is not within %g and %g", v, low, high)
		}
	}
	oneOf := func(section, key, v string, words ...string) {
		if !slices.Contains(words, v) {
			fault(section, key, "%q is none of %s", v, strings.Join(words, ", "))
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
	oneOf("fleet", "together", f.Together, "off", "alone", "told")
	oneOf("fleet", "comeback", f.Recovery, "off", "on", "snapshot")
	if f.Together == "told" && f.Control == 0 {
		fault("fleet", "together", "told needs control = 1 or more")
	}
	inRange("dispatchers", "count", float64(d.Count), 1, 32)
	inRange("dispatchers", "walk", float64(d.FurtherNodes), 0, 24)
	inRange("dispatchers", "heed", d.FollowShare, 0, 1)
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
	s.Load.steps = nil
	for part := range strings.SplitSeq(s.Load.Steps, ",") {
		words := strings.Fields(part)
		if len(words) != 2 {
			fault("load", "steps", "%q is no time and load, such as 5s 1.5", strings.TrimSpace(part))
			break
		}
		at, err := time.ParseDuration(words[0])
		load, err2 := strconv.ParseFloat(words[1], 64)
		if err != nil || err2 != nil || !(load >= 0.01 && load <= 20) || at < 0 {
			fault("load", "steps", "%q is no time and load from 0.01 to 20", strings.TrimSpace(part))
			break
		}
		if n := len(s.Load.steps); n > 0 && at <= s.Load.steps[n-1].at {
			fault("load", "steps", "%s does not come after %s", at, s.Load.steps[n-1].at)
		}
		s.Load.steps = append(s.Load.steps, loadStep{at, load})
	}
	if n := len(s.Load.steps); n > 0 && s.Load.steps[0].at != 0 {
		fault("load", "steps", "the first step begins at %s, not 0s", s.Load.steps[0].at)
	}
	for i := range s.Faults {
		s.validateFault(&s.Faults[i], inRange, oneOf, fault)
	}
}

func (s *Scenario) validateFault(f *FaultSection, inRange func(string, string, float64, float64, float64),
	oneOf func(string, string, string, ...string), fault func(string, string, string, ...any)) {
	section := "fault." + f.Name
	oneOf(section, "what", f.Kind, slices.Concat(processFaults, linkFaults, clientFaults)...)
	oneOf(section, "folder", f.ResultsState, "keep", "empty", "old", "half", "swap")
	inRange(section, "at", f.At.Seconds(), 0, float64(s.Fleet.Seconds))
	inRange(section, "for", f.Duration.Seconds(), 0, 600)
	inRange(section, "times", float64(f.Count), 1, 100)
	if f.Count > 1 && f.Interval <= f.Duration {
		fault(section, "every", "%s leaves no time between the ends: it must be more than for = %s", f.Interval, f.Duration)
	}
	if f.Factor == 0 {
		f.Factor = map[string]float64{"slow": 3, "squeeze": 0.3, "probe": 10}[f.Kind]
	}
	switch {
	case slices.Contains(processFaults, f.Kind):
		if _, err := s.selectMembers(f.Targets, "nodes", "control"); err != nil {
			fault(section, "on", "%v", err)
		}
	case slices.Contains(linkFaults, f.Kind):
		if _, _, err := s.linkEnds(f.Link); err != nil {
			fault(section, "link", "%v", err)
		}
	}
}

// members is which of a group are meant, from 0.
type memberSet struct {
	group string
	index []int
}

func (m memberSet) contains(group string, i int) bool {
	return m.group == group && slices.Contains(m.index, i)
}

// pick reads GROUP:WHICH: a list such as 1,3-4 or a share of the group as a decimal;
// without WHICH all are meant. A share is rounded to the nearest, and takes the last ones.
func (s *Scenario) selectMembers(text string, allowed ...string) (memberSet, error) {
	group, which, _ := strings.Cut(strings.TrimSpace(text), ":")
	m := memberSet{group: group}
	if !slices.Contains(allowed, group) {
		return m, fmt.Errorf("%q names none of %s", text, strings.Join(allowed, ", "))
	}
	size := map[string]int{"dispatchers": s.Dispatchers.Count, "nodes": s.Fleet.Nodes, "pools": s.Fleet.Nodes, "control": s.Fleet.Control, "members": 1}[group]
	if which == "" || which == "*" {
		which = fmt.Sprintf("1-%d", size)
	}
	if strings.Contains(which, ".") {
		share, err := strconv.ParseFloat(which, 64)
		if err != nil || !(share > 0 && share <= 1) {
			return m, fmt.Errorf("%q is no share of 1", which)
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
			return m, fmt.Errorf("%q is none of the %d %s", part, size, group)
		}
		for i := a; i <= b; i++ {
			m.index = append(m.index, i-1)
		}
	}
	return m, nil
}

// ends reads FROM-TO of a link, the side that dials first.
func (s *Scenario) linkEnds(text string) (from, to memberSet, err error) {
	i := strings.Index(text, "->")
	if i < 0 {
		return from, to, fmt.Errorf("%q is no link, such as dispatchers:1 -> nodes:0.5", text)
	}
	if from, err = s.selectMembers(text[:i], groups...); err != nil {
		return
	}
	to, err = s.selectMembers(text[i+2:], groups...)
	return
}

// arrival is one request of the schedule.
type arrival struct {
	at         time.Duration
	class      int
	workMs     float64
	dispatcher int
	seed       uint64 // of the choices made for it
}

// capacity is how many requests a second fill all cores.
func (s *Scenario) capacity() float64 {
	mean := 0.0
	for _, c := range s.Classes {
		mean += c.Share * c.WorkMs
	}
	return float64(s.Fleet.Nodes*s.Fleet.Cores) * 1000 / mean
}

// arrivals yields the schedule's requests in order; the same seed yields the same.
func (s *Scenario) arrivals(yield func(arrival) bool) {
	random := rand.New(rand.NewPCG(s.Fleet.Seed, 1))
	end := time.Duration(s.Fleet.Seconds) * time.Second
	rate := s.capacity()
	for at := time.Duration(0); ; {
		load := s.Load.steps[0].load
		for _, step := range s.Load.steps {
			if at >= step.at {
				load = step.load
			}
		}
		at += time.Duration(random.ExpFloat64() / (rate * load) * float64(time.Second))
		if at >= end {
			return
		}
		a := arrival{at: at, dispatcher: random.IntN(s.Dispatchers.Count), seed: random.Uint64(), class: len(s.Classes) - 1}
		remaining := random.Float64()
		for i, c := range s.Classes {
			if remaining -= c.Share; remaining < 0 {
				a.class = i
				break
			}
		}
		a.workMs = s.Classes[a.class].WorkMs * (0.5 + random.ExpFloat64()/2)
		if !yield(a) {
			return
		}
	}
}

// turn is a fault that begins or ends.
type faultChange struct {
	at     time.Duration
	fault  *FaultSection
	begins bool
}

// turns lists what the faults do, in order.
func (s *Scenario) faultChanges() (list []faultChange) {
	for i := range s.Faults {
		fault := &s.Faults[i]
		for n := range fault.Count {
			at := fault.At + time.Duration(n)*fault.Interval
			list = append(list, faultChange{at, fault, true}, faultChange{at + fault.Duration, fault, false})
		}
	}
	slices.SortStableFunc(list, func(a, b faultChange) int { return cmp.Compare(a.at, b.at) })
	return list
}
