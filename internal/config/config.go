// Package config owns the node's INI file: its keys, their units, defaults and
// bounds, and how a fault in it is told. It must never decide what a feature
// does, and never start anything.
//
// The platform's own file (EDGE_CONFIG) is not read here.
package config

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// Config is the file, typed. The zero value is not usable; take Defaults.
type Config struct {
	Log     Log
	Results Results
	Pools   Pools
	Control Control
	Store   Store

	Shedding Shedding
	Recovery Recovery

	name   string // of the file, for faults found later
	places places
}

// Log is how lines are logged.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// Results is what [results] says.
type Results struct {
	Enabled      bool
	Dir          string
	Bytes        int64
	Entries      int
	Durable      bool // intents and results wait for the disk
	Forget       bool // start without memory if the store can't be opened
	RunUnwritten bool // run what no intent could be written for
	FailUnknown  bool // fail repeats of safe work cut off by a crash
	Unsafe       bool // write intents for work that may run at most once
	Slack        time.Duration
}

// Pools is what [pools] and the sections of its classes say.
type Pools struct {
	Enabled bool
	Reserve float64            // share of the slots for the cheapest
	Classes map[string]float64 // share of the slots by class
}

// Control is what [control] says.
type Control struct {
	Address   []string // of the services, none = no reports
	Advertise string   // "" = where the node listens
	Zone      string

	Cert, Key, CA string // files; "" = plain text
	ServerName    string // in the service's certificate
}

// Together is what [together] says.
type Shedding struct {
	Enabled bool
	Told    bool    // take the fleet's digest from the control service
	Setup   float64 // share of a core for new connections and health checks, 0 = as they come
}

// Comeback is what [comeback] says.
type Recovery struct {
	Enabled   bool
	Snapshot  bool   // what was learned outlives the process
	Dir       string // of a store for it where [results] is off
	RunKeyed  bool   // run keyed requests that are in doubt
	RunUnsafe bool   // run unsafe ones
}

// Store is what [store] says.
type Store struct {
	Segment        int64 // bytes
	Interval       time.Duration
	CompactionRate int64 // bytes a second
}

// Fault is one thing wrong with a file.
type Fault struct {
	File    string
	Line    int // from 1; 0 = none
	Section string
	Key     string // "" where the section itself is at fault
	What    string
}

// Error gives FILE:LINE: [section] key: what is wrong.
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
	return s + " " + f.What
}

// Defaults is the configuration without a file: every feature off.
func Defaults() *Config {
	c := &Config{}
	for _, k := range keys {
		if strings.HasSuffix(k.section, "*") {
			continue // it stands for none
		}
		v, err := k.parse(k.def)
		if err != nil {
			panic(fmt.Sprintf("config: default of [%s] %s: %v", k.section, k.name, err)) // a test reads them all
		}
		k.set(c, v)
	}
	return c
}

// Load reads and checks a file. An error joins one Fault for each thing wrong.
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

// Parse reads text as the file called name. With faults the configuration holds
// defaults in their places and must not be used.
func Parse(name string, text []byte) (*Config, []Fault) {
	c := Defaults()
	at, faults := locate(name, text)
	c.name, c.places = name, at
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, SpaceBeforeInlineComment: true, SkipUnrecognizableLines: true,
	}, text)
	if err != nil {
		return c, append(faults, Fault{File: name, What: err.Error()})
	}
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				faults = append(faults, Fault{File: name, Line: at.line("", k.Name()), Key: k.Name(), What: "stands before any section"})
			}
			continue
		}
		known, of := pattern(s.Name())
		if known == "" {
			var names []string
			for _, o := range sections {
				names = append(names, o.name)
			}
			faults = append(faults, Fault{
				File: name, Line: at.section[s.Name()], Section: s.Name(), What: "unknown section" + nearest(s.Name(), names),
			})
			continue
		}
		for _, k := range s.Keys() {
			fault := Fault{File: name, Line: at.line(s.Name(), k.Name()), Section: s.Name(), Key: k.Name()}
			row := find(known, k.Name())
			if row == nil {
				fault.What = "unknown key" + nearest(k.Name(), namesOf(known))
				faults = append(faults, fault)
				continue
			}
			v, err := row.parse(k.Value())
			if err != nil {
				fault.What = err.Error()
				faults = append(faults, fault)
				continue
			}
			v.of = of
			row.set(c, v)
		}
	}
	for _, f := range c.check() {
		faults = append(faults, c.place(f))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
	return c, faults
}

