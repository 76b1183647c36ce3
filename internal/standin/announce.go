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
	// announceEvery is the interval that the target protocol asks for.
	announceEvery clock.Millis = 1000
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
)

// Announcement is what a target sends to POST /v1/announce and /v1/withdraw.
type Announcement struct {
	Service      wire.ServiceName
	Address      wire.Address
	Slots        int
	Connections  int
	ChecksGrants bool
	Cold         bool
	// Instance differs between two processes at the same address.
	Instance string
}

func (s *Standin) announcement() Announcement {
	return Announcement{
		Service: s.options.Service, Address: wire.Address(s.address), Slots: s.options.Slots,
		Connections: s.options.Connections, ChecksGrants: s.options.ChecksGrants,
		Cold: s.coldFactor() > 1, Instance: s.instance,
	}
}

// announce repeats the announcement until ctx ends. A node that does not answer
// gets the next one.
func (s *Standin) announce(ctx context.Context) {
	if s.options.Node == "" {
		return
	}
	for {
		timed, cancel := context.WithTimeout(ctx, announceTimeout)
		_ = s.tell(timed, "/v1/announce")
		cancel()
		if s.clock.Sleep(ctx, announceEvery) != nil {
			return
		}
	}
}

// withdraw returns when the node has drained the target, or cannot be reached.
func (s *Standin) withdraw(ctx context.Context) {
	if s.options.Node == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	_ = s.tell(ctx, "/v1/withdraw")
}

func (s *Standin) tell(ctx context.Context, path string) error {
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
