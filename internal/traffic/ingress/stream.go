package ingress

import (
	"errors"
	"io"
	"sync"
)

// errAttemptEnded is what the body of an attempt returns once the attempt has ended.
var errAttemptEnded = errors.New("the attempt that this body belongs to has ended")

// bodyStream is the part of a long body that is not in memory. It can be read once, so the
// request can be sent again only as long as no attempt has read from it. The connection of an
// attempt may go on reading after the attempt has its result.
type bodyStream struct {
	source io.Reader

	mu sync.Mutex
	// attempt is the number of the attempt that may read, taken is true once one has.
	attempt int
	taken   bool
}

// reader returns the stream for the current attempt.
func (s *bodyStream) reader() io.Reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return attemptReader{s, s.attempt}
}

// endAttempt keeps the current attempt from reading any more. It reports whether the stream is
// untouched, so that another attempt can send the whole body.
func (s *bodyStream) endAttempt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt++
	return !s.taken
}

// take records that an attempt reads. It returns false if the attempt has ended.
func (s *bodyStream) take(attempt int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = s.taken || attempt == s.attempt
	return attempt == s.attempt
}

// attemptReader is a bodyStream as one attempt reads it.
type attemptReader struct {
	stream  *bodyStream
	attempt int
}

// Read implements io.Reader.
func (r attemptReader) Read(b []byte) (int, error) {
	if !r.stream.take(r.attempt) {
		return 0, errAttemptEnded
	}
	return r.stream.source.Read(b)
}
