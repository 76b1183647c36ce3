package balance

import (
	"math"
	"slices"
)

const (
	// speedSlack is the factor by which a target's latency may exceed the median
	// before it counts as slower, so that ordinary variation moves no keys.
	speedSlack = 1.25
	// leastSpeed keeps a very slow target in use, so that its recovery is seen.
	leastSpeed = 0.1
)

// RelativeSpeeds estimates which part of its capacity each target can use, from 0.1 to 1,
// for planning the owners of keys: a straggler or a cold target is given fewer.
// latencies are the mean times that requests spend at each target, in
// milliseconds, without queues before it; 0 means unknown, which counts as full
// speed.
func RelativeSpeeds(latencies map[string]float64) map[string]float64 {
	median := medianLatency(latencies)
	speeds := make(map[string]float64, len(latencies))
	for id, l := range latencies {
		speeds[id] = speed(l, median)
	}
	return speeds
}

func speed(latency, median float64) float64 {
	if !(latency > 0) {
		return 1
	}
	return math.Min(1, math.Max(leastSpeed, speedSlack*median/latency))
}

// medianLatency returns the lower median of the known latencies. The fastest
// target would be a poor measure: one that is fast by chance, or because it
// fails, would make all others look slow.
func medianLatency(latencies map[string]float64) float64 {
	var known []float64
	for _, l := range latencies {
		if l > 0 {
			known = append(known, l)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
