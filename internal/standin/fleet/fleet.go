// Package fleet owns rehearsals: a fleet of real processes of ours on loopback,
// with stand-ins for what they talk to, a fault proxy on every link, and callers
// that behave as callers do; what becomes of it is seen from outside only. It
// must never be linked into a program in service but robinmastctl, listen beyond
// loopback, or end a process that it did not start.
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

// Options are what a rehearsal needs besides its scenario.
type Options struct {
	Node, Control string                           // the programs
	Tell          func(Second)                     // each second as it ends, nil = nobody
	OnStarted     func(f *Fleet)                   // once when all is up, nil = nobody
	NodeSettings  map[string]string                // further keys of the nodes' file, by section
	Prepare       func(node int, dir string) error // of a node's folder before its first start, nil = nothing
	Keep          string                           // folder that logs are copied to, "" = none
}

// Fleet is a rehearsal under way.
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
	heldPorts       []*os.File             // ports of children
	links           map[string][]groupLink // by "from->to" of groups

	mu                sync.Mutex
	current           tally
	activeFaults      map[[2]int]int // faults between a dispatcher and a node, -1 = all
	probeFactor       float64
	runCounts         map[string]int // runs of what may not run twice, by node, life and key
	firstIncarnation  map[string]int // the life of a node in which a key ran first, by node and key
	rerunAfterRestart int            // keys that ran in a later life of the same node too
	faultMarks        []FaultMark
	began             time.Time
	running           sync.WaitGroup
}

// linkAt is a link between two members of groups.
type groupLink struct {
	*Link
	from, to int
}

// Addrs of the control services' reports, as operators reach them.
func (f *Fleet) ControlAddrs() (list []string) {
	for _, c := range f.controlServices {
		list = append(list, c.reportAddr)
	}
	return list
}

// Nodes tells how many there are.
func (f *Fleet) Nodes() int { return len(f.nodes) }

// Log is what a node has said so far.
func (f *Fleet) Log(node int) string {
	text, _ := os.ReadFile(f.nodes[node].process.logPath) // nothing yet
	return string(text)
}

// Opened is how many connections the nodes have made to a group, by node.
func (f *Fleet) ConnectionsOpened(to string) (counts []int) {
	counts = make([]int, len(f.nodes))
	for _, l := range f.links["nodes->"+to] {
		counts[l.from] += l.ConnectionsOpened()
	}
	return counts
}

// Run plays a scenario and tells how it went. An error says that it could not be
// played; what went wrong in it stands in the report.
func Run(ctx context.Context, scenario *Scenario, opt Options) (report *Report, err error) {
	f := &Fleet{scenario: scenario, options: opt, links: map[string][]groupLink{}, activeFaults: map[[2]int]int{}, probeFactor: 1, runCounts: map[string]int{}, firstIncarnation: map[string]int{}}
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
	f.running.Wait()
	f.summarize(report)
	if err := ctx.Err(); err != nil {
		return report, fmt.Errorf("the rehearsal was cut short: %w", err)
	}
	if opt.Keep != "" {
		err = f.copyLogs()
	}
	return report, err
}

// close ends everything, in an order that leaves nobody waiting.
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
	f.running.Wait()
	for _, h := range f.heldPorts {
		_ = h.Close()
	}
}

// link makes a link and files it under its groups.
func (f *Fleet) addLink(from string, i int, to string, j int, target string) (*Link, error) {
	l, err := NewLink(target, f.scenario.Fleet.Seed^uint64(i*1000+j))
	if err == nil {
		key := from + "->" + to
		f.links[key] = append(f.links[key], groupLink{l, i, j})
	}
	return l, err
}

// build starts everything and waits until all nodes listen.
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
	random := rand.New(rand.NewPCG(f.scenario.Fleet.Seed, 4))
	order := random.Perm(f.scenario.Dispatchers.Count)
	followers := int(f.scenario.Dispatchers.FollowShare*float64(f.scenario.Dispatchers.Count) + 0.5)
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
		f.dispatchers = append(f.dispatchers, newDispatcher(f, d, order[d] < followers))
	}
	startsLate := map[int]bool{}
	for i := range f.scenario.Faults {
		if fault := &f.scenario.Faults[i]; fault.Kind == "late" {
			targets, _ := f.scenario.selectMembers(fault.Targets, "nodes", "control") // it was checked
			for _, j := range targets.index {
				startsLate[j] = startsLate[j] || targets.group == "nodes"
			}
		}
	}
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
			_ = os.CopyFS(n.resultsCopy, os.DirFS(filepath.Join(n.dir, "results"))) // a folder being written to: what a copy by hand gets
		}
	}
	return nil
}

// addr takes a port for a child until the rehearsal is over.
func (f *Fleet) reservePort() (string, error) {
	addr, port, err := reserveAddr()
	if err == nil {
		f.heldPorts = append(f.heldPorts, port)
	}
	return addr, err
}

// note changes the figures of the present second.
func (f *Fleet) record(change func(*tally)) {
	f.mu.Lock()
	change(&f.current)
	f.mu.Unlock()
}

// playAll sends the schedule's requests, turns the faults on and off, and counts.
func (f *Fleet) runSchedule() *Report {
	report := &Report{Scenario: f.scenario.Name, Seed: f.scenario.Fleet.Seed, Nodes: f.scenario.Fleet.Nodes, Capacity: f.scenario.capacity(), Together: f.scenario.Fleet.Together}
	f.began = time.Now()
	for _, d := range f.dispatchers {
		d.startProbes(&f.running)
	}
	var faults sync.WaitGroup
	faults.Go(f.runFaults)
	var seconds sync.WaitGroup
	seconds.Go(func() { f.countSeconds(report) })
	for a := range f.scenario.arrivals {
		if f.sleep(max(time.Until(f.began.Add(a.at)), 0)) != nil {
			break
		}
		f.startRequest(a, f.began.Add(a.at))
	}
	seconds.Wait()
	f.cancel()
	faults.Wait()
	return report
}

// ask lets a desktop begin a request.
func (f *Fleet) startRequest(a arrival, began time.Time) {
	request := &request{arrival: a, class: &f.scenario.Classes[a.class], random: rand.New(rand.NewPCG(a.seed, 5)),
		startedAt: began, idempotencyKey: fmt.Sprintf("k%016x", a.seed)}
	f.record(func(t *tally) { t.Started++; t.UtilityOffered += f.utility(request) })
	f.running.Go(func() { f.runRequest(request) })
}

// keep copies the logs for whoever wants to look.
func (f *Fleet) copyLogs() error {
	if err := os.MkdirAll(f.options.Keep, 0o755); err != nil {
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
		target, err := os.Create(filepath.Join(f.options.Keep, filepath.Base(path)))
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
