package main

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"robinmast/internal/config"
)

// logQueue is the number of log lines that may wait to be written.
const logQueue = 256

// logWriter writes log lines in a goroutine of its own, so that a slow or broken reader never
// blocks the decision loop or a connection that logs. Lines beyond the queue are discarded
// and counted.
type logWriter struct {
	lines chan []byte
	lost  atomic.Int64
	once  sync.Once
	done  chan struct{}
}

// newLog returns a logger with the format and level of [log].
func newLog(out io.Writer, settings config.Log) *slog.Logger {
	opt := &slog.HandlerOptions{}
	var level slog.Level
	if level.UnmarshalText([]byte(settings.Level)) == nil { // always true: the settings were checked
		opt.Level = level
	}
	if settings.Format == "json" {
		return slog.New(slog.NewJSONHandler(out, opt))
	}
	return slog.New(slog.NewTextHandler(out, opt))
}

// newLogWriter starts a writer to out; close ends it.
func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		lossLog := slog.New(slog.NewTextHandler(out, nil))
		for line := range w.lines {
			_, _ = out.Write(line) // there is nowhere else to report an error
			if n := w.lost.Swap(0); n > 0 {
				lossLog.Warn("log lines were lost", "lost", n)
			}
		}
	}()
	return w
}

// Write queues one line, or discards it if the queue is full; it never blocks or fails. It must
// not be called after close.
func (w *logWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.lost.Add(1)
	}
	return len(p), nil
}

// close ends the writer and waits, until the timeout, for the queued lines to be written.
func (w *logWriter) close(timeout time.Duration) {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
