package store

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	sweepInterval     = time.Second            // between sweeps of expired entries
	initialRetryDelay = 200 * time.Millisecond // after a failed pass; doubled up to maxRetryDelay
	maxRetryDelay     = 30 * time.Second
)

// wakeMaintenance wakes the maintenance goroutine.
func (s *Store) wakeMaintenance() {
	select {
	case s.maintenanceWake <- struct{}{}:
	default:
	}
}

// runMaintenance is the goroutine that sweeps expired entries, compacts and writes
// checkpoints.
func (s *Store) runMaintenance(ctx context.Context) {
	defer s.background.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	retryDelay, retryAt := initialRetryDelay, time.Time{}
	// Stores on one disk that are opened together should not compact together, unless disk use
	// is over its bound.
	startAt := time.Time{}
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
		_ = s.runInWriter(func() error {
			due = s.bytesSinceCheckpoint > max(4*s.opt.Segment, s.checkpointBytes)
			return nil
		})
		if due && ctx.Err() == nil {
			_ = s.Checkpoint() // a failure is counted; the log is complete without a checkpoint
		}
	}
}

// overDiskBound reports whether the segments exceed the bound of disk use.
func (s *Store) overDiskBound() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.diskBytes > 2*s.liveBytes+s.opt.Segment
}

// throttle waits as long as n more bytes take at Options.CompactionRate, unless disk use is
// close to its bound: writers would have to wait for the compaction then.
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
