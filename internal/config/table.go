// This file owns the table of keys: every key's section, name, kind, default,
// bounds, unit and one line of help. It is the only source of them; the file
// deploy/robinmast.ini is written from it. It must never read a file.

package config

import (
	"fmt"
	"strings"
)

// kind is what a key's value is.
type kind uint8

const (
	kindBool     kind = iota // true or false
	kindInt                  // a whole number
	kindSize                 // bytes: 512KB, 64MB, 2GB (powers of 1024)
	kindDuration             // a Go duration: 20ms, 1m30s
	kindWord                 // one of words
	kindPath                 // a folder or file; empty = none
	kindShare                // a share of 1: 0.04
	kindText                 // up to 128 bytes
	kindAddr                 // IP address and port; empty = none
	kindAddrs                // several, with commas between
)

// key is one row of the table. least and most are in the kind's unit: bytes,
// nanoseconds, plain numbers or millionths of 1; most 0 means no bound.
//
// A section whose name ends in a star stands for as many as there are names; set
// is told which by value.of.
type key struct {
	section, name string
	kind          kind
	def           string
	least, most   int64
	words         []string
	help          string
	set           func(*Config, value)
}

// value is a parsed value of any kind.
type value struct {
	b bool
	n int64
	s string

	list []string

	of string // what the star of the section's name stands for
}

// section is one section of the file with the line that says what it is for.
type section struct{ name, help string }

var sections = []section{
	{"log", "Log lines of the node, on standard error."},
	{"results", "Remembered results across restarts; see docs/result-cache.md. Needs a disk that outlives the node."},
	{"pools", "Pools by class with a reserve; see docs/pools.md."},
	{"pool.*", "One class by its name, [pool.NAME]: a reserve of its own, whatever its runs cost."},
	{"control", "Reports to a control service; see docs/control.md. Needs talk beyond the platform's."},
	{"together", "Refusals with the whole fleet in mind; see docs/shedding.md."},
	{"comeback", "Coming back after a restart, or after stored state was lost; see docs/recovery.md."},
	{"store", "The store beneath [results]; see docs/store.md. The defaults suit most disks."},
}

const (
	kb = 1 << 10
	mb = 1 << 20
	gb = 1 << 30

	million = 1_000_000 // shares are kept in millionths

	ms     = 1_000_000
	second = 1000 * ms
)

