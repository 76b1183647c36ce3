// Package partition divides a key space into partitions and proposes which
// server should own which partition.
//
// Keys hash with xxhash to a fixed number of partitions. The number never
// changes while a service exists, so a key moves only when its partition does.
// Plan is a pure function from the present ownership to a list of moves: the
// same input gives the same moves, on every host and on every run.
//
// Plan assigns each unowned partition at once, then empties servers that accept
// no more work, then evens out load. A move risks the state of its keys, so
// load is evened out only past a threshold, with few moves, and each move must
// lower the higher of the two loads that it touches.
//
// # Usage
//
//	n := partition.OfKey("clinic-17", 256)
//	moves := partition.Plan(current, servers, load, partition.Limits{MaxBalanceMoves: 4, MaxDrainMoves: 16})
//	for _, m := range moves {
//		if m.From == "" {
//			assign(m.Partition, m.To)
//			continue
//		}
//		startMove(m)
//	}
package partition

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Number is the number of a partition, from 0.
type Number int

// ID names a partition across services.
type ID string

// Hash returns the hash of a key.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Of returns the partition of a key when there are count partitions.
func OfKey(key string, count int) Number { return OfHash(Hash(key), count) }

// OfHash returns the partition of a key with the given hash.
func OfHash(hash uint64, count int) Number { return Number(hash % uint64(count)) }

// hashDigits is the length of a 64-bit hash in hexadecimal.
const hashDigits = 16

// FormatHash returns a hash as 16 hexadecimal digits.
func FormatHash(hash uint64) string {
	digits := strconv.FormatUint(hash, 16)
	for len(digits) < hashDigits {
		digits = "0" + digits
	}
	return digits
}

// ParseHash reads 16 hexadecimal digits. It returns false for any other text.
func ParseHash(digits string) (uint64, bool) {
	if len(digits) != hashDigits {
		return 0, false
	}
	h, err := strconv.ParseUint(digits, 16, 64)
	return h, err == nil && FormatHash(h) == digits
}
