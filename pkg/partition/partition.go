// Package partition divides a key space into partitions and plans which target owns
// which partition.
//
// A key is mapped to one of a fixed number of partitions by its xxhash. The number
// never changes while a service exists, so a key moves only when its partition moves.
// Plan is a pure function from the current ownership to a list of moves: the same
// input gives the same moves, on every host and in every run.
//
// Plan first assigns all unowned partitions, then drains targets that do not accept
// partitions, and then balances load. A move may lose the state of the partition's
// keys, so load is balanced only beyond a threshold and with few moves, and each move
// must lower the higher of the loads of its two targets.
//
// # Usage
//
//	n := partition.OfKey("clinic-17", 256)
//	moves := partition.Plan(current, targets, load, partition.Limits{MaxBalanceMoves: 4, MaxDrainMoves: 16})
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

// ID identifies a partition among all services.
type ID string

// Hash returns the xxhash of a key.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// OfKey returns the partition of a key when there are count partitions.
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

// ParseHash parses the result of FormatHash. It returns false for any other string.
func ParseHash(digits string) (uint64, bool) {
	if len(digits) != hashDigits {
		return 0, false
	}
	h, err := strconv.ParseUint(digits, 16, 64)
	return h, err == nil && FormatHash(h) == digits
}
