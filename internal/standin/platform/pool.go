// Package platform has stand-ins for the peers of a node, for tests and for programs other than the node: a
// worker pool whose cores slow down under contention, a membership service, and the client side of a
// dispatcher's connection. They are written from the published protocol and listen on loopback only.
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

// Run describes a run that a Work function is to perform.
type Run struct {
	ID, Class string
	Body      []byte
	Count     int // runs started with this ID so far, including this one
}

// Work decides the course of a run: its duration in milliseconds when it runs alone on one core, how it ends
// ("complete" or "error"), and its result. It must not call methods of the Pool.
type Work func(Run) (ms float64, end string, result []byte)

// maxNotices is the maximum number of notices that are stored for a new link; older ones are discarded.
const maxNotices = 4000

// Pool is a stand-in worker pool, whose runs share its cores. It outlives the nodes that link to it; runs go on
// while there is no link. Its methods are safe for concurrent use.
type Pool struct {
	Cores            int
	ContentionFactor float64 // n runs on Cores cores slow down by 1 + ContentionFactor*(n/Cores-1)
	Work             Work

	ln         net.Listener
	started    time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	recompute  chan struct{}
	goroutines sync.WaitGroup

	mu               sync.Mutex
	link             net.Conn
	notices          []string // the last maxNotices; the first has sequence number discardedNotices+1
	discardedNotices int      // since ResetNotices
	runs             map[string]*run
	runCounts        map[string]int // runs started, by ID
	advancedAt       time.Time      // time to which the remaining work of the runs is updated
	busyShare        float64        // smoothed share of busy cores
	endedRuns        int
	paused           bool
	coldSpeed        float64       // share of the full speed at the start; 0 = warm from the start
	warmUpTime       time.Duration // time until the pool has its full speed
	slowdown         float64       // factor on the duration of all work; below 1 it has no effect
	commandInterval  time.Duration // between the moments at which commands are carried out; 0 = at once
}

// run is a run in progress.
type run struct {
	Run
	remaining float64 // remaining work in milliseconds, alone on one core
	started   time.Time
	end       string
	result    []byte
}

// StartPool starts a worker pool on loopback; it runs until Close.
func StartPool(cores int, contention float64, work Work) (*Pool, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start stand-in worker pool: %w", err)
	}
	p := &Pool{
		Cores: cores, ContentionFactor: contention, Work: work, ln: ln, started: time.Now(),
		recompute: make(chan struct{}, 1), runs: map[string]*run{}, runCounts: map[string]int{}, advancedAt: time.Now(),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.goroutines.Go(p.accept)
	p.goroutines.Go(p.finishRuns)
	return p, nil
}

// Addr returns the address on which the pool listens.
func (p *Pool) Addr() string { return p.ln.Addr().String() }

// Close stops the pool and all its runs.
func (p *Pool) Close() error {
	p.cancel()
	err := p.ln.Close()
	p.mu.Lock()
	if p.link != nil {
		_ = p.link.Close()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
	return err
}

// RunCounts returns how many runs were started under each ID.
func (p *Pool) RunCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]int, len(p.runCounts))
	for id, n := range p.runCounts {
		all[id] = n
	}
	return all
}

// Load returns the number of current runs, the number of runs that ended, and the smoothed share of busy cores.
func (p *Pool) Load() (running, ended int, busy float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs), p.endedRuns, p.busyShare
}

// ResetNotices discards the stored notices and restarts their sequence numbers, as the platform does for a
// new node.
func (p *Pool) ResetNotices() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices, p.discardedNotices = nil, 0
}

// SetPaused pauses or resumes all runs.
func (p *Pool) SetPaused(paused bool) {
	p.mu.Lock()
	p.advance()
	p.paused = paused
	p.mu.Unlock()
	p.notifyChange()
}

// StartCold makes the pool cold as of its start: its speed grows linearly from the share speed of the full speed
// to the full speed during warmUpTime. It must be called before a node links to the pool.
func (p *Pool) StartCold(speed float64, warmUpTime time.Duration) {
	p.mu.Lock()
	p.coldSpeed, p.warmUpTime = speed, warmUpTime
	p.mu.Unlock()
}

// SetCommandInterval makes the pool carry out the commands that it has read only once per interval, as the platform's
// does. Those that wait are lost if the link breaks. It must be called before a node links to the pool.
func (p *Pool) SetCommandInterval(interval time.Duration) {
	p.mu.Lock()
	p.commandInterval = interval
	p.mu.Unlock()
}

// SetSlowdown multiplies the duration of all work by a factor from now on; 1 is normal.
func (p *Pool) SetSlowdown(factor float64) {
	p.mu.Lock()
	p.advance()
	p.slowdown = factor
	p.mu.Unlock()
	p.notifyChange()
}

// notifyChange makes finishRuns recompute when the next run ends.
func (p *Pool) notifyChange() {
	select {
	case p.recompute <- struct{}{}:
	default:
	}
}

