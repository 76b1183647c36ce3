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

// File names in the data folder. The name of a segment is its sequence number, that
// of a snapshot its index, both in hexadecimal and followed by the suffix.
const (
	identityName    = "identity"
	lockName        = "lock"
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".temporary"
)

// checksumChunkBytes is the size of the chunks in which a snapshot's checksum is
// computed. One chunk takes far less than a millisecond.
const checksumChunkBytes = 1 << 20

// segmentBytes is the size at which a segment is sealed and a new one created. A
// compaction removes whole segments, so this is also the granularity in which disk
// space is freed.
const segmentBytes = 8 << 20

// store stores a replica's state in the data folder. After the first failure it
// rejects all further writes, because the state on disk after a failed fsync is
// unknown.
type store struct {
	files        fileSystem
	folder       string
	group        GroupID
	identity     Identity
	unlock       func()
	segmentLimit int64

	// sequence, segmentFile, size and highest describe the segment being written.
	sequence    uint64
	segmentFile writableFile
	size        int64
	highest     Index
	sealed      []segment
	state       hardState
	// failure is the first error of a write.
	failure error
}

// segment is a sealed segment with the highest index of its entries.
type segment struct {
	sequence uint64
	highest  Index
}

// storedState is the state that a store contained when it was opened.
type storedState struct {
	identity Identity
	state    hardState
	log      entryLog
	snapshot *Snapshot
}

// openStore opens or creates a data folder and loads its state.
func openStore(f fileSystem, folder string, group GroupID, newIdentity func() Identity) (*store, storedState, error) {
	s := &store{files: f, folder: folder, group: group, segmentLimit: segmentBytes}
	if err := f.MakeFolder(folder); err != nil {
		return nil, storedState{}, storageError("create folder", err)
	}
	// A folder whose name is not durable can be lost with all its files in a power loss.
	if err := f.SyncFolder(filepath.Dir(folder)); err != nil {
		return nil, storedState{}, storageError("sync parent folder", err)
	}
	unlock, err := f.Lock(s.path(lockName))
	if err != nil {
		return nil, storedState{}, storageError("lock folder", err)
	}
	s.unlock = unlock
	l, err := s.load(newIdentity)
	if err != nil {
		s.close()
		return nil, storedState{}, err
	}
	return s, l, nil
}

func storageError(action string, err error) error {
	return merry.Wrap(ErrStorage, merry.WithCause(err), merry.AppendMessagef("%s: %v", action, err))
}

// corruptError returns an ErrCorrupt with the damaged file and the offset of the
// damage.
func (s *store) corruptError(name string, offset int64, text string) error {
	return merry.Wrap(ErrCorrupt, merry.AppendMessagef("%s: offset %d: %s", s.path(name), offset, text))
}

func (s *store) path(name string) string { return filepath.Join(s.folder, name) }

func segmentName(sequence uint64) string { return fmt.Sprintf("%016x%s", sequence, segmentSuffix) }

func snapshotName(i Index) string { return fmt.Sprintf("%016x%s", uint64(i), snapshotSuffix) }

// folderContents lists the segments and snapshots in a data folder.
type folderContents struct {
	segments  []uint64
	snapshots []Index
}

// list returns the segments and snapshots in ascending order. It removes temporary
// files, which a stop or crash has left unfinished.
func (s *store) list() (folderContents, error) {
	names, err := s.files.List(s.folder)
	if err != nil {
		return folderContents{}, storageError("read folder", err)
	}
	var contents folderContents
	for _, n := range names {
		var v uint64
		_, scanErr := fmt.Sscanf(n, "%016x", &v)
		switch {
		case strings.HasSuffix(n, temporarySuffix):
			if err := s.files.Remove(s.path(n)); err != nil {
				return folderContents{}, storageError("remove temporary file", err)
			}
		case scanErr == nil && n == segmentName(v):
			contents.segments = append(contents.segments, v)
		case scanErr == nil && n == snapshotName(Index(v)):
			contents.snapshots = append(contents.snapshots, Index(v))
		}
	}
	slices.Sort(contents.segments)
	slices.Sort(contents.snapshots)
	return contents, nil
}

func (s *store) load(newIdentity func() Identity) (storedState, error) {
	contents, err := s.list()
	if err != nil {
		return storedState{}, err
	}
	// A disk fault may have left a file under its final name before that name was durable. What
	// is acknowledged from now on must not depend on it.
	if err := s.files.SyncFolder(s.folder); err != nil {
		return storedState{}, storageError("sync folder", err)
	}
	if err := s.loadIdentity(contents, newIdentity); err != nil {
		return storedState{}, err
	}
	l := storedState{identity: s.identity}
	if n := len(contents.snapshots); n > 0 {
		if l.snapshot, err = s.loadSnapshot(contents.snapshots[n-1]); err != nil {
			return storedState{}, err
		}
	}
	if len(contents.segments) == 0 {
		return l, s.createLog(contents)
	}
	r := &replay{group: s.group, identity: s.identity}
	if err := s.loadSegments(contents.segments, r); err != nil {
		return storedState{}, err
	}
	l.state, l.log, s.state = r.state, r.log, r.state
	return l, s.reconcile(&l, segmentName(s.sequence))
}

