package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/gentiansail/gentiansail/internal/transport/inbound"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// BenchmarkOrdinaryRequest measures requests that follow each other on one connection.
func BenchmarkOrdinaryRequest(b *testing.B) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	p := New(Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }), MayRunAhead: func(*http.Request) bool { return true }, Clock: clock.System()})
	s := benchServer(p)
	go func() { _ = s.Serve(p.Listener(benchListener(raw))) }()
	defer func() { _ = s.Close() }()
	c, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	request := []byte("GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: 1000\r\nAccept: */*\r\n\r\n")
	reader := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

func benchServer(p *Server) *http.Server {
	return &http.Server{Handler: inbound.Handler(p), ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return p.ConnContext(inbound.ConnContext(ctx, c), c)
	}, ConnState: inbound.ConnState, MaxHeaderBytes: inbound.MaxHeaderBytes}
}

func benchListener(l net.Listener) net.Listener {
	return inbound.NewGuard(inbound.Limits(184, 4100)).Listener(l, inbound.Callers)
}
