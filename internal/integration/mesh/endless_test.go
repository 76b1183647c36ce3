package mesh

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// awaitServed waits until requests of two hosts to pledges are served.
func (s *testMesh) awaitServed(near, far *host) {
	s.eventually("both hosts are served", func() bool {
		return near.send(http.MethodGet, "/check/x", "x", -1, "").status == 200 && far.send(http.MethodGet, "/check/y", "y", -1, "").status == 200
	})
}

// Guards against sidecars that run out of memory, or hold a request after its deadline,
// while a target sends bodies without end, and against a cut body that looks complete.
func TestBodiesWithoutEnd(t *testing.T) {
	const deadline, margin = time.Second, time.Second
	// A sidecar may have 184 MB. Here two of them share a process with callers and targets.
	const maxHeapBytes = 184 << 20
	s := startMesh(t, 1)
	far, near := s.addHost(1, "pledges"), s.addHost(2, "catalogue")
	s.awaitServed(near, far)
	var cancelled atomic.Int32
	far.target.setHandler(func(w http.ResponseWriter, r *http.Request, _ *target) {
		part := make([]byte, 4096)
		for r.Context().Err() == nil {
			if _, err := w.Write(part); err != nil {
				break
			}
		}
		cancelled.Add(1)
	})
	var callers sync.WaitGroup
	var open atomic.Int32
	const requests = 8 // as many as the target has slots
	for i := range requests {
		h := []*host{near, far}[i%2]
		open.Add(1)
		callers.Go(func() {
			defer open.Add(-1)
			start := time.Now()
			err := h.discardBody(fmt.Sprintf("endless-%d", i), deadline)
			qt.Check(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
			qt.Check(t, time.Since(start) < deadline+margin, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		})
	}
	s.eventually("all requests have ended", func() bool {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		qt.Assert(t, m.HeapAlloc < maxHeapBytes, qt.IsTrue, qt.Commentf("%d bytes", m.HeapAlloc))
		return open.Load() == 0
	})
	callers.Wait()
	s.eventually("the target's work has ended", func() bool { return cancelled.Load() == requests })
	far.target.setHandler(nil)
	for _, h := range []*host{near, far} {
		qt.Assert(t, h.send(http.MethodGet, "/check/z", "z", -1, "").status, qt.Equals, http.StatusOK)
	}
}

// discardBody sends a request and returns the error with which its body ended.
func (h *host) discardBody(id string, deadline time.Duration) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.callerAddress+"/pledge/1", nil)
	if err != nil {
		return err
	}
	r.Host = "mesh.example"
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.RemainingMillis, strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	result, err := client.Do(r)
	if err != nil {
		return err
	}
	defer result.Body.Close()
	if result.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", result.StatusCode)
	}
	_, err = io.Copy(io.Discard, result.Body)
	return err
}

// Guards against sidecars that keep what a faulty target sends in place of an answer, run out
// of memory and end the requests of other callers with them.
func TestBytesWithoutEndThatAreNoAnswer(t *testing.T) {
	const deadline, margin = time.Second, time.Second
	const maxHeapBytes = 64 << 20 // of two sidecars with 184 MB each, callers and targets
	fields := strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 50)
	streams := map[string]struct{ begin, repeat string }{
		"no line":                {"", "x"},
		"no header":              {"", "garbage\r\n"},
		"header field":           {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header fields":          {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"informational":          {"", "HTTP/1.1 102 Processing\r\n" + fields + "\r\n"},
		"chunk extension":        {"HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "x"},
		"chunks of another size": {"HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nxyz"},
		"trailer":                {"HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x"},
		"body without a frame":   {"HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\n\r\n", "x"},
	}
	for name, stream := range streams {
		t.Run(name, func(t *testing.T) {
			s := startMesh(t, 1)
			far, near := s.addHost(1, "pledges"), s.addHost(2, "catalogue")
			s.awaitServed(near, far)
			far.target.setHandler(func(w http.ResponseWriter, r *http.Request, _ *target) {
				c, _, err := http.NewResponseController(w).Hijack()
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				defer c.Close()
				_, err = io.WriteString(c, strings.ReplaceAll(stream.begin, "%s", r.Header.Get(names.RequestID)))
				for part := strings.Repeat(stream.repeat, 1+8192/len(stream.repeat)); err == nil; {
					_, err = io.WriteString(c, part)
				}
			})
			var callers sync.WaitGroup
			var open atomic.Int32
			for i := range 8 { // as many as the target has slots
				h := []*host{near, far}[i%2]
				open.Add(1)
				callers.Go(func() {
					defer open.Add(-1)
					start := time.Now()
					qt.Check(t, h.discardBody(fmt.Sprintf("endless-%d", i), deadline), qt.IsNotNil)
					qt.Check(t, time.Since(start) < deadline+margin, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				})
			}
			s.eventually("all requests have ended", func() bool {
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				qt.Assert(t, m.HeapAlloc < maxHeapBytes, qt.IsTrue, qt.Commentf("%d bytes", m.HeapAlloc))
				return open.Load() == 0
			})
			callers.Wait()
			far.target.setHandler(nil)
			s.awaitServed(near, far)
		})
	}
}
