package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"strconv"
	"strings"

	"github.com/google/btree"

	"robinmast/internal/store/vfs"
)

const (
	checkpointMagic     = "RMSTCKP\n"
	checkpointSuffix    = ".ckpt"
	checkpointBlockSize = 64 << 10 // bytes of entries after which a block is written
)

// checkpointName returns the name of the checkpoint file with this number.
func checkpointName(id uint64) string { return fmt.Sprintf("%016x%s", id, checkpointSuffix) }

// parseCheckpointName returns the number of a checkpoint file.
func parseCheckpointName(name string) (uint64, bool) {
	base, ok := strings.CutSuffix(name, checkpointSuffix)
	if !ok || len(base) != 16 {
		return 0, false
	}
	id, err := strconv.ParseUint(base, 16, 64)
	return id, err == nil
}

// segmentCoverage is the part of a segment that a checkpoint includes.
type segmentCoverage struct {
	id, salt uint64
	end      int64 // bytes
	minSeq   uint64
	sealed   bool
}

// Checkpoint syncs all earlier writes and writes the index to a file. Recovery then reads
// only what follows it; without a valid checkpoint it reads the whole log instead.
func (s *Store) Checkpoint() error {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	if err := s.checkpointLocked(); err != nil {
		s.Stats.CheckpointFailures.Add(1)
		return wrapDiskFull(fmt.Errorf("checkpoint: %w", err))
	}
	s.Stats.Checkpoints.Add(1)
	return nil
}

