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

// starter starts processes from one locked thread. The kernel kills them when that thread ends, so they
// do not outlive this program however it ends.
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

// start starts c and returns when it has started or failed to.
func (s *starter) start(c *exec.Cmd) (err error) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ready := make(chan struct{})
	s.jobs <- func() { err = c.Start(); close(ready) }
	<-ready
	return err
}

// stop ends the thread, and with it all processes that it started.
func (s *starter) stop() { close(s.jobs); <-s.done }

// process is a program that the rehearsal starts, and may start again after its end. Its methods may be
// called by any goroutine.
type process struct {
	name    string
	program string
	args    []string
	env     []string
	logPath string // file that standard error is appended to
	starter *starter

	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
	shouldRun      bool               // an exit while it is set is a crash
	crashes        int                // exits that were not requested
	pastCPU        time.Duration      // processor time of earlier incarnations
	stopThrottling context.CancelFunc // nil if not throttled
}

// start starts the process unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	cmd := exec.Command(p.program, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stderr = log
	if err := p.starter.start(cmd); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.exited, p.shouldRun = cmd, ended, true
	go func() { // ends with the process
		_ = cmd.Wait() // whether the exit was a crash follows from shouldRun
		p.mu.Lock()
		if p.cmd == cmd {
			if p.shouldRun {
				p.crashes++
			}
			if s := cmd.ProcessState; s != nil {
				p.pastCPU += s.UserTime() + s.SystemTime()
			}
			p.cmd = nil
		}
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal if the process runs. An exit after SIGKILL or SIGTERM does not count as a crash.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.shouldRun = false
	}
	_ = p.cmd.Process.Signal(sig) // it may have exited meanwhile
}

// kill kills the process and waits for its exit, 10 s at most.
func (p *process) kill() {
	p.unthrottle()
	p.signal(syscall.SIGKILL)
	p.wait(10 * time.Second)
}

// terminate asks the process to exit, and kills it if it has not after timeout.
func (p *process) terminate(timeout time.Duration) {
	p.signal(syscall.SIGTERM)
	if !p.wait(timeout) {
		p.kill()
	}
}

// wait waits for the process's exit and reports whether it came within timeout.
func (p *process) wait(timeout time.Duration) bool {
	p.mu.Lock()
	ended, running := p.exited, p.cmd != nil
	p.mu.Unlock()
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

// throttle lets the process run only a share of the time, until unthrottle: it alternates between
// SIGSTOP and SIGCONT.
func (p *process) throttle(share float64) {
	const period = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	p.mu.Lock()
	p.stopThrottling = cancel
	p.mu.Unlock()
	go func() { // ended by unthrottle
		for ctx.Err() == nil {
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration((1 - share) * float64(period)))
			p.signal(syscall.SIGCONT)
			time.Sleep(time.Duration(share * float64(period)))
		}
	}()
}

// unthrottle ends throttle, and waits until its goroutine can send no further SIGSTOP.
func (p *process) unthrottle() {
	p.mu.Lock()
	stop := p.stopThrottling
	p.stopThrottling = nil
	p.mu.Unlock()
	if stop != nil {
		stop()
		time.Sleep(25 * time.Millisecond)
	}
	p.signal(syscall.SIGCONT)
}

// cpuTime returns the processor time of all incarnations of the process.
func (p *process) cpuTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return p.pastCPU
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return p.pastCPU
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return p.pastCPU
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return p.pastCPU + time.Duration(user+system)*time.Second/100 // Linux reports 100 clock ticks a second
}

// residentKB returns the resident memory in kilobytes, 0 if it is unknown.
func (p *process) residentKB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid)) // no text gives 0
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// reserveAddr reserves a loopback port for a process. The port is bound but not listening, so the kernel
// assigns it to nobody who asks for port 0 before the process listens on it or while the process is
// down. Closing the file frees the port.
func reserveAddr() (addr string, port *os.File, err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("reserve port: %w", err)
	}
	port = os.NewFile(uintptr(fd), "reserved port")
	err = errors.Join(
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), // the process's listener sets it too
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err2 := syscall.Getsockname(fd)
	in, ok := name.(*syscall.SockaddrInet4)
	if err = errors.Join(err, err2); err != nil || !ok {
		return "", nil, errors.Join(fmt.Errorf("reserve port: %w", err), port.Close())
	}
	return fmt.Sprintf("127.0.0.1:%d", in.Port), port, nil
}

// waitReachable waits until an address accepts connections.
func waitReachable(ctx context.Context, addr string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for ; time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			return c.Close()
		}
	}
	return errors.Join(ctx.Err(), fmt.Errorf("%s accepts no connections after %s", addr, timeout))
}
