package limit

import "math"

// meanWeight is the weight of a new latency in the moving mean: the mean covers
// about the last 20 requests.
const meanWeight = 0.1

// movingMean adds a latency in milliseconds to a moving mean. A mean of zero has no
// samples yet.
func movingMean(mean, latency float64) float64 {
	if mean == 0 {
		return latency
	}
	return mean + meanWeight*(latency-mean)
}

// nextClass returns the waiting class that runs the fewest requests relative to its
// share; among equals, the most important class. It returns false when no class
// waits.
func nextClass(running [classCount]int, waiting [classCount]bool, shares PerClass) (Class, bool) {
	best, found := Critical, false
	lowestLoad := math.Inf(1)
	for c := range Class(classCount) {
		if !waiting[c] {
			continue
		}
		load := float64(running[c]) / math.Max(shares[c], 1e-9)
		if load < lowestLoad || !found {
			best, lowestLoad, found = c, load, true
		}
	}
	return best, found
}

// classSlots returns the part of the limit that class c may use while it competes
// with the active classes, in slots.
func classSlots(limit float64, shares PerClass, active [classCount]bool, c Class) float64 {
	shareSum := shares[c]
	for i, isActive := range active {
		if isActive && Class(i) != c {
			shareSum += shares[i]
		}
	}
	if shareSum <= 0 {
		return limit
	}
	return limit * shares[c] / shareSum
}

// millisUntilEnd returns the milliseconds until the end of a request that joins a
// queue behind ahead other requests. latency is the mean milliseconds that a request
// occupies a slot.
func millisUntilEnd(ahead int, slots, latency float64) float64 {
	if slots <= 0 {
		return math.Inf(1)
	}
	wait := float64(ahead+1) * latency / slots
	return wait + latency
}
