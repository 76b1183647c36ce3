package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxProtocolBytes bounds a target's response to a call of the target protocol.
const maxProtocolBytes = 64 << 10

// clockResponse is the body of GET /gentiansail/clock.
type clockResponse struct {
	ClockMillis clock.Millis
}

// grantRequest is the body of POST /gentiansail/grant: the partitions are added
// to those granted before to the same incarnation, and the deadline, in the
// target's own clock, holds for all of them. Another incarnation voids all
// earlier grants.
type grantRequest struct {
	Incarnation    wire.Incarnation
	Partitions     []wire.Grant
	DeadlineMillis clock.Millis
}

// releaseRequest is the body of POST /gentiansail/release.
type releaseRequest struct {
	Incarnation wire.Incarnation
	Partitions  []wire.Grant
}

// callTarget makes one call of the target protocol.
func (m *member) callTarget(ctx context.Context, method, path string, in, out any) error {
	var payload []byte
	if in != nil {
		var err error
		if payload, err = json.Marshal(in); err != nil {
			return err
		}
	}
	r, err := http.NewRequest(method, "http://"+string(m.target.Address)+path, nil)
	if err != nil {
		return err
	}
	r.Body = exchange.Body(payload)
	r.ContentLength = int64(len(payload))
	r.Header.Set("Content-Type", "application/json")
	response, err := m.protocolPool.Do(ctx, exchange.Request{Address: string(m.target.Address), HTTP: r})
	if err != nil {
		return merry.Wrap(errTarget, merry.WithCause(err), merry.AppendMessage(path))
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProtocolBytes))
	if err != nil {
		return merry.Wrap(errTarget, merry.WithCause(err), merry.AppendMessage(path))
	}
	if response.StatusCode >= 300 {
		return merry.Wrap(errTarget, merry.AppendMessagef("%s: status %d", path, response.StatusCode))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
