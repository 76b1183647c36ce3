package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/standin"
)

// startBrokenTarget starts a target of courier that is healthy, and answers requests with the
// given bytes and a reset of the connection, or a regular end. %s stands for the request's id.
func startBrokenTarget(t *testing.T, n *node, answer string, reset bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	healthy := standin.New(standin.Options{Service: "courier", Slots: 10}).Handler()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/courier/") {
			healthy.ServeHTTP(w, r)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if !qt.Check(t, err, qt.IsNil) {
			return
		}
		defer c.Close()
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "%s", r.Header.Get(header.RequestID)))
	})}
	runInBackground(t, func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = s.Close() })()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	announcement := fmt.Sprintf(`{"Service":"courier","Address":%q,"Slots":10,"Connections":100}`, l.Addr())
	status, _, body := sendRequest(t, http.MethodPost, string(n.settings.TargetListen), "/v1/announce", nil, announcement)
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
}

// Guards against an answer that is not valid, or was cut off, and that a caller gets as an
// answer or as a complete one, from the node beside the target or from another one.
func TestBrokenAnswerIsUnknown(t *testing.T) {
	const head = " 200 OK\r\nGentiansail-Request-Id: %s\r\n"
	tests := map[string]struct {
		answer string
		reset  bool
	}{
		"status 000":                 {"HTTP/1.1 000 Odd\r\nGentiansail-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", false},
		"blank in a name":            {"HTTP/1.1" + head + "X Odd: 1\r\nContent-Length: 2\r\n\r\nok", false},
		"control byte in a name":     {"HTTP/1.1" + head + "X\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok", false},
		"blank, informational":       {"HTTP/1.1 102 Processing\r\nX Odd: 1\r\n\r\nHTTP/1.1" + head + "Content-Length: 2\r\n\r\nok", false},
		"blank, trailer":             {"HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n", false},
		"chunks in HTTP/1.0":         {"HTTP/1.0" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"no length":                  {"HTTP/1.1" + head + "\r\npart", false},
		"no length, reset":           {"HTTP/1.1" + head + "\r\npart", true},
		"no length, HTTP/1.0, reset": {"HTTP/1.0" + head + "\r\npart", true},
		"length, reset":              {"HTTP/1.1" + head + "Content-Length: 9\r\n\r\npart", true},
		"chunks, reset":              {"HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			control := startControl(t)
			beside, _ := startNode(t, control, "a")
			other, _ := startNode(t, control, "b")
			startBrokenTarget(t, beside, tt.answer, tt.reset)
			for _, n := range []*node{beside, other} {
				eventually(func() bool { return len(n.routing.snapshot().MembersOfService("courier")) == 1 && n.routing.fresh() })
				status, h, body, err := trySendRequest(http.MethodGet, string(n.settings.CallerListen), "/courier/1", map[string]string{header.DeadlineMillis: "1000"}, "")
				if err != nil {
					continue // the response was aborted
				}
				qt.Check(t, status >= 500, qt.IsTrue, qt.Commentf("status %d, body %q", status, body))
				qt.Check(t, h.Get(header.Outcome), qt.Equals, "unknown", qt.Commentf("status %d, body %q", status, body))
			}
		})
	}
}
