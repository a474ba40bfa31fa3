// Package fleet runs rehearsals: scenarios of load and faults against a fleet of real node and
// control service processes. Stand-ins take the place of the worker pools, the membership service,
// the dispatchers and the desktops, and every link goes through a proxy that can inject faults.
//
// Parse reads a scenario and Run executes it. The Report holds what clients and stand-ins measured
// from outside the programs. The same seed gives the same schedule of requests and faults.
//
// The package listens on loopback only and ends only processes that it started. Among the programs
// only robinmastctl links it. A Fleet uses many goroutines; all of them have ended when Run returns.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robinmast/internal/standin/platform"
)

// Options are the settings of a rehearsal beside its scenario.
type Options struct {
	Node, Control string                           // paths of the programs of the nodes and the control services
	OnSecond      func(Second)                     // called at the end of each second; may be nil
	OnStarted     func(f *Fleet)                   // called once when all processes are up; may be nil
	NodeSettings  map[string]string                // further lines of the nodes' INI file, by section
	Prepare       func(node int, dir string) error // called before a node's first start; may be nil
	LogDir        string                           // directory to which the logs are copied; "" = none
}

// Fleet is a running rehearsal with its processes, links and stand-ins.
type Fleet struct {
	scenario *Scenario
	options  Options
	dir      string
	ctx      context.Context
	cancel   context.CancelFunc

	starter         *starter
	nodes           []*fleetNode
	controlServices []*controlService
	members         *platform.Members
	dispatchers     []*dispatcher
	nodeLinks       [][]*Link // by dispatcher and node
	lastTransaction atomic.Uint64
	reservedPorts   []*os.File             // reserved ports of the processes
	links           map[string][]groupLink // by their groups, "from->to"

	mu                sync.Mutex
	current           tally          // since the last sample
	activeFaults      map[[2]int]int // by dispatcher (-1 = all) and node
	probeFactor       float64
	runCounts         map[string]int // of keyed and unsafe requests, by node, pool incarnation and key
	firstIncarnation  map[string]int // pool incarnation in which a key ran first, by node and key
	rerunAfterRestart int            // runs of keys that had run in an earlier incarnation of the node
	faultMarks        []FaultMark
	startedAt         time.Time
	goroutines        sync.WaitGroup
}

// groupLink is the link between two members of groups, numbered from 0.
type groupLink struct {
	*Link
	from, to int
}

// ControlAddrs returns the control services' addresses for reports and for operators, without fault
// proxies.
func (f *Fleet) ControlAddrs() (list []string) {
	for _, c := range f.controlServices {
		list = append(list, c.reportAddr)
	}
	return list
}

// Nodes returns the number of nodes.
func (f *Fleet) Nodes() int { return len(f.nodes) }

// Log returns a node's log so far.
func (f *Fleet) Log(node int) string {
	text, _ := os.ReadFile(f.nodes[node].process.logPath) // there is no file before the first start
	return string(text)
}

// ConnectionsOpened returns how many connections each node has opened to a group.
func (f *Fleet) ConnectionsOpened(to string) (counts []int) {
	counts = make([]int, len(f.nodes))
	for _, l := range f.links["nodes->"+to] {
		counts[l.from] += l.ConnectionsOpened()
	}
	return counts
}

// Run executes a scenario and reports the outcome. An error means that the scenario did not run to its end or
// that files could not be written or removed. Violations of rules are part of the report.
func Run(ctx context.Context, scenario *Scenario, opt Options) (report *Report, err error) {
	f := &Fleet{
		scenario: scenario, options: opt, links: map[string][]groupLink{}, activeFaults: map[[2]int]int{},
		probeFactor: 1, runCounts: map[string]int{}, firstIncarnation: map[string]int{},
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	defer f.cancel()
	if f.dir, err = os.MkdirTemp("", "robinmast-fleet-"); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(f.dir)) }()
	f.starter = newStarter()
	defer f.starter.stop()
	defer f.close()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if opt.OnStarted != nil {
		opt.OnStarted(f)
	}
	report = f.runSchedule()
	f.cancel()
	f.goroutines.Wait()
	f.summarize(report)
	if err := ctx.Err(); err != nil {
		return report, fmt.Errorf("rehearsal cancelled: %w", err)
	}
	if opt.LogDir != "" {
		err = f.copyLogs()
	}
	return report, err
}

// close ends all processes, links and stand-ins, in an order in which none waits for another.
func (f *Fleet) close() {
	f.cancel()
	for _, n := range f.nodes {
		n.process.kill()
	}
	for _, c := range f.controlServices {
		c.process.kill()
	}
	for _, list := range f.links {
		for _, l := range list {
			l.Close()
		}
	}
	for _, n := range f.nodes {
		if n.pool != nil {
			_ = n.pool.Close()
		}
	}
	if f.members != nil {
		_ = f.members.Close()
	}
	f.goroutines.Wait()
	for _, h := range f.reservedPorts {
		_ = h.Close()
	}
}

// addLink opens a link between two members and records it under their groups.
func (f *Fleet) addLink(from string, i int, to string, j int, target string) (*Link, error) {
	l, err := NewLink(target, f.scenario.Fleet.Seed^uint64(i*1000+j))
	if err == nil {
		key := from + "->" + to
		f.links[key] = append(f.links[key], groupLink{l, i, j})
	}
	return l, err
}

