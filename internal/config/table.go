package config

import (
	"fmt"
	"strings"
)

// kind is the type of a key's value.
type kind uint8

const (
	kindBool        kind = iota // true or false
	kindInt                     // a whole number
	kindSize                    // bytes: 512KB, 64MB, 2GB (powers of 1024)
	kindDuration                // a Go duration: 20ms, 1m30s
	kindChoice                  // one of the key's choices
	kindPath                    // a directory or file; empty = none
	kindShare                   // a share of 1: 0.04
	kindText                    // up to 128 bytes
	kindAddress                 // IP address and port; empty = none
	kindAddressList             // several IP addresses and ports, separated by commas; empty = none
)

// key is one row of the table. min and max are in the unit of the kind: bytes, nanoseconds,
// plain numbers, millionths of 1 or, for an address list, its length; other kinds have no
// range.
//
// A section whose name ends in a star stands for any number of sections; set finds the part
// of the name that matches the star in value.wildcard.
type key struct {
	section, name string
	kind          kind
	defaultText   string
	min, max      int64
	choices       []string // of kindChoice
	help          string
	set           func(*Config, value)
}

// value is a parsed value of any kind.
type value struct {
	flag   bool
	number int64
	text   string
	list   []string

	wildcard string // the part of the section's name that matches the star
}

// section is one section of the file with its help text.
type section struct{ name, help string }

// sections lists all sections in the order of the file.
var sections = []section{
	{"log", "Log lines of the node, on standard error."},
	{"results", "Result cache that survives restarts; see docs/result-cache.md. Needs a disk that outlives the node."},
	{"pools", "Run slots divided by class, with reserves; see docs/pools.md."},
	{"pool.*", "Reserve of one class, [pool.NAME] with the name of the class, whatever its runs cost."},
	{"control", "Reports to a control service; see docs/control.md. Needs connections beyond those of the platform."},
	{"together", "Fleet-aware load shedding; see docs/shedding.md."},
	{"comeback", "Recovery after a restart, or after stored state was lost; see docs/recovery.md."},
	{"store", "The store under [results]; see docs/store.md. The defaults suit most disks."},
}

const (
	kb = 1 << 10
	mb = 1 << 20
	gb = 1 << 30

	million = 1_000_000 // shares are stored as millionths of 1

	ms     = 1_000_000 // nanoseconds
	second = 1000 * ms
)

