package harness

import (
	"io"
	"net"
	"sync"
)

// Proxy is a TCP proxy on loopback that can be cut: then open connections are closed and new ones are closed at once.
type Proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

// StartProxy starts a proxy to target.
func (c *Case) StartProxy(target string) *Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	p := &Proxy{ln: ln, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetCut cuts or restores the link.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// add registers a connection, and reports whether the link is not cut.
func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// remove closes a connection.
func (p *Proxy) remove(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

// serve copies bytes in both directions.
func (p *Proxy) serve(front net.Conn) {
	defer p.remove(front)
	if !p.add(front) {
		return
	}
	back, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.remove(back)
	if !p.add(back) {
		return
	}
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(back, front) // ends with either connection
		p.remove(back)
		p.remove(front)
		close(done)
	}()
	_, _ = io.Copy(front, back)
	p.remove(front)
	p.remove(back)
	<-done
}
