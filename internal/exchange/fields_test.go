package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// oneByteConn is a scriptedConn whose reads return one byte each.
type oneByteConn struct{ *scriptedConn }

// Read implements net.Conn.
func (c oneByteConn) Read(b []byte) (int, error) { return c.scriptedConn.Read(b[:min(1, len(b))]) }

// receive sends a request to a server that sends the given bytes, and returns the response and
// its body. The error is that of Do or of reading the body.
func receive(t *testing.T, data string, oneByte bool) (*http.Response, string, error) {
	p := NewPool(Options{Dial: func(context.Context, string) (net.Conn, error) {
		c := &scriptedConn{response: bytes.NewReader([]byte(data))}
		if oneByte {
			return oneByteConn{c}, nil
		}
		return c, nil
	}})
	response, err := p.Do(t.Context(), Request{
		Address: "a", HTTP: post(t, "127.0.0.1:1"), RequestID: "r1", RequireRequestID: true, SkipMismatched: true, AllowCloseDelimited: true,
	})
	if err != nil {
		qt.Check(t, ProgressOf(err), qt.Equals, Unknown)
		qt.Check(t, err, qt.ErrorIs, ErrResponse)
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		qt.Check(t, ProgressOf(err), qt.Equals, ResponseTruncated)
		qt.Check(t, p.addressPool("a").idle, qt.HasLen, 0)
	}
	return response, string(body), err
}

// Guards against a response with a field name that is not valid. net/http accepts blanks in
// names, and does not take such a field for the one that it may be meant to be: with
// "Content-Length :" or "Transfer-Encoding :" the body, or the next response, would begin or
// end elsewhere than the server means.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	const fields = "Gentiansail-Request-Id: r1\r\n"
	const other = "HTTP/1.1 200 OK\r\nGentiansail-Request-Id: r0\r\n"
	places := map[string]string{
		"head, length":         "HTTP/1.1 200 OK\r\n" + fields + "%sContent-Length: 2\r\n\r\nok",
		"head, no length":      "HTTP/1.1 200 OK\r\n" + fields + "%s\r\n2\r\nok\r\n0\r\n\r\n",
		"head, HTTP/1.0":       "HTTP/1.0 200 OK\r\n" + fields + "%s\r\nok",
		"head, chunked":        "HTTP/1.1 200 OK\r\n" + fields + "%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"head, failure":        "HTTP/1.1 500 Odd\r\n" + fields + "%sContent-Length: 2\r\n\r\nok",
		"head, last line":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + fields + "%s\r\nok",
		"head, bare line feed": "HTTP/1.1 200 OK\nContent-Length: 2\nGentiansail-Request-Id: r1\n%s\nok",
		"informational":        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n%s\r\n" + okResponse,
		"second informational": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n%s\r\n" + okResponse,
		"after informational":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "%sContent-Length: 2\r\n\r\nok",
		"skipped":              other + "%sContent-Length: 2\r\n\r\nok" + okResponse,
		"after skipped":        other + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n" + fields + "%sContent-Length: 2\r\n\r\nok",
		"trailer":              "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n%s\r\n",
		"announced trailer":    "HTTP/1.1 200 OK\r\n" + fields + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n%sA: b\r\n\r\n",
		"skipped trailer":      other + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n%s\r\n" + okResponse,
	}
	lines := []string{
		"Content-Length : 2", "Content-Length\t: 2", " Content-Length: 2", "\tContent-Length: 2", "Content-Length\x00: 2", "Content Length: 2",
		"Transfer-Encoding : chunked", " Transfer-Encoding: chunked", "Transfer-Encoding\x00: chunked",
		"X Odd: 1", "X-Odd : 1", " : 1", ": 1", "X\x01Odd: 1", "X\rOdd: 1", "X\x1f: 1", "X\x7f: 1", "X\x80: 1", "Ö: 1", "X(Odd): 1", "X,Odd: 1", "X/Odd: 1", "X\"Odd: 1",
		"Odd", "HTTP/1.1 200 OK",
	}
	for place, format := range places {
		for _, line := range lines {
			t.Run(fmt.Sprintf("%s, %q", place, line), func(t *testing.T) {
				for _, oneByte := range []bool{false, true} {
					response, body, err := receive(t, fmt.Sprintf(format, line+"\r\n"), oneByte)
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("one byte at a time %t: %v, body %q", oneByte, response, body))
				}
			})
		}
	}
}

