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

// Faults are the faults of a link. The zero value forwards all bytes at once.
type Faults struct {
	CutUp, CutDown bool          // no bytes pass to the target, or back; connections stay open
	Delay, Jitter  time.Duration // each way; jitter is a uniformly random addition, 0 up to Jitter
	BytesPerSecond int           // each way and connection, 0 = unlimited
	StopAfter      int           // bytes each way and connection after which no more pass, 0 = unlimited
	Reset          bool          // open and new connections are reset
	HalfOpen       bool          // the target's side is closed, the client's side is not notified
}

// Limits of a link.
const (
	maxChunkBytes   = 16 << 10 // read at once
	maxQueuedChunks = 64       // chunks in transit, each way and connection
	maxConnections  = 512      // open connections; further ones are reset
)

// Link is a TCP proxy to a target that can inject faults. It never changes bytes or their order. Its
// methods may be called by any goroutine.
type Link struct {
	ln net.Listener

	mu                sync.Mutex
	target            string
	faults            Faults
	changed           chan struct{} // closed at the next change of faults
	conns             map[*connPair]struct{}
	connectionsOpened int
	closed            bool
	random            *rand.Rand
	goroutines        sync.WaitGroup
}

// connPair holds the two sides of a connection through a link. Its methods may be called by any goroutine.
type connPair struct {
	clientConn, targetConn net.Conn
	done                   chan struct{} // closed when no more bytes pass
	once                   sync.Once
}

// NewLink listens on a free loopback port and forwards to target. While target is "", connections are
// reset. The seed determines the jitter.
func NewLink(target string, seed uint64) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	l := &Link{
		ln: ln, target: target, changed: make(chan struct{}), conns: map[*connPair]struct{}{},
		random: rand.New(rand.NewPCG(seed, 3)),
	}
	l.goroutines.Go(l.accept)
	return l, nil
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// ConnectionsOpened returns how many connections were opened through the link.
func (l *Link) ConnectionsOpened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connectionsOpened
}

// SetTarget sets the target of new connections.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	l.target = target
	l.mu.Unlock()
}

// SetFaults replaces the faults; Faults{} ends them.
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
			_ = p.targetConn.Close() // forward hides this from the client until the fault ends
		}
	}
	l.mu.Unlock()
}

// CloseConnections closes all connections normally, as a restart of the target does.
func (l *Link) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.close()
	}
}

// Close closes the link and waits for its goroutines.
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
	l.goroutines.Wait()
}

// close closes both sides; further calls do nothing.
func (p *connPair) close() {
	p.once.Do(func() {
		close(p.done)
		_ = p.clientConn.Close()
		_ = p.targetConn.Close()
	})
}

// reset closes both sides with a TCP reset.
func (p *connPair) reset() {
	for _, c := range []net.Conn{p.clientConn, p.targetConn} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	p.close()
}

// currentFaults returns the faults, and a channel that is closed when they change.
func (l *Link) currentFaults() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.changed
}

// accept serves connections until the listener is closed.
func (l *Link) accept() {
	for {
		clientConn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		l.goroutines.Go(func() { l.serve(clientConn) })
	}
}

// serve forwards one connection. While the link is cut in either direction the target is not dialled, so
// the connection looks half-open to the client; after about 10 s it is reset.
func (l *Link) serve(clientConn net.Conn) {
	abort := func() {
		if t, ok := clientConn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = clientConn.Close()
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
	targetConn, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		abort()
		return
	}
	p := &connPair{clientConn: clientConn, targetConn: targetConn, done: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.close()
		return
	}
	l.conns[p] = struct{}{}
	l.connectionsOpened++
	seed := l.random.Uint64()
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(p, clientConn, targetConn, true, rand.New(rand.NewPCG(seed, 1))) })
	directions.Go(func() { l.forward(p, targetConn, clientConn, false, rand.New(rand.NewPCG(seed, 2))) })
	directions.Wait()
	p.close()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// chunk is data in transit, and when to deliver it. Without data it is the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// forward forwards one direction of a connection until its end; up means that to is the target.
func (l *Link) forward(p *connPair, from, to net.Conn, up bool, random *rand.Rand) {
	queue := make(chan chunk, maxQueuedChunks)
	l.goroutines.Go(func() {
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
			if due.Before(lastDue) { // jitter must not reorder bytes
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
					p.reset() // a reset on one side becomes a reset on the other
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

// hidesFailure reports whether a failure on one side must not reach the other side.
func (p *connPair) hidesFailure(l *Link, side net.Conn) bool {
	f, _ := l.currentFaults()
	return f.HalfOpen && side == p.targetConn
}

// sleepUntil waits until due. It returns false if the connection closes before.
func (l *Link) sleepUntil(p *connPair, due time.Time) bool {
	if d := time.Until(due); d > 0 {
		select {
		case <-time.After(d):
		case <-p.done:
			return false
		}
	}
	return true
}

// admit waits until the faults let a chunk pass, and shortens it to what StopAfter allows; passed counts the
// bytes that have passed in this direction. It returns false if the connection must be closed.
func (l *Link) admit(p *connPair, up bool, passed *int, c *chunk) bool {
	for {
		f, changed := l.currentFaults()
		blocked := f.HalfOpen || up && f.CutUp || !up && f.CutDown
		if !blocked && f.StopAfter > 0 {
			if allowed := f.StopAfter - *passed; allowed <= 0 {
				blocked = true
			} else if len(c.data) > allowed {
				c.data = c.data[:allowed] // the rest is discarded, since no more bytes will pass
			}
		}
		if !blocked {
			*passed += len(c.data)
			if f.BytesPerSecond > 0 && len(c.data) > 0 {
				transfer := time.Duration(float64(len(c.data)) / float64(f.BytesPerSecond) * float64(time.Second))
				return l.sleepUntil(p, time.Now().Add(transfer))
			}
			return true
		}
		select {
		case <-changed:
			if f.StopAfter > 0 || f.HalfOpen { // part of the stream is lost, so the connection cannot continue
				return false
			}
		case <-p.done:
			return false
		}
	}
}
