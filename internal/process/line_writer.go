package process

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/ring"
)

const (
	// lineBufferSize is the maximum number of lines that wait for a slow reader of
	// standard output.
	lineBufferSize = 1024
)

// LineWriter forwards log lines to a slow writer without blocking the caller. It drops
// and counts lines that do not fit into its ring buffer.
type LineWriter struct {
	lines   *ring.Ring[[]byte]
	dst     io.Writer
	dropped atomic.Int64
}

// NewLineWriter returns a LineWriter that forwards lines to dst. It only forwards lines
// while Run is running.
func NewLineWriter(dst io.Writer) *LineWriter {
	return &LineWriter{lines: ring.New[[]byte](lineBufferSize), dst: dst}
}

// Write queues a copy of one line. It never blocks and never returns an error.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far because the buffer was full or the
// write failed.
func (w *LineWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes lines to dst until ctx ends, and then writes the queued lines. When the
// queue is empty, it also writes a warning with the number of lines dropped since the
// last warning.
func (w *LineWriter) Run(ctx context.Context) error {
	reported := int64(0)
	for {
		line, err := w.lines.Take(ctx)
		if err != nil {
			w.flush()
			return nil
		}
		if _, err := w.dst.Write(line); err != nil {
			w.dropped.Add(1)
		}
		if dropped := w.dropped.Load(); dropped > reported && len(w.lines.Items()) == 0 {
			_, _ = fmt.Fprintf(w.dst, "{\"level\":\"warn\",\"Event\":\"lines-dropped\",\"Lines\":%d}\n", dropped-reported)
			reported = dropped
		}
	}
}

// flush writes the queued lines until the first error.
func (w *LineWriter) flush() {
	for {
		select {
		case line := <-w.lines.Items():
			if _, err := w.dst.Write(line); err != nil {
				return
			}
		default:
			return
		}
	}
}

// LineLimiter limits the log lines per second of each kind, so that many lines of one
// kind, such as rejected requests, neither use much CPU time nor hide other lines.
type LineLimiter struct {
	clock     clock.Clock
	perSecond int

	mu      sync.Mutex
	windows map[string]*lineWindow
}

// lineWindow counts the log lines of one kind.
type lineWindow struct {
	// second is the time of the window in whole seconds, despite its type.
	second clock.Millis
	// written is the number of lines written in the current second.
	written int
	// skipped is the number of lines skipped since the last written line.
	skipped int
}

// NewLineLimiter returns a LineLimiter that allows perSecond lines of each kind in a
// second.
func NewLineLimiter(clk clock.Clock, perSecond int) *LineLimiter {
	return &LineLimiter{clock: clk, perSecond: perSecond, windows: map[string]*lineWindow{}}
}

// Allow reports whether a line of a kind may be written now. If so, it also returns the
// number of lines of the kind that were skipped since the last written one.
func (l *LineLimiter) Allow(kind string) (skipped int, ok bool) {
	second := l.clock.Now() / 1000
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[kind]
	if w == nil {
		w = &lineWindow{second: second}
		l.windows[kind] = w
	}
	if w.second != second {
		w.second, w.written = second, 0
	}
	if w.written >= l.perSecond {
		w.skipped++
		return 0, false
	}
	w.written++
	skipped, w.skipped = w.skipped, 0
	return skipped, true
}
