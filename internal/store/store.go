// Package store owns a small embedded store that survives cuts: keys to values
// with an expiry, atomic batches, iteration by prefix, over a log of segments
// with an index in memory, checkpoints and compaction. docs/store.md has the
// format and the guarantees. It must never know what is stored, never log, and
// never acknowledge what the disk has not taken as asked.
package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/btree"
	"golang.org/x/time/rate"

	"robinmast/internal/store/vfs"
)

// The errors of a store, for errors.Is.
var (
	ErrNotFound = errors.New("no such key")
	ErrFull     = errors.New("no room on the disk")    // reads go on; writes work again when there is room
	ErrClosed   = errors.New("the store is closed")    //
	ErrBusy     = errors.New("too many writes wait")   // the queue's bound is met
	ErrReadOnly = errors.New("the store is read-only") //
	ErrDamaged  = errors.New("the value is damaged")   // its checksum differs
	ErrTooLarge = errors.New("larger than the store takes")
)

// VersionError says that a file has another version of the format. Nothing was touched.
type VersionError struct {
	File    string
	Version uint32
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: format version %d, this program knows %d", e.File, e.Version, Version)
}

// Durability says when a write is acknowledged.
type Durability uint8

// The durabilities of a write.
const (
	Soon    Durability = iota // when written; synced within Options.Interval
	Durable                   // when synced; concurrent writers share a sync
)

// Options are a store's settings. The zero value is usable.
type Options struct {
	FS             vfs.FS        // nil = the real file system
	Segment        int64         // bytes of disk beyond twice the live data; 0 = 8 MiB
	Interval       time.Duration // longest time until a Soon write is synced; 0 = 20 ms
	CompactionRate int64         // bytes a second while disk use is within its bound; 0 = no limit
	QueueBytes     int64         // most bytes of writes that wait; 0 = 32 MiB
	Now            func() int64  // Unix milliseconds; nil = the system's clock
	Spread         time.Duration // compaction and checkpoints wait a random part of it after opening, unless the disk is over its bound
	Salt           func() uint64 // random numbers for file names; nil = random
	ReadOnly       bool          // change nothing on the disk
	Manual         bool          // no compaction, checkpoint or sweep but by Compact: for tests

	ignoreCheckpoint bool // read the whole log, whatever a checkpoint holds
}

func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = vfs.OS{}
	}
	o.Segment = cmp.Or(o.Segment, 8<<20)
	o.Interval = cmp.Or(o.Interval, 20*time.Millisecond)
	o.QueueBytes = cmp.Or(o.QueueBytes, 32<<20)
	if o.Now == nil {
		o.Now = func() int64 { return time.Now().UnixMilli() }
	}
	if o.Salt == nil {
		o.Salt = rand.Uint64
	}
	return o
}

// unit is the size at which a segment file is left for the next one: a quarter
// of the disk allowed beyond twice the live data, so that the open file, one
// that compaction makes and some garbage fit.
func (o Options) segmentSize() int64 { return max(o.Segment/4, 512) }

// item is what the index knows of a key: 48 bytes and the key.
type item struct {
	key          string
	expiry       int64 // Unix milliseconds, 0 = never
	seq          uint64
	segmentID    uint32
	offset       uint32 // of checksum, key and value
	meta         uint32 // see newMeta
	staleRecords uint32 // other records of this key with a value on the disk
}

// gone, in place of a value's size, marks a key that was deleted; its item stays
// while older records of the key are on the disk, which it hides.
const deletedSize = 1<<24 - 1

// newMeta packs the size of a value with what its record takes besides key and
// value: its numbers and checksum, and the head of the batch for the first one.
func packMeta(o *op, overhead int64) uint32 {
	n := uint32(len(o.value))
	if o.delete {
		n = deletedSize
	}
	return uint32(min(overhead, 255))<<24 | n
}

func (it *item) deleted() bool { return it.meta&deletedSize == deletedSize }

// size is that of the value.
func (it *item) valueSize() int {
	if it.deleted() {
		return 0
	}
	return int(it.meta & deletedSize)
}

