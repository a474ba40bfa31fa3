package main

import (
	"log/slog"
	"math"
	"os"
	"runtime"
	"syscall"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/internal/stream"
	"robinmast/rules"
)

// logCounters logs all counters on one line with the message line. Three sums hold: requests
// read are those served, refused, failed, cancelled, gone and in_hand; messages queued on a
// link are those sent, dropped and still waiting; connections opened, failed attempts
// included, are those of all end_ counters and those still open.
func (p *runningNode) logCounters(log *slog.Logger, message string) {
	requests, dispatchers, workers := p.requests, p.front, p.pool
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // all zero if it fails
	cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	delayedConnects, delayedProbes := dispatchers.Delayed()
	args := []any{
		slog.Group("requests",
			"read", requests.Read.Load(), "served", requests.Count(exchange.EndedServed),
			"refused", requests.Count(exchange.EndedRefused), "failed", requests.Count(exchange.EndedFailed),
			"cancelled", requests.Count(exchange.EndedCancelled), "gone", requests.Count(exchange.EndedCallerGone),
			"in_hand", requests.OpenRequests(), "late_answers", requests.LateAnswers.Load()),
		slog.Group("dispatchers",
			"calls", dispatchers.Counters.Calls.Load(), "malformed", dispatchers.Counters.Malformed.Load(),
			"cancels", dispatchers.Counters.Cancels.Load(), "cancels_unmatched", dispatchers.Counters.Unmatched.Load(),
			"health", dispatchers.Counters.Health.Load(), "unknown", dispatchers.Counters.Unknown.Load(),
			"held_connections", delayedConnects, "held_health", delayedProbes,
			"accept_failures", dispatchers.Counters.AcceptFailures.Load(), "held_requests", p.node.IntakeWaits(),
			"read_waits", dispatchers.ReadWaits(), "open", dispatchers.Conns(),
			traffic(&dispatchers.Traffic)),
		slog.Group("pool",
			"links", workers.Counters.Links.Load(),
			"spawned", workers.Counters.Started.Load(), "respawned", workers.Counters.Restarted.Load(), "in_doubt", workers.Counters.InDoubt.Load(),
			"suspended", workers.Counters.Stopped.Load(),
			"complete", workers.Counters.EndedRuns[pool.Complete].Load(), "error", workers.Counters.EndedRuns[pool.Error].Load(),
			"cancelled", workers.Counters.EndedRuns[pool.Cancelled].Load(),
			"moot", workers.Counters.EndedRuns[pool.NeverStarted].Load(), "rejected", workers.Counters.Rejected.Load(),
			"running", workers.OpenRuns(), "bad_lines", workers.Counters.BadLines.Load(),
			"lost_notices", workers.Counters.LostNotices.Load(),
			"repeated_notices", workers.Counters.RepeatedNotices.Load(),
			traffic(&workers.Traffic)),
		slog.Group("members", "sent", p.members.Sent.Load(), "failed", p.members.Failed.Load(), traffic(&p.members.Traffic)),
		slog.Group("process",
			"cpu", cpu, "max_rss_kb", usage.Maxrss, "heap_kb", m.HeapAlloc>>10, "from_os_kb", m.Sys>>10,
			"gc", m.NumGC, "goroutines", runtime.NumGoroutine(), "descriptors", descriptors(),
			"module_resets", p.node.ModuleResets.Load()),
		slog.Group("keys", "misused", p.node.KeyConflicts.Load(), "repeated_ids", p.node.RepeatedTxns.Load()),
	}
	if calls := p.dependency; calls != nil {
		args = append(args, slog.Group("below",
			"calls", calls.Calls.Load(), "well", calls.Ended[rules.OK].Load(),
			"failed", calls.Ended[rules.Failed].Load(), "full", calls.Ended[rules.CallRejected].Load(),
			"timed_out", calls.Ended[rules.TimedOut].Load(), "connect_failed", calls.Ended[rules.ConnectFailed].Load(),
			"reset", calls.Ended[rules.ConnectionReset].Load(),
			"given_up", calls.Ended[rules.Cancelled].Load(), traffic(&calls.Traffic)))
	}
	if p.results != nil {
		args = append(args, p.resultGroups()...)
	}
	if p.control != nil {
		sent, failed := int64(0), int64(0)
		for _, l := range p.control.links {
			sent, failed = sent+l.reporter.Sent.Load(), failed+l.reporter.Failed.Load()
		}
		args = append(args, slog.Group("control", "services", len(p.control.links), "sent", sent, "failed", failed))
	}
	if p.recovery != nil {
		if v := p.recovery.View(); v != nil {
			c := &p.recovery.Counters
			args = append(args, slog.Group("comeback",
				"state", v.State, "asks", round(v.RequestedShare), "warm", round(v.Speed), "memory", v.Integrity,
				"why", v.IntegrityReason,
				"in_doubt", c.InDoubt.Load(), "snapshots", c.Snapshots.Load(),
				"priors_dropped", c.Discarded.Load(), "failed_writes", c.FailedWrites.Load()))
		}
	}
	if p.cfg.nodeSettings.NewShedder != nil && message == countersMessage {
		if v, ok := p.node.Shedding(viewTimeout); ok {
			args = append(args, slog.Group("together",
				"others_refuse", round(v.PeerRefusalShare), "short", round(v.Shortage),
				"walks_ended", round(v.StoppedRetries), "advice_spread", round(v.RetryAfterFactor), "trust", round(v.Trust),
				"cut", round(v.Threshold), "digest_age", v.DigestAge, "follows", v.Source+1))
		}
	}
	if p.cfg.nodeSettings.NewPools != nil && message == countersMessage { // the decision loop answers only while it runs
		args = append(args, p.poolsGroup())
	}
	log.Info(message, args...)
}

