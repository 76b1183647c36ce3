package wire

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against demands that change on their way, and against messages that are
// accepted in part.
func TestCallerDemandList(t *testing.T) {
	answered := 7
	l := CallerDemandList{
		{Caller: `k"1`, Class: RouteClassBrowse, RequestsPerSecond: 12},
		{Caller: "k2", Class: RouteClassNormal, AnsweredReport: &answered},
	}
	data, err := json.Marshal(l)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Equals, `[["k\"1","browse",12],["k2","normal",0,7]]`)
	var back CallerDemandList
	qt.Assert(t, json.Unmarshal(data, &back), qt.IsNil)
	qt.Assert(t, back, qt.DeepEquals, l)
	for _, broken := range []string{`[["k"]]`, `[["k","browse","x"]]`, `{}`} {
		qt.Assert(t, json.Unmarshal([]byte(broken), &back), qt.IsNotNil, qt.Commentf(broken))
		qt.Assert(t, back, qt.DeepEquals, l)
	}
}
