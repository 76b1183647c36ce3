package link

import (
	"testing"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// A request of ordinary size is read and written once on each of two connections.
func BenchmarkCount(b *testing.B) {
	m := NewMeter(clock.System(), 1000)
	b.ReportAllocs()
	for range b.N {
		m.count(&m.received, 900)
	}
}