// Guards against rejecting responses with unusual but valid fields.
func TestUnusualFieldIsPassedOn(t *testing.T) {
	tests := map[string]struct{ line, name, value string }{
		"all bytes of names":  {"!#$%&'*+-.^_`|~09azAZ: 1", "!#$%&'*+-.^_`|~09azaz", "1"},
		"empty value":         {"X-Odd:", "X-Odd", ""},
		"no blank":            {"X-Odd:1", "X-Odd", "1"},
		"blanks around":       {"X-Odd: \t 1 \t", "X-Odd", "1"},
		"blanks inside":       {"X-Odd: a b\tc", "X-Odd", "a b\tc"},
		"colons in the value": {"X-Odd: a:b : c", "X-Odd", "a:b : c"},
		"bytes above 127":     {"X-Odd: \xc3\xb6", "X-Odd", "\xc3\xb6"},
		"long":                {"X-Odd: " + strings.Repeat("x", 20_000), "X-Odd", strings.Repeat("x", 20_000)},
	}
	const trailerLimit = 4096 // of net/http
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, oneByte := range []bool{false, true} {
				head := "HTTP/1.1 103 Early Hints\r\n" + tt.line + "\r\n\r\nHTTP/1.1 200 OK\r\nGentiansail-Request-Id: r1\r\n" + tt.line + "\r\n"
				response, body, err := receive(t, head+"Content-Length: 2\r\n\r\nok", oneByte)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, body, qt.Equals, "ok")
				qt.Assert(t, response.Header.Get(tt.name), qt.Equals, tt.value)
				if len(tt.line) > trailerLimit {
					continue
				}
				response, body, err = receive(t, head+"Trailer: X-Announced\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+tt.line+"\r\n\r\n", oneByte)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, body, qt.Equals, "ok")
				qt.Assert(t, response.Trailer.Get(tt.name), qt.Equals, tt.value)
			}
		})
	}
}

// Guards against chunks that are returned as the body of a response: HTTP/1.0 has no transfer
// coding, and net/http ignores the field.
func TestTransferEncodingInHTTP10IsNoResponse(t *testing.T) {
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	const fields = " 200 OK\r\nGentiansail-Request-Id: r1\r\n"
	tests := map[string]struct {
		response string
		valid    bool
	}{
		"chunked":                    {"HTTP/1.0" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks, false},
		"lower case":                 {"HTTP/1.0" + fields + "transfer-encoding:chunked\r\n\r\n" + chunks, false},
		"first field":                {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nGentiansail-Request-Id: r1\r\n\r\n" + chunks, false},
		"with a length":              {"HTTP/1.0" + fields + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok", false},
		"other coding":               {"HTTP/1.0" + fields + "Transfer-Encoding: gzip\r\n\r\nok", false},
		"kept connection":            {"HTTP/1.0" + fields + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, false},
		"skipped":                    {"HTTP/1.0 200 OK\r\nGentiansail-Request-Id: r0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok" + okResponse, false},
		"after HTTP/1.1":             {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.0" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks, false},
		"HTTP/1.1":                   {"HTTP/1.1" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks, true},
		"name begins like the field": {"HTTP/1.0" + fields + "Transfer-Encoding-Odd: chunked\r\n\r\nok", true},
		"field begins like the name": {"HTTP/1.0" + fields + "Transfer: chunked\r\n\r\nok", true},
		"no length":                  {"HTTP/1.0" + fields + "\r\nok", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, oneByte := range []bool{false, true} {
				_, body, err := receive(t, tt.response, oneByte)
				if !tt.valid {
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("one byte at a time %t: body %q", oneByte, body))
					continue
				}
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, body, qt.Equals, "ok")
			}
		})
	}
}
