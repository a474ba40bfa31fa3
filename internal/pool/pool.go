// Package pool owns the link to the worker pool: it keeps the link up, sends
// commands, reads notices, and remembers which runs were asked for, so that a
// new link neither loses nor repeats one. It must never decide what runs, and
// never touch an exchange but to read the request.
package pool

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robinmast/decide/backoff"
	"robinmast/internal/exchange"
	"robinmast/internal/stream"
)

// Mechanics of the link.
const (
	longestLine = 24 << 10               // a result of 4 KiB in base64, and room
	inLimit     = longestLine + 8<<10    // in ring
	outLimit    = 2 << 20                // out ring: commands of five hundred requests
	dialTimeout = time.Second            // per try
	backoffMin  = 10 * time.Millisecond  // between tries to connect
	backoffMax  = 500 * time.Millisecond // the same after many
	quietLimit  = 2 * time.Second        // without a line while polls are out, the link is replaced
	boundLimit  = 15 * time.Second       // the same while the worker pool is awaited
	complainGap = 2 * time.Second        // between log lines about bad input
	downGap     = 5 * time.Second        // between log lines while the worker pool is away
	lingerTime  = 100 * time.Millisecond // for the worker pool to close its side of a link that was let go
	lostTail    = 100 * time.Millisecond // commands sent so shortly before a break may not have been read
)

// End is how a run ended.
type Outcome uint8

// The ends of a run.
const (
	Complete     Outcome = iota // with its result
	Error                       // it failed
	Cancelled                   // it was stopped
	NeverStarted                // nothing was started, as the request is over
)

var ends = map[string]Outcome{"complete": Complete, "error": Error, "cancelled": Cancelled, "unknown": NeverStarted}

// Sink takes what the worker pool tells. Its methods must not block.
type Sink interface {
	// Bound tells that the worker pool is up, since how long, and whether it began cold.
	WorkerPoolUp(cold bool, since time.Duration)
	// Finished tells that a run is over; result is set if it is Complete.
	RunEnded(x *exchange.Exchange, end Outcome, took time.Duration, result []byte)
	// Blocked tells that a run stands at a call below, with this statement, until
	// Supply or Pass.
	CallNeeded(x *exchange.Exchange, statement []byte)
	// Polled brings the gauges.
	GaugesRead(values []float64)
	// Stray tells of the end of a run that this process did not ask for: one of
	// an earlier life, if the worker pool outlived it.
	UnknownRunEnded(run string, end Outcome, result []byte)
}

// Counters are what the link counts besides its traffic.
type Counters struct {
	Links           atomic.Int64 // links that were bound
	Started         atomic.Int64 // runs asked for
	Restarted       atomic.Int64 // of those, asked for again on a new link
	Stopped         atomic.Int64
	Finished        [4]atomic.Int64 // by End
	Rejected        atomic.Int64    // spawns that were not carried out
	BadLines        atomic.Int64    // lines that made no sense
	LostNotices     atomic.Int64    // notices that were lost
	RepeatedNotices atomic.Int64    // notices that came again
}

// run is a run that was asked for and is not known to be over.
type run struct {
	x       *exchange.Exchange
	order   uint64
	sent    bool      // it may have reached the worker pool
	at      time.Time // when it was sent last
	stopped bool

	word   *command  // what it was told at its last call, nil = nothing yet
	wordAt time.Time // when that was sent last, zero = never
}

// Link is the link to the worker pool.
type Link struct {
	Counters Counters
	Traffic  stream.Traffic

	sink  Sink
	log   *slog.Logger
	moved chan struct{} // poked when addr has changed

	quiet, await time.Duration    // quietLimit and boundLimit, but in tests
	again        *backoff.Backoff // of tries to connect, nil = doubling waits

	mu    sync.Mutex
	addr  string
	next  net.Conn     // open to a new addr, for the next link
	conn  *stream.Conn // nil while there is no link
	ready bool         // the replay was taken: commands may go out
	runs  map[string]*run
	order uint64
	heard uint64    // runs up to this order were read by the worker pool
	broke time.Time // when the last link ended
	last  int64     // number of the last notice read
	tries int       // links so far, names the replay's end

	complained time.Time
	muted      int
}

