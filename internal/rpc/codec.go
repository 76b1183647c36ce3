package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/transport/inbound"
)

// maxFrameBytes bounds a message. It exceeds the largest message, which is a
// snapshot of the log. A longer frame means that the stream is damaged or not of
// this protocol.
const maxFrameBytes = 64 << 20

// frameCodec writes JSON objects after their length as a big-endian uint32, so that
// a reader can reject an object that is too long before reading it.
type frameCodec struct {
	// account, if not nil, is charged with frames that have not arrived whole.
	account *inbound.Account
}

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
func (f frameCodec) ReadObject(r *bufio.Reader, v any) error {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n == 0 || n > maxFrameBytes {
		return merry.Wrap(ErrFrame, merry.AppendMessagef("frame length is %d bytes, want 1 to %d", n, maxFrameBytes))
	}
	// ReadFrom allocates memory only as bytes arrive, so a wrong length does not
	// allocate a large buffer.
	counted := &countingReader{r: io.LimitReader(r, int64(n)), account: f.account}
	defer func() { f.account.Hold(-counted.held) }()
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(counted); err != nil {
		return err
	}
	data := buffer.Bytes()
	if len(data) < int(n) {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}

// countingReader charges what has been read to the account of the connection.
type countingReader struct {
	r       io.Reader
	account *inbound.Account
	held    int64
}

// growthCost accounts for a buffer that grows by doubling.
const growthCost = 2

// Read implements io.Reader.
func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.held += int64(n) * growthCost
	c.account.ReadPart(int64(n) * growthCost)
	return n, err
}
