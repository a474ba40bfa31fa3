// This file owns the callers: dispatchers that route, walk their lists, probe and
// reconnect, and the desktops behind them that try again. It must never know of a
// node but what its answers, its probes and the membership list say.

package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"robinmast/internal/standin/platform"
)

// Habits that a scenario does not set.
const (
	badRun    = 5                      // failures in a row after which a dispatcher leaves a node alone
	badFor    = time.Second            // for so long
	valueLife = time.Second            // of the free value
	listEvery = 500 * time.Millisecond // the membership list is read
	listedFor = 3 * time.Second        // after its last report
	lateSlack = 110 * time.Millisecond // after its limit an answer is late: the rule's slack
	leastLeft = 20 * time.Millisecond  // less is not worth a try
)

// end is how a try ended.
type end uint8

const (
	served end = iota
	refused
	failed
	late        // no answer in its time
	cut         // the connection ended first
	unreachable // no connection could be had
	heldBack    // the dispatcher had nobody to send it to: no try was made
	ends
)

var endNames = [ends]string{"served", "refused", "failed", "late", "cut", "unreachable", "held_back"}

// dispatcher is one of them.
type dispatcher struct {
	f     *Fleet
	n     int
	heeds bool

	mu    sync.Mutex
	peers []peer
}

// peer is what a dispatcher knows of a node.
type peer struct {
	addr   string // of the link to it
	conns  []*platform.Client
	dials  int // under way
	away   time.Time
	bad    int
	value  float64
	heard  time.Time // the value
	red    bool
	open   int
	listed bool
}

func newDispatcher(f *Fleet, n int, heeds bool) *dispatcher {
	d := &dispatcher{f: f, n: n, heeds: heeds, peers: make([]peer, len(f.nodes))}
	for i := range d.peers {
		d.peers[i] = peer{addr: f.toNode[n][i].Addr(), value: 1, listed: true}
	}
	return d
}

// pick chooses a node that was not tried: by its free value, among those that are
// listed, not left alone and said to be well. ok is false where there is none.
func (d *dispatcher) pick(rnd *rand.Rand, tried uint64) (node int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	draw := func() int {
		for _, well := range []bool{true, false} { // red ones only if there are no others
			sum := 0.0
			weigh := func(i int) float64 {
				p := &d.peers[i]
				if tried&(1<<i) != 0 || !p.listed || now.Before(p.away) || well == p.red {
					return 0
				}
				if !d.heeds || now.Sub(p.heard) > valueLife {
					return 1
				}
				return max(p.value, 0.01)
			}
			for i := range d.peers {
				sum += weigh(i)
			}
			if sum == 0 {
				continue
			}
			x := rnd.Float64() * sum
			last := -1
			for i := range d.peers {
				if w := weigh(i); w > 0 {
					last = i
					if x -= w; x < 0 {
						break
					}
				}
			}
			return last
		}
		return -1
	}
	node = draw()
	if node >= 0 && d.f.s.Dispatchers.Route == "least" {
		if o := draw(); o >= 0 && d.peers[o].open < d.peers[node].open {
			node = o
		}
	}
	return node, node >= 0
}

// connection is one with room; it opens one where all are full.
func (d *dispatcher) connection(node int) (*platform.Client, error) {
	d.mu.Lock()
	p := &d.peers[node]
	var best *platform.Client
	kept := p.conns[:0]
	for _, c := range p.conns {
		if !c.Usable() {
			d.f.note(func(t *tally) { t.Twice += c.DuplicateAnswers() })
			continue
		}
		kept = append(kept, c)
		if best == nil || c.AvailableRequests() > best.AvailableRequests() {
			best = c
		}
	}
	p.conns = kept
	if best != nil && (best.AvailableRequests() > 0 || len(p.conns)+p.dials >= d.f.s.Dispatchers.Connect) {
		d.mu.Unlock()
		return best, nil
	}
	if len(p.conns)+p.dials >= d.f.s.Dispatchers.Connect {
		d.mu.Unlock()
		return nil, errors.New("all connections are being opened")
	}
	p.dials++
	d.mu.Unlock()
	c, err := platform.Dial(p.addr, d.n)
	d.f.note(func(t *tally) { t.Connects++ })
	d.mu.Lock()
	defer d.mu.Unlock()
	p.dials--
	if err == nil {
		p.conns = append(p.conns, c)
	}
	return c, err
}

