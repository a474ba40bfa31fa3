package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"robinmast/internal/standin"
)

var programs struct {
	once sync.Once
	dir  string
	err  error
}

// build builds the programs, once for all tests of the package, and returns the options to run them.
func build(t *testing.T) Options {
	t.Helper()
	programs.once.Do(func() {
		if programs.dir, programs.err = os.MkdirTemp("", "robinmast-programs-"); programs.err == nil {
			out, err := exec.Command("go", "build", "-o", programs.dir,
				"../../../cmd/robinmast", "../../../cmd/robinmast-control").CombinedOutput()
			if err != nil {
				programs.err = fmt.Errorf("%w: %s", err, out)
			}
		}
	})
	if programs.err != nil {
		t.Fatal(programs.err)
	}
	return Options{
		Node: filepath.Join(programs.dir, "robinmast"), Control: filepath.Join(programs.dir, "robinmast-control"),
	}
}

func TestMain(m *testing.M) {
	code := m.Run()
	_ = os.RemoveAll(programs.dir)
	os.Exit(code)
}

// scenario parses the text of a scenario.
func scenario(t *testing.T, text string) *Scenario {
	t.Helper()
	s, err := Parse(t.Name(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// run executes a scenario. A violated rule fails the test.
func run(t *testing.T, s *Scenario, opt Options) *Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Fleet.Seconds+60)*time.Second)
	defer cancel()
	if opt.LogDir == "" {
		opt.LogDir = t.ArtifactDir() // several plays of a test write to it in turn
	}
	r, err := Run(ctx, s, opt)
	if err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	r.Table(&table)
	t.Log(table.String())
	for _, b := range r.Violations() {
		t.Error(b)
	}
	return r
}

// Each fault of a link has its effect, and after its end a new connection works.
func TestLinkFaults(t *testing.T) {
	echo := standin.Listen(t)
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); _, _ = io.Copy(c, c) }()
		}
	}()
	exchange := func(c net.Conn, text string, timeout time.Duration) (string, error) {
		_ = c.SetDeadline(time.Now().Add(timeout))
		if _, err := io.WriteString(c, text); err != nil {
			return "", err
		}
		b := make([]byte, len(text))
		n, err := io.ReadFull(c, b)
		return string(b[:n]), err
	}
	isTimeout := func(err error) bool { var ne net.Error; return errors.As(err, &ne) && ne.Timeout() }
	for _, c := range []struct {
		name   string
		faults Faults
		check  func(t *testing.T, l *Link, old net.Conn)
	}{
		{"cut", Faults{CutUp: true, CutDown: true}, func(t *testing.T, l *Link, old net.Conn) {
			if _, err := exchange(old, "lost", 60*time.Millisecond); !isTimeout(err) {
				t.Errorf("bytes passed a link that is cut: %v", err)
			}
			l.SetFaults(Faults{})
			b := make([]byte, 4) // bytes in transit arrive when the fault ends
			_ = old.SetDeadline(time.Now().Add(2 * time.Second))
			if _, err := io.ReadFull(old, b); err != nil || string(b) != "lost" {
				t.Errorf("after the fault: %q, %v", b, err)
			}
		}},
		{"cut one way", Faults{CutDown: true}, func(t *testing.T, l *Link, old net.Conn) {
			if _, err := exchange(old, "gone", 60*time.Millisecond); !isTimeout(err) {
				t.Errorf("bytes passed a direction that is cut: %v", err)
			}
		}},
		{"delay", Faults{Delay: 60 * time.Millisecond, Jitter: 20 * time.Millisecond}, func(t *testing.T, l *Link, old net.Conn) {
			began := time.Now()
			if _, err := exchange(old, "slow", 2*time.Second); err != nil || time.Since(began) < 120*time.Millisecond {
				t.Errorf("answered after %v, %v; want at least 120 ms", time.Since(began), err)
			}
		}},
		{"throttle", Faults{BytesPerSecond: 10_000}, func(t *testing.T, l *Link, old net.Conn) {
			began := time.Now()
			_, err := exchange(old, strings.Repeat("x", 2000), 5*time.Second)
			if err != nil || time.Since(began) < 300*time.Millisecond {
				t.Errorf("2,000 bytes each way at 10,000 a second took %v, %v", time.Since(began), err)
			}
		}},
		{"mid message", Faults{StopAfter: 3} /* one byte has passed already */, func(t *testing.T, l *Link, old net.Conn) {
			if got, err := exchange(old, "halves", 100*time.Millisecond); got != "ha" || !isTimeout(err) {
				t.Errorf("got %q, %v", got, err)
			}
		}},
		{"reset", Faults{Reset: true}, func(t *testing.T, l *Link, old net.Conn) {
			if _, err := exchange(old, "late", time.Second); err == nil || isTimeout(err) {
				t.Errorf("an open connection: %v", err)
			}
			if c, err := net.Dial("tcp", l.Addr()); err == nil {
				if _, err := exchange(c, "new", time.Second); err == nil || isTimeout(err) {
					t.Errorf("a new connection: %v", err)
				}
				c.Close()
			}
		}},
		{"half open", Faults{HalfOpen: true}, func(t *testing.T, l *Link, old net.Conn) {
			if _, err := exchange(old, "dead", 60*time.Millisecond); !isTimeout(err) {
				t.Errorf("the client was notified: %v", err)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := NewLink(echo.Addr().String(), 1)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			conn, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if got, err := exchange(conn, "a", time.Second); got != "a" || err != nil {
				t.Fatalf("before the fault: %q, %v", got, err)
			}
			l.SetFaults(c.faults)
			c.check(t, l, conn)
			l.SetFaults(Faults{})
			after, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer after.Close()
			if got, err := exchange(after, "well", 2*time.Second); got != "well" || err != nil {
				t.Errorf("a new connection after the fault: %q, %v", got, err)
			}
		})
	}
}

