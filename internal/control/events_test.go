package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"robinmast/decide/recovery"
	"robinmast/internal/standin"
	"robinmast/internal/store"
)

// reportStore sends a report with a store's identity. It returns the status code and what the answer
// reports of the previous incarnation.
func (g *testService) reportStore(
	name string, incarnation uint64, id string, epoch uint64,
) (status int, previous *struct{ Before *recovery.PreviousStore }) {
	g.t.Helper()
	body := fmt.Sprintf(`{"addr":"127.0.0.1:9","incarnation":%d,"seq":%d,"phase":"up","healthy":true,"warm":1,"limit":4,`+
		`"comeback":{"state":"full","store":{"id":%q,"epoch":%d,"mark":7},"reads":100,"again":0.2}}`,
		incarnation, time.Now().UnixNano(), id, epoch)
	w := httptest.NewRecorder()
	g.service.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/nodes/"+name, strings.NewReader(body)))
	var out struct {
		Heard *struct{ Before *recovery.PreviousStore }
	}
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
			g.t.Fatal(err)
		}
	}
	return w.Code, out.Heard
}

// A node's first incarnation must be answered that no earlier one is known, and each further one
// what the one before reported. That, the events and the history must survive a restart of the
// service.
func TestLivesAndEventsOutliveTheService(t *testing.T) {
	dir := t.TempDir()
	open := func() *store.Store {
		st, _, err := store.Open(dir, store.Options{})
		if err != nil {
			t.Fatal(err)
		}
		return st
	}
	st := open()
	g := newTestService(t, st)
	if code, h := g.reportStore("n0", 1, "a", 1); code != http.StatusOK || h == nil || h.Before != nil {
		t.Fatalf("the first incarnation is answered %d %+v", code, h)
	}
	if _, h := g.reportStore("n0", 2, "b", 1); h == nil || h.Before == nil || h.Before.ID != "a" || h.Before.Checkpoint != 7 {
		t.Errorf("the second incarnation is answered %+v", h)
	}
	for i := range 6 {
		g.reportStore(fmt.Sprint("m", i), 1, "s", 1)
	}
	standin.Eventually(t, "a usual capacity", func() bool { return g.service.now() > time.Second })
	for i := range 4 {
		g.reportStore(fmt.Sprint("m", i), 2, "s", 2)
	}
	standin.Eventually(t, "an event", func() bool { return len(g.service.Events()) == 1 })
	standin.Eventually(t, "the event in the store", func() bool {
		text, err := st.Get(eventsKey)
		return err == nil && strings.Contains(string(text), `"Number":1`)
	})
	standin.Eventually(t, "the history", func() bool { return len(g.service.History()) >= 7 })
	g.stop()
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	st = open()
	defer st.Close()
	g = newTestService(t, st)
	standin.Eventually(t, "the events of the previous run", func() bool {
		e := g.service.Events()
		return len(e) == 1 && e[0].Over
	})
	if h := g.service.History(); len(h) < 7 || h[0].From != "" || h[0].To != "healthy" {
		t.Errorf("the history of the previous run: %+v", h)
	}
	if _, h := g.reportStore("n0", 3, "b", 2); h == nil || h.Before == nil || h.Before.ID != "b" || h.Before.Epoch != 1 {
		t.Errorf("after a restart of the service the third incarnation is answered %+v", h)
	}
	g.stop()
}

// Proxies that do not read must block their slots for full responses for fullResponseTimeout at most.
func TestTurnsGoOn(t *testing.T) {
	s := NewStreams()
	var releases []func()
	for i := range maxFullResponses {
		release, err := s.acquireFullResponse(t.Context(), fmt.Sprint("stuck", i))
		if err != nil {
			t.Fatal(err)
		}
		releases = append(releases, release)
	}
	began := time.Now()
	release, err := s.acquireFullResponse(t.Context(), "patient")
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < fullResponseTimeout/2 || took > 4*fullResponseTimeout {
		t.Errorf("a proxy queued behind stuck ones got a slot after %v", took)
	}
	release()
	for _, d := range releases {
		d()
	}
	if s.scheduler.Overdue == 0 || len(s.queued) > 0 {
		t.Errorf("%d tickets overdue, %d queued", s.scheduler.Overdue, len(s.queued))
	}
}
