package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"robinmast/internal/standin/platform"
)

// fleetNode is one node with its worker pool.
type fleetNode struct {
	process         *process
	dir             string
	addr            string
	poolLink        *Link
	controlLinks    []*Link
	pool            *platform.Pool
	poolIncarnation int    // from 1
	resultsCopy     string // directory with a copy of its results as of the start
}

// controlService is one control service.
type controlService struct {
	process             *process
	reportAddr, xdsAddr string
}

// addControl starts control service i and waits until it accepts connections.
func (f *Fleet) addControl(i int) (err error) {
	service := &controlService{}
	if service.reportAddr, err = f.reservePort(); err != nil {
		return err
	}
	if service.xdsAddr, err = f.reservePort(); err != nil {
		return err
	}
	name := fmt.Sprintf("control%d", i+1)
	service.process = &process{
		name: name, program: f.options.Control, logPath: filepath.Join(f.dir, name+".log"), starter: f.starter,
		args: []string{
			"--reports", service.reportAddr, "--xds", service.xdsAddr, "--dir", filepath.Join(f.dir, name),
		},
	}
	f.controlServices = append(f.controlServices, service)
	if err := service.process.start(); err != nil {
		return err
	}
	return waitReachable(f.ctx, service.reportAddr, 10*time.Second)
}

// addNode prepares node i with its links, worker pool and settings; it does not start the node.
func (f *Fleet) addNode(i int) (err error) {
	node := &fleetNode{}
	f.nodes = append(f.nodes, node)
	name := fmt.Sprintf("n%d", i+1)
	node.dir = filepath.Join(f.dir, name)
	node.process = &process{
		name: name, program: f.options.Node, logPath: filepath.Join(f.dir, name+".log"), starter: f.starter,
		args: []string{"run", "--config", filepath.Join(node.dir, "robinmast.ini")},
		env:  []string{"EDGE_CONFIG=" + filepath.Join(node.dir, "config.json")},
	}
	if err := os.Mkdir(node.dir, 0o700); err != nil {
		return err
	}
	if node.addr, err = f.reservePort(); err != nil {
		return err
	}
	if node.poolLink, err = f.addLink("nodes", i, "pools", i, ""); err != nil {
		return err
	}
	membersLink, err := f.addLink("nodes", i, "members", 0, f.members.Addr())
	if err != nil {
		return err
	}
	var controlAddrs []string
	for j, c := range f.controlServices {
		l, err := f.addLink("nodes", i, "control", j, c.reportAddr)
		if err != nil {
			return err
		}
		node.controlLinks = append(node.controlLinks, l)
		controlAddrs = append(controlAddrs, l.Addr())
	}
	if err := f.startPool(i, false); err != nil {
		return err
	}
	if err := f.scenario.writeNodeConfig(node.dir, name, node.addr, node.poolLink.Addr(), membersLink.Addr(),
		f.scenario.Fleet.Seed+uint64(i), controlAddrs, i < f.scenario.Fleet.PlainNodes); err != nil {
		return err
	}
	if f.options.Prepare != nil {
		if err := f.options.Prepare(i, node.dir); err != nil {
			return fmt.Errorf("prepare %s: %w", name, err)
		}
	}
	return f.addSettings(node)
}

// addSettings adds Options.NodeSettings to a node's INI file.
func (f *Fleet) addSettings(node *fleetNode) error {
	if len(f.options.NodeSettings) == 0 {
		return nil
	}
	path := filepath.Join(node.dir, "robinmast.ini")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	config := string(text)
	for _, section := range slices.Sorted(func(yield func(string) bool) {
		for k := range f.options.NodeSettings {
			if !yield(k) {
				return
			}
		}
	}) {
		header := "[" + section + "]\n"
		if strings.Contains(config, header) {
			config = strings.Replace(config, header, header+f.options.NodeSettings[section]+"\n", 1)
		} else {
			config += header + f.options.NodeSettings[section] + "\n"
		}
	}
	return os.WriteFile(path, []byte(config), 0o600)
}

