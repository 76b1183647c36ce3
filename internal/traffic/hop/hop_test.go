package hop

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against fields that are lost between sidecars, and against a limit, a second copy or
// the mark of a call that a caller has made up.
func TestRequestHeader(t *testing.T) {
	tests := map[string]Request{
		"without limit": {Service: "catalogue", Route: "r", RemainingMillis: 800, ObjectiveMillis: -5, Rank: 2, Repeatable: true, Key: NoKey, Fingerprint: "f"},
		"with limit":    {Service: "pledges", Route: "r", Key: 7, Fingerprint: "f", RateLimit: 2.4},
		"second copy":   {Service: "pledges", Route: "r", Key: 7, Fingerprint: "f", SecondCopy: true},
		"call":          {Service: "archive", Route: "r", Key: 7, Fingerprint: "f", Call: true},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			h := http.Header{limitField: {"0.001"}, callField: {"1"}, copyField: {"1"}, "Accept": {"text/plain"}}
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

// Guards against a load of a sidecar of another release that is taken for a response of
// something else, and against a cold time that is lost between sidecars.
func TestLoadOfOtherReleases(t *testing.T) {
	tests := map[string]struct {
		text string
		want Load
	}{
		"earlier": {"3 1 9 120", Load{Running: 3, Waiting: 1, Slots: 9, ServiceMillis: 120}},
		"this":    {"3 1 9 750 2900", Load{Running: 3, Waiting: 1, Slots: 9, ServiceMillis: 750, ColdMillis: 2900}},
		"later":   {"3 1 9 750 2900 7", Load{Running: 3, Waiting: 1, Slots: 9, ServiceMillis: 750, ColdMillis: 2900}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := ParseReply(http.Header{loadField: {tt.text}})
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, got.Load, qt.Equals, tt.want)
		})
	}
	_, ok := ParseReply(http.Header{loadField: {"3 1 9"}})
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against a response that passes for a rejection, so that a request that has run is sent
// again: the target may have set a field of the sidecars itself.
func TestReplyReplacesFieldsOfTheTarget(t *testing.T) {
	h := http.Header{reasonField: {string(Busy)}, retryField: {"500"}, loadField: {"9 9 9 9 9"}, "Accept": {"text/plain"}}
	want := Reply{Load: Load{Running: 1, Slots: 4, ServiceMillis: 20}}
	want.SetHeader(h)
	got, ok := ParseReply(h)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got, qt.Equals, want)
	qt.Assert(t, h, qt.DeepEquals, http.Header{"Accept": {"text/plain"}})
}

// Guards against an offer that a sidecar of an earlier release runs as a request, and against a
// request that is taken for an offer because its caller has set the field.
func TestOfferIsNoRequest(t *testing.T) {
	want := Request{Service: "pledges", Route: "r", RemainingMillis: 900, Key: NoKey, Fingerprint: "f", Call: true}
	h := http.Header{}
	want.SetOfferHeader(h)
	_, err := ParseRequest(h.Clone())
	qt.Check(t, err, qt.ErrorIs, ErrInvalidField)
	got, ok, err := ParseOffer(h)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, got, qt.Equals, want)

	h = http.Header{offerField: {"x"}}
	want.SetHeader(h)
	_, ok, _ = ParseOffer(h)
	qt.Check(t, ok, qt.IsFalse)
	_, err = ParseRequest(h)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, h, qt.HasLen, 0)
}

// Guards against a malformed load of a target that counts as a slowdown.
func TestParseTargetLoad(t *testing.T) {
	for text, want := range map[string]TargetLoad{
		"3,1,8,250":     {Running: 3, Waiting: 1, Slots: 8, SlowdownPercent: 250},
		"3, 1, 8, 100":  {Running: 3, Waiting: 1, Slots: 8, SlowdownPercent: 100},
		"3,1,8":         {Running: 3, Waiting: 1, Slots: 8},
		"3,1,8,0":       {Running: 3, Waiting: 1, Slots: 8},
		"3,1,8,1":       {Running: 3, Waiting: 1, Slots: 8, SlowdownPercent: minSlowdownPercent},
		"3,1,8,9999999": {Running: 3, Waiting: 1, Slots: 8, SlowdownPercent: maxSlowdownPercent},
	} {
		got, ok := ParseTargetLoad(text)
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("%q", text))
		qt.Check(t, got, qt.Equals, want)
	}
	for _, text := range []string{"", "3", "3,1", "3,1,8,x", "3,1,8,-5", "3,1,8,100,4", "3,,8,100", "3,1,8,1e3"} {
		_, ok := ParseTargetLoad(text)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%q", text))
	}
}
