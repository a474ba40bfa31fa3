package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// configure writes the node's two files.
func (t *trial) configure(members string) error {
	hold, err := net.Listen("tcp", "127.0.0.1:0") // a free port, which the node takes over
	if err != nil {
		return err
	}
	t.addr = hold.Addr().String()
	if err := hold.Close(); err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{
		"name": "try", "listen": t.addr, "pool": t.pool.Addr(), "members": members, "seed": fmt.Sprintf("%016x", t.seed),
		"stop_ms": 2000, "limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": 384},
		"settings": json.RawMessage(fmt.Sprintf(trySettings, tryCores, tryCallers)),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(t.dir, "config.json"), text, 0o600); err != nil {
		return err
	}
	ini := "[results]\nenabled = true\ndir = " + filepath.Join(t.dir, "results") + "\n"
	return os.WriteFile(filepath.Join(t.dir, "robinmast.ini"), []byte(ini), 0o600)
}

// start starts the node and waits until it listens.
func (t *trial) start(ctx context.Context) error {
	var err error
	if t.log, err = os.OpenFile(filepath.Join(t.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	t.process = exec.Command(t.node, "run", "--config", filepath.Join(t.dir, "robinmast.ini"))
	t.process.Env = append(os.Environ(), "EDGE_CONFIG="+filepath.Join(t.dir, "config.json"))
	t.process.Stderr = t.log
	if err := t.process.Start(); err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", t.addr, time.Second); err == nil {
			return c.Close()
		}
	}
	text, _ := os.ReadFile(t.log.Name()) // only to tell more
	t.kill()
	return fmt.Errorf("the node did not start: %s", strings.TrimSpace(string(text)))
}

func (t *trial) kill() {
	if t.process == nil {
		return
	}
	_ = t.process.Process.Kill()
	_ = t.process.Wait() // it was killed
	_ = t.log.Close()
	t.process = nil
}

// cpu is the processor time of the node.
func (t *trial) cpu() time.Duration {
	if t.process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", t.process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / 100 // clock ticks, 100 a second on Linux
}
