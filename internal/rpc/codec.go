package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxFrameBytes bounds a message. It exceeds the largest message, which is a
// snapshot of the log. A longer frame means that the stream is damaged or not of
// this protocol.
const maxFrameBytes = 64 << 20

// frameCodec writes JSON objects after their length as a big-endian uint32, so that
// a reader can reject an object that is too long before reading it.
type frameCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxFrameBytes {
		return merry.Wrap(ErrFrame, merry.AppendMessagef("message has %d bytes, maximum is %d", len(data), maxFrameBytes))
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
		return merry.Wrap(ErrFrame, merry.AppendMessagef("frame length is %d bytes, want 1 to %d", n, maxFrameBytes))
	}
	// ReadAll allocates memory only as bytes arrive, so a wrong length does not
	// allocate a large buffer.
	data, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return err
	}
	if len(data) < int(n) {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}
