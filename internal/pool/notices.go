package pool

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"robinmast/internal/stream"
)

// outcomeByWord maps the words of the worker pool's protocol to outcomes.
var outcomeByWord = map[string]Outcome{
	"complete": Complete, "error": Error, "cancelled": Cancelled, "unknown": NeverStarted,
}

// gaugeTagPrefix begins the tags of PollGauges. The number of the last command that was
// sent before the poll follows.
const gaugeTagPrefix = "g"

// notice is a message from the worker pool, one line of JSON.
type notice struct {
	Op     string    `json:"op"`
	End    string    `json:"end"`  // finished: outcome; bound: how the pool started; unknown: op of the command
	Ms     float64   `json:"ms"`   // finished: how long the run took; bound: how long the pool has been up
	Seq    int64     `json:"seq"`  // number of a notice that is replayed on a new link, from 1
	ID     string    `json:"id"`   // transaction name of the run
	Body   []byte    `json:"body"` // finished: result; blocked: statement of the call
	Tag    string    `json:"tag"`
	Values []float64 `json:"values"`
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

// logBadLine counts a malformed or unexpected line and logs it at a bounded rate.
func (l *Link) logBadLine(message string, args ...any) {
	l.Counters.BadLines.Add(1)
	if time.Since(l.lastBadLineLog) < badLineLogInterval {
		l.suppressedLines++
		return
	}
	l.lastBadLineLog = time.Now()
	l.log.Warn(message, append(args, "muted", l.suppressedLines)...)
	l.suppressedLines = 0
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
		l.handlePolled(n)
	case "unknown":
		l.handleRejected(n)
	default:
		l.logBadLine("unknown op from the worker pool", "op", truncate(n.Op))
	}
}

// handlePolled handles the answer to a poll. Commands are read in order, so that those
// before the poll were read.
func (l *Link) handlePolled(n notice) {
	var failed []*run
	l.mu.Lock()
	switch {
	case !l.ready:
		if n.Tag == l.replayTag() && l.settling == nil {
			failed = l.endReplay()
		}
	case l.settling != nil && n.Tag == l.settling.tag():
		l.handleSettled()
	default:
		text, isGaugePoll := strings.CutPrefix(n.Tag, gaugeTagPrefix)
		order, err := strconv.ParseUint(text, 10, 64)
		if isGaugePoll && err == nil && order <= l.lastOrder {
			l.readOrder = max(l.readOrder, order)
		}
	}
	l.mu.Unlock()
	l.failRuns(failed)
	l.sink.GaugesRead(n.Values)
}

// removeRun removes the run with this transaction name and returns it, nil if it is unknown.
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
		l.logBadLine("unknown run outcome from the worker pool", "end", truncate(n.End))
		outcome = Error
	}
	if l.handleStoppedForRestart(n.ID, outcome) || l.isAbandoned(n.ID) {
		return
	}
	r := l.removeRun(n.ID)
	if r == nil {
		l.logBadLine("end of an unknown run", "id", truncate(n.ID))
		l.sink.UnknownRunEnded(n.ID, outcome, n.Body)
		return
	}
	l.Counters.EndedRuns[outcome].Add(1)
	l.sink.RunEnded(r.x, outcome, clampMillis(n.Ms), n.Body)
}

// handleBlocked handles the notice that a run waits for a downstream call. The command
// after its previous call has been read then. A run waits for one call at a time, so that
// the statements that the sink holds are bounded by the runs.
func (l *Link) handleBlocked(n notice) {
	l.mu.Lock()
	r := l.runs[n.ID]
	restart, atCall := r != nil && r.restart, r != nil && r.atCall
	if r != nil {
		r.started, r.atCall, r.continuation = true, true, nil
	}
	l.mu.Unlock()
	if atCall {
		l.logBadLine("downstream call of a run that waits for one already", "id", truncate(n.ID))
		return
	}
	if restart || l.isAbandoned(n.ID) {
		return // it is being stopped, and must not get the result of a call that belongs to its next start
	}
	if r == nil {
		l.logBadLine("downstream call of an unknown run", "id", truncate(n.ID))
		return
	}
	l.sink.CallNeeded(r.x, n.Body)
}

// handleRejected handles the notice that a command was not carried out. A rejected spawn
// has no run and will never have one.
func (l *Link) handleRejected(n notice) {
	l.logBadLine("command rejected by the worker pool", "op", truncate(n.End), "id", truncate(n.ID))
	if n.End == "suspend" {
		l.failUnstoppable(n.ID)
	}
	if n.End != "spawn" {
		return
	}
	if r := l.removeRun(n.ID); r != nil {
		l.Counters.Rejected.Add(1)
		l.Counters.EndedRuns[NeverStarted].Add(1)
		l.sink.RunEnded(r.x, NeverStarted, 0, nil) // Error would count as progress of a hanging worker pool
	}
}

// truncate shortens a text of the worker pool for a log line.
func truncate(s string) string { return s[:min(len(s), 24)] }

// clampMillis converts milliseconds from the worker pool, clamped to 0 to 1e12.
func clampMillis(ms float64) time.Duration {
	return time.Duration(min(max(ms, 0), 1e12) * float64(time.Millisecond))
}
