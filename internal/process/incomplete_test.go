package process

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/traffic/pipeline"
	"github.com/gentiansail/gentiansail/internal/transport/inbound"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a part of a response that looks complete to an HTTP/1.0 client, because the
// connection that delimits it ends regularly.
func TestIncompleteResponseToHTTP10IsReset(t *testing.T) {
	const part = "part"
	tests := map[string]struct {
		request string
		// end is called by the handler after a part of the response has been flushed.
		end      func(*http.Server)
		complete bool
	}{
		"aborted":           {"GET / HTTP/1.0\r\n\r\n", func(*http.Server) { panic(http.ErrAbortHandler) }, false},
		"aborted, kept":     {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", func(*http.Server) { panic(http.ErrAbortHandler) }, false},
		"connection closed": {"GET / HTTP/1.0\r\n\r\n", func(s *http.Server) { _ = s.Close() }, false},
		"complete":          {"GET / HTTP/1.0\r\n\r\n", func(*http.Server) {}, true},
		"complete, kept":    {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", func(*http.Server) {}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &http.Server{MaxHeaderBytes: inbound.MaxHeaderBytes}
			p := pipeline.New(pipeline.Options{Clock: clock.System(), MayRunAhead: func(*http.Request) bool { return false }, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
				tt.end(s)
			})})
			s.Handler = inbound.Handler(p)
			s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
				return p.ConnContext(inbound.ConnContext(ctx, c), c)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			guarded := inbound.NewGuard(inbound.Limits(0, 0)).Listener(l, inbound.Callers)
			go func() { done <- ServeHTTP(ctx, p.Listener(guarded), s, time.Second) }()
			t.Cleanup(func() {
				stop()
				if err := <-done; !errors.Is(err, ErrListener) { // as after Close of the server
					qt.Check(t, err, qt.IsNil)
				}
			})
			c, err := net.Dial("tcp", l.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = c.Close() }()
			qt.Assert(t, c.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			_, err = io.WriteString(c, tt.request)
			qt.Assert(t, err, qt.IsNil)
			data, err := io.ReadAll(c)
			qt.Assert(t, err == nil, qt.Equals, tt.complete, qt.Commentf("%q, error %v", data, err))
			if tt.complete {
				qt.Assert(t, strings.HasSuffix(string(data), "\r\n\r\n"+part), qt.IsTrue)
			}
		})
	}
}
