// This file owns the line of all counters. It must never change one.

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

// count logs every counter on one line. Requests read are the sum of served,
// refused, failed, cancelled, gone and in_hand; answers queued that of sent,
// dropped and what still waits; connections opened, tries that came to nothing
// included, that of all ends and of those still open.
func (p *parts) count(log *slog.Logger, line string) {
	l, f, k := p.ledger, p.front, p.pool
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var use syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &use) // zeros, should it fail
	cpu := time.Duration(use.Utime.Nano() + use.Stime.Nano())
	heldConnects, heldProbes := f.Delayed()
	args := []any{
		slog.Group("requests",
			"read", l.Read.Load(), "served", l.Count(exchange.EndedServed), "refused", l.Count(exchange.EndedRefused),
			"failed", l.Count(exchange.EndedFailed), "cancelled", l.Count(exchange.EndedCancelled),
			"gone", l.Count(exchange.EndedCallerGone), "in_hand", l.OpenRequests(), "late_answers", l.Late.Load()),
		slog.Group("dispatchers",
			"calls", f.Counters.Calls.Load(), "malformed", f.Counters.Malformed.Load(),
			"cancels", f.Counters.Cancels.Load(), "cancels_unmatched", f.Counters.Unmatched.Load(),
			"health", f.Counters.Health.Load(), "unknown", f.Counters.Unknown.Load(),
			"held_connections", heldConnects, "held_health", heldProbes, "accept_failures", f.Counters.AcceptFailures.Load(), "open", f.Conns(), traffic(&f.Traffic)),
		slog.Group("pool",
			"links", k.Counters.Links.Load(),
			"spawned", k.Counters.Started.Load(), "respawned", k.Counters.Restarted.Load(),
			"suspended", k.Counters.Stopped.Load(), "complete", k.Counters.Finished[pool.Complete].Load(),
			"error", k.Counters.Finished[pool.Error].Load(), "cancelled", k.Counters.Finished[pool.Cancelled].Load(),
			"moot", k.Counters.Finished[pool.NeverStarted].Load(), "rejected", k.Counters.Rejected.Load(),
			"running", k.OpenRuns(), "bad_lines", k.Counters.BadLines.Load(), "lost_notices", k.Counters.LostNotices.Load(),
			"repeated_notices", k.Counters.RepeatedNotices.Load(),
			traffic(&k.Traffic)),
		slog.Group("members", "sent", p.report.Sent.Load(), "failed", p.report.Failed.Load(), traffic(&p.report.Traffic)),
		slog.Group("process",
			"cpu", cpu, "max_rss_kb", use.Maxrss, "heap_kb", m.HeapAlloc>>10, "from_os_kb", m.Sys>>10,
			"gc", m.NumGC, "goroutines", runtime.NumGoroutine(), "descriptors", descriptors(),
			"module_resets", p.node.ModuleResets.Load()),
		slog.Group("keys", "misused", p.node.KeyConflicts.Load()),
	}
	if b := p.below; b != nil {
		args = append(args, slog.Group("below", "calls", b.Calls.Load(), "well", b.Ended[rules.OK].Load(),
			"failed", b.Ended[rules.Failed].Load(), "full", b.Ended[rules.CallRejected].Load(), "timed_out", b.Ended[rules.TimedOut].Load(),
			"connect_failed", b.Ended[rules.ConnectFailed].Load(), "reset", b.Ended[rules.ConnectionReset].Load(),
			"given_up", b.Ended[rules.Cancelled].Load(), traffic(&b.Traffic)))
	}
	if p.memory != nil {
		c, s := &p.memory.Counters, &p.memory.Store().Stats
		syncs := s.Syncs.Load()
		args = append(args, slog.Group("results",
			"intents", c.Intents.Load(), "stored", c.Stored.Load(), "restored", c.Restored.Load(),
			"answered", c.Answered.Load(), "unknown", c.Unknown.Load(), "late_ends", c.Late.Load(),
			"aged", c.Aged.Load(), "evicted", c.Evicted.Load(), "no_room", c.NoRoom.Load(), "failed", c.Failed.Load()),
			slog.Group("store",
				"entries", p.memory.Store().Len(), "batches", s.Batches.Load(), "bytes", s.Bytes.Load(),
				"syncs", syncs, "sync_mean", time.Duration(s.SyncNanos.Load()/max(syncs, 1)), "full", s.Full.Load(),
				"compactions", s.Compactions.Load(), "compaction_failures", s.CompactionFailures.Load(),
				"checkpoints", s.Checkpoints.Load(), "given_up", s.GivenUp.Load(), "damaged", s.Damaged.Load()))
	}
	if p.control != nil {
		sent, failed := int64(0), int64(0)
		for _, l := range p.control.links {
			sent, failed = sent+l.reporter.Sent.Load(), failed+l.reporter.Failed.Load()
		}
		args = append(args, slog.Group("control", "services", len(p.control.links), "sent", sent, "failed", failed))
	}
	if p.back != nil {
		if v := p.back.View(); v != nil {
			c := &p.back.Counters
			args = append(args, slog.Group("comeback", "state", v.State, "asks", round(v.Ask), "warm", round(v.Warm), "memory", v.Memory, "why", v.Why,
				"in_doubt", c.InDoubt.Load(), "snapshots", c.Snapshots.Load(), "priors_dropped", c.Dropped.Load(), "failed_writes", c.Failed.Load()))
		}
	}
	if p.cfg.set.NewShedder != nil && line == linePresent {
		if v, ok := p.node.Shedding(poolsWait); ok {
			args = append(args, slog.Group("together", "others_refuse", round(v.PeerRefusalShare), "short", round(v.Shortage), "walks_ended", round(v.StoppedRetries),
				"advice_spread", round(v.AdviceStretch), "trust", round(v.Trust), "cut", round(v.Threshold), "digest_age", v.DigestAge, "follows", v.Source+1))
		}
	}
	if p.cfg.set.NewPools != nil && line == linePresent { // a loop that has ended shows nothing
		views := p.node.Pools(poolsWait)
		var group []any
		for _, v := range views {
			if (v.Running > 0 || v.Queued > 0 || v.Limit > 0 || v.Refused > 0) && len(group) < mostPools {
				group = append(group, slog.Group(v.Name, "running", v.Running, "held", v.Queued, "limit", round(v.Limit),
					"reserve", round(v.Reserve), "lent", round(v.Lent), "borrowed", round(v.Borrowed), "refused", v.Refused,
					"cheap", v.Cheap, "hangs", v.Hanging))
			}
		}
		args = append(args, slog.Group("pools", group...))
	}
	log.Info(line, args...)
}

// The lines that hold the counters: of a node that serves, and of one that has left.
const (
	linePresent = "counters"
	lineStopped = "node stopped"
)

// Bounds of what is told of pools.
const (
	poolsWait = 200 * time.Millisecond
	mostPools = 32
)

func round(x float64) float64 { return math.Round(100*x) / 100 }

func traffic(t *stream.Traffic) slog.Attr {
	args := []any{
		"opened", t.Opened.Load(), "bytes_in", t.BytesIn.Load(), "bytes_out", t.BytesOut.Load(),
		"queued", t.Queued.Load(), "sent", t.Sent.Load(), "dropped", t.Dropped.Load(),
	}
	for _, e := range stream.CloseReasons() {
		if n := t.Ended[e].Load(); n > 0 {
			args = append(args, "end_"+e.String(), n)
		}
	}
	return slog.Group("link", args...)
}

// descriptors is the number of open file descriptors, 0 if it can't be told.
func descriptors() int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(list)
}
