package replog

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

var storeMembers = Membership{Voters: []Member{{Name: "a", Identity: "id"}}}

// writeStore fills a folder with several segments, which contain a vote and the
// entries 1 to 12 in one frame each, and with a snapshot at entry 2.
func writeStore(t *testing.T, folder string) {
	s, _, err := openStore(osFiles(), folder, "g", func() Identity { return "id" })
	qt.Assert(t, err, qt.IsNil)
	defer s.close()
	s.segmentLimit = 250
	qt.Assert(t, s.write(&hardState{Term: 7, Vote: "id"}, nil, nil), qt.IsNil)
	for i := range Index(12) {
		n := Entry{Index: i + 1, Term: 7, Kind: EntryCommand, Data: fmt.Appendf(nil, "command %2d", i+1)}
		qt.Assert(t, s.write(nil, nil, []Entry{n}), qt.IsNil)
	}
	qt.Assert(t, s.writeSnapshot(t.Context(), &Snapshot{Index: 2, Term: 7, Membership: storeMembers}), qt.IsNil)
	qt.Assert(t, s.publishSnapshot(2), qt.IsNil)
	// This snapshot keeps its temporary name, as after a crash before it is published.
	qt.Assert(t, s.writeSnapshot(t.Context(), &Snapshot{Index: 9, Term: 7, Membership: storeMembers}), qt.IsNil)
	qt.Assert(t, len(s.sealed) > 1, qt.IsTrue)
}

// editFile changes the content of the n-th file that matches the pattern, or removes
// the file if change returns nil. A negative n counts from the end.
func editFile(t *testing.T, folder, pattern string, n int, change func([]byte) []byte) {
	names, err := filepath.Glob(filepath.Join(folder, pattern))
	qt.Assert(t, err, qt.IsNil)
	if n < 0 {
		n += len(names)
	}
	b, err := os.ReadFile(names[n])
	qt.Assert(t, err, qt.IsNil)
	if b = change(b); b == nil {
		qt.Assert(t, os.Remove(names[n]), qt.IsNil)
		return
	}
	qt.Assert(t, os.WriteFile(names[n], b, 0o600), qt.IsNil)
}

// flipBit returns a change that flips a bit of the byte at the offset. A negative offset
// counts from the end.
func flipBit(at int) func([]byte) []byte {
	return func(b []byte) []byte {
		if at < 0 {
			at += len(b)
		}
		b[at] ^= 1
		return b
	}
}

// resizeBy returns a change that removes the last -n bytes.
func resizeBy(n int) func([]byte) []byte {
	return func(b []byte) []byte { return b[:len(b)+n] }
}

func deleteFile([]byte) []byte { return nil }

// Guards against a store that opens with damaged files, or that fails to open because a
// crash has left a write incomplete.
func TestOpenAfterDamage(t *testing.T) {
	tests := map[string]struct {
		pattern    string
		fileNumber int
		change     func([]byte) []byte
		lastIndex  Index
		wantError  string
	}{
		"no damage":                      {"*.log", -1, resizeBy(0), 12, ""},
		"torn last frame":                {"*.log", -1, resizeBy(-3), 11, ""},
		"torn frame header":              {"*.log", -1, func(b []byte) []byte { return append(b, frameMagicBytes...) }, 12, ""},
		"zeros after the end":            {"*.log", -1, func(b []byte) []byte { return append(b, make([]byte, 64)...) }, 12, ""},
		"flipped bit before valid frame": {"*.log", -1, flipBit(60), 0, `0000000000000003\.log: offset 40: .*`},
		"flipped length":                 {"*.log", -1, flipBit(40 + 4), 0, `0000000000000003\.log: offset 40: .*`},
		"flipped bit in segment header":  {"*.log", -1, flipBit(3), 0, `0000000000000003\.log: offset 0: .*`},
		"flipped bit in sealed segment":  {"*.log", 0, flipBit(-1), 0, `0000000000000001\.log: offset \d+: .*`},
		"truncated sealed segment":       {"*.log", 0, resizeBy(-3), 0, `0000000000000001\.log: offset \d+: .*`},
		"missing segment":                {"*.log", 1, deleteFile, 0, `0000000000000002\.log: offset 0: segment is missing`},
		"flipped bit in snapshot":        {"*.snapshot", 0, flipBit(-1), 0, `0000000000000002\.snapshot: offset 0: .*`},
		"partly written snapshot":        {"*.temporary", 0, resizeBy(-3), 12, ""},
		"flipped bit in identity":        {"identity", 0, flipBit(-1), 0, `identity: offset 0: .*`},
		"missing identity":               {"identity", 0, deleteFile, 0, `0000000000000001\.log: offset 0: log without identity file`},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			writeStore(t, folder)
			editFile(t, folder, x.pattern, x.fileNumber, x.change)
			s, l, err := openStore(osFiles(), folder, "g", func() Identity { return "other" })
			if x.wantError != "" {
				qt.Assert(t, err, qt.ErrorMatches, `data folder is corrupt: .*/`+x.wantError)
				qt.Assert(t, errors.Is(err, ErrCorrupt), qt.IsTrue)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			defer s.close()
			qt.Assert(t, l.log.last(), qt.Equals, x.lastIndex)
			qt.Assert(t, l.state, qt.Equals, hardState{Term: 7, Vote: "id"})
			qt.Assert(t, l.identity, qt.Equals, Identity("id"))
			qt.Assert(t, l.snapshot.Index, qt.Equals, Index(2))
			leftover, err := filepath.Glob(filepath.Join(folder, "*"+temporarySuffix))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, leftover, qt.HasLen, 0)
		})
	}
}