// startPool starts the next incarnation of node i's worker pool, at ColdSpeed if cold. The pool takes
// each body as the run time in milliseconds, followed by the idempotency key of keyed and unsafe work,
// and counts the runs of each key.
func (f *Fleet) startPool(i int, cold bool) (err error) {
	node := f.nodes[i]
	node.poolIncarnation++
	pool, incarnation := fmt.Sprintf("%d.%d", i, node.poolIncarnation), node.poolIncarnation
	work := func(run platform.Run) (float64, string, []byte) {
		words := strings.SplitN(string(run.Body), " ", 2)
		ms, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			return 0, "error", nil
		}
		if len(words) > 1 {
			f.mu.Lock()
			f.runCounts[pool+" "+words[1]]++
			key := fmt.Sprintf("%d %s", i, words[1])
			if first, known := f.firstIncarnation[key]; !known {
				f.firstIncarnation[key] = incarnation
			} else if first != incarnation {
				f.rerunAfterRestart++
			}
			f.mu.Unlock()
		}
		return ms, "complete", []byte("done by " + run.ID)
	}
	node.pool, err = platform.StartPool(f.scenario.Fleet.Cores, f.scenario.Fleet.Contention, work)
	if err != nil {
		return err
	}
	if cold {
		node.pool.StartCold(f.scenario.Fleet.ColdSpeed, f.scenario.Fleet.WarmUpTime)
	}
	node.poolLink.SetTarget(node.pool.Addr())
	return nil
}

// platformSettings returns the platform's settings object for the scenario's nodes.
func (s *Scenario) platformSettings() map[string]any {
	effects := map[string]string{"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
	var classes []any
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "aimMs": c.LatencyTarget.Milliseconds(), "deadlineMs": c.Deadline.Milliseconds(),
			"effect": effects[c.Effect], "windowMs": 60_000, "worth": c.Utility,
		})
	}
	countedBy := "request"
	if s.Fleet.UtilityPerWork {
		countedBy = "work"
	}
	return map[string]any{
		"tickMs": 2, "groupSize": s.Fleet.Nodes, "lanes": classes, "countedBy": countedBy,
		"parties": []any{map[string]any{"name": "acme", "share": 1, "quotaRps": 100_000}},
		"extra": map[string]any{
			"cpus": s.Fleet.Cores, "ramKb": 400_000, "runFactor": 4, "entryKb": 0.2,
			"meters": []string{"cpu_busy", "runnable"}, "passesDeadline": true, "tellsGone": true,
			"preemption": "drop", "say": "weight", "keepaliveMaxMs": 30_000, "upstreams": s.Dispatchers.Count,
			"heededMs": 1000, "below": "none",
		},
		"clientHabits": map[string]any{"marksRetry": true},
		"bounds":       map[string]any{"retryAfter": true, "maxRetryAfterMs": s.Fleet.MaxRetryAfter.Milliseconds()},
		"obligations": map[string]any{
			"fallMultiple": 8, "fallMs": 1500, "stopSendingWithinMs": 200, "answerSlackMs": 60,
			"coldFrom": s.Fleet.ColdSpeed, "rampTimeMs": s.Fleet.WarmUpTime.Milliseconds(),
		},
	}
}

// writeNodeConfig writes a node's two files into dir: the platform's config.json and robinmast.ini. A
// plain node has neither [together] nor [comeback].
func (s *Scenario) writeNodeConfig(
	dir, name, listen, pool, members string, seed uint64, control []string, plain bool,
) error {
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "pool": pool, "members": members,
		"seed": fmt.Sprintf("%016x", seed), "stop_ms": 2000,
		"limits":   map[string]any{"cores": s.Fleet.NodeCores, "memory_mb": s.Fleet.MemoryMB, "sockets": 384},
		"settings": s.platformSettings(),
	})
	if err != nil {
		return err
	}
	var settings strings.Builder
	if s.Fleet.ResultCache {
		fmt.Fprintf(&settings, "[results]\nenabled = true\ndurability = soon\ndir = %s\n",
			filepath.Join(dir, "results"))
	}
	if len(control) > 0 {
		fmt.Fprintf(&settings, "[control]\naddress = %s\nadvertise = %s\n", strings.Join(control, ", "), listen)
	}
	if s.Fleet.Shedding != "off" && !plain {
		fmt.Fprintf(&settings, "[together]\nenabled = true\ntold = %v\n", s.Fleet.Shedding == "told")
	}
	if s.Fleet.Recovery != "off" && !plain {
		fmt.Fprintf(&settings, "[comeback]\nenabled = true\nsnapshot = %v\n", s.Fleet.Recovery == "snapshot")
		if !s.Fleet.ResultCache {
			fmt.Fprintf(&settings, "dir = %s\n", filepath.Join(dir, "learned"))
		}
	}
	return errors.Join(
		os.WriteFile(filepath.Join(dir, "config.json"), text, 0o600),
		os.WriteFile(filepath.Join(dir, "robinmast.ini"), []byte(settings.String()), 0o600))
}
