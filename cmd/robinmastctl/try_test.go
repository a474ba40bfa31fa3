package main

import (
	"bufio"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The play of try, in its shortest form, with the real node.
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
		t.Errorf("parts: %v", phases)
	}
	outcomes := accounting.Outcomes
	if !accounting.AddsUp || outcomes.Sent < 500 || outcomes.Sent < total.Sent || outcomes.Served == 0 || outcomes.ConnectionLost == 0 || total.Refused == 0 {
		t.Errorf("accounting: %+v; by seconds %+v", accounting, total)
	}
	if status, _, errs := run("", "try", "--seconds", "1"); status != 2 || strings.Count(errs, "\n") != 1 {
		t.Errorf("one second: %d, %q", status, errs)
	}
	if status, _, errs := run("", "try", "--node", "/nowhere/robinmast"); status != 2 || strings.Count(errs, "\n") != 1 {
		t.Errorf("no node: %d, %q", status, errs)
	}
}
