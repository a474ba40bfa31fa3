package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// blockedWriter is a writer that blocks until free is closed.
type blockedWriter struct {
	free chan struct{}
	got  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.free
	return s.got.Write(p)
}

// Logging does not block while the log has no reader, and the number of lost lines is logged.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockedWriter{free: make(chan struct{})}
	w := newLogWriter(out)
	began := time.Now()
	const lines = 4 * logQueue
	for i := range lines {
		fmt.Fprintf(w, "line %d\n", i)
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("logging took %v", d)
	}
	close(out.free)
	w.close(5 * time.Second)
	text := out.got.String()
	written := strings.Count(text, "line ")
	var lost int
	if i := strings.Index(text, "lost="); i >= 0 {
		fmt.Sscanf(text[i:], "lost=%d", &lost)
	}
	if written+lost != lines || lost == 0 || !strings.HasPrefix(text, "line 0\n") {
		t.Errorf("%d written and %d logged as lost, of %d", written, lost, lines)
	}
}

// Closing the log does not wait for a writer that blocks.
func TestLogClosesInTime(t *testing.T) {
	out := &blockedWriter{free: make(chan struct{})}
	w := newLogWriter(out)
	fmt.Fprintln(w, "line")
	began := time.Now()
	w.close(20 * time.Millisecond)
	if d := time.Since(began); d > time.Second {
		t.Errorf("closing took %v", d)
	}
	close(out.free)
}

// Guards against a crash at the exit: a component that did not stop in time, or another one after a failure, logs while
// the log is closed.
func TestLogAfterClose(t *testing.T) {
	out := &blockedWriter{free: make(chan struct{})}
	close(out.free)
	w := newLogWriter(out)
	fmt.Fprintln(w, "before")
	w.close(5 * time.Second)
	if _, err := fmt.Fprintln(w, "after"); err != nil {
		t.Error(err)
	}
	if got := out.got.String(); got != "before\n" {
		t.Errorf("written %q", got)
	}
}
