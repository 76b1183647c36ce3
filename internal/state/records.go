package state

import (
	"bytes"
	"slices"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// blockRecords is the size of a block. Larger blocks make the list of blocks
// shorter, and the copy of a block after a capture longer.
const blockRecords = 256

// recordKey is an operation key in binary form. Keys of version 7 begin with
// their time, so the order of the keys is that of their times.
type recordKey [16]byte

// time returns the key's time: the first 48 bits are Unix milliseconds.
func (k recordKey) time() wire.UnixMillis {
	t := wire.UnixMillis(0)
	for _, b := range k[:6] {
		t = t<<8 | wire.UnixMillis(b)
	}
	return t
}

// parseKey returns the binary form of a key, and false when it is not a UUID of
// version 7 in its canonical form.
func parseKey(k wire.OperationKey) (recordKey, bool) {
	id, err := uuid.Parse(string(k))
	if err != nil || id.Version() != 7 || id.String() != string(k) {
		return recordKey{}, false
	}
	return recordKey(id), true
}

// record is the packed record of one operation. A string is never changed, so
// captures share it.
type record struct {
	key  recordKey
	data string
}

// block holds records in the order of their keys.
type block struct {
	// generation is that of the records that may change the block. Blocks of an
	// earlier one are shared with a capture and copied before a change.
	generation uint64
	records    []record
}

// records are kept in blocks in the order of their keys. A capture shares all
// blocks, so it costs the same for any number of records and any distribution of
// their times; each later change copies at most one block, and the first one
// also the list of blocks.
type records struct {
	generation uint64
	blocks     []*block
	// listShared is set while a capture shares the list itself.
	listShared bool
}

// capture returns the blocks as they are now; they do not change any more.
func (r *records) capture() []*block {
	r.generation++
	r.listShared = true
	return r.blocks[:len(r.blocks):len(r.blocks)]
}

// find returns the block that holds the key or would, the place in it, and
// whether the key is there. The block is -1 when there are none.
func (r *records) find(k recordKey) (b, i int, found bool) {
	b, found = slices.BinarySearchFunc(r.blocks, k, func(x *block, k recordKey) int {
		return bytes.Compare(x.records[0].key[:], k[:])
	})
	if found {
		return b, 0, true
	}
	if b--; b < 0 {
		return min(0, len(r.blocks)-1), 0, false
	}
	i, found = slices.BinarySearchFunc(r.blocks[b].records, k, func(x record, k recordKey) int {
		return bytes.Compare(x.key[:], k[:])
	})
	return b, i, found
}

// get returns the record of a key.
func (r *records) get(k recordKey) (string, bool) {
	b, i, found := r.find(k)
	if !found {
		return "", false
	}
	return r.blocks[b].records[i].data, true
}

// put adds or replaces the record of a key.
func (r *records) put(k recordKey, data string) {
	b, i, found := r.find(k)
	switch {
	case found:
		r.own(b).records[i].data = data
	case b < 0 || (b == len(r.blocks)-1 && i == blockRecords):
		// Keys mostly arrive in the order of their times, which fills each block.
		r.add(record{k, data})
	case len(r.blocks[b].records) == blockRecords:
		r.split(b)
		r.put(k, data)
	default:
		x := r.own(b)
		x.records = slices.Insert(x.records, i, record{k, data})
	}
}

// add appends a record with a key above all others.
func (r *records) add(x record) {
	last := len(r.blocks) - 1
	if last < 0 || len(r.blocks[last].records) == blockRecords {
		r.ownList()
		r.blocks = append(r.blocks, &block{generation: r.generation, records: make([]record, 0, blockRecords)})
		last++
	}
	b := r.own(last)
	b.records = append(b.records, x)
}

// split divides a full block. Most later keys belong after the last block, so
// only a little of that one is moved.
func (r *records) split(b int) {
	at := blockRecords / 2
	if b == len(r.blocks)-1 {
		at = blockRecords * 7 / 8
	}
	x := r.own(b)
	y := &block{generation: r.generation, records: slices.Clone(x.records[at:])}
	clear(x.records[at:])
	x.records = x.records[:at]
	r.blocks = slices.Insert(r.blocks, b+1, y)
}

// own returns a block that may be changed.
func (r *records) own(b int) *block {
	r.ownList()
	x := r.blocks[b]
	if x.generation != r.generation {
		x = &block{generation: r.generation, records: slices.Clone(x.records)}
		r.blocks[b] = x
	}
	return x
}

func (r *records) ownList() {
	if r.listShared {
		r.blocks, r.listShared = slices.Clone(r.blocks), false
	}
}

// prune drops the records with a time before the oldest one that is kept.
func (r *records) prune(oldest wire.UnixMillis) {
	whole := 0
	for _, x := range r.blocks {
		if x.records[len(x.records)-1].key.time() >= oldest {
			break
		}
		whole++
	}
	if whole > 0 {
		r.ownList()
		r.blocks = slices.Delete(r.blocks, 0, whole)
	}
	if len(r.blocks) == 0 || r.blocks[0].records[0].key.time() >= oldest {
		return
	}
	x := r.own(0)
	n := slices.IndexFunc(x.records, func(v record) bool { return v.key.time() >= oldest })
	x.records = slices.Delete(x.records, 0, n)
}
