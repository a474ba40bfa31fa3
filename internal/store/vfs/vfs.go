// Package vfs is the interface between the store and the file system: the few operations
// that the store needs. OS implements them with the operating system; Mem, for tests, is a
// file system in memory that records every operation, injects errors and simulates power
// cuts. All methods may be called by any goroutine.
package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"golang.org/x/sys/unix"
)

// ErrLocked reports that another process has locked the directory.
var ErrLocked = errors.New("locked by another process")

// FS is a file system. Names are paths separated by slashes.
type FS interface {
	// Create creates a file, which must not exist, and opens it for reading and writing.
	Create(name string) (File, error)
	// Open opens a file for reading and, if write is set, writing.
	Open(name string, write bool) (File, error)
	// Rename renames oldName to newName, and replaces a file of that name.
	Rename(oldName, newName string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the sorted names of the files in a directory, without directories.
	List(dir string) ([]string, error)
	// MkdirAll creates a directory, and its parents, if it does not exist.
	MkdirAll(dir string) error
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(dir string) error
	// Lock locks the file called name for this process until the closer is closed. The error
	// is ErrLocked if another process has locked it.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Sync makes the content and the size durable.
	Sync() error
	// Truncate changes the size, in bytes.
	Truncate(size int64) error
	// Size returns the size in bytes.
	Size() (int64, error)
}

// OS is the file system of the operating system.
type OS struct{}

var _ FS = OS{}

// osFile is an open file of OS.
type osFile struct{ *os.File }

// Sync calls fdatasync, which writes content and size but not the timestamps.
func (f osFile) Sync() error {
	if err := unix.Fdatasync(int(f.Fd())); err != nil {
		return &fs.PathError{Op: "fdatasync", Path: f.Name(), Err: err}
	}
	return nil
}

// Size returns the size in bytes.
func (f osFile) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

// Create creates a file, readable only by its owner.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open opens a file.
func (OS) Open(name string, write bool) (File, error) {
	flag := os.O_RDONLY
	if write {
		flag = os.O_RDWR
	}
	f, err := os.OpenFile(name, flag, 0)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename renames a file.
func (OS) Rename(oldName, newName string) error { return os.Rename(oldName, newName) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// List returns the sorted names of the files in a directory.
func (OS) List(dir string) ([]string, error) {
	all, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(all))
	for _, e := range all {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// MkdirAll creates a directory, readable only by its owner, and makes its name durable.
func (o OS) MkdirAll(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return o.SyncDir(filepath.Dir(dir))
}

// SyncDir syncs a directory.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// Lock locks a file with flock. The kernel releases the lock when the process ends, also
// after a crash.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("lock %s: %w", name, err)
	}
	return f, nil
}

// Join joins a directory and a file name.
func Join(dir, name string) string { return strings.TrimSuffix(dir, "/") + "/" + name }
