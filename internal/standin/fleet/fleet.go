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
	Look          func(f *Fleet)                   // once when all is up, nil = nobody
	Ini           map[string]string                // further keys of the nodes' file, by section
	Prepare       func(node int, dir string) error // of a node's folder before its first start, nil = nothing
	Keep          string                           // folder that logs are copied to, "" = none
}

// Fleet is a rehearsal under way.
type Fleet struct {
	s    *Scenario
	opt  Options
	dir  string
	ctx  context.Context
	stop context.CancelFunc

	starter     *starter
	nodes       []*place
	control     []*service
	members     *platform.Members
	dispatchers []*dispatcher
	toNode      [][]*Link // by dispatcher and node
	nextTxn     atomic.Uint64
	held        []*os.File          // ports of children
	links       map[string][]linkAt // by "from->to" of groups

	mu     sync.Mutex
	now    tally
	bad    map[[2]int]int // faults between a dispatcher and a node, -1 = all
	probes float64
	ran    map[string]int // runs of what may not run twice, by node, life and key
	lives  map[string]int // the life of a node in which a key ran first, by node and key
	again  int            // keys that ran in a later life of the same node too
	marks  []Mark
	began  time.Time
	asks   sync.WaitGroup
}

// linkAt is a link between two members of groups.
type linkAt struct {
	*Link
	from, to int
}

// place is one node with its worker pool.
type place struct {
	child  *child
	dir    string
	addr   string
	toPool *Link
	toCtl  []*Link
	pool   *platform.Pool
	life   int
	old    string // a copy of its folder as of the start
}

// service is one control service.
type service struct {
	child        *child
	reports, xds string
}

// Addrs of the control services' reports, as operators reach them.
func (f *Fleet) ControlAddrs() (list []string) {
	for _, c := range f.control {
		list = append(list, c.reports)
	}
	return list
}

// Nodes tells how many there are.
func (f *Fleet) Nodes() int { return len(f.nodes) }

// Log is what a node has said so far.
func (f *Fleet) Log(node int) string {
	text, _ := os.ReadFile(f.nodes[node].child.log) // nothing yet
	return string(text)
}

// Opened is how many connections the nodes have made to a group, by node.
func (f *Fleet) Opened(to string) (all []int) {
	all = make([]int, len(f.nodes))
	for _, l := range f.links["nodes->"+to] {
		all[l.from] += l.Opened()
	}
	return all
}

// Run plays a scenario and tells how it went. An error says that it could not be
// played; what went wrong in it stands in the report.
func Run(ctx context.Context, s *Scenario, opt Options) (r *Report, err error) {
	f := &Fleet{s: s, opt: opt, links: map[string][]linkAt{}, bad: map[[2]int]int{}, probes: 1, ran: map[string]int{}, lives: map[string]int{}}
	f.ctx, f.stop = context.WithCancel(ctx)
	defer f.stop()
	if f.dir, err = os.MkdirTemp("", "robinmast-fleet-"); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(f.dir)) }()
	f.starter = newStarter()
	defer f.starter.end()
	defer f.close()
	if err := f.build(); err != nil {
		return nil, err
	}
	if opt.Look != nil {
		opt.Look(f)
	}
	r = f.playAll()
	f.stop()
	f.asks.Wait()
	f.finish(r)
	if err := ctx.Err(); err != nil {
		return r, fmt.Errorf("the rehearsal was cut short: %w", err)
	}
	if opt.Keep != "" {
		err = f.keep()
	}
	return r, err
}

