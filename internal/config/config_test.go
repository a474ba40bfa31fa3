package config

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
	"unicode"
)

// The shipped file equals the text generated from the table, and reading it gives the
// same configuration as no file.
func TestShippedFileMatchesTable(t *testing.T) {
	const path = "../../deploy/robinmast.ini"
	if os.Getenv("ROBINMAST_WRITE_INI") != "" {
		if err := os.WriteFile(path, []byte(DefaultText()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != DefaultText() {
		t.Error("deploy/robinmast.ini differs from the table: run this test with ROBINMAST_WRITE_INI=1")
	}
	c, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	assertSame(t, c, Defaults())
	if c.Results.Enabled || c.Pools.Enabled {
		t.Error("a feature is on by default")
	}
}

func TestParse(t *testing.T) {
	c, faults := Parse("x.ini", []byte("\ufeff[results]\nenabled = true\ndir: /data/r # where\nbytes=3MB\nslack = 1m30s\n[log]\nlevel=warn\n[pool.a.b]\nreserve = 0.25\n"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want := Defaults()
	want.Results.Enabled, want.Results.Dir, want.Results.MaxBytes, want.Results.ClockSlack = true, "/data/r", 3<<20, 90*time.Second
	want.Log.Level = "warn"
	want.Pools.Classes = map[string]float64{"a.b": 0.25}
	assertSame(t, c, want)
	if err := c.CheckClasses([]string{"a.b", "c"}); err != nil {
		t.Error(err)
	}
	if err := c.CheckClasses([]string{"a.c"}); err == nil || err.Error() != `x.ini:8: [pool.a.b] no such class; did you mean a.c?` {
		t.Error(err)
	}
}

// assertSame compares two configurations without their file names and line numbers.
func assertSame(t *testing.T, got, want *Config) {
	t.Helper()
	g, w := *got, *want
	g.name, g.lines, w.name, w.lines = "", lineIndex{}, "", lineIndex{}
	if !reflect.DeepEqual(g, w) {
		t.Errorf("read %+v, want %+v", g, w)
	}
}

func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[resluts]\n":                                        `x.ini:1: [resluts] unknown section; did you mean results?`,
		"[log]\nlevel=info\n[zzzzzzzz]\n":                    `x.ini:3: [zzzzzzzz] unknown section; expected one of log, results, pools, pool.*, control, together, comeback, store`,
		"[results]\n\nentires = 5\n":                         `x.ini:3: [results] entires: unknown key; did you mean entries?`,
		"[results]\nentries = many\n":                        `x.ini:2: [results] entries: "many" is not a whole number`,
		"[results]\nentries = 3\n":                           `x.ini:2: [results] entries: 3 is out of range: want a whole number, 16 to 50000000`,
		"[results]\nbytes = 64Mb\n":                          `x.ini:2: [results] bytes: "64Mb" is not a size such as 512KB, 64MB or 2GB`,
		"[results]\nbytes = 99999999999GB\n":                 `x.ini:2: [results] bytes: "99999999999GB" is not a size such as 512KB, 64MB or 2GB`,
		"[results]\nslack = 2\n":                             `x.ini:2: [results] slack: "2" is not a duration such as 20ms or 1m30s`,
		"[results]\nslack = -2s\n":                           `x.ini:2: [results] slack: -2s is out of range: want a duration, 0s to 10m0s`,
		"[control]\ncert = /c\nca = /a\n":                    `x.ini:1: [control] key: cert, key and ca must be set together`,
		"[control]\naddress = here:1\n":                      `x.ini:2: [control] address: "here:1" is not an IP address and port such as 127.0.0.1:18001`,
		"[pools]\nreserve = some\n":                          `x.ini:2: [pools] reserve: "some" is not a share such as 0.04`,
		"[pools]\nreserve = 0.6\n":                           `x.ini:2: [pools] reserve: 0.6 is out of range: want a share, 0 to 0.5`,
		"[pool.a]\nreserve = 0.7\n[pool.b]\nreserve = 0.4\n": `x.ini:4: [pool.b] reserve: the reserves add up to 1.14 of the node, at most 1 is allowed`,
		"[pool.]\n":                                      `x.ini:1: [pool.] unknown section; did you mean pools?`,
		"[results]\nenabled = yes\n":                     `x.ini:2: [results] enabled: "yes" is neither true nor false`,
		"[results]\nenabled = true\n":                    `x.ini:1: [results] dir: a directory is required when enabled`,
		"[results]\ndurability = durabel\n":              `x.ini:2: [results] durability: unknown value "durabel"; did you mean durable?`,
		"[log]\nlevel=info\nlevel=warn\n":                `x.ini:3: [log] level: duplicate key, first on line 2`,
		"[log]\n[store]\n[log]\n":                        `x.ini:3: [log] duplicate section, first on line 1`,
		"level=info\n":                                   `x.ini:1: level: key before any section`,
		"[log]\nlevel\n":                                 `x.ini:2: [log] "level" is neither a section nor key = value`,
		"[log\nlevel=info\n":                             `x.ini:1: "[log" is not a section: missing closing bracket`,
		"[results]\nenabled=true\ndir=/a\nbytes = 1MB\n": `x.ini:4: [results] bytes: 1MB is less than one store file (a quarter of [store] segment)`,
	} {
		_, faults := Parse("x.ini", []byte(text))
		var got []string
		for _, f := range faults {
			got = append(got, f.Error())
		}
		if len(got) == 0 || got[0] != want {
			t.Errorf("%q:\n got %s\nwant %s", text, strings.Join(got, "\n     "), want)
		}
	}
}

// Guards against a panic, and against a fault that an operator sees cut at a line end: any bytes are parsed, and each
// fault is one line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(DefaultText()))
	f.Add([]byte("[log]\nlevel=\"\"\"x\ny\"\"\"\n"))
	f.Add([]byte("[results]\nbytes=1\\\n2MB\n"))
	f.Add([]byte("\"\n")) // the library's error names the line with its end
	f.Fuzz(func(t *testing.T, text []byte) {
		_, faults := Parse("x.ini", text)
		for _, fault := range faults {
			if line := fault.Error(); line == "" || strings.ContainsFunc(line, unicode.IsControl) {
				t.Errorf("%q is not one line", line)
			}
		}
	})
}
