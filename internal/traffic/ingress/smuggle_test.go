package ingress

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/pipeline"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against the rest of a body that is run as a request of its own, when the response was
// sent before the whole body had arrived.
func TestRestOfBodyIsNoRequest(t *testing.T) {
	const inside = "GET /browse/9 HTTP/1.1\r\nHost: mesh.example\r\nTest-Id: inside\r\nTest-Key: 77\r\n\r\n"
	const readFirst, sentFirst, length = 40 << 10, 100 << 10, 200 << 10
	framings := map[string]string{
		"chunked":       fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", length),
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", length),
	}
	peers := map[string]func(w http.ResponseWriter){
		"rejected": func(w http.ResponseWriter) {
			hop.Reply{Reason: hop.Busy, RetryMillis: 250}.SetHeader(w.Header())
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"early response": func(w http.ResponseWriter) {
			hop.Reply{}.SetHeader(w.Header())
			w.Header().Set(names.Signature, "s")
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusOK)
		},
	}
	for framing, header := range framings {
		for name, respond := range peers {
			t.Run(framing+", "+name, func(t *testing.T) {
				arrived := make(chan string, 100)
				peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_ = http.NewResponseController(w).EnableFullDuplex()
					arrived <- r.Header.Get(names.RequestID)
					_, _ = io.CopyN(io.Discard, r.Body, readFirst)
					w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
					respond(w)
					_ = http.NewResponseController(w).Flush()
					_, _ = io.Copy(io.Discard, r.Body)
				}))
				defer peer.Close()
				in := newKeyedIngress(t, clock.System(), exchange.NewPool(exchange.Options{}), peer.Listener.Addr().String())
				front := pipeline.New(pipeline.Options{Handler: in, MayRunAhead: in.MayRunAhead, Clock: clock.System()})
				server := httptest.NewUnstartedServer(front)
				server.Listener, server.Config.ConnContext = front.Listener(server.Listener), front.ConnContext
				server.Config.ErrorLog = log.New(t.Output(), "", 0)
				server.Start()
				defer server.Close()
				c, err := net.Dial("tcp", server.Listener.Addr().String())
				qt.Assert(t, err, qt.IsNil)
				defer c.Close()
				_, err = io.WriteString(c, "POST /browse/1 HTTP/1.1\r\nHost: mesh.example\r\nTest-Id: outside\r\nTest-Key: 77\r\nTest-Left: 3000\r\n"+header+strings.Repeat("x", sentFirst))
				qt.Assert(t, err, qt.IsNil)
				reader := bufio.NewReader(c)
				response, err := http.ReadResponse(reader, nil)
				qt.Assert(t, err, qt.IsNil)
				_, err = io.Copy(io.Discard, response.Body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, response.Close, qt.IsTrue)
				if response.StatusCode == http.StatusServiceUnavailable {
					qt.Check(t, response.Header.Get("Retry-After"), qt.Equals, "0.250")
				}
				_, _ = io.WriteString(c, inside)
				qt.Assert(t, c.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
				rest, _ := io.ReadAll(reader)
				qt.Check(t, string(rest), qt.Equals, "")
				qt.Check(t, <-arrived, qt.Equals, "outside")
				qt.Check(t, arrived, qt.HasLen, 0)
			})
		}
	}
}
