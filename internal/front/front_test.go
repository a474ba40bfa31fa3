package front

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/settings"
	"robinmast/internal/standin"
	"robinmast/internal/stream"
	"robinmast/rules"
)

const (
	safeFields = "txn=9b1f03aa5c7e2d41,door=1764576000123,lb=4,team=acme,limit=480,second=1,cpu=12.50,ram=24.5," +
		"standing=0.6250,item=7f3a9c21e0b4d655,later=never"
	keyedFields = "txn=9b1f03aa5c7e2d41,door=1764576000123,lb=4,team=acme,ram=24.5,standing=0.6250,unique=abc"
)

func TestCallIsParsed(t *testing.T) {
	b := startServer(t, nil)
	d := b.dial(t)
	body := strings.Repeat("\r\n*1\x00", 300)
	d.Send("RPC.CALL", "7", "read", safeFields, body)
	standin.Eventually(t, "arrival", func() bool { return b.sink.last() != nil })
	x := b.sink.last()
	want := exchange.Request{
		Txn: "9b1f03aa5c7e2d41", ClassName: "read", TenantName: "acme", Class: 0, Tenant: 0, Caller: 4,
		ArrivedUnixMs: 1764576000123, TimeoutMs: 480, HintMs: 12.5, MemoryKB: 24.5, Rank: 0.625, Retry: true,
		Item: "7f3a9c21e0b4d655", Safe: true, Body: []byte(body),
	}
	if fmt.Sprintf("%+v", x.Request) != fmt.Sprintf("%+v", want) {
		t.Errorf("read %+v", x.Request)
	}
	// redcon reuses the buffer of a message; the parsed request must hold copies.
	d.Send("RPC.CALL", "8", "pay", keyedFields, strings.Repeat("z", 2000))
	standin.Eventually(t, "second arrival", func() bool { a, _ := b.sink.counts(); return a == 2 })
	if string(x.Body) != body || x.Txn != want.Txn {
		t.Error("a later message changed the parsed request")
	}
	if y := b.sink.last(); y.Unique != "abc" || y.Safe || y.Retry || y.TimeoutMs != 0 {
		t.Errorf("read %+v", y.Request)
	}
	x.Answer(exchange.Answer{Kind: exchange.Failed})
	b.sink.last().Answer(exchange.Answer{Kind: exchange.Failed})
}

func TestAnswers(t *testing.T) {
	b := startServer(t, nil)
	d := b.dial(t)
	result := strings.Repeat("\x00\r\n", 1300)
	for i, c := range []struct {
		feedback float64 // published before the answer, -1 = none
		answer   exchange.Answer
		want     string
	}{
		{-1, exchange.Answer{Kind: exchange.Served, Body: []byte(result)}, "ACK  " + result},
		{-1, exchange.Answer{Kind: exchange.Refused}, "NAK  "},
		{0.75, exchange.Answer{Kind: exchange.Served}, "ACK feedback=0.7500 "},
		{-1, exchange.Answer{Kind: exchange.Refused, RetryAfter: 120500 * time.Microsecond, Last: true},
			"NAK feedback=0.7500,later=120,giveup=1 "},
		{0, exchange.Answer{Kind: exchange.Refused, RetryAfter: time.Microsecond}, "NAK feedback=0.0000,later=1 "},
		{-1, exchange.Answer{Kind: exchange.Failed}, "FAIL feedback=0.0000 "},
	} {
		if c.feedback >= 0 {
			b.PublishLoad(c.feedback)
		}
		b.sink.mu.Lock()
		b.sink.answer = &c.answer
		b.sink.mu.Unlock()
		d.Send("RPC.CALL", fmt.Sprint(i+1), "read", safeFields, "x")
		if got := d.Receive(); got != fmt.Sprint(i+1, " ", c.want) {
			t.Errorf("answer %q, want %q", got, c.want)
		}
	}
}

