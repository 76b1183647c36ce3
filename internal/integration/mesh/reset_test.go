package mesh

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// upload sends a POST request with a body of the given length, in chunks or with its length.
func (h *host) upload(id string, length int, chunked bool) response {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.callerAddress+"/pledge/1", io.LimitReader(strings.NewReader(strings.Repeat("x", length)), int64(length)))
	if err != nil {
		return response{err: err}
	}
	r.Host, r.ContentLength = "mesh.example", int64(length)
	if chunked {
		r.ContentLength = -1
	}
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.RemainingMillis, strconv.Itoa(2000))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	result, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer result.Body.Close()
	data, err := io.ReadAll(result.Body)
	return response{status: result.StatusCode, body: string(data), header: result.Header, err: err}
}

// Guards against a part of an answer that a caller gets as a complete one, because the target
// has reset its connection while an upload was being written to it.
func TestAnswerCutByResetDuringUpload(t *testing.T) {
	const rounds = 10
	const head = " 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\n"
	answers := map[string]string{
		"no length":           "HTTP/1.1" + head + "\r\npart",
		"no length, HTTP/1.0": "HTTP/1.0" + head + "\r\npart",
		"no length, long":     "HTTP/1.1" + head + "\r\n" + strings.Repeat("part", 10<<10),
		"length":              "HTTP/1.1" + head + "Content-Length: 9\r\n\r\npart",
		"chunked":             "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	}
	uploads := map[string]struct {
		length  int
		chunked bool
	}{
		"of nothing": {0, false},
		"in memory":  {60 << 10, false},
		"streamed":   {4 << 20, false},
		"chunked":    {4 << 20, true},
	}
	s := startMesh(t, 1)
	far, near := s.addHost(1, "pledges"), s.addHost(2, "catalogue")
	s.awaitServed(near, far)
	number := 0
	for name, answer := range answers {
		for form, upload := range uploads {
			t.Run(name+", upload "+form, func(t *testing.T) {
				for round := range rounds {
					pause := time.Duration(round/2) * time.Millisecond
					far.target.setHandler(func(w http.ResponseWriter, r *http.Request, _ *target) {
						c, _, err := http.NewResponseController(w).Hijack()
						if !qt.Check(t, err, qt.IsNil) {
							return
						}
						_, _ = io.WriteString(c, strings.ReplaceAll(answer, "%s", r.Header.Get(names.RequestID)))
						time.Sleep(pause) // the reset meets the upload at different places
						_ = c.(*idleConn).Conn.(*net.TCPConn).SetLinger(0)
						_ = c.Close()
					})
					for _, h := range []*host{near, far} {
						number++
						id, before := fmt.Sprintf("reset-%d", number), len(far.target.runIDs())
						a := h.upload(id, upload.length, upload.chunked)
						if a.err == nil {
							qt.Check(t, a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%d bytes are a complete answer", len(a.body)))
							qt.Check(t, a.body, qt.Equals, "gentiansail: lost\n")
						}
						qt.Check(t, len(far.target.runIDs())-before <= 1, qt.IsTrue)
					}
				}
			})
		}
	}
	far.target.setHandler(nil)
	s.awaitServed(near, far)
}

// Guards against losing a complete answer whose target then closes the connection, on which an
// upload is still being written.
func TestCompleteAnswerDuringUpload(t *testing.T) {
	const rounds, uploadBytes = 10, 200 << 10 // sidecars read that much after an early answer
	const head = " 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\n"
	answers := map[string]string{
		"no length":           "HTTP/1.1" + head + "\r\nwhole",
		"no length, HTTP/1.0": "HTTP/1.0" + head + "\r\nwhole",
		"length":              "HTTP/1.1" + head + "Content-Length: 5\r\n\r\nwhole",
		"chunked":             "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	}
	s := startMesh(t, 1)
	far, near := s.addHost(1, "pledges"), s.addHost(2, "catalogue")
	s.awaitServed(near, far)
	number := 0
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			far.target.setHandler(func(w http.ResponseWriter, r *http.Request, _ *target) {
				c, _, err := http.NewResponseController(w).Hijack()
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(answer, "%s", r.Header.Get(names.RequestID)))
				_ = c.(*idleConn).Conn.(*net.TCPConn).CloseWrite()
				_ = c.Close()
			})
			for range rounds {
				for _, h := range []*host{near, far} {
					for _, chunked := range []bool{false, true} {
						number++
						a := h.upload(fmt.Sprintf("early-%d", number), uploadBytes, chunked)
						qt.Check(t, a.err, qt.IsNil)
						qt.Check(t, a.status, qt.Equals, http.StatusOK)
						qt.Check(t, a.body, qt.Equals, "whole")
					}
				}
			}
		})
	}
	far.target.setHandler(nil)
	s.awaitServed(near, far)
}
