package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"
	"time"

	"github.com/google/btree"
	"golang.org/x/time/rate"

	"robinmast/internal/store/vfs"
)

const (
	tempSuffix = ".tmp"
	lockName   = "LOCK"
	treeDegree = 48 // of the index
)

// Fault describes unreadable bytes of a file.
type Fault struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"` // bytes
	Size   int64  `json:"size"`   // bytes that can't be read as records
	Reason string `json:"reason"`
	Torn   bool   `json:"torn"` // the remains of a write that was never acknowledged: nothing is lost
}

// String returns the file, the place, the size and the reason.
func (f Fault) String() string {
	return fmt.Sprintf("%s: offset %d: %d bytes: %s", f.File, f.Offset, f.Size, f.Reason)
}

func (f Fault) compare(g Fault) int {
	return cmp.Or(strings.Compare(f.File, g.File), cmp.Compare(f.Offset, g.Offset))
}

// Recovery describes what Open found.
type Recovery struct {
	Entries    int           // keys that have not expired
	Expired    int           // keys that have expired
	Segments   int           // segment files in use
	Read       int64         // bytes of segments that were read
	Checkpoint bool          // a checkpoint was used, and only what followed it was read
	Torn       []Fault       // remains of writes that were never acknowledged; they are truncated
	Damaged    []Fault       // unreadable bytes; all other records are served
	InDoubt    int           // entries whose newest record may be among Damaged: an older value is served
	Took       time.Duration // duration of Open
}

// Open opens the store in a directory, and creates it if it does not exist. It never drops
// an acknowledged record that can be read, and never deletes damaged data. The error is
// vfs.ErrLocked, a *VersionError, or that of the file system.
func Open(dir string, opt Options) (*Store, Recovery, error) {
	began := time.Now()
	opt = opt.withDefaults()
	s := &Store{
		dir: strings.TrimSuffix(dir, "/"), opt: opt, fs: opt.FS,
		index:      btree.NewG(treeDegree, func(a, b item) bool { return a.key < b.key }),
		segments:   map[uint32]*segment{},
		writerWake: make(chan struct{}, 1), maintenanceWake: make(chan struct{}, 1), passDone: make(chan struct{}, 1),
		limiter: rate.NewLimiter(rate.Inf, copyChunkSize),
	}
	if opt.CompactionRate > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(opt.CompactionRate), max(copyChunkSize, int(opt.CompactionRate/4)))
	}
	if !opt.ReadOnly {
		if err := s.fs.MkdirAll(s.dir); err != nil {
			return nil, Recovery{}, fmt.Errorf("open store %s: %w", dir, err)
		}
	}
	lock, err := s.fs.Lock(vfs.Join(s.dir, lockName))
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("open store %s: %w", dir, err)
	}
	s.lock = lock
	rec, err := s.recoverIndex()
	if err != nil {
		for _, g := range s.segments {
			_ = g.file.Close()
		}
		_ = lock.Close()
		return nil, rec, fmt.Errorf("open store %s: %w", dir, wrapDiskFull(err))
	}
	if !opt.ReadOnly {
		var ctx context.Context
		ctx, s.cancel = context.WithCancel(context.Background())
		s.background.Add(1)
		go s.runWriter()
		if !opt.Manual {
			s.background.Add(1)
			go s.runMaintenance(ctx)
			s.wakeMaintenance()
		}
	}
	rec.Took = time.Since(began)
	return s, rec, nil
}

// segmentFile is a segment file as found at opening.
type segmentFile struct {
	*segment
	header   header
	headerOK bool  // the header is intact and matches the file name
	size     int64 // bytes
	packed   bool  // written by compaction
	newest   bool  // the last one that was appended to
}

// recoverIndex builds the index from the files of the directory.
func (s *Store) recoverIndex() (rec Recovery, err error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return rec, err
	}
	all, err := s.openSegments(names)
	if err != nil {
		return rec, err
	}
	ends := map[uint64]int64{} // synced size of segments, according to later headers and checkpoints
	for _, f := range all {
		if f.headerOK && f.header.prev != 0 {
			ends[f.header.prev] = int64(f.header.prevEnd)
		}
	}
	var covered map[uint64]int64
	if s.opt.ignoreCheckpoint { // only the synced sizes that it records are used
		covered, err := s.loadCheckpoint(all, names, ends)
		if err != nil {
			return rec, err
		}
		if covered != nil {
			s.index.Clear(false)
			s.seq = 0
		}
	} else {
		if covered, err = s.loadCheckpoint(all, names, ends); err != nil {
			return rec, err
		}
	}
	rec.Checkpoint = covered != nil
	// A void record may be in any later segment, so all segments are scanned before any
	// is replayed.
	scans := make([]*scanResult, len(all))
	voids := map[uint64]int64{}
	for i, f := range all {
		from := int64(0)
		if c, ok := covered[f.id]; ok {
			from = c
		}
		result, err := s.scanSegment(f, from)
		if err != nil {
			return rec, err
		}
		scans[i] = result
		for seg, from := range result.voids {
			addVoid(voids, seg, from)
		}
	}
	for i, f := range all {
		if err := s.replay(f, scans[i], ends, voids, &rec); err != nil {
			return rec, err
		}
	}
	s.computeUncertainty(&rec)
	s.prune(&rec)
	rec.Segments = len(s.segments)
	return rec, s.syncNewest(all)
}