func TestHealth(t *testing.T) {
	b := startServer(t, nil)
	d := b.dial(t)
	d.Send("RPC.HEALTH", "1", "")
	if got := d.Receive(); got != "1 GREEN  " {
		t.Errorf("%q", got)
	}
	b.SetHealth(false)
	b.PublishLoad(0.5)
	d.Send("RPC.HEALTH", "2")
	if got := d.Receive(); got != "2 RED feedback=0.5000 " {
		t.Errorf("%q", got)
	}
}

// A message that cannot be parsed as a request is answered with FAIL, never reaches the sink, and leaves the
// connection usable.
func TestMalformedRequests(t *testing.T) {
	b := startServer(t, nil)
	d := b.dial(t)
	without := func(name string) string {
		var others []string
		for _, f := range strings.Split(safeFields, ",") {
			if !strings.HasPrefix(f, name+"=") {
				others = append(others, f)
			}
		}
		return strings.Join(others, ",")
	}
	with := func(name, value string) string { return without(name) + "," + name + "=" + value }
	good := 0
	for name, c := range map[string]struct {
		msg []string
		tag string
	}{
		"unknown command":  {[]string{"RPC.SHOUT", "5", "x"}, "5"},
		"lone word":        {[]string{"PING"}, "0"},
		"tag 0":            {[]string{"RPC.CALL", "0", "read", safeFields, "x"}, "0"},
		"tag of letters":   {[]string{"RPC.CALL", "x7", "read", safeFields, "x"}, "0"},
		"negative tag":     {[]string{"RPC.CALL", "-7", "read", safeFields, "x"}, "0"},
		"endless tag":      {[]string{"RPC.CALL", "99999999999999999999", "read", safeFields, "x"}, "0"},
		"no class":         {[]string{"RPC.CALL", "5"}, "5"},
		"too many parts":   {[]string{"RPC.CALL", "5", "read", safeFields, "x", "y"}, "5"},
		"unknown class":    {[]string{"RPC.CALL", "5", "write", safeFields, "x"}, "5"},
		"big body":         {[]string{"RPC.CALL", "5", "read", safeFields, strings.Repeat("x", 2049)}, "5"},
		"no fields":        {[]string{"RPC.CALL", "5", "read", "", "x"}, "5"},
		"field alone":      {[]string{"RPC.CALL", "5", "read", safeFields + ",second", "x"}, "5"},
		"field twice":      {[]string{"RPC.CALL", "5", "read", safeFields + ",lb=4", "x"}, "5"},
		"no txn":           {[]string{"RPC.CALL", "5", "read", without("txn"), "x"}, "5"},
		"short txn":        {[]string{"RPC.CALL", "5", "read", with("txn", "9b1f"), "x"}, "5"},
		"txn not hex":      {[]string{"RPC.CALL", "5", "read", with("txn", `9b1f03aa5c7e2d4"`), "x"}, "5"},
		"no door":          {[]string{"RPC.CALL", "5", "read", without("door"), "x"}, "5"},
		"negative door":    {[]string{"RPC.CALL", "5", "read", with("door", "-1"), "x"}, "5"},
		"door not number":  {[]string{"RPC.CALL", "5", "read", with("door", "NaN"), "x"}, "5"},
		"no lb":            {[]string{"RPC.CALL", "5", "read", without("lb"), "x"}, "5"},
		"negative limit":   {[]string{"RPC.CALL", "5", "read", with("limit", "-480"), "x"}, "5"},
		"endless limit":    {[]string{"RPC.CALL", "5", "read", with("limit", "+Inf"), "x"}, "5"},
		"negative cpu":     {[]string{"RPC.CALL", "5", "read", with("cpu", "-1"), "x"}, "5"},
		"no ram":           {[]string{"RPC.CALL", "5", "read", without("ram"), "x"}, "5"},
		"ram of 0":         {[]string{"RPC.CALL", "5", "read", with("ram", "0"), "x"}, "5"},
		"ram too big":      {[]string{"RPC.CALL", "5", "read", with("ram", "2000"), "x"}, "5"},
		"no standing":      {[]string{"RPC.CALL", "5", "read", without("standing"), "x"}, "5"},
		"standing of 1":    {[]string{"RPC.CALL", "5", "read", with("standing", "1"), "x"}, "5"},
		"unknown tenant":   {[]string{"RPC.CALL", "5", "read", with("team", "nobody"), "x"}, "5"},
		"no tenant":        {[]string{"RPC.CALL", "5", "read", without("team"), "x"}, "5"},
		"keyed, no key":    {[]string{"RPC.CALL", "5", "pay", safeFields, "x"}, "5"},
		"health, tag of 0": {[]string{"RPC.HEALTH", "0", ""}, "0"},
	} {
		d.Send(c.msg...)
		if got := d.Receive(); got != c.tag+" FAIL  " {
			t.Errorf("%s: %q", name, got)
		}
		good++
		d.Send("RPC.HEALTH", "9")
		if got := d.Receive(); got != "9 GREEN  " {
			t.Fatalf("%s: the connection is not usable any more: %q", name, got)
		}
	}
	if a, g := b.sink.counts(); a != 0 || g != 0 {
		t.Errorf("%d of them arrived, %d were abandoned", a, g)
	}
	if c := b.requestCounters.Count(exchange.EndedFailed); c != b.Counters.Malformed.Load() || c == 0 || c != b.requestCounters.Read.Load() {
		t.Errorf("%d failed, %d malformed, %d read", c, b.Counters.Malformed.Load(), b.requestCounters.Read.Load())
	}
}

