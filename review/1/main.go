// Command 1 is a case of the review: after a break of the link to the worker pool, the node starts runs again that
// were read and have ended, so that unsafe and keyed requests run twice.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"robinmast/review/peers"
)

const (
	dispatchers = 4
	rate        = 150.0 // first tries a second at the node
	length      = 90 * time.Second
	limit       = 600 * time.Millisecond // how long a dispatcher waits for a try
)

// settings are those of a node of a small deployment with the classes of the site, scaled to 150 requests a second;
// the effects of the classes are those of a short day.
const settings = `{"tickMs":2,"groupSize":3,"countedBy":"work","overShareWorth":0.05,"clientHabits":{"marksRetry":true},
 "lanes":[{"name":"script-step","aimMs":300,"deadlineMs":800,"effect":"deduplicated","worth":1,"windowMs":5000},
  {"name":"disclosure","aimMs":300,"deadlineMs":700,"effect":"at_most_once","worth":2,"windowMs":5000}],
 "parties":[{"name":"pirin-call","share":0.55,"quotaRps":400},{"name":"rila-voice","share":0.45,"quotaRps":400}],
 "extra":{"below":"none","cpus":6,"ramKb":200000,"entryKb":10,"runFactor":16,"freshMs":0,"heededMs":1000,
  "keepaliveMaxMs":30000,"meters":["cpu_busy","runnable","mem_used","sockets"],"passesDeadline":true,"preemption":"drop",
  "say":"weight","tellsGone":true,"upstreams":4},
 "bounds":{"retryAfter":true,"maxRetryAfterMs":200},
 "obligations":{"answerSlackMs":60,"coldFrom":0.2,"fallMs":1500,"fallMultiple":8,"rampTimeMs":18000,"stopSendingWithinMs":2000}}`

func main() {
	trouble := flag.Bool("trouble", true, "the link to the worker pool breaks")
	dir := flag.String("dir", "", "temporary folder")
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	status, err := run(*trouble, *dir, *record)
	if err != nil {
		fmt.Println("the case could not run:", err)
		status = 2
	}
	os.Exit(status)
}

func run(trouble bool, dir, recordPath string) (int, error) {
	rec, err := peers.NewRecord(recordPath)
	if err != nil {
		return 2, err
	}
	defer rec.Close()
	registry := peers.NewRegistry()
	pool, err := peers.StartPool(registry, rec)
	if err != nil {
		return 2, err
	}
	defer pool.Close()
	// A run takes about 20 ms of work and as long in waits on its disk.
	pool.Course = func(id, body string) peers.Plan {
		return peers.Plan{Takes: time.Duration(20+rand.Float64()*40) * time.Millisecond, Result: "did " + body + " by " + id}
	}
	pool.Gauges = func(n int) []float64 { return []float64{min(float64(n)/12, 1), float64(n) / 2, 0.1, 10} }
	// Some lines arrive in two pieces.
	pool.Piece = func(size int) (int, time.Duration) {
		if rand.Float64() > 0.3 {
			return 0, 0
		}
		return 1 + rand.IntN(size), time.Millisecond
	}
	members, stopMembers, err := peers.StartMembers()
	if err != nil {
		return 2, err
	}
	defer stopMembers()
	listen, err := peers.FreeAddress()
	if err != nil {
		return 2, err
	}
	node := &peers.Node{Name: "n1", Listen: listen, Dir: dir, Settings: settings, Pool: pool.Addr(), Members: members,
		StopMs: 3200, MemoryMB: 96, Sockets: 512}
	defer node.Kill()
	if err := node.Start(); err != nil {
		return 2, err
	}
	if !peers.WaitHealthy(listen, 10*time.Second) {
		return 2, fmt.Errorf("no health")
	}
	began := time.Now()
	all := make([][]*peers.Request, dispatchers)
	var wg sync.WaitGroup
	for d := range dispatchers {
		wg.Go(func() { all[d] = dispatch(d+1, listen, began, registry, rec) })
	}
	breaks := 0
	if trouble {
		for time.Since(began) < length-4*time.Second {
			time.Sleep(time.Duration(1500+rand.IntN(2000)) * time.Millisecond)
			rec.Add("the link breaks")
			pool.BreakLink()
			breaks++
		}
	}
	wg.Wait()
	time.Sleep(limit + 500*time.Millisecond)
	_ = os.WriteFile(recordPath+".log", []byte(node.Log()), 0o600)
	if ended, err := node.Ended(); ended {
		rec.Say("the node's process ended: %v", err)
		return 1, nil
	}
	rec.Say("the link was broken %d times", breaks)
	return judge(rec, pool, all), nil
}

// dispatch sends requests of both classes at random times on one connection. No request is tried twice.
func dispatch(number int, addr string, began time.Time, g *peers.Registry, rec *peers.Record) (all []*peers.Request) {
	var conn *peers.Conn
	for time.Since(began) < length {
		time.Sleep(time.Duration(rand.ExpFloat64() * dispatchers / rate * float64(time.Second)))
		if conn == nil || !conn.Usable() {
			c, err := peers.Dial(addr, number, g, rec)
			if err != nil {
				rec.Add("dispatcher %d: can't connect: %v", number, err)
				continue
			}
			conn = c
		}
		if conn.Open() >= 30 {
			continue
		}
		q := &peers.Request{Txn: peers.NewTxn(), Class: "disclosure", Tenant: "pirin-call", Limit: limit, CPUMs: 20}
		if number%2 == 0 {
			q.Tenant = "rila-voice"
		}
		q.Body = "disclosure " + q.Txn
		if rand.IntN(2) == 0 {
			q.Class, q.Unique, q.Body = "script-step", "key"+q.Txn, "step "+q.Txn
		}
		if conn.Send(q) == nil {
			all = append(all, q)
		}
	}
	return all
}

// judge counts the keyed and unsafe requests that were run more than once. The worker pool starts nothing for a
// request that is over, so each of these runs could have its effect.
func judge(rec *peers.Record, pool *peers.Pool, all [][]*peers.Request) int {
	total, twice := 0, map[string]int{}
	words := map[string]int{}
	for _, list := range all {
		for _, pointer := range list {
			q := pointer.Conn.Get(pointer)
			total++
			words[q.Word]++
			if n := pool.StartsOf(q.Txn); n > 1 {
				twice[q.Class]++
				rec.Add("RAN TWICE: %s of class %s was started %d times; it was answered %q", q.Txn, q.Class, n, q.Word)
			}
		}
	}
	rec.Say("%d requests; answers %v", total, words)
	rec.Say("run more than once: %d keyed (script-step), %d unsafe (disclosure)", twice["script-step"], twice["disclosure"])
	if len(twice) > 0 {
		return 1
	}
	return 0
}
