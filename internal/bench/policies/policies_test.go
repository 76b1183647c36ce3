package policies

import (
	"context"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// findTrace returns the first half of the trace with the name.
func findTrace(t *testing.T, name string) trace {
	t.Helper()
	for _, v := range traces() {
		if v.name == name {
			// Half of the trace includes the first of its events.
			v.duration = traceMillis / 2
			return v
		}
	}
	t.Fatalf("no trace %q", name)
	return trace{}
}

// Guards against results that depend on anything but the seed, such as map iteration
// order, because such results could not be compared.
func TestSameSeedSameResult(t *testing.T) {
	v := findTrace(t, "keyed: rolling restart")
	p := v.policies[len(v.policies)-1]
	qt.Assert(t, row("", simulate(v, p, 7)), qt.Equals, row("", simulate(v, p, 7)))
}

// Guards against the balance policy being no better than its baselines on the traces
// for which it was chosen.
func TestBalanceBeatsBaselines(t *testing.T) {
	for _, name := range []string{"choice: normal day", "choice: straggler"} {
		v := findTrace(t, name)
		balanced := runSeeds(v, v.policies[len(v.policies)-1], Options{Seeds: 1})
		for _, p := range v.policies[:len(v.policies)-1] {
			baseline := runSeeds(v, p, Options{Seeds: 1})
			better := balanced.imbalance < baseline.imbalance && balanced.p99 < baseline.p99 && balanced.goodput >= baseline.goodput
			qt.Check(t, better, qt.IsTrue, qt.Commentf("%s: %s%s", name, row("balance", balanced), row(p.name, baseline)))
		}
	}
}

// Guards against the model losing a request or ending it twice, with any policy.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := traces()
		v := all[rapid.IntRange(0, len(all)-1).Draw(rt, "trace")]
		v.duration = 500
		p := v.policies[rapid.IntRange(0, len(v.policies)-1).Draw(rt, "policy")]
		m := newModel(v, p, rapid.Uint64().Draw(rt, "seed"))
		m.run()
		if len(m.record.requests)+m.record.flooded != m.arrived {
			rt.Fatalf("%d of %d requests ended", len(m.record.requests)+m.record.flooded, m.arrived)
		}
		for _, h := range m.targets {
			if h.inFlight() != 0 || (h.limiter != nil && h.limiter.InFlight()+h.limiter.Waiting() != 0) {
				rt.Fatalf("%s still has requests after the run", h.id)
			}
		}
	})
}

// Guards against a comparison that continues after its context was canceled.
func TestRunStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var b strings.Builder
	qt.Assert(t, errors.Is(Run(ctx, Options{}, &b), context.Canceled), qt.IsTrue)
}
