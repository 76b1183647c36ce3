package mesh

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/settings"
)

// Guards against a second copy that does not free the slot of the first one, or whose caller
// gets anything but one whole answer, over the whole path.
func TestSecondCopyOverBothHops(t *testing.T) {
	s := startMesh(t, 1)
	s.secondCopies = settings.HostSecondCopies{Ratio: 0.2, Burst: 30}
	a, b, near := s.addHost(1, "pledges"), s.addHost(2, "pledges"), s.addHost(3, "catalogue")
	s.awaitServed(near, a)
	s.eventually("both targets get requests", func() bool {
		near.send(http.MethodGet, "/check/x", "x", -1, "")
		return len(a.target.runIDs()) > 0 && len(b.target.runIDs()) > 0
	})
	for i := range 200 { // so many that the usual time is known
		r := near.send(http.MethodGet, "/check/x", fmt.Sprintf("usual-%d", i), -1, "")
		qt.Assert(t, r.status, qt.Equals, 200)
	}
	var cancelled atomic.Int32
	for i := range 10 {
		var run atomic.Int32
		slow := func(w http.ResponseWriter, r *http.Request, _ *target) {
			if run.Add(1) == 1 {
				select {
				case <-time.After(1500 * time.Millisecond):
				case <-r.Context().Done():
					cancelled.Add(1)
					return
				}
			}
			_, _ = io.WriteString(w, "whole")
		}
		a.target.setHandler(slow)
		b.target.setHandler(slow)
		r := near.send(http.MethodGet, "/check/x", fmt.Sprintf("slow-%d", i), -1, "")
		qt.Assert(t, r.err, qt.IsNil)
		qt.Assert(t, r.status, qt.Equals, 200)
		qt.Assert(t, r.body, qt.Equals, "whole")
		qt.Check(t, run.Load() <= 2, qt.IsTrue)
	}
	// Not each slow request gets a copy: a target whose copy has lost gets none for a while.
	qt.Check(t, cancelled.Load() > 0, qt.IsTrue)
	a.target.setHandler(nil)
	b.target.setHandler(nil)
	// A pledge must run once, however slow its target is.
	before := len(a.target.runIDs()) + len(b.target.runIDs())
	sleep := func(w http.ResponseWriter, _ *http.Request, _ *target) {
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}
	a.target.setHandler(sleep)
	b.target.setHandler(sleep)
	qt.Check(t, near.send(http.MethodPost, "/pledge/x", "once", -1, "batch").body, qt.Equals, "whole")
	qt.Check(t, len(a.target.runIDs())+len(b.target.runIDs())-before, qt.Equals, 1)
}
