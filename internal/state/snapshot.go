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

// A snapshot is one line of JSON for everything but the operations, then the
// operations in the order of their keys: the key, the length of the packed
// record, and the record. Format 0 had a line for each operation instead, with
// its key and its record in JSON; it is still read.
const snapshotFormat = 1

// head is the first line of a snapshot.
type head struct {
	Format int
	contents
}

// Capture returns a function that encodes the state as it is now. The function
// may be called while later entries are applied, on any goroutine.
func (m *Machine) Capture() (func() ([]byte, error), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.capture()
	blocks := m.Operations.capture()
	return func() ([]byte, error) { return encodeSnapshot(c, blocks) }, nil
}

// Snapshot returns the whole state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	encode, err := m.Capture()
	if err != nil {
		return nil, err
	}
	return encode()
}

// capture copies everything but the operations. Lists are shared: they grow at
// the end and are replaced when they are cut.
func (c contents) capture() contents {
	c.Operations = records{}
	c.Services = maps.Clone(c.Services)
	c.Members = maps.Clone(c.Members)
	c.Ended = maps.Clone(c.Ended)
	c.Draining = maps.Clone(c.Draining)
	c.Partitions = maps.Clone(c.Partitions)
	c.Suspects = maps.Clone(c.Suspects)
	return c
}

func encodeSnapshot(c contents, blocks []*block) ([]byte, error) {
	first, err := json.Marshal(head{Format: snapshotFormat, contents: c})
	if err != nil {
		return nil, merry.Wrap(ErrInvalidSnapshot, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	size := len(first) + 1
	for _, b := range blocks {
		for _, r := range b.records {
			size += len(r.key) + binary.MaxVarintLen32 + len(r.data)
		}
	}
	out := append(make([]byte, 0, size), first...)
	out = append(out, '\n')
	for _, b := range blocks {
		for _, r := range b.records {
			out = append(out, r.key[:]...)
			out = binary.AppendUvarint(out, uint64(len(r.data)))
			out = append(out, r.data...)
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
	h := head{contents: emptyContents()}
	first, rest, ok := bytes.Cut(data, []byte{'\n'})
	if !ok {
		return h.contents, merry.Wrap(ErrInvalidSnapshot, merry.AppendMessage("first line has no end"))
	}
	if err := json.Unmarshal(first, &h); err != nil {
		return h.contents, merry.Wrap(ErrInvalidSnapshot, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	// A null takes the place of the empty map, and a later command writes to it.
	if h.Services == nil || h.Members == nil || h.Ended == nil || h.Draining == nil || h.Partitions == nil || h.Suspects == nil {
		return h.contents, merry.Wrap(ErrInvalidSnapshot, merry.AppendMessage("null in place of a map"))
	}
	var c recordChecker
	read := c.readRecord
	switch h.Format {
	case 0:
		read = readTextRecord
	case snapshotFormat:
	default:
		return h.contents, merry.Wrap(ErrInvalidSnapshot, merry.AppendMessagef("format %d is not known", h.Format))
	}
	count, last := 0, recordKey{}
	for len(rest) > 0 {
		var r record
		if r, rest, ok = read(rest); !ok || bytes.Compare(r.key[:], last[:]) <= 0 {
			return h.contents, merry.Wrap(ErrInvalidSnapshot, merry.AppendMessagef("invalid operation after %d others", count))
		}
		h.Operations.add(r)
		count, last = count+1, r.key
	}
	h.Operations.blocks = slices.Clip(h.Operations.blocks)
	return h.contents, nil
}

// readRecord reads one operation and returns the bytes after it.
func (c *recordChecker) readRecord(b []byte) (r record, rest []byte, ok bool) {
	if copy(r.key[:], b) < len(r.key) || r.key[6]>>4 != 7 {
		return r, nil, false
	}
	b = b[len(r.key):]
	n, used := binary.Uvarint(b)
	if used <= 0 || n > uint64(len(b)-used) {
		return r, nil, false
	}
	b = b[used:]
	// Copied, so that the records do not keep the whole snapshot in memory.
	r.data = string(b[:n])
	return r, b[n:], c.valid(r.data)
}

// readTextRecord reads one operation of format 0.
func readTextRecord(b []byte) (r record, rest []byte, ok bool) {
	line, rest, ended := bytes.Cut(b, []byte{'\n'})
	key, text, separated := bytes.Cut(line, []byte{' '})
	r.key, ok = parseKey(wire.OperationKey(key))
	var o operation
	if !ended || !separated || !ok || json.Unmarshal(text, &o) != nil {
		return r, nil, false
	}
	r.data = packOperation(o)
	return r, rest, true
}
