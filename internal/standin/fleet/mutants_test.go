package fleet

import (
	"encoding/json"
	"fmt"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// mutant is a change of the source that switches off one defence. check runs a scenario with the given
// programs and reports whether the defence works, and what it measured.
type mutant struct {
	name, file, from, to string
	check                func(t *testing.T, opt Options) (bool, string)
}

var mutants = []mutant{
	{
		"no queue timeout check", "decide/shedding/shedding.go",
		"return m.QueueDelay(max(ahead, 0), utility) >",
		"return false && m.QueueDelay(max(ahead, 0), utility) >", refusedPromptly,
	},
	{
		"no refusal stops retries", "decide/shedding/shedding.go",
		"if m.stopRemainder += share; m.stopRemainder >= 1 {",
		"if m.stopRemainder += 0 * share; m.stopRemainder >= 1 {", retriesAreStopped,
	},
	{
		"every refusal stops retries", "decide/shedding/shedding.go",
		"if m.stopRemainder += share; m.stopRemainder >= 1 {",
		"if m.stopRemainder += 1 + 0*share; m.stopRemainder >= 1 {", retriesContinue,
	},
	{
		"digests never expire", "decide/shedding/digest.go",
		"age := now - m.digestAsOf\n",
		"age := 0 * (now - m.digestAsOf)\n", digestsExpire,
	},
	{
		"waits are not random", "decide/backoff/backoff.go",
		"wait += time.Duration(b.random.Int64N(int64(over) + 1))",
		"wait += over", reconnectsSpread,
	},
	{
		"nothing is in doubt", "decide/recovery/storecheck.go",
		"if effect == rules.Safe {\n\t\treturn false\n\t}\n\tsince",
		"if effect <= 99 {\n\t\treturn false\n\t}\n\tsince", lostResultsAreInDoubt,
	},
	{
		"checkpoints are ignored", "decide/recovery/storecheck.go",
		"case previous.Checkpoint > c.found.Checkpoint.N:",
		"case false && previous.Checkpoint > c.found.Checkpoint.N:", oldCopyIsDetected,
	},
	{
		"no loss is an event", "decide/recovery/eventdetector.go",
		"float64(len(lost)) > minLostShare*",
		"float64(len(lost)) > 99*minLostShare*", eventIsRecorded,
	},
}

// The long test below runs rarely. This one fails as soon as a change of the source leaves a mutant
// without the text that it replaces, or with more than one place for it.
func TestMutantsMatchSource(t *testing.T) {
	for _, m := range mutants {
		path := filepath.Join("../../..", filepath.FromSlash(m.file))
		source, err := os.ReadFile(path)
		if err != nil {
			t.Errorf("%s: %v", m.name, err)
			continue
		}
		if n := strings.Count(string(source), m.from); n != 1 {
			t.Errorf("%s: %s has %q %d times, want once", m.name, m.file, m.from, n)
		}
		changed := strings.Replace(string(source), m.from, m.to, 1)
		if changed == string(source) {
			t.Errorf("%s: the mutant does not change %s", m.name, m.file)
		}
		if _, err := parser.ParseFile(token.NewFileSet(), m.file, changed, 0); err != nil {
			t.Errorf("%s: the changed source does not parse: %v", m.name, err)
		}
	}
}

// Each check passes with the unchanged programs and fails with its defence switched off. The test needs
// -fleet.long, as it builds the programs for each mutant.
func TestMutantsFail(t *testing.T) {
	if !*fullSize {
		t.Skip("needs -fleet.long: builds and runs every mutant")
	}
	unchanged := build(t)
	root, err := filepath.Abs("../../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			if ok, measured := m.check(t, unchanged); !ok {
				t.Errorf("the check fails with the defence: %s", measured)
			}
			dir := t.TempDir()
			path := filepath.Join(root, filepath.FromSlash(m.file))
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(text), m.from) != 1 {
				t.Fatalf("%s does not have %q exactly once: the mutant is out of date", m.file, m.from)
			}
			changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
			list, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
			if err != nil {
				t.Fatal(err)
			}
			for file, text := range map[string][]byte{
				changed: []byte(strings.Replace(string(text), m.from, m.to, 1)),
				overlay: list,
			} {
				if err := os.WriteFile(file, text, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			out, err := exec.Command("go", "build", "-overlay", overlay, "-o", dir,
				"../../../cmd/robinmast", "../../../cmd/robinmast-control").CombinedOutput()
			if err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			ok, measured := m.check(t, Options{
				Node: filepath.Join(dir, "robinmast"), Control: filepath.Join(dir, "robinmast-control"),
			})
			if ok {
				t.Errorf("the check passes without the defence: %s", measured)
			}
			t.Log(measured)
		})
	}
}

