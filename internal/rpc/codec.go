package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxFrameBytes bounds a message. A snapshot of the log is the largest message;
// anything longer is a damaged or foreign stream.
const maxFrameBytes = 64 << 20

// frameCodec frames JSON objects with a length of four bytes, big endian, so
// that a reader can refuse an oversized object before it reads it.
type frameCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxFrameBytes {
		return merry.Wrap(ErrFrame, merry.AppendMessagef("%d bytes to send, at most %d", len(data), maxFrameBytes))
	}
	frame := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (frameCodec) ReadObject(r *bufio.Reader, v any) error {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n == 0 || n > maxFrameBytes {
		return merry.Wrap(ErrFrame, merry.AppendMessagef("%d bytes announced, at most %d", n, maxFrameBytes))
	}
	// LimitReader grows with the bytes that arrive, so a false length does not
	// reserve memory.
	data, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return err
	}
	if len(data) < int(n) {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}
