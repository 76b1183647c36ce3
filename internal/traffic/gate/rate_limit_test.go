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

func TestParseRateLimit(t *testing.T) {
	tests := map[string]struct {
		text string
		want float64
		ok   bool
	}{
		"whole number": {"25", 25, true}, "fraction": {"0.5", 0.5, true}, "zero": {"0", 0, true},
		"none": {"", 0, false}, "negative": {"-1", -1, false}, "no number": {"many", 0, false}, "not a number": {"NaN", 0, false}, "infinite": {"Inf", 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := parseRateLimit(http.Header{"Test-Limit": {tt.text}}, "Test-Limit")
			qt.Assert(t, ok, qt.Equals, tt.ok)
			if ok {
				qt.Assert(t, got, qt.Equals, tt.want)
			}
		})
	}
}
