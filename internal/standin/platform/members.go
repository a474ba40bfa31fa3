// This file owns the stand-in for the membership service. It must never refuse
// a report that the protocol allows.

package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Members stands in for the membership service.
type Members struct {
	ln     net.Listener
	server *http.Server

	mu       sync.Mutex
	phases   map[string]string
	reported map[string]time.Time
}

// StartMembers serves a membership service on loopback until Close.
func StartMembers() (*Members, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in membership service: %w", err)
	}
	m := &Members{ln: ln, phases: map[string]string{}, reported: map[string]time.Time{}}
	m.server = &http.Server{Handler: http.HandlerFunc(m.handleReport), ReadHeaderTimeout: time.Second}
	go func() { _ = m.server.Serve(ln) }() // ends by Close
	return m, nil
}

// Addr is where it listens.
func (m *Members) Addr() string { return m.ln.Addr().String() }

// Close ends the service.
func (m *Members) Close() error { return m.server.Shutdown(context.Background()) }

func (m *Members) handleReport(w http.ResponseWriter, q *http.Request) {
	name, ok := strings.CutPrefix(q.URL.Path, "/members/")
	var report struct{ Phase string }
	if !ok || q.Method != http.MethodPut || json.NewDecoder(http.MaxBytesReader(w, q.Body, 1<<10)).Decode(&report) != nil {
		http.Error(w, "no report", http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	m.phases[name], m.reported[name] = report.Phase, time.Now()
	m.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Phase is what a node reported last, and when.
func (m *Members) Phase(name string) (string, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phases[name], m.reported[name]
}