func TestOpenTags(t *testing.T) {
	b := startServer(t, nil)
	d := b.dial(t)
	for i := range maxOpenRequests {
		d.Send("RPC.CALL", fmt.Sprint(i+1), "read", safeFields, "x")
	}
	d.Send("RPC.CALL", "33", "read", safeFields, "x")
	if got := d.Receive(); got != "33 FAIL  " {
		t.Errorf("over the limit: %q", got)
	}
	d.Send("RPC.CANCEL", "999")
	d.Send("RPC.CANCEL", "")
	d.Send("RPC.CANCEL", "2")
	d.Send("RPC.CALL", "3", "read", safeFields, "x")
	if got := d.Receive(); got != "3 FAIL  " {
		t.Errorf("open tag: %q", got)
	}
	d.Send("RPC.CALL", "34", "read", safeFields, "x") // the cancel of 2 made it possible
	standin.Eventually(t, "arrivals", func() bool { a, g := b.sink.counts(); return a == maxOpenRequests+1 && g == 1 })
	b.sink.mu.Lock()
	list := append([]*exchange.Exchange(nil), b.sink.arrived...)
	b.sink.mu.Unlock()
	if list[1].FinalState() != exchange.EndedCancelled || b.Counters.Unmatched.Load() != 2 {
		t.Errorf("final state %v, %d cancels without a request", list[1].FinalState(), b.Counters.Unmatched.Load())
	}
	for i := len(list) - 1; i >= 0; i-- { // answers may come in any order
		if list[i].Answer(exchange.Answer{Kind: exchange.Served, Body: []byte("r")}) != (i != 1) {
			t.Errorf("answer to request %d", i)
		}
	}
	for i := len(list) - 1; i >= 0; i-- {
		if i == 1 {
			continue
		}
		tag := i + 1
		if i == maxOpenRequests {
			tag = 34
		}
		if got := d.Receive(); got != fmt.Sprint(tag, " ACK  r") {
			t.Errorf("%q, want tag %d", got, tag)
		}
	}
	d.Send("RPC.CANCEL", "1") // crossed its answer
	d.Send("RPC.HEALTH", "50")
	if got := d.Receive(); got != "50 GREEN  " {
		t.Errorf("%q", got)
	}
}

