package state

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// snapshotFormat is the format of new snapshots. A snapshot begins with one line of JSON
// for everything except the operations. The operations follow, sorted by key: for each,
// the key, the length of the packed record, and the record. In format 0, which Restore
// still reads, each operation was a line with its key and its record in JSON.
const snapshotFormat = 1

// snapshotHeader is the first line of a snapshot in JSON.
type snapshotHeader struct {
	Format int
	contents
}

// Capture returns a function that encodes the state as of the call of Capture. The
// function may be called from any goroutine, also while later entries are applied.
func (m *Machine) Capture() (func() ([]byte, error), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.shallowCopy()
	blocks := m.Operations.capture()
	return func() ([]byte, error) { return encodeSnapshot(c, blocks) }, nil
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	encode, err := m.Capture()
	if err != nil {
		return nil, err
	}
	return encode()
}

// shallowCopy copies the contents without the operations. It shares slices, because they
// are only appended to, or replaced by a copy when they are truncated.
func (c contents) shallowCopy() contents {
	c.Operations = recordStore{}
	c.Services = maps.Clone(c.Services)
	c.Members = maps.Clone(c.Members)
	c.Ended = maps.Clone(c.Ended)
	c.Draining = maps.Clone(c.Draining)
	c.Evacuated = maps.Clone(c.Evacuated)
	c.Partitions = maps.Clone(c.Partitions)
	c.Suspects = maps.Clone(c.Suspects)
	return c
}

func encodeSnapshot(c contents, blocks []*block) ([]byte, error) {
	header, err := json.Marshal(snapshotHeader{Format: snapshotFormat, contents: c})
	if err != nil {
		return nil, merry.Wrap(ErrInvalidSnapshot, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	size := len(header) + 1
	for _, b := range blocks {
		for _, r := range b.records {
			size += len(r.key) + binary.MaxVarintLen32 + len(r.packed)
		}
	}
	out := append(make([]byte, 0, size), header...)
	out = append(out, '\n')
	for _, b := range blocks {
		for _, r := range b.records {
			out = append(out, r.key[:]...)
			out = binary.AppendUvarint(out, uint64(len(r.packed)))
			out = append(out, r.packed...)
		}
	}
	return out, nil
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	c, err := parseSnapshot(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Group != m.Group {
		return merry.Wrap(ErrInvalidSnapshot, merry.AppendMessagef("group is %q, expected %q", c.Group, m.Group))
	}
	m.contents = c
	m.rebuildByNode()
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

func parseSnapshot(data []byte) (contents, error) {
	h := snapshotHeader{contents: emptyContents()}
	header, rest, ok := bytes.Cut(data, []byte{'\n'})
	if !ok {
		return h.contents, merry.Wrap(ErrInvalidSnapshot, merry.AppendMessage("header line is not terminated"))
	}
	if err := json.Unmarshal(header, &h); err != nil {
		return h.contents, merry.Wrap(ErrInvalidSnapshot, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	// A null in the snapshot replaces an empty map by a nil map, and a later command that
	// writes to it would panic.
	if h.Services == nil || h.Members == nil || h.Ended == nil || h.Draining == nil || h.Evacuated == nil || h.Partitions == nil || h.Suspects == nil {
		return h.contents, merry.Wrap(ErrInvalidSnapshot, merry.AppendMessage("header has null in place of a map"))
	}
	var c recordValidator
	read := c.readRecord
	switch h.Format {
	case 0:
		read = readJSONRecord
	case snapshotFormat:
	default:
		return h.contents, merry.Wrap(ErrInvalidSnapshot, merry.AppendMessagef("unknown format %d", h.Format))
	}
	count, last := 0, recordKey{}
	for len(rest) > 0 {
		var r record
		if r, rest, ok = read(rest); !ok || bytes.Compare(r.key[:], last[:]) <= 0 {
			return h.contents, merry.Wrap(ErrInvalidSnapshot, merry.AppendMessagef("invalid or out-of-order operation after %d valid operations", count))
		}
		h.Operations.appendRecord(r)
		count, last = count+1, r.key
	}
	h.Operations.blocks = slices.Clip(h.Operations.blocks)
	return h.contents, nil
}

// readRecord reads one operation and returns the remaining bytes. Operation keys are
// UUIDs of version 7; the high four bits of byte 6 hold the version.
func (c *recordValidator) readRecord(b []byte) (r record, rest []byte, ok bool) {
	if copy(r.key[:], b) < len(r.key) || r.key[6]>>4 != 7 {
		return r, nil, false
	}
	b = b[len(r.key):]
	n, width := binary.Uvarint(b)
	if width <= 0 || n > uint64(len(b)-width) {
		return r, nil, false
	}
	b = b[width:]
	// The string is a copy, so that the record does not keep the snapshot in memory.
	r.packed = string(b[:n])
	return r, b[n:], c.valid(r.packed)
}

// readJSONRecord reads one operation of format 0 and returns the remaining bytes.
func readJSONRecord(b []byte) (r record, rest []byte, ok bool) {
	line, rest, terminated := bytes.Cut(b, []byte{'\n'})
	key, text, separated := bytes.Cut(line, []byte{' '})
	r.key, ok = parseKey(wire.OperationKey(key))
	var o operation
	if !terminated || !separated || !ok || json.Unmarshal(text, &o) != nil {
		return r, nil, false
	}
	r.packed = packOperation(o)
	return r, rest, true
}
