package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
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
	blockHeaderSize     = 9        // bytes: the kind, the size and the checksum of a block's body
)

// Kinds of blocks of a checkpoint file.
const (
	headerBlock byte = 'H' // the version, the sequence number and the coverage of each segment
	itemBlock   byte = 'B' // entries of the index
	endBlock    byte = 'E' // the number of entries
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
		b := make([]byte, 0, blockHeaderSize+len(body))
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
	err = block(headerBlock, head)
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
			err = block(itemBlock, body)
			body = body[:0]
		}
		return true
	})
	if err == nil && len(body) > 0 {
		err = block(itemBlock, body)
	}
	if err == nil {
		err = block(endBlock, binary.AppendUvarint(nil, count))
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
		loaded, err := s.readCheckpoint(names[i], all, ends)
		var version *VersionError
		if errors.As(err, &version) {
			return nil, version
		}
		if err != nil {
			continue // an older checkpoint or the log is used
		}
		s.index, s.seq = loaded.index, loaded.seq
		if f, err := s.fs.Open(vfs.Join(s.dir, names[i]), false); err == nil {
			s.checkpointBytes, _ = f.Size()
			_ = f.Close()
		}
		return loaded.covered, nil
	}
	return nil, nil
}
