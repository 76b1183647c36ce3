package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// exchange sends bytes over a connection of their own and returns the status of the first
// response, and whether the connection has ended after it; 0 if there is none.
func (s *system) exchange(t *testing.T, request string) (status int, closed bool) {
	return exchangeAt(t, address(s.ip, callerPort), request)
}

func exchangeAt(t *testing.T, address, request string) (status int, closed bool) {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	// An error means that the process has closed the connection already.
	_, _ = io.WriteString(conn, request)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		timeout, ok := err.(net.Error)
		return 0, !(ok && timeout.Timeout())
	}
	_, err = io.Copy(io.Discard, response.Body)
	qt.Assert(t, err, qt.IsNil)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = reader.ReadByte()
	timeout, ok := err.(net.Error)
	return response.StatusCode, !(ok && timeout.Timeout())
}

// Guards against requests over the operator's limits that are run, or get no answer, and
// against limits that stay as they were after a change.
func TestOperatorsLimits(t *testing.T) {
	s := startSystem(t)
	d := doors["route"]
	chunked := d.head(0, "Transfer-Encoding: chunked\r\n")
	tests := map[string]struct {
		request string
		want    int
	}{
		"head of 17 KB":               {d.head(0, "X-Long: "+strings.Repeat("x", 17<<10)+"\r\n"), http.StatusRequestHeaderFieldsTooLarge},
		"head of 100 KB":              {d.head(0, "X-Long: "+strings.Repeat("x", 100<<10)+"\r\n"), http.StatusRequestHeaderFieldsTooLarge},
		"many long fields":            {d.head(0, strings.Repeat("X-Long: "+strings.Repeat("x", 1<<10)+"\r\n", 20)), http.StatusRequestHeaderFieldsTooLarge},
		"length over the limit":       {d.head(0, "Content-Length: 67108865\r\n"), http.StatusRequestEntityTooLarge},
		"length of 2^62":              {d.head(0, "Content-Length: 4611686018427387904\r\n"), http.StatusRequestEntityTooLarge},
		"length of 2^63-1":            {d.head(0, "Content-Length: 9223372036854775807\r\n"), http.StatusRequestEntityTooLarge},
		"length over the integers":    {d.head(0, "Content-Length: 9223372036854775808\r\n"), http.StatusBadRequest},
		"negative length":             {d.head(0, "Content-Length: -1\r\n"), http.StatusBadRequest},
		"two lengths":                 {d.head(0, "Content-Length: 1\r\nContent-Length: 2\r\n") + "xy", http.StatusBadRequest},
		"chunk that is no number":     {chunked + "zz\r\n", http.StatusBadRequest},
		"negative chunk":              {chunked + "-1\r\nx\r\n0\r\n\r\n", http.StatusBadRequest},
		"chunk of 2^64":               {chunked + "10000000000000000\r\n", http.StatusBadRequest},
		"extension of 70 KB":          {chunked + "1;" + strings.Repeat("x", 70<<10) + "\r\nx\r\n0\r\n\r\n", http.StatusBadRequest},
		"space before a colon":        {d.head(0, "X-Field : x\r\n"), http.StatusBadRequest},
		"unknown transfer coding":     {d.head(0, "Transfer-Encoding: xchunked\r\n"), http.StatusNotImplemented},
		"two transfer codings":        {d.head(0, "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), http.StatusNotImplemented},
		"head without a host":         {"GET /a/x HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"path without route, 2^63-1":  {strings.Replace(d.head(0, "Content-Length: 9223372036854775807\r\n"), "/a/x", "/none", 1), http.StatusRequestEntityTooLarge},
		"path without route, of 17KB": {strings.Replace(d.head(0, "X-Long: "+strings.Repeat("x", 17<<10)+"\r\n"), "/a/x", "/none", 1), http.StatusRequestHeaderFieldsTooLarge},
	}
	ran := s.ran.Load()
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			status, closed := s.exchange(t, tt.request)
			qt.Check(t, status, qt.Equals, tt.want)
			qt.Check(t, closed, qt.IsTrue)
		})
	}
	qt.Assert(t, s.ran.Load(), qt.Equals, ran)
	body := d.head(0, "Content-Length: 2000\r\nConnection: close\r\n") + strings.Repeat("x", 2000)
	status, _ := s.exchange(t, body)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	for version, limit := range []int{1000, 4000} {
		_, err := s.call(s.coreIP, "config.update", http.Header{"If-Match": {fmt.Sprint(version + 1)}}, fmt.Sprintf(`{"version":%d,"upsert":{"routes":[],"services":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d}},"remove":{"routes":[],"services":[]}}`, version+2, limit))
		qt.Assert(t, err, qt.IsNil)
		want := http.StatusOK
		if limit < 2000 {
			want = http.StatusRequestEntityTooLarge
		}
		s.eventually("the change is in force", func() error {
			if status, _ := s.exchange(t, body); status != want {
				return fmt.Errorf("status %d", status)
			}
			return nil
		})
	}
	qt.Assert(t, s.sidecar.Running(), qt.IsTrue)
}