// New returns a link to the worker pool at addr; Run brings it up.
func New(addr string, sink Sink, log *slog.Logger) *Link {
	return &Link{
		addr: addr, sink: sink, log: log, moved: make(chan struct{}, 1),
		quiet: quietLimit, await: boundLimit, runs: map[string]*run{},
	}
}

// Spread lets tries to connect wait random times within a budget, as many nodes that
// lose what their pools share should; it must be called before Run.
func (l *Link) UseBackoff(rnd *rand.Rand) {
	l.again = backoff.New(backoff.Settings{MinWait: backoffMin, InitialSpan: 4 * backoffMin, MaxSpan: backoffMax, Window: 10 * time.Second, Budget: 60}, rnd)
}

// Move takes the link to another address. The present link serves until a
// connection to the new one is open; runs and the count of notices go on.
func (l *Link) ChangeAddress(addr string) {
	l.mu.Lock()
	same := l.addr == addr
	l.addr = addr
	l.mu.Unlock()
	if same {
		return
	}
	select {
	case l.moved <- struct{}{}:
	default:
	}
}

// command is what the node sends.
type command struct {
	Op    string  `json:"op"`
	Seq   *int64  `json:"seq,omitempty"`
	ID    string  `json:"id,omitempty"`
	Class string  `json:"class,omitempty"`
	Body  *[]byte `json:"body,omitempty"`
	Tag   string  `json:"tag,omitempty"`
}

// notice is what the worker pool sends.
type notice struct {
	Op     string    `json:"op"`
	End    string    `json:"end"`
	Ms     float64   `json:"ms"`
	Seq    int64     `json:"seq"`
	ID     string    `json:"id"`
	Body   []byte    `json:"body"`
	Tag    string    `json:"tag"`
	Values []float64 `json:"values"`
}

// send queues a command; the lock must be held. It may fail: then the link ends
// and the next one says it again.
func send(c *stream.Conn, cmd command) {
	line, err := json.Marshal(cmd)
	if err != nil { // the type has nothing that can't be encoded
		panic(err)
	}
	c.Send(append(line, '\n'))
}

// Spawn asks for a run.
func (l *Link) StartRun(x *exchange.Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Counters.Started.Add(1)
	l.order++
	r := &run{x: x, order: l.order}
	l.runs[x.Txn] = r
	if l.ready {
		l.spawn(r)
	}
}

func (l *Link) spawn(r *run) {
	r.sent, r.at = true, time.Now()
	body := r.x.Body
	if body == nil {
		body = []byte{}
	}
	send(l.conn, command{Op: "spawn", ID: r.x.Txn, Class: r.x.ClassName, Body: &body})
}

// Suspend stops a run. One that was never sent ends here.
func (l *Link) StopRun(x *exchange.Exchange) {
	l.mu.Lock()
	r := l.runs[x.Txn]
	if r == nil || r.x != x || r.stopped {
		l.mu.Unlock()
		return
	}
	l.Counters.Stopped.Add(1)
	r.stopped = true
	if !r.sent {
		delete(l.runs, x.Txn)
		l.Counters.Finished[Cancelled].Add(1)
		l.mu.Unlock()
		l.sink.RunEnded(x, Cancelled, 0, nil)
		return
	}
	if l.ready {
		send(l.conn, command{Op: "suspend", ID: x.Txn})
	}
	l.mu.Unlock()
}

// Supply lets a run that stands at a call go on with the call's result.
func (l *Link) ContinueWithResult(x *exchange.Exchange, result []byte) {
	if result == nil {
		result = []byte{}
	}
	l.tell(x, command{Op: "supply", ID: x.Txn, Body: &result})
}

