package mesh

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// Guards against a target that gets, from all hosts together, more requests in a second than
// it bears after it has turned cold in the middle of traffic, against one that gets none
// while it is cold, and against one that is not used again afterwards.
func TestTargetThatTurnsColdUnderLoad(t *testing.T) {
	const coldTime, perSecond, bound = 4 * time.Second, 10, 10*1.5 + 8
	for name, others := range map[string]int{"only target of its service": 0, "one of two": 1} {
		t.Run(name, func(t *testing.T) {
			s := startMesh(t, 1)
			s.applyChange(message.ConfigurationChange{Version: 2, BaseVersion: 1, Digest: "second",
				Services: []message.ServiceSpec{{Name: "notices", ColdPerSecond: perSecond, ColdMillis: message.Millis(coldTime.Milliseconds()), Source: "{}"}},
				Routes:   []message.Route{{Name: "notice", HostName: "mesh.example", Prefix: "/notice/", Repeatable: true, MaxAttempts: 2, TargetLatencyMillis: 500, Splits: []message.Split{{Service: "notices", Weight: 1}}, Source: "{}"}},
			})
			cold := s.addHost(1, "notices")
			callers := []*host{cold}
			for i := range others {
				callers = append(callers, s.addHost(10+i, "notices"))
			}
			callers = append(callers, s.addHost(2, "courier"), s.addHost(3, "courier"))
			var mu sync.Mutex
			var arrivals []time.Time
			cold.target.setHandler(func(http.ResponseWriter, *http.Request, *target) {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			})
			countBetween := func(from, to time.Time) (n int) {
				mu.Lock()
				defer mu.Unlock()
				for _, at := range arrivals {
					if !at.Before(from) && at.Before(to) {
						n++
					}
				}
				return n
			}
			var stop atomic.Bool
			var running sync.WaitGroup
			defer running.Wait()
			defer stop.Store(true)
			for i, h := range callers {
				for j := range 6 {
					running.Go(func() {
						for n := 0; !stop.Load(); n++ {
							if r := h.send(http.MethodGet, "/notice/x", fmt.Sprintf("%d-%d-%d", i, j, n), -1, ""); r.status != http.StatusOK {
								time.Sleep(5 * time.Millisecond)
							}
						}
					})
				}
			}
			s.eventually("the target is busy", func() bool { now := time.Now(); return countBetween(now.Add(-time.Second), now) > 3*bound })
			cold.target.mu.Lock()
			turned := time.Now()
			cold.target.coldUntil = turned.Add(coldTime)
			cold.target.mu.Unlock()
			qt.Assert(t, cold.target.sendHeartbeat(), qt.IsNil)
			told := time.Now().Add(50 * time.Millisecond) // what was sent before may still arrive
			time.Sleep(time.Until(turned.Add(coldTime)))
			most := 0
			for from := told; from.Before(turned.Add(coldTime)); from = from.Add(10 * time.Millisecond) {
				most = max(most, countBetween(from, from.Add(time.Second)))
				if from.Add(time.Second).After(turned.Add(coldTime)) {
					break
				}
			}
			t.Logf("at most %d requests in a second, %d while cold", most, countBetween(told, turned.Add(coldTime)))
			qt.Check(t, most <= bound, qt.IsTrue, qt.Commentf("%d requests in a second, but at most %.0f are allowed", most, bound))
			qt.Check(t, most > 0, qt.IsTrue)
			s.eventually("the target is busy again", func() bool { now := time.Now(); return countBetween(now.Add(-time.Second), now) > 3*bound })
		})
	}
}
