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
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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

// place is one node with its worker pool.
type fleetNode struct {
	process         *process
	dir             string
	addr            string
	poolLink        *Link
	controlLinks    []*Link
	pool            *platform.Pool
	poolIncarnation int
	resultsCopy     string // a copy of its folder as of the start
}

// service is one control service.
type controlService struct {
	process             *process
	reportAddr, xdsAddr string
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

func (f *Fleet) addControl(i int) (err error) {
	service := &controlService{}
	if service.reportAddr, err = f.reservePort(); err != nil {
		return err
	}
	if service.xdsAddr, err = f.reservePort(); err != nil {
		return err
	}
	name := fmt.Sprintf("control%d", i+1)
	service.process = &process{name: name, program: f.options.Control, logPath: filepath.Join(f.dir, name+".log"), starter: f.starter,
		args: []string{"--reports", service.reportAddr, "--xds", service.xdsAddr, "--dir", filepath.Join(f.dir, name)}}
	f.controlServices = append(f.controlServices, service)
	if err := service.process.start(); err != nil {
		return err
	}
	return waitReachable(f.ctx, service.reportAddr, 10*time.Second)
}

func (f *Fleet) addNode(i int) (err error) {
	node := &fleetNode{}
	f.nodes = append(f.nodes, node)
	name := fmt.Sprintf("n%d", i+1)
	node.dir = filepath.Join(f.dir, name)
	node.process = &process{name: name, program: f.options.Node, logPath: filepath.Join(f.dir, name+".log"), starter: f.starter,
		args: []string{"run", "--config", filepath.Join(node.dir, "robinmast.ini")},
		env:  []string{"EDGE_CONFIG=" + filepath.Join(node.dir, "config.json")}}
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
	if err := f.scenario.writeNodeConfig(node.dir, name, node.addr, node.poolLink.Addr(), membersLink.Addr(), f.scenario.Fleet.Seed+uint64(i), controlAddrs, i < f.scenario.Fleet.PlainNodes); err != nil {
		return err
	}
	if f.options.Prepare != nil {
		if err := f.options.Prepare(i, node.dir); err != nil {
			return fmt.Errorf("prepare %s: %w", name, err)
		}
	}
	return f.addSettings(node)
}

// more adds the options' keys to a node's file.
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

// startPool starts a node's worker pool anew.
func (f *Fleet) startPool(i int, cold bool) (err error) {
	node := f.nodes[i]
	node.poolIncarnation++
	pool, incarnation := fmt.Sprintf("%d.%d", i, node.poolIncarnation), node.poolIncarnation
	node.pool, err = platform.StartPool(f.scenario.Fleet.Cores, f.scenario.Fleet.Contention, func(run platform.Run) (float64, string, []byte) {
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
	})
	if err != nil {
		return err
	}
	if cold {
		node.pool.Cold(f.scenario.Fleet.ColdSpeed, f.scenario.Fleet.WarmUpTime)
	}
	node.poolLink.SetTarget(node.pool.Addr())
	return nil
}

// note changes the figures of the present second.
func (f *Fleet) record(change func(*tally)) {
	f.mu.Lock()
	change(&f.current)
	f.mu.Unlock()
}

// sound reports whether no fault stands between a dispatcher and a node, nor in it.
func (f *Fleet) noFault(dispatcher, node int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.activeFaults[[2]int{dispatcher, node}] == 0 && f.activeFaults[[2]int{-1, node}] == 0
}

func (f *Fleet) currentProbeFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probeFactor
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

// turn carries out the faults.
func (f *Fleet) runFaults() {
	for _, change := range f.scenario.faultChanges() {
		if f.sleep(max(time.Until(f.began.Add(change.at)), 0)) != nil {
			return
		}
		f.mu.Lock()
		f.faultMarks = append(f.faultMarks, FaultMark{At: change.at.Seconds(), Fault: change.fault.Name, On: change.begins})
		f.mu.Unlock()
		f.applyFault(change.fault, change.begins)
	}
}

// disturb notes that something stands between a dispatcher (-1 = all) and a node.
// Its end counts a while later: what was under way may still suffer.
func (f *Fleet) trackFault(dispatcher, node int, on bool) {
	add := func(delta int) {
		f.mu.Lock()
		f.activeFaults[[2]int{dispatcher, node}] += delta
		f.mu.Unlock()
	}
	if on {
		add(1)
		return
	}
	time.AfterFunc(2*time.Second+f.scenario.Dispatchers.TryTimeout, func() { add(-1) })
}

// apply begins or ends a fault.
func (f *Fleet) applyFault(fault *FaultSection, on bool) {
	switch {
	case slices.Contains(processFaults, fault.Kind):
		targets, _ := f.scenario.selectMembers(fault.Targets, "nodes", "control") // it was checked
		var changes sync.WaitGroup
		for _, i := range targets.index {
			changes.Go(func() {
				if targets.group == "control" {
					f.applyToControlService(fault, i, on)
					return
				}
				f.trackFault(-1, i, on)
				f.applyToNode(fault, i, on)
			})
		}
		changes.Wait()
	case slices.Contains(linkFaults, fault.Kind):
		from, to, _ := f.scenario.linkEnds(fault.Link)
		for _, l := range f.links[from.group+"->"+to.group] {
			if !from.contains(from.group, l.from) || !to.contains(to.group, l.to) {
				continue
			}
			switch {
			case from.group == "dispatchers":
				f.trackFault(l.from, l.to, on)
			case to.group == "pools":
				f.trackFault(-1, l.from, on)
			}
			l.SetFaults(fault.linkFaults(on))
		}
	default:
		f.applyToClients(fault, on)
	}
}

// faults is what a fault does to a link.
func (f *FaultSection) linkFaults(on bool) (faults Faults) {
	if !on {
		return faults
	}
	switch f.Kind {
	case "cut":
		faults.CutUp, faults.CutDown = true, true
	case "cut_up":
		faults.CutUp = true
	case "cut_down":
		faults.CutDown = true
	case "throttle":
		faults.BytesPerSecond = max(f.BytesPerSecond, 100)
	case "half_open":
		faults.HalfOpen = true
	case "reset":
		faults.Reset = true
	case "mid_message":
		faults.StopAfter = max(f.StopAfter, 1)
	}
	faults.Delay, faults.Jitter = f.Delay, f.Jitter
	return faults
}

func (f *Fleet) applyToNode(fault *FaultSection, i int, on bool) {
	node := f.nodes[i]
	switch {
	case fault.Kind == "kill" && on, fault.Kind == "term" && on:
		if fault.Kind == "term" {
			node.process.terminate(3 * time.Second)
		} else {
			node.process.kill()
		}
		_ = node.pool.Close()
		node.poolLink.SetTarget("")
	case fault.Kind == "late" && on:
	case fault.Kind == "kill", fault.Kind == "term", fault.Kind == "late":
		f.prepareResults(node, fault.ResultsState)
		if fault.Kind != "late" && f.startPool(i, true) != nil {
			return // its node reports nothing, and that shows
		}
		if err := node.process.start(); err != nil {
			f.record(func(t *tally) { t.Crashes++ })
		}
	case fault.Kind == "hang":
		node.pool.Pause(on)
		fallthrough
	case fault.Kind == "stop":
		node.process.signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[on])
	case fault.Kind == "squeeze" && on:
		node.process.throttle(fault.Factor)
	case fault.Kind == "squeeze":
		node.process.unthrottle()
	case fault.Kind == "slow" && on:
		node.pool.Slow(fault.Factor)
	case fault.Kind == "slow":
		node.pool.Slow(1)
	}
}

