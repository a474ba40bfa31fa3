package store

import (
	"errors"
	"fmt"
	"time"
)

// pendingWrite is a queued write.
type pendingWrite struct {
	ops     []op
	size    int64
	durable bool
	done    func(error)
	task    func() error // if set, the writer runs it, after all earlier writes are synced, instead of a write
}

// Apply writes a batch and returns once it is as durable as requested. After a crash
// either all of the batch is there or nothing. The errors are ErrTooLarge, ErrBusy,
// ErrFull, ErrReadOnly, ErrClosed, or that of the file system.
func (s *Store) Apply(b *Batch, d Durability) error {
	done := make(chan error, 1)
	s.ApplyAsync(b, d, func(err error) { done <- err })
	return <-done
}

// Put applies a batch that sets one key.
func (s *Store) Put(key string, value []byte, expiry int64, d Durability) error {
	var b Batch
	b.Put(key, value, expiry)
	return s.Apply(&b, d)
}

// Delete applies a batch that deletes one key.
func (s *Store) Delete(key string, d Durability) error {
	var b Batch
	b.Delete(key)
	return s.Apply(&b, d)
}

// ApplyAsync is like Apply but does not wait: done is called once, by the writer's
// goroutine or before ApplyAsync returns, and must not block.
func (s *Store) ApplyAsync(b *Batch, d Durability, done func(error)) {
	if err := b.check(); err != nil {
		done(err)
		return
	}
	if len(b.ops) == 0 {
		done(nil)
		return
	}
	s.enqueue(&pendingWrite{ops: b.ops, size: int64(b.size), durable: d == Durable, done: done})
}

// Sync makes all acknowledged writes durable.
func (s *Store) Sync() error { return s.runInWriter(func() error { return nil }) }

// runInWriter runs f in the writer's goroutine, after all earlier writes are synced.
func (s *Store) runInWriter(f func() error) error {
	done := make(chan error, 1)
	s.enqueue(&pendingWrite{durable: true, done: func(err error) { done <- err }, task: f})
	return <-done
}

// enqueue adds a write to the queue, or calls its done with the error.
func (s *Store) enqueue(write *pendingWrite) {
	s.queueMu.Lock()
	var err error
	switch {
	case s.opt.ReadOnly:
		err = ErrReadOnly
	case s.closed:
		err = ErrClosed
	case s.queuedBytes+write.size > s.opt.QueueBytes && len(s.queue) > 0:
		err = ErrBusy
	default:
		s.queue = append(s.queue, write)
		s.queuedBytes += write.size
	}
	s.queueMu.Unlock()
	if err != nil {
		write.done(err)
		return
	}
	select {
	case s.writerWake <- struct{}{}:
	default:
	}
}

// takeQueue empties the queue; last reports that the store is closed and nothing will follow.
func (s *Store) takeQueue() (queue []*pendingWrite, last bool) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	queue, s.queue, s.queuedBytes = s.queue, nil, 0
	return queue, s.closed
}

// runWriter is the writer's goroutine: it alone appends to the log. It never retries a
// failed sync on the same file.
func (s *Store) runWriter() {
	defer s.background.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		due := time.Hour
		if s.unsynced {
			due = s.opt.SyncInterval
		}
		timer.Reset(due)
		select {
		case <-s.writerWake:
		case <-timer.C:
			if s.unsynced {
				_ = s.syncActive() // if it fails, the acknowledged writes are written again to another segment
			}
		}
		queue, last := s.takeQueue()
		for len(queue) > 0 {
			count, size := 0, int64(0)
			for count < len(queue) && queue[count].task == nil &&
				(count == 0 || size+queue[count].size <= maxRecordBody/2) {
				size += queue[count].size
				count++
			}
			if count > 0 {
				s.commit(queue[:count])
			} else {
				count = 1
				err := s.syncActive()
				if err == nil {
					err = queue[0].task()
				}
				queue[0].done(err)
			}
			queue = queue[count:]
		}
		if last {
			s.syncBeforeExit()
			return
		}
	}
}

// commit writes a group of batches, syncs if one of them is to be durable, and
// acknowledges all of them. The index is updated after the disk, so no part of a group
// that failed is ever visible.
func (s *Store) commit(group []*pendingWrite) {
	err := s.commitGroup(group)
	if err != nil {
		err = wrapDiskFull(err)
		s.Stats.Failures.Add(int64(len(group)))
		if errors.Is(err, ErrFull) {
			s.Stats.Full.Add(int64(len(group)))
		}
	}
	for _, write := range group {
		write.done(err)
	}
}

