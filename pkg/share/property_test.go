package share

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/retry"
)

var testTerms = Terms{Window: 1000, Duration: 200, MaxDrift: 0.02}

const (
	testPool  = Pool("orders")
	testRatio = 0.1
	// testSteps lets several windows pass.
	testSteps = 120
)

// driftingClock is a clock that runs at its own rate.
type driftingClock struct {
	rate float64
	real *float64
}

func (d driftingClock) now() clock.Millis { return clock.Millis(*d.real * d.rate) }

// simulated is a host whose processes hold a share.
type simulated struct {
	id      HolderID
	clock   driftingClock
	process int64
	holder  *Holder
	// pending is the request without an answer yet; sent is when it was sent.
	pending *Request
	sent    clock.Millis
}

// delivery is a message on its way. reply is nil for a request.
type delivery struct {
	from    int
	process int64
	request *Request
	reply   *Reply
}

type use struct {
	at     float64
	amount float64
}

type simulation struct {
	real     float64
	limit    int
	ledger   *Ledger
	leader   driftingClock
	hosts    []*simulated
	members  []HolderID
	inFlight []delivery
	// earlier is the budget of a host of a release without grants.
	earlier  *retry.Budget
	spent    []use
	deposits []use
	// granted are the uses of grants among spent.
	granted []use
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{limit: rapid.SampledFrom([]int{6, 12, 20, 60}).Draw(t, "limit")}
	for i := range rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "hosts") {
		s.hosts = append(s.hosts, &simulated{id: HolderID(fmt.Sprint("host-", i)), clock: s.drawClock(t)})
		s.members = append(s.members, s.hosts[i].id)
	}
	s.members = append(s.members, "host-earlier")
	s.earlier = retry.NewBudget(retry.Options{Ratio: testRatio, Capacity: fallback(s.limit, len(s.members))})
	for i := range s.hosts {
		s.restart(i)
	}
	s.elect(t)
	return s
}

func (s *simulation) drawClock(t *rapid.T) driftingClock {
	return driftingClock{rate: 1 + testTerms.MaxDrift*rapid.SampledFrom([]float64{-1, 0, 1}).Draw(t, "drift"), real: &s.real}
}

func (s *simulation) elect(t *rapid.T) {
	s.leader = s.drawClock(t)
	s.ledger = NewLedger(s.limit, testTerms, s.leader.now())
	s.ledger.SetMembers(s.members)
}

func (s *simulation) restart(i int) {
	h := s.hosts[i]
	h.process, h.pending = h.process+1, nil
	h.holder = NewHolder(HolderOptions{
		Clock: clock.Clock{Now: h.clock.now}, Terms: testTerms, Process: h.process, Limit: s.limit,
		Holders: func() int { return len(s.members) }, Ratio: testRatio,
		Record: func(_ Pool, e Event, amount int) {
			if e == Spent {
				s.granted = append(s.granted, use{s.real, float64(amount)})
			}
		},
	})
	h.holder.Budget(testPool)
}

// call sends what the holder of a host has to say, as the only call in progress.
func (s *simulation) call(i int) {
	h := s.hosts[i]
	if h.pending != nil {
		return
	}
	if r := h.holder.NextRequest(); r != nil {
		h.pending, h.sent = r, h.clock.now()
		s.inFlight = append(s.inFlight, delivery{from: i, process: h.process, request: r})
	}
}

// deliver delivers a message: a request to the current leader, a reply to its sender.
func (s *simulation) deliver(n int, keep bool) {
	m := s.inFlight[n]
	if !keep {
		s.inFlight = append(s.inFlight[:n], s.inFlight[n+1:]...)
	}
	h := s.hosts[m.from]
	if m.reply == nil {
		reply := s.ledger.Answer(h.id, *m.request, s.leader.now())
		s.inFlight = append(s.inFlight, delivery{from: m.from, process: m.process, request: m.request, reply: &reply})
		return
	}
	if h.process == m.process && h.pending == m.request {
		h.holder.Apply(m.request, m.reply, h.sent)
		h.pending = nil
	}
}

func (s *simulation) retry(withdraw func(int) bool, n int) {
	for range n {
		if withdraw(1) {
			s.spent = append(s.spent, use{s.real, 1})
		}
	}
}

