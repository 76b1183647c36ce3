// Package pipeline serves callers that send further requests before the first one is
// answered.
//
// net/http serves the requests of a connection one after the other, and does not notice
// that a caller has left while further requests of it are buffered. A Server puts itself
// between the connections and net/http: it reads ahead, hands over one request at a time,
// and runs requests that wait in line side by side with the first one if the handler allows
// it. net/http still reads each request and writes each response, in the order of the
// requests; the response of a request that ran ahead is kept until its turn.
//
// Requests run ahead only while all requests before them may be repeated, so that no
// request overtakes one with an effect. A caller whose connection ends is noticed at once,
// and all of its requests are cancelled. Times of requests that waited in line count from
// their arrival.
//
// # Usage
//
//	p := pipeline.New(pipeline.Options{Handler: ingress, MayRunAhead: ingress.MayRunAhead, Clock: clock.System()})
//	s := &http.Server{Handler: p, ConnContext: p.ConnContext, DisableGeneralOptionsHandler: true}
//	err := s.Serve(p.Listener(l))
package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentiansail/gentiansail/internal/transport/inbound"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// maxAheadPerConnection bounds the requests of one connection that run ahead of the first
	// one, and maxAhead those of all connections.
	maxAheadPerConnection = 6
	maxAhead              = 128
	// maxBufferedRequests bounds the bytes that are read ahead on one connection, and
	// maxBufferedResponse those of a response that waits for its turn. A response that is
	// longer waits for its turn with the rest.
	maxBufferedRequests = 16 << 10
	maxBufferedResponse = 64 << 10
	// minReadSize and maxReadSize bound the size of one read from a connection. Most requests
	// are short, and most connections idle.
	minReadSize = 1 << 10
	maxReadSize = 8 << 10
	// maxLine bounds the requests of one connection that are parsed and not handed over. A
	// parsed request costs many times its bytes.
	maxLine = maxAheadPerConnection + 1
	// maxReads bounds the reads of one connection whose times are kept.
	maxReads = 16
	// bufferCost accounts for a buffer that grows by doubling.
	bufferCost = 2
	// maxLength bounds the length of a body whose end is computed, far from an overflow.
	maxLength = 1 << 60
)

// Options configure a Server.
type Options struct {
	Handler http.Handler
	// MayRunAhead reports whether a request without a body may run before the requests in
	// front of it are answered.
	MayRunAhead func(*http.Request) bool
	Clock       clock.Clock
}

// Server is an http.Handler that serves the requests of the connections of its listener.
type Server struct {
	options Options
	// ahead counts the requests that run ahead or whose responses wait for their turn.
	ahead atomic.Int64
	// buffered counts the bytes that were read and not handed over.
	buffered atomic.Int64
}

// New returns a Server.
func New(options Options) *Server { return &Server{options: options} }

// Ahead returns the number of requests that run ahead, or whose responses wait for their
// turn.
func (s *Server) Ahead() int { return int(s.ahead.Load()) }

// Buffered returns the number of bytes of requests that wait in line.
func (s *Server) Buffered() int { return int(s.buffered.Load()) }

type contextKey int

const (
	connKey contextKey = iota
	arrivalKey
)

// ConnContext is the hook of the http.Server.
func (s *Server) ConnContext(ctx context.Context, c net.Conn) context.Context {
	pc, ok := c.(*conn)
	if !ok {
		return ctx
	}
	ctx, pc.cancel = context.WithCancel(ctx)
	pc.ctx = ctx
	go pc.readAhead()
	return context.WithValue(ctx, connKey, pc)
}

// Arrival returns when the request of a context arrived, if it waited in line.
func Arrival(ctx context.Context) (clock.Millis, bool) {
	at, ok := ctx.Value(arrivalKey).(clock.Millis)
	return at, ok
}

// Listener returns a listener whose connections read ahead.
func (s *Server) Listener(l net.Listener) net.Listener { return &listener{Listener: l, server: s} }

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, server: l.server, account: inbound.AccountOf(raw), changed: make(chan struct{}), cancel: func() {}}, nil
}

