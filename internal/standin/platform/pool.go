// Package platform owns stand-ins for what a node talks to, fit for programs and
// tests: a worker pool whose cores slow with crowding, a membership service, and
// a dispatcher's connection. They are written from the published protocol. They
// must never be linked into the node, and listen on loopback only.
package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// Run is what the pool knows of a run.
type Run struct {
	ID, Class string
	Body      []byte
	Count     int // how often the pool began one under this ID
}

// Work says what a run takes: milliseconds on one core by itself, its end
// ("complete", "error") and its result.
type Work func(Run) (ms float64, end string, result []byte)

// mostNotices is how many notices are kept for a new link.
const mostNotices = 4000

// Pool stands in for a worker pool: runs share its cores. It outlives the nodes
// that link to it; runs go on while there is no link.
type Pool struct {
	Cores int
	Crowd float64 // slow-down for each run a core beyond one: speed is 1/(1+Crowd*excess)
	Work  Work

	ln     net.Listener
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	poke   chan struct{}
	done   sync.WaitGroup

	mu      sync.Mutex
	link    net.Conn
	notices []string // the last ones; the first has number base+1
	base    int
	runs    map[string]*run
	counts  map[string]int // spawns that began a run, by ID
	at      time.Time      // when left was last brought up to date
	busy    float64        // smoothed share of busy cores
	ended   int
	paused  bool
	cold    float64       // share of its speed that it began with, 0 = it was hot
	ramp    time.Duration // until it is warm
	slow    float64       // times that work takes longer, 0 = 1
}

type run struct {
	Run
	left   float64 // milliseconds on one core
	began  time.Time
	end    string
	result []byte
}

// StartPool serves a pool on loopback until Close.
func StartPool(cores int, crowd float64, work Work) (*Pool, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in worker pool: %w", err)
	}
	p := &Pool{
		Cores: cores, Crowd: crowd, Work: work, ln: ln, began: time.Now(), poke: make(chan struct{}, 1),
		runs: map[string]*run{}, counts: map[string]int{}, at: time.Now(),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.done.Go(p.accept)
	p.done.Go(p.turn)
	return p, nil
}

// Addr is where it listens.
func (p *Pool) Addr() string { return p.ln.Addr().String() }

// Close ends the pool with all its runs.
func (p *Pool) Close() error {
	p.cancel()
	err := p.ln.Close()
	p.mu.Lock()
	if p.link != nil {
		_ = p.link.Close()
	}
	p.mu.Unlock()
	p.done.Wait()
	return err
}

// Began tells how often a run began under each ID.
func (p *Pool) Began() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]int, len(p.counts))
	for id, n := range p.counts {
		all[id] = n
	}
	return all
}

// State is the pool's load: runs in hand, ended so far, busy share of the cores.
func (p *Pool) State() (running, ended int, busy float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs), p.ended, p.busy
}

// Renumber starts notices anew, as the platform does for a node that starts anew.
func (p *Pool) Renumber() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices, p.base = nil, 0
}

// Pause stops or resumes all runs.
func (p *Pool) Pause(paused bool) {
	p.mu.Lock()
	p.advance()
	p.paused = paused
	p.mu.Unlock()
	p.wake()
}

// Cold lets the pool be cold as of its start: it begins at the share from of its
// speed and is warm after ramp. It must be called before a node binds.
func (p *Pool) Cold(from float64, ramp time.Duration) {
	p.mu.Lock()
	p.cold, p.ramp = from, ramp
	p.mu.Unlock()
}

// Slow lets all work take times as long from now on.
func (p *Pool) Slow(times float64) {
	p.mu.Lock()
	p.advance()
	p.slow = times
	p.mu.Unlock()
	p.wake()
}

func (p *Pool) wake() {
	select {
	case p.poke <- struct{}{}:
	default:
	}
}

func (p *Pool) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond)
			continue
		}
		p.done.Go(func() { p.serve(c) })
	}
}

// say writes a line on the link, if there is one; the lock must be held.
func (p *Pool) say(line string) {
	if p.link == nil {
		return
	}
	_ = p.link.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := p.link.Write([]byte(line + "\n")); err != nil { // the node asks again on a new link
		_ = p.link.Close()
		p.link = nil
	}
}

