package store

// item is the index entry of a key: 48 bytes and the key itself.
type item struct {
	key          string
	expiry       int64 // Unix milliseconds, 0 = never
	seq          uint64
	segmentID    uint32
	offset       uint32 // in the segment file, of checksum, key and value
	meta         uint32 // see packMeta
	staleRecords uint32 // older records of this key, with a value, that are still on the disk
}

// deletedSize, in place of a value's size, marks a deleted key. Its item stays in the
// index as long as older records of the key are on the disk: it hides them.
const deletedSize = 1<<24 - 1

// packMeta packs the size of a value (24 bits) with the overhead of its record (8 bits):
// its numbers and checksum and, for the first operation of a batch, the record header.
func packMeta(o *op, overhead int64) uint32 {
	n := uint32(len(o.value))
	if o.delete {
		n = deletedSize
	}
	return uint32(min(overhead, 255))<<24 | n
}

// deleted reports whether the item marks a deletion.
func (it *item) deleted() bool { return it.meta&deletedSize == deletedSize }

// isRecord reports whether the item refers to the same record on the disk as other.
func (it *item) isRecord(other *item) bool {
	return it.segmentID == other.segmentID && it.offset == other.offset
}

// valueSize is the size of the value in bytes.
func (it *item) valueSize() int {
	if it.deleted() {
		return 0
	}
	return int(it.meta & deletedSize)
}

// deletedOrExpired reports whether the key has no value at the time now, in Unix milliseconds.
func (it *item) deletedOrExpired(now int64) bool {
	return it.deleted() || it.expiry != 0 && it.expiry <= now
}

// recordSize is the number of bytes that the record of the item takes on the disk.
func (it *item) recordSize() int64 {
	return int64(len(it.key)) + int64(it.valueSize()) + int64(it.meta>>24)
}

// updateIndex adds a record to the index; the lock must be held. It returns false if the
// index already has a newer record of the key, or a copy of the same one.
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

// addLiveBytes adds the size of a record to the live bytes of the store and of its
// segment (sign 1), or subtracts it (sign -1).
func (s *Store) addLiveBytes(it *item, sign int64) {
	s.liveBytes += sign * it.recordSize()
	if g := s.segments[it.segmentID]; g != nil {
		g.liveBytes += sign * it.recordSize()
	}
}

// sweep removes expired entries from the index. Each call visits a part, in batches, so that
// calls once a second cover the index within a minute and hold the lock only for a short time.
// An expired entry that hides older records stays until those are removed.
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