// Guards against an emptied folder that keeps its identity, an identity file without a
// log, and two processes that use the same folder.
func TestOpenEmptiedOrLockedFolder(t *testing.T) {
	folder := t.TempDir()
	writeStore(t, folder)
	for _, p := range []string{"*.log", "*.snapshot"} {
		names, _ := filepath.Glob(filepath.Join(folder, p))
		for _, n := range names {
			qt.Assert(t, os.Remove(n), qt.IsNil)
		}
	}
	other := func() Identity { return "other" }
	_, _, err := openStore(osFiles(), folder, "g", other)
	qt.Assert(t, err, qt.ErrorMatches, `data folder is corrupt: .*/identity: offset 0: identity without log`)
	qt.Assert(t, os.Remove(filepath.Join(folder, identityName)), qt.IsNil)
	s, l, err := openStore(osFiles(), folder, "g", other)
	qt.Assert(t, err, qt.IsNil)
	defer s.close()
	qt.Assert(t, l.identity, qt.Equals, Identity("other"))
	qt.Assert(t, l.log.last(), qt.Equals, Index(0))
	_, _, err = openStore(osFiles(), folder, "g", other)
	qt.Assert(t, errors.Is(err, ErrStorage), qt.IsTrue)
}

// Guards against a damaged snapshot that another replica can receive completely, and
// against an intact snapshot that is rejected because chunks were repeated or skipped.
func TestChunksOfSnapshot(t *testing.T) {
	tests := map[string]struct {
		offsets []uint64
		change  func([]byte) []byte
		invalid bool
	}{
		"in order":              {[]uint64{0, 4, 8}, resizeBy(0), false},
		"repeated":              {[]uint64{0, 4, 4, 0, 4, 8, 8}, resizeBy(0), false},
		"last one first":        {[]uint64{8, 0, 4, 8}, resizeBy(0), false},
		"part skipped":          {[]uint64{0, 8, 4, 8}, resizeBy(0), false},
		"damaged":               {[]uint64{0, 4, 8}, flipBit(-7), true},
		"damaged, part skipped": {[]uint64{8}, flipBit(-12), true},
		"truncated":             {[]uint64{0, 4, 8}, resizeBy(-1), true},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s, _, err := openStore(osFiles(), folder, "g", func() Identity { return "id" })
			qt.Assert(t, err, qt.IsNil)
			defer s.close()
			n := &Snapshot{Index: 2, Term: 1, Membership: storeMembers, Data: []byte("knitted wool")}
			qt.Assert(t, s.writeSnapshot(t.Context(), n), qt.IsNil)
			qt.Assert(t, s.publishSnapshot(2), qt.IsNil)
			snapshot, err := s.loadSnapshot(2)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, snapshot.fileInfo, qt.Equals, n.fileInfo)
			editFile(t, folder, "*.snapshot", 0, x.change)
			r := &chunkReader{}
			for _, o := range x.offsets {
				var b []byte
				if b, err = r.read(s, 2, n.fileInfo, o, 4); err == nil && !x.invalid {
					qt.Assert(t, string(b), qt.Equals, string(n.Data[o:o+4]))
				}
			}
			qt.Assert(t, err != nil, qt.Equals, x.invalid)
		})
	}
}

// failingFileSystem returns real file operations. The named operation fails while
// broken returns true.
func failingFileSystem(operation string, broken func() bool) fileSystem {
	f := osFiles()
	check := func(name string) error {
		if name == operation && broken() {
			return errDisk
		}
		return nil
	}
	wrap := func(open func(string) (writableFile, error)) func(string) (writableFile, error) {
		return func(p string) (writableFile, error) {
			w, err := open(p)
			inner := w
			w.Write = func(b []byte) (int, error) {
				if err := check("write"); err != nil {
					return 0, err
				}
				return inner.Write(b)
			}
			w.Sync = func() error { return errors.Join(check("sync"), inner.Sync()) }
			return w, errors.Join(err, check("open"))
		}
	}
	f.Create, f.Append = wrap(f.Create), wrap(f.Append)
	rename, syncFolder := f.Rename, f.SyncFolder
	f.Rename = func(from, to string) error { return errors.Join(check("rename"), rename(from, to)) }
	f.SyncFolder = func(p string) error { return errors.Join(check("sync folder"), syncFolder(p)) }
	return f
}

