// Package delta compresses long changes of the published state.
//
// Links of hosts may be slow: 2 Mbit/s carry 250 KB a second, and a configuration that
// gains two thousand routes is half a megabyte for each sidecar, which would take longer
// than the deployment allows for a change to be in force. Routes are much alike, so they
// shrink to about a tenth.
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

// ErrPacked means that a packed reply cannot be read.
var ErrCorrupt = merry.Sentinel("packed change cannot be read")

const (
	// packAbove is the length in bytes of items from which compressing pays.
	packAbove = 2 << 10
	// maxUnpacked bounds what a packed reply may grow to, in bytes.
	maxUnpacked = 64 << 20
)

type content struct {
	Items   []message.Item
	Removed []string
}

// Pack returns a reply with its items compressed, if there are many.
func Pack(r message.WatchReply) (message.WatchReply, error) {
	size := 0
	for _, i := range r.Items {
		size += len(i.Name) + len(i.Text)
	}
	for _, name := range r.Removed {
		size += len(name)
	}
	if size <= packAbove {
		return r, nil
	}
	var out bytes.Buffer
	text := base64.NewEncoder(base64.StdEncoding, &out)
	w, err := flate.NewWriter(text, flate.DefaultCompression)
	if err != nil {
		return r, err
	}
	if err := json.NewEncoder(w).Encode(content{r.Items, r.Removed}); err != nil {
		return r, err
	}
	if err := w.Close(); err != nil {
		return r, err
	}
	if err := text.Close(); err != nil {
		return r, err
	}
	packed := out.String()
	r.Packed, r.Items, r.Removed = &packed, []message.Item{}, []string{}
	return r, nil
}

// Unpack returns a reply with its items in place.
func Unpack(r message.WatchReply) (message.WatchReply, error) {
	if r.Packed == nil {
		return r, nil
	}
	inflated := flate.NewReader(base64.NewDecoder(base64.StdEncoding, bytes.NewReader([]byte(*r.Packed))))
	var c content
	if err := json.NewDecoder(io.LimitReader(inflated, maxUnpacked)).Decode(&c); err != nil {
		return r, merry.Wrap(ErrCorrupt, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	r.Items, r.Removed, r.Packed = c.Items, c.Removed, nil
	return r, nil
}
