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

// testNode is a node process that has a caller budget and nothing else.
type testNode struct {
	name, process string
	budget        *limit.CallerBudget
}

// reportExchange is a report in transit or, once response is set, its response
// in transit.
type reportExchange struct {
	node     *testNode
	sentAt   clock.Millis
	request  wire.HeartbeatRequest
	response *wire.CallerShares
}

// shareModel is a group of nodes with a leader, on a network that loses, delays
// and reorders reports and responses.
type shareModel struct {
	*rapid.T
	clock        *clock.Manual
	leader       *callerShares
	nodes        []*testNode // all processes that serve callers
	processCount int
	exchanges    []reportExchange
}

// Nodes count between 3 and 6 nodes, and at most 6 processes serve callers,
// because limit.SharePool leaves a margin for a number of nodes that at most
// doubles.
const (
	minCountedNodes = 3
	maxServingNodes = 2 * minCountedNodes
	modelCaller     = "knitter"
)

// choose draws one of the values with equal probability. The integers that
// rapid draws are mostly small, and few exchanges would get a response with
// them.
func choose[V any](m *shareModel, values ...V) V {
	const spread = 0x9e3779b1 // 2^32 divided by the golden ratio
	n := rapid.Uint32().Draw(m.T, "choice") * spread >> 16
	return values[int(n)%len(values)]
}

func (m *shareModel) now() clock.Millis { return m.clock.Clock().Now() }

// elect replaces the leader by a new one, which knows nothing about earlier
// shares.
func (m *shareModel) elect() {
	m.leader = newCallerShares(m.now())
	m.leader.setNodes(minCountedNodes, minCountedNodes)
}

// join starts a node process. A process of the same name may still run.
func (m *shareModel) join(name string) {
	m.processCount++
	b := limit.NewCallerBudget(limit.BudgetOptions{Clock: m.clock.Clock(), RequestsPerSecond: limit.PerClass{100, 100, 100}, MaxTrackedCallers: 64})
	b.SetNodes(choose(m, 3, 4, 5, 6))
	m.nodes = append(m.nodes, &testNode{name: name, process: fmt.Sprint(m.processCount), budget: b})
}

// send sends requests of a caller to a node, and then the node's report to the
// leader. A second report before the first response stands for a hedged
// heartbeat.
func (m *shareModel) send() {
	sender := choose(m, m.nodes...)
	for range choose(m, 0, 5, 60, 60) {
		sender.budget.Allow(modelCaller, limit.Browse)
	}
	r := sender.budget.NextReport(choose(m, true, false), wire.MaxReportedCallers)
	request := wire.HeartbeatRequest{Node: wire.NodeID(sender.name), Process: wire.ProcessID(sender.process), Callers: &wire.CallerReport{Number: r.Number}}
	for _, d := range r.Demands {
		request.Callers.Demands = append(request.Callers.Demands, wire.CallerDemand{
			Caller: wire.CallerID(d.Caller), Class: wire.RouteClassBrowse, RequestsPerSecond: d.RequestsPerSecond, AnsweredReport: &d.AnsweredReport,
		})
	}
	m.exchanges = append(m.exchanges, reportExchange{node: sender, sentAt: m.now(), request: request})
}

// step delivers or loses the report or the response of one exchange.
func (m *shareModel) step() {
	if len(m.exchanges) == 0 {
		return
	}
	// Mostly the oldest exchange, otherwise the latest, which overtakes it.
	i := choose(m, 0, 0, len(m.exchanges)-1)
	exchange := m.exchanges[i]
	m.exchanges = slices.Delete(m.exchanges, i, i+1)
	switch {
	case choose(m, 0, 1, 2, 3) == 0:
	case exchange.response == nil:
		exchange.response = m.leader.respond(exchange.request, m.now(), m.now())
		m.exchanges = append(m.exchanges, exchange)
	default:
		for i, share := range exchange.response.Shares {
			if share >= 0 {
				caller := string(exchange.request.Callers.Demands[i].Caller)
				exchange.node.budget.SetShare(caller, limit.Browse, share, exchange.request.Callers.Number, exchange.sentAt+limit.ShareDuration)
			}
		}
	}
}

func (m *shareModel) advanceClock() { m.clock.Advance(choose[clock.Millis](m, 10, 200, 500, 1000)) }

// changeNodesOrLeader changes the nodes or the leader, or does nothing.
func (m *shareModel) changeNodesOrLeader() {
	switch choose(m, 0, 1, 2, 3, 4, 5, 6, 7) {
	case 0:
		m.elect()
	case 1:
		if len(m.nodes) < maxServingNodes { // possibly another process of a node that still runs
			m.join(choose(m, "a", "b", "c", "d"))
		}
	case 2:
		if len(m.nodes) > 1 {
			left := choose(m, m.nodes...)
			m.nodes = slices.DeleteFunc(m.nodes, func(n *testNode) bool { return n == left })
		}
	case 3:
		choose(m, m.nodes...).budget.SetNodes(choose(m, 3, 4, 5, 6))
	case 4:
		m.leader.removeExpired(m.now())
	}
}

