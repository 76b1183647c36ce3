package mesh

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that is taken late in a planned stop and is cut off without a
// response when the process ends, though its target works on it.
func TestRequestLateInStopIsNotCutOff(t *testing.T) {
	s := startMesh(t, 1)
	stopping, other := s.addHost(1, "catalogue"), s.addHost(2, "pledges")
	s.eventually("both targets serve", func() bool {
		return stopping.send(http.MethodGet, "/browse/x", "b", 1000, "").status == http.StatusOK &&
			stopping.send(http.MethodGet, "/check/x", "c", -1, "").status == http.StatusOK
	})
	slow := func(d time.Duration) func(http.ResponseWriter, *http.Request, *target) {
		return func(w http.ResponseWriter, _ *http.Request, _ *target) { time.Sleep(d) }
	}
	stopping.target.setHandler(slow(3900 * time.Millisecond))
	begin := time.Now()
	// A request in progress on the stopping host keeps its listener open.
	first := make(chan response, 1)
	go func() { first <- stopping.sendWithin(http.MethodGet, "/browse/y", "first", 1000, "", 5000) }()
	time.Sleep(200 * time.Millisecond)
	stopping.stopSidecar()
	time.Sleep(time.Until(begin.Add(3500 * time.Millisecond)))
	inTime := stopping.sendWithin(http.MethodGet, "/check/z", "in-time", -1, "", 500)
	qt.Check(t, inTime.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", inTime))
	other.target.setHandler(slow(3 * time.Second))
	before := len(other.target.runIDs())
	late := stopping.sendWithin(http.MethodPost, "/pledge/1", "late", -1, "", 6000)
	qt.Check(t, late.err, qt.IsNil)
	qt.Check(t, late.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, other.target.runIDs(), qt.HasLen, before)
	qt.Check(t, (<-first).status, qt.Equals, http.StatusOK)
	qt.Check(t, <-stopping.sidecarErr, qt.IsNil)
}
