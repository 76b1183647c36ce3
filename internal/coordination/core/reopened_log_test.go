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

// commit commits a command and returns the index of its entry.
func (c *Core) commit(t *testing.T, command message.Command) replog.Index {
	data, err := json.Marshal(command)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.current.Load().Propose(t.Context(), data)
	qt.Assert(t, err, qt.IsNil)
	return c.lastIndex(t)
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

// Guards against two owners of a key: a heartbeat that waits while the log of the leader is
// closed and opened again was answered from the snapshot, with keys given away since then.
func TestHeartbeatIsNotAnsweredFromOlderState(t *testing.T) {
	for name, begin := range map[string]func(c *Core) (end func()){
		"waits for keys": func(*Core) func() { return func() {} },
		"waits for another decision": func(c *Core) func() {
			lock := c.decisions()
			lock.Lock()
			return lock.Unlock
		},
	} {
		t.Run(name, func(t *testing.T) { testHeartbeatOverReopenedLog(t, begin) })
	}
}

func testHeartbeatOverReopenedLog(t *testing.T, beginWait func(*Core) (endWait func())) {
	const snapshotInterval = 500
	c := startLeader(t, zerolog.Nop())
	_, err := c.ApplyChange(t.Context(), message.ConfigurationChange{Version: 1, Replace: true, Digest: "d", Services: []message.ServiceSpec{{Name: "catalogue", Keyed: true, Source: "{}"}}})
	qt.Assert(t, err, qt.IsNil)
	heartbeat := func(i message.Incarnation, sequence int, reported ...message.RangeGrant) (message.HeartbeatReply, error) {
		return c.heartbeat(t.Context(), message.Heartbeat{Instance: message.Instance{Incarnation: i, Service: "catalogue", Peer: message.Address(i.ID), Slots: 4}, Sequence: sequence, Grants: reported})
	}
	for _, i := range []message.Incarnation{first, second} {
		_, err := heartbeat(i, 1)
		qt.Assert(t, err, qt.IsNil)
	}
	// The first target owns two ranges and waits for a third one.
	moved, kept := message.Assignment{From: 0, To: 99, Owner: first}, message.Assignment{From: 100, To: 199, Owner: first}
	incoming, rest := message.Assignment{From: 200, To: 299, Owner: second, NextOwner: first}, message.Assignment{From: 300, To: keyrange.Keys - 1, Owner: second}
	assigned := c.commit(t, message.Command{Assignments: &message.AssignmentsChange{Service: "catalogue", Assignments: []message.Assignment{moved, kept, incoming, rest}}})
	owned := message.RangeGrant{From: kept.From, To: kept.To, FencingToken: message.FencingToken(assigned)}
	c.fill(t, snapshotInterval)
	snapshot := func() replog.Index {
		s, _ := c.quorum.Status()
		return s.SnapshotIndex
	}
	eventually(t, "there is a snapshot", func() bool { return snapshot() > 0 })
	// After the snapshot, one of the ranges goes to the second target.
	moved.Owner = second
	c.commit(t, message.Command{Assignments: &message.AssignmentsChange{Service: "catalogue", ExpectedVersion: message.Version(assigned), Assignments: []message.Assignment{moved}}})
	c.fill(t, snapshot()+snapshotInterval-1)

	repair := c.breakLog(t)
	endWait := beginWait(c)
	type answer struct {
		reply message.HeartbeatReply
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		reply, err := heartbeat(first, 2, owned)
		answers <- answer{reply, err}
	}()
	time.Sleep(100 * time.Millisecond) // The heartbeat is confirmed meanwhile, and waits.
	_, _ = c.current.Load().Propose(t.Context(), []byte("{}"))
	eventually(t, "the log is closed", func() bool { _, open := c.quorum.Status(); return !open })
	repair()
	eventually(t, "the log is open again", func() bool { _, open := c.quorum.Status(); return open })
	endWait()
	got := <-answers
	if got.err == nil {
		qt.Check(t, got.reply.Grants, qt.DeepEquals, []message.RangeGrant{owned})
	}
	eventually(t, "the replica leads again", c.isLeader)
}