// The status in the identity file records whether the first segment has been
// created. Without it, a folder whose log was deleted would look like a first start.
const (
	identityNew   = 1
	identityReady = 2
)

// loadIdentity reads the identity, or creates one if the folder is empty.
func (s *store) loadIdentity(contents folderContents, newIdentity func() Identity) error {
	b, err := s.files.Read(s.path(identityName))
	if errors.Is(err, fs.ErrNotExist) {
		switch {
		case len(contents.segments) > 0:
			return s.corruptError(segmentName(contents.segments[0]), 0, "log without identity file")
		case len(contents.snapshots) > 0:
			return s.corruptError(snapshotName(contents.snapshots[0]), 0, "snapshot without identity file")
		}
		s.identity = newIdentity()
		return s.writeIdentity(identityNew)
	}
	if err != nil {
		return storageError("read identity", err)
	}
	payload, ok := verifyChecksum(b)
	d := decoder{b: payload}
	status, group, identity := d.u8(), d.text(), d.text()
	if !ok || !d.finished() || identity == "" {
		return s.corruptError(identityName, 0, "checksum or encoding")
	}
	if GroupID(group) != s.group {
		return s.corruptError(identityName, 0, "belongs to group "+group)
	}
	if status == identityReady && len(contents.segments) == 0 {
		return s.corruptError(identityName, 0, "identity without log")
	}
	s.identity = Identity(identity)
	if status == identityNew && len(contents.segments) > 0 {
		return s.writeIdentity(identityReady)
	}
	return nil
}

func (s *store) writeIdentity(status uint8) error {
	e := encoder{}
	e.u8(status)
	e.text(string(s.group))
	e.text(string(s.identity))
	if err := s.files.writeAtomically(s.path(identityName), addChecksum(e.b)); err != nil {
		return storageError("write identity", err)
	}
	return nil
}

// addChecksum prepends a checksum to the content of a file that is always written as
// a whole.
func addChecksum(payload []byte) []byte {
	e := encoder{}
	e.u32(crc32.Checksum(payload, castagnoli))
	e.b = append(e.b, payload...)
	return e.b
}

// verifyChecksum reverses addChecksum. It returns false if the checksum is wrong.
func verifyChecksum(b []byte) ([]byte, bool) {
	d := decoder{b: b}
	checksum := d.u32()
	return d.b, !d.invalid && checksum == crc32.Checksum(d.b, castagnoli)
}

func (s *store) createLog(contents folderContents) error {
	if len(contents.snapshots) > 0 {
		return s.corruptError(snapshotName(contents.snapshots[0]), 0, "snapshot without log")
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
	for i, sequence := range sequences {
		if sequence != sequences[0]+uint64(i) {
			return s.corruptError(segmentName(sequence-1), 0, "segment is missing")
		}
		b, err := s.files.Read(s.path(segmentName(sequence)))
		if err != nil {
			return storageError("read segment", err)
		}
		r.highest, r.headers = 0, 0
		last := i == len(sequences)-1
		end, err := s.readSegment(b, sequence, last, r)
		if err != nil {
			return err
		}
		if !last {
			s.sealed = append(s.sealed, segment{sequence, r.highest})
			continue
		}
		if end < int64(len(b)) {
			if err := s.truncateSegment(sequence, end); err != nil {
				return err
			}
		}
		return s.openSegment(sequence, end, r.highest)
	}
	return nil
}

// readSegment replays a segment and returns the offset after its last valid frame. An
// invalid frame in the last segment that is not followed by a valid one is an
// incomplete write. It was never acknowledged and is ignored. The first frame of a
// segment cannot be incomplete, because it is durable before the segment gets its
// final name.
func (s *store) readSegment(b []byte, sequence uint64, last bool, r *replay) (int64, error) {
	offset := int64(0)
	for offset < int64(len(b)) || offset == 0 {
		payload, next, ok := decodeFrame(b, sequence, offset)
		if !ok && last && offset > 0 && !hasFrameAfter(b, sequence, offset) {
			return offset, nil
		}
		if !ok {
			return 0, s.corruptError(segmentName(sequence), offset, "invalid frame")
		}
		if !r.apply(payload) || r.headers != 1 {
			return 0, s.corruptError(segmentName(sequence), offset, "invalid frame content")
		}
		offset = next
	}
	return offset, nil
}

func (s *store) truncateSegment(sequence uint64, size int64) error {
	if err := s.files.Truncate(s.path(segmentName(sequence)), size); err != nil {
		return storageError("truncate segment", err)
	}
	return nil
}

func (s *store) openSegment(sequence uint64, size int64, highest Index) error {
	f, err := s.files.Append(s.path(segmentName(sequence)))
	if err != nil {
		return storageError("open segment", err)
	}
	// The file may just have been truncated, or the process may have crashed between
	// the last write and its fsync.
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return storageError("sync segment", err)
	}
	s.sequence, s.segmentFile, s.size, s.highest = sequence, f, size, highest
	return nil
}

