package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"robinmast/internal/standin"
)

// randomSettings returns valid settings of a deployment with random names and values, and
// their classes and tenants.
func randomSettings(rnd *rand.Rand) (settings map[string]any, classes []map[string]any, tenants []string) {
	between := func(least, most float64) float64 { return least + (most-least)*rnd.Float64() }
	one := func(words ...string) string { return words[rnd.IntN(len(words))] }
	maybe := func() bool { return rnd.IntN(2) == 0 }
	for i := range 1 + rnd.IntN(9) {
		aim := between(300, 3000)
		classes = append(classes, map[string]any{
			"name": fmt.Sprintf("%s-%d", one("Æ", "get all", "x", strings.Repeat("long", 9), "0"), i), "aimMs": aim,
			"deadlineMs": aim * between(1.2, 4), "lateShare": between(0, 0.5), "worth": between(0.1, 50),
			"effect": one("idempotent", "deduplicated", "at_most_once"), "windowMs": between(500, 9000), "aimStretch": between(0, 1),
		})
	}
	parties := []map[string]any{}
	for i := range rnd.IntN(7) {
		tenants = append(tenants, fmt.Sprintf("%s %d", one("a", "b&c", "ñ"), i))
		parties = append(parties, map[string]any{"name": tenants[i], "share": between(0.01, 1), "quotaRps": between(0, 40)})
	}
	meters := []string{"mem_used", "cpu_busy", "sockets", "runnable", "novelty"}
	rnd.Shuffle(len(meters), func(i, j int) { meters[i], meters[j] = meters[j], meters[i] })
	return map[string]any{
		"tickMs": between(1, 8), "groupSize": 1 + rnd.IntN(400), "countedBy": one("work", "request"), "overShareWorth": between(0, 0.3),
		"lanes": classes, "parties": parties, "novelty": map[string]any{"x": []int{1}},
		"clientHabits": map[string]any{"marksRetry": maybe()},
		"bounds":       map[string]any{"retryAfter": maybe(), "maxRetryAfterMs": between(0, 3000)},
		"extra": map[string]any{
			"below": one("", "none"), "cpus": 1 + rnd.IntN(16), "ramKb": between(2000, 200000), "runFactor": between(1, 16),
			"entryKb": between(0.1, 300), "freshMs": float64(rnd.IntN(2)) * between(50, 500), "meters": meters[:rnd.IntN(6)],
			"passesDeadline": maybe(), "tellsGone": maybe(), "preemption": one("none", "drop"), "readiness": maybe(),
			"say": one("none", "level", "credit", "weight"), "keepaliveMaxMs": between(1000, 30000), "upstreams": rnd.IntN(200),
			"heededMs": between(0, 2000), "justStarted": maybe(),
		},
		"obligations": map[string]any{
			"fallMultiple": between(3, 12), "fallMs": between(500, 3000), "answerSlackMs": between(20, 100), "coldFrom": between(0.1, 0.9),
			"rampTimeMs": between(100, 20000), "stopSendingWithinMs": between(100, 900),
		},
	}, classes, tenants
}

// A node starts with any valid settings and answers each request of each class and tenant
// once; a request of an unknown class fails, once.
func TestServeArbitrarySettings(t *testing.T) {
	for seed := uint64(1); seed <= 24; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			settings, classes, tenants := randomSettings(rand.New(rand.NewPCG(seed, 0)))
			s := newSystemWith(t, func(text string) string {
				var config map[string]any
				if err := json.Unmarshal([]byte(text), &config); err != nil {
					t.Fatal(err)
				}
				config["settings"] = settings
				made, err := json.Marshal(config)
				if err != nil {
					t.Fatal(err)
				}
				return string(made)
			})
			d := s.dial()
			want := map[string]bool{}
			ask := func(tag int, class, more string) {
				team := ""
				if len(tenants) > 0 {
					team = ",team=" + tenants[tag%len(tenants)]
				}
				d.Send("RPC.CALL", fmt.Sprint(tag), class, fmt.Sprintf("txn=%016x,door=%d,lb=%d,ram=1,standing=0.5%s%s",
					txns.Add(1), time.Now().UnixMilli(), tag, team, more), "1")
				want[fmt.Sprint(tag)] = true
			}
			tag := 0
			for i, c := range classes {
				more := ""
				if c["effect"] == "deduplicated" {
					more = fmt.Sprint(",unique=k", i)
				}
				for range 2 { // the second is a repeat if there is a key
					tag++
					ask(tag, c["name"].(string), more)
				}
			}
			ask(tag+1, "no such class", "")
			served := 0
			for len(want) > 0 {
				tagged, word, _ := strings.Cut(d.Receive(), " ")
				if !want[tagged] {
					t.Fatalf("answer %q to %q", word, tagged)
				}
				delete(want, tagged)
				if strings.HasPrefix(word, "ACK") {
					served++
				} else if tagged == fmt.Sprint(tag+1) && !strings.HasPrefix(word, "FAIL") {
					t.Errorf("unknown class: %q", word)
				}
			}
			if served == 0 {
				t.Errorf("none of %d was served", tag)
			}
			s.stop()
		})
	}
}

// Repeats of a keyed request arrive on other connections: during the run, after it, and after
// the short idempotency window. Within the window the request runs once and all get its result.
func TestServeShortWindow(t *testing.T) {
	const window = 600 * time.Millisecond
	s := newSystemWith(t, func(text string) string {
		return strings.Replace(text, `"windowMs":5000`, fmt.Sprintf(`"windowMs":%d`, window.Milliseconds()), 1)
	})
	runs := func() int {
		s.workers.mu.Lock()
		defer s.workers.mu.Unlock()
		n := 0
		for _, more := range s.workers.started {
			n += more
		}
		return n
	}
	began := time.Now()
	first, second, third := s.dial(), s.dial(), s.dial()
	first.call(1, 100, ",unique=k")
	standin.Eventually(t, "the run", func() bool { return runs() == 1 })
	second.call(1, 100, ",unique=k,second=1")
	for _, d := range []dispatcher{first, second} {
		if got := d.Receive(); !strings.HasPrefix(got, "1 ACK") {
			t.Errorf("%q", got)
		}
	}
	third.call(1, 100, ",unique=k")
	if got := third.Receive(); !strings.HasPrefix(got, "1 ACK") {
		t.Errorf("after the run: %q", got)
	}
	if n := runs(); time.Since(began) < window && n != 1 {
		t.Errorf("%d runs within the window", n)
	}
	standin.Eventually(t, "the end of the window", func() bool { return time.Since(began) > 2*window })
	third.call(2, 100, ",unique=k")
	if got := third.Receive(); !strings.HasPrefix(got, "2 ACK") || runs() != 2 {
		t.Errorf("after the window: %q, %d runs", got, runs())
	}
}
