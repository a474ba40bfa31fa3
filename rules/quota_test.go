package rules

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestTenantOverQuotaIsEvictedFirst(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSecond: 50}, {QuotaPerSecond: 50}} })
	for i := range 400 { // tenant 0 sends nine in ten, far over its quota
		id := h.arrive(0, func(q *Request) { q.Tenant = min(1, i%10/9) })
		h.finishBatch()
		h.m.RunEnded(h.now, id, OK, 5*ms)
		h.finishBatch()
	}
	h.arrive(3, nil)
	h.m.drainSeconds, h.m.drainSuccesses = 1, 1 // a slow drain, known: the line holds no more than the slots
	h.arrive(3, nil)                            // both cores busy
	h.finishBatch()
	greedy := h.arrive(0, func(q *Request) { q.Tenant = 0 })
	h.arrive(0, func(q *Request) { q.Tenant = 1 })
	h.arrive(0, func(q *Request) { q.Tenant = 1 })
	h.finishBatch()
	h.want(fmt.Sprint("refuse ", greedy))
}

// A tenant that sends three times its quota keeps what is within it: only the excess is
// marked, for as long as it lasts, and what becomes of a request gives nothing back: the
// one in its place would be another of those that never cease to come. Marked retries
// take nothing, their first try did; they are beyond while nothing is left.
func TestOnlyTheExcessIsOverQuota(t *testing.T) {
	for name, tc := range map[string]struct{ refused, retry bool }{
		"served": {false, false}, "refused": {true, false}, "retries": {false, true},
	} {
		h := newHarness(t, func(s *Settings) {
			s.Nodes, s.Tenants = 4, []Tenant{{QuotaPerSecond: 40, Share: 0.1}, {}} // 10 a second for this node
		})
		marked, from := 0, h.now
		for range 600 { // three times the quota
			id := h.arrive(0, func(q *Request) { q.Retry = tc.retry })
			if h.m.byID[id].overQuota {
				marked++
			}
			if h.finishBatch(); tc.refused {
				r := h.m.byID[id]
				r.mayHaveRun = false
				h.m.remove(r)
			} else {
				h.m.RunEnded(h.now, id, OK, 5*ms)
			}
			if other := h.arrive(0, func(q *Request) { q.Tenant = 1 }); h.m.byID[other].overQuota {
				t.Fatal("a tenant without a quota is over it")
			}
			h.finishBatch()
			h.m.RunEnded(h.now, h.lastID, OK, 5*ms)
			h.advance(time.Second/30, 0, 0)
		}
		want := 0
		if !tc.retry { // all but the quota and 5 s of it saved
			want = 600 - 50 - int(10*(h.now-from).Seconds())
		}
		if math.Abs(float64(marked-want)) > 2 || !tc.retry && want < 300 {
			t.Errorf("%s: %d of 600 marked, want %d", name, marked, want)
		}
		h.m.tenantUsage[0].remaining = 0
		if last := h.arrive(0, func(q *Request) { q.Retry = true }); h.m.byID[last].overQuota == tc.retry {
			t.Errorf("%s: with nothing left a retry is beyond: %v", name, tc.retry)
		}
	}
}

// A node to which hot keys or few callers send far more than its part sees every tenant
// beyond its quota; while each keeps to its share of what comes, none is marked.
func TestHotNodeKeepsTenantsWithinTheirShare(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		s.Nodes, s.Tenants = 4, []Tenant{{QuotaPerSecond: 3, Share: 0.75}, {QuotaPerSecond: 1, Share: 0.25}}
	})
	for i := range 800 { // ten times the quotas
		id := h.arrive(0, func(q *Request) { q.Tenant = i % 4 / 3 })
		if i > 100 && h.m.byID[id].overQuota {
			t.Fatalf("request %d of tenant %d is marked", i, i%4/3)
		}
		h.finishBatch()
		h.m.RunEnded(h.now, id, OK, 5*ms)
		h.advance(25*ms, 0, 0)
	}
	marked := 0
	for range 200 { // now one alone
		id := h.arrive(0, func(q *Request) { q.Tenant = 1 })
		if h.m.byID[id].overQuota {
			marked++
		}
		h.finishBatch()
		h.m.RunEnded(h.now, id, OK, 5*ms)
	}
	if marked < 150 {
		t.Errorf("%d of 200 marked", marked)
	}
}

// While overflow lasts and cores are taken, what is beyond a quota is refused as it comes:
// in the line it would take the next slot from what is within. A repeat of work that may
// have run still gets its result.
func TestOverQuotaIsRefusedOnArrivalUnderPressure(t *testing.T) {
	for name, tc := range map[string]struct {
		pressure float64
		busy     int
		refused  bool
	}{"overflow lasts": {0.5, 2, true}, "it passes": {0.1, 2, false}, "a core is free": {0.5, 1, false}} {
		h := newHarness(t, func(s *Settings) {
			s.Tenants = []Tenant{{QuotaPerSecond: 4, Share: 0.5}, {QuotaPerSecond: 4, Share: 0.5}}
		})
		ran := h.arrive(2, nil)
		for range tc.busy - 1 {
			h.arrive(3, nil)
		}
		h.finishBatch()
		h.m.pressure = tc.pressure
		h.m.tenantUsage[0].remaining, h.m.tenantUsage[0].updatedAt, h.m.tenantUsage[0].arrivalShare = 0, h.now, 0.9
		beyond, within := h.arrive(0, nil), h.arrive(0, func(q *Request) { q.Tenant = 1 })
		again := h.arrive(2, func(q *Request) { q.RepeatOf = ran })
		h.wantNot(fmt.Sprint("refuse ", within))
		h.want(fmt.Sprint("reuse ", again))
		if h.done[fmt.Sprint("refuse ", beyond)] != tc.refused || h.done[fmt.Sprint("last ", beyond)] != tc.refused {
			t.Errorf("%s: refused at once: %v", name, !tc.refused)
		}
	}
}
