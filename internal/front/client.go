package front

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"robinmast/decide/connlimit"
	"robinmast/internal/exchange"
	"robinmast/internal/stream"
)

// client is one dispatcher's connection with the requests that are open on it, by tag. Only its reader ever waits:
// for a permit to handle input, with a health check for admission, and with a request until the sink has memory for it.
type client struct {
	*stream.Conn
	server *Server

	mu        sync.Mutex
	open      map[uint64]*exchange.Exchange // nil once the connection is closed
	lastUsed  time.Time                     // when it last carried a message
	sentValid bool                          // a valid message of the protocol was received
	finSentAt time.Time                     // when FIN was sent on it, so that no new request comes
	closedAt  time.Time                     // when it was closed

	permit *readPermit
}

// Write discards what redcon itself sends, which is only replies to broken framing. Those connections are closed
// without a reply.
func (c *client) Write(p []byte) (int, error) { return len(p), nil }

// Close does nothing. redcon calls it when its reader has returned, and for every connection when the listener
// closes. Package stream closes the connection instead, after the pending answers.
func (c *client) Close() error { return nil }

// hasOpen reports whether a request is open.
func (c *client) hasOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0
}

// onClose abandons the requests that were open when the connection closed, and logs abnormal reasons.
func (c *client) onClose(reason stream.CloseReason) {
	c.permit.cancel()
	c.mu.Lock()
	open := c.open
	c.open, c.closedAt = nil, time.Now()
	c.mu.Unlock()
	for _, x := range open {
		if x.Abandon(exchange.EndedCallerGone) {
			c.server.sink.CallerGone(x)
		}
	}
	if reason == stream.BadFraming || reason == stream.TooLong {
		c.server.warnLimited("malformed input from a dispatcher", nil,
			"end", reason.String(), "from", c.RemoteAddr().String())
		return
	}
	if len(open) > 0 || reason == stream.Overflow || reason == stream.ReadStalled || reason == stream.WriteStalled {
		c.server.warnLimited("dispatcher connection closed abnormally", nil, "end", reason.String(), "open", len(open))
	}
}

// onDescriptorClosed frees the connection's slot and wakes a waiting Accept.
func (c *client) onDescriptorClosed() {
	c.server.mu.Lock()
	delete(c.server.clients, c)
	c.server.mu.Unlock()
	select {
	case c.server.connClosed <- struct{}{}:
	default:
	}
}

// command handles one message. cmd is valid only during the call.
func (s *Server) command(conn redcon.Conn, cmd redcon.Command) {
	c, ok := conn.Context().(*client)
	if !ok || len(cmd.Args) == 0 {
		return
	}
	var tag []byte
	if len(cmd.Args) > 1 {
		tag = cmd.Args[1]
	}
	if c.permit.usedUp() && !c.withdraws(cmd.Args) {
		c.waitWithoutPermit(func() {})
	}
	c.permit.charge(messageCost + len(cmd.Raw))
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

// withdraws reports whether a message withdraws an open request. Such a message, of which maxOpenRequests can come in a row,
// does not wait for a permit: the request would be queued and run meanwhile.
func (c *client) withdraws(args [][]byte) bool {
	if len(args) < 2 || string(args[0]) != "RPC.CANCEL" {
		return false
	}
	tag, err := parseTag(args[1])
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[tag] != nil
}

// waitWithoutPermit releases the permit, calls wait, which may wait for something other than this connection, and acquires
// the permit again.
func (c *client) waitWithoutPermit(wait func()) {
	c.permit.Release()
	wait()
	c.permit.Acquire()
	c.CheckPeer()
}

// reject answers a message that could not be parsed as a request with FAIL, and with tag 0 if its own tag
// is not valid. It is not refused, since it is unknown what its dispatcher would conclude from a refusal.
func (c *client) reject(tag []byte) {
	if _, err := parseTag(tag); err != nil {
		tag = []byte("0")
	}
	c.Send(message(tag, "FAIL", nil, nil))
}

// call handles RPC.CALL: it passes a valid request to the sink and answers any other with FAIL.
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
			err = fmt.Errorf("request has %d parts, want 4 or 5", len(args))
		}
	}
	c.mu.Lock()
	closed := c.open == nil
	if err == nil && !closed {
		if len(c.open) >= maxOpenRequests {
			err = fmt.Errorf("more than %d requests open on the connection", maxOpenRequests)
		} else if c.open[tag] != nil {
			err = fmt.Errorf("tag %d is already open", tag)
		}
	}
	c.lastUsed = time.Now()
	if err != nil || closed {
		c.mu.Unlock()
		if closed { // the connection was closed before this was read
			return
		}
		c.server.Counters.Calls.Add(1)
		c.server.Counters.Malformed.Add(1)
		c.server.warnLimited("malformed request", err)
		exchange.New(c.server.requestCounters, rejecter{c, tagText}, tag, call).Answer(exchange.Answer{Kind: exchange.Failed})
		return
	}
	c.sentValid = true
	c.server.Counters.Calls.Add(1)
	x := exchange.New(c.server.requestCounters, c, tag, call)
	c.open[tag] = x
	c.mu.Unlock()
	if !c.server.sink.HasRoom(x) { // it waits for memory
		c.permit.Release()
	}
	c.server.sink.Arrived(x)
	c.permit.Acquire()
}