// A connection whose peer is gone abandons the requests that are open on it, and no others. One that is closed for
// what its peer sent still gets the answers to requests read before.
func TestCloseAbandonsOpenRequests(t *testing.T) {
	var b *harness
	flood := func(d *standin.Dispatcher) { // sends until the output ring overflows, while the peer reads nothing
		for _, c := range b.connections() {
			if c.RemoteAddr().String() == d.LocalAddr().String() {
				for c.Send(make([]byte, 2<<10)) {
				}
			}
		}
	}
	for name, c := range map[string]struct {
		do   func(*standin.Dispatcher)
		want stream.CloseReason
	}{
		"reset":          {func(d *standin.Dispatcher) { d.SetLinger(0); d.Close() }, stream.PeerReset},
		"inline command": {func(d *standin.Dispatcher) { d.Write([]byte("PING\r\n")) }, stream.BadFraming},
		"endless bulk":   {func(d *standin.Dispatcher) { d.Write([]byte("*1\r\n$999999\r\n")) }, stream.TooLong},
		"broken framing": {func(d *standin.Dispatcher) { d.Write([]byte("*1\r\n$1\r\nxx\r\n")) }, stream.BadFraming},
		"half a message": {func(d *standin.Dispatcher) { d.Write([]byte("*5\r\n$8\r\nRPC.CA")) }, stream.ReadStalled},
		"takes nothing":  {flood, stream.Overflow},
	} {
		t.Run(name, func(t *testing.T) {
			b = startServer(t, func(s *Server) {
				s.partialIdleLimit, s.partialMaxLimit = 50*time.Millisecond, 100*time.Millisecond
				s.limits.WriteBufferBytes = 4 << 10
			})
			other, d := b.dial(t), b.dial(t)
			other.Send("RPC.CALL", "1", "read", safeFields, "x")
			standin.Eventually(t, "first arrival", func() bool { a, _ := b.sink.counts(); return a == 1 })
			otherRequest := b.sink.last()
			d.Send("RPC.CALL", "1", "read", safeFields, "x") // answered, and the answer is received
			d.Send("RPC.CALL", "2", "read", safeFields, "x") // open
			d.Send("RPC.CALL", "3", "read", safeFields, "x") // cancelled
			d.Send("RPC.CANCEL", "3")
			standin.Eventually(t, "arrivals", func() bool { a, g := b.sink.counts(); return a == 4 && g == 1 })
			b.sink.arrived[1].Answer(exchange.Answer{Kind: exchange.Refused})
			if got := d.Receive(); got != "1 NAK  " {
				t.Fatalf("%q", got)
			}
			c.do(d)
			open := b.sink.arrived[2]
			if c.want == stream.BadFraming || c.want == stream.TooLong || c.want == stream.ReadStalled {
				standin.Eventually(t, "the planned close", func() bool {
					return slices.ContainsFunc(b.connections(), func(c *client) bool { return c.Closing() })
				})
				if !open.Answer(exchange.Answer{Kind: exchange.Served, Body: []byte("r")}) {
					t.Fatalf("the open request is %v", open.FinalState())
				}
				if got := d.Receive(); got != "2 ACK  r" {
					t.Errorf("the request read before: %q", got)
				}
				if got := d.Receive(); got != "EOF" {
					t.Errorf("then %q", got)
				}
				standin.Eventually(t, "the close", func() bool { return b.Traffic.Closed[c.want].Load() == 1 })
				otherRequest.Answer(exchange.Answer{Kind: exchange.Served, Body: []byte("r")})
				if got := other.Receive(); got != "1 ACK  r" {
					t.Errorf("the other connection: %q", got)
				}
				return
			}
			standin.Eventually(t, "the abandoned request", func() bool { _, g := b.sink.counts(); return g == 2 })
			if open.FinalState() != exchange.EndedCallerGone || b.sink.gone[1] != open {
				t.Errorf("the open request is %v", open.FinalState())
			}
			if open.Answer(exchange.Answer{}) {
				t.Error("answered after its connection was closed")
			}
			if n := b.Traffic.Closed[c.want].Load(); n != 1 {
				t.Errorf("%d connections closed with %v, want 1", n, c.want)
			}
			otherRequest.Answer(exchange.Answer{Kind: exchange.Served, Body: []byte("r")})
			if got := other.Receive(); got != "1 ACK  r" {
				t.Errorf("the other connection: %q", got)
			}
		})
	}
}

