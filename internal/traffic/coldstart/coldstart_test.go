package coldstart_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/traffic/coldstart"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// pendingRequest is a request that has a slot and waits for a connection.
type pendingRequest struct{ begun, sendAt clock.Millis }

// Guards against more requests to a cold target in any second than the deployment allows:
// requests press all the time, the target turns cold in the middle of traffic, starts again
// or leaves an evacuation, the sidecar starts again, connections take long, and requests are
// answered 421, which does not count.
func TestBoundInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := coldstart.Bounds{
			PerSecond: rapid.Float64Range(0.2, 60).Draw(t, "rate"), Overage: rapid.SampledFrom([]float64{0, 1, 1.5, 3}).Draw(t, "overage"),
			Slack: float64(rapid.IntRange(3, 12).Draw(t, "slack")), Lasts: clock.Millis(rapid.IntRange(500, 4000).Draw(t, "lasts")),
			Silence: clock.Millis(rapid.SampledFrom([]int{0, 1000, 2500}).Draw(t, "silence")),
		}
		allowed := bounds.PerSecond*max(bounds.Overage, 1) + bounds.Slack
		limiter, now := coldstart.New(), clock.Millis(10_000)
		limiter.SetBounds(bounds, now)
		limiter.Report(0, true, now)
		var pending []pendingRequest
		var arrivals []clock.Millis // requests that count
		coldSince, wasCold := clock.Millis(0), false
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				limiter.Report(clock.Millis(rapid.IntRange(0, 3000).Draw(t, "remaining")), rapid.Bool().Draw(t, "first"), now)
			case 1:
				limiter.Presume(now)
			case 2:
				limiter.PresumeDown(now)
			case 3: // the sidecar starts again; requests without a connection are lost
				limiter, pending = coldstart.New(), nil
				limiter.SetBounds(bounds, now)
				limiter.Report(clock.Millis(rapid.IntRange(0, 3000).Draw(t, "remaining")), true, now)
			}
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				if limiter.Wait(now, 0) > 0 {
					break
				}
				limiter.Begin(now)
				pending = append(pending, pendingRequest{now, now + clock.Millis(rapid.SampledFrom([]int{0, 0, 0, 3, 900}).Draw(t, "connecting"))})
			}
			cold := limiter.Cold(now)
			if cold && !wasCold {
				coldSince = now
			}
			wasCold = cold
			kept := pending[:0]
			for _, r := range pending {
				switch {
				case r.sendAt > now:
					kept = append(kept, r)
				case !limiter.Send(r.begun, now):
				case rapid.IntRange(0, 9).Draw(t, "status") == 0: // 421
					limiter.Cancel(now)
				default:
					if n := countWithin(arrivals, now) + 1; cold && float64(n) > allowed {
						t.Fatalf("%d requests within a second at %d, %.1f allowed; cold since %d", n, now, allowed, coldSince)
					}
					arrivals = append(arrivals, now)
				}
			}
			pending = kept
			now += clock.Millis(rapid.SampledFrom([]int{1, 10, 50, 200, 1300}).Draw(t, "pause"))
		}
	})
}

// countWithin returns the number of times in the second that ends at now.
func countWithin(times []clock.Millis, now clock.Millis) int {
	n := 0
	for _, at := range times {
		if at > now-1000 {
			n++
		}
	}
	return n
}

// Guards against a target that gets much more in the long run than it tolerates, and against
// waits that are announced but not kept.
func TestRateInTheLongRun(t *testing.T) {
	limiter := coldstart.New()
	limiter.SetBounds(coldstart.Bounds{PerSecond: 12, Overage: 1.5, Slack: 8, Lasts: 4000}, 0)
	limiter.Report(20_000, true, 2000)
	begun := 0
	var promised []clock.Millis
	for now := clock.Millis(2000); now < 12_000; now++ {
		if now == 5000 {
			for i := range 10 {
				promised = append(promised, now+limiter.Wait(now, i))
			}
		}
		for limiter.Wait(now, 0) == 0 {
			limiter.Begin(now)
			begun++
			if now >= 5000 && len(promised) > 0 {
				qt.Check(t, now <= promised[0]+1, qt.IsTrue, qt.Commentf("began at %d, promised for %d", now, promised[0]))
				promised = promised[1:]
			}
		}
	}
	qt.Check(t, begun >= 12*10 && begun <= 12*10*3/2, qt.IsTrue, qt.Commentf("%d requests in 10 s", begun))
}

