package mesh

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// drainBound is the default bound of a deployment for requests after a departure.
const drainBound = 2 * time.Second

// Guards against requests for a target that has said in its responses that it leaves, and
// does not say so in its heartbeats, or not to the core.
func TestTargetThatLeavesInResponsesGetsNoWork(t *testing.T) {
	tests := map[string]struct {
		service message.ServiceName
		path    string
		key     int
		// coreEnds is true if the core cannot be reached when the target begins to leave.
		coreEnds bool
	}{
		"owner of keys":        {service: "catalogue", path: "/browse/", key: 1000},
		"without keys":         {service: "pledges", path: "/check/", key: -1},
		"core is out of reach": {service: "pledges", path: "/check/", key: -1, coreEnds: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := startMesh(t, 1)
			caller, leaving := s.addHost(1, "courier"), s.addHost(2, tt.service)
			sent := 0
			send := func() response {
				sent++
				return caller.send(http.MethodGet, tt.path+"x", fmt.Sprint("r", sent), tt.key, "")
			}
			s.eventually("the target serves", func() bool { return send().status == http.StatusOK })
			if tt.coreEnds {
				s.stopCore[0]()
			}
			leaving.target.setHandler(func(w http.ResponseWriter, _ *http.Request, _ *target) { w.Header().Set(names.Leaving, "1") })
			qt.Assert(t, send().header.Get(names.Leaving), qt.Equals, "1")
			said := time.Now()
			for time.Since(said) < drainBound {
				send()
				time.Sleep(20 * time.Millisecond)
			}
			before := len(leaving.target.runIDs())
			for range 20 {
				r := send()
				qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%+v", r))
			}
			qt.Assert(t, leaving.target.runIDs(), qt.HasLen, before)
		})
	}
}
