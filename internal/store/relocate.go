package store

import (
	"slices"
)

// within lists the values that the index, by a checkpoint, knows inside holes of
// a segment: those that the damage spared can still be read.
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

// hidesNothing reports whether a deletion may go: no older record of its key is
// left, or none can be, as all other segments are younger.
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

// switchOver makes the index point to the copies. What was overwritten while
// they were made stays as it is: the copy is then what is stale.
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
		case move.staleKey != "": // one record less that the key's newest hides
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
			// It was overwritten meanwhile and counted as stale; no copy of its value is left.
			s.decrementStale(current)
		}
		if move.copied {
			target.minSeq = min(target.minSeq, move.to.seq)
		}
	}
	for _, victim := range victims {
		if len(victim.faults) > 0 { // what could not be read is lost
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

// lessStale notes that one record which the key's newest hides is gone; the lock
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
