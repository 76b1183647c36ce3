package keyrange

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

func life(id string) message.Incarnation {
	return message.Incarnation{ID: message.InstanceID(id), StartTime: 1}
}

func equalServers(ids ...string) []Target {
	var out []Target
	for _, id := range ids {
		out = append(out, Target{Lifetime: life(id), Capacity: 100, Eligible: true})
	}
	return out
}

var free = []message.Assignment{{From: 0, To: Keys - 1}}

// takeAll lets the servers take free keys in turn.
func takeAll(rows []message.Assignment, l *Loads, servers []Target) []message.Assignment {
	for _, s := range servers {
		rows, _ = AssignUnassigned(rows, l, servers, s.Lifetime)
	}
	return rows
}

func ratios(rows []message.Assignment, l *Loads, servers []Target) map[string]float64 {
	has, due := shares(rows, l, servers)
	out := map[string]float64{}
	for _, s := range servers {
		out[string(s.Lifetime.ID)] = has[s.Lifetime] / due[s.Lifetime]
	}
	return out
}

// Guards against keys that nobody gets at the first start, and against one server
// that gets them all.
func TestTakeDividesAllKeys(t *testing.T) {
	servers := equalServers("a", "b", "c")
	rows := takeAll(free, &Loads{}, servers)
	for _, r := range rows {
		qt.Assert(t, r.Owner.ID, qt.Not(qt.Equals), message.InstanceID(""))
	}
	for id, ratio := range ratios(rows, &Loads{}, servers) {
		qt.Assert(t, ratio > 0.9 && ratio < 1.1, qt.IsTrue, qt.Commentf("%s has %.2f of its share", id, ratio))
	}
}

// Guards against busy keys that stay with one server because the keys, not the
// work, were divided: busy keys lie close together.
func TestBusyRangeIsSpread(t *testing.T) {
	c := qt.New(t)
	servers := equalServers("a", "b", "c", "d", "e")
	rows := takeAll(free, &Loads{}, servers)
	l := &Loads{}
	for b := 100; b < 140; b++ {
		l[b] = 5
	}
	moves := 0
	for range 20 {
		from, ok := MostOverloaded(rows, l, servers)
		if !ok {
			break
		}
		marked := false
		for _, s := range servers {
			if rows, marked = RebalanceTo(rows, l, servers, from, s.Lifetime); marked {
				moves++
				rows, _ = CompleteMoves(rows, from, nil, nil)
				break
			}
		}
		c.Assert(marked, qt.IsTrue)
	}
	for id, ratio := range ratios(rows, l, servers) {
		c.Assert(ratio < 1.3, qt.IsTrue, qt.Commentf("%s has %.2f of its share after %d moves", id, ratio, moves))
	}
	c.Assert(moves < 12, qt.IsTrue)
}

// Guards against a server that keeps all the work because its keys are in many pieces,
// none of which is large enough for a move. The hunt found it after a rolling restart:
// one target of four held nearly all keys for 14 s.
func TestScatteredKeysAreSpread(t *testing.T) {
	c := qt.New(t)
	servers := equalServers("a", "b", "c", "d")
	var rows []message.Assignment
	for i := range 64 {
		rows = append(rows, message.Assignment{From: message.Key(i * 1024), To: message.Key(i*1024 + 1023), Owner: life("a"), FencingToken: message.FencingToken(i + 1)})
	}
	l := &Loads{}
	for b := range l {
		l[b] = 0.1
	}
	rows = settle(rows, l, servers, 10)
	for id, ratio := range ratios(rows, l, servers) {
		c.Assert(ratio < 1.2, qt.IsTrue, qt.Commentf("%s has %.2f of its share", id, ratio))
	}
}

// add puts requests evenly on a range of keys.
func (l *Loads) add(from, to int, perSecond float64) {
	for k := from; k <= to; k++ {
		l[k/KeysPerBucket] += perSecond / float64(to-from+1)
	}
}

// settle lets servers move keys, as in heartbeats of all of them, until nobody is
// overloaded.
func settle(rows []message.Assignment, l *Loads, servers []Target, rounds int) []message.Assignment {
	for range rounds {
		from, ok := MostOverloaded(rows, l, servers)
		if !ok {
			break
		}
		for _, s := range servers {
			rows, _ = RebalanceTo(rows, l, servers, from, s.Lifetime)
		}
		rows, _ = CompleteMoves(rows, from, nil, nil)
	}
	return rows
}

