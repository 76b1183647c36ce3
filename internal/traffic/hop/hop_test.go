package hop

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against fields that are lost between sidecars, and against a limit or the mark of a
// call that a caller has made up.
func TestRequestHeader(t *testing.T) {
	tests := map[string]Request{
		"without limit": {Service: "catalogue", Route: "r", RemainingMillis: 800, ObjectiveMillis: -5, Rank: 2, Repeatable: true, Key: NoKey, Fingerprint: "f"},
		"with limit":    {Service: "pledges", Route: "r", Key: 7, Fingerprint: "f", RateLimit: 2.4},
		"call":          {Service: "archive", Route: "r", Key: 7, Fingerprint: "f", Call: true},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			h := http.Header{limitField: {"0.001"}, callField: {"1"}, "Accept": {"text/plain"}}
			want.SetHeader(h)
			got, err := ParseRequest(h)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, want)
			qt.Assert(t, h, qt.DeepEquals, http.Header{"Accept": {"text/plain"}})
		})
	}
	for _, limit := range []string{"many", "NaN", "-1", "Inf"} {
		h := http.Header{}
		tests["without limit"].SetHeader(h)
		h[limitField] = []string{limit}
		_, err := ParseRequest(h)
		qt.Check(t, err, qt.ErrorIs, ErrInvalidField, qt.Commentf("%s", limit))
	}
}
