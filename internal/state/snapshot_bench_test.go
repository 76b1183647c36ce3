package state_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// benchTime is the key time of the first record.
const benchTime = wire.UnixMillis(1_800_000_000_000)

// operationsPerMillisecond is the number of operations with the same time in their key.
const operationsPerMillisecond = 5

func benchKey(i int) wire.OperationKey {
	return key(benchTime+wire.UnixMillis(i/operationsPerMillisecond), i)
}

// runOperation applies Begin and Finish of an operation with a response of 200 bytes, as
// internal/capacity sends them. It returns the time of the slower one.
func runOperation(tb testing.TB, m *state.Machine, i int) time.Duration {
	k, now := benchKey(i), benchTime+wire.UnixMillis(i/operationsPerMillisecond)
	execution := wire.ExecutionID(fmt.Sprintf("00000000-0000-4000-8000-%012x", i))
	commands := []wire.Command{
		{ProposedAt: now, Begin: &wire.BeginRequest{
			Service: "pledges", Route: "browse", Caller: "capacity", Key: k, Fingerprint: wire.Fingerprint(fmt.Sprintf("%016x", i)),
			Execution: execution, Incarnation: "7c7b52aa-2f0e-4c55-9a52-0123456789ab",
		}},
		{ProposedAt: now, Finish: &wire.FinishRequest{
			Service: "pledges", Key: k, Execution: execution, Result: wire.OperationResult{
				Outcome: wire.OutcomeComplete, Status: 200, Body: string(benchBody[:]), BodyKept: true, Header: wire.OperationResultHeader{"Content-Type": {"application/json"}},
			},
		}},
	}
	var slowest time.Duration
	for c, command := range commands {
		data, err := json.Marshal(command)
		qt.Assert(tb, err, qt.IsNil)
		started := time.Now()
		r := m.Apply(wire.Version(2*i+c+2), data)
		slowest = max(slowest, time.Since(started))
		qt.Assert(tb, r.Err, qt.IsNil)
	}
	return slowest
}

// benchBody is valid base64, like all recorded bodies.
var benchBody = func() (b [200]byte) {
	for i := range b {
		b[i] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ012345"[i%32]
	}
	return b
}()

func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// BenchmarkSnapshot measures how long a snapshot blocks the machine from applying entries,
// and the memory per record.
func BenchmarkSnapshot(b *testing.B) {
	for _, records := range []int{100_000, 300_000, 1_000_000} {
		before := heapBytes()
		m := state.New("tz")
		register, err := json.Marshal(wire.Command{RegisterMember: member("n", "7c7b52aa-2f0e-4c55-9a52-0123456789ab", "pledges")})
		qt.Assert(b, err, qt.IsNil)
		m.Apply(1, register)
		for i := range records {
			runOperation(b, m, i)
		}
		perRecord := (heapBytes() - before) / float64(records)
		next := records
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			var blocked, apply, encode, restore time.Duration
			var size int
			for range b.N {
				started := time.Now()
				encodeCapture := capture(b, m)
				blocked = max(blocked, time.Since(started))
				// Entries that are applied between the capture and its encoding.
				for range 1000 {
					apply = max(apply, runOperation(b, m, next))
					next++
				}
				started = time.Now()
				data := encodeCapture()
				encode = max(encode, time.Since(started))
				size = len(data)
				started = time.Now()
				qt.Assert(b, state.New("tz").Restore(data), qt.IsNil)
				restore = max(restore, time.Since(started))
			}
			milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
			b.ReportMetric(milliseconds(blocked), "blocked-ms")
			b.ReportMetric(milliseconds(apply), "slowest-apply-ms")
			b.ReportMetric(milliseconds(encode), "encode-ms")
			b.ReportMetric(milliseconds(restore), "restore-ms")
			b.ReportMetric(perRecord, "heap-B/record")
			b.ReportMetric(float64(size)/float64(next), "snapshot-B/record")
		})
		runtime.KeepAlive(m)
	}
}

// capture captures the state and returns the function that encodes it.
func capture(tb testing.TB, m *state.Machine) func() []byte {
	encode, err := m.Capture()
	qt.Assert(tb, err, qt.IsNil)
	return func() []byte {
		data, err := encode()
		qt.Assert(tb, err, qt.IsNil)
		return data
	}
}
