package coldstart_test

import (
	"runtime"
	"testing"

	"github.com/gentiansail/gentiansail/internal/traffic/coldstart"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// BenchmarkLimiterMemory reports what a limiter takes at 2,000 requests a second.
func BenchmarkLimiterMemory(b *testing.B) {
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	const limiters = 100
	var kept []*coldstart.Limiter
	before := heap()
	for range limiters {
		l := coldstart.New()
		l.SetBounds(coldstart.Bounds{PerSecond: 12, Overage: 1.5, Slack: 8, Lasts: 4000}, 0)
		for i := range 4000 {
			now := clock.Millis(i / 2)
			l.Wait(now, 0)
			l.Begin(now)
			l.Send(now, now)
		}
		kept = append(kept, l)
	}
	b.ReportMetric(float64(heap()-before)/limiters, "B/limiter")
	runtime.KeepAlive(kept)
}