// Guards against a target that counts as warm because of a heartbeat that was sent before it
// turned cold, and against one that counts as cold for ever.
func TestEndOfColdTime(t *testing.T) {
	const lasts clock.Millis = 3100
	tests := map[string]struct {
		presume  func(l *coldstart.Limiter)
		report   clock.Millis // remaining cold time
		first    bool
		at, want clock.Millis // time of the report; end of the cold time
	}{
		"reported":                                  {presume: func(*coldstart.Limiter) {}, report: 900, at: 100, want: 1000},
		"evacuation ends, late heartbeat":           {presume: func(l *coldstart.Limiter) { l.Presume(0) }, at: 100, want: lasts},
		"evacuation ends, cold at the end":          {presume: func(l *coldstart.Limiter) { l.Presume(0) }, report: 3000, at: 500, want: 3500},
		"silent, then cold":                         {presume: func(*coldstart.Limiter) {}, report: 2900, at: 6000, want: 8900},
		"silent, then warm":                         {presume: func(*coldstart.Limiter) {}, at: 6000, want: 6000},
		"refuses connections, back":                 {presume: func(l *coldstart.Limiter) { l.PresumeDown(0) }, report: 2900, first: true, at: 4000, want: 6900},
		"refuses connections, back and warm":        {presume: func(l *coldstart.Limiter) { l.PresumeDown(0) }, first: true, at: 4000, want: 4000},
		"refuses connections, late heartbeat":       {presume: func(l *coldstart.Limiter) { l.PresumeDown(0) }, at: 900, want: 100_000},
		"refused connections, runs all the while":   {presume: func(l *coldstart.Limiter) { l.PresumeDown(0) }, at: 3200, want: 3200},
		"refuses connections, no heartbeat arrives": {presume: func(l *coldstart.Limiter) { l.PresumeDown(0) }, at: 100_000, want: 100_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := coldstart.New()
			l.SetBounds(coldstart.Bounds{PerSecond: 5, Overage: 1.5, Slack: 8, Lasts: lasts}, -10_000)
			tt.presume(l)
			now := clock.Millis(0)
			for ; now < 100_000; now++ {
				if now == tt.at {
					l.Report(tt.report, tt.first, now)
				}
				if now >= tt.at && !l.Cold(now) {
					break
				}
			}
			qt.Assert(t, now, qt.Equals, tt.want)
		})
	}
}

// Guards against a limiter that delays requests to a target that is not cold.
func TestWarmTargetIsNotLimited(t *testing.T) {
	tests := map[string]coldstart.Bounds{"never cold": {}, "warm": {PerSecond: 2, Overage: 1.5, Slack: 8, Lasts: 4000}}
	for name, bounds := range tests {
		t.Run(name, func(t *testing.T) {
			l := coldstart.New()
			l.SetBounds(bounds, 0)
			if name == "never cold" {
				l.Presume(0)
				l.PresumeDown(0)
			}
			l.Report(0, true, 0)
			for now := range clock.Millis(3000) {
				qt.Assert(t, l.Wait(now, 100), qt.Equals, clock.Millis(0))
				l.Begin(now)
				qt.Assert(t, l.Send(now, now), qt.IsTrue)
			}
		})
	}
}

func BenchmarkWarmTarget(b *testing.B) {
	l := coldstart.New()
	l.SetBounds(coldstart.Bounds{PerSecond: 12, Overage: 1.5, Slack: 8, Lasts: 4000}, 0)
	for i := range b.N {
		now := clock.Millis(i / 2) // 2,000 requests a second
		l.Wait(now, 0)
		l.Begin(now)
		l.Send(now, now)
	}
}
