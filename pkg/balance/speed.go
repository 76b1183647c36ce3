package balance

import (
	"math"
	"slices"
)

const (
	// latencySlack is the factor by which a target's latency may exceed the median
	// before the target counts as slower, so that ordinary variation moves no keys.
	latencySlack = 1.25
	// minSpeed keeps a very slow target in use, so that its recovery can be measured.
	minSpeed = 0.1
)

// RelativeSpeeds estimates the part of its capacity that each target can use, from 0.1
// to 1. Planning of key ownership uses it to assign fewer keys to a slow or cold target.
// latencies are the mean times that requests spend at each target, in milliseconds,
// without the time in queues before it. Zero means unknown, which counts as full speed.
func RelativeSpeeds(latencies map[string]float64) map[string]float64 {
	median := medianLatency(latencies)
	speeds := make(map[string]float64, len(latencies))
	for id, latency := range latencies {
		speeds[id] = relativeSpeed(latency, median)
	}
	return speeds
}

func relativeSpeed(latency, median float64) float64 {
	if !(latency > 0) {
		return 1
	}
	return math.Min(1, math.Max(minSpeed, latencySlack*median/latency))
}

// medianLatency returns the lower median of the known latencies. The lowest latency is
// not a suitable reference: a target that is fast by chance, or because it fails
// requests, would make all others appear slow.
func medianLatency(latencies map[string]float64) float64 {
	var known []float64
	for _, latency := range latencies {
		if latency > 0 {
			known = append(known, latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
