// Package store is a small embedded key-value store that survives crashes and power
// cuts. It maps keys to values with an expiry, applies batches atomically and
// iterates by prefix. The data is a log of segment files with an index of all keys in
// memory; checkpoints of the index shorten recovery, and compaction bounds the use of
// the disk. docs/store.md specifies the format and the guarantees.
//
// The package does not interpret keys or values and writes no log messages: faults are
// returned as errors, counted in Stats and listed in Recovery and Info. A write is not
// acknowledged before it is as durable as its caller asked for.
//
// One goroutine writes the log (see writer.go) and one does the maintenance (see
// maintenance.go). The methods of a Store may be called by any goroutine.
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

// Errors of a store, to be tested with errors.Is.
var (
	ErrNotFound = errors.New("key not found")
	ErrFull     = errors.New("disk full") // reads still work; writes work again once there is space
	ErrClosed   = errors.New("store is closed")
	ErrBusy     = errors.New("write queue is full") // Options.QueueBytes is reached
	ErrReadOnly = errors.New("store is read-only")
	ErrDamaged  = errors.New("value is damaged")            // it can't be read, or its checksum differs
	ErrTooLarge = errors.New("larger than the store takes") // see MaxKey, MaxValue and MaxBatch
)

// VersionError reports a file with another version of the format. No file was changed.
type VersionError struct {
	File    string
	Version uint32
}

// Error names the file, its version and the supported one.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: unsupported format version %d (supported: %d)", e.File, e.Version, Version)
}

// Durability defines when a write is acknowledged.
type Durability uint8

// The levels of durability of a write.
const (
	Buffered Durability = iota // once written; it is synced within Options.Interval
	Durable                    // once synced; concurrent writers share a sync
)

// Options are a store's settings. The zero value is usable.
type Options struct {
	FS               vfs.FS        // nil = the operating system's file system
	SlackBytes       int64         // bytes of disk allowed beyond twice the live data; 0 = 8 MiB
	SyncInterval     time.Duration // maximum time until a Buffered write is synced; 0 = 20 ms
	CompactionRate   int64         // bytes per second while disk use is within its bound; 0 = no limit
	QueueBytes       int64         // maximum bytes of queued writes; 0 = 32 MiB
	Now              func() int64  // Unix time in milliseconds; nil = the system's clock
	MaintenanceDelay time.Duration // maximum random delay of maintenance after opening; 0 = none
	Salt             func() uint64 // random numbers for file names; nil = math/rand/v2
	ReadOnly         bool          // change nothing on the disk
	Manual           bool          // compaction, checkpoints and sweeps only on request: for tests

	ignoreCheckpoint bool // read the whole log even if there is a valid checkpoint
}

// withDefaults replaces zero values by the defaults.
func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = vfs.OS{}
	}
	o.SlackBytes = cmp.Or(o.SlackBytes, 8<<20)
	o.SyncInterval = cmp.Or(o.SyncInterval, 20*time.Millisecond)
	o.QueueBytes = cmp.Or(o.QueueBytes, 32<<20)
	if o.Now == nil {
		o.Now = func() int64 { return time.Now().UnixMilli() }
	}
	if o.Salt == nil {
		o.Salt = rand.Uint64
	}
	return o
}

// segmentSize is the size in bytes at which a segment file is sealed and the next one
// is created: a quarter of the disk space allowed beyond twice the live data, so that the
// active segment, one being written by compaction and some garbage fit into it.
func (o Options) segmentSize() int64 { return max(o.SlackBytes/4, 512) }

// segment is one file of the log.
type segment struct {
	id, salt  uint64
	name      string
	file      vfs.File
	refs      atomic.Int32 // the store's reference and those of reads in progress
	end       int64        // offset of the next record; the size in bytes once sealed
	syncedEnd int64        // end as of the last sync
	liveBytes int64        // bytes of records that the index refers to
	minSeq    uint64       // lowest sequence number in it
	sealed    bool         // nothing is appended any more
	torn      bool         // holds bytes of writes that were never acknowledged
	faults    []Fault
}

// release drops a reference; the last one closes the file.
func (g *segment) release() {
	if g.refs.Add(-1) == 0 {
		_ = g.file.Close() // all that was written to it is synced
	}
}

// Store is an open store. Its methods may be called by any goroutine.
type Store struct {
	Stats Stats

	dir  string
	opt  Options
	fs   vfs.FS
	lock io.Closer

	mu          sync.RWMutex // guards the fields up to sweepCursor
	index       *btree.BTreeG[item]
	segments    map[uint32]*segment // by number
	seq         uint64              // sequence number of the last operation
	lastID      uint64              // number of the last segment file
	diskBytes   int64               // bytes of all segments
	liveBytes   int64               // bytes of records that the index refers to
	sweepCursor string              // key at which the next sweep continues

	// Set by Open: a key whose newest readable record has a lower sequence number is in doubt.
	uncertainBefore uint64
	missingEnds     map[uint64]bool // segments whose end is missing; used while Open reads

	queueMu     sync.Mutex
	queue       []*pendingWrite
	queuedBytes int64
	closed      bool
	writerWake  chan struct{} // signalled when the queue or closed has changed

	// Used only by the writer's goroutine.
	active      *segment
	previous    *segment    // the segment that was active before; the next header refers to it
	voidRanges  []voidRange // to be recorded in the next segment
	unsynced    bool        // acknowledged writes are not synced yet
	writeBuffer []byte

	compactMu            sync.Mutex    // held by a compaction or a checkpoint
	maintenanceWake      chan struct{} // signalled when a pass may find work
	passDone             chan struct{} // signalled after each maintenance pass
	compactionFailing    atomic.Bool   // the last compaction pass failed
	limiter              *rate.Limiter // of Options.CompactionRate
	bytesSinceCheckpoint int64         // used only by the writer
	checkpointBytes      int64         // size of the last checkpoint file
	checkpointID         uint64        // number of the last checkpoint file

	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Stats are a store's counters.
type Stats struct {
	Batches, Bytes, Syncs, SyncNanos      atomic.Int64 // written, and the syncs they took
	Failures, Full                        atomic.Int64 // failed batches, and those of them that met a full disk
	Compactions, Reclaimed, Rewritten     atomic.Int64 // passes; bytes freed, and bytes written, by them
	CompactionFailures, AbandonedSegments atomic.Int64 // failed passes; segments abandoned after a failed sync
	Checkpoints, CheckpointFailures       atomic.Int64
	Swept, Damaged                        atomic.Int64 // expired entries removed; reads that found damage
}

// Info describes the state of a store.
type Info struct {
	Entries   int     `json:"entries"` // keys that have not expired
	Segments  int     `json:"segments"`
	DiskBytes int64   `json:"disk_bytes"`
	LiveBytes int64   `json:"live_bytes"`
	Bound     int64   `json:"bound_bytes"` // limit of DiskBytes
	LastSeq   uint64  `json:"last_seq"`
	SetAside  int     `json:"set_aside"` // damaged segment files that were set aside
	Faults    []Fault `json:"faults,omitempty"`
}

// Info returns the state of the store.
func (s *Store) Info() Info {
	names, _ := s.fs.List(s.dir) // on an error SetAside is 0
	s.mu.RLock()
	defer s.mu.RUnlock()
	info := Info{
		Segments: len(s.segments), DiskBytes: s.diskBytes, LiveBytes: s.liveBytes,
		Bound: 2*s.liveBytes + s.opt.SlackBytes, LastSeq: s.seq,
	}
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

// wrapDiskFull adds ErrFull to an error that says that the disk, the quota or the file
// size is exhausted.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}
