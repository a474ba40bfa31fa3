package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	testplatform "robinmast/internal/standin/platform"
)

// testNode is the built program with a worker pool and a membership service of the test.
type testNode struct {
	b          testing.TB
	dir        string
	addr       string
	pool       *testplatform.Pool
	members    *testplatform.Members
	ini        string
	config     string // the platform's configuration, goodConfig if empty
	cmd        *exec.Cmd
	log        *lockedBuffer
	cores      int
	contention float64
	began      time.Time
	work       testplatform.Work
}

func buildNode(b testing.TB) string {
	b.Helper()
	binary := filepath.Join(b.TempDir(), "robinmast")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		b.Fatalf("build: %v: %s", err, out)
	}
	return binary
}

func newTestNode(b testing.TB, cores int, results string, work testplatform.Work) *testNode {
	b.Helper()
	s := &testNode{b: b, dir: b.TempDir(), cores: cores, contention: 0.15, work: work}
	var err error
	if s.members, err = testplatform.StartMembers(); err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s.addr = listener.Addr().String()
	listener.Close()
	s.ini = filepath.Join(s.dir, "robinmast.ini")
	text := "[log]\nlevel = info\n"
	if strings.HasPrefix(results, "[") {
		text, results = results, "off"
	}
	if results != "off" {
		text += fmt.Sprintf("[results]\nenabled = true\ndir = %s\ndurability = %s\n", filepath.Join(s.dir, "results"), results)
	}
	if err := os.WriteFile(s.ini, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { s.kill(); s.members.Close() })
	return s
}

// start starts a new worker pool and the node, like the start of a machine.
func (s *testNode) start(binary string) {
	s.b.Helper()
	var err error
	s.began = time.Now()
	if s.pool, err = testplatform.StartPool(s.cores, s.contention, s.work); err != nil {
		s.b.Fatal(err)
	}
	template := goodConfig
	if s.config != "" {
		template = s.config
	}
	text := strings.NewReplacer("127.0.0.1:8080", s.addr, "127.0.0.1:4400", s.pool.Addr(), "127.0.0.1:2379", s.members.Addr(),
		`"windowMs":5000`, `"windowMs":600000`, `"cpus":2`, fmt.Sprintf(`"cpus":%d`, s.cores), `"entryKb":1`, `"entryKb":0.1,"freshMs":60000`,
		`"aimMs":1000`, `"aimMs":900`).Replace(template)
	path := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.b.Fatal(err)
	}
	s.cmd, s.log = exec.Command(binary, "run", "--config", s.ini), &lockedBuffer{}
	s.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path)
	s.cmd.Stderr = s.log
	if err := s.cmd.Start(); err != nil {
		s.b.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !strings.Contains(s.log.String(), "worker pool bound"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.b.Fatalf("did not start: %s", s.log.String())
		}
	}
}

// kill stops the node and its worker pool, like the crash of a machine.
func (s *testNode) kill() {
	if s.cmd == nil {
		return
	}
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait() // it was killed
	_ = s.pool.Close()
	s.cmd = nil
}

