package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"robinmast/internal/settings"
	"robinmast/internal/standin"
	testplatform "robinmast/internal/standin/platform"
	"robinmast/internal/standin/simulation"
)

// Three classes: cheap pings of little utility, interactive texts, and script steps.
const poolLanes = `"lanes":[
  {"name":"ping","aimMs":600,"deadlineMs":1500,"effect":"idempotent","worth":0.05},
  {"name":"text","aimMs":600,"deadlineMs":1500,"effect":"idempotent","worth":2},
  {"name":"script","aimMs":600,"deadlineMs":1500,"effect":"idempotent","worth":3}],`

// TestPoolsOverload sends 130% of the capacity of four cores, whose runs slow each other down,
// to the built program on loopback. The utility stays near the best achievable, cheap requests
// are served in every second, and every request gets one answer in time. With a reserve for a
// class that does not exist the program does not start.
func TestPoolsOverload(t *testing.T) {
	binary := buildNode(t)
	s := newTestNode(t, 4, "[pools]\nenabled = true\nreserve = 0.04\n", func(r testplatform.Run) (float64, string, []byte) {
		ms, err := strconv.ParseFloat(string(r.Body), 64)
		if err != nil {
			return 0, "error", nil
		}
		return ms, "complete", r.Body
	})
	from, to := strings.Index(goodConfig, `"lanes"`), strings.Index(goodConfig, `"parties"`)
	s.contention = 0.02
	s.config = goodConfig[:from] + poolLanes + goodConfig[to:]
	s.start(binary)
	var cfg struct{ Settings json.RawMessage }
	if err := json.Unmarshal([]byte(strings.Replace(s.config, `"cpus":2`, `"cpus":4`, 1)), &cfg); err != nil {
		t.Fatal(err)
	}
	set, names, err := settings.ParseNamed(cfg.Settings)
	if err != nil {
		t.Fatal(err)
	}
	const length, learning = 8 * time.Second, 2 * time.Second // utility counts after the node has learned the cost of its work
	work := 1.3 * 4
	mean := []time.Duration{6 * time.Millisecond, 30 * time.Millisecond, 80 * time.Millisecond}
	var streams []simulation.Stream
	for i, part := range []float64{0.1, 0.4, 0.5} {
		streams = append(streams, simulation.Stream{Class: i, Rate: simulation.Steady(work * part / mean[i].Seconds()), Work: simulation.Always(mean[i])})
	}
	arrivals := simulation.Arrivals(7, length, streams...)
	late := slices.IndexFunc(arrivals, func(a simulation.Arrival) bool { return a.At >= learning })
	best, err := simulation.BestUtility(set, arrivals[late:])
	if err != nil {
		t.Fatal(err)
	}
	var clients []*testplatform.Client
	for n := range 8 {
		c, err := testplatform.Dial(s.addr, n)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		clients = append(clients, c)
	}
	var mu sync.Mutex
	utility, pings := 0.0, make([]int, length/time.Second)
	words := map[string]int{}
	var wg sync.WaitGroup
	began := time.Now()
	for i, a := range arrivals {
		time.Sleep(time.Until(began.Add(a.At)))
		wg.Go(func() {
			sent := time.Now()
			got, err := clients[i%len(clients)].Call(testplatform.Request{
				Txn: fmt.Sprintf("%016x", i+1), Class: names.Classes[a.Class], Tenant: "acme", Timeout: 1500 * time.Millisecond,
				WorkHintMs: float64(a.Hint) / 1e6, Body: strconv.AppendFloat(nil, float64(a.Work)/1e6, 'f', 3, 64),
			})
			mu.Lock()
			defer mu.Unlock()
			after := time.Since(sent)
			words[got.Status]++
			switch {
			case err != nil:
				t.Errorf("request %d: %v", i, err)
			case after > 1700*time.Millisecond:
				t.Errorf("request %d was answered after %v", i, after)
			case got.Status == "ACK":
				if a.Class == 0 {
					pings[a.At/time.Second]++
				}
				if after <= set.Classes[a.Class].LatencyTarget && a.At >= learning {
					utility += set.Classes[a.Class].Utility
				}
			}
		})
	}
	if err := s.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	t.Logf("%d requests: %v; utility %.3f of the best; cheap requests served by second %v", len(arrivals), words, utility/best, pings)
	if utility < 0.8*best {
		t.Errorf("utility %.3f of the best achievable", utility/best)
	}
	for sec, n := range pings {
		if n == 0 {
			t.Errorf("no cheap request was served in second %d", sec)
		}
	}
	standin.Eventually(t, "the counters of the pools", func() bool { return strings.Contains(s.log.String(), "pools.script.limit=") })

	c, out := programCommand(writeFile(t, goodConfig))
	c.Args = append(c.Args, "run", "--config", writeFile(t, "[pools]\nenabled = true\n[pool.reed]\nreserve = 0.1\n"))
	if err := c.Run(); c.ProcessState.ExitCode() != statusConfig || !strings.Contains(out.String(), ":3: [pool.reed] no such class; did you mean read?") {
		t.Errorf("%v, %q", err, out.String())
	}
}
