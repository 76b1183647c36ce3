package replog

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is one write to a log segment: magic, length and checksum of the
// payload, then the payload. Everything that one fsync covers is one frame, so a
// write that a crash cut short damages only the last frame of the last segment.
const (
	frameMagic       = 0x67736c31
	frameHeaderBytes = 12
	// maxFrameBytes leaves room for several of the largest entries.
	maxFrameBytes = 64 << 20
)

var frameMagicBytes = binary.BigEndian.AppendUint32(nil, frameMagic)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameChecksum covers the frame's place as well, so that a frame copied into the
// payload of another one, or left over at another place, is not valid there.
func frameChecksum(sequence uint64, offset int64, payload []byte) uint32 {
	var place [20]byte
	binary.BigEndian.PutUint64(place[0:], sequence)
	binary.BigEndian.PutUint64(place[8:], uint64(offset))
	binary.BigEndian.PutUint32(place[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, payload)
}

// encodeFrame returns the frame for a payload at the offset of a segment.
func encodeFrame(sequence uint64, offset int64, payload []byte) []byte {
	b := make([]byte, 0, frameHeaderBytes+len(payload))
	b = binary.BigEndian.AppendUint32(b, frameMagic)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, frameChecksum(sequence, offset, payload))
	return append(b, payload...)
}

// decodeFrame returns the payload of the frame at the offset of a segment, and
// the offset after it.
func decodeFrame(segment []byte, sequence uint64, offset int64) (payload []byte, next int64, ok bool) {
	if offset < 0 || offset > int64(len(segment)) {
		return nil, offset, false
	}
	b := segment[offset:]
	if len(b) < frameHeaderBytes || binary.BigEndian.Uint32(b) != frameMagic {
		return nil, offset, false
	}
	n := binary.BigEndian.Uint32(b[4:])
	if n > maxFrameBytes || uint64(n) > uint64(len(b)-frameHeaderBytes) {
		return nil, offset, false
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+int(n)]
	if binary.BigEndian.Uint32(b[8:]) != frameChecksum(sequence, offset, payload) {
		return nil, offset, false
	}
	return payload, offset + frameHeaderBytes + int64(n), true
}

// hasFrameAfter says whether any valid frame begins after the offset.
func hasFrameAfter(segment []byte, sequence uint64, offset int64) bool {
	for at := offset + 1; at < int64(len(segment)); at++ {
		i := bytes.Index(segment[at:], frameMagicBytes)
		if i < 0 {
			return false
		}
		at += int64(i)
		if _, _, ok := decodeFrame(segment, sequence, at); ok {
			return true
		}
	}
	return false
}

// The payload of a frame is a sequence of items.
const (
	// itemHeader opens a segment and repeats who it belongs to.
	itemHeader = iota + 1
	itemState
	itemEntry
	// itemReset says that the log continues after a snapshot.
	itemReset
)

// segmentVersion is stored in each segment's header.
const segmentVersion = 1

// replay rebuilds the log from items in the order they were written.
type replay struct {
	group    GroupID
	identity Identity
	headers  int
	state    hardState
	log      entryLog
	started  bool
	// resetIndex is the index of the last reset.
	resetIndex Index
	// highest is the highest index in the segment being read.
	highest Index
}

// apply reads one payload. It returns false if any item is invalid or
// contradicts an earlier one.
func (r *replay) apply(payload []byte) bool {
	d := decoder{b: payload}
	for len(d.b) > 0 {
		if !r.applyItem(&d) || d.invalid {
			return false
		}
	}
	return true
}

func (r *replay) applyItem(d *decoder) bool {
	switch d.u8() {
	case itemHeader:
		r.headers++
		return d.u8() == segmentVersion && d.text() == string(r.group) && d.text() == string(r.identity)
	case itemState:
		r.state = hardState{Term(d.u64()), Identity(d.text())}
		return true
	case itemReset:
		r.log.reset(Index(d.u64()), Term(d.u64()))
		r.started, r.resetIndex = true, r.log.base
		r.highest = max(r.highest, r.log.base)
		return true
	case itemEntry:
		return r.applyEntry(d.entry())
	}
	return false
}

func (r *replay) applyEntry(n Entry) bool {
	if n.Index == 0 {
		return false
	}
	// The log may begin below the first entry that is left: a segment can open
	// with entries that later ones replace from an index whose first copy was in
	// a segment that is removed by now. It never begins below a snapshot.
	if !r.started || (n.Index <= r.log.base && n.Index > r.resetIndex) {
		r.log.reset(n.Index-1, 0)
		r.started = true
	}
	if n.Index <= r.log.base || n.Index > r.log.last()+1 {
		return false
	}
	r.log.truncate(n.Index - 1)
	r.log.append(n)
	r.highest = max(r.highest, n.Index)
	return true
}
