package inbound

import (
	"bytes"
	"encoding/binary"
	"strconv"

	"github.com/gentiansail/gentiansail/internal/header"
)

// framer follows the bytes of a connection from request to request, in front of net/http. net/http
// accepts some requests whose end other servers see elsewhere, such as one with a length and in
// chunks, and does not tell its handler about them. A framer finds the first byte that makes a
// request malformed, so that the rest of it is never handed over.
//
// Where it accepts more than net/http, that rejects the request and closes the connection.
type framer struct {
	state framerState
	// line is the beginning of the current line of a head or trailer, size the line's length
	// without its end, and name that of its field name; 0 before the colon.
	line       [maxFramingLine]byte
	size, name int
	// request is true once the request line has been read, cr if the last byte was CR.
	request, cr bool
	// version are the last bytes of the request line.
	version uint64
	// length is that of the body if hasLength. chunked and unsupported tell of the transfer coding.
	length                          int64
	hasLength, chunked, unsupported bool
	// expects is true while the client may wait for a 100 response before it sends the body.
	expects bool
	// rest is how many bytes of the body or of the chunk follow, or the size of the chunk as far as
	// it has been read. digits counts the digits of that.
	rest   int64
	digits int
}

type framerState int8

const (
	inHead framerState = iota
	inBody
	inChunkSize
	inChunkExtension
	inChunk
	inChunkEnd
	inTrailer
	// afterUnsupported follows a head that net/http rejects with 501.
	afterUnsupported
)

const (
	// maxFramingLine bounds the lines with the length or transfer coding of a body. White space
	// can make them longer, which clients do not do.
	maxFramingLine = 64
	// maxChunkDigits bounds the size of a chunk, far from an overflow.
	maxChunkDigits = 15
)

// version11 is what the request line of a request with a transfer coding ends with.
var version11 = binary.BigEndian.Uint64([]byte("HTTP/1.1"))

// malformed is handed over in place of the rest of a malformed request. In a head, in the frame of a
// chunk, and in a trailer, net/http rejects the request because of these bytes.
var malformed = []byte("\r\x00\r\n\x00\r\n\r\n")

// follow returns how many bytes of b may be handed over. If they are fewer than len(b), the next
// one makes the request malformed, and the framer must not be used any more.
func (f *framer) follow(b []byte) int {
	for i := 0; i < len(b); {
		if f.state != inHead {
			f.expects = false
		}
		if f.state != inBody && f.state != inChunk {
			if !f.step(b[i]) {
				return i
			}
			i++
			continue
		}
		n := min(int64(len(b)-i), f.rest)
		i += int(n)
		if f.rest -= n; f.rest > 0 {
			continue
		}
		if f.state == inBody {
			*f = framer{}
		} else {
			f.state = inChunkEnd
		}
	}
	return len(b)
}

// insideHead reports whether a head has begun and is not complete.
func (f *framer) insideHead() bool { return f.state == inHead && (f.request || f.cr || f.size > 0) }

// insideBody reports whether the client has to send more of a body.
func (f *framer) insideBody() bool {
	return f.state != inHead && f.state != afterUnsupported && !f.expects
}

// step takes one byte outside of bodies. It returns false if the byte is malformed.
func (f *framer) step(c byte) bool {
	if f.state == afterUnsupported {
		return false
	}
	if f.cr {
		f.cr = false
		return c == '\n' && f.endLine()
	}
	if c == '\r' {
		f.cr = true
		return true
	}
	if c < ' ' && c != '\t' || c == 0x7f {
		return false
	}
	switch f.state {
	case inHead, inTrailer:
		return f.stepLine(c)
	case inChunkSize:
		digit := bytes.IndexByte([]byte("0123456789abcdef"), c|0x20)
		switch {
		case c >= '0' && digit >= 0:
			f.rest = f.rest<<4 | int64(digit)
			f.digits++
			return f.digits <= maxChunkDigits
		case c == ';' || c == ' ' || c == '\t':
			f.state = inChunkExtension
			return f.digits > 0
		}
		return false
	case inChunkExtension:
		return true
	}
	return false // in place of the end of a chunk
}

// stepLine takes one byte of a line of a head or trailer.
func (f *framer) stepLine(c byte) bool {
	switch {
	case !f.request:
		f.version = f.version<<8 | uint64(c)
	case f.name > 0:
	case c == ':':
		f.name = f.size
		if f.size == 0 {
			return false
		}
	case !header.IsNameByte(c): // also white space at the beginning of a line or before the colon
		return false
	}
	if f.size < len(f.line) {
		f.line[f.size] = c
	}
	f.size++
	return true
}

// endLine takes the end of a line. It returns false if the line is malformed.
func (f *framer) endLine() bool {
	size, name := f.size, f.name
	f.size, f.name = 0, 0
	switch f.state {
	case inHead:
		switch {
		case !f.request:
			f.request = true
			return size > 0
		case size == 0:
			return f.endHead()
		}
		return name > 0 && f.readField(size, name)
	case inTrailer:
		if size == 0 {
			*f = framer{}
			return true
		}
		return name > 0
	case inChunkSize, inChunkExtension:
		if f.digits == 0 {
			return false
		}
		f.digits, f.state = 0, inChunk
		if f.rest == 0 {
			f.state = inTrailer
		}
	case inChunkEnd:
		f.state = inChunkSize
	}
	return true
}

// endHead takes the end of a head.
func (f *framer) endHead() bool {
	if (f.chunked || f.unsupported) && (f.hasLength || f.version != version11) {
		return false
	}
	f.rest = f.length
	switch {
	case f.unsupported:
		f.state = afterUnsupported
	case f.chunked:
		f.state = inChunkSize
	case f.rest > 0:
		f.state = inBody
	default:
		*f = framer{}
	}
	return true
}

// readField reads a field if it tells where the body ends.
func (f *framer) readField(size, nameSize int) bool {
	name := f.line[:min(nameSize, len(f.line))]
	isLength := bytes.EqualFold(name, []byte("Content-Length"))
	f.expects = f.expects || bytes.EqualFold(name, []byte("Expect"))
	if !isLength && !bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return true
	}
	if size > len(f.line) {
		return false
	}
	value := bytes.Trim(f.line[nameSize+1:size], " \t")
	if isLength {
		for _, c := range value {
			if c < '0' || c > '9' {
				return false
			}
		}
		length, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || f.hasLength && length != f.length {
			return false
		}
		f.length, f.hasLength = length, true
		return true
	}
	exact := string(value) == "chunked"
	if !exact && bytes.EqualFold(value, []byte("chunked")) {
		return false // servers differ in whether they compare the case
	}
	f.unsupported = f.unsupported || f.chunked || !exact
	f.chunked = true
	return true
}
