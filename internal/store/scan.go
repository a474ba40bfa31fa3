package store

import (
	"fmt"
	"io"

	"robinmast/internal/store/vfs"
)

// span is a part of a segment that holds records without a break.
type span struct{ from, to int64 }

// scan is what reading a segment found.
type scanResult struct {
	from   int64 // where it began: the rest was covered by a checkpoint
	spans  []span
	holes  []span // between and behind them
	synced int64  // what the records say was synced
	voids  map[uint64]int64
	reason string // what is wrong where the first hole begins
}

// window reads a file through a buffer that only grows for a long record.
type bufferedReader struct {
	f    vfs.File
	size int64
	off  int64 // of buf
	buf  []byte
}

// at returns up to n bytes from off, fewer only at the file's end.
func (w *bufferedReader) at(off int64, n int) ([]byte, error) {
	n = int(min(int64(n), w.size-off))
	if n <= 0 {
		return nil, nil
	}
	if off < w.off || off+int64(n) > w.off+int64(len(w.buf)) {
		want := int(min(int64(max(n, readBufferSize)), w.size-off))
		if cap(w.buf) < want {
			w.buf = make([]byte, want)
		}
		w.buf, w.off = w.buf[:want], off
		m, err := w.f.ReadAt(w.buf, off)
		if err != nil && err != io.EOF {
			return nil, err
		}
		w.buf = w.buf[:m]
		n = min(n, m)
	}
	i := int(off - w.off)
	return w.buf[i : i+n], nil
}

const readBufferSize = 1 << 20

// scan finds the records of a segment. Where there is none it looks, byte by
// byte, for the next one.
func (s *Store) scanSegment(f segmentFile, from int64) (*scanResult, error) {
	result := &scanResult{from: from, voids: map[uint64]int64{}}
	w := &bufferedReader{f: f.file, size: f.size}
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
	open := span{off, off}
	for off < f.size {
		head, err := w.at(off, recordHeaderSize)
		if err != nil {
			return nil, fmt.Errorf("read %s at %d: %w", f.name, off, err)
		}
		r, _, ok := decodeRecordHeader(head, f.salt, off)
		var recordErr error
		if ok {
			b, err := w.at(off, int(r.size))
			if err != nil {
				return nil, fmt.Errorf("read %s at %d: %w", f.name, off, err)
			}
			if r, recordErr = decodeRecord(b, f.salt, off); recordErr == nil {
				if open.to != off { // behind a hole
					if open.to > open.from {
						result.spans = append(result.spans, open)
					}
					result.holes = append(result.holes, span{open.to, off})
					open = span{off, off}
				}
				if r.kind == recordVoid {
					if seg, at, err := r.decodeVoid(); err == nil {
						result.voids[seg] = at
					}
				}
				result.synced = max(result.synced, r.synced)
				off += r.size
				open.to = off
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
	if open.to > open.from {
		result.spans = append(result.spans, open)
	}
	if open.to < f.size {
		result.holes = append(result.holes, span{open.to, f.size})
	}
	return result, nil
}
