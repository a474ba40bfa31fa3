package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"robinmast/internal/config"
	"robinmast/internal/settings"
	"robinmast/rules"
)

// platform is the configuration that the platform gives a node.
type platform struct {
	Name    string  `json:"name"`
	Listen  string  `json:"listen"`
	Pool    string  `json:"pool"`
	Members string  `json:"members"`
	DB      string  `json:"db"` // address of the shared database, "" = none
	Seed    string  `json:"seed"`
	StopMs  float64 `json:"stop_ms"` // from the notice to leave until the process is killed
	Limits  struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"`

	nodeSettings rules.Settings
	names        settings.Names
	seed         uint64
	iniConfig    *config.Config // settings of the node's INI file
	processStart time.Time      // start of the process
}

// uptime returns the time since the process started, 0 if its start is not set.
func (c *platform) uptime() time.Duration {
	if c.processStart.IsZero() {
		return 0
	}
	return time.Since(c.processStart)
}

// Defaults for limits that the platform does not set.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultStop     = 3 * time.Second
)

// load reads and checks the configuration file that EDGE_CONFIG names.
func load(env func(string) string) (*platform, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c, err := parse(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// linePrefix returns the line of a JSON error in text as a prefix for a message, "" if the
// error has no position.
func linePrefix(text []byte, err error) string {
	var syntax *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	offset := int64(-1)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &typeError):
		offset = typeError.Offset
	}
	if offset < 0 || offset > int64(len(text)) {
		return ""
	}
	return fmt.Sprintf("line %d: ", 1+bytes.Count(text[:offset], []byte("\n")))
}

// parse parses and checks a configuration; the name and the listen address may come from the
// environment instead.
func parse(text []byte, env func(string) string) (*platform, error) {
	c := &platform{iniConfig: config.Defaults()}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration: %s%w", linePrefix(text, err), err)
	}
	if c.Name == "" {
		c.Name = env("EDGE_NAME")
	}
	if c.Listen == "" {
		c.Listen = env("EDGE_LISTEN")
	}
	if c.Name == "" {
		return nil, errors.New("configuration: no node name")
	}
	for key, addr := range map[string]string{"listen": c.Listen, "pool": c.Pool, "members": c.Members} {
		if err := checkAddress(addr); err != nil {
			return nil, fmt.Errorf("configuration: %s address %q: %w", key, addr, err)
		}
	}
	if c.DB != "" {
		if err := checkAddress(c.DB); err != nil {
			return nil, fmt.Errorf("configuration: db address %q: %w", c.DB, err)
		}
	}
	if c.Seed != "" {
		seed, err := strconv.ParseUint(c.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("configuration: seed %q is not a hexadecimal number of at most 64 bits", c.Seed)
		}
		c.seed = seed
	}
	if c.StopMs < 0 || c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return nil, errors.New("configuration: stop_ms and limits must not be negative")
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	var err error
	if c.nodeSettings, c.names, err = settings.ParseNamed(c.Settings); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, c.check()
}

// check returns an error for settings that this program does not support.
func (c *platform) check() error {
	switch {
	case c.nodeSettings.Dependency == rules.DependencyTier:
		return errors.New("configuration: settings: extra.below: calls to another tier are not supported")
	case c.nodeSettings.Dependency == rules.DependencyShared && c.DB == "":
		return errors.New("configuration: settings: extra.below: downstream calls need a db address")
	case c.nodeSettings.Preemption == rules.PreemptPause:
		return errors.New("configuration: settings: extra.preemption: suspending runs is not supported")
	case c.nodeSettings.BatchInterval <= 0 || c.nodeSettings.BatchInterval > time.Second:
		return fmt.Errorf("configuration: settings: tickMs: %v is out of range, want more than 0 and at most 1s",
			c.nodeSettings.BatchInterval)
	}
	used := map[string]bool{}
	for _, name := range c.names.Classes {
		if name == "" || used[name] {
			return fmt.Errorf("configuration: settings: class name %q is empty or a duplicate", name)
		}
		used[name] = true
	}
	used = map[string]bool{}
	for _, name := range c.names.Tenants {
		if name == "" || used[name] {
			return fmt.Errorf("configuration: settings: tenant name %q is empty or a duplicate", name)
		}
		used[name] = true
	}
	if _, err := rules.New(0, c.nodeSettings, 0, discardHost{}); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// checkAddress returns an error unless addr is an IP address with a port.
func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return errors.New("host is not an IP address")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.New("port is not a number from 1 to 65535")
	}
	return nil
}

// stop returns the time from the notice to leave until the process is killed.
func (c *platform) stop() time.Duration {
	if c.StopMs == 0 {
		return defaultStop
	}
	return time.Duration(min(c.StopMs, 3.6e6) * float64(time.Millisecond))
}

// discardHost is a rules.Host that does nothing, to check settings with the module.
type discardHost struct{}

func (discardHost) Run(rules.RequestID)                         {}
func (discardHost) Preempt(rules.RequestID)                     {}
func (discardHost) Refuse(rules.RequestID, time.Duration, bool) {}
func (discardHost) Fail(rules.RequestID)                        {}
func (discardHost) Call(rules.RequestID, time.Duration)         {}
func (discardHost) SkipCall(rules.RequestID)                    {}
func (discardHost) KeepRecord(rules.RequestID, time.Duration)   {}
func (discardHost) ForgetRecord(rules.RequestID)                {}
func (discardHost) JoinEarlier(rules.RequestID)                 {}
func (discardHost) SetHealth(bool, bool)                        {}
func (discardHost) PublishLoad(float64)                         {}
func (discardHost) SetIdleTimeout(time.Duration)                {}
func (discardHost) StartTimer(uint64, time.Duration)            {}
func (discardHost) Log(string)                                  {}
