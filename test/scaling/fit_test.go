package main

import (
	"math"
	"testing"
)

// TestFitLine guards against slopes in docs/CAPACITY.md that do not fit the points.
func TestFitLine(t *testing.T) {
	f := fitLine([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-3) > 1e-9 || f.Residual > 1e-9 {
		t.Errorf("exact line: %+v", f)
	}
	// Computed by hand: both means are 1, the slope is 0, the distances are 1, -1, -1, 1.
	f = fitLine([]float64{0, 1, 1, 2}, []float64{2, 0, 0, 2})
	if f.Slope != 0 || f.Intercept != 1 || f.Residual != 1 {
		t.Errorf("scattered points: %+v", f)
	}
	if f = fitLine([]float64{3, 3}, []float64{1, 5}); f.Slope != 0 || f.Intercept != 3 {
		t.Errorf("one x: %+v", f)
	}
}

// TestUsageBetween guards against rates that are divided by the wrong time or computed
// from the wrong counters.
func TestUsageBetween(t *testing.T) {
	before := counters{cpuSeconds: 1, rpcBytes: 100, ioBytes: 1000, calls: 10, reads: 5, writes: 1}
	after := counters{cpuSeconds: 1.5, residentBytes: 64e6, rpcBytes: 1100, ioBytes: 5000, calls: 30, reads: 15, writes: 21}
	u := usageBetween(before, after, 10)
	want := usage{CPU: 5, MB: 64, RPCBytes: 100, IOBytes: 400, Calls: 2, Reads: 1, Writes: 2}
	if u != want {
		t.Errorf("rates %+v, want %+v", u, want)
	}
}
