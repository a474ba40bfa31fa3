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
