// Package delta compresses long changes of the published state.
//
// The links of hosts may be slow. A link of 2 Mbit/s carries 250 KB per second, and two
// thousand new routes take half a megabyte for each sidecar. Uncompressed, that would take
// longer than the time within which a deployment requires a change to be in force. Routes
// are similar to each other, so they compress to about a tenth.
//
// # Usage
//
//	reply, err := delta.Pack(reply)   // at the core
//	reply, err = delta.Unpack(reply)  // at a sidecar
package delta

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// ErrCorrupt means that a packed reply cannot be decoded.
var ErrCorrupt = merry.Sentinel("cannot decode packed change")

const (
	// packThresholdBytes is the length of items above which compressing saves bytes.
	packThresholdBytes = 2 << 10
	// maxUnpackedBytes bounds the length of the decompressed content.
	maxUnpackedBytes = 64 << 20
)

// content is the part of a reply that is compressed.
type content struct {
	Items   []message.Item
	Removed []string
}

// Pack returns the reply with Items and Removed compressed into Packed, if they are long.
func Pack(r message.WatchReply) (message.WatchReply, error) {
	size := 0
	for _, i := range r.Items {
		size += len(i.Name) + len(i.Text)
	}
	for _, name := range r.Removed {
		size += len(name)
	}
	if size <= packThresholdBytes {
		return r, nil
	}
	var out bytes.Buffer
	encoder := base64.NewEncoder(base64.StdEncoding, &out)
	compressor, err := flate.NewWriter(encoder, flate.DefaultCompression)
	if err != nil {
		return r, err
	}
	if err := json.NewEncoder(compressor).Encode(content{r.Items, r.Removed}); err != nil {
		return r, err
	}
	if err := compressor.Close(); err != nil {
		return r, err
	}
	if err := encoder.Close(); err != nil {
		return r, err
	}
	packed := out.String()
	r.Packed, r.Items, r.Removed = &packed, []message.Item{}, []string{}
	return r, nil
}

// Unpack returns the reply with Packed decompressed into Items and Removed.
func Unpack(r message.WatchReply) (message.WatchReply, error) {
	if r.Packed == nil {
		return r, nil
	}
	decompressor := flate.NewReader(base64.NewDecoder(base64.StdEncoding, bytes.NewReader([]byte(*r.Packed))))
	var c content
	if err := json.NewDecoder(io.LimitReader(decompressor, maxUnpackedBytes)).Decode(&c); err != nil {
		return r, merry.Wrap(ErrCorrupt, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	r.Items, r.Removed, r.Packed = c.Items, c.Removed, nil
	return r, nil
}