// keys is the table. The order is that of the file.
var keys = []key{
	{"log", "level", kindWord, "info", 0, 0, []string{"debug", "info", "warn", "error"},
		"Least level that is logged. Raise it only where the reader of the log can't keep up.",
		func(c *Config, v value) { c.Log.Level = v.s }},
	{"log", "format", kindWord, "text", 0, 0, []string{"text", "json"},
		"Form of a line: key=value text, or one JSON object.",
		func(c *Config, v value) { c.Log.Format = v.s }},

	{"results", "enabled", kindBool, "false", 0, 0, nil,
		"Remember results across restarts.",
		func(c *Config, v value) { c.Results.Enabled = v.b }},
	{"results", "dir", kindPath, "", 0, 0, nil,
		"Folder of the store, made if missing; one node a folder. Required when enabled.",
		func(c *Config, v value) { c.Results.Dir = v.s }},
	{"results", "bytes", kindSize, "64MB", 1 * mb, 64 * gb, nil,
		"Most bytes of remembered results; the results that expire first leave first.",
		func(c *Config, v value) { c.Results.Bytes = v.n }},
	{"results", "entries", kindInt, "100000", 16, 50_000_000, nil,
		"Most entries; each takes about 200 bytes of the node's memory and its key.",
		func(c *Config, v value) { c.Results.Entries = int(v.n) }},
	{"results", "durability", kindWord, "durable", 0, 0, []string{"durable", "soon"},
		"durable: intents and results wait for the disk, a power cut loses none; soon: a crash of the process loses none, a power cut what [store] interval holds.",
		func(c *Config, v value) { c.Results.Durable = v.s == "durable" }},
	{"results", "unopened", kindWord, "refuse", 0, 0, []string{"refuse", "forget"},
		"A store that can't be opened: refuse to start, or start without memory and say so.",
		func(c *Config, v value) { c.Results.Forget = v.s == "forget" }},
	{"results", "unwritable", kindWord, "fail", 0, 0, []string{"fail", "run"},
		"An intent that can't be written (full disk): fail the request, or run it unremembered.",
		func(c *Config, v value) { c.Results.RunUnwritten = v.s == "run" }},
	{"results", "unknown", kindWord, "run", 0, 0, []string{"run", "fail"},
		"A repeat of safe work whose run was cut off by a crash: run it again, or fail it. Keyed work always fails.",
		func(c *Config, v value) { c.Results.FailUnknown = v.s == "fail" }},
	{"results", "unsafe", kindBool, "false", 0, 0, nil,
		"Write intents for work that may run at most once too, so that the log of a crash names what may have run.",
		func(c *Config, v value) { c.Results.Unsafe = v.b }},
	{"results", "slack", kindDuration, "2s", 0, 600 * second, nil,
		"How far the wall clock may be off across a restart before remembered times are doubted.",
		func(c *Config, v value) { c.Results.Slack = dur(v) }},

	{"pools", "enabled", kindBool, "false", 0, 0, nil,
		"Share the running slots by class.",
		func(c *Config, v value) { c.Pools.Enabled = v.b }},
	{"pools", "reserve", kindShare, "0.04", 0, 0.5 * million, nil,
		"Share of the slots that the cheapest calls keep under any load. Raise it where too few of them are served in overload: it costs up to as much of the worth.",
		func(c *Config, v value) { c.Pools.Reserve = float64(v.n) / million }},

	{"pool.*", "reserve", kindShare, "0", 0, million, nil,
		"Share of the slots that this class keeps while it has work for them. All reserves together are at most 1.",
		func(c *Config, v value) {
			if c.Pools.Classes == nil {
				c.Pools.Classes = map[string]float64{}
			}
			c.Pools.Classes[v.of] = float64(v.n) / million
		}},

	{"control", "address", kindAddrs, "", 0, 5, nil,
		"Where control services take reports, each of them all; empty = none are sent.",
		func(c *Config, v value) { c.Control.Address = v.list }},
	{"control", "advertise", kindAddr, "", 0, 0, nil,
		"Where proxies reach this node; empty = where it listens.",
		func(c *Config, v value) { c.Control.Advertise = v.s }},
	{"control", "zone", kindText, "", 0, 0, nil,
		"The node's zone, up to 128 bytes; proxies prefer their own.",
		func(c *Config, v value) { c.Control.Zone = v.s }},

	{"control", "cert", kindPath, "", 0, 0, nil,
		"Certificate of this node for the control service, with the DNS name that --node-san makes of its name; empty = plain text.",
		func(c *Config, v value) { c.Control.Cert = v.s }},
	{"control", "key", kindPath, "", 0, 0, nil,
		"Key of the certificate; both are read anew for each connection.",
		func(c *Config, v value) { c.Control.Key = v.s }},
	{"control", "ca", kindPath, "", 0, 0, nil,
		"Authority that signs the control service's certificate.",
		func(c *Config, v value) { c.Control.CA = v.s }},
	{"control", "server_name", kindText, "", 0, 0, nil,
		"Name in the control service's certificate; empty = its address.",
		func(c *Config, v value) { c.Control.ServerName = v.s }},

	{"together", "enabled", kindBool, "false", 0, 0, nil,
		"Refuse at once what would be held in vain, end walks only when others refuse too, spread advice.",
		func(c *Config, v value) { c.Shedding.Enabled = v.b }},
	{"together", "told", kindBool, "false", 0, 0, nil,
		"Take the fleet's digest with the answers of the control service; needs [control] address.",
		func(c *Config, v value) { c.Shedding.Told = v.b }},

	{"comeback", "enabled", kindBool, "false", 0, 0, nil,
		"Measure the way to full service, ask for no more than the node can do on it, and doubt stored state that was lost.",
		func(c *Config, v value) { c.Recovery.Enabled = v.b }},
	{"comeback", "snapshot", kindBool, "false", 0, 0, nil,
		"Store what the node learns of its work and take it up, doubted, at the next start; needs [results] or dir.",
		func(c *Config, v value) { c.Recovery.Snapshot = v.b }},
	{"comeback", "dir", kindPath, "", 0, 0, nil,
		"Folder of a store for the snapshot where [results] is off; one node a folder.",
		func(c *Config, v value) { c.Recovery.Dir = v.s }},
	{"comeback", "keyed", kindWord, "fail", 0, 0, []string{"fail", "run"},
		"A keyed request that may have run in a life that is not remembered: fail it, or run it.",
		func(c *Config, v value) { c.Recovery.RunKeyed = v.s == "run" }},
	{"comeback", "unsafe", kindWord, "fail", 0, 0, []string{"fail", "run"},
		"The same for work that may run at most once.",
		func(c *Config, v value) { c.Recovery.RunUnsafe = v.s == "run" }},

	{"together", "setup", kindShare, "0.25", 0, million, nil,
		"Share of the granted core that new connections and health checks may take, beyond which they wait; 0 = as they come.",
		func(c *Config, v value) { c.Shedding.Setup = float64(v.n) / million }},

	{"store", "segment", kindSize, "8MB", 256 * kb, 1 * gb, nil,
		"Disk beyond twice the live data that the store may take; its files are a quarter of it.",
		func(c *Config, v value) { c.Store.Segment = v.n }},
	{"store", "interval", kindDuration, "20ms", 1 * ms, 10 * second, nil,
		"Longest time between syncs of what was written with durability soon.",
		func(c *Config, v value) { c.Store.Interval = dur(v) }},
	{"store", "compaction_rate", kindSize, "16MB", 64 * kb, 16 * gb, nil,
		"Bytes a second that compaction may read and write while disk use is within its bound.",
		func(c *Config, v value) { c.Store.CompactionRate = v.n }},
}