// checkpointLocked writes a checkpoint and removes older ones; compactMu must be held.
func (s *Store) checkpointLocked() error {
	var snapshot *btree.BTreeG[item]
	var coverage []segmentCoverage
	var seq uint64
	err := s.runInWriter(func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		snapshot, seq, s.bytesSinceCheckpoint = s.index.Clone(), s.seq, 0
		for _, g := range s.segments {
			coverage = append(coverage, segmentCoverage{g.id, g.salt, g.end, g.minSeq, g.sealed})
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.checkpointID++
	name := vfs.Join(s.dir, checkpointName(s.checkpointID))
	temp := name + tempSuffix
	size, err := s.writeCheckpoint(temp, snapshot, coverage, seq)
	if err != nil {
		if rerr := s.fs.Remove(temp); rerr != nil && !errors.Is(rerr, fs.ErrNotExist) {
			err = errors.Join(err, rerr)
		}
		return err
	}
	if err := s.fs.Rename(temp, name); err != nil {
		return err
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return err
	}
	_ = s.runInWriter(func() error { s.checkpointBytes = size; return nil }) // fails only if the store is closed
	names, err := s.fs.List(s.dir)
	if err != nil {
		return err
	}
	for _, old := range names { // older ones are not needed once this one is durable
		if id, ok := parseCheckpointName(old); ok && id < s.checkpointID {
			if err := s.fs.Remove(vfs.Join(s.dir, old)); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeCheckpoint writes a checkpoint file: a header block, blocks of entries and an end
// block with the number of entries, each with a checksum. It returns the size in bytes.
func (s *Store) writeCheckpoint(
	name string, snapshot *btree.BTreeG[item], coverage []segmentCoverage, seq uint64,
) (int64, error) {
	f, err := s.fs.Create(name)
	if errors.Is(err, fs.ErrExist) {
		if err = s.fs.Remove(name); err == nil {
			f, err = s.fs.Create(name)
		}
	}
	if err != nil {
		return 0, err
	}
	off := int64(0)
	block := func(kind byte, body []byte) error {
		b := make([]byte, 0, 9+len(body))
		b = append(b, kind)
		b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
		b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
		b = append(b, body...)
		_, err := f.WriteAt(b, off)
		off += int64(len(b))
		return err
	}
	head := []byte(checkpointMagic)
	head = binary.AppendUvarint(head, Version)
	head = binary.AppendUvarint(head, seq)
	head = binary.AppendUvarint(head, uint64(len(coverage)))
	for _, c := range coverage {
		flag := uint64(0)
		if c.sealed {
			flag = 1
		}
		for _, v := range []uint64{c.id, c.salt, uint64(c.end), c.minSeq, flag} {
			head = binary.AppendUvarint(head, v)
		}
	}
	err = block('H', head)
	var body []byte
	count := uint64(0)
	snapshot.Ascend(func(it item) bool {
		if err != nil {
			return false
		}
		body = binary.AppendUvarint(body, uint64(len(it.key)))
		body = append(body, it.key...)
		body = binary.AppendVarint(body, it.expiry)
		numbers := []uint64{it.seq, uint64(it.segmentID), uint64(it.offset), uint64(it.meta), uint64(it.staleRecords)}
		for _, v := range numbers {
			body = binary.AppendUvarint(body, v)
		}
		count++
		if len(body) > checkpointBlockSize {
			err = block('B', body)
			body = body[:0]
		}
		return true
	})
	if err == nil && len(body) > 0 {
		err = block('B', body)
	}
	if err == nil {
		err = block('E', binary.AppendUvarint(nil, count))
	}
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return off, err
}

// loadCheckpoint loads the index from the newest checkpoint that is intact and matches the
// segments. It returns the covered size of each segment, or nil if there is no such
// checkpoint. A checkpoint of another version is an error. The synced sizes of segments
// that a checkpoint states are added to ends.
func (s *Store) loadCheckpoint(
	all []segmentFile, names []string, ends map[uint64]int64,
) (map[uint64]int64, error) {
	for i := len(names) - 1; i >= 0; i-- { // names are sorted by number
		id, ok := parseCheckpointName(names[i])
		if !ok {
			continue
		}
		s.checkpointID = max(s.checkpointID, id)
		index, covered, seq, err := s.readCheckpoint(names[i], all, ends)
		var version *VersionError
		if errors.As(err, &version) {
			return nil, version
		}
		if err != nil {
			continue // an older checkpoint or the log is used
		}
		s.index, s.seq = index, seq
		if f, err := s.fs.Open(vfs.Join(s.dir, names[i]), false); err == nil {
			s.checkpointBytes, _ = f.Size()
			_ = f.Close()
		}
		return covered, nil
	}
	return nil, nil
}

// readCheckpoint reads and verifies a checkpoint file. It returns the index, the covered
// size of each segment in all, and the sequence number.
func (s *Store) readCheckpoint(
	name string, all []segmentFile, ends map[uint64]int64,
) (*btree.BTreeG[item], map[uint64]int64, uint64, error) {
	f, err := s.fs.Open(vfs.Join(s.dir, name), false)
	if err != nil {
		return nil, nil, 0, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, nil, 0, err
	}
	in := io.NewSectionReader(f, 0, size)
	next := func() (byte, []byte, error) {
		var h [9]byte
		if _, err := io.ReadFull(in, h[:]); err != nil {
			return 0, nil, err
		}
		n := binary.LittleEndian.Uint32(h[1:])
		if int64(n) > size {
			return 0, nil, errTruncated
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(in, b); err != nil {
			return 0, nil, err
		}
		if crc32.Checksum(b, castagnoli) != binary.LittleEndian.Uint32(h[5:]) {
			return 0, nil, errors.New("checksum differs")
		}
		return h[0], b, nil
	}
	kind, b, err := next()
	if err != nil {
		return nil, nil, 0, err
	}
	if kind != 'H' || !bytes.HasPrefix(b, []byte(checkpointMagic)) {
		return nil, nil, 0, errors.New("no checkpoint")
	}
	r := &checkpointDecoder{b: b[len(checkpointMagic):]}
	if v := r.uvarint(); v != Version {
		return nil, nil, 0, &VersionError{File: name, Version: uint32(v)}
	}
	seq, n := r.uvarint(), r.uvarint()
	covered := map[uint64]int64{}
	recorded := map[uint64]segmentCoverage{}
	for range min(n, uint64(len(b))) {
		c := segmentCoverage{
			id: r.uvarint(), salt: r.uvarint(), end: int64(r.uvarint()), minSeq: r.uvarint(), sealed: r.uvarint() == 1,
		}
		recorded[c.id] = c
	}
	if r.truncated {
		return nil, nil, 0, errTruncated
	}
	for _, f := range all {
		c, ok := recorded[f.id]
		if !ok {
			continue
		}
		if c.salt == f.salt && ends != nil {
			ends[f.id] = max(ends[f.id], c.end)
		}
		if c.salt != f.salt || f.size < c.end || !f.headerOK {
			return nil, nil, 0, fmt.Errorf("segment %s does not match the checkpoint", f.name)
		}
		f.minSeq = c.minSeq
		covered[f.id] = c.end
		if c.sealed { // bytes after its end are not valid
			covered[f.id] = f.size
		}
	}
	index := btree.NewG(treeDegree, func(a, b item) bool { return a.key < b.key })
	count := uint64(0)
	for {
		kind, b, err := next()
		if err != nil {
			return nil, nil, 0, err
		}
		r := &checkpointDecoder{b: b}
		if kind == 'E' {
			if r.uvarint() != count {
				return nil, nil, 0, errTruncated
			}
			return index, covered, clampSeq(seq), nil
		}
		for len(r.b) > 0 && !r.truncated {
			it := item{
				key: r.str(), expiry: r.varint(), seq: r.uvarint(), segmentID: uint32(r.uvarint()),
				offset: uint32(r.uvarint()), meta: uint32(r.uvarint()), staleRecords: uint32(r.uvarint()),
			}
			count++
			// A segment that is not covered was removed by compaction, which copied its live records.
			if _, there := covered[uint64(it.segmentID)]; there {
				index.ReplaceOrInsert(it)
			}
		}
		if r.truncated {
			return nil, nil, 0, errTruncated
		}
	}
}

// checkpointDecoder decodes numbers and strings; truncated is set when the bytes end too
// early or a number is malformed.
type checkpointDecoder struct {
	b         []byte
	truncated bool
}

// uvarint decodes an unsigned number, 0 if truncated.
func (r *checkpointDecoder) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.b, r.truncated = nil, true
		return 0
	}
	r.b = r.b[n:]
	return v
}

// varint decodes a signed number, 0 if truncated.
func (r *checkpointDecoder) varint() int64 {
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.b, r.truncated = nil, true
		return 0
	}
	r.b = r.b[n:]
	return v
}

// str decodes a string that follows its length, "" if truncated.
func (r *checkpointDecoder) str() string {
	n := r.uvarint()
	if n > uint64(len(r.b)) {
		r.b, r.truncated = nil, true
		return ""
	}
	t := string(r.b[:n])
	r.b = r.b[n:]
	return t
}
