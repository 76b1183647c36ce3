package crowd

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
)

// holdTime is how long a crowd stays after it has sent what it could.
const holdTime = 700 * time.Millisecond

// door is a listener, and a path there.
type door struct {
	// core is true for a listener of the core replica.
	core               bool
	port               int
	method, path, host string
	// want is the status of an ordinary request to the door.
	want int
}

var doors = map[string]door{
	"route":     {port: callerPort, method: http.MethodPost, path: "/a/x", host: "h.example", want: http.StatusOK},
	"no route":  {port: callerPort, method: http.MethodPost, path: "/none", host: "h.example", want: http.StatusNotFound},
	"readiness": {port: readyPort, method: http.MethodGet, path: "/gentiansail/readiness", want: http.StatusOK},
	"target":    {port: controlPort, method: http.MethodPost, path: "/gentiansail/rpc?call=instances.heartbeat&of=i-2", want: http.StatusBadRequest},
	"operator":  {core: true, port: controlPort, method: http.MethodPost, path: "/gentiansail/rpc?call=config.describe", want: http.StatusOK},
	"peers":     {port: peerPort, method: http.MethodPost, path: "/a/x", want: http.StatusBadRequest},
	"core":      {core: true, port: peerPort},
	"metrics":   {port: metricsPort, method: http.MethodGet, path: "/metrics", want: http.StatusOK},
}

// crowd sends what one of its connections sends. It returns at the first error.
type crowd func(d door, n int, w io.Writer) error

// bodyBytes is a legal size of a body, and missingBytes is what a crowd leaves out of it.
const (
	bodyBytes    = 1 << 20
	missingBytes = 16 << 10
)

var crowds = map[string]crowd{
	"bodies without their end": func(d door, n int, w io.Writer) error {
		return write(w, d.head(n, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)), strings.Repeat("x", bodyBytes-missingBytes))
	},
	"chunks without end": func(d door, n int, w io.Writer) error {
		if err := write(w, d.head(n, "Transfer-Encoding: chunked\r\n")); err != nil {
			return err
		}
		for range (bodyBytes - missingBytes) / (16 << 10) {
			if err := write(w, "4000\r\n", strings.Repeat("x", 16<<10), "\r\n"); err != nil {
				return err
			}
		}
		return nil
	},
	"chunks of one byte": func(d door, n int, w io.Writer) error {
		return write(w, d.head(n, "Transfer-Encoding: chunked\r\n"), strings.Repeat("1\r\nx\r\n", 90<<10))
	},
	"bodies over the limit": func(d door, n int, w io.Writer) error {
		return write(w, d.head(n, fmt.Sprintf("Content-Length: %d\r\n", 1<<33)), strings.Repeat("x", bodyBytes))
	},
	"many fields": func(d door, n int, w io.Writer) error {
		var b strings.Builder
		for i := range 2000 {
			fmt.Fprintf(&b, "%x:\r\n", 0x100+i)
		}
		return write(w, d.head(n, b.String()+"Content-Length: 65536\r\n"), strings.Repeat("x", 1<<10))
	},
	"requests sent ahead": func(d door, n int, w io.Writer) error {
		d.method = http.MethodGet
		for range 200 {
			if err := write(w, strings.Repeat(d.head(n, ""), 50)); err != nil {
				return err
			}
		}
		return nil
	},
	"heads without end": func(d door, n int, w io.Writer) error {
		head := d.head(n, "")
		return write(w, head[:len(head)-2], strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 1024))
	},
	"slow readers": func(d door, n int, w io.Writer) error {
		d.method, d.path = http.MethodGet, largePath
		return write(w, d.head(n, ""))
	},
	"frames without end": func(_ door, _ int, w io.Writer) error {
		length := binary.BigEndian.AppendUint32(nil, 32<<20)
		return write(w, string(length), strings.Repeat("x", bodyBytes))
	},
}

// head returns the head of a request.
func (d door) head(n int, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: c-%d\r\n%s\r\n", d.method, d.path, d.host, n, fields)
}

