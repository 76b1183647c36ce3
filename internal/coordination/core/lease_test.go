package core

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/quorum"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/delivery"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// newTestLeadership returns what the leader of a core knows that is not running, with one
// service whose targets take their keys by calls, and targets that sent a heartbeat just now.
func newTestLeadership(t *testing.T, targets ...message.Incarnation) (*leadership, *clock.Manual) {
	return newTestLeadershipFor(t, message.ServiceSpec{Name: "finder", Keyed: true, GrantsByCall: true, Source: "{}"}, targets...)
}

// newTestLeadershipFor does the same with the given service.
func newTestLeadershipFor(t *testing.T, spec message.ServiceSpec, targets ...message.Incarnation) (*leadership, *clock.Manual) {
	m := clock.NewManual(1000)
	c := New(Options{Settings: settings.Host{Listen: settings.HostListeners{Control: "127.0.0.1:1"}, PeerPort: 2}, Clock: m.Clock(), Log: zerolog.Nop(), Metrics: prometheus.NewRegistry()})
	l := c.newLeadership(&quorum.Leadership{}, registry.New())
	index := replog.Index(0)
	apply := func(command message.Command) {
		data, err := json.Marshal(command)
		qt.Assert(t, err, qt.IsNil)
		index++
		l.machine.Apply(replog.Entry{Index: index, Data: data})
	}
	apply(message.Command{Change: &message.ConfigurationChange{Version: 1, Replace: true, Digest: "d", Services: []message.ServiceSpec{spec}}})
	for _, i := range targets {
		instance := message.Instance{Incarnation: i, Service: spec.Name, Peer: message.Address(i.ID), Slots: 4}
		apply(message.Command{Register: &instance})
		l.leases.RecordHeartbeat(message.Heartbeat{Instance: instance}, m.Clock().Now())
	}
	return l, m
}

var (
	first  = message.Incarnation{ID: "i-1", StartTime: 1}
	second = message.Incarnation{ID: "i-2", StartTime: 1}
)

// Guards against keys that are moved to a target that has already fallen silent: in a
// recorded day they came to a host 0.8 s after it was lost, and waited for its lease.
func TestSilentTargetGetsNoKeys(t *testing.T) {
	l, m := newTestLeadership(t, first, second)
	m.Advance(maxLeaseSilence / 2)
	l.leases.RecordCallLease(first, m.Clock().Now(), delivery.LeaseDuration)
	m.Advance(maxLeaseSilence/2 + 1)
	eligible := map[message.Incarnation]bool{}
	for _, x := range l.targets("finder") {
		eligible[x.Incarnation] = x.Eligible
	}
	qt.Check(t, eligible, qt.DeepEquals, map[message.Incarnation]bool{first: true, second: false})
	qt.Check(t, l.leases.Expired(second, m.Clock().Now(), delivery.LeaseDuration), qt.IsFalse, qt.Commentf("its lease may still be in force"))
}

// Guards against keys that wait for heartbeats after a loss of power everywhere, when all
// targets are back: they took 1.2 s more to be served than the registration of the targets.
func TestKeysAreAssignedSoonAfterRestart(t *testing.T) {
	l, m := newTestLeadership(t, first, second)
	qt.Check(t, l.readyToAssign("finder", l.machine.Assignments("finder")), qt.IsFalse)
	m.Advance(firstAssignmentMargin)
	qt.Check(t, l.readyToAssign("finder", l.machine.Assignments("finder")), qt.IsTrue)
}

// Guards against keys that are divided evenly after a restart of the core although busy ones
// are known: in a recorded day of 80 hosts, two thirds of the requests for keys were rejected
// for 8 s after a loss of power, until the busy keys had been moved.
func TestBusyKeysAreDividedAfterRestart(t *testing.T) {
	l, m := newTestLeadership(t, first, second)
	committed := l.machine.Assignments("finder")
	for bucket := range 8 {
		committed.Loads = append(committed.Loads, message.Load{Bucket: bucket, Work: 20_000})
	}
	l.nextAssignments("finder", committed)
	m.Advance(firstAssignmentMargin)
	list, kinds := l.nextAssignments("finder", committed)
	qt.Assert(t, kinds["taken"], qt.IsTrue)
	busy := map[message.Incarnation]int{}
	for _, a := range list {
		for key := a.From; key < 8*keyrange.KeysPerBucket && key <= a.To; key++ {
			busy[a.Owner]++
		}
	}
	// An even division gives all of them to one target. Shares may be exceeded by one bucket.
	const least = 3 * keyrange.KeysPerBucket
	qt.Check(t, busy[first] >= least && busy[second] >= least, qt.IsTrue, qt.Commentf("%v", busy))
}
