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

// Version is the version of the format, stored in the header of every file. docs/store.md
// describes the format.
const Version = 1

// Limits of what is stored.
const (
	MaxKey   = 64 << 10   // bytes
	MaxValue = 16<<20 - 2 // bytes
	MaxBatch = 32 << 20   // bytes of all keys and values of a batch, with opOverhead for each
)

const (
	segmentMagic     = "RMSTSEG\n"
	headerSize       = 64
	recordMagic      = 0xA35C
	recordHeaderSize = 24
	maxRecordBody    = MaxBatch + 1<<20 // bytes; more than MaxBatch, for numbers and checksums
	opOverhead       = 16               // bytes that an operation usually takes besides key and value
)

// The kinds of records.
const (
	recordBatch = 1 // the operations of one batch
	recordVoid  = 2 // states that another segment is not valid from an offset on
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errTruncated = errors.New("cut short")

// header is the header of a segment file. The file name has the salt too, so that records
// can be recognized even if the header is damaged.
type header struct {
	id, salt uint64
	prev     uint64 // number of the previous segment, 0 = none
	prevEnd  uint64 // synced size of the previous segment when it was sealed
	end      uint64 // size of a segment written by compaction; 0 = the segment was appended to
}

// The suffixes of segment files.
const (
	segmentSuffix = ".seg"     // records are appended to it
	packSuffix    = ".pack"    // written by compaction, and renamed to this name only when complete
	damagedSuffix = ".damaged" // set aside since it is damaged
)

// segmentName returns the name of a segment file.
func segmentName(id, salt uint64, suffix string) string {
	return fmt.Sprintf("%08x-%016x%s", id, salt, suffix)
}

// parseName parses the name of a segment file that ends in suffix.
func parseName(name, suffix string) (id, salt uint64, ok bool) {
	base, found := strings.CutSuffix(name, suffix)
	if !found || len(base) != 25 || base[8] != '-' {
		return 0, 0, false
	}
	id, err1 := strconv.ParseUint(base[:8], 16, 32)
	salt, err2 := strconv.ParseUint(base[9:], 16, 64)
	return id, salt, err1 == nil && err2 == nil && id > 0
}

// encode returns the headerSize bytes of the header.
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

// decodeHeader decodes a header. The error for an intact one of another version is a
// *VersionError.
func decodeHeader(b []byte) (h header, err error) {
	if len(b) < headerSize {
		return h, errTruncated
	}
	b = b[:headerSize]
	if string(b[:8]) != segmentMagic ||
		binary.LittleEndian.Uint32(b[headerSize-4:]) != crc32.Checksum(b[:headerSize-4], castagnoli) {
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

// size is the approximate size of the operation in a record, in bytes.
func (o *op) size() int { return len(o.key) + len(o.value) + opOverhead }

// appendRecord appends a batch record for offset off of the segment with this salt. For
// each operation, placed (if not nil) receives the offset in the file of its checksum, key
// and value, and its overhead: the bytes that it takes besides key and value.
func appendRecord(b []byte, salt uint64, off, synced int64, ops []op, placed func(i int, off, overhead int64)) []byte {
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

// opChecksum covers the key and value of one operation, so that it can be read and
// verified without the rest of its batch.
func opChecksum(key string, value []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, []byte(key)), castagnoli, value)
}

// appendVoid appends a record that voids the segment seg from the offset from on.
func appendVoid(b []byte, salt uint64, off int64, seg uint64, from int64) []byte {
	start := len(b)
	b = append(b, make([]byte, recordHeaderSize)...)
	b = binary.LittleEndian.AppendUint64(b, seg)
	b = binary.LittleEndian.AppendUint64(b, uint64(from))
	finishRecord(b[start:], recordVoid, salt, off, off)
	return b
}

// finishRecord fills in the header of an encoded record: magic, kind, body size, synced
// size of the segment before it, and the checksums of body and header. The header's
// checksum covers salt and offset too, so that a copy of a record at another place, or
// inside a value, is not taken for a record.
func finishRecord(encoded []byte, kind byte, salt uint64, off, synced int64) {
	binary.LittleEndian.PutUint16(encoded, recordMagic)
	encoded[2], encoded[3] = kind, 0
	binary.LittleEndian.PutUint32(encoded[4:], uint32(len(encoded)-recordHeaderSize))
	binary.LittleEndian.PutUint64(encoded[8:], uint64(synced))
	binary.LittleEndian.PutUint32(encoded[16:], crc32.Checksum(encoded[recordHeaderSize:], castagnoli))
	binary.LittleEndian.PutUint32(encoded[20:], headerChecksum(encoded, salt, off))
}

// headerChecksum is the checksum of a record header at this place.
func headerChecksum(r []byte, salt uint64, off int64) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], salt)
	binary.LittleEndian.PutUint64(place[8:], uint64(off))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, r[:20])
}

// record is a decoded record.
type record struct {
	kind   byte
	off    int64 // in the segment file
	size   int64 // bytes, with the header
	synced int64 // synced size of the segment when it was written
	body   []byte
}

// decodeRecordHeader decodes the header of a record at off, and returns the checksum of the
// body. ok is false if b does not start with a valid header.
func decodeRecordHeader(b []byte, salt uint64, off int64) (r record, sum uint32, ok bool) {
	if len(b) < recordHeaderSize || binary.LittleEndian.Uint16(b) != recordMagic {
		return r, 0, false
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > maxRecordBody || binary.LittleEndian.Uint32(b[20:]) != headerChecksum(b, salt, off) {
		return r, 0, false
	}
	r = record{
		kind: b[2], off: off, size: recordHeaderSize + int64(n),
		synced: int64(binary.LittleEndian.Uint64(b[8:])),
	}
	return r, binary.LittleEndian.Uint32(b[16:]), true
}

// decodeRecord decodes the record at the start of b, which is at off in the file.
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

// decodeVoid decodes the body of a void record.
func (r *record) decodeVoid() (seg uint64, from int64, err error) {
	if len(r.body) != 16 {
		return 0, 0, errors.New("void record of a wrong size")
	}
	return binary.LittleEndian.Uint64(r.body), int64(binary.LittleEndian.Uint64(r.body[8:])), nil
}

// decodeOps calls f for each operation of a batch, with the offset in the file of its
// checksum, key and value, and the bytes that it takes besides key and value. Values share
// memory with the body.
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

// clampSeq bounds a sequence number read from a file, so that counting on does not overflow.
func clampSeq(seq uint64) uint64 { return min(seq, math.MaxUint64/2) }
