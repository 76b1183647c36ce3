package mesh

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/settings"
)

// Guards against a second copy that does not free the slot of the first one, or whose caller
// gets anything but one whole answer, over the whole path.
func TestSecondCopyOverBothHops(t *testing.T) {
	// patience, in milliseconds, is so long that a busy machine makes no request late.
	const patience = 20_000
	s := startMesh(t, 1)
	s.secondCopies = settings.HostSecondCopies{Ratio: 0.2, Burst: 300}
	a, b, near := s.addHost(1, "pledges"), s.addHost(2, "pledges"), s.addHost(3, "catalogue")
	s.awaitServed(near, a)
	s.eventually("both targets get requests", func() bool {
		near.send(http.MethodGet, "/check/x", "x", -1, "")
		return len(a.target.runIDs()) > 0 && len(b.target.runIDs()) > 0
	})
	// sendUsual sends more requests at once than one target has slots. It makes the usual time
	// of requests known, and the targets about equally fast and without recent failures.
	sendUsual := func(times int) {
		usual := func(w http.ResponseWriter, _ *http.Request, _ *target) {
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(w, "usual")
		}
		a.target.setHandler(usual)
		b.target.setHandler(usual)
		for range times {
			var callers sync.WaitGroup
			for i := range 24 {
				callers.Go(func() { near.sendWithin(http.MethodGet, "/check/x", fmt.Sprintf("usual-%d", i), -1, "", patience) })
			}
			callers.Wait()
		}
	}
	sendUsual(8)
	// Not each slow request gets a copy, by design: the other target must be known to be about as
	// fast, and the machine may delay it. So the ten go on until one has run twice.
	runTwice := 0
	for i := 0; i < 10 || runTwice == 0; i++ {
		qt.Assert(t, i < 40, qt.IsTrue, qt.Commentf("no slow request has run twice"))
		var run, cancelled atomic.Int32
		var complete atomic.Bool
		id := fmt.Sprintf("slow-%d", i)
		slow := func(w http.ResponseWriter, r *http.Request, _ *target) {
			// A copy of a usual request that has lost may reach its target now.
			if r.Header.Get(names.RequestID) == id && run.Add(1) == 1 {
				select {
				case <-time.After(1500 * time.Millisecond):
					complete.Store(true)
				case <-r.Context().Done():
					cancelled.Add(1)
					return
				}
			}
			_, _ = io.WriteString(w, "whole")
		}
		a.target.setHandler(slow)
		b.target.setHandler(slow)
		r := near.sendWithin(http.MethodGet, "/check/x", id, -1, "", patience)
		qt.Assert(t, r.err, qt.IsNil)
		qt.Assert(t, r.status, qt.Equals, 200)
		qt.Assert(t, r.body, qt.Equals, "whole")
		qt.Assert(t, run.Load() <= 2, qt.IsTrue)
		if run.Load() == 2 && !complete.Load() {
			runTwice++
			s.eventually("the copy that has lost is cancelled", func() bool { return cancelled.Load() == 1 })
		}
		sendUsual(1)
	}
	a.target.setHandler(nil)
	b.target.setHandler(nil)
	// A pledge must run once, however slow its target is.
	sleep := func(w http.ResponseWriter, _ *http.Request, _ *target) {
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}
	a.target.setHandler(sleep)
	b.target.setHandler(sleep)
	qt.Check(t, near.sendWithin(http.MethodPost, "/pledge/x", "once", -1, "batch", patience).body, qt.Equals, "whole")
	runs := slices.DeleteFunc(append(a.target.runIDs(), b.target.runIDs()...), func(id string) bool { return id != "once" })
	qt.Check(t, runs, qt.HasLen, 1)
}
