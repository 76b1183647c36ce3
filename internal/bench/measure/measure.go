// Package measure computes unavailable time and load imbalance. Runs of real
// processes and model runs share it, so that their results are comparable.
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

// Request is the result of one request.
type Request struct {
	Key int
	// Due is when the request was due to be sent, and Ended when the caller knew
	// its outcome.
	Due, Ended Millis
	// Good reports whether the response was complete and correct.
	Good bool
	// Late reports whether a good response took so long that its key counts as
	// unavailable while the caller waited.
	Late bool
}

// Unavailable is the time during which keys could not be served. A key is
// unavailable from the due time of a request without a good response until the
// end of its next good response. It is also unavailable while the caller of a late
// response waited.
type Unavailable struct {
	// Sum is the total over all keys, and Worst the time of WorstKey, the key that
	// was unavailable longest.
	Sum, Worst Millis
	WorstKey   int
	// Keys is the number of keys that were unavailable at some time.
	Keys int
}

// Load is the number of requests of one member and its capacity.
type Load struct {
	Requests, Capacity float64
}

// keyState is the state of one key during UnavailableTime.
type keyState struct {
	unavailable bool
	since       Millis
	total       Millis
	lastEnd     Millis // latest end of a request
	intervalEnd Millis // end of the previous interval
	affected    bool
}

// UnavailableTime computes the unavailable time of requests, which must be sorted by
// Due. Requests may overlap, so an unavailable interval starts no earlier than the
// end of the key's previous one.
func UnavailableTime(requests []Request) Unavailable {
	keys := make(map[int]*keyState)
	for _, r := range requests {
		k := keys[r.Key]
		if k == nil {
			k = &keyState{}
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

// add updates the state from the key's next request.
func (k *keyState) add(r Request) {
	k.lastEnd = max(k.lastEnd, r.Ended)
	if (!r.Good || r.Late) && !k.unavailable {
		k.unavailable, k.affected = true, true
		k.since = max(r.Due, k.intervalEnd)
	}
	if r.Good && k.unavailable {
		k.unavailable = false
		k.total += max(r.Ended-k.since, 0)
		k.intervalEnd = max(r.Ended, k.since)
	}
}

// add adds the unavailable time of key n, closing an interval that is still open
// at the end of the key's last request.
func (u *Unavailable) add(n int, k *keyState) {
	if !k.affected {
		return
	}
	if k.unavailable {
		k.total += max(k.lastEnd-k.since, 0)
	}
	worse := k.total > u.Worst || (k.total == u.Worst && n < u.WorstKey)
	if u.Keys == 0 || worse {
		u.Worst, u.WorstKey = k.total, n
	}
	u.Sum += k.total
	u.Keys++
}

// Imbalance returns the highest load per capacity divided by the mean; 1 is an even
// load. It returns 0 without requests. Members without capacity are ignored.
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
