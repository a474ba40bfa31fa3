// This file owns the one writer: group commit, rotation, and what becomes of a
// segment when the disk fails. It must never acknowledge a write that is not
// as durable as was asked, and never try a failed sync again on the same file.

package store

import (
	"errors"
	"fmt"
	"time"

	"robinmast/internal/store/vfs"
)

// pending is a write that waits for the writer.
type pendingWrite struct {
	ops     []op
	size    int64
	durable bool
	done    func(error)
	task    func() error // run by the writer with all written and synced, instead of a write
}

// doubt says that a segment's bytes from an offset on never counted.
type voidRange struct {
	segmentID uint64
	from      int64
}

// Apply writes a batch and returns when it is as durable as asked. All of it is
// there after a crash, or nothing.
func (s *Store) Apply(b *Batch, d Durability) error {
	done := make(chan error, 1)
	s.ApplyAsync(b, d, func(err error) { done <- err })
	return <-done
}

// Put is Apply of one key.
func (s *Store) Put(key string, value []byte, expiry int64, d Durability) error {
	var b Batch
	b.Put(key, value, expiry)
	return s.Apply(&b, d)
}

// Delete is Apply of one deletion.
func (s *Store) Delete(key string, d Durability) error {
	var b Batch
	b.Delete(key)
	return s.Apply(&b, d)
}

// ApplyAsync is Apply that never waits: done is called once, by the writer's
// goroutine or at once, and must not block.
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

// Sync makes all that was acknowledged durable.
func (s *Store) Sync() error { return s.runInWriter(func() error { return nil }) }

// visit runs f in the writer, with everything before it written and synced.
func (s *Store) runInWriter(f func() error) error {
	done := make(chan error, 1)
	s.enqueue(&pendingWrite{durable: true, done: func(err error) { done <- err }, task: f})
	return <-done
}

func (s *Store) enqueue(p *pendingWrite) {
	s.queueMu.Lock()
	var err error
	switch {
	case s.opt.ReadOnly:
		err = ErrReadOnly
	case s.closed:
		err = ErrClosed
	case s.queuedBytes+p.size > s.opt.QueueBytes && len(s.queue) > 0:
		err = ErrBusy
	default:
		s.queue = append(s.queue, p)
		s.queuedBytes += p.size
	}
	s.queueMu.Unlock()
	if err != nil {
		p.done(err)
		return
	}
	select {
	case s.writerWake <- struct{}{}:
	default:
	}
}

// take empties the queue; last tells that nothing will follow.
func (s *Store) takeQueue() (queue []*pendingWrite, last bool) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	queue, s.queue, s.queuedBytes = s.queue, nil, 0
	return queue, s.closed
}

