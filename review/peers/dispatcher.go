package peers

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is one try of a request, and what became of it.
type Request struct {
	Txn, Class, Tenant string
	Unique             string
	Body               string
	Limit              time.Duration // how long the dispatcher waits, from Door
	CPUMs              float64
	Conn               *Conn
	Tag                string

	Door     time.Time // when it came to the machine
	Written  time.Time // when its last byte was written, zero = it was not
	Answered time.Time // when its answer was read, zero = it was not
	Word     string    // of the answer
	Result   string
}

// NewTxn returns an id for a try.
func NewTxn() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Conn is one connection of a dispatcher to a node.
type Conn struct {
	net.Conn
	Dispatcher int
	registry   *Registry
	record     *Record

	mu      sync.Mutex
	tag     int
	open    map[string]*Request
	Fin     time.Time // when `0 FIN` was read
	Ended   time.Time // when the end of the connection was read
	EndedBy error
}

// Dial connects a dispatcher to a node.
func Dial(addr string, dispatcher int, g *Registry, rec *Record) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, Dispatcher: dispatcher, registry: g, record: rec, open: map[string]*Request{}}
	go c.read()
	return c, nil
}

// Usable reports whether new requests may be sent.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Fin.IsZero() && c.Ended.IsZero()
}

// Open returns how many requests are open.
func (c *Conn) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

func bulk(b []byte, s string) []byte {
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(len(s)), 10)
	b = append(b, "\r\n"...)
	b = append(b, s...)
	return append(b, "\r\n"...)
}

// Array encodes a message.
func Array(parts ...string) []byte {
	b := []byte("*" + strconv.Itoa(len(parts)) + "\r\n")
	for _, p := range parts {
		b = bulk(b, p)
	}
	return b
}

// Encode registers a request as open on the connection and returns its message. Its door is now.
func (c *Conn) Encode(q *Request) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag++
	q.Tag, q.Conn, q.Door = strconv.Itoa(c.tag), c, time.Now()
	c.open[q.Tag] = q
	c.registry.Sent(q.Txn, q.Class, q.Body)
	fields := fmt.Sprintf("txn=%s,door=%d,lb=%d,ram=24.5,standing=0.6250", q.Txn, q.Door.UnixMilli(), c.Dispatcher)
	if q.Tenant != "" {
		fields += ",team=" + q.Tenant
	}
	if q.Limit > 0 {
		fields += fmt.Sprintf(",limit=%d", q.Limit.Milliseconds())
	}
	if q.CPUMs > 0 {
		fields += fmt.Sprintf(",cpu=%.2f", q.CPUMs)
	}
	if q.Unique != "" {
		fields += ",unique=" + q.Unique
	}
	return Array("RPC.CALL", q.Tag, q.Class, fields, q.Body)
}

// MarkWritten notes that the last byte of a request was written.
func (c *Conn) MarkWritten(q *Request) {
	c.mu.Lock()
	q.Written = time.Now()
	c.mu.Unlock()
	c.record.Add("dispatcher %d: wrote %s tag %s class %s unique %q", c.Dispatcher, q.Txn, q.Tag, q.Class, q.Unique)
}

// Send writes a request whole.
func (c *Conn) Send(q *Request) error {
	if _, err := c.Write(c.Encode(q)); err != nil {
		return err
	}
	c.MarkWritten(q)
	return nil
}

// Get returns a copy of a request's state.
func (c *Conn) Get(q *Request) Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *q
}

func (c *Conn) read() {
	rd := bufio.NewReader(c.Conn)
	for {
		parts, err := readArray(rd)
		now := time.Now()
		c.mu.Lock()
		if err != nil {
			c.Ended, c.EndedBy = now, err
			open := len(c.open)
			c.mu.Unlock()
			c.record.Add("dispatcher %d: connection ended (%v) with %d requests open", c.Dispatcher, err, open)
			_ = c.Conn.Close()
			return
		}
		if len(parts) >= 2 && parts[0] == "0" && parts[1] == "FIN" {
			c.Fin = now
			c.mu.Unlock()
			c.record.Add("dispatcher %d: read 0 FIN", c.Dispatcher)
			continue
		}
		q := c.open[parts[0]]
		if q == nil || len(parts) < 2 {
			c.mu.Unlock()
			c.record.Add("dispatcher %d: read %q, of no open request", c.Dispatcher, parts)
			continue
		}
		delete(c.open, parts[0])
		q.Answered, q.Word = now, parts[1]
		if len(parts) > 3 {
			q.Result = parts[3]
		}
		c.mu.Unlock()
		c.registry.Over(q.Txn)
		c.record.Add("dispatcher %d: answer %s %s after %.0f ms, %.60q", c.Dispatcher, q.Txn, q.Word,
			float64(now.Sub(q.Door).Microseconds())/1000, q.Result)
	}
}

// Health makes a health check on a connection of its own.
func Health(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write(Array("RPC.HEALTH", "1", "")); err != nil {
		return false
	}
	parts, err := readArray(bufio.NewReader(c))
	return err == nil && len(parts) > 1 && parts[1] == "GREEN"
}

// WaitHealthy waits until a health check is answered as good.
func WaitHealthy(addr string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if Health(addr) {
			return true
		}
	}
	return false
}

func readArray(rd *bufio.Reader) ([]string, error) {
	n, err := header(rd, '*')
	if err != nil {
		return nil, err
	}
	parts := make([]string, n)
	for i := range parts {
		size, err := header(rd, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(rd, b); err != nil {
			return nil, err
		}
		if !bytes.HasSuffix(b, []byte("\r\n")) {
			return nil, fmt.Errorf("malformed answer")
		}
		parts[i] = string(b[:size])
	}
	return parts, nil
}

func header(rd *bufio.Reader, kind byte) (int, error) {
	line, err := rd.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("malformed answer %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
