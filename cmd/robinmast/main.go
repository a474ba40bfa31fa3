// Command robinmast runs one node: the decision module with its connections to dispatchers,
// the worker pool and the membership service. It reads the platform's configuration from the
// file that EDGE_CONFIG names and its own settings from an INI file.
//
// SIGTERM and SIGINT are the notice to leave: the node drains and exits with status 0. SIGHUP
// makes it read the platform's configuration again, SIGUSR1 logs the counters.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"robinmast/internal/config"
	"robinmast/internal/settings"
)

// Limits of the process.
const (
	heapShare       = 0.7                   // of the memory limit for the Go runtime: stacks and the kernel need some
	gcPercent       = 100                   // see docs/results.md
	logFlush        = 50 * time.Millisecond // for writing the last log lines
	listenRetryWait = 20 * time.Millisecond // between attempts to listen while another process holds the address
	listenTimeout   = 10 * time.Second      // for all attempts
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// serveNode runs the node until it has left. An error before the node listens is returned, to
// be printed as one line on standard error; a later one is logged and returned as silent.
func serveNode(iniConfig *config.Config) error {
	processStart := time.Now()
	// Separate channels, so that a flood of other signals cannot displace the notice to leave.
	leave, other := make(chan os.Signal, 1), make(chan os.Signal, 16)
	signal.Notify(leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(other, syscall.SIGHUP, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // else the node would be killed when the reader of its log exits
	cfg, err := load(os.Getenv)
	if err != nil {
		return failure{error: err, status: statusConfig}
	}
	applyLimits(cfg)
	cfg.iniConfig, cfg.processStart = iniConfig, processStart
	settings.UseShedding(&cfg.nodeSettings, iniConfig)
	if err := settings.UsePools(&cfg.nodeSettings, cfg.names, iniConfig); err != nil {
		return failure{error: err, status: statusConfig}
	}
	out := newLogWriter(os.Stderr)
	defer out.close(logFlush)
	log := newLog(out, iniConfig.Log).With("node", cfg.Name)
	results, err := openResultCache(cfg, log)
	if err != nil {
		return failure{error: err, status: statusFailed}
	}
	recoveryManager, closeStore, err := openRecovery(cfg, results, processStart, log)
	if err != nil {
		return failure{error: err, status: statusFailed}
	}
	defer closeStore()
	ln, err := listen(cfg.Listen, leave, log)
	if err != nil {
		return failure{error: fmt.Errorf("listen: %w", err), status: statusFailed}
	}
	if ln == nil {
		log.Info("notice to leave before the node listened")
		return nil
	}
	err = serve(cfg, results, recoveryManager, ln, notices{leave, other},
		func() (*platform, error) { return load(os.Getenv) }, log)
	if err != nil {
		log.Error("node failed", "err", err)
		return failure{error: err, status: statusFailed, silent: true}
	}
	return nil
}

// listen opens the listener. If a previous process still holds the address, it tries again
// until listenTimeout, as that process is about to end. It returns neither a listener nor an
// error if the notice to leave arrives first.
func listen(addr string, leave <-chan os.Signal, log *slog.Logger) (net.Listener, error) {
	for began, logged := time.Now(), false; ; {
		select {
		case <-leave:
			return nil, nil
		default:
		}
		ln, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > listenTimeout {
			return ln, err
		}
		if !logged {
			logged = true
			log.Warn("another process holds the address, waiting for it to end", "listen", addr, "most", listenTimeout)
		}
		select {
		case <-leave:
			return nil, nil
		case <-time.After(listenRetryWait):
		}
	}
}

// applyLimits sets the Go runtime's limits from the platform's limits.
func applyLimits(cfg *platform) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * cfg.Limits.MemoryMB * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}
