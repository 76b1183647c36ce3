package bench

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// recordedRun holds the checked fields of a run that a stand-in target recorded.
type recordedRun struct {
	RequestID      string
	IdempotencyKey string
}

// audit reads the recorded runs of the stand-in targets and adds the requests
// that ran twice, or ran despite outcome not run, to the report. The records of
// a lost target are lost with it, so the counts are lower bounds.
func audit(ctx context.Context, o Options, samples []sample, r *Report) error {
	var runs []recordedRun
	for _, address := range o.Targets {
		targetRuns, err := readRuns(ctx, address)
		if err != nil {
			return merry.Wrap(ErrTarget, merry.WithCause(err), merry.AppendMessagef("%s: %v", address, err))
		}
		runs = append(runs, targetRuns...)
	}
	r.RanTwice, r.RanAlthoughNotRun = compareRuns(samples, runs)
	return nil
}

// readRuns fetches the runs that the stand-in target at address recorded.
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

// compareRuns counts the requests whose idempotency key ran more than once, and
// the requests that ran although their outcome was not run.
func compareRuns(samples []sample, runs []recordedRun) (ranTwice, ranAlthoughNotRun int) {
	byKey := make(map[string]int)
	byID := make(map[string]int)
	for _, r := range runs {
		byKey[r.IdempotencyKey]++
		byID[r.RequestID]++
	}
	for _, s := range samples {
		if s.operation != "" && byKey[s.operation] > 1 {
			ranTwice++
		}
		if s.outcome == wire.OutcomeNotRun && byID[s.requestID] > 0 {
			ranAlthoughNotRun++
		}
	}
	return ranTwice, ranAlthoughNotRun
}
