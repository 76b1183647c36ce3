package replog

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is one write to a log segment. It consists of a magic number, the length
// and checksum of the payload, and the payload. Each frame is fsynced on its own,
// so a crash during a write can damage only the last frame of the last segment.
const (
	frameMagic       = 0x67736c31
	frameHeaderBytes = 12
	// maxFrameBytes allows several entries of maximum size.
	maxFrameBytes = 64 << 20
)

var frameMagicBytes = binary.BigEndian.AppendUint32(nil, frameMagic)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameChecksum also covers the segment's sequence number and the frame's offset. A
// copy of a frame at any other position, such as in the payload of another frame,
// is therefore invalid.
func frameChecksum(sequence uint64, offset int64, payload []byte) uint32 {
	var position [20]byte
	binary.BigEndian.PutUint64(position[0:], sequence)
	binary.BigEndian.PutUint64(position[8:], uint64(offset))
	binary.BigEndian.PutUint32(position[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, payload)
}

// encodeFrame returns the frame for a payload at the offset of a segment.
func encodeFrame(sequence uint64, offset int64, payload []byte) []byte {
	b := make([]byte, 0, frameHeaderBytes+len(payload))
	b = binary.BigEndian.AppendUint32(b, frameMagic)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, frameChecksum(sequence, offset, payload))
	return append(b, payload...)
}

// decodeFrame returns the payload of the frame at the offset of a segment, and the
// offset of the next frame.
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

// hasFrameAfter reports whether a valid frame starts anywhere after the offset.
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
	// itemHeader is the first item of a segment and contains the replica's group
	// and identity.
	itemHeader = iota + 1
	// itemState contains the hard state.
	itemState
	itemEntry
	// itemReset discards the log before it; the log continues after a snapshot.
	itemReset
)

// segmentVersion is stored in each segment's header.
const segmentVersion = 1

// replay rebuilds the log and the hard state from items in the order in which they
// were written.
type replay struct {
	group    GroupID
	identity Identity
	// headers is the number of headers in the segment being read.
	headers int
	state   hardState
	log     entryLog
	// started is true once the base of the log is known.
	started bool
	// resetIndex is the index of the last itemReset.
	resetIndex Index
	// highest is the highest index in the segment being read.
	highest Index
}

// apply applies the items of one payload. It returns false if an item is invalid or
// inconsistent with earlier items.
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
	// The first entry that is read need not be the lowest one. For example, the
	// first segment starts with entry 10, and entries 8 and 9 were in a segment that
	// has been removed. If a later write replaced the log from entry 8 on, the base
	// moves back from 9 to 7. The base never moves back to before a reset.
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
