package main

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against a process that never ends: the close of the snapshot's store, on a disk that hangs, had no bound in
// time, and what it logged came after the end of the log.
func TestHangingStoreDoesNotKeepProcess(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	for logged, closeStore := range map[string]func() error{
		"did not close in time":                              func() error { <-hang; return nil },
		"closing the snapshot store failed\" err=\"no space": func() error { return errors.New("no space left") },
		"": func() error { return nil },
	} {
		var text bytes.Buffer
		began := time.Now()
		closeWithin(20*time.Millisecond, closeStore, slog.New(slog.NewTextHandler(&text, nil)))
		if took := time.Since(began); took > time.Second {
			t.Errorf("closing took %v", took)
		}
		if got := text.String(); !strings.Contains(got, logged) || logged == "" && got != "" {
			t.Errorf("logged %q, want %q", got, logged)
		}
	}
}
