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
	// lineRing bounds the lines that wait for the reader of standard output.
	lineRing = 1024
)

// LineWriter passes log lines on to a slow writer without ever waiting for it:
// what does not fit into its ring is dropped and counted.
type LineWriter struct {
	lines   *ring.Ring[[]byte]
	to      io.Writer
	dropped atomic.Int64
}

// NewLineWriter returns a writer; Run passes the lines on.
func NewLineWriter(to io.Writer) *LineWriter {
	return &LineWriter{lines: ring.New[[]byte](lineRing), to: to}
}

// Write takes one line and never blocks.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (w *LineWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then those that are waiting.
func (w *LineWriter) Run(ctx context.Context) error {
	reported := int64(0)
	for {
		line, err := w.lines.Take(ctx)
		if err != nil {
			w.flush()
			return nil
		}
		if _, err := w.to.Write(line); err != nil {
			w.dropped.Add(1)
		}
		if n := w.dropped.Load(); n > reported && len(w.lines.Items()) == 0 {
			_, _ = fmt.Fprintf(w.to, "{\"level\":\"warn\",\"Event\":\"lines-dropped\",\"Lines\":%d}\n", n-reported)
			reported = n
		}
	}
}

func (w *LineWriter) flush() {
	for {
		select {
		case line := <-w.lines.Items():
			if _, err := w.to.Write(line); err != nil {
				return
			}
		default:
			return
		}
	}
}

// LineLimiter bounds the log lines of each kind, so that a flood of one kind of
// refusal neither costs the processor time of the host nor hides the others.
type LineLimiter struct {
	clock     clock.Clock
	perSecond int

	mu    sync.Mutex
	kinds map[string]*budgetWindow
}

type budgetWindow struct {
	second  clock.Millis
	used    int
	skipped int
}

// NewLineLimiter allows a number of lines a second of each kind.
func NewLineLimiter(k clock.Clock, perSecond int) *LineLimiter {
	return &LineLimiter{clock: k, perSecond: perSecond, kinds: map[string]*budgetWindow{}}
}

// Allow reports whether a line of a kind may be written now, and how many lines of
// the kind were left out since the last one that was.
func (b *LineLimiter) Allow(kind string) (skipped int, ok bool) {
	second := b.clock.Now() / 1000
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.kinds[kind]
	if w == nil {
		w = &budgetWindow{second: second}
		b.kinds[kind] = w
	}
	if w.second != second {
		w.second, w.used = second, 0
	}
	if w.used >= b.perSecond {
		w.skipped++
		return 0, false
	}
	w.used++
	skipped, w.skipped = w.skipped, 0
	return skipped, true
}
