package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"robinmast/internal/dependency"
	"robinmast/internal/exchange"
	"robinmast/internal/front"
	"robinmast/internal/members"
	"robinmast/internal/node"
	"robinmast/internal/pool"
	"robinmast/internal/recovery"
	"robinmast/internal/resultcache"
	"robinmast/rules"
)

// Mechanics of the parts.
const (
	callSockets = 32          // descriptors for calls below, where there are any
	ownSockets  = 16          // descriptors for everything but dispatchers' connections
	outShare    = 8           // part of the memory that all out rings may take: 1 of so many
	keyShare    = 8           // part of the memory that kept results may take: 1 of so many
	endMost     = time.Second // for the parts to end, at least
)

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
	if p.control != nil && cfg.own.Shedding.Enabled && cfg.own.Shedding.UseDigests {
		p.control.told = p.node.ReceiveDigest
	}
	setup := 0.0
	if cfg.own.Shedding.Enabled {
		setup = cfg.own.Shedding.SetupShare * cfg.Limits.Cores
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