// resultGroups returns the counters of the result cache and of its store.
func (p *runningNode) resultGroups() []any {
	c, s := &p.results.Counters, &p.results.Store().Stats
	syncs := s.Syncs.Load()
	return []any{slog.Group("results",
		"intents", c.Intents.Load(), "stored", c.Stored.Load(), "restored", c.Restored.Load(),
		"answered", c.Answered.Load(), "unknown", c.Unknown.Load(), "late_ends", c.LateEnds.Load(),
		"aged", c.Expired.Load(), "evicted", c.Evicted.Load(), "no_room", c.NoRoom.Load(), "failed", c.Failed.Load(),
		"superseded", c.Superseded.Load()),
		slog.Group("store",
			"entries", p.results.Store().Len(), "batches", s.Batches.Load(), "bytes", s.Bytes.Load(),
			"syncs", syncs, "sync_mean", time.Duration(s.SyncNanos.Load()/max(syncs, 1)), "full", s.Full.Load(),
			"compactions", s.Compactions.Load(), "compaction_failures", s.CompactionFailures.Load(),
			"checkpoints", s.Checkpoints.Load(), "given_up", s.AbandonedSegments.Load(), "damaged", s.Damaged.Load())}
}

// poolsGroup returns the state of the concurrency pools that are or were in use.
func (p *runningNode) poolsGroup() slog.Attr {
	views := p.node.Pools(viewTimeout)
	var group []any
	for _, v := range views {
		if (v.Running > 0 || v.Queued > 0 || v.Limit > 0 || v.Refused > 0) && len(group) < maxLoggedPools {
			group = append(group, slog.Group(v.Name, "running", v.Running, "held", v.Queued, "limit", round(v.Limit),
				"reserve", round(v.Reserve), "lent", round(v.Lent), "borrowed", round(v.Borrowed), "refused", v.Refused,
				"cheap", v.Cheap, "hangs", v.Hanging))
		}
	}
	return slog.Group("pools", group...)
}

// Messages of the lines that hold the counters: of a node that serves, and of one that has left.
const (
	countersMessage = "counters"
	stoppedMessage  = "node stopped"
)

// Limits of what is logged about shedding and pools.
const (
	viewTimeout    = 200 * time.Millisecond
	maxLoggedPools = 32
)

// round rounds to two decimals.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// traffic returns the counters of one kind of connections as the group link.
func traffic(t *stream.Traffic) slog.Attr {
	args := []any{
		"opened", t.Opened.Load(), "bytes_in", t.BytesIn.Load(), "bytes_out", t.BytesOut.Load(),
		"queued", t.Queued.Load(), "sent", t.Sent.Load(), "dropped", t.Dropped.Load(),
	}
	for _, e := range stream.CloseReasons() {
		if n := t.Closed[e].Load(); n > 0 {
			args = append(args, "end_"+e.String(), n)
		}
	}
	return slog.Group("link", args...)
}

// descriptors returns the number of open file descriptors, 0 if it is unknown.
func descriptors() int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(list)
}