// openSegments opens the segments among the files called names and reads their headers, removes
// temporary files, and returns the segments in the order of their numbers.
func (s *Store) openSegments(names []string) (all []segmentFile, err error) {
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) && !s.opt.ReadOnly {
			if err := s.fs.Remove(vfs.Join(s.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return nil, err
			}
		}
		if id, _, ok := parseName(name, damagedSuffix); ok {
			s.lastID = max(s.lastID, id)
		}
		id, salt, ok := parseName(name, segmentSuffix)
		packed := false
		if !ok {
			id, salt, packed = parseName(name, packSuffix)
		}
		if !ok && !packed {
			continue
		}
		f, err := s.fs.Open(vfs.Join(s.dir, name), !s.opt.ReadOnly)
		if err != nil {
			return nil, err
		}
		g := &segment{id: id, salt: salt, name: name, file: f, sealed: true, minSeq: ^uint64(0)}
		g.refs.Store(1)
		if other := s.segments[uint32(id)]; other != nil {
			_ = f.Close()
			return nil, fmt.Errorf("segments %s and %s have the same number", other.name, name)
		}
		s.segments[uint32(id)] = g
		s.lastID = max(s.lastID, id)
		size, err := f.Size()
		if err != nil {
			return nil, err
		}
		b := make([]byte, headerSize)
		n, err := f.ReadAt(b, 0)
		if err != nil && err != io.EOF {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
		h, err := decodeHeader(b[:n])
		var version *VersionError
		if errors.As(err, &version) {
			version.File = name
			return nil, version
		}
		all = append(all, segmentFile{
			segment: g, header: h, headerOK: err == nil && h.id == id && h.salt == salt, size: size, packed: packed,
		})
	}
	slices.SortFunc(all, func(a, b segmentFile) int { return cmp.Compare(a.id, b.id) })
	for i := len(all) - 1; i >= 0; i-- {
		if !all[i].packed {
			all[i].newest = true
			break
		}
	}
	return all, nil
}

// noteMissingEnd records that the end of a segment, or any part of a segment written by
// compaction, is missing. What it held is older than all that was appended to later segments.
func (s *Store) noteMissingEnd(g *segment) {
	if s.missingEnds == nil {
		s.missingEnds = map[uint64]bool{}
	}
	s.missingEnds[g.id] = true
}

// computeUncertainty determines the sequence number below which keys are in doubt, because
// their newest record may be unreadable. Records are numbered in the order of their segments, and
// compaction keeps their numbers.
func (s *Store) computeUncertainty(rec *Recovery) {
	for id := range s.missingEnds {
		before := ^uint64(0)
		for _, g := range s.segments {
			if g.id > id && g.minSeq > 0 && !strings.HasSuffix(g.name, packSuffix) {
				before = min(before, g.minSeq)
			}
		}
		s.uncertainBefore = max(s.uncertainBefore, before)
	}
	s.missingEnds = nil
	if s.uncertainBefore == 0 {
		return
	}
	s.index.Ascend(func(it item) bool {
		if !it.deleted() && it.seq < s.uncertainBefore {
			rec.InDoubt++
		}
		return true
	})
}

// syncNewest syncs the newest segment before anything is written that depends on it: after
// a crash of the process, its end may be only in the page cache.
func (s *Store) syncNewest(all []segmentFile) error {
	if s.opt.ReadOnly {
		return nil
	}
	for i := len(all) - 1; i >= 0; i-- {
		g := all[i].segment
		if s.segments[uint32(g.id)] != g || all[i].headerOK && all[i].header.end > 0 {
			continue
		}
		if len(g.faults) == 0 {
			if err := g.file.Sync(); err != nil {
				return fmt.Errorf("sync %s: %w", g.name, err)
			}
			s.previous = g
		}
		return nil
	}
	return nil
}
