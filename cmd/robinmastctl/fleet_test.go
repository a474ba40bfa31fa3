package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// The tables must show the values of the service's answer; a service that does not answer must lead
// to one line and status 2.
func TestFleetAndProxies(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/fleet":
			_, _ = w.Write([]byte(`{"version":7,"drop":0.25,"frozen":true,"lost_zones":["z2"],
				"nodes":[{"name":"n1","addr":"127.0.0.1:1","zone":"z1","state":"damped","why":"it comes and goes",
				"since_s":12.4,"weight":0,"limit":8,"penalty":3.5,"unproven":true}]}`))
		case "/proxies":
			_, _ = w.Write([]byte(`[{"Node":"p1","Zone":"z1","Peer":"127.0.0.1:9","Form":"delta",
				"Heard":"2026-02-12T00:00:00Z","Behind":["EDS"],
				"Types":{"EDS":{"Sent":"b","Acked":"a","Nacks":2,"LastNack":"bad weight"}}}]`))
		}
	}))
	defer s.Close()
	addr := strings.TrimPrefix(s.URL, "http://")
	for command, words := range map[string][]string{
		"fleet": {"view 7, 1 nodes, FROZEN", "zones lost: z2", "proxies drop 25%", "damped (unproven)", "12s", "3.5",
			"it comes and goes"},
		"proxies": {"p1", "delta", "EDS: bad weight", "2"},
	} {
		status, out, errs := run("", command, "--service", addr)
		for _, w := range words {
			if status != 0 || !strings.Contains(out, w) {
				t.Errorf("%s: status %d, %q lacks %q, %s", command, status, out, w, errs)
			}
		}
		if status, out, _ := run("", command, "--service", addr, "--json"); status != 0 || out[0] != '{' && out[0] != '[' {
			t.Errorf("%s --json: %d, %q", command, status, out)
		}
		if status, _, errs := run("", command, "--service", "127.0.0.1:1"); status != 2 || strings.Count(errs, "\n") != 1 {
			t.Errorf("%s without a service: status %d, %q", command, status, errs)
		}
	}
}
