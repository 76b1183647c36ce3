package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/traffic/pipeline"
	"github.com/gentiansail/gentiansail/internal/transport/inbound"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against bodies with many short lines that are charged like fields of a head, so that
// ordinary connections are closed although little memory is held.
func TestLinesOfBodyAreNoFields(t *testing.T) {
	const connections = 100
	g := inbound.NewGuard(inbound.Limits(184, 4100))
	arrived, release := make(chan struct{}, connections), make(chan struct{})
	p := pipeline.New(pipeline.Options{Clock: clock.System(), MayRunAhead: func(*http.Request) bool { return false }, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-release
	})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &http.Server{Handler: inbound.Handler(p), ConnState: inbound.ConnState, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return p.ConnContext(inbound.ConnContext(ctx, c), c)
	}}
	served := make(chan error, 1)
	go func() { served <- s.Serve(p.Listener(g.Listener(l, inbound.Callers))) }()
	releaseAll := sync.OnceFunc(func() { close(release) })
	t.Cleanup(func() {
		releaseAll()
		_ = s.Close()
		<-served
	})
	body := strings.Repeat("\n", 24<<10)
	var conns []net.Conn
	for range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		qt.Assert(t, err, qt.IsNil)
	}
	for n := range connections {
		select {
		case <-arrived:
		case <-time.After(answerTimeout):
			t.Fatalf("%d of %d requests have arrived, %d connections were closed", n, connections, g.ClosedCount(inbound.Callers.Name, inbound.Memory))
		}
	}
	// 32 KB for a connection with a request, 1.5 bytes for each byte of the body, and 6 KB for
	// the head and its parsed copy.
	inProgress := g.Held()
	qt.Check(t, inProgress <= connections*(74<<10), qt.IsTrue, qt.Commentf("%d bytes are held during the requests", inProgress))
	releaseAll()
	for _, c := range conns {
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	}
	for end := time.Now().Add(answerTimeout); g.Held() > connections*(20<<10); time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%d bytes are held for idle connections", g.Held()))
	}
	qt.Assert(t, g.ClosedCount(inbound.Callers.Name, inbound.Memory), qt.Equals, 0)
}
