package state_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	configuration "github.com/gentiansail/gentiansail/internal/config"
	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// fuzzCommands returns commands that together change every part of the state.
func fuzzCommands() []wire.Command {
	begin := &wire.BeginRequest{Service: "catalogue", Caller: "c", Key: key(day, 1), Fingerprint: "f", Execution: "x", Incarnation: "i1"}
	return []wire.Command{
		{LeaderStart: &wire.LeaderStart{Session: "s", Replica: "r"}, ProposedAt: day},
		{Apply: applyConfig(0, "one", fuzzConfig())},
		{RegisterMember: member("n1", "i1", "catalogue")},
		{RegisterMember: member("n2", "i2", "catalogue")},
		{Assign: &wire.Assign{Moves: []wire.Move{{Partition: "catalogue/0", To: "i1"}, {Partition: "catalogue/1", To: "i2"}}}},
		{MoveStart: &wire.MoveStart{Moves: []wire.Move{{Partition: "catalogue/0", FencingToken: 5, To: "i2"}}}},
		{MoveRelease: &wire.MoveRelease{Incarnation: "i1", Grants: []wire.Grant{{Partition: "catalogue/0", FencingToken: 5}}}},
		{Override: &wire.Override{Service: "catalogue", KeyHash: "00000000000000ff", Isolated: true}},
		{Begin: begin, ProposedAt: day},
		{Finish: &wire.FinishRequest{Service: "catalogue", Key: key(day, 1), Execution: "x", Result: wire.OperationResult{Outcome: wire.OutcomeComplete, Status: 200}}},
		{Drain: &wire.DrainRequest{Node: "n2", Drain: true}},
		{Evacuate: &wire.EvacuateRequest{Domain: "d1", Active: true}},
		{MemberDown: &wire.MemberDown{Incarnation: "i1", Reason: "crash", Crashed: true, InFlight: []wire.InFlight{{Fingerprint: "f", Path: "/p"}}}},
		{ClearSuspect: &wire.ClearSuspectRequest{Fingerprint: "f"}},
		{Begin: begin, ProposedAt: 3 * day},
	}
}

func fuzzConfig() wire.Configuration {
	return wire.Configuration{Services: []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: 2, MoveBudget: 4}}}
}

// Guards against a snapshot that crashes the process on restore or at a later command, a
// rejected snapshot that changes the state, and an accepted snapshot that does not survive
// another snapshot and restore.
func FuzzRestore(f *testing.F) {
	g := newGroup()
	for _, c := range fuzzCommands() {
		g.apply(c)
		data, err := g.machine.Snapshot()
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Add([]byte(`{"Group":"tz","Members":null,"Partitions":null}` + "\n"))
	f.Add([]byte(`{"Group":"tz"}` + "\n" + string(key(day, 1)) + " 5\n"))
	f.Add([]byte(`{"Group":"other"}` + "\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newGroup().machine
		before, err := m.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		if err := m.Restore(data); err != nil {
			qt.Assert(t, errors.Is(err, state.ErrInvalidSnapshot), qt.IsTrue)
			after, err := m.Snapshot()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(after), qt.Equals, string(before))
			return
		}
		first, err := m.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		replica := newGroup().machine
		qt.Assert(t, replica.Restore(first), qt.IsNil)
		applyAll(t, m)
		applyAll(t, replica)
		qt.Assert(t, snapshotOf(t, replica), qt.Equals, snapshotOf(t, m))
	})
}

// applyAll applies all fuzzCommands and then calls methods that read the state.
func applyAll(t *testing.T, m *state.Machine) {
	for _, c := range fuzzCommands() {
		data, err := json.Marshal(c)
		qt.Assert(t, err, qt.IsNil)
		m.Apply(m.Version()+1, data)
	}
	_ = table.New().Apply(m.Delta(0))
	_ = m.Delta(m.Version() - 1)
	m.MemberList()
	m.PartitionList()
	m.AuditRecordsAfter(0, 10)
	m.PartitionOfKey("catalogue", "k")
}

func snapshotOf(t *testing.T, m *state.Machine) string {
	data, err := m.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

// Guards against a log entry that crashes all replicas, and against a replica that differs
// from the others after the same entry because it was restored from a snapshot.
func FuzzApply(f *testing.F) {
	for _, c := range fuzzCommands() {
		data, err := json.Marshal(c)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if !boundedPartitions(data) {
			return
		}
		g := newGroup()
		// The first nine commands set up a configuration, two members, assigned partitions
		// of which one has moved, an override and a running operation.
		for _, c := range fuzzCommands()[:9] {
			g.apply(c)
		}
		replica := newGroup().machine
		qt.Assert(t, replica.Restore([]byte(snapshotOf(t, g.machine))), qt.IsNil)
		version, before := g.machine.Version(), g.machine.LastTableChange()
		for _, m := range []*state.Machine{g.machine, replica} {
			if r := m.Apply(version+1, data); errors.Is(r.Err, state.ErrInvalidCommand) || errors.Is(r.Err, state.ErrSessionEnded) {
				qt.Assert(t, m.LastTableChange(), qt.Equals, before)
			}
		}
		qt.Assert(t, snapshotOf(t, replica), qt.Equals, snapshotOf(t, g.machine))
	})
}

// boundedPartitions reports whether a command requests no more partitions per service
// than the validation of a configuration allows.
func boundedPartitions(data []byte) bool {
	var c wire.Command
	if json.NewDecoder(bytes.NewReader(data)).Decode(&c) != nil || c.Apply == nil {
		return true
	}
	for _, s := range c.Apply.Configuration.Services {
		if s.Partitions > configuration.MaxPartitions {
			return false
		}
	}
	return true
}
