package pool

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"robinmast/internal/stream"
)

// outcomeByWord maps the words of the worker pool's protocol to outcomes.
var outcomeByWord = map[string]Outcome{
	"complete": Complete, "error": Error, "cancelled": Cancelled, "unknown": NeverStarted,
}

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
		l.logBadLine("unknown op from the worker pool", "op", truncate(n.Op))
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
		l.logBadLine("worker pool sent bound twice on one link")
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
// after its previous call has been read then.
func (l *Link) handleBlocked(n notice) {
	l.mu.Lock()
	r := l.runs[n.ID]
	if r != nil {
		r.continuation = nil
	}
	l.mu.Unlock()
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
