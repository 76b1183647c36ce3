package state

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// A snapshot is text: one line of JSON for everything but the operations, then
// one line for each operation, its key and its record, in the order of the keys.

// Snapshot returns the whole state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	head, err := json.Marshal(m.contents)
	if err != nil {
		return nil, merry.Wrap(ErrSnapshot, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	size := len(head) + 1
	for k, record := range m.Operations {
		size += len(k) + len(record) + 2
	}
	out := bytes.NewBuffer(make([]byte, 0, size))
	out.Write(head)
	out.WriteByte('\n')
	for _, k := range slices.Sorted(maps.Keys(m.Operations)) {
		out.WriteString(string(k))
		out.WriteByte(' ')
		out.Write(m.Operations[k])
		out.WriteByte('\n')
	}
	return out.Bytes(), nil
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	c, expiry, err := parseSnapshot(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Group != m.Group {
		return merry.Wrap(ErrSnapshot, merry.AppendMessagef("group is %q, expected %q", c.Group, m.Group))
	}
	m.contents, m.expiry = c, expiry
	m.rebuildByNode()
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

func parseSnapshot(data []byte) (contents, keyHeap, error) {
	c := emptyContents()
	head, rest, ok := bytes.Cut(data, []byte{'\n'})
	if !ok {
		return c, nil, merry.Wrap(ErrSnapshot, merry.AppendMessage("first line has no end"))
	}
	if err := json.Unmarshal(head, &c); err != nil {
		return c, nil, merry.Wrap(ErrSnapshot, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	// A null takes the place of the empty map, and a later command writes to it.
	if c.Services == nil || c.Members == nil || c.Ended == nil || c.Draining == nil || c.Partitions == nil || c.Suspects == nil {
		return c, nil, merry.Wrap(ErrSnapshot, merry.AppendMessage("null in place of a map"))
	}
	expiry, err := c.parseOperations(rest)
	return c, expiry, err
}

// parseOperations reads the lines of operations. Their order is that of the
// times in the keys, so the list is a heap already. Each record is decoded once,
// because a later command that reads it has no way to refuse it.
func (c *contents) parseOperations(rest []byte) (keyHeap, error) {
	var expiry keyHeap
	last := wire.OperationKey("")
	for len(rest) > 0 {
		line, after, ended := bytes.Cut(rest, []byte{'\n'})
		key, record, separated := bytes.Cut(line, []byte{' '})
		k := wire.OperationKey(key)
		t, valid := KeyTime(k)
		var o operation
		if !ended || !separated || !valid || k <= last || json.Unmarshal(record, &o) != nil {
			return nil, merry.Wrap(ErrSnapshot, merry.AppendMessagef("invalid line of an operation after %d others", len(expiry)))
		}
		c.Operations[k] = bytes.Clone(record)
		expiry = append(expiry, timedKey{at: t, key: k})
		rest, last = after, k
	}
	return expiry, nil
}