// rejecter replies to a request that was rejected before it became open.
type rejecter struct {
	c   *client
	tag []byte
}

// Reply answers with FAIL, whatever the answer.
func (r rejecter) Reply(uint64, exchange.Answer) { r.c.reject(r.tag) }

// cancel handles RPC.CANCEL: it abandons the request with this tag, if it is open.
func (c *client) cancel(tagText []byte) {
	tag, _ := parseTag(tagText) // an invalid tag gives 0, which is never open
	c.mu.Lock()
	x := c.open[tag]
	if x != nil {
		delete(c.open, tag)
	}
	c.lastUsed = time.Now()
	c.mu.Unlock()
	c.RecheckClose()
	if x == nil { // the cancel crossed its answer, or there was no such request
		c.server.Counters.Unmatched.Add(1)
		return
	}
	if x.Abandon(exchange.EndedCancelled) {
		c.server.sink.CallerGone(x)
	}
}

// health handles RPC.HEALTH: it answers GREEN or RED.
func (c *client) health(tag []byte) {
	_, err := parseTag(tag)
	c.mu.Lock()
	c.lastUsed, c.sentValid = time.Now(), c.sentValid || err == nil
	c.mu.Unlock()
	if err != nil {
		c.reject(tag)
		return
	}
	if c.server.limiter != nil { // only this connection's reader waits: health checks come on a connection of their own
		c.waitWithoutPermit(func() { c.server.awaitAdmission(context.Background(), connlimit.HealthCheck) })
	}
	start := time.Now()
	defer c.server.chargeAdmission(connlimit.HealthCheck, start)
	color := "RED"
	if c.server.healthy.Load() {
		color = "GREEN"
	}
	c.Send(message(tag, color, c.server.fields(nil, exchange.Answer{}), nil))
}

// fields appends an answer's fields to b: the published load feedback, retry-after and the stop-retrying flag.
func (s *Server) fields(b []byte, a exchange.Answer) []byte {
	if f := s.feedback.Load(); f != nil {
		b = append(b, *f...)
	}
	if a.RetryAfter <= 0 && !a.Last {
		return b
	}
	addField := func(name string) {
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = append(b, name...)
	}
	if a.RetryAfter > 0 {
		addField("later=")
		b = strconv.AppendInt(b, max(a.RetryAfter.Milliseconds(), 1), 10)
	}
	if a.Last {
		addField("giveup=1")
	}
	return b
}

// message encodes an answer as a RESP array of tag, word, fields and body.
func message(tag []byte, word string, fields, body []byte) []byte {
	b := make([]byte, 0, 64+len(tag)+len(fields)+len(body))
	b = redcon.AppendArray(b, 4)
	b = redcon.AppendBulk(b, tag)
	b = redcon.AppendBulkString(b, word)
	b = redcon.AppendBulk(b, fields)
	return redcon.AppendBulk(b, body)
}

// Reply sends the final answer of a request; package exchange makes sure that there is exactly one.
func (c *client) Reply(tag uint64, a exchange.Answer) {
	word := "FAIL"
	switch a.Kind {
	case exchange.Served:
		word = "ACK"
	case exchange.Refused:
		word = "NAK"
	}
	var tagBuffer [maxTagDigits + 2]byte
	var fieldBuffer [64]byte
	c.Send(message(strconv.AppendUint(tagBuffer[:0], tag, 10), word, c.server.fields(fieldBuffer[:0], a), a.Body))
	c.mu.Lock()
	delete(c.open, tag)
	c.lastUsed = time.Now()
	c.mu.Unlock()
	c.RecheckClose() // it may have been the last pending answer
}

// sendFin sends `0 FIN`, once: the dispatcher is to send no new request on this connection and to close it.
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

// finMessage is `0 FIN` as a RESP array of two bulk strings.
var finMessage = redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "0"), "FIN")
