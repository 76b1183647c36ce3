// Package measure computes the measures that operators care for, the same way
// for runs of real processes and for model runs.
//
// # Usage
//
//	u := measure.UnavailableTime(requests)
//	i := measure.Imbalance([]measure.Load{{Requests: 90, Capacity: 10}, {Requests: 110, Capacity: 10}})
package measure

import "math"

// Millis is a time or duration in milliseconds with fractions. The latencies of
// requests need a finer resolution than clock.Millis.
type Millis float64

// Request is what became of one request.
type Request struct {
	Key int
	// Due is when the request should have been sent, Ended when its outcome was
	// known to the caller.
	Due, Ended Millis
	// Good reports a complete and correct response.
	Good bool
	// Late reports that a good response took so long that the key counts as
	// unavailable while its caller waited.
	Late bool
}

// Unavailable is the time during which keys could not be served. A key is
// unavailable from when the first of its requests was due that did not end well,
// until the next one ended that did, and while the caller of a late one waited.
type Unavailable struct {
	// Sum is the total over all keys, Worst that of WorstKey.
	Sum, Worst Millis
	WorstKey   int
	// Keys is the number of keys that were unavailable at some time.
	Keys int
}

// Load is the number of requests of one member and its capacity.
type Load struct {
	Requests, Capacity float64
}

// key is the state of one key while UnavailableTime runs.
type key struct {
	down  bool
	since Millis
	spent Millis
	last  Millis // end of the last request
	upTo  Millis // end of the previous interval
	ever  bool
}

// UnavailableTime expects requests sorted by when they were due. Requests
// overlap, so an interval starts no earlier than the key's previous one ended.
func UnavailableTime(requests []Request) Unavailable {
	keys := make(map[int]*key)
	for _, r := range requests {
		k := keys[r.Key]
		if k == nil {
			k = &key{}
			keys[r.Key] = k
		}
		k.add(r)
	}
	var u Unavailable
	for n, k := range keys {
		u.add(n, k)
	}
	return u
}

func (k *key) add(r Request) {
	k.last = max(k.last, r.Ended)
	if (!r.Good || r.Late) && !k.down {
		k.down, k.ever = true, true
		k.since = max(r.Due, k.upTo)
	}
	if r.Good && k.down {
		k.down = false
		k.spent += max(r.Ended-k.since, 0)
		k.upTo = max(r.Ended, k.since)
	}
}

func (u *Unavailable) add(n int, k *key) {
	if !k.ever {
		return
	}
	if k.down {
		k.spent += max(k.last-k.since, 0)
	}
	worse := k.spent > u.Worst || (k.spent == u.Worst && n < u.WorstKey)
	if u.Keys == 0 || worse {
		u.Worst, u.WorstKey = k.spent, n
	}
	u.Sum += k.spent
	u.Keys++
}

// Imbalance returns the highest load per capacity over the mean; 1 is even. It
// returns 0 without requests. Members without capacity are left out.
func Imbalance(loads []Load) float64 {
	var requests, capacity, highest float64
	for _, l := range loads {
		if l.Capacity <= 0 {
			continue
		}
		requests += l.Requests
		capacity += l.Capacity
		highest = math.Max(highest, l.Requests/l.Capacity)
	}
	if requests == 0 {
		return 0
	}
	return highest / (requests / capacity)
}
