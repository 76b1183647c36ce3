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

// Paths of the calls that grant partitions to a target and take them back.
const (
	grantPath   = "/gentiansail/grant"
	releasePath = "/gentiansail/release"
)

// maxProtocolBytes is the maximum length of a body in the target protocol and in
// calls about relayed requests.
const maxProtocolBytes = 64 << 10

// clockResponse is the body of GET /gentiansail/clock.
type clockResponse struct {
	ClockMillis clock.Millis
}

// grantRequest is the body of POST /gentiansail/grant. The partitions are added to those
// granted to the same incarnation before, and all have the same deadline, which is a time
// of the target's own clock. A request for another incarnation revokes all earlier grants.
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

// callTarget makes one call of the target protocol. A nil requestBody is sent as an
// empty body, and with a nil responseBody the body of the response is ignored.
func (m *member) callTarget(ctx context.Context, method, path string, requestBody, responseBody any) error {
	var payload []byte
	if requestBody != nil {
		var err error
		if payload, err = json.Marshal(requestBody); err != nil {
			return err
		}
	}
	request, err := http.NewRequest(method, "http://"+string(m.target.Address)+path, nil)
	if err != nil {
		return err
	}
	request.Body = exchange.Body(payload)
	request.ContentLength = int64(len(payload))
	request.Header.Set("Content-Type", "application/json")
	// A release gets a connection of its own: its response must not be taken from a late copy
	// of an earlier one, since the partition has a new owner after it.
	response, err := m.protocolPool.Do(ctx, exchange.Request{Address: string(m.target.Address), HTTP: request, NewConnection: path == releasePath})
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
	if responseBody == nil {
		return nil
	}
	return json.Unmarshal(data, responseBody)
}
