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

// Scenario describes a rehearsal: the fleet, its load, its clients and the faults. It is read from an INI
// file; docs/operators/overload.md describes every key.
type Scenario struct {
	Name        string // of the file
	Fleet       FleetSection
	Load        LoadSection
	Dispatchers DispatcherSection
	Desktops    DesktopSection
	Classes     []ClassSection
	Faults      []FaultSection
}

// FleetSection is [fleet]: the processes and their settings.
type FleetSection struct {
	Nodes          int           `ini:"nodes"`         // 1 to 24
	Cores          int           `ini:"cores"`         // of each worker pool, 1 to 16
	Control        int           `ini:"control"`       // control services, 0 to 5
	Shedding       string        `ini:"together"`      // load shedding: off, alone, or told (with digests)
	Recovery       string        `ini:"comeback"`      // off, on, or snapshot (with a warm start)
	PlainNodes     int           `ini:"plain"`         // nodes without [together] and [comeback], as older programs
	ResultCache    bool          `ini:"results"`       // each node has a result cache in a directory of its own
	Seconds        int           `ini:"seconds"`       // duration, 2 to 600
	Seed           uint64        `ini:"seed"`          // of arrivals, work, clients' choices and jitter
	Contention     float64       `ini:"crowd"`         // slow-down for each run per core beyond one
	ColdSpeed      float64       `ini:"cold_from"`     // share of full speed of a restarted worker pool
	WarmUpTime     time.Duration `ini:"cold_ramp"`     // until a restarted worker pool has full speed
	NodeCores      float64       `ini:"node_cores"`    // granted to each node, 0.1 to 4
	MemoryMB       int           `ini:"memory_mb"`     // granted to each node, 32 to 512
	MaxRetryAfter  time.Duration `ini:"max_advice"`    // maximum retry-after that clients honour
	UtilityPerWork bool          `ini:"worth_by_work"` // a request's utility is that of its class times its work
}

// LoadSection is [load]: the offered load over time, as shares of the capacity of all cores.
type LoadSection struct {
	Steps string     `ini:"steps"` // "0s 0.9, 5s 1.5, 15s 0.9"
	steps []loadStep // parsed by validate
}

// loadStep is the load from a time on.
type loadStep struct {
	at   time.Duration
	load float64 // share of the capacity
}

// DispatcherSection is [dispatchers].
type DispatcherSection struct {
	Count          int           `ini:"count"`   // 1 to 32
	FurtherNodes   int           `ini:"walk"`    // further nodes to try after a refusal or failure, 0 to 24
	HonouringShare float64       `ini:"heed"`    // share of the dispatchers that honour load feedback and retry-after
	ProbeInterval  time.Duration `ini:"probe"`   // between health checks of a node, 0 = no checks
	TryTimeout     time.Duration `ini:"try"`     // of one try
	Routing        string        `ini:"route"`   // random, or least: of two the one with fewer open tries
	MaxConnections int           `ini:"connect"` // to one node, 1 to 16
}

// DesktopSection is [desktops]: the clients behind the dispatchers.
type DesktopSection struct {
	Retries          int           `ini:"retries"` // 0 to 5
	Backoff          time.Duration `ini:"backoff"` // before the first retry; it doubles with each
	Jitter           bool          `ini:"jitter"`  // varies the backoff from half to one and a half
	HonourRetryAfter bool          `ini:"heed"`    // waits at least the retry-after of a refusal
}

// ClassSection is [class.NAME]: a class of requests.
type ClassSection struct {
	Name          string
	Share         float64       `ini:"share"` // of the requests
	WorkMs        float64       `ini:"ms"`    // mean run time on one core, milliseconds
	Utility       float64       `ini:"worth"` // of a request served within LatencyTarget
	LatencyTarget time.Duration `ini:"aim"`
	Deadline      time.Duration `ini:"deadline"`
	Effect        string        `ini:"effect"` // safe, keyed or unsafe
}

// FaultSection is [fault.NAME]: a fault, its times and its targets.
type FaultSection struct {
	Name           string
	At             time.Duration `ini:"at"`
	Duration       time.Duration `ini:"for"`
	Count          int           `ini:"times"` // times that the fault occurs, 1 by default
	Interval       time.Duration `ini:"every"` // from one begin to the next
	Kind           string        `ini:"what"`  // one of processFaults, linkFaults and clientFaults
	Targets        string        `ini:"on"`    // of a process fault: nodes:1-2, nodes:0.33, control:1
	Link           string        `ini:"link"`  // of a link fault: dispatchers:* -> nodes:0.5
	Delay          time.Duration `ini:"delay"`
	Jitter         time.Duration `ini:"jitter"`
	BytesPerSecond int           `ini:"rate"`   // of throttle
	StopAfter      int           `ini:"after"`  // bytes, of mid_message
	Factor         float64       `ini:"factor"` // of slow, probe and squeeze (share of the time to run), see validateFactor

	// The results that a restarted node finds: keep, empty, old (a copy from the start of the rehearsal),
	// half (of its files) or swap (its neighbour's).
	ResultsState string `ini:"folder"`
}

