// Command 2 is a case of the review: clients that withdraw hundreds of requests at once make the node need more
// memory than it is granted.
package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robinmast/review/peers"
)

const (
	dispatchers = 3
	interval    = 60 * time.Millisecond // between the requests of a dispatcher
	length      = 30 * time.Second
	limit       = 4 * time.Second // how long a dispatcher waits for a try
	memoryMB    = 48
	sockets     = 384
	clients     = 40  // bad ones
	pairs       = 500 // requests that a bad client withdraws at once
	badFrom     = 5 * time.Second
)

// settings are those of a node of a small deployment with the classes of the site.
const settings = `{"tickMs":2,"groupSize":3,"countedBy":"work","overShareWorth":0.05,"clientHabits":{"marksRetry":true},
 "lanes":[{"name":"script-step","aimMs":2500,"deadlineMs":7900,"effect":"idempotent","worth":1,"windowMs":5000},
  {"name":"disclosure","aimMs":2400,"deadlineMs":6300,"effect":"idempotent","worth":2,"windowMs":5000}],
 "parties":[{"name":"pirin-call","share":0.55,"quotaRps":90},{"name":"rila-voice","share":0.45,"quotaRps":90}],
 "extra":{"below":"none","cpus":6,"ramKb":61302,"entryKb":133,"runFactor":16,"freshMs":0,"heededMs":1000,
  "keepaliveMaxMs":30000,"meters":["cpu_busy","runnable","mem_used","sockets"],"passesDeadline":true,"preemption":"drop",
  "say":"weight","tellsGone":true,"upstreams":3},
 "bounds":{"retryAfter":true,"maxRetryAfterMs":1000},
 "obligations":{"answerSlackMs":60,"coldFrom":0.2,"fallMs":1500,"fallMultiple":8,"rampTimeMs":18000,"stopSendingWithinMs":2000}}`

func main() {
	trouble := flag.Bool("trouble", true, "there are bad clients")
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
	pool.Course = func(id, body string) peers.Plan {
		return peers.Plan{Takes: 100 * time.Millisecond, Result: "did " + body}
	}
	pool.Gauges = func(n int) []float64 { return []float64{min(float64(n)/12, 1), float64(n) / 2, 0.1, 10} }
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
		StopMs: 3200, MemoryMB: memoryMB, Sockets: sockets}
	defer node.Kill()
	if err := node.Start(); err != nil {
		return 2, err
	}
	if !peers.WaitHealthy(listen, 10*time.Second) {
		return 2, fmt.Errorf("no health")
	}
	began := time.Now()
	var killed atomic.Bool
	over := func() bool { return killed.Load() || time.Since(began) > length }
	var wg sync.WaitGroup
	all := make([][]*peers.Request, dispatchers)
	for d := range dispatchers {
		wg.Go(func() { all[d] = dispatch(d+1, listen, over, registry, rec) })
	}
	var rounds atomic.Int64
	if trouble {
		for i := range clients {
			wg.Go(func() {
				time.Sleep(badFrom)
				for !over() {
					withdraw(listen, 100+i)
					rounds.Add(1)
				}
			})
		}
	}
	// The platform: it looks at the node's memory and kills a node that goes over what it is granted.
	peak, at := 0, time.Duration(0)
	for !over() {
		kb, err := node.AnonymousKB()
		if err != nil {
			break // its process has ended
		}
		if kb > peak {
			peak, at = kb, time.Since(began)
			rec.Add("the node's memory without files: %d KB", kb)
		}
		if kb > memoryMB*1024 {
			rec.Add("the platform kills the node")
			node.Kill()
			killed.Store(true)
		}
		time.Sleep(2 * time.Millisecond)
	}
	ended, endedBy := node.Ended()
	wg.Wait()
	if !ended {
		time.Sleep(limit + time.Second)
	}
	_ = os.WriteFile(recordPath+".log", []byte(node.Log()), 0o600)
	total, open := 0, 0
	words := map[string]int{}
	for _, list := range all {
		for _, pointer := range list {
			q := pointer.Conn.Get(pointer)
			total++
			words[q.Word]++
			if q.Answered.IsZero() {
				open++
			}
		}
	}
	rec.Say("%d rounds of bad clients; dispatchers sent %d requests, answers %v, %d were open at the end", rounds.Load(), total,
		words, open)
	rec.Say("highest memory of the node without files: %.1f MB, %.1f s after the start; granted: %d MB", float64(peak)/1024,
		at.Seconds(), memoryMB)
	switch {
	case killed.Load():
		rec.Say("the node went over its memory and was killed")
		return 1, nil
	case ended:
		rec.Say("the node's process ended: %v", endedBy)
		return 1, nil
	}
	return 0, nil
}

// dispatch sends requests at a steady pace on one connection.
func dispatch(number int, addr string, over func() bool, g *peers.Registry, rec *peers.Record) (all []*peers.Request) {
	var conn *peers.Conn
	for ; !over(); time.Sleep(interval) {
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
		q := &peers.Request{Txn: peers.NewTxn(), Class: "script-step", Tenant: "pirin-call", Limit: limit, CPUMs: 50}
		q.Body = "step " + q.Txn
		if conn.Send(q) == nil {
			all = append(all, q)
		}
	}
	return all
}

// withdraw is one round of a bad client: it connects, sends hundreds of requests, each with its withdrawal, at full
// speed, and reads what it is sent until the node closes the connection.
func withdraw(addr string, number int) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer c.Close()
	body := strings.Repeat("x", 2000)
	var text []byte
	for tag := 1; tag <= pairs; tag++ {
		fields := fmt.Sprintf("txn=%016x,door=%d,lb=%d,ram=24.5,standing=0.6250,team=pirin-call,limit=4000", rand.Uint64(),
			time.Now().UnixMilli(), number)
		text = append(text, peers.Array("RPC.CALL", fmt.Sprint(tag), "script-step", fields, body)...)
		text = append(text, peers.Array("RPC.CANCEL", fmt.Sprint(tag))...)
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, c)
	}()
	if _, err := c.Write(text); err == nil {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	<-read
}
