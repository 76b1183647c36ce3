package state

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// blockRecords is the maximum number of records in a block. Larger blocks shorten the
// list of blocks, and increase the cost of copying a block after a capture.
const blockRecords = 256

// recordKey is an operation key in binary form. The key is a UUID of version 7, which
// begins with its time, so keys sort by time.
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

// record is the packed record of one operation. The packed string is immutable, so
// captures share it.
type record struct {
	key    recordKey
	packed string
}

// block holds records sorted by key.
type block struct {
	// generation is the generation of the store in which the block may be changed. In a
	// later generation a capture shares the block, and a change copies it first.
	generation uint64
	records    []record
}

// recordStore keeps records sorted by key, in blocks that are copied on write. A capture
// shares all blocks, so its cost does not depend on the number of records or the
// distribution of their times. Each later change copies at most one block; the first one
// also copies the list of blocks.
type recordStore struct {
	generation uint64
	blocks     []*block
	// blockListShared is set while a capture shares the slice blocks.
	blockListShared bool
	// sizeBytes is an upper bound of the size of the records in a snapshot.
	sizeBytes int
}

// capture returns the current blocks. Later changes of the store do not change them.
func (r *recordStore) capture() []*block {
	r.generation++
	r.blockListShared = true
	return r.blocks[:len(r.blocks):len(r.blocks)]
}

// find returns the index of the block that contains the key or into which it belongs,
// its index in the block, and whether it is present. The index of the block is -1 if there
// are no blocks.
func (r *recordStore) find(k recordKey) (b, i int, found bool) {
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

// recordOverhead is the maximum size of a record's key and length in a snapshot.
const recordOverhead = len(recordKey{}) + binary.MaxVarintLen32

// get returns the record of a key.
func (r *recordStore) get(k recordKey) (string, bool) {
	b, i, found := r.find(k)
	if !found {
		return "", false
	}
	return r.blocks[b].records[i].packed, true
}

// put adds or replaces the record of a key.
func (r *recordStore) put(k recordKey, packed string) {
	b, i, found := r.find(k)
	switch {
	case found:
		replaced := &r.writableBlock(b).records[i]
		r.sizeBytes += len(packed) - len(replaced.packed)
		replaced.packed = packed
	case b < 0 || (b == len(r.blocks)-1 && i == blockRecords):
		// Keys mostly arrive in order of time, so appending fills the blocks.
		r.appendRecord(record{k, packed})
	case len(r.blocks[b].records) == blockRecords:
		r.splitBlock(b)
		r.put(k, packed)
	default:
		target := r.writableBlock(b)
		target.records = slices.Insert(target.records, i, record{k, packed})
		r.sizeBytes += recordOverhead + len(packed)
	}
}

// appendRecord appends a record with a key above all others.
func (r *recordStore) appendRecord(added record) {
	last := len(r.blocks) - 1
	if last < 0 || len(r.blocks[last].records) == blockRecords {
		r.unshareBlockList()
		r.blocks = append(r.blocks, &block{generation: r.generation, records: make([]record, 0, blockRecords)})
		last++
	}
	b := r.writableBlock(last)
	b.records = append(b.records, added)
	r.sizeBytes += recordOverhead + len(added.packed)
}

// splitBlock splits a full block. The last block is split at 7/8 instead of the middle,
// because most later keys are appended and would leave the first part as it is.
func (r *recordStore) splitBlock(b int) {
	at := blockRecords / 2
	if b == len(r.blocks)-1 {
		at = blockRecords * 7 / 8
	}
	left := r.writableBlock(b)
	right := &block{generation: r.generation, records: slices.Clone(left.records[at:])}
	clear(left.records[at:])
	left.records = left.records[:at]
	r.blocks = slices.Insert(r.blocks, b+1, right)
}

// writableBlock returns a block for a change, after copying it if a capture shares it.
func (r *recordStore) writableBlock(b int) *block {
	r.unshareBlockList()
	x := r.blocks[b]
	if x.generation != r.generation {
		x = &block{generation: r.generation, records: slices.Clone(x.records)}
		r.blocks[b] = x
	}
	return x
}

// unshareBlockList copies the list of blocks if a capture shares it.
func (r *recordStore) unshareBlockList() {
	if r.blockListShared {
		r.blocks, r.blockListShared = slices.Clone(r.blocks), false
	}
}

// prune deletes the records whose time is before oldest.
func (r *recordStore) prune(oldest wire.UnixMillis) {
	expiredBlocks := 0
	for _, x := range r.blocks {
		if x.records[len(x.records)-1].key.time() >= oldest {
			break
		}
		r.subtractSize(x.records)
		expiredBlocks++
	}
	if expiredBlocks > 0 {
		r.unshareBlockList()
		r.blocks = slices.Delete(r.blocks, 0, expiredBlocks)
	}
	if len(r.blocks) == 0 || r.blocks[0].records[0].key.time() >= oldest {
		return
	}
	x := r.writableBlock(0)
	n := slices.IndexFunc(x.records, func(v record) bool { return v.key.time() >= oldest })
	r.subtractSize(x.records[:n])
	x.records = slices.Delete(x.records, 0, n)
}

// subtractSize subtracts the size of removed records from sizeBytes.
func (r *recordStore) subtractSize(removed []record) {
	for _, x := range removed {
		r.sizeBytes -= recordOverhead + len(x.packed)
	}
}