// cpu returns the processor time of the node, to 10 ms.
func (s *testNode) cpu() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
	if err != nil {
		s.b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	var user, system int64
	f := strings.Fields(rest)
	fmt.Sscan(f[11]+" "+f[12], &user, &system)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// BenchmarkResultCache measures the cost of storing the results of keyed requests.
//
//	go test ./cmd/robinmast -run - -bench ResultCache -benchtime 4000x
func BenchmarkResultCache(b *testing.B) {
	binary := buildNode(b)
	for _, results := range []string{"off", "soon", "durable"} {
		b.Run(results, func(b *testing.B) {
			s := newTestNode(b, 8, results, func(r testplatform.Run) (float64, string, []byte) { return 2, "complete", make([]byte, 512) })
			s.start(binary)
			var wg sync.WaitGroup
			var mu sync.Mutex
			h := hdrhistogram.New(1, int64(10*time.Second), 3)
			var next, bad atomic.Int64
			before := s.cpu()
			b.ResetTimer()
			for n := range 4 {
				wg.Go(func() {
					c, err := testplatform.Dial(s.addr, n)
					if err != nil {
						b.Error(err)
						return
					}
					defer c.Close()
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						began := time.Now()
						a, err := c.Call(testplatform.Request{Txn: fmt.Sprintf("%016x", i), Class: "pay", Tenant: "acme", Timeout: 4 * time.Second,
							IdempotencyKey: fmt.Sprint("k", i), Body: make([]byte, 256)})
						if err != nil || a.Status != "ACK" {
							bad.Add(1)
						}
						mu.Lock()
						_ = h.RecordValue(int64(time.Since(began))) // beyond ten seconds it is not recorded
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64((s.cpu()-before).Microseconds())/float64(b.N), "cpu-us/req")
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e6, "p99-ms")
			b.ReportMetric(float64(bad.Load()), "not-served")
		})
	}
}

// BenchmarkFleetRestart replays an incident: three machines crash together under load and
// restart cold, while desktops retry twice, each time at the next machine. It reports the
// number of runs, the requests served in time, and the seconds until 90% are served again.
//
//	go test ./cmd/robinmast -run - -bench FleetRestart -benchtime 1x
func BenchmarkFleetRestart(b *testing.B) {
	const (
		machines, cores = 3, 2
		steps           = 900  // distinct items, requested with different frequency
		rate            = 300. // requests per second of all desktops
		workMs          = 14.
		length, crash   = 12 * time.Second, 5 * time.Second
		coldFor, cold   = 3 * time.Second, 3. // for coldFor after a restart, runs take cold times as long
	)
	binary := buildNode(b)
	for _, results := range []string{"off", "durable"} {
		b.Run("results="+results, func(b *testing.B) {
			for range b.N {
				var runs, after atomic.Int64
				var crashed atomic.Bool
				var all []*testNode
				for range machines {
					var s *testNode
					s = newTestNode(b, cores, results, func(r testplatform.Run) (float64, string, []byte) {
						runs.Add(1)
						ms := workMs
						if crashed.Load() {
							after.Add(1)
							if time.Since(s.began) < coldFor {
								ms *= cold
							}
						}
						return ms, "complete", r.Body
					})
					s.start(binary)
					all = append(all, s)
				}
				rnd := rand.New(rand.NewPCG(9, 2))
				zipf := rand.NewZipf(rnd, 1.05, 20, steps-1)
				var mu sync.Mutex
				conns := map[[2]int]*testplatform.Client{}
				var wg sync.WaitGroup
				var txns, served atomic.Int64
				seconds := int(length / time.Second)
				good, sent := make([]int, seconds+1), make([]int, seconds+1)
				try := func(desk, m int, item string, retry bool) bool {
					mu.Lock()
					c := conns[[2]int{desk, m}]
					if c == nil || !c.Usable() {
						var err error
						if c, err = testplatform.Dial(all[m].addr, desk); err != nil {
							mu.Unlock()
							return false
						}
						conns[[2]int{desk, m}] = c
					}
					mu.Unlock()
					began := time.Now()
					a, err := c.Call(testplatform.Request{Txn: fmt.Sprintf("%016x", txns.Add(1)), Class: "read", Tenant: "acme", Timeout: time.Second,
						ItemKey: item, Body: []byte(item), Retry: retry, WorkHintMs: workMs})
					return err == nil && a.Status == "ACK" && time.Since(began) < time.Second
				}
				began := time.Now()
				next := began
				down := false
				for time.Since(began) < length {
					if !down && time.Since(began) > crash {
						down = true
						crashed.Store(true)
						for _, s := range all {
							s.kill()
						}
						for _, s := range all {
							s.start(binary)
						}
					}
					for time.Now().After(next) {
						next = next.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
						step := int(zipf.Uint64())
						item, desk, home := fmt.Sprintf("step-%d", step), rnd.IntN(4), step%machines
						at := int(time.Since(began) / time.Second)
						mu.Lock()
						sent[at]++
						mu.Unlock()
						wg.Go(func() {
							for n := range 3 {
								if try(desk, (home+n)%machines, item, n > 0) {
									served.Add(1)
									mu.Lock()
									good[at]++
									mu.Unlock()
									return
								}
								time.Sleep(100 * time.Millisecond)
							}
						})
					}
					time.Sleep(time.Millisecond)
				}
				wg.Wait()
				normal := -1
				for at := int(crash / time.Second); at < seconds; at++ {
					if float64(good[at]) >= 0.9*float64(sent[at]) {
						normal = at - int(crash/time.Second)
						break
					}
				}
				b.ReportMetric(float64(runs.Load()), "runs")
				b.ReportMetric(float64(after.Load()), "runs-after-crash")
				b.ReportMetric(float64(served.Load()), "served")
				b.ReportMetric(float64(normal), "s-to-normal")
				mu.Lock()
				for _, c := range conns {
					c.Close()
				}
				mu.Unlock()
				for _, s := range all {
					s.kill()
				}
				if served.Load() == 0 {
					b.Fatal(errors.New("nothing was served"))
				}
			}
		})
	}
}
