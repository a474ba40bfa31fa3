package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"robinmast/internal/store/vfs"
)

// Report is the result of Verify.
type Report struct {
	Faults  []Fault // unreadable bytes, in segments in use and in those set aside, and invalid checkpoints
	Torn    []Fault // remains of writes that were never acknowledged; Open truncates them
	Entries int     // keys that have not expired
	Read    int64   // bytes of segments in use that were read
}

// Verify reads and checks all files of the store in a directory and changes nothing. The
// errors are those of Open.
func Verify(dir string, opt Options) (Report, error) {
	opt.ReadOnly = true
	opt = opt.withDefaults()
	names, err := opt.FS.List(strings.TrimSuffix(dir, "/"))
	if err != nil {
		return Report{}, fmt.Errorf("verify store %s: %w", dir, err)
	}
	var checkpoints []string
	for _, name := range names {
		if _, ok := parseCheckpointName(name); ok {
			checkpoints = append(checkpoints, name)
		}
	}
	opt.ignoreCheckpoint = true
	s, recovery, err := Open(dir, opt)
	if err != nil {
		return Report{}, err
	}
	report := Report{Faults: recovery.Damaged, Torn: recovery.Torn, Entries: recovery.Entries, Read: recovery.Read}
	for _, name := range names {
		id, salt, ok := parseName(name, damagedSuffix)
		if !ok {
			continue
		}
		faults, err := s.verifySetAside(name, id, salt)
		if err != nil {
			return report, errors.Join(err, s.Close())
		}
		report.Faults = append(report.Faults, faults...)
	}
	for _, name := range checkpoints {
		if _, err := s.readCheckpoint(name, nil, nil); err != nil {
			report.Faults = append(report.Faults, Fault{
				File: name, Reason: "checkpoint: " + err.Error() + " (the log is read instead)",
			})
		}
	}
	slices.SortFunc(report.Faults, Fault.compare)
	return report, s.Close()
}

// verifySetAside returns the faults of a segment that was set aside.
func (s *Store) verifySetAside(name string, id, salt uint64) ([]Fault, error) {
	f, err := s.fs.Open(vfs.Join(s.dir, name), false)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, min(size, headerSize))
	if _, err := f.ReadAt(b, 0); err != nil && len(b) > 0 {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	h, err := decodeHeader(b)
	g := &segment{id: id, salt: salt, name: name, file: f}
	result, serr := s.scanSegment(segmentFile{segment: g, headerOK: err == nil, size: size}, 0)
	if serr != nil {
		return nil, serr
	}
	var faults []Fault
	if err != nil {
		faults = append(faults, Fault{File: name, Size: min(size, headerSize), Reason: result.reason})
	}
	for _, hole := range result.holes {
		faults = append(faults, Fault{File: name, Offset: hole.from, Size: hole.to - hole.from, Reason: result.reason})
	}
	if err == nil && h.end > 0 && size < int64(h.end) && len(result.holes) == 0 {
		faults = append(faults, Fault{File: name, Offset: size, Size: int64(h.end) - size, Reason: "cut short"})
	}
	if len(faults) == 0 {
		faults = append(faults, Fault{File: name, Offset: size, Reason: "set aside as cut short"})
	}
	return faults, nil
}