// startAll starts all processes and stand-ins and waits until the nodes accept connections. Nodes of
// a fault of the kind late are left out.
func (f *Fleet) startAll() (err error) {
	if f.members, err = platform.StartMembers(); err != nil {
		return err
	}
	for i := range f.scenario.Fleet.Control {
		if err := f.addControl(i); err != nil {
			return err
		}
	}
	for i := range f.scenario.Fleet.Nodes {
		if err := f.addNode(i); err != nil {
			return err
		}
	}
	if err := f.addDispatchers(); err != nil {
		return err
	}
	startsLate := f.lateNodes()
	for i, n := range f.nodes {
		if startsLate[i] {
			continue
		}
		if err := n.process.start(); err != nil {
			return err
		}
	}
	for i, n := range f.nodes {
		if startsLate[i] {
			continue
		}
		if err := waitReachable(f.ctx, n.addr, 10*time.Second); err != nil {
			return fmt.Errorf("node %d did not start: %w: %s", i+1, err, strings.TrimSpace(f.Log(i)))
		}
	}
	if f.scenario.Fleet.ResultCache {
		for _, n := range f.nodes {
			n.resultsCopy = filepath.Join(n.dir, "old")
			// The node may be writing to the directory, as when an operator copies it. An incomplete copy is intended.
			_ = os.CopyFS(n.resultsCopy, os.DirFS(filepath.Join(n.dir, "results")))
		}
	}
	return nil
}

// addDispatchers adds the dispatchers with their links to the nodes.
func (f *Fleet) addDispatchers() error {
	random := rand.New(rand.NewPCG(f.scenario.Fleet.Seed, 4))
	order := random.Perm(f.scenario.Dispatchers.Count)
	honouring := int(f.scenario.Dispatchers.HonouringShare*float64(f.scenario.Dispatchers.Count) + 0.5)
	for d := range f.scenario.Dispatchers.Count {
		var links []*Link
		for i, n := range f.nodes {
			l, err := f.addLink("dispatchers", d, "nodes", i, n.addr)
			if err != nil {
				return err
			}
			links = append(links, l)
		}
		f.nodeLinks = append(f.nodeLinks, links)
		f.dispatchers = append(f.dispatchers, newDispatcher(f, d, order[d] < honouring))
	}
	return nil
}

// lateNodes returns the numbers, from 0, of the nodes that a fault of the kind late starts.
func (f *Fleet) lateNodes() (startsLate map[int]bool) {
	startsLate = map[int]bool{}
	for i := range f.scenario.Faults {
		if fault := &f.scenario.Faults[i]; fault.Kind == "late" {
			targets, _ := f.scenario.selectMembers(fault.Targets, "nodes", "control") // validated before
			for _, j := range targets.indexes {
				startsLate[j] = startsLate[j] || targets.group == "nodes"
			}
		}
	}
	return startsLate
}

// reservePort reserves a port for a process until the rehearsal is over.
func (f *Fleet) reservePort() (string, error) {
	addr, port, err := reserveAddr()
	if err == nil {
		f.reservedPorts = append(f.reservedPorts, port)
	}
	return addr, err
}

// record updates the counts of the current sample interval.
func (f *Fleet) record(change func(*tally)) {
	f.mu.Lock()
	change(&f.current)
	f.mu.Unlock()
}

// runSchedule sends the schedule's requests, applies the faults and samples the counts.
func (f *Fleet) runSchedule() *Report {
	report := &Report{
		Scenario: f.scenario.Name, Seed: f.scenario.Fleet.Seed, Nodes: f.scenario.Fleet.Nodes,
		Capacity: f.scenario.capacity(), Shedding: f.scenario.Fleet.Shedding,
	}
	f.startedAt = time.Now()
	for _, d := range f.dispatchers {
		d.startProbes(&f.goroutines)
	}
	var faults sync.WaitGroup
	faults.Go(f.runFaults)
	var seconds sync.WaitGroup
	seconds.Go(func() { f.countSeconds(report) })
	var stalls sync.WaitGroup
	stalls.Go(func() { report.LongestStallMs = milliseconds(longestStall(f.ctx)) })
	for a := range f.scenario.arrivals {
		if f.sleep(max(time.Until(f.startedAt.Add(a.at)), 0)) != nil {
			break
		}
		f.startRequest(a, f.startedAt.Add(a.at))
	}
	seconds.Wait()
	f.cancel()
	faults.Wait()
	stalls.Wait()
	return report
}

// startRequest starts a desktop's request of the schedule.
func (f *Fleet) startRequest(a arrival, began time.Time) {
	request := &request{
		arrival: a, class: &f.scenario.Classes[a.class], random: rand.New(rand.NewPCG(a.seed, 5)),
		startedAt: began, idempotencyKey: fmt.Sprintf("k%016x", a.seed),
	}
	f.record(func(t *tally) { t.Started++; t.UtilityOffered += f.utility(request) })
	f.goroutines.Go(func() { f.runRequest(request) })
}

// copyLogs copies the processes' logs to Options.LogDir, at most 16 MiB of each.
func (f *Fleet) copyLogs() error {
	if err := os.MkdirAll(f.options.LogDir, 0o755); err != nil {
		return err
	}
	logs, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	if err != nil {
		return err
	}
	for _, path := range logs {
		source, err := os.Open(path)
		if err != nil {
			return err
		}
		target, err := os.Create(filepath.Join(f.options.LogDir, filepath.Base(path)))
		if err == nil {
			_, err = io.Copy(target, io.LimitReader(source, 16<<20))
			err = errors.Join(err, target.Close())
		}
		if err = errors.Join(err, source.Close()); err != nil {
			return err
		}
	}
	return nil
}
