package ingress

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// peerServer stands in for the sidecar beside a target. It reads up to readFirst bytes of a
// body before it rejects the request or, if reject is empty, reads all and accepts it.
type peerServer struct {
	reject    hop.Reason
	readFirst int64
	// onRequest, if set, is called before the response.
	onRequest func()

	mu     sync.Mutex
	bodies [][]byte
}

func (p *peerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	if p.reject != "" {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.CopyN(io.Discard, r.Body, p.readFirst)
		p.onRequest()
		hop.Reply{Reason: p.reject}.SetHeader(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.Copy(io.Discard, r.Body)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // an incomplete request is not run
	}
	p.mu.Lock()
	p.bodies = append(p.bodies, body)
	p.mu.Unlock()
	hop.Reply{}.SetHeader(w.Header())
	w.Header().Set(names.Signature, "s")
}

// pausingReader returns a body in pieces with pauses between them.
type pausingReader struct {
	io.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (r pausingReader) Read(b []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Reader.Read(b[:min(len(b), 16<<10)])
}

// moveKeys gives an ingress a view in which another target owns all keys.
func moveKeys(t *testing.T, in *Ingress, peer string) {
	items := []message.Item{}
	for name, element := range map[string]any{
		message.ItemInstance + "i-2":            message.Instance{Incarnation: message.Incarnation{ID: "i-2", StartTime: 2}, Service: "catalogue", Peer: message.Address(peer), Slots: 8},
		message.ItemRangeOwners + "catalogue/0": []message.RangeOwner{{From: 0, To: 65535, Owner: "i-2"}},
	} {
		text, err := json.Marshal(element)
		qt.Check(t, err, qt.IsNil)
		items = append(items, message.Item{Name: name, Version: 2, Text: string(text)})
	}
	qt.Check(t, in.options.Views.Apply(message.WatchReply{Version: 2, Items: items}), qt.IsNil)
}

// upload sends a request for key 77 with a body of the given length, or in chunks if that is -1.
func upload(t *testing.T, server *httptest.Server, body io.Reader, length int64) *http.Response {
	r, err := http.NewRequest(http.MethodPost, server.URL+"/browse/1", body)
	qt.Assert(t, err, qt.IsNil)
	r.ContentLength, r.Host = length, "mesh.example"
	r.Header.Set(names.RequestID, "1")
	r.Header.Set(names.Key, "77")
	response, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// Guards against a request that is run with a part of its body and answered with success,
// because it is sent to the next owner of its key after the former one has used up the part of
// the body that is not in memory.
func TestLongBodyWhileKeyMoves(t *testing.T) {
	const bodyBytes = 150 << 10
	tests := map[string]struct {
		reject    hop.Reason
		chunked   bool
		readFirst int64
		pause     time.Duration
		bodyBytes int
	}{
		"chunked, all read":               {hop.NotOwner, true, bodyBytes, 0, bodyBytes},
		"chunked, partly read":            {hop.NotOwner, true, 100 << 10, 0, bodyBytes},
		"chunked, nothing read":           {hop.NotOwner, true, 0, 0, bodyBytes},
		"chunked, slow body":              {hop.NotOwner, true, 80 << 10, 15 * time.Millisecond, bodyBytes},
		"chunked, no target":              {hop.NoTarget, true, bodyBytes, 0, bodyBytes},
		"with a length, all read":         {hop.NotOwner, false, bodyBytes, 0, bodyBytes},
		"with a length, slow body":        {hop.NotOwner, false, 80 << 10, 15 * time.Millisecond, bodyBytes},
		"chunked, short enough to buffer": {hop.NotOwner, true, 0, 0, 60 << 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			former, next := &peerServer{reject: tt.reject, readFirst: tt.readFirst}, &peerServer{}
			formerServer, nextServer := httptest.NewServer(former), httptest.NewServer(next)
			defer formerServer.Close()
			defer nextServer.Close()
			in := newKeyedIngress(t, clock.System(), exchange.NewPool(exchange.Options{}), formerServer.Listener.Addr().String())
			former.onRequest = func() { moveKeys(t, in, nextServer.Listener.Addr().String()) }
			server := httptest.NewServer(in)
			defer server.Close()
			body := bytes.Repeat([]byte("0123456789abcdef"), tt.bodyBytes/16)
			length := int64(len(body))
			if tt.chunked {
				length = -1
			}
			response := upload(t, server, pausingReader{bytes.NewReader(body), tt.pause}, length)
			next.mu.Lock()
			defer next.mu.Unlock()
			for _, got := range next.bodies {
				qt.Assert(t, bytes.Equal(got, body), qt.IsTrue, qt.Commentf("%d of %d bytes reached the next owner", len(got), len(body)))
			}
			wasRun := len(next.bodies) > 0
			qt.Assert(t, response.StatusCode == http.StatusOK, qt.Equals, wasRun)
			if !wasRun {
				qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				qt.Assert(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
			qt.Assert(t, wasRun || tt.bodyBytes > gate.MaxBufferedBody, qt.IsTrue)
		})
	}
}

// Guards against a long body that is refused although no attempt has read from it: the target
// on the caller's own host has lost the key before the request was sent.
func TestUntouchedLongBodyIsSentToNextOwner(t *testing.T) {
	next := &peerServer{}
	nextServer := httptest.NewServer(next)
	defer nextServer.Close()
	in := newKeyedIngress(t, clock.System(), exchange.NewPool(exchange.Options{}), "")
	rejected := make(chan struct{}, 1)
	go func() {
		<-rejected
		moveKeys(t, in, nextServer.Listener.Addr().String())
	}()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rejected <- struct{}{}
		in.ServeHTTP(w, r)
	}))
	defer server.Close()
	body := strings.Repeat("x", 150<<10)
	response := upload(t, server, strings.NewReader(body), int64(len(body)))
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, next.bodies, qt.HasLen, 1)
	qt.Assert(t, string(next.bodies[0]) == body, qt.IsTrue)
}
