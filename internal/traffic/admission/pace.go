package admission

import "github.com/gentiansail/gentiansail/pkg/clock"

const (
	// paceBurst is how far requests may be ahead of an even pace.
	paceBurst clock.Millis = 200
	// minPace is the lowest rate in requests a second. A target that takes none at all could
	// not say that it takes requests again.
	minPace = 0.5
)

// pace spreads the begins of requests over time. The zero value sets no limit.
type pace struct {
	// interval is the time between two requests in milliseconds; 0 for no limit.
	interval float64
	// next is when the next request begins at an even pace.
	next float64
}

// set limits the requests a second; 0 removes the limit. A new limit begins without a burst,
// since requests that began before it are still at the target.
func (p *pace) set(perSecond float64, now clock.Millis) {
	if perSecond <= 0 {
		*p = pace{}
		return
	}
	if p.interval == 0 {
		p.next = float64(now + paceBurst)
	}
	p.interval = 1000 / max(perSecond, minPace)
	p.next = min(p.next, float64(now+paceBurst)+p.interval)
}

// wait returns the time until a request may begin behind the given number of others.
func (p *pace) wait(now clock.Millis, before int) clock.Millis {
	if p.interval == 0 {
		return 0
	}
	begin := max(p.next, float64(now)) + float64(before)*p.interval
	return max(clock.Millis(begin)-paceBurst-now, 0)
}

// begin records that a request begins.
func (p *pace) begin(now clock.Millis) {
	p.next = max(p.next, float64(now)) + p.interval
}
