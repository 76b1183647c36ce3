package inbound

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const host = " HTTP/1.1\r\nHost: h\r\n"

var malformedRequests = map[string]string{
	"length and chunks":          "POST /fast" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"chunks and length":          "POST /fast" + host + "transfer-encoding: chunked\r\ncontent-length: 0\r\n\r\n0\r\n\r\n",
	"two lengths":                "POST /fast" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
	"list of lengths":            "POST /fast" + host + "Content-Length: 3, 3\r\n\r\nabc",
	"length with a sign":         "POST /fast" + host + "Content-Length: +3\r\n\r\nabc",
	"length in base 16":          "POST /fast" + host + "Content-Length: 0x3\r\n\r\nabc",
	"empty length":               "POST /fast" + host + "Content-Length:\r\n\r\n",
	"length of 2^63":             "POST /fast" + host + "Content-Length: 9223372036854775808\r\n\r\n",
	"length after 70 spaces":     "POST /fast" + host + "Content-Length:" + strings.Repeat(" ", 70) + "3\r\n\r\nabc",
	"capitals in coding":         "POST /fast" + host + "Transfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":         "POST /fast HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"bare CR in a value":         "GET /fast" + host + "A: b\rc\r\n\r\n",
	"bare LF after a value":      "GET /fast" + host + "A: b\nC: d\r\n\r\n",
	"NUL in a value":             "GET /fast" + host + "A: b\x00c\r\n\r\n",
	"space before the colon":     "POST /fast" + host + "Content-Length : 3\r\n\r\nabc",
	"obsolete folding":           "GET /fast" + host + "A: b\r\n c\r\n\r\n",
	"space before the first":     "GET /fast HTTP/1.1\r\n Host: h\r\n\r\n",
	"line without a colon":       "GET /fast" + host + "A\r\n\r\n",
	"no name":                    "GET /fast" + host + ": b\r\n\r\n",
	"end with LF only":           "GET /fast" + host + "\n",
	"empty line before":          "\r\nGET /fast" + host + "\r\n",
	"NUL in the request line":    "GET /fa\x00st" + host + "\r\n",
	"request line ends with LF":  "GET /fast HTTP/1.1\nHost: h\r\n\r\n",
	"length of 2^63 and a space": "POST /fast" + host + "Content-Length: 9223372036854775808 \r\n\r\n",
}

// Guards against requests whose end other servers see elsewhere: they are run, or what follows
// them is run as a request.
func TestMalformedRequestsAreRejected(t *testing.T) {
	const before, after = "GET /fast" + host + "\r\n", "GET /fast" + host + "\r\n"
	for name, request := range malformedRequests {
		for split, size := range map[string]int{"at once": 1 << 20, "byte by byte": 1} {
			t.Run(name+", "+split, func(t *testing.T) {
				s := startServer(t, Peers, Limits(64, 256))
				c := s.dial(t, "")
				for rest := []byte(before + request + after); len(rest) > 0; rest = rest[min(size, len(rest)):] {
					if _, err := c.Write(rest[:min(size, len(rest))]); err != nil {
						break // closed already
					}
				}
				reader := bufio.NewReader(c)
				for _, want := range []int{http.StatusOK, http.StatusBadRequest} {
					r, err := http.ReadResponse(reader, nil)
					qt.Assert(t, err, qt.IsNil)
					_, err = io.Copy(io.Discard, r.Body)
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, r.StatusCode, qt.Equals, want)
				}
				qt.Assert(t, c.SetReadDeadline(time.Now().Add(waitLimit)), qt.IsNil)
				_, err := reader.ReadByte()
				qt.Assert(t, err, qt.Equals, io.EOF)
				qt.Assert(t, s.guard.ClosedCount(Peers.Name, Malformed), qt.Equals, 1)
			})
		}
	}
}

// readFramed passes b to a framer in reads of n bytes and returns what is handed over, and
// whether b has a malformed request.
func readFramed(b []byte, n int) (handed []byte, rejected bool) {
	own, other := net.Pipe()
	defer func() { _ = other.Close() }()
	_ = own.Close()
	g := NewGuard(Limits(64, 256))
	c := &conn{Conn: bytesConn{own, bytes.NewReader(b)}, account: &Account{guard: g, door: Peers, raw: own}}
	buffer := make([]byte, n)
	for {
		n, err := c.Read(buffer)
		handed = append(handed, buffer[:n]...)
		if err != nil {
			return handed, c.rejected.Load()
		}
	}
}

type bytesConn struct {
	net.Conn
	reader io.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// ends returns where net/http sees the ends of requests in b.
func ends(b []byte) (ends []int) {
	source := bytes.NewReader(b)
	reader := bufio.NewReader(source)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return ends
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || len(r.TransferEncoding) > 0 && r.ContentLength >= 0 {
			return ends
		}
		ends = append(ends, len(b)-source.Len()-reader.Buffered())
	}
}

// framedEnds returns where a framer sees the ends of requests in b.
func framedEnds(b []byte) (ends []int) {
	var f framer
	for i := range b {
		if f.follow(b[i:i+1]) == 0 {
			return ends
		}
		if f == (framer{}) {
			ends = append(ends, i+1)
		}
	}
	return ends
}

// Guards against a panic because of what a client sends, and against requests whose end is not
// where net/http sees it.
func FuzzFraming(f *testing.F) {
	for _, request := range malformedRequests {
		f.Add([]byte(request), uint16(1))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n1;x=y\r\nd\r\n0\r\nA: b\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"), uint16(3))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.0\r\n\r\n"), uint16(4))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab0\r\n\r\n"), uint16(100))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0000000000000001\r\na\r\n0\r\n\n\r\n\r\n"), uint16(100))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"), uint16(100))
	f.Fuzz(func(t *testing.T, b []byte, size uint16) {
		handed, rejected := readFramed(b, int(size)+1)
		accepted, read := framedEnds(b), ends(handed)
		// net/http may reject what a framer accepts.
		if len(read) > len(accepted) {
			t.Fatalf("net/http reads requests up to %v, the framer accepts up to %v (rejected %v): %q", read, accepted, rejected, b)
		}
		for i := range read {
			if read[i] != accepted[i] {
				t.Fatalf("net/http reads requests up to %v, the framer accepts up to %v: %q", read, accepted, b)
			}
		}
		if !rejected && !bytes.Equal(handed, b) {
			t.Fatalf("%q is handed over as %q", b, handed)
		}
	})
}
