package replication

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"errors"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// ErrInvalidPart means that a part does not continue the message of its sender. The sender
// has to begin again.
var ErrInvalidPart = merry.Sentinel("part does not continue a message")

const (
	// maxMessageBytes is more than the longest message of the log has: one entry of maximum
	// size, or a chunk of a snapshot.
	maxMessageBytes = 2 * replog.MaxEntryBytes
	// maxPartials bounds the senders with an incomplete message. A sender that was replaced
	// may leave one behind.
	maxPartials = 8
)

// Assembler joins the parts of messages. It is safe for concurrent use.
type Assembler struct {
	mu sync.Mutex
	// partials are the incomplete messages by sender.
	partials map[string]*partial
	// begun counts the messages that have begun.
	begun int
}

type partial struct {
	transfer, total int
	data            []byte
	// order is the value of Assembler.begun at the first part.
	order int
}

// NewAssembler returns an Assembler without incomplete messages.
func NewAssembler() *Assembler { return &Assembler{partials: map[string]*partial{}} }

// Add adds a part. It returns the message once the last part has arrived, and nil before.
func (a *Assembler) Add(part message.LogPart) ([]byte, error) {
	data, err := base64.StdEncoding.DecodeString(part.Data)
	if err != nil {
		return nil, merry.Wrap(ErrInvalidPart, merry.WithCause(err))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.partials[part.From]
	if part.Offset == 0 {
		p = a.begin(part)
	}
	if p == nil || p.transfer != part.Transfer || p.total != part.Total || len(p.data) != part.Offset || len(data) == 0 || part.Offset+len(data) > p.total || p.total > maxMessageBytes {
		delete(a.partials, part.From)
		return nil, merry.Wrap(ErrInvalidPart, merry.AppendMessagef("offset %d of %d from %s", part.Offset, part.Total, part.From))
	}
	p.data = append(p.data, data...)
	if len(p.data) < p.total {
		return nil, nil
	}
	delete(a.partials, part.From)
	if !part.Compressed {
		return p.data, nil
	}
	return decompress(p.data)
}

func decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMessageBytes+1))
	if err == nil && len(out) > maxMessageBytes {
		err = errors.New("message is too long")
	}
	if err != nil {
		return nil, merry.Wrap(ErrInvalidPart, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return out, nil
}

// begin replaces the incomplete message of a sender, and drops the oldest one of others if
// there are too many.
func (a *Assembler) begin(part message.LogPart) *partial {
	a.begun++
	p := &partial{transfer: part.Transfer, total: part.Total, order: a.begun}
	a.partials[part.From] = p
	if len(a.partials) > maxPartials {
		oldest := part.From
		for from, x := range a.partials {
			if x.order < a.partials[oldest].order {
				oldest = from
			}
		}
		delete(a.partials, oldest)
	}
	return p
}