func (it *item) deletedOrExpired(now int64) bool {
	return it.deleted() || it.expiry != 0 && it.expiry <= now
}

// bytes is the room that the item's record takes.
func (it *item) recordSize() int64 {
	return int64(len(it.key)) + int64(it.valueSize()) + int64(it.meta>>24)
}

// segment is one file of the log.
type segment struct {
	id, salt  uint64
	name      string
	file      vfs.File
	refs      atomic.Int32
	end       int64 // where the next record goes, or the size
	syncedEnd int64
	liveBytes int64 // bytes of records that count
	minSeq    uint64
	sealed    bool // nothing is appended any more
	torn      bool // holds bytes of writes that were never acknowledged
	faults    []Fault
}

func (g *segment) release() {
	if g.refs.Add(-1) == 0 {
		_ = g.file.Close() // it was only read, or synced before
	}
}

// Store is an open store. Its methods may be called by any goroutine.
type Store struct {
	Stats Stats

	dir  string
	opt  Options
	fs   vfs.FS
	lock io.Closer

	mu          sync.RWMutex // guards the next group
	index       *btree.BTreeG[item]
	segments    map[uint32]*segment
	seq         uint64
	nextID      uint64
	diskBytes   int64 // bytes of all segments
	liveBytes   int64 // bytes of records that count
	sweepCursor string

	uncertainBefore uint64          // entries with a lower number may have a newer record that can't be read; set by Open
	missingEnds     map[uint64]bool // segments that miss their end, while Open reads

	queueMu     sync.Mutex
	queue       []*pendingWrite
	queuedBytes int64
	closed      bool
	writerWake  chan struct{}

	// The writer's own.
	active      *segment
	previous    *segment // the segment that was active before, for the next header
	voidRanges  []voidRange
	unsynced    bool
	writeBuffer []byte

	compactMu            sync.Mutex // one compaction or checkpoint at a time
	maintenanceWake      chan struct{}
	passDone             chan struct{} // a pass of compaction ended
	compactionFailing    atomic.Bool   // the last pass of compaction failed
	limiter              *rate.Limiter
	bytesSinceCheckpoint int64 // bytes written since the last checkpoint, by the writer
	checkpointBytes      int64 // size of the last checkpoint
	checkpointID         uint64

	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Stats are a store's counters.
type Stats struct {
	Batches, Bytes, Syncs, SyncNanos  atomic.Int64 // written, and the syncs that it took
	Failures, Full                    atomic.Int64 // batches that failed, and those of them for want of room
	Compactions, Reclaimed, Rewritten atomic.Int64 // passes; bytes freed and written by them
	CompactionFailures, GivenUp       atomic.Int64 // passes that failed; segments given up after a failed sync
	Checkpoints, CheckpointFailures   atomic.Int64
	Swept, Damaged                    atomic.Int64 // entries dropped by age; reads that found damage
}

// Info tells how a store stands.
type Info struct {
	Entries   int     `json:"entries"`
	Segments  int     `json:"segments"`
	DiskBytes int64   `json:"disk_bytes"`
	LiveBytes int64   `json:"live_bytes"`
	Bound     int64   `json:"bound_bytes"` // of DiskBytes
	LastSeq   uint64  `json:"last_seq"`
	SetAside  int     `json:"set_aside"`
	Faults    []Fault `json:"faults,omitempty"`
}

// Batch is a set of changes that take effect together. The zero value is empty.
type Batch struct {
	ops  []op
	size int
}

// Put sets a key; expiry is Unix milliseconds, 0 = never. The value must not
// change until the batch was applied.
func (b *Batch) Put(key string, value []byte, expiry int64) {
	b.add(op{key: key, value: value, expiry: expiry})
}

// Delete removes a key.
func (b *Batch) Delete(key string) { b.add(op{key: key, delete: true}) }

func (b *Batch) add(o op) {
	b.ops = append(b.ops, o)
	b.size += o.size()
}

// Len is the number of changes.
func (b *Batch) Len() int { return len(b.ops) }

func (b *Batch) check() error {
	if b.size > MaxBatch {
		return fmt.Errorf("batch of %d bytes: %w", b.size, ErrTooLarge)
	}
	for i := range b.ops {
		if o := &b.ops[i]; len(o.key) > MaxKey || len(o.value) > MaxValue {
			return fmt.Errorf("key of %d bytes with a value of %d: %w", len(o.key), len(o.value), ErrTooLarge)
		}
	}
	return nil
}

// Get reads a value. The error is ErrNotFound, ErrDamaged or what the disk said.
func (s *Store) Get(key string) ([]byte, error) {
	v, _, err := s.GetExpiry(key)
	return v, err
}

// GetExpiry is Get and the value's expiry.
func (s *Store) GetExpiry(key string) ([]byte, int64, error) {
	s.mu.RLock()
	it, ok := s.index.Get(item{key: key})
	if !ok || it.deletedOrExpired(s.opt.Now()) {
		s.mu.RUnlock()
		return nil, 0, ErrNotFound
	}
	g := s.segments[it.segmentID]
	g.refs.Add(1)
	s.mu.RUnlock()
	defer g.release()
	v, err := s.read(g, it)
	return v, it.expiry, err
}

// InDoubt reports whether a key's newest record may be among what could not be read
// at opening, so that Get gives an older value, or none where there was one. A write
// of the key ends it.
func (s *Store) InDoubt(key string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.uncertainBefore == 0 {
		return false
	}
	it, ok := s.index.Get(item{key: key})
	return !ok || it.seq < s.uncertainBefore
}

// read reads an item's value and checks it.
func (s *Store) read(g *segment, it item) ([]byte, error) {
	buf := make([]byte, 4+len(it.key)+it.valueSize())
	if _, err := g.file.ReadAt(buf, int64(it.offset)); err != nil {
		s.recordDamage(g, it, err.Error())
		return nil, fmt.Errorf("read %s at %d: %w", g.name, it.offset, errors.Join(ErrDamaged, err))
	}
	key, value := buf[4:4+len(it.key)], buf[4+len(it.key):]
	if string(key) != it.key || opChecksum(it.key, value) != uint32(buf[0])|uint32(buf[1])<<8|uint32(buf[2])<<16|uint32(buf[3])<<24 {
		s.recordDamage(g, it, "checksum differs")
		return nil, fmt.Errorf("read %s at %d: %w", g.name, it.offset, ErrDamaged)
	}
	return value, nil
}

// mostFaults bounds what is noted of one segment; it is set aside by the first.
const maxFaults = 16

// damaged notes a value that can't be read, and has its segment set aside.
func (s *Store) recordDamage(g *segment, it item, why string) {
	s.Stats.Damaged.Add(1)
	s.mu.Lock()
	known := slices.ContainsFunc(g.faults, func(f Fault) bool { return f.Offset == int64(it.offset) })
	if !known && len(g.faults) < maxFaults {
		g.faults = append(g.faults, Fault{File: g.name, Offset: int64(it.offset), Size: int64(4 + len(it.key) + it.valueSize()), Reason: why})
	}
	s.mu.Unlock()
	s.wakeMaintenance()
}

// Entry is one key with its value.
type Entry struct {
	Key    string
	Value  []byte
	Expiry int64
	Doubt  bool // its newest record may be one that can't be read: this may be an older value
}

// Scan calls f for every key that begins with prefix, in order, as of now. An
// error of f ends it; a damaged value is passed to f with a nil Value and the
// error by damaged, if set, else ends the scan.
func (s *Store) Scan(prefix string, damaged func(key string, err error), f func(Entry) error) error {
	s.mu.Lock() // a clone marks both trees as shared
	snapshot := s.index.Clone()
	pinned := make([]*segment, 0, len(s.segments))
	byID := make(map[uint32]*segment, len(s.segments))
	for id, g := range s.segments {
		g.refs.Add(1)
		pinned = append(pinned, g)
		byID[id] = g
	}
	s.mu.Unlock()
	defer func() {
		for _, g := range pinned {
			g.release()
		}
	}()
	now := s.opt.Now()
	var err error
	snapshot.AscendGreaterOrEqual(item{key: prefix}, func(it item) bool {
		if len(it.key) < len(prefix) || it.key[:len(prefix)] != prefix {
			return false
		}
		if it.deletedOrExpired(now) {
			return true
		}
		v, rerr := s.read(byID[it.segmentID], it)
		if rerr != nil {
			if damaged != nil {
				damaged(it.key, rerr)
				return true
			}
			err = rerr
			return false
		}
		err = f(Entry{Key: it.key, Value: v, Expiry: it.expiry, Doubt: it.seq < s.uncertainBefore})
		return err == nil
	})
	return err
}

// Len is the number of keys in the index, those that expired but were not yet
// swept included.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.Len()
}

