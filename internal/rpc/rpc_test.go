package rpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type greeting struct{ Name string }

func startServer(t *testing.T) (string, context.CancelFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := NewServer()
	Handle(s, "Greet", func(_ context.Context, g greeting) (greeting, error) { return greeting{Name: "hello " + g.Name}, nil })
	Handle(s, "Reject", func(context.Context, greeting) (greeting, error) {
		return greeting{}, &Error{Code: CodeNotLeader, Message: "not the leader", Leader: "127.0.0.1:9"}
	})
	Handle(s, "Hang", func(ctx context.Context, _ greeting) (greeting, error) {
		<-ctx.Done()
		return greeting{}, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(cancel)
	return l.Addr().String(), cancel
}

func TestCallReturnsResponseAndTypedError(t *testing.T) {
	address, _ := startServer(t)
	c := NewClient(address)
	defer c.Close()
	got, err := Call[greeting](t.Context(), c, "Greet", greeting{Name: "dsm-a"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Name, qt.Equals, "hello dsm-a")
	_, err = Call[greeting](t.Context(), c, "Reject", greeting{})
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, *e, qt.Equals, Error{Code: CodeNotLeader, Message: "not the leader", Leader: "127.0.0.1:9"})
}

// Guards against reporting ErrConnect for a call that may have taken effect.
func TestErrConnectAndErrLost(t *testing.T) {
	address, stop := startServer(t)
	c := NewClient(address)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := Call[greeting](ctx, c, "Hang", greeting{})
	qt.Assert(t, errors.Is(err, ErrLost), qt.IsTrue)
	stop()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	unusedAddress := closed.Addr().String()
	qt.Assert(t, closed.Close(), qt.IsNil)
	_, err = Call[greeting](t.Context(), NewClient(unusedAddress), "Greet", greeting{})
	qt.Assert(t, errors.Is(err, ErrConnect), qt.IsTrue)
}

// Guards against a call without a deadline that hangs because the other end of the
// connection does not respond. The idle timeout must end it.
func TestIdleTimeoutEndsCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	c := NewClient(l.Addr().String())
	defer c.Close()
	_, err = Call[greeting](t.Context(), c, "Greet", greeting{})
	qt.Assert(t, errors.Is(err, ErrLost), qt.IsTrue)
}

// Guards against a panic of the decoder on invalid frames.
func FuzzReadObject(f *testing.F) {
	var frame bytes.Buffer
	_ = frameCodec{}.WriteObject(&frame, greeting{Name: "x"})
	f.Add(frame.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var g greeting
		_ = frameCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &g)
	})
}
