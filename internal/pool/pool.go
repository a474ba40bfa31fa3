// Package pool implements the pool link, the connection to the worker pool. It keeps the
// link up, sends commands, reads notices, and keeps track of the runs that were started,
// so that a new link neither loses nor repeats one. It does not decide what runs, and only
// reads the request of an exchange. A Link is safe for concurrent use.
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

// Limits and times of the link.
const (
	maxLineBytes       = 24 << 10               // a result of 4 KiB in base64, with a margin
	readBufferBytes    = maxLineBytes + 8<<10   // read buffer
	writeBufferBytes   = 2 << 20                // write buffer: commands of five hundred requests
	dialTimeout        = time.Second            // per attempt
	backoffMin         = 10 * time.Millisecond  // between attempts to connect
	backoffMax         = 500 * time.Millisecond // the same after many
	silenceTimeout     = 2 * time.Second        // without a line, with polls outstanding, the link is replaced
	bindTimeout        = 15 * time.Second       // the same before the worker pool is bound
	badLineLogInterval = 2 * time.Second        // between log lines about malformed input
	downLogInterval    = 5 * time.Second        // between log lines while the worker pool is unreachable
	lingerTimeout      = 100 * time.Millisecond // for the worker pool to close its side of an abandoned link
	unreadWindow       = 100 * time.Millisecond // commands sent this shortly before a link ended may be unread
)

// Outcome is how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	Complete     Outcome = iota // with its result
	Error                       // it failed
	Cancelled                   // it was stopped
	NeverStarted                // nothing was started, as the request had ended
)

// outcomeByWord maps the words of the worker pool's protocol.
var outcomeByWord = map[string]Outcome{
	"complete": Complete, "error": Error, "cancelled": Cancelled, "unknown": NeverStarted,
}

// Sink receives the worker pool's notices. Its methods must not block.
type Sink interface {
	// WorkerPoolUp notifies that the worker pool has been up for since, and whether it
	// started cold. It is called for each link.
	WorkerPoolUp(cold bool, since time.Duration)
	// RunEnded notifies that a run is over; result is set if it is Complete.
	RunEnded(x *exchange.Exchange, end Outcome, took time.Duration, result []byte)
	// CallNeeded notifies that a run waits for a downstream call with this statement,
	// until ContinueWithResult or ContinueWithout.
	CallNeeded(x *exchange.Exchange, statement []byte)
	// GaugesRead delivers the gauges.
	GaugesRead(values []float64)
	// UnknownRunEnded notifies of the end of a run that this process did not start: one
	// of a previous incarnation, if the worker pool outlived it.
	UnknownRunEnded(run string, end Outcome, result []byte)
}

// Counters are the link's counters besides its traffic.
type Counters struct {
	Links           atomic.Int64    // links that the worker pool bound
	Started         atomic.Int64    // runs started
	Restarted       atomic.Int64    // of those, started again on a new link
	Stopped         atomic.Int64    // runs stopped
	EndedRuns       [4]atomic.Int64 // runs by Outcome
	Rejected        atomic.Int64    // runs that the worker pool did not start
	BadLines        atomic.Int64    // malformed or unexpected lines
	LostNotices     atomic.Int64    // notices that were lost
	RepeatedNotices atomic.Int64    // notices received again
}

// run is a run that was started and is not known to be over.
type run struct {
	x       *exchange.Exchange
	order   uint64
	sent    bool      // the command may have reached the worker pool
	sentAt  time.Time // when it was sent last
	stopped bool

	continuation       *command  // the command after its last call, nil = none yet
	continuationSentAt time.Time // when that was sent last, zero = never
}

// Link is the connection to the worker pool, replaced when it ends.
type Link struct {
	Counters Counters
	Traffic  stream.Traffic

	sink           Sink
	log            *slog.Logger
	addressChanged chan struct{} // signalled when addr has changed

	silenceTimeout, bindTimeout time.Duration    // the constants, shorter in tests
	retryBackoff                *backoff.Backoff // of attempts to connect, nil = doubling waits

	mu        sync.Mutex
	addr      string
	nextConn  net.Conn     // connected to a new addr, for the next link
	conn      *stream.Conn // nil while there is no link
	ready     bool         // the replay has ended: commands may be sent
	runs      map[string]*run
	lastOrder uint64
	readOrder uint64    // the worker pool has read the commands of runs up to this order
	linkEnded time.Time // when the last link ended
	lastSeq   int64     // number of the last notice read
	links     int       // links so far, part of the replay's tag

	lastBadLineLog time.Time
	mutedLines     int
}

