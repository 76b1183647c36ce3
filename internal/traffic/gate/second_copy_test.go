package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/traffic/hop"
)

// Guards against second copies that take the places of first copies: they must neither wait
// for a slot nor fill the last ones.
func TestSecondCopyNeverWaits(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	defer close(release)
	g := newGate(server.Listener.Addr().String())
	target, _ := g.Target()
	target.Slots = 4
	g.SetTarget(target)
	secondCopy := func() *TargetRequest {
		r := newRequest(60_000)
		r.SecondCopy = true
		return r
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	start := func(r *TargetRequest) {
		go func() {
			g.Do(ctx, r).Close()
			done <- struct{}{}
		}()
		<-arrived
	}
	start(newRequest(60_000))
	start(newRequest(60_000))
	start(secondCopy()) // two of four slots are in use
	result := g.Do(ctx, secondCopy())
	qt.Check(t, result.Reason, qt.Equals, hop.Busy, qt.Commentf("the last slot"))
	qt.Check(t, result.MayHaveReachedTarget, qt.IsFalse)
	start(newRequest(60_000))
	qt.Check(t, g.Do(ctx, secondCopy()).Reason, qt.Equals, hop.Busy, qt.Commentf("no slot"))
	cancel()
	for range 4 {
		<-done
	}
	qt.Check(t, g.Load().Running, qt.Equals, 0)
	qt.Check(t, g.Load().Waiting, qt.Equals, 0)
}
