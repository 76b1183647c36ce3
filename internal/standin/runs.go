package standin

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxRuns bounds the recorded runs; the oldest half is dropped when it is reached.
const maxRuns = 1 << 20

// Run is one request that the target worked on.
type Run struct {
	RequestID      string
	IdempotencyKey string
	Method         string
	Path           string
	Caller         string
	Partition      wire.PartitionID
	FencingToken   wire.FencingToken `json:"Epoch"`
	Instance       string
	Start          clock.UnixMillis
	// End is 0 while the request is running.
	End clock.UnixMillis
}

// runLog records the runs in the order of their start.
type runLog struct {
	mu         sync.Mutex
	firstIndex int // index of runs[0], which is the number of runs dropped
	runs       []Run
	// file, if set, receives a line of JSON at the start and at the end of each
	// run, so that the record remains when the process is killed.
	file io.Writer
}

func (r *runLog) write(n Run) {
	if r.file != nil {
		_ = json.NewEncoder(r.file).Encode(n)
	}
}

// start records the start of a run and returns its index for end.
func (r *runLog) start(n Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) >= maxRuns {
		half := len(r.runs) / 2
		r.runs = append([]Run(nil), r.runs[half:]...)
		r.firstIndex += half
	}
	r.runs = append(r.runs, n)
	r.write(n)
	return r.firstIndex + len(r.runs) - 1
}

func (r *runLog) end(n int, at clock.UnixMillis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n >= r.firstIndex {
		r.runs[n-r.firstIndex].End = at
		r.write(r.runs[n-r.firstIndex])
	}
}

func (r *runLog) all() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}
