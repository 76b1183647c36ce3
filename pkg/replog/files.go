package replog

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// fileSystem contains the file operations of a store. Tests replace them with a
// simulated disk and with operations that fail.
type fileSystem struct {
	// MakeFolder creates a folder and those above it. Only the names of those above it are
	// durable.
	MakeFolder func(path string) error
	List       func(folder string) ([]string, error)
	// Read returns fs.ErrNotExist for a file that does not exist.
	Read func(path string) ([]byte, error)
	// ReadAt returns exactly n bytes.
	ReadAt     func(path string, offset int64, n int) ([]byte, error)
	Create     func(path string) (writableFile, error)
	Append     func(path string) (writableFile, error)
	Truncate   func(path string, size int64) error
	Rename     func(from, to string) error
	Remove     func(path string) error
	SyncFolder func(path string) error
	// Lock locks the folder against other processes until the returned function is
	// called. It fails if another process has the lock.
	Lock func(path string) (func(), error)
}

// writableFile is a file opened for writing.
type writableFile struct {
	Write func([]byte) (int, error)
	Sync  func() error
	Close func() error
}

// osFiles returns the file operations of the host.
func osFiles() fileSystem {
	open := func(path string, flags int) (writableFile, error) {
		f, err := os.OpenFile(path, flags, 0o600)
		if err != nil {
			return writableFile{}, err
		}
		return writableFile{Write: f.Write, Sync: f.Sync, Close: f.Close}, nil
	}
	return fileSystem{
		MakeFolder: osMakeFolder,
		List:       osList,
		Read:       os.ReadFile,
		ReadAt:     osReadAt,
		Create:     func(p string) (writableFile, error) { return open(p, os.O_WRONLY|os.O_CREATE|os.O_TRUNC) },
		Append:     func(p string) (writableFile, error) { return open(p, os.O_WRONLY|os.O_APPEND) },
		Truncate:   os.Truncate,
		Rename:     os.Rename,
		Remove:     os.Remove,
		SyncFolder: osSyncFolder,
		Lock:       osLock,
	}
}

func osMakeFolder(path string) error {
	parent := filepath.Dir(path)
	if _, err := os.Stat(parent); errors.Is(err, fs.ErrNotExist) {
		if err := errors.Join(osMakeFolder(parent), osSyncFolder(filepath.Dir(parent))); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o700); !errors.Is(err, fs.ErrExist) {
		return err
	}
	return nil
}

func osList(folder string) ([]string, error) {
	es, err := os.ReadDir(folder)
	var names []string
	for _, e := range es {
		names = append(names, e.Name())
	}
	return names, err
}

func osReadAt(path string, offset int64, n int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	b := make([]byte, n)
	_, err = f.ReadAt(b, offset)
	return b, errors.Join(err, f.Close())
}

func osSyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func osLock(path string) (func(), error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, &fs.PathError{Op: "lock", Path: path, Err: err}
	}
	return func() { _ = f.Close() }, nil
}

// writeAtomically replaces a file so that after a crash it has either the old or the
// new content.
func (f fileSystem) writeAtomically(path string, content []byte) error {
	temporary := path + temporarySuffix
	if err := f.writeFile(context.Background(), temporary, content); err != nil {
		return err
	}
	if err := f.Rename(temporary, path); err != nil {
		return err
	}
	return f.SyncFolder(filepath.Dir(path))
}

// syncIntervalBytes is the amount of data written to a large file between fsyncs. With
// a single fsync at the end, an fsync of the log would wait until the whole file is
// on disk.
const syncIntervalBytes = 8 << 20

// writeFile creates a file from the given parts and makes it durable. It stops with
// the context's error if ctx is cancelled.
func (f fileSystem) writeFile(ctx context.Context, path string, parts ...[]byte) error {
	w, err := f.Create(path)
	if err != nil {
		return err
	}
	for _, p := range parts {
		for piece := range slices.Chunk(p, syncIntervalBytes) {
			if err == nil {
				err = writeChunk(ctx, w, piece)
			}
		}
	}
	if err == nil {
		err = w.Sync()
	}
	return errors.Join(err, w.Close())
}

// writeChunk writes at most syncIntervalBytes and fsyncs a chunk of that size.
func writeChunk(ctx context.Context, w writableFile, piece []byte) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if _, err := w.Write(piece); err != nil {
		return err
	}
	if len(piece) < syncIntervalBytes {
		return nil
	}
	return w.Sync()
}
