package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a slow target that keeps an equal share of the partitions, one
// that does not regain it after recovery, and an estimate that is used for
// another incarnation.
func TestStragglerOwnsFewerPartitions(t *testing.T) {
	r := newTestReplica(t)
	r.configure(64, 8)
	names := []string{"1", "2", "3", "4"}
	latencies := map[string]float64{"1": 10, "2": 11, "3": 12, "4": 10}
	runWithReports := func(d clock.Millis) {
		for ; d > 0; d -= 2000 {
			var heartbeats []wire.HeartbeatRequest
			for _, n := range names {
				h := r.withReleases(newHeartbeat("n"+n, "p"+n, "i"+n, 1))
				h.TargetLatencyMillis = new(latencies[n])
				for _, p := range r.owned(h.Member.Incarnation) {
					h.Loads = append(h.Loads, wire.PartitionLoad{Partition: p.Partition, RequestsPerSecond: 20})
				}
				heartbeats = append(heartbeats, h)
			}
			r.runFor(200, heartbeats...)
			for i, h := range heartbeats {
				heartbeats[i] = r.withReleases(newHeartbeat(string(h.Node), string(h.Process), string(h.Member.Incarnation), 1))
			}
			r.runFor(1800, heartbeats...)
		}
	}
	runWithReports(6000)
	qt.Assert(t, r.owned("i4"), qt.HasLen, 16)
	latencies["4"] = 100
	runWithReports(20_000)
	qt.Assert(t, len(r.owned("i4")) <= 4, qt.IsTrue, qt.Commentf("%d partitions", len(r.owned("i4"))))
	latencies["4"] = 10
	runWithReports(40_000)
	qt.Assert(t, len(r.owned("i4")) >= 13, qt.IsTrue, qt.Commentf("%d partitions", len(r.owned("i4"))))
	latencies["4"] = 100
	runWithReports(2000)
	qt.Assert(t, r.currentLeaderState().speedOf("i4") < 1, qt.IsTrue)
	qt.Assert(t, r.currentLeaderState().speedOf("i5"), qt.Equals, 1.0)
}

// Guards against keys that move repeatedly because the latency of a target
// varies, or because the target recovers for a short time only.
func TestSpeedFollowsWithHysteresis(t *testing.T) {
	cases := map[string]struct {
		estimates []float64
		want      float64
	}{
		"variation":      {[]float64{1, 0.85, 1, 0.82}, 1},
		"much slower":    {[]float64{1, 0.3}, 0.3},
		"short recovery": {[]float64{0.3, 1, 1, 0.3, 1}, 0.3},
		"long recovery":  {[]float64{0.3, 1, 1, 1, 1, 1, 1}, 1},
		"little better":  {[]float64{0.5, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6}, 0.5},
		"nearly full":    {[]float64{0.7, 0.75, 1, 1, 1, 1, 1, 1}, 1},
	}
	for name, c := range cases {
		m := memberSpeed{planned: 1}
		for i, e := range c.estimates {
			m = m.update(e, clock.Millis(2000*(i+1)))
		}
		qt.Assert(t, m.planned, qt.Equals, c.want, qt.Commentf("%s", name))
	}
}
