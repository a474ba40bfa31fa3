// Command robinmast is one real node: the decision module behind real sockets.
// This file owns its start, its signals and its exit; it wires the parts
// together and must never decide about a request or touch a connection.
//
// SIGTERM and SIGINT are the notice to leave, SIGHUP makes it read its
// configuration again, SIGUSR1 logs the counters.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"robinmast/internal/config"
	"robinmast/internal/dependency"
	"robinmast/internal/exchange"
	"robinmast/internal/front"
	"robinmast/internal/members"
	"robinmast/internal/node"
	"robinmast/internal/pool"
	"robinmast/internal/recovery"
	"robinmast/internal/resultcache"
	"robinmast/internal/settings"
	"robinmast/internal/store"
	"robinmast/rules"
)

// Mechanics of the process.
const (
	heapShare    = 0.7                    // of the memory limit that Go's own limit takes: stacks and the kernel need some
	gcPercent    = 100                    // measured: see docs/results.md
	callSockets  = 32                     // descriptors for calls below, where there are any
	ownSockets   = 16                     // descriptors for everything but dispatchers' connections
	outShare     = 8                      // part of the memory that all out rings may take: 1 of so many
	keyShare     = 8                      // part of the memory that kept results may take: 1 of so many
	exitMargin   = 250 * time.Millisecond // from the last answers to the stop: to flush and exit
	drainPoll    = 5 * time.Millisecond   // how often a leaving node looks whether it is done
	finMargin    = 300 * time.Millisecond // from `0 FIN` to the last answers, at least
	quietExit    = 100 * time.Millisecond // nothing may come in for so long before it leaves early
	flushTimeout = 100 * time.Millisecond // for the last answers
	logFlush     = 50 * time.Millisecond  // for the last log lines
	leaveMost    = time.Second            // for connections to end once all is answered
	killMargin   = 60 * time.Millisecond  // before the stop, at which connections are given up
	endMost      = time.Second            // for the parts to end, at least
	listenWait   = 20 * time.Millisecond  // between tries to listen while another process holds the address
	listenMost   = 10 * time.Second       // of them
	upkeepSpread = 10 * time.Second       // over which nodes that come back together begin their stores' upkeep
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// serveNode serves as one node until it has left. An error that comes before
// anything listens is one line on standard error, later ones are logged.
func serveNode(own *config.Config) error {
	began := time.Now()
	leave, other := make(chan os.Signal, 1), make(chan os.Signal, 16) // apart: no flood of the others crowds a notice out
	signal.Notify(leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(other, syscall.SIGHUP, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // else the node would die with the reader of its log
	cfg, err := load(os.Getenv)
	if err != nil {
		return failure{error: err, status: statusConfig}
	}
	limit(cfg)
	cfg.own, cfg.began = own, began
	settings.UseShedding(&cfg.set, own)
	if err := settings.UsePools(&cfg.set, cfg.names, own); err != nil {
		return failure{error: err, status: statusConfig}
	}
	out := newLogWriter(os.Stderr)
	log := newLog(out, own.Log).With("node", cfg.Name)
	mem, err := remember(cfg, log)
	if err != nil {
		out.close(logFlush)
		return failure{error: err, status: statusFailed}
	}
	back, shut, err := comeBack(cfg, mem, began, log)
	if err != nil {
		out.close(logFlush)
		return failure{error: err, status: statusFailed}
	}
	defer shut()
	ln, err := listen(cfg.Listen, leave, log)
	if err != nil {
		out.close(logFlush)
		return failure{error: fmt.Errorf("listen: %w", err), status: statusFailed}
	}
	if ln == nil {
		log.Info("notice to leave before anything listened")
		out.close(logFlush)
		return nil
	}
	err = serve(cfg, mem, back, ln, notices{leave, other}, func() (*platform, error) { return load(os.Getenv) }, log)
	if err != nil {
		log.Error("node failed", "err", err)
	}
	out.close(logFlush)
	if err != nil {
		return failure{error: err, status: statusFailed, silent: true}
	}
	return nil
}

// listen opens the listener. A port that a former process still holds is waited
// for, as that one is about to end. Without a listener and an error it was told to leave.
func listen(addr string, leave <-chan os.Signal, log *slog.Logger) (net.Listener, error) {
	for began, told := time.Now(), false; ; {
		select {
		case <-leave:
			return nil, nil
		default:
		}
		ln, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > listenMost {
			return ln, err
		}
		if !told {
			told = true
			log.Warn("another process holds the address, waiting for it to end", "listen", addr, "most", listenMost)
		}
		select {
		case <-leave:
			return nil, nil
		case <-time.After(listenWait):
		}
	}
}

// remember opens what outlives the node, nil if [results] is off. A store that
// can't be opened ends the start, or leaves the node without memory, as set.
func remember(cfg *platform, log *slog.Logger) (*resultcache.Cache, error) {
	if !cfg.own.Results.Enabled {
		return nil, nil
	}
	spread := time.Duration(0)
	if cfg.own.Recovery.Enabled {
		spread = upkeepSpread
	}
	mem, err := resultcache.Open(resultcache.Config{
		Results: cfg.own.Results, Store: cfg.own.Store, Settings: cfg.set, Names: cfg.names, Log: log, Spread: spread,
	})
	if err != nil && cfg.own.Results.Forget {
		log.Error("serving without remembered results: what ran before this start may run again", "err", err)
		return nil, nil
	}
	return mem, err
}

// comeBack begins the node's way back to full service, nil if [comeback] is off;
// shut closes what it opened itself.
func comeBack(cfg *platform, mem *resultcache.Cache, began time.Time, log *slog.Logger) (k *recovery.Keeper, shut func(), err error) {
	shut = func() {}
	own := cfg.own.Recovery
	if !own.Enabled {
		return nil, shut, nil
	}
	c := recovery.Config{Own: own, Node: cfg.Name, Listens: len(cfg.own.Control.Address), Settings: cfg.set, Names: cfg.names, Log: log}
	switch {
	case mem != nil:
		c.Store, c.Recovery, c.Results = mem.Store(), mem.Recovery(), true
	case own.Snapshot && own.Dir != "":
		s, rec, err := store.Open(own.Dir, store.Options{Interval: cfg.own.Store.Interval})
		if err != nil { // a snapshot is worth less than a start
			log.Error("serving without a snapshot", "err", err)
			break
		}
		c.Store, c.Recovery = s, rec
		shut = func() {
			if err := s.Close(); err != nil {
				log.Error("the snapshot's store was not closed in order", "err", err)
			}
		}
	}
	k, err = recovery.Open(c, began)
	return k, shut, err
}

// limit keeps the process within what the platform grants.
func limit(cfg *platform) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * cfg.Limits.MemoryMB * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

// parts are the pieces of a running node.
type parts struct {
	cfg    *platform
	reload func() (*platform, error)
	log    *slog.Logger
	ledger *exchange.Counters
	front  *front.Server
	pool   *pool.Link
	report *members.Reporter
	node   *node.Node
	memory *resultcache.Cache // nil = nothing is remembered
	below  *dependency.Client // nil = nothing is called

	reloaded chan reloaded // a configuration that was read anew
	reading  bool          // one is being read
	again    bool          // it was asked for meanwhile

	control *controlReport   // nil = no reports to a control service
	back    *recovery.Keeper // nil = the way back to full service is not looked at
}

// notices are the signals: to leave, and all others. One channel may be both.
type notices struct{ leave, other <-chan os.Signal }

// reloaded is what came of reading the configuration anew.
type reloaded struct {
	cfg *platform
	err error
}

// serve runs the node until it has left; reload reads the configuration anew.
func serve(
	cfg *platform, mem *resultcache.Cache, back *recovery.Keeper, ln net.Listener, signals notices, reload func() (*platform, error), log *slog.Logger,
) error {
	memory := int64(cfg.Limits.MemoryMB * (1 << 20))
	p := &parts{
		cfg: cfg, reload: reload, log: log, memory: mem, back: back, reloaded: make(chan reloaded, 1),
		ledger: &exchange.Counters{}, report: members.New(cfg.Members, cfg.Name, log),
	}
	nc := node.Config{
		Settings: cfg.set, Seed: cfg.seed, ResultBytes: int(memory / keyShare), Health: p.report.SetServing, Log: log,
	}
	if len(cfg.own.Control.Address) > 0 {
		var err error
		if p.control, err = newControlReport(cfg, p.ledger, log); err != nil {
			return err
		}
		if cfg.own.Shedding.Enabled {
			nc.LoadReport = p.control.word
		}
		nc.Load, nc.Health = p.control.load, func(good bool) {
			p.report.SetServing(good)
			p.control.health(good)
		}
	}
	if mem != nil { // else the interface would not be nil
		nc.ResultCache = mem
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sockets := cfg.Limits.Sockets - ownSockets
	if cfg.set.Dependency == rules.DependencyShared {
		conns := max(min(callSockets, cfg.Limits.Sockets/8), 1)
		p.below = dependency.New(ctx, cfg.DB, conns, log)
		nc.Calls = p.below
		sockets -= conns
	}
	if back != nil {
		nc.Recovery = back
	}
	p.node = node.New(nc)
	if p.control != nil && back != nil {
		p.control.remembers(back, p.node.ObservePrevious, p.node.FleetCapacity)
	}
	if p.control != nil && cfg.own.Shedding.Enabled && cfg.own.Shedding.Told {
		p.control.told = p.node.ReceiveDigest
	}
	setup := 0.0
	if cfg.own.Shedding.Enabled {
		setup = cfg.own.Shedding.Setup * cfg.Limits.Cores
	}
	p.front = front.New(front.Config{
		Settings: cfg.set, Names: cfg.names, MaxConns: max(sockets, 1),
		OutBytes: memory / outShare, SetupCPUShare: setup, Log: log,
	}, p.node, p.ledger)
	p.pool = pool.New(cfg.Pool, p.node, log)
	if cfg.own.Shedding.Enabled { // its own repeats are part of the harm too
		p.pool.UseBackoff(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		p.report.UseBackoff(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}
	p.node.Attach(p.front, p.pool)

	failed := make(chan error, 2)
	var running sync.WaitGroup
	start := func(f func()) { running.Go(f) }
	start(func() {
		if err := p.node.Run(ctx); err != nil {
			failed <- err
		}
	})
	start(func() {
		if err := p.front.Serve(ctx, ln); err != nil {
			failed <- err
		}
	})
	start(func() { p.pool.Run(ctx) })
	start(func() { p.report.Run(ctx) })
	if p.control != nil {
		for _, l := range p.control.links {
			start(func() { l.reporter.Run(ctx) })
		}
	}
	log.Info("node started", "listen", cfg.Listen, "pool", cfg.Pool, "members", cfg.Members,
		"memory_mb", cfg.Limits.MemoryMB, "sockets", cfg.Limits.Sockets, "after_ms", cfg.age().Milliseconds())

	for {
		var sig os.Signal
		select {
		case err := <-failed:
			return err
		case r := <-p.reloaded:
			p.readdress(r)
			continue
		case sig = <-signals.leave:
		case sig = <-signals.other:
		}
		if p.told(sig) {
			continue
		}
		notice := time.Now()
		p.drain(notice, signals)
		cancel()
		p.ended(&running, notice)
		p.count(log, lineStopped)
		return nil
	}
}

// ended waits for the parts to end. One that hangs does not keep the process: all
// is answered and no connection is left.
func (p *parts) ended(running *sync.WaitGroup, notice time.Time) {
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(max(p.cfg.stop()-time.Since(notice)-killMargin/2, endMost)):
		p.log.Error("a part of the node did not end in time")
	}
}

// told carries out a signal that is no notice to leave; it reports whether it
// was one. Such a signal may also come while the node leaves.
func (p *parts) told(sig os.Signal) bool {
	switch sig {
	case syscall.SIGUSR1:
		p.count(p.log, linePresent)
	case syscall.SIGHUP:
		p.reread()
	default:
		return false
	}
	return true
}

// reread reads the configuration anew, beside the loop: a file that can't be read
// to its end must not keep a notice to leave from being heard.
func (p *parts) reread() {
	if p.again = p.reading; p.again {
		return
	}
	p.reading = true
	go func() {
		cfg, err := p.reload()
		p.reloaded <- reloaded{cfg, err}
	}()
}

// readdress takes up the addresses of a configuration that was replaced. One
// that can't be used, or asks for what takes a restart, changes nothing: whoever
// wrote it is told, and the node serves on with what it has.
func (p *parts) readdress(r reloaded) {
	p.reading = false
	if p.again {
		p.reread()
	}
	cfg, err := r.cfg, r.err
	if err != nil {
		p.log.Error("new configuration not taken", "err", err)
		return
	}
	if cfg.Name != p.cfg.Name || cfg.Listen != p.cfg.Listen || cfg.StopMs != p.cfg.StopMs || cfg.Limits != p.cfg.Limits ||
		!sameSettings(cfg.set, p.cfg.set) || !reflect.DeepEqual(cfg.names, p.cfg.names) {
		p.log.Error("new configuration not taken", "err", "more than the pool and members addresses differs: that takes a restart")
		return
	}
	p.log.Info("new configuration", "pool", cfg.Pool, "members", cfg.Members,
		"pool_moves", cfg.Pool != p.cfg.Pool, "members_move", cfg.Members != p.cfg.Members)
	p.cfg.Pool, p.cfg.Members, p.cfg.DB = cfg.Pool, cfg.Members, cfg.DB
	p.pool.ChangeAddress(cfg.Pool)
	p.report.ChangeAddress(cfg.Members)
	if p.below != nil {
		p.below.ChangeAddress(cfg.DB)
	}
}

// sameSettings compares what the platform says; pools and together are the node's own,
// and whether a node has just started is no setting of it.
func sameSettings(a, b rules.Settings) bool {
	a.ColdStart = b.ColdStart
	a.NewPools, b.NewPools = nil, nil
	a.NewShedder, b.NewShedder = nil, nil
	return reflect.DeepEqual(a, b)
}

// drain leaves: everything read is answered and sent before it returns, and it
// returns before the process would be killed. Connections stay open for the
// grace, since what comes within it still runs and a new connection is work;
// then each gets `0 FIN` and new ones are refused, which proves that nothing ran.
// Once all is quiet the connections are ended, each when it owes nothing.
func (p *parts) drain(notice time.Time, signals notices) {
	cfg, log := p.cfg, p.log
	stop := cfg.stop()
	left := max(stop-exitMargin, stop/2)
	log.Info("notice to leave", "stop", stop, "in_hand", p.ledger.OpenRequests())
	p.node.Drain(left)
	if p.control != nil {
		p.control.drain(left)
	}
	grace := max(min(cfg.set.DrainGrace, left-finMargin), 0)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	refusing, quiet, read := false, notice, p.ledger.Read.Load()
	for {
		select {
		case sig := <-signals.leave: // told already
			p.told(sig)
		case sig := <-signals.other:
			p.told(sig)
		case r := <-p.reloaded:
			p.readdress(r)
		case <-tick.C:
		}
		since := time.Since(notice)
		if !refusing && since >= grace { // what comes from now on would not run
			refusing = true
			p.front.StopListening()
			p.front.SendFin()
		}
		if now := p.ledger.Read.Load(); now != read || p.ledger.OpenRequests() > 0 || !p.front.Flushed() {
			read, quiet = now, time.Now()
		}
		if refusing && time.Since(quiet) > quietExit || since >= left+flushTimeout {
			break
		}
	}
	log.Info("leaving", "after", time.Since(notice), "in_hand", p.ledger.OpenRequests(), "flushed", p.front.Flushed())
	if most := min(stop-time.Since(notice)-killMargin, leaveMost); !p.front.Drain(most) {
		log.Warn("connections did not end in time", "most", most, "in_hand", p.ledger.OpenRequests())
	}
}
