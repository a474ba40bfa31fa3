package main

import (
	_ "embed"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// goodConfig is the example that README points to.
//
//go:embed testdata/config.json
var goodConfig string

func noEnv(string) string { return "" }

func TestParse(t *testing.T) {
	c, err := parse([]byte(goodConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if c.seed != 0x8c1f30d27a5be964 || c.stop() != 3200*time.Millisecond || c.Limits.MemoryMB != 96 ||
		c.Limits.Sockets != 512 || c.nodeSettings.Cores != 2 || c.names.Classes[1] != "pay" || c.names.Tenants[0] != "acme" {
		t.Errorf("read wrongly: %+v", c)
	}
}

func TestParseRejects(t *testing.T) {
	for name, change := range map[string][2]string{
		"not JSON":        {`{"name"`, `{name`},
		"no name":         {`"n3"`, `""`},
		"no listen":       {`"127.0.0.1:8080"`, `""`},
		"listen, no port": {`"127.0.0.1:8080"`, `"127.0.0.1"`},
		"listen, port 0":  {`"127.0.0.1:8080"`, `"127.0.0.1:0"`},
		"pool by name":    {`"127.0.0.1:4400"`, `"pool.local:4400"`},
		"no members":      {`"members":"127.0.0.1:2379",`, ``},
		"invalid seed":    {`"8c1f30d27a5be964"`, `"seed"`},
		"negative memory": {`"memory_mb":96`, `"memory_mb":-1`},
		"no settings":     {`"settings"`, `"setting"`},
		"no classes":      {`"lanes"`, `"lane"`},
		"class, no name":  {`"name":"pay"`, `"name":""`},
		"class twice":     {`"name":"pay"`, `"name":"read"`},
		"no deadline":     {`"deadlineMs":4000,"effect":"idempotent"`, `"effect":"idempotent"`},
		"no cores":        {`"cpus":2`, `"cpus":0`},
		"no tick":         {`"tickMs":2`, `"tickMs":0`},
		"calls, no db":    {`"below":"none"`, `"below":"shared"`},
		"db by name":      {`"stop_ms"`, `"db":"rows.local:7700","stop_ms"`},
		"another tier":    {`"below":"none"`, `"below":"tier"`},
		"pausing":         {`"preemption":"drop"`, `"preemption":"pause"`},
		"unknown word":    {`"say":"weight"`, `"say":"shout"`},
		"cores as a word": {`"cores":1.0`, `"cores":"one"`},
		"settings a list": {`"settings":{`, `"settings":[],"x":{`},
	} {
		text := strings.Replace(goodConfig, change[0], change[1], 1)
		if text == goodConfig {
			t.Fatalf("%s: nothing changed", name)
		}
		c, err := parse([]byte(text), noEnv)
		if err == nil {
			t.Errorf("%s: accepted: %+v", name, c)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: more than one line: %q", name, err)
		}
	}
}

func TestLoad(t *testing.T) {
	if _, err := load(noEnv); err == nil {
		t.Error("no EDGE_CONFIG: accepted")
	}
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(k string) string { return map[string]string{"EDGE_CONFIG": path}[k] }
	if _, err := load(env); err == nil {
		t.Error("no file: accepted")
	}
	if err := os.WriteFile(path, []byte(goodConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := load(env); err != nil {
		t.Error(err)
	}
}
