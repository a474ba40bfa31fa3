package store

import (
	"errors"
	"fmt"
	"slices"
)

// Get reads a value. The error is ErrNotFound, or ErrDamaged with its cause.
func (s *Store) Get(key string) ([]byte, error) {
	v, _, err := s.GetExpiry(key)
	return v, err
}

// GetExpiry is like Get, and also returns the expiry: Unix milliseconds, 0 = never.
func (s *Store) GetExpiry(key string) ([]byte, int64, error) {
	s.mu.RLock()
	it, ok := s.index.Get(item{key: key})
	if !ok || it.deletedOrExpired(s.opt.Now()) {
		s.mu.RUnlock()
		return nil, 0, ErrNotFound
	}
	g := s.segments[it.segmentID]
	g.refs.Add(1)
	s.mu.RUnlock()
	defer g.release()
	v, err := s.read(g, it)
	return v, it.expiry, err
}

// InDoubt reports whether the newest record of a key may be among the bytes that could
// not be read at opening. Get may then return an older value, or ErrNotFound although
// there was a value. A write of the key ends this state.
func (s *Store) InDoubt(key string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.uncertainBefore == 0 {
		return false
	}
	it, ok := s.index.Get(item{key: key})
	return !ok || it.seq < s.uncertainBefore
}

// read reads the value of an item and verifies its checksum.
func (s *Store) read(g *segment, it item) ([]byte, error) {
	buf := make([]byte, 4+len(it.key)+it.valueSize())
	if _, err := g.file.ReadAt(buf, int64(it.offset)); err != nil {
		s.recordDamage(g, it, err.Error())
		return nil, fmt.Errorf("read %s at %d: %w", g.name, it.offset, errors.Join(ErrDamaged, err))
	}
	key, value := buf[4:4+len(it.key)], buf[4+len(it.key):]
	if string(key) != it.key ||
		opChecksum(it.key, value) != uint32(buf[0])|uint32(buf[1])<<8|uint32(buf[2])<<16|uint32(buf[3])<<24 {
		s.recordDamage(g, it, "checksum differs")
		return nil, fmt.Errorf("read %s at %d: %w", g.name, it.offset, ErrDamaged)
	}
	return value, nil
}

// maxFaults bounds the faults that are recorded for one segment. The first one already
// has the segment set aside.
const maxFaults = 16

// recordDamage records that a value can't be read, and wakes the maintenance, which
// sets the segment aside.
func (s *Store) recordDamage(g *segment, it item, reason string) {
	s.Stats.Damaged.Add(1)
	s.mu.Lock()
	known := slices.ContainsFunc(g.faults, func(f Fault) bool { return f.Offset == int64(it.offset) })
	if !known && len(g.faults) < maxFaults {
		g.faults = append(g.faults, Fault{
			File: g.name, Offset: int64(it.offset), Size: int64(4 + len(it.key) + it.valueSize()), Reason: reason,
		})
	}
	s.mu.Unlock()
	s.wakeMaintenance()
}

// Entry is a key with its value.
type Entry struct {
	Key     string
	Value   []byte
	Expiry  int64 // Unix milliseconds, 0 = never
	InDoubt bool  // the newest record may be unreadable, and Value an older one: see Store.InDoubt
}

// Scan calls f for every key that begins with prefix, in order of the keys, on a snapshot
// of the store. An error of f ends the scan and is returned. A key whose value is damaged
// is passed, with the error, to damaged instead of f; without damaged its error ends the scan.
func (s *Store) Scan(prefix string, damaged func(key string, err error), f func(Entry) error) error {
	s.mu.Lock() // not RLock: cloning marks both trees as shared
	snapshot := s.index.Clone()
	pinned := make([]*segment, 0, len(s.segments))
	byID := make(map[uint32]*segment, len(s.segments))
	for id, g := range s.segments {
		g.refs.Add(1)
		pinned = append(pinned, g)
		byID[id] = g
	}
	s.mu.Unlock()
	defer func() {
		for _, g := range pinned {
			g.release()
		}
	}()
	now := s.opt.Now()
	var err error
	snapshot.AscendGreaterOrEqual(item{key: prefix}, func(it item) bool {
		if len(it.key) < len(prefix) || it.key[:len(prefix)] != prefix {
			return false
		}
		if it.deletedOrExpired(now) {
			return true
		}
		v, rerr := s.read(byID[it.segmentID], it)
		if rerr != nil {
			if damaged != nil {
				damaged(it.key, rerr)
				return true
			}
			err = rerr
			return false
		}
		err = f(Entry{Key: it.key, Value: v, Expiry: it.expiry, InDoubt: it.seq < s.uncertainBefore})
		return err == nil
	})
	return err
}

// Len returns the number of keys in the index, including those that expired but are not
// swept yet.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.Len()
}
