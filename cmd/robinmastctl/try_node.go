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

// writeConfig writes the two configuration files of the node.
func (t *trial) writeConfig(members string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // finds a free port for the node
	if err != nil {
		return err
	}
	t.addr = listener.Addr().String()
	if err := listener.Close(); err != nil {
		return err
	}
	config, err := json.Marshal(map[string]any{
		"name": "try", "listen": t.addr, "pool": t.pool.Addr(), "members": members,
		"seed": fmt.Sprintf("%016x", t.seed), "stop_ms": 2000,
		"limits":   map[string]any{"cores": 1, "memory_mb": 96, "sockets": 384},
		"settings": json.RawMessage(fmt.Sprintf(trySettings, tryCores, tryConnections)),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(t.dir, "config.json"), config, 0o600); err != nil {
		return err
	}
	ini := "[results]\nenabled = true\ndir = " + filepath.Join(t.dir, "results") + "\n"
	return os.WriteFile(filepath.Join(t.dir, "robinmast.ini"), []byte(ini), 0o600)
}

// startNode starts the node and waits until it listens.
func (t *trial) startNode(ctx context.Context) error {
	var err error
	t.log, err = os.OpenFile(filepath.Join(t.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	t.process = exec.Command(t.node, "run", "--config", filepath.Join(t.dir, "robinmast.ini"))
	t.process.Env = append(os.Environ(), "EDGE_CONFIG="+filepath.Join(t.dir, "config.json"))
	t.process.Stderr = t.log
	if err := t.process.Start(); err != nil {
		return err
	}
	deadline := time.Now().Add(10 * time.Second)
	for ; time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if connection, err := net.DialTimeout("tcp", t.addr, time.Second); err == nil {
			return connection.Close()
		}
	}
	logText, _ := os.ReadFile(t.log.Name()) // best effort: it only adds detail to the error
	t.killNode()
	return fmt.Errorf("the node did not start: %s", strings.TrimSpace(string(logText)))
}

// killNode kills the node with SIGKILL, if it runs.
func (t *trial) killNode() {
	if t.process == nil {
		return
	}
	_ = t.process.Process.Kill()
	_ = t.process.Wait() // the error says only that it was killed
	_ = t.log.Close()
	t.process = nil
}

// nodeCPU returns the CPU time that the node has used, 0 if unknown.
func (t *trial) nodeCPU() time.Duration {
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
