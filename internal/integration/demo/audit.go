package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// settleDelay is the time in which a resumed target could run requests that it still
// has queued.
const settleDelay clock.Millis = 1000

// clockTick is the resolution of recorded start times, in milliseconds.
const clockTick clock.UnixMillis = 1

// audit contains the recorded runs of the targets and the violations found in them.
type audit struct {
	mu      sync.Mutex
	audited []*cluster.Host
	runs    []standin.Run

	// repeated are operations that ran more than once.
	repeated []string
	// falseNotRun are operations that ran although every response stated not-run.
	falseNotRun []string
	// differing are operations with complete responses that differ.
	differing []string
	// ownerConflicts are runs that started under a fencing token after a run under a
	// higher one, or on a second target under the same fencing token.
	ownerConflicts []string
}

func (a *audit) add(h *cluster.Host, runs []standin.Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.audited = append(a.audited, h)
	a.runs = append(a.runs, runs...)
}

// auditRuns resumes the target of the lost host, reads the recorded runs of every
// target, and checks them.
func (d *demo) auditRuns(ctx context.Context) error {
	d.loss.host.Target.Resume()
	if err := clock.System().Sleep(ctx, settleDelay); err != nil {
		return err
	}
	for _, h := range d.hostsExcept(d.audit.audited...) {
		runs, err := h.Runs(ctx)
		if err != nil {
			return err
		}
		d.audit.add(h, runs)
	}
	d.audit.checkOperations(d.operations)
	d.audit.checkOwners()
	return nil
}

func (a *audit) checkOperations(all []*operation) {
	count := make(map[wire.OperationKey]int)
	for _, r := range a.runs {
		count[wire.OperationKey(r.IdempotencyKey)]++
	}
	for _, o := range all {
		n := count[o.key]
		if n > 1 {
			a.repeated = append(a.repeated, fmt.Sprintf("%s %s ran %d times", o.path, o.key, n))
		}
		if n > 0 && o.outcome() == wire.OutcomeNotRun {
			a.falseNotRun = append(a.falseNotRun, fmt.Sprintf("%s %s", o.path, o.key))
		}
		if o.responsesDiffer() {
			a.differing = append(a.differing, fmt.Sprintf("%s %s", o.path, o.key))
		}
	}
}

// responsesDiffer reports whether two complete responses to the operation differ.
func (o *operation) responsesDiffer() bool {
	first := ""
	for _, r := range o.responses {
		if r.Outcome != wire.OutcomeComplete || r.BodyErr != nil {
			continue
		}
		if first != "" && r.Body != first {
			return true
		}
		first = r.Body
	}
	return false
}

// checkOwners checks that once a run of a partition has started under a fencing token,
// no run starts under a lower one, and that each token is used by one target only.
func (a *audit) checkOwners() {
	byPartition := make(map[wire.PartitionID][]standin.Run)
	for _, r := range a.runs {
		if r.Partition != "" {
			byPartition[r.Partition] = append(byPartition[r.Partition], r)
		}
	}
	for p, runs := range byPartition {
		slices.SortFunc(runs, func(x, y standin.Run) int { return cmp.Compare(x.Start, y.Start) })
		newest := runs[0]
		for _, r := range runs {
			if r.FencingToken < newest.FencingToken && r.Start > newest.Start+clockTick {
				a.ownerConflicts = append(a.ownerConflicts, fmt.Sprintf("%s: epoch %d ran after epoch %d", p, r.FencingToken, newest.FencingToken))
			}
			if r.FencingToken == newest.FencingToken && r.Instance != newest.Instance {
				a.ownerConflicts = append(a.ownerConflicts, fmt.Sprintf("%s: two targets under epoch %d", p, r.FencingToken))
			}
			if r.FencingToken > newest.FencingToken {
				newest = r
			}
		}
	}
}

func (t *tally) summary() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d requests: %d complete, %d failed, %d not run, %d unknown, %d cut off, %d without response",
		t.requests, t.complete, t.failed, t.notRun, t.unknown, t.truncated, t.noResponse)
}

// summary prints the result and reports whether every promise was kept.
func (d *demo) summary() bool {
	fmt.Printf("\n%s\n\n", d.tally.summary())
	unserved := len(d.loss.keys) - len(d.loss.servedAfter)
	replayed, unknown := d.countResends()
	fmt.Printf("requests that must not repeat  %d, of which %d replayed to a resend, %d ended as unknown\n", len(d.operations), replayed, unknown)
	fmt.Printf("keys lost with %-15s %d; served again after %s\n", d.loss.host.Name, len(d.loss.keys), d.loss.recoveryTimes())
	fmt.Printf("requests while %s stopped  %d, of which %d not run\n\n", d.planned.host.Name, d.planned.requests, d.planned.notRun)
	if d.planned.stopErr != nil {
		d.planned.interruptions = append(d.planned.interruptions, d.planned.stopErr.Error())
	}
	kept := true
	for _, c := range []struct {
		name   string
		broken []string
	}{
		{"P1 runs under an outdated owner", d.audit.ownerConflicts},
		{"P3 wrong or partial responses", append(d.tally.wrong, d.audit.differing...)},
		{"P4 runs although not run", d.audit.falseNotRun},
		{"P5 second runs", d.audit.repeated},
		{"P7 interruptions by a planned stop", d.planned.interruptions},
		{"   lost keys never served again", make([]string, unserved)},
	} {
		fmt.Printf("%-36s %d%s\n", c.name, len(c.broken), formatExamples(c.broken))
		kept = kept && len(c.broken) == 0
	}
	if kept {
		fmt.Println("\nall promises kept")
	} else {
		fmt.Println("\nA PROMISE WAS BROKEN")
	}
	return kept
}

// formatExamples returns the first entries of a list, one per line.
func formatExamples(list []string) string {
	const maxExamples = 5
	if len(list) == 0 {
		return ""
	}
	return "\n    " + strings.Join(list[:min(maxExamples, len(list))], "\n    ")
}

// countResends returns the number of operations with a replayed response and of those
// whose outcome stayed unknown.
func (d *demo) countResends() (replayed, unknown int) {
	for _, o := range d.operations {
		if slices.ContainsFunc(o.responses, func(r cluster.Response) bool { return r.Replayed }) {
			replayed++
		}
		if o.outcome() == wire.OutcomeUnknown {
			unknown++
		}
	}
	return replayed, unknown
}

// recoveryTimes returns the median and the longest time until a lost key was served.
func (l *loss) recoveryTimes() string {
	var times []clock.Millis
	for _, t := range l.servedAfter {
		times = append(times, t)
	}
	if len(times) == 0 {
		return "never"
	}
	slices.Sort(times)
	longest := times[len(times)-1]
	out := fmt.Sprintf("%d ms (median), %d ms (longest)", times[len(times)/2], longest)
	if longest > recoveryGoal {
		out += fmt.Sprintf("; the goal is %d ms", recoveryGoal)
	}
	return out
}
