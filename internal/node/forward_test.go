package node

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

// Guards P1 against a caller who gets the response of a run that began after the
// lease had ended: the request's bytes were late, and the node was paused, so
// that the response is there before the end of the lease has cancelled it.
func TestResponseAfterTheLeaseIsUnknown(t *testing.T) {
	tests := map[string]struct {
		leased       bool
		partition    wire.PartitionID
		rejectedWith string
		want         wire.Outcome
	}{
		"lease holds":              {true, "c/1", "", wire.OutcomeComplete},
		"lease has ended":          {false, "c/1", "", wire.OutcomeUnknown},
		"ended, target refused":    {false, "c/1", header.RefusedGrant, wire.OutcomeNotRun},
		"ended, service not keyed": {false, "", "", wire.OutcomeComplete},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := clock.System()
			m := newMember(c, announcement{Slots: 1, Connections: 10}, lease.DefaultTerms)
			if tt.leased {
				m.lease.Renewed(c.Now())
			}
			permit, err := m.limiter.Acquire(t.Context(), limit.Normal, c.Now()+10_000)
			qt.Assert(t, err, qt.IsNil)
			request := &targetRequest{node: &node{clock: c}, member: m, q: &request{partition: tt.partition}, permit: permit, leaveScopes: func() {}}
			response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
			if tt.rejectedWith != "" {
				response.StatusCode = http.StatusConflict
				response.Header.Set(header.Refused, tt.rejectedWith)
			}
			reply := request.newReply(response)
			defer reply.close()
			_, err = io.Copy(io.Discard, reply.body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, reply.outcome, qt.Equals, tt.want)
		})
	}
}
