package inbound

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against clients that are cut off or rejected because the process did not run for some
// seconds: what they sent in time was not read yet when it went on.
func TestUnreadBytesAreInTime(t *testing.T) {
	tests := map[string]struct {
		read, unread string
		reason       Reason
	}{
		"idle connection": {"", "GET /fast HTTP/1.1\r\nHost: h\r\n\r\n", Idle},
		"head":            {"GET /fast HTTP/1.1\r\n", "Host: h\r\n\r\n", SlowHead},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGuard(Limits(64, 256))
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			l := g.Listener(raw, Callers)
			defer func() { _ = l.Close() }()
			client, err := net.Dial("tcp", raw.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = client.Close() }()
			served, err := l.Accept()
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = served.Close() }()
			_, err = io.WriteString(client, tt.read)
			qt.Assert(t, err, qt.IsNil)
			_, err = io.ReadFull(served, make([]byte, len(tt.read)))
			qt.Assert(t, err, qt.IsNil)
			_, err = io.WriteString(client, tt.unread)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(100 * time.Millisecond) // longer than the limits
			g.checkTimeouts(Timeouts{Header: 1, Idle: 1})
			b := make([]byte, len(tt.unread))
			n, err := served.Read(b)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(b[:n]), qt.Equals, tt.unread)
			qt.Assert(t, g.ClosedCount(Callers.Name, tt.reason), qt.Equals, 0)
		})
	}
}
