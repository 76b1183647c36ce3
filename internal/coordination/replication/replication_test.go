package replication

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

func part(from string, transfer, offset, total int, data string) message.LogPart {
	return message.LogPart{From: from, Transfer: transfer, Offset: offset, Total: total, Data: base64.StdEncoding.EncodeToString([]byte(data))}
}

// Guards against a message that is joined from parts of different messages, and against
// memory that is kept for senders that never end a message.
func TestAssembler(t *testing.T) {
	tests := map[string]struct {
		parts []message.LogPart
		want  string // the result of the last part; empty if it must be rejected
	}{
		"in order":                 {[]message.LogPart{part("a", 1, 0, 4, "ab"), part("a", 1, 2, 4, "cd")}, "abcd"},
		"interleaved senders":      {[]message.LogPart{part("a", 1, 0, 4, "ab"), part("b", 1, 0, 4, "xy"), part("a", 1, 2, 4, "cd")}, "abcd"},
		"begun again":              {[]message.LogPart{part("a", 1, 0, 4, "ab"), part("a", 2, 0, 4, "12"), part("a", 2, 2, 4, "34")}, "1234"},
		"sender restarted":         {[]message.LogPart{part("a", 1, 0, 4, "ab"), part("a", 1, 0, 4, "12"), part("a", 1, 2, 4, "34")}, "1234"},
		"part of another message":  {[]message.LogPart{part("a", 1, 0, 4, "ab"), part("a", 2, 2, 4, "cd")}, ""},
		"gap":                      {[]message.LogPart{part("a", 1, 0, 6, "ab"), part("a", 1, 4, 6, "ef")}, ""},
		"repeated":                 {[]message.LogPart{part("a", 1, 0, 4, "ab"), part("a", 1, 2, 6, "cd")}, ""},
		"longer than announced":    {[]message.LogPart{part("a", 1, 0, 3, "ab"), part("a", 1, 2, 3, "cd")}, ""},
		"without a beginning":      {[]message.LogPart{part("a", 1, 2, 4, "cd")}, ""},
		"too long":                 {[]message.LogPart{part("a", 1, 0, maxMessageBytes+1, "ab")}, ""},
		"empty":                    {[]message.LogPart{part("a", 1, 0, 0, "")}, ""},
		"after a rejection":        {[]message.LogPart{part("a", 1, 0, 6, "ab"), part("a", 1, 4, 6, "ef"), part("a", 1, 2, 6, "cd")}, ""},
		"negative offset":          {[]message.LogPart{part("a", 1, -2, 4, "ab")}, ""},
		"not base64":               {[]message.LogPart{{From: "a", Transfer: 1, Total: 4, Data: "!"}}, ""},
		"total of the parts moves": {[]message.LogPart{part("a", 1, 0, 4, "ab"), part("a", 1, 2, 5, "cde")}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := NewAssembler()
			var data []byte
			var err error
			for _, p := range tt.parts {
				data, err = a.Add(p)
			}
			qt.Assert(t, string(data), qt.Equals, tt.want)
			if tt.want == "" {
				qt.Assert(t, err, qt.ErrorIs, ErrInvalidPart)
			}
		})
	}
	a := NewAssembler()
	for i := range 3 * maxPartials {
		_, err := a.Add(part(fmt.Sprint(i), 1, 0, 4, "ab"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, a.partials, qt.HasLen, maxPartials)
	data, err := a.Add(part(fmt.Sprint(3*maxPartials-1), 1, 2, 4, "cd"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Equals, "abcd", qt.Commentf("the newest senders are kept"))
}

// Guards against long messages that a replica of an earlier version never gets.
func TestLongMessageToEarlierVersion(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	received := make(chan int, 1)
	server := rpc.NewServer()
	rpc.Handle(server, "Whole", func(_ context.Context, m message.LogMessage) (struct{}, error) {
		received <- len(m.Data)
		return struct{}{}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- server.Serve(ctx, l) }()
	client := rpc.NewClient(l.Addr().String())
	defer client.Close()
	s := NewSender(Options{From: "a", Client: client, PartMethod: "Part", Notify: func(ctx context.Context, data string) error {
		return client.Notify(ctx, "Whole", message.LogMessage{Data: data})
	}})
	go func() { ended <- s.Run(ctx) }()
	m := replog.Message{Kind: replog.KindAppend, Entries: []replog.Entry{{Index: 1, Term: 1, Kind: replog.EntryCommand, Data: make([]byte, 3*maxPartBytes)}}}
	s.Offer(m)
	qt.Assert(t, <-received, qt.Equals, base64.StdEncoding.EncodedLen(len(m.Encode())))
	cancel()
	for range cap(ended) {
		qt.Assert(t, <-ended, qt.IsNil)
	}
}

// Guards against compressed messages that are changed on their way, and against ones that
// take more memory than the longest message when they are decompressed.
func TestCompressedMessages(t *testing.T) {
	add := func(data []byte) ([]byte, error) {
		return NewAssembler().Add(message.LogPart{From: "a", Transfer: 1, Total: len(data), Compressed: true, Data: base64.StdEncoding.EncodeToString(data)})
	}
	whole := bytes.Repeat([]byte("route "), maxPartBytes)
	data, err := add(compress(whole))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(data, whole), qt.IsTrue)
	for name, invalid := range map[string][]byte{"too long": compress(make([]byte, maxMessageBytes+1)), "cut": compress(whole)[:100], "not compressed": []byte("route")} {
		t.Run(name, func(t *testing.T) {
			_, err := add(invalid)
			qt.Assert(t, err, qt.ErrorIs, ErrInvalidPart)
		})
	}
}
