package rules

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestGreedyTenantLeavesFirst(t *testing.T) {
	b := newBed(t, func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSecond: 50}, {QuotaPerSecond: 50}} })
	for i := range 400 { // tenant 0 sends nine in ten, far over its quota
		id := b.arrive(0, func(q *Request) { q.Tenant = min(1, i%10/9) })
		b.settle()
		b.m.RunEnded(b.now, id, OK, 5*ms)
		b.settle()
	}
	b.arrive(3, nil)
	b.m.drainSeconds, b.m.drainSuccesses = 1, 1 // a slow drain, known: the line holds no more than the slots
	b.arrive(3, nil)                            // both cores busy
	b.settle()
	greedy := b.arrive(0, func(q *Request) { q.Tenant = 0 })
	b.arrive(0, func(q *Request) { q.Tenant = 1 })
	b.arrive(0, func(q *Request) { q.Tenant = 1 })
	b.settle()
	b.want(fmt.Sprint("refuse ", greedy))
}

// A tenant that sends three times its quota keeps what is within it: only the excess is
// marked, for as long as it lasts, and what becomes of a request gives nothing back: the
// one in its place would be another of those that never cease to come. Marked retries
// take nothing, their first try did; they are beyond while nothing is left.
func TestOnlyTheExcessOfATenantIsMarked(t *testing.T) {
	for name, tc := range map[string]struct{ refused, retry bool }{
		"served": {false, false}, "refused": {true, false}, "retries": {false, true},
	} {
		b := newBed(t, func(s *Settings) {
			s.Nodes, s.Tenants = 4, []Tenant{{QuotaPerSecond: 40, Share: 0.1}, {}} // 10 a second for this node
		})
		marked, from := 0, b.now
		for range 600 { // three times the quota
			id := b.arrive(0, func(q *Request) { q.Retry = tc.retry })
			if b.m.byID[id].overQuota {
				marked++
			}
			if b.settle(); tc.refused {
				r := b.m.byID[id]
				r.mayHaveRun = false
				b.m.remove(r)
			} else {
				b.m.RunEnded(b.now, id, OK, 5*ms)
			}
			if other := b.arrive(0, func(q *Request) { q.Tenant = 1 }); b.m.byID[other].overQuota {
				t.Fatal("a tenant without a quota is over it")
			}
			b.settle()
			b.m.RunEnded(b.now, b.next, OK, 5*ms)
			b.pass(time.Second/30, 0, 0)
		}
		want := 0
		if !tc.retry { // all but the quota and 5 s of it saved
			want = 600 - 50 - int(10*(b.now-from).Seconds())
		}
		if math.Abs(float64(marked-want)) > 2 || !tc.retry && want < 300 {
			t.Errorf("%s: %d of 600 marked, want %d", name, marked, want)
		}
		b.m.tenantUsage[0].remaining = 0
		if last := b.arrive(0, func(q *Request) { q.Retry = true }); b.m.byID[last].overQuota == tc.retry {
			t.Errorf("%s: with nothing left a retry is beyond: %v", name, tc.retry)
		}
	}
}

// A node to which hot keys or few callers send far more than its part sees every tenant
// beyond its quota; while each keeps to its share of what comes, none is marked.
func TestHotNodeMarksNoTenantWithinItsShare(t *testing.T) {
	b := newBed(t, func(s *Settings) {
		s.Nodes, s.Tenants = 4, []Tenant{{QuotaPerSecond: 3, Share: 0.75}, {QuotaPerSecond: 1, Share: 0.25}}
	})
	for i := range 800 { // ten times the quotas
		id := b.arrive(0, func(q *Request) { q.Tenant = i % 4 / 3 })
		if i > 100 && b.m.byID[id].overQuota {
			t.Fatalf("request %d of tenant %d is marked", i, i%4/3)
		}
		b.settle()
		b.m.RunEnded(b.now, id, OK, 5*ms)
		b.pass(25*ms, 0, 0)
	}
	marked := 0
	for range 200 { // now one alone
		id := b.arrive(0, func(q *Request) { q.Tenant = 1 })
		if b.m.byID[id].overQuota {
			marked++
		}
		b.settle()
		b.m.RunEnded(b.now, id, OK, 5*ms)
	}
	if marked < 150 {
		t.Errorf("%d of 200 marked", marked)
	}
}

// While overflow lasts and cores are taken, what is beyond a quota is refused as it comes:
// in the line it would take the next slot from what is within. A repeat of work that may
// have run still gets its result.
func TestBeyondAQuotaIsRefusedAtOnceInOverflow(t *testing.T) {
	for name, tc := range map[string]struct {
		pressure float64
		busy     int
		refused  bool
	}{"overflow lasts": {0.5, 2, true}, "it passes": {0.1, 2, false}, "a core is free": {0.5, 1, false}} {
		b := newBed(t, func(s *Settings) {
			s.Tenants = []Tenant{{QuotaPerSecond: 4, Share: 0.5}, {QuotaPerSecond: 4, Share: 0.5}}
		})
		ran := b.arrive(2, nil)
		for range tc.busy - 1 {
			b.arrive(3, nil)
		}
		b.settle()
		b.m.pressure = tc.pressure
		b.m.tenantUsage[0].remaining, b.m.tenantUsage[0].updatedAt, b.m.tenantUsage[0].arrivalShare = 0, b.now, 0.9
		beyond, within := b.arrive(0, nil), b.arrive(0, func(q *Request) { q.Tenant = 1 })
		again := b.arrive(2, func(q *Request) { q.RepeatOf = ran })
		b.wantNot(fmt.Sprint("refuse ", within))
		b.want(fmt.Sprint("reuse ", again))
		if b.last[fmt.Sprint("refuse ", beyond)] != tc.refused || b.last[fmt.Sprint("last ", beyond)] != tc.refused {
			t.Errorf("%s: refused at once: %v", name, !tc.refused)
		}
	}
}