// close ends everything, in an order that leaves nobody waiting.
func (f *Fleet) close() {
	f.stop()
	for _, n := range f.nodes {
		n.child.end()
	}
	for _, c := range f.control {
		c.child.end()
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
	f.asks.Wait()
	for _, h := range f.held {
		_ = h.Close()
	}
}

// link makes a link and files it under its groups.
func (f *Fleet) link(from string, i int, to string, j int, target string) (*Link, error) {
	l, err := NewLink(target, f.s.Fleet.Seed^uint64(i*1000+j))
	if err == nil {
		key := from + "->" + to
		f.links[key] = append(f.links[key], linkAt{l, i, j})
	}
	return l, err
}

// build starts everything and waits until all nodes listen.
func (f *Fleet) build() (err error) {
	if f.members, err = platform.StartMembers(); err != nil {
		return err
	}
	for i := range f.s.Fleet.Control {
		if err := f.addControl(i); err != nil {
			return err
		}
	}
	for i := range f.s.Fleet.Nodes {
		if err := f.addNode(i); err != nil {
			return err
		}
	}
	rnd := rand.New(rand.NewPCG(f.s.Fleet.Seed, 4))
	order := rnd.Perm(f.s.Dispatchers.Count)
	heeding := int(f.s.Dispatchers.Heed*float64(f.s.Dispatchers.Count) + 0.5)
	for d := range f.s.Dispatchers.Count {
		var row []*Link
		for i, n := range f.nodes {
			l, err := f.link("dispatchers", d, "nodes", i, n.addr)
			if err != nil {
				return err
			}
			row = append(row, l)
		}
		f.toNode = append(f.toNode, row)
		f.dispatchers = append(f.dispatchers, newDispatcher(f, d, order[d] < heeding))
	}
	late := map[int]bool{}
	for i := range f.s.Faults {
		if p := &f.s.Faults[i]; p.What == "late" {
			m, _ := f.s.pick(p.On, "nodes", "control") // it was checked
			for _, j := range m.index {
				late[j] = late[j] || m.group == "nodes"
			}
		}
	}
	for i, n := range f.nodes {
		if late[i] {
			continue
		}
		if err := n.child.start(); err != nil {
			return err
		}
	}
	for i, n := range f.nodes {
		if late[i] {
			continue
		}
		if err := reachable(f.ctx, n.addr, 10*time.Second); err != nil {
			return fmt.Errorf("node %d did not start: %w: %s", i+1, err, strings.TrimSpace(f.Log(i)))
		}
	}
	if f.s.Fleet.Results {
		for _, n := range f.nodes {
			n.old = filepath.Join(n.dir, "old")
			_ = os.CopyFS(n.old, os.DirFS(filepath.Join(n.dir, "results"))) // a folder being written to: what a copy by hand gets
		}
	}
	return nil
}

// addr takes a port for a child until the rehearsal is over.
func (f *Fleet) addr() (string, error) {
	addr, held, err := holdAddr()
	if err == nil {
		f.held = append(f.held, held)
	}
	return addr, err
}

func (f *Fleet) addControl(i int) (err error) {
	c := &service{}
	if c.reports, err = f.addr(); err != nil {
		return err
	}
	if c.xds, err = f.addr(); err != nil {
		return err
	}
	name := fmt.Sprintf("control%d", i+1)
	c.child = &child{name: name, program: f.opt.Control, log: filepath.Join(f.dir, name+".log"), starter: f.starter,
		args: []string{"--reports", c.reports, "--xds", c.xds, "--dir", filepath.Join(f.dir, name)}}
	f.control = append(f.control, c)
	if err := c.child.start(); err != nil {
		return err
	}
	return reachable(f.ctx, c.reports, 10*time.Second)
}

func (f *Fleet) addNode(i int) (err error) {
	n := &place{}
	f.nodes = append(f.nodes, n)
	name := fmt.Sprintf("n%d", i+1)
	n.dir = filepath.Join(f.dir, name)
	n.child = &child{name: name, program: f.opt.Node, log: filepath.Join(f.dir, name+".log"), starter: f.starter,
		args: []string{"run", "--config", filepath.Join(n.dir, "robinmast.ini")},
		env:  []string{"EDGE_CONFIG=" + filepath.Join(n.dir, "config.json")}}
	if err := os.Mkdir(n.dir, 0o700); err != nil {
		return err
	}
	if n.addr, err = f.addr(); err != nil {
		return err
	}
	if n.toPool, err = f.link("nodes", i, "pools", i, ""); err != nil {
		return err
	}
	toMembers, err := f.link("nodes", i, "members", 0, f.members.Addr())
	if err != nil {
		return err
	}
	var ctl []string
	for j, c := range f.control {
		l, err := f.link("nodes", i, "control", j, c.reports)
		if err != nil {
			return err
		}
		n.toCtl = append(n.toCtl, l)
		ctl = append(ctl, l.Addr())
	}
	if err := f.startPool(i, false); err != nil {
		return err
	}
	if err := f.s.writeNode(n.dir, name, n.addr, n.toPool.Addr(), toMembers.Addr(), f.s.Fleet.Seed+uint64(i), ctl, i < f.s.Fleet.Plain); err != nil {
		return err
	}
	if f.opt.Prepare != nil {
		if err := f.opt.Prepare(i, n.dir); err != nil {
			return fmt.Errorf("prepare %s: %w", name, err)
		}
	}
	return f.more(n)
}

// more adds the options' keys to a node's file.
func (f *Fleet) more(n *place) error {
	if len(f.opt.Ini) == 0 {
		return nil
	}
	path := filepath.Join(n.dir, "robinmast.ini")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	all := string(text)
	for _, section := range slices.Sorted(func(yield func(string) bool) {
		for k := range f.opt.Ini {
			if !yield(k) {
				return
			}
		}
	}) {
		head := "[" + section + "]\n"
		if strings.Contains(all, head) {
			all = strings.Replace(all, head, head+f.opt.Ini[section]+"\n", 1)
		} else {
			all += head + f.opt.Ini[section] + "\n"
		}
	}
	return os.WriteFile(path, []byte(all), 0o600)
}

// startPool starts a node's worker pool anew.
func (f *Fleet) startPool(i int, cold bool) (err error) {
	n := f.nodes[i]
	n.life++
	who, life := fmt.Sprintf("%d.%d", i, n.life), n.life
	n.pool, err = platform.StartPool(f.s.Fleet.Cores, f.s.Fleet.Crowd, func(r platform.Run) (float64, string, []byte) {
		words := strings.SplitN(string(r.Body), " ", 2)
		ms, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			return 0, "error", nil
		}
		if len(words) > 1 {
			f.mu.Lock()
			f.ran[who+" "+words[1]]++
			key := fmt.Sprintf("%d %s", i, words[1])
			if first, known := f.lives[key]; !known {
				f.lives[key] = life
			} else if first != life {
				f.again++
			}
			f.mu.Unlock()
		}
		return ms, "complete", []byte("done by " + r.ID)
	})
	if err != nil {
		return err
	}
	if cold {
		n.pool.StartCold(f.s.Fleet.ColdFrom, f.s.Fleet.ColdRamp)
	}
	n.toPool.Aim(n.pool.Addr())
	return nil
}