// New returns a link to the worker pool at addr; Run brings it up.
func New(addr string, sink Sink, log *slog.Logger) *Link {
	return &Link{
		addr: addr, sink: sink, log: log, addressChanged: make(chan struct{}, 1),
		silenceTimeout: silenceTimeout, bindTimeout: bindTimeout, runs: map[string]*run{},
	}
}

// UseBackoff makes attempts to connect wait for random times within a budget, since many
// nodes may lose their worker pools at one moment. It must be called before Run.
func (l *Link) UseBackoff(rnd *rand.Rand) {
	l.retryBackoff = backoff.New(backoff.Settings{
		MinWait: backoffMin, InitialSpan: 4 * backoffMin, MaxSpan: backoffMax, Window: 10 * time.Second, Budget: 60,
	}, rnd)
}

// ChangeAddress moves the link to another address. The present link is used until a
// connection to the new address is open; runs and the numbering of notices continue.
func (l *Link) ChangeAddress(addr string) {
	l.mu.Lock()
	same := l.addr == addr
	l.addr = addr
	l.mu.Unlock()
	if same {
		return
	}
	select {
	case l.addressChanged <- struct{}{}:
	default:
	}
}

// command is a message to the worker pool.
type command struct {
	Op    string  `json:"op"`
	Seq   *int64  `json:"seq,omitempty"`
	ID    string  `json:"id,omitempty"`
	Class string  `json:"class,omitempty"`
	Body  *[]byte `json:"body,omitempty"`
	Tag   string  `json:"tag,omitempty"`
}

// notice is a message from the worker pool.
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

// sendCommand queues a command; the lock must be held. If that fails, the link ends and
// the command is sent again on the next one.
func sendCommand(c *stream.Conn, cmd command) {
	line, err := json.Marshal(cmd)
	if err != nil { // every value of the type can be encoded
		panic(err)
	}
	c.Send(append(line, '\n'))
}

// StartRun starts a run.
func (l *Link) StartRun(x *exchange.Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Counters.Started.Add(1)
	l.lastOrder++
	r := &run{x: x, order: l.lastOrder}
	l.runs[x.Txn] = r
	if l.ready {
		l.sendSpawn(r)
	}
}

// sendSpawn sends the command that starts a run; the lock must be held.
func (l *Link) sendSpawn(r *run) {
	r.sent, r.sentAt = true, time.Now()
	body := r.x.Body
	if body == nil {
		body = []byte{}
	}
	sendCommand(l.conn, command{Op: "spawn", ID: r.x.Txn, Class: r.x.ClassName, Body: &body})
}

// StopRun stops a run. One whose command was never sent ends here.
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
		l.Counters.EndedRuns[Cancelled].Add(1)
		l.mu.Unlock()
		l.sink.RunEnded(x, Cancelled, 0, nil)
		return
	}
	if l.ready {
		sendCommand(l.conn, command{Op: "suspend", ID: x.Txn})
	}
	l.mu.Unlock()
}

// ContinueWithResult lets a run that waits for a downstream call continue with its result.
func (l *Link) ContinueWithResult(x *exchange.Exchange, result []byte) {
	if result == nil {
		result = []byte{}
	}
	l.continueRun(x, command{Op: "supply", ID: x.Txn, Body: &result})
}

// ContinueWithout lets a run that waits for a downstream call continue without it.
func (l *Link) ContinueWithout(x *exchange.Exchange) {
	l.continueRun(x, command{Op: "pass", ID: x.Txn})
}

// continueRun sends the command after a call. It is stored until the next notice about
// the run, as it may be lost with its link.
func (l *Link) continueRun(x *exchange.Exchange, cmd command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[x.Txn]
	if r == nil || r.x != x {
		return // it is over
	}
	r.continuation, r.continuationSentAt = &cmd, time.Time{}
	if l.ready {
		r.continuationSentAt = time.Now()
		sendCommand(l.conn, cmd)
	}
}

