package limit

import (
	"math"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// bucket is a token bucket. Rates are in tokens per second.
type bucket struct {
	tokens float64
	at     clock.Millis
}

// filled returns the bucket at now, with the tokens that have arrived since.
func (b bucket) filled(now clock.Millis, rate, burst float64) bucket {
	if now > b.at {
		b.tokens += rate * float64(now-b.at) / 1000
		b.at = now
	}
	b.tokens = math.Min(b.tokens, burst)
	return b
}

// take removes one token if there is one.
func (b bucket) take(now clock.Millis, rate, burst float64) (bucket, bool) {
	b = b.filled(now, rate, burst)
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