func write(w io.Writer, parts ...string) error {
	for _, p := range parts {
		if _, err := io.WriteString(w, p); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a process that is ended for its memory, runs out of descriptors, or hangs,
// because of callers that do not keep to the limits.
func TestCrowdsAtDoors(t *testing.T) {
	all := []string{"bodies without their end", "chunks without end", "chunks of one byte", "bodies over the limit", "many fields", "requests sent ahead", "heads without end"}
	tests := map[string][]string{
		"route":     append([]string{"slow readers"}, all...),
		"no route":  all,
		"readiness": {"chunks without end", "many fields", "requests sent ahead", "heads without end"},
		"target":    {"bodies without their end", "chunks without end", "many fields", "heads without end"},
		"operator":  {"bodies without their end", "chunks without end", "many fields", "heads without end"},
		"peers":     {"bodies without their end", "many fields", "heads without end"},
		"core":      {"frames without end"},
		"metrics":   {"many fields", "requests sent ahead"},
	}
	for name, names := range tests {
		for _, crowdName := range names {
			t.Run(name+"/"+crowdName, func(t *testing.T) { startSystem(t).play(doors[name], crowds[crowdName]) })
		}
	}
}

// play lets a crowd press on a door, and checks the process behind it.
func (s *system) play(d door, c crowd) {
	process, ip := s.sidecar, s.ip
	if d.core {
		process, ip = s.core, s.coreIP
	}
	pid, ended := process.PID(), process.Ended()
	most := 0
	leave := press(s.t, address(ip, d.port), d, c, func() {
		n, err := descriptors(pid)
		if err == nil { // else the process has ended, which is checked below
			most = max(most, n)
		}
	})
	if d.path != "" && *during {
		s.t.Logf("an ordinary request meanwhile: %v", s.ordinary(ip, d.port, d.method, d.path, d.want))
	}
	peak, err := peakMegabytes(pid)
	leave()
	select {
	case <-ended:
		s.t.Fatal("the process has ended")
	default:
	}
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Logf("peak %.0f MB, %d descriptors", peak, most)
	qt.Check(s.t, peak <= float64(*memoryMegabytes), qt.IsTrue, qt.Commentf("peak of memory: %.0f MB", peak))
	qt.Check(s.t, most <= *maxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", most))
	s.checkAnswers(process, ip, d)
}

// checkAnswers checks that ordinary requests are answered again.
func (s *system) checkAnswers(process *cluster.Process, ip string, d door) {
	end := time.Now().Add(answerTimeout)
	wait := func(f func() error) {
		for {
			err := f()
			if err == nil {
				return
			}
			qt.Assert(s.t, time.Now().Before(end), qt.IsTrue, qt.Commentf("no answer of %s afterwards: %v", process.Name, err))
			time.Sleep(50 * time.Millisecond)
		}
	}
	if d.path != "" {
		wait(func() error { return s.ordinary(ip, d.port, d.method, d.path, d.want) })
	}
	wait(func() error { return s.ordinary(s.ip, callerPort, http.MethodGet, "/a/x", http.StatusOK) })
	wait(func() error { _, err := s.call(s.coreIP, "config.describe", nil, "{}"); return err })
}

// press opens the connections of a crowd and returns once all have sent what they could, and
// have stayed for holdTime. The returned function ends them.
func press(t *testing.T, address string, d door, c crowd, sample func()) (leave func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var sending, open sync.WaitGroup
	// sent ends the wait for connections whose bytes the process no longer takes.
	sent := make(chan struct{})
	for n := range *connections {
		sending.Add(1)
		open.Go(func() {
			var done sync.Once
			defer done.Do(sending.Done)
			dialer := net.Dialer{Timeout: 2 * time.Second}
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return // refused
			}
			defer func() { _ = conn.Close() }()
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
			// An error means that the process refuses the connection or takes no more.
			_ = c(d, n, conn)
			done.Do(sending.Done)
			<-ctx.Done()
		})
	}
	go func() {
		sending.Wait()
		close(sent)
	}()
	for waiting := true; waiting; {
		select {
		case <-sent:
			waiting = false
		case <-time.After(20 * time.Millisecond):
		}
		sample()
	}
	for end := time.Now().Add(holdTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		sample()
	}
	return func() {
		cancel()
		open.Wait()
	}
}

// Guards against a limit that refuses a single request inside the limits of the operator.
func TestLegalRequestInCalm(t *testing.T) {
	s := startSystem(t)
	d := doors["route"]
	var fields strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&fields, "%x:\r\n", 0x100+i)
	}
	const body = 64 << 20
	tests := map[string]io.Reader{
		"body of 64 MiB": io.MultiReader(strings.NewReader(d.head(0, fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", body))), io.LimitReader(repeat('x'), body)),
		"many fields":    strings.NewReader(d.head(0, "Connection: close\r\nContent-Length: 0\r\n"+fields.String())),
		"head of 16 KB":  bytes.NewReader([]byte(d.head(0, "Connection: close\r\nContent-Length: 0\r\nX-Long: "+strings.Repeat("x", 16<<10-150)+"\r\n"))),
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address(s.ip, d.port))
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(answerTimeout))
			_, err = io.Copy(conn, request)
			qt.Check(t, err, qt.IsNil)
			response, err := io.ReadAll(conn)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, strings.HasPrefix(string(response), "HTTP/1.1 200 "), qt.IsTrue, qt.Commentf("%.200q", response))
		})
	}
}

// repeat is an endless reader of one byte.
type repeat byte

func (x repeat) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(x)
	}
	return len(b), nil
}