// reconcile makes the log consistent with the snapshot. If the replica crashed after
// publishing a snapshot from the leader and before resetting the log, the log ends
// before the snapshot or conflicts with it, and is reset here.
func (s *store) reconcile(l *storedState, name string) error {
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

// write makes the hard state, a reset of the log to a snapshot, and entries durable.
// It writes one frame, or several if the entries are large. state and snapshot may
// be nil.
func (s *store) write(state *hardState, snapshot *Snapshot, entries []Entry) error {
	if s.failure != nil {
		return s.failure
	}
	e := encoder{}
	if state != nil {
		s.state = *state
		s.encodeState(&e)
	}
	if snapshot != nil {
		e.u8(itemReset)
		e.u64(uint64(snapshot.Index))
		e.u64(uint64(snapshot.Term))
		s.highest = max(s.highest, snapshot.Index)
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

// fail records a failure, after which the store rejects all writes.
func (s *store) fail(action string, err error) error {
	s.failure = storageError(action, err)
	return s.failure
}

// rotate seals the current segment, which is completely durable, and creates the next
// one.
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

// createSegment creates a segment with a header and the hard state. The hard state is
// repeated because the segment with the previous copy may be removed.
func (s *store) createSegment(sequence uint64) error {
	e := encoder{}
	e.u8(itemHeader)
	e.u8(segmentVersion)
	e.text(string(s.group))
	e.text(string(s.identity))
	s.encodeState(&e)
	b := encodeFrame(sequence, 0, e.b)
	if err := s.files.writeAtomically(s.path(segmentName(sequence)), b); err != nil {
		return storageError("create segment", err)
	}
	return s.openSegment(sequence, int64(len(b)), 0)
}

func temporarySnapshotName(i Index) string { return snapshotName(i) + temporarySuffix }

// writeSnapshot makes a snapshot durable under its temporary name. It accesses no
// other file and none of the store's mutable fields, so it may run concurrently with
// the other methods. It stops with the context's error if ctx is cancelled.
func (s *store) writeSnapshot(ctx context.Context, n *Snapshot) error {
	e := encoder{b: make([]byte, 4)}
	e.snapshotHeader(n)
	n.fileInfo = snapshotFileInfo{dataOffset: int64(len(e.b)), dataSize: uint64(len(n.Data)), headerChecksum: crc32.Checksum(e.b[4:], castagnoli)}
	n.fileInfo.checksum = n.fileInfo.headerChecksum
	// The checksum is computed in chunks, because the runtime cannot preempt the
	// computation of a single chunk. One large computation would delay a
	// stop-the-world phase, and with it all goroutines.
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

// publishSnapshot renames a snapshot from writeSnapshot to its final name.
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

// chunkReader reads a snapshot in chunks for one other replica.
type chunkReader struct {
	index Index
	// checksum covers the header and the first checksummed bytes of the data.
	checksummed uint64
	checksum    uint32
}

// read returns n bytes of the snapshot's data. It returns the last chunk only if the
// checksum of the whole file is correct, so that no other replica can receive all of
// a damaged snapshot.
func (r *chunkReader) read(s *store, i Index, d snapshotFileInfo, offset uint64, n int) ([]byte, error) {
	if r.index != i || offset == 0 {
		*r = chunkReader{index: i, checksum: d.headerChecksum}
	}
	last := offset+uint64(n) == d.dataSize
	// Chunks are skipped if the other replica has restarted and a reply from before
	// its restart arrives late. The checksum must include them.
	for last && r.checksummed < offset {
		if _, err := r.readNext(s, d, r.checksummed, int(min(offset-r.checksummed, snapshotChunkBytes))); err != nil {
			return nil, err
		}
	}
	b, err := r.readNext(s, d, offset, n)
	if err == nil && last && r.checksum != d.checksum {
		return nil, s.corruptError(snapshotName(i), 0, "checksum")
	}
	return b, err
}

// readNext reads a chunk. If the chunk directly follows the data in the checksum, it
// is added to the checksum.
func (r *chunkReader) readNext(s *store, d snapshotFileInfo, offset uint64, n int) ([]byte, error) {
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

// olderSnapshots returns the files of the snapshots that are older than newest and
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

// compact removes the segments that contain only entries up to base. It syncs the
// folder after each removal, so that a crash leaves no gap in the sequence of
// segments.
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

// close closes the segment and unlocks the folder. Everything acknowledged is already
// durable.
func (s *store) close() {
	if s.segmentFile.Close != nil {
		_ = s.segmentFile.Close()
	}
	s.unlock()
}
