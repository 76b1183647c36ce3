package limit

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a limit outside [1, slots], whatever the results.
func TestLimitStaysWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdjuster(rapid.IntRange(1, 50).Draw(t, "slots"))
		now := clock.Millis(0)
		for range rapid.IntRange(0, 300).Draw(t, "results") {
			now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "step"))
			a.sawInFlight(rapid.IntRange(0, 60).Draw(t, "inFlight"))
			a.observe(now, Result{Latency: clock.Millis(rapid.IntRange(0, 5000).Draw(t, "latency")), Shed: rapid.Bool().Draw(t, "shed")})
			if a.whole() < 1 || a.limit > a.ceiling {
				t.Fatalf("limit %v, ceiling %v", a.limit, a.ceiling)
			}
		}
	})
}

// Guards against a class being starved: the chosen class waits, and no waiting
// class is further below its reserved share.
func TestNextClassIsFurthestBelowShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var running [classCount]int
		var waiting [classCount]bool
		some := false
		for c := range classCount {
			running[c] = rapid.IntRange(0, 20).Draw(t, "running")
			waiting[c] = rapid.Bool().Draw(t, "waiting")
			some = some || waiting[c]
		}
		best, ok := nextClass(running, waiting, DefaultShares)
		if ok != some || (ok && !waiting[best]) {
			t.Fatalf("chose %v, %v", best, ok)
		}
		for c := range Class(classCount) {
			if ok && waiting[c] && float64(running[c])/DefaultShares[c] < float64(running[best])/DefaultShares[best] {
				t.Fatalf("class %d is further below its share than %d", c, best)
			}
		}
	})
}

// Guards against more permits than the limit, against company for a request that
// must run alone, and against permits that are lost.
func TestPermitsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := clock.NewManual(0)
		l := New(Options{Clock: m.Clock(), Slots: rapid.IntRange(1, 5).Draw(t, "slots"), Fixed: true})
		var waiting []*waiter
		var held []*Permit
		collect := func() {
			for i := 0; i < len(waiting); i++ {
				select {
				case p, ok := <-waiting[i].granted:
					if ok {
						held = append(held, p)
					}
					waiting = append(waiting[:i:i], waiting[i+1:]...)
					i--
				default:
				}
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			m.Advance(clock.Millis(rapid.IntRange(0, 20).Draw(t, "step")))
			deadline := m.Clock().Now() + clock.Millis(rapid.IntRange(0, 200).Draw(t, "deadline"))
			var p *Permit
			var w *waiter
			switch action := rapid.IntRange(0, 4).Draw(t, "action"); {
			case action == 0:
				p, w, _ = l.enterAlone(deadline)
			case action < 3:
				p, w, _ = l.enter(Class(rapid.IntRange(0, 2).Draw(t, "class")), deadline)
			case action == 3 && len(waiting) > 0:
				l.abandon(waiting[0])
				waiting = waiting[1:]
			case len(held) > 0:
				held[0].Done(Result{Latency: 10})
				held[0].Done(Result{Latency: 10})
				held = held[1:]
			}
			if p != nil {
				held = append(held, p)
			}
			if w != nil {
				waiting = append(waiting, w)
			}
			collect()
			if l.InFlight() != len(held) || l.InFlight() > l.Limit() || (l.runsAlone && len(held) != 1) {
				t.Fatalf("%d in flight, %d held, limit %d, alone %v", l.InFlight(), len(held), l.Limit(), l.runsAlone)
			}
		}
		for len(held) > 0 {
			held[0].Done(Result{})
			held = held[1:]
			collect()
		}
		if l.InFlight() != 0 || l.Waiting() != 0 {
			t.Fatalf("%d in flight and %d waiting after all ended", l.InFlight(), l.Waiting())
		}
	})
}

// Guards against a request waiting for what it cannot get in time, and against
// an error that does not say why.
func TestAcquireRefusesAtOnce(t *testing.T) {
	m := clock.NewManual(0)
	l := New(Options{Clock: m.Clock(), Slots: 1, QueueLength: 1})
	first, err := l.Acquire(t.Context(), Browse, 1000)
	qt.Assert(t, err, qt.IsNil)
	first.Done(Result{Latency: 100})
	_, err = l.Acquire(t.Context(), Browse, 0)
	qt.Assert(t, err, qt.ErrorIs, ErrDeadline)
	_, err = l.Acquire(t.Context(), Browse, 1000)
	qt.Assert(t, err, qt.IsNil)
	_, err = l.Acquire(t.Context(), Browse, 150)
	qt.Assert(t, err, qt.ErrorIs, ErrDeadline)
	_, _, err = l.enter(Browse, 1000)
	qt.Assert(t, err, qt.IsNil)
	_, err = l.Acquire(t.Context(), Browse, 1000)
	qt.Assert(t, err, qt.ErrorIs, ErrFull)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = l.Acquire(canceled, Critical, 1000)
	qt.Assert(t, err, qt.ErrorIs, ErrCanceled)
}

// Guards against the shares of one caller adding up to more than its limit.
func TestSharesAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sum float64
		for _, s := range Shares(rapid.SliceOfN(rapid.Float64Range(-10, 1e9), 1, 50).Draw(t, "demand")) {
			if s < 0 {
				t.Fatalf("negative share %v", s)
			}
			sum += s
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("shares add up to %v", sum)
		}
	})
}

// exchange does what the leader does with the reports of nodes.
func exchange(budgets []*CallerBudget) {
	demand := map[string][]float64{}
	for i, b := range budgets {
		for _, d := range b.TakeDemand() {
			if demand[d.Caller] == nil {
				demand[d.Caller] = make([]float64, len(budgets))
			}
			demand[d.Caller][i] = d.Requests
		}
	}
	for caller, d := range demand {
		for i, share := range Shares(d) {
			budgets[i].SetShare(caller, Browse, share)
		}
	}
}

