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
)

// Guards against a planned stop that drops a request on a connection that was
// accepted before the stop, as http.Server.Shutdown does.
func TestStopAnswersAcceptedConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	h := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
	go func() { done <- ServeHTTP(ctx, l, &http.Server{Handler: http.HandlerFunc(h)}, time.Minute) }()
	early, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = early.Close() }()
	// Connections are accepted in order, so that a response on a later one shows
	// that the first has been accepted.
	later, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = later.Close() }()
	qt.Assert(t, exchangeOn(later), qt.IsNil)
	stop()
	for err == nil {
		var c net.Conn
		if c, err = net.Dial("tcp", l.Addr().String()); err == nil {
			_ = c.Close()
		}
	}
	qt.Assert(t, exchangeOn(early), qt.IsNil)
	qt.Assert(t, <-done, qt.IsNil)
}

// Guards against a planned stop that cuts a request in flight.
func TestServeHTTPFinishesRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	begun, release := make(chan struct{}), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "whole")
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
	<-begun
	stop()
	close(release)
	qt.Assert(t, <-body, qt.Equals, "whole")
	qt.Assert(t, <-served, qt.IsNil)
}

func exchangeOn(c net.Conn) error {
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
