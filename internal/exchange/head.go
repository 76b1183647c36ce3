package exchange

import (
	"bytes"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/header"
)

var errTransferEncodingInHTTP10 = merry.Sentinel("HTTP/1.0 response with Transfer-Encoding")

var errInvalidFieldName = merry.Sentinel("field name of a response is not valid")

// headScanner checks the field names in the head of a response as its bytes arrive.
//
// http.ReadResponse accepts blanks in a name, and does not take "Content-Length :" or
// "Transfer-Encoding :" for the fields that other parsers take them for. It also joins a line
// that begins with a blank to the line before, which RFC 9112 (section 5.2) lets a gateway
// reject. Body and next response could then begin elsewhere than the server means. The scanner
// sees the bytes before http.ReadResponse does, because folded lines and the Transfer-Encoding of
// HTTP/1.0 are gone from the result.
type headScanner struct {
	state headState
	// err is why the head is not valid. Reads return it until the next request, because
	// net/textproto ignores some errors of a read.
	err error
	// matched is how many bytes of transferEncoding the current name begins with, -1 if it
	// differs from that.
	matched int
	// hasTransferEncoding is true once the head has that field.
	hasTransferEncoding bool
}

// transferEncoding is the name of a field in lower case.
const transferEncoding = "transfer-encoding"

type headState int8

const (
	outsideHead headState = iota
	inStatusLine
	atLineStart
	inEmptyLine // after its CR
	inFieldName
	inFieldValue
)

// scan takes the next bytes of a connection. It ignores those outside of a head. After an error
// it returns the same error again.
func (s *headScanner) scan(b []byte) error {
	for i := 0; i < len(b) && s.state != outsideHead && s.err == nil; i++ {
		c := b[i]
		switch s.state {
		case inStatusLine, inFieldValue:
			end := bytes.IndexByte(b[i:], '\n')
			if end < 0 {
				return nil
			}
			i += end
			s.state = atLineStart
		case atLineStart:
			switch {
			case c == '\n':
				s.state = outsideHead
			case c == '\r':
				s.state = inEmptyLine
			default:
				s.state, s.matched = inFieldName, 0
				s.takeNameByte(c)
			}
		case inEmptyLine:
			if c == '\n' {
				s.state = outsideHead
			} else {
				s.takeNameByte('\r') // no empty line, but a name that begins with CR
			}
		case inFieldName:
			if c != ':' {
				s.takeNameByte(c)
				continue
			}
			s.state = inFieldValue
			s.hasTransferEncoding = s.hasTransferEncoding || s.matched == len(transferEncoding)
		}
	}
	return s.err
}

// takeNameByte takes the next byte of a field name.
func (s *headScanner) takeNameByte(c byte) {
	if !header.IsNameByte(c) {
		s.err = merry.Wrap(errInvalidFieldName, merry.AppendMessagef("it holds %q", c))
	}
	if c >= 'A' && c <= 'Z' {
		c += 'a' - 'A'
	}
	if s.matched >= 0 && s.matched < len(transferEncoding) && c == transferEncoding[s.matched] {
		s.matched++
	} else {
		s.matched = -1
	}
}

// beginHead makes the connection check the field names of the head that follows.
func (c *conn) beginHead() error {
	c.head = headScanner{state: inStatusLine}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.head.scan(buffered)
}

// trailerChecker is a response body that fails at its end if the name of a trailer field is
// not valid.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b trailerChecker) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name, values := range b.response.Trailer {
		// The values of a field that was only announced are nil.
		if values != nil && !header.IsName(name) {
			return n, merry.Wrap(errInvalidFieldName, merry.AppendMessagef("trailer field %q", name))
		}
	}
	return n, io.EOF
}
