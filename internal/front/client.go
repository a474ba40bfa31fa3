// This file owns one dispatcher's connection: its messages, the requests open on
// it under their tags, and its answers. It must never wait, neither for the loop
// nor for the network.

package front

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"robinmast/decide/connlimit"
	"robinmast/internal/exchange"
	"robinmast/internal/stream"
)

// client is one dispatcher's connection.
type client struct {
	*stream.Conn
	server *Server

	mu        sync.Mutex
	open      map[uint64]*exchange.Exchange
	lastUsed  time.Time // when it last carried something
	sentValid bool      // a whole message, and one of the protocol's
	finSentAt time.Time // when it was told that no new request may come
	endedAt   time.Time // when it ended
}

// Write takes what redcon itself would send, which is nothing but replies to
// broken framing; those connections end without one.
func (c *client) Write(p []byte) (int, error) { return len(p), nil }

// Close is called by redcon: when its reader has ended, and for every connection
// when the listener closes. It does nothing: the connection ends by itself, in
// the one place that ends connections.
func (c *client) Close() error { return nil }

// owes tells whether a request is open.
func (c *client) hasOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0
}

// ended lets go of what was open when the connection ended.
func (c *client) connEnded(end stream.CloseReason) {
	c.mu.Lock()
	open := c.open
	c.open, c.endedAt = nil, time.Now()
	c.mu.Unlock()
	for _, x := range open {
		if x.Abandon(exchange.EndedCallerGone) {
			c.server.sink.CallerGone(x)
		}
	}
	if end == stream.BadFraming || end == stream.TooLong {
		c.server.warnLimited("broken input from a dispatcher", nil, "end", end.String(), "from", c.RemoteAddr().String())
		return
	}
	if len(open) > 0 || end == stream.Overflow || end == stream.ReadStalled || end == stream.WriteStalled {
		c.server.warnLimited("dispatcher's connection ended badly", nil, "end", end.String(), "open", len(open))
	}
}

// closed gives the connection's place free.
func (c *client) connDescriptorClosed() {
	c.server.mu.Lock()
	delete(c.server.clients, c)
	c.server.mu.Unlock()
	select {
	case c.server.connClosed <- struct{}{}:
	default:
	}
}

// command takes one message; cmd lives only during the call.
func (s *Server) command(conn redcon.Conn, cmd redcon.Command) {
	c, ok := conn.Context().(*client)
	if !ok || len(cmd.Args) == 0 {
		return
	}
	var tag []byte
	if len(cmd.Args) > 1 {
		tag = cmd.Args[1]
	}
	switch string(cmd.Args[0]) {
	case "RPC.CALL":
		c.call(tag, cmd.Args)
	case "RPC.CANCEL":
		s.Counters.Cancels.Add(1)
		c.cancel(tag)
	case "RPC.HEALTH":
		s.Counters.Health.Add(1)
		c.health(tag)
	default:
		s.Counters.Unknown.Add(1)
		s.warnLimited("unknown command", fmt.Errorf("%q", truncate(cmd.Args[0])))
		c.reject(tag)
	}
}

// reject answers what could not be read as a request: it fails, as nobody can
// tell what its dispatcher takes from a refusal.
func (c *client) reject(tag []byte) {
	if _, err := parseTag(tag); err != nil {
		tag = []byte("0")
	}
	c.Send(message(tag, "FAIL", nil, nil))
}

func (c *client) call(tagText []byte, args [][]byte) {
	tag, err := parseTag(tagText)
	var call exchange.Request
	if err == nil {
		switch len(args) {
		case 4:
			call, err = c.server.parser.parseCall(args[2], args[3], nil)
		case 5:
			call, err = c.server.parser.parseCall(args[2], args[3], args[4])
		default:
			err = fmt.Errorf("a request of %d parts", len(args))
		}
	}
	c.mu.Lock()
	gone := c.open == nil
	if err == nil && !gone {
		if len(c.open) >= maxOpenRequests {
			err = errors.New("more requests open than allowed")
		} else if c.open[tag] != nil {
			err = errors.New("a tag that is open")
		}
	}
	c.lastUsed = time.Now()
	if err != nil || gone {
		c.mu.Unlock()
		if gone { // the connection ended before this was read
			return
		}
		c.server.Counters.Calls.Add(1)
		c.server.Counters.Malformed.Add(1)
		c.server.warnLimited("request not understood", err)
		exchange.New(c.server.ledger, rejecter{c, tagText}, tag, call).Answer(exchange.Answer{Kind: exchange.Failed})
		return
	}
	c.sentValid = true
	c.server.Counters.Calls.Add(1)
	x := exchange.New(c.server.ledger, c, tag, call)
	c.open[tag] = x
	c.mu.Unlock()
	c.server.sink.Arrived(x)
}

