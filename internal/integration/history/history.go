// Package history checks recorded runs and responses against the promises of the
// system. A run states which target ran a request under which fencing token ("epoch"
// in the text of a violation), and a response states what its caller received.
//
// All processes of a test run on one host and share its wall clock, so the order
// of starts is known to the millisecond.
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

// Response is what a caller received for one request.
type Response struct {
	// Sent identifies the request: the caller puts it into the path, which the
	// target records with the run.
	Sent string
	// RequestID, if set, identifies this attempt. Runs are then matched by RequestID
	// instead of Sent, because all attempts of one operation have the same Sent.
	RequestID string
	// IdempotencyKey is empty for repeatable requests.
	IdempotencyKey string
	Outcome        wire.Outcome
	// Whole is whether the response was received completely.
	Whole bool
	// Replayed is whether it is the recorded response of an earlier run.
	Replayed bool
	// BodyMatches is whether the body belongs to this request.
	BodyMatches bool
	// Error is a transport error that the caller saw.
	Error string
}

// Kind identifies the promise that was broken.
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
	// Run is the run that broke the promise, if any.
	Run standin.Run
}

// String implements fmt.Stringer.
func (v Violation) String() string { return string(v.Kind) + ": " + v.Detail }

// Check returns all violations.
func Check(runs []standin.Run, responses []Response) []Violation {
	var out []Violation
	out = append(out, findSecondRuns(runs)...)
	out = append(out, findOwnerConflicts(runs)...)
	out = append(out, findFalseNotRuns(runs, responses)...)
	out = append(out, findWrongResponses(responses)...)
	out = append(out, findMissingRuns(runs, responses)...)
	return out
}

// findSecondRuns checks that no idempotency key has more than one run.
func findSecondRuns(runs []standin.Run) []Violation {
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

// findOwnerConflicts checks that each fencing token of a partition is used by one target
// only, and that no run starts under a token after a run under a higher one has started.
// A target is identified by its Run.Instance.
func findOwnerConflicts(runs []standin.Run) []Violation {
	type grant struct {
		partition wire.PartitionID
		token     wire.FencingToken
	}
	instances := make(map[grant]string)
	newest := make(map[wire.PartitionID]standin.Run)
	var out []Violation
	for _, r := range sortedByStart(runs) {
		if r.Partition == "" {
			continue
		}
		g := grant{r.Partition, r.FencingToken}
		if instance, ok := instances[g]; ok && instance != r.Instance {
			out = append(out, Violation{SecondOwner, fmt.Sprintf("%s epoch %d on %s and %s", r.Partition, r.FencingToken, instance, r.Instance), r})
		}
		instances[g] = r.Instance
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

func sortedByStart(runs []standin.Run) []standin.Run {
	sorted := append([]standin.Run(nil), runs...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Start < sorted[j].Start })
	return sorted
}

// findFalseNotRuns checks that requests with the outcome not-run did not run.
func findFalseNotRuns(runs []standin.Run, responses []Response) []Violation {
	byPath := make(map[string]standin.Run)
	byRequestID := make(map[string]standin.Run)
	for _, r := range runs {
		byPath[r.Path] = r
		byRequestID[r.RequestID] = r
	}
	var out []Violation
	for _, r := range responses {
		if r.Outcome != wire.OutcomeNotRun {
			continue
		}
		run, ok := byPath[r.Sent]
		if r.RequestID != "" {
			run, ok = byRequestID[r.RequestID]
		}
		if ok {
			out = append(out, Violation{FalseNotRun, fmt.Sprintf("%s ran on %s at %d", r.Sent, run.Instance, run.Start), run})
		}
	}
	return out
}

// findWrongResponses checks that complete responses contain the body of their request.
func findWrongResponses(responses []Response) []Violation {
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

// findMissingRuns checks that an attempt with the outcome complete has a run, and that
// a replayed response has a run with its idempotency key.
func findMissingRuns(runs []standin.Run, responses []Response) []Violation {
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

// ReadRuns reads the files runs-*.jsonl of a folder. A target writes a line when a run
// starts and another when it ends; the second replaces the first. Lines that cannot be
// decoded are skipped: a process that is killed while writing leaves a partial last
// line.
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
	unfinished := make(map[string]int) // index in out
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var r standin.Run
		if json.Unmarshal(lines.Bytes(), &r) != nil {
			continue
		}
		id := fmt.Sprintf("%s %s %d", r.Instance, r.RequestID, r.Start)
		if i, ok := unfinished[id]; ok && r.End != 0 {
			out[i] = r
			delete(unfinished, id)
			continue
		}
		unfinished[id] = len(out)
		out = append(out, r)
	}
	if err := lines.Err(); err != nil {
		return nil, merry.Wrap(ErrRecord, merry.WithCause(err), merry.AppendMessage(name))
	}
	return out, nil
}
