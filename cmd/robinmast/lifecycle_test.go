package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"robinmast/internal/standin"
	testplatform "robinmast/internal/standin/platform"
)

// The tests of this file run the whole program like the platform does and check only what is
// visible from outside: its log, its exit status and its sockets.

// process is the whole program, started with one configuration.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	out    *lockedBuffer
	exited chan error
}

func launch(t *testing.T, config string) *process {
	t.Helper()
	p := &process{t: t, out: &lockedBuffer{}, exited: make(chan error, 1)}
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), "ROBINMAST_AS_MAIN=1", "EDGE_CONFIG="+config)
	p.cmd.Stderr = p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // it may have ended
	return p
}

// waitForLog waits until the log contains what.
func (p *process) waitForLog(what string) {
	p.t.Helper()
	standin.Eventually(p.t, "the log line "+what, func() bool { return strings.Contains(p.out.String(), what) })
}

func (p *process) signal(all ...syscall.Signal) {
	p.t.Helper()
	for _, sig := range all {
		if err := p.cmd.Process.Signal(sig); err != nil {
			p.t.Fatal(err)
		}
	}
}

// waitForExit waits for the exit, which must have status 0 and come within timeout.
func (p *process) waitForExit(timeout time.Duration) {
	p.t.Helper()
	began := time.Now()
	select {
	case err := <-p.exited:
		if d := time.Since(began); err != nil || d > timeout {
			p.t.Errorf("exit %v after %v: %s", err, d, p.out.String())
		}
	case <-time.After(15 * time.Second):
		p.t.Fatalf("does not exit: %s", p.out.String())
	}
}

var addresses atomic.Int64

// ownAddress returns an address that no other test uses.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.85.%d.%d:%d", pid>>7&0x7f, pid&0x7f+1, 9000+addresses.Add(1))
}

// startEnvironment starts a worker pool, whose runs take as many milliseconds as their bodies
// say, and a membership service, and writes a configuration with their addresses.
func startEnvironment(t *testing.T, listen string, more ...string) (pool *testplatform.Pool, config string) {
	t.Helper()
	pool, members := startPeers(t, 8, 0, func(r testplatform.Run) (float64, string, []byte) {
		var ms float64
		fmt.Sscan(string(r.Body), &ms)
		return ms, "complete", []byte(fmt.Sprintf("%s ran %s", r.ID, r.Body))
	})
	return pool, writeFile(t, configText(listen, pool.Addr(), members.Addr(), more...))
}

// configText returns goodConfig with the given addresses and further replacements.
func configText(listen, pool, members string, more ...string) string {
	return strings.NewReplacer(append([]string{"127.0.0.1:8080", listen, "127.0.0.1:4400", pool, "127.0.0.1:2379", members,
		`"cpus":2`, `"cpus":8`, `"aimMs":1000`, `"aimMs":3000`}, more...)...).Replace(goodConfig)
}

// unresponsiveServer accepts connections, reads, and never answers.
func unresponsiveServer(t *testing.T) string {
	t.Helper()
	return standin.Serve(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
}

// launchWithPortHeld starts the program while its port is held, and waits until it logs that.
func launchWithPortHeld(t *testing.T) (addr string, previous net.Listener, p *process) {
	t.Helper()
	addr = ownAddress()
	previous, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { previous.Close() })
	_, config := startEnvironment(t, addr)
	p = launch(t, config)
	p.waitForLog("another process holds the address")
	return addr, previous, p
}

// A previous process still holds the port: the new one logs that it waits, and serves as soon
// as the port is free.
func TestPortStillHeld(t *testing.T) {
	addr, previous, p := launchWithPortHeld(t)
	previous.Close()
	p.waitForLog("worker pool bound")
	d := standin.Dial(t, addr)
	d.Send("RPC.HEALTH", "1", "")
	if got := d.Receive(); !strings.HasPrefix(got, "1 GREEN") {
		t.Errorf("%q", got)
	}
	d.Close()
	p.signal(syscall.SIGTERM)
	p.waitForExit(3200 * time.Millisecond)
}