// note changes the figures of the present second.
func (f *Fleet) note(change func(*tally)) {
	f.mu.Lock()
	change(&f.now)
	f.mu.Unlock()
}

// sound reports whether no fault stands between a dispatcher and a node, nor in it.
func (f *Fleet) sound(d, n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bad[[2]int{d, n}] == 0 && f.bad[[2]int{-1, n}] == 0
}

func (f *Fleet) probeRate() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probes
}

// playAll sends the schedule's requests, turns the faults on and off, and counts.
func (f *Fleet) playAll() *Report {
	r := &Report{Scenario: f.s.Name, Seed: f.s.Fleet.Seed, Nodes: f.s.Fleet.Nodes, Capacity: f.s.capacity(), Together: f.s.Fleet.Together}
	f.began = time.Now()
	for _, d := range f.dispatchers {
		d.probeAll(&f.asks)
	}
	var turning sync.WaitGroup
	turning.Go(f.turn)
	var seconds sync.WaitGroup
	seconds.Go(func() { f.tick(r) })
	for a := range f.s.arrivals {
		if f.pause(max(time.Until(f.began.Add(a.at)), 0)) != nil {
			break
		}
		f.ask(a, f.began.Add(a.at))
	}
	seconds.Wait()
	f.stop()
	turning.Wait()
	return r
}

// ask lets a desktop begin a request.
func (f *Fleet) ask(a arrival, began time.Time) {
	q := &request{arrival: a, class: &f.s.Classes[a.class], rnd: rand.New(rand.NewPCG(a.seed, 5)),
		began: began, unique: fmt.Sprintf("k%016x", a.seed)}
	f.note(func(t *tally) { t.Asked++; t.Offered += f.worth(q) })
	f.asks.Go(func() { f.play(q) })
}

// turn carries out the faults.
func (f *Fleet) turn() {
	for _, t := range f.s.turns() {
		if f.pause(max(time.Until(f.began.Add(t.at)), 0)) != nil {
			return
		}
		f.mu.Lock()
		f.marks = append(f.marks, Mark{At: t.at.Seconds(), Fault: t.fault.Name, On: t.on})
		f.mu.Unlock()
		f.apply(t.fault, t.on)
	}
}

// disturb notes that something stands between a dispatcher (-1 = all) and a node.
// Its end counts a while later: what was under way may still suffer.
func (f *Fleet) disturb(d, n int, on bool) {
	add := func(k int) {
		f.mu.Lock()
		f.bad[[2]int{d, n}] += k
		f.mu.Unlock()
	}
	if on {
		add(1)
		return
	}
	time.AfterFunc(2*time.Second+f.s.Dispatchers.Try, func() { add(-1) })
}

// apply begins or ends a fault.
func (f *Fleet) apply(p *FaultPart, on bool) {
	switch {
	case slices.Contains(processFaults, p.What):
		m, _ := f.s.pick(p.On, "nodes", "control") // it was checked
		var each sync.WaitGroup
		for _, i := range m.index {
			each.Go(func() {
				if m.group == "control" {
					f.onControl(p, i, on)
					return
				}
				f.disturb(-1, i, on)
				f.onNode(p, i, on)
			})
		}
		each.Wait()
	case slices.Contains(linkFaults, p.What):
		from, to, _ := f.s.ends(p.Link)
		for _, l := range f.links[from.group+"->"+to.group] {
			if !from.has(from.group, l.from) || !to.has(to.group, l.to) {
				continue
			}
			switch {
			case from.group == "dispatchers":
				f.disturb(l.from, l.to, on)
			case to.group == "pools":
				f.disturb(-1, l.from, on)
			}
			l.Set(p.faults(on))
		}
	default:
		f.onCallers(p, on)
	}
}