// Info tells how the store stands.
func (s *Store) Info() Info {
	names, _ := s.fs.List(s.dir) // the folder was readable a moment ago; without it nothing is set aside
	s.mu.RLock()
	defer s.mu.RUnlock()
	info := Info{Segments: len(s.segments), DiskBytes: s.diskBytes, LiveBytes: s.liveBytes, Bound: 2*s.liveBytes + s.opt.Segment, LastSeq: s.seq}
	now := s.opt.Now()
	s.index.Ascend(func(it item) bool {
		if !it.deletedOrExpired(now) {
			info.Entries++
		}
		return true
	})
	for _, name := range names {
		if _, _, ok := parseName(name, damagedSuffix); ok {
			info.SetAside++
		}
	}
	for _, g := range s.segments {
		info.Faults = append(info.Faults, g.faults...)
	}
	slices.SortFunc(info.Faults, Fault.compare)
	return info
}

// full turns an error for want of room into ErrFull.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// put notes a record in the index; the lock must be held. It returns false if
// a newer record, or the same one elsewhere, is known already.
func (s *Store) updateIndex(newItem item) bool {
	current, exists := s.index.Get(item{key: newItem.key})
	if exists && current.seq >= newItem.seq {
		if !newItem.deleted() {
			current.staleRecords++
			s.index.ReplaceOrInsert(current)
		}
		return false
	}
	if exists {
		newItem.staleRecords = current.staleRecords
		if !current.deleted() {
			newItem.staleRecords++
		}
		s.addLiveBytes(&current, -1)
	}
	if newItem.deleted() && newItem.staleRecords == 0 { // nothing to hide
		if exists {
			s.index.Delete(current)
		}
		return true
	}
	s.index.ReplaceOrInsert(newItem)
	s.addLiveBytes(&newItem, 1)
	return true
}

