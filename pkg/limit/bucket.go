package limit

import (
	"math"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// bucket is a token bucket. Rates are in tokens per second.
type bucket struct {
	tokens    float64
	updatedAt clock.Millis
}

// refilled returns the bucket at now, with the tokens added since its last update.
func (b bucket) refilled(now clock.Millis, rate, burst float64) bucket {
	if now > b.updatedAt {
		b.tokens += rate * float64(now-b.updatedAt) / 1000
		b.updatedAt = now
	}
	b.tokens = math.Min(b.tokens, burst)
	return b
}

// takeToken refills the bucket and removes one token. It returns false if there is
// none.
func (b bucket) takeToken(now clock.Millis, rate, burst float64) (bucket, bool) {
	b = b.refilled(now, rate, burst)
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
