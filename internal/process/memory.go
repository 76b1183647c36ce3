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

// TuneCollector sets the garbage collector for a process with a small live heap.
// The environment variables GOGC and GOMEMLIMIT go first.
func TuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(collectorLimitBytes)
	}
}
