package main

import "math"

// fit is the least-squares line y = Intercept + Slope*x.
type fit struct {
	Intercept, Slope float64
	// Residual is the root mean square of the vertical distances of the points from
	// the line.
	Residual float64
}

// fitLine fits a line to the points; xs and ys have the same length. With
// fewer than two distinct xs the slope is 0.
func fitLine(xs, ys []float64) fit {
	n := float64(len(xs))
	if n == 0 {
		return fit{}
	}
	var mx, my float64
	for i := range xs {
		mx += xs[i] / n
		my += ys[i] / n
	}
	var sxx, sxy float64
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
	}
	f := fit{Intercept: my}
	if sxx > 0 {
		f.Slope = sxy / sxx
		f.Intercept = my - f.Slope*mx
	}
	var squares float64
	for i := range xs {
		d := ys[i] - f.Intercept - f.Slope*xs[i]
		squares += d * d
	}
	f.Residual = math.Sqrt(squares / n)
	return f
}
