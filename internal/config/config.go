// Package config reads the node's INI file. A table holds each key's section, kind,
// default, range and help text; Load and Parse return a typed Config, or one Fault for
// each error, with file, line, section and key. The platform's file (EDGE_CONFIG) is not
// read here.
//
// Load reads the named file; the package does no other I/O and starts nothing. A Config may
// be used by several goroutines as long as none changes it.
package config

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// Config holds the settings of the INI file. The zero value is not usable: start from
// Defaults.
type Config struct {
	Log     Log
	Results Results
	Pools   Pools
	Control Control
	Store   Store

	Shedding Shedding
	Recovery Recovery

	name  string // of the file, for faults found after parsing
	lines lineIndex
}

// Log holds the settings of [log].
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// Results holds the settings of [results], the result cache.
type Results struct {
	Enabled          bool
	Dir              string
	MaxBytes         int64         // maximum size of the stored results
	MaxRecords       int           // maximum number of records
	Durable          bool          // intents and results wait until they are synced to disk
	StartEmpty       bool          // start without the store if it cannot be opened
	RunUnrecorded    bool          // run requests whose intent cannot be written
	FailUnknownReads bool          // fail repeats of safe requests whose run was interrupted by a crash
	RecordUnsafe     bool          // write intents for requests that may run at most once
	ClockSlack       time.Duration // error of the wall clock that is tolerated across a restart
}

// Pools holds the settings of [pools] and of the [pool.NAME] sections.
type Pools struct {
	Enabled bool
	Reserve float64            // share of the slots for the cheapest requests
	Classes map[string]float64 // share of the slots for each class, by its name
}

// Control holds the settings of [control], the reports to control services.
type Control struct {
	Address   []string // of the services; none = no reports
	Advertise string   // address for proxies; "" = the listen address
	Zone      string

	Cert, Key, CA string // PEM files; "" = plain text
	ServerName    string // in the service's certificate; "" = its address
}

// Shedding holds the settings of [together], fleet-aware load shedding.
type Shedding struct {
	Enabled    bool
	UseDigests bool    // take the fleet digest from the control service
	SetupShare float64 // share of the granted CPU for new connections and health checks; 0 = no limit
}

// Recovery holds the settings of [comeback], the recovery to full service after a start.
type Recovery struct {
	Enabled   bool
	Snapshot  bool   // store what the node learns, for a warm start
	Dir       string // of the store for the snapshot where [results] is off
	RunKeyed  bool   // run keyed requests that are in doubt
	RunUnsafe bool   // run unsafe requests that are in doubt
}

// Store holds the settings of [store], the store under the result cache.
type Store struct {
	SlackBytes     int64         // bytes of disk allowed beyond twice the live data
	SyncInterval   time.Duration // longest time between syncs of writes that do not wait for one
	CompactionRate int64         // bytes per second
}

// Fault is one error in a configuration file.
type Fault struct {
	File    string
	Line    int // from 1; 0 = unknown
	Section string
	Key     string // "" if the fault concerns the whole section
	Message string // what is wrong
}

// Error returns one line, FILE:LINE: [section] key: what is wrong. A control character of the file is a space in it.
func (f Fault) Error() string {
	s := f.File + ":"
	if f.Line > 0 {
		s += strconv.Itoa(f.Line) + ":"
	}
	if f.Section != "" {
		s += " [" + f.Section + "]"
	}
	if f.Key != "" {
		s += " " + f.Key + ":"
	}
	return strings.TrimSpace(strings.Map(printable, s+" "+f.Message))
}

// printable returns a space for a control character, such as a line end, and any other character as it is.
func printable(r rune) rune {
	if unicode.IsControl(r) {
		return ' '
	}
	return r
}

// Defaults returns the configuration that holds without a file: every feature is off.
func Defaults() *Config {
	c := &Config{}
	for _, k := range keys {
		if strings.HasSuffix(k.section, "*") {
			continue // a section of a class: there is none by default
		}
		v, err := k.parse(k.defaultText)
		if err != nil {
			panic(fmt.Sprintf("config: default of [%s] %s: %v", k.section, k.name, err)) // a test parses all defaults
		}
		k.set(c, v)
	}
	return c
}

// Load reads and checks the file at path. The error joins one Fault for each error in the
// file, or is that of reading it.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c, faults := Parse(path, text)
	if len(faults) > 0 {
		errs := make([]error, len(faults))
		for i, f := range faults {
			errs[i] = f
		}
		return nil, errors.Join(errs...)
	}
	return c, nil
}