// Guards against shares of one caller that add up to more than its rate at any
// moment: while they change, while reports or responses are lost, late or
// reordered, while nodes join, leave and restart, and after a change of the
// leader.
func TestSharesNeverExceedRate(t *testing.T) {
	maxSum := 0.0
	rapid.Check(t, func(t *rapid.T) {
		m := &shareModel{T: t, clock: clock.NewManual(0)}
		m.elect()
		for _, name := range []string{"a", "b"} {
			m.join(name)
		}
		m.clock.Advance(shareTerms.MaxDuration())
		for range 500 {
			choose(m, m.send, m.send, m.send, m.step, m.step, m.step, m.step, m.step, m.advanceClock, m.advanceClock, m.advanceClock, m.changeNodesOrLeader)()
			sum := 0.0
			for _, n := range m.nodes {
				sum += n.budget.Share(modelCaller, limit.Browse)
			}
			if maxSum = max(maxSum, sum); sum > 1+1e-9 {
				t.Fatalf("shares add up to %v", sum)
			}
		}
	})
	// The check above also passes if no share is ever granted.
	qt.Assert(t, maxSum > 0.9, qt.IsTrue, qt.Commentf("highest sum of shares %v", maxSum))
}

// Guards against a share that stays with one node after the caller has moved to
// another node.
func TestShareFollowsCaller(t *testing.T) {
	c := newCallerShares(0)
	report := func(now clock.Millis, node string, number int, rate float64, answered int) float64 {
		return c.respond(wire.HeartbeatRequest{Node: wire.NodeID(node), Callers: &wire.CallerReport{Number: number, Demands: []wire.CallerDemand{
			{Caller: "k", Class: wire.RouteClassBrowse, RequestsPerSecond: rate, AnsweredReport: &answered},
		}}}, now, now).Shares[0]
	}
	qt.Assert(t, report(5000, "a", 1, 100, 0), qt.Equals, -1.0) // an earlier leader's shares may be in force
	qt.Assert(t, report(7000, "a", 2, 100, 0), qt.Equals, 0.9)
	qt.Assert(t, report(7100, "b", 1, 100, 0), qt.Equals, 0.0) // node a has the whole pool
	qt.Assert(t, report(9000, "a", 3, 100, 2), qt.Equals, 0.45)
	qt.Assert(t, report(9000, "a", 3, 100, 2), qt.Equals, -1.0) // duplicate report
	qt.Assert(t, report(9100, "b", 2, 100, 0), qt.Equals, 0.0)  // node a has not confirmed its lower share
	qt.Assert(t, report(9150, "a", 4, 100, 2), qt.Equals, 0.45)
	qt.Assert(t, report(9160, "b", 3, 100, 0), qt.Equals, 0.0) // still not confirmed: report 4 confirms report 2
	qt.Assert(t, report(9200, "a", 5, 100, 4), qt.Equals, 0.45)
	qt.Assert(t, report(9300, "b", 4, 100, 0), qt.Equals, 0.45)
	qt.Assert(t, report(11000, "a", 6, 0, 5), qt.Equals, -1.0) // node a returns its share
	qt.Assert(t, report(11300, "b", 5, 100, 4), qt.Equals, 0.9)
	c.removeExpired(30000)
	qt.Assert(t, c.records, qt.HasLen, 0)
	qt.Assert(t, c.recordCount, qt.Equals, 0)
}

// Guards against a report that makes the leader read or store an unbounded
// number of callers, or names of unbounded length.
func TestCallerReportsAreBounded(t *testing.T) {
	c := newCallerShares(-10000)
	var r wire.CallerReport
	for n := range 100 {
		r.Demands = append(r.Demands, wire.CallerDemand{Caller: wire.CallerID(fmt.Sprint(n)), RequestsPerSecond: 1})
	}
	r.Demands[0].Caller = wire.CallerID(make([]byte, maxCallerNameBytes+1))
	out := c.respond(wire.HeartbeatRequest{Node: "a", Callers: &r}, 0, 0)
	qt.Assert(t, out.Shares, qt.HasLen, wire.MaxReportedCallers)
	qt.Assert(t, out.Shares[0], qt.Equals, float64(unchangedShare))
	qt.Assert(t, c.recordCount, qt.Equals, wire.MaxReportedCallers-1)
}

// Guards against shares that are missing in the encoded response, and against a
// longer response to a heartbeat without a report.
func TestHeartbeatCarriesShares(t *testing.T) {
	r := newTestReplica(t)
	r.clock.Advance(shareTerms.MaxDuration())
	heartbeat := newHeartbeat("a", "p1", "i1", 1)
	encodedResponse := func() string {
		out, err := r.serveHeartbeat(t.Context(), heartbeat)
		qt.Assert(t, err, qt.IsNil)
		out.Delta = json.RawMessage("{}")
		data, err := json.Marshal(out)
		qt.Assert(t, err, qt.IsNil)
		return string(data)
	}
	qt.Assert(t, encodedResponse(), qt.Equals, `{"Granted":true,"LeaseMillis":900,"Refusal":"","Delta":{}}`)
	heartbeat.Callers = &wire.CallerReport{Number: 1, Demands: []wire.CallerDemand{{Caller: "k", Class: wire.RouteClassBrowse, RequestsPerSecond: 3}}}
	qt.Assert(t, encodedResponse(), qt.Equals, `{"Granted":true,"LeaseMillis":900,"Refusal":"","CallerShares":{"Shares":[0.9]},"Delta":{}}`)
}

// BenchmarkAnswerReports responds to the regular reports of a group's nodes.
// All reports name the same 32 callers.
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
		c.respond(r, now, now)
		if i%nodes == 0 {
			now += 2000
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(c.recordCount), "B/record")
	runtime.KeepAlive(c)
}
