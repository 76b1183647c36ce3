package copies

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answer is the result of a scripted copy.
type answer struct {
	text string
	err  error
}

// script says when a copy ends, and how. A copy that is cancelled ends at once.
type script struct {
	after time.Duration
	answer
}

var errLost = errors.New("lost")

// play is a race between two scripted copies and what was seen of it.
type play struct {
	first, second script
	decide        func() (bool, clock.Millis)

	started   []time.Duration // when each copy was started
	cancelled atomic.Int32
	discarded []string
}

func (p *play) run(ctx context.Context) (answer, Outcome) {
	begin := time.Now()
	decide := p.decide
	if decide == nil {
		decide = func() (bool, clock.Millis) { return true, 0 }
	}
	return Race[answer]{
		Delay: 100, Decide: decide,
		Start: func(ctx context.Context, second bool) func() answer {
			p.started = append(p.started, time.Since(begin))
			s := p.first
			if second {
				s = p.second
			}
			return func() answer {
				select {
				case <-time.After(s.after):
					return s.answer
				case <-ctx.Done():
					p.cancelled.Add(1)
					return answer{err: ctx.Err()}
				}
			}
		},
		Wins:         func(a answer) bool { return a.err == nil },
		PrefersLater: func(earlier, _ answer) bool { return earlier.text == "" },
		Discard:      func(a answer) { p.discarded = append(p.discarded, a.text) },
	}.Run(ctx)
}

// Guards against a race that yields none or two results, sends its second copy early, or does
// not cancel the copy that has lost.
func TestRace(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	never := func() (bool, clock.Millis) { return false, 0 }
	polls := 0
	tests := map[string]*struct {
		play      play
		text      string
		err       error
		outcome   Outcome
		started   []time.Duration
		cancelled int
		discarded []string
		took      time.Duration
	}{
		"first is fast": {
			play: play{first: script{ms(90), answer{text: "first"}}}, text: "first", outcome: OnlyFirst, started: []time.Duration{0}, took: ms(90),
		},
		"second wins": {
			play: play{first: script{ms(900), answer{text: "first"}}, second: script{ms(20), answer{text: "second"}}},
			text: "second", outcome: SecondWon, started: []time.Duration{0, ms(100)}, cancelled: 1, discarded: []string{""}, took: ms(120),
		},
		"first wins although copied": {
			play: play{first: script{ms(110), answer{text: "first"}}, second: script{ms(20), answer{text: "second"}}},
			text: "first", outcome: FirstWon, started: []time.Duration{0, ms(100)}, cancelled: 1, discarded: []string{""}, took: ms(110),
		},
		"first fails early": {
			play: play{first: script{ms(20), answer{err: errLost}}}, err: errLost, outcome: OnlyFirst, started: []time.Duration{0}, took: ms(20),
		},
		"second fails": {
			play: play{first: script{ms(300), answer{text: "first"}}, second: script{ms(20), answer{text: "bad", err: errLost}}},
			text: "first", outcome: FirstWon, started: []time.Duration{0, ms(100)}, discarded: []string{"bad"}, took: ms(300),
		},
		"first fails after the copy was sent": {
			play: play{first: script{ms(110), answer{text: "bad", err: errLost}}, second: script{ms(50), answer{text: "second"}}},
			text: "second", outcome: SecondWon, started: []time.Duration{0, ms(100)}, discarded: []string{"bad"}, took: ms(150),
		},
		"both fail": {
			play: play{first: script{ms(300), answer{err: errLost}}, second: script{ms(20), answer{text: "earlier", err: errLost}}},
			text: "earlier", err: errLost, outcome: NoneWon, started: []time.Duration{0, ms(100)}, discarded: []string{""}, took: ms(300),
		},
		"both fail, the later one is preferred": {
			play: play{first: script{ms(300), answer{text: "later", err: errLost}}, second: script{ms(20), answer{err: errLost}}},
			text: "later", err: errLost, outcome: NoneWon, started: []time.Duration{0, ms(100)}, discarded: []string{""}, took: ms(300),
		},
		"not allowed": {
			play: play{first: script{ms(300), answer{text: "first"}}, decide: never}, text: "first", outcome: OnlyFirst, started: []time.Duration{0}, took: ms(300),
		},
		"allowed later": {
			play: play{first: script{ms(300), answer{text: "first"}}, second: script{ms(20), answer{text: "second"}}, decide: func() (bool, clock.Millis) {
				polls++
				return polls == 3, 30
			}},
			text: "second", outcome: SecondWon, started: []time.Duration{0, ms(160)}, cancelled: 1, discarded: []string{""}, took: ms(180),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				got, outcome := tt.play.run(t.Context())
				took := time.Since(begin)
				synctest.Wait()
				qt.Check(t, got.text, qt.Equals, tt.text)
				qt.Check(t, got.err, qt.Equals, tt.err)
				qt.Check(t, outcome, qt.Equals, tt.outcome)
				qt.Check(t, tt.play.started, qt.DeepEquals, tt.started)
				qt.Check(t, int(tt.play.cancelled.Load()), qt.Equals, tt.cancelled)
				qt.Check(t, tt.play.discarded, qt.DeepEquals, tt.discarded)
				qt.Check(t, took, qt.Equals, tt.took)
			})
		})
	}
}

// Guards against copies that run on after their caller has left, and against a second copy
// that is sent after that.
func TestEndOfContextCancelsBothCopies(t *testing.T) {
	tests := map[string]struct {
		after     time.Duration
		maxCopies int
	}{
		"before the second copy":         {50 * time.Millisecond, 1},
		"at the time of the second copy": {100 * time.Millisecond, 2},
		"with both in flight":            {150 * time.Millisecond, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := play{first: script{after: time.Second}, second: script{after: time.Second}}
				ctx, cancel := context.WithTimeout(t.Context(), tt.after)
				defer cancel()
				begin := time.Now()
				got, _ := p.run(ctx)
				qt.Check(t, got.err, qt.IsNotNil)
				qt.Check(t, time.Since(begin), qt.Equals, tt.after)
				synctest.Wait()
				qt.Check(t, int(p.cancelled.Load()), qt.Equals, len(p.started))
				qt.Check(t, len(p.started) <= tt.maxCopies, qt.IsTrue)
			})
		})
	}
}
