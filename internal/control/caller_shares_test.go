package control

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

// shareNode is a node process as far as shares go.
type shareNode struct {
	name, process string
	budget        *limit.CallerBudget
}

// shareExchange is a report, then its answer, on its way.
type shareExchange struct {
	node    *shareNode
	sent    clock.Millis
	request wire.HeartbeatRequest
	answer  *wire.CallerShares
}

// shareModel is a group of nodes with a leader, over a network that loses, delays
// and reorders reports and answers.
type shareModel struct {
	*rapid.T
	clock     *clock.Manual
	leader    *callerShares
	nodes     []*shareNode // all processes that serve callers
	serial    int
	exchanges []shareExchange
}

// Nodes count between 3 and 6 nodes, and at most 6 processes serve callers. The
// margin of limit.SharePool is for a number of nodes that at most doubles.
const (
	leastCounted = 3
	mostServing  = 2 * leastCounted
	modelCaller  = "knitter"
)

// pick draws one of the values evenly. The integers of rapid are mostly small
// ones, with which few exchanges would come to an answer.
func pick[V any](m *shareModel, of ...V) V {
	const spread = 0x9e3779b1 // 2^32 divided by the golden ratio
	n := rapid.Uint32().Draw(m.T, "choice") * spread >> 16
	return of[int(n)%len(of)]
}

func (m *shareModel) now() clock.Millis { return m.clock.Clock().Now() }

func (m *shareModel) elect() {
	m.leader = newCallerShares(m.now())
	m.leader.setNodes(leastCounted, leastCounted)
}

func (m *shareModel) join(name string) {
	m.serial++
	b := limit.NewCallerBudget(limit.BudgetOptions{Clock: m.clock.Clock(), PerSecond: limit.PerClass{100, 100, 100}, Callers: 64})
	b.SetNodes(pick(m, 3, 4, 5, 6))
	m.nodes = append(m.nodes, &shareNode{name: name, process: fmt.Sprint(m.serial), budget: b})
}

// send lets callers send, and puts a report on its way. A hedged heartbeat is a
// second report before the first is answered.
func (m *shareModel) send() {
	n := pick(m, m.nodes...)
	for range pick(m, 0, 5, 60, 60) {
		n.budget.Allow(modelCaller, limit.Browse)
	}
	r := n.budget.TakeReport(pick(m, true, false), wire.MaxReportedCallers)
	request := wire.HeartbeatRequest{Node: wire.NodeID(n.name), Process: wire.ProcessID(n.process), Callers: &wire.CallerReport{Number: r.Number}}
	for _, d := range r.Demands {
		request.Callers.Demands = append(request.Callers.Demands, wire.CallerDemand{
			Caller: wire.CallerID(d.Caller), Class: wire.RouteClassBrowse, RequestsPerSecond: d.PerSecond, Answered: &d.Answered,
		})
	}
	m.exchanges = append(m.exchanges, shareExchange{node: n, sent: m.now(), request: request})
}

// step takes an exchange a step further, or loses it.
func (m *shareModel) step() {
	if len(m.exchanges) == 0 {
		return
	}
	// Mostly the next one, else one that overtakes it.
	i := pick(m, 0, 0, len(m.exchanges)-1)
	e := m.exchanges[i]
	m.exchanges = slices.Delete(m.exchanges, i, i+1)
	switch {
	case pick(m, 0, 1, 2, 3) == 0:
	case e.answer == nil:
		e.answer = m.leader.answer(e.request, m.now(), m.now())
		m.exchanges = append(m.exchanges, e)
	default:
		for i, share := range e.answer.Shares {
			if share >= 0 {
				caller := string(e.request.Callers.Demands[i].Caller)
				e.node.budget.SetShare(caller, limit.Browse, share, e.request.Callers.Number, e.sent+limit.ShareLife)
			}
		}
	}
}

func (m *shareModel) pass() { m.clock.Advance(pick[clock.Millis](m, 10, 200, 500, 1000)) }

// sometimesChange changes the nodes or the leader.
func (m *shareModel) sometimesChange() {
	switch pick(m, 0, 1, 2, 3, 4, 5, 6, 7) {
	case 0:
		m.elect()
	case 1:
		if len(m.nodes) < mostServing { // also a process that replaces a paused one
			m.join(pick(m, "a", "b", "c", "d"))
		}
	case 2:
		if len(m.nodes) > 1 {
			gone := pick(m, m.nodes...)
			m.nodes = slices.DeleteFunc(m.nodes, func(n *shareNode) bool { return n == gone })
		}
	case 3:
		pick(m, m.nodes...).budget.SetNodes(pick(m, 3, 4, 5, 6))
	case 4:
		m.leader.sweep(m.now())
	}
}

// Guards against shares of one caller that add up to more than its rate at any
// moment, while they change, when reports or answers are lost, late or overtaken,
// when nodes come, go and restart, and after a change of the leader.
func TestSharesNeverExceedRate(t *testing.T) {
	highest := 0.0
	rapid.Check(t, func(t *rapid.T) {
		m := &shareModel{T: t, clock: clock.NewManual(0)}
		m.elect()
		for _, name := range []string{"a", "b"} {
			m.join(name)
		}
		m.clock.Advance(shareTerms.Longest())
		for range 500 {
			pick(m, m.send, m.send, m.send, m.step, m.step, m.step, m.step, m.step, m.pass, m.pass, m.pass, m.sometimesChange)()
			sum := 0.0
			for _, n := range m.nodes {
				sum += n.budget.Share(modelCaller, limit.Browse)
			}
			if highest = max(highest, sum); sum > 1+1e-9 {
				t.Fatalf("shares add up to %v", sum)
			}
		}
	})
	// Shares that are never given would pass as well.
	qt.Assert(t, highest > 0.9, qt.IsTrue, qt.Commentf("highest sum %v", highest))
}

