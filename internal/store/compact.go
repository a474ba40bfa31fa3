package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"robinmast/internal/store/vfs"
)

const (
	mergeThreshold  = 8    // more segments below half of segmentSize than this are merged
	minGarbageShare = 0.05 // smallest share of garbage for which a segment is rewritten
)

// Compact rewrites all segments with garbage, sets damaged ones aside and writes a
// checkpoint. A segment is removed only after its live records are durable elsewhere.
func (s *Store) Compact(ctx context.Context) error {
	if s.opt.ReadOnly {
		return ErrReadOnly
	}
	if err := s.runInWriter(s.rotate); err != nil {
		return err
	}
	s.mu.RLock()
	rounds := 2*len(s.segments) + 2
	s.mu.RUnlock()
	for range rounds {
		again, err := s.compactOnce(ctx, true)
		if err != nil {
			return err
		}
		if !again {
			break
		}
	}
	return s.Checkpoint()
}

// selectVictims selects the segments that one pass rewrites: a damaged segment alone, else
// the sealed ones with the largest share of garbage whose live data fit into one segment,
// else small ones to be merged. With anyGarbage, segments with any garbage are selected.
func (s *Store) selectVictims(anyGarbage bool) []*segment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var sealed []*segment
	garbageBytes, small := int64(0), 0
	for _, g := range s.segments {
		if !g.sealed {
			continue
		}
		if len(g.faults) > 0 {
			return []*segment{g}
		}
		sealed = append(sealed, g)
		garbageBytes += g.end - headerSize - g.liveBytes
		if g.end < s.opt.segmentSize()/2 {
			small++
		}
	}
	share := func(g *segment) float64 {
		return float64(g.end-headerSize-g.liveBytes) / float64(max(g.end-headerSize, 1))
	}
	slices.SortFunc(sealed, func(a, b *segment) int {
		return cmp.Or(cmp.Compare(share(b), share(a)), cmp.Compare(a.id, b.id))
	})
	var victims []*segment
	live := int64(0)
	take := func(g *segment) bool {
		if len(victims) > 0 && live+g.liveBytes > s.opt.segmentSize() {
			return false
		}
		victims = append(victims, g)
		live += g.liveBytes
		return true
	}
	switch {
	case anyGarbage || garbageBytes > s.liveBytes/2+s.opt.segmentSize():
		for _, g := range sealed {
			if share(g) <= 0 || !anyGarbage && share(g) < minGarbageShare || !take(g) {
				break
			}
		}
	case small > mergeThreshold:
		slices.SortFunc(sealed, func(a, b *segment) int { return cmp.Compare(a.end, b.end) })
		for _, g := range sealed[:small] {
			if !take(g) {
				break
			}
		}
		if len(victims) < 2 {
			return nil
		}
	}
	return victims
}

// compactOnce runs one compaction pass; again reports whether another pass may find work.
func (s *Store) compactOnce(ctx context.Context, anyGarbage bool) (again bool, err error) {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	victims := s.selectVictims(anyGarbage)
	if len(victims) == 0 {
		return false, nil
	}
	err = s.rewriteSegments(ctx, victims)
	s.compactionFailing.Store(err != nil)
	if err != nil {
		s.Stats.CompactionFailures.Add(1)
		return false, wrapDiskFull(fmt.Errorf("compact: %w", err))
	}
	s.Stats.Compactions.Add(1)
	return true, nil
}

// rewriteSegments copies the live records of the victims into one new segment and removes
// the victims, or sets them aside if they are damaged. Nothing else changes before the new
// segment is synced under its final name, so a crash or a full disk at any point leaves at
// worst a file to be removed. What hides the victims' stale records may go only in a later
// pass, which makes their removal durable before it removes a file itself.
func (s *Store) rewriteSegments(ctx context.Context, victims []*segment) (err error) {
	newHeader := header{salt: s.opt.Salt()}
	s.mu.Lock()
	s.lastID++
	newHeader.id = s.lastID
	s.mu.Unlock()
	name := segmentName(newHeader.id, newHeader.salt, packSuffix)
	temp := vfs.Join(s.dir, name+tempSuffix)
	f, err := s.fs.Create(temp)
	if err != nil {
		return err
	}
	target := &segment{
		id: newHeader.id, salt: newHeader.salt, name: name, file: f,
		end: headerSize, sealed: true, minSeq: ^uint64(0),
	}
	target.refs.Store(1)
	renamed := false
	defer func() {
		if err != nil && !renamed {
			_ = f.Close()
			if rerr := s.fs.Remove(temp); rerr != nil && !errors.Is(rerr, fs.ErrNotExist) {
				err = errors.Join(err, rerr)
			}
		}
	}()
	var list []relocation
	for _, victim := range victims {
		relocations, err := s.copyLive(ctx, victim, target)
		if err != nil {
			return err
		}
		list = append(list, relocations...)
	}
	newHeader.end = uint64(target.end)
	hasLive := target.end > headerSize
	if hasLive {
		if _, err = f.WriteAt(newHeader.encode(), 0); err != nil {
			return err
		}
		if err = f.Sync(); err != nil {
			return err
		}
		if err = s.fs.Rename(temp, vfs.Join(s.dir, name)); err != nil {
			return err
		}
		renamed = true
		if err = s.fs.SyncDir(s.dir); err != nil {
			// After a power cut the file may have either name. Both are harmless: its
			// records are copies of records that the victims still hold.
			_ = f.Close()
			_ = s.fs.Remove(vfs.Join(s.dir, name))
			return err
		}
	}
	if !hasLive {
		// Removals of earlier passes become durable before those of this one, as with a new segment.
		if err = s.fs.SyncDir(s.dir); err != nil {
			return err
		}
		_ = f.Close()
		renamed = true
		_ = s.fs.Remove(temp) // on an error, Open removes it
	}
	target.syncedEnd = target.end
	s.applyCopies(target, hasLive, victims, list)
	removed, err := s.removeVictims(victims)
	s.applyRemovals(victims, removed, list)
	for _, victim := range removed {
		victim.release()
	}
	return err
}

// removeVictims removes the files of the victims, or sets them aside if they are damaged, and returns the victims
// for which that worked. The others remain segments of the store, to be removed by a later pass: their records would
// count again at the next opening.
func (s *Store) removeVictims(victims []*segment) (removed []*segment, err error) {
	for _, victim := range victims {
		if removeErr := s.removeVictim(victim); removeErr != nil {
			err = errors.Join(err, removeErr)
			continue
		}
		removed = append(removed, victim)
	}
	return removed, err
}

// removeVictim removes the file of a victim, or sets it aside if it is damaged. An earlier pass may have done so.
func (s *Store) removeVictim(victim *segment) error {
	path := vfs.Join(s.dir, victim.name)
	var err error
	if len(victim.faults) > 0 {
		err = s.fs.Rename(path, vfs.Join(s.dir, segmentName(victim.id, victim.salt, damagedSuffix)))
	} else {
		err = s.fs.Remove(path)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
