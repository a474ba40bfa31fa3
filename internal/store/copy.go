package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// copyChunkSize is the number of bytes that compaction writes at a time.
const copyChunkSize = 256 << 10

// relocation is a record that a pass copied or dropped.
type relocation struct {
	victimID uint64 // of the segment that holds the record
	from     item   // the index entry before the pass
	to       item   // the entry of the copy
	copied   bool   // false = dropped
	applied  bool   // the index refers to the copy, or did until the key was written again
	staleKey string // set instead of from: key of a stale record with a value that was dropped
}

// segmentCopier copies the live records of one segment to another one. It is used by one goroutine.
type segmentCopier struct {
	store          *Store
	victim, target *segment
	relocations    []relocation // of the records copied or dropped

	// Records that are not written yet, the relocation of each, and their size in bytes.
	pending            []op
	pendingRelocations []relocation
	pendingBytes       int
	readBytes          int // bytes read since the last write
}

// copyLive appends the live records of a victim to the target, and returns a relocation for each record that it
// copied or dropped.
func (s *Store) copyLive(ctx context.Context, victim, target *segment) ([]relocation, error) {
	result, err := s.scanSegment(segmentFile{segment: victim, headerOK: true, size: victim.end}, 0)
	if err != nil {
		return nil, err
	}
	s.noteHoles(victim, result)
	c := &segmentCopier{store: s, victim: victim, target: target}
	if err := c.copySpans(ctx, result.spans); err != nil {
		return nil, err
	}
	if err := c.copyValuesInHoles(ctx, result.holes); err != nil {
		return nil, err
	}
	if err := c.flush(ctx); err != nil {
		return nil, err
	}
	return c.relocations, nil
}

// noteHoles adds the holes found in a victim to its faults; none were known when it was selected.
func (s *Store) noteHoles(victim *segment, result *scanResult) {
	if len(result.holes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range result.holes {
		if (h.from < result.synced || !victim.torn) && len(victim.faults) < maxFaults {
			victim.faults = append(victim.faults, Fault{
				File: victim.name, Offset: h.from, Size: h.to - h.from, Reason: result.reason,
			})
		}
	}
}

// copySpans copies the live records of the victim's spans.
func (c *segmentCopier) copySpans(ctx context.Context, spans []span) error {
	reader := &bufferedReader{file: c.victim.file, size: c.victim.end}
	for _, sp := range spans {
		for off := sp.from; off < sp.to; {
			r, err := c.readRecord(reader, off)
			if err != nil {
				return err
			}
			off += r.size
			c.readBytes += int(r.size)
			if r.kind != recordBatch {
				continue
			}
			err = r.decodeOps(func(o op, offset, _ int64) error { return c.copyOp(ctx, &o, offset) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// readRecord reads the victim's record at an offset, which the scan found valid.
func (c *segmentCopier) readRecord(reader *bufferedReader, off int64) (record, error) {
	head, err := reader.at(off, recordHeaderSize)
	if err != nil {
		return record{}, err
	}
	r, _, ok := decodeRecordHeader(head, c.victim.salt, off)
	if !ok {
		return record{}, c.errChanged(off)
	}
	b, err := reader.at(off, int(r.size))
	if err != nil || int64(len(b)) < r.size {
		return record{}, errors.Join(c.errChanged(off), err)
	}
	r.body = b[recordHeaderSize:]
	return r, nil
}

// errChanged returns the error for a record of the victim that was valid when the file was scanned.
func (c *segmentCopier) errChanged(off int64) error {
	return fmt.Errorf("read %s at %d: file changed during compaction", c.victim.name, off)
}

// copyOp copies, drops or passes over the operation at an offset of the victim.
func (c *segmentCopier) copyOp(ctx context.Context, o *op, offset int64) error {
	s := c.store
	s.mu.RLock()
	current, exists := s.index.Get(item{key: o.key})
	s.mu.RUnlock()
	isCurrent := exists && uint64(current.segmentID) == c.victim.id && int64(current.offset) == offset
	expired := isCurrent && !current.deleted() && current.deletedOrExpired(s.opt.Now())
	switch {
	case !isCurrent && o.delete: // obsolete: a newer record replaced it, or it hides none
		return nil
	case !isCurrent:
		c.relocations = append(c.relocations, relocation{victimID: c.victim.id, staleKey: o.key})
		return nil
	case current.deleted() && s.deletionObsolete(current, c.victim), expired && current.staleRecords == 0:
		c.relocations = append(c.relocations, relocation{victimID: c.victim.id, from: current})
		return nil
	}
	to := current
	newOp := op{key: current.key, expiry: current.expiry, seq: current.seq, delete: o.delete}
	if expired { // but it still hides older records
		newOp.delete, newOp.expiry, to.expiry = true, 0, 0
	}
	if !newOp.delete {
		newOp.value = slices.Clone(o.value)
	}
	return c.add(ctx, newOp, current, to)
}

// copyValuesInHoles copies the values inside damaged parts of the victim that can still be read.
func (c *segmentCopier) copyValuesInHoles(ctx context.Context, holes []span) error {
	for _, it := range c.store.valuesInHoles(c.victim, holes) {
		value, err := c.store.read(c.victim, it)
		if err != nil {
			continue // lost; read recorded the fault
		}
		err = c.add(ctx, op{key: it.key, value: value, expiry: it.expiry, seq: it.seq}, it, it)
		if err != nil {
			return err
		}
	}
	return nil
}

// add adds a record to those to be written; from and to are its index entries before and after the pass.
func (c *segmentCopier) add(ctx context.Context, o op, from, to item) error {
	to.segmentID = uint32(c.target.id)
	c.pending = append(c.pending, o)
	c.pendingRelocations = append(c.pendingRelocations,
		relocation{victimID: c.victim.id, from: from, to: to, copied: true})
	if c.pendingBytes += o.size(); c.pendingBytes < copyChunkSize {
		return nil
	}
	return c.flush(ctx)
}

// flush writes the pending records to the target.
func (c *segmentCopier) flush(ctx context.Context) error {
	if len(c.pending) == 0 {
		return nil
	}
	var buf []byte
	for i := range c.pending { // one record each: later damage then costs a single operation
		off := c.target.end + int64(len(buf))
		buf = appendRecord(buf, c.target.salt, off, off, c.pending[i:i+1], func(_ int, off, overhead int64) {
			to := &c.pendingRelocations[i].to
			to.offset, to.meta = uint32(off), packMeta(&c.pending[i], overhead)
		})
	}
	if err := c.store.throttle(ctx, len(buf)+c.readBytes); err != nil {
		return err
	}
	if _, err := c.target.file.WriteAt(buf, c.target.end); err != nil {
		return err
	}
	c.store.Stats.Rewritten.Add(int64(len(buf)))
	c.target.end += int64(len(buf))
	c.relocations = append(c.relocations, c.pendingRelocations...)
	c.pending, c.pendingRelocations, c.pendingBytes, c.readBytes = nil, nil, 0, 0
	return nil
}
