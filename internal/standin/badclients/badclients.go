// Package badclients has clients that treat a node badly, each on a connection of its own and at full speed: they
// write slowly, stop half way through a request, send malformed or useless messages, withdraw what they sent, do not
// read, or leave. They are written from the published protocol and connect to loopback only.
package badclients

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

// Kind is what a client does.
type Kind string

// The kinds of bad clients.
const (
	SlowWriter   Kind = "slow-writer"   // writes a large request byte by byte, 20 ms apart
	HalfRequest  Kind = "half-request"  // stops half way through a large request
	ShortFields  Kind = "short-fields"  // requests with very many short fields
	Malformed    Kind = "malformed"     // small requests without fields
	Unknown      Kind = "unknown"       // messages with ever new commands
	Cancels      Kind = "cancels"       // cancels of requests that do not exist
	Health       Kind = "health"        // health checks
	NewKeys      Kind = "new-keys"      // keyed requests with ever new keys, up to 32 open
	NewItems     Kind = "new-items"     // reads of ever new items by ever new dispatchers, up to 32 open
	Withdrawn    Kind = "withdrawn"     // requests that are cancelled at once
	Connects     Kind = "connects"      // connections that are closed at once
	Silent       Kind = "silent"        // connections without a message
	NoReader     Kind = "no-reader"     // malformed requests whose answers are never read
	LeavesUnread Kind = "leaves-unread" // requests, then a reset with much unread; then the same requests again
	LeavesClosed Kind = "leaves-closed" // requests, then an orderly close; then the same requests again
)

// Kinds lists all kinds.
var Kinds = []Kind{SlowWriter, HalfRequest, ShortFields, Malformed, Unknown, Cancels, Health, NewKeys, NewItems, Withdrawn,
	Connects, Silent, NoReader, LeavesUnread, LeavesClosed}

const (
	maxOpen       = 32                    // requests that the protocol allows to be open on a connection
	reconnectWait = 20 * time.Millisecond // after a connection that was refused or ended at once
	slowByteWait  = 20 * time.Millisecond // between two bytes of a slow writer
	requestWork   = 1                     // milliseconds of work of each valid request, as its hint says
)

// Config configures a group of bad clients.
type Config struct {
	Address string // of the node
	Kind    Kind
	Count   int    // clients, each with one connection at a time
	Read    string // name of a class whose requests may run any number of times
	Keyed   string // name of a keyed class
	Unsafe  string // name of a class whose requests run at most once, "" = none
	Tenant  string
}

// Group is a group of bad clients.
type Group struct {
	Connected atomic.Int64 // connections opened
	Messages  atomic.Int64 // whole messages written

	cfg    Config
	cancel context.CancelFunc
	all    sync.WaitGroup
}

// Start starts a group of clients, which act until Stop.
func Start(cfg Config) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{cfg: cfg, cancel: cancel}
	for i := range cfg.Count {
		g.all.Go(func() {
			c := &client{group: g, number: i}
			for ctx.Err() == nil {
				if err := c.connectOnce(ctx); err != nil {
					wait(ctx, reconnectWait)
				}
			}
		})
	}
	return g
}

// Stop ends all clients and waits for them.
func (g *Group) Stop() {
	g.cancel()
	g.all.Wait()
}

// wait waits for d, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// client is one bad client.
type client struct {
	group  *Group
	number int
	sent   int // messages, counted over all its connections
	tag    int // last tag of the present connection
	conn   *net.TCPConn
}

// connectOnce acts on one connection until the connection or ctx ends.
func (c *client) connectOnce(ctx context.Context) error {
	conn, err := net.DialTimeout("tcp", c.group.cfg.Address, time.Second)
	if err != nil {
		return err
	}
	c.group.Connected.Add(1)
	c.conn, c.tag = conn.(*net.TCPConn), 0
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	return c.act(ctx)
}

// act does what the kind of the client says, on its connection.
func (c *client) act(ctx context.Context) error {
	switch c.group.cfg.Kind {
	case SlowWriter:
		return c.writeSlowly(ctx)
	case HalfRequest:
		m := c.largeRequest()
		if _, err := c.conn.Write(m[:len(m)/2]); err != nil {
			return err
		}
		return discardAnswers(c.conn)
	case Connects:
		return nil
	case Silent:
		return discardAnswers(c.conn)
	case NewKeys, NewItems:
		return c.sendInWindow()
	case NoReader:
		return c.flood(c.message)
	case LeavesUnread, LeavesClosed:
		return c.leave(ctx)
	default:
		go discardInBackground(c.conn)
		return c.flood(c.message)
	}
}

// discardAnswers reads until a connection ends.
func discardAnswers(conn net.Conn) error {
	_, err := io.Copy(io.Discard, conn)
	return err
}

// discardInBackground reads until a connection ends, for a client that only writes.
func discardInBackground(conn net.Conn) { _ = discardAnswers(conn) }

