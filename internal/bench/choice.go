package bench

import (
	"math"
	"sort"
)

// weighted draws indexes in proportion to their weights.
type weighted struct {
	upTo []float64
}

func newWeighted(n int, weight func(i int) float64) weighted {
	w := weighted{upTo: make([]float64, n)}
	var sum float64
	for i := range n {
		sum += weight(i)
		w.upTo[i] = sum
	}
	return w
}

// zipf draws index i in proportion to 1/(i+1)^skew. Unlike rand.Zipf it allows
// skews of 1 and below, which catalogues show.
func zipf(n int, skew float64) weighted {
	return newWeighted(n, func(i int) float64 { return math.Pow(float64(i+1), -skew) })
}

// at returns the index for a number u in [0, 1).
func (w weighted) at(u float64) int {
	x := u * w.upTo[len(w.upTo)-1]
	i := sort.Search(len(w.upTo), func(i int) bool { return w.upTo[i] > x })
	return min(i, len(w.upTo)-1)
}
