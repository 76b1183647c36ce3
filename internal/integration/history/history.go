// Package history checks recorded histories against the promises: which target
// ran which request under which epoch, and what the caller was told.
//
// All processes of a test run on one host, so their wall clocks agree and the
// order of starts is known to the millisecond.
//
// # Usage
//
//	runs, err := history.ReadRuns(folder)
//	for _, v := range history.Check(runs, responses) {
//		t.Error(v)
//	}
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// ErrRecord means that a record of runs cannot be read.
var ErrRecord = merry.Sentinel("cannot read the record of runs")

// Response is what a caller got for one request.
type Response struct {
	// Sent identifies the request: the caller puts it into the path, and the
	// target's run names that path.
	Sent string
	// RequestID, if set, is that of this attempt. Its runs are then found by it in
	// place of Sent, which the resends of one operation share.
	RequestID string
	// IdempotencyKey is empty for repeatable requests.
	IdempotencyKey string
	Outcome        wire.Outcome
	// Whole is whether the response ended cleanly.
	Whole bool
	// Replayed is whether it is the recorded response of an earlier run.
	Replayed bool
	// BodyMatches is whether the body is the one for this request.
	BodyMatches bool
	// Error is a transport error that the caller saw.
	Error string
}

// Kind names a broken promise.
type Kind string

// Kinds of violations.
const (
	SecondRun     Kind = "second run"
	SecondOwner   Kind = "second owner"
	StaleOwner    Kind = "work under an old epoch after a newer one"
	FalseNotRun   Kind = "false not-run"
	WrongResponse Kind = "wrong response"
	MissingRun    Kind = "complete without a run"
)

// Violation is one broken promise.
type Violation struct {
	Kind   Kind
	Detail string
	// Run is the run that broke the promise, if there is one.
	Run standin.Run
}

// String implements fmt.Stringer.
func (v Violation) String() string { return string(v.Kind) + ": " + v.Detail }

// Check returns all violations.
func Check(runs []standin.Run, responses []Response) []Violation {
	var out []Violation
	out = append(out, secondRuns(runs)...)
	out = append(out, owners(runs)...)
	out = append(out, falseNotRun(runs, responses)...)
	out = append(out, wrongResponses(responses)...)
	out = append(out, missingRuns(runs, responses)...)
	return out
}

func secondRuns(runs []standin.Run) []Violation {
	first := make(map[string]standin.Run)
	var out []Violation
	for _, r := range runs {
		if r.IdempotencyKey == "" {
			continue
		}
		if f, ok := first[r.IdempotencyKey]; ok {
			out = append(out, Violation{SecondRun, fmt.Sprintf("%s on %s at %d and on %s at %d", r.IdempotencyKey, f.Instance, f.Start, r.Instance, r.Start), r})
			continue
		}
		first[r.IdempotencyKey] = r
	}
	return out
}

// owners checks that each epoch of a partition belongs to one target, and that
// nothing starts under an epoch after a run under a later one has started.
func owners(runs []standin.Run) []Violation {
	type grant struct {
		partition wire.PartitionID
		epoch     wire.FencingToken
	}
	byGrant := make(map[grant]string)
	newest := make(map[wire.PartitionID]standin.Run)
	var out []Violation
	for _, r := range inOrder(runs) {
		if r.Partition == "" {
			continue
		}
		g := grant{r.Partition, r.FencingToken}
		if owner, ok := byGrant[g]; ok && owner != r.Instance {
			out = append(out, Violation{SecondOwner, fmt.Sprintf("%s epoch %d on %s and %s", r.Partition, r.FencingToken, owner, r.Instance), r})
		}
		byGrant[g] = r.Instance
		n := newest[r.Partition]
		if r.FencingToken < n.FencingToken && r.Start > n.Start {
			out = append(out, Violation{StaleOwner, fmt.Sprintf("%s epoch %d at %d, epoch %d at %d", r.Partition, n.FencingToken, n.Start, r.FencingToken, r.Start), r})
		}
		if r.FencingToken > n.FencingToken {
			newest[r.Partition] = r
		}
	}
	return out
}

func inOrder(runs []standin.Run) []standin.Run {
	sorted := append([]standin.Run(nil), runs...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Start < sorted[j].Start })
	return sorted
}

func falseNotRun(runs []standin.Run, responses []Response) []Violation {
	ran := make(map[string]standin.Run)
	attempted := make(map[string]standin.Run)
	for _, r := range runs {
		ran[r.Path] = r
		attempted[r.RequestID] = r
	}
	var out []Violation
	for _, r := range responses {
		if r.Outcome != wire.OutcomeNotRun {
			continue
		}
		run, ok := ran[r.Sent]
		if r.RequestID != "" {
			run, ok = attempted[r.RequestID]
		}
		if ok {
			out = append(out, Violation{FalseNotRun, fmt.Sprintf("%s ran on %s at %d", r.Sent, run.Instance, run.Start), run})
		}
	}
	return out
}

func wrongResponses(responses []Response) []Violation {
	var out []Violation
	for _, r := range responses {
		if r.Outcome != wire.OutcomeComplete {
			continue
		}
		if r.Whole && !r.BodyMatches {
			out = append(out, Violation{Kind: WrongResponse, Detail: r.Sent})
		}
	}
	return out
}

// missingRuns checks that an attempt that was answered as complete ran, and that
// a recorded response has a run under its key.
func missingRuns(runs []standin.Run, responses []Response) []Violation {
	attempted, keys := make(map[string]bool), make(map[string]bool)
	for _, r := range runs {
		attempted[r.RequestID] = true
		keys[r.IdempotencyKey] = true
	}
	var out []Violation
	for _, r := range responses {
		if r.RequestID == "" || r.Outcome != wire.OutcomeComplete {
			continue
		}
		if (r.Replayed && !keys[r.IdempotencyKey]) || (!r.Replayed && !attempted[r.RequestID]) {
			out = append(out, Violation{Kind: MissingRun, Detail: fmt.Sprintf("%s, request %s", r.Sent, r.RequestID)})
		}
	}
	return out
}

// ReadRuns reads the files runs-*.jsonl of a folder. A line at the end of a run
// replaces the one at its start. A last line that is not whole belongs to a
// process that was killed while writing it, and is left out.
func ReadRuns(folder string) ([]standin.Run, error) {
	files, err := filepath.Glob(filepath.Join(folder, "runs-*.jsonl"))
	if err != nil {
		return nil, merry.Wrap(ErrRecord, merry.WithCause(err))
	}
	var out []standin.Run
	for _, f := range files {
		runs, err := readFile(f)
		if err != nil {
			return nil, err
		}
		out = append(out, runs...)
	}
	return out, nil
}

func readFile(name string) ([]standin.Run, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, merry.Wrap(ErrRecord, merry.WithCause(err), merry.AppendMessage(name))
	}
	defer func() { _ = f.Close() }()
	var out []standin.Run
	open := make(map[string]int)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var r standin.Run
		if json.Unmarshal(lines.Bytes(), &r) != nil {
			continue
		}
		id := fmt.Sprintf("%s %s %d", r.Instance, r.RequestID, r.Start)
		if i, ok := open[id]; ok && r.End != 0 {
			out[i] = r
			delete(open, id)
			continue
		}
		open[id] = len(out)
		out = append(out, r)
	}
	if err := lines.Err(); err != nil {
		return nil, merry.Wrap(ErrRecord, merry.WithCause(err), merry.AppendMessage(name))
	}
	return out, nil
}
