package main

import (
	"bytes"
	"strings"
	"testing"
)

// The command line without the platform's file: exit statuses and the start of each output.
func TestCommands(t *testing.T) {
	good, bad := writeFile(t, "[log]\nlevel = warn\n"), writeFile(t, "[log]\nlevle = warn\n[nothing]\n")
	t.Setenv("EDGE_CONFIG", "")
	for name, c := range map[string]struct {
		args   []string
		status int
		out    string
		errs   string
	}{
		"version":         {[]string{"version"}, 0, "robinmast " + release, ""},
		"check, good":     {[]string{"check", "--config", good}, 0, "", ""},
		"check, bad":      {[]string{"check", "-c", bad}, 2, bad + ":2: [log] levle: unknown key; did you mean level?\n" + bad + ":3: [nothing] unknown section; expected one of log, results, pools, pool.*, control, together, comeback, store\n", ""},
		"check, no flag":  {[]string{"check"}, 2, "", `robinmast: required flag(s) "config" not set`},
		"run, bad":        {[]string{"run", "--config", bad}, 2, "", "robinmast: " + bad + ":2: [log] levle: unknown key"},
		"run, no file":    {[]string{"run", "--config", "/nowhere/x.ini"}, 2, "", "robinmast: read configuration: open /nowhere/x.ini"},
		"unknown command": {[]string{"rum"}, 2, "", `robinmast: unknown command "rum"`},
		"no platform":     {nil, 2, "", "robinmast: EDGE_CONFIG names no file"},
		"help":            {[]string{"--help"}, 0, "robinmast runs one node", ""},
		"completion":      {[]string{"completion", "bash"}, 0, "# bash completion", ""},
	} {
		var out, errs bytes.Buffer
		if status := execute(c.args, &out, &errs); status != c.status {
			t.Errorf("%s: status %d, want %d (%s)", name, status, c.status, errs.String())
		}
		if !strings.HasPrefix(out.String(), c.out) || c.out == "" && out.Len() > 0 {
			t.Errorf("%s: standard output %q, want %q", name, out.String(), c.out)
		}
		if !strings.HasPrefix(errs.String(), c.errs) || c.errs == "" && errs.Len() > 0 {
			t.Errorf("%s: standard error %q, want %q", name, errs.String(), c.errs)
		}
	}
}
