// This file owns the form of records and of segment headers in bytes. It must
// never read or write a file. docs/store.md describes the same form in words.

package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"strconv"
	"strings"
)

// Version is the version of the format, in every file's header.
const Version = 1

// Bounds of what is stored.
const (
	MaxKey   = 64 << 10 // bytes
	MaxValue = 16<<20 - 2
	MaxBatch = 32 << 20 // of all keys and values of a batch
)

const (
	segmentMagic     = "RMSTSEG\n"
	headerSize       = 64
	recordMagic      = 0xA35C
	recordHeaderSize = 24
	maxRecordBody    = MaxBatch + 1<<20 // what a batch may need besides
	opOverhead       = 16               // bytes an operation usually needs besides key and value
)

// The kinds of records.
const (
	recordBatch = 1 // operations that take effect together
	recordVoid  = 2 // says that the rest of another segment never counted
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errTruncated = errors.New("cut short")

// header is the first record of a segment file. The salt stands in the file's
// name too, so that records can be told from stray bytes without the header.
type header struct {
	id, salt uint64
	prev     uint64 // the segment that was written before, 0 = none
	prevEnd  uint64 // its size when it was left, all of it synced
	end      uint64 // size of a segment that compaction made; 0 = it grew record by record
}

// The suffixes of segment files: one that grew record by record, one that
// compaction made and that had its name only once it was whole, and one that was
// set aside.
const (
	segmentSuffix = ".seg"
	packSuffix    = ".pack"
	damagedSuffix = ".damaged"
)

func segmentName(id, salt uint64, suffix string) string {
	return fmt.Sprintf("%08x-%016x%s", id, salt, suffix)
}

// parseName reads the name of a segment file; suffix is what follows the salt.
func parseName(name, suffix string) (id, salt uint64, ok bool) {
	base, found := strings.CutSuffix(name, suffix)
	if !found || len(base) != 25 || base[8] != '-' {
		return 0, 0, false
	}
	id, err1 := strconv.ParseUint(base[:8], 16, 32)
	salt, err2 := strconv.ParseUint(base[9:], 16, 64)
	return id, salt, err1 == nil && err2 == nil && id > 0
}

func (h header) encode() []byte {
	buf := make([]byte, 0, headerSize)
	buf = append(buf, segmentMagic...)
	buf = binary.LittleEndian.AppendUint32(buf, Version)
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	for _, v := range []uint64{h.id, h.salt, h.prev, h.prevEnd, h.end} {
		buf = binary.LittleEndian.AppendUint64(buf, v)
	}
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	return binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoli))
}

// decodeHeader reads a header. An intact one of another version is a *VersionError.
func decodeHeader(b []byte) (h header, err error) {
	if len(b) < headerSize {
		return h, errTruncated
	}
	b = b[:headerSize]
	if string(b[:8]) != segmentMagic || binary.LittleEndian.Uint32(b[headerSize-4:]) != crc32.Checksum(b[:headerSize-4], castagnoli) {
		return h, errors.New("header damaged")
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v != Version {
		return h, &VersionError{Version: v}
	}
	u := func(i int) uint64 { return binary.LittleEndian.Uint64(b[16+8*i:]) }
	return header{id: u(0), salt: u(1), prev: u(2), prevEnd: u(3), end: u(4)}, nil
}

// op is one operation of a batch.
type op struct {
	key    string
	value  []byte
	expiry int64 // Unix milliseconds, 0 = never
	seq    uint64
	delete bool
}

func (o *op) size() int { return len(o.key) + len(o.value) + opOverhead }

// appendRecord encodes a batch record that will stand at offset off of the
// segment with this salt. at tells for each operation where in the file its
// checksum, key and value stand, and what it takes besides key and value.
func appendRecord(b []byte, salt uint64, off, synced int64, ops []op, placed func(i int, off, over int64)) []byte {
	start := len(b)
	previousEnd := start
	b = append(b, make([]byte, recordHeaderSize)...)
	base := uint64(0)
	if len(ops) > 0 {
		base = ops[0].seq
	}
	b = binary.AppendUvarint(b, base)
	b = binary.AppendUvarint(b, uint64(len(ops)))
	for i := range ops {
		operation := &ops[i]
		flag := byte(0)
		if operation.delete {
			flag = 1
		}
		b = append(b, flag)
		b = binary.AppendVarint(b, int64(operation.seq-base))
		b = binary.AppendVarint(b, operation.expiry)
		b = binary.AppendUvarint(b, uint64(len(operation.key)))
		b = binary.AppendUvarint(b, uint64(len(operation.value)))
		if placed != nil {
			placed(i, off+int64(len(b)-start), int64(len(b)+4-previousEnd))
		}
		b = binary.LittleEndian.AppendUint32(b, opChecksum(operation.key, operation.value))
		b = append(b, operation.key...)
		b = append(b, operation.value...)
		previousEnd = len(b)
	}
	finishRecord(b[start:], recordBatch, salt, off, synced)
	return b
}

// opSum covers one operation's key and value, so that a read needs no more of its batch.
func opChecksum(key string, value []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, []byte(key)), castagnoli, value)
}

