package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// Guards against records that are lost, out of order or kept too long when blocks are
// split, copied and pruned, and against captures that change. A map serves as the model.
func TestRecordStoreMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r recordStore
		model := map[recordKey]string{}
		type capture struct {
			blocks []*block
			model  map[recordKey]string
		}
		var captures []capture
		put := func(at, n int, data string) {
			k := recordKey{0, 0, 0, 0, byte(at >> 8), byte(at), 0x70, 0, byte(n >> 8), byte(n)}
			r.put(k, data)
			model[k] = data
		}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			data := string(rune('a' + step%26))
			at := rapid.IntRange(0, 500).Draw(t, "time")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1: // Increasing times, as from one clock.
				for n := range rapid.IntRange(1, 600).Draw(t, "count") {
					put(at+n/4, n, data)
				}
			case 2: // Equal times, with keys that are not in order.
				for n := range rapid.IntRange(1, 600).Draw(t, "count") {
					put(at, n*7919%1000, data)
				}
			case 3:
				r.prune(wire.UnixMillis(at))
				maps.DeleteFunc(model, func(k recordKey, _ string) bool { return k.time() < wire.UnixMillis(at) })
			default:
				captures = append(captures, capture{r.capture(), maps.Clone(model)})
			}
			requireRecords(t, r.blocks, model)
			size := 0
			for _, data := range model {
				size += recordOverhead + len(data)
			}
			if r.sizeBytes != size {
				t.Fatalf("sizeBytes is %d, expected %d", r.sizeBytes, size)
			}
		}
		for _, c := range captures {
			requireRecords(t, c.blocks, c.model)
		}
		for k, want := range model {
			if got, ok := r.get(k); !ok || got != want {
				t.Fatalf("record %x: got %q, expected %q", k, got, want)
			}
		}
	})
}

func requireRecords(t *rapid.T, blocks []*block, want map[recordKey]string) {
	got := map[recordKey]string{}
	var keys []string
	for _, b := range blocks {
		if len(b.records) == 0 || len(b.records) > blockRecords {
			t.Fatalf("block has %d records", len(b.records))
		}
		for _, x := range b.records {
			got[x.key] = x.packed
			keys = append(keys, string(x.key[:]))
		}
	}
	if !maps.Equal(got, want) || len(keys) != len(want) || !slices.IsSorted(keys) {
		t.Fatalf("records differ from the map or are not sorted: %d records, expected %d", len(keys), len(want))
	}
}

// Guards against records that exceed the maximum size of a snapshot, which would stop every
// replica, and against losing the outcome of an operation that began before the limit was
// reached.
func TestRecordLimitRejectsNewOperations(t *testing.T) {
	m := New("tz")
	index := wire.Version(0)
	apply := func(c wire.Command) Result {
		data, err := json.Marshal(c)
		qt.Assert(t, err, qt.IsNil)
		index++
		return m.Apply(index, data)
	}
	const day = wire.UnixMillis(24 * 60 * 60 * 1000)
	key := func(n int) wire.OperationKey {
		return wire.OperationKey(fmt.Sprintf("00000000-0001-7000-8000-%012x", n))
	}
	begin := func(n int) wire.Decision {
		r := apply(wire.Command{Begin: &wire.BeginRequest{Service: "pledges", Key: key(n), Fingerprint: "f", Execution: "e", Incarnation: "i"}})
		qt.Assert(t, r.Err, qt.IsNil)
		return r.Begin.Decision
	}
	apply(wire.Command{Apply: &wire.ApplyRequest{RequestID: "q", Configuration: wire.Configuration{Services: []wire.ServiceConfig{{Name: "pledges"}}}}})
	apply(wire.Command{RegisterMember: &wire.RegisterMember{Member: wire.Member{Node: "n", Incarnation: "i", Service: "pledges", Slots: 1}}})
	qt.Assert(t, begin(1), qt.Equals, wire.DecisionRun)
	m.recordLimit = m.Operations.sizeBytes
	qt.Assert(t, begin(2), qt.Equals, wire.DecisionFull)
	result := wire.OperationResult{Outcome: wire.OutcomeComplete, Status: 200, Body: "AAAA", BodyKept: true}
	apply(wire.Command{Finish: &wire.FinishRequest{Service: "pledges", Key: key(1), Execution: "e", Result: result}})
	r := apply(wire.Command{Begin: &wire.BeginRequest{Service: "pledges", Key: key(1), Fingerprint: "f", Execution: "resend", Incarnation: "i"}})
	qt.Assert(t, r.Begin.Decision, qt.Equals, wire.DecisionFinished)
	qt.Assert(t, r.Begin.Result.BodyKept, qt.IsFalse)
	// Records are deleted when their retention ends.
	m.Now += day + 2
	m.pruneOperations()
	qt.Assert(t, m.Operations.sizeBytes, qt.Equals, 0)
}

// Guards against panics and large allocations on corrupt records, against restoring a
// record that cannot be unpacked later, and against two packed forms of one operation,
// which would make snapshots of equal states differ.
func FuzzUnpackOperation(f *testing.F) {
	f.Add(packOperation(operation{Service: "pledges", Caller: "c", Fingerprint: "00ff", Released: []wire.ExecutionID{"e"}}))
	f.Add(packOperation(operation{Execution: "7c7b52aa-2f0e-4c55-9a52-0123456789ab", Result: &wire.OperationResult{Status: -1, Body: "AAAA", BodyKept: true}}))
	f.Fuzz(func(t *testing.T, data string) {
		o, err := unpackOperation(data)
		if (&recordValidator{}).valid(data) != (err == nil) {
			t.Fatalf("validation and unpacking disagree: valid is %v, unpacking returned %v", err != nil, err)
		}
		if err != nil {
			return
		}
		repacked, err := unpackOperation(packOperation(o))
		if err != nil || packOperation(repacked) != packOperation(o) {
			t.Fatalf("%+v was unpacked as %+v, error %v", o, repacked, err)
		}
	})
}
