package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Guards against an audit that misses runs under an outdated epoch or on a second target.
func TestOwnersFindsOutdatedOwner(t *testing.T) {
	tests := map[string]struct {
		runs []standin.Run
		want int
	}{
		"in order":           {[]standin.Run{{FencingToken: 1, Start: 10, Instance: "a"}, {FencingToken: 2, Start: 20, Instance: "b"}}, 0},
		"not sorted by time": {[]standin.Run{{FencingToken: 2, Start: 20, Instance: "b"}, {FencingToken: 1, Start: 10, Instance: "a"}}, 0},
		"outdated owner":     {[]standin.Run{{FencingToken: 2, Start: 20, Instance: "b"}, {FencingToken: 1, Start: 30, Instance: "a"}}, 1},
		"two targets":        {[]standin.Run{{FencingToken: 1, Start: 10, Instance: "a"}, {FencingToken: 1, Start: 20, Instance: "b"}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a audit
			for _, r := range test.runs {
				r.Partition = "catalogue/1"
				a.runs = append(a.runs, r)
			}
			a.checkOwners()
			qt.Assert(t, a.ownerConflicts, qt.HasLen, test.want)
		})
	}
}

// Guards against an audit that misses a second run, a run although the outcome was
// not-run, or responses that differ.
func TestOperationsFindsBrokenPromises(t *testing.T) {
	complete := func(body string) cluster.Response {
		return cluster.Response{Outcome: wire.OutcomeComplete, Body: body}
	}
	notRun := cluster.Response{Outcome: wire.OutcomeNotRun}
	a := audit{runs: []standin.Run{{IdempotencyKey: "twice"}, {IdempotencyKey: "twice"}, {IdempotencyKey: "false not-run"}, {IdempotencyKey: "once"}}}
	a.checkOperations([]*operation{
		{key: "twice", responses: []cluster.Response{complete("x")}},
		{key: "false not-run", responses: []cluster.Response{notRun}},
		{key: "once", responses: []cluster.Response{notRun, complete("x"), complete("x")}},
		{key: "changed", responses: []cluster.Response{complete("x"), complete("y")}},
	})
	qt.Assert(t, a.repeated, qt.HasLen, 1)
	qt.Assert(t, a.falseNotRun, qt.HasLen, 1)
	qt.Assert(t, a.differing, qt.HasLen, 1)
}
