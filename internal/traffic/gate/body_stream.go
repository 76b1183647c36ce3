package gate

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// maxDrainedBody and drainTime bound how much of a body is read, and for how long, after
	// its request has a response. If the connection were closed at once, bytes that are on their
	// way would reset it, and the response could be lost.
	maxDrainedBody              = 256 << 10
	drainTime      clock.Millis = 500
)

// errAttemptEnded is what the body of an attempt returns once the attempt has ended.
var errAttemptEnded = errors.New("the attempt that this body belongs to has ended")

// BodyStream is the part of a request body that is not in memory. It can be read once, so the
// request can be sent again only as long as no attempt has read from it.
//
// The connection of an attempt may go on reading after the attempt has its result. net/http
// neither allows that once a handler has returned, nor notices that the rest of the body is
// still due: it would take that for the next request. So a handler of a request with a
// BodyStream writes its response within Serve, and adds SetHeader to its header.
type BodyStream struct {
	source io.Reader

	mu sync.Mutex
	// attempt is the number of the attempt that may read, taken is true once one has.
	attempt int
	taken   bool
	// complete is true once the end of the body has been read.
	complete bool
}

// NewBodyStream returns a stream of the body of a request that a server has read.
func NewBodyStream(source io.Reader) *BodyStream { return &BodyStream{source: source} }

// Reader returns the stream for the current attempt.
func (s *BodyStream) Reader() io.Reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return attemptReader{s, s.attempt}
}

// EndAttempt keeps the current attempt from reading any more. It reports whether the stream is
// untouched, so that another attempt can send the whole body.
func (s *BodyStream) EndAttempt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt++
	return !s.taken
}

// SetHeader makes the connection end with the response if a part of the body is still due.
// It does nothing if s is nil.
func (s *BodyStream) SetHeader(h http.Header) {
	if s != nil && !s.isComplete() {
		h.Set("Connection", "close")
	}
}

// Serve calls respond, which writes the response, and returns once nothing reads from the
// body any more. If s is nil, it only calls respond.
func (s *BodyStream) Serve(w http.ResponseWriter, respond func()) {
	if s == nil {
		respond()
		return
	}
	written := false
	defer func() {
		if !written {
			// respond has panicked to abort the connection. net/http reads the rest of the body
			// before it closes that, so the caller would not notice until it has sent the rest.
			s.skipRest(w, 0)
		}
	}()
	respond()
	written = true
	if !s.isComplete() {
		// An error means that the connection has ended, and so does reading.
		_ = http.NewResponseController(w).Flush()
	}
	s.skipRest(w, drainTime)
}

// skipRest ends the current attempt and skips the rest of the body for a time. After that,
// nothing can be read from the connection.
func (s *BodyStream) skipRest(w http.ResponseWriter, limit clock.Millis) {
	s.EndAttempt()
	if s.isComplete() {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit.Duration()))
	_, _ = io.CopyN(io.Discard, s.source, maxDrainedBody)
}

func (s *BodyStream) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// take records that an attempt reads. It returns false if the attempt has ended.
func (s *BodyStream) take(attempt int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = s.taken || attempt == s.attempt
	return attempt == s.attempt
}

// attemptReader is a BodyStream as one attempt reads it.
type attemptReader struct {
	stream  *BodyStream
	attempt int
}

// Read implements io.Reader.
func (r attemptReader) Read(b []byte) (int, error) {
	s := r.stream
	if !s.take(r.attempt) {
		return 0, errAttemptEnded
	}
	n, err := s.source.Read(b)
	if err == io.EOF {
		s.mu.Lock()
		s.complete = true
		s.mu.Unlock()
	}
	return n, err
}