// The same seed gives the same schedule and another seed another one. The load is that of the scenario.
func TestScheduleDependsOnSeed(t *testing.T) {
	schedule := func(seed uint64) string {
		s := Defaults()
		s.Name, s.Fleet.Seed = "x", seed
		s.Classes = []ClassSection{{
			Name: "a", Share: 1, WorkMs: 20, Utility: 1, LatencyTarget: time.Second, Deadline: time.Second, Effect: "safe",
		}}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		text, n := "", 0
		for a := range s.arrivals {
			if n++; n%50 == 0 {
				text += fmt.Sprint(a)
			}
		}
		if rate := float64(n) / float64(s.Fleet.Seconds) / s.capacity(); rate < 0.85 || rate > 0.95 {
			t.Errorf("load %.3f, want 0.9", rate)
		}
		return text
	}
	one := schedule(1)
	if again := schedule(1); again != one {
		t.Error("the same seed gave two schedules")
	}
	if one == schedule(2) {
		t.Error("two seeds gave one schedule")
	}
}

// Errors of an invalid scenario name file, line and key. All scenarios in rehearsals are valid.
func TestScenarioFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[fleet]\nnodes = 99":                           "f.ini:2: [fleet] nodes: 99 is not between 1 and 24",
		"[fleet]\nnods = 3":                             "f.ini:2: [fleet] nods: unknown key; valid keys are nodes",
		"[fleet]\nnodes = six":                          "f.ini:2: [fleet] nodes: invalid value \"six\"",
		"[flet]\n":                                      "f.ini:1: [flet]",
		"[load]\nsteps = 0s 0.9, 1s":                    "f.ini:2: [load] steps: \"1s\" is not a time and a load",
		"[fault.a]\nat = 1s\nwhat = kill\non = nodes:7": "f.ini:4: [fault.a] on: \"7\" is not one of the 6 nodes",
		"[fault.a]\nat = 1s\nwhat = squeeze\nfactor = 1.5\non = nodes:1":             "f.ini:4: [fault.a] factor: 1.5 is not between 0.05 and 1",
		"[fault.a]\nat = 1s\nwhat = slow\nfactor = -1\non = nodes:1":                 "f.ini:4: [fault.a] factor: -1 is not between 0.1 and 1000",
		"[fault.a]\nat = 1s\nwhat = cut\nlink = nodes":                               "f.ini:4: [fault.a] link: \"nodes\" is not a link",
		"[fault.a]\nat = 1s\nfor=2s\ntimes=2\nevery=1s\nwhat = kill\non = nodes:1.0": "f.ini:5: [fault.a] every: 1s is too short",
		"[fleet]\ntogether = told":                                                   "f.ini:2: [fleet] together: told requires control",
		"[class.a]\nshare = 0.5":                                                     "f.ini:2: [class.a] share: the classes' shares add up to 0.5",
	} {
		if _, err := Parse("f.ini", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v\nwanted %s", text, err, want)
		}
	}
	shipped, _ := filepath.Glob("../../../rehearsals/*.ini")
	if len(shipped) == 0 {
		t.Error("there are no scenarios in rehearsals")
	}
	for _, path := range shipped {
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
}

