package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// PartitionList is a list of partitions that is encoded by owner: a table names
// each owner, fencing token and service once and the partition numbers as
// ranges. At 16 partitions for each member this is about a tenth of the plain
// encoding, which matters because every node receives every change.
type PartitionList []Partition

// ownership is the encoded form of partitions that differ only in their number.
type ownership struct {
	Service      ServiceName
	Owner        Incarnation  `json:",omitempty"`
	FencingToken FencingToken `json:"Epoch,omitempty"`
	MovingTo     Incarnation  `json:",omitempty"`
	// Numbers are partition numbers and inclusive ranges, as in "0-15,40".
	Numbers string `json:",omitempty"`
	// Others are ids that are not a service and a number, such as overrides.
	Others []PartitionID `json:",omitempty"`
}

type ownershipKey struct {
	service      ServiceName
	owner        Incarnation
	fencingToken FencingToken
	movingTo     Incarnation
}

// MarshalJSON implements json.Marshaler.
func (l PartitionList) MarshalJSON() ([]byte, error) {
	groups := make([]*ownership, 0)
	numbers := make(map[ownershipKey][]int)
	byKey := make(map[ownershipKey]*ownership)
	for _, p := range l {
		k := ownershipKey{p.Service, p.Owner, p.FencingToken, p.MovingTo}
		g := byKey[k]
		if g == nil {
			g = &ownership{Service: p.Service, Owner: p.Owner, FencingToken: p.FencingToken, MovingTo: p.MovingTo}
			byKey[k] = g
			groups = append(groups, g)
		}
		n, ok := numberOf(p)
		if !ok {
			g.Others = append(g.Others, p.Partition)
			continue
		}
		numbers[k] = append(numbers[k], n)
	}
	for k, g := range byKey {
		g.Numbers = formatRanges(numbers[k])
	}
	return json.Marshal(groups)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *PartitionList) UnmarshalJSON(data []byte) error {
	var groups []ownership
	if err := json.Unmarshal(data, &groups); err != nil {
		return err
	}
	out := make(PartitionList, 0, len(groups))
	for _, g := range groups {
		numbers, err := parseRanges(g.Numbers, maxListed-len(out))
		if err != nil {
			return err
		}
		for _, n := range numbers {
			out = append(out, g.partition(PartitionID(string(g.Service)+"/"+strconv.Itoa(n))))
		}
		for _, id := range g.Others {
			out = append(out, g.partition(id))
		}
	}
	*l = out
	return nil
}

func (g ownership) partition(id PartitionID) Partition {
	return Partition{Partition: id, Service: g.Service, Owner: g.Owner, FencingToken: g.FencingToken, MovingTo: g.MovingTo}
}

// numberOf returns the number of an id that is written as the encoder would.
func numberOf(p Partition) (int, bool) {
	text, ok := strings.CutPrefix(string(p.Partition), string(p.Service)+"/")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && strconv.Itoa(n) == text
}

// maxListed bounds what a list can expand to, because a short range can name
// many partitions.
const maxListed = 1 << 22

// formatRanges sorts the numbers and joins consecutive ones.
func formatRanges(numbers []int) string {
	slices.Sort(numbers)
	var parts []string
	for i := 0; i < len(numbers); {
		end := i
		for end+1 < len(numbers) && numbers[end+1] == numbers[end]+1 {
			end++
		}
		part := strconv.Itoa(numbers[i])
		if end > i {
			part += "-" + strconv.Itoa(numbers[end])
		}
		parts = append(parts, part)
		i = end + 1
	}
	return strings.Join(parts, ",")
}

func parseRanges(text string, limit int) ([]int, error) {
	if text == "" {
		return nil, nil
	}
	var out []int
	for _, part := range strings.Split(text, ",") {
		from, to, isRange := strings.Cut(part, "-")
		first, err := strconv.Atoi(from)
		if err != nil {
			return nil, fmt.Errorf("partition numbers %q: %w", part, err)
		}
		last := first
		if isRange {
			if last, err = strconv.Atoi(to); err != nil {
				return nil, fmt.Errorf("partition numbers %q: %w", part, err)
			}
		}
		if first < 0 || last < first || last-first >= limit-len(out) {
			return nil, fmt.Errorf("partition numbers %q: not a valid range", part)
		}
		for n := first; n <= last; n++ {
			out = append(out, n)
		}
	}
	return out, nil
}