// Guards against a store that continues after a failed operation, when the state on
// disk is unknown.
func TestStoreStopsAfterFailure(t *testing.T) {
	for _, operation := range []string{"write", "sync", "rename", "sync folder", "open"} {
		t.Run(operation, func(t *testing.T) {
			broken := false
			s, _, err := openStore(failingFileSystem(operation, func() bool { return broken }), t.TempDir(), "g", func() Identity { return "id" })
			qt.Assert(t, err, qt.IsNil)
			defer s.close()
			// Each write seals its segment, and thus uses every operation.
			s.segmentLimit = 1
			entry := []Entry{{Index: 1, Term: 1, Kind: EntryCommand}}
			qt.Assert(t, s.write(nil, nil, entry), qt.IsNil)
			broken = true
			qt.Assert(t, errors.Is(s.write(nil, nil, entry), ErrStorage), qt.IsTrue)
			broken = false
			qt.Assert(t, errors.Is(s.write(nil, nil, entry), ErrStorage), qt.IsTrue)
		})
	}
}

// Guards against a replica that comes back with an empty disk after it lost power, because
// the name of its folder was never made durable.
func TestStoreOutlivesPowerLoss(t *testing.T) {
	for seed := range uint64(10) {
		d := newSimDisk(rand.New(rand.NewPCG(seed, 1)))
		s, _, err := openStore(d.files(), simFolder, "g", func() Identity { return "id" })
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.write(&hardState{Term: 7}, nil, []Entry{{1, 7, EntryCommand, []byte("one")}}), qt.IsNil)
		d.crash()
		_, l, err := openStore(d.files(), simFolder, "g", func() Identity { return "other" })
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, l.identity, qt.Equals, Identity("id"))
		qt.Assert(t, l.log.last(), qt.Equals, Index(1))
	}
}

// Guards against acknowledged entries that a power loss takes, because the store was opened
// again after a disk fault had left the name of a file that it goes on with not durable.
func TestStoreOutlivesPowerLossAfterDiskFault(t *testing.T) {
	for seed := range uint64(20) {
		for operations := range 12 {
			d := newSimDisk(rand.New(rand.NewPCG(seed, 1)))
			open := func() (*store, storedState) {
				s, l, err := openStore(d.files(), simFolder, "g", func() Identity { return "id" })
				qt.Assert(t, err, qt.IsNil)
				s.segmentLimit = 1 // each write seals its segment
				return s, l
			}
			write := func(s *store, i Index) error {
				return s.write(&hardState{Term: 7}, nil, []Entry{{i, 7, EntryCommand, []byte("data")}})
			}
			s, _ := open()
			last := Index(0)
			d.failAfter = operations
			for write(s, last+1) == nil {
				last++
			}
			d.failAfter = -1
			s, l := open()
			qt.Assert(t, l.log.last() >= last, qt.IsTrue)
			last = l.log.last() + 1
			s.segmentLimit = segmentBytes
			qt.Assert(t, write(s, last), qt.IsNil)
			d.crash()
			_, l = open()
			qt.Assert(t, l.log.last(), qt.Equals, last, qt.Commentf("seed %d, fault after %d operations", seed, operations))
		}
	}
}

// Guards against panics and large allocations caused by damaged messages, and against
// fields that are lost in encoding and decoding.
func FuzzDecodeMessage(f *testing.F) {
	m := Message{Kind: KindAppend, Group: "g", From: Member{"a", "1", "x:1"}, To: Member{"b", "2", "y:2"}, Term: 3, Index: 4, LogTerm: 2}
	m.Entries = []Entry{{5, 3, EntryCommand, []byte("data")}, {6, 3, EntryMembership, encodeMembership(storeMembers)}}
	f.Add(m.Encode())
	f.Add(Message{Kind: KindSnapshot, From: m.From, To: m.To, Index: 9, Total: 8, Offset: 4, Chunk: []byte("half"), Membership: storeMembers}.Encode())
	f.Add(Message{Kind: KindVoteReply, From: m.From, To: m.To, Reject: true, Transfer: true}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			qt.Assert(t, errors.Is(err, ErrInvalidMessage), qt.IsTrue)
			return
		}
		qt.Assert(t, bytes.Equal(m.Encode(), b), qt.IsTrue)
	})
}

// Guards against panics caused by damaged segments, and against a frame that is
// accepted at another position than where it was written.
func FuzzDecodeFrame(f *testing.F) {
	e := encoder{}
	e.u8(itemEntry)
	e.entry(Entry{1, 1, EntryCommand, []byte("data")})
	f.Add(encodeFrame(1, 0, e.b), uint64(1), int64(0))
	f.Add(append([]byte("xx"), encodeFrame(2, 2, []byte{itemReset, 0})...), uint64(2), int64(2))
	f.Fuzz(func(t *testing.T, b []byte, sequence uint64, offset int64) {
		payload, next, ok := decodeFrame(b, sequence, offset)
		if !ok {
			return
		}
		qt.Assert(t, bytes.Equal(encodeFrame(sequence, offset, payload), b[offset:next]), qt.IsTrue)
		_, _, moved := decodeFrame(b[offset:next], sequence+1, 0)
		qt.Assert(t, moved, qt.IsFalse)
		r := replay{group: "g", identity: "id"}
		r.apply(payload)
		r.apply(b)
	})
}
