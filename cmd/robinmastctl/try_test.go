package main

import (
	"bufio"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The command try must work in its shortest form with the node's program.
func TestTry(t *testing.T) {
	node := filepath.Join(t.TempDir(), "robinmast")
	if out, err := exec.Command("go", "build", "-o", node, "../robinmast").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	status, out, errs := run("", "try", "--seconds", "6", "--node", node, "--json", "--load", "2")
	if status != 0 || errs != "" {
		t.Fatalf("status %d, %s\n%s", status, errs, out)
	}
	lines := bufio.NewScanner(strings.NewReader(out))
	var phases []string
	var total outcomes
	var accounting accounting
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"adds_up"`) {
			if err := json.Unmarshal(lines.Bytes(), &accounting); err != nil {
				t.Fatal(err)
			}
			continue
		}
		var s second
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			t.Fatal(err)
		}
		phases = append(phases, s.Phase)
		total.Sent += s.Outcomes.Sent
		total.Refused += s.Outcomes.Refused
	}
	if strings.Join(phases, " ") != "calm calm overload overload crash crash" {
		t.Errorf("phases: %v", phases)
	}
	outcomes := accounting.Outcomes
	if !accounting.AddsUp || outcomes.Sent < 500 || outcomes.Sent < total.Sent || outcomes.Served == 0 ||
		outcomes.ConnectionLost == 0 || total.Refused == 0 {
		t.Errorf("accounting: %+v; sum of the seconds %+v", accounting, total)
	}
	if status, _, errs := run("", "try", "--seconds", "1"); status != 2 || strings.Count(errs, "\n") != 1 {
		t.Errorf("duration of one second: status %d, %q", status, errs)
	}
	if status, _, errs := run("", "try", "--node", "/nowhere/robinmast"); status != 2 || strings.Count(errs, "\n") != 1 {
		t.Errorf("missing program: status %d, %q", status, errs)
	}
}
