package limit

import (
	"cmp"
	"math"
	"slices"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// minRateInterval is the shortest time over which a rate is computed. It bounds
	// the rate that results from a single request.
	minRateInterval clock.Millis = 200
	// minRegularInterval is the time after a report of a caller in which regular
	// reports omit it. Requests over a shorter time say little about its rate.
	minRegularInterval clock.Millis = 1000
)

// candidate is a caller that may be part of a report.
type candidate struct {
	callerClass
	urgent            bool
	requestsPerSecond float64
}

// NextReport returns the demand of callers that need more than the minimum share:
// those that have used half of their burst without an extra share, and those that
// have an extra share. A regular report contains the most urgent and the busiest of
// them, and returns the extra shares of callers that sent nothing since the last
// report. Any other report contains only callers that need an extra share, and those
// whose extra share was lowered. A report has at most maxDemands demands; a report
// without demands has no number.
func (b *CallerBudget) NextReport(regular bool, maxDemands int) Report {
	if !regular && !b.hasUrgent.Load() {
		return Report{}
	}
	b.hasUrgent.Store(false)
	now := b.clock.Now()
	var all []candidate
	for i := range b.shards {
		all = append(all, b.shards[i].candidates(now, regular)...)
	}
	if len(all) == 0 {
		return Report{}
	}
	slices.SortFunc(all, compareUrgency)
	if len(all) > maxDemands {
		b.hasUrgent.Store(true)
		all = all[:maxDemands]
	}
	r := Report{Number: int(b.reports.Add(1))}
	for _, c := range all {
		if d, ok := b.shard(c.caller).report(c, now, r.Number, b); ok {
			r.Demands = append(r.Demands, d)
		}
	}
	return r
}

// compareUrgency orders the candidates for a report: urgent ones first, then by rate.
func compareUrgency(x, y candidate) int {
	switch {
	case x.urgent && !y.urgent:
		return -1
	case !x.urgent && y.urgent:
		return 1
	}
	return cmp.Or(cmp.Compare(y.requestsPerSecond, x.requestsPerSecond), cmp.Compare(x.caller, y.caller), cmp.Compare(x.class, y.class))
}

// RetryReport allows the next report to contain a caller that needs a share, after a
// report of the caller that may have been lost.
func (b *CallerBudget) RetryReport(caller string, c Class) {
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if cs, ok := s.callers[callerClass{caller, c}]; ok {
		cs.wasReported = false
	}
}

// candidates returns the callers of the shard that a report may contain.
func (s *budgetShard) candidates(now clock.Millis, regular bool) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []candidate
	for k, cs := range s.callers {
		if cs.urgent || (regular && cs.extraShare > 0 && now < cs.shareEnd && now-cs.countedFrom >= minRegularInterval) {
			all = append(all, candidate{callerClass: k, urgent: cs.urgent, requestsPerSecond: cs.requestsPerSecond(now)})
		}
	}
	return all
}

// report returns the demand of a caller for the report of the given number and
// resets its request count. It returns false if the caller is not tracked any more.
func (s *budgetShard) report(c candidate, now clock.Millis, number int, b *CallerBudget) (Demand, bool) {
	rate := b.rateForClass(c.class)
	s.mu.Lock()
	defer s.mu.Unlock()
	cs, ok := s.callers[c.callerClass]
	if !ok {
		return Demand{}, false
	}
	d := Demand{Caller: c.caller, Class: c.class, RequestsPerSecond: cs.requestsPerSecond(now), AnsweredReport: cs.answeredReport}
	switch {
	case c.urgent || cs.urgent:
		// A rate of zero would return the extra share.
		d.RequestsPerSecond = math.Max(1, d.RequestsPerSecond)
	case d.RequestsPerSecond == 0:
		cs.refill(now, rate)
		cs.extraShare, cs.ignoredUpTo = 0, number
		cs.refill(now, rate)
	}
	cs.requests, cs.countedFrom = 0, now
	cs.urgent, cs.reportedAt, cs.wasReported = false, now, true
	return d, true
}

// requestsPerSecond returns the rate of requests since the last report, rounded up.
func (cs *callerState) requestsPerSecond(now clock.Millis) float64 {
	return math.Ceil(cs.requests * 1000 / float64(max(now-cs.countedFrom, minRateInterval)))
}
