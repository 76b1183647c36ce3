package limit

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a limit outside [1, slots] after any sequence of results.
func TestLimitStaysWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdjuster(rapid.IntRange(1, 50).Draw(t, "slots"))
		now := clock.Millis(0)
		for range rapid.IntRange(0, 300).Draw(t, "results") {
			now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "step"))
			a.recordInFlight(rapid.IntRange(0, 60).Draw(t, "inFlight"))
			a.observe(now, Result{Latency: clock.Millis(rapid.IntRange(0, 5000).Draw(t, "latency")), Shed: rapid.Bool().Draw(t, "shed")})
			if a.wholeLimit() < 1 || a.limit > a.ceiling {
				t.Fatalf("limit %v, ceiling %v", a.limit, a.ceiling)
			}
		}
	})
}

// Guards against starvation of a class: the chosen class must have waiting requests,
// and no other waiting class may be further below its reserved share.
func TestNextClassIsFurthestBelowShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var running [classCount]int
		var waiting [classCount]bool
		anyWaiting := false
		for c := range classCount {
			running[c] = rapid.IntRange(0, 20).Draw(t, "running")
			waiting[c] = rapid.Bool().Draw(t, "waiting")
			anyWaiting = anyWaiting || waiting[c]
		}
		best, ok := nextClass(running, waiting, DefaultShares)
		if ok != anyWaiting || (ok && !waiting[best]) {
			t.Fatalf("chose %v, %v", best, ok)
		}
		for c := range Class(classCount) {
			if ok && waiting[c] && float64(running[c])/DefaultShares[c] < float64(running[best])/DefaultShares[best] {
				t.Fatalf("class %d is further below its share than %d", c, best)
			}
		}
	})
}

// Guards against more permits than the limit, against other requests that run beside
// an exclusive one, and against permits that are never released.
func TestPermitsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := clock.NewManual(0)
		l := New(Options{Clock: m.Clock(), Slots: rapid.IntRange(1, 5).Draw(t, "slots"), FixedLimit: true})
		var waiting []*waiter
		var permits []*Permit
		collectGranted := func() {
			for i := 0; i < len(waiting); i++ {
				select {
				case p, ok := <-waiting[i].granted:
					if ok {
						permits = append(permits, p)
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
				p, w, _ = l.admitOrQueueExclusive(deadline)
			case action < 3:
				p, w, _ = l.admitOrQueue(Class(rapid.IntRange(0, 2).Draw(t, "class")), deadline)
			case action == 3 && len(waiting) > 0:
				l.abandon(waiting[0])
				waiting = waiting[1:]
			case len(permits) > 0:
				permits[0].Done(Result{Latency: 10})
				permits[0].Done(Result{Latency: 10})
				permits = permits[1:]
			}
			if p != nil {
				permits = append(permits, p)
			}
			if w != nil {
				waiting = append(waiting, w)
			}
			collectGranted()
			if l.InFlight() != len(permits) || l.InFlight() > l.Limit() || (l.exclusive && len(permits) != 1) {
				t.Fatalf("%d in flight, %d permits, limit %d, exclusive %v", l.InFlight(), len(permits), l.Limit(), l.exclusive)
			}
		}
		for len(permits) > 0 {
			permits[0].Done(Result{})
			permits = permits[1:]
			collectGranted()
		}
		if l.InFlight() != 0 || l.Waiting() != 0 {
			t.Fatalf("%d in flight and %d waiting after all requests ended", l.InFlight(), l.Waiting())
		}
	})
}

// Guards against a request that waits although it cannot finish before its deadline,
// and against an error that does not state the reason.
func TestAcquireRejectsImmediately(t *testing.T) {
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
	_, _, err = l.admitOrQueue(Browse, 1000)
	qt.Assert(t, err, qt.IsNil)
	_, err = l.Acquire(t.Context(), Browse, 1000)
	qt.Assert(t, err, qt.ErrorIs, ErrQueueFull)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = l.Acquire(canceled, Critical, 1000)
	qt.Assert(t, err, qt.ErrorIs, ErrCanceled)
}

// Guards against shares of one caller that add up to more than its limit, including
// the minimum shares of as many further nodes that are not counted yet.
func TestSharesDoNotExceedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sum float64
		demand := rapid.SliceOfN(rapid.Float64Range(-10, 1e9), 1, 50).Draw(t, "demand")
		for _, s := range SharesByDemand(demand) {
			if s < 0 {
				t.Fatalf("negative share %v", s)
			}
			sum += s
		}
		n := len(demand)
		if math.Abs(sum-SharePool(n, n)) > 1e-9 || sum+float64(2*n)*MinShare(n) > 1+1e-9 {
			t.Fatalf("shares add up to %v", sum)
		}
		serving := n + rapid.IntRange(0, 500).Draw(t, "not counted")
		if pool := SharePool(n, serving); pool > 0 && pool+float64(serving+n)*MinShare(n) > 1+1e-9 {
			t.Fatalf("pool of %v for %d serving nodes of which %d are counted", pool, serving, n)
		}
	})
}

