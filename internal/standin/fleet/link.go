// This file owns the fault proxy: one link between two parties, which can be cut,
// slowed, broken and healed. It must never change a byte or the order of bytes.

package fleet

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Faults are what a link does to what passes. The zero value passes all at once.
type Faults struct {
	CutUp, CutDown bool          // bytes stop towards the listener's side, or back; connections stay open
	Delay, Jitter  time.Duration // each way; jitter is added, evenly from 0
	Rate           int           // bytes a second each way and connection, 0 = no bound
	After          int           // bytes each way and connection after which nothing passes, 0 = no bound
	Reset          bool          // connections end by a reset, and new ones too
	HalfOpen       bool          // the far side goes away once; the near side is not told
}

// Bounds of a link.
const (
	linkChunk = 16 << 10
	linkQueue = 64  // chunks that are under way, each way and connection
	linkConns = 512 // connections; further ones are reset
)

// Link passes TCP connections on to a target. Its methods may be called by any goroutine.
type Link struct {
	ln net.Listener

	mu      sync.Mutex
	target  string
	faults  Faults
	changed chan struct{} // closed with the next change
	conns   map[*pair]struct{}
	opened  int
	closed  bool
	rnd     *rand.Rand
	running sync.WaitGroup
}

// pair is one connection through the link.
type pair struct {
	near, far net.Conn
	dead      chan struct{} // closed when nothing passes any more
	once      sync.Once
}

// NewLink listens on a free port of loopback and passes on to target, "" meaning
// that nobody is there yet. The seed is that of the jitter.
func NewLink(target string, seed uint64) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	l := &Link{ln: ln, target: target, changed: make(chan struct{}), conns: map[*pair]struct{}{}, rnd: rand.New(rand.NewPCG(seed, 3))}
	l.running.Go(l.accept)
	return l, nil
}

// Addr is where it listens.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Opened is how many connections were opened through it.
func (l *Link) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// Aim passes new connections on to another target.
func (l *Link) Aim(target string) {
	l.mu.Lock()
	l.target = target
	l.mu.Unlock()
}

// Set replaces the faults; Faults{} heals.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	l.faults = f
	close(l.changed)
	l.changed = make(chan struct{})
	for p := range l.conns {
		switch {
		case f.Reset:
			p.reset()
		case f.HalfOpen:
			_ = p.far.Close() // the near side hears nothing: its pumps wait for the end of the fault
		}
	}
	l.mu.Unlock()
}

// Cut ends every connection in order, as when the far side restarts.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.end()
	}
}

// Close ends the link and waits until nothing of it runs.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	_ = l.ln.Close()
	close(l.changed)
	l.changed = make(chan struct{})
	for p := range l.conns {
		p.end()
	}
	l.mu.Unlock()
	l.running.Wait()
}

func (p *pair) end() {
	p.once.Do(func() {
		close(p.dead)
		_ = p.near.Close()
		_ = p.far.Close()
	})
}

func (p *pair) reset() {
	for _, c := range []net.Conn{p.near, p.far} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	p.end()
}

// now is what holds at present, and what closes when that changes.
func (l *Link) now() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.changed
}

func (l *Link) accept() {
	for {
		near, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		l.running.Go(func() { l.pass(near) })
	}
}

// pass serves one connection. While the way up is cut the far side is not dialled:
// to whoever opened it the connection looks half-open.
func (l *Link) pass(near net.Conn) {
	end := func() {
		if t, ok := near.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = near.Close()
	}
	for began := time.Now(); ; {
		f, changed := l.now()
		if !f.CutUp && !f.CutDown {
			break
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Second):
		}
		l.mu.Lock()
		closed := l.closed
		l.mu.Unlock()
		if closed || time.Since(began) > 9*time.Second {
			end()
			return
		}
	}
	l.mu.Lock()
	target, refuse := l.target, l.faults.Reset || l.closed || len(l.conns) >= linkConns
	l.mu.Unlock()
	if refuse || target == "" {
		end()
		return
	}
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		end()
		return
	}
	p := &pair{near: near, far: far, dead: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.end()
		return
	}
	l.conns[p] = struct{}{}
	l.opened++
	seed := l.rnd.Uint64()
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, near, far, true, rand.New(rand.NewPCG(seed, 1))) })
	both.Go(func() { l.pump(p, far, near, false, rand.New(rand.NewPCG(seed, 2))) })
	both.Wait()
	p.end()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// chunk is bytes under way; without bytes it is the end of them.
type chunk struct {
	b   []byte
	due time.Time
}

// pump carries one way of a connection.
func (l *Link) pump(p *pair, from, to net.Conn, up bool, rnd *rand.Rand) {
	queue := make(chan chunk, linkQueue)
	l.running.Go(func() {
		defer close(queue)
		last := time.Time{}
		for {
			b := make([]byte, linkChunk)
			n, err := from.Read(b)
			f, _ := l.now()
			due := time.Now().Add(f.Delay)
			if f.Jitter > 0 {
				due = due.Add(time.Duration(rnd.Int64N(int64(f.Jitter))))
			}
			if due.Before(last) { // order is kept
				due = last
			}
			last = due
			if n > 0 {
				select {
				case queue <- chunk{b[:n], due}:
				case <-p.dead:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) && !p.silent(l, from) {
					p.reset() // a reset travels as one
				}
				select {
				case queue <- chunk{due: due}:
				case <-p.dead:
				}
				return
			}
		}
	})
	passed := 0
	for c := range queue {
		if !l.wait(p, c.due) || !l.open(p, up, &passed, &c) {
			p.end()
			return
		}
		if c.b == nil {
			if t, ok := to.(*net.TCPConn); ok && t.CloseWrite() == nil {
				return
			}
			p.end()
			return
		}
		if _, err := to.Write(c.b); err != nil && !p.silent(l, to) {
			p.end()
			return
		}
	}
}

// silent reports whether a failure on one side is not to be told to the other.
func (p *pair) silent(l *Link, side net.Conn) bool {
	f, _ := l.now()
	return f.HalfOpen && side == p.far
}

// wait waits until due, or the connection's end.
func (l *Link) wait(p *pair, due time.Time) bool {
	if d := time.Until(due); d > 0 {
		select {
		case <-time.After(d):
		case <-p.dead:
			return false
		}
	}
	return true
}

// open waits until a chunk may pass, and cuts it where the bytes end. It reports
// whether the connection goes on.
func (l *Link) open(p *pair, up bool, passed *int, c *chunk) bool {
	for {
		f, changed := l.now()
		shut := f.HalfOpen || up && f.CutUp || !up && f.CutDown
		if !shut && f.After > 0 {
			if room := f.After - *passed; room <= 0 {
				shut = true
			} else if len(c.b) > room {
				c.b = c.b[:room] // the rest is lost: nothing passes here any more
			}
		}
		if !shut {
			*passed += len(c.b)
			if f.Rate > 0 && len(c.b) > 0 {
				return l.wait(p, time.Now().Add(time.Duration(float64(len(c.b))/float64(f.Rate)*float64(time.Second))))
			}
			return true
		}
		select {
		case <-changed:
			if f.After > 0 || f.HalfOpen { // what stopped in the middle can't go on
				return false
			}
		case <-p.dead:
			return false
		}
	}
}