// reconnect drops every connection, as a dispatcher that starts anew.
func (d *dispatcher) reconnect() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.peers {
		for _, c := range d.peers[i].conns {
			c.Close()
		}
		d.peers[i].away, d.peers[i].bad, d.peers[i].value = time.Time{}, 0, 1
	}
}

// learn takes what a try's end says of the node.
func (d *dispatcher) learn(node int, e end, a platform.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, now := &d.peers[node], time.Now()
	p.open--
	switch e {
	case served, refused:
		p.bad = 0
	default:
		if p.bad++; p.bad >= badRun {
			p.away = now.Add(badFor)
			p.bad = badRun - 1 // one more tells whether it is well again
		}
	}
	if a.Word == "" {
		return
	}
	if !math.IsNaN(a.LoadFeedback) {
		p.value, p.heard = a.LoadFeedback, now
	}
	if e == refused && d.heeds && a.RetryAfter > 0 {
		if until := now.Add(min(a.RetryAfter, d.f.s.Fleet.MaxAdvice)); until.After(p.away) {
			p.away = until
		}
	}
}

// request is one that a desktop wants answered.
type request struct {
	arrival
	class  *ClassPart
	rnd    *rand.Rand
	began  time.Time
	unique string
	tries  int
}

// play is a desktop's life with one request: it tries again while there is time.
func (f *Fleet) play(q *request) {
	d := f.dispatchers[q.dispatcher]
	deadline := q.began.Add(q.class.Deadline)
	wait := f.s.Desktops.Backoff
	var e end
	for n := 0; ; n++ {
		var later time.Duration
		e, later = d.send(q, deadline)
		if e == served || n >= f.s.Desktops.Retries || q.class.Effect == "unsafe" && e != refused && e != heldBack && e != unreachable {
			break
		}
		pause := wait
		if f.s.Desktops.Jitter {
			pause = time.Duration((0.5 + q.rnd.Float64()) * float64(wait))
		}
		if f.s.Desktops.Heed {
			pause = max(pause, later)
		}
		wait *= 2
		if time.Until(deadline)-pause < leastLeft || f.pause(pause) != nil {
			break
		}
	}
	took := time.Since(q.began)
	f.note(func(t *tally) {
		if e == served && took <= q.class.Aim {
			t.Worth += f.worth(q)
			t.InTime++
		}
		t.Requests[e]++
	})
}

func (f *Fleet) worth(q *request) float64 {
	if f.s.Fleet.WorthByWork {
		return q.class.Worth * q.ms
	}
	return q.class.Worth
}

