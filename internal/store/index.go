package store

// item is what the index knows of a key: 48 bytes and the key.
type item struct {
	key          string
	expiry       int64 // Unix milliseconds, 0 = never
	seq          uint64
	segmentID    uint32
	offset       uint32 // of checksum, key and value
	meta         uint32 // see newMeta
	staleRecords uint32 // other records of this key with a value on the disk
}

// gone, in place of a value's size, marks a key that was deleted; its item stays
// while older records of the key are on the disk, which it hides.
const deletedSize = 1<<24 - 1

// newMeta packs the size of a value with what its record takes besides key and
// value: its numbers and checksum, and the head of the batch for the first one.
func packMeta(o *op, overhead int64) uint32 {
	n := uint32(len(o.value))
	if o.delete {
		n = deletedSize
	}
	return uint32(min(overhead, 255))<<24 | n
}

func (it *item) deleted() bool { return it.meta&deletedSize == deletedSize }

// size is that of the value.
func (it *item) valueSize() int {
	if it.deleted() {
		return 0
	}
	return int(it.meta & deletedSize)
}

func (it *item) deletedOrExpired(now int64) bool {
	return it.deleted() || it.expiry != 0 && it.expiry <= now
}

// bytes is the room that the item's record takes.
func (it *item) recordSize() int64 {
	return int64(len(it.key)) + int64(it.valueSize()) + int64(it.meta>>24)
}

// put notes a record in the index; the lock must be held. It returns false if
// a newer record, or the same one elsewhere, is known already.
func (s *Store) updateIndex(newItem item) bool {
	current, exists := s.index.Get(item{key: newItem.key})
	if exists && current.seq >= newItem.seq {
		if !newItem.deleted() {
			current.staleRecords++
			s.index.ReplaceOrInsert(current)
		}
		return false
	}
	if exists {
		newItem.staleRecords = current.staleRecords
		if !current.deleted() {
			newItem.staleRecords++
		}
		s.addLiveBytes(&current, -1)
	}
	if newItem.deleted() && newItem.staleRecords == 0 { // nothing to hide
		if exists {
			s.index.Delete(current)
		}
		return true
	}
	s.index.ReplaceOrInsert(newItem)
	s.addLiveBytes(&newItem, 1)
	return true
}

// count adds an item's bytes to, or takes them from, what is live.
func (s *Store) addLiveBytes(it *item, sign int64) {
	s.liveBytes += sign * it.recordSize()
	if g := s.segments[it.segmentID]; g != nil {
		g.liveBytes += sign * it.recordSize()
	}
}

// sweep takes expired entries out of the index, some at a time, so that all are
// seen within a minute. One that hides older records stays until those are gone.
func (s *Store) sweep() {
	const batchSize = 512
	now := s.opt.Now()
	s.mu.RLock()
	steps := 1 + s.index.Len()/60/batchSize
	s.mu.RUnlock()
	for range steps {
		s.mu.Lock()
		var expired []item
		visited, last := 0, ""
		s.index.AscendGreaterOrEqual(item{key: s.sweepCursor}, func(it item) bool {
			visited++
			last = it.key
			if !it.deleted() && it.deletedOrExpired(now) && it.staleRecords == 0 {
				expired = append(expired, it)
			}
			return visited < batchSize
		})
		s.sweepCursor = last + "\x00"
		if visited < batchSize {
			s.sweepCursor = ""
		}
		for _, it := range expired {
			s.index.Delete(it)
			s.addLiveBytes(&it, -1)
		}
		s.Stats.Swept.Add(int64(len(expired)))
		s.mu.Unlock()
		if visited < batchSize {
			return
		}
	}
}