func (s *simulation) step(t *rapid.T) {
	s.real += rapid.SampledFrom([]float64{0, 0.3, 5, 30, 90, 195, 204}).Draw(t, "pass")
	i := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
	h := s.hosts[i]
	message := func() int { return rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message") }
	step := rapid.SampledFrom([]string{"retry", "late use", "late use", "burst", "request", "call", "answer", "answer", "answer", "deliver", "deliver", "copy", "lose", "give up", "restart", "elect", "idle", "earlier"}).Draw(t, "step")
	switch step {
	case "retry":
		s.retry(h.holder.Budget(testPool).Withdraw, rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "retries"))
	case "late use": // each message, and then the use, as late as possible or at once
		s.retry(h.holder.Budget(testPool).Withdraw, rapid.SampledFrom([]int{1, 4, 8}).Draw(t, "retries"))
		s.call(i)
		for n := len(s.inFlight) - 1; n >= 0 && h.pending != nil && s.inFlight[n].request == h.pending; n = len(s.inFlight) - 1 {
			s.real += rapid.SampledFrom([]float64{0, 0, 203}).Draw(t, "late")
			s.deliver(n, rapid.IntRange(0, 3).Draw(t, "copied") == 0)
		}
		s.real += rapid.SampledFrom([]float64{0, 150, 203}).Draw(t, "late use")
		s.retry(h.holder.Budget(testPool).Withdraw, rapid.SampledFrom([]int{2, 8, s.limit}).Draw(t, "retries"))
		s.real += rapid.SampledFrom([]float64{0, 780, 975, 990}).Draw(t, "after")
	case "burst":
		for _, each := range s.hosts {
			s.retry(each.holder.Budget(testPool).Withdraw, s.limit)
		}
	case "request":
		for range rapid.SampledFrom([]int{1, 10, 30}).Draw(t, "requests") {
			h.holder.Budget(testPool).Deposit()
			s.deposits = append(s.deposits, use{s.real, testRatio})
		}
	case "call":
		s.call(i)
	case "answer": // without loss, as most calls are
		s.call(i)
		if last := len(s.inFlight) - 1; last >= 0 && s.inFlight[last].request == h.pending {
			isRequest := s.inFlight[last].reply == nil
			s.deliver(last, false)
			if isRequest {
				s.deliver(last, false)
			}
		}
	case "deliver", "copy":
		if len(s.inFlight) > 0 {
			s.deliver(message(), step == "copy")
		}
	case "lose":
		if len(s.inFlight) > 0 {
			n := message()
			s.inFlight = append(s.inFlight[:n], s.inFlight[n+1:]...)
		}
	case "give up":
		if h.pending != nil {
			h.holder.Fail(h.pending)
			h.pending = nil
		}
	case "restart":
		if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
			s.restart(i)
		}
	case "elect":
		if rapid.IntRange(0, 5).Draw(t, "rarely") == 0 {
			s.elect(t)
		}
	case "idle":
		s.real += rapid.SampledFrom([]float64{780, 1000, 1230, 1300}).Draw(t, "idle")
	case "earlier":
		s.retry(s.earlier.WithdrawN, s.limit)
	}
}

// check fails if more was spent in a window than the limit and what the requests add, or more
// grants than what the parts leave of the limit.
func (s *simulation) check(t *rapid.T) {
	const rounding = 1e-6
	left := float64(s.limit - len(s.hosts)*part(s.limit, len(s.members)) - fallback(s.limit, len(s.members)))
	for _, first := range s.granted {
		if sum := sumOfWindow(s.granted, first.at); sum > left+rounding {
			t.Fatalf("%v grants used in the window from %v ms, the parts leave %v", sum, first.at, left)
		}
	}
	for _, first := range s.spent {
		allowed := float64(s.limit) + sumOfWindow(s.deposits, first.at)
		if sum := sumOfWindow(s.spent, first.at); sum > allowed+rounding {
			t.Fatalf("%v spent in the window from %v ms, allowed %v", sum, first.at, allowed)
		}
	}
}

// sumOfWindow returns the sum of the amounts in the window that begins at the given time.
func sumOfWindow(uses []use, from float64) float64 {
	sum := 0.0
	for _, u := range uses {
		if u.at >= from && u.at < from+float64(testTerms.Window) {
			sum += u.amount
		}
	}
	return sum
}

// Guards against more in a window than the limit, over cuts, pauses, elections, restarts, and
// messages that are lost, late or doubled.
func TestSumStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range testSteps {
			s.step(t)
		}
		s.check(t)
	})
}
