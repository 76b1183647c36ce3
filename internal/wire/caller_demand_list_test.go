package wire

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against demands that differ after encoding and decoding, and against an
// invalid list that is decoded in part.
func TestCallerDemandList(t *testing.T) {
	answered := 7
	l := CallerDemandList{
		{Caller: `k"1`, Class: RouteClassBrowse, RequestsPerSecond: 12},
		{Caller: "k2", Class: RouteClassNormal, AnsweredReport: &answered},
	}
	data, err := json.Marshal(l)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Equals, `[["k\"1","browse",12],["k2","normal",0,7]]`)
	var decoded CallerDemandList
	qt.Assert(t, json.Unmarshal(data, &decoded), qt.IsNil)
	qt.Assert(t, decoded, qt.DeepEquals, l)
	for _, invalid := range []string{`[["k"]]`, `[["k","browse","x"]]`, `{}`} {
		qt.Assert(t, json.Unmarshal([]byte(invalid), &decoded), qt.IsNotNil, qt.Commentf(invalid))
		qt.Assert(t, decoded, qt.DeepEquals, l)
	}
}