// Pass lets a run that stands at a call go on without it.
func (l *Link) ContinueWithout(x *exchange.Exchange) { l.tell(x, command{Op: "pass", ID: x.Txn}) }

// tell says a word on a call. It is kept until the run is heard of again, as it may
// be lost with its link.
func (l *Link) tell(x *exchange.Exchange, word command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[x.Txn]
	if r == nil || r.x != x {
		return // it is over
	}
	r.word, r.wordAt = &word, time.Time{}
	if l.ready {
		r.wordAt = time.Now()
		send(l.conn, word)
	}
}

// Poll asks for the gauges, if there is a link to ask on.
func (l *Link) PollGauges() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ready {
		send(l.conn, command{Op: "poll", Tag: "g" + strconv.FormatUint(l.order, 10)})
	}
}

// Run keeps the link up until ctx ends.
func (l *Link) Run(ctx context.Context) {
	defer l.dropNext()
	wait, logged, at, start := backoffMin, int64(-1), time.Time{}, time.Now()
	for ctx.Err() == nil {
		before := l.Counters.Links.Load()
		if l.again != nil {
			l.again.TryStarted(time.Since(start))
		}
		end, err := l.once(ctx)
		if ctx.Err() != nil {
			return
		}
		if l.Counters.Links.Load() != before { // it was up, however shortly
			wait = backoffMin
			if l.again != nil {
				l.again.Succeeded()
			}
		}
		if end == stream.ClosedLocally {
			l.log.Info("worker pool link moved", "runs", l.OpenRuns())
			continue
		}
		if links := l.Counters.Links.Load(); links != logged || time.Since(at) > downGap {
			logged, at = links, time.Now()
			l.log.Warn("worker pool link ended", "end", end.String(), "err", err, "runs", l.OpenRuns())
		}
		if l.again != nil {
			wait = l.again.Failed(time.Since(start))
		}
		select {
		case <-ctx.Done():
		case <-l.moved:
			wait = backoffMin
			continue
		case <-time.After(wait):
		}
		wait = min(2*wait, backoffMax)
	}
}

// Runs is the number of runs asked for and not known to be over.
func (l *Link) OpenRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// once opens a link and reads from it until it ends.
func (l *Link) once(ctx context.Context) (stream.CloseReason, error) {
	raw, err := l.dial(ctx)
	if err != nil {
		return l.Traffic.NeverOpened(err), err
	}
	c := stream.New(raw, &stream.Lines{Longest: longestLine},
		stream.Limits{In: inLimit, Out: outLimit, StallTimeout: l.await, Linger: lingerTime}, &l.Traffic, nil)
	stop := context.AfterFunc(ctx, func() { c.Abort(stream.ClosedLocally) })
	defer stop()
	linked, unlink := context.WithCancel(ctx)
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		l.follow(linked, c)
	}()
	defer func() { unlink(); <-followed }()
	l.mu.Lock()
	l.conn, l.ready = c, false
	l.tries++
	last := l.last
	l.mu.Unlock()
	send(c, command{Op: "bind", Seq: &last})
	err = l.read(c)
	l.mu.Lock()
	l.conn, l.ready, l.broke = nil, false, time.Now()
	l.mu.Unlock()
	c.Abort(stream.CloseReasonOf(err, stream.ReadFailed))
	<-c.Done()
	if ctx.Err() != nil {
		<-c.WhenClosed() // the process ends: nobody else would read on
	}
	return c.CloseReason(), err
}

// dial opens a connection to the worker pool, or takes the one that follow opened.
func (l *Link) dial(ctx context.Context) (net.Conn, error) {
	l.mu.Lock()
	addr, next := l.addr, l.next
	l.next = nil
	l.mu.Unlock()
	if next != nil {
		return next, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dial worker pool: %w", err)
	}
	return raw, nil
}

// dropNext closes a connection that no link was made of.
func (l *Link) dropNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next != nil {
		_ = l.next.Close()
		l.next = nil
	}
}

