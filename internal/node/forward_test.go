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

// Guards against passing on the response of a run that started after the lease expired, when
// another target may already own the key. That can happen if the request reached the target
// late and the node was paused, so that the expiry has not cancelled the request before the
// response arrives. The caller would then take a run under an outdated owner for complete.
func TestResponseAfterTheLeaseIsUnknown(t *testing.T) {
	tests := map[string]struct {
		leased       bool
		partition    wire.PartitionID
		rejectedWith string
		want         wire.Outcome
	}{
		"lease valid":              {true, "c/1", "", wire.OutcomeComplete},
		"lease expired":            {false, "c/1", "", wire.OutcomeUnknown},
		"expired, target rejected": {false, "c/1", header.RejectedGrant, wire.OutcomeNotRun},
		"expired, not keyed":       {false, "", "", wire.OutcomeComplete},
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
			request := &targetRequest{node: &node{clock: c}, member: m, q: &routedRequest{partition: tt.partition}, permit: permit, leaveScopes: func() {}}
			response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
			if tt.rejectedWith != "" {
				response.StatusCode = http.StatusConflict
				response.Header.Set(header.Rejected, tt.rejectedWith)
			}
			reply := request.newReply(response)
			defer reply.close()
			_, err = io.Copy(io.Discard, reply.body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, reply.outcome, qt.Equals, tt.want)
		})
	}
}

// unreadBody records whether a body was closed before any of it was read.
type unreadBody struct{ read, closed bool }

func (b *unreadBody) Read([]byte) (int, error) {
	b.read = true
	return 0, io.EOF
}

func (b *unreadBody) Close() error {
	b.closed = true
	return nil
}

// Guards against a request that may have run and is reported as not run, because a faulty
// target writes its earlier rejection once more on a kept connection. The pool keeps a
// connection whose response was read to its end.
func TestConnectionOfRejectionIsNotKept(t *testing.T) {
	for _, rejection := range []string{header.RejectedGrant, header.RejectedOverload} {
		t.Run(rejection, func(t *testing.T) {
			c := clock.System()
			m := newMember(c, announcement{Slots: 1, Connections: 10}, lease.DefaultTerms)
			permit, err := m.limiter.Acquire(t.Context(), limit.Normal, c.Now()+10_000)
			qt.Assert(t, err, qt.IsNil)
			request := &targetRequest{node: &node{clock: c}, member: m, q: &routedRequest{}, permit: permit, leaveScopes: func() {}}
			body := &unreadBody{}
			request.newReply(&http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{header.Rejected: {rejection}}, Body: body}).close()
			qt.Assert(t, *body, qt.Equals, unreadBody{closed: true})
		})
	}
}
