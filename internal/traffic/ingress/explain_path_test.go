package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against an explanation that takes the beginning of a path for a host name.
func TestExplainedPathBeginsWithTwoSlashes(t *testing.T) {
	in := newKeyedIngress(t, clock.System(), exchange.NewPool(exchange.Options{}), "127.0.0.1:1")
	r, err := http.NewRequest(http.MethodGet, "http://mesh.example//x/browse/1", nil)
	qt.Assert(t, err, qt.IsNil)
	w := httptest.NewRecorder()
	in.ServeHTTP(w, r)
	qt.Check(t, w.Code, qt.Equals, http.StatusNotFound)
	e, err := in.Explain(Question{HostName: "mesh.example", Path: "//x/browse/1", Key: "77"}, func(message.Instance, hop.Request) (gate.Preview, error) {
		return gate.Preview{}, nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, e.Reason, qt.Equals, hop.NoRoute)
}