// Guards against a caller whose share stays where it was used before.
func TestShareFollowsCaller(t *testing.T) {
	c := newCallerShares(0)
	ask := func(now clock.Millis, node string, number int, rate float64, answered int) float64 {
		return c.answer(wire.HeartbeatRequest{Node: wire.NodeID(node), Callers: &wire.CallerReport{Number: number, Demands: []wire.CallerDemand{
			{Caller: "k", Class: wire.RouteClassBrowse, RequestsPerSecond: rate, Answered: &answered},
		}}}, now, now).Shares[0]
	}
	qt.Assert(t, ask(5000, "a", 1, 100, 0), qt.Equals, -1.0) // waits out an earlier leader
	qt.Assert(t, ask(7000, "a", 2, 100, 0), qt.Equals, 0.9)
	qt.Assert(t, ask(7100, "b", 1, 100, 0), qt.Equals, 0.0) // nothing is free
	qt.Assert(t, ask(9000, "a", 3, 100, 2), qt.Equals, 0.45)
	qt.Assert(t, ask(9000, "a", 3, 100, 2), qt.Equals, -1.0) // again, by a copy
	qt.Assert(t, ask(9100, "b", 2, 100, 0), qt.Equals, 0.0)  // not confirmed yet
	qt.Assert(t, ask(9150, "a", 4, 100, 2), qt.Equals, 0.45)
	qt.Assert(t, ask(9160, "b", 3, 100, 0), qt.Equals, 0.0) // nor now
	qt.Assert(t, ask(9200, "a", 5, 100, 4), qt.Equals, 0.45)
	qt.Assert(t, ask(9300, "b", 4, 100, 0), qt.Equals, 0.45)
	qt.Assert(t, ask(11000, "a", 6, 0, 5), qt.Equals, -1.0) // given back
	qt.Assert(t, ask(11300, "b", 5, 100, 4), qt.Equals, 0.9)
	c.sweep(30000)
	qt.Assert(t, c.rows, qt.HasLen, 0)
	qt.Assert(t, c.holdings, qt.Equals, 0)
}

// Guards against a report that makes the leader read or keep without bound.
func TestReadsAtMostTheStatedCallers(t *testing.T) {
	c := newCallerShares(-10000)
	var r wire.CallerReport
	for n := range 100 {
		r.Demands = append(r.Demands, wire.CallerDemand{Caller: wire.CallerID(fmt.Sprint(n)), RequestsPerSecond: 1})
	}
	r.Demands[0].Caller = wire.CallerID(make([]byte, maxReportedName+1))
	out := c.answer(wire.HeartbeatRequest{Node: "a", Callers: &r}, 0, 0)
	qt.Assert(t, out.Shares, qt.HasLen, wire.MaxReportedCallers)
	qt.Assert(t, out.Shares[0], qt.Equals, float64(sameShare))
	qt.Assert(t, c.holdings, qt.Equals, wire.MaxReportedCallers-1)
}

// Guards against shares that do not reach the encoded response, and against bytes
// in the response to a heartbeat without a report.
func TestHeartbeatCarriesShares(t *testing.T) {
	r := newRig(t)
	r.clock.Advance(shareTerms.Longest())
	h := beat("a", "p1", "i1", 1)
	encode := func() string {
		out, err := r.serveHeartbeat(t.Context(), h)
		qt.Assert(t, err, qt.IsNil)
		out.Delta = json.RawMessage("{}")
		data, err := json.Marshal(out)
		qt.Assert(t, err, qt.IsNil)
		return string(data)
	}
	qt.Assert(t, encode(), qt.Equals, `{"Granted":true,"LeaseMillis":900,"Refusal":"","Delta":{}}`)
	h.Callers = &wire.CallerReport{Number: 1, Demands: []wire.CallerDemand{{Caller: "k", Class: wire.RouteClassBrowse, RequestsPerSecond: 3}}}
	qt.Assert(t, encode(), qt.Equals, `{"Granted":true,"LeaseMillis":900,"Refusal":"","CallerShares":{"Shares":[0.9]},"Delta":{}}`)
}

// BenchmarkAnswerReports answers the regular reports of a group's nodes, each of
// which names the same 32 callers.
func BenchmarkAnswerReports(b *testing.B) {
	const nodes = 430
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := newCallerShares(-10000)
	c.setNodes(nodes, nodes)
	var now clock.Millis
	for i := 0; b.Loop(); i++ {
		r := wire.HeartbeatRequest{Node: wire.NodeID(fmt.Sprint("node-", i%nodes)), Process: "p", Callers: &wire.CallerReport{Number: i + 1}}
		for k := range wire.MaxReportedCallers {
			r.Callers.Demands = append(r.Callers.Demands, wire.CallerDemand{Caller: wire.CallerID(fmt.Sprintf("caller-%05d", k)), Class: wire.RouteClassBrowse, RequestsPerSecond: 100})
		}
		c.answer(r, now, now)
		if i%nodes == 0 {
			now += 2000
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(c.holdings), "B/holding")
	runtime.KeepAlive(c)
}
