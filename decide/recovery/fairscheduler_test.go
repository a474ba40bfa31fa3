package recovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// There are never more active tickets than the limit, every request is granted in the end even if
// clients keep their tickets, and of two waiting clients the one served longest ago is first.
func TestFairScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		scheduler := NewFairScheduler(limit, 100*time.Millisecond)
		names, since := map[uint64]string{}, map[string]time.Duration{}
		active := map[uint64]time.Duration{}
		now := time.Duration(0)
		grant := func() {
			list, again := scheduler.Grant(now)
			for ticket, at := range active {
				if now-at >= 100*time.Millisecond {
					delete(active, ticket)
				}
			}
			for _, g := range list {
				for ticket, name := range names { // no waiting client was served longer ago
					if name != names[g] && !slices.Contains(list, ticket) && !isActive(active, ticket) &&
						lastServedAt(since, name) < lastServedAt(since, names[g]) {
						t.Fatalf("%s (%v) before %s (%v)", names[g], lastServedAt(since, names[g]), name, lastServedAt(since, name))
					}
				}
			}
			for _, g := range list {
				since[names[g]] = now
				active[g] = now
				delete(names, g)
			}
			if len(active) > limit {
				t.Fatalf("%d tickets at once", len(active))
			}
			if again == 0 != (scheduler.Waiting() == 0) {
				t.Fatalf("%d wait, grant again in %v", scheduler.Waiting(), again)
			}
		}
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "dt")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))
				busy := false
				for _, n := range names {
					busy = busy || n == name
				}
				if !busy {
					names[scheduler.Request(name)] = name
				}
			case 1:
				for ticket := range active {
					scheduler.Release(ticket)
					delete(active, ticket)
					break
				}
			}
			grant()
		}
		for range 100 {
			now += 100 * time.Millisecond
			grant()
		}
		if scheduler.Waiting() > 0 || len(names) > 0 {
			t.Fatalf("%d were never granted", scheduler.Waiting())
		}
	})
}

// lastServedAt returns when a name was last served, -1 if never.
func lastServedAt(since map[string]time.Duration, name string) time.Duration {
	if d, known := since[name]; known {
		return d
	}
	return -1
}

func isActive(active map[uint64]time.Duration, ticket uint64) bool {
	_, ok := active[ticket]
	return ok
}
