package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a panic because of what a caller sends, such as a length of 2^63-1, and against
// requests in line whose end is not where net/http sees it.
func FuzzParse(f *testing.F) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
	for _, length := range []string{"3", "9223372036854775807", "-1", "1152921504606846977"} {
		f.Add([]byte(head + length + "\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	}
	f.Add([]byte(strings.Repeat("GET / HTTP/1.1\nHost: h\n\n", 10)))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		b = b[:min(len(b), maxBufferedRequests)]
		c := &conn{server: New(Options{MayRunAhead: func(*http.Request) bool { return false }, Clock: clock.System()}), changed: make(chan struct{})}
		c.append(b)
		c.parse()
		rest := b
		for _, w := range c.line {
			source := bytes.NewReader(rest)
			reader := bufio.NewReader(source)
			r, err := http.ReadRequest(reader)
			if err != nil {
				if w.request == nil {
					return // is handed over as it is, and rejected
				}
				t.Fatalf("net/http does not read the request at %q: %v", rest, err)
			}
			want := len(rest) - source.Len() - reader.Buffered() + int(r.ContentLength)
			if w.length != want {
				t.Fatalf("the request at %q has %d bytes in line, and %d for net/http", rest, w.length, want)
			}
			rest = rest[min(want, len(rest)):]
		}
	})
}
