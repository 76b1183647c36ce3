package core

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// snapshotInterval is the number of entries between two snapshots of the log.
const snapshotInterval = 500

// commit commits a command and returns the index of its entry.
func (c *Core) commit(t *testing.T, command message.Command) replog.Index {
	data, err := json.Marshal(command)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.current.Load().Propose(t.Context(), data)
	qt.Assert(t, err, qt.IsNil)
	return c.lastIndex(t)
}

// assign commits assignments of the service catalogue and returns the index of the entry.
func (c *Core) assign(t *testing.T, list ...message.Assignment) replog.Index {
	current := c.current.Load().machine.Assignments("catalogue")
	index := c.commit(t, message.Command{Assignments: &message.AssignmentsChange{Service: "catalogue", ExpectedVersion: current.Version, Assignments: list}})
	qt.Assert(t, c.current.Load().machine.Assignments("catalogue").Version, qt.Equals, message.Version(index))
	return index
}

// fill commits entries without effect up to an index.
func (c *Core) fill(t *testing.T, last replog.Index) {
	data, err := json.Marshal(message.Command{HostStop: &message.HostStop{}})
	qt.Assert(t, err, qt.IsNil)
	var senders sync.WaitGroup
	for n := c.lastIndex(t); n < last; n++ {
		senders.Go(func() {
			_, err := c.current.Load().Propose(t.Context(), data)
			qt.Check(t, err, qt.IsNil)
		})
	}
	senders.Wait()
	qt.Assert(t, c.lastIndex(t), qt.Equals, last)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// logFolder is the folder of the log of a test core.
func (c *Core) logFolder() string { return filepath.Join(c.options.Settings.DataFolder, "log") }

// breakLog makes the next write of a snapshot fail, and each attempt to open the log. The
// returned function ends the fault.
func (c *Core) breakLog(t *testing.T) (repair func()) {
	aside := c.logFolder() + ".aside"
	qt.Assert(t, os.Rename(c.logFolder(), aside), qt.IsNil)
	qt.Assert(t, os.WriteFile(c.logFolder(), nil, 0o600), qt.IsNil)
	return func() {
		qt.Assert(t, os.Remove(c.logFolder()), qt.IsNil)
		qt.Assert(t, os.Rename(aside, c.logFolder()), qt.IsNil)
	}
}

// decisions is the lock under which keys are granted.
func (c *Core) decisions() *sync.Mutex { return &c.current.Load().mu }

// Guards against two owners of a key: a call that waits while the log of the leader is closed
// and opened again was answered from the snapshot, with keys given away since then.
func TestCallIsNotAnsweredFromOlderState(t *testing.T) {
	heartbeat := func(c *Core, owned message.RangeGrant) ([]message.RangeGrant, error) {
		reply, err := c.heartbeat(t.Context(), heartbeatOf(first, 3, owned))
		return reply.Grants, err
	}
	lease := func(c *Core, _ message.RangeGrant) ([]message.RangeGrant, error) {
		reply, err := c.lease(t.Context(), message.LeaseRequest{Incarnation: first, Service: "catalogue"})
		var grants []message.RangeGrant
		for _, r := range reply.Ranges {
			grants = append(grants, message.RangeGrant{From: r.From, To: r.To, FencingToken: r.FencingToken})
		}
		return grants, err
	}
	for name, test := range map[string]struct {
		byCall bool
		// held is true if another decision is in progress until the log is open again.
		held bool
		call func(c *Core, owned message.RangeGrant) ([]message.RangeGrant, error)
	}{
		"heartbeat waits for keys":             {call: heartbeat},
		"heartbeat waits for another decision": {held: true, call: heartbeat},
		"lease waits for another decision":     {byCall: true, held: true, call: lease},
	} {
		t.Run(name, func(t *testing.T) { testCallOverReopenedLog(t, test.byCall, test.held, test.call) })
	}
}

func heartbeatOf(i message.Incarnation, sequence int, reported ...message.RangeGrant) message.Heartbeat {
	return message.Heartbeat{Instance: message.Instance{Incarnation: i, Service: "catalogue", Peer: message.Address(i.ID), Slots: 4}, Sequence: sequence, Grants: reported}
}

func testCallOverReopenedLog(t *testing.T, byCall, held bool, call func(*Core, message.RangeGrant) ([]message.RangeGrant, error)) {
	c := startLeader(t, zerolog.Nop())
	_, err := c.ApplyChange(t.Context(), message.ConfigurationChange{Version: 1, Replace: true, Digest: "d", Services: []message.ServiceSpec{{Name: "catalogue", Keyed: true, GrantsByCall: byCall, Source: "{}"}}})
	qt.Assert(t, err, qt.IsNil)
	for _, i := range []message.Incarnation{first, second} {
		_, err := c.heartbeat(t.Context(), heartbeatOf(i, 1))
		qt.Assert(t, err, qt.IsNil)
	}
	// The planner commits nothing meanwhile, however long the test takes.
	lock := c.decisions()
	lock.Lock()
	// The first target owns two ranges and waits for a third one.
	moved, kept := message.Assignment{From: 0, To: 99, Owner: first}, message.Assignment{From: 100, To: 199, Owner: first}
	incoming, rest := message.Assignment{From: 200, To: 299, Owner: second, NextOwner: first}, message.Assignment{From: 300, To: keyrange.Keys - 1, Owner: second}
	assigned := c.assign(t, moved, kept, incoming, rest)
	owned := message.RangeGrant{From: kept.From, To: kept.To, FencingToken: message.FencingToken(assigned)}
	c.fill(t, snapshotInterval)
	snapshot := func() replog.Index {
		s, _ := c.quorum.Status()
		return s.SnapshotIndex
	}
	eventually(t, "there is a snapshot", func() bool { return snapshot() > 0 })
	// After the snapshot, one of the ranges goes to the second target.
	moved.Owner = second
	c.assign(t, moved)
	c.fill(t, snapshot()+snapshotInterval-1)

	before := c.current.Load()
	index := before.machine.Index()
	repair := c.breakLog(t)
	if !held {
		lock.Unlock()
	}
	type answer struct {
		grants []message.RangeGrant
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		grants, err := call(c, owned)
		answers <- answer{grants, err}
	}()
	time.Sleep(100 * time.Millisecond) // The call is confirmed meanwhile, and waits.
	_, _ = c.current.Load().Propose(t.Context(), []byte("{}"))
	eventually(t, "the log is closed", func() bool { _, open := c.quorum.Status(); return !open })
	repair()
	eventually(t, "the log is open again", func() bool { _, open := c.quorum.Status(); return open })
	if held {
		lock.Unlock()
	}
	got := <-answers
	if got.err == nil {
		qt.Check(t, got.grants, qt.DeepEquals, []message.RangeGrant{owned})
	}
	eventually(t, "the replica leads again", c.isLeader)
	qt.Check(t, before.machine.Index() >= index, qt.IsTrue, qt.Commentf("the state that a call was confirmed for went back"))
	_, err = before.propose(t.Context(), message.Command{HostStop: &message.HostStop{}})
	qt.Check(t, err, qt.IsNotNil, qt.Commentf("the leadership has ended"))
}
