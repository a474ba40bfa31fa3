// This file owns the platform's file: where it comes from and which one is usable.
// It must never start anything.

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

// platform is what the platform tells a node.
type platform struct {
	Name    string  `json:"name"`
	Listen  string  `json:"listen"`
	Pool    string  `json:"pool"`
	Members string  `json:"members"`
	DB      string  `json:"db"` // what lies below, "" = nothing does
	Seed    string  `json:"seed"`
	StopMs  float64 `json:"stop_ms"`
	Limits  struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"`

	set   rules.Settings
	names settings.Names
	seed  uint64
	own   *config.Config // the node's own settings, not the platform's
	began time.Time      // when the process began
}

// age is how long the process has been there.
func (c *platform) age() time.Duration {
	if c.began.IsZero() {
		return 0
	}
	return time.Since(c.began)
}

// Where the platform sets no limit, these hold.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultStop     = 3 * time.Second
)

// load reads and checks the configuration that EDGE_CONFIG names.
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

// place says where in the text a fault of its JSON lies, "" if that is not told.
func place(text []byte, err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	at := int64(-1)
	switch {
	case errors.As(err, &syntax):
		at = syntax.Offset
	case errors.As(err, &kind):
		at = kind.Offset
	}
	if at < 0 || at > int64(len(text)) {
		return ""
	}
	return fmt.Sprintf("line %d: ", 1+bytes.Count(text[:at], []byte("\n")))
}

func parse(text []byte, env func(string) string) (*platform, error) {
	c := &platform{own: config.Defaults()}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration: %s%w", place(text, err), err)
	}
	if c.Name == "" {
		c.Name = env("EDGE_NAME")
	}
	if c.Listen == "" {
		c.Listen = env("EDGE_LISTEN")
	}
	if c.Name == "" {
		return nil, errors.New("configuration: no name")
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
			return nil, fmt.Errorf("configuration: seed %q is no hexadecimal number of 64 bits", c.Seed)
		}
		c.seed = seed
	}
	if c.StopMs < 0 || c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return nil, errors.New("configuration: a limit below 0")
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	var err error
	if c.set, c.names, err = settings.ParseNamed(c.Settings); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, c.check()
}

// check refuses settings that this program can't serve.
func (c *platform) check() error {
	switch {
	case c.set.Dependency == rules.DependencyTier:
		return errors.New("configuration: settings: extra.below: calls to another tier have no protocol here")
	case c.set.Dependency == rules.DependencyShared && c.DB == "":
		return errors.New("configuration: settings: extra.below: calls below, and no db address to make them to")
	case c.set.Preemption == rules.PreemptPause:
		return errors.New("configuration: settings: extra.preemption: pausing has no protocol here")
	case c.set.BatchInterval <= 0 || c.set.BatchInterval > time.Second:
		return fmt.Errorf("configuration: settings: tickMs: %v is no usable tick", c.set.BatchInterval)
	}
	seen := map[string]bool{}
	for _, name := range c.names.Classes {
		if name == "" || seen[name] {
			return fmt.Errorf("configuration: settings: class name %q is empty or used twice", name)
		}
		seen[name] = true
	}
	seen = map[string]bool{}
	for _, name := range c.names.Tenants {
		if name == "" || seen[name] {
			return fmt.Errorf("configuration: settings: tenant name %q is empty or used twice", name)
		}
		seen[name] = true
	}
	if _, err := rules.New(0, c.set, 0, silent{}); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return errors.New("no IP address")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.New("no port")
	}
	return nil
}

// stop is the time from the notice to leave until the process is killed.
func (c *platform) stop() time.Duration {
	if c.StopMs == 0 {
		return defaultStop
	}
	return time.Duration(min(c.StopMs, 3.6e6) * float64(time.Millisecond))
}

// silent is a host that does nothing, to try settings on the module.
type silent struct{}

func (silent) Run(rules.RequestID)                         {}
func (silent) Preempt(rules.RequestID)                     {}
func (silent) Refuse(rules.RequestID, time.Duration, bool) {}
func (silent) Fail(rules.RequestID)                        {}
func (silent) Call(rules.RequestID, time.Duration)         {}
func (silent) SkipCall(rules.RequestID)                    {}
func (silent) KeepRecord(rules.RequestID, time.Duration)   {}
func (silent) ForgetRecord(rules.RequestID)                {}
func (silent) JoinEarlier(rules.RequestID)                 {}
func (silent) SetHealth(bool, bool)                        {}
func (silent) PublishLoad(float64)                         {}
func (silent) SetIdleTimeout(time.Duration)                {}
func (silent) StartTimer(uint64, time.Duration)            {}
func (silent) Log(string)                                  {}
