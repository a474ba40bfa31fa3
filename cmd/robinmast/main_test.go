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

// TestMain runs the program itself if the environment asks for it, so that tests can start
// their own binary as robinmast.
func TestMain(m *testing.M) {
	if os.Getenv("ROBINMAST_AS_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs the whole program, and its output.
func programCommand(config string) (*exec.Cmd, *bytes.Buffer) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "ROBINMAST_AS_MAIN=1", "EDGE_CONFIG="+config)
	out := &bytes.Buffer{}
	c.Stdout, c.Stderr = out, out
	return c, out
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// An invalid configuration ends the program with status 2 and one line of output.
func TestInvalidConfigEndsTheProgram(t *testing.T) {
	for name, path := range map[string]string{
		"none":         "",
		"missing":      "/nowhere/config.json",
		"unreadable":   t.TempDir(),
		"calls, no db": writeFile(t, strings.Replace(goodConfig, `"below":"none"`, `"below":"shared"`, 1)),
	} {
		c, out := programCommand(path)
		err := c.Run()
		if c.ProcessState == nil || c.ProcessState.ExitCode() != 2 {
			t.Errorf("%s: %v", name, err)
		}
		if s := out.String(); strings.Count(s, "\n") != 1 || !strings.HasPrefix(s, "robinmast: ") {
			t.Errorf("%s: output %q", name, s)
		}
	}
}

// The program answers health checks with neither worker pool nor membership service, survives
// SIGUSR1, SIGHUP and the exit of its log's reader, and exits on SIGTERM in time with status 0.
func TestProgram(t *testing.T) {
	pid := os.Getpid()
	addr := fmt.Sprintf("127.83.%d.%d:8080", pid>>7&0x7f, pid&0x7f+1) // an address that no other test uses
	c, _ := programCommand(writeFile(t, strings.Replace(goodConfig, "127.0.0.1:8080", addr, 1)))
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
	r.Close() // from now on the log has no reader
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
		t.Fatal("did not exit")
	}
	if d := time.Since(began); d > 3200*time.Millisecond {
		t.Errorf("exited after %v", d)
	}
}
