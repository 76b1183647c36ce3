package replog

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Names in the data folder. Segments and snapshots are named by sequence number
// and index in hexadecimal.
const (
	identityName    = "identity"
	lockName        = "lock"
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".temporary"
)

// checksumChunkBytes takes far less than a millisecond to check.
const checksumChunkBytes = 1 << 20

// segmentBytes is the size at which a segment is sealed. Whole segments are
// removed after a snapshot, so this is also the unit in which space is released.
const segmentBytes = 8 << 20

// store keeps a replica's state in a folder. After the first error it refuses
// all further writes: what a failed fsync left on the disk is not known.
type store struct {
	files        files
	folder       string
	group        GroupID
	identity     Identity
	unlock       func()
	segmentLimit int64

	sequence    uint64
	segmentFile file
	size        int64
	highest     Index
	sealed      []segment
	state       hardState
	failure     error
}

// segment is a sealed segment and the highest index it holds.
type segment struct {
	sequence uint64
	highest  Index
}

// loaded is what a store held when it was opened.
type loaded struct {
	identity Identity
	state    hardState
	log      entryLog
	snapshot *Snapshot
}

// openStore opens or creates the files of a replica.
func openStore(f files, folder string, group GroupID, newIdentity func() Identity) (*store, loaded, error) {
	s := &store{files: f, folder: folder, group: group, segmentLimit: segmentBytes}
	if err := f.MakeFolder(folder); err != nil {
		return nil, loaded{}, storageError("create folder", err)
	}
	release, err := f.Lock(s.path(lockName))
	if err != nil {
		return nil, loaded{}, storageError("lock folder", err)
	}
	s.unlock = release
	l, err := s.load(newIdentity)
	if err != nil {
		s.close()
		return nil, loaded{}, err
	}
	return s, l, nil
}

func storageError(action string, err error) error {
	return merry.Wrap(ErrStorage, merry.WithCause(err), merry.AppendMessagef("%s: %v", action, err))
}

// corruptError names the damaged file and the offset of the damage.
func (s *store) corruptError(name string, offset int64, text string) error {
	return merry.Wrap(ErrCorrupt, merry.AppendMessagef("%s: offset %d: %s", s.path(name), offset, text))
}

func (s *store) path(name string) string { return filepath.Join(s.folder, name) }

func segmentName(sequence uint64) string { return fmt.Sprintf("%016x%s", sequence, segmentSuffix) }

func snapshotName(i Index) string { return fmt.Sprintf("%016x%s", uint64(i), snapshotSuffix) }

// folderContents is the content of a data folder.
type folderContents struct {
	segments  []uint64
	snapshots []Index
}

// list returns segments and snapshots in order and removes temporary files.
func (s *store) list() (folderContents, error) {
	names, err := s.files.List(s.folder)
	if err != nil {
		return folderContents{}, storageError("read folder", err)
	}
	var l folderContents
	for _, n := range names {
		var v uint64
		_, scan := fmt.Sscanf(n, "%016x", &v)
		switch {
		case strings.HasSuffix(n, temporarySuffix):
			if err := s.files.Remove(s.path(n)); err != nil {
				return folderContents{}, storageError("remove temporary file", err)
			}
		case scan == nil && n == segmentName(v):
			l.segments = append(l.segments, v)
		case scan == nil && n == snapshotName(Index(v)):
			l.snapshots = append(l.snapshots, Index(v))
		}
	}
	slices.Sort(l.segments)
	slices.Sort(l.snapshots)
	return l, nil
}

func (s *store) load(newIdentity func() Identity) (loaded, error) {
	names, err := s.list()
	if err != nil {
		return loaded{}, err
	}
	if err := s.loadIdentity(names, newIdentity); err != nil {
		return loaded{}, err
	}
	l := loaded{identity: s.identity}
	if n := len(names.snapshots); n > 0 {
		if l.snapshot, err = s.loadSnapshot(names.snapshots[n-1]); err != nil {
			return loaded{}, err
		}
	}
	if len(names.segments) == 0 {
		return l, s.createLog(names)
	}
	r := &replay{group: s.group, identity: s.identity}
	if err := s.loadSegments(names.segments, r); err != nil {
		return loaded{}, err
	}
	l.state, l.log, s.state = r.state, r.log, r.state
	return l, s.reconcile(&l, segmentName(s.sequence))
}

// The identity file says whether the first segment has been created, so that a
// log that disappeared later is not mistaken for a first start.
const (
	identityNew   = 1
	identityReady = 2
)

