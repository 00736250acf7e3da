package guarantee

import "slices"

// Limits of the work of computing the margin. Up to maxLossSets sets of lost workers
// of one size, every set is tested. Beyond that, only the sets that add one loss to
// the tightest set of the previous size are tested. With 42 racks, all pairs of losses
// are tested; testing all 13,000 triples took 1.9 s of processor time.
const (
	maxLossSets       = 1000
	marginSearchSteps = 20_000
	// maxMargin is the highest margin that is reported; operators act only on small
	// margins.
	maxMargin = 16
)

// survivableLosses returns how many workers can be lost, whichever they are, with the
// units still packing. Sites with equal kinds are interchangeable.
func survivableLosses(p *Problem, kinds []int, units []Unit) int {
	groups := map[int][]int{}
	var order []int
	for i, k := range kinds {
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], i)
	}
	// A set of lost workers is a count by kind, since sites of a kind are
	// interchangeable.
	frontier, tightest := [][]int{make([]int, len(order))}, 0
	for n := 0; n < maxMargin; n++ {
		next := withOneMoreLoss(frontier, groups, order)
		if len(next) > maxLossSets {
			next = withOneMoreLoss(frontier[tightest:tightest+1], groups, order)
		}
		if len(next) == 0 {
			return n
		}
		least := 0
		for i, lost := range next {
			ok, slack := packWithout(p, groups, order, lost, units)
			if !ok {
				return n
			}
			if i == 0 || slack < least {
				least, tightest = slack, i
			}
		}
		frontier = next
	}
	return maxMargin
}

// withOneMoreLoss returns all distinct sets that have one lost worker more than one of
// sets.
func withOneMoreLoss(sets [][]int, groups map[int][]int, order []int) [][]int {
	var next [][]int
	seen := map[string]bool{}
	for _, lost := range sets {
		for k := range order {
			if lost[k] == len(groups[order[k]]) {
				continue
			}
			more := slices.Clone(lost)
			more[k]++
			if key := countsKey(more); !seen[key] {
				seen[key] = true
				next = append(next, more)
			}
		}
	}
	return next
}

// countsKey returns counts as a map key.
func countsKey(counts []int) string {
	b := make([]byte, 0, 2*len(counts))
	for _, c := range counts {
		b = append(b, byte(c), byte(c>>8))
	}
	return string(b)
}

// packWithout reports whether the units pack without the lost workers, and returns as
// slack the number of additional units like the hardest one that would fit, at most
// 8.
func packWithout(p *Problem, groups map[int][]int, order, lost []int, units []Unit) (bool, int) {
	saved := slices.Clone(p.Sites)
	defer copy(p.Sites, saved)
	for k, n := range lost {
		for _, i := range groups[order[k]][:n] {
			p.Sites[i].Avail, p.Sites[i].Slots = 0, 0
		}
	}
	if _, res := p.Pack(units, marginSearchSteps); res != Packed {
		return false, 0
	}
	most := units[0]
	for _, u := range units {
		if compareUnits(&u, &most) < 0 {
			most = u
		}
	}
	extra := slices.Clone(units)
	for range 8 {
		extra = append(extra, most)
	}
	_, failed := p.Greedy(extra)
	return true, 8 - failed
}
