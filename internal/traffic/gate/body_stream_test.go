package gate

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an ended attempt whose connection still reads bytes of the body that belong
// to the next attempt.
func TestEndedAttemptReadsNothing(t *testing.T) {
	s := NewBodyStream(strings.NewReader("rest"))
	ended := s.Reader()
	qt.Assert(t, s.EndAttempt(), qt.IsTrue)
	next := s.Reader()
	_, err := ended.Read(make([]byte, 1))
	qt.Assert(t, errors.Is(err, errAttemptEnded), qt.IsTrue)
	got, err := io.ReadAll(next)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, "rest")
	qt.Assert(t, s.EndAttempt(), qt.IsFalse)
}
