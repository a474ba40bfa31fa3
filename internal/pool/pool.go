// Package pool implements the pool link, the connection to the worker pool. It keeps the
// link up, sends commands, reads notices, and keeps track of the runs that were started,
// so that a new link neither loses nor repeats one. It does not decide what runs, and only
// reads the request of an exchange. A Link is safe for concurrent use.
package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
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
	backoffMax         = 500 * time.Millisecond // the same after many failures
	silenceTimeout     = 2 * time.Second        // without a line, with polls outstanding, the link is replaced
	bindTimeout        = 15 * time.Second       // the same before the worker pool is bound
	badLineLogInterval = 2 * time.Second        // between log lines about malformed input
	downLogInterval    = 5 * time.Second        // between log lines while the worker pool is unreachable
	lingerTimeout      = 100 * time.Millisecond // for the worker pool to close its side of an abandoned link
	unreadWindow       = 100 * time.Millisecond // safe runs started this shortly before a link ended are started again
	settleTimeout      = 100 * time.Millisecond // for the worker pool to read what was sent on a link that moves
)

// Outcome is how a run ended, as the worker pool reports it.
type Outcome uint8

// The outcomes of a run.
const (
	Complete     Outcome = iota // with its result
	Error                       // it failed
	Cancelled                   // it was stopped
	NeverStarted                // nothing was started, as the request had ended
)

// Sink receives the worker pool's notices. Its methods must not block, except for
// UnknownRunEnded, which only the link's reader calls.
type Sink interface {
	// WorkerPoolUp notifies that the worker pool has been up for since, and whether it
	// started cold. It is called for each link that the worker pool binds.
	WorkerPoolUp(cold bool, since time.Duration)
	// RunEnded notifies that a run is over; result is set if it is Complete.
	RunEnded(x *exchange.Exchange, outcome Outcome, took time.Duration, result []byte)
	// CallNeeded notifies that a run waits for a downstream call with this statement,
	// until ContinueWithResult or ContinueWithout.
	CallNeeded(x *exchange.Exchange, statement []byte)
	// GaugesRead delivers the gauges that the worker pool measured.
	GaugesRead(values []float64)
	// UnknownRunEnded notifies of the end of a run that this process did not start: one
	// of a previous incarnation, if the worker pool outlived it.
	UnknownRunEnded(run string, outcome Outcome, result []byte)
}

// Counters are the link's counters besides its traffic.
type Counters struct {
	Links           atomic.Int64    // links that the worker pool bound
	Started         atomic.Int64    // runs started
	Restarted       atomic.Int64    // of those, started again after a link ended
	InDoubt         atomic.Int64    // of those, failed because it is unknown what the worker pool has read
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
	order   uint64    // number of the command that starts it
	sent    bool      // that command may have reached the worker pool
	sentAt  time.Time // when it was queued to be sent last
	started bool      // a notice has shown that the worker pool started it
	stopped bool      // StopRun was called
	restart bool      // it was told to stop, and is started again once it has
	atCall  bool      // it waits for a downstream call that the sink was notified of

	continuation *continuation // the command after its last call, nil = none, or known to have been read
}

// continuation is the command that lets a run continue after a downstream call.
type continuation struct {
	command
	order uint64 // its number
	sent  bool   // it may have reached the worker pool
}

// Link is the connection to the worker pool, replaced when it ends.
type Link struct {
	Counters Counters
	Traffic  stream.Traffic

	sink           Sink
	log            *slog.Logger
	addressChanged chan struct{} // signalled when addr has changed

	silenceTimeout, bindTimeout, settleTimeout time.Duration    // the constants, other ones in tests
	retryBackoff                               *backoff.Backoff // of attempts to connect, nil = doubling waits

	mu        sync.Mutex
	addr      string
	nextConn  net.Conn        // connected to a changed addr, for the next link; nil = none
	conn      *stream.Conn    // nil while there is no link
	bound     bool            // the worker pool has answered bind
	ready     bool            // the replay has ended
	settling  *settling       // set while the link is about to move: no commands are sent
	runs      map[string]*run // by transaction name
	lastOrder uint64          // number of the last command that starts or continues a run
	readOrder uint64          // the worker pool has read these commands up to this number
	linkEnded time.Time       // when the last link ended that had been ready
	lastSeq   int64           // number of the last notice read
	links     int             // links opened so far, part of the replay's tag

	// abandoned holds the transaction names of the runs that were stopped and failed at
	// the last replay. Notices about them are expected.
	abandoned map[string]struct{}

	lastBadLineLog  time.Time
	suppressedLines int // not logged since
}

