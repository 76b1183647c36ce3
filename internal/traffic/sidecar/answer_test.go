package sidecar

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// newKeyedHost returns a host whose target takes its keys from heartbeats, and whose core
// responds with what reply returns.
func newKeyedHost(t *testing.T, reply func(message.Heartbeat) message.HeartbeatReply) *host {
	h := newHost(t)
	h.core.reply = reply
	h.version++
	items := []message.Item{{Name: message.ItemService + "finder", Version: h.version, Text: `{"Name":"finder","Keyed":true}`}}
	qt.Assert(t, h.sidecar.views.Apply(message.WatchReply{Version: h.version, Full: true, Items: items}), qt.IsNil)
	return h
}

// Guards against two owners of a key: a heartbeat must not be taken for one that was sent after
// a response that its target had not got yet.
func TestHeartbeatStatesEarlierAnswer(t *testing.T) {
	var answered message.Version
	next := message.Version(10)
	h := newKeyedHost(t, func(h message.Heartbeat) message.HeartbeatReply {
		answered = *h.Answered
		next++
		return message.HeartbeatReply{Keyed: true, Renewed: true, Version: next, LeaseDurationMillis: 4500, Grants: []message.RangeGrant{}}
	})
	runs, follows := message.Incarnation{ID: "i-1", StartTime: 1}, message.Incarnation{ID: "i-2", StartTime: 2}
	for _, step := range []struct {
		name        string
		incarnation message.Incarnation
		sequence    int
		want        message.Version
	}{
		{"first heartbeat", runs, 1, 0},
		{"next heartbeat", runs, 2, 11},
		{"copy of it", runs, 2, 11},
		{"after the copy", runs, 3, 13},
		{"first heartbeat of another incarnation", follows, 1, 0},
		{"its next heartbeat", follows, 2, 15},
	} {
		if step.incarnation != runs {
			h.manual.Advance(2000)
		}
		qt.Assert(t, h.beat(step.incarnation, step.sequence, false), qt.IsNil, qt.Commentf(step.name))
		qt.Check(t, answered, qt.Equals, step.want, qt.Commentf(step.name))
	}
}

// Guards against two owners of a key: a target with two heartbeats in progress was granted keys
// again that the response to the later one had told it to release.
func TestOlderAnswerIsNotPassedOn(t *testing.T) {
	arrived, respond := make(chan struct{}), make(chan struct{})
	h := newKeyedHost(t, func(h message.Heartbeat) message.HeartbeatReply {
		reply := message.HeartbeatReply{Keyed: true, Renewed: true, Version: 9, LeaseDurationMillis: 4500, Grants: []message.RangeGrant{}}
		if h.Sequence == 1 {
			close(arrived)
			<-respond
			reply.Version, reply.Grants = 5, []message.RangeGrant{{From: 0, To: 99, FencingToken: 3}}
		}
		return reply
	})
	runs := message.Incarnation{ID: "i-1", StartTime: 1}
	earlier := make(chan error, 1)
	go func() { earlier <- h.beat(runs, 1, false) }()
	<-arrived
	qt.Check(t, h.beat(runs, 2, false), qt.IsNil)
	close(respond)
	qt.Check(t, <-earlier, qt.ErrorIs, errLate)
	// A response of the same version says the same.
	qt.Check(t, h.beat(runs, 3, false), qt.IsNil)
}

// Guards against a target that forgets the releases which its heartbeat reported, and with them
// the handover tokens, although the core did not handle the heartbeat because it was late.
func TestUnhandledHeartbeatIsNotAcknowledged(t *testing.T) {
	h := newKeyedHost(t, func(message.Heartbeat) message.HeartbeatReply {
		return message.HeartbeatReply{Keyed: true, Grants: []message.RangeGrant{}}
	})
	qt.Assert(t, h.beat(message.Incarnation{ID: "i-1", StartTime: 1}, 1, false), qt.ErrorIs, errLate)
}
