// Command robinmast is one real node: the decision module behind real sockets.
// This file owns its start, its signals and its exit; it wires the parts
// together and must never decide about a request or touch a connection.
//
// SIGTERM and SIGINT are the notice to leave, SIGHUP makes it read its
// configuration again, SIGUSR1 logs the counters.
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

// Mechanics of the process.
const (
	heapShare  = 0.7                   // of the memory limit that Go's own limit takes: stacks and the kernel need some
	gcPercent  = 100                   // measured: see docs/results.md
	logFlush   = 50 * time.Millisecond // for the last log lines
	listenWait = 20 * time.Millisecond // between tries to listen while another process holds the address
	listenMost = 10 * time.Second      // of them
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

// limit keeps the process within what the platform grants.
func limit(cfg *platform) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * cfg.Limits.MemoryMB * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}
