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

// MaxOpenRequests is the maximum number of open (unanswered) requests on a connection.
const MaxOpenRequests = 32

// ErrConnectionClosed is returned if the connection was closed or the context ended before the answer arrived.
// The node may have read the request.
var ErrConnectionClosed = errors.New("connection closed before the answer")

// Request is a request as a dispatcher sends it.
type Request struct {
	Txn, Class, Tenant      string
	Timeout                 time.Duration // time that the dispatcher waits for the answer
	WorkHintMs              float64       // estimated work in milliseconds
	Retry                   bool          // whether this is a further try
	IdempotencyKey, ItemKey string        // ItemKey is the key of the item that the request is about; "" = none
	Body                    []byte
}

// Answer is a node's answer.
type Answer struct {
	Status       string        // ACK = served, NAK = refused, anything else = failed
	RetryAfter   time.Duration // of a refusal; 0 = none
	StopRetrying bool          // whether the dispatcher must try no further node
	LoadFeedback float64       // the node's published load feedback; NaN = none
	Body         []byte
}

// Client is one connection of a dispatcher to a node. Its methods are safe for concurrent use.
type Client struct {
	dispatcher int // number of the dispatcher
	conn       net.Conn
	openSlots  chan struct{} // holds one element for each open request
	readDone   chan struct{} // closed when read returns

	mu         sync.Mutex
	lastTag    int                    // tag of the last request
	pending    map[string]chan Answer // receives the answer, by tag
	cancelled  map[string]bool        // by tag; each of these requests may still get one answer
	duplicates int                    // answers to requests that had been answered
	closing    bool                   // no new requests may be sent
}

// Dial connects dispatcher number n to a node. It fails after a second.
func Dial(addr string, n int) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{
		dispatcher: n, conn: conn, openSlots: make(chan struct{}, MaxOpenRequests), readDone: make(chan struct{}),
		pending: map[string]chan Answer{}, cancelled: map[string]bool{},
	}
	go c.read()
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Usable reports whether new requests may be sent: the node has neither closed the connection nor announced
// that it will.
func (c *Client) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}

// AvailableRequests returns how many more requests may be open now.
func (c *Client) AvailableRequests() int { return MaxOpenRequests - len(c.openSlots) }

// DuplicateAnswers returns how many answers came for requests that had been answered.
func (c *Client) DuplicateAnswers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duplicates
}

// Call sends a request and waits for its answer. The error is ErrConnectionClosed if the node may have read
// the request; any other error means that it was not sent.
func (c *Client) Call(q Request) (Answer, error) { return c.Do(context.Background(), q) }

// Do is like Call with a context. If ctx ends after the request was sent, Do cancels the request at the node and
// returns ErrConnectionClosed; if it ends before, Do returns the error of ctx.
func (c *Client) Do(ctx context.Context, q Request) (Answer, error) {
	select {
	case c.openSlots <- struct{}{}:
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
	defer func() { <-c.openSlots }()
	got := make(chan Answer, 1)
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return Answer{}, net.ErrClosed
	}
	c.lastTag++
	tag := strconv.Itoa(c.lastTag)
	c.pending[tag] = got
	fields := fmt.Sprintf("txn=%s,door=%d,lb=%d,team=%s,limit=%d,cpu=%.2f,ram=10,standing=0.5",
		q.Txn, time.Now().UnixMilli(), c.dispatcher, q.Tenant, q.Timeout.Milliseconds(), q.WorkHintMs)
	if q.Retry {
		fields += ",second=1"
	}
	if q.IdempotencyKey != "" {
		fields += ",unique=" + q.IdempotencyKey
	}
	if q.ItemKey != "" {
		fields += ",item=" + q.ItemKey
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
	case <-c.readDone:
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

// write writes a whole message before the deadline of ctx and closes the connection if that fails. The lock
// must be held.
func (c *Client) write(ctx context.Context, b []byte) error {
	end, _ := ctx.Deadline() // the zero time means no deadline
	_ = c.conn.SetWriteDeadline(end)
	_, err := c.conn.Write(b)
	if err != nil {
		c.closing = true
		_ = c.conn.Close()
	}
	return err
}

// cancel notifies the node that the caller of a request is gone.
func (c *Client) cancel(tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[tag] == nil || c.closing {
		return
	}
	delete(c.pending, tag)
	if len(c.cancelled) > 4096 { // bounds the map: old tags are no longer answered
		clear(c.cancelled)
	}
	c.cancelled[tag] = true
	b := redcon.AppendArray(nil, 2)
	ctx, end := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer end()
	_ = c.write(ctx, redcon.AppendBulkString(redcon.AppendBulkString(b, "RPC.CANCEL"), tag))
}

// Probe makes one health check on a new connection and reports whether the node answered that it is healthy
// (GREEN). An error means that no valid answer came within the timeout.
func Probe(addr string, timeout time.Duration) (healthy bool, err error) {
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

// read receives the answers until the connection ends.
func (c *Client) read() {
	defer close(c.readDone)
	defer c.conn.Close()
	rd := bufio.NewReader(c.conn)
	for {
		parts, err := readArray(rd)
		if err != nil {
			c.mu.Lock()
			c.closing = true
			c.mu.Unlock()
			return
		}
		if len(parts) < 2 {
			continue
		}
		tag := string(parts[0])
		c.mu.Lock()
		if tag == "0" { // the node announces that it will close the connection
			c.closing = true
		}
		got := c.pending[tag]
		delete(c.pending, tag)
		if got == nil && tag != "0" && !c.cancelled[tag] {
			c.duplicates++
		}
		delete(c.cancelled, tag)
		c.mu.Unlock()
		if got == nil {
			continue
		}
		a := Answer{Status: string(parts[1]), LoadFeedback: math.NaN()}
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

// readArray reads an array of bulk strings of at most 16 parts of at most 1 MiB.
func readArray(rd *bufio.Reader) ([][]byte, error) {
	n, err := readHeader(rd, '*')
	if err != nil || n > 16 {
		return nil, errors.Join(err, errors.New("no valid answer"))
	}
	parts := make([][]byte, n)
	for i := range parts {
		size, err := readHeader(rd, '$')
		if err != nil || size > 1<<20 {
			return nil, errors.Join(err, errors.New("no valid answer"))
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(rd, b); err != nil {
			return nil, err
		}
		parts[i] = b[:size]
	}
	return parts, nil
}

// readHeader reads the header line of an array or a bulk string and returns its length.
func readHeader(rd *bufio.Reader, kind byte) (int, error) {
	line, err := rd.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("unexpected header %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