func (p *Pool) serve(c net.Conn) {
	defer func() {
		p.mu.Lock()
		if p.link == c {
			p.link = nil
		}
		p.mu.Unlock()
		_ = c.Close()
	}()
	stop := context.AfterFunc(p.ctx, func() { _ = c.Close() })
	defer stop()
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		var m struct {
			Op, ID, Class, Tag string
			Seq                int
			Body               []byte
		}
		if json.Unmarshal(lines.Bytes(), &m) != nil {
			return
		}
		p.mu.Lock()
		switch m.Op {
		case "bind":
			if p.link != nil {
				_ = p.link.Close()
			}
			p.link = c
			state := "hot"
			if p.cold > 0 {
				state = "chilly"
			}
			p.say(fmt.Sprintf(`{"op":"bound","end":%q,"ms":%d}`, state, time.Since(p.began).Milliseconds()))
			for i := max(m.Seq-p.base, 0); i < len(p.notices); i++ {
				p.say(p.notices[i])
			}
		case "spawn":
			p.spawn(m.ID, m.Class, m.Body)
		case "suspend":
			if r := p.runs[m.ID]; r != nil {
				p.advance()
				delete(p.runs, m.ID)
				p.notice(r, "cancelled", nil)
			}
		case "poll":
			p.say(fmt.Sprintf(`{"op":"polled","tag":%s,"values":[%g,%d]}`, strconv.Quote(m.Tag), p.busy, len(p.runs)))
		}
		p.mu.Unlock()
		p.wake()
	}
}

// spawn begins a run, unless it runs; the lock must be held.
func (p *Pool) spawn(id, class string, body []byte) {
	if p.runs[id] != nil {
		return
	}
	p.advance()
	p.counts[id]++
	r := &run{Run: Run{ID: id, Class: class, Body: body, Count: p.counts[id]}, began: time.Now()}
	r.left, r.end, r.result = p.Work(r.Run)
	p.runs[id] = r
}

// notice keeps and sends the end of a run; the lock must be held.
func (p *Pool) notice(r *run, end string, result []byte) {
	p.ended++
	text, _ := json.Marshal(result) // bytes always can be
	n := fmt.Sprintf(`{"op":"finished","seq":%d,"id":%s,"end":%q,"ms":%.3f,"body":%s}`,
		p.base+len(p.notices)+1, strconv.Quote(r.ID), end, float64(time.Since(r.began).Microseconds())/1000, text)
	p.notices = append(p.notices, n)
	if len(p.notices) > mostNotices {
		cut := len(p.notices) - mostNotices
		p.base += cut
		p.notices = append([]string(nil), p.notices[cut:]...)
	}
	p.say(n)
}

// speed is how much of a core each run gets now; the lock must be held.
func (p *Pool) speed() float64 {
	n := float64(len(p.runs))
	if n == 0 || p.paused {
		return 0
	}
	share := min(1, float64(p.Cores)/n)
	return share * p.warm() / max(p.slow, 1) / (1 + p.Crowd*max(0, n/float64(p.Cores)-1))
}

// warm is the share of its speed that the pool has; the lock must be held.
func (p *Pool) warm() float64 {
	if p.cold <= 0 {
		return 1
	}
	return p.cold + (1-p.cold)*min(1, time.Since(p.began).Seconds()/p.ramp.Seconds())
}

// advance brings all runs up to now; the lock must be held.
func (p *Pool) advance() {
	now := time.Now()
	passed := now.Sub(p.at)
	p.at = now
	done := float64(passed) / float64(time.Millisecond) * p.speed()
	for _, r := range p.runs {
		r.left -= done
	}
	weight := min(1, passed.Seconds()) // the gauge is a mean over about a second
	p.busy += weight * (min(1, float64(len(p.runs))/float64(p.Cores)) - p.busy)
}

// turn ends runs as they are done.
func (p *Pool) turn() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		p.mu.Lock()
		p.advance()
		next := time.Hour
		for {
			var over *run
			for _, r := range p.runs {
				if r.left <= 0 {
					over = r
					break
				}
			}
			if over == nil {
				break
			}
			delete(p.runs, over.ID)
			p.notice(over, over.end, over.result)
		}
		if v := p.speed(); v > 0 {
			for _, r := range p.runs {
				next = min(next, time.Duration(r.left/v*float64(time.Millisecond))+50*time.Microsecond)
			}
			if p.warm() < 1 { // the speed changes meanwhile
				next = min(next, 5*time.Millisecond)
			}
		}
		p.mu.Unlock()
		timer.Reset(next)
		select {
		case <-p.ctx.Done():
			return
		case <-p.poke:
		case <-timer.C:
		}
	}
}