// Kinds of faults, and the groups that links connect.
var (
	processFaults = []string{"kill", "hang", "stop", "term", "late", "squeeze", "slow"}
	linkFaults    = []string{"cut", "cut_up", "cut_down", "delay", "throttle", "half_open", "reset", "mid_message"}
	clientFaults  = []string{"reconnect", "probe", "return"}
	groups        = []string{"dispatchers", "nodes", "pools", "control", "members"}
)

// Defaults returns a scenario without faults, with the default of every key.
func Defaults() *Scenario {
	return &Scenario{
		Fleet: FleetSection{
			Nodes: 6, Cores: 2, Shedding: "off", Recovery: "off", Seconds: 12, Seed: 1, Contention: 0.1,
			ColdSpeed: 0.33, WarmUpTime: 3 * time.Second, NodeCores: 1, MemoryMB: 96,
			MaxRetryAfter: 2 * time.Second,
		},
		Load: LoadSection{Steps: "0s 0.9"},
		Dispatchers: DispatcherSection{
			Count: 4, FurtherNodes: 2, HonouringShare: 1, ProbeInterval: time.Second, TryTimeout: time.Second,
			Routing: "random", MaxConnections: 4,
		},
		Desktops: DesktopSection{Retries: 2, Backoff: 100 * time.Millisecond, Jitter: true, HonourRetryAfter: true},
	}
}

// defaultClass returns a class with the default of every key.
func defaultClass(name string) ClassSection {
	return ClassSection{
		Name: name, Share: 1, WorkMs: 20, Utility: 1, LatencyTarget: 700 * time.Millisecond,
		Deadline: 2 * time.Second, Effect: "safe",
	}
}

// Load reads a scenario file. An error of the content joins a config.Fault for each fault found.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a scenario from the text of the file called name. An error joins a config.Fault for each
// fault found.
func Parse(name string, text []byte) (*Scenario, error) {
	s := Defaults()
	lines, faults := config.IndexLines(name, text)
	options := ini.LoadOptions{
		IgnoreContinuation: true, SpaceBeforeInlineComment: true, SkipUnrecognizableLines: true,
	}
	file, err := ini.LoadSources(options, text)
	if err != nil {
		return nil, config.Fault{File: name, Message: err.Error()}
	}
	fault := func(section, key, format string, args ...any) {
		line := lines.Line(section, key)
		faults = append(faults, config.Fault{
			File: name, Line: line, Section: section, Key: key, Message: fmt.Sprintf(format, args...),
		})
	}
	s.Name = name
	for _, sec := range file.Sections() {
		var section any
		kind, subject, _ := strings.Cut(sec.Name(), ".")
		switch {
		case sec.Name() == ini.DefaultSection:
			for _, k := range sec.Keys() {
				fault("", k.Name(), "key before the first section")
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
			s.Classes = append(s.Classes, defaultClass(subject))
			section = &s.Classes[len(s.Classes)-1]
		case kind == "fault" && subject != "":
			s.Faults = append(s.Faults, FaultSection{Name: subject, Count: 1, ResultsState: "keep"})
			section = &s.Faults[len(s.Faults)-1]
		default:
			fault(sec.Name(), "",
				"unknown section; valid sections are fleet, load, dispatchers, desktops, class.NAME and fault.NAME")
			continue
		}
		setFields(sec, section, fault)
	}
	if len(s.Classes) == 0 {
		s.Classes = []ClassSection{defaultClass("step")}
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

// setFields sets the fields of section, a pointer to one of the section types, from the keys of sec.
func setFields(sec *ini.Section, section any, fault func(section, key, format string, args ...any)) {
	known := iniKeys(section)
	for _, k := range sec.Keys() {
		if !slices.Contains(known, k.Name()) {
			fault(sec.Name(), k.Name(), "unknown key; valid keys are %s", strings.Join(known, ", "))
			return
		}
		single := ini.Empty().Section("")
		if _, err := single.NewKey(k.Name(), k.Value()); err != nil {
			fault(sec.Name(), k.Name(), "%v", err)
			continue
		}
		if err := single.StrictMapTo(section); err != nil {
			fault(sec.Name(), k.Name(), "invalid value %q: %v", k.Value(), err)
		}
	}
}

// iniKeys returns the INI keys of a section type, given by its fields' tags.
func iniKeys(section any) (names []string) {
	t := reflect.TypeOf(section).Elem()
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("ini"); name != "" {
			names = append(names, name)
		}
	}
	return names
}
