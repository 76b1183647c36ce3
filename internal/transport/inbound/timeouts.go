package inbound

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Timeouts bound how long clients may take. Zero values stand for the defaults.
type Timeouts struct {
	// Header bounds the time from the first byte of a head to its end. It does not run while an
	// earlier request of the connection is served.
	Header clock.Millis
	// Idle bounds the time that a connection stays open without a request.
	Idle clock.Millis
}

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply while the operator has set none.
	defaultHeaderTimeout clock.Millis = 10_000
	defaultIdleTimeout   clock.Millis = 75_000
	// timeoutInterval is the time between two checks of the timeouts.
	timeoutInterval = 200 * time.Millisecond
	// A client has to send minBodyRate bytes a second of a body on average, over the time that the
	// server has waited for them; that is checked once it has waited for bodyWindow. The time
	// budgets of clients are shorter than the window.
	minBodyRate = 100
	bodyWindow  = 10 * time.Second
	// The same holds for the bytes of responses that a client takes. The window is longer, since
	// packets that are lost several times are sent again after some seconds.
	minReadRate = 100
	readWindow  = 30 * time.Second
)

// EnforceTimeouts closes connections whose clients take too long, until ctx ends. current is
// called for each check, so that a change is in force at once.
func (g *Guard) EnforceTimeouts(ctx context.Context, current func() Timeouts) {
	ticker := time.NewTicker(timeoutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.checkTimeouts(current())
		}
	}
}

func (g *Guard) checkTimeouts(t Timeouts) {
	header, idle := t.Header, t.Idle
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	now := time.Now()
	type candidate struct {
		account *Account
		limit   time.Duration
	}
	var unused []candidate
	var late, slow, reading []*Account
	g.mu.Lock()
	for _, accounts := range g.accounts {
		for a := range accounts {
			limit := idle
			if a.door.ownIdle {
				limit = defaultIdleTimeout
			}
			since := a.headSince.Load()
			if a.slowBody(now) {
				slow = append(slow, a)
			}
			if a.awaitsReader(now) {
				reading = append(reading, a)
			}
			switch {
			case a.door.frames || a.isServing():
			case since == 0:
				if a.stalled() > limit.Duration() {
					unused = append(unused, candidate{a, limit.Duration()})
				}
			case now.Sub(time.Unix(0, since)) > header.Duration():
				late = append(late, a)
			}
		}
	}
	g.mu.Unlock()
	// A process that was stopped or had no processor for some time finds what clients have sent in
	// time not read yet.
	for _, a := range late {
		if since := a.headSince.Load(); since != 0 && now.Sub(time.Unix(0, since)) > header.Duration() && !hasUnread(a.raw) {
			a.lateHead.Store(since)
			// Wakes the read that waits for the rest of the head.
			_ = a.raw.SetReadDeadline(now)
		}
	}
	for _, c := range unused {
		if !hasUnread(c.account.raw) && c.account.leaveIdle(c.limit) {
			g.closeLeaving(c.account, Idle)
		}
	}
	for _, a := range slow {
		g.close(a, SlowBody)
	}
	for _, a := range reading {
		// Connections without such a count are those of peers.
		if taken, err := acknowledged(a.raw); err == nil && a.slowReader(now, taken) {
			g.close(a, SlowReader)
		}
	}
}

func (a *Account) isServing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.serving
}

// bodyProgress is the progress of the body that a client sends.
type bodyProgress struct {
	// waitingSince is when the read that waits for more of the body began; zero if there is none.
	waitingSince time.Time
	// waited is the time that earlier reads have waited, and received what they have read.
	waited   time.Duration
	received int
}

// awaitBody is called before a read for more of a body.
func (a *Account) awaitBody() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodyProgress.waitingSince = now
}

// receiveBody is called after a read for more of a body. complete is true if it was the last one.
func (a *Account) receiveBody(n int, complete bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.bodyProgress
	p.waited += now.Sub(p.waitingSince)
	p.received += n
	p.waitingSince = time.Time{}
	if complete {
		*p = bodyProgress{}
	}
}