// place says where a fault stands.
func (c *Config) place(f Fault) Fault {
	f.File, f.Line = c.name, c.places.line(f.Section, f.Key)
	if f.Line == 0 {
		f.Line = c.places.section[f.Section]
	}
	return f
}

// pattern finds the section of the table that a section of a file is one of, and
// what the star of its name stands for.
func pattern(name string) (known, of string) {
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

// Names checks what needs the platform's settings: names of classes that the
// file gives. It joins one Fault for each that does not exist.
func (c *Config) Names(classes []string) error {
	var errs []error
	for name := range c.Pools.Classes {
		if !slices.Contains(classes, name) {
			errs = append(errs, c.place(Fault{Section: "pool." + name, What: "no such class" + nearest(name, classes)}))
		}
	}
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(errs...)
}

// check tells what no single key can: which keys need one another.
func (c *Config) check() (faults []Fault) {
	if c.Results.Enabled && c.Results.Dir == "" {
		faults = append(faults, Fault{Section: "results", Key: "dir", What: "a folder is required when enabled"})
	}
	if c.Results.Enabled && c.Results.Bytes < c.Store.Segment/4 {
		faults = append(faults, Fault{Section: "results", Key: "bytes",
			What: fmt.Sprintf("%s is less than one file of the store (a quarter of [store] segment)", sizeText(c.Results.Bytes))})
	}
	if k := c.Control; k.Cert != "" || k.Key != "" || k.CA != "" {
		for name, v := range map[string]string{"cert": k.Cert, "key": k.Key, "ca": k.CA} {
			if v == "" {
				faults = append(faults, Fault{Section: "control", Key: name, What: "cert, key and ca go together"})
			}
		}
	}
	if c.Shedding.Enabled && c.Shedding.Told && len(c.Control.Address) == 0 {
		faults = append(faults, Fault{Section: "together", Key: "told", What: "digests come with the answers of a control service: [control] address is required"})
	}
	if k := c.Recovery; k.Enabled && k.Snapshot && !c.Results.Enabled && k.Dir == "" {
		faults = append(faults, Fault{Section: "comeback", Key: "dir", What: "a snapshot needs a folder: dir, or [results] enabled"})
	}
	sum, last := c.Pools.Reserve, Fault{Section: "pools", Key: "reserve"}
	for name, r := range c.Pools.Classes {
		sum += r
		if at := (Fault{Section: "pool." + name, Key: "reserve"}); c.place(at).Line > c.place(last).Line {
			last = at
		}
	}
	if sum > 1+1e-9 {
		last.What = fmt.Sprintf("all reserves add up to %.4g of the node", sum)
		faults = append(faults, last)
	}
	return faults
}

func find(section, name string) *key {
	for i := range keys {
		if keys[i].section == section && keys[i].name == name {
			return &keys[i]
		}
	}
	return nil
}

func namesOf(section string) (names []string) {
	for _, k := range keys {
		if k.section == section {
			names = append(names, k.name)
		}
	}
	return names
}

// nearest names the known word that an unknown one was probably meant to be.
func nearest(word string, known []string) string {
	best, least := "", 1+len(word)/2
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		return "; known are " + strings.Join(known, ", ")
	}
	return "; did you mean " + best + "?"
}

