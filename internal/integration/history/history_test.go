package history

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a check that misses violations: each history breaks one promise, except
// the last, which must not be reported.
func TestCheckFindsEachViolation(t *testing.T) {
	keyed := func(instance string, epoch wire.FencingToken, start int) standin.Run {
		return standin.Run{Path: "/c/" + instance, Partition: "catalogue/1", FencingToken: epoch, Instance: instance, Start: clock.UnixMillis(100 + start)}
	}
	tests := map[string]struct {
		runs      []standin.Run
		responses []Response
		want      []Kind
	}{
		"same idempotency key twice": {
			runs: []standin.Run{{IdempotencyKey: "k", Instance: "a"}, {IdempotencyKey: "k", Instance: "b"}},
			want: []Kind{SecondRun},
		},
		"two targets under one epoch": {
			runs: []standin.Run{keyed("a", 4, 0), keyed("b", 4, 0)},
			want: []Kind{SecondOwner},
		},
		"old owner works after the new one": {
			runs: []standin.Run{keyed("a", 4, 0), keyed("b", 9, 5), keyed("a", 4, 6)},
			want: []Kind{StaleOwner},
		},
		"not-run that ran": {
			runs:      []standin.Run{{Path: "/pledges/7", Instance: "a"}},
			responses: []Response{{Sent: "/pledges/7", Outcome: wire.OutcomeNotRun}},
			want:      []Kind{FalseNotRun},
		},
		"response of another request": {
			responses: []Response{{Sent: "/catalogue/1", Outcome: wire.OutcomeComplete, Whole: true}},
			want:      []Kind{WrongResponse},
		},
		"attempt that ran after not-run": {
			runs:      []standin.Run{{Path: "/pledges/7", RequestID: "r1"}},
			responses: []Response{{Sent: "/pledges/7", RequestID: "r1", Outcome: wire.OutcomeNotRun}, {Sent: "/pledges/7", RequestID: "r2", Outcome: wire.OutcomeNotRun}},
			want:      []Kind{FalseNotRun},
		},
		"acknowledged without a run": {
			runs:      []standin.Run{{RequestID: "r1", IdempotencyKey: "k"}},
			responses: []Response{{RequestID: "r2", Outcome: wire.OutcomeComplete}, {RequestID: "r3", IdempotencyKey: "k", Replayed: true, Outcome: wire.OutcomeComplete}},
			want:      []Kind{MissingRun},
		},
		"clean handover": {
			runs:      []standin.Run{keyed("a", 4, 0), keyed("b", 9, 5), {IdempotencyKey: "k", Path: "/pledges/7"}},
			responses: []Response{{Sent: "/pledges/7", Outcome: wire.OutcomeComplete, Whole: true, BodyMatches: true}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []Kind
			for _, v := range Check(tt.runs, tt.responses) {
				got = append(got, v.Kind)
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}
