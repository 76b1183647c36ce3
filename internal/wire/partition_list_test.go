package wire

import (
	"cmp"
	"encoding/json"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a partition that is lost, added or assigned to another owner by
// encoding and decoding.
func TestPartitionListRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 60), 0, 40, rapid.ID[int]).Draw(t, "numbers")
		list := PartitionList{}
		for _, n := range ids {
			p := Partition{
				Partition: PartitionID("catalogue/" + strconv.Itoa(n)), Service: "catalogue",
				Owner:        Incarnation(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "owner")),
				FencingToken: FencingToken(rapid.IntRange(0, 2).Draw(t, "fencing token")),
				MovingTo:     Incarnation(rapid.SampledFrom([]string{"", "c"}).Draw(t, "to")),
			}
			if n%10 == 7 {
				p.Partition = PartitionID("catalogue/k" + strconv.Itoa(n))
			}
			if n%10 == 8 {
				p.Partition = PartitionID("catalogue/0" + strconv.Itoa(n))
			}
			list = append(list, p)
		}
		data, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		var decoded PartitionList
		if err := json.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		byID := func(l PartitionList) PartitionList {
			sort.Slice(l, func(i, j int) bool { return l[i].Partition < l[j].Partition })
			return l
		}
		if !slices.Equal(byID(decoded), byID(list)) {
			t.Fatalf("got %v, want %v", decoded, list)
		}
	})
}

// Guards against an invalid message that makes the decoder allocate memory for
// billions of partitions, or that is decoded to other partitions.
func TestPartitionListRejectsInvalidNumbers(t *testing.T) {
	for name, numbers := range map[string]string{
		"huge range": "0-99999999999", "reversed": "9-2", "negative": "-4", "letters": "a-b", "empty part": "1,,2",
	} {
		t.Run(name, func(t *testing.T) {
			var l PartitionList
			err := json.Unmarshal([]byte(`[{"Service":"c","Numbers":"`+numbers+`"}]`), &l)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

// longNumber matches numbers that may be the end of a range with more partitions
// than a fuzz run has memory for. TestPartitionListRejectsInvalidNumbers covers such
// ranges.
var longNumber = regexp.MustCompile("[0-9]{6}")

// Guards against an invalid table that makes a node panic, and against partitions
// that differ after a decoded table is encoded and decoded again.
func FuzzPartitionList(f *testing.F) {
	f.Add([]byte(`[{"Service":"c","Owner":"a","Epoch":7,"MovingTo":"b","Numbers":"0-15,40","Others":["c/k00ff","c/07"]}]`))
	f.Add([]byte(`[{"Service":"c","Numbers":"5,5"},{"Service":"d/e","Others":["c/5","d/e/5",""]},{"Service":"c","Numbers":"1"}]`))
	f.Add([]byte(`[{"Numbers":"+1,-0,07"}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if longNumber.Match(data) {
			return
		}
		previous := PartitionList{{Partition: "kept"}}
		list := slices.Clone(previous)
		if err := json.Unmarshal(data, &list); err != nil {
			qt.Assert(t, slices.Equal(list, previous), qt.IsTrue)
			return
		}
		encoded, err := json.Marshal(list)
		qt.Assert(t, err, qt.IsNil)
		var decoded PartitionList
		qt.Assert(t, json.Unmarshal(encoded, &decoded), qt.IsNil)
		sortList(decoded)
		sortList(list)
		qt.Assert(t, slices.Equal(decoded, list), qt.IsTrue, qt.Commentf("%v, %v", decoded, list))
	})
}

func sortList(l PartitionList) {
	slices.SortFunc(l, func(a, b Partition) int {
		return cmp.Or(cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Owner, b.Owner),
			cmp.Compare(a.FencingToken, b.FencingToken), cmp.Compare(a.MovingTo, b.MovingTo))
	})
}
