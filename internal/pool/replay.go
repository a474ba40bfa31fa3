package pool

import (
	"cmp"
	"slices"
	"strconv"

	"robinmast/internal/stream"
)

// replayTag returns the tag of the poll whose answer ends the replay; the lock must be held.
func (l *Link) replayTag() string { return "r" + strconv.Itoa(l.links) }

// handleBound starts the replay: the missed notices follow, and then the answer to a poll
// that is sent now. No run is started before that answer: a run that ended while there was
// no link must be known to have ended first, or it would run twice.
func (l *Link) handleBound(c *stream.Conn, n notice) {
	l.mu.Lock()
	if l.bound {
		l.mu.Unlock()
		l.logBadLine("worker pool sent bound twice on one link")
		return
	}
	l.bound = true
	sendCommand(c, command{Op: "poll", Tag: l.replayTag()})
	lastSeq := l.lastSeq
	l.mu.Unlock()
	l.Counters.Links.Add(1)
	l.log.Info("worker pool bound", "began", n.End, "up_ms", n.Ms, "after", lastSeq)
	l.sink.WorkerPoolUp(n.End == "chilly", clampMillis(n.Ms))
}

// endReplay resumes the open runs and lets new commands be sent; the lock must be held. It
// returns the runs that fail, which it has removed.
func (l *Link) endReplay() []*run {
	l.ready = true
	l.abandoned = map[string]struct{}{}
	var failed []*run
	for _, r := range l.openRuns() {
		if l.resume(r) {
			continue
		}
		failed = append(failed, r)
		delete(l.runs, r.x.Txn)
		l.abandoned[r.x.Txn] = struct{}{}
	}
	return failed
}

// openRuns lists the open runs in the order of their commands; the lock must be held.
func (l *Link) openRuns() []*run {
	open := make([]*run, 0, len(l.runs))
	for _, r := range l.runs {
		open = append(open, r)
	}
	slices.SortFunc(open, func(a, b *run) int { return cmp.Compare(a.order, b.order) })
	return open
}

// resume sends the commands about a run that the worker pool has not read; the lock must be
// held. What it may have read and acted on since the replay is sent again only for safe
// runs: the run may have ended, and would happen twice. Any other run is told to stop, and
// resume returns false: it fails.
func (l *Link) resume(r *run) bool {
	switch {
	case !r.sent:
		l.sendSpawn(r)
	case r.x.Safe:
		l.resumeSafe(r)
	case l.spawnInDoubt(r) || l.continuationInDoubt(r):
		l.sendSuspend(r.x)
		return false
	}
	if r.continuation != nil && !r.continuation.sent {
		l.sendContinuation(r)
	}
	if r.stopped || r.restart {
		l.sendSuspend(r.x)
	}
	return true
}

// resumeSafe starts a safe run again that may not have been started: if it runs, the worker
// pool ignores that. One that may have continued after its call is stopped, to be started
// again: the same result could reach it at its next call. The lock must be held.
func (l *Link) resumeSafe(r *run) {
	if l.spawnInDoubt(r) || !r.started && l.linkEnded.Sub(r.sentAt) < unreadWindow {
		l.Counters.Restarted.Add(1)
		l.sendSpawn(r)
	}
	if l.continuationInDoubt(r) {
		r.continuation, r.restart = nil, true
	}
}

// spawnInDoubt reports whether it is unknown if the worker pool has read the command that
// starts a run; the lock must be held.
func (l *Link) spawnInDoubt(r *run) bool { return r.sent && !r.started && r.order > l.readOrder }

// continuationInDoubt reports the same of the command after the run's last call.
func (l *Link) continuationInDoubt(r *run) bool {
	return r.continuation != nil && r.continuation.sent && r.continuation.order > l.readOrder
}

// failRuns reports runs as failed that endReplay removed.
func (l *Link) failRuns(failed []*run) {
	if len(failed) == 0 {
		return
	}
	l.log.Warn("runs failed, as it is unknown what the worker pool has read of them", "runs", len(failed))
	for _, r := range failed {
		l.Counters.InDoubt.Add(1)
		l.Counters.EndedRuns[Error].Add(1)
		l.sink.RunEnded(r.x, Error, 0, nil)
	}
}

// isAbandoned reports whether a run failed at the last replay.
func (l *Link) isAbandoned(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, abandoned := l.abandoned[id]
	return abandoned
}

// handleStoppedForRestart starts a run again that was stopped for that, and reports whether
// it did. One that ended otherwise, or that is to stop by now, has ended.
func (l *Link) handleStoppedForRestart(id string, outcome Outcome) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	if r == nil || !r.restart || r.stopped || outcome != Cancelled {
		return false
	}
	l.Counters.Restarted.Add(1)
	l.lastOrder++
	r.order, r.sent, r.started, r.restart = l.lastOrder, false, false, false
	if l.canSend() {
		l.sendSpawn(r)
	}
	return true
}

// failUnstoppable fails a run that was to be stopped and started again where the worker pool
// does not stop runs: whether it waits for the result of its call cannot be known.
func (l *Link) failUnstoppable(id string) {
	l.mu.Lock()
	r := l.runs[id]
	if r == nil || !r.restart {
		l.mu.Unlock()
		return
	}
	delete(l.runs, id)
	l.mu.Unlock()
	l.failRuns([]*run{r})
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
		r.started = false
	}
	l.mu.Unlock()
	l.log.Warn("notices from the worker pool were lost", "missed", missed, "failed", len(lost))
	slices.SortFunc(lost, func(a, b *run) int { return cmp.Compare(a.order, b.order) })
	for _, r := range lost {
		l.Counters.EndedRuns[Error].Add(1)
		l.sink.RunEnded(r.x, Error, 0, nil)
	}
}
