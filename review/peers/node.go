package peers

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// Root returns the repository's root: the nearest folder above the working one that has the deploy file.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
	}
	return "", errors.New("no deploy/balancer.toml above the working folder")
}

// runCommand returns the command `run` of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file has no run command")
	}
	return string(m[1]), nil
}

// Node is a node's process.
type Node struct {
	Name, Listen string
	Dir          string // its temporary folder
	Settings     string // the JSON object of the settings
	Pool         string // addresses
	Members      string
	StopMs       int
	MemoryMB     int
	Sockets      int

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// FreeAddress returns a loopback address whose port is free.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// Start writes the configuration and starts the process. It waits until the node listens.
func (n *Node) Start() error {
	root, err := Root()
	if err != nil {
		return err
	}
	command, err := runCommand(root)
	if err != nil {
		return err
	}
	if err := n.writeConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.Dir, "node.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("/bin/sh", "-c", command)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = root, log, log
	n.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+n.configPath(), "EDGE_NAME="+n.Name, "EDGE_LISTEN="+n.Listen,
		"TMPDIR="+n.Dir)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.done = done
	cmd := n.cmd
	go func() {
		n.err = cmd.Wait()
		close(done)
	}()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		select {
		case <-done:
			return fmt.Errorf("the node ended at its start: %v", n.err)
		default:
		}
		if c, err := net.Dial("tcp", n.Listen); err == nil {
			_ = c.Close()
			return nil
		}
	}
	return errors.New("the node does not listen")
}

func (n *Node) configPath() string { return filepath.Join(n.Dir, "config.json") }

// writeConfig writes the platform's configuration of the node.
func (n *Node) writeConfig() error {
	cfg := map[string]any{
		"name": n.Name, "listen": n.Listen, "pool": n.Pool, "members": n.Members, "seed": "8c1f30d27a5be964",
		"stop_ms": n.StopMs, "limits": map[string]any{"cores": 1.0, "memory_mb": n.MemoryMB, "sockets": n.Sockets},
		"settings": json.RawMessage(n.Settings),
	}
	text, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	return os.WriteFile(n.configPath(), text, 0o600)
}

// Kill ends the process at once and waits for its end.
func (n *Node) Kill() {
	if n.cmd == nil || n.done == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.done
}

// Ended reports whether the process has ended, and how.
func (n *Node) Ended() (bool, error) {
	select {
	case <-n.done:
		return true, n.err
	default:
		return false, nil
	}
}

// Log returns what the node wrote to its log.
func (n *Node) Log() string {
	text, _ := os.ReadFile(filepath.Join(n.Dir, "node.log"))
	return string(text)
}

// AnonymousKB returns the memory of the process that is not backed by files, in kilobytes. It fails once the process
// has ended.
func (n *Node) AnonymousKB() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	m := regexp.MustCompile(`(?m)^RssAnon:\s+(\d+) kB`).FindSubmatch(text)
	if m == nil {
		return 0, errors.New("no RssAnon")
	}
	kb := 0
	_, err = fmt.Sscan(string(m[1]), &kb)
	return kb, err
}
