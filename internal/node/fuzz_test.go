package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against an announcement that makes the node panic, and against an accepted one with
// an address to which no request can be sent.
func FuzzReadAnnouncement(f *testing.F) {
	f.Add([]byte(`{"Service":"catalogue","Address":"127.0.0.1:8080","Slots":10,"Connections":130,"ChecksGrants":true,"Cold":true,"Instance":"x"}`))
	f.Add([]byte(`{"Service":"c","Address":"[::1]:80","Slots":1,"Connections":1,"More":[]}`))
	f.Add([]byte(`{"Service":"c","Address":"127.0.0.1:http","Slots":1,"Connections":1}`))
	f.Add([]byte(`{"Service":"c","Address":"127.0.0.1:0","Slots":1,"Connections":1}`))
	f.Add([]byte(`{"Service":"c","Address":"127.0.0.1:99999","Slots":1e99}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, problem := readAnnouncement(bytes.NewReader(data))
		if problem != "" {
			return
		}
		qt.Assert(t, a.Slots > 0 && a.Slots <= maxAnnouncedSlots, qt.IsTrue)
		q := routedRequest{method: http.MethodGet, path: "/x", id: "r", header: http.Header{}}
		r, err := q.newOutgoing(string(a.Address), 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.URL.Port() != "" && r.URL.Port() != "0", qt.IsTrue, qt.Commentf("%s", a.Address))
		encoded, err := json.Marshal(a)
		qt.Assert(t, err, qt.IsNil)
		reread, problem := readAnnouncement(bytes.NewReader(encoded))
		qt.Assert(t, problem, qt.Equals, "")
		qt.Assert(t, reread, qt.Equals, a)
	})
}

// Guards against a caller's header that makes the node panic, that is taken for a header of a
// node, or that changes the request that the target receives.
func FuzzRequestHeader(f *testing.F) {
	f.Add([]byte("GET /catalogue/a%2Fb?x=1 HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\nGentiansail-Request-Id: r1\r\nGentiansail-Deadline-Ms: 50\r\n\r\n"))
	f.Add([]byte("POST /catalogue/a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nGentiansail-Epoch: 99999999999999999999\r\ngentiansail-member: i1\r\nGentiansail-Deadline-Ms: -1\r\n\r\n"))
	f.Add([]byte("GET http://other:1/x HTTP/1.1\r\nHost: h\r\nGentiansail-Request-Id: a b\r\nGentiansail-Deadline-Ms: 9223372036854775807\r\n\r\n"))
	f.Add([]byte("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nX :\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil || !reachesHandler(r) {
			return
		}
		q := &routedRequest{
			id: requestID(r.Header), method: r.Method, path: r.URL.EscapedPath(), query: r.URL.RawQuery, host: r.Host,
			header: endToEnd(r.Header), partition: "catalogue/0", fencingToken: 7,
		}
		qt.Assert(t, validRequestID(q.id), qt.IsTrue)
		q.deadline = remainingMillis(r.Header, 0)
		qt.Assert(t, q.deadline >= 0 && q.deadline <= maxDeadline, qt.IsTrue)
		for k := range q.header {
			qt.Assert(t, hopByHopFields[k] || reservedFields[k], qt.IsFalse, qt.Commentf("%s", k))
		}
		// Routes match only paths that begin with a slash.
		if !strings.HasPrefix(q.path, "/") {
			return
		}
		checkOutgoing(t, q)
	})
}

// token matches a method or a field name (RFC 9110, section 5.6.2).
var token = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")

// reachesHandler reports whether the server of net/http passes the request to a handler. It
// rejects requests with invalid fields or other versions itself.
func reachesHandler(r *http.Request) bool {
	for k, vs := range r.Header {
		for _, v := range vs {
			if strings.ContainsFunc(v, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
				return false
			}
		}
		if !token.MatchString(k) {
			return false
		}
	}
	return r.ProtoMajor == 1
}

// checkOutgoing compares a request with the one that the target reads from the connection.
func checkOutgoing(t *testing.T, q *routedRequest) {
	out, err := q.newOutgoing("127.0.0.1:8080", clock.Millis(0))
	if err != nil {
		return
	}
	var sent bytes.Buffer
	if out.Write(&sent) != nil {
		return
	}
	read := bufio.NewReader(&sent)
	got, err := http.ReadRequest(read)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Method, qt.Equals, q.method)
	qt.Assert(t, got.URL.EscapedPath(), qt.Equals, q.path)
	qt.Assert(t, got.URL.RawQuery, qt.Equals, q.query)
	qt.Assert(t, read.Buffered()+sent.Len(), qt.Equals, 0)
	for k, want := range map[string]string{header.RequestID: q.id, header.Partition: "catalogue/0", header.FencingToken: "7"} {
		qt.Assert(t, got.Header[k], qt.DeepEquals, []string{want})
	}
	for k, v := range q.header {
		if k == "User-Agent" {
			continue // net/http sends only one value
		}
		qt.Assert(t, slices.Equal(got.Header[k], v), qt.IsTrue, qt.Commentf("%s: %q, %q", k, got.Header[k], v))
	}
}
