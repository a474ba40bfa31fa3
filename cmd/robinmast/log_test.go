package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// stuck is a reader of the log that takes nothing until it is let go.
type stuck struct {
	free chan struct{}
	got  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.got.Write(p)
}

// A log that nobody reads must not hold up whoever logs; what was lost is told.
func TestLogNeverWaits(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
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
		t.Errorf("%d written and %d told as lost, of %d", written, lost, lines)
	}
}

func TestLogClosesInTime(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	w := newLogWriter(out)
	fmt.Fprintln(w, "line")
	began := time.Now()
	w.close(20 * time.Millisecond)
	if d := time.Since(began); d > time.Second {
		t.Errorf("closing took %v", d)
	}
	close(out.free)
}
