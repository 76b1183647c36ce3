package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// announceInterval is the interval that the target protocol prescribes.
	announceInterval clock.Millis = 1000
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
)

// Announcement is the body of POST /v1/announce and POST /v1/withdraw.
type Announcement struct {
	Service      wire.ServiceName
	Address      wire.Address
	Slots        int
	Connections  int
	ChecksGrants bool
	Cold         bool
	// Instance identifies the process, so that a restart at the same address is
	// detected.
	Instance string
}

func (s *Standin) announcement() Announcement {
	return Announcement{
		Service: s.options.Service, Address: wire.Address(s.address), Slots: s.options.Slots,
		Connections: s.options.Connections, ChecksGrants: s.options.ChecksGrants,
		Cold: s.coldFactor() > 1, Instance: s.instance,
	}
}

// announce sends the announcement every announceInterval until ctx ends. It ignores
// errors, because the next announcement repeats the content.
func (s *Standin) announce(ctx context.Context) {
	if s.options.Node == "" {
		return
	}
	for {
		announceCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		_ = s.post(announceCtx, "/v1/announce")
		cancel()
		if s.clock.Sleep(ctx, announceInterval) != nil {
			return
		}
	}
}

// withdraw asks the node to drain the target. It returns when the node has done so,
// the request fails or stopTimeout has passed.
func (s *Standin) withdraw(ctx context.Context) {
	if s.options.Node == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	_ = s.post(ctx, "/v1/withdraw")
}

// post sends the announcement to the given path of the node.
func (s *Standin) post(ctx context.Context, path string) error {
	data, err := json.Marshal(s.announcement())
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(s.options.Node)+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
