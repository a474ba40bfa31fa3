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

// say reports for a node whose store is known, and returns what was heard before.
func (g *testService) reportStore(name string, incarnation uint64, id string, epoch uint64) (status int, previous *struct{ Before *recovery.PreviousStore }) {
	g.t.Helper()
	body := fmt.Sprintf(`{"addr":"127.0.0.1:9","incarnation":%d,"seq":%d,"phase":"up","healthy":true,"warm":1,"limit":4,`+
		`"comeback":{"state":"full","store":{"id":%q,"epoch":%d,"mark":7},"reads":100,"again":0.2}}`, incarnation, time.Now().UnixNano(), id, epoch)
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

// A node's first life is told that nothing was heard, the next what the last one said;
// that outlives the service, as its events do.
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
		t.Fatalf("a first life is told %d %+v", code, h)
	}
	if _, h := g.reportStore("n0", 2, "b", 1); h == nil || h.Before == nil || h.Before.ID != "a" || h.Before.Checkpoint != 7 {
		t.Errorf("the second life is told %+v", h)
	}
	for i := range 6 {
		g.reportStore(fmt.Sprint("m", i), 1, "s", 1)
	}
	standin.Eventually(t, "usual room", func() bool { return g.service.now() > time.Second })
	for i := range 4 {
		g.reportStore(fmt.Sprint("m", i), 2, "s", 2)
	}
	standin.Eventually(t, "an event", func() bool { return len(g.service.Events()) == 1 })
	standin.Eventually(t, "it was saved", func() bool {
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
	standin.Eventually(t, "events of the life before", func() bool { e := g.service.Events(); return len(e) == 1 && e[0].Over })
	if h := g.service.History(); len(h) < 7 || h[0].From != "" || h[0].To != "healthy" {
		t.Errorf("the history of the life before: %+v", h)
	}
	if _, h := g.reportStore("n0", 3, "b", 2); h == nil || h.Before == nil || h.Before.ID != "b" || h.Before.Epoch != 1 {
		t.Errorf("after a restart of the service the third life is told %+v", h)
	}
	g.stop()
}

// One proxy that takes nothing keeps its turn for no longer than stated.
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
		t.Errorf("who waits behind those that take nothing has a turn after %v", took)
	}
	release()
	for _, d := range releases {
		d()
	}
	if s.scheduler.Overdue == 0 || len(s.queued) > 0 {
		t.Errorf("%d turns overdue, %d wait", s.scheduler.Overdue, len(s.queued))
	}
}