// follow waits, while a link is up, for a new address, and lets the link go once
// a connection to that one is open: a node that is told an address at which
// nobody listens yet must not lose the link it has.
func (l *Link) follow(ctx context.Context, c *stream.Conn) {
	select {
	case <-ctx.Done():
		return
	case <-l.moved:
	}
	for wait := backoffMin; ; wait = min(2*wait, backoffMax) {
		raw, err := l.dial(ctx)
		if err == nil {
			l.mu.Lock()
			l.next = raw
			l.mu.Unlock()
			c.Abort(stream.ClosedLocally)
			return
		}
		l.Traffic.NeverOpened(err)
		select {
		case <-ctx.Done():
			return
		case <-l.moved: // newer still
		case <-time.After(wait):
		}
	}
}

func (l *Link) read(c *stream.Conn) error {
	lines := bufio.NewScanner(c)
	lines.Buffer(make([]byte, 0, 8<<10), longestLine+2)
	for {
		// A worker pool that is up answers forty polls a second. A new link does no
		// harm, whatever the silence comes from, and brings what was missed.
		wait := l.await
		if l.isReady() {
			wait = l.quiet
		}
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return fmt.Errorf("bound the wait for a line: %w", err)
		}
		if !lines.Scan() {
			break
		}
		l.line(c, lines.Bytes())
	}
	err := lines.Err()
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return &stream.Error{Reason: stream.ReadStalled, Cause: err}
	}
	if err == nil {
		err = &stream.Error{Reason: stream.PeerClosed}
	}
	return err
}

func (l *Link) isReady() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

func (l *Link) complain(what string, args ...any) {
	l.Counters.BadLines.Add(1)
	if time.Since(l.complained) < complainGap {
		l.muted++
		return
	}
	l.complained = time.Now()
	l.log.Warn(what, append(args, "muted", l.muted)...)
	l.muted = 0
}

// line takes one line; it lives only during the call.
func (l *Link) line(c *stream.Conn, text []byte) {
	var n notice
	if err := json.Unmarshal(text, &n); err != nil {
		l.complain("line from the worker pool not understood", "err", err)
		return
	}
	switch n.Op {
	case "bound":
		l.bound(c, n)
	case "finished":
		if l.fresh(n) {
			l.finished(n)
		}
	case "blocked":
		if l.fresh(n) {
			l.blocked(n)
		}
	case "chatter":
		l.fresh(n)
	case "polled":
		l.mu.Lock()
		if !l.ready && n.Tag == l.barrier() {
			l.resume()
		} else if order, err := strconv.ParseUint(strings.TrimPrefix(n.Tag, "g"), 10, 64); err == nil && order <= l.order {
			l.heard = max(l.heard, order) // commands are read in order: those before the poll were
		}
		l.mu.Unlock()
		l.sink.GaugesRead(n.Values)
	case "unknown":
		l.rejected(n)
	default:
		l.complain("unknown word from the worker pool", "op", clip(n.Op))
	}
}

// barrier is the tag of the poll whose answer ends the replay; the lock must be held.
func (l *Link) barrier() string { return "r" + strconv.Itoa(l.tries) }

// bound starts the replay. What was missed follows; the answer to a poll sent
// now comes after it. Nothing is spawned before: a run that finished while there
// was no link must be known as finished first, or it would run twice.
func (l *Link) bound(c *stream.Conn, n notice) {
	l.mu.Lock()
	if l.ready {
		l.mu.Unlock()
		l.complain("bound twice on one link")
		return
	}
	send(c, command{Op: "poll", Tag: l.barrier()})
	last := l.last
	l.mu.Unlock()
	l.Counters.Links.Add(1)
	l.log.Info("worker pool bound", "began", n.End, "up_ms", n.Ms, "after", last)
	l.sink.WorkerPoolUp(n.End == "chilly", milliseconds(n.Ms))
}

