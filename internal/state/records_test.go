package state

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// Guards against records that are lost, out of order or kept too long when
// blocks are split, copied and pruned, and against captures that change.
func TestRecordsEqualAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r records
		model := map[recordKey]string{}
		type shot struct {
			blocks []*block
			model  map[recordKey]string
		}
		var shots []shot
		put := func(at, n int, data string) {
			k := recordKey{0, 0, 0, 0, byte(at >> 8), byte(at), 0x70, 0, byte(n >> 8), byte(n)}
			r.put(k, data)
			model[k] = data
		}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			data := string(rune('a' + step%26))
			at := rapid.IntRange(0, 500).Draw(t, "time")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1: // Times that grow, as from one clock.
				for n := range rapid.IntRange(1, 600).Draw(t, "count") {
					put(at+n/4, n, data)
				}
			case 2: // One time for all, in another order than that of the keys.
				for n := range rapid.IntRange(1, 600).Draw(t, "count") {
					put(at, n*7919%1000, data)
				}
			case 3:
				r.prune(wire.UnixMillis(at))
				maps.DeleteFunc(model, func(k recordKey, _ string) bool { return k.time() < wire.UnixMillis(at) })
			default:
				shots = append(shots, shot{r.capture(), maps.Clone(model)})
			}
			requireRecords(t, r.blocks, model)
		}
		for _, s := range shots {
			requireRecords(t, s.blocks, s.model)
		}
		for k, want := range model {
			if got, ok := r.get(k); !ok || got != want {
				t.Fatalf("record %x is %q, expected %q", k, got, want)
			}
		}
	})
}

func requireRecords(t *rapid.T, blocks []*block, want map[recordKey]string) {
	got := map[recordKey]string{}
	var keys []string
	for _, b := range blocks {
		if len(b.records) == 0 || len(b.records) > blockRecords {
			t.Fatalf("block of %d records", len(b.records))
		}
		for _, x := range b.records {
			got[x.key] = x.data
			keys = append(keys, string(x.key[:]))
		}
	}
	if !maps.Equal(got, want) || len(keys) != len(want) || !slices.IsSorted(keys) {
		t.Fatalf("%d records, expected %d", len(keys), len(want))
	}
}

// Guards against panics and large allocations on damaged records, against a restored
// record that cannot be read later, and against two
// packings of one operation, which would make equal snapshots differ.
func FuzzUnpackOperation(f *testing.F) {
	f.Add(packOperation(operation{Service: "pledges", Caller: "c", Fingerprint: "00ff", Released: []wire.ExecutionID{"e"}}))
	f.Add(packOperation(operation{Execution: "7c7b52aa-2f0e-4c55-9a52-0123456789ab", Result: &wire.OperationResult{Status: -1, Body: "AAAA", BodyKept: true}}))
	f.Fuzz(func(t *testing.T, data string) {
		o, err := unpackOperation(data)
		if (&recordChecker{}).valid(data) != (err == nil) {
			t.Fatalf("record is said to be valid: %v, unpacking says %v", err != nil, err)
		}
		if err != nil {
			return
		}
		again, err := unpackOperation(packOperation(o))
		if err != nil || packOperation(again) != packOperation(o) {
			t.Fatalf("%+v became %+v, %v", o, again, err)
		}
	})
}
