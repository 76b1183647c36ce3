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