// folder prepares what a started node finds of its results.
func (f *Fleet) prepareResults(node *fleetNode, state string) {
	results := filepath.Join(node.dir, "results")
	if state == "keep" {
		return
	}
	if state == "half" {
		files, _ := filepath.Glob(filepath.Join(results, "*-*")) // its pattern is well formed
		for i, file := range files {
			if i%2 == 0 {
				_ = os.Remove(file) // a file of ours
			}
		}
		return
	}
	_ = os.RemoveAll(results) // a folder of ours
	switch {
	case state == "old" && node.resultsCopy != "":
		_ = os.CopyFS(results, os.DirFS(node.resultsCopy))
	case state == "swap":
		other := f.nodes[(slices.Index(f.nodes, node)+1)%len(f.nodes)]
		_ = os.CopyFS(results, os.DirFS(filepath.Join(other.dir, "results"))) // as of now, as by a hand's mistake
	}
}

func (f *Fleet) applyToControlService(fault *FaultSection, i int, on bool) {
	process := f.controlServices[i].process
	switch {
	case (fault.Kind == "kill" || fault.Kind == "term") && on:
		process.kill()
	case fault.Kind == "kill", fault.Kind == "term", fault.Kind == "late":
		if fault.ResultsState == "empty" {
			_ = os.RemoveAll(filepath.Join(f.dir, process.name))
		}
		if err := process.start(); err != nil {
			f.record(func(t *tally) { t.Crashes++ })
		}
	default:
		process.signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[on])
	}
}

func (f *Fleet) applyToClients(fault *FaultSection, on bool) {
	switch {
	case fault.Kind == "probe":
		f.mu.Lock()
		f.probeFactor = map[bool]float64{true: fault.Factor, false: 1}[on]
		f.mu.Unlock()
	case fault.Kind == "reconnect" && on:
		targets, err := f.scenario.selectMembers(fault.Targets, "dispatchers")
		if err != nil {
			targets, _ = f.scenario.selectMembers("dispatchers", "dispatchers")
		}
		for _, d := range targets.index {
			f.dispatchers[d].reconnect()
		}
	case fault.Kind == "return" && on: // every desktop comes at once: a second's worth of capacity
		random := rand.New(rand.NewPCG(f.scenario.Fleet.Seed, 6))
		for range int(f.scenario.capacity()) {
			a := arrival{class: random.IntN(len(f.scenario.Classes)), dispatcher: random.IntN(len(f.dispatchers)), seed: random.Uint64()}
			a.workMs = f.scenario.Classes[a.class].WorkMs * (0.5 + random.ExpFloat64()/2)
			f.startRequest(a, time.Now())
		}
	}
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
