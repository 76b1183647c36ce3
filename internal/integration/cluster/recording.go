package cluster

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/ansel1/merry/v2"
)

const recordingKind = "recording"

func init() { toxics.Register(recordingKind, new(Recording)) }

// Recording keeps a copy of the bytes of one direction of a link.
type Recording struct {
	// Hold keeps the bytes themselves back as well, with the ends of connections.
	Hold bool
	// OpenOnly holds the bytes only of connections that are open at the start.
	OpenOnly bool

	installed atomic.Bool
	remove    func(context.Context) error

	mu     sync.Mutex
	copies []*[]byte // by connection
}

// Record copies the bytes of a direction from now on.
func (l *Link) Record(s Stream) (*Recording, error) { return l.record(s, &Recording{}) }

// Hold keeps the bytes of a direction back, on open and on new connections. At
// End, or when the link is healed, they arrive, followed by the ends of
// connections that have been closed meanwhile.
func (l *Link) Hold(s Stream) (*Recording, error) { return l.record(s, &Recording{Hold: true}) }

// HoldOpen is Hold for the connections that are open now only.
func (l *Link) HoldOpen(s Stream) (*Recording, error) {
	return l.record(s, &Recording{Hold: true, OpenOnly: true})
}

func (l *Link) record(s Stream, r *Recording) (*Recording, error) {
	added, err := l.add(s, recordingKind, r)
	if err != nil {
		return nil, err
	}
	t := added.Toxic.(*Recording)
	t.installed.Store(true)
	t.remove = func(ctx context.Context) error { return l.proxy.Toxics.RemoveToxic(ctx, added.Name) }
	return t, nil
}

// Stop ends the recording, and leaves other faults of the link as they are.
func (t *Recording) Stop(ctx context.Context) error {
	if err := t.remove(ctx); err != nil {
		return merry.Wrap(ErrLink, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return nil
}

// Count returns how often the text has passed, or is held.
func (t *Recording) Count(text string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, b := range t.copies {
		count += bytes.Count(*b, []byte(text))
	}
	return count
}

// connectionRecording is the part of a recording that belongs to one connection.
type connectionRecording struct {
	copied     *[]byte
	hold       bool
	heldChunks []*stream.StreamChunk
	closed     bool
}

// NewState implements toxics.StatefulToxic.
func (t *Recording) NewState() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &connectionRecording{copied: new([]byte), hold: t.Hold && (!t.OpenOnly || !t.installed.Load())}
	t.copies = append(t.copies, s.copied)
	return s
}

// Pipe implements toxics.Toxic. It is interrupted when the toxic is removed.
func (t *Recording) Pipe(stub *toxics.ToxicStub) {
	s := stub.State.(*connectionRecording)
	input := stub.Input
	for {
		select {
		case <-stub.Interrupt:
			t.release(s, stub)
			return
		case c := <-input:
			switch {
			case c == nil && s.hold:
				input, s.closed = nil, true
			case c == nil:
				stub.Close()
				return
			case s.hold:
				t.copy(s, c.Data)
				s.heldChunks = append(s.heldChunks, c)
			default:
				if !t.Hold {
					t.copy(s, c.Data)
				}
				stub.Output <- c
			}
		}
	}
}

// release sends what was held as one chunk: after the first write to a connection
// that its reader has closed, nobody takes a second one, and the proxy would wait
// for it with its lock held.
func (t *Recording) release(s *connectionRecording, stub *toxics.ToxicStub) {
	if len(s.heldChunks) == 0 {
		return
	}
	all := &stream.StreamChunk{Timestamp: s.heldChunks[0].Timestamp}
	for _, c := range s.heldChunks {
		all.Data = append(all.Data, c.Data...)
	}
	s.heldChunks = nil
	stub.Output <- all
}

func (t *Recording) copy(s *connectionRecording, b []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*s.copied = append(*s.copied, b...)
}

// Cleanup implements toxics.CleanupToxic.
func (t *Recording) Cleanup(stub *toxics.ToxicStub) {
	if stub.State.(*connectionRecording).closed {
		stub.Close()
	}
}
