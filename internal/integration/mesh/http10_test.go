package mesh

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a part of an answer that a caller of HTTP/1.0 gets as a complete one. Without a
// length it ends with the connection, so that must not end regularly.
func TestCutAnswerToHTTP10(t *testing.T) {
	const deadline = 5 * time.Second
	part := strings.Repeat("part", 20<<10) // more than sidecars buffer
	s := startMesh(t, 1)
	far, near := s.addHost(1, "pledges"), s.addHost(2, "catalogue")
	s.awaitServed(near, far)
	number := 0
	for name, whole := range map[string]bool{"cut": false, "whole": true} {
		for _, h := range []*host{near, far} {
			for _, keepAlive := range []string{"", "Connection: keep-alive\r\n"} {
				t.Run(fmt.Sprintf("%s, %s, %q", name, h.callerAddress, keepAlive), func(t *testing.T) {
					far.target.setHandler(func(w http.ResponseWriter, _ *http.Request, _ *target) {
						_, _ = io.WriteString(w, part)
						_ = http.NewResponseController(w).Flush()
						if !whole {
							panic(http.ErrAbortHandler)
						}
					})
					number++
					c, err := net.Dial("tcp", h.callerAddress)
					qt.Assert(t, err, qt.IsNil)
					defer c.Close()
					qt.Assert(t, c.SetDeadline(time.Now().Add(deadline)), qt.IsNil)
					_, err = fmt.Fprintf(c, "POST /pledge/1 HTTP/1.0\r\nHost: mesh.example\r\nTest-Id: old-%d\r\nTest-Left: 2000\r\n%sContent-Length: 0\r\n\r\n", number, keepAlive)
					qt.Assert(t, err, qt.IsNil)
					data, err := io.ReadAll(c)
					if !whole {
						qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%d bytes end regularly", len(data)))
						return
					}
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, strings.HasSuffix(string(data), "\r\n\r\n"+part), qt.IsTrue)
				})
			}
		}
	}
	far.target.setHandler(nil)
	s.awaitServed(near, far)
}
