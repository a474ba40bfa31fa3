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

// Members is a stand-in membership service, to which nodes report their phase by HTTP. Its methods are safe
// for concurrent use.
type Members struct {
	ln     net.Listener
	server *http.Server

	mu         sync.Mutex
	phases     map[string]string    // last reported phase, by node
	reportedAt map[string]time.Time // time of the last report, by node
}

// StartMembers starts a membership service on loopback; it runs until Close.
func StartMembers() (*Members, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start stand-in membership service: %w", err)
	}
	m := &Members{ln: ln, phases: map[string]string{}, reportedAt: map[string]time.Time{}}
	m.server = &http.Server{Handler: http.HandlerFunc(m.handleReport), ReadHeaderTimeout: time.Second}
	go func() { _ = m.server.Serve(ln) }() // returns on Close
	return m, nil
}

// Addr returns the address on which the service listens.
func (m *Members) Addr() string { return m.ln.Addr().String() }

// Close stops the service.
func (m *Members) Close() error { return m.server.Shutdown(context.Background()) }

// handleReport handles PUT /members/NAME with a JSON report.
func (m *Members) handleReport(w http.ResponseWriter, q *http.Request) {
	name, ok := strings.CutPrefix(q.URL.Path, "/members/")
	var report struct{ Phase string }
	if !ok || q.Method != http.MethodPut ||
		json.NewDecoder(http.MaxBytesReader(w, q.Body, 1<<10)).Decode(&report) != nil {
		http.Error(w, "no report", http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	m.phases[name], m.reportedAt[name] = report.Phase, time.Now()
	m.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Phase returns the last phase that a node reported and when; "" and the zero time if there is none.
func (m *Members) Phase(name string) (string, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phases[name], m.reportedAt[name]
}