// Default is the text of deploy/robinmast.ini: every key with its default, unit
// and bounds.
func Default() string {
	var b strings.Builder
	b.WriteString("# Settings of the node's own features. Every feature is off as this file stands; a key\n" +
		"# that is left out has the value given here. Check a file with: robinmast check --config FILE\n")
	for _, s := range sections {
		comment := ""
		if strings.HasSuffix(s.name, "*") { // an example: there is no such name
			comment = "# "
		}
		fmt.Fprintf(&b, "\n# %s\n%s[%s]\n", s.help, comment, strings.Replace(s.name, "*", "NAME", 1))
		for _, k := range keys {
			if k.section == s.name {
				fmt.Fprintf(&b, "\n# %s\n# %s\n%s%s = %s\n", k.help, k.form(), comment, k.name, k.def)
			}
		}
	}
	return strings.ReplaceAll(b.String(), "= \n", "=\n")
}

// form says what a value must look like.
func (k *key) form() string {
	switch k.kind {
	case kindBool:
		return "true or false"
	case kindWord:
		return "one of: " + strings.Join(k.words, ", ")
	case kindShare:
		return fmt.Sprintf("a share, %g to %g", float64(k.least)/million, float64(k.most)/million)
	case kindText:
		return "a text of 128 bytes at most"
	case kindAddr:
		return "an IP address and port such as 127.0.0.1:18001; empty = none"
	case kindAddrs:
		return fmt.Sprintf("up to %d IP addresses and ports with commas between, such as 127.0.0.1:18001; empty = none", k.most)
	case kindPath:
		return "a path; empty = none"
	case kindInt:
		return fmt.Sprintf("a whole number, %d to %d", k.least, k.most)
	case kindSize:
		return fmt.Sprintf("bytes, %s to %s", sizeText(k.least), sizeText(k.most))
	default:
		return fmt.Sprintf("a duration, %v to %v", dur(value{n: k.least}), dur(value{n: k.most}))
	}
}
