package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// server is a simulated node of a rolling deployment in virtual time.
type server struct {
	name     string
	inc, seq uint64
	drains   time.Duration   // start of its deployment
	open     []time.Duration // end times of its running requests
}

// phase returns the phase of server i at a time: "up", "draining" (refuses), "down" or "cold".
// After their restart some servers never answer for a while ("mute"), some fail every request
// at once ("errors") and some flap.
func (s *server) phase(now time.Duration, i int) string {
	since := now - s.drains
	switch {
	case since < 0:
		return "up"
	case since < 1500*ms:
		return "draining"
	case since < 3*time.Second:
		return "down"
	case i%6 == 1 && since < 9*time.Second:
		return "mute" // accepts and never answers
	case i%6 == 2 && since < 8*time.Second:
		return "errors"
	case i%6 == 3 && since < 9*time.Second && int(since/(800*ms))%2 == 1:
		return "down" // flaps
	case since < 7*time.Second:
		return "cold"
	}
	return "up"
}

// outcome is the outcome of one try.
type outcome int

const (
	served outcome = iota
	refused
	failed
)

// try sends a request to the server.
func (s *server) try(now time.Duration, i int) outcome {
	for len(s.open) > 0 && s.open[0] <= now {
		s.open = s.open[1:]
	}
	capacity, work := 8, 60*ms
	switch s.phase(now, i) {
	case "draining":
		return refused
	case "mute": // the request holds a slot until its caller times out
		if len(s.open) < capacity {
			s.open = append(s.open, now+time.Second)
			return failed
		}
		return refused
	case "down", "errors":
		return failed
	case "cold":
		work *= 3
	}
	if len(s.open) >= capacity {
		return refused
	}
	s.open = append(s.open, now+work)
	return served
}

// dispatcher chooses servers and observes the outcome of each try.
type dispatcher interface {
	choose(now time.Duration, tried map[int]bool) int
	observe(now time.Duration, server int, o outcome)
}

// byView routes like a proxy that follows the published view: weighted round robin over a view
// that is one step old, outlier detection as published, and load reports.
type byView struct {
	byFailing
	rnd    *rand.Rand
	view   View
	f      *Fleet
	credit map[int]int
	good   map[int]float64
	bad    map[int]float64
}

func (d *byView) choose(now time.Duration, tried map[int]bool) int {
	total, best := 0, -1
	for i, n := range d.view.Nodes {
		if tried[i] || n.Weight == 0 || d.ejectedUntil[i] > now {
			continue
		}
		total += n.Weight
		d.credit[i] += n.Weight
		if best < 0 || d.credit[i] > d.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return d.rnd.IntN(len(d.view.Nodes))
	}
	d.credit[best] -= total
	return best
}

func (d *byView) observe(now time.Duration, i int, o outcome) {
	d.byFailing.observe(now, i, o)
	if o == failed {
		d.bad[i]++
	} else {
		d.good[i]++
	}
}

// byFailing has outlier detection only: two failures in a row eject a server, for twice as long
// each time.
type byFailing struct {
	n            int
	next         int
	failures     map[int]int
	ejectedUntil map[int]time.Duration
	ejectTime    map[int]time.Duration
}

func (d *byFailing) choose(now time.Duration, tried map[int]bool) int {
	for range 2 * d.n {
		d.next = (d.next + 1) % d.n
		if !tried[d.next] && d.ejectedUntil[d.next] <= now {
			return d.next
		}
	}
	return d.next
}

func (d *byFailing) observe(now time.Duration, i int, o outcome) {
	if o == refused { // not a failure
		return
	}
	if o == served {
		d.failures[i], d.ejectTime[i] = 0, 0
		return
	}
	if d.failures[i]++; d.failures[i] >= 2 {
		d.ejectTime[i] = min(max(2*d.ejectTime[i], 500*ms), 8*time.Second)
		d.ejectedUntil[i], d.failures[i] = now+d.ejectTime[i], 0
	}
}

// byList follows the list of the membership service: a server is on it until 3 s after its last
// report, and the list is 1.5 s old.
type byList struct {
	byFailing
	last map[int]time.Duration
}

func (d *byList) choose(now time.Duration, tried map[int]bool) int {
	for range 2 * d.n {
		d.next = (d.next + 1) % d.n
		if !tried[d.next] && now-1500*ms-d.last[d.next] < 3*time.Second {
			return d.next
		}
	}
	return d.next
}

func (d *byList) observe(time.Duration, int, outcome) {}

