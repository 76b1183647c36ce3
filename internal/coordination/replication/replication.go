// Package replication carries the messages of a replicated log from one replica to another.
//
// A long message, such as one with a large entry, may take longer to arrive than an election
// timeout. It is sent in parts, each of which waits until the previous one has arrived, so
// that heartbeats and votes need not wait for more than one part. Messages that may overtake
// others have a queue of their own; all others are sent in order. Long messages are also
// compressed: the routes of a configuration take about a fifteenth of their length.
//
// # Usage
//
//	s := replication.NewSender(replication.Options{From: "core-1", Client: client, ...})
//	go s.Run(ctx)
//	s.Offer(m)
//
//	a := replication.NewAssembler()
//	data, err := a.Add(part) // at the receiver; data is nil until the message is complete
package replication

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/base64"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
	"github.com/gentiansail/gentiansail/pkg/ring"
)

const (
	// maxQueuedMessages bounds each queue. The protocol repeats messages that are dropped.
	maxQueuedMessages = 256
	// sendTimeout bounds the sending of one short message or one part. It is twice the
	// shortest election timeout.
	sendTimeout clock.Millis = 1000
	// maxPartBytes is the length of a part. At 2 Mbit/s a part takes a quarter of a second,
	// half of an election timeout.
	maxPartBytes = 64 << 10
)

// Options configure a Sender.
type Options struct {
	// From is the name of the sending replica.
	From string
	// Client calls the receiving replica.
	Client *rpc.Client
	// Notify sends a short message, encoded in base64.
	Notify func(ctx context.Context, data string) error
	// PartMethod is the method that receives message.LogPart.
	PartMethod string
	// OnLost, if set, is called for each message that was dropped or may not have arrived.
	OnLost func()
}

// Sender sends messages to one replica.
type Sender struct {
	options Options
	ordered *ring.Ring[replog.Message]
	urgent  *ring.Ring[replog.Message]
	// transfers counts the messages that were sent in parts.
	transfers int
}

// NewSender returns a Sender that is not running yet.
func NewSender(options Options) *Sender {
	if options.OnLost == nil {
		options.OnLost = func() {}
	}
	return &Sender{options: options, ordered: ring.New[replog.Message](maxQueuedMessages), urgent: ring.New[replog.Message](maxQueuedMessages)}
}

// Offer queues a message, or drops it if the queue is full. It does not block.
func (s *Sender) Offer(m replog.Message) {
	queue := s.ordered
	if m.MayOvertake() {
		queue = s.urgent
	}
	if !queue.Offer(m) {
		s.options.OnLost()
	}
}

// Run sends queued messages until ctx ends.
func (s *Sender) Run(ctx context.Context) error {
	urgentEnded := make(chan struct{})
	go func() {
		defer close(urgentEnded)
		s.sendFrom(ctx, s.urgent, s.sendWhole)
	}()
	s.sendFrom(ctx, s.ordered, s.send)
	<-urgentEnded
	return nil
}

func (s *Sender) sendFrom(ctx context.Context, queue *ring.Ring[replog.Message], send func(context.Context, []byte) error) {
	for {
		m, err := queue.Take(ctx)
		if err != nil {
			return
		}
		if send(ctx, m.Encode()) != nil {
			s.options.OnLost()
			s.discardQueued(queue)
		}
	}
}

// discardQueued drops the messages that are queued for an unreachable replica, so that it
// gets recent ones when it is reachable again.
func (s *Sender) discardQueued(queue *ring.Ring[replog.Message]) {
	for {
		select {
		case <-queue.Items():
			s.options.OnLost()
		default:
			return
		}
	}
}

// send sends a message, in parts if it is long.
func (s *Sender) send(ctx context.Context, data []byte) error {
	if len(data) <= maxPartBytes {
		return s.sendWhole(ctx, data)
	}
	s.transfers++
	compressed := compress(data)
	for offset := 0; offset < len(compressed); offset += maxPartBytes {
		err := s.sendPart(ctx, message.LogPart{
			From: s.options.From, Transfer: s.transfers, Offset: offset, Total: len(compressed), Compressed: true,
			Data: base64.StdEncoding.EncodeToString(compressed[offset:min(offset+maxPartBytes, len(compressed))]),
		})
		if rpc.IsCode(err, rpc.CodeUnknownMethod) {
			// A replica of an earlier version takes whole messages only.
			return s.sendWhole(ctx, data)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func compress(data []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		// The level is valid and a buffer takes all bytes.
		panic(err)
	}
	return out.Bytes()
}

func (s *Sender) sendPart(ctx context.Context, part message.LogPart) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	_, err := rpc.Call[struct{}](ctx, s.options.Client, s.options.PartMethod, part)
	return err
}

func (s *Sender) sendWhole(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	return s.options.Notify(ctx, base64.StdEncoding.EncodeToString(data))
}
