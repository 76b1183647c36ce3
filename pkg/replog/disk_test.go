package replog

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

var errDisk = errors.New("simulated disk failure")

// simFolder is the name of the folder of a simDisk.
const simFolder = "folder"

// simDisk simulates one folder on a disk. A crash keeps all data that was fsynced and
// a random part of the rest.
type simDisk struct {
	random *rand.Rand
	// folderDurable is true after an fsync of the folder's parent. Before it, a crash may
	// lose the folder with all that is in it.
	folderDurable bool
	// names are the current files by name, durable those as of the last fsync of the
	// folder.
	names   map[string]*simFile
	durable map[string]*simFile
	// pending are the creations, renames and removals since the last fsync of the
	// folder.
	pending []func(map[string]*simFile)
	// failAfter is the number of operations until one fails partway. A negative number
	// means that none fails.
	failAfter int
	// full makes most operations fail, until it is cleared. The process goes on then, so files
	// keep what was written and not fsynced.
	full bool
	// ignoresSync makes fsync do nothing, to verify that the simulation detects lost
	// writes.
	ignoresSync bool
}

// simFile has the current content of a file and the content as of its last fsync.
type simFile struct{ content, durable []byte }

func newSimDisk(random *rand.Rand) *simDisk {
	return &simDisk{random: random, names: map[string]*simFile{}, durable: map[string]*simFile{}, failAfter: -1}
}

// nextFails counts an operation and reports whether it must fail.
func (d *simDisk) nextFails() bool {
	if d.full {
		return d.random.IntN(4) > 0
	}
	if d.failAfter < 0 {
		return false
	}
	d.failAfter--
	return d.failAfter < 0
}

// changeNames creates, renames or removes files. The change is durable only after an
// fsync of the folder.
func (d *simDisk) changeNames(change func(map[string]*simFile)) error {
	if d.nextFails() {
		return errDisk
	}
	change(d.names)
	d.pending = append(d.pending, change)
	return nil
}

// crash discards data that was not fsynced, except for a random part, in which it may
// corrupt a byte.
func (d *simDisk) crash() {
	d.failAfter = -1
	if !d.folderDurable && d.random.IntN(2) == 0 {
		d.names, d.durable, d.pending = map[string]*simFile{}, map[string]*simFile{}, nil
	}
	for _, change := range d.pending {
		if d.random.IntN(2) == 0 {
			change(d.durable)
		}
	}
	d.names, d.pending = maps.Clone(d.durable), nil
	for _, n := range slices.Sorted(maps.Keys(d.names)) {
		f := d.names[n]
		appended, appendedOnly := bytes.CutPrefix(f.content, f.durable)
		switch {
		case appendedOnly && len(appended) > 0:
			part := slices.Clone(appended[:d.random.IntN(len(appended)+1)])
			if len(part) > 0 && d.random.IntN(2) == 0 {
				part[d.random.IntN(len(part))] ^= 0x55
			}
			f.content = slices.Concat(f.durable, part)
		case d.random.IntN(2) == 0:
			f.content = f.durable
		}
		f.durable = f.content
	}
}

func (d *simDisk) open(f *simFile) writableFile {
	return writableFile{
		Write: func(b []byte) (int, error) {
			if d.nextFails() {
				f.content = slices.Concat(f.content, b[:d.random.IntN(len(b)+1)])
				return 0, errDisk
			}
			f.content = slices.Concat(f.content, b)
			return len(b), nil
		},
		Sync: func() error {
			if d.nextFails() {
				return errDisk
			}
			if !d.ignoresSync {
				f.durable = f.content
			}
			return nil
		},
		Close: func() error { return nil },
	}
}

func (d *simDisk) files() fileSystem {
	base := filepath.Base
	return fileSystem{
		MakeFolder: func(string) error { return nil },
		List:       func(string) ([]string, error) { return slices.Sorted(maps.Keys(d.names)), nil },
		Read: func(p string) ([]byte, error) {
			if f := d.names[base(p)]; f != nil {
				return slices.Clone(f.content), nil
			}
			return nil, fs.ErrNotExist
		},
		ReadAt: func(p string, offset int64, n int) ([]byte, error) {
			f := d.names[base(p)]
			if d.nextFails() {
				return nil, errDisk
			}
			if f == nil {
				// An error would be taken for a simulated disk failure.
				panic("read of a removed file: " + p)
			}
			return slices.Clone(f.content[offset:][:n]), nil
		},
		Create: func(p string) (writableFile, error) {
			f := &simFile{}
			return d.open(f), d.changeNames(func(m map[string]*simFile) { m[base(p)] = f })
		},
		Append: func(p string) (writableFile, error) { return d.open(d.names[base(p)]), nil },
		Truncate: func(p string, size int64) error {
			f := d.names[base(p)]
			if d.full && d.nextFails() {
				return errDisk
			}
			f.content = f.content[:size:size]
			return nil
		},
		Rename: func(from, to string) error {
			return d.changeNames(func(m map[string]*simFile) {
				if f := m[base(from)]; f != nil {
					delete(m, base(from))
					m[base(to)] = f
				}
			})
		},
		Remove: func(p string) error {
			return d.changeNames(func(m map[string]*simFile) { delete(m, base(p)) })
		},
		SyncFolder: func(p string) error {
			switch {
			case d.nextFails():
				return errDisk
			case d.ignoresSync:
			case base(p) == simFolder:
				d.durable, d.pending = maps.Clone(d.names), nil
			default:
				d.folderDurable = true
			}
			return nil
		},
		Lock: func(string) (func(), error) { return func() {}, nil },
	}
}
