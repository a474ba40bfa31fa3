package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
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

// Shares of the node's sockets, memory and time.
const (
	maxCallSockets  = 32          // for downstream calls, if there are any
	reservedSockets = 16          // for everything but dispatchers' connections and downstream calls
	outBufferPart   = 8           // all output buffers together may use 1/8 of the memory
	resultCachePart = 8           // results in memory may use 1/8 of it
	intakePart      = 32          // requests that wait for the loop may use 1/32 of it
	minStopWait     = time.Second // least time for the components to stop
)

// runningNode holds the components of a running node and the state of a reload. All methods
// are called by the goroutine of serve.
type runningNode struct {
	cfg        *platform
	reload     func() (*platform, error)
	log        *slog.Logger
	requests   *exchange.Counters
	front      *front.Server
	pool       *pool.Link
	members    *members.Reporter
	node       *node.Node
	results    *resultcache.Cache // nil = [results] is off
	dependency *dependency.Client // nil = no downstream calls

	reloaded    chan reloaded // the result of a reload
	reloading   bool          // a reload is running
	reloadAgain bool          // another reload was requested meanwhile

	control  *controlReport    // nil = no reports to a control service
	recovery *recovery.Manager // nil = [comeback] is off
}

// notices holds the channels of the notice to leave and of all other signals. They may be the
// same channel.
type notices struct{ leave, other <-chan os.Signal }

// serve runs the node until it has left, or until a component fails; reload reads the
// platform's configuration again.
func serve(
	cfg *platform, results *resultcache.Cache, recoveryManager *recovery.Manager, ln net.Listener, signals notices,
	reload func() (*platform, error), log *slog.Logger,
) error {
	memory := int64(cfg.Limits.MemoryMB * (1 << 20))
	p := &runningNode{
		cfg: cfg, reload: reload, log: log, results: results,
		recovery: recoveryManager, reloaded: make(chan reloaded, 1),
		requests: &exchange.Counters{}, members: members.New(cfg.Members, cfg.Name, log),
	}
	nc := node.Config{
		Settings: cfg.nodeSettings, Seed: cfg.seed, ResultBytes: int(memory / resultCachePart),
		IntakeBytes: int(memory / intakePart),
		Health:      p.members.SetServing, Log: log,
	}
	if len(cfg.iniConfig.Control.Address) > 0 {
		var err error
		if p.control, err = newControlReport(cfg, p.requests, log); err != nil {
			return err
		}
		if cfg.iniConfig.Shedding.Enabled {
			nc.LoadReport = p.control.setShedding
		}
		nc.Load, nc.Health = p.control.setLoad, func(healthy bool) {
			p.members.SetServing(healthy)
			p.control.setHealthy(healthy)
		}
	}
	if results != nil { // a nil pointer in the interface would not equal nil
		nc.ResultCache = results
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sockets := cfg.Limits.Sockets - reservedSockets
	if cfg.nodeSettings.Dependency == rules.DependencyShared {
		conns := max(min(maxCallSockets, cfg.Limits.Sockets/8), 1)
		p.dependency = dependency.New(ctx, cfg.DB, conns, log)
		nc.Calls = p.dependency
		sockets -= conns
	}
	if recoveryManager != nil {
		nc.Recovery = recoveryManager
	}
	p.node = node.New(nc)
	if p.control != nil && recoveryManager != nil {
		p.control.useRecovery(recoveryManager, p.node.ObservePrevious, p.node.FleetCapacity)
	}
	if p.control != nil && cfg.iniConfig.Shedding.Enabled && cfg.iniConfig.Shedding.UseDigests {
		p.control.receiveDigest = p.node.ReceiveDigest
	}
	setupCPU := 0.0
	if cfg.iniConfig.Shedding.Enabled {
		setupCPU = cfg.iniConfig.Shedding.SetupShare * cfg.Limits.Cores
	}
	p.front = front.New(front.Config{
		Settings: cfg.nodeSettings, Names: cfg.names, MaxConns: max(sockets, 1),
		OutBytes: memory / outBufferPart, SetupCPUShare: setupCPU, ReadersAtOnce: runtime.GOMAXPROCS(0), Log: log,
	}, p.node, p.requests)
	p.pool = pool.New(cfg.Pool, p.node, log)
	if cfg.iniConfig.Shedding.Enabled { // the node's own reconnects and retries add to an overload too
		p.pool.UseBackoff(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		p.members.UseBackoff(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
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
	start(func() { p.members.Run(ctx) })
	if p.control != nil {
		for _, l := range p.control.links {
			start(func() { l.reporter.Run(ctx) })
		}
	}
	log.Info("node started", "listen", cfg.Listen, "pool", cfg.Pool, "members", cfg.Members,
		"memory_mb", cfg.Limits.MemoryMB, "sockets", cfg.Limits.Sockets, "after_ms", cfg.uptime().Milliseconds())

	for {
		var sig os.Signal
		select {
		case err := <-failed:
			return err
		case r := <-p.reloaded:
			p.applyReload(r)
			continue
		case sig = <-signals.leave:
		case sig = <-signals.other:
		}
		if p.handleSignal(sig) {
			continue
		}
		notice := time.Now()
		p.drain(notice, signals)
		cancel()
		p.waitForComponents(&running, notice)
		p.logCounters(log, stoppedMessage)
		return nil
	}
}

// waitForComponents waits for the components to stop, but not past the stop time: all requests
// are answered and no connection is left, so the process may exit while one hangs.
func (p *runningNode) waitForComponents(running *sync.WaitGroup, notice time.Time) {
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(max(p.cfg.stop()-time.Since(notice)-killMargin/2, minStopWait)):
		p.log.Error("a component of the node did not stop in time")
	}
}

// handleSignal carries out a signal other than the notice to leave, also while the node
// drains. It reports whether sig was such a signal.
func (p *runningNode) handleSignal(sig os.Signal) bool {
	switch sig {
	case syscall.SIGUSR1:
		p.logCounters(p.log, countersMessage)
	case syscall.SIGHUP:
		p.startReload()
	default:
		return false
	}
	return true
}
