package bench

import (
	"math"
	"sort"
)

// weighted maps uniform random numbers to indexes in proportion to their weights.
type weighted struct {
	// cumulative[i] is the sum of the weights of the indexes 0 to i.
	cumulative []float64
}

func newWeighted(n int, weight func(i int) float64) weighted {
	w := weighted{cumulative: make([]float64, n)}
	var sum float64
	for i := range n {
		sum += weight(i)
		w.cumulative[i] = sum
	}
	return w
}

// zipf gives index i the weight 1/(i+1)^skew. Unlike rand.Zipf it allows skews
// of 1 and below, which occur in catalogues.
func zipf(n int, skew float64) weighted {
	return newWeighted(n, func(i int) float64 { return math.Pow(float64(i+1), -skew) })
}

// at returns the index for a uniform random number u in [0, 1).
func (w weighted) at(u float64) int {
	x := u * w.cumulative[len(w.cumulative)-1]
	i := sort.Search(len(w.cumulative), func(i int) bool { return w.cumulative[i] > x })
	return min(i, len(w.cumulative)-1)
}