// keys is the only source of the keys, their defaults, ranges and help texts;
// deploy/robinmast.ini is generated from it. Within a section the order is that of the file.
var keys = []key{
	{"log", "level", kindChoice, "info", 0, 0, []string{"debug", "info", "warn", "error"},
		"Lowest level that is logged. Raise it only where the reader of the log cannot keep up.",
		func(c *Config, v value) { c.Log.Level = v.text }},
	{"log", "format", kindChoice, "text", 0, 0, []string{"text", "json"},
		"Format of a line: key=value text, or one JSON object.",
		func(c *Config, v value) { c.Log.Format = v.text }},

	{"results", "enabled", kindBool, "false", 0, 0, nil,
		"Keep results across restarts.",
		func(c *Config, v value) { c.Results.Enabled = v.flag }},
	{"results", "dir", kindPath, "", 0, 0, nil,
		"Directory of the store, created if missing; one node per directory. Required when enabled.",
		func(c *Config, v value) { c.Results.Dir = v.text }},
	{"results", "bytes", kindSize, "64MB", 1 * mb, 64 * gb, nil,
		"Maximum size of all stored results; those that expire first are evicted first.",
		func(c *Config, v value) { c.Results.MaxBytes = v.number }},
	{"results", "entries", kindInt, "100000", 16, 50_000_000, nil,
		"Maximum number of records; each takes about 200 bytes of the node's memory plus its key.",
		func(c *Config, v value) { c.Results.MaxRecords = int(v.number) }},
	{"results", "durability", kindChoice, "durable", 0, 0, []string{"durable", "soon"},
		"durable: intents and results wait until they are synced to disk, a power failure loses none; soon: a crash of the process loses none, a power failure loses up to one [store] interval.",
		func(c *Config, v value) { c.Results.Durable = v.text == "durable" }},
	{"results", "unopened", kindChoice, "refuse", 0, 0, []string{"refuse", "forget"},
		"If the store cannot be opened: refuse to start, or start without it and log an error.",
		func(c *Config, v value) { c.Results.StartEmpty = v.text == "forget" }},
	{"results", "unwritable", kindChoice, "fail", 0, 0, []string{"fail", "run"},
		"If an intent cannot be written (disk full): fail the request, or run it without a record.",
		func(c *Config, v value) { c.Results.RunUnrecorded = v.text == "run" }},
	{"results", "unknown", kindChoice, "run", 0, 0, []string{"run", "fail"},
		"A repeat of a safe request whose run was interrupted by a crash: run it again, or fail it. Keyed requests always fail.",
		func(c *Config, v value) { c.Results.FailUnknownReads = v.text == "fail" }},
	{"results", "unsafe", kindBool, "false", 0, 0, nil,
		"Also write intents for requests that may run at most once, so that the log after a crash names those that may have run.",
		func(c *Config, v value) { c.Results.RecordUnsafe = v.flag }},
	{"results", "slack", kindDuration, "2s", 0, 600 * second, nil,
		"How far the wall clock may be off across a restart before stored times are treated as uncertain.",
		func(c *Config, v value) { c.Results.ClockSlack = durationOf(v) }},

	{"pools", "enabled", kindBool, "false", 0, 0, nil,
		"Divide the run slots by class.",
		func(c *Config, v value) { c.Pools.Enabled = v.flag }},
	{"pools", "reserve", kindShare, "0.04", 0, 0.5 * million, nil,
		"Share of the slots that the cheapest requests keep under any load. Raise it if too few of them are served in overload: it costs up to the same share of the utility.",
		func(c *Config, v value) { c.Pools.Reserve = float64(v.number) / million }},

	{"pool.*", "reserve", kindShare, "0", 0, million, nil,
		"Share of the slots that this class keeps while it has requests for them. All reserves add up to at most 1.",
		func(c *Config, v value) {
			if c.Pools.Classes == nil {
				c.Pools.Classes = map[string]float64{}
			}
			c.Pools.Classes[v.wildcard] = float64(v.number) / million
		}},

	{"control", "address", kindAddressList, "", 0, 5, nil,
		"Addresses of the control services; each receives every report; empty = no reports.",
		func(c *Config, v value) { c.Control.Address = v.list }},
	{"control", "advertise", kindAddress, "", 0, 0, nil,
		"Address at which proxies reach this node; empty = its listen address.",
		func(c *Config, v value) { c.Control.Advertise = v.text }},
	{"control", "zone", kindText, "", 0, 0, nil,
		"Zone of this node, up to 128 bytes; proxies prefer nodes of their own zone.",
		func(c *Config, v value) { c.Control.Zone = v.text }},

	{"control", "cert", kindPath, "", 0, 0, nil,
		"Client certificate of this node for the control service, with the DNS name that --node-san derives from the node's name; empty = plain text.",
		func(c *Config, v value) { c.Control.Cert = v.text }},
	{"control", "key", kindPath, "", 0, 0, nil,
		"Private key of the certificate; both files are read again for each connection.",
		func(c *Config, v value) { c.Control.Key = v.text }},
	{"control", "ca", kindPath, "", 0, 0, nil,
		"Certificate of the authority that signs the control service's certificate.",
		func(c *Config, v value) { c.Control.CA = v.text }},
	{"control", "server_name", kindText, "", 0, 0, nil,
		"Server name in the control service's certificate; empty = its address.",
		func(c *Config, v value) { c.Control.ServerName = v.text }},

	{"together", "enabled", kindBool, "false", 0, 0, nil,
		"Refuse at once what would exceed the queue timeout, stop retries only if other nodes refuse too, spread retry-after times.",
		func(c *Config, v value) { c.Shedding.Enabled = v.flag }},
	{"together", "told", kindBool, "false", 0, 0, nil,
		"Use the fleet digest that the control service returns; needs [control] address.",
		func(c *Config, v value) { c.Shedding.UseDigests = v.flag }},

	{"comeback", "enabled", kindBool, "false", 0, 0, nil,
		"Track recovery to full service, ask for no more load than the node can take meanwhile, and treat requests as in doubt where stored state was lost.",
		func(c *Config, v value) { c.Recovery.Enabled = v.flag }},
	{"comeback", "snapshot", kindBool, "false", 0, 0, nil,
		"Store what the node learns about its work and use it, with reduced weight, for a warm start; needs [results] or dir.",
		func(c *Config, v value) { c.Recovery.Snapshot = v.flag }},
	{"comeback", "dir", kindPath, "", 0, 0, nil,
		"Directory of the store for the snapshot where [results] is off; one node per directory.",
		func(c *Config, v value) { c.Recovery.Dir = v.text }},
	{"comeback", "keyed", kindChoice, "fail", 0, 0, []string{"fail", "run"},
		"A keyed request that may have run in an incarnation whose records were lost: fail it, or run it.",
		func(c *Config, v value) { c.Recovery.RunKeyed = v.text == "run" }},
	{"comeback", "unsafe", kindChoice, "fail", 0, 0, []string{"fail", "run"},
		"The same for requests that may run at most once.",
		func(c *Config, v value) { c.Recovery.RunUnsafe = v.text == "run" }},

	{"together", "setup", kindShare, "0.25", 0, million, nil,
		"Share of the granted CPU that new connections and health checks may use, beyond which they wait; 0 = no limit.",
		func(c *Config, v value) { c.Shedding.SetupShare = float64(v.number) / million }},

	{"store", "segment", kindSize, "8MB", 256 * kb, 1 * gb, nil,
		"Disk space that the store may use beyond twice the live data; each of its files is a quarter of it.",
		func(c *Config, v value) { c.Store.SlackBytes = v.number }},
	{"store", "interval", kindDuration, "20ms", 1 * ms, 10 * second, nil,
		"Longest time between syncs of writes with durability soon.",
		func(c *Config, v value) { c.Store.SyncInterval = durationOf(v) }},
	{"store", "compaction_rate", kindSize, "16MB", 64 * kb, 16 * gb, nil,
		"Bytes per second that compaction may read and write while disk use is within its limit.",
		func(c *Config, v value) { c.Store.CompactionRate = v.number }},
}

