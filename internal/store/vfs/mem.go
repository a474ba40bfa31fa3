package vfs

import (
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"sync"
)

// OpKind is the kind of an operation that changes the file system.
type OpKind uint8

// The kinds of operations.
const (
	OpCreate OpKind = iota
	OpWrite
	OpTruncate
	OpSync
	OpRename
	OpRemove
	OpSyncDir
)

// String returns the name of the kind.
func (k OpKind) String() string {
	return [...]string{"create", "write", "truncate", "sync", "rename", "remove", "syncdir"}[k]
}

// Op is one operation with its arguments.
type Op struct {
	Kind OpKind
	Name string // the file; OpSyncDir: the directory
	To   string // OpRename: the new name
	Off  int64  // OpWrite: the offset; OpTruncate: the size
	Data []byte // OpWrite: what is written

	file *inode
}

// String returns the kind, the names, the offset and the size.
func (o Op) String() string {
	return fmt.Sprintf("%v %s %s@%d+%d", o.Kind, o.Name, o.To, o.Off, len(o.Data))
}

// inode is the content of a file, independent of its name.
type inode struct {
	data    []byte
	durable []byte // content as of the last sync
	pending []Op   // writes and truncations since the last sync
}

// Mem is a file system in memory, for tests.
type Mem struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode // names as of the last sync of their directory
	pending []Op              // creations, renames and removals since then, in any directory
	locks   map[string]bool
	ops     []Op
	record  bool
	failure func(Op) error
}

var _ FS = (*Mem)(nil)

// NewMem returns an empty file system. With record it records every operation for Ops,
// OpAt and After.
func NewMem(record bool) *Mem {
	return &Mem{names: map[string]*inode{}, durable: map[string]*inode{}, locks: map[string]bool{}, record: record}
}

// Ops returns the number of recorded operations.
func (m *Mem) Ops() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ops)
}

// OpAt returns the recorded operation i, counted from 0.
func (m *Mem) OpAt(i int) Op {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ops[i]
}

// Fail sets a function that is called before each operation; if it returns an error, the
// operation fails with it. With a *Torn a write takes effect in part. nil ends all failures.
func (m *Mem) Fail(f func(Op) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure = f
}

// Torn is the error of a failed write of which the first N bytes took effect.
type Torn struct {
	N   int
	Err error
}

// Error returns the text of the cause.
func (t *Torn) Error() string { return t.Err.Error() }

// Unwrap returns the cause.
func (t *Torn) Unwrap() error { return t.Err }

// do applies and records an operation, unless it is to fail; the lock must be held.
func (m *Mem) do(o Op) error {
	if m.failure != nil {
		if err := m.failure(o); err != nil {
			if torn, ok := err.(*Torn); ok && o.Kind == OpWrite && torn.N > 0 {
				o.Data = o.Data[:min(torn.N, len(o.Data))]
				m.apply(o)
			}
			return &fs.PathError{Op: o.Kind.String(), Path: o.Name, Err: err}
		}
	}
	m.apply(o)
	return nil
}

// apply records an operation and applies it; the lock must be held.
func (m *Mem) apply(o Op) {
	if o.Kind == OpWrite {
		o.Data = slices.Clone(o.Data)
	}
	if m.record {
		m.ops = append(m.ops, o)
	}
	switch o.Kind {
	case OpCreate, OpRename, OpRemove:
		applyToNames(m.names, o)
		m.pending = append(m.pending, o)
	case OpWrite, OpTruncate:
		o.file.data = applyToContent(o.file.data, o)
		o.file.pending = append(o.file.pending, o)
	case OpSync:
		o.file.durable, o.file.pending = slices.Clone(o.file.data), nil
	case OpSyncDir:
		left := m.pending[:0]
		for _, p := range m.pending {
			if path.Dir(p.Name) == o.Name {
				applyToNames(m.durable, p)
			} else {
				left = append(left, p)
			}
		}
		m.pending = left
	}
}

// applyToNames applies a creation, rename or removal.
func applyToNames(names map[string]*inode, o Op) {
	switch o.Kind {
	case OpCreate:
		names[o.Name] = o.file
	case OpRename:
		if names[o.Name] == o.file {
			delete(names, o.Name)
		}
		names[o.To] = o.file
	case OpRemove:
		if names[o.Name] == o.file {
			delete(names, o.Name)
		}
	}
}

// applyToContent applies a write or a truncation and returns the new content.
func applyToContent(data []byte, o Op) []byte {
	if o.Kind == OpTruncate {
		if int64(len(data)) >= o.Off {
			return data[:o.Off:o.Off]
		}
		return append(data, make([]byte, o.Off-int64(len(data)))...)
	}
	if end := o.Off + int64(len(o.Data)); end > int64(len(data)) {
		data = append(data, make([]byte, end-int64(len(data)))...)
	}
	copy(data[o.Off:], o.Data)
	return data
}

// Cut decides what a power cut leaves of an operation that was not yet durable: keep
// reports whether it took effect, bytes is how much of a write did. The operation is number
// i of the pending ones of its file (or, for names, of all).
type Cut func(o Op, i, of int) (keep bool, bytes int)

// KeepAll keeps everything that was written, like a crash of the process alone.
func KeepAll(o Op, _, _ int) (bool, int) { return true, len(o.Data) }

// KeepNone loses everything that was not synced.
func KeepNone(Op, int, int) (bool, int) { return false, 0 }

