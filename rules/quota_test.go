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
	h.m.drainSeconds, h.m.drainSuccesses = 1, 1 // a slow drain rate: the queue bound is the running limit
	h.arrive(3, nil)                            // both cores busy
	h.finishBatch()
	overQuota := h.arrive(0, func(q *Request) { q.Tenant = 0 })
	h.arrive(0, func(q *Request) { q.Tenant = 1 })
	h.arrive(0, func(q *Request) { q.Tenant = 1 })
	h.finishBatch()
	h.want(fmt.Sprint("refuse ", overQuota))
}

// A tenant that sends three times its quota keeps the quota: only the excess counts as over it, as long as
// it lasts. Neither a success nor a refusal gives quota back, since another request of the same excess
// would take it. Marked retries use none, as their first try did; they are over quota while none is left.
func TestOnlyTheExcessIsOverQuota(t *testing.T) {
	for name, tc := range map[string]struct{ refused, retry bool }{
		"served": {false, false}, "refused": {true, false}, "retries": {false, true},
	} {
		h := newHarness(t, func(s *Settings) {
			s.Nodes, s.Tenants = 4, []Tenant{{QuotaPerSecond: 40, Share: 0.1}, {}} // 10 a second for this node
		})
		overQuota, from := 0, h.now
		for range 600 { // three times the quota
			id := h.arrive(0, func(q *Request) { q.Retry = tc.retry })
			if h.m.byID[id].overQuota {
				overQuota++
			}
			if h.finishBatch(); tc.refused {
				r := h.m.byID[id]
				r.mayHaveRun = false
				h.m.remove(r)
			} else {
				h.m.RunEnded(h.now, id, OK, 5*ms)
			}
			if other := h.arrive(0, func(q *Request) { q.Tenant = 1 }); h.m.byID[other].overQuota {
				t.Fatal("a tenant without a quota is over quota")
			}
			h.finishBatch()
			h.m.RunEnded(h.now, h.lastID, OK, 5*ms)
			h.advance(time.Second/30, 0, 0)
		}
		want := 0
		if !tc.retry { // all but the quota and 5 s of it that were saved
			want = 600 - 50 - int(10*(h.now-from).Seconds())
		}
		if math.Abs(float64(overQuota-want)) > 2 || !tc.retry && want < 300 {
			t.Errorf("%s: %d of 600 over quota, want %d", name, overQuota, want)
		}
		h.m.tenantUsage[0].remaining = 0
		if last := h.arrive(0, func(q *Request) { q.Retry = true }); h.m.byID[last].overQuota == tc.retry {
			t.Errorf("%s: with no quota left, over quota %v for a retry", name, tc.retry)
		}
	}
}

// A node that gets far more than its part, because of hot keys or few callers, sees every tenant beyond its
// quota. While each keeps to its share of the arrivals, none counts as over quota.
func TestHotNodeKeepsTenantsWithinTheirShare(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		s.Nodes, s.Tenants = 4, []Tenant{{QuotaPerSecond: 3, Share: 0.75}, {QuotaPerSecond: 1, Share: 0.25}}
	})
	for i := range 800 { // ten times the quotas
		id := h.arrive(0, func(q *Request) { q.Tenant = i % 4 / 3 })
		if i > 100 && h.m.byID[id].overQuota {
			t.Fatalf("request %d of tenant %d is over quota", i, i%4/3)
		}
		h.finishBatch()
		h.m.RunEnded(h.now, id, OK, 5*ms)
		h.advance(25*ms, 0, 0)
	}
	overQuota := 0
	for range 200 { // now one tenant alone
		id := h.arrive(0, func(q *Request) { q.Tenant = 1 })
		if h.m.byID[id].overQuota {
			overQuota++
		}
		h.finishBatch()
		h.m.RunEnded(h.now, id, OK, 5*ms)
	}
	if overQuota < 150 {
		t.Errorf("%d of 200 over quota", overQuota)
	}
}

// Under pressure, and while no core is free, a request over quota is refused on arrival: queued, it would
// take the next slot from one within its quota. A repeat of a request that may have run still gets its
// result.
func TestOverQuotaIsRefusedOnArrivalUnderPressure(t *testing.T) {
	for name, tc := range map[string]struct {
		pressure float64
		busy     int
		refused  bool
	}{"under pressure": {0.5, 2, true}, "little pressure": {0.1, 2, false}, "a core is free": {0.5, 1, false}} {
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
		h.want(fmt.Sprint("join ", again))
		if h.done[fmt.Sprint("refuse ", beyond)] != tc.refused ||
			h.done[fmt.Sprint("stop-retrying ", beyond)] != tc.refused {
			t.Errorf("%s: refused on arrival %v", name, !tc.refused)
		}
	}
}
