package store

import (
	"fmt"

	"robinmast/internal/store/vfs"
)

// voidRange states that the bytes of a segment from an offset on are not valid: they hold
// writes that failed, or that were written again elsewhere.
type voidRange struct {
	segmentID uint64
	from      int64
}

// syncActive syncs the acknowledged Buffered writes. If that fails the segment is
// abandoned, and the acknowledged writes in it are written again to a new one.
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

// abandonSegment seals a segment whose sync failed, or that has bytes of a failed write: what the disk
// holds of the bytes since the last successful sync is unknown, and a repeated sync could succeed without
// them. The next segment voids those bytes and holds the acknowledged writes among them again.
func (s *Store) abandonSegment(g *segment) {
	s.Stats.AbandonedSegments.Add(1)
	s.voidRanges = append(s.voidRanges, voidRange{g.id, g.syncedEnd})
	s.unsynced = true // until it is written to the next segment
	s.seal(g)
}

// seal ends appending to a segment.
func (s *Store) seal(g *segment) {
	s.mu.Lock()
	g.sealed = true
	s.mu.Unlock()
	s.previous, s.active = g, nil
}

// rotate syncs and seals the active segment; the next write creates a new one.
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

// ensureActive creates a new segment if there is none to append to. Its first records are
// the void records of all void ranges and the acknowledged writes that were in them.
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
		return fmt.Errorf("create segment: %w", err)
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
		_ = s.fs.Remove(vfs.Join(s.dir, g.name)) // Open recognizes an empty or unsynced segment
		return fmt.Errorf("create segment %s: %w", g.name, err)
	}
	g.end += int64(len(buf))
	g.syncedEnd = g.end
	s.mu.Lock()
	s.segments[uint32(g.id)] = g
	s.diskBytes += g.end
	for _, m := range relocated {
		if current, ok := s.index.Get(m); ok && current.seq == m.seq && current.segmentID != m.segmentID {
			s.addLiveBytes(&current, -1)
			m.staleRecords = current.staleRecords // the copy in the old segment is void, not stale
			s.index.ReplaceOrInsert(m)
			s.addLiveBytes(&m, 1)
			g.minSeq = min(g.minSeq, m.seq)
		}
	}
	for _, d := range s.voidRanges {
		if old := s.segments[uint32(d.segmentID)]; old != nil {
			_ = old.file.Truncate(d.from) // on an error, the void record has the same effect
			s.diskBytes -= old.end - d.from
			old.end = d.from
		}
	}
	s.mu.Unlock()
	s.active, s.voidRanges, s.unsynced = g, nil, false
	return nil
}

// createSegment creates a segment file and writes its header; it syncs nothing.
func (s *Store) createSegment(h *header) (*segment, error) {
	s.mu.Lock()
	s.lastID++
	h.id = s.lastID
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

// encodeVoided encodes, for the segment g, the void records of all void ranges and the
// acknowledged entries that were written in them.
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
					continue // the only copy can't be read; read recorded the fault
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
