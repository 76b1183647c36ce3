package measure

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against unavailable time that is negative, longer than the run, or
// counted for keys without failed or late requests.
func TestUnavailableTimeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var requests []Request
		due, end := Millis(0), Millis(0)
		affected := map[int]bool{}
		for range rapid.IntRange(0, 50).Draw(t, "count") {
			due += Millis(rapid.IntRange(0, 1000).Draw(t, "gap"))
			r := Request{Due: due, Ended: due + Millis(rapid.IntRange(0, 5000).Draw(t, "latency")), Key: rapid.IntRange(0, 3).Draw(t, "key"), Good: true}
			if rapid.Bool().Draw(t, "fails") {
				r.Good = false
				affected[r.Key] = true
			}
			end = max(end, r.Ended)
			if r.Good && rapid.Bool().Draw(t, "late") {
				r.Late = true
				affected[r.Key] = true
			}
			requests = append(requests, r)
		}
		u := UnavailableTime(requests)
		if u.Keys != len(affected) || u.Worst < 0 || u.Worst > end || u.Worst > u.Sum || u.Sum > u.Worst*Millis(u.Keys)+1e-6 {
			t.Fatalf("got %+v with %d affected keys and run end %v", u, len(affected), end)
		}
	})
}

// Guards against an imbalance that is below 1, exceeds the number of members of
// equal capacity, or depends on the unit of capacity.
func TestImbalanceIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var even, scaled []Load
		for range rapid.IntRange(1, 10).Draw(t, "members") {
			n := float64(rapid.IntRange(50, 1000).Draw(t, "requests"))
			even = append(even, Load{n, 1})
			scaled = append(scaled, Load{n, 7})
		}
		x := Imbalance(even)
		y := Imbalance(scaled)
		if x < 1-1e-9 || x > float64(len(even))+1e-9 || math.Abs(x-y) > 1e-9 {
			t.Fatalf("imbalance %v with capacity 1 and %v with capacity 7", x, y)
		}
	})
}