// KeepSome keeps a random part, independent of the order, and shortens some writes.
func KeepSome(r *rand.Rand) Cut {
	return func(o Op, _, _ int) (bool, int) {
		n := len(o.Data)
		if n > 0 && r.IntN(3) == 0 {
			n = r.IntN(n)
		}
		return r.IntN(2) == 0, n
	}
}

// KeepBytes keeps everything, but only n bytes of the last write of each file.
func KeepBytes(n int) Cut {
	return func(o Op, i, of int) (bool, int) {
		if o.Kind == OpWrite && i == of-1 {
			return true, min(n, len(o.Data))
		}
		return true, len(o.Data)
	}
}

// After returns the file system that a power cut after the first n recorded operations
// leaves, according to cut. It has no locks.
func (m *Mem) After(n int, cut Cut) *Mem {
	m.mu.Lock()
	ops := m.ops[:n:n]
	m.mu.Unlock()
	before := NewMem(false)
	files := map[*inode]*inode{}
	for _, o := range ops {
		if o.file != nil {
			if files[o.file] == nil {
				files[o.file] = &inode{}
			}
			o.file = files[o.file]
		}
		before.apply(o)
	}
	left := NewMem(false)
	names := map[string]*inode{}
	for name, f := range before.durable {
		names[name] = f
	}
	for i, o := range before.pending {
		if keep, _ := cut(o, i, len(before.pending)); keep {
			applyToNames(names, o)
		}
	}
	copied := map[*inode]*inode{}
	order := make([]string, 0, len(names))
	for name := range names {
		order = append(order, name)
	}
	slices.Sort(order) // so that a random cut is reproducible from its seed
	for _, name := range order {
		f := names[name]
		if copied[f] == nil {
			data := slices.Clone(f.durable)
			for i, o := range f.pending {
				keep, bytes := cut(o, i, len(f.pending))
				if !keep {
					continue
				}
				if o.Kind == OpWrite {
					o.Data = o.Data[:bytes]
				}
				data = applyToContent(data, o)
			}
			copied[f] = &inode{data: data, durable: slices.Clone(data)}
		}
		left.names[name], left.durable[name] = copied[f], copied[f]
	}
	return left
}

// Clone returns a copy of the current state, for tests that change bytes.
func (m *Mem) Clone() *Mem {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := NewMem(false)
	for name, f := range m.names {
		n := &inode{data: slices.Clone(f.data), durable: slices.Clone(f.data)}
		c.names[name], c.durable[name] = n, n
	}
	return c
}

// Bytes returns the content of a file, nil if there is no such file.
func (m *Mem) Bytes(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.names[name]; f != nil {
		return slices.Clone(f.data)
	}
	return nil
}

// Put creates or replaces a file, durable at once.
func (m *Mem) Put(name string, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &inode{data: slices.Clone(data), durable: slices.Clone(data)}
	m.names[name], m.durable[name] = f, f
}

// memFile is an open file of a Mem.
type memFile struct {
	m     *Mem
	f     *inode
	name  string
	write bool
}

// Create creates a file.
func (m *Mem) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] != nil {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	f := &inode{}
	if err := m.do(Op{Kind: OpCreate, Name: name, file: f}); err != nil {
		return nil, err
	}
	return &memFile{m: m, f: f, name: name, write: true}, nil
}

// Open opens a file.
func (m *Mem) Open(name string, write bool) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[name]
	if f == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &memFile{m: m, f: f, name: name, write: write}, nil
}

// Rename renames a file.
func (m *Mem) Rename(oldName, newName string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[oldName]
	if f == nil {
		return &fs.PathError{Op: "rename", Path: oldName, Err: fs.ErrNotExist}
	}
	return m.do(Op{Kind: OpRename, Name: oldName, To: newName, file: f})
}

// Remove removes the name of a file; open files stay readable.
func (m *Mem) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[name]
	if f == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	return m.do(Op{Kind: OpRemove, Name: name, file: f})
}

// List returns the sorted names of the files in a directory.
func (m *Mem) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.names {
		if rest, ok := strings.CutPrefix(name, dir+"/"); ok && !strings.Contains(rest, "/") {
			names = append(names, rest)
		}
	}
	slices.Sort(names)
	return names, nil
}

// MkdirAll does nothing: directories are parts of names.
func (m *Mem) MkdirAll(string) error { return nil }

// SyncDir makes the names in a directory durable.
func (m *Mem) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.do(Op{Kind: OpSyncDir, Name: dir})
}

// memLock is a lock of a Mem, until Close.
type memLock struct {
	m    *Mem
	name string
}

// Lock locks a name within this file system.
func (m *Mem) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[name] {
		return nil, fmt.Errorf("lock %s: %w", name, ErrLocked)
	}
	m.locks[name] = true
	return memLock{m, name}, nil
}

func (l memLock) Close() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	delete(l.m.locks, l.name)
	return nil
}

func (f *memFile) ReadAt(p []byte, off int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if off >= int64(len(f.f.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.f.data[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memFile) WriteAt(p []byte, off int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if !f.write {
		return 0, &fs.PathError{Op: "write", Path: f.name, Err: fs.ErrPermission}
	}
	if err := f.m.do(Op{Kind: OpWrite, Name: f.name, Off: off, Data: p, file: f.f}); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (f *memFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	return f.m.do(Op{Kind: OpSync, Name: f.name, file: f.f})
}

func (f *memFile) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	return f.m.do(Op{Kind: OpTruncate, Name: f.name, Off: size, file: f.f})
}

func (f *memFile) Size() (int64, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	return int64(len(f.f.data)), nil
}

func (f *memFile) Close() error { return nil }
