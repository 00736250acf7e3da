package packing

import (
	"math/bits"
	"slices"
	"sort"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Strategy is a rule for choosing among the places that can hold a shape.
type Strategy uint8

// The strategies.
const (
	// Gradient chooses the place that least increases the number of free
	// accelerators that the expected shapes cannot use.
	Gradient Strategy = iota
	// Buddy chooses the smallest free aligned block whose size is a power of two.
	Buddy
	// Remaining chooses the place after which the most of the largest expected
	// shapes still fit, then the most of the next largest, and so on.
	Remaining
)

// String returns the name that benchmarks use.
func (s Strategy) String() string {
	switch s {
	case Buddy:
		return "buddy"
	case Remaining:
		return "remaining"
	}
	return "gradient"
}

// ExpectedShape is a shape that future jobs are expected to have, with its weight. Only
// the ratios of weights matter.
type ExpectedShape struct {
	Workers, Accelerators int
	Adjacency             structs.Adjacency
	Weight                float64
}

func (e *ExpectedShape) sameShape(o *ExpectedShape) bool {
	return e.Workers == o.Workers && e.Accelerators == o.Accelerators && e.Adjacency == o.Adjacency
}

// ExpectedShapes lists the expected shapes, those with the most accelerators per worker first.
type ExpectedShapes []ExpectedShape

// maxExpectedShapes bounds the work of computing the cost of a place. More shapes change
// the choice little.
const maxExpectedShapes = 6

// NewExpectedShapes merges equal shapes, keeps the maxExpectedShapes with the highest
// weights and scales their weights to a sum of 1.
func NewExpectedShapes(all []ExpectedShape) ExpectedShapes {
	var m ExpectedShapes
	for _, e := range all {
		if e.Accelerators < 1 || e.Accelerators*e.Workers < 2 || e.Weight <= 0 {
			continue // a single accelerator fits wherever one is free
		}
		found := false
		for i := range m {
			if m[i].sameShape(&e) {
				m[i].Weight += e.Weight
				found = true
			}
		}
		if !found {
			m = append(m, e)
		}
	}
	sort.SliceStable(m, func(i, j int) bool { return m[i].Weight > m[j].Weight })
	if len(m) > maxExpectedShapes {
		m = m[:maxExpectedShapes]
	}
	sort.SliceStable(m, func(i, j int) bool { return m[i].Accelerators > m[j].Accelerators })
	total := 0.0
	for i := range m {
		total += m[i].Weight
	}
	for i := range m {
		m[i].Weight /= total
	}
	return m
}

// usableCount returns the number of accelerators in free that members of the shape can
// use.
func usableCount(free uint64, e ExpectedShape) int {
	if !Consecutive(e.Adjacency) {
		return bits.OnesCount64(free) / e.Accelerators * e.Accelerators
	}
	sum := 0
	for free != 0 {
		free >>= uint(bits.TrailingZeros64(free))
		run := bits.TrailingZeros64(^free)
		sum += run / e.Accelerators * e.Accelerators
		if run == 64 {
			break
		}
		free >>= uint(run)
	}
	return sum
}

// Fragmented returns the weighted number of accelerators in free that the expected
// shapes cannot use.
func Fragmented(free uint64, expected ExpectedShapes) float64 {
	total := 0.0
	n := bits.OnesCount64(free)
	for _, e := range expected {
		total += e.Weight * float64(n-usableCount(free, e))
	}
	return total
}

// cost returns the cost of taking mask from free; lower is better.
func (st Strategy) cost(free, mask uint64, expected ExpectedShapes) float64 {
	switch st {
	case Buddy:
		return float64(brokenBlockSize(free, mask))
	case Remaining:
		sum, base := 0.0, 1.0
		for i := len(expected) - 1; i >= 0; i-- {
			lost := (usableCount(free, expected[i]) - usableCount(free&^mask, expected[i])) / expected[i].Accelerators
			sum += base * float64(lost)
			base *= 64
		}
		return sum*64 + float64(bits.OnesCount64(free))
	}
	return Fragmented(free&^mask, expected) - Fragmented(free, expected)
}

// brokenBlockSize returns the size of the largest aligned block that is free, has a
// power of two as its size, and is overlapped by mask.
func brokenBlockSize(free, mask uint64) int {
	for size := 64; size > 1; size /= 2 {
		block := AllMask(size)
		for at := 0; at < 64; at += size {
			b := block << uint(at)
			if b&mask != 0 && free&b == b {
				return size
			}
		}
	}
	return 1
}

// pickMask returns k accelerators of free and their cost. If they must be consecutive,
// or k is 1, it returns the cheapest of the candidates, or 0 and 0 if none fits.
// Otherwise it takes the shortest runs first, whatever they cost, and all of free if that
// has fewer than k.
func (st Strategy) pickMask(free uint64, k int, consecutive bool, expected ExpectedShapes) (uint64, float64) {
	if k == 0 {
		return 0, 0
	}
	if !consecutive && k > 1 {
		mask := takeShortestRuns(free, k)
		return mask, st.cost(free, mask, expected)
	}
	best, bestCost := uint64(0), 0.0
	for starts := candidateStarts(free, k); starts != 0; starts &= starts - 1 {
		mask := AllMask(k) << uint(bits.TrailingZeros64(starts))
		c := st.cost(free, mask, expected)
		if best == 0 || c < bestCost {
			best, bestCost = mask, c
		}
	}
	return best, bestCost
}

// candidateStarts returns the start positions to consider: those at the two ends of
// each free run and the aligned ones.
func candidateStarts(free uint64, k int) uint64 {
	starts := Starts(free, k)
	ends := starts & (^(starts << 1) | ^(starts >> 1))
	size := 1
	for size < k {
		size *= 2
	}
	var aligned uint64
	for at := 0; at < 64; at += size {
		aligned |= 1 << uint(at)
	}
	return ends | starts&aligned
}

// takeShortestRuns returns k accelerators of free, from the shortest runs first.
func takeShortestRuns(free uint64, k int) uint64 {
	var mask uint64
	for k > 0 && free != 0 {
		at, length := shortestRun(free)
		take := min(k, length)
		m := AllMask(take) << uint(at)
		mask |= m
		free &^= m
		k -= take
	}
	return mask
}

// shortestRun returns the position and length of the shortest run of set bits. If free
// is 0, it returns 0 and 65.
func shortestRun(free uint64) (at, length int) {
	length = 65 // longer than any run
	pos := 0
	for free != 0 {
		z := bits.TrailingZeros64(free)
		free >>= uint(z)
		pos += z
		run := bits.TrailingZeros64(^free)
		if run < length {
			at, length = pos, run
		}
		if run == 64 {
			break
		}
		free >>= uint(run)
		pos += run
	}
	return at, length
}

// Suits reports whether the worker class is one of classes. Empty classes mean all.
func Suits(classes []string, class string) bool {
	return len(classes) == 0 || slices.Contains(classes, class)
}

// isReady reports whether workers in the state receive jobs other than probes.
func isReady(s structs.WorkerState) bool { return s == structs.WorkerReady }