// Parse parses and checks text; name is the file name for the faults, which are sorted by
// line. If there are faults, the affected settings have their defaults and the
// configuration must not be used.
func Parse(name string, text []byte) (*Config, []Fault) {
	c := Defaults()
	lines, faults := indexLines(name, text)
	c.name, c.lines = name, lines
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, SpaceBeforeInlineComment: true, SkipUnrecognizableLines: true,
	}, text)
	if err != nil {
		return c, append(faults, Fault{File: name, Message: err.Error()})
	}
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				faults = append(faults, Fault{
					File: name, Line: lines.line("", k.Name()), Key: k.Name(), Message: "key before any section",
				})
			}
			continue
		}
		known, wildcard := matchSection(s.Name())
		if known == "" {
			var names []string
			for _, other := range sections {
				names = append(names, other.name)
			}
			faults = append(faults, Fault{
				File: name, Line: lines.sectionLines[s.Name()], Section: s.Name(),
				Message: "unknown section" + suggestion(s.Name(), names),
			})
			continue
		}
		for _, k := range s.Keys() {
			fault := Fault{File: name, Line: lines.line(s.Name(), k.Name()), Section: s.Name(), Key: k.Name()}
			row := findKey(known, k.Name())
			if row == nil {
				fault.Message = "unknown key" + suggestion(k.Name(), keyNames(known))
				faults = append(faults, fault)
				continue
			}
			v, err := row.parse(k.Value())
			if err != nil {
				fault.Message = err.Error()
				faults = append(faults, fault)
				continue
			}
			v.wildcard = wildcard
			row.set(c, v)
		}
	}
	for _, f := range c.check() {
		faults = append(faults, c.withPosition(f))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
	return c, faults
}

// withPosition adds the file and the line of its key, or else of its section, to a fault.
func (c *Config) withPosition(f Fault) Fault {
	f.File, f.Line = c.name, c.lines.line(f.Section, f.Key)
	if f.Line == 0 {
		f.Line = c.lines.sectionLines[f.Section]
	}
	return f
}

// matchSection returns the section of the table that the section called name belongs to, ""
// if there is none, and the part of name that matches the star of a section such as pool.*.
func matchSection(name string) (known, wildcard string) {
	for _, s := range sections {
		base, star := strings.CutSuffix(s.name, "*")
		if rest, ok := strings.CutPrefix(name, base); star && ok && rest != "" {
			return s.name, rest
		}
		if name == s.name && !star {
			return name, ""
		}
	}
	return "", ""
}

// CheckClasses checks the class names of the file against those of the platform's settings.
// The error joins one Fault for each class that does not exist.
func (c *Config) CheckClasses(classes []string) error {
	var errs []error
	for name := range c.Pools.Classes {
		if !slices.Contains(classes, name) {
			errs = append(errs, c.withPosition(Fault{
				Section: "pool." + name, Message: "no such class" + suggestion(name, classes),
			}))
		}
	}
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(errs...)
}

// check returns the faults that concern more than one key, without file and line.
func (c *Config) check() (faults []Fault) {
	if c.Results.Enabled && c.Results.Dir == "" {
		faults = append(faults, Fault{Section: "results", Key: "dir", Message: "a directory is required when enabled"})
	}
	if c.Results.Enabled && c.Results.MaxBytes < c.Store.SlackBytes/4 {
		faults = append(faults, Fault{Section: "results", Key: "bytes",
			Message: fmt.Sprintf("%s is less than one store file (a quarter of [store] segment)", sizeText(c.Results.MaxBytes))})
	}
	if k := c.Control; k.Cert != "" || k.Key != "" || k.CA != "" {
		for name, v := range map[string]string{"cert": k.Cert, "key": k.Key, "ca": k.CA} {
			if v == "" {
				faults = append(faults, Fault{Section: "control", Key: name, Message: "cert, key and ca must be set together"})
			}
		}
	}
	if c.Shedding.Enabled && c.Shedding.UseDigests && len(c.Control.Address) == 0 {
		faults = append(faults, Fault{Section: "together", Key: "told",
			Message: "digests come from a control service: [control] address is required"})
	}
	if k := c.Recovery; k.Enabled && k.Snapshot && !c.Results.Enabled && k.Dir == "" {
		faults = append(faults, Fault{Section: "comeback", Key: "dir",
			Message: "a snapshot needs a directory: set dir, or enable [results]"})
	}
	sum, last := c.Pools.Reserve, Fault{Section: "pools", Key: "reserve"}
	for name, r := range c.Pools.Classes {
		sum += r
		if fault := (Fault{Section: "pool." + name, Key: "reserve"}); c.withPosition(fault).Line > c.withPosition(last).Line {
			last = fault
		}
	}
	if sum > 1+1e-9 {
		last.Message = fmt.Sprintf("the reserves add up to %.4g of the node, at most 1 is allowed", sum)
		faults = append(faults, last)
	}
	return faults
}

// findKey returns the row of a key, nil if there is none.
func findKey(section, name string) *key {
	for i := range keys {
		if keys[i].section == section && keys[i].name == name {
			return &keys[i]
		}
	}
	return nil
}

// keyNames returns the names of a section's keys.
func keyNames(section string) (names []string) {
	for _, k := range keys {
		if k.section == section {
			names = append(names, k.name)
		}
	}
	return names
}

// suggestion returns the end of a message about an unknown word: the known word that was
// probably meant, or all known words if none is close.
func suggestion(word string, known []string) string {
	best, distance := "", 1+len(word)/2
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < distance {
			best, distance = k, d
		}
	}
	if best == "" {
		return "; expected one of " + strings.Join(known, ", ")
	}
	return "; did you mean " + best + "?"
}