func (s *store) loadIdentity(names folderContents, newIdentity func() Identity) error {
	b, err := s.files.Read(s.path(identityName))
	if errors.Is(err, fs.ErrNotExist) {
		switch {
		case len(names.segments) > 0:
			return s.corruptError(segmentName(names.segments[0]), 0, "log without identity file")
		case len(names.snapshots) > 0:
			return s.corruptError(snapshotName(names.snapshots[0]), 0, "snapshot without identity file")
		}
		s.identity = newIdentity()
		return s.writeIdentity(identityNew)
	}
	if err != nil {
		return storageError("read identity", err)
	}
	payload, ok := verifyChecksum(b)
	d := decoder{b: payload}
	ready, group, identity := d.u8(), d.text(), d.text()
	if !ok || !d.finished() || identity == "" {
		return s.corruptError(identityName, 0, "checksum or encoding")
	}
	if GroupID(group) != s.group {
		return s.corruptError(identityName, 0, "belongs to group "+group)
	}
	if ready == identityReady && len(names.segments) == 0 {
		return s.corruptError(identityName, 0, "identity without log")
	}
	s.identity = Identity(identity)
	if ready == identityNew && len(names.segments) > 0 {
		return s.writeIdentity(identityReady)
	}
	return nil
}

func (s *store) writeIdentity(ready uint8) error {
	e := encoder{}
	e.u8(ready)
	e.text(string(s.group))
	e.text(string(s.identity))
	if err := s.files.writeAtomically(s.path(identityName), addChecksum(e.b)); err != nil {
		return storageError("write identity", err)
	}
	return nil
}

// addChecksum adds a checksum to the content of a file that is written as a whole.
func addChecksum(payload []byte) []byte {
	e := encoder{}
	e.u32(crc32.Checksum(payload, castagnoli))
	e.b = append(e.b, payload...)
	return e.b
}

func verifyChecksum(b []byte) ([]byte, bool) {
	d := decoder{b: b}
	sum := d.u32()
	return d.b, !d.invalid && sum == crc32.Checksum(d.b, castagnoli)
}

func (s *store) createLog(names folderContents) error {
	if len(names.snapshots) > 0 {
		return s.corruptError(snapshotName(names.snapshots[0]), 0, "snapshot without log")
	}
	if err := s.createSegment(1); err != nil {
		return err
	}
	return s.writeIdentity(identityReady)
}

func (s *store) loadSnapshot(i Index) (*Snapshot, error) {
	b, err := s.files.Read(s.path(snapshotName(i)))
	if err != nil {
		return nil, storageError("read snapshot", err)
	}
	payload, ok := verifyChecksum(b)
	if !ok {
		return nil, s.corruptError(snapshotName(i), 0, "checksum")
	}
	d := decoder{b: payload}
	n := d.snapshot()
	if !d.finished() || n.Index != i {
		return nil, s.corruptError(snapshotName(i), int64(len(b)-len(d.b)), "encoding")
	}
	n.fileInfo = snapshotFileInfo{dataOffset: int64(len(b) - len(n.Data)), dataSize: uint64(len(n.Data)), checksum: binary.BigEndian.Uint32(b)}
	n.fileInfo.headerChecksum = crc32.Checksum(b[4:n.fileInfo.dataOffset], castagnoli)
	return n, nil
}

func (s *store) loadSegments(sequences []uint64, r *replay) error {
	for i, q := range sequences {
		if q != sequences[0]+uint64(i) {
			return s.corruptError(segmentName(q-1), 0, "segment is missing")
		}
		b, err := s.files.Read(s.path(segmentName(q)))
		if err != nil {
			return storageError("read segment", err)
		}
		r.highest, r.headers = 0, 0
		last := i == len(sequences)-1
		end, err := s.readSegment(b, q, last, r)
		if err != nil {
			return err
		}
		if !last {
			s.sealed = append(s.sealed, segment{q, r.highest})
			continue
		}
		if end < int64(len(b)) {
			if err := s.truncateSegment(q, end); err != nil {
				return err
			}
		}
		return s.openSegment(q, end, r.highest)
	}
	return nil
}

// readSegment replays a segment and returns the offset after its last frame. An
// invalid frame at the end of the last segment, with no valid one after it, is a
// write that was not completed and was never acknowledged. The first frame is
// durable before the segment gets its name, so it cannot be incomplete.
func (s *store) readSegment(b []byte, q uint64, last bool, r *replay) (int64, error) {
	at := int64(0)
	for at < int64(len(b)) || at == 0 {
		payload, next, ok := decodeFrame(b, q, at)
		if !ok && last && at > 0 && !hasFrameAfter(b, q, at) {
			return at, nil
		}
		if !ok {
			return 0, s.corruptError(segmentName(q), at, "invalid frame")
		}
		if !r.apply(payload) || r.headers != 1 {
			return 0, s.corruptError(segmentName(q), at, "invalid content of a frame")
		}
		at = next
	}
	return at, nil
}

