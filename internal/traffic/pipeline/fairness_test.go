package pipeline_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/traffic/pipeline"
	"github.com/gentiansail/gentiansail/internal/transport/inbound"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// answerTimeout ends the wait for an answer that does not come.
const answerTimeout = 10 * time.Second

// Guards against ordinary requests that wait for seconds while many connections send
// requests ahead and read no answers.
func TestOrdinaryRequestBesideRequestsAhead(t *testing.T) {
	const crowd, attempts, maxTurns = 300, 5, 20
	var answered atomic.Int64
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	p := pipeline.New(pipeline.Options{Clock: clock.System(), MayRunAhead: func(*http.Request) bool { return false }, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answered.Add(1)
		_, _ = io.WriteString(w, "ok\n")
	})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &http.Server{Handler: p, ConnContext: p.ConnContext, ConnState: inbound.ConnState}
	served := make(chan error, 1)
	go func() { served <- s.Serve(p.Listener(l)) }()
	var conns []net.Conn
	senders := make(chan struct{}, crowd)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		conns = append(conns, c)
		return c
	}
	t.Cleanup(func() {
		for _, c := range conns {
			_ = c.Close()
		}
		for range crowd {
			<-senders
		}
		_ = s.Close()
		<-served
	})
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	many := []byte(strings.Repeat(request, 1000))
	for range crowd {
		dial()
	}
	for _, c := range conns {
		go func() {
			defer func() { senders <- struct{}{} }()
			for {
				if _, err := c.Write(many); err != nil {
					return // closed at the end of the test
				}
			}
		}()
	}
	// turns is how many requests of each connection of the crowd were answered before.
	var turns []int
	for range attempts {
		c, before := dial(), answered.Load()
		qt.Assert(t, c.SetDeadline(time.Now().Add(answerTimeout)), qt.IsNil)
		_, err := io.WriteString(c, request)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadFull(c, make([]byte, len("HTTP/1.1 200")))
		qt.Assert(t, err, qt.IsNil)
		turns = append(turns, int(answered.Load()-before)/crowd)
	}
	t.Logf("answers after %v turns of the crowd", turns)
	slices.Sort(turns)
	qt.Assert(t, turns[attempts/2] <= maxTurns, qt.IsTrue, qt.Commentf("median of %v", turns))
}
