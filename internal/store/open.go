// This file owns opening: what the files hold is told apart into what counts, a
// torn tail, damage, and files of another version. It must never drop a record
// that was acknowledged and can be read, and never delete what is damaged.

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
	treeDegree = 48
)

// Fault is one thing wrong with a file.
type Fault struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"`
	Size   int64  `json:"size"` // bytes that can't be read as records
	Reason string `json:"reason"`
	Torn   bool   `json:"torn"` // the end of a write that was never acknowledged: no loss
}

func (f Fault) String() string {
	return fmt.Sprintf("%s: offset %d: %d bytes: %s", f.File, f.Offset, f.Size, f.Reason)
}

func (f Fault) compare(g Fault) int {
	return cmp.Or(strings.Compare(f.File, g.File), cmp.Compare(f.Offset, g.Offset))
}

// Recovery tells what opening found.
type Recovery struct {
	Entries    int           // keys that count and have not expired
	Expired    int           // keys that have
	Segments   int           //
	Read       int64         // bytes of segments that were read
	Checkpoint bool          // a checkpoint spared the rest
	Torn       []Fault       // ends of writes that were never acknowledged, cut
	Damaged    []Fault       // bytes that can't be read; all other records are served
	InDoubt    int           // entries whose newest record may be among them: an older value is served
	Took       time.Duration //
}

// Open opens the store in a folder, and makes it if it is missing. The errors
// are vfs.ErrLocked, a *VersionError, or what the disk said.
func Open(dir string, opt Options) (*Store, Recovery, error) {
	began := time.Now()
	opt = opt.withDefaults()
	s := &Store{
		dir: strings.TrimSuffix(dir, "/"), opt: opt, fs: opt.FS,
		index:    btree.NewG(treeDegree, func(a, b item) bool { return a.key < b.key }),
		segments: map[uint32]*segment{}, writerWake: make(chan struct{}, 1), maintenanceWake: make(chan struct{}, 1), passDone: make(chan struct{}, 1),
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

// found is a segment file at opening.
type segmentFile struct {
	*segment
	header   header
	headerOK bool
	size     int64
	packed   bool // made by compaction
	newest   bool // no segment that grew record by record is younger
}

// recover reads the folder into the index.
func (s *Store) recoverIndex() (rec Recovery, err error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return rec, err
	}
	var all []segmentFile
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) && !s.opt.ReadOnly {
			if err := s.fs.Remove(vfs.Join(s.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return rec, err
			}
		}
		if id, _, ok := parseName(name, damagedSuffix); ok {
			s.nextID = max(s.nextID, id)
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
			return rec, err
		}
		g := &segment{id: id, salt: salt, name: name, file: f, sealed: true, minSeq: ^uint64(0)}
		g.refs.Store(1)
		if was := s.segments[uint32(id)]; was != nil {
			_ = f.Close()
			return rec, fmt.Errorf("%s and %s have one number", was.name, name)
		}
		s.segments[uint32(id)] = g
		s.nextID = max(s.nextID, id)
		size, err := f.Size()
		if err != nil {
			return rec, err
		}
		b := make([]byte, headerSize)
		n, err := f.ReadAt(b, 0)
		if err != nil && err != io.EOF {
			return rec, fmt.Errorf("read %s: %w", name, err)
		}
		h, err := decodeHeader(b[:n])
		var version *VersionError
		if errors.As(err, &version) {
			version.File = name
			return rec, version
		}
		all = append(all, segmentFile{segment: g, header: h, headerOK: err == nil && h.id == id && h.salt == salt, size: size, packed: packed})
	}
	slices.SortFunc(all, func(a, b segmentFile) int { return cmp.Compare(a.id, b.id) })
	for i := len(all) - 1; i >= 0; i-- {
		if !all[i].packed {
			all[i].newest = true
			break
		}
	}
	ends := map[uint64]int64{} // what later headers and checkpoints say was synced of earlier segments
	for _, f := range all {
		if f.headerOK && f.header.prev != 0 {
			ends[f.header.prev] = int64(f.header.prevEnd)
		}
	}
	var covered map[uint64]int64
	if s.opt.ignoreCheckpoint { // only what it says of the segments counts
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
	// Void records may stand in any later segment: they are looked for first.
	scans := make([]*scanResult, len(all))
	voids := map[uint64]int64{}
	for i, f := range all {
		from := int64(0)
		if c, ok := covered[f.id]; ok {
			from = c
		}
		sc, err := s.scanSegment(f, from)
		if err != nil {
			return rec, err
		}
		scans[i] = sc
		for seg, from := range sc.voids {
			if was, ok := voids[seg]; !ok || from < was {
				voids[seg] = from
			}
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

// holed notes that the end of a segment, or any part of one that compaction made, is
// missing: what stood there is older than whatever grew later.
func (s *Store) noteMissingEnd(g *segment) {
	if s.missingEnds == nil {
		s.missingEnds = map[uint64]bool{}
	}
	s.missingEnds[g.id] = true
}

// settleDoubt works out up to which sequence number an entry's newest record may be
// among what can't be read: records are numbered in the order of their segments, and
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

// settleLast makes what was read of the newest segment durable before anything
// builds on it: after a crash of the process alone, its end may be only in the
// system's memory.
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
