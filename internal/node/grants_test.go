package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// Guards against two owners of a partition: a faulty target writes its response to an earlier
// call once more, where the one to a release is due.
func TestReleaseNeedsItsOwnResponse(t *testing.T) {
	confirmed := ""
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == grantPath:
			confirmed = r.RemoteAddr
		case r.RemoteAddr != confirmed:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer target.Close()
	m := newMember(clock.System(), announcement{Address: wire.Address(target.Listener.Addr().String()), Slots: 1, Connections: 10, ChecksGrants: true}, lease.DefaultTerms)
	qt.Assert(t, m.callTarget(t.Context(), http.MethodPost, grantPath, grantRequest{}, nil), qt.IsNil)
	qt.Assert(t, m.callTarget(t.Context(), http.MethodPost, releasePath, releaseRequest{}, nil), qt.ErrorIs, errTarget)
}
