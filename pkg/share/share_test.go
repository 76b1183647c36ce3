package share

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/retry"
)

// failingHosts plays 81 hosts that divide 163 retries. For 2 s, 3 of 5 requests on 6 of them
// fail and need a retry; each has 25 requests a second. It returns how many retries were
// needed and how many were allowed by the budgets that make returns.
func failingHosts(exchange func(now clock.Millis), deposit func(host int), withdraw func(host int) bool, advance func()) (needed, allowed int) {
	const failing, between, duration = 6, 40, 2000
	for now := clock.Millis(0); now < duration; now += between {
		exchange(now)
		for host := range failing {
			deposit(host)
			if (int(now)/between+host)%5 < 3 {
				needed++
				if withdraw(host) {
					allowed++
				}
			}
		}
		advance()
	}
	return needed, allowed
}

// Guards against a limit that is of no use when few of many hosts have trouble.
func TestFewFailingHostsGetMostOfTheLimit(t *testing.T) {
	const hosts, limit, ratio = 81, 163, 0.14
	static := make([]*retry.Budget, hosts)
	for i := range static {
		static[i] = retry.NewBudget(retry.Options{Ratio: ratio, Capacity: limit / hosts})
	}
	needed, before := failingHosts(func(clock.Millis) {}, func(i int) { static[i].Deposit() }, func(i int) bool { return static[i].Withdraw() }, func() {})

	m := clock.NewManual(1000)
	ledger := NewLedger(limit, DefaultTerms, m.Clock().Now())
	holders := make([]*Holder, hosts)
	exchange := func() {
		for i, h := range holders {
			if r := h.NextRequest(); r != nil {
				reply := ledger.Answer(HolderID(fmt.Sprint("host-", i)), *r, m.Clock().Now())
				h.Apply(r, &reply, m.Clock().Now())
			}
		}
	}
	for i := range holders {
		holders[i] = NewHolder(HolderOptions{Clock: m.Clock(), Terms: DefaultTerms, Limit: limit, Holders: func() int { return hosts }, Ratio: ratio})
	}
	for range 8 { // the parts are stated and the time of the ledger's predecessor is over
		exchange()
		m.Advance(stateInterval)
	}
	for _, h := range holders {
		for range 8 {
			h.Budget("orders").Deposit()
		}
	}
	_, after := failingHosts(func(now clock.Millis) {
		if now%askInterval == 0 {
			exchange()
		}
	}, func(i int) { holders[i].Budget("orders").Deposit() }, func(i int) bool { return holders[i].Budget("orders").Withdraw(1) }, func() { m.Advance(40) })

	t.Logf("%d of %d retries with a static division, %d with shares", before, needed, after)
	qt.Assert(t, after >= before*2, qt.IsTrue, qt.Commentf("%d retries with a static division, %d with shares", before, after))
}

// Guards against messages of hosts that need nothing.
func TestIdleHolderOnlyStatesItsPart(t *testing.T) {
	m := clock.NewManual(1000)
	h := NewHolder(HolderOptions{Clock: m.Clock(), Terms: DefaultTerms, Limit: 100, Holders: func() int { return 10 }, Ratio: 0.1})
	requests := 0
	for range 100 {
		if r := h.NextRequest(); r != nil {
			requests++
			h.Apply(r, &Reply{Part: 5}, m.Clock().Now())
		}
		m.Advance(400)
	}
	qt.Assert(t, requests <= 2+40_000/int(stateInterval), qt.IsTrue, qt.Commentf("%d requests in 40 s", requests))
}

// Guards against a host that gives up its part for a core of an earlier release.
func TestHolderKeepsFallbackPartWithoutReply(t *testing.T) {
	m := clock.NewManual(1000)
	h := NewHolder(HolderOptions{Clock: m.Clock(), Terms: DefaultTerms, Limit: 100, Holders: func() int { return 10 }, Ratio: 1})
	b := h.Budget("orders")
	h.Apply(h.NextRequest(), nil, m.Clock().Now())
	for range 20 {
		b.Deposit()
	}
	qt.Assert(t, b.Withdraw(10), qt.IsTrue)
	qt.Assert(t, b.Withdraw(1), qt.IsFalse)
	qt.Assert(t, h.NextRequest().Part, qt.Equals, 0)
}

// Guards against a ledger that runs out of room for holders, processes or pools.
func TestLedgerForgets(t *testing.T) {
	l := NewLedger(100, DefaultTerms, 0)
	l.Answer("host-a", Request{Process: 1, Number: 1, Part: 1}, 0)
	now := DefaultTerms.Reuse()
	for i := range 3 * maxPools {
		l.Answer("host-a", Request{Process: 1, Number: 2 + i, Part: 1, Asks: []Ask{{Pool: Pool(fmt.Sprint(i)), Amount: 1}}}, now)
	}
	for i := range 3 * maxProcesses {
		l.Answer("host-a", Request{Process: int64(i), Part: 1}, now)
	}
	qt.Assert(t, l.pools, qt.HasLen, maxPools)
	qt.Assert(t, l.stated["host-a"].byProcess, qt.HasLen, maxProcesses)
	now += 2 * forgetAfter
	l.Answer("host-b", Request{Process: 1, Part: 1}, now)
	now += DefaultTerms.Reuse()
	reply := l.Answer("host-b", Request{Process: 1, Number: 1, Part: 1, Asks: []Ask{{Pool: "new", Amount: 1}}}, now)
	qt.Assert(t, reply.Grants, qt.DeepEquals, []int{1})
	qt.Assert(t, l.stated, qt.HasLen, 1)
	qt.Assert(t, l.pools, qt.HasLen, 1)
}

// Guards against a doubled message that frees what was used, or that takes a second grant.
func TestDoubledMessagesChangeNothing(t *testing.T) {
	l := NewLedger(100, DefaultTerms, 0)
	l.Answer("host-a", Request{Process: 1, Number: 1, Part: 50}, 0)
	now := DefaultTerms.Reuse()
	ask := Request{Process: 1, Number: 2, Part: 50, Asks: []Ask{{Pool: "orders", Amount: 20}}}
	back := Request{Process: 1, Number: 3, Part: 50, Returns: []Return{{Pool: "orders", Number: 2, Amount: 5}}}
	for range 2 {
		qt.Assert(t, l.Answer("host-a", ask, now).Grants, qt.DeepEquals, []int{20})
	}
	for range 2 {
		l.Answer("host-a", back, now)
		qt.Assert(t, l.Granted(now), qt.Equals, 15)
	}
	qt.Assert(t, l.Answer("host-a", ask, now).Grants, qt.DeepEquals, []int{0})
}

// Guards against grants of what a holder may have used while its part was larger.
func TestLoweredPartCountsForAWindow(t *testing.T) {
	l := NewLedger(20, DefaultTerms, 0)
	l.SetMembers([]HolderID{"host-a", "host-b"})
	state := func(number, part int, now clock.Millis, asks ...Ask) Reply {
		l.Answer("host-b", Request{Process: 1, Number: number, Part: part}, now)
		return l.Answer("host-a", Request{Process: 1, Number: number, Part: part, Asks: asks}, now)
	}
	state(1, 0, 0)
	lowered := 2 * DefaultTerms.Reuse()
	state(2, 5, lowered)
	ask := Ask{Pool: "orders", Amount: 20}
	qt.Assert(t, state(3, 5, lowered+DefaultTerms.Reuse()-1, ask).Grants, qt.DeepEquals, []int{0})
	qt.Assert(t, state(4, 5, lowered+DefaultTerms.Reuse(), ask).Grants, qt.DeepEquals, []int{5})
}
