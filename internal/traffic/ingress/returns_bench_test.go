package ingress

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// BenchmarkReturns records failed requests of different content beside as many as are kept, and
// reports what one of those takes.
func BenchmarkReturns(b *testing.B) {
	fingerprint := func(i int) string { return fmt.Sprintf("%016x", i) }
	before := heapBytes()
	s := newReturns(clock.System())
	for i := range maxReturns {
		s.record(fingerprint(i), failedAttempt{firstArrival: 1000, giveUp: 7000})
	}
	kept := heapBytes() - before
	names := make([]string, maxReturns)
	for i := range names {
		names[i] = fingerprint(maxReturns + i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		name := names[i%maxReturns]
		s.take(name, 7000)
		s.record(name, failedAttempt{firstArrival: 1000, giveUp: 7000})
	}
	b.ReportMetric(float64(kept)/maxReturns, "B/kept")
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
