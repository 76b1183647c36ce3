package standin

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxRuns bounds the record of runs; the oldest are dropped.
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

// record holds the runs in the order of their start.
type record struct {
	mu    sync.Mutex
	first int // number of runs dropped
	runs  []Run
	// file, if set, receives a line of JSON at the start and at the end of each
	// run, so that the record survives a killed process.
	file io.Writer
}

func (r *record) write(n Run) {
	if r.file != nil {
		_ = json.NewEncoder(r.file).Encode(n)
	}
}

func (r *record) start(n Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) >= maxRuns {
		half := len(r.runs) / 2
		r.runs = append([]Run(nil), r.runs[half:]...)
		r.first += half
	}
	r.runs = append(r.runs, n)
	r.write(n)
	return r.first + len(r.runs) - 1
}

func (r *record) end(n int, at clock.UnixMillis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n >= r.first {
		r.runs[n-r.first].End = at
		r.write(r.runs[n-r.first])
	}
}

func (r *record) all() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}