// A third of the nodes crash, with keyed requests in flight. The report shows the loss, no rule is violated
// and no process is left behind.
func TestThirdOfNodesCrash(t *testing.T) {
	opt := build(t)
	var pids []string
	opt.OnStarted = func(f *Fleet) {
		for _, n := range f.nodes {
			pids = append(pids, fmt.Sprint(n.process.cmd.Process.Pid))
		}
	}
	r := runUndisturbed(t, scenario(t, `
[fleet]
nodes = 3
cores = 1
seconds = 6
[load]
steps = 0s 0.6
[class.step]
share = 0.7
[class.order]
share = 0.3
effect = keyed
[fault.crash]
at = 2s
for = 1s
what = kill
on = nodes:0.333
`), opt)
	if r.UtilityDuring > 0.95*r.UtilityBefore {
		t.Errorf("utility %.0f a second during the crash, %.0f before: no loss in the report",
			r.UtilityDuring, r.UtilityBefore)
	}
	if n := r.Tally.Tries[connectionLost] + r.Tally.Tries[unreachable]; n == 0 {
		t.Error("no try was affected by the crash")
	}
	sum := 0
	for _, n := range r.Tally.Requests {
		sum += n
	}
	if sum == 0 || sum > r.Tally.Started {
		t.Errorf("%d requests ended of %d started", sum, r.Tally.Started)
	}
	for _, pid := range pids {
		if _, err := os.Stat("/proc/" + pid); err == nil {
			t.Errorf("process %s is left behind", pid)
		}
	}
}

// A report lists violated rules, and measures utility and recovery around faults.
func TestReportViolations(t *testing.T) {
	r := &Report{Tally: tally{Unanswered: 1, DuplicateAnswers: 2}, RanTwice: 3}
	got := strings.Join(r.Violations(), "; ")
	if !strings.Contains(got, "1 tries") || !strings.Contains(got, "2 answers") || !strings.Contains(got, "3 keyed") {
		t.Errorf("violations: %q", got)
	}
	r = &Report{FaultMarks: []FaultMark{{At: 1, Begins: true}, {At: 2}}}
	for i := range 50 { // utility 10 in each sample, none from 1 to 3.5 s
		r.samples = append(r.samples, map[bool]float64{true: 0, false: 10}[i >= 10 && i < 35])
	}
	if r.measureRecovery(); r.RecoveryTime != 1.5 || r.UtilityBefore != 100 || r.UtilityDuring != 0 {
		t.Errorf("recovery time %v s, utility before %v, during %v", r.RecoveryTime, r.UtilityBefore, r.UtilityDuring)
	}
}

// A process can listen on its reserved port again after a restart, and the port refuses connections meanwhile.
func TestReservedPorts(t *testing.T) {
	addr, port, err := reserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	for range 2 { // the second time as after a restart
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatalf("listen on a reserved port: %v", err)
		}
		if err := ln.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("a connection to a reserved port was accepted")
	}
}

// A cancelled rehearsal returns the context's error, and leaves no process and no directory behind.
func TestCancelledRun(t *testing.T) {
	opt := build(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var f *Fleet
	var pids []string
	opt.OnStarted = func(x *Fleet) {
		f = x
		for _, n := range x.nodes {
			pids = append(pids, fmt.Sprint(n.process.cmd.Process.Pid))
		}
		time.AfterFunc(500*time.Millisecond, cancel)
	}
	s := scenario(t, "[fleet]\nnodes = 2\ncores = 1\nseconds = 60\ncontrol = 1\n")
	if _, err := Run(ctx, s, opt); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled rehearsal: %v", err)
	}
	for _, pid := range pids {
		if _, err := os.Stat("/proc/" + pid); err == nil {
			t.Errorf("process %s is left behind", pid)
		}
	}
	if _, err := os.Stat(f.dir); !errors.Is(err, os.ErrNotExist) || len(pids) != 2 {
		t.Errorf("%d nodes ran; their directory: %v", len(pids), err)
	}
}