// faults is what a fault does to a link.
func (p *FaultPart) faults(on bool) (x Faults) {
	if !on {
		return x
	}
	switch p.What {
	case "cut":
		x.CutUp, x.CutDown = true, true
	case "cut_up":
		x.CutUp = true
	case "cut_down":
		x.CutDown = true
	case "throttle":
		x.Rate = max(p.Rate, 100)
	case "half_open":
		x.HalfOpen = true
	case "reset":
		x.Reset = true
	case "mid_message":
		x.After = max(p.After, 1)
	}
	x.Delay, x.Jitter = p.Delay, p.Jitter
	return x
}

func (f *Fleet) onNode(p *FaultPart, i int, on bool) {
	n := f.nodes[i]
	switch {
	case p.What == "kill" && on, p.What == "term" && on:
		if p.What == "term" {
			n.child.leave(3 * time.Second)
		} else {
			n.child.end()
		}
		_ = n.pool.Close()
		n.toPool.Aim("")
	case p.What == "late" && on:
	case p.What == "kill", p.What == "term", p.What == "late":
		f.folder(n, p.Folder)
		if p.What != "late" && f.startPool(i, true) != nil {
			return // its node reports nothing, and that shows
		}
		if err := n.child.start(); err != nil {
			f.note(func(t *tally) { t.Crashes++ })
		}
	case p.What == "hang":
		n.pool.SetPaused(on)
		fallthrough
	case p.What == "stop":
		n.child.signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[on])
	case p.What == "squeeze" && on:
		n.child.hold(p.Factor)
	case p.What == "squeeze":
		n.child.release()
	case p.What == "slow" && on:
		n.pool.SetSlowdown(p.Factor)
	case p.What == "slow":
		n.pool.SetSlowdown(1)
	}
}

// folder prepares what a started node finds of its results.
func (f *Fleet) folder(n *place, what string) {
	results := filepath.Join(n.dir, "results")
	if what == "keep" {
		return
	}
	if what == "half" {
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
	case what == "old" && n.old != "":
		_ = os.CopyFS(results, os.DirFS(n.old))
	case what == "swap":
		other := f.nodes[(slices.Index(f.nodes, n)+1)%len(f.nodes)]
		_ = os.CopyFS(results, os.DirFS(filepath.Join(other.dir, "results"))) // as of now, as by a hand's mistake
	}
}

func (f *Fleet) onControl(p *FaultPart, i int, on bool) {
	c := f.control[i].child
	switch {
	case (p.What == "kill" || p.What == "term") && on:
		c.end()
	case p.What == "kill", p.What == "term", p.What == "late":
		if p.Folder == "empty" {
			_ = os.RemoveAll(filepath.Join(f.dir, c.name))
		}
		if err := c.start(); err != nil {
			f.note(func(t *tally) { t.Crashes++ })
		}
	default:
		c.signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[on])
	}
}

func (f *Fleet) onCallers(p *FaultPart, on bool) {
	switch {
	case p.What == "probe":
		f.mu.Lock()
		f.probes = map[bool]float64{true: p.Factor, false: 1}[on]
		f.mu.Unlock()
	case p.What == "reconnect" && on:
		m, err := f.s.pick(p.On, "dispatchers")
		if err != nil {
			m, _ = f.s.pick("dispatchers", "dispatchers")
		}
		for _, d := range m.index {
			f.dispatchers[d].reconnect()
		}
	case p.What == "return" && on: // every desktop comes at once: a second's worth of capacity
		rnd := rand.New(rand.NewPCG(f.s.Fleet.Seed, 6))
		for range int(f.s.capacity()) {
			a := arrival{class: rnd.IntN(len(f.s.Classes)), dispatcher: rnd.IntN(len(f.dispatchers)), seed: rnd.Uint64()}
			a.ms = f.s.Classes[a.class].Ms * (0.5 + rnd.ExpFloat64()/2)
			f.ask(a, time.Now())
		}
	}
}

// keep copies the logs for whoever wants to look.
func (f *Fleet) keep() error {
	if err := os.MkdirAll(f.opt.Keep, 0o755); err != nil {
		return err
	}
	logs, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	if err != nil {
		return err
	}
	for _, path := range logs {
		in, err := os.Open(path)
		if err != nil {
			return err
		}
		out, err := os.Create(filepath.Join(f.opt.Keep, filepath.Base(path)))
		if err == nil {
			_, err = io.Copy(out, io.LimitReader(in, 16<<20))
			err = errors.Join(err, out.Close())
		}
		if err = errors.Join(err, in.Close()); err != nil {
			return err
		}
	}
	return nil
}