// DefaultText returns the text of deploy/robinmast.ini: every key with its help text, default
// and range.
func DefaultText() string {
	var b strings.Builder
	b.WriteString("# Settings of the node's own features. All features are off in this file; a key that is\n" +
		"# left out has the value given here. Check a file with: robinmast check --config FILE\n")
	for _, s := range sections {
		comment := ""
		if strings.HasSuffix(s.name, "*") { // an example: NAME is a placeholder
			comment = "# "
		}
		fmt.Fprintf(&b, "\n# %s\n%s[%s]\n", s.help, comment, strings.Replace(s.name, "*", "NAME", 1))
		for _, k := range keys {
			if k.section == s.name {
				fmt.Fprintf(&b, "\n# %s\n# %s\n%s%s = %s\n", k.help, k.validValues(), comment, k.name, k.defaultText)
			}
		}
	}
	return strings.ReplaceAll(b.String(), "= \n", "=\n")
}

// validValues describes the valid values of a key.
func (k *key) validValues() string {
	switch k.kind {
	case kindBool:
		return "true or false"
	case kindChoice:
		return "one of: " + strings.Join(k.choices, ", ")
	case kindShare:
		return fmt.Sprintf("a share, %g to %g", float64(k.min)/million, float64(k.max)/million)
	case kindText:
		return "text, at most 128 bytes"
	case kindAddress:
		return "an IP address and port such as 127.0.0.1:18001; empty = none"
	case kindAddressList:
		return fmt.Sprintf("up to %d IP addresses and ports, separated by commas, such as 127.0.0.1:18001; empty = none", k.max)
	case kindPath:
		return "a path; empty = none"
	case kindInt:
		return fmt.Sprintf("a whole number, %d to %d", k.min, k.max)
	case kindSize:
		return fmt.Sprintf("bytes, %s to %s", sizeText(k.min), sizeText(k.max))
	default:
		return fmt.Sprintf("a duration, %v to %v", durationOf(value{number: k.min}), durationOf(value{number: k.max}))
	}
}
