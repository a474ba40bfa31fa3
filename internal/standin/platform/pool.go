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
const maxNotices = 4000

// Pool stands in for a worker pool: runs share its cores. It outlives the nodes
// that link to it; runs go on while there is no link.
type Pool struct {
	Cores            int
	ContentionFactor float64 // slow-down for each run a core beyond one: speed is 1/(1+Crowd*excess)
	Work             Work

	ln      net.Listener
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	changed chan struct{}
	done    sync.WaitGroup

	mu         sync.Mutex
	link       net.Conn
	notices    []string // the last ones; the first has number base+1
	firstSeq   int
	runs       map[string]*run
	counts     map[string]int // spawns that began a run, by ID
	advanced   time.Time      // when left was last brought up to date
	busy       float64        // smoothed share of busy cores
	ended      int
	paused     bool
	coldSpeed  float64       // share of its speed that it began with, 0 = it was hot
	warmUpTime time.Duration // until it is warm
	slowdown   float64       // times that work takes longer, 0 = 1
}

type run struct {
	Run
	remaining float64 // milliseconds on one core
	started   time.Time
	end       string
	result    []byte
}

// StartPool serves a pool on loopback until Close.
func StartPool(cores int, crowd float64, work Work) (*Pool, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in worker pool: %w", err)
	}
	p := &Pool{
		Cores: cores, ContentionFactor: crowd, Work: work, ln: ln, started: time.Now(), changed: make(chan struct{}, 1),
		runs: map[string]*run{}, counts: map[string]int{}, advanced: time.Now(),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.done.Go(p.accept)
	p.done.Go(p.finishRuns)
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
func (p *Pool) RunCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]int, len(p.counts))
	for id, n := range p.counts {
		all[id] = n
	}
	return all
}

// State is the pool's load: runs in hand, ended so far, busy share of the cores.
func (p *Pool) Load() (running, ended int, busy float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs), p.ended, p.busy
}

// Renumber starts notices anew, as the platform does for a node that starts anew.
func (p *Pool) ResetNotices() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices, p.firstSeq = nil, 0
}

// Pause stops or resumes all runs.
func (p *Pool) SetPaused(paused bool) {
	p.mu.Lock()
	p.advance()
	p.paused = paused
	p.mu.Unlock()
	p.notifyChange()
}

// Cold lets the pool be cold as of its start: it begins at the share from of its
// speed and is warm after ramp. It must be called before a node binds.
func (p *Pool) StartCold(from float64, ramp time.Duration) {
	p.mu.Lock()
	p.coldSpeed, p.warmUpTime = from, ramp
	p.mu.Unlock()
}

// Slow lets all work take times as long from now on.
func (p *Pool) SetSlowdown(times float64) {
	p.mu.Lock()
	p.advance()
	p.slowdown = times
	p.mu.Unlock()
	p.notifyChange()
}

func (p *Pool) notifyChange() {
	select {
	case p.changed <- struct{}{}:
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
func (p *Pool) send(line string) {
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
			if p.coldSpeed > 0 {
				state = "chilly"
			}
			p.send(fmt.Sprintf(`{"op":"bound","end":%q,"ms":%d}`, state, time.Since(p.started).Milliseconds()))
			for i := max(m.Seq-p.firstSeq, 0); i < len(p.notices); i++ {
				p.send(p.notices[i])
			}
		case "spawn":
			p.startRun(m.ID, m.Class, m.Body)
		case "suspend":
			if r := p.runs[m.ID]; r != nil {
				p.advance()
				delete(p.runs, m.ID)
				p.recordEnd(r, "cancelled", nil)
			}
		case "poll":
			p.send(fmt.Sprintf(`{"op":"polled","tag":%s,"values":[%g,%d]}`, strconv.Quote(m.Tag), p.busy, len(p.runs)))
		}
		p.mu.Unlock()
		p.notifyChange()
	}
}

// spawn begins a run, unless it runs; the lock must be held.
func (p *Pool) startRun(id, class string, body []byte) {
	if p.runs[id] != nil {
		return
	}
	p.advance()
	p.counts[id]++
	r := &run{Run: Run{ID: id, Class: class, Body: body, Count: p.counts[id]}, started: time.Now()}
	r.remaining, r.end, r.result = p.Work(r.Run)
	p.runs[id] = r
}

// notice keeps and sends the end of a run; the lock must be held.
func (p *Pool) recordEnd(r *run, end string, result []byte) {
	p.ended++
	text, _ := json.Marshal(result) // bytes always can be
	n := fmt.Sprintf(`{"op":"finished","seq":%d,"id":%s,"end":%q,"ms":%.3f,"body":%s}`,
		p.firstSeq+len(p.notices)+1, strconv.Quote(r.ID), end, float64(time.Since(r.started).Microseconds())/1000, text)
	p.notices = append(p.notices, n)
	if len(p.notices) > maxNotices {
		cut := len(p.notices) - maxNotices
		p.firstSeq += cut
		p.notices = append([]string(nil), p.notices[cut:]...)
	}
	p.send(n)
}

// speed is how much of a core each run gets now; the lock must be held.
func (p *Pool) speed() float64 {
	n := float64(len(p.runs))
	if n == 0 || p.paused {
		return 0
	}
	share := min(1, float64(p.Cores)/n)
	return share * p.speedShare() / max(p.slowdown, 1) / (1 + p.ContentionFactor*max(0, n/float64(p.Cores)-1))
}

// warm is the share of its speed that the pool has; the lock must be held.
func (p *Pool) speedShare() float64 {
	if p.coldSpeed <= 0 {
		return 1
	}
	return p.coldSpeed + (1-p.coldSpeed)*min(1, time.Since(p.started).Seconds()/p.warmUpTime.Seconds())
}

// advance brings all runs up to now; the lock must be held.
func (p *Pool) advance() {
	now := time.Now()
	passed := now.Sub(p.advanced)
	p.advanced = now
	done := float64(passed) / float64(time.Millisecond) * p.speed()
	for _, r := range p.runs {
		r.remaining -= done
	}
	weight := min(1, passed.Seconds()) // the gauge is a mean over about a second
	p.busy += weight * (min(1, float64(len(p.runs))/float64(p.Cores)) - p.busy)
}

// turn ends runs as they are done.
func (p *Pool) finishRuns() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		p.mu.Lock()
		p.advance()
		next := time.Hour
		for {
			var over *run
			for _, r := range p.runs {
				if r.remaining <= 0 {
					over = r
					break
				}
			}
			if over == nil {
				break
			}
			delete(p.runs, over.ID)
			p.recordEnd(over, over.end, over.result)
		}
		if v := p.speed(); v > 0 {
			for _, r := range p.runs {
				next = min(next, time.Duration(r.remaining/v*float64(time.Millisecond))+50*time.Microsecond)
			}
			if p.speedShare() < 1 { // the speed changes meanwhile
				next = min(next, 5*time.Millisecond)
			}
		}
		p.mu.Unlock()
		timer.Reset(next)
		select {
		case <-p.ctx.Done():
			return
		case <-p.changed:
		case <-timer.C:
		}
	}
}
