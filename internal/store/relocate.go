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

// applyRelocations makes the index refer to the copies, and forgets the victims that were removed. An entry that was
// overwritten while its copy was made is not changed: the copy is stale then.
func (s *Store) applyRelocations(target *segment, hasLive bool, removed []*segment, list []relocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hasLive {
		s.segments[uint32(target.id)] = target
		s.diskBytes += target.end
		s.Stats.Reclaimed.Add(-target.end)
	}
	isRemoved := map[uint64]bool{}
	for _, victim := range removed {
		isRemoved[victim.id] = true
	}
	for _, move := range list {
		if isRemoved[move.victimID] {
			s.applyRelocation(target, &move)
		} else if move.copied {
			s.applyCopy(target, &move)
		}
	}
	for _, victim := range removed {
		s.forgetSegment(victim)
	}
}

// applyRelocation updates the index for a record whose segment was removed; the lock must be held.
func (s *Store) applyRelocation(target *segment, move *relocation) {
	key := move.staleKey
	if key == "" {
		key = move.from.key
	}
	if move.copied {
		target.minSeq = min(target.minSeq, move.to.seq)
	}
	current, ok := s.index.Get(item{key: key})
	switch {
	case !ok:
	case move.staleKey != "": // the newest record of the key hides one record less
		s.decrementStale(current)
	case current.isRecord(&move.from):
		if !move.copied {
			s.addLiveBytes(&current, -1)
			s.index.Delete(current)
			return
		}
		s.moveEntry(current, move.to, current.staleRecords)
	case !move.from.deleted() && (!move.copied || move.to.deleted()):
		// The record was overwritten meanwhile and counted as stale, and no copy of its
		// value is left.
		s.decrementStale(current)
	}
}

// applyCopy updates the index for a record that was copied and whose segment is still there, with a value that is
// stale from now on; the lock must be held.
func (s *Store) applyCopy(target *segment, move *relocation) {
	target.minSeq = min(target.minSeq, move.to.seq)
	current, ok := s.index.Get(item{key: move.from.key})
	switch {
	case !ok:
	case current.isRecord(&move.from):
		staleRecords := current.staleRecords
		if !move.from.deleted() {
			staleRecords++
		}
		s.moveEntry(current, move.to, staleRecords)
	case !move.to.deleted(): // overwritten meanwhile, which counted the original and not the copy
		current.staleRecords++
		s.index.ReplaceOrInsert(current)
	}
}

// moveEntry makes the index refer to the copy of a current record; the lock must be held.
func (s *Store) moveEntry(current, copied item, staleRecords uint32) {
	s.addLiveBytes(&current, -1)
	copied.staleRecords = staleRecords
	s.index.ReplaceOrInsert(copied)
	s.addLiveBytes(&copied, 1)
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
	s.diskBytes -= victim.end
	s.Stats.Reclaimed.Add(victim.end)
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
