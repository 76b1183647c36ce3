package process

import (
	"os"
	"runtime/debug"
)

const (
	// collectorPercent lets the heap grow to five times what is live. A node's
	// live heap is 5 to 15 MB, so that the default of 100 collects several times
	// a second under load and costs a tenth of the processor time.
	collectorPercent = 400
	// collectorLimitBytes bounds the growth when much is live, for example the
	// bodies of many requests that must not repeat.
	collectorLimitBytes = 256 << 20
)

// TuneGC sets the garbage collector for a process with a small live heap.
// The environment variables GOGC and GOMEMLIMIT go first.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(collectorLimitBytes)
	}
}

const (
	// smallHeapPercent keeps the heap of a mesh process near its live size of 3 to
	// 6 MB. Its sidecar uses a few hundredths of a core, and memory at the peak is
	// what a host pays for.
	smallHeapPercent = 50
	// limitPart is the part of the host's allowance at which the collector works
	// harder, before the process would be killed.
	limitPart = 0.7
)

// TuneGCForMemory sets the garbage collector for a host that allows a process a
// number of megabytes; 0 states none.
func TuneGCForMemory(megabytes int) {
	debug.SetGCPercent(smallHeapPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * limitPart * (1 << 20)))
	}
}
