package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run runs the tool and returns its status and what it printed.
func run(in string, args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = execute(args, strings.NewReader(in), &o, &e)
	return status, o.String(), e.String()
}

// The commands must load, dump, verify, describe and compact a store; verify must find a damaged
// byte.
func TestStoreCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "s")
	in := `{"key":"b","value":"Mg=="}
{"key":"a","value":"MQ==","ttl":"1h"}

{"key64":"/wo=","value":""}
{"key":"b","value":"Mw=="}
`
	if st, out, errs := run(in, "store", "load", dir); st != 0 || out != "b\na\n/wo=\nb\n" || errs != "" {
		t.Fatalf("load: %d, %q, %q", st, out, errs)
	}
	st, out, errs := run("", "store", "dump", dir)
	lines := strings.Split(out, "\n")
	if st != 0 || errs != "" || len(lines) != 4 || !strings.HasPrefix(lines[0], `{"key":"a","value":"MQ==","ttl":"59m59.`) ||
		lines[1] != `{"key":"b","value":"Mw=="}` || lines[2] != `{"key64":"/wo=","value":""}` {
		t.Fatalf("dump: %d, %q, %q", st, out, errs)
	}
	other := filepath.Join(t.TempDir(), "s2")
	if st, _, errs := run(out, "store", "load", other); st != 0 {
		t.Fatalf("load of a dump: %s", errs)
	}
	if st, out, errs := run("", "store", "verify", dir); st != 0 || out != "" || errs != "" {
		t.Errorf("verify: %d, %q, %q", st, out, errs)
	}
	if st, out, _ := run("", "store", "info", dir); st != 0 || !strings.Contains(out, `"entries": 3`) {
		t.Errorf("info: %d, %q", st, out)
	}
	if st, out, errs := run("", "store", "compact", dir); st != 0 || !strings.Contains(out, "0 segments set aside") {
		t.Errorf("compact: %d, %q, %q", st, out, errs)
	}
	names, err := filepath.Glob(filepath.Join(dir, "*.pack"))
	if err != nil || len(names) != 1 {
		t.Fatalf("%v, %v", names, err)
	}
	b, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	b[len(b)/2] ^= 1
	if err := os.WriteFile(names[0], b, 0o600); err != nil {
		t.Fatal(err)
	}
	st, out, _ = run("", "store", "verify", dir)
	if st != 1 || !strings.HasPrefix(out, filepath.Base(names[0])+": offset ") || strings.Count(out, "\n") != 1 {
		t.Errorf("verify of damage: %d, %q", st, out)
	}
}

// Invalid input and a missing directory must lead to one line and status 2.
func TestStoreCommandsReject(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "s")
	for in, want := range map[string]string{
		`{"key":"a","value":"MQ=="}` + "\n{":                      "line 2: unexpected EOF",
		`{"key":"a"}`:                                             "line 1: no value",
		`{"value":"MQ=="}`:                                        "line 1: no key",
		`{"key":"a","key64":"AA==","value":"MQ=="}`:               "line 1: both key and key64",
		`{"key":"a","value":"!"}`:                                 "line 1: illegal base64 data at input byte 0",
		`{"key":"a","value":"MQ==","ttl":"soon"}`:                 `line 1: ttl "soon" is not a positive duration such as 30s`,
		`{"key":"a","value":"MQ==","tll":"1s"}`:                   `line 1: json: unknown field "tll"`,
		`{"key":"a","value":"MQ=="}{"key":"b"}`:                   "line 1: more than one value",
		`{"key":"` + strings.Repeat("k", 70000) + `","value":""}`: "line 1: key of 70000 bytes with a value of 0: larger than the store takes",
	} {
		st, _, errs := run(in, "store", "load", dir)
		if st != 2 || errs != "robinmastctl: "+want+"\n" {
			t.Errorf("%.60q: %d, %q, want %q", in, st, errs, want)
		}
	}
	for _, c := range []string{"dump", "verify", "info", "compact"} {
		if st, out, errs := run("", "store", c, filepath.Join(dir, "nowhere")); st != 2 || out != "" || strings.Count(errs, "\n") != 1 {
			t.Errorf("%s without a directory: %d, %q, %q", c, st, out, errs)
		}
	}
}
