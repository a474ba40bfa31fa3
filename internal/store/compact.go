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
	copyChunkSize   = 256 << 10 // bytes written at a time
	mergeThreshold  = 8         // more segments below half of segmentSize than this are merged
	minGarbageShare = 0.05      // smallest share of garbage for which a segment is rewritten
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

// relocation is a record that a pass copied or dropped.
type relocation struct {
	victimID uint64 // of the segment that holds the record
	from     item   // the index entry before the pass
	to       item   // the entry of the copy
	copied   bool   // false = dropped
	staleKey string // set instead of from: key of a stale record with a value that was dropped
}

// rewriteSegments copies the live records of the victims into one new segment and removes
// the victims, or sets them aside if they are damaged. Nothing else changes before the new
// segment is synced under its final name, so a crash or a full disk at any point leaves at
// worst a file to be removed. What the victims' stale records hide changes only with
// their removal.
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
		if list, err = s.copyLive(ctx, victim, target, list); err != nil {
			return err
		}
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
	target.syncedEnd = target.end
	if !hasLive {
		_ = f.Close()
		renamed = true
		_ = s.fs.Remove(temp) // on an error, Open removes it
	}
	removed, err := s.removeVictims(victims)
	s.applyRelocations(target, hasLive, removed, list)
	for _, victim := range removed {
		victim.release()
	}
	return err
}

// removeVictims removes the files of the victims, or sets them aside if they are damaged, and returns those
// victims whose files not even a power cut brings back. The others remain segments of the store, to be removed by
// a later pass: their records would count again at the next opening.
func (s *Store) removeVictims(victims []*segment) (removed []*segment, err error) {
	for _, victim := range victims {
		if err = s.removeVictim(victim); err != nil {
			break
		}
		removed = append(removed, victim)
	}
	if len(removed) == 0 {
		return nil, err
	}
	if syncErr := s.fs.SyncDir(s.dir); syncErr != nil {
		return nil, errors.Join(err, syncErr)
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

// copyLive appends the live records of a victim to the target, and adds a relocation for each
// record that it copied or dropped to list.
func (s *Store) copyLive(ctx context.Context, victim, target *segment, list []relocation) ([]relocation, error) {
	f := segmentFile{segment: victim, headerOK: true, size: victim.end}
	result, err := s.scanSegment(f, 0)
	if err != nil {
		return list, err
	}
	if len(result.holes) > 0 { // none were known when the victim was selected
		s.mu.Lock()
		for _, h := range result.holes {
			if (h.from < result.synced || !victim.torn) && len(victim.faults) < maxFaults {
				victim.faults = append(victim.faults, Fault{
					File: victim.name, Offset: h.from, Size: h.to - h.from, Reason: result.reason,
				})
			}
		}
		s.mu.Unlock()
	}
	reader := &bufferedReader{file: victim.file, size: victim.end}
	var ops []op
	var items []relocation
	size, read := 0, 0
	flush := func() error {
		if len(ops) == 0 {
			return nil
		}
		var buf []byte
		for i := range ops { // one record each: later damage then costs a single operation
			off := target.end + int64(len(buf))
			buf = appendRecord(buf, target.salt, off, off, ops[i:i+1], func(_ int, off, overhead int64) {
				items[i].to.offset, items[i].to.meta = uint32(off), packMeta(&ops[i], overhead)
			})
		}
		if err := s.throttle(ctx, len(buf)+read); err != nil {
			return err
		}
		if _, err := target.file.WriteAt(buf, target.end); err != nil {
			return err
		}
		s.Stats.Rewritten.Add(int64(len(buf)))
		target.end += int64(len(buf))
		list = append(list, items...)
		ops, items, size, read = nil, nil, 0, 0
		return nil
	}
	for _, sp := range result.spans {
		for off := sp.from; off < sp.to; {
			head, err := reader.at(off, recordHeaderSize)
			if err != nil {
				return list, err
			}
			r, _, ok := decodeRecordHeader(head, victim.salt, off)
			if !ok {
				return list, fmt.Errorf("read %s at %d: file changed during compaction", victim.name, off)
			}
			b, err := reader.at(off, int(r.size))
			if err != nil || int64(len(b)) < r.size {
				return list, errors.Join(fmt.Errorf("read %s at %d: file changed during compaction", victim.name, off), err)
			}
			r.body = b[recordHeaderSize:]
			off += r.size
			read += int(r.size)
			if r.kind != recordBatch {
				continue
			}
			rerr := r.decodeOps(func(o op, opOffset, _ int64) error {
				s.mu.RLock()
				current, exists := s.index.Get(item{key: o.key})
				s.mu.RUnlock()
				isCurrent := exists && uint64(current.segmentID) == victim.id && int64(current.offset) == opOffset
				switch {
				case !isCurrent && o.delete: // obsolete: a newer record replaced it, or it hides none
				case !isCurrent:
					list = append(list, relocation{victimID: victim.id, staleKey: o.key})
				case current.deleted() && s.deletionObsolete(current, victim),
					!current.deleted() && current.deletedOrExpired(s.opt.Now()) && current.staleRecords == 0:
					list = append(list, relocation{victimID: victim.id, from: current})
				default:
					to := current
					to.segmentID = uint32(target.id)
					newOp := op{key: current.key, expiry: current.expiry, seq: current.seq, delete: o.delete}
					if !current.deleted() && current.deletedOrExpired(s.opt.Now()) { // expired, but it still hides older records
						newOp.delete, newOp.expiry, to.expiry = true, 0, 0
					}
					if !newOp.delete {
						newOp.value = slices.Clone(o.value)
					}
					ops = append(ops, newOp)
					items = append(items, relocation{victimID: victim.id, from: current, to: to, copied: true})
					size += newOp.size()
					if size >= copyChunkSize {
						return flush()
					}
				}
				return nil
			})
			if rerr != nil {
				return list, rerr
			}
		}
	}
	for _, it := range s.valuesInHoles(victim, result.holes) {
		value, err := s.read(victim, it)
		if err != nil {
			continue // lost; read recorded the fault
		}
		to := it
		to.segmentID = uint32(target.id)
		ops = append(ops, op{key: it.key, value: value, expiry: it.expiry, seq: it.seq})
		items = append(items, relocation{victimID: victim.id, from: it, to: to, copied: true})
		if size += len(value); size >= copyChunkSize {
			if err := flush(); err != nil {
				return list, err
			}
		}
	}
	return list, flush()
}