// write is the writer's goroutine.
func (s *Store) runWriter() {
	defer s.background.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		due := time.Hour
		if s.unsynced {
			due = s.opt.Interval
		}
		timer.Reset(due)
		select {
		case <-s.writerWake:
		case <-timer.C:
			if s.unsynced {
				_ = s.syncActive() // what was acknowledged and can't be synced is written again elsewhere
			}
		}
		queue, last := s.takeQueue()
		for len(queue) > 0 {
			count, size := 0, int64(0)
			for count < len(queue) && queue[count].task == nil && (count == 0 || size+queue[count].size <= maxRecordBody/2) {
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

// commit writes a group of batches, syncs it if one of them asks for that, and
// acknowledges. The index follows the disk: nothing of a group that failed is
// ever seen.
func (s *Store) commit(group []*pendingWrite) {
	err := s.commitGroup(group)
	if err != nil {
		err = wrapDiskFull(err)
		s.Stats.Failures.Add(int64(len(group)))
		if errors.Is(err, ErrFull) {
			s.Stats.Full.Add(int64(len(group)))
		}
	}
	for _, p := range group {
		p.done(err)
	}
}

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
	seq := s.seq // only the writer moves it
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
		s.writeBuffer = appendRecord(s.writeBuffer, g.salt, g.end+int64(len(s.writeBuffer)), g.syncedEnd, write.ops, func(i int, off, overhead int64) {
			items[first+i].offset, items[first+i].meta = uint32(off), packMeta(&write.ops[i], overhead)
		})
		durable = durable || write.durable
	}
	if _, err := g.file.WriteAt(s.writeBuffer, g.end); err != nil {
		s.truncateFailedWrite(g, err)
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
	if s.bytesSinceCheckpoint > max(4*s.opt.Segment, s.checkpointBytes) && !s.opt.Manual {
		s.wakeMaintenance()
	}
	return nil
}

// cut takes back what a failed write may have left behind the end of a segment.
func (s *Store) truncateFailedWrite(g *segment, _ error) {
	if err := g.file.Truncate(g.end); err != nil {
		s.voidRanges = append(s.voidRanges, voidRange{g.id, g.end})
		s.seal(g)
	}
}

// sync syncs a segment and counts the time that took.
func (s *Store) syncSegment(g *segment) error {
	began := time.Now()
	err := g.file.Sync()
	s.Stats.Syncs.Add(1)
	s.Stats.SyncNanos.Add(int64(time.Since(began)))
	return err
}

// settle syncs what was acknowledged as Soon. If that fails the segment is given
// up, and what was acknowledged in it is written again to a new one.
func (s *Store) syncActive() error {
	g := s.active
	if g == nil || g.syncedEnd == g.end {
		s.unsynced = false
		if len(s.voidRanges) > 0 {
			return s.ensureActive()
		}
		return nil
	}
	if err := s.syncSegment(g); err != nil {
		s.abandonSegment(g)
		if err := s.ensureActive(); err != nil {
			return wrapDiskFull(err)
		}
		return s.syncActive()
	}
	g.syncedEnd, s.unsynced = g.end, false
	return nil
}

// giveUp leaves a segment whose sync failed: nobody knows what the disk holds of
// the bytes since the last one. The next segment says that they never counted,
// and holds what was acknowledged of them anew.
func (s *Store) abandonSegment(g *segment) {
	s.Stats.GivenUp.Add(1)
	s.voidRanges = append(s.voidRanges, voidRange{g.id, g.syncedEnd})
	s.unsynced = true // until it stands elsewhere
	s.seal(g)
}

// leave makes a segment one that nothing is appended to.
func (s *Store) seal(g *segment) {
	s.mu.Lock()
	g.sealed = true
	s.mu.Unlock()
	s.previous, s.active = g, nil
}

// rotate leaves the active segment, all of it synced, for a new one.
func (s *Store) rotate() error {
	if err := s.syncActive(); err != nil {
		return err
	}
	if g := s.active; g != nil {
		s.seal(g)
	}
	if !s.opt.Manual {
		s.wakeMaintenance()
	}
	return nil
}

// ensure opens a new segment if there is none to append to, and settles the
// doubts about older ones in it before anything else.
func (s *Store) ensureActive() error {
	if s.active != nil {
		return nil
	}
	newHeader := header{salt: s.opt.Salt()}
	if s.previous != nil {
		newHeader.prev, newHeader.prevEnd = s.previous.id, uint64(s.previous.end)
		for _, d := range s.voidRanges {
			if d.segmentID == s.previous.id {
				newHeader.prevEnd = uint64(min(int64(newHeader.prevEnd), d.from))
			}
		}
	}
	g, err := s.createSegment(&newHeader)
	if err != nil {
		return fmt.Errorf("new segment: %w", err)
	}
	relocated, buf := s.encodeVoided(g)
	if len(buf) > 0 {
		_, err = g.file.WriteAt(buf, g.end)
	}
	if err == nil {
		err = s.syncSegment(g)
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		_ = g.file.Close()
		_ = s.fs.Remove(vfs.Join(s.dir, g.name)) // an empty or unsynced one left behind is told apart when opened
		return fmt.Errorf("new segment %s: %w", g.name, err)
	}
	g.end += int64(len(buf))
	g.syncedEnd = g.end
	s.mu.Lock()
	s.segments[uint32(g.id)] = g
	s.diskBytes += g.end
	for _, m := range relocated {
		if current, ok := s.index.Get(m); ok && current.seq == m.seq && current.segmentID != m.segmentID {
			s.addLiveBytes(&current, -1)
			m.staleRecords = current.staleRecords // the copy left behind never counted
			s.index.ReplaceOrInsert(m)
			s.addLiveBytes(&m, 1)
			g.minSeq = min(g.minSeq, m.seq)
		}
	}
	for _, d := range s.voidRanges {
		if old := s.segments[uint32(d.segmentID)]; old != nil {
			_ = old.file.Truncate(d.from) // the void record says it, should this fail
			s.diskBytes -= old.end - d.from
			old.end = d.from
		}
	}
	s.mu.Unlock()
	s.active, s.voidRanges, s.unsynced = g, nil, false
	return nil
}

// create makes a segment file with its header; nothing is synced yet.
func (s *Store) createSegment(h *header) (*segment, error) {
	s.mu.Lock()
	s.nextID++
	h.id = s.nextID
	s.mu.Unlock()
	name := segmentName(h.id, h.salt, segmentSuffix)
	f, err := s.fs.Create(vfs.Join(s.dir, name))
	if err != nil {
		return nil, err
	}
	if _, err := f.WriteAt(h.encode(), 0); err != nil {
		_ = f.Close()
		_ = s.fs.Remove(vfs.Join(s.dir, name))
		return nil, err
	}
	g := &segment{id: h.id, salt: h.salt, name: name, file: f, end: headerSize, minSeq: ^uint64(0)}
	g.refs.Store(1)
	return g, nil
}

// again encodes, for the segment g, the void records of all doubts and the
// acknowledged entries that stand in doubtful bytes.
func (s *Store) encodeVoided(g *segment) (relocated []item, buf []byte) {
	for _, d := range s.voidRanges {
		buf = appendVoid(buf, g.salt, g.end+int64(len(buf)), d.segmentID, d.from)
		s.mu.RLock()
		var items []item
		s.index.Ascend(func(it item) bool {
			if uint64(it.segmentID) == d.segmentID && int64(it.offset) >= d.from {
				items = append(items, it)
			}
			return true
		})
		old := s.segments[uint32(d.segmentID)]
		s.mu.RUnlock()
		for _, it := range items {
			o := op{key: it.key, expiry: it.expiry, seq: it.seq, delete: it.deleted()}
			if !o.delete {
				var err error
				if o.value, err = s.read(old, it); err != nil {
					continue // it can't be read where it is: nothing better is to be had
				}
			}
			buf = appendRecord(buf, g.salt, g.end+int64(len(buf)), 0, []op{o}, func(_ int, off, overhead int64) {
				it.offset, it.meta = uint32(off), packMeta(&o, overhead)
			})
			it.segmentID = uint32(g.id)
			relocated = append(relocated, it)
		}
	}
	return relocated, buf
}

// room waits for compaction while the disk's bound would be passed.
func (s *Store) waitForSpace(group []*pendingWrite) {
	if s.opt.Manual {
		return
	}
	size := int64(0)
	for _, p := range group {
		size += p.size + recordHeaderSize
	}
	for range 8 {
		s.mu.RLock()
		over := s.diskBytes+size > 2*(s.liveBytes+size)+s.opt.Segment
		s.mu.RUnlock()
		if !over || s.compactionFailing.Load() { // a full disk must not hold up writes: they fail, or still fit
			return
		}
		if s.active != nil && s.active.end-s.active.liveBytes > s.opt.segmentSize()/2 {
			if err := s.rotate(); err != nil {
				return // the write that follows meets the same
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

// finish ends the writer: everything acknowledged is synced.
func (s *Store) syncBeforeExit() {
	_ = s.syncActive() // Close syncs again and tells
}

// Close syncs, leaves a checkpoint, and closes. Writes that wait are done first.
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
