// This file owns the stand-in for a dispatcher's connection. It must never send
// what the protocol does not have.

package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// MostOpen is how many requests may be open on one connection.
const MaxOpenRequests = 32

// ErrGone says that the connection ended before the answer.
var ErrConnectionClosed = errors.New("the connection ended")

// Request is a call as a dispatcher sends it.
type Request struct {
	Txn, Class, Tenant string
	Limit              time.Duration // how long it waits
	HintMs             float64
	Retry              bool
	Unique, Item       string
	Body               []byte
}

// Answer is a node's answer.
type Answer struct {
	Word         string // ACK served, NAK refused, else failed
	RetryAfter   time.Duration
	StopRetrying bool
	LoadFeedback float64 // the free value, NaN = none was told
	Body         []byte
}

// Client is one dispatcher's connection; its methods may be called by any goroutine.
type Client struct {
	number int
	conn   net.Conn
	slots  chan struct{}
	ended  chan struct{}

	mu         sync.Mutex
	tag        int
	open       map[string]chan Answer
	cancelled  map[string]bool // cancelled; one answer to each does no harm
	duplicates int             // answers to what was answered before
	closed     bool            // by the node: nothing new may be sent
}

// Dial connects dispatcher number n to a node.
func Dial(addr string, n int) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{number: n, conn: conn, slots: make(chan struct{}, MaxOpenRequests), ended: make(chan struct{}), open: map[string]chan Answer{}, cancelled: map[string]bool{}}
	go c.read()
	return c, nil
}

// Close ends the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Usable reports whether new requests may be sent.
func (c *Client) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// Room is how many more requests may be open now.
func (c *Client) AvailableRequests() int { return MaxOpenRequests - len(c.slots) }

// Twice is how many answers came to requests that had theirs.
func (c *Client) DuplicateAnswers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duplicates
}

// Call sends a request and waits for its answer. The error is ErrGone once the
// request may have been read; any other proves that it was not sent.
func (c *Client) Call(q Request) (Answer, error) { return c.Do(context.Background(), q) }

// Do is Call for as long as ctx lasts. Then it sends a cancel and returns
// ErrGone: the request may have been read.
func (c *Client) Do(ctx context.Context, q Request) (Answer, error) {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
	defer func() { <-c.slots }()
	got := make(chan Answer, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return Answer{}, net.ErrClosed
	}
	c.tag++
	tag := strconv.Itoa(c.tag)
	c.open[tag] = got
	fields := fmt.Sprintf("txn=%s,door=%d,lb=%d,team=%s,limit=%d,cpu=%.2f,ram=10,standing=0.5",
		q.Txn, time.Now().UnixMilli(), c.number, q.Tenant, q.Limit.Milliseconds(), q.HintMs)
	if q.Retry {
		fields += ",second=1"
	}
	if q.Unique != "" {
		fields += ",unique=" + q.Unique
	}
	if q.Item != "" {
		fields += ",item=" + q.Item
	}
	b := redcon.AppendArray(nil, 5)
	for _, part := range [][]byte{[]byte("RPC.CALL"), []byte(tag), []byte(q.Class), []byte(fields), q.Body} {
		b = redcon.AppendBulk(b, part)
	}
	err := c.write(ctx, b)
	c.mu.Unlock()
	if err != nil {
		return Answer{}, ErrConnectionClosed
	}
	select {
	case a := <-got:
		return a, nil
	case <-c.ended:
		select {
		case a := <-got:
			return a, nil
		default:
			return Answer{}, ErrConnectionClosed
		}
	case <-ctx.Done():
		c.cancel(tag)
		return Answer{}, ErrConnectionClosed
	}
}

// write sends whole messages; one that can't be sent whole in time ends the
// connection. The lock must be held.
func (c *Client) write(ctx context.Context, b []byte) error {
	end, _ := ctx.Deadline() // the zero time is none
	_ = c.conn.SetWriteDeadline(end)
	_, err := c.conn.Write(b)
	if err != nil {
		c.closed = true
		_ = c.conn.Close()
	}
	return err
}

// cancel tells the node that nobody waits for a request.
func (c *Client) cancel(tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[tag] == nil || c.closed {
		return
	}
	delete(c.open, tag)
	if len(c.cancelled) > 4096 { // tags grow: the oldest are of no interest any more
		clear(c.cancelled)
	}
	c.cancelled[tag] = true
	b := redcon.AppendArray(nil, 2)
	ctx, end := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer end()
	_ = c.write(ctx, redcon.AppendBulkString(redcon.AppendBulkString(b, "RPC.CANCEL"), tag))
}

// Probe makes one health check on a connection of its own.
func Probe(addr string, timeout time.Duration) (green bool, err error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	b := redcon.AppendArray(nil, 3)
	for _, word := range []string{"RPC.HEALTH", "1", ""} {
		b = redcon.AppendBulkString(b, word)
	}
	if _, err := conn.Write(b); err != nil {
		return false, err
	}
	parts, err := readArray(bufio.NewReader(conn))
	return err == nil && len(parts) > 1 && string(parts[1]) == "GREEN", err
}

func (c *Client) read() {
	defer close(c.ended)
	defer c.conn.Close()
	rd := bufio.NewReader(c.conn)
	for {
		parts, err := readArray(rd)
		if err != nil {
			c.mu.Lock()
			c.closed = true
			c.mu.Unlock()
			return
		}
		if len(parts) < 2 {
			continue
		}
		tag := string(parts[0])
		c.mu.Lock()
		if tag == "0" {
			c.closed = true
		}
		got := c.open[tag]
		delete(c.open, tag)
		if got == nil && tag != "0" && !c.cancelled[tag] {
			c.duplicates++
		}
		delete(c.cancelled, tag)
		c.mu.Unlock()
		if got == nil {
			continue
		}
		a := Answer{Word: string(parts[1]), LoadFeedback: math.NaN()}
		if len(parts) > 2 {
			for _, f := range strings.Split(string(parts[2]), ",") {
				name, value, _ := strings.Cut(f, "=")
				switch name {
				case "later":
					ms, _ := strconv.ParseFloat(value, 64)
					a.RetryAfter = time.Duration(ms * float64(time.Millisecond))
				case "feedback":
					if v, err := strconv.ParseFloat(value, 64); err == nil {
						a.LoadFeedback = v
					}
				case "giveup":
					a.StopRetrying = value == "1"
				}
			}
		}
		if len(parts) > 3 {
			a.Body = parts[3]
		}
		got <- a
	}
}

func readArray(rd *bufio.Reader) ([][]byte, error) {
	n, err := readHeader(rd, '*')
	if err != nil || n > 16 {
		return nil, errors.Join(err, errors.New("no answer"))
	}
	parts := make([][]byte, n)
	for i := range parts {
		size, err := readHeader(rd, '$')
		if err != nil || size > 1<<20 {
			return nil, errors.Join(err, errors.New("no answer"))
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(rd, b); err != nil {
			return nil, err
		}
		parts[i] = b[:size]
	}
	return parts, nil
}

func readHeader(rd *bufio.Reader, kind byte) (int, error) {
	line, err := rd.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("header %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