// slowBody reports whether the server waits for a body that arrives too slowly.
func (a *Account) slowBody(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.bodyProgress
	if p.waitingSince.IsZero() || p.waited+now.Sub(p.waitingSince) < bodyWindow {
		return false
	}
	slow := p.received < minBodyRate*int(bodyWindow/time.Second)
	*p = bodyProgress{waitingSince: now}
	return slow
}

// readProgress is the progress of a client that reads responses.
type readProgress struct {
	// waitingSince is when the write in progress began; zero if there is none. waited is the time
	// that earlier writes have taken.
	waitingSince time.Time
	waited       time.Duration
	// taken is what the client had acknowledged when the window began.
	taken int64
}

// awaitReader is called before a write.
func (a *Account) awaitReader() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readProgress.waitingSince = now
}

// endWrite is called after a write.
func (a *Account) endWrite() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.readProgress
	p.waited += now.Sub(p.waitingSince)
	p.waitingSince = time.Time{}
}

// awaitsReader reports whether a write is in progress, and writes have taken a window.
func (a *Account) awaitsReader(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.readProgress
	return !p.waitingSince.IsZero() && p.waited+now.Sub(p.waitingSince) >= readWindow
}

// slowReader begins the next window, and reports whether the client has taken too little in the
// last one.
func (a *Account) slowReader(now time.Time, taken int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.readProgress
	slow := taken-p.taken < minReadRate*int64(readWindow/time.Second)
	*p = readProgress{waitingSince: now, taken: taken}
	return slow
}

// acknowledged returns how many bytes the other end of a connection has acknowledged.
func acknowledged(c net.Conn) (int64, error) {
	var info *unix.TCPInfo
	err := withDescriptor(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return 0, err
	}
	return int64(info.Bytes_acked), nil
}

// hasUnread reports whether bytes have arrived on a connection that were not read yet. It returns
// false if that cannot be told.
func hasUnread(c net.Conn) bool {
	unread := 0
	err := withDescriptor(c, func(fd int) (err error) {
		unread, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	return err == nil && unread > 0
}

// withDescriptor calls f with the descriptor of a connection.
func withDescriptor(c net.Conn, f func(fd int) error) error {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = control.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return errors.Join(err, callErr)
}

// leaveIdle is like leave if the connection has been idle for longer than limit. No request that
// arrives later is handed over.
func (a *Account) leaveIdle(limit time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.serving && a.stalled() > limit && a.leaveLocked()
}

// followHead keeps since when a head is being read.
func (a *Account) followHead(inside bool) {
	if !inside {
		a.headSince.Store(0)
	} else if a.headSince.Load() == 0 {
		a.headSince.Store(time.Now().UnixNano())
	}
}

// isLate reports whether the head that is being read has taken too long.
func (a *Account) isLate() bool {
	late := a.lateHead.Load()
	return late != 0 && late == a.headSince.Load()
}

// readInTime reads from the connection, and goes on if the read was woken for a head that is not
// late any more.
func (c *conn) readInTime(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.account.lateHead.Load() == 0 {
			return n, err
		}
		late := c.account.isLate()
		c.account.lateHead.Store(0)
		c.deadlineMu.Lock()
		deadline := c.deadline
		err = c.Conn.SetReadDeadline(deadline)
		c.deadlineMu.Unlock()
		if late {
			return 0, errLateHead
		}
		if err != nil || !deadline.IsZero() && !time.Now().Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

var errLateHead = errors.New("the head was not complete in time")

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// responseEnd is what the response of net/http to a malformed head ends with. Responses of
// handlers have a date or a length.
var responseEnd = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n400 Bad Request")

var lateResponse = []byte("HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n408 Request Timeout")

// replaceLate returns what is written in place of b. net/http has no response to a head that
// takes too long, so it gets a malformed one, and its response is replaced.
func (c *conn) replaceLate(b []byte) []byte {
	if c.late.Load() && bytes.HasPrefix(b, []byte("HTTP/1.1 400 ")) && bytes.HasSuffix(b, responseEnd) {
		return lateResponse
	}
	return b
}