// Guards against lost requests of dispatchers that write in pieces: the rest of each request comes with the begin of
// the next one, for longer than a message may stay incomplete. One that never ends still meets that bound.
func TestRequestsInPiecesAreServed(t *testing.T) {
	b := startServer(t, func(s *Server) { s.partialIdleLimit, s.partialMaxLimit = 400*time.Millisecond, 400*time.Millisecond })
	b.sink.answer = &exchange.Answer{Kind: exchange.Served, Body: []byte("r")}
	d := b.dial(t)
	rest := []byte(nil)
	for i := range 40 { // each takes 20 ms: twice the limit in all
		message := standin.EncodeMessage("RPC.CALL", fmt.Sprint(i+1), "read", safeFields, "x")
		d.Write(append(rest, message[:20]...))
		rest = message[20:]
		if i > 0 {
			if got, want := d.Receive(), fmt.Sprintf("%d ACK  r", i); got != want {
				t.Fatalf("%q, want %q", got, want)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := d.Receive(); got != "EOF" {
		t.Errorf("the message that never ends: %q", got)
	}
	if n := b.Traffic.Closed[stream.ReadStalled].Load(); n != 1 {
		t.Errorf("%d connections closed as stalled", n)
	}
}

// Guards against peers that keep the processor from the sink: a connection passes on a bounded number of messages
// between two batches, whatever they are, and another connection is served meanwhile.
func TestMessagesAreReadInTurnWithBatches(t *testing.T) {
	b := startServer(t, nil)
	b.sink.paced = true
	flood, other := b.dial(t), b.dial(t)
	go func() {
		for i := range 10 * messagesPerBatch {
			if i%2 == 0 {
				flood.Send("RPC.CALL", fmt.Sprint(i+1), "read", safeFields, "x")
			} else {
				flood.Send("RPC.CANCEL", fmt.Sprint(i))
			}
		}
	}()
	read := func() int { arrived, gone := b.sink.counts(); return arrived + gone }
	for batch, before := 1, 0; batch <= 10; batch++ {
		standin.Eventually(t, "messages of a batch", func() bool { return read() >= before+messagesPerBatch/2 })
		time.Sleep(5 * time.Millisecond)
		if n := read(); n > before+messagesPerBatch {
			t.Fatalf("%d messages were passed on after %d batches, %d in the last one", n, batch-1, n-before)
		}
		before = read()
		if batch == 5 {
			other.Send("RPC.HEALTH", "1", "")
			if got := other.Receive(); got != "1 GREEN  " {
				t.Errorf("%q", got)
			}
		}
		b.sink.batch.Add(1)
		b.BatchHandled()
	}
}

// For each reason that can close an open connection: open requests are abandoned once, requests that have ended
// keep their final state, and other connections are not affected.
func TestRequestsAfterEachCloseReason(t *testing.T) {
	for _, reason := range stream.CloseReasons() {
		if reason.Outcome() == rules.ConnectFailed { // never opened, so it had no requests
			continue
		}
		t.Run(reason.String(), func(t *testing.T) {
			b := startServer(t, nil)
			d, other := b.dial(t), b.dial(t)
			for i := range 3 {
				d.Send("RPC.CALL", fmt.Sprint(i+1), "read", safeFields, "x")
			}
			d.Send("RPC.CANCEL", "2")
			standin.Eventually(t, "arrivals", func() bool { a, g := b.sink.counts(); return a == 3 && g == 1 })
			b.sink.arrived[0].Answer(exchange.Answer{Kind: exchange.Served, Body: []byte("r")})
			if got := d.Receive(); got != "1 ACK  r" {
				t.Fatalf("%q", got)
			}
			for _, c := range b.connections() {
				if c.RemoteAddr().String() == d.LocalAddr().String() {
					c.Abort(reason)
					c.Abort(stream.PeerReset)
				}
			}
			if got := d.Receive(); got != "EOF" {
				t.Errorf("%q", got)
			}
			standin.Eventually(t, "the abandoned request", func() bool { _, g := b.sink.counts(); return g == 2 })
			for i, want := range []exchange.FinalState{
				exchange.EndedServed, exchange.EndedCancelled, exchange.EndedCallerGone,
			} {
				x := b.sink.arrived[i]
				if x.FinalState() != want || x.Answer(exchange.Answer{}) {
					t.Errorf("request %d is %v, want %v", i+1, x.FinalState(), want)
				}
			}
			if n := b.Traffic.Closed[reason].Load(); n != 1 {
				t.Errorf("%d connections closed with %v, want 1", n, reason)
			}
			other.Send("RPC.HEALTH", "1")
			if got := other.Receive(); got != "1 GREEN  " {
				t.Errorf("the other connection: %q", got)
			}
		})
	}
}

// A dispatcher that closes its side in order may still read: it gets its pending answers, and then the connection
// is closed.
func TestHalfClosedIsStillAnswered(t *testing.T) {
	b := startServer(t, nil)
	d := b.dial(t)
	d.Send("RPC.CALL", "1", "read", safeFields, "x")
	d.CloseWrite()
	standin.Eventually(t, "arrival", func() bool { return b.sink.last() != nil })
	time.Sleep(20 * time.Millisecond)
	b.sink.last().Answer(exchange.Answer{Kind: exchange.Served, Body: []byte("r")})
	if got := d.Receive(); got != "1 ACK  r" {
		t.Errorf("%q", got)
	}
	if got := d.Receive(); got != "EOF" {
		t.Errorf("%q", got)
	}
	standin.Eventually(t, "the close", func() bool { return b.Traffic.Closed[stream.PeerClosed].Load() == 1 })
}

// FIN is sent on an idle connection, which is closed if its dispatcher does not do so. One with an open request is
// not affected.
func TestIdleTimeout(t *testing.T) {
	b := startServer(t, func(s *Server) { s.finTimeout = 50 * time.Millisecond })
	d, busy := b.dial(t), b.dial(t)
	busy.Send("RPC.CALL", "1", "read", safeFields, "x")
	b.SetIdleTimeout(40 * time.Millisecond)
	if got := d.Receive(); got != "0 FIN" {
		t.Errorf("%q", got)
	}
	if got := d.Receive(); got != "EOF" {
		t.Errorf("%q", got)
	}
	if n := b.Traffic.Closed[stream.IdleClosed].Load(); n != 1 {
		t.Errorf("%d closed as idle", n)
	}
	b.SetIdleTimeout(0) // back to the maximum
	b.sink.last().Answer(exchange.Answer{Kind: exchange.Served, Body: []byte("r")})
	if got := busy.Receive(); got != "1 ACK  r" {
		t.Errorf("%q", got)
	}
}

// After the process was frozen, timeouts count anew: neither a connection with a half-read message nor an idle one
// is closed for time during which the process could not read.
func TestFrozenProcessRestartsTimers(t *testing.T) {
	b := startServer(t, func(s *Server) { s.partialIdleLimit = 10 * time.Second })
	d := b.dial(t)
	half := standin.EncodeMessage("RPC.HEALTH", "1", "")
	d.Write(half[:9])
	var c *client
	standin.Eventually(t, "half a message", func() bool {
		list := b.connections()
		if len(list) == 1 {
			c = list[0]
		}
		return c != nil && c.PartialAge(time.Now()) > 0
	})
	later := time.Now().Add(time.Minute)
	b.restartTimers(later)
	b.sweepOnce(later)
	if c.CloseReason() != stream.StillOpen {
		t.Fatalf("closed with %v", c.CloseReason())
	}
	d.Write(half[9:])
	if got := d.Receive(); got != "1 GREEN  " {
		t.Errorf("%q", got)
	}
	// The peer can receive an answer before the writer has recorded it as sent.
	standin.Eventually(t, "the answer is sent", func() bool { return c.Unsent() == 0 })
	b.sweepOnce(later.Add(time.Minute)) // idle for a minute in which the process was not frozen
	if got := d.Receive(); got != "0 FIN" {
		t.Errorf("%q", got)
	}
}

// Draining: FIN is sent once on every connection, answers are still sent, and closing the listener closes no
// connection (redcon by itself would close all of them).
func TestSendFinAndStopListening(t *testing.T) {
	b := startServer(t, nil)
	d := b.dial(t)
	d.Send("RPC.CALL", "1", "read", safeFields, "x")
	standin.Eventually(t, "arrival", func() bool { return b.sink.last() != nil })
	b.StopListening()
	b.SendFin()
	b.SendFin()
	if got := d.Receive(); got != "0 FIN" {
		t.Errorf("%q", got)
	}
	time.Sleep(20 * time.Millisecond)
	b.sink.last().Answer(exchange.Answer{Kind: exchange.Served, Body: []byte("r")})
	if got := d.Receive(); got != "1 ACK  r" {
		t.Errorf("%q", got)
	}
	standin.Eventually(t, "flush", b.Flushed)
	<-b.acceptingDone
	if err := b.baseListener.(*net.TCPListener).SetDeadline(time.Now()); !errors.Is(err, net.ErrClosed) {
		t.Errorf("still listening: %v", err)
	}
}

// Any input is either parsed into values within their bounds or rejected.
func FuzzCall(f *testing.F) {
	f.Add("read", safeFields, "x")
	f.Add("pay", keyedFields, "")
	f.Add("read", "txn=,door=1e999,limit=-0,ram=NaN", "x")
	l := newRequestParser(rules.Settings{Classes: []rules.Class{{}, {Effect: rules.Keyed}}, Tenants: []rules.Tenant{{}}},
		settings.Names{Classes: []string{"read", "pay"}, Tenants: []string{"acme"}})
	f.Fuzz(func(t *testing.T, class, fields, body string) {
		c, err := l.parseCall([]byte(class), []byte(fields), []byte(body))
		if err != nil {
			return
		}
		if len(c.Txn) != 16 || c.ArrivedUnixMs < 0 || c.TimeoutMs < 0 || c.HintMs < 0 ||
			!(c.MemoryKB > 0 && c.MemoryKB < 2000) || !(c.Rank >= 0 && c.Rank < 1) ||
			len(c.Body) > 2048 || string(c.Body) != body || c.ClassName != class {
			t.Fatalf("accepted: %+v", c)
		}
	})
}

// Guards against good clients that wait behind bad ones: between two batches of the sink all connections together pass on
// a bounded number of messages, however many they are, and of those that wait the one that passed on least goes first.
// Batches are asked for while any waits.
func TestConnectionsShareTheBudgetOfABatch(t *testing.T) {
	const floods, perBatch = 20, (batchBudget + readQuantum) / messageCost
	b := startServer(t, nil)
	other := b.dial(t)
	other.Send("RPC.HEALTH", "99", "")
	other.Receive()
	b.sink.paced = true
	for range floods {
		flood := b.dial(t)
		go func() {
			for i := range 4 * messagesPerBatch {
				if _, err := flood.Write(standin.EncodeMessage("RPC.CANCEL", fmt.Sprint(i+1))); err != nil {
					return
				}
			}
		}()
	}
	read := func() int64 { return b.Server.Counters.Cancels.Load() }
	before := int64(0)
	for batch := 1; batch <= 10; batch++ {
		standin.Eventually(t, "messages of a batch, and readers that wait", func() bool {
			return read() >= before+perBatch/2 && b.ReadWaits() >= floods/2 && b.sink.requests.Load() > 0
		})
		time.Sleep(5 * time.Millisecond)
		if n := read(); n > before+perBatch {
			t.Fatalf("%d messages were passed on in batch %d, at most %d may be", n-before, batch, perBatch)
		}
		before = read()
		everyoneWasGranted := batch > floods*readQuantum/batchBudget+1
		if everyoneWasGranted {
			waits := b.ReadWaits()
			other.Send("RPC.HEALTH", fmt.Sprint(batch), "")
			standin.Eventually(t, "the health check waits", func() bool { return b.ReadWaits() > waits })
		}
		b.sink.batch.Add(1)
		if !b.BatchHandled() {
			t.Fatalf("after %d batches no reader waits", batch)
		}
		if !everyoneWasGranted {
			continue
		}
		if got := other.Receive(); got != fmt.Sprintf("%d GREEN  ", batch) {
			t.Fatalf("%q", got)
		}
	}
	b.BatchesEnded()
	standin.Eventually(t, "all messages once no batch comes", func() bool { return read() == floods*4*messagesPerBatch })
}

// Guards against memory of closed connections: a reader that waits for a permit ends when its connection closes, without a
// batch.
func TestReaderOfAClosedConnectionDoesNotWait(t *testing.T) {
	b := startServer(t, nil)
	b.sink.paced = true
	waitTurn := func() {
		before := b.ReadWaits()
		d := b.dial(t)
		go func() {
			for i := range 4 * messagesPerBatch {
				if _, err := d.Write(standin.EncodeMessage("RPC.CANCEL", fmt.Sprint(i+1))); err != nil {
					return
				}
			}
		}()
		standin.Eventually(t, "a reader that waits", func() bool { return b.ReadWaits() > before })
	}
	for range 4 {
		waitTurn()
	}
	b.AbortAll()
	standin.Eventually(t, "the end of the readers", func() bool {
		b.readScheduler.mu.Lock()
		defer b.readScheduler.mu.Unlock()
		return b.Conns() == 0 && b.readScheduler.queue.Waiting() == 0
	})
}

// A reader that waits for the sink to have memory does not keep other connections' readers from going on.
func TestReaderThatWaitsForTheSinkHoldsNoPermit(t *testing.T) {
	gate := make(chan struct{})
	b := startServer(t, func(s *Server) { s.sink.(*recordingSink).gate = gate })
	blocked, other := b.dial(t), b.dial(t)
	blocked.Send("RPC.CALL", "1", "read", safeFields, "x")
	standin.Eventually(t, "a reader in the sink", func() bool { a, _ := b.sink.counts(); return a == 1 })
	other.Send("RPC.HEALTH", "1", "")
	if got := other.Receive(); got != "1 GREEN  " {
		t.Errorf("%q", got)
	}
	close(gate)
	b.sink.last().Answer(servedAnswer)
	if got := blocked.Receive(); got != "1 ACK  r" {
		t.Errorf("%q", got)
	}
}

// Guards against running what was withdrawn at once, and refusing others for it: a reader that had used up its permit
// between a request and its withdrawal left the request open until it was granted another one.
func TestWithdrawalDoesNotWaitForAPermit(t *testing.T) {
	const floods, pairs = 8, 100
	b := startServer(t, nil)
	b.sink.paced = true
	for range floods {
		d := b.dial(t)
		var text []byte
		for tag := range pairs {
			text = append(text, standin.EncodeMessage("RPC.CALL", fmt.Sprint(tag+1), "read", safeFields, string(make([]byte, maxBodyBytes)))...)
			text = append(text, standin.EncodeMessage("RPC.CANCEL", fmt.Sprint(tag+1))...)
		}
		go func() { _, _ = d.Write(text) }()
	}
	standin.Eventually(t, "readers that wait", func() bool { return b.ReadWaits() >= floods })
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		if open := b.requestCounters.OpenRequests(); open > 0 {
			t.Fatalf("%d requests are open while their readers wait", open)
		}
		b.sink.batch.Add(1)
		b.BatchHandled()
	}
}