func refusedPromptly(t *testing.T, opt Options) (bool, string) {
	r := run(t, scenario(t, "[fleet]\nnodes = 3\nseconds = 7\ntogether = alone\n"+
		"[load]\nsteps = 0s 0.5, 1s 1.6\n[dispatchers]\nwalk = 2\n"+twoClasses), opt)
	return r.PromptRefusalShare > 0.75,
		fmt.Sprintf("%.3f of refused first tries answered within 20 ms", r.PromptRefusalShare)
}

func retriesAreStopped(t *testing.T, opt Options) (bool, string) {
	r := run(t, scenario(t, "[fleet]\nnodes = 4\nseconds = 9\ntogether = alone\n"+
		"[load]\nsteps = 0s 0.5, 2s 3\n[dispatchers]\nwalk = 3\n"+twoClasses), opt)
	over, _ := r.Between(4, 9)
	stopped := float64(over.StoppedRetries) / float64(max(over.Tries[refused], 1))
	return stopped > 0.1,
		fmt.Sprintf("%.2f of the refusals stop retries at three times the capacity, %.3f tries per first try",
			stopped, over.triesPerFirstTry())
}

func retriesContinue(t *testing.T, opt Options) (bool, string) {
	r := run(t, scenario(t, "[fleet]\nnodes = 3\nseconds = 7\ntogether = alone\n"+
		"[load]\nsteps = 0s 0.5\n[dispatchers]\nwalk = 2\n"+
		"[fault.full]\nat = 1s\nfor = 6s\nwhat = slow\nfactor = 6\non = nodes:1\n"+twoClasses), opt)
	stopped := float64(r.Tally.StoppedRetries) / float64(max(r.Tally.Tries[refused], 1))
	return stopped < 0.1,
		fmt.Sprintf("%.2f of %d refusals by the one overloaded node stop retries", stopped, r.Tally.Tries[refused])
}

func digestsExpire(t *testing.T, opt Options) (bool, string) {
	s := scenario(t, "[fleet]\nnodes = 3\nseconds = 10\ntogether = told\ncontrol = 1\n"+
		"[load]\nsteps = 0s 2, 5s 0.35\n[dispatchers]\nwalk = 2\nheed = 0\n"+
		"[fault.killed]\nat = 4s\nfor = 6s\nwhat = kill\non = control\n"+
		"[fault.full]\nat = 7s\nfor = 3s\nwhat = slow\nfactor = 8\non = nodes:1\n"+twoClasses)
	r := run(t, s, opt)
	late, _ := r.Between(8, 10)
	stopped := float64(late.StoppedRetries) / float64(max(late.Tries[refused], 1))
	return stopped < 0.2,
		fmt.Sprintf("%.2f of %d refusals stop retries long after the digest expired", stopped, late.Tries[refused])
}

func reconnectsSpread(t *testing.T, opt Options) (bool, string) {
	s := scenario(t, "[fleet]\nnodes = 6\ncores = 1\nseconds = 10\ncontrol = 1\n[load]\nsteps = 0s 0.2\n"+
		"[fault.lost]\nat = 1s\nfor = 4s\nwhat = kill\non = control\n")
	opt.LogDir = t.TempDir()
	run(t, s, opt)
	spread := reconnectSpread(t, opt.LogDir, 6)
	return spread.Seconds() > 0.3, fmt.Sprintf("six nodes reconnect within %v", spread)
}

func lostResultsAreInDoubt(t *testing.T, opt Options) (bool, string) {
	r := run(t, scenario(t, fmt.Sprintf(lostResults, 1, "on", "empty")), opt)
	return r.RanAgainAfterRestart == 0, fmt.Sprintf("%d keyed requests ran again", r.RanAgainAfterRestart)
}

func oldCopyIsDetected(t *testing.T, opt Options) (bool, string) {
	opt.LogDir = t.TempDir()
	run(t, scenario(t, fmt.Sprintf(lostResults, 1, "on", "old")), opt)
	logged := matchingLines(nodeLog(t, opt.LogDir, 0), "memory lost")
	return logged != "", "the node logged " + logged
}

func eventIsRecorded(t *testing.T, opt Options) (bool, string) {
	opt.LogDir = t.TempDir()
	run(t, scenario(t, "[fleet]\nnodes = 4\ncontrol = 1\ncomeback = on\nseconds = 8\n[load]\nsteps = 0s 0.4\n"+
		"[fault.killed]\nat = 3s\nfor = 1s\nwhat = kill\non = nodes:0.5\n"+twoClasses), opt)
	text, err := os.ReadFile(filepath.Join(opt.LogDir, "control1.log"))
	if err != nil {
		t.Fatal(err)
	}
	logged := matchingLines(string(text), "event 1 started")
	return logged != "", "the control service logged " + logged
}
