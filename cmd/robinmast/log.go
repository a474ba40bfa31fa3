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
// and counted, and lines after close are discarded.
type logWriter struct {
	out   io.Writer
	lines chan []byte
	lost  atomic.Int64
	once  sync.Once
	stop  chan struct{} // closed by close
	done  chan struct{} // closed when the goroutine has returned
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
	w := &logWriter{
		out: out, lines: make(chan []byte, logQueue), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// run writes the queued lines until the writer is closed and the queue is empty.
func (w *logWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
			continue
		case <-w.stop:
		}
		for {
			select {
			case line := <-w.lines:
				w.writeLine(line)
			default:
				return
			}
		}
	}
}

// writeLine writes a line, and after it how many were discarded since the line before.
func (w *logWriter) writeLine(line []byte) {
	_, _ = w.out.Write(line) // there is nowhere else to report an error
	if n := w.lost.Swap(0); n > 0 {
		slog.New(slog.NewTextHandler(w.out, nil)).Warn("log lines were lost", "lost", n)
	}
}

// Write queues one line, or discards it if the queue is full or the writer closed; it never blocks or
// fails. A component that did not stop in time may call it after close.
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
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