// waiting is a request that was read from a connection and was not handed over yet.
type waiting struct {
	// length is the number of bytes of the request, with its body.
	length  int
	arrival clock.Millis
	// request is nil as long as nothing depends on what the request is. header are its bytes
	// then; it has no body.
	request *http.Request
	header  []byte
	// ahead is set if the request runs ahead. taken is true once ServeHTTP passes the response
	// on.
	ahead *response
	taken bool
	// cost is what is held for the parsed request.
	cost int32
}

// readTime is when the bytes before end were read.
type readTime struct {
	end int
	at  clock.Millis
}

// conn is a connection of a caller. Read hands over the bytes of one request, and blocks
// until that has been served.
type conn struct {
	net.Conn
	server *Server
	// account is nil if the listener does not limit connections.
	account *inbound.Account
	ctx     context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// changed is closed and replaced when a Read may continue.
	changed  chan struct{}
	deadline time.Time
	// buffered are bytes that were read and not handed over. parsed is how many of them belong
	// to requests in line.
	buffered []byte
	parsed   int
	line     []*waiting
	// reads are the times of the buffered bytes.
	reads []readTime
	// current is the request that is being handed over or served; nil if there is none. rest
	// is how many of its bytes have not been handed over.
	current *waiting
	rest    int
	// raw is true once the ends of requests can no longer be told. All bytes are then handed
	// over as they are.
	raw    bool
	closed bool
	err    error
}

// wake wakes all that wait for a change. The caller must hold c.mu.
func (c *conn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// readAhead reads from the connection until it ends.
func (c *conn) readAhead() {
	b, room := make([]byte, minReadSize), maxBufferedRequests
	for {
		n, err := c.Conn.Read(b[:min(len(b), room)])
		c.account.AwaitParse(b[:n])
		c.mu.Lock()
		if !c.closed {
			c.append(b[:n])
		}
		if err != nil {
			c.err = err
		} else {
			c.parse()
		}
		c.wake()
		c.mu.Unlock()
		if err != nil {
			// The caller has left. What it still waits for is cancelled.
			c.cancel()
			return
		}
		if room = c.awaitRoom(); room == 0 {
			c.mu.Lock()
			if c.err == nil {
				c.err = net.ErrClosed
			}
			c.wake()
			c.mu.Unlock()
			return
		}
		if n == len(b) && n < maxReadSize {
			b = make([]byte, 2*n)
		}
	}
}

// append adds bytes that were read. The caller must hold c.mu.
func (c *conn) append(b []byte) {
	c.buffered = append(c.buffered, b...)
	c.server.buffered.Add(int64(len(b)))
	c.account.Hold(int64(len(b)) * bufferCost)
	now := c.server.options.Clock.Now()
	if last := len(c.reads) - 1; last >= 0 && (c.reads[last].at == now || len(c.reads) == maxReads) {
		c.reads[last].end = len(c.buffered)
		return
	}
	c.reads = append(c.reads, readTime{len(c.buffered), now})
}

// arrival returns when the buffered bytes before end had been read. The caller must hold
// c.mu.
func (c *conn) arrival(end int) clock.Millis {
	for _, r := range c.reads {
		if r.end >= end {
			return r.at
		}
	}
	return c.server.options.Clock.Now()
}

// discard removes n buffered bytes that were handed over. The caller must hold c.mu.
func (c *conn) discard(n int) {
	c.buffered = c.buffered[n:]
	c.server.buffered.Add(int64(-n))
	c.account.Hold(int64(-n) * bufferCost)
	c.parsed = max(c.parsed-n, 0)
	kept := c.reads[:0]
	for _, r := range c.reads {
		if r.end -= n; r.end > 0 {
			kept = append(kept, r)
		}
	}
	c.reads = kept
	if len(c.buffered) == 0 {
		c.buffered = nil
	}
}

// awaitRoom waits until more may be read ahead, and returns how much; 0 if the connection
// has been closed.
func (c *conn) awaitRoom() int {
	for {
		c.mu.Lock()
		room, changed := maxBufferedRequests-len(c.buffered), c.changed
		c.mu.Unlock()
		if room > 0 {
			return room
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return 0
		}
	}
}

// parse finds the requests in the buffered bytes, with the parser of net/http. The caller
// must hold c.mu.
func (c *conn) parse() {
	for !c.raw && c.parsed < len(c.buffered) && len(c.line) < maxLine {
		rest := c.buffered[c.parsed:]
		if !bytes.Contains(rest, []byte("\n\r\n")) && !bytes.Contains(rest, []byte("\n\n")) {
			c.raw = len(rest) >= maxBufferedRequests
			break
		}
		if c.current == nil && len(c.line) == 0 && isSingleHeader(rest) {
			c.line = append(c.line, &waiting{length: len(rest), arrival: c.arrival(c.parsed + len(rest)), header: rest})
			c.parsed += len(rest)
			return
		}
		if c.account.Closed() {
			break
		}
		r, header, err := parseRequest(rest)
		if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			break
		}
		if err != nil || r.ContentLength < 0 || r.ContentLength > maxLength {
			c.raw = true // an invalid request, or a body of unknown length
			break
		}
		w := &waiting{length: header + int(r.ContentLength), arrival: c.arrival(c.parsed + header + int(r.ContentLength)), request: r, cost: int32(inbound.HeadCost(rest[:header]))}
		c.line = append(c.line, w)
		c.account.Hold(int64(w.cost))
		c.parsed += w.length
	}
	c.runAhead()
}