// exchangeReports assigns shares in response to the reports of all nodes, as the leader
// does. The shares change at all nodes at the same time.
func exchangeReports(m *clock.Manual, budgets []*CallerBudget, regular bool) {
	demands := map[string][]float64{}
	numbers := make([]int, len(budgets))
	for i, b := range budgets {
		r := b.NextReport(regular, 32)
		numbers[i] = r.Number
		for _, d := range r.Demands {
			if demands[d.Caller] == nil {
				demands[d.Caller] = make([]float64, len(budgets))
			}
			demands[d.Caller][i] = d.RequestsPerSecond
		}
	}
	for caller, demand := range demands {
		var sum float64
		for _, b := range budgets {
			sum += b.Share(caller, Browse)
		}
		for i, share := range SharesByDemand(demand) {
			if demand[i] > 0 {
				share = math.Min(share, 1-sum+budgets[i].Share(caller, Browse)-MinShare(len(budgets)))
				sum += math.Max(0, share+MinShare(len(budgets))-budgets[i].Share(caller, Browse))
				budgets[i].SetShare(caller, Browse, share, numbers[i], m.Clock().Now()+ShareDuration)
			}
		}
	}
}

// Guards against a caller that exceeds its rate over all nodes. Shares follow demand
// and expire, and there are more callers than a budget tracks.
func TestCallersStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := clock.NewManual(0)
		const rate, nodes = 100.0, 4
		var budgets []*CallerBudget
		for range nodes {
			b := NewCallerBudget(BudgetOptions{Clock: m.Clock(), RequestsPerSecond: PerClass{Browse: rate}, MaxTrackedCallers: budgetShards})
			b.SetNodes(nodes)
			// The hash has no random seed, so that a run of rapid can be reproduced.
			b.hash = xxhash.Sum64String
			budgets = append(budgets, b)
		}
		allowed := map[string]int{}
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			m.Advance(clock.Millis(rapid.SampledFrom([]int{0, 5, 30, 500, 7000}).Draw(t, "step")))
			caller := strconv.Itoa(rapid.IntRange(0, 40).Draw(t, "caller"))
			for range 10 {
				if budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")].Allow(caller, Browse) {
					allowed[caller]++
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "report") == 0 {
				exchangeReports(m, budgets, rapid.Bool().Draw(t, "regular"))
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

// newTwoNodeBudget returns the budget of one of two nodes, which tracks one caller at a
// time. send sends n requests of a caller and returns how many of them are allowed.
func newTwoNodeBudget(m *clock.Manual) (b *CallerBudget, send func(caller string, n int) int) {
	b = NewCallerBudget(BudgetOptions{Clock: m.Clock(), RequestsPerSecond: PerClass{Browse: 100}, MaxTrackedCallers: 1})
	b.SetNodes(2)
	b.hash = func(string) uint64 { return 0 }
	return b, func(caller string, n int) int {
		allowed := 0
		for range n {
			if b.Allow(caller, Browse) {
				allowed++
			}
		}
		return allowed
	}
}

// Guards against tokens that are added at a node's extra share for the time before it
// was assigned or after it has ended, when another node has that part of the rate.
func TestShareAppliesOnlyWhileValid(t *testing.T) {
	m := clock.NewManual(0)
	b, send := newTwoNodeBudget(m)
	qt.Assert(t, send("x", 100), qt.Equals, 50)
	r := b.NextReport(false, 1)
	qt.Assert(t, r.Demands, qt.DeepEquals, []Demand{{Caller: "x", Class: Browse, RequestsPerSecond: 500}})
	m.Advance(400)
	b.SetShare("x", Browse, 0.75, r.Number, 1000)
	qt.Assert(t, send("x", 100), qt.Equals, 1)
	m.Advance(200)
	qt.Assert(t, send("x", 100), qt.Equals, 15)
	m.Advance(800)
	qt.Assert(t, send("x", 100), qt.Equals, 32)
	qt.Assert(t, b.Share("x", Browse), qt.Equals, MinShare(2))
}

// Guards against a response to an earlier report that raises a share again after the
// node has confirmed a lower one or returned it.
func TestOutdatedResponseIsIgnored(t *testing.T) {
	m := clock.NewManual(0)
	b, send := newTwoNodeBudget(m)
	send("x", 100)
	first := b.NextReport(false, 1)
	b.SetShare("x", Browse, 0.5, first.Number, 6000)
	m.Advance(2000)
	send("x", 10)
	second := b.NextReport(true, 1)
	b.SetShare("x", Browse, 0.1, second.Number, 8000)
	b.SetShare("x", Browse, 0.5, first.Number, 8000)
	qt.Assert(t, b.Share("x", Browse), qt.Equals, 0.1+MinShare(2))
	// The lowered share is confirmed in the next report of any kind.
	third := b.NextReport(false, 1)
	qt.Assert(t, third.Demands, qt.DeepEquals, []Demand{{Caller: "x", Class: Browse, RequestsPerSecond: 1, AnsweredReport: second.Number}})
	m.Advance(2000)
	returned := b.NextReport(true, 1)
	qt.Assert(t, returned.Demands[0].RequestsPerSecond, qt.Equals, 0.0)
	b.SetShare("x", Browse, 0.5, third.Number, 8000)
	qt.Assert(t, b.Share("x", Browse), qt.Equals, MinShare(2))
}

// Guards against a caller that uses the bucket shared by untracked callers and then
// gets a full one of its own, and against long names that exhaust memory.
func TestNewBucketHoldsNoMoreThanTheSharedOne(t *testing.T) {
	m := clock.NewManual(0)
	b, send := newTwoNodeBudget(m)
	qt.Assert(t, send("x", 1), qt.Equals, 1)
	qt.Assert(t, send("y", 100), qt.Equals, 50)
	// The bucket of x is full again, so x is evicted and y is tracked.
	m.Advance(400)
	qt.Assert(t, send("y", 100), qt.Equals, 1)
	m.Advance(1000)
	qt.Assert(t, send(strings.Repeat("z", maxTrackedName+1), 100), qt.Equals, 3)
	qt.Assert(t, len(b.shards[0].callers), qt.Equals, 1)
}

// Guards against reports that grow with the number of callers, and against callers
// that are never reported.
func TestReportsAreBounded(t *testing.T) {
	m := clock.NewManual(0)
	b := NewCallerBudget(BudgetOptions{Clock: m.Clock(), RequestsPerSecond: PerClass{Browse: 1}})
	for n := range 20 {
		for range 2 + n {
			b.Allow(strconv.Itoa(n), Browse)
		}
	}
	reported := map[string]bool{}
	for _, maxDemands := range []int{8, 8, 8, 8} {
		for _, d := range b.NextReport(false, maxDemands).Demands {
			reported[d.Caller] = true
		}
		qt.Assert(t, len(reported) <= 16 || len(reported) == 20, qt.IsTrue)
	}
	qt.Assert(t, reported, qt.HasLen, 20)
	qt.Assert(t, reported["19"], qt.IsTrue)
	b.Allow("19", Browse)
	qt.Assert(t, b.NextReport(true, 32).Demands, qt.HasLen, 0)
}

func BenchmarkAcquireDone(b *testing.B) {
	c := clock.System()
	l := New(Options{Clock: c, Slots: 1000})
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if permit, err := l.Acquire(b.Context(), Normal, c.Now()+1000); err == nil {
				permit.Done(Result{Latency: 1})
			}
		}
	})
}

func BenchmarkAllow(b *testing.B) {
	budget := NewCallerBudget(BudgetOptions{Clock: clock.System(), RequestsPerSecond: PerClass{Browse: 1e9}})
	names := []string{"knitter-1", "knitter-2", "porter-1", "porter-2", "coordinator-1"}
	b.RunParallel(func(p *testing.PB) {
		for i := 0; p.Next(); i++ {
			budget.Allow(names[i%len(names)], Browse)
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
	b := NewCallerBudget(BudgetOptions{Clock: clock.NewManual(0).Clock(), RequestsPerSecond: PerClass{Browse: 4}})
	b.SetNodes(2)
	fmt.Println(b.Allow("porter-1", Browse), b.Allow("porter-1", Browse), b.Allow("porter-1", Browse))
	report := b.NextReport(false, 8)
	fmt.Println(report.Demands[0].Caller, report.Demands[0].RequestsPerSecond)
	// The leader assigns an extra share.
	b.SetShare("porter-1", Browse, SharesByDemand([]float64{15})[0], report.Number, ShareDuration)
	fmt.Printf("%.3f\n", b.Share("porter-1", Browse))
	// Output:
	// true true false
	// porter-1 15
	// 0.925
}
