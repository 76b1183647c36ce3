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

// Recording is a toxic that keeps a copy of the bytes sent in one direction of a link.
type Recording struct {
	// Hold delays the bytes, and the closing of connections, until the recording
	// stops.
	Hold bool
	// OpenOnly limits Hold to connections that are open when the recording starts.
	OpenOnly bool

	installed atomic.Bool
	remove    func(context.Context) error

	mu     sync.Mutex
	copies []*[]byte // one per connection
}

// Record starts a recording of one direction.
func (l *Link) Record(s Stream) (*Recording, error) { return l.record(s, &Recording{}) }

// Hold delays the bytes of one direction, on open and on new connections. When the
// recording stops or the link is healed, they are delivered, and connections that have
// been closed meanwhile are closed after that.
func (l *Link) Hold(s Stream) (*Recording, error) { return l.record(s, &Recording{Hold: true}) }

// HoldOpen is like Hold, but affects only connections that are open now.
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

// Stop ends the recording. Other faults of the link stay in effect.
func (t *Recording) Stop(ctx context.Context) error {
	if err := t.remove(ctx); err != nil {
		return merry.Wrap(ErrLink, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return nil
}

// Count returns how often the text occurs in the recorded bytes, whether delivered or
// delayed.
func (t *Recording) Count(text string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, b := range t.copies {
		count += bytes.Count(*b, []byte(text))
	}
	return count
}

// connectionRecording is the state of a recording for one connection.
type connectionRecording struct {
	copied     *[]byte
	hold       bool
	heldChunks []*stream.StreamChunk
	closed     bool
}

// NewState implements toxics.StatefulToxic. It is called once for each connection, for
// open ones before installed is set.
func (t *Recording) NewState() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &connectionRecording{copied: new([]byte), hold: t.Hold && (!t.OpenOnly || !t.installed.Load())}
	t.copies = append(t.copies, s.copied)
	return s
}

// Pipe implements toxics.Toxic. Removing the toxic interrupts it.
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

// release sends all delayed bytes as one chunk. After one write to a connection that
// the receiver has closed, the proxy takes no further chunk from the toxic, so sending
// a second one would block while the proxy holds its lock.
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
