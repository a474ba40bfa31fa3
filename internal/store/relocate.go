package store

import (
	"slices"
)

// valuesInHoles lists the values that the index, loaded from a checkpoint, has inside the
// holes of a segment. Those whose own bytes are intact can still be read.
func (s *Store) valuesInHoles(victim *segment, holes []span) (items []item) {
	if len(holes) == 0 {
		return nil
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	s.index.Ascend(func(it item) bool {
		if uint64(it.segmentID) == victim.id && !it.deleted() && slices.ContainsFunc(holes, func(h span) bool {
			return int64(it.offset) >= h.from && int64(it.offset) < h.to
		}) {
			items = append(items, it)
		}
		return true
	})
	return items
}

// deletionObsolete reports whether a deletion may be dropped: no older record of its key is
// left, or none can be, since all other segments are younger.
func (s *Store) deletionObsolete(it item, victim *segment) bool {
	if it.staleRecords == 0 {
		return true
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range s.segments {
		if g != victim && g.minSeq < it.seq {
			return false
		}
	}
	return true
}

// applyRelocations makes the index refer to the copies. An entry that was overwritten while
// its copy was made is not changed: the copy is stale then.
func (s *Store) applyRelocations(target *segment, hasLive bool, victims []*segment, list []relocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hasLive {
		s.segments[uint32(target.id)] = target
		s.diskBytes += target.end
	}
	for _, move := range list {
		key := move.staleKey
		if key == "" {
			key = move.from.key
		}
		current, ok := s.index.Get(item{key: key})
		switch {
		case !ok:
		case move.staleKey != "": // the newest record of the key hides one record less
			s.decrementStale(current)
		case current.segmentID == move.from.segmentID && current.offset == move.from.offset:
			s.addLiveBytes(&current, -1)
			if !move.copied {
				s.index.Delete(current)
				continue
			}
			move.to.staleRecords = current.staleRecords
			s.index.ReplaceOrInsert(move.to)
			s.addLiveBytes(&move.to, 1)
			target.minSeq = min(target.minSeq, move.to.seq)
		case !move.from.deleted() && (!move.copied || move.to.deleted()):
			// The record was overwritten meanwhile and counted as stale, and no copy of its
			// value is left.
			s.decrementStale(current)
		}
		if move.copied {
			target.minSeq = min(target.minSeq, move.to.seq)
		}
	}
	for _, victim := range victims {
		if len(victim.faults) > 0 { // entries that could not be copied are lost
			var lost []item
			s.index.Ascend(func(it item) bool {
				if uint64(it.segmentID) == victim.id {
					lost = append(lost, it)
				}
				return true
			})
			for _, it := range lost {
				s.index.Delete(it)
				s.addLiveBytes(&it, -1)
			}
		}
		delete(s.segments, uint32(victim.id))
		s.diskBytes -= victim.end
		s.Stats.Reclaimed.Add(victim.end)
	}
	if hasLive {
		s.Stats.Reclaimed.Add(-target.end)
	}
}

// decrementStale records that one of the records that an item hides was removed; the lock
// must be held.
func (s *Store) decrementStale(it item) {
	if it.staleRecords == 0 {
		return
	}
	it.staleRecords--
	if it.deleted() && it.staleRecords == 0 {
		s.index.Delete(it)
		s.addLiveBytes(&it, -1)
		return
	}
	s.index.ReplaceOrInsert(it)
}