// accept accepts links until the listener is closed.
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
		p.goroutines.Go(func() { p.serve(c) })
	}
}

// send writes a line to the link, if there is one. The lock must be held.
func (p *Pool) send(line string) {
	if p.link == nil {
		return
	}
	_ = p.link.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := p.link.Write([]byte(line + "\n")); err != nil { // the node asks for lost notices on a new link
		_ = p.link.Close()
		p.link = nil
	}
}

// serve handles the messages of one connection. A connection becomes the link, in place of the previous one,
// when it binds.
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
	p.mu.Lock()
	interval := p.commandInterval
	p.mu.Unlock()
	lines := bufio.NewReaderSize(c, 64<<10)
	for {
		waited := lines.Buffered() > 0
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		if !waited {
			time.Sleep(interval)
		}
		var m struct {
			Op, ID, Class, Tag string
			Seq                int
			Body               []byte
		}
		if json.Unmarshal(line, &m) != nil {
			return
		}
		p.mu.Lock()
		if p.link != nil && p.link != c && m.Op != "bind" { // a new link has replaced this one
			p.mu.Unlock()
			return
		}
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
			for i := max(m.Seq-p.discardedNotices, 0); i < len(p.notices); i++ {
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
			p.send(fmt.Sprintf(`{"op":"polled","tag":%s,"values":[%g,%d]}`, strconv.Quote(m.Tag), p.busyShare, len(p.runs)))
		}
		p.mu.Unlock()
		p.notifyChange()
	}
}

// startRun starts a run unless one with its ID is in progress. The lock must be held.
func (p *Pool) startRun(id, class string, body []byte) {
	if p.runs[id] != nil {
		return
	}
	p.advance()
	p.runCounts[id]++
	r := &run{Run: Run{ID: id, Class: class, Body: body, Count: p.runCounts[id]}, started: time.Now()}
	r.remaining, r.end, r.result = p.Work(r.Run)
	p.runs[id] = r
}

// recordEnd stores and sends the notice of the end of a run. The lock must be held.
func (p *Pool) recordEnd(r *run, end string, result []byte) {
	p.endedRuns++
	text, _ := json.Marshal(result) // a byte slice can always be encoded
	line := fmt.Sprintf(`{"op":"finished","seq":%d,"id":%s,"end":%q,"ms":%.3f,"body":%s}`,
		p.discardedNotices+len(p.notices)+1, strconv.Quote(r.ID), end,
		float64(time.Since(r.started).Microseconds())/1000, text)
	p.notices = append(p.notices, line)
	if len(p.notices) > maxNotices {
		excess := len(p.notices) - maxNotices
		p.discardedNotices += excess
		p.notices = append([]string(nil), p.notices[excess:]...)
	}
	p.send(line)
}

// speed returns the current speed of each run as a share of a core. The lock must be held.
func (p *Pool) speed() float64 {
	n := float64(len(p.runs))
	if n == 0 || p.paused {
		return 0
	}
	share := min(1, float64(p.Cores)/n)
	return share * p.warmUpFactor() / max(p.slowdown, 1) / (1 + p.ContentionFactor*max(0, n/float64(p.Cores)-1))
}

// warmUpFactor returns the current speed of a pool that warms up as a share of its full speed. The lock must be
// held.
func (p *Pool) warmUpFactor() float64 {
	if p.coldSpeed <= 0 {
		return 1
	}
	return p.coldSpeed + (1-p.coldSpeed)*min(1, time.Since(p.started).Seconds()/p.warmUpTime.Seconds())
}

// advance updates the remaining work of all runs to the current time. The lock must be held.
func (p *Pool) advance() {
	now := time.Now()
	passed := now.Sub(p.advancedAt)
	p.advancedAt = now
	done := float64(passed) / float64(time.Millisecond) * p.speed()
	for _, r := range p.runs {
		r.remaining -= done
	}
	weight := min(1, passed.Seconds()) // smooths the gauge over about a second
	p.busyShare += weight * (min(1, float64(len(p.runs))/float64(p.Cores)) - p.busyShare)
}

// finishRuns ends runs when their work is done, until the pool is closed.
func (p *Pool) finishRuns() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		p.mu.Lock()
		p.advance()
		next := time.Hour
		for {
			var finished *run
			for _, r := range p.runs {
				if r.remaining <= 0 {
					finished = r
					break
				}
			}
			if finished == nil {
				break
			}
			delete(p.runs, finished.ID)
			p.recordEnd(finished, finished.end, finished.result)
		}
		if v := p.speed(); v > 0 {
			for _, r := range p.runs {
				next = min(next, time.Duration(r.remaining/v*float64(time.Millisecond))+50*time.Microsecond)
			}
			if p.warmUpFactor() < 1 { // the speed is still growing
				next = min(next, 5*time.Millisecond)
			}
		}
		p.mu.Unlock()
		timer.Reset(next)
		select {
		case <-p.ctx.Done():
			return
		case <-p.recompute:
		case <-timer.C:
		}
	}
}
