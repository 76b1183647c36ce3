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

// settleDelay lets a resumed target run what it still holds, if it would.
const settleDelay clock.Millis = 1000

// clockTick is the resolution of the records, in milliseconds.
const clockTick clock.UnixMillis = 1

// audit holds the records of the targets and what they show.
type audit struct {
	mu   sync.Mutex
	seen []*cluster.Host
	runs []standin.Run

	// twice are operations that ran more than once.
	twice []string
	// although are operations that ran although every response said not run.
	although []string
	// changed are operations whose responses differ.
	changed []string
	// overlaps are runs under an epoch that had been followed by a later one.
	overlaps []string
}

func (a *audit) add(h *cluster.Host, runs []standin.Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen = append(a.seen, h)
	a.runs = append(a.runs, runs...)
}

// check reads the record of every target, also of the lost one, which returns as
// if nothing had happened.
func (d *demo) check(ctx context.Context) error {
	d.loss.host.Target.Resume()
	if err := clock.System().Sleep(ctx, settleDelay); err != nil {
		return err
	}
	for _, h := range d.without(d.audit.seen...) {
		runs, err := h.Runs(ctx)
		if err != nil {
			return err
		}
		d.audit.add(h, runs)
	}
	d.audit.operations(d.operations)
	d.audit.owners()
	return nil
}

func (a *audit) operations(all []*operation) {
	count := make(map[wire.OperationKey]int)
	for _, r := range a.runs {
		count[wire.OperationKey(r.IdempotencyKey)]++
	}
	for _, o := range all {
		n := count[o.key]
		if n > 1 {
			a.twice = append(a.twice, fmt.Sprintf("%s %s ran %d times", o.path, o.key, n))
		}
		if n > 0 && o.outcome() == wire.OutcomeNotRun {
			a.although = append(a.although, fmt.Sprintf("%s %s", o.path, o.key))
		}
		if o.differs() {
			a.changed = append(a.changed, fmt.Sprintf("%s %s", o.path, o.key))
		}
	}
}

// differs reports whether two complete responses to an operation are not the
// same.
func (o *operation) differs() bool {
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

// owners checks that runs of each partition follow its epochs: once a run has
// started under an epoch, none starts under an earlier one.
func (a *audit) owners() {
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
				a.overlaps = append(a.overlaps, fmt.Sprintf("%s: epoch %d ran after epoch %d", p, r.FencingToken, newest.FencingToken))
			}
			if r.FencingToken == newest.FencingToken && r.Instance != newest.Instance {
				a.overlaps = append(a.overlaps, fmt.Sprintf("%s: two targets under epoch %d", p, r.FencingToken))
			}
			if r.FencingToken > newest.FencingToken {
				newest = r
			}
		}
	}
}

func (t *tally) text() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d requests: %d complete, %d failed, %d not run, %d unknown, %d cut off, %d without response",
		t.requests, t.complete, t.failed, t.notRun, t.unknown, t.cut, t.noResponse)
}

// summary prints the result and returns whether every promise was kept.
func (d *demo) summary() bool {
	fmt.Printf("\n%s\n\n", d.tally.text())
	unserved := len(d.loss.keys) - len(d.loss.servedAfter)
	replayed, final := d.resends()
	fmt.Printf("requests that must not repeat  %d, of which %d replayed to a resend, %d ended as unknown\n", len(d.operations), replayed, final)
	fmt.Printf("keys lost with %-15s %d; served again after %s\n", d.loss.host.Name, len(d.loss.keys), d.loss.text())
	fmt.Printf("requests while %s stopped  %d, of which %d not run\n\n", d.planned.host.Name, d.planned.requests, d.planned.notRun)
	if d.planned.stopErr != nil {
		d.planned.interruptions = append(d.planned.interruptions, d.planned.stopErr.Error())
	}
	kept := true
	for _, c := range []struct {
		what   string
		broken []string
	}{
		{"P1 runs under an outdated owner", d.audit.overlaps},
		{"P3 wrong or partial answers", append(d.tally.wrong, d.audit.changed...)},
		{"P4 runs although not run", d.audit.although},
		{"P5 second runs", d.audit.twice},
		{"P7 interruptions by a planned stop", d.planned.interruptions},
		{"   lost keys never served again", make([]string, unserved)},
	} {
		fmt.Printf("%-36s %d%s\n", c.what, len(c.broken), examples(c.broken))
		kept = kept && len(c.broken) == 0
	}
	if kept {
		fmt.Println("\nall promises kept")
	} else {
		fmt.Println("\nA PROMISE WAS BROKEN")
	}
	return kept
}

// examples shows the first few of a list.
func examples(list []string) string {
	const most = 5
	if len(list) == 0 {
		return ""
	}
	return "\n    " + strings.Join(list[:min(most, len(list))], "\n    ")
}

func (d *demo) resends() (replayed, unknown int) {
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

// text gives the median and the longest time until a lost key was served.
func (l *loss) text() string {
	var times []clock.Millis
	for _, t := range l.servedAfter {
		times = append(times, t)
	}
	if len(times) == 0 {
		return "never"
	}
	slices.Sort(times)
	longest := times[len(times)-1]
	text := fmt.Sprintf("%d ms (median), %d ms (longest)", times[len(times)/2], longest)
	if longest > servedAgain {
		text += fmt.Sprintf("; the aim is %d ms", servedAgain)
	}
	return text
}