// New returns a link to the worker pool at addr that passes notices to sink; Run brings it up.
func New(addr string, sink Sink, log *slog.Logger) *Link {
	return &Link{
		addr: addr, sink: sink, log: log, addressChanged: make(chan struct{}, 1),
		silenceTimeout: silenceTimeout, bindTimeout: bindTimeout, settleTimeout: settleTimeout,
		runs: map[string]*run{},
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

// command is a message to the worker pool, one line of JSON.
type command struct {
	Op    string  `json:"op"`
	Seq   *int64  `json:"seq,omitempty"` // bind: number of the last notice read
	ID    string  `json:"id,omitempty"`  // transaction name of the run
	Class string  `json:"class,omitempty"`
	Body  *[]byte `json:"body,omitempty"` // spawn: of the request; supply: result of the call
	Tag   string  `json:"tag,omitempty"`  // poll: comes back in its answer
}

// sendCommand queues a command. If that fails, the link ends and the command is sent again on
// the next one. The lock must be held, so that commands are queued in one order, except for
// bind, which is the first command of a link.
func sendCommand(c *stream.Conn, cmd command) {
	line, err := json.Marshal(cmd)
	if err != nil { // every value of the type can be encoded
		panic(err)
	}
	c.Send(append(line, '\n'))
}

// StartRun starts the run of a request, once the link is ready. It fails one of the name of a run that failed at the last
// replay and may still be in progress: their notices could not be distinguished.
func (l *Link) StartRun(x *exchange.Exchange) {
	l.Counters.Started.Add(1)
	if l.isAbandoned(x.Txn) {
		l.Counters.EndedRuns[Error].Add(1)
		l.sink.RunEnded(x, Error, 0, nil)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastOrder++
	r := &run{x: x, order: l.lastOrder}
	l.runs[x.Txn] = r
	if l.canSend() {
		l.sendSpawn(r)
	}
}

// canSend reports whether commands may be sent; the lock must be held. Those that may not
// are sent at the end of the next replay.
func (l *Link) canSend() bool { return l.ready && l.settling == nil }

// sendSpawn sends the command that starts a run; the lock must be held.
func (l *Link) sendSpawn(r *run) {
	r.sent, r.sentAt, r.atCall = true, time.Now(), false
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
	if l.canSend() {
		l.sendSuspend(x)
	}
	l.mu.Unlock()
}

// sendSuspend sends the command that stops a run; the lock must be held.
func (l *Link) sendSuspend(x *exchange.Exchange) {
	sendCommand(l.conn, command{Op: "suspend", ID: x.Txn})
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
	l.lastOrder++
	r.atCall = false
	r.continuation = &continuation{command: cmd, order: l.lastOrder}
	if l.canSend() {
		l.sendContinuation(r)
	}
}

// sendContinuation sends the command after a run's last call; the lock must be held.
func (l *Link) sendContinuation(r *run) {
	r.continuation.sent = true
	sendCommand(l.conn, r.continuation.command)
}

// PollGauges requests the gauges, if a link is up.
func (l *Link) PollGauges() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.canSend() {
		sendCommand(l.conn, command{Op: "poll", Tag: gaugeTagPrefix + strconv.FormatUint(l.lastOrder, 10)})
	}
}

// Run keeps the link up until ctx ends. It must be called once.
func (l *Link) Run(ctx context.Context) {
	defer l.closeNextConn()
	wait, loggedLinks, loggedAt, start := backoffMin, int64(-1), time.Time{}, time.Now()
	for ctx.Err() == nil {
		linksBefore := l.Counters.Links.Load()
		if l.retryBackoff != nil {
			l.retryBackoff.AttemptStarted(time.Since(start))
		}
		reason, err := l.runLink(ctx)
		if ctx.Err() != nil {
			return
		}
		if l.Counters.Links.Load() != linksBefore { // it was up, however shortly
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

// runLink opens a link and reads from it until it ends. It returns the close reason and its cause.
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
	l.conn, l.bound, l.ready = c, false, false
	l.links++
	lastSeq := l.lastSeq
	l.mu.Unlock()
	sendCommand(c, command{Op: "bind", Seq: &lastSeq})
	err = l.readLines(c)
	l.mu.Lock()
	if l.ready {
		l.linkEnded = time.Now()
	}
	l.conn, l.ready, l.settling = nil, false, nil
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
