package recovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Never more than the bound at once, everybody has a turn in the end however many keep
// theirs, and of two that wait the one served longest ago is first.
func TestFairScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 8).Draw(t, "most")
		turns := NewFairScheduler(most, 100*time.Millisecond)
		names, since := map[uint64]string{}, map[string]time.Duration{}
		held := map[uint64]time.Duration{}
		now := time.Duration(0)
		granted := func() {
			list, again := turns.Grant(now)
			for turn, at := range held {
				if now-at >= 100*time.Millisecond {
					delete(held, turn)
				}
			}
			for _, g := range list {
				for turn, name := range names { // nobody who waits was served longer ago
					if name != names[g] && !slices.Contains(list, turn) && !isActive(held, turn) && lastServedAt(since, name) < lastServedAt(since, names[g]) {
						t.Fatalf("%s (%v) before %s (%v)", names[g], lastServedAt(since, names[g]), name, lastServedAt(since, name))
					}
				}
			}
			for _, g := range list {
				since[names[g]] = now
				held[g] = now
				delete(names, g)
			}
			if len(held) > most {
				t.Fatalf("%d turns at once", len(held))
			}
			if again == 0 != (turns.Waiting() == 0) {
				t.Fatalf("%d wait, step again in %v", turns.Waiting(), again)
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
					names[turns.Request(name)] = name
				}
			case 1:
				for turn := range held {
					turns.Release(turn)
					delete(held, turn)
					break
				}
			}
			granted()
		}
		for range 100 {
			now += 100 * time.Millisecond
			granted()
		}
		if turns.Waiting() > 0 || len(names) > 0 {
			t.Fatalf("%d never had a turn", turns.Waiting())
		}
	})
}

func lastServedAt(since map[string]time.Duration, name string) time.Duration {
	if d, known := since[name]; known {
		return d
	}
	return -1
}

func isActive(held map[uint64]time.Duration, turn uint64) bool { _, ok := held[turn]; return ok }
