package sidecar

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// Guards against a heartbeat of another writer that draws all keys and requests to a target,
// makes all later heartbeats of the target look late, or is replicated to all hosts although
// nothing can be done with it.
func TestOddHeartbeatChangesNothing(t *testing.T) {
	runs := message.Incarnation{ID: "i-1", StartTime: 9000}
	tests := map[string]func(h *Heartbeat){
		"too many slots":             func(h *Heartbeat) { h.Slots = math.MaxInt },
		"cold in the past":           func(h *Heartbeat) { h.ColdMillis = -1 },
		"cold for ever":              func(h *Heartbeat) { h.ColdMillis = math.MaxInt64 },
		"negative slots":             func(h *Heartbeat) { h.Slots = -1 },
		"number too large":           func(h *Heartbeat) { h.Sequence = math.MaxInt },
		"negative number":            func(h *Heartbeat) { h.Sequence = -1 },
		"start time too large":       func(h *Heartbeat) { h.Incarnation.StartTime = math.MaxInt },
		"negative start time":        func(h *Heartbeat) { h.Incarnation.StartTime = -1 },
		"port out of range":          func(h *Heartbeat) { h.Address = "127.0.0.1:99999" },
		"no address":                 func(h *Heartbeat) { h.Address = "" },
		"no id":                      func(h *Heartbeat) { h.Incarnation.ID = "" },
		"long id":                    func(h *Heartbeat) { h.Incarnation.ID = message.InstanceID(strings.Repeat("i", 1<<20)) },
		"id that no header can hold": func(h *Heartbeat) { h.Incarnation.ID = "i-1\r\nX: y" },
		"negative key":               func(h *Heartbeat) { h.Grants = []message.RangeGrant{{From: -1, To: 5}} },
		"key too large":              func(h *Heartbeat) { h.Released = []message.RangeGrant{{From: 0, To: math.MaxInt}} },
		"empty range":                func(h *Heartbeat) { h.Released = []message.RangeGrant{{From: 5, To: 4}} },
		"negative fencing token":     func(h *Heartbeat) { h.Grants = []message.RangeGrant{{From: 0, To: 4, FencingToken: -1}} },
		"fencing token too large":    func(h *Heartbeat) { h.Grants = []message.RangeGrant{{From: 0, To: 4, FencingToken: math.MaxInt}} },
		"long handover token": func(h *Heartbeat) {
			h.Released = []message.RangeGrant{{From: 0, To: 4, HandoverToken: message.HandoverToken(strings.Repeat("x", 1<<20))}}
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHost(t)
			qt.Assert(t, h.beat(runs, 1, false), qt.IsNil)
			before := h.core.heartbeats.Load()
			odd := Heartbeat{Incarnation: runs, Service: "finder", Address: "127.0.0.1:9", Slots: 4, Sequence: 2}
			change(&odd)
			_, err := h.sidecar.HandleHeartbeat(t.Context(), odd)
			qt.Check(t, err, qt.ErrorIs, ErrInvalidHeartbeat)
			qt.Check(t, h.core.heartbeats.Load(), qt.Equals, before)
			qt.Check(t, h.beat(runs, 2, false), qt.IsNil)
		})
	}
}