// commitGroup writes, syncs and indexes a group of batches.
func (s *Store) commitGroup(group []*pendingWrite) error {
	if s.active != nil && s.active.end >= s.opt.segmentSize() {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	s.waitForSpace(group)
	if err := s.ensureActive(); err != nil {
		return err
	}
	g := s.active
	durable := false
	items := make([]item, 0, len(group))
	s.writeBuffer = s.writeBuffer[:0]
	seq := s.seq // only the writer changes it
	for _, write := range group {
		for i := range write.ops {
			seq++
			write.ops[i].seq = seq
		}
		first := len(items)
		for i := range write.ops {
			o := &write.ops[i]
			items = append(items, item{key: o.key, expiry: o.expiry, seq: o.seq, segmentID: uint32(g.id)})
		}
		s.writeBuffer = appendRecord(s.writeBuffer, g.salt, g.end+int64(len(s.writeBuffer)), g.syncedEnd, write.ops,
			func(i int, off, overhead int64) {
				items[first+i].offset, items[first+i].meta = uint32(off), packMeta(&write.ops[i], overhead)
			})
		durable = durable || write.durable
	}
	if _, err := g.file.WriteAt(s.writeBuffer, g.end); err != nil {
		s.truncateFailedWrite(g)
		return fmt.Errorf("write %s: %w", g.name, err)
	}
	size := int64(len(s.writeBuffer))
	if durable {
		if err := s.syncSegment(g); err != nil {
			s.abandonSegment(g)
			return fmt.Errorf("sync %s: %w", g.name, err)
		}
		g.syncedEnd = g.end + size
	}
	s.mu.Lock()
	s.seq = seq
	g.end += size
	s.diskBytes += size
	g.minSeq = min(g.minSeq, seq-uint64(len(items))+1)
	for _, it := range items {
		s.updateIndex(it)
	}
	s.mu.Unlock()
	s.unsynced = !durable
	s.bytesSinceCheckpoint += size
	s.Stats.Batches.Add(int64(len(group)))
	s.Stats.Bytes.Add(size)
	if s.bytesSinceCheckpoint > max(4*s.opt.SlackBytes, s.checkpointBytes) && !s.opt.Manual {
		s.wakeMaintenance()
	}
	return nil
}

// truncateFailedWrite removes the bytes that a failed write may have left after the end of
// a segment. If that fails too, the segment is abandoned.
func (s *Store) truncateFailedWrite(g *segment) {
	if err := g.file.Truncate(g.end); err != nil {
		s.abandonSegment(g)
	}
}

// syncSegment syncs a segment and counts the syncs and their duration.
func (s *Store) syncSegment(g *segment) error {
	began := time.Now()
	err := g.file.Sync()
	s.Stats.Syncs.Add(1)
	s.Stats.SyncNanos.Add(int64(time.Since(began)))
	return err
}

// waitForSpace waits for compaction as long as the group would exceed the bound of disk use.
func (s *Store) waitForSpace(group []*pendingWrite) {
	if s.opt.Manual {
		return
	}
	for range 8 {
		over, activeGarbage := s.spaceNeeded(group)
		if !over || s.compactionFailing.Load() { // a full disk must not delay writes: they fail, or still fit
			return
		}
		if activeGarbage > s.opt.segmentSize()/2 {
			if err := s.rotate(); err != nil {
				return // the write that follows will fail with the same error
			}
		}
		s.wakeMaintenance()
		select {
		case <-s.passDone:
		case <-time.After(250 * time.Millisecond):
			return
		}
	}
}

// spaceNeeded reports whether a group would exceed the bound of disk use, and how many bytes of the active segment
// are garbage. Only the writer may call it.
func (s *Store) spaceNeeded(group []*pendingWrite) (over bool, activeGarbage int64) {
	size := int64(headerSize) // of a new segment, should there be one
	for _, write := range group {
		size += write.size + recordHeaderSize
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.active != nil {
		activeGarbage = s.active.end - s.active.liveBytes
	}
	return s.diskBytes+size > 2*(s.liveBytes+s.newBytes(group))+s.opt.SlackBytes, activeGarbage
}

// newBytes returns by how much a group makes the live data grow at least: what replaces a value or a deletion does not
// count. The lock must be held.
func (s *Store) newBytes(group []*pendingWrite) (n int64) {
	added := map[string]bool{}
	for _, write := range group {
		for i := range write.ops {
			o := &write.ops[i]
			if o.delete || added[o.key] || s.index.Has(item{key: o.key}) {
				continue
			}
			added[o.key] = true
			n += int64(len(o.key) + len(o.value))
		}
	}
	return n
}

// syncBeforeExit syncs all acknowledged writes before the writer ends.
func (s *Store) syncBeforeExit() {
	_ = s.syncActive() // Close has synced before, and returned its error
}

// Close completes the queued writes, syncs, writes a checkpoint and closes the store.
func (s *Store) Close() error {
	var err error
	if !s.opt.ReadOnly {
		err = s.Sync()
		if err == nil {
			err = s.Checkpoint()
		}
	}
	s.queueMu.Lock()
	alreadyClosed := s.closed
	s.closed = true
	s.queueMu.Unlock()
	if alreadyClosed {
		return ErrClosed
	}
	if s.cancel != nil {
		s.cancel()
	}
	select {
	case s.writerWake <- struct{}{}:
	default:
	}
	s.background.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.segments {
		g.release()
	}
	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
	}
	return err
}
