package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a response that has broken off, and whose connection stays open until the
// caller sends the rest of its body.
func TestBrokenOffResponseEndsWhileBodyIsSent(t *testing.T) {
	const timeout, margin, sent, length = 2 * time.Second, 500 * time.Millisecond, 100 << 10, 200 << 10
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Signature, "s")
		hop.Reply{}.SetHeader(w.Header())
		_, _ = io.WriteString(w, strings.Repeat("x", 64<<10))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer peer.Close()
	in := newKeyedIngress(t, clock.System(), exchange.NewPool(exchange.Options{}), peer.Listener.Addr().String())
	server := httptest.NewServer(in)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	start := time.Now()
	_, err = io.WriteString(c, "POST /browse/1 HTTP/1.1\r\nHost: mesh.example\r\nTest-Id: 1\r\nTest-Key: 77\r\nTest-Left: "+strconv.FormatInt(timeout.Milliseconds(), 10)+
		"\r\nContent-Length: "+strconv.Itoa(length)+"\r\n\r\n"+strings.Repeat("x", sent))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.SetReadDeadline(start.Add(timeout+margin)), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	qt.Check(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
}
