package gate

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/traffic/hop"
)

// Guards against a target that gets more than one and a half times the requests that it
// takes, and against a limit that stays after the target has stopped to name it.
func TestLimitNamedByTarget(t *testing.T) {
	const perSecond, callers = 20, 8
	var limit atomic.Int64
	var arrivals atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
		w.Header().Set("Test-Signature", "signed")
		if n := limit.Load(); n > 0 {
			w.Header().Set("Test-Limit", strconv.Itoa(int(n)))
		}
	}))
	defer server.Close()
	g := newGate(server.Listener.Addr().String())
	target, _ := g.Target()
	target.Slots = callers
	g.SetTarget(target)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				request := newRequest(300)
				request.Header.Set("Test-Id", "q")
				result := g.Do(t.Context(), request)
				if result.Reason == hop.Busy {
					time.Sleep(5 * time.Millisecond)
				}
				result.Close()
			}
		})
	}
	countIn := func(d time.Duration) int64 {
		before := arrivals.Load()
		time.Sleep(d)
		return arrivals.Load() - before
	}
	limit.Store(perSecond)
	time.Sleep(500 * time.Millisecond)
	qt.Check(t, countIn(2*time.Second) <= perSecond*2*3/2+5, qt.IsTrue)
	qt.Check(t, g.RateLimit(), qt.Equals, float64(perSecond))
	qt.Check(t, int(g.Load().ServiceMillis), qt.Equals, callers*1000/perSecond)
	limit.Store(0)
	time.Sleep(500 * time.Millisecond)
	qt.Check(t, countIn(time.Second) > perSecond*2, qt.IsTrue)
	qt.Check(t, g.RateLimit(), qt.Equals, 0.0)
	close(stop)
	running.Wait()
}

func TestStatedRateLimit(t *testing.T) {
	names := hop.HeaderNames{RateLimit: "Test-Limit", Signature: "Test-Signature"}
	tests := map[string]struct {
		text     string
		unsigned bool
		want     float64
		ok       bool
	}{
		"whole number": {text: "25", want: 25, ok: true}, "fraction": {text: "0.5", want: 0.5, ok: true}, "zero": {text: "0", want: minRateLimit, ok: true},
		"unsigned number": {text: "25", unsigned: true, want: 25, ok: true}, "none": {ok: true}, "unsigned, none": {unsigned: true},
		"negative": {text: "-1"}, "no number": {text: "many"}, "not a number": {text: "NaN"}, "infinite": {text: "Inf"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := http.Header{"Test-Limit": {tt.text}}
			if !tt.unsigned {
				h.Set("Test-Signature", "signed")
			}
			got, ok := StatedRateLimit(h, names)
			qt.Assert(t, ok, qt.Equals, tt.ok)
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

// Guards against a target that gets more than its limit after the sidecar beside it has
// started again, because only the hosts of the callers know the limit.
func TestLimitOutlivesRestart(t *testing.T) {
	const perSecond, callers = 2, 18
	var arrivals atomic.Int64
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		<-release
		w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
		w.Header().Set("Test-Signature", "signed")
	}))
	defer server.Close()
	g := newGate(server.Listener.Addr().String())
	target, _ := g.Target()
	target.Slots = callers
	g.SetTarget(target)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			request := newRequest(2000)
			request.Header.Set("Test-Id", "q")
			request.RateLimit = perSecond
			g.Do(t.Context(), request).Close()
		})
	}
	time.Sleep(time.Second)
	qt.Check(t, arrivals.Load() <= perSecond*2, qt.IsTrue, qt.Commentf("%d requests", arrivals.Load()))
	qt.Check(t, g.RateLimit(), qt.Equals, float64(perSecond))
	close(release)
	running.Wait()
	// The target has stopped to name the limit, and callers' hosts do not know it yet.
	request := newRequest(2000)
	request.Header.Set("Test-Id", "q")
	request.RateLimit = perSecond
	g.Do(t.Context(), request).Close()
	qt.Check(t, g.RateLimit(), qt.Equals, 0.0)
}
