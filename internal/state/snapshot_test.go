package state_test

import (
	"encoding/base64"
	"errors"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
)

const (
	goldenTime        = wire.UnixMillis(1_800_000_000_000)
	goldenIncarnation = wire.Incarnation("7c7b52aa-2f0e-4c55-9a52-0123456789ab")
)

// goldenCommands returns the commands whose state is in testdata/snapshot_text.golden:
// operations that are running, finished with a body in base64, finished with another body,
// finished with a body that is too large to keep, released, and begun after a release. Their
// IDs and fingerprints are in canonical and other forms.
func goldenCommands() []wire.Command {
	begin := func(n int, f wire.Fingerprint, e wire.ExecutionID, i wire.Incarnation) wire.Command {
		return wire.Command{ProposedAt: goldenTime, Begin: &wire.BeginRequest{
			Service: "pledges", Caller: "coordinator <é>", Key: key(goldenTime, n), Fingerprint: f, Execution: e, Incarnation: i,
		}}
	}
	finish := func(n int, e wire.ExecutionID, r wire.OperationResult) wire.Command {
		return wire.Command{Finish: &wire.FinishRequest{Service: "pledges", Key: key(goldenTime, n), Execution: e, Result: r}}
	}
	const execution = wire.ExecutionID("3f1c7b52-2f0e-4c55-9a52-00000000000a")
	body := base64.StdEncoding.EncodeToString([]byte("pledged: 12 blankets\n"))
	header := wire.OperationResultHeader{"Content-Type": {"text/plain"}, "Vary": {"a", "b"}}
	return []wire.Command{
		{ProposedAt: goldenTime, RegisterMember: member("n1", string(goldenIncarnation), "pledges")},
		{ProposedAt: goldenTime, RegisterMember: member("n2", "i2", "pledges")},
		begin(1, "00000000000000ff", execution, goldenIncarnation),
		begin(2, "00000000000000fe", execution, goldenIncarnation),
		finish(2, execution, wire.OperationResult{Outcome: wire.OutcomeComplete, Status: 201, Body: body, BodyKept: true, Header: header}),
		begin(3, "f3", "e3", "i2"),
		finish(3, "e3", wire.OperationResult{Outcome: wire.OutcomeFailed, Status: 500, Body: "not base64", BodyKept: true, Header: wire.OperationResultHeader{}}),
		begin(4, "00000000000000FC", execution, goldenIncarnation),
		finish(4, execution, wire.OperationResult{Outcome: wire.OutcomeUnknown, Status: -1}),
		begin(5, "00000000000000fb", execution, goldenIncarnation),
		finish(5, execution, wire.OperationResult{Outcome: wire.OutcomeNotRun}),
		finish(6, "e6", wire.OperationResult{Outcome: wire.OutcomeNotRun}),
		begin(6, "00000000000000fa", execution, "i2"),
		begin(7, "", "3F1C7B52-2f0e-4c55-9a52-00000000000b", "i2"),
	}
}

// Guards against a data folder that a later version cannot read, and against packing that
// loses a field of a record. The golden file was written in format 0, with a line of JSON
// for each operation.
func TestRestoreReadsFormat0(t *testing.T) {
	g := newGroup()
	for _, c := range goldenCommands() {
		qt.Assert(t, g.apply(c).Err, qt.IsNil)
	}
	want, err := g.machine.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	golden, err := os.ReadFile("testdata/snapshot_text.golden")
	qt.Assert(t, err, qt.IsNil)
	m := state.New("tz")
	qt.Assert(t, m.Restore(golden), qt.IsNil)
	got, err := m.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, string(want))
	for _, c := range goldenCommands() {
		if c.Finish == nil || c.Finish.Result.Outcome == wire.OutcomeNotRun {
			continue
		}
		resend := &wire.BeginRequest{Service: "pledges", Caller: "coordinator <é>", Key: c.Finish.Key, Execution: "resend"}
		for _, other := range goldenCommands() {
			if other.Begin != nil && other.Begin.Key == c.Finish.Key {
				resend.Fingerprint = other.Begin.Fingerprint
			}
		}
		r := g.apply(wire.Command{Begin: resend})
		qt.Assert(t, *r.Begin.Result, qt.DeepEquals, c.Finish.Result)
	}
}

// Guards against a capture that is changed by entries applied after it, in any part of the
// state.
func TestCaptureDoesNotChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup()
		g.apply(wire.Command{Apply: applyConfig(0, "first", config(4))})
		type capture struct {
			encode func() ([]byte, error)
			want   string
		}
		var captures []capture
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			g.apply(drawCommand(t, g.machine))
			if rapid.IntRange(0, 4).Draw(t, "capture") == 0 {
				encode, err := g.machine.Capture()
				require(t, err == nil, "%v", err)
				captures = append(captures, capture{encode, string(snapshot(t, restoredCopy(t, g.machine)))})
			}
		}
		for _, c := range captures {
			got, err := c.encode()
			require(t, err == nil && string(got) == c.want, "capture encodes as\n%s\nexpected\n%s", got, c.want)
		}
	})
}

// Guards against accepting a snapshot that would crash the replica at a later command: one
// with a null map, with an invalid operation record, or with operations that are not
// sorted by key.
func TestRestoreRejectsInvalidContents(t *testing.T) {
	first, second := string(key(day, 1)), string(key(day, 2))
	tests := map[string]struct {
		text     string
		rejected bool
	}{
		"in order":               {`{"Group":"tz"}` + "\n" + first + " {}\n" + second + " {}\n", false},
		"null map":               {`{"Group":"tz","Members":null}` + "\n", true},
		"record is an array":     {`{"Group":"tz"}` + "\n" + first + " []\n", true},
		"field has a wrong type": {`{"Group":"tz"}` + "\n" + first + ` {"Service":5}` + "\n", true},
		"out of order":           {`{"Group":"tz"}` + "\n" + second + " {}\n" + first + " {}\n", true},
		"duplicate":              {`{"Group":"tz"}` + "\n" + first + " {}\n" + first + " {}\n", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := newGroup().machine.Restore([]byte(tt.text))
			qt.Assert(t, errors.Is(err, state.ErrInvalidSnapshot), qt.Equals, tt.rejected, qt.Commentf("%v", err))
		})
	}
}
