package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against calls that are not known as such because their parent is not found, and against
// clients that pass for one with the id of a request that has ended.
func TestRunningRoute(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
		w.Header().Set("Test-Signature", "s")
	}))
	defer server.Close()
	g := newGate(server.Listener.Addr().String())
	done := make(chan struct{})
	go func() {
		defer close(done)
		request := newRequest(5_000)
		request.Header.Set("Test-Id", request.ID)
		g.Do(t.Context(), request).Close()
	}()
	<-arrived
	qt.Check(t, g.RunningRoute("q"), qt.Equals, "r")
	qt.Check(t, g.RunningRoute("other"), qt.Equals, "")
	close(release)
	<-done
	qt.Check(t, g.RunningRoute("q"), qt.Equals, "")
}
