package replog

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
)

// storeSeed returns a disk with the files of a store, which has two segments and a
// snapshot, and the content of the segments.
func storeSeed(f *testing.F) (d *simDisk, segments [][]byte) {
	d = newSimDisk(rand.New(rand.NewPCG(1, 1)))
	s, _, err := openStore(d.files(), simFolder, "g", func() Identity { return "id" })
	qt.Assert(f, err, qt.IsNil)
	s.segmentLimit = 150
	qt.Assert(f, s.write(&hardState{Term: 7, Vote: "id"}, nil, []Entry{{1, 7, EntryCommand, []byte("one")}}), qt.IsNil)
	for i := Index(2); len(s.sealed) == 0 || s.highest < s.sealed[0].highest+2; i++ {
		qt.Assert(f, s.write(nil, nil, []Entry{{i, 7, EntryCommand, []byte("more")}}), qt.IsNil)
	}
	qt.Assert(f, s.writeSnapshot(f.Context(), &Snapshot{Index: 2, Term: 7, Membership: storeMembers, Data: []byte("state")}), qt.IsNil)
	qt.Assert(f, s.publishSnapshot(2), qt.IsNil)
	for sequence := uint64(1); d.names[segmentName(sequence)] != nil; sequence++ {
		segments = append(segments, d.names[segmentName(sequence)].content)
	}
	qt.Assert(f, segments, qt.HasLen, 2)
	return d, segments
}

// Guards against files that cause a panic, against damage that is not detected, and
// against an open that changes the files so that the next open has a different result.
func FuzzOpenStore(f *testing.F) {
	d, segments := storeSeed(f)
	identity, snapshot := d.names[identityName].content, d.names[snapshotName(2)].content
	f.Add(identity, segments[0], segments[1], snapshot)
	f.Add(identity, segments[0], segments[1], []byte{})
	f.Add(identity, segments[0], segments[1][:len(segments[1])-3], snapshot)
	f.Add(identity, segments[0][:len(segments[0])-1], segments[1], snapshot)
	f.Add(identity, segments[0], segments[1], append([]byte{snapshot[0] ^ 1}, snapshot[1:]...))
	f.Add([]byte{}, segments[0], []byte{}, []byte{})
	f.Fuzz(func(t *testing.T, identity, first, second, snapshot []byte) {
		openTwice(t, map[string][]byte{
			identityName: identity, segmentName(1): first, segmentName(2): second, snapshotName(2): snapshot,
		})
	})
}

// Guards against panics and inconsistent state caused by invalid content in frames and
// files with valid checksums. A fault of an earlier version could have written it.
func FuzzOpenStoreContent(f *testing.F) {
	header := encoder{}
	header.u8(itemHeader)
	header.u8(segmentVersion)
	header.text("g")
	header.text("id")
	log := encoder{}
	log.u8(itemState)
	log.u64(7)
	log.text("id")
	for i := range Index(3) {
		log.u8(itemEntry)
		log.entry(Entry{i + 1, 7, EntryCommand, []byte("data")})
	}
	reset := encoder{}
	reset.u8(itemReset)
	reset.u64(2)
	reset.u64(7)
	snapshot := encoder{}
	snapshot.snapshotHeader(&Snapshot{Index: 2, Term: 7, Membership: storeMembers, Data: []byte("state")})
	snapshot.b = append(snapshot.b, "state"...)
	identity := encoder{}
	identity.u8(identityReady)
	identity.text("g")
	identity.text("id")
	f.Add(identity.b, header.b, log.b, snapshot.b)
	f.Add(identity.b, header.b, log.b, []byte{})
	f.Add(identity.b, header.b, append(reset.b, log.b[len(log.b)-22:]...), snapshot.b)
	f.Add(identity.b, append(header.b, log.b...), reset.b, snapshot.b)
	gap := encoder{}
	for _, i := range []Index{1, 3} {
		gap.u8(itemEntry)
		gap.entry(Entry{i, 7, EntryCommand, nil})
	}
	f.Add(identity.b, header.b, gap.b, []byte{})
	f.Fuzz(func(t *testing.T, identity, first, second, snapshot []byte) {
		segment := encodeFrame(1, 0, first)
		segment = append(segment, encodeFrame(1, int64(len(segment)), second)...)
		files := map[string][]byte{identityName: addChecksum(identity), segmentName(1): segment}
		if len(snapshot) > 0 {
			files[snapshotName(2)] = addChecksum(snapshot)
		}
		openTwice(t, files)
	})
}

// openTwice opens a store with the given files; those without content do not exist. It
// checks that a second open has the same result, and that a write after it survives a
// crash.
func openTwice(t *testing.T, content map[string][]byte) {
	d := newSimDisk(rand.New(rand.NewPCG(1, 1)))
	for name, b := range content {
		if len(b) > 0 {
			d.names[name] = &simFile{content: b, durable: b}
			d.durable[name] = d.names[name]
		}
	}
	newIdentity := func() Identity { return "new" }
	s, l, err := openStore(d.files(), simFolder, "g", newIdentity)
	if err != nil {
		qt.Assert(t, errors.Is(err, ErrCorrupt), qt.IsTrue, qt.Commentf("%v", err))
		_, _, secondErr := openStore(d.files(), simFolder, "g", newIdentity)
		qt.Assert(t, errors.Is(secondErr, ErrCorrupt), qt.IsTrue, qt.Commentf("%v", secondErr))
		return
	}
	s.close()
	for i, n := range l.log.entries {
		qt.Assert(t, n.Index, qt.Equals, l.log.base+Index(i)+1)
	}
	if n := l.snapshot; n != nil {
		e := encoder{}
		e.snapshotHeader(n)
		qt.Assert(t, bytes.Equal(addChecksum(append(e.b, n.Data...)), content[snapshotName(n.Index)]), qt.IsTrue)
	}
	s, second, err := openStore(d.files(), simFolder, "g", newIdentity)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reflect.DeepEqual(second.log, l.log) && second.state == l.state && second.identity == l.identity, qt.IsTrue,
		qt.Commentf("%+v, %+v", l, second))
	next := Entry{Index: l.log.last() + 1, Term: 9, Kind: EntryCommand, Data: []byte("next")}
	qt.Assert(t, s.write(&hardState{Term: 9, Vote: "v"}, nil, []Entry{next}), qt.IsNil)
	s.close()
	d.crash()
	s, written, err := openStore(d.files(), simFolder, "g", newIdentity)
	qt.Assert(t, err, qt.IsNil)
	defer s.close()
	qt.Assert(t, written.log.last(), qt.Equals, next.Index)
	qt.Assert(t, written.state, qt.Equals, hardState{Term: 9, Vote: "v"})
	qt.Assert(t, written.identity, qt.Equals, l.identity)
}
