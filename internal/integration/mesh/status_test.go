package mesh

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an answer whose status does not exist and that a caller gets as an answer,
// itself or from inside its body: it must count as a lost one on both hops.
func TestAnswerWithInvalidStatus(t *testing.T) {
	s := startMesh(t, 1)
	far, near := s.addHost(1, "pledges"), s.addHost(2, "catalogue")
	s.awaitServed(near, far)
	inner := "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Length: 5\r\n\r\ninner"
	for _, status := range []string{"000", "099", "+20", "150", "600", "999"} {
		bodies := map[string]string{
			"no length":         "\r\n" + inner,
			"length":            "Content-Length: " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner,
			"length of nothing": "Content-Length: 0\r\n\r\n" + inner,
			"chunked":           "Transfer-Encoding: chunked\r\n\r\n" + inner,
		}
		if status == "150" {
			delete(bodies, "no length") // informational, so the response after it is valid
		}
		for form, body := range bodies {
			answer := "HTTP/1.1 " + status + " Odd\r\nTest-Id: %s\r\nTest-Signature: s\r\n" + body
			t.Run(status+", "+form, func(t *testing.T) {
				checkAnswerIsLost(t, near, far, answer)
			})
		}
	}
}

// checkAnswerIsLost makes the target of far send an answer that is not valid, and checks that
// callers of both hosts do not get it: a request that may be repeated is sent again, and another
// one ends without a statement on whether it has run. %s in the answer stands for the id of the
// request.
func checkAnswerIsLost(t *testing.T, near, far *host, answer string) {
	for _, h := range []*host{near, far} {
		for _, repeatable := range []bool{true, false} {
			before := len(far.target.runIDs())
			id := fmt.Sprintf("lost-%d", before)
			var run atomic.Int32
			far.target.setHandler(func(w http.ResponseWriter, r *http.Request, _ *target) {
				if run.Add(1) > 1 {
					_, _ = io.WriteString(w, "whole")
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, strings.ReplaceAll(answer, "%s", r.Header.Get(names.RequestID)))
			})
			path, method, want := "/pledge/", http.MethodPost, response{status: http.StatusBadGateway, body: "gentiansail: lost\n"}
			runs := 1
			if repeatable {
				path, method, want, runs = "/check/", http.MethodGet, response{status: 200, body: "whole"}, 2
			}
			a := h.send(method, path+id, id, -1, "")
			far.target.setHandler(nil)
			qt.Check(t, a.err, qt.IsNil)
			qt.Check(t, a.status, qt.Equals, want.status, qt.Commentf("repeatable %t", repeatable))
			qt.Check(t, a.body, qt.Equals, want.body)
			qt.Check(t, a.header.Get(names.NotRun), qt.Equals, "")
			qt.Check(t, len(far.target.runIDs())-before, qt.Equals, runs)
		}
	}
}