// Plays a clinic that everybody asks for: a few neighbouring keys get a third of all
// requests, ten times what one server can do. Guards against keys that cannot be spread
// because they are counted, and moved, together.
func TestHotNeighboursAreSpread(t *testing.T) {
	for name, keys := range map[string]int{"200 keys": 200, "60 keys": 60} {
		t.Run(name, func(t *testing.T) {
			var ids []string
			for i := range 34 {
				ids = append(ids, fmt.Sprintf("s%d", i))
			}
			servers, l := equalServers(ids...), &Loads{}
			l.add(0, Keys-1, 1250)
			rows := takeAll(free, l, servers)
			l.add(30_000, 30_000+keys-1, 650)
			for id, ratio := range ratios(settle(rows, l, servers, 12), l, servers) {
				qt.Check(t, ratio < 1.5, qt.IsTrue, qt.Commentf("%s has %.2f of its share", id, ratio))
			}
		})
	}
}

// Guards against a key that no server can serve alone and that keeps all others from
// moving: its holder is the busiest whatever it gives away.
func TestOneHotKeyDoesNotBlockTheOthers(t *testing.T) {
	servers, l := equalServers("a", "b", "c", "d", "e"), &Loads{}
	l.add(0, Keys-1, 500)
	rows := takeAll(free, l, servers)
	l.add(100, 100, 2000)      // held by a
	l.add(20_000, 24_000, 300) // held by b
	rows = settle(rows, l, servers, 12)
	rest := *l
	rest[100/KeysPerBucket] = 0
	has, _ := shares(rows, &rest, servers)
	for _, s := range servers {
		if s.Lifetime == life("a") {
			qt.Check(t, has[s.Lifetime] < 60, qt.IsTrue, qt.Commentf("the holder of the hot key has %.0f a second beside it", has[s.Lifetime]))
			continue
		}
		qt.Check(t, has[s.Lifetime] < 1.3*800/4, qt.IsTrue, qt.Commentf("%s has %.0f a second", s.Lifetime.ID, has[s.Lifetime]))
	}
}

