package peers

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// keptNotices is how many notices a worker pool keeps for a new link.
const keptNotices = 4000

// poolTick is how often a worker pool carries out the commands that it has read.
const poolTick = 2 * time.Millisecond

// Plan is the course of a run.
type Plan struct {
	Takes  time.Duration
	Result string
}

// Pool is a worker pool that is warm. It belongs to one node, which is started once.
type Pool struct {
	Course func(id, body string) Plan  // of a run that starts
	Gauges func(running int) []float64 // in the order of the settings
	// Piece returns where a line is cut in two, and the pause between the pieces; nil or 0 = it is not cut.
	Piece func(size int) (cut int, pause time.Duration)

	registry *Registry
	record   *Record
	ln       net.Listener
	started  time.Time

	mu      sync.Mutex
	link    *poolLink
	notices []string // the last keptNotices
	dropped int      // notices that are not kept any more
	runs    map[string]*poolRun
	starts  map[string]int // by id
	closed  bool
}

// poolLink is a link of the pool. Its lines are written in order by a goroutine of its own.
type poolLink struct {
	net.Conn
	lines  chan string
	broken bool
}

// newLink starts the writer of a link.
func (p *Pool) newLink(c net.Conn) *poolLink {
	l := &poolLink{Conn: c, lines: make(chan string, 2*keptNotices)}
	go func() {
		for line := range l.lines {
			text := line + "\n"
			if p.Piece != nil {
				if cut, pause := p.Piece(len(text)); cut > 0 && cut < len(text) {
					_, _ = c.Write([]byte(text[:cut]))
					time.Sleep(pause)
					text = text[cut:]
				}
			}
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := c.Write([]byte(text)); err != nil {
				_ = c.Close() // what is not written comes again on a new link
			}
		}
	}()
	return l
}

type poolRun struct {
	id    string
	plan  Plan
	began time.Time
	timer *time.Timer
}

// StartPool starts a worker pool. Course and Gauges must be set before a node is started.
func StartPool(g *Registry, rec *Record) (*Pool, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Pool{registry: g, record: rec, ln: ln, started: time.Now(), runs: map[string]*poolRun{}, starts: map[string]int{}}
	go p.accept(ln)
	return p, nil
}

// Addr returns the pool's address.
func (p *Pool) Addr() string { return p.ln.Addr().String() }

func (p *Pool) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// Close stops the pool and all its runs.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.ln.Close()
	if p.link != nil {
		_ = p.link.Close()
	}
	for _, r := range p.runs {
		r.timer.Stop()
	}
	clear(p.runs)
}

// BreakLink closes the link.
func (p *Pool) BreakLink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		p.link.broken = true
		_ = p.link.Close()
	}
}

func (p *Pool) send(line string) {
	if p.link == nil {
		return
	}
	select {
	case p.link.lines <- line:
	default:
		_ = p.link.Close()
	}
}

// notice numbers a notice, keeps it and sends it.
func (p *Pool) notice(format string, args ...any) {
	line := fmt.Sprintf(`{"seq":%d,`, p.dropped+len(p.notices)+1) + fmt.Sprintf(format, args...) + "}"
	p.notices = append(p.notices, line)
	if len(p.notices) > keptNotices {
		p.notices = p.notices[1:]
		p.dropped++
	}
	p.send(line)
}

func (p *Pool) serve(c net.Conn) {
	l := p.newLink(c)
	defer func() {
		p.mu.Lock()
		if p.link == l {
			p.link = nil
		}
		close(l.lines) // nothing is sent on a link that is not p.link
		p.mu.Unlock()
		_ = c.Close()
	}()
	// The pool carries out what it has read once a tick. A break of the link loses what waits for the next one.
	waiting := make(chan string, 4096)
	go func() {
		defer close(waiting)
		lines := bufio.NewScanner(c)
		lines.Buffer(make([]byte, 0, 4096), 128<<10)
		for lines.Scan() {
			waiting <- lines.Text()
		}
	}()
	defer func() {
		go func() {
			for range waiting { // until the reader ends
			}
		}()
	}()
	tick := time.NewTicker(poolTick)
	defer tick.Stop()
	for bound := false; ; <-tick.C {
		for more := true; more; {
			select {
			case line, open := <-waiting:
				if !open || !p.command(l, line, &bound) {
					return
				}
			default:
				more = false
			}
		}
	}
}

// command carries out one command. It returns false if the link is to be closed.
func (p *Pool) command(l *poolLink, line string, bound *bool) bool {
	var m struct {
		Op, ID, Class, Tag string
		Seq                int
		Body               []byte
	}
	if json.Unmarshal([]byte(line), &m) != nil {
		p.record.Add("pool: closes the link, not a command: %q", line)
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || *bound && p.link != l || *bound && l.broken {
		return false
	}
	switch m.Op {
	case "bind":
		if p.link != nil {
			_ = p.link.Close()
		}
		p.link, *bound = l, true
		p.send(fmt.Sprintf(`{"op":"bound","end":"hot","ms":%d}`, time.Since(p.started).Milliseconds()))
		for i := max(m.Seq-p.dropped, 0); i < len(p.notices); i++ {
			p.send(p.notices[i])
		}
	case "spawn":
		p.spawn(m.ID, m.Class, string(m.Body))
	case "suspend":
		if r := p.runs[m.ID]; r != nil {
			p.end(r, "cancelled", "")
		}
	case "poll":
		values, _ := json.Marshal(p.Gauges(len(p.runs)))
		p.send(fmt.Sprintf(`{"op":"polled","tag":%q,"values":%s}`, m.Tag, values))
	default:
		return false
	}
	return true
}

func (p *Pool) spawn(id, class, body string) {
	switch {
	case p.runs[id] != nil:
		return
	case !p.registry.matches(id, class, body):
		p.record.Add("pool: unknown request %s", id)
		p.send(fmt.Sprintf(`{"op":"unknown","end":"spawn","id":%q}`, id))
		return
	case p.registry.IsOver(id):
		p.record.Add("pool: %s is over, not started", id)
		p.notice(`"op":"finished","id":%q,"end":"unknown","ms":0`, id)
		return
	}
	p.starts[id]++
	r := &poolRun{id: id, plan: p.Course(id, body), began: time.Now()}
	p.runs[id] = r
	p.record.Add("pool: run %s starts, body %.40q, start number %d", id, body, p.starts[id])
	r.timer = time.AfterFunc(r.plan.Takes, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.runs[id] == r {
			p.end(r, "complete", r.plan.Result)
		}
	})
}

func (p *Pool) end(r *poolRun, end, result string) {
	r.timer.Stop()
	delete(p.runs, r.id)
	ms := float64(time.Since(r.began).Microseconds()) / 1000
	p.record.Add("pool: run %s ends: %s after %.0f ms", r.id, end, ms)
	if end == "complete" {
		body, _ := json.Marshal([]byte(result)) // a byte slice can always be encoded
		p.notice(`"op":"finished","id":%q,"end":"complete","ms":%.3f,"body":%s`, r.id, ms, body)
		return
	}
	p.notice(`"op":"finished","id":%q,"end":%q,"ms":%.3f`, r.id, end, ms)
}

// StartsOf returns how often a run was started under an id.
func (p *Pool) StartsOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts[id]
}
