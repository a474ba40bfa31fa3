package store

import (
	"fmt"
	"io"

	"robinmast/internal/store/vfs"
)

// span is a range of bytes of a segment.
type span struct{ from, to int64 }

// scanResult lists the readable and the unreadable ranges of a segment.
type scanResult struct {
	from   int64            // start of the scan; a checkpoint covers what is before it
	spans  []span           // contiguous records
	holes  []span           // unreadable bytes between and after the spans
	synced int64            // synced size of the segment, as its records state
	voids  map[uint64]int64 // void records found: segment number to the offset where it stops being valid
	reason string           // fault at the start of the first hole
}

// bufferedReader reads a file through a buffer, which grows only for a large record.
type bufferedReader struct {
	file   vfs.File
	size   int64 // of the file
	offset int64 // offset of buf in the file
	buf    []byte
}

// at returns n bytes from off, fewer only at the end of the file. They are valid until
// the next call.
func (w *bufferedReader) at(off int64, n int) ([]byte, error) {
	n = int(min(int64(n), w.size-off))
	if n <= 0 {
		return nil, nil
	}
	if off < w.offset || off+int64(n) > w.offset+int64(len(w.buf)) {
		want := int(min(int64(max(n, readBufferSize)), w.size-off))
		if cap(w.buf) < want {
			w.buf = make([]byte, want)
		}
		w.buf, w.offset = w.buf[:want], off
		m, err := w.file.ReadAt(w.buf, off)
		if err != nil && err != io.EOF {
			return nil, err
		}
		w.buf = w.buf[:m]
		n = min(n, m)
	}
	i := int(off - w.offset)
	return w.buf[i : i+n], nil
}

const readBufferSize = 1 << 20 // bytes

// addVoid notes that a segment is not valid from an offset on. The smallest offset counts.
func addVoid(voids map[uint64]int64, segmentID uint64, from int64) {
	if other, known := voids[segmentID]; !known || from < other {
		voids[segmentID] = from
	}
}

// scanSegment finds the records of a segment from an offset on. Where there is no valid
// record it searches, byte by byte, for the next one.
func (s *Store) scanSegment(f segmentFile, from int64) (*scanResult, error) {
	result := &scanResult{from: from, voids: map[uint64]int64{}}
	reader := &bufferedReader{file: f.file, size: f.size}
	off := from
	if off == 0 {
		off = headerSize
		if !f.headerOK {
			result.reason = "header damaged"
			if f.size < headerSize {
				result.reason = "header cut short"
			}
		}
	}
	current := span{off, off}
	for off < f.size {
		head, err := reader.at(off, recordHeaderSize)
		if err != nil {
			return nil, fmt.Errorf("read %s at %d: %w", f.name, off, err)
		}
		r, _, ok := decodeRecordHeader(head, f.salt, off)
		var recordErr error
		if ok {
			b, err := reader.at(off, int(r.size))
			if err != nil {
				return nil, fmt.Errorf("read %s at %d: %w", f.name, off, err)
			}
			if r, recordErr = decodeRecord(b, f.salt, off); recordErr == nil {
				if current.to != off { // the record follows a hole
					if current.to > current.from {
						result.spans = append(result.spans, current)
					}
					result.holes = append(result.holes, span{current.to, off})
					current = span{off, off}
				}
				if r.kind == recordVoid {
					if seg, validEnd, err := r.decodeVoid(); err == nil {
						addVoid(result.voids, seg, validEnd)
					}
				}
				result.synced = max(result.synced, r.synced)
				off += r.size
				current.to = off
				continue
			}
		}
		if result.reason == "" {
			switch {
			case recordErr != nil:
				result.reason = recordErr.Error()
			case f.size-off < recordHeaderSize:
				result.reason = errTruncated.Error()
			default:
				result.reason = "no record"
			}
		}
		off++
	}
	if current.to > current.from {
		result.spans = append(result.spans, current)
	}
	if current.to < f.size {
		result.holes = append(result.holes, span{current.to, f.size})
	}
	return result, nil
}
