package process

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times the live heap. A node's live heap
	// is 5 to 15 MB, so with the default of 100 the garbage collector would run
	// several times per second under load and use a tenth of the CPU time.
	gcPercent = 400
	// gcMemoryLimitBytes limits this growth when the live heap is large, for example
	// with the bodies of many requests that must not be repeated.
	gcMemoryLimitBytes = 256 << 20
)

// TuneGC configures the garbage collector for a process with a small live heap. The
// environment variables GOGC and GOMEMLIMIT take precedence.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(gcMemoryLimitBytes)
	}
}

const (
	// meshGCPercent keeps the heap of a mesh process, which is a sidecar or a core
	// replica, close to its live heap of 3 to 6 MB. Frequent collections are affordable
	// because a sidecar uses only a few hundredths of a CPU core, whereas the peak memory
	// of a mesh process adds to the cost of the host.
	meshGCPercent = 50
	// memoryLimitRatio is the fraction of the process's allowed memory above which the
	// garbage collector runs more often, so that the process is not killed for using
	// too much.
	memoryLimitRatio = 0.7
)

// TuneGCForMemory configures the garbage collector of a mesh process on a host that
// allows it the given number of megabytes; 0 means no limit.
func TuneGCForMemory(megabytes int) {
	debug.SetGCPercent(meshGCPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * memoryLimitRatio * (1 << 20)))
	}
}
