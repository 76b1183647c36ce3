package main

// sample holds the quantities measured at one size.
type sample struct {
	size   float64
	values []quantity
}

// quantity is a measured value. Its name includes the unit.
type quantity struct {
	name  string
	value float64
}

// fitLine fits y = slope·x + intercept by least squares. It also returns the
// coefficient of determination R², which is 1 when all points lie on the line.
func fitLine(x, y []float64) (slope, intercept, rSquared float64) {
	meanX, meanY := mean(x), mean(y)
	var xx, xy, yy float64
	for i := range x {
		dx, dy := x[i]-meanX, y[i]-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return 0, meanY, 0
	}
	slope = xy / xx
	intercept = meanY - slope*meanX
	if yy == 0 {
		return slope, intercept, 1
	}
	return slope, intercept, xy * xy / (xx * yy)
}

func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