// count adds an item's bytes to, or takes them from, what is live.
func (s *Store) addLiveBytes(it *item, sign int64) {
	s.liveBytes += sign * it.recordSize()
	if g := s.segments[it.segmentID]; g != nil {
		g.liveBytes += sign * it.recordSize()
	}
}

// sweep takes expired entries out of the index, some at a time, so that all are
// seen within a minute. One that hides older records stays until those are gone.
func (s *Store) sweep() {
	const batchSize = 512
	now := s.opt.Now()
	s.mu.RLock()
	steps := 1 + s.index.Len()/60/batchSize
	s.mu.RUnlock()
	for range steps {
		s.mu.Lock()
		var expired []item
		visited, last := 0, ""
		s.index.AscendGreaterOrEqual(item{key: s.sweepCursor}, func(it item) bool {
			visited++
			last = it.key
			if !it.deleted() && it.deletedOrExpired(now) && it.staleRecords == 0 {
				expired = append(expired, it)
			}
			return visited < batchSize
		})
		s.sweepCursor = last + "\x00"
		if visited < batchSize {
			s.sweepCursor = ""
		}
		for _, it := range expired {
			s.index.Delete(it)
			s.addLiveBytes(&it, -1)
		}
		s.Stats.Swept.Add(int64(len(expired)))
		s.mu.Unlock()
		if visited < batchSize {
			return
		}
	}
}
