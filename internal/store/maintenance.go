package store

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	sweepInterval     = time.Second            // between looks at expired entries
	initialRetryDelay = 200 * time.Millisecond // after a pass that failed, doubled up to retryMost
	maxRetryDelay     = 30 * time.Second
)

// poked wakes the upkeep.
func (s *Store) wakeMaintenance() {
	select {
	case s.maintenanceWake <- struct{}{}:
	default:
	}
}

// keep is the goroutine of upkeep: sweeps, compaction, checkpoints.
func (s *Store) runMaintenance(ctx context.Context) {
	defer s.background.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	retryDelay, retryAt := initialRetryDelay, time.Time{}
	startAt := time.Time{} // many stores on one disk that open together do not work on it together
	if s.opt.Spread > 0 {
		startAt = time.Now().Add(time.Duration(s.opt.Salt() % uint64(s.opt.Spread)))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sweep()
		case <-s.maintenanceWake:
		}
		if now := time.Now(); now.Before(retryAt) || now.Before(startAt) && !s.overDiskBound() {
			continue
		}
		for ctx.Err() == nil {
			again, err := s.compactOnce(ctx, false)
			if err != nil && ctx.Err() == nil {
				retryAt = time.Now().Add(retryDelay)
				retryDelay = min(2*retryDelay, maxRetryDelay)
				break
			}
			retryDelay = initialRetryDelay
			if !again {
				break
			}
		}
		select {
		case s.passDone <- struct{}{}:
		default:
		}
		due := false
		_ = s.runInWriter(func() error { due = s.bytesSinceCheckpoint > max(4*s.opt.Segment, s.checkpointBytes); return nil })
		if due && ctx.Err() == nil {
			_ = s.Checkpoint() // counted; the log tells everything without it
		}
	}
}

// overBound reports whether the disk holds more than it should.
func (s *Store) overDiskBound() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.diskBytes > 2*s.liveBytes+s.opt.Segment
}

// pace waits as long as n more bytes need at the allowed rate, unless the disk's
// bound is near: then foreground work is what waits.
func (s *Store) throttle(ctx context.Context, n int) error {
	if s.limiter.Limit() == rate.Inf || s.opt.Manual {
		return ctx.Err()
	}
	s.mu.RLock()
	urgent := s.diskBytes > 2*s.liveBytes+s.opt.Segment/2
	s.mu.RUnlock()
	if urgent {
		return ctx.Err()
	}
	for n > 0 {
		part := min(n, s.limiter.Burst())
		if err := s.limiter.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}
