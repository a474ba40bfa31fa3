// This file owns the processes that a rehearsal starts: their files, their start,
// signals and end. It must never end a process that it did not start.

package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// starter starts children from one thread that lasts as long as they may: each of
// them is killed by the kernel should this process end, however it ends.
type starter struct {
	jobs chan func()
	done chan struct{}
}

func newStarter() *starter {
	s := &starter{jobs: make(chan func()), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		runtime.LockOSThread()
		for f := range s.jobs {
			f()
		}
	}()
	return s
}

func (s *starter) start(c *exec.Cmd) (err error) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ready := make(chan struct{})
	s.jobs <- func() { err = c.Start(); close(ready) }
	<-ready
	return err
}

func (s *starter) stop() { close(s.jobs); <-s.done }

// child is one process of ours, which may be started again.
type process struct {
	name    string
	program string
	args    []string
	env     []string
	logPath string // file that takes what it says
	starter *starter

	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{}
	shouldRun      bool          // nobody asked it to end
	crashes        int           // ends that nobody asked for
	pastCPU        time.Duration // of lives that ended
	stopThrottling context.CancelFunc
}

// start starts the process.
func (c *process) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the child has its own descriptor
	cmd := exec.Command(c.program, c.args...)
	cmd.Env = append(os.Environ(), c.env...)
	cmd.Stderr = log
	if err := c.starter.start(cmd); err != nil {
		return fmt.Errorf("%s: %w", c.name, err)
	}
	ended := make(chan struct{})
	c.cmd, c.ended, c.shouldRun = cmd, ended, true
	go func() { // ends with the child
		_ = cmd.Wait() // how it ended is told by wanted
		c.mu.Lock()
		if c.cmd == cmd {
			if c.shouldRun {
				c.crashes++
			}
			if s := cmd.ProcessState; s != nil {
				c.pastCPU += s.UserTime() + s.SystemTime()
			}
			c.cmd = nil
		}
		c.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal, if the process runs; one that ends it is no crash.
func (c *process) signal(sig syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		c.shouldRun = false
	}
	_ = c.cmd.Process.Signal(sig) // it may just have ended
}

// end ends the process at once and waits for that.
func (c *process) kill() {
	c.unthrottle()
	c.signal(syscall.SIGKILL)
	c.wait(10 * time.Second)
}

// leave asks the process to leave, and waits.
func (c *process) terminate(timeout time.Duration) {
	c.signal(syscall.SIGTERM)
	if !c.wait(timeout) {
		c.kill()
	}
}

func (c *process) wait(timeout time.Duration) bool {
	c.mu.Lock()
	ended, running := c.ended, c.cmd != nil
	c.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// hold lets the process run only a share of the time, until release.
func (c *process) throttle(share float64) {
	const period = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.stopThrottling = cancel
	c.mu.Unlock()
	go func() { // ends by release
		for ctx.Err() == nil {
			c.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration((1 - share) * float64(period)))
			c.signal(syscall.SIGCONT)
			time.Sleep(time.Duration(share * float64(period)))
		}
	}()
}

func (c *process) unthrottle() {
	c.mu.Lock()
	stop := c.stopThrottling
	c.stopThrottling = nil
	c.mu.Unlock()
	if stop != nil {
		stop()
		time.Sleep(25 * time.Millisecond)
	}
	c.signal(syscall.SIGCONT)
}

// used is the processor time of all its lives.
func (c *process) cpuTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return c.pastCPU
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		return c.pastCPU
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return c.pastCPU
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return c.pastCPU + time.Duration(user+system)*time.Second/100 // clock ticks, 100 a second on Linux
}

// memory is the resident size in kilobytes, 0 if it can't be told.
func (c *process) residentKB() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid)) // none: 0
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// holdAddr takes a port of loopback for a child and holds it, bound and not
// listening, so that nobody is given it for port 0 before the child listens there,
// nor while the child is away. It is free again once the file is closed.
func reserveAddr() (addr string, held *os.File, err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("hold a port: %w", err)
	}
	held = os.NewFile(uintptr(fd), "held port")
	err = errors.Join(
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), // the child's listener sets it too
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err2 := syscall.Getsockname(fd)
	in, ok := name.(*syscall.SockaddrInet4)
	if err = errors.Join(err, err2); err != nil || !ok {
		return "", nil, errors.Join(fmt.Errorf("hold a port: %w", err), held.Close())
	}
	return fmt.Sprintf("127.0.0.1:%d", in.Port), held, nil
}

// reachable waits until an address can be connected to.
func waitReachable(ctx context.Context, addr string, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			return c.Close()
		}
	}
	return errors.Join(ctx.Err(), fmt.Errorf("nobody listens at %s", addr))
}