func (s *store) truncateSegment(q uint64, size int64) error {
	if err := s.files.Truncate(s.path(segmentName(q)), size); err != nil {
		return storageError("truncate segment", err)
	}
	return nil
}

func (s *store) openSegment(q uint64, size int64, highest Index) error {
	f, err := s.files.Append(s.path(segmentName(q)))
	if err != nil {
		return storageError("open segment", err)
	}
	// The file may have been cut, or the last run may have ended between write
	// and fsync.
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return storageError("sync segment", err)
	}
	s.sequence, s.segmentFile, s.size, s.highest = q, f, size, highest
	return nil
}

// reconcile joins the log with the snapshot. A crash between writing a snapshot
// from the leader and resetting the log leaves a log that ends before it or
// contradicts it.
func (s *store) reconcile(l *loaded, name string) error {
	n := l.snapshot
	if n == nil {
		if l.log.base > 0 {
			return s.corruptError(name, 0, fmt.Sprintf("log begins after entry %d and there is no snapshot", l.log.base))
		}
		return nil
	}
	if l.log.base > n.Index {
		return s.corruptError(name, 0, fmt.Sprintf("log begins after entry %d and the snapshot ends at %d", l.log.base, n.Index))
	}
	if l.log.base == n.Index {
		l.log.baseTerm = n.Term
		return nil
	}
	if t, ok := l.log.term(n.Index); ok && t == n.Term {
		l.log.compact(n.Index)
		return nil
	}
	l.log.reset(n.Index, n.Term)
	return s.write(nil, n, nil)
}

// write makes term and vote, the start after a snapshot, and entries durable as
// one frame, or several where entries are large.
func (s *store) write(state *hardState, reset *Snapshot, entries []Entry) error {
	if s.failure != nil {
		return s.failure
	}
	e := encoder{}
	if state != nil {
		s.state = *state
		s.encodeState(&e)
	}
	if reset != nil {
		e.u8(itemReset)
		e.u64(uint64(reset.Index))
		e.u64(uint64(reset.Term))
		s.highest = max(s.highest, reset.Index)
	}
	for _, n := range entries {
		if len(e.b) > 0 && len(e.b)+len(n.Data) > maxFrameBytes/2 {
			if err := s.writeFrame(e.b); err != nil {
				return err
			}
			e.b = nil
		}
		e.u8(itemEntry)
		e.entry(n)
		s.highest = max(s.highest, n.Index)
	}
	if len(e.b) == 0 {
		return nil
	}
	return s.writeFrame(e.b)
}

func (s *store) encodeState(e *encoder) {
	e.u8(itemState)
	e.u64(uint64(s.state.Term))
	e.text(string(s.state.Vote))
}

func (s *store) writeFrame(payload []byte) error {
	b := encodeFrame(s.sequence, s.size, payload)
	if _, err := s.segmentFile.Write(b); err != nil {
		return s.fail("write segment", err)
	}
	if err := s.segmentFile.Sync(); err != nil {
		return s.fail("sync segment", err)
	}
	s.size += int64(len(b))
	if s.size < s.segmentLimit {
		return nil
	}
	return s.rotate()
}

func (s *store) fail(action string, err error) error {
	s.failure = storageError(action, err)
	return s.failure
}

// rotate seals the current segment, all of which is durable, and starts a new one.
func (s *store) rotate() error {
	if err := s.segmentFile.Close(); err != nil {
		return s.fail("close segment", err)
	}
	s.sealed = append(s.sealed, segment{s.sequence, s.highest})
	if err := s.createSegment(s.sequence + 1); err != nil {
		s.failure = err
		return err
	}
	return nil
}

// createSegment creates a segment that begins with its owner, and term and vote,
// which may otherwise be only in a segment that is removed.
func (s *store) createSegment(q uint64) error {
	e := encoder{}
	e.u8(itemHeader)
	e.u8(segmentVersion)
	e.text(string(s.group))
	e.text(string(s.identity))
	s.encodeState(&e)
	b := encodeFrame(q, 0, e.b)
	if err := s.files.writeAtomically(s.path(segmentName(q)), b); err != nil {
		return storageError("create segment", err)
	}
	return s.openSegment(q, int64(len(b)), 0)
}

func temporarySnapshotName(i Index) string { return snapshotName(i) + temporarySuffix }

