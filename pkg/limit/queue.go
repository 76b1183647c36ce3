package limit

import "math"

// meanWeight is the weight of a new latency in the moving mean: the last 20 or
// so requests decide.
const meanWeight = 0.1

// movingMean adds a latency in milliseconds to a mean. A mean of zero is empty.
func movingMean(mean, latency float64) float64 {
	if mean == 0 {
		return latency
	}
	return mean + meanWeight*(latency-mean)
}

// nextClass returns the waiting class that runs the fewest requests for its
// share. Of equals the more important class goes first. It returns false when
// no class waits.
func nextClass(running [classCount]int, waiting [classCount]bool, shares PerClass) (Class, bool) {
	best, found := Critical, false
	least := math.Inf(1)
	for c := range Class(classCount) {
		if !waiting[c] {
			continue
		}
		use := float64(running[c]) / math.Max(shares[c], 1e-9)
		if use < least || !found {
			best, least, found = c, use, true
		}
	}
	return best, found
}

// classSlots returns how many of the limit's slots class c has while it competes
// with the active classes.
func classSlots(limit float64, shares PerClass, active [classCount]bool, c Class) float64 {
	sum := shares[c]
	for i, a := range active {
		if a && Class(i) != c {
			sum += shares[i]
		}
	}
	if sum <= 0 {
		return limit
	}
	return limit * shares[c] / sum
}

// estimateEnd returns the milliseconds until a request ends that joins a queue
// behind ahead others, on slots that each take service milliseconds a request.
func estimateEnd(ahead int, slots, service float64) float64 {
	if slots <= 0 {
		return math.Inf(1)
	}
	wait := float64(ahead+1) * service / slots
	return wait + service
}