// The notice to leave arrives before the node listens: it exits at once with status 0.
func TestNoticeBeforeListening(t *testing.T) {
	_, _, p := launchWithPortHeld(t)
	p.signal(syscall.SIGTERM)
	p.waitForExit(3 * time.Second) // a program built with -race takes a second longer to exit
	p.waitForLog("notice to leave before the node listened")
}

// The worker pool and the membership service never answer, and reading the new configuration
// blocks, when the notice to leave arrives twice with other signals between. Each request that
// was read is answered once, and the program exits in time with status 0.
func TestNoticeWhileAllHangs(t *testing.T) {
	addr := ownAddress()
	config := writeFile(t, configText(addr, unresponsiveServer(t), unresponsiveServer(t)))
	p := launch(t, config)
	p.waitForLog("node started")
	d, idle := standin.Dial(t, addr), standin.Dial(t, addr)
	for tag := 1; tag <= 3; tag++ {
		d.Send("RPC.CALL", fmt.Sprint(tag), "read", fmt.Sprintf("txn=%016x,door=%d,lb=1,team=acme,limit=9000,ram=10,standing=0.5", tag, time.Now().UnixMilli()), "5")
	}
	for _, c := range []*standin.Dispatcher{idle, d} { // so that all was read
		c.Send("RPC.HEALTH", "9", "")
		if got := c.Receive(); !strings.HasPrefix(got, "9 ") {
			t.Fatalf("%q", got)
		}
	}
	pipe := filepath.Join(filepath.Dir(config), "pipe")
	if err := errors.Join(syscall.Mkfifo(pipe, 0o600), os.Rename(pipe, config)); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM)
	p.waitForLog("notice to leave")
	p.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGINT)
	answers := map[string]int{}
	for {
		got := d.Receive()
		if got == "EOF" {
			break
		}
		tag, word, _ := strings.Cut(got, " ")
		answers[tag]++
		if tag != "0" && !strings.HasPrefix(word, "NAK") && !strings.HasPrefix(word, "FAIL") {
			t.Errorf("%q", got)
		}
	}
	for _, tag := range []string{"0", "1", "2", "3"} {
		if answers[tag] != 1 {
			t.Errorf("%d answers to %s", answers[tag], tag)
		}
	}
	p.waitForExit(3200 * time.Millisecond)
	if s := p.out.String(); strings.Count(s, "msg=\"notice to leave\"") != 1 {
		t.Errorf("the notice to leave is logged more than once: %s", s)
	}
}

