package exchange

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a response whose status line, or whose informational response, is not
// valid. Reading would go on inside its body, and the caller would get bytes of the body as
// the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	withLength := func(line string) string {
		return fmt.Sprintf("%s\r\nGentiansail-Request-Id: r1\r\nContent-Length: %d\r\n\r\n%s", line, len(okResponse), okResponse)
	}
	tests := map[string]string{
		"final response below 200":             "HTTP/1.1 150 Odd\r\nGentiansail-Request-Id: r1\r\n\r\n",
		"101":                                  "HTTP/1.1 101 Switching Protocols\r\n\r\n" + okResponse,
		"informational, Content-Length":        withLength("HTTP/1.1 102 Processing"),
		"informational, Content-Length 0":      "HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n" + okResponse,
		"informational, chunked":               "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + okResponse,
		"informational, HTTP/1.0, chunked":     "HTTP/1.0 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + okResponse,
		"informational, body without a length": "HTTP/1.1 102 Processing\r\n\r\nbody" + okResponse,
	}
	for _, status := range []string{"000", "001", "099", "600", "999", "+20", "-20", "+99", "20", "2000", "2 0", "20x", "0x2", " 20", "  200", "\t200", "２00", ""} {
		line := "HTTP/1.1 " + status
		tests[fmt.Sprintf("status %q, body with a length", status)] = withLength(line + " Odd")
		tests[fmt.Sprintf("status %q, no length", status)] = line + " Odd\r\nGentiansail-Request-Id: r1\r\n\r\n" + okResponse
		tests[fmt.Sprintf("status %q, no reason", status)] = withLength(line)
		tests[fmt.Sprintf("status %q after an informational response", status)] = "HTTP/1.1 102 Processing\r\n\r\n" + withLength(line+" Odd")
	}
	for _, version := range []string{"HTTP/1.x", "HTTP/1.", "HTTP/1.11", "HTTP/2.0", "http/1.1"} {
		tests[fmt.Sprintf("version %q", version)] = withLength(version + " 200 OK")
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, response, okResponse)
			p := pool(t)
			informational := 0
			body, err := send(t, p, Request{Address: s.address, OnInformational: func(status int, _ http.Header) {
				informational++
				c.Check(status >= 100 && status <= 199 && status != 101, qt.IsTrue, qt.Commentf("%d", status))
			}})
			c.Assert(err, qt.ErrorIs, ErrResponse, qt.Commentf("body %q", body))
			c.Assert(ProgressOf(err), qt.Equals, Unknown)
			<-s.ended
			c.Assert(p.addressPool(s.address).idle, qt.HasLen, 0)
		})
	}
}

// Guards against rejecting valid responses with unusual status codes.
func TestUnusualStatusIsPassedOn(t *testing.T) {
	tests := map[string]struct {
		response              string
		status, informational int
	}{
		"100":             {"HTTP/1.1 100 Continue\r\n\r\n" + okResponse, 200, 1},
		"102":             {"HTTP/1.1 102 Processing\r\n\r\n" + okResponse, 200, 1},
		"103 with fields": {"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" + okResponse, 200, 1},
		"199":             {"HTTP/1.1 199\r\n\r\n" + okResponse, 200, 1},
		"299":             {"HTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\nok", 299, 0},
		"599":             {"HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", 599, 0},
		"no reason":       {"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 200, 0},
		"empty reason":    {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", 200, 0},
		"bare line feed":  {"HTTP/1.1 200\nContent-Length: 2\n\nok", 200, 0},
		"HTTP/1.0":        {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, tt.response)
			informational := 0
			r := Request{Address: s.address, HTTP: post(t, s.address), RequestID: "r1", OnInformational: func(int, http.Header) { informational++ }}
			response, err := pool(t).Do(t.Context(), r)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, tt.status)
			c.Assert(informational, qt.Equals, tt.informational)
			c.Assert(DiscardBody(response), qt.IsNil)
		})
	}
}

// Guards against a status that does not exist and is accepted in an HTTP/1.0 response, in one
// that is skipped, or in one after that.
func TestInvalidStatusOfSkippedResponse(t *testing.T) {
	const other, mine = "Gentiansail-Request-Id: r0\r\nContent-Length: 2\r\n\r\nok", "Gentiansail-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"
	for _, version := range []string{"HTTP/1.0 ", "HTTP/1.1 "} {
		for _, status := range []string{"000", "099", "600", "+20"} {
			tests := map[string]string{
				"final":                      version + status + " Odd\r\n" + mine,
				"final, no length":           version + status + " Odd\r\nGentiansail-Request-Id: r1\r\n\r\nok",
				"skipped":                    version + status + " Odd\r\n" + other + okResponse,
				"after skipped":              "HTTP/1.1 200 OK\r\n" + other + version + status + " Odd\r\n" + mine,
				"informational before":       "HTTP/1.1 102 Processing\r\n\r\n" + version + status + " Odd\r\n" + mine,
				"informational with a field": version + status + " Odd\r\nLink: </a>\r\n\r\n" + okResponse,
			}
			for name, data := range tests {
				t.Run(version+status+", "+name, func(t *testing.T) {
					for _, oneByte := range []bool{false, true} {
						_, body, err := receive(t, data, oneByte)
						qt.Check(t, err, qt.IsNotNil, qt.Commentf("body %q", body))
					}
				})
			}
		}
	}
}
