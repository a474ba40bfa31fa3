// This file owns the form of a scenario: an INI file of sizes, load and faults,
// its bounds and checks, and the schedule that a seed makes of it. It must never
// start anything.

package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
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