// isSingleHeader reports whether bytes are one request without a body and nothing else, as
// far as that can be told without parsing it. Such a request is parsed only if another one
// arrives before it is answered.
func isSingleHeader(b []byte) bool {
	end := []byte("\r\n\r\n")
	// net/http takes lines that end without CR as well.
	if !bytes.HasSuffix(b, end) || bytes.Index(b, []byte("\n\r\n")) < len(b)-len("\n\r\n") || bytes.Contains(b, []byte("\n\n")) {
		return false
	}
	if !bytes.HasPrefix(b, []byte(http.MethodGet+" ")) && !bytes.HasPrefix(b, []byte(http.MethodHead+" ")) {
		return false
	}
	lower := bytes.ToLower(b)
	return !bytes.Contains(lower, []byte("content-length")) && !bytes.Contains(lower, []byte("transfer-encoding"))
}

// readers are kept for reuse, since each request of a caller needs one for a moment.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parseRequest returns the first request in b and the length of its header.
func parseRequest(b []byte) (*http.Request, int, error) {
	source := bytes.NewReader(b)
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
	reader.Reset(source)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, 0, err
	}
	// The body is handed over to net/http, and is not read here.
	r.Body = http.NoBody
	return r, len(b) - source.Len() - reader.Buffered(), nil
}

// runAhead runs requests in line as long as all before them may be repeated. The caller must
// hold c.mu.
func (c *conn) runAhead() {
	if len(c.line) == 0 || len(c.line) == 1 && c.current == nil || c.err != nil || c.current != nil && !c.mayPass(c.current) {
		return
	}
	for i, w := range c.line {
		if i >= maxAheadPerConnection || !c.mayPass(w) {
			return
		}
		front := i == 0 && c.current == nil // is handed over without delay
		if w.ahead != nil || front {
			continue
		}
		if c.server.ahead.Add(1) > maxAhead {
			c.server.ahead.Add(-1)
			return
		}
		w.ahead = newResponse()
		go w.ahead.run(c.server.options.Handler, w.request.WithContext(c.ctx))
	}
}

// mayPass reports whether a request may run beside others of its connection.
func (c *conn) mayPass(w *waiting) bool {
	if w.request == nil {
		var err error
		if w.request, _, err = parseRequest(w.header); err != nil {
			return false // net/http rejects it and closes the connection
		}
	}
	return w.request.ContentLength == 0 && !w.request.Close && c.server.options.MayRunAhead(w.request)
}

