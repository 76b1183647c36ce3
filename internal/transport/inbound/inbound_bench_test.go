package inbound

import (
	"runtime"
	"testing"
)

// BenchmarkAccount charges and releases a request, and reports what the account of a connection
// takes.
func BenchmarkAccount(b *testing.B) {
	const connections = 1000
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	g := NewGuard(Limits(184, 4096))
	before := heap()
	var a *Account
	for range connections {
		a = &Account{guard: g, door: Callers}
		g.add(a, 2*connections)
	}
	kept := heap() - before
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		a.progress()
		a.Hold(requestBytes)
		a.Hold(-requestBytes)
	}
	b.ReportMetric(float64(kept)/connections, "B/connection")
	runtime.KeepAlive(g)
}