// rejecter answers a request that never became open.
type rejecter struct {
	c   *client
	tag []byte
}

func (r rejecter) Reply(uint64, exchange.Answer) { r.c.reject(r.tag) }

func (c *client) cancel(tagText []byte) {
	tag, _ := parseTag(tagText) // a bad tag is as unknown as any other
	c.mu.Lock()
	x := c.open[tag]
	if x != nil {
		delete(c.open, tag)
	}
	c.lastUsed = time.Now()
	c.mu.Unlock()
	c.RecheckClose()
	if x == nil { // its answer and the cancel crossed, or it never was
		c.server.Counters.Unmatched.Add(1)
		return
	}
	if x.Abandon(exchange.EndedCancelled) {
		c.server.sink.CallerGone(x)
	}
}

func (c *client) health(tag []byte) {
	c.mu.Lock()
	c.lastUsed, c.sentValid = time.Now(), true
	c.mu.Unlock()
	if _, err := parseTag(tag); err != nil {
		c.reject(tag)
		return
	}
	c.server.awaitAdmission(context.Background(), connlimit.HealthCheck) // this connection's reader alone waits: checks come on one of their own
	began := time.Now()
	defer c.server.chargeAdmission(connlimit.HealthCheck, began)
	word := "RED"
	if c.server.healthy.Load() {
		word = "GREEN"
	}
	c.Send(message(tag, word, c.server.fields(nil, exchange.Answer{}), nil))
}

// fields writes an answer's fields.
func (s *Server) fields(b []byte, a exchange.Answer) []byte {
	if f := s.feedback.Load(); f != nil {
		b = append(b, *f...)
	}
	if a.RetryAfter <= 0 && !a.Last {
		return b
	}
	add := func(name string) {
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = append(b, name...)
	}
	if a.RetryAfter > 0 {
		add("later=")
		b = strconv.AppendInt(b, max(a.RetryAfter.Milliseconds(), 1), 10)
	}
	if a.Last {
		add("giveup=1")
	}
	return b
}

// message encodes an answer.
func message(tag []byte, word string, fields, body []byte) []byte {
	b := make([]byte, 0, 64+len(tag)+len(fields)+len(body))
	b = redcon.AppendArray(b, 4)
	b = redcon.AppendBulk(b, tag)
	b = redcon.AppendBulkString(b, word)
	b = redcon.AppendBulk(b, fields)
	return redcon.AppendBulk(b, body)
}

// Reply sends a final answer; the exchange sees to it that there is one.
func (c *client) Reply(tag uint64, a exchange.Answer) {
	word := "FAIL"
	switch a.Kind {
	case exchange.Served:
		word = "ACK"
	case exchange.Refused:
		word = "NAK"
	}
	var room [maxTagDigits + 2]byte
	var more [64]byte
	c.Send(message(strconv.AppendUint(room[:0], tag, 10), word, c.server.fields(more[:0], a), a.Body))
	c.mu.Lock()
	delete(c.open, tag)
	c.lastUsed = time.Now()
	c.mu.Unlock()
	c.RecheckClose() // it may have been the last that was owed
}

// sayFin asks the dispatcher to send no new request here and to close.
func (c *client) sendFin() {
	c.mu.Lock()
	first := c.finSentAt.IsZero()
	if first {
		c.finSentAt = time.Now()
	}
	c.mu.Unlock()
	if first {
		c.Send(finMessage)
	}
}

var finMessage = redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "0"), "FIN")
