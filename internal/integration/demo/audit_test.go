package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Guards against an audit that finds nothing because it cannot.
func TestOwnersFindsOutdatedOwner(t *testing.T) {
	tests := map[string]struct {
		runs []standin.Run
		want int
	}{
		"in order":         {[]standin.Run{{FencingToken: 1, Start: 10, Instance: "a"}, {FencingToken: 2, Start: 20, Instance: "b"}}, 0},
		"record by record": {[]standin.Run{{FencingToken: 2, Start: 20, Instance: "b"}, {FencingToken: 1, Start: 10, Instance: "a"}}, 0},
		"outdated owner":   {[]standin.Run{{FencingToken: 2, Start: 20, Instance: "b"}, {FencingToken: 1, Start: 30, Instance: "a"}}, 1},
		"one epoch, two":   {[]standin.Run{{FencingToken: 1, Start: 10, Instance: "a"}, {FencingToken: 1, Start: 20, Instance: "b"}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a audit
			for _, r := range test.runs {
				r.Partition = "catalogue/1"
				a.runs = append(a.runs, r)
			}
			a.owners()
			qt.Assert(t, a.overlaps, qt.HasLen, test.want)
		})
	}
}

// Guards against a second run, a run after "not run", or a changed response that
// the summary does not show.
func TestOperationsFindsBrokenPromises(t *testing.T) {
	complete := func(body string) cluster.Response {
		return cluster.Response{Outcome: wire.OutcomeComplete, Body: body}
	}
	notRun := cluster.Response{Outcome: wire.OutcomeNotRun}
	a := audit{runs: []standin.Run{{IdempotencyKey: "twice"}, {IdempotencyKey: "twice"}, {IdempotencyKey: "although"}, {IdempotencyKey: "once"}}}
	a.operations([]*operation{
		{key: "twice", responses: []cluster.Response{complete("x")}},
		{key: "although", responses: []cluster.Response{notRun}},
		{key: "once", responses: []cluster.Response{notRun, complete("x"), complete("x")}},
		{key: "changed", responses: []cluster.Response{complete("x"), complete("y")}},
	})
	qt.Assert(t, a.twice, qt.HasLen, 1)
	qt.Assert(t, a.although, qt.HasLen, 1)
	qt.Assert(t, a.changed, qt.HasLen, 1)
}