// deploy simulates a rolling deployment of twelve servers, two at a time. It counts the tries of
// the dispatchers, the refused and failed ones, and the requests that three tries left unserved.
func deploy(kind string, seed uint64) (tries, refusedTries, failedTries, lost int) {
	const n, rate, dispatchers = 12, 900, 20
	rnd := rand.New(rand.NewPCG(seed, 1))
	var servers []*server
	for i := range n {
		servers = append(servers, &server{name: fmt.Sprintf("n%02d", i), inc: 1000, drains: 5*time.Second + time.Duration(i/2)*4*time.Second})
	}
	f := New(0)
	var clients []dispatcher // each observes by itself; they share the view
	var viewClients []*byView
	last := map[int]time.Duration{}
	for i := range dispatchers {
		failing := byFailing{n: n, next: i, failures: map[int]int{}, ejectedUntil: map[int]time.Duration{}, ejectTime: map[int]time.Duration{}}
		v := &byView{byFailing: failing, rnd: rnd, f: f, credit: map[int]int{}, good: map[int]float64{}, bad: map[int]float64{}}
		for s := range n {
			v.credit[s] = rnd.IntN(1000)
		}
		viewClients = append(viewClients, v)
		switch kind {
		case "failing":
			clients = append(clients, &failing)
		case "list":
			clients = append(clients, &byList{byFailing: failing, last: last})
		default:
			clients = append(clients, v)
		}
	}
	type timeout struct {
		at     time.Duration
		d      dispatcher
		server int
	}
	var timeouts []timeout // of tries at servers that never answer
	due := time.Duration(0)
	for now := time.Duration(0); now < 45*time.Second; now += 10 * ms {
		for i, s := range servers {
			if now%(700*ms) != time.Duration(i*50)*ms {
				continue
			}
			phase := s.phase(now, i)
			if phase == "down" {
				if s.inc == 1000 || i%6 == 3 { // returns as a new incarnation
					s.inc, s.seq = uint64(1000+now/ms), 0
				}
				continue
			}
			s.seq++
			r := Report{Name: s.name, Addr: "127.0.0.1:1", Incarnation: s.inc, Seq: s.seq, Healthy: true, Warm: 1, Limit: 8, Running: float64(len(s.open))}
			if phase == "draining" {
				r.Phase = Draining
			}
			if phase == "cold" {
				r.Warm = 0.33
			}
			f.Report(now, r)
			last[i] = now
		}
		if now%(100*ms) == 0 {
			if now%(2*time.Second) == 0 { // load reports
				for p, view := range viewClients {
					for i, s := range servers {
						f.ObserveLoad(now, ProxyLoad{Proxy: fmt.Sprint(p), Node: s.name, Good: view.good[i], Bad: view.bad[i]})
					}
					clear(view.good)
					clear(view.bad)
				}
			}
			v, _ := f.Step(now)
			for _, view := range viewClients {
				view.view = v
			}
		}
		for len(timeouts) > 0 && timeouts[0].at <= now {
			timeouts[0].d.observe(now, timeouts[0].server, failed)
			timeouts = timeouts[1:]
		}
		if now < 3*time.Second {
			due = now
			continue
		}
		for ; due <= now; due += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)) {
			tried := map[int]bool{}
			d := clients[rnd.IntN(dispatchers)]
			done := false
			for range 3 {
				i := d.choose(now, tried)
				tried[i] = true
				tries++
				o := servers[i].try(now, i)
				if o == failed && servers[i].phase(now, i) == "mute" { // observed when the caller times out
					timeouts = append(timeouts, timeout{now + time.Second, d, i})
				} else {
					d.observe(now, i, o)
				}
				switch o {
				case refused:
					refusedTries++
				case failed:
					failedTries++
				case served:
					done = true
				}
				if done {
					break
				}
			}
			if !done {
				lost++
			}
		}
	}
	return tries, refusedTries, failedTries, lost
}

// In a rolling deployment, dispatchers that route by the view have fewer failed tries and leave
// fewer requests unserved than those with outlier detection only and those that follow the list
// of the membership service.
func TestDeployByView(t *testing.T) {
	failures := map[string]int{}
	lost := map[string]int{}
	for _, kind := range []string{"view", "failing", "list"} {
		for seed := uint64(1); seed <= 5; seed++ {
			tries, r, f, l := deploy(kind, seed)
			failures[kind] += f
			lost[kind] += l
			if seed == 1 {
				t.Logf("%-8s %d tries, %d refused, %d failed, %d requests unserved", kind, tries, r, f, l)
			}
		}
	}
	if failures["view"] >= failures["failing"] || failures["view"] >= failures["list"] || lost["view"] >= lost["failing"] || lost["view"] >= lost["list"] {
		t.Errorf("failed tries %v, unserved requests %v", failures, lost)
	}
}