// Guards against a notice to leave that other signals displace, so that the platform kills the node with requests
// open: the notice comes once, amid a flood of signals that fills their channel.
func TestNoticeAmidOtherSignals(t *testing.T) {
	addr := ownAddress()
	_, config := startEnvironment(t, addr)
	p := launch(t, config)
	p.waitForLog("worker pool bound")
	stop := make(chan struct{})
	var flood sync.WaitGroup
	defer flood.Wait()
	defer close(stop)
	for range 4 {
		flood.Go(func() {
			for {
				select {
				case <-stop:
					return
				default: // an error means that the process has exited, which the test expects
					_ = p.cmd.Process.Signal(syscall.SIGUSR1)
					_ = p.cmd.Process.Signal(syscall.SIGHUP)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond) // of flood, before the notice
	p.signal(syscall.SIGTERM)
	p.waitForExit(3200 * time.Millisecond)
	p.waitForLog("notice to leave")
}

// A partly written configuration at SIGHUP changes nothing and is logged in one line; the
// complete file changes both addresses.
func TestHalfWrittenConfiguration(t *testing.T) {
	addr := ownAddress()
	_, config := startEnvironment(t, addr)
	p := launch(t, config)
	p.waitForLog("worker pool bound")
	next, other := startEnvironment(t, addr)
	text, err := os.ReadFile(other)
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.TrimSpace(text)
	for i, cut := range []int{0, 1, len(text) / 2, len(text) - 1} {
		if err := os.WriteFile(config, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGHUP)
		standin.Eventually(t, "another line about it", func() bool { return strings.Count(p.out.String(), "new configuration rejected") == i+1 })
	}
	if s := p.out.String(); strings.Count(s, config) != 4 {
		t.Errorf("the lines do not name the file: %s", s)
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	p.waitForLog("worker pool link moved")
	d := standin.Dial(t, addr)
	d.Send("RPC.CALL", "1", "read", fmt.Sprintf("txn=00000000000000aa,door=%d,lb=1,team=acme,ram=10,standing=0.5", time.Now().UnixMilli()), "5")
	if got := d.Receive(); !strings.HasPrefix(got, "1 ACK") {
		t.Errorf("%q", got)
	}
	if next.RunCounts()["00000000000000aa"] != 1 {
		t.Error("not run at the new address")
	}
	p.signal(syscall.SIGTERM)
	p.waitForExit(3200 * time.Millisecond)
}

// A node is replaced, by the notice to leave or by a kill, while a request runs. The successor
// starts while the previous process still holds the port. Each request gets one final answer
// or sees its connection end, and none runs twice. The worker pool also sends the successor
// the notices about its predecessor's runs; it must not answer its own requests with them.
func TestReplacedWithRequestsInFlight(t *testing.T) {
	for name, sig := range map[string]syscall.Signal{"notice": syscall.SIGTERM, "killed": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := ownAddress()
			pool, config := startEnvironment(t, addr, `"stopSendingWithinMs":200`, `"stopSendingWithinMs":100`)
			previous := launch(t, config)
			previous.waitForLog("worker pool bound")
			call := func(d *standin.Dispatcher, tag, txn, ms int) {
				d.Send("RPC.CALL", fmt.Sprint(tag), "pay", fmt.Sprintf("txn=%016x,door=%d,lb=1,team=acme,limit=3500,ram=10,standing=0.5,unique=k%d",
					txn, time.Now().UnixMilli(), txn), fmt.Sprint(ms))
			}
			began := func(txn int) int { return pool.RunCounts()[fmt.Sprintf("%016x", txn)] }
			d := standin.Dial(t, addr)
			call(d, 1, 1, 700)
			standin.Eventually(t, "the run", func() bool { return began(1) == 1 })
			successor := launch(t, config)
			successor.waitForLog("another process holds the address")
			previous.signal(sig)
			if sig == syscall.SIGTERM {
				got := d.Receive()
				for got == "0 FIN" {
					got = d.Receive()
				}
				if got != "1 ACK  "+fmt.Sprintf("%016x ran 700", 1) && !strings.HasSuffix(got, "ran 700") {
					t.Errorf("%q", got)
				}
				if got := d.Receive(); got != "EOF" && got != "0 FIN" {
					t.Errorf("%q", got)
				}
				d.Close()
				previous.waitForExit(3500 * time.Millisecond)
			} else {
				if got := d.Receive(); got != "EOF" {
					t.Errorf("%q", got)
				}
				<-previous.exited
			}
			successor.waitForLog("worker pool bound")
			d = standin.Dial(t, addr)
			call(d, 1, 2, 30) // the same tag as the previous process's request
			if got := d.Receive(); !strings.HasSuffix(got, fmt.Sprintf("%016x ran 30", 2)) {
				t.Errorf("%q", got)
			}
			standin.Eventually(t, "the notice about the previous process's run", func() bool {
				return strings.Contains(successor.out.String(), "end of an unknown run")
			})
			call(d, 2, 3, 30)
			if got := d.Receive(); !strings.HasSuffix(got, fmt.Sprintf("%016x ran 30", 3)) {
				t.Errorf("%q", got)
			}
			for txn := 1; txn <= 3; txn++ {
				if n := began(txn); n != 1 {
					t.Errorf("request %d ran %d times", txn, n)
				}
			}
			d.Close()
			successor.signal(syscall.SIGTERM)
			successor.waitForExit(3200 * time.Millisecond)
		})
	}
}
