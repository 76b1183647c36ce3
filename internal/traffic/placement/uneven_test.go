package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// unevenLoad is a load of many hosts, each of which sends a few requests a second to the
// targets of one service. The targets differ in speed, and neighbours on their hosts slow
// some of them down for short times.
type unevenLoad struct {
	hosts, targetsPerDomain, slots int
	perSecond                      float64 // requests of all hosts together
	workMillis                     float64
	objectiveMillis                clock.Millis
	speeds                         []float64
	// concentration is the part of the requests that begin in one failure domain, beside its
	// share of the others.
	concentration float64
}

// unevenResult is what the callers got, as parts of all requests.
type unevenResult struct{ inTime, crossDomain float64 }

type simTarget struct {
	speed                   float64
	running                 int
	waiting                 []*simRequest
	mean                    float64
	slowUntil, nextInterval clock.Millis
}

type simRequest struct {
	host   int
	target message.InstanceID
	start  clock.Millis
	work   float64
}

type simEvent struct {
	at  clock.Millis
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// play plays the load for 20 s and measures the last 15 s.
func (u unevenLoad) play(seed uint64) unevenResult {
	const domains, warmup, end = 3, 5000, 20_000
	random := rand.New(rand.NewPCG(seed, 1))
	manual := clock.NewManual(1000)
	var events simEvents
	at := func(t clock.Millis, f func()) { heap.Push(&events, simEvent{t, f}) }
	var instances []message.Instance
	targets := map[message.InstanceID]*simTarget{}
	for i := range domains * u.targetsPerDomain {
		instance := newInstance(fmt.Sprintf("t%02d", i), fmt.Sprint(i%domains))
		instance.Slots = u.slots
		instances = append(instances, instance)
		targets[instance.Incarnation.ID] = &simTarget{speed: u.speeds[i%len(u.speeds)]}
	}
	domainOf := map[message.InstanceID]message.FailureDomain{}
	for _, i := range instances {
		domainOf[i.Incarnation.ID] = i.Domain
	}
	balancers := make([]*Balancer, u.hosts)
	for i := range balancers {
		balancers[i] = New(manual.Clock(), message.FailureDomain(fmt.Sprint(i%domains)), random.Float64)
	}
	// slowed reports whether the target is slowed by its neighbours: a fifth of the time.
	slowed := func(t *simTarget) bool {
		for now := manual.Clock().Now(); now >= t.nextInterval; t.nextInterval += 400 {
			if random.Float64() < 0.2 {
				t.slowUntil = t.nextInterval + 400
			}
		}
		return manual.Clock().Now() < t.slowUntil
	}
	var out unevenResult
	measured, crossed := 0, 0
	load := func(t *simTarget) hop.Load {
		return hop.Load{Running: t.running, Waiting: len(t.waiting), Slots: u.slots, ServiceMillis: clock.Millis(t.mean)}
	}
	var begin func(id message.InstanceID, r *simRequest)
	begin = func(id message.InstanceID, r *simRequest) {
		t, now := targets[id], manual.Clock().Now()
		t.running++
		duration := r.work / t.speed
		if slowed(t) {
			duration *= 3
		}
		at(now+clock.Millis(duration)+1, func() {
			now := manual.Clock().Now()
			t.running--
			if t.mean == 0 {
				t.mean = duration
			}
			t.mean += 0.1 * (duration - t.mean)
			reported := load(t)
			balancers[r.host].RecordResponse(r.target, reported, false)
			if now > warmup {
				measured++
				if now-r.start <= u.objectiveMillis {
					out.inTime++
				}
				if domainOf[r.target] != balancers[r.host].domain {
					crossed++
				}
			}
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				begin(id, next)
			}
		})
	}

	arrive := func() {
		now := manual.Clock().Now()
		host := random.IntN(u.hosts)
		if random.Float64() < u.concentration {
			host -= host % domains
		}
		chosen, _ := balancers[host].Choose(instances, nil)
		id := chosen.Incarnation.ID
		balancers[host].RecordSent(id)
		work := u.workMillis * math.Exp(0.5*random.NormFloat64()-0.125)
		r := &simRequest{host: host, target: id, start: now, work: work}
		if t := targets[id]; t.running < u.slots {
			begin(id, r)
		} else {
			t.waiting = append(t.waiting, r)
		}
	}
	for now := 0.0; now < end; now += random.ExpFloat64() * 1000 / u.perSecond {
		at(clock.Millis(now), arrive)
	}
	heap.Init(&events)
	for len(events) > 0 {
		e := heap.Pop(&events).(simEvent)
		if e.at > manual.Clock().Now() {
			manual.Advance(e.at - manual.Clock().Now())
		}
		e.run()
	}
	out.inTime /= float64(measured)
	out.crossDomain = float64(crossed) / float64(measured)
	return out
}

// Guards against hosts that all choose the same target because each of them sees few of its
// responses, and against hosts that leave their failure domain while it has room. A fourth of
// the targets has half the speed of the others, and each is slowed a fifth of the time.
func TestManyHostsSpreadRequestsOverUnevenTargets(t *testing.T) {
	rare := unevenLoad{hosts: 81, targetsPerDomain: 9, slots: 9, workMillis: 125, objectiveMillis: 400, speeds: []float64{0.55, 1.2, 1.2, 1.2}}
	frequent := unevenLoad{hosts: 28, targetsPerDomain: 7, slots: 9, workMillis: 45, objectiveMillis: 120, speeds: []float64{0.5, 1, 1, 1.5}}
	tests := map[string]struct {
		load                   unevenLoad
		perSecond              float64
		concentration          float64
		minInTime, maxCrossing float64
	}{
		"few requests of each host, half of the capacity":        {load: rare, perSecond: 800, minInTime: 0.9, maxCrossing: 0.1},
		"few requests of each host, two thirds of the capacity":  {load: rare, perSecond: 1150, minInTime: 0.8, maxCrossing: 0.15},
		"few requests of each host, most in one domain":          {load: rare, perSecond: 1000, concentration: 0.4, minInTime: 0.7, maxCrossing: 0.25},
		"many requests of each host, two thirds of the capacity": {load: frequent, perSecond: 2600, minInTime: 0.75, maxCrossing: 0.2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const seeds = 3
			inTime, crossing := 0.0, 0.0
			for seed := range uint64(seeds) {
				tt.load.perSecond, tt.load.concentration = tt.perSecond, tt.concentration
				r := tt.load.play(seed)
				inTime, crossing = inTime+r.inTime/seeds, crossing+r.crossDomain/seeds
			}
			t.Logf("%.3f of the requests are in time, %.3f go to other failure domains", inTime, crossing)
			qt.Check(t, inTime >= tt.minInTime, qt.IsTrue)
			qt.Check(t, crossing <= tt.maxCrossing, qt.IsTrue)
		})
	}
}
