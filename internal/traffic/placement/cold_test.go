package placement

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against callers' hosts that together send a cold or new target far more than it
// takes, or nothing at all, also after it has become warm.
func TestShareOfColdTarget(t *testing.T) {
	const hosts, targets, slots, warmMillis = 80, 20, 9, 120
	const coldMillis, perSecond = 3000, 12
	for name, reported := range map[string]bool{"turns cold": true, "joins": false} {
		t.Run(name, func(t *testing.T) {
			manual := clock.NewManual(10_000)
			random := rand.New(rand.NewPCG(1, 2))
			var instances []message.Instance
			for i := range targets {
				instances = append(instances, newInstance(string(rune('a'+i)), "d"))
				instances[i].Slots = slots
			}
			cold := instances[targets-1].Incarnation.ID
			respond := func(b *Balancer, id message.InstanceID, isCold bool, remaining clock.Millis) {
				load := hop.Load{Running: slots * 7 / 10, Slots: slots, ServiceMillis: warmMillis}
				if isCold {
					load = hop.Load{Running: 1, Slots: slots, ServiceMillis: slots * 1000 / perSecond, ColdMillis: remaining}
				}
				b.RecordResponse(id, load, false)
			}
			var balancers []*Balancer
			for range hosts {
				b := New(manual.Clock(), "d", random.Float64)
				for _, instance := range instances {
					if id := instance.Incarnation.ID; id != cold || reported {
						b.RecordSent(id)
						respond(b, id, id == cold, coldMillis)
					}
				}
				balancers = append(balancers, b)
			}
			coldUntil := manual.Clock().Now() + coldMillis
			// 1,000 requests a second, in steps of 1 ms; a response takes the time of a step.
			count := func(d clock.Millis) (n int) {
				for end := manual.Clock().Now() + d; manual.Clock().Now() < end; manual.Advance(1) {
					b := balancers[random.IntN(hosts)]
					b.ExpectCold(instances, coldMillis)
					target, ok := b.Choose(instances, nil)
					qt.Assert(t, ok, qt.IsTrue)
					id := target.Incarnation.ID
					if id == cold {
						n++
					}
					b.RecordSent(id)
					respond(b, id, id == cold && manual.Clock().Now() < coldUntil, coldUntil-manual.Clock().Now())
				}
				return n
			}
			whileCold := count(coldMillis)
			qt.Check(t, whileCold >= perSecond && whileCold <= perSecond*3*3/2+8, qt.IsTrue, qt.Commentf("%d requests in 3 s while cold", whileCold))
			whenWarm := count(coldMillis)
			qt.Check(t, whenWarm >= 60, qt.IsTrue, qt.Commentf("%d requests in the 3 s after", whenWarm))
		})
	}
}

// Guards against a host that has just started and takes all targets for new ones.
func TestStartedHostKnowsNoNewTargets(t *testing.T) {
	b := New(clock.NewManual(1000).Clock(), "d", func() float64 { return 0.5 })
	instances := []message.Instance{newInstance("a", "d"), newInstance("b", "d")}
	b.ExpectCold(instances, 3000)
	used := map[message.InstanceID]bool{}
	for range 2 {
		target, _ := b.Choose(instances, nil)
		b.RecordSent(target.Incarnation.ID)
		used[target.Incarnation.ID] = true
	}
	qt.Assert(t, used, qt.HasLen, 2)
}
