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
	BytesPerSecond int           // bytes a second each way and connection, 0 = no bound
	StopAfter      int           // bytes each way and connection after which nothing passes, 0 = no bound
	Reset          bool          // connections end by a reset, and new ones too
	HalfOpen       bool          // the far side goes away once; the near side is not told
}

// Bounds of a link.
const (
	maxChunkBytes   = 16 << 10
	maxQueuedChunks = 64  // chunks that are under way, each way and connection
	maxConnections  = 512 // connections; further ones are reset
)

// Link passes TCP connections on to a target. Its methods may be called by any goroutine.
type Link struct {
	ln net.Listener

	mu      sync.Mutex
	target  string
	faults  Faults
	changed chan struct{} // closed with the next change
	conns   map[*linkConn]struct{}
	opened  int
	closed  bool
	random  *rand.Rand
	running sync.WaitGroup
}

// pair is one connection through the link.
type linkConn struct {
	near, far net.Conn
	done      chan struct{} // closed when nothing passes any more
	once      sync.Once
}

// NewLink listens on a free port of loopback and passes on to target, "" meaning
// that nobody is there yet. The seed is that of the jitter.
func NewLink(target string, seed uint64) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	l := &Link{ln: ln, target: target, changed: make(chan struct{}), conns: map[*linkConn]struct{}{}, random: rand.New(rand.NewPCG(seed, 3))}
	l.running.Go(l.accept)
	return l, nil
}

// Addr is where it listens.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Opened is how many connections were opened through it.
func (l *Link) ConnectionsOpened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// Aim passes new connections on to another target.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	l.target = target
	l.mu.Unlock()
}

// Set replaces the faults; Faults{} heals.
func (l *Link) SetFaults(f Faults) {
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
func (l *Link) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.close()
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
		p.close()
	}
	l.mu.Unlock()
	l.running.Wait()
}

func (p *linkConn) close() {
	p.once.Do(func() {
		close(p.done)
		_ = p.near.Close()
		_ = p.far.Close()
	})
}

func (p *linkConn) reset() {
	for _, c := range []net.Conn{p.near, p.far} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	p.close()
}

// now is what holds at present, and what closes when that changes.
func (l *Link) currentFaults() (Faults, <-chan struct{}) {
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
		l.running.Go(func() { l.serve(near) })
	}
}

// pass serves one connection. While the way up is cut the far side is not dialled:
// to whoever opened it the connection looks half-open.
func (l *Link) serve(near net.Conn) {
	abort := func() {
		if t, ok := near.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = near.Close()
	}
	for began := time.Now(); ; {
		f, changed := l.currentFaults()
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
			abort()
			return
		}
	}
	l.mu.Lock()
	target, refuse := l.target, l.faults.Reset || l.closed || len(l.conns) >= maxConnections
	l.mu.Unlock()
	if refuse || target == "" {
		abort()
		return
	}
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		abort()
		return
	}
	p := &linkConn{near: near, far: far, done: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.close()
		return
	}
	l.conns[p] = struct{}{}
	l.opened++
	seed := l.random.Uint64()
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forward(p, near, far, true, rand.New(rand.NewPCG(seed, 1))) })
	both.Go(func() { l.forward(p, far, near, false, rand.New(rand.NewPCG(seed, 2))) })
	both.Wait()
	p.close()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// chunk is bytes under way; without bytes it is the end of them.
type chunk struct {
	data []byte
	due  time.Time
}

// pump carries one way of a connection.
func (l *Link) forward(p *linkConn, from, to net.Conn, up bool, random *rand.Rand) {
	queue := make(chan chunk, maxQueuedChunks)
	l.running.Go(func() {
		defer close(queue)
		lastDue := time.Time{}
		for {
			b := make([]byte, maxChunkBytes)
			n, err := from.Read(b)
			f, _ := l.currentFaults()
			due := time.Now().Add(f.Delay)
			if f.Jitter > 0 {
				due = due.Add(time.Duration(random.Int64N(int64(f.Jitter))))
			}
			if due.Before(lastDue) { // order is kept
				due = lastDue
			}
			lastDue = due
			if n > 0 {
				select {
				case queue <- chunk{b[:n], due}:
				case <-p.done:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) && !p.hidesFailure(l, from) {
					p.reset() // a reset travels as one
				}
				select {
				case queue <- chunk{due: due}:
				case <-p.done:
				}
				return
			}
		}
	})
	passed := 0
	for c := range queue {
		if !l.sleepUntil(p, c.due) || !l.admit(p, up, &passed, &c) {
			p.close()
			return
		}
		if c.data == nil {
			if t, ok := to.(*net.TCPConn); ok && t.CloseWrite() == nil {
				return
			}
			p.close()
			return
		}
		if _, err := to.Write(c.data); err != nil && !p.hidesFailure(l, to) {
			p.close()
			return
		}
	}
}

// silent reports whether a failure on one side is not to be told to the other.
func (p *linkConn) hidesFailure(l *Link, side net.Conn) bool {
	f, _ := l.currentFaults()
	return f.HalfOpen && side == p.far
}

// wait waits until due, or the connection's end.
func (l *Link) sleepUntil(p *linkConn, due time.Time) bool {
	if d := time.Until(due); d > 0 {
		select {
		case <-time.After(d):
		case <-p.done:
			return false
		}
	}
	return true
}

// open waits until a chunk may pass, and cuts it where the bytes end. It reports
// whether the connection goes on.
func (l *Link) admit(p *linkConn, up bool, passed *int, c *chunk) bool {
	for {
		f, changed := l.currentFaults()
		blocked := f.HalfOpen || up && f.CutUp || !up && f.CutDown
		if !blocked && f.StopAfter > 0 {
			if allowed := f.StopAfter - *passed; allowed <= 0 {
				blocked = true
			} else if len(c.data) > allowed {
				c.data = c.data[:allowed] // the rest is lost: nothing passes here any more
			}
		}
		if !blocked {
			*passed += len(c.data)
			if f.BytesPerSecond > 0 && len(c.data) > 0 {
				return l.sleepUntil(p, time.Now().Add(time.Duration(float64(len(c.data))/float64(f.BytesPerSecond)*float64(time.Second))))
			}
			return true
		}
		select {
		case <-changed:
			if f.StopAfter > 0 || f.HalfOpen { // what stopped in the middle can't go on
				return false
			}
		case <-p.done:
			return false
		}
	}
}
