package admission

import "github.com/gentiansail/gentiansail/pkg/clock"

const (
	// maxSlowdownAge is how long a reported slowdown is used. Neighbours on the target's
	// machine come and go several times a second.
	maxSlowdownAge clock.Millis = 400
	// minSlowdown is the ratio of a reported slowdown to the mean one, or its inverse, below
	// which durations are expected as measured.
	minSlowdown = 1.5
)

// slowdown is how long work takes at the target now, as reported by the target.
type slowdown struct {
	// percent is the last report, 100 for the usual time; mean is a moving average of the
	// reports, which the measured durations contain. Both are 0 without a report.
	percent, mean float64
	reportedAt    clock.Millis
}

// ReportSlowdown records how long work takes at the target now, in percent of the usual time.
func (q *Queue) ReportSlowdown(percent int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &q.slowdown
	if s.mean == 0 {
		s.mean = 100
	}
	s.percent, s.reportedAt = float64(percent), q.clock.Now()
	s.mean += meanWeight * (s.percent - s.mean)
}

// apply returns how long work is expected to take that has taken the given time on average. A
// slowdown is expected to last for maxSlowdownAge, so that it lengthens longer work by less.
func (s slowdown) apply(mean float64, now clock.Millis) float64 {
	if now-s.reportedAt > maxSlowdownAge {
		return mean
	}
	ratio := s.percent / s.mean
	if ratio < minSlowdown && ratio > 1/minSlowdown {
		return mean
	}
	slowed := min(mean*ratio, float64(maxSlowdownAge))
	return slowed + mean - slowed/ratio
}

// ForgetSlowdown discards the reports, for a new incarnation of the target.
func (q *Queue) ForgetSlowdown() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slowdown = slowdown{}
}
