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

// simDisk is one folder on a disk that keeps only what was fsynced. A crash may
// also keep part of what was not.
type simDisk struct {
	random  *rand.Rand
	names   map[string]*simFile
	durable map[string]*simFile
	// pending are changes of names since the last fsync of the folder.
	pending []func(map[string]*simFile)
	// failAfter counts operations until one fails half done; negative is never.
	failAfter int
	// ignoresSync makes fsync do nothing, to test the checks themselves.
	ignoresSync bool
}

type simFile struct{ content, durable []byte }

func newSimDisk(random *rand.Rand) *simDisk {
	return &simDisk{random: random, names: map[string]*simFile{}, durable: map[string]*simFile{}, failAfter: -1}
}

func (d *simDisk) nextFails() bool {
	if d.failAfter < 0 {
		return false
	}
	d.failAfter--
	return d.failAfter < 0
}

func (d *simDisk) changeNames(change func(map[string]*simFile)) error {
	if d.nextFails() {
		return errDisk
	}
	change(d.names)
	d.pending = append(d.pending, change)
	return nil
}

// crash loses what was not fsynced, except for a random part of it.
func (d *simDisk) crash() {
	d.failAfter = -1
	for _, change := range d.pending {
		if d.random.IntN(2) == 0 {
			change(d.durable)
		}
	}
	d.names, d.pending = maps.Clone(d.durable), nil
	for _, n := range slices.Sorted(maps.Keys(d.names)) {
		f := d.names[n]
		added, grown := bytes.CutPrefix(f.content, f.durable)
		switch {
		case grown && len(added) > 0:
			part := slices.Clone(added[:d.random.IntN(len(added)+1)])
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

func (d *simDisk) open(f *simFile) file {
	return file{
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

func (d *simDisk) files() files {
	base := filepath.Base
	return files{
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
				// Not an error, which would pass for a failure of the disk.
				panic("read of a removed file: " + p)
			}
			return slices.Clone(f.content[offset:][:n]), nil
		},
		Create: func(p string) (file, error) {
			f := &simFile{}
			return d.open(f), d.changeNames(func(m map[string]*simFile) { m[base(p)] = f })
		},
		Append: func(p string) (file, error) { return d.open(d.names[base(p)]), nil },
		Truncate: func(p string, size int64) error {
			f := d.names[base(p)]
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
		SyncFolder: func(string) error {
			if d.nextFails() {
				return errDisk
			}
			if !d.ignoresSync {
				d.durable, d.pending = maps.Clone(d.names), nil
			}
			return nil
		},
		Lock: func(string) (func(), error) { return func() {}, nil },
	}
}
