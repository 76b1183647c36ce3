package mesh

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against an answer that a caller gets although the name of a field in it is not valid:
// its body may then be what the target sent as a frame of the body, or as another answer.
func TestAnswerWithInvalidFieldName(t *testing.T) {
	const fields = "Test-Id: %s\r\nTest-Signature: s\r\n"
	places := map[string]string{
		"head, length":    "HTTP/1.1 200 OK\r\n" + fields + "ODDContent-Length: 4\r\n\r\nodd\n",
		"head, no length": "HTTP/1.1 200 OK\r\n" + fields + "ODD\r\n4\r\nodd\n\r\n0\r\n\r\n",
		"head, HTTP/1.0":  "HTTP/1.0 200 OK\r\n" + fields + "ODD\r\nodd\n",
		"informational":   "HTTP/1.1 102 Processing\r\nA: b\r\nODD\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nodd\n",
		"skipped":         "HTTP/1.1 200 OK\r\nTest-Id: another\r\nODDContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nodd\n",
		"trailer":         "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nodd\n\r\n0\r\nODD\r\n",
	}
	s := startMesh(t, 1)
	far, near := s.addHost(1, "pledges"), s.addHost(2, "catalogue")
	s.awaitServed(near, far)
	for place, answer := range places {
		for _, line := range []string{"Content-Length : 58", "Transfer-Encoding : chunked", "Content Length: 58", " Transfer-Encoding: chunked", "X Odd: 1", "X\x01Odd: 1", "X\x00: 1", "X\x7f: 1"} {
			t.Run(fmt.Sprintf("%s, %q", place, line), func(t *testing.T) {
				checkAnswerIsLost(t, near, far, strings.ReplaceAll(answer, "ODD", line+"\r\n"))
			})
		}
	}
}
