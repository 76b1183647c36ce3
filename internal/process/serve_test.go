package process

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/traffic/pipeline"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a planned stop that closes a connection accepted before the stop
// without a response to its first request, as http.Server.Shutdown does.
func TestStopAnswersAcceptedConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	handler := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
	go func() { done <- ServeHTTP(ctx, l, &http.Server{Handler: http.HandlerFunc(handler)}, time.Minute) }()
	first, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = first.Close() }()
	// Connections are accepted in order, so a response on the second one shows that the
	// first one has been accepted.
	second, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = second.Close() }()
	qt.Assert(t, roundTrip(second), qt.IsNil)
	stop()
	// Wait until the listener is closed and connections are refused.
	for err == nil {
		var c net.Conn
		if c, err = net.Dial("tcp", l.Addr().String()); err == nil {
			_ = c.Close()
		}
	}
	qt.Assert(t, roundTrip(first), qt.IsNil)
	qt.Assert(t, <-done, qt.IsNil)
}

// Guards against a planned stop that aborts a request in flight.
func TestServeHTTPFinishesRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	started, release := make(chan struct{}), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "complete")
	})}
	served := make(chan error, 1)
	go func() { served <- ServeHTTP(ctx, l, s, time.Minute) }()
	body := make(chan string, 1)
	go func() {
		r, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			body <- err.Error()
			return
		}
		defer func() { _ = r.Body.Close() }()
		b, _ := io.ReadAll(r.Body)
		body <- string(b)
	}()
	<-started
	stop()
	close(release)
	qt.Assert(t, <-body, qt.Equals, "complete")
	qt.Assert(t, <-served, qt.IsNil)
}

// roundTrip sends a request on the connection and reads the response.
func roundTrip(c net.Conn) error {
	r, err := http.NewRequest(http.MethodGet, "http://node/", nil)
	if err != nil {
		return err
	}
	if err := r.Write(c); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Guards against connections that hang after "OPTIONS *", which net/http used to answer
// without the handler, so that no further request of the connection was handed over.
func TestRequestAfterOptionsOfServer(t *testing.T) {
	handler := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
	p := pipeline.New(pipeline.Options{Handler: http.HandlerFunc(handler), MayRunAhead: func(*http.Request) bool { return false }, Clock: clock.System()})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- ServeHTTP(ctx, p.Listener(l), &http.Server{Handler: p, ConnContext: p.ConnContext}, time.Second)
	}()
	t.Cleanup(func() {
		stop()
		<-done // an error states that requests were aborted, which the checks below report
	})
	c, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	qt.Assert(t, c.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	reader := bufio.NewReader(c)
	for _, line := range []string{"OPTIONS *", "GET /a"} {
		_, err = io.WriteString(c, line+" HTTP/1.1\r\nHost: h\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", line))
		_, err = io.Copy(io.Discard, response.Body)
		qt.Assert(t, err, qt.IsNil)
	}
}