// Guards against a caller exceeding its rate over all nodes, with shares that
// follow demand, also when more callers appear than are tracked.
func TestCallersStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := clock.NewManual(0)
		const rate, nodes = 100.0, 4
		var budgets []*CallerBudget
		for range nodes {
			b := NewCallerBudget(BudgetOptions{Clock: m.Clock(), PerSecond: PerClass{Browse: rate}, Callers: budgetShards})
			b.SetNodes(nodes)
			// The same seed must give the same callers in each shard.
			b.hash = xxhash.Sum64String
			budgets = append(budgets, b)
		}
		allowed := map[string]int{}
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			m.Advance(clock.Millis(rapid.IntRange(0, 30).Draw(t, "step")))
			caller := strconv.Itoa(rapid.IntRange(0, 40).Draw(t, "caller"))
			for range 10 {
				if budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")].Allow(caller, Browse) {
					allowed[caller]++
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "report") == 0 {
				exchange(budgets)
			}
		}
		// A bucket holds at least one request, however small its share.
		bound := rate*burstSeconds + rate*float64(m.Clock().Now())/1000 + nodes
		for c, n := range allowed {
			if float64(n) > bound+1e-6 {
				t.Fatalf("caller %s was allowed %d requests, bound %v", c, n, bound)
			}
		}
	})
}

// callerOnNodes returns two nodes' budgets that track one caller at a time, and a
// function that counts how many of n requests a node allows.
func callerOnNodes(m *clock.Manual) (a, b *CallerBudget, send func(at *CallerBudget, caller string, n int) int) {
	budgets := make([]*CallerBudget, 2)
	for i := range budgets {
		budgets[i] = NewCallerBudget(BudgetOptions{Clock: m.Clock(), PerSecond: PerClass{Browse: 100}, Callers: 1})
		budgets[i].SetNodes(2)
		budgets[i].hash = func(string) uint64 { return 0 }
	}
	send = func(at *CallerBudget, caller string, n int) int {
		allowed := 0
		for range n {
			if at.Allow(caller, Browse) {
				allowed++
			}
		}
		return allowed
	}
	return budgets[0], budgets[1], send
}

// Guards against time that counts at a share which another node held then.
func TestRaisedShareDoesNotCountForEarlierTime(t *testing.T) {
	m := clock.NewManual(0)
	a, _, send := callerOnNodes(m)
	qt.Assert(t, send(a, "x", 100), qt.Equals, 50)
	m.Advance(500)
	a.SetShare("x", Browse, 0.9)
	qt.Assert(t, send(a, "x", 100), qt.Equals, 25)
}

// Guards against a caller that uses the shared bucket of untracked callers and
// then gets a full one of its own.
func TestNewBucketHoldsNoMoreThanTheSharedOne(t *testing.T) {
	m := clock.NewManual(0)
	a, _, send := callerOnNodes(m)
	qt.Assert(t, send(a, "x", 1), qt.Equals, 1)
	qt.Assert(t, send(a, "y", 100), qt.Equals, 50)
	// The bucket of x is full again, so y takes its place.
	m.Advance(100)
	qt.Assert(t, send(a, "y", 100), qt.Equals, 5)
}

// Guards against a node that could not keep the share it was given and goes on
// with an equal one while another node has the rest.
func TestLostShareCountsAsTheLeast(t *testing.T) {
	m := clock.NewManual(0)
	a, b, send := callerOnNodes(m)
	send(a, "x", 100)
	send(a, "y", 100)
	send(b, "y", 100)
	shares := Shares([]float64{0, 100})
	a.SetShare("y", Browse, shares[0])
	b.SetShare("y", Browse, shares[1])
	m.Advance(500)
	qt.Assert(t, send(a, "y", 100)+send(b, "y", 100), qt.Equals, 50)
}

func BenchmarkAcquireDone(b *testing.B) {
	c := clock.System()
	l := New(Options{Clock: c, Slots: 1000})
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if v, err := l.Acquire(b.Context(), Normal, c.Now()+1000); err == nil {
				v.Done(Result{Latency: 1})
			}
		}
	})
}

func BenchmarkAllow(b *testing.B) {
	l := NewCallerBudget(BudgetOptions{Clock: clock.System(), PerSecond: PerClass{Browse: 1e9}})
	names := []string{"knitter-1", "knitter-2", "porter-1", "porter-2", "coordinator-1"}
	b.RunParallel(func(p *testing.PB) {
		for i := 0; p.Next(); i++ {
			l.Allow(names[i%len(names)], Browse)
		}
	})
}

func ExampleLimiter() {
	m := clock.NewManual(0)
	l := New(Options{Clock: m.Clock(), Slots: 1})
	p, _ := l.Acquire(context.Background(), Browse, 1000)
	m.Advance(200)
	fmt.Println(l.InFlight())
	p.Done(Result{Latency: 200})
	_, _ = l.Acquire(context.Background(), Browse, 1000)
	_, err := l.Acquire(context.Background(), Browse, 300)
	fmt.Println(err)
	// Output:
	// 1
	// request cannot finish before its deadline
}

func ExampleCallerBudget() {
	b := NewCallerBudget(BudgetOptions{Clock: clock.NewManual(0).Clock(), PerSecond: PerClass{Browse: 4}})
	b.SetNodes(2)
	fmt.Println(b.Allow("porter-1", Browse), b.Allow("porter-1", Browse), b.Allow("porter-1", Browse))
	// Output: true true false
}
