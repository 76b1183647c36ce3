package bench

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// recordedRun is the part of a stand-in target's record that is checked.
type recordedRun struct {
	RequestID      string
	IdempotencyKey string
}

// audit reads the records of the stand-in targets and adds to the report the
// requests that ran although they must not have. A target that was lost took
// its record with it, so the counts are lower bounds.
func audit(ctx context.Context, o Options, samples []sample, r *Report) error {
	var runs []recordedRun
	for _, a := range o.Targets {
		more, err := readRuns(ctx, a)
		if err != nil {
			return merry.Wrap(ErrTarget, merry.WithCause(err), merry.AppendMessagef("%s: %v", a, err))
		}
		runs = append(runs, more...)
	}
	r.RanTwice, r.RanAlthoughNotRun = compareRuns(samples, runs)
	return nil
}

func readRuns(ctx context.Context, address string) ([]recordedRun, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/runs", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var runs []recordedRun
	return runs, json.NewDecoder(response.Body).Decode(&runs)
}

// compareRuns counts idempotency keys that ran more than once, and requests
// that ran although their outcome was not run.
func compareRuns(samples []sample, runs []recordedRun) (twice, although int) {
	byKey := make(map[string]int)
	byID := make(map[string]int)
	for _, r := range runs {
		byKey[r.IdempotencyKey]++
		byID[r.RequestID]++
	}
	for _, s := range samples {
		if s.operation != "" && byKey[s.operation] > 1 {
			twice++
		}
		if s.outcome == wire.OutcomeNotRun && byID[s.requestID] > 0 {
			although++
		}
	}
	return twice, although
}
