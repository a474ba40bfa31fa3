package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/google/btree"

	"robinmast/internal/store/vfs"
)

// loadedCheckpoint is the content of a checkpoint file that matches the segments.
type loadedCheckpoint struct {
	index   *btree.BTreeG[item]
	covered map[uint64]int64 // size in bytes, by segment, that the index includes
	seq     uint64           // last sequence number
}

// readCheckpoint reads a checkpoint file and verifies it, also against the segments in all. It adds the synced sizes
// of segments that the file states to ends, unless ends is nil. A file of another version is a VersionError.
func (s *Store) readCheckpoint(
	name string, all []segmentFile, ends map[uint64]int64,
) (loaded loadedCheckpoint, err error) {
	f, err := s.fs.Open(vfs.Join(s.dir, name), false)
	if err != nil {
		return loaded, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return loaded, err
	}
	blocks := blockReader{in: io.NewSectionReader(f, 0, size), size: size}
	header, err := blocks.readHeader(name)
	if err != nil {
		return loaded, err
	}
	covered, err := header.match(all, ends)
	if err != nil {
		return loaded, err
	}
	index, err := blocks.readItems(covered)
	return loadedCheckpoint{index, covered, clampSeq(header.seq)}, err
}

// checkpointHeader is the content of the header block.
type checkpointHeader struct {
	seq      uint64
	coverage map[uint64]segmentCoverage // by segment
}

// match compares the header with the segments, and returns the covered size in bytes of each segment that the
// checkpoint knows. It sets the segments' first sequence numbers.
func (h checkpointHeader) match(all []segmentFile, ends map[uint64]int64) (covered map[uint64]int64, err error) {
	covered = map[uint64]int64{}
	for _, f := range all {
		c, ok := h.coverage[f.id]
		if !ok {
			continue
		}
		if c.salt == f.salt && ends != nil {
			ends[f.id] = max(ends[f.id], c.end)
		}
		if c.salt != f.salt || f.size < c.end || !f.headerOK {
			return nil, fmt.Errorf("segment %s does not match the checkpoint", f.name)
		}
		f.minSeq = c.minSeq
		covered[f.id] = c.end
		if c.sealed { // bytes after its end are not valid
			covered[f.id] = f.size
		}
	}
	return covered, nil
}

// blockReader reads the blocks of a checkpoint file.
type blockReader struct {
	in   io.Reader
	size int64 // of the file, bytes
}

// next reads the next block and verifies its checksum.
func (r blockReader) next() (kind byte, body []byte, err error) {
	var header [blockHeaderSize]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return 0, nil, err
	}
	n := binary.LittleEndian.Uint32(header[1:])
	if int64(n) > r.size {
		return 0, nil, errTruncated
	}
	body = make([]byte, n)
	if _, err := io.ReadFull(r.in, body); err != nil {
		return 0, nil, err
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(header[5:]) {
		return 0, nil, errors.New("checksum differs")
	}
	return header[0], body, nil
}

// readHeader reads the header block of the file with this name.
func (r blockReader) readHeader(name string) (header checkpointHeader, err error) {
	kind, body, err := r.next()
	if err != nil {
		return header, err
	}
	if kind != headerBlock || !bytes.HasPrefix(body, []byte(checkpointMagic)) {
		return header, errors.New("no checkpoint")
	}
	d := &checkpointDecoder{b: body[len(checkpointMagic):]}
	if v := d.uvarint(); v != Version {
		return header, &VersionError{File: name, Version: uint32(v)}
	}
	header.seq = d.uvarint()
	header.coverage = map[uint64]segmentCoverage{}
	for n := min(d.uvarint(), uint64(len(body))); n > 0; n-- {
		c := segmentCoverage{
			id: d.uvarint(), salt: d.uvarint(), end: int64(d.uvarint()), minSeq: d.uvarint(), sealed: d.uvarint() == 1,
		}
		header.coverage[c.id] = c
	}
	if d.truncated {
		return header, errTruncated
	}
	return header, nil
}

// readItems reads the index up to the end block. Entries in segments that are not covered are left out: compaction
// removed those segments and copied their live records.
func (r blockReader) readItems(covered map[uint64]int64) (*btree.BTreeG[item], error) {
	index := btree.NewG(treeDegree, func(a, b item) bool { return a.key < b.key })
	for count := uint64(0); ; {
		kind, body, err := r.next()
		if err != nil {
			return nil, err
		}
		d := &checkpointDecoder{b: body}
		if kind == endBlock {
			if d.uvarint() != count {
				return nil, errTruncated
			}
			return index, nil
		}
		for len(d.b) > 0 && !d.truncated {
			it := d.item()
			count++
			if _, ok := covered[uint64(it.segmentID)]; ok {
				index.ReplaceOrInsert(it)
			}
		}
		if d.truncated {
			return nil, errTruncated
		}
	}
}

// checkpointDecoder decodes numbers and strings; truncated is set when the bytes end too
// early or a number is malformed.
type checkpointDecoder struct {
	b         []byte
	truncated bool
}

// item decodes an entry of the index.
func (d *checkpointDecoder) item() item {
	return item{
		key: d.str(), expiry: d.varint(), seq: d.uvarint(), segmentID: uint32(d.uvarint()),
		offset: uint32(d.uvarint()), meta: uint32(d.uvarint()), staleRecords: uint32(d.uvarint()),
	}
}

// uvarint decodes an unsigned number, 0 if truncated.
func (d *checkpointDecoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.b, d.truncated = nil, true
		return 0
	}
	d.b = d.b[n:]
	return v
}

// varint decodes a signed number, 0 if truncated.
func (d *checkpointDecoder) varint() int64 {
	v, n := binary.Varint(d.b)
	if n <= 0 {
		d.b, d.truncated = nil, true
		return 0
	}
	d.b = d.b[n:]
	return v
}

// str decodes a string that follows its length, "" if truncated.
func (d *checkpointDecoder) str() string {
	n := d.uvarint()
	if n > uint64(len(d.b)) {
		d.b, d.truncated = nil, true
		return ""
	}
	t := string(d.b[:n])
	d.b = d.b[n:]
	return t
}