// resume says again what the worker pool may not have heard, and lets new
// commands go out; the lock must be held. A run that it is known to have heard of
// is not asked for again: one that ended since the replay would run twice.
func (l *Link) resume() {
	l.ready = true
	again := make([]*run, 0, len(l.runs))
	for _, r := range l.runs {
		again = append(again, r)
	}
	slices.SortFunc(again, func(a, b *run) int { return cmp.Compare(a.order, b.order) })
	for _, r := range again {
		if !r.sent || r.order > l.heard || l.broke.Sub(r.at) < lostTail {
			if r.sent {
				l.Counters.Restarted.Add(1)
			}
			l.spawn(r)
		}
		if r.word != nil && (r.wordAt.IsZero() || l.broke.Sub(r.wordAt) < lostTail) {
			r.wordAt = time.Now()
			send(l.conn, *r.word)
		}
		if r.stopped {
			send(l.conn, command{Op: "suspend", ID: r.x.Txn})
		}
	}
}

// fresh reports whether a numbered notice is new, and notes its number.
func (l *Link) fresh(n notice) bool {
	l.mu.Lock()
	last := l.last
	if n.Seq > last {
		l.last = n.Seq
	}
	l.mu.Unlock()
	if n.Seq <= last {
		l.Counters.RepeatedNotices.Add(1) // the protocol has them
		return false
	}
	if n.Seq > last+1 {
		l.gap(n.Seq - last - 1)
	}
	return true
}

// gap fails what may have finished unnoticed and must not run again. Safe work
// is simply asked for again: if it still runs, nothing happens.
func (l *Link) gap(missed int64) {
	l.Counters.LostNotices.Add(missed)
	l.mu.Lock()
	l.heard = 0 // what was heard of may have ended unnoticed
	var lost []*run
	for id, r := range l.runs {
		if r.sent && !r.x.Safe {
			lost = append(lost, r)
			delete(l.runs, id)
		}
	}
	l.mu.Unlock()
	l.log.Warn("notices from the worker pool were lost", "missed", missed, "failed", len(lost))
	slices.SortFunc(lost, func(a, b *run) int { return cmp.Compare(a.order, b.order) })
	for _, r := range lost {
		l.Counters.Finished[Error].Add(1)
		l.sink.RunEnded(r.x, Error, 0, nil)
	}
}

func (l *Link) take(id string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	delete(l.runs, id)
	return r
}

func (l *Link) finished(n notice) {
	end, known := ends[n.End]
	if !known {
		l.complain("unknown end of a run", "end", clip(n.End))
		end = Error
	}
	r := l.take(n.ID)
	if r == nil {
		l.complain("end of a run that was not asked for", "id", clip(n.ID))
		l.sink.UnknownRunEnded(n.ID, end, n.Body)
		return
	}
	l.Counters.Finished[end].Add(1)
	l.sink.RunEnded(r.x, end, milliseconds(n.Ms), n.Body)
}

// blocked takes the word that a run stands at a call. A word on an earlier call of
// its was taken.
func (l *Link) blocked(n notice) {
	l.mu.Lock()
	r := l.runs[n.ID]
	if r != nil {
		r.word = nil
	}
	l.mu.Unlock()
	if r == nil {
		l.complain("call of a run that was not asked for", "id", clip(n.ID))
		return
	}
	l.sink.CallNeeded(r.x, n.Body)
}

// rejected takes the word that a command was not carried out. A spawn that was
// not has no run, and never will.
func (l *Link) rejected(n notice) {
	l.complain("command not carried out", "op", clip(n.End), "id", clip(n.ID))
	if n.End != "spawn" {
		return
	}
	if r := l.take(n.ID); r != nil {
		l.Counters.Rejected.Add(1)
		l.Counters.Finished[NeverStarted].Add(1)
		l.sink.RunEnded(r.x, NeverStarted, 0, nil) // an error would pass for a sign of work during a hang
	}
}

func clip(s string) string { return s[:min(len(s), 24)] }

// milliseconds clamps what the worker pool tells to a sane span.
func milliseconds(ms float64) time.Duration {
	return time.Duration(min(max(ms, 0), 1e12) * float64(time.Millisecond))
}
