// Command 6 is a case of the review: the late end of a run deletes the stored record of a newer request.
//
// A keyed request whose work is many times the usual is answered with FAIL at its due time; its run goes on. After its
// window the key returns, runs and is answered with ACK. Then the first run ends, and the node is killed. A repeat of
// the answered request, within its window, must get the earlier answer and must not run.
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"robinmast/internal/standin/platform"
	"robinmast/review/harness"
)

// Times of the case. The settings are those of the project's example, with a window of 5 s and a deadline of 4 s.
const (
	window      = 5 * time.Second
	usualMs     = 300.0
	heavyMs     = 6500.0 // 21.7 times the usual work
	returnAfter = window + 300*time.Millisecond
	killAfter   = 7500 * time.Millisecond
)

// run is a run that the worker pool started.
type run struct {
	at  time.Time
	id  string
	key string
}

// pool counts the runs of the worker pools of all incarnations.
type pool struct {
	c     *harness.Case
	heavy bool // the first run takes many times the usual work

	mu   sync.Mutex
	runs []run
}

// work decides the course of a run: its result names the run.
func (p *pool) work(r platform.Run) (ms float64, end string, result []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, run{time.Now(), r.ID, string(r.Body)})
	ms = usualMs
	if p.heavy && len(p.runs) == 1 {
		ms = heavyMs
	}
	p.c.Logf("worker pool: run %s of %q started, %.0f ms of work", r.ID, r.Body, ms)
	return ms, "complete", fmt.Appendf(nil, "result of run %s", r.ID)
}

// all returns the runs so far.
func (p *pool) all() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]run(nil), p.runs...)
}

func main() { harness.Main(play) }

// play plays the case.
func play(c *harness.Case) {
	work := &pool{c: c, heavy: c.Trouble}
	members, err := platform.StartMembers()
	c.Must(err)
	listen := c.FreeAddress()
	ini := c.WriteFile("robinmast.ini", "[results]\nenabled = true\ndir = "+c.Dir+"/results\n")
	start := func(incarnation int) (*harness.Process, *platform.Pool) {
		workers, err := platform.StartPool(2, 0, work.work)
		c.Must(err)
		path := c.WriteFile(fmt.Sprintf("config%d.json", incarnation),
			strings.NewReplacer("LISTEN", listen, "POOL", workers.Addr(), "MEMBERS", members.Addr()).Replace(harness.KeyedConfig))
		node := c.Start(fmt.Sprintf("node-%d", incarnation), c.DeployCommand("run")+" run --config "+ini, "EDGE_CONFIG="+path)
		c.Eventually("the node has its worker pool", 10*time.Second, func() bool {
			return strings.Contains(node.Log(), "worker pool bound")
		})
		return node, workers
	}
	node, workers := start(1)
	sent := 0
	call := func(retry bool) (platform.Answer, error) {
		sent++
		q := platform.Request{
			Txn: fmt.Sprintf("%016x", 0xa000+sent), Class: "pay", Tenant: "acme", Timeout: 4 * time.Second, WorkHintMs: usualMs,
			IdempotencyKey: "order-1", Body: []byte("order-1"), Retry: retry,
		}
		c.Logf("client: sends %s, key %s, further try: %v", q.Txn, q.IdempotencyKey, retry)
		client, err := platform.Dial(listen, 1)
		c.Must(err)
		defer client.Close()
		a, err := client.Call(q)
		c.Logf("client: %s was answered %q %q, error %v", q.Txn, a.Status, a.Body, err)
		return a, err
	}
	began := time.Now()
	first, err := call(false)
	c.Must(err)
	if !c.Trouble && first.Status != "ACK" {
		c.Fail("the first request was not served")
	}
	time.Sleep(time.Until(began.Add(returnAfter)))
	c.Logf("client: the window of %v of the first request is over; the key returns", window)
	returned := time.Now()
	second, err := call(false)
	c.Must(err)
	if second.Status != "ACK" {
		c.Fail("the request was not served when its key returned")
	}
	time.Sleep(time.Until(began.Add(killAfter)))
	before := len(work.all())
	if c.Trouble {
		node.Kill()
		c.Must(workers.Close())
		node, workers = start(2)
	}
	repeat, err := call(true)
	c.Must(err)
	within := time.Since(returned)
	time.Sleep(time.Second)
	node.CopyLog("remembered results")
	if within >= window {
		c.Fail("the repeat came %v after the request, too late for its window", within)
	}
	c.Logf("the repeat was answered %v after the request that it repeats, whose window is %v", within, window)
	if runs := work.all(); len(runs) > before {
		c.Broken("the keyed request that was answered ACK ran again as %s, within its window", runs[len(runs)-1].id)
	}
	if repeat.Status == "ACK" && string(repeat.Body) != string(second.Body) {
		c.Broken("the repeat was answered %q, the request before %q", repeat.Body, second.Body)
	}
	if repeat.Status == "NAK" {
		c.Broken("a keyed request that has run was turned away")
	}
	node.Signal(syscall.SIGTERM)
	if !node.Wait(5 * time.Second) {
		node.Kill()
	}
	_ = workers.Close()
	_ = members.Close()
}
