package main

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a slope on the capacity page that the samples do not support.
func TestLineFitsSamples(t *testing.T) {
	tests := map[string]struct {
		x, y                       []float64
		slope, intercept, rSquared float64
	}{
		"exact":    {x: []float64{1, 2, 4}, y: []float64{5, 7, 11}, slope: 2, intercept: 3, rSquared: 1},
		"constant": {x: []float64{1, 2, 4}, y: []float64{6, 6, 6}, slope: 0, intercept: 6, rSquared: 1},
		"no trend": {x: []float64{1, 2, 3}, y: []float64{1, 3, 1}, slope: 0, intercept: 5.0 / 3, rSquared: 0},
		"one size": {x: []float64{2, 2, 2}, y: []float64{1, 2, 3}, slope: 0, intercept: 2, rSquared: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			slope, intercept, rSquared := fitLine(tt.x, tt.y)
			for _, v := range [][2]float64{{slope, tt.slope}, {intercept, tt.intercept}, {rSquared, tt.rSquared}} {
				qt.Assert(t, math.Abs(v[0]-v[1]) < 1e-9, qt.IsTrue, qt.Commentf("%v", v))
			}
		})
	}
}