// PollGauges requests the gauges, if a link is up.
func (l *Link) PollGauges() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ready {
		sendCommand(l.conn, command{Op: "poll", Tag: "g" + strconv.FormatUint(l.lastOrder, 10)})
	}
}

// Run keeps the link up until ctx ends.
func (l *Link) Run(ctx context.Context) {
	defer l.closeNextConn()
	wait, loggedLinks, loggedAt, start := backoffMin, int64(-1), time.Time{}, time.Now()
	for ctx.Err() == nil {
		before := l.Counters.Links.Load()
		if l.retryBackoff != nil {
			l.retryBackoff.AttemptStarted(time.Since(start))
		}
		reason, err := l.runLink(ctx)
		if ctx.Err() != nil {
			return
		}
		if l.Counters.Links.Load() != before { // it was up, however shortly
			wait = backoffMin
			if l.retryBackoff != nil {
				l.retryBackoff.Succeeded()
			}
		}
		if reason == stream.ClosedLocally {
			l.log.Info("worker pool link moved", "runs", l.OpenRuns())
			continue
		}
		if links := l.Counters.Links.Load(); links != loggedLinks || time.Since(loggedAt) > downLogInterval {
			loggedLinks, loggedAt = links, time.Now()
			l.log.Warn("worker pool link ended", "end", reason.String(), "err", err, "runs", l.OpenRuns())
		}
		if l.retryBackoff != nil {
			wait = l.retryBackoff.Failed(time.Since(start))
		}
		select {
		case <-ctx.Done():
		case <-l.addressChanged:
			wait = backoffMin
			continue
		case <-time.After(wait):
		}
		wait = min(2*wait, backoffMax)
	}
}

// OpenRuns returns the number of runs that were started and are not known to be over.
func (l *Link) OpenRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// runLink opens a link and reads from it until it ends.
func (l *Link) runLink(ctx context.Context) (stream.CloseReason, error) {
	raw, err := l.dial(ctx)
	if err != nil {
		return l.Traffic.CountFailedDial(err), err
	}
	c := stream.New(raw, &stream.Lines{MaxLength: maxLineBytes}, stream.Limits{
		ReadBufferBytes: readBufferBytes, WriteBufferBytes: writeBufferBytes, StallTimeout: l.bindTimeout, Linger: lingerTimeout,
	}, &l.Traffic, nil)
	stop := context.AfterFunc(ctx, func() { c.Abort(stream.ClosedLocally) })
	defer stop()
	linkCtx, cancelLink := context.WithCancel(ctx)
	followerDone := make(chan struct{})
	go func() {
		defer close(followerDone)
		l.followAddress(linkCtx, c)
	}()
	defer func() { cancelLink(); <-followerDone }()
	l.mu.Lock()
	l.conn, l.ready = c, false
	l.links++
	lastSeq := l.lastSeq
	l.mu.Unlock()
	sendCommand(c, command{Op: "bind", Seq: &lastSeq})
	err = l.readLines(c)
	l.mu.Lock()
	l.conn, l.ready, l.linkEnded = nil, false, time.Now()
	l.mu.Unlock()
	c.Abort(stream.CloseReasonOf(err, stream.ReadFailed))
	<-c.Done()
	if ctx.Err() != nil {
		<-c.WhenClosed() // the process ends: nothing reads this connection afterwards
	}
	return c.CloseReason(), err
}

// dial opens a connection to the worker pool, or takes the one that followAddress opened.
func (l *Link) dial(ctx context.Context) (net.Conn, error) {
	l.mu.Lock()
	addr, next := l.addr, l.nextConn
	l.nextConn = nil
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

// closeNextConn closes a connection that no link uses.
func (l *Link) closeNextConn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextConn != nil {
		_ = l.nextConn.Close()
		l.nextConn = nil
	}
}