// writeSnapshot makes a snapshot durable under its temporary name. It touches no
// other file and none of the store's fields that change, so it may run while
// anything else does. The end of ctx cuts it short with the context's error.
func (s *store) writeSnapshot(ctx context.Context, n *Snapshot) error {
	e := encoder{b: make([]byte, 4)}
	e.snapshotHeader(n)
	n.fileInfo = snapshotFileInfo{dataOffset: int64(len(e.b)), dataSize: uint64(len(n.Data)), headerChecksum: crc32.Checksum(e.b[4:], castagnoli)}
	n.fileInfo.checksum = n.fileInfo.headerChecksum
	// In pieces, because the runtime cannot interrupt the checksum of one piece
	// when it must stop all goroutines for a moment.
	for piece := range slices.Chunk(n.Data, checksumChunkBytes) {
		n.fileInfo.checksum = crc32.Update(n.fileInfo.checksum, castagnoli, piece)
	}
	binary.BigEndian.PutUint32(e.b, n.fileInfo.checksum)
	err := s.files.writeFile(ctx, s.path(temporarySnapshotName(n.Index)), e.b, n.Data)
	switch {
	case err != nil && ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		return storageError("write snapshot", err)
	}
	return nil
}

// publishSnapshot gives a snapshot that writeSnapshot has made durable its name.
func (s *store) publishSnapshot(i Index) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.files.Rename(s.path(temporarySnapshotName(i)), s.path(snapshotName(i))); err != nil {
		return s.fail("rename snapshot", err)
	}
	if err := s.files.SyncFolder(s.folder); err != nil {
		return s.fail("sync folder", err)
	}
	return nil
}

// chunkReader reads the data of a snapshot for one replica.
type chunkReader struct {
	index       Index
	checksummed uint64
	checksum    uint32
}

// read returns n bytes of the snapshot's data. It gives out the last ones only if
// the whole file still has its checksum, so that no other replica can complete a
// snapshot that is damaged here.
func (r *chunkReader) read(s *store, i Index, d snapshotFileInfo, offset uint64, n int) ([]byte, error) {
	if r.index != i || offset == 0 {
		*r = chunkReader{index: i, checksum: d.headerChecksum}
	}
	last := offset+uint64(n) == d.dataSize
	// A late reply from before a restart of the other replica can skip a part.
	for last && r.checksummed < offset {
		if _, err := r.next(s, d, r.checksummed, int(min(offset-r.checksummed, snapshotChunkBytes))); err != nil {
			return nil, err
		}
	}
	b, err := r.next(s, d, offset, n)
	if err == nil && last && r.checksum != d.checksum {
		return nil, s.corruptError(snapshotName(i), 0, "checksum")
	}
	return b, err
}

// next reads a part and adds it to the checksum, if it follows the parts before.
func (r *chunkReader) next(s *store, d snapshotFileInfo, offset uint64, n int) ([]byte, error) {
	b, err := s.files.ReadAt(s.path(snapshotName(r.index)), d.dataOffset+int64(offset), n)
	if err != nil {
		return nil, s.fail("read snapshot", err)
	}
	if offset == r.checksummed {
		r.checksum = crc32.Update(r.checksum, castagnoli, b)
		r.checksummed += uint64(n)
	}
	return b, nil
}

// olderSnapshots returns the files of snapshots before the one at newest that are
// not in use.
func (s *store) olderSnapshots(newest Index, inUse []Index) ([]string, error) {
	names, err := s.files.List(s.folder)
	if err != nil {
		return nil, s.fail("read folder", err)
	}
	return slices.DeleteFunc(names, func(n string) bool {
		used := slices.ContainsFunc(inUse, func(i Index) bool { return n == snapshotName(i) })
		return !strings.HasSuffix(n, snapshotSuffix) || n >= snapshotName(newest) || used
	}), nil
}

// compact removes segments that hold only entries up to base. The folder is
// synced after each removal, so that a crash leaves no gap between segments.
func (s *store) compact(base Index) error {
	if s.failure != nil {
		return s.failure
	}
	for len(s.sealed) > 0 && s.sealed[0].highest <= base {
		if err := s.remove(segmentName(s.sealed[0].sequence)); err != nil {
			return err
		}
		s.sealed = s.sealed[1:]
	}
	return nil
}

func (s *store) remove(name string) error {
	if err := s.files.Remove(s.path(name)); err != nil {
		return s.fail("remove file", err)
	}
	if err := s.files.SyncFolder(s.folder); err != nil {
		return s.fail("sync folder", err)
	}
	return nil
}

// close ends the use of the folder. Everything acknowledged is already durable.
func (s *store) close() {
	if s.segmentFile.Close != nil {
		_ = s.segmentFile.Close()
	}
	s.unlock()
}
