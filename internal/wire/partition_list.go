package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// PartitionList is a list of partitions that is encoded in groups. Partitions with
// the same service, owner, fencing token and new owner form one group, which lists
// their numbers as ranges. With 16 partitions for each member this takes about a
// tenth of the plain encoding. The size matters because every node receives every
// change.
type PartitionList []Partition

// partitionGroup is the encoding of partitions that differ only in their id.
type partitionGroup struct {
	Service      ServiceName
	Owner        Incarnation  `json:",omitempty"`
	FencingToken FencingToken `json:"Epoch,omitempty"`
	MovingTo     Incarnation  `json:",omitempty"`
	// Numbers lists partition numbers and inclusive ranges of them, as in "0-15,40".
	Numbers string `json:",omitempty"`
	// Others lists ids that do not consist of the service and a number, such as the
	// ids of overrides.
	Others []PartitionID `json:",omitempty"`
}

type groupKey struct {
	service      ServiceName
	owner        Incarnation
	fencingToken FencingToken
	movingTo     Incarnation
}

// MarshalJSON implements json.Marshaler.
func (l PartitionList) MarshalJSON() ([]byte, error) {
	groups := make([]*partitionGroup, 0)
	numbers := make(map[groupKey][]int)
	groupOf := make(map[groupKey]*partitionGroup)
	for _, p := range l {
		k := groupKey{p.Service, p.Owner, p.FencingToken, p.MovingTo}
		g := groupOf[k]
		if g == nil {
			g = &partitionGroup{Service: p.Service, Owner: p.Owner, FencingToken: p.FencingToken, MovingTo: p.MovingTo}
			groupOf[k] = g
			groups = append(groups, g)
		}
		n, ok := partitionNumber(p)
		if !ok {
			g.Others = append(g.Others, p.Partition)
			continue
		}
		numbers[k] = append(numbers[k], n)
	}
	for k, g := range groupOf {
		g.Numbers = formatRanges(numbers[k])
	}
	return json.Marshal(groups)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *PartitionList) UnmarshalJSON(data []byte) error {
	var groups []partitionGroup
	if err := json.Unmarshal(data, &groups); err != nil {
		return err
	}
	out := make(PartitionList, 0, len(groups))
	for _, g := range groups {
		numbers, err := parseRanges(g.Numbers, maxPartitions-len(out))
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

func (g partitionGroup) partition(id PartitionID) Partition {
	return Partition{Partition: id, Service: g.Service, Owner: g.Owner, FencingToken: g.FencingToken, MovingTo: g.MovingTo}
}

// partitionNumber returns the number in a partition's id. It returns false if the
// id is not the service and a number in canonical form, because decoding the number
// would then give another id.
func partitionNumber(p Partition) (int, bool) {
	text, ok := strings.CutPrefix(string(p.Partition), string(p.Service)+"/")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && strconv.Itoa(n) == text
}

// maxPartitions bounds the length of a decoded list, because a short range can name
// many partitions.
const maxPartitions = 1 << 22

// formatRanges sorts the numbers and formats them with consecutive numbers as
// ranges.
func formatRanges(numbers []int) string {
	slices.Sort(numbers)
	var parts []string
	for i := 0; i < len(numbers); {
		end := i // index of the last number in the range
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

// parseRanges returns the numbers that formatRanges has formatted, at most limit.
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
