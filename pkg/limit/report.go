package limit

import (
	"cmp"
	"math"
	"slices"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// shortestSpan bounds the rate that a single request can make.
	shortestSpan clock.Millis = 200
	// settledSpan is the time after a report before which a regular one leaves a
	// caller out. A shorter time says little about its rate.
	settledSpan clock.Millis = 1000
)

// candidate is a caller that may be part of a report.
type candidate struct {
	callerClass
	urgent    bool
	perSecond float64
}

// NextReport returns the callers that need more than the least share: those that
// have used half of their burst without a share, and those that have one. A
// regular report has the most urgent and busiest of them, and gives back the
// shares of callers that sent nothing since the last one. Any other report has
// only callers without a share that need one, or whose share was lowered. A report
// has no more demands than stated; one without demands is not numbered.
func (b *CallerBudget) NextReport(regular bool, most int) Report {
	if !regular && !b.urgent.Load() {
		return Report{}
	}
	b.urgent.Store(false)
	now := b.clock.Now()
	var all []candidate
	for i := range b.shards {
		all = append(all, b.shards[i].candidates(now, regular)...)
	}
	if len(all) == 0 {
		return Report{}
	}
	slices.SortFunc(all, byNeed)
	if len(all) > most {
		b.urgent.Store(true)
		all = all[:most]
	}
	r := Report{Number: int(b.reports.Add(1))}
	for _, v := range all {
		if d, ok := b.shard(v.caller).report(v, now, r.Number, b); ok {
			r.Demands = append(r.Demands, d)
		}
	}
	return r
}

// byNeed orders callers for a report.
func byNeed(x, y candidate) int {
	switch {
	case x.urgent && !y.urgent:
		return -1
	case !x.urgent && y.urgent:
		return 1
	}
	return cmp.Or(cmp.Compare(y.perSecond, x.perSecond), cmp.Compare(x.caller, y.caller), cmp.Compare(x.class, y.class))
}

// RetryReport lets a caller that wants a share be part of the next report, after one
// that may have been lost.
func (b *CallerBudget) RetryReport(caller string, c Class) {
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.callers[callerClass{caller, c}]; ok {
		v.isReported = false
	}
}

// candidates returns the callers that a report may name.
func (s *budgetShard) candidates(now clock.Millis, regular bool) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []candidate
	for k, v := range s.callers {
		if v.urgent || (regular && v.share > 0 && now < v.until && now-v.since >= settledSpan) {
			all = append(all, candidate{callerClass: k, urgent: v.urgent, perSecond: v.perSecond(now)})
		}
	}
	return all
}

// report notes that a caller is reported.
func (s *budgetShard) report(c candidate, now clock.Millis, number int, b *CallerBudget) (Demand, bool) {
	t := b.terms(c.class)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.callers[c.callerClass]
	if !ok {
		return Demand{}, false
	}
	d := Demand{Caller: c.caller, Class: c.class, RequestsPerSecond: v.perSecond(now), AnsweredReport: v.answered}
	switch {
	case c.urgent || v.urgent:
		// Zero would give the share back.
		d.RequestsPerSecond = math.Max(1, d.RequestsPerSecond)
	case d.RequestsPerSecond == 0:
		v.settle(now, t)
		v.share, v.floor = 0, number
		v.settle(now, t)
	}
	v.demand, v.since = 0, now
	v.urgent, v.reported, v.isReported = false, now, true
	return d, true
}

// perSecond returns the rate of requests since the last report, in whole requests.
func (v *callerState) perSecond(now clock.Millis) float64 {
	return math.Ceil(v.demand * 1000 / float64(max(now-v.since, shortestSpan)))
}
