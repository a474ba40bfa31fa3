package store

import (
	"errors"
	"fmt"
	"slices"
)

// Get reads a value. The error is ErrNotFound, ErrDamaged or what the disk said.
func (s *Store) Get(key string) ([]byte, error) {
	v, _, err := s.GetExpiry(key)
	return v, err
}

// GetExpiry is Get and the value's expiry.
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

// InDoubt reports whether a key's newest record may be among what could not be read
// at opening, so that Get gives an older value, or none where there was one. A write
// of the key ends it.
func (s *Store) InDoubt(key string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.uncertainBefore == 0 {
		return false
	}
	it, ok := s.index.Get(item{key: key})
	return !ok || it.seq < s.uncertainBefore
}

// read reads an item's value and checks it.
func (s *Store) read(g *segment, it item) ([]byte, error) {
	buf := make([]byte, 4+len(it.key)+it.valueSize())
	if _, err := g.file.ReadAt(buf, int64(it.offset)); err != nil {
		s.recordDamage(g, it, err.Error())
		return nil, fmt.Errorf("read %s at %d: %w", g.name, it.offset, errors.Join(ErrDamaged, err))
	}
	key, value := buf[4:4+len(it.key)], buf[4+len(it.key):]
	if string(key) != it.key || opChecksum(it.key, value) != uint32(buf[0])|uint32(buf[1])<<8|uint32(buf[2])<<16|uint32(buf[3])<<24 {
		s.recordDamage(g, it, "checksum differs")
		return nil, fmt.Errorf("read %s at %d: %w", g.name, it.offset, ErrDamaged)
	}
	return value, nil
}

// mostFaults bounds what is noted of one segment; it is set aside by the first.
const maxFaults = 16

// damaged notes a value that can't be read, and has its segment set aside.
func (s *Store) recordDamage(g *segment, it item, why string) {
	s.Stats.Damaged.Add(1)
	s.mu.Lock()
	known := slices.ContainsFunc(g.faults, func(f Fault) bool { return f.Offset == int64(it.offset) })
	if !known && len(g.faults) < maxFaults {
		g.faults = append(g.faults, Fault{File: g.name, Offset: int64(it.offset), Size: int64(4 + len(it.key) + it.valueSize()), Reason: why})
	}
	s.mu.Unlock()
	s.wakeMaintenance()
}

// Entry is one key with its value.
type Entry struct {
	Key    string
	Value  []byte
	Expiry int64
	Doubt  bool // its newest record may be one that can't be read: this may be an older value
}

// Scan calls f for every key that begins with prefix, in order, as of now. An
// error of f ends it; a damaged value is passed to f with a nil Value and the
// error by damaged, if set, else ends the scan.
func (s *Store) Scan(prefix string, damaged func(key string, err error), f func(Entry) error) error {
	s.mu.Lock() // a clone marks both trees as shared
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
		err = f(Entry{Key: it.key, Value: v, Expiry: it.expiry, Doubt: it.seq < s.uncertainBefore})
		return err == nil
	})
	return err
}

// Len is the number of keys in the index, those that expired but were not yet
// swept included.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.Len()
}
