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

// applyCopies makes the index refer to the copies, and counts the bytes of the victims as free. An entry that was
// overwritten while its copy was made is not changed: the copy is stale then.
func (s *Store) applyCopies(target *segment, hasLive bool, victims []*segment, list []relocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hasLive {
		s.segments[uint32(target.id)] = target
		s.diskBytes += target.end
		s.Stats.Reclaimed.Add(-target.end)
	}
	for i := range list {
		move := &list[i]
		if !move.copied {
			continue
		}
		target.minSeq = min(target.minSeq, move.to.seq)
		current, ok := s.index.Get(item{key: move.from.key})
		if !ok || !current.isRecord(&move.from) {
			continue
		}
		s.addLiveBytes(&current, -1)
		move.to.staleRecords, move.applied = current.staleRecords, true
		s.index.ReplaceOrInsert(move.to)
		s.addLiveBytes(&move.to, 1)
	}
	for _, victim := range victims {
		s.diskBytes -= victim.end
		s.Stats.Reclaimed.Add(victim.end)
	}
}

// applyRemovals updates the counts of stale records and forgets the victims that were removed. The others count as
// used disk space again.
func (s *Store) applyRemovals(victims, removed []*segment, list []relocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isRemoved := map[uint64]bool{}
	for _, victim := range removed {
		isRemoved[victim.id] = true
	}
	for i := range list {
		if move := &list[i]; isRemoved[move.victimID] {
			s.applyRemoval(move)
		} else {
			s.keepOriginal(move)
		}
	}
	for _, victim := range victims {
		if isRemoved[victim.id] {
			s.forgetSegment(victim)
			continue
		}
		s.diskBytes += victim.end
		s.Stats.Reclaimed.Add(-victim.end)
	}
}

// applyRemoval updates the index entry that hid a record or referred to it, whose segment was removed; the lock must
// be held.
func (s *Store) applyRemoval(move *relocation) {
	key := move.staleKey
	if key == "" {
		key = move.from.key
	}
	current, ok := s.index.Get(item{key: key})
	switch {
	case !ok:
	case move.staleKey != "": // the newest record of the key hides one record less
		s.decrementStale(current)
	case move.applied:
	case !move.copied && current.isRecord(&move.from):
		s.addLiveBytes(&current, -1)
		s.index.Delete(current)
	case !move.from.deleted() && (!move.copied || move.to.deleted()):
		// The record was overwritten meanwhile and counted as stale, and no copy of its
		// value is left.
		s.decrementStale(current)
	}
}

// keepOriginal counts the second record of a value that was copied and whose segment is still there; the lock must
// be held. It is stale: the original, or the copy if the key was written again while it was made.
func (s *Store) keepOriginal(move *relocation) {
	if !move.copied || move.applied && move.from.deleted() || !move.applied && move.to.deleted() {
		return
	}
	if current, ok := s.index.Get(item{key: move.from.key}); ok {
		current.staleRecords++
		s.index.ReplaceOrInsert(current)
	}
}

// forgetSegment forgets a segment whose file was removed or set aside; the lock must be held.
func (s *Store) forgetSegment(victim *segment) {
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