// writeSlowly writes large requests byte by byte.
func (c *client) writeSlowly(ctx context.Context) error {
	go discardInBackground(c.conn)
	for {
		m := c.largeRequest()
		for i := range m {
			if _, err := c.conn.Write(m[i : i+1]); err != nil {
				return err
			}
			wait(ctx, slowByteWait)
		}
		c.group.Messages.Add(1)
	}
}

// flood writes messages without pause.
func (c *client) flood(next func() []byte) error {
	const batch = 16
	for {
		var b []byte
		for range batch {
			b = append(b, next()...)
		}
		if _, err := c.conn.Write(b); err != nil {
			return err
		}
		c.group.Messages.Add(batch)
	}
}

// sendInWindow writes valid requests without pause, up to maxOpen unanswered ones at a time.
func (c *client) sendInWindow() error {
	conn, window, ended := c.conn, make(chan struct{}, maxOpen), make(chan struct{})
	go func() {
		defer close(ended)
		p, partial := make([]byte, 16<<10), 0
		for {
			n, err := conn.Read(p)
			if err != nil {
				return
			}
			for _, b := range p[:n] { // every answer begins with "*4" and no other part has a '*'
				if b == '*' {
					partial++
				}
			}
			for ; partial > 0; partial-- {
				select {
				case <-window:
				default:
				}
			}
		}
	}()
	for {
		select {
		case window <- struct{}{}:
		case <-ended:
			return io.EOF
		}
		if _, err := c.conn.Write(c.message()); err != nil {
			return err
		}
		c.group.Messages.Add(1)
	}
}

// leave writes requests without reading an answer, leaves, and does the same again with the same requests.
func (c *client) leave(ctx context.Context) error {
	const count = 200
	cfg := c.group.cfg
	var b []byte
	for i := range count {
		c.tag++
		txn := fmt.Sprintf("%08x%08x", 0xbad00000+c.number, i)
		class, extra := cfg.Keyed, ",unique="+txn
		if cfg.Unsafe != "" && i%2 == 1 {
			class, extra = cfg.Unsafe, ""
		}
		b = append(b, c.request(txn, class, extra, []byte("bad "+txn))...)
	}
	if _, err := c.conn.Write(b); err != nil {
		return err
	}
	c.group.Messages.Add(count)
	if cfg.Kind == LeavesUnread {
		_ = c.conn.SetLinger(0)
	}
	_ = c.conn.Close()
	wait(ctx, reconnectWait)
	return nil
}

// message returns the next message of a client that sends whole messages.
func (c *client) message() []byte {
	c.sent++
	c.tag++
	tag := fmt.Sprint(c.tag)
	cfg := &c.group.cfg
	txn := fmt.Sprintf("%08x%08x", 0xbad00000+c.number, c.sent)
	switch cfg.Kind {
	case ShortFields:
		return encode("RPC.CALL", tag, cfg.Read, shortFields, "")
	case Unknown:
		return encode(fmt.Sprintf("RPC.X%d", c.sent), tag)
	case Cancels:
		return encode("RPC.CANCEL", tag)
	case Health:
		return encode("RPC.HEALTH", tag, "")
	case NewKeys:
		return c.request(txn, cfg.Keyed, ",unique="+txn, []byte("bad "+txn))
	case NewItems:
		return c.request(txn, cfg.Read, ",item="+txn, []byte("bad "+txn))
	case Withdrawn:
		return append(c.request(txn, cfg.Read, "", make([]byte, 2000)), encode("RPC.CANCEL", tag)...)
	default:
		return encode("RPC.CALL", tag, cfg.Read, "", "")
	}
}

// shortFields are as many different short fields as fit into an element of a message.
var shortFields = func() string {
	const maxElementBytes = 8 << 10
	var b strings.Builder
	for i := range 1 << 12 {
		field := strconv.FormatInt(int64(i), 36) + "=,"
		if b.Len()+len(field) > maxElementBytes {
			break
		}
		b.WriteString(field)
	}
	return strings.TrimSuffix(b.String(), ",")
}()

// largeRequest returns a valid request with the largest body.
func (c *client) largeRequest() []byte {
	c.sent++
	c.tag++
	return c.request(fmt.Sprintf("%08x%08x", 0xbad00000+c.number, c.sent), c.group.cfg.Read, "", make([]byte, 2048))
}

// request encodes a request with the present tag.
func (c *client) request(txn, class, extraFields string, body []byte) []byte {
	dispatcher := c.number
	if c.group.cfg.Kind == NewItems {
		dispatcher = c.sent
	}
	fields := fmt.Sprintf("txn=%s,door=%d,lb=%d,team=%s,limit=2000,cpu=%d,ram=1,standing=0.1%s",
		txn, time.Now().UnixMilli(), 1000+dispatcher, c.group.cfg.Tenant, requestWork, extraFields)
	return encode("RPC.CALL", fmt.Sprint(c.tag), class, fields, string(body))
}

// encode encodes a message as an array of bulk strings.
func encode(parts ...string) []byte {
	b := redcon.AppendArray(nil, len(parts))
	for _, p := range parts {
		b = redcon.AppendBulkString(b, p)
	}
	return b
}
