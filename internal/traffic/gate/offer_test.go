package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against bodies that are accepted on a full link or by a target without room, and against an
// offer that takes a place in the queue: it may never be followed by its request.
func TestWeighOffer(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
		w.Header().Set("Test-Signature", "s")
	}))
	defer server.Close()
	g := newGate(server.Listener.Addr().String())
	qt.Check(t, g.WeighOffer(newRequest(5000), 0.1).Reason, qt.Equals, hop.Reason(""))
	qt.Check(t, g.WeighOffer(newRequest(5000), 0.9).Reason, qt.Equals, hop.Busy)
	qt.Check(t, g.Load().Waiting, qt.Equals, 0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		request := newRequest(5000)
		request.Header.Set("Test-Id", request.ID)
		g.Do(t.Context(), request).Close()
	}()
	<-arrived
	// No run has been measured yet, so one is expected to take 50 ms.
	result := g.WeighOffer(newRequest(20), 0)
	qt.Check(t, result.Reason, qt.Equals, hop.Busy)
	qt.Check(t, g.WeighOffer(newRequest(5000), 0).Reason, qt.Equals, hop.Reason(""))
	qt.Check(t, g.Load().Running+g.Load().Waiting, qt.Equals, 1)
	close(release)
	<-done
}

// Guards against bodies of second copies that are accepted by a target that rejects the copies, and
// against a place for a return that no caller uses.
func TestWeighOfferOfSecondCopy(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
		w.Header().Set("Test-Signature", "s")
	}))
	defer server.Close()
	g := newGate(server.Listener.Addr().String())
	newCopy := func(remaining clock.Millis) *TargetRequest {
		request := newRequest(remaining)
		request.SecondCopy = true
		return request
	}
	qt.Check(t, g.WeighOffer(newCopy(5000), 0).Reason, qt.Equals, hop.Reason(""))
	done := make(chan struct{})
	go func() {
		defer close(done)
		request := newRequest(5000)
		request.Header.Set("Test-Id", request.ID)
		g.Do(t.Context(), request).Close()
	}()
	<-arrived
	qt.Check(t, g.WeighOffer(newCopy(5000), 0).Reason, qt.Equals, hop.Busy)
	for range 3 {
		result := g.WeighOffer(newCopy(20), 0)
		qt.Check(t, result.Reason, qt.Equals, hop.Busy)
		qt.Check(t, result.RetryMillis, qt.Equals, clock.Millis(0))
	}
	close(release)
	<-done
}

// Guards against a hot key that the core does not see because its requests are rejected when they
// are offered, and against a key that is counted twice.
func TestRejectedOfferCountsAsLoadOfItsKey(t *testing.T) {
	g := newGate("127.0.0.1:1")
	request := newRequest(5000)
	request.Key = 77
	qt.Check(t, g.WeighOffer(request, 0.1).Reason, qt.Equals, hop.Reason(""))
	qt.Check(t, g.TakeKeyLoads(), qt.HasLen, 0, qt.Commentf("counted when it is sent"))
	qt.Check(t, g.WeighOffer(request, 0.9).Reason, qt.Equals, hop.Busy)
	qt.Check(t, g.TakeKeyLoads(), qt.HasLen, 1)
}

// Guards against slots that are not reserved for calls because the calls are rejected when they are
// offered.
func TestRejectedOfferCountsAsDemandOfCalls(t *testing.T) {
	g := newGate("127.0.0.1:1")
	request := newRequest(5000)
	request.Call = true
	qt.Check(t, g.WeighOffer(request, 0.1).Reason, qt.Equals, hop.Reason(""))
	qt.Check(t, g.CallShare(), qt.Equals, 0.0, qt.Commentf("counted when it is sent"))
	qt.Check(t, g.WeighOffer(request, 0.9).Reason, qt.Equals, hop.Busy)
	qt.Check(t, g.CallShare() > 0, qt.IsTrue)
}