// parse reads a value of the key's kind and checks its bounds.
func (k *key) parse(text string) (v value, err error) {
	switch k.kind {
	case kindBool:
		switch text {
		case "true", "false":
			v.b = text == "true"
		default:
			return v, fmt.Errorf("%q is neither true nor false", text)
		}
		return v, nil
	case kindWord:
		if !slices.Contains(k.words, text) {
			return v, fmt.Errorf("unknown word %q%s", text, nearest(text, k.words))
		}
		v.s = text
		return v, nil
	case kindPath:
		if strings.ContainsRune(text, 0) {
			return v, errors.New("a path can't hold a zero byte")
		}
		v.s = text
		return v, nil
	case kindText:
		if len(text) > 128 {
			return v, errors.New("longer than 128 bytes")
		}
		v.s = text
		return v, nil
	case kindAddr:
		if text != "" {
			if _, err := netip.ParseAddrPort(text); err != nil {
				return v, fmt.Errorf("%q is no IP address and port such as 127.0.0.1:18001", text)
			}
		}
		v.s = text
		return v, nil
	case kindAddrs:
		for part := range strings.SplitSeq(text, ",") {
			part = strings.TrimSpace(part)
			if text == "" {
				break
			}
			if _, err := netip.ParseAddrPort(part); err != nil {
				return v, fmt.Errorf("%q is no IP address and port such as 127.0.0.1:18001", part)
			}
			if slices.Contains(v.list, part) {
				return v, fmt.Errorf("%s stands there twice", part)
			}
			v.list = append(v.list, part)
		}
		if int64(len(v.list)) > k.most {
			return v, fmt.Errorf("%d addresses, %d at most", len(v.list), k.most)
		}
		return v, nil
	case kindInt:
		if v.n, err = strconv.ParseInt(text, 10, 64); err != nil {
			return v, fmt.Errorf("%q is no whole number", text)
		}
	case kindShare:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(f) || math.Abs(f) > 1e6 {
			return v, fmt.Errorf("%q is no share such as 0.04", text)
		}
		v.n = int64(math.Round(f * million))
	case kindSize:
		if v.n, err = parseSize(text); err != nil {
			return v, err
		}
	case kindDuration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return v, fmt.Errorf("%q is no duration such as 20ms or 1m30s", text)
		}
		v.n = int64(d)
	}
	if v.n < k.least || v.n > k.most {
		return v, fmt.Errorf("%s is out of bounds: %s", text, k.form())
	}
	return v, nil
}

func dur(v value) time.Duration { return time.Duration(v.n) }

var sizes = []struct {
	unit string
	n    int64
}{{"GB", gb}, {"MB", mb}, {"KB", kb}, {"B", 1}}

// parseSize reads bytes with a unit, or plain.
func parseSize(text string) (int64, error) {
	digits, unit := text, int64(1)
	for _, s := range sizes {
		if d, ok := strings.CutSuffix(text, s.unit); ok {
			digits, unit = strings.TrimSpace(d), s.n
			break
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/unit {
		return 0, fmt.Errorf("%q is no size such as 512KB, 64MB or 2GB", text)
	}
	return n * unit, nil
}

func sizeText(n int64) string {
	for _, s := range sizes {
		if n >= s.n && n%s.n == 0 {
			return strconv.FormatInt(n/s.n, 10) + s.unit
		}
	}
	return "0B"
}

// Places tells on which lines sections and keys stand.
type Places struct{ p places }

// Line is where a key stands, else its section, else 0.
func (p Places) Line(section, key string) int {
	if n := p.p.line(section, key); n > 0 {
		return n
	}
	return p.p.section[section]
}

// Locate finds the lines of another INI file of ours, and what the library would
// take in silence.
func Locate(name string, text []byte) (Places, []Fault) {
	p, faults := locate(name, text)
	return Places{p}, faults
}

// places tells on which lines sections and keys stand.
type places struct {
	section map[string]int
	key     map[[2]string]int
}

func (p places) line(section, key string) int { return p.key[[2]string{section, key}] }

// locate finds the lines of a file, and what the library would take in silence:
// lines that are nothing, and keys and sections given twice.
func locate(name string, text []byte) (places, []Fault) {
	p := places{section: map[string]int{}, key: map[[2]string]int{}}
	var faults []Fault
	section, n := "", 0
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		n++
		line := strings.TrimSpace(strings.TrimPrefix(lines.Text(), "\ufeff"))
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			if i := strings.IndexByte(line, ']'); i > 0 {
				section = strings.TrimSpace(line[1:i])
				if was := p.section[section]; was > 0 {
					faults = append(faults, Fault{File: name, Line: n, Section: section, What: fmt.Sprintf("given twice, first on line %d", was)})
					continue
				}
				p.section[section] = n
				continue
			}
			faults = append(faults, Fault{File: name, Line: n, What: fmt.Sprintf("%q is no section: no closing bracket", line)})
			continue
		}
		i := strings.IndexAny(line, "=:")
		if i <= 0 {
			faults = append(faults, Fault{File: name, Line: n, Section: section, What: fmt.Sprintf("%q is neither a section nor key = value", line)})
			continue
		}
		k := strings.TrimSpace(line[:i])
		if was := p.line(section, k); was > 0 {
			faults = append(faults, Fault{File: name, Line: n, Section: section, Key: k, What: fmt.Sprintf("given twice, first on line %d", was)})
			continue
		}
		p.key[[2]string{section, k}] = n
	}
	if err := lines.Err(); err != nil {
		faults = append(faults, Fault{File: name, Line: n + 1, What: err.Error()})
	}
	return p, faults
}