// pause waits, unless the rehearsal ends.
func (f *Fleet) pause(d time.Duration) error {
	select {
	case <-f.ctx.Done():
		return f.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// send takes a request through the dispatcher's list.
func (d *dispatcher) send(q *request, deadline time.Time) (e end, later time.Duration) {
	e = heldBack
	for walked, tried := 0, uint64(0); walked <= d.f.s.Dispatchers.Walk; walked++ {
		left := min(time.Until(deadline), d.f.s.Dispatchers.Try)
		node, ok := d.pick(q.rnd, tried)
		if !ok || left < leastLeft || d.f.ctx.Err() != nil {
			break
		}
		tried |= 1 << node
		var a platform.Answer
		e, a = d.try(q, node, left)
		d.learn(node, e, a)
		switch {
		case e == served:
			return e, 0
		case e == refused:
			later = a.RetryAfter
			if a.StopRetrying && d.heeds {
				return e, later
			}
		case e != unreachable && q.class.Effect == "unsafe":
			return e, later // it may have run
		}
	}
	if e == heldBack {
		later = d.soonest()
		d.f.note(func(t *tally) { t.HeldBack++ })
	}
	return e, later
}

// soonest is when the first node may be tried again.
func (d *dispatcher) soonest() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	least := d.f.s.Fleet.MaxAdvice
	for i := range d.peers {
		if p := &d.peers[i]; p.listed {
			least = min(least, max(time.Until(p.away), 0))
		}
	}
	return least
}

// try sends a request to a node and says how that ended.
func (d *dispatcher) try(q *request, node int, left time.Duration) (e end, a platform.Answer) {
	first := q.tries == 0
	q.tries++
	d.mu.Lock()
	d.peers[node].open++
	d.mu.Unlock()
	began := time.Now()
	sound := d.f.sound(d.n, node)
	defer func() {
		took := time.Since(began)
		sound = sound && d.f.sound(d.n, node)
		d.f.note(func(t *tally) {
			t.Tries[e]++
			if first {
				t.First++
			}
			if e == refused {
				switch {
				case a.StopRetrying:
					t.Ended++
				case a.RetryAfter > 0:
					t.Advised++
				}
				if first {
					t.refusedIn = append(t.refusedIn, took)
					if took > promptly {
						t.Tardy++
					}
				}
			}
			if e == late && sound { // nothing was wrong from here to there
				t.Lost++
			}
		})
	}()
	c, err := d.connection(node)
	if err != nil {
		return unreachable, a
	}
	text := strconv.AppendFloat(nil, q.ms, 'f', 3, 64)
	r := platform.Request{Txn: d.f.txn(), Class: q.class.Name, Tenant: "acme", Limit: left, HintMs: q.ms, Retry: !first}
	if q.class.Effect != "safe" {
		r.Unique = q.unique
		text = append(append(text, ' '), q.unique...)
	}
	r.Body = text
	ctx, cancel := context.WithTimeout(d.f.ctx, left+lateSlack)
	defer cancel()
	sent := time.Now()
	a, err = c.Do(ctx, r)
	switch {
	case err != nil && ctx.Err() != nil:
		if d.f.ctx.Err() != nil {
			return cut, platform.Answer{} // the rehearsal ends: that says nothing
		}
		return late, a
	case errors.Is(err, platform.ErrConnectionClosed):
		return cut, a
	case err != nil:
		return unreachable, a
	case time.Since(sent) > left+lateSlack:
		return late, a
	case a.Word == "ACK":
		return served, a
	case a.Word == "NAK":
		return refused, a
	}
	return failed, a
}

// probeAll keeps up the health checks and the list until the rehearsal ends.
func (d *dispatcher) probeAll(done *sync.WaitGroup) {
	for i := range d.peers {
		done.Go(func() { d.probe(i) })
	}
	done.Go(func() {
		for d.f.pause(listEvery) == nil {
			for i := range d.peers {
				phase, at := d.f.members.Phase(d.f.nodes[i].child.name)
				d.mu.Lock()
				d.peers[i].listed = phase == "" || time.Since(at) < listedFor
				d.mu.Unlock()
			}
		}
	})
}

func (d *dispatcher) probe(i int) {
	every := d.f.s.Dispatchers.Probe
	if every == 0 {
		return
	}
	rnd := rand.New(rand.NewPCG(d.f.s.Fleet.Seed, uint64(1000+d.n*64+i)))
	for d.f.pause(time.Duration(float64(every)/d.f.probeRate()*(0.9+0.2*rnd.Float64()))) == nil {
		green, err := platform.Probe(d.peers[i].addr, min(every, time.Second))
		d.f.note(func(t *tally) { t.Probes++ })
		d.mu.Lock()
		d.peers[i].red = err != nil || !green
		d.mu.Unlock()
	}
}

// txn is a name that no try had.
func (f *Fleet) txn() string { return fmt.Sprintf("%016x", f.nextTxn.Add(1)) }