// appendVoid encodes a record that voids another segment from an offset on.
func appendVoid(b []byte, salt uint64, off int64, seg uint64, from int64) []byte {
	start := len(b)
	b = append(b, make([]byte, recordHeaderSize)...)
	b = binary.LittleEndian.AppendUint64(b, seg)
	b = binary.LittleEndian.AppendUint64(b, uint64(from))
	finishRecord(b[start:], recordVoid, salt, off, off)
	return b
}

// finishRecord fills the head of a record: magic, kind, body size, how much of
// the segment was synced before it, and the two checksums. That of the head
// covers salt and offset too: a copy of a record elsewhere, or inside a value,
// is none.
func finishRecord(encoded []byte, kind byte, salt uint64, off, synced int64) {
	binary.LittleEndian.PutUint16(encoded, recordMagic)
	encoded[2], encoded[3] = kind, 0
	binary.LittleEndian.PutUint32(encoded[4:], uint32(len(encoded)-recordHeaderSize))
	binary.LittleEndian.PutUint64(encoded[8:], uint64(synced))
	binary.LittleEndian.PutUint32(encoded[16:], crc32.Checksum(encoded[recordHeaderSize:], castagnoli))
	binary.LittleEndian.PutUint32(encoded[20:], headerChecksum(encoded, salt, off))
}

func headerChecksum(r []byte, salt uint64, off int64) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], salt)
	binary.LittleEndian.PutUint64(place[8:], uint64(off))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, r[:20])
}

// record is a record as read.
type record struct {
	kind   byte
	off    int64
	size   int64 // with its head
	synced int64
	body   []byte
}

// decodeHead reads a record's head; ok is false for anything else.
func decodeRecordHeader(b []byte, salt uint64, off int64) (r record, sum uint32, ok bool) {
	if len(b) < recordHeaderSize || binary.LittleEndian.Uint16(b) != recordMagic {
		return r, 0, false
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > maxRecordBody || binary.LittleEndian.Uint32(b[20:]) != headerChecksum(b, salt, off) {
		return r, 0, false
	}
	r = record{kind: b[2], off: off, size: recordHeaderSize + int64(n), synced: int64(binary.LittleEndian.Uint64(b[8:]))}
	return r, binary.LittleEndian.Uint32(b[16:]), true
}

// decodeRecord reads the record that begins b, which stands at off.
func decodeRecord(b []byte, salt uint64, off int64) (record, error) {
	r, sum, ok := decodeRecordHeader(b, salt, off)
	if !ok {
		return r, errors.New("no record")
	}
	if int64(len(b)) < r.size {
		return r, errTruncated
	}
	r.body = b[recordHeaderSize:r.size]
	if crc32.Checksum(r.body, castagnoli) != sum {
		return r, errors.New("checksum differs")
	}
	return r, nil
}

// void reads the body of a void record.
func (r *record) decodeVoid() (seg uint64, from int64, err error) {
	if len(r.body) != 16 {
		return 0, 0, errors.New("void record of a wrong size")
	}
	return binary.LittleEndian.Uint64(r.body), int64(binary.LittleEndian.Uint64(r.body[8:])), nil
}

// each reads a batch's operations; off is where in the file an operation's
// checksum, key and value stand, over what it takes besides key and value. Keys and values live as long as the body.
func (r *record) decodeOps(f func(o op, off, overhead int64) error) error {
	b := r.body
	previousEnd := r.off
	fault := func(what string) error {
		return fmt.Errorf("record at %d: %s at byte %d of its body", r.off, what, len(r.body)-len(b))
	}
	uvarint := func() (uint64, bool) {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return 0, false
		}
		b = b[n:]
		return v, true
	}
	varint := func() (int64, bool) {
		v, n := binary.Varint(b)
		if n <= 0 {
			return 0, false
		}
		b = b[n:]
		return v, true
	}
	base, ok1 := uvarint()
	count, ok2 := uvarint()
	if !ok1 || !ok2 || count > maxRecordBody {
		return fault("no count")
	}
	for range count {
		if len(b) == 0 || b[0] > 1 {
			return fault("no operation")
		}
		o := op{delete: b[0] == 1}
		b = b[1:]
		delta, ok1 := varint()
		expiry, ok2 := varint()
		klen, ok3 := uvarint()
		vlen, ok4 := uvarint()
		if !ok1 || !ok2 || !ok3 || !ok4 || klen > MaxKey || vlen > MaxValue || klen+vlen+4 > uint64(len(b)) {
			return fault("an operation cut short")
		}
		o.seq, o.expiry = base+uint64(delta), expiry
		off := r.off + r.size - int64(len(b))
		sum := binary.LittleEndian.Uint32(b)
		b = b[4:]
		o.key, o.value = string(b[:klen]), b[klen:klen+vlen:klen+vlen]
		b = b[klen+vlen:]
		if opChecksum(o.key, o.value) != sum {
			return fault("an operation's checksum differs")
		}
		overhead := off + 4 - previousEnd
		previousEnd = off + 4 + int64(klen+vlen)
		if err := f(o, off, overhead); err != nil {
			return err
		}
	}
	if len(b) > 0 {
		return fault("bytes after the last operation")
	}
	return nil
}

// clampSeq guards the count of operations against a number read from a file.
func clampSeq(seq uint64) uint64 { return min(seq, math.MaxUint64/2) }
