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

// files are the file operations of a store. Tests replace them with a simulated
// disk and with operations that fail.
type files struct {
	MakeFolder func(path string) error
	List       func(folder string) ([]string, error)
	// Read returns fs.ErrNotExist for a file that does not exist.
	Read func(path string) ([]byte, error)
	// ReadAt returns exactly n bytes.
	ReadAt     func(path string, offset int64, n int) ([]byte, error)
	Create     func(path string) (file, error)
	Append     func(path string) (file, error)
	Truncate   func(path string, size int64) error
	Rename     func(from, to string) error
	Remove     func(path string) error
	SyncFolder func(path string) error
	// Lock keeps other processes out of the folder until the returned function
	// is called.
	Lock func(path string) (func(), error)
}

// file is an open file.
type file struct {
	Write func([]byte) (int, error)
	Sync  func() error
	Close func() error
}

// osFiles returns the file operations of the host.
func osFiles() files {
	open := func(path string, flags int) (file, error) {
		f, err := os.OpenFile(path, flags, 0o600)
		if err != nil {
			return file{}, err
		}
		return file{Write: f.Write, Sync: f.Sync, Close: f.Close}, nil
	}
	return files{
		MakeFolder: func(p string) error { return os.MkdirAll(p, 0o700) },
		List:       osList,
		Read:       os.ReadFile,
		ReadAt:     osReadAt,
		Create:     func(p string) (file, error) { return open(p, os.O_WRONLY|os.O_CREATE|os.O_TRUNC) },
		Append:     func(p string) (file, error) { return open(p, os.O_WRONLY|os.O_APPEND) },
		Truncate:   os.Truncate,
		Rename:     os.Rename,
		Remove:     os.Remove,
		SyncFolder: osSyncFolder,
		Lock:       osLock,
	}
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

// writeAtomically replaces a file so that a crash leaves the old or the new content.
func (f files) writeAtomically(path string, content []byte) error {
	temporary := path + temporarySuffix
	if err := f.writeFile(context.Background(), temporary, content); err != nil {
		return err
	}
	if err := f.Rename(temporary, path); err != nil {
		return err
	}
	return f.SyncFolder(filepath.Dir(path))
}

// syncIntervalBytes is how much of a large file is written before an fsync. A single one
// at the end would let the fsyncs of the log wait behind the whole file.
const syncIntervalBytes = 8 << 20

// writeFile creates a durable file of the given parts. The end of ctx cuts it
// short with the context's error.
func (f files) writeFile(ctx context.Context, path string, parts ...[]byte) error {
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

func writeChunk(ctx context.Context, w file, piece []byte) error {
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