// Guards against a grant without a new fence, and against a lost handover token,
// without which the keys are slow at the next holder.
func TestReleasedGoesToNextHolder(t *testing.T) {
	row := message.Assignment{From: 0, To: 999, Owner: life("a"), FencingToken: 7, NextOwner: life("b")}
	rest := message.Assignment{From: 1000, To: Keys - 1, Owner: life("a"), FencingToken: 7}
	released := []message.RangeGrant{{From: 0, To: 499, HandoverToken: "x"}, {From: 500, To: 999, HandoverToken: "y"}}
	tests := map[string]struct {
		holds []message.RangeGrant
		want  []message.Assignment
	}{
		"still works on some": {holds: []message.RangeGrant{{From: 900, To: 1100, FencingToken: 7}}, want: []message.Assignment{row, rest}},
		"released": {holds: []message.RangeGrant{{From: 1000, To: Keys - 1, FencingToken: 7}}, want: []message.Assignment{
			{From: 0, To: 499, Owner: life("b"), HandoverToken: "x"}, {From: 500, To: 999, Owner: life("b"), HandoverToken: "y"}, rest,
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, _ := CompleteMoves([]message.Assignment{row, rest}, life("a"), tt.holds, released)
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

// Guards against an answer to a check-in that is longer than targets take, and against a
// token that is dropped before its keys have arrived: they would be slow.
func TestGrantedDropsTokensOfWhatIsHeld(t *testing.T) {
	rows := []message.Assignment{
		{From: 0, To: 99, Owner: life("a"), FencingToken: 5, HandoverToken: "x"},
		{From: 100, To: 199, Owner: life("a"), FencingToken: 9, HandoverToken: "y"},
		{From: 300, To: 399, Owner: life("a"), FencingToken: 5, NextOwner: life("b")},
		{From: 400, To: Keys - 1, Owner: life("b"), FencingToken: 5},
	}
	tests := map[string]struct{ holds, want []message.RangeGrant }{
		"nothing held yet": {nil, []message.RangeGrant{{From: 0, To: 99, FencingToken: 5, HandoverToken: "x"}, {From: 100, To: 199, FencingToken: 9, HandoverToken: "y"}}},
		"one held":         {[]message.RangeGrant{{From: 0, To: 99, FencingToken: 5}}, []message.RangeGrant{{From: 0, To: 99, FencingToken: 5}, {From: 100, To: 199, FencingToken: 9, HandoverToken: "y"}}},
		"older fence held": {[]message.RangeGrant{{From: 100, To: 199, FencingToken: 7}}, []message.RangeGrant{{From: 0, To: 99, FencingToken: 5, HandoverToken: "x"}, {From: 100, To: 199, FencingToken: 9, HandoverToken: "y"}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Grants(rows, life("a"), tt.holds), qt.DeepEquals, tt.want)
		})
	}
}

// jump lets a busy range jump about 80 times and returns the rows in the end, and after
// each jump the load of the busiest server against its share.
func jump(servers []Target) (rows []message.Assignment, worst []float64) {
	rows = takeAll(free, &Loads{}, servers)
	random := rand.New(rand.NewPCG(3, 4))
	for range 80 {
		l := &Loads{}
		l.add(0, Keys-1, 300)
		from := random.IntN(Keys - 300)
		l.add(from, from+60+random.IntN(200), 200)
		rows = settle(rows, l, servers, 6)
		worst = append(worst, slices.Max(slices.Collect(maps.Values(ratios(rows, l, servers)))))
	}
	return rows, worst
}

// Guards against rows that grow without end until the answer to a check-in is too long
// for its target, which then loses all of its keys.
func TestRowsStayFewThroughManyMoves(t *testing.T) {
	servers := equalServers("a", "b", "c", "d", "e")
	rows, _ := jump(servers)
	for _, s := range servers {
		qt.Check(t, rowsOf(rows, s.Lifetime) <= maxRowsTaken, qt.IsTrue, qt.Commentf("%s has %d", s.Lifetime.ID, rowsOf(rows, s.Lifetime)))
	}
}

// Guards against busy keys that stay together because their holders have all the rows
// that they may have.
func TestBusyRangeIsSpreadAfterManyMoves(t *testing.T) {
	_, worst := jump(equalServers("a", "b", "c", "d", "e"))
	last := worst[len(worst)-10:]
	slices.Sort(last)
	qt.Check(t, last[len(last)/2] < 1.5, qt.IsTrue, qt.Commentf("after the last ten jumps the busiest has %.2f of its share", last))
}

// Guards against keys that are lost or given to two holders by any sequence of
// decisions.
func TestRowsStayComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := equalServers("a", "b", "c", "d")
		for i := range servers {
			servers[i].Capacity = rapid.Float64Range(1, 100).Draw(t, "capacity")
			servers[i].Eligible = rapid.IntRange(0, 3).Draw(t, "eligible") > 0
		}
		l := &Loads{}
		for range 30 {
			l[rapid.IntRange(0, Buckets-1).Draw(t, "bucket")] = rapid.Float64Range(0, 50).Draw(t, "load")
		}
		rows := free
		for range 20 {
			a := servers[rapid.IntRange(0, 3).Draw(t, "from")].Lifetime
			b := servers[rapid.IntRange(0, 3).Draw(t, "to")].Lifetime
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				rows, _ = AssignUnassigned(rows, l, servers, a)
			case 1:
				rows, _ = RebalanceTo(rows, l, servers, a, b)
			case 2:
				rows, _ = Vacate(rows, l, servers, a)
			case 3:
				cut := message.Key(rapid.IntRange(0, Keys-1).Draw(t, "cut"))
				rows, _ = CompleteMoves(rows, a, nil, []message.RangeGrant{{From: 0, To: cut, HandoverToken: "h"}})
			}
			next := message.Key(0)
			for _, r := range rows {
				if r.From != next || r.To < r.From {
					t.Fatalf("rows do not cover each key once: %+v", rows)
				}
				next = r.To + 1
			}
			if next != Keys {
				t.Fatalf("rows end at %d", next)
			}
		}
	})
}
