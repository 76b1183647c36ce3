package process

import (
	"bytes"
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// blockedWriter is a writer whose Write blocks until release is closed, like a pipe that
// nobody reads.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), nil
}

// Guards against logging that blocks requests while the log's reader is blocked, and
// against dropped lines that are not counted.
func TestLineWriterNeverWaits(t *testing.T) {
	blocked := blockedWriter{make(chan struct{})}
	w := NewLineWriter(blocked)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	for range 3 * lineBufferSize {
		_, err := w.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, w.Dropped() >= 2*lineBufferSize-1, qt.IsTrue, qt.Commentf("%d dropped", w.Dropped()))
	close(blocked.release)
	cancel()
	qt.Assert(t, <-done, qt.IsNil)
}

// Guards against losing queued lines when the process ends.
func TestLineWriterWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	w := NewLineWriter(&out)
	for range 10 {
		_, _ = w.Write([]byte("line\n"))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, w.Run(ctx), qt.IsNil)
	qt.Assert(t, strings.Count(out.String(), "line"), qt.Equals, 10)
}

// Guards against many lines of one kind that hide lines of other kinds.
func TestLineBudget(t *testing.T) {
	manual := clock.NewManual(1000)
	limiter := NewLineLimiter(manual.Clock(), 3)
	written := 0
	for range 100 {
		if _, ok := limiter.Allow("busy"); ok {
			written++
		}
	}
	qt.Assert(t, written, qt.Equals, 3)
	_, ok := limiter.Allow("lost")
	qt.Assert(t, ok, qt.IsTrue)
	manual.Advance(1000)
	skipped, ok := limiter.Allow("busy")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, skipped, qt.Equals, 97)
}
