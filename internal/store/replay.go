package store

import (
	"fmt"

	"robinmast/internal/store/vfs"
)

// replay adds the records that a scan found to the index, and classifies the holes. A
// hole before an offset that a later record, header or checkpoint states as synced is
// damage; so is a file shorter than the header of the next segment says. Every other hole
// is torn: its bytes were not synced, so no durable write there was acknowledged.
func (s *Store) replay(f segmentFile, result *scanResult, ends, voids map[uint64]int64, rec *Recovery) error {
	g := f.segment
	end, known := ends[g.id]
	if f.headerOK && f.header.end > 0 {
		end, known = int64(f.header.end), true
	}
	stop := f.size
	if v, ok := voids[g.id]; ok {
		stop = min(stop, v)
	}
	reader := &bufferedReader{file: g.file, size: f.size}
	firstSeqs := map[int64]uint64{} // the first sequence number of each span
	for _, sp := range result.spans {
		for off := sp.from; off < min(sp.to, stop); {
			head, err := reader.at(off, recordHeaderSize)
			if err != nil {
				return fmt.Errorf("read %s at %d: %w", g.name, off, err)
			}
			r, _, ok := decodeRecordHeader(head, g.salt, off)
			if !ok {
				return fmt.Errorf("read %s at %d: file changed during recovery", g.name, off)
			}
			b, err := reader.at(off, int(r.size))
			if err != nil {
				return fmt.Errorf("read %s at %d: %w", g.name, off, err)
			}
			if int64(len(b)) < r.size {
				return fmt.Errorf("read %s at %d: file changed during recovery", g.name, off)
			}
			r.body = b[recordHeaderSize:r.size]
			rec.Read += r.size
			if r.kind == recordBatch {
				err := r.decodeOps(func(o op, opOffset, overhead int64) error {
					if _, known := firstSeqs[sp.from]; !known {
						firstSeqs[sp.from] = o.seq
					}
					s.indexRecord(g, &o, opOffset, overhead)
					return nil
				})
				if err != nil { // the checksum is right, so another program wrote it
					g.faults = append(g.faults, Fault{File: g.name, Offset: off, Size: r.size, Reason: err.Error()})
				}
			}
			off += r.size
		}
	}
	g.end = f.size
	validEnd := int64(headerSize) // end of the valid records
	if n := len(result.spans); n > 0 {
		validEnd = result.spans[n-1].to
	} else if result.from > 0 {
		validEnd = result.from
	}
	if !f.headerOK && (len(result.spans) > 0 || known && end > 0 || f.packed || !f.newest) {
		g.faults = append(g.faults, Fault{File: g.name, Size: headerSize, Reason: result.reason})
	} else if !f.headerOK && len(result.holes) == 0 {
		rec.Torn = append(rec.Torn, Fault{File: g.name, Size: headerSize, Reason: result.reason, Torn: true})
	}
	for _, h := range result.holes {
		if h.from >= stop {
			continue // voided
		}
		fault := Fault{File: g.name, Offset: h.from, Size: h.to - h.from, Reason: result.reason}
		fault.Torn = h.from >= result.synced && (!known || h.from >= end)
		if fault.Torn {
			rec.Torn = append(rec.Torn, fault)
			g.torn = true
			continue
		}
		g.faults = append(g.faults, fault)
		if before := firstSeqs[h.to]; before > 0 && !f.packed {
			s.uncertainBefore = max(s.uncertainBefore, before)
		} else {
			s.noteMissingEnd(g)
		}
	}
	if v, ok := voids[g.id]; ok {
		end = min(end, v)
	}
	if known && f.size < end && len(result.holes) == 0 {
		g.faults = append(g.faults, Fault{File: g.name, Offset: f.size, Size: end - f.size, Reason: "cut short"})
		s.noteMissingEnd(g)
	}
	if len(g.faults) == 0 && validEnd < f.size && f.headerOK && !s.opt.ReadOnly &&
		len(result.spans) <= 1 && result.from < f.size {
		if err := g.file.Truncate(validEnd); err == nil { // on an error, the next Open finds it torn again
			g.end = validEnd
		}
	}
	if !f.headerOK && f.size > headerSize && len(g.faults) == 0 {
		g.faults = append(g.faults, Fault{File: g.name, Size: f.size, Reason: result.reason})
	}
	rec.Damaged = append(rec.Damaged, g.faults...)
	empty := len(result.spans) == 0 && result.from == 0 && len(g.faults) == 0
	if empty && !s.opt.ReadOnly { // created, but nothing in it was acknowledged
		delete(s.segments, uint32(g.id))
		_ = g.file.Close()
		return s.fs.Remove(vfs.Join(s.dir, g.name))
	}
	g.syncedEnd = g.end
	s.diskBytes += g.end
	return nil
}

// indexRecord adds a record of a segment to the index while Open reads. Deletions are kept
// until all segments are read, since the records that they hide may be read later.
func (s *Store) indexRecord(g *segment, o *op, offset, overhead int64) {
	newItem := item{
		key: o.key, expiry: o.expiry, seq: o.seq,
		segmentID: uint32(g.id), offset: uint32(offset), meta: packMeta(o, overhead),
	}
	g.minSeq = min(g.minSeq, o.seq)
	s.seq = max(s.seq, clampSeq(o.seq))
	current, exists := s.index.Get(newItem)
	if exists && (current.seq > newItem.seq ||
		current.seq == newItem.seq && (current.deleted() || !newItem.deleted())) {
		if !newItem.deleted() {
			current.staleRecords++
			s.index.ReplaceOrInsert(current)
		}
		return
	}
	if exists {
		newItem.staleRecords = current.staleRecords
		if !current.deleted() {
			newItem.staleRecords++
		}
	}
	s.index.ReplaceOrInsert(newItem)
}

// prune removes deletions that hide no records, and counts entries and live bytes.
func (s *Store) prune(rec *Recovery) {
	now := s.opt.Now()
	var drop []item
	for _, g := range s.segments {
		g.liveBytes = 0
	}
	s.liveBytes = 0
	s.index.Ascend(func(it item) bool {
		if it.deleted() && it.staleRecords == 0 || s.segments[it.segmentID] == nil {
			drop = append(drop, it)
			return true
		}
		s.addLiveBytes(&it, 1)
		switch {
		case it.deleted():
		case it.deletedOrExpired(now):
			rec.Expired++
		default:
			rec.Entries++
		}
		return true
	})
	for _, it := range drop {
		s.index.Delete(it)
	}
}