// Read implements net.Conn. It hands over the next request when the one before has been
// served.
func (c *conn) Read(b []byte) (int, error) {
	for {
		c.mu.Lock()
		n, err := c.take(b)
		head, known := c.headPart(n)
		changed, deadline := c.changed, c.deadline
		c.mu.Unlock()
		if known {
			c.account.ReadRequest(b[:head], b[head:n])
		} else {
			c.account.Read(b[:n])
		}
		if c.account.Closed() {
			return 0, net.ErrClosed // so that nothing is parsed
		}
		if n > 0 || err != nil {
			return n, err
		}
		if !await(changed, deadline) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// await waits for a change. It returns false if the deadline passes first.
func await(changed <-chan struct{}, deadline time.Time) bool {
	if deadline.IsZero() {
		<-changed
		return true
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	}
}

// take hands over bytes of the current request. The caller must hold c.mu.
func (c *conn) take(b []byte) (int, error) {
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	if c.current == nil && c.err != nil {
		return 0, c.err // the caller has left, even if requests of it are in line
	}
	if c.current == nil && len(c.line) > 0 {
		c.current, c.line = c.line[0], c.line[1:]
		c.rest = c.current.length
		c.parse()
	}
	available := 0
	switch {
	case c.current != nil:
		available = min(c.rest, len(c.buffered))
	case c.raw:
		available = len(c.buffered)
	}
	if available == 0 {
		return 0, c.err
	}
	n := copy(b, c.buffered[:available])
	c.discard(n)
	if c.current != nil {
		c.rest -= n
	}
	c.wake()
	return n, nil
}

// headPart returns how many of the n bytes that were handed over last belong to the head of
// the current request; ok is false if that is not known. The caller must hold c.mu.
func (c *conn) headPart(n int) (head int, ok bool) {
	if c.current == nil {
		return 0, false
	}
	length := c.current.length
	if c.current.request != nil {
		length -= int(c.current.request.ContentLength)
	}
	return min(max(length-(c.current.length-c.rest-n), 0), n), true
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.wake()
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.Conn.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
	c.server.buffered.Add(int64(-len(c.buffered)))
	c.buffered, c.reads, c.parsed, c.closed = nil, nil, 0, true
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.wake()
	return c.Conn.Close()
}

// drop gives up the responses that nobody passes on: those of requests in line, and that of
// a request that was handed over while net/http was about to close the connection. The
// caller must hold c.mu.
func (c *conn) drop() {
	if c.current != nil && !c.current.taken {
		c.line = append(c.line, c.current)
		c.current = nil
	}
	for _, w := range c.line {
		c.account.Hold(-int64(w.cost))
		if w.ahead != nil {
			c.server.ahead.Add(-1)
		}
	}
	c.line = nil
}

// Account returns the account of the connection, or nil.
func (c *conn) Account() *inbound.Account { return c.account }

// SetLinger sets how the connection ends when it is closed, as in net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite closes the sending direction. net/http does so before it closes a connection
// on which the caller may still be sending.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// served allows the next request to be handed over.
func (c *conn) served() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.account.Hold(-int64(c.current.cost))
	}
	if c.rest == 0 {
		c.current = nil
	} else {
		// The rest of a body that the handler did not read. net/http reads or closes it.
		c.raw, c.current = true, nil
		c.drop()
	}
	c.wake()
}

// hasAhead reports whether the next request has been passed on.
func (c *conn) hasAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.line) > 0 && c.line[0].ahead != nil
}

// ServeHTTP implements http.Handler. It serves the request that was handed over last.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey).(*conn)
	if !ok {
		s.options.Handler.ServeHTTP(w, r)
		return
	}
	defer c.served()
	c.mu.Lock()
	current := c.current
	if current != nil {
		current.taken = true
	}
	c.mu.Unlock()
	w = &keepAliveWriter{ResponseWriter: w, conn: c}
	if current == nil {
		s.options.Handler.ServeHTTP(w, r)
		return
	}
	if current.ahead != nil {
		defer s.ahead.Add(-1)
		current.ahead.writeTo(r.Context(), w)
		return
	}
	if s.options.Clock.Now() > current.arrival {
		r = r.WithContext(context.WithValue(r.Context(), arrivalKey, current.arrival))
	}
	s.options.Handler.ServeHTTP(w, r)
}

// keepAliveWriter keeps the connection open while the next request on it has been passed on
// already: its caller would never get the response.
type keepAliveWriter struct {
	http.ResponseWriter
	conn        *conn
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *keepAliveWriter) WriteHeader(status int) {
	if !w.wroteHeader && w.conn.hasAhead() {
		w.Header().Del("Connection")
	}
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *keepAliveWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer for http.ResponseController.
func (w *keepAliveWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
