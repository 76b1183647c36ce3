package process

import (
	"bytes"
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// stuck is a reader of standard output that does not read.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Guards against logging that waits for whoever reads the log: a blocked reader must
// delay no request, and what is dropped must be counted.
func TestLineWriterNeverWaits(t *testing.T) {
	s := stuck{make(chan struct{})}
	w := NewLineWriter(s)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	for range 3 * lineRing {
		_, err := w.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, w.Dropped() >= 2*lineRing-1, qt.IsTrue, qt.Commentf("%d dropped", w.Dropped()))
	close(s.release)
	cancel()
	qt.Assert(t, <-done, qt.IsNil)
}

// Guards against lines that are lost at the end of a process.
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

// Guards against a flood of one kind of line that hides the others.
func TestLineBudget(t *testing.T) {
	m := clock.NewManual(1000)
	b := NewLineLimiter(m.Clock(), 3)
	written := 0
	for range 100 {
		if _, ok := b.Allow("busy"); ok {
			written++
		}
	}
	qt.Assert(t, written, qt.Equals, 3)
	_, ok := b.Allow("lost")
	qt.Assert(t, ok, qt.IsTrue)
	m.Advance(1000)
	skipped, ok := b.Allow("busy")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, skipped, qt.Equals, 97)
}
