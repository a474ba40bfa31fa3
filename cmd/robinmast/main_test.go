package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"robinmast/internal/standin"
)

// TestMain lets the test's own program stand in for the built one.
func TestMain(m *testing.M) {
	if os.Getenv("ROBINMAST_AS_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program prepares a run of the whole program.
func program(config string) (*exec.Cmd, *bytes.Buffer) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "ROBINMAST_AS_MAIN=1", "EDGE_CONFIG="+config)
	out := &bytes.Buffer{}
	c.Stdout, c.Stderr = out, out
	return c, out
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A configuration that can't be used is told in one line, before anything listens.
func TestBadConfigEndsTheProgram(t *testing.T) {
	for name, path := range map[string]string{
		"none":        "",
		"missing":     "/nowhere/config.json",
		"unreadable":  t.TempDir(),
		"calls below": write(t, strings.Replace(goodConfig, `"below":"none"`, `"below":"shared"`, 1)),
	} {
		c, out := program(path)
		err := c.Run()
		if c.ProcessState == nil || c.ProcessState.ExitCode() != 2 {
			t.Errorf("%s: %v", name, err)
		}
		if s := out.String(); strings.Count(s, "\n") != 1 || !strings.HasPrefix(s, "robinmast: ") {
			t.Errorf("%s: says %q", name, s)
		}
	}
}

// The whole program serves health checks with neither worker pool nor membership
// service, counts on SIGUSR1, lives through SIGHUP, outlives the reader of its log, and leaves on
// SIGTERM with status 0 in time.
func TestProgram(t *testing.T) {
	pid := os.Getpid()
	addr := fmt.Sprintf("127.83.%d.%d:8080", pid>>7&0x7f, pid&0x7f+1) // no other test's ports lie there
	c, _ := program(write(t, strings.Replace(goodConfig, "127.0.0.1:8080", addr, 1)))
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	c.Stdout, c.Stderr = w, w
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	defer c.Process.Kill()
	first := make([]byte, 4096)
	n, err := r.Read(first)
	if err != nil || !strings.Contains(string(first[:n]), "node started") {
		t.Fatalf("%q, %v", first[:n], err)
	}
	r.Close() // from now on nobody reads the log
	d := standin.Dial(t, addr)
	d.Send("RPC.HEALTH", "1", "")
	if got := d.Receive(); !strings.HasPrefix(got, "1 GREEN") {
		t.Errorf("%q", got)
	}
	for _, sig := range []os.Signal{syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGHUP} {
		if err := c.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := d.Receive(); got != "0 FIN" {
		t.Errorf("%q", got)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("exit: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("did not leave")
	}
	if d := time.Since(began); d > 3200*time.Millisecond {
		t.Errorf("left after %v", d)
	}
}
