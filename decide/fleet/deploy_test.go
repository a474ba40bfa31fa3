package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// server is a node of a rolling deploy in virtual time.
type server struct {
	name     string
	inc, seq uint64
	drains   time.Duration   // when its deploy begins
	open     []time.Duration // ends of what it works on
}

// phase says how a server stands at a time: up, draining (refuses), down, cold.
// After its start one kind never answers for a while, one fails fast, one flaps.
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

// outcome is what a try meets.
type outcome int

const (
	served outcome = iota
	refused
	failed
)

// try sends a request to a server.
func (s *server) try(now time.Duration, i int) outcome {
	for len(s.open) > 0 && s.open[0] <= now {
		s.open = s.open[1:]
	}
	room, work := 8, 60*ms
	switch s.phase(now, i) {
	case "draining":
		return refused
	case "mute": // it has a slot until its caller gives up
		if len(s.open) < room {
			s.open = append(s.open, now+time.Second)
			return failed
		}
		return refused
	case "down", "errors":
		return failed
	case "cold":
		work *= 3
	}
	if len(s.open) >= room {
		return refused
	}
	s.open = append(s.open, now+work)
	return served
}

// dispatcher chooses servers, and hears what became of each try.
type dispatcher interface {
	choose(now time.Duration, not map[int]bool) int
	told(now time.Duration, server int, o outcome)
}

// byView routes by the published view, a tick late, by weighted round robin as
// proxies do, leaves out for a while whom it saw fail, as the published outlier
// detection tells it to, and reports what it saw.
type byView struct {
	byFailing
	rnd  *rand.Rand
	view View
	f    *Fleet
	turn map[int]int
	good map[int]float64
	bad  map[int]float64
}

func (d *byView) choose(now time.Duration, not map[int]bool) int {
	total, best := 0, -1
	for i, n := range d.view.Nodes {
		if not[i] || n.Weight == 0 || d.until[i] > now {
			continue
		}
		total += n.Weight
		d.turn[i] += n.Weight
		if best < 0 || d.turn[i] > d.turn[best] {
			best = i
		}
	}
	if best < 0 {
		return d.rnd.IntN(len(d.view.Nodes))
	}
	d.turn[best] -= total
	return best
}

func (d *byView) told(now time.Duration, i int, o outcome) {
	d.byFailing.told(now, i, o)
	if o == failed {
		d.bad[i]++
	} else {
		d.good[i]++
	}
}

// byFailing finds out by itself: two failures in a row leave a server out, for
// twice as long each time.
type byFailing struct {
	n     int
	next  int
	fails map[int]int
	until map[int]time.Duration
	exile map[int]time.Duration
}

func (d *byFailing) choose(now time.Duration, not map[int]bool) int {
	for range 2 * d.n {
		d.next = (d.next + 1) % d.n
		if !not[d.next] && d.until[d.next] <= now {
			return d.next
		}
	}
	return d.next
}

func (d *byFailing) told(now time.Duration, i int, o outcome) {
	if o == refused { // a refusal is an answer
		return
	}
	if o == served {
		d.fails[i], d.exile[i] = 0, 0
		return
	}
	if d.fails[i]++; d.fails[i] >= 2 {
		d.exile[i] = min(max(2*d.exile[i], 500*ms), 8*time.Second)
		d.until[i], d.fails[i] = now+d.exile[i], 0
	}
}

// byList follows the platform's plain list: who reports is on it, until 3 s after
// the last report, told a second and a half late.
type byList struct {
	byFailing
	last map[int]time.Duration
}

func (d *byList) choose(now time.Duration, not map[int]bool) int {
	for range 2 * d.n {
		d.next = (d.next + 1) % d.n
		if !not[d.next] && now-1500*ms-d.last[d.next] < 3*time.Second {
			return d.next
		}
	}
	return d.next
}

func (d *byList) told(time.Duration, int, outcome) {}

// deploy plays a rolling deploy of twelve servers, a sixth at a time, and counts
// a dispatcher's refused and failed tries and the requests that three tries left unserved.
func deploy(kind string, seed uint64) (tries, refusedTries, failedTries, lost int) {
	const n, rate, dispatchers = 12, 900, 20
	rnd := rand.New(rand.NewPCG(seed, 1))
	var all []*server
	for i := range n {
		all = append(all, &server{name: fmt.Sprintf("n%02d", i), inc: 1000, drains: 5*time.Second + time.Duration(i/2)*4*time.Second})
	}
	f := New(0)
	var all20 []dispatcher // each learns by itself; the view is everybody's
	var views []*byView
	last := map[int]time.Duration{}
	for i := range dispatchers {
		failing := byFailing{n: n, next: i, fails: map[int]int{}, until: map[int]time.Duration{}, exile: map[int]time.Duration{}}
		v := &byView{byFailing: failing, rnd: rnd, f: f, turn: map[int]int{}, good: map[int]float64{}, bad: map[int]float64{}}
		for s := range n {
			v.turn[s] = rnd.IntN(1000)
		}
		views = append(views, v)
		switch kind {
		case "failing":
			all20 = append(all20, &failing)
		case "list":
			all20 = append(all20, &byList{byFailing: failing, last: last})
		default:
			all20 = append(all20, v)
		}
	}
	type word struct {
		at     time.Duration
		d      dispatcher
		server int
	}
	var late []word // of servers that never answered
	due := time.Duration(0)
	for now := time.Duration(0); now < 45*time.Second; now += 10 * ms {
		for i, s := range all {
			if now%(700*ms) != time.Duration(i*50)*ms {
				continue
			}
			phase := s.phase(now, i)
			if phase == "down" {
				if s.inc == 1000 || i%6 == 3 { // it comes back as another
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
				for p, view := range views {
					for i, s := range all {
						f.ObserveLoad(now, ProxyLoad{Proxy: fmt.Sprint(p), Node: s.name, Good: view.good[i], Bad: view.bad[i]})
					}
					clear(view.good)
					clear(view.bad)
				}
			}
			v, _ := f.Step(now)
			for _, view := range views {
				view.view = v
			}
		}
		for len(late) > 0 && late[0].at <= now {
			late[0].d.told(now, late[0].server, failed)
			late = late[1:]
		}
		if now < 3*time.Second {
			due = now
			continue
		}
		for ; due <= now; due += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)) {
			not := map[int]bool{}
			d := all20[rnd.IntN(dispatchers)]
			done := false
			for range 3 {
				i := d.choose(now, not)
				not[i] = true
				tries++
				o := all[i].try(now, i)
				if o == failed && all[i].phase(now, i) == "mute" { // known when its caller gave up
					late = append(late, word{now + time.Second, d, i})
				} else {
					d.told(now, i, o)
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

// Dispatchers that route by the view see fewer tries fail through a rolling deploy,
// and leave fewer requests unserved, than such as find out by failing and such as
// follow the plain list.
func TestDeployByView(t *testing.T) {
	fails := map[string]int{}
	lost := map[string]int{}
	for _, kind := range []string{"view", "failing", "list"} {
		for seed := uint64(1); seed <= 5; seed++ {
			tries, r, f, l := deploy(kind, seed)
			fails[kind] += f
			lost[kind] += l
			if seed == 1 {
				t.Logf("%-8s %d tries, %d refused, %d failed, %d requests unserved", kind, tries, r, f, l)
			}
		}
	}
	if fails["view"] >= fails["failing"] || fails["view"] >= fails["list"] || lost["view"] >= lost["failing"] || lost["view"] >= lost["list"] {
		t.Errorf("failed tries %v, unserved %v", fails, lost)
	}
}