// followAddress waits, while a link is up, for a new address, and ends the link once a
// connection to the new one is open: a new address at which nothing listens yet must not
// cost the present link.
func (l *Link) followAddress(ctx context.Context, c *stream.Conn) {
	select {
	case <-ctx.Done():
		return
	case <-l.addressChanged:
	}
	for wait := backoffMin; ; wait = min(2*wait, backoffMax) {
		raw, err := l.dial(ctx)
		if err == nil {
			l.mu.Lock()
			l.nextConn = raw
			l.mu.Unlock()
			c.Abort(stream.ClosedLocally)
			return
		}
		l.Traffic.CountFailedDial(err)
		select {
		case <-ctx.Done():
			return
		case <-l.addressChanged: // a newer address
		case <-time.After(wait):
		}
	}
}

// readLines handles the worker pool's lines until the link ends.
func (l *Link) readLines(c *stream.Conn) error {
	lines := bufio.NewScanner(c)
	lines.Buffer(make([]byte, 0, 8<<10), maxLineBytes+2)
	for {
		// A worker pool that is up answers forty polls a second. A new link does no harm,
		// whatever the reason of the silence, and replays the missed notices.
		wait := l.bindTimeout
		if l.isReady() {
			wait = l.silenceTimeout
		}
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return fmt.Errorf("set read deadline: %w", err)
		}
		if !lines.Scan() {
			break
		}
		l.handleLine(c, lines.Bytes())
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

// isReady reports whether the link's replay has ended.
func (l *Link) isReady() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// logBadLine counts a bad line and logs it at a bounded rate.
func (l *Link) logBadLine(what string, args ...any) {
	l.Counters.BadLines.Add(1)
	if time.Since(l.lastBadLineLog) < badLineLogInterval {
		l.mutedLines++
		return
	}
	l.lastBadLineLog = time.Now()
	l.log.Warn(what, append(args, "muted", l.mutedLines)...)
	l.mutedLines = 0
}

// handleLine handles one line; text is valid only during the call.
func (l *Link) handleLine(c *stream.Conn, text []byte) {
	var n notice
	if err := json.Unmarshal(text, &n); err != nil {
		l.logBadLine("malformed line from the worker pool", "err", err)
		return
	}
	switch n.Op {
	case "bound":
		l.handleBound(c, n)
	case "finished":
		if l.acceptSeq(n) {
			l.handleFinished(n)
		}
	case "blocked":
		if l.acceptSeq(n) {
			l.handleBlocked(n)
		}
	case "chatter":
		l.acceptSeq(n)
	case "polled":
		l.mu.Lock()
		if !l.ready && n.Tag == l.replayTag() {
			l.endReplay()
		} else if order, err := strconv.ParseUint(strings.TrimPrefix(n.Tag, "g"), 10, 64); err == nil && order <= l.lastOrder {
			l.readOrder = max(l.readOrder, order) // commands are read in order, so those before the poll were read
		}
		l.mu.Unlock()
		l.sink.GaugesRead(n.Values)
	case "unknown":
		l.handleRejected(n)
	default:
		l.logBadLine("unknown op from the worker pool", "op", clip(n.Op))
	}
}

// replayTag returns the tag of the poll whose answer ends the replay; the lock must be held.
func (l *Link) replayTag() string { return "r" + strconv.Itoa(l.links) }

// handleBound starts the replay: the missed notices follow, and then the answer to a poll
// that is sent now. No run is started before that answer: a run that ended while there was
// no link must be known to have ended first, or it would run twice.
func (l *Link) handleBound(c *stream.Conn, n notice) {
	l.mu.Lock()
	if l.ready {
		l.mu.Unlock()
		l.logBadLine("bound twice on one link")
		return
	}
	sendCommand(c, command{Op: "poll", Tag: l.replayTag()})
	lastSeq := l.lastSeq
	l.mu.Unlock()
	l.Counters.Links.Add(1)
	l.log.Info("worker pool bound", "began", n.End, "up_ms", n.Ms, "after", lastSeq)
	l.sink.WorkerPoolUp(n.End == "chilly", clampMillis(n.Ms))
}

// endReplay sends the commands again that the worker pool may not have read, and lets new
// ones be sent; the lock must be held. A run whose command is known to have been read is
// not started again: one that ended since the replay would run twice.
func (l *Link) endReplay() {
	l.ready = true
	open := make([]*run, 0, len(l.runs))
	for _, r := range l.runs {
		open = append(open, r)
	}
	slices.SortFunc(open, func(a, b *run) int { return cmp.Compare(a.order, b.order) })
	for _, r := range open {
		if !r.sent || r.order > l.readOrder || l.linkEnded.Sub(r.sentAt) < unreadWindow {
			if r.sent {
				l.Counters.Restarted.Add(1)
			}
			l.sendSpawn(r)
		}
		if r.continuation != nil && (r.continuationSentAt.IsZero() || l.linkEnded.Sub(r.continuationSentAt) < unreadWindow) {
			r.continuationSentAt = time.Now()
			sendCommand(l.conn, *r.continuation)
		}
		if r.stopped {
			sendCommand(l.conn, command{Op: "suspend", ID: r.x.Txn})
		}
	}
}

// acceptSeq reports whether a numbered notice is new, and records its number.
func (l *Link) acceptSeq(n notice) bool {
	l.mu.Lock()
	lastSeq := l.lastSeq
	if n.Seq > lastSeq {
		l.lastSeq = n.Seq
	}
	l.mu.Unlock()
	if n.Seq <= lastSeq {
		l.Counters.RepeatedNotices.Add(1) // part of the protocol
		return false
	}
	if n.Seq > lastSeq+1 {
		l.handleLostNotices(n.Seq - lastSeq - 1)
	}
	return true
}

// handleLostNotices fails the runs that may have ended without a notice and must not run
// again. Safe work is started again on the next link: if it still runs, the worker pool
// ignores the command.
func (l *Link) handleLostNotices(missed int64) {
	l.Counters.LostNotices.Add(missed)
	l.mu.Lock()
	l.readOrder = 0 // runs whose commands were read may have ended without a notice
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
		l.Counters.EndedRuns[Error].Add(1)
		l.sink.RunEnded(r.x, Error, 0, nil)
	}
}

