package ingress

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against the bodies of rejected requests that fill the link of a busy target's host, and
// against requests that are lost between releases because their offer is not understood.
func TestBodyIsNotSentToTargetThatRejectsItsOffer(t *testing.T) {
	tests := map[string]struct {
		accepts, earlierRelease bool
		wantCode, wantBytes     int
	}{
		"rejected":        {wantCode: http.StatusServiceUnavailable},
		"accepted":        {accepts: true, wantCode: http.StatusOK, wantBytes: 4000},
		"earlier release": {earlierRelease: true, wantCode: http.StatusOK, wantBytes: 4000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			received := 0
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				received += len(body)
				w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
				_, offered, err := hop.ParseOffer(r.Header)
				switch {
				case err != nil || offered && tt.earlierRelease:
					http.Error(w, "invalid", http.StatusBadRequest)
				case offered && !tt.accepts:
					hop.Reply{Reason: hop.Busy, RetryMillis: 250}.SetHeader(w.Header())
					w.WriteHeader(http.StatusNoContent)
				case offered:
					hop.Reply{}.SetHeader(w.Header())
					w.WriteHeader(http.StatusNoContent)
				default:
					hop.Reply{}.SetHeader(w.Header())
				}
			}))
			defer peer.Close()
			in := newKeyedIngress(t, clock.NewManual(1000).Clock(), exchange.NewPool(exchange.Options{}), peer.Listener.Addr().String())
			in.options.OfferedBody = 1800
			r := newBrowse(1)
			r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(make([]byte, 4000))), 4000
			w := httptest.NewRecorder()
			in.ServeHTTP(w, r)
			qt.Check(t, w.Code, qt.Equals, tt.wantCode)
			qt.Check(t, received, qt.Equals, tt.wantBytes)
		})
	}
}
