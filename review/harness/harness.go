// Package harness has what the cases of the second review share: starting the project's programs as separate
// processes with the commands of the deploy file, free ports, a temporary folder, the record of a run and a TCP proxy
// that can be cut. A case ends all processes that it started and exits with 0 (the rule held), 1 (it was broken) or
// 2 (the case could not run).
package harness

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxRunTime ends a case that does not end by itself.
const maxRunTime = 110 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // the disruption happens
	Dir     string // temporary folder

	began time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*Process
	broken    []string
}

// failure ends a case that could not run.
type failure struct{ err error }

// Main runs a case and exits. The first argument of the program is the folder of the case; it must run in the root
// of the repository, where the deploy file is.
func Main(run func(*Case)) {
	os.Exit(start(run))
}

// start runs a case and returns its exit status.
func start(run func(*Case)) (status int) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "the folder of the case is missing")
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, record: record, began: time.Now()}
	defer func() {
		p := recover()
		c.endProcesses()
		f, failed := p.(failure)
		switch {
		case p == nil:
		case failed:
			c.Logf("the case could not run: %v", f.err)
			c.copyLogs()
			status = 2
		default:
			c.Logf("the case could not run: panic: %v", p)
			status = 2
		}
	}()
	watchdog := time.AfterFunc(maxRunTime, func() {
		c.Logf("the case could not run: it took over %v", maxRunTime)
		c.endProcesses()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	})
	defer watchdog.Stop()
	c.Logf("trouble: %v", c.Trouble)
	run(c)
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if len(broken) > 0 {
		c.Logf("result: the rule was broken: %s", strings.Join(broken, "; "))
		return 1
	}
	c.Logf("result: the rule held")
	return 0
}

// Logf writes a line to the record and to standard output.
func (c *Case) Logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.record.WriteString(line)
	fmt.Print(line)
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Logf("BROKEN: %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}

// Must ends the case with status 2 if err is not nil.
func (c *Case) Must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// Fail ends the case with status 2.
func (c *Case) Fail(format string, args ...any) {
	panic(failure{fmt.Errorf(format, args...)})
}

// Eventually waits until ok returns true, and ends the case with status 2 after limit.
func (c *Case) Eventually(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fail("timed out waiting for: %s", what)
		}
	}
}

// WriteFile writes a file in the temporary folder and returns its path.
func (c *Case) WriteFile(name, text string) string {
	path := filepath.Join(c.Dir, name)
	c.Must(os.MkdirAll(filepath.Dir(path), 0o700))
	c.Must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// FreeAddress returns a loopback address on which nothing listens now.
func (c *Case) FreeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// DeployCommand returns a command of the deploy file, such as that of the key "run".
func (c *Case) DeployCommand(key string) string {
	text, err := os.ReadFile("deploy/balancer.toml")
	c.Must(err)
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, key+" = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command
		}
	}
	c.Fail("deploy/balancer.toml has no key %q", key)
	return ""
}

// Process is a process that the case started.
type Process struct {
	Name string

	c       *Case
	cmd     *exec.Cmd
	logPath string
	done    chan struct{}
}

// Start starts a command of the shell as a process of its own. Its output goes to a log in the temporary folder.
func (c *Case) Start(name, command string, env ...string) *Process {
	p := &Process{Name: name, c: c, done: make(chan struct{}), logPath: filepath.Join(c.Dir, name+".log")}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Must(err)
	defer out.Close()
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	c.Must(p.cmd.Start())
	c.Logf("%s: started: %s (process %d)", name, command, p.cmd.Process.Pid)
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.c.Logf("%s: signal: %v", p.Name, s)
	_ = p.cmd.Process.Signal(s)
}

// Wait waits for the end of the process, and reports whether it came within limit.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool { return p.Wait(0) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if !p.Ended() {
		p.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// Log returns what the process has logged.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		p.c.Must(err)
	}
	return string(text)
}

// CopyLog copies the lines of the process's log that contain one of the words to the record.
func (p *Process) CopyLog(words ...string) {
	for _, line := range strings.Split(p.Log(), "\n") {
		for _, w := range words {
			if strings.Contains(line, w) {
				p.c.Logf("%s: log: %s", p.Name, line)
				break
			}
		}
	}
}

// endProcesses ends all processes that the case started.
func (c *Case) endProcesses() {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// copyLogs copies the last lines of all processes' logs to the record.
func (c *Case) copyLogs() {
	const lines = 12
	for _, p := range c.processes {
		all := strings.Split(strings.TrimSpace(p.Log()), "\n")
		for _, line := range all[max(len(all)-lines, 0):] {
			c.Logf("%s: log: %s", p.Name, line)
		}
	}
}