// Guards against a listener that reads requests whose end other servers see elsewhere.
func TestMalformedRequestsAtDoors(t *testing.T) {
	s := startSystem(t)
	ran := s.ran.Load()
	for name, d := range doors {
		if d.path == "" {
			continue // carries no HTTP
		}
		ip := s.ip
		if d.core {
			ip = s.coreIP
		}
		tests := map[string]string{
			"length and chunks":       "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
			"length with a sign":      "Content-Length: +5\r\n",
			"bare LF before a coding": "X-Field: x\nTransfer-Encoding: chunked\r\n",
			"NUL in a value":          "X-Field: x\x00\r\n",
			"obsolete folding":        "X-Field: x\r\n y\r\n",
		}
		for field, fields := range tests {
			t.Run(name+", "+field, func(t *testing.T) {
				status, closed := exchangeAt(t, address(ip, d.port), d.head(0, fields)+"0\r\n\r\n"+d.head(1, ""))
				qt.Check(t, status, qt.Equals, http.StatusBadRequest)
				qt.Check(t, closed, qt.IsTrue)
			})
		}
	}
	qt.Assert(t, s.ran.Load(), qt.Equals, ran)
}

// Guards against heads without an end that hold a connection for longer than the operator allows,
// or get no answer, and against idle connections that stay open.
func TestOperatorsTimeoutsAtDoors(t *testing.T) {
	s := startSystem(t)
	change := func(version int, limits string) {
		_, err := s.call(s.coreIP, "config.update", http.Header{"If-Match": {fmt.Sprint(version - 1)}}, fmt.Sprintf(`{"version":%d,"upsert":{"routes":[],"services":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,%s}},"remove":{"routes":[],"services":[]}}`, version, limits))
		qt.Assert(t, err, qt.IsNil)
	}
	change(2, `"headerTimeout":100,"idleTimeout":3600000`)
	ran := s.ran.Load()
	for _, name := range []string{"route", "readiness", "target", "peers", "metrics"} {
		d := doors[name]
		head := d.head(0, "")
		status, closed := exchangeAt(t, address(s.ip, d.port), head[:len(head)-2])
		qt.Check(t, status, qt.Equals, http.StatusRequestTimeout, qt.Commentf("%s", name))
		qt.Check(t, closed, qt.IsTrue, qt.Commentf("%s", name))
	}
	qt.Check(t, s.ran.Load(), qt.Equals, ran)
	change(3, `"headerTimeout":3600000,"idleTimeout":100`)
	for _, name := range []string{"route", "readiness", "target", "metrics"} {
		status, closed := exchangeAt(t, address(s.ip, doors[name].port), "")
		qt.Check(t, status, qt.Equals, 0, qt.Commentf("%s", name))
		qt.Check(t, closed, qt.IsTrue, qt.Commentf("%s", name))
	}
}
