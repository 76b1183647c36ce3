package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a straggler that keeps its even share of the keys, one that
// never gets it back, and an estimate that outlives the incarnation it is of.
func TestStragglerOwnsFewerPartitions(t *testing.T) {
	r := newRig(t)
	r.configure(64, 8)
	names := []string{"1", "2", "3", "4"}
	latency := map[string]float64{"1": 10, "2": 11, "3": 12, "4": 10}
	run := func(d clock.Millis) {
		for ; d > 0; d -= 2000 {
			var nodes []wire.HeartbeatRequest
			for _, n := range names {
				h := r.releasing(beat("n"+n, "p"+n, "i"+n, 1))
				h.TargetLatencyMillis = new(latency[n])
				for _, p := range r.owned(h.Member.Incarnation) {
					h.Loads = append(h.Loads, wire.PartitionLoad{Partition: p.Partition, RequestsPerSecond: 20})
				}
				nodes = append(nodes, h)
			}
			r.pass(200, nodes...)
			for i, h := range nodes {
				nodes[i] = r.releasing(beat(string(h.Node), string(h.Process), string(h.Member.Incarnation), 1))
			}
			r.pass(1800, nodes...)
		}
	}
	run(6000)
	qt.Assert(t, r.owned("i4"), qt.HasLen, 16)
	latency["4"] = 100
	run(20_000)
	qt.Assert(t, len(r.owned("i4")) <= 4, qt.IsTrue, qt.Commentf("%d partitions", len(r.owned("i4"))))
	latency["4"] = 10
	run(40_000)
	qt.Assert(t, len(r.owned("i4")) >= 13, qt.IsTrue, qt.Commentf("%d partitions", len(r.owned("i4"))))
	latency["4"] = 100
	run(2000)
	qt.Assert(t, r.currentOffice().speedOf("i4") < 1, qt.IsTrue)
	qt.Assert(t, r.currentOffice().speedOf("i5"), qt.Equals, 1.0)
}

// Guards against keys that move back and forth with a target whose latency
// varies, or that recovers for a moment only.
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
		v := memberSpeed{used: 1}
		for i, e := range c.estimates {
			v = v.follow(e, clock.Millis(2000*(i+1)))
		}
		qt.Assert(t, v.used, qt.Equals, c.want, qt.Commentf("%s", name))
	}
}