// removeRun removes and returns a run, nil if it is unknown.
func (l *Link) removeRun(id string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	delete(l.runs, id)
	return r
}

// handleFinished handles the end of a run.
func (l *Link) handleFinished(n notice) {
	outcome, ok := outcomeByWord[n.End]
	if !ok {
		l.logBadLine("unknown end of a run", "end", clip(n.End))
		outcome = Error
	}
	r := l.removeRun(n.ID)
	if r == nil {
		l.logBadLine("end of a run that was not asked for", "id", clip(n.ID))
		l.sink.UnknownRunEnded(n.ID, outcome, n.Body)
		return
	}
	l.Counters.EndedRuns[outcome].Add(1)
	l.sink.RunEnded(r.x, outcome, clampMillis(n.Ms), n.Body)
}

// handleBlocked handles the notice that a run waits for a downstream call. The command
// after its previous call has been read then.
func (l *Link) handleBlocked(n notice) {
	l.mu.Lock()
	r := l.runs[n.ID]
	if r != nil {
		r.continuation = nil
	}
	l.mu.Unlock()
	if r == nil {
		l.logBadLine("call of a run that was not asked for", "id", clip(n.ID))
		return
	}
	l.sink.CallNeeded(r.x, n.Body)
}

// handleRejected handles the notice that a command was not carried out. A rejected spawn
// has no run and will never have one.
func (l *Link) handleRejected(n notice) {
	l.logBadLine("command rejected by the worker pool", "op", clip(n.End), "id", clip(n.ID))
	if n.End != "spawn" {
		return
	}
	if r := l.removeRun(n.ID); r != nil {
		l.Counters.Rejected.Add(1)
		l.Counters.EndedRuns[NeverStarted].Add(1)
		l.sink.RunEnded(r.x, NeverStarted, 0, nil) // Error would count as progress of a hanging worker pool
	}
}

// clip bounds a text of the worker pool for the log.
func clip(s string) string { return s[:min(len(s), 24)] }

// clampMillis converts milliseconds from the worker pool, clamped to 0 to 1e12.
func clampMillis(ms float64) time.Duration {
	return time.Duration(min(max(ms, 0), 1e12) * float64(time.Millisecond))
}
