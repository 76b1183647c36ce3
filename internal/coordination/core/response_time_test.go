package core

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// Guards against a response to a heartbeat that waits until the changes of other targets are
// committed. A target accepts a response within 1 s, and may wait for 0.8 s of it for its keys.
func TestLeaseIsGrantedDuringCommit(t *testing.T) {
	l, m := newTestLeadershipFor(t, message.ServiceSpec{Name: "finder", Keyed: true, Source: "{}"}, first, second)
	l.commit = func(_ context.Context, data []byte) (any, error) {
		return l.machine.Apply(replog.Entry{Index: 100, Data: data}), nil
	}
	_, err := l.propose(t.Context(), message.Command{Assignments: &message.AssignmentsChange{Service: "finder", Assignments: []message.Assignment{{From: 0, To: keyrange.Keys - 1, Owner: first}}}})
	qt.Assert(t, err, qt.IsNil)
	instance, _ := l.machine.Instance(first.ID)
	l.mu.Lock() // as while a change is committed
	defer l.mu.Unlock()
	replies := make(chan message.HeartbeatReply, 1)
	go func() {
		reply, _ := l.grant(message.Heartbeat{Instance: instance, Sequence: 2}, m.Clock().Now())
		replies <- reply
	}()
	select {
	case reply := <-replies:
		qt.Check(t, reply.Renewed, qt.IsTrue)
		qt.Check(t, reply.Grants, qt.HasLen, 1)
	case <-time.After(10 * time.Second):
		t.Fatal("the response waits for the commit")
	}
}
