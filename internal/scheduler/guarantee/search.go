package guarantee

import (
	"math/bits"
	"slices"

	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Result is the outcome of Pack.
type Result uint8

// The results.
const (
	// Packed means that all units have a block.
	Packed Result = iota
	// Impossible means that no packing exists.
	Impossible
	// BudgetExhausted means that the search stopped before it found a packing or
	// showed that none exists.
	BudgetExhausted
)

// maxReorders bounds how often Pack retries greedily with the unplaced units first.
const maxReorders = 4

// Pack packs all units: first greedily, then by a search of at most budget steps, half of
// them for each of two orders of the units. If res is not Packed, the blocks are those of the
// best greedy attempt.
func (p *Problem) Pack(units []Unit, budget int) (blocks []Block, res Result) {
	idx := placementOrder(units)
	best, failed := p.greedy(units, idx)
	for try := 0; failed > 0 && try < maxReorders; try++ {
		front := make([]int, 0, len(idx))
		for _, i := range idx {
			if best[i].Cells == nil {
				front = append(front, i)
			}
		}
		for _, i := range idx {
			if best[i].Cells != nil {
				front = append(front, i)
			}
		}
		idx = front
		b, f := p.greedy(units, idx)
		if f >= failed {
			break
		}
		best, failed = b, f
	}
	if failed == 0 {
		return best, Packed
	}
	if !p.enoughAccelerators(units) {
		return best, Impossible
	}
	for _, compare := range []func(a, b *Unit) int{compareUnits, compareWidths} {
		b, left := p.search(units, orderBy(units, compare), budget/2)
		switch {
		case b != nil:
			return b, Packed
		case left > 0:
			return best, Impossible
		}
	}
	return best, BudgetExhausted
}

// enoughAccelerators reports whether the sites have enough accelerators in total for
// the units.
func (p *Problem) enoughAccelerators(units []Unit) bool {
	have, need := 0, 0
	for i := range p.Sites {
		have += bits.OnesCount64(p.Sites[i].Avail)
	}
	for a := range p.OwnGangs {
		for _, o := range p.OwnGangs[a] {
			if o.NonReclaimable {
				have += bits.OnesCount64(o.Mask)
			}
		}
	}
	for i := range units {
		need += units[i].Shape.Total()
	}
	return need <= have
}

// searcher is a depth-first search over the members of all units.
type searcher struct {
	p      *Problem
	units  []Unit
	order  []int
	blocks []Block
	steps  int
	// restricted marks the nodes with non-reclaimable gangs, which only blocks of
	// the gang's own account may overlap.
	restricted []bool
}

// search returns a packing of all units, which it places in the order of their indexes in order,
// and the steps left. The packing is nil if none exists or the steps run out; in the latter
// case no steps are left.
func (p *Problem) search(units []Unit, order []int, steps int) ([]Block, int) {
	s := &searcher{p: p, units: units, order: order, blocks: make([]Block, len(units)), steps: steps, restricted: make([]bool, len(p.Sites))}
	for a := range p.OwnGangs {
		for _, o := range p.OwnGangs[a] {
			s.restricted[o.Node] = s.restricted[o.Node] || o.NonReclaimable
		}
	}
	for i := range units {
		s.blocks[i].Unit = units[i]
	}
	saved := p.save()
	found := s.placeUnit(0)
	p.restore(saved)
	if !found {
		return nil, s.steps
	}
	return s.blocks, s.steps
}

// placeUnit places the n-th unit in order and all units after it, and reports whether
// it found a packing.
func (s *searcher) placeUnit(n int) bool {
	if n == len(s.order) {
		return true
	}
	i := s.order[n]
	u := &s.units[i]
	from := 0
	if n > 0 && s.units[s.order[n-1]] == *u && u.Shape.Workers == 1 {
		// Equal single-worker units are placed in node order, because any other
		// order gives the same packings.
		from = s.blocks[s.order[n-1]].Cells[0].Node
	}
	for _, g := range s.p.groups(u.Shape) {
		s.blocks[i].Cells = make([]packing.Cell, 0, u.Shape.Workers)
		if s.placeMember(n, g, from) {
			return true
		}
	}
	s.blocks[i].Cells = nil
	return false
}

// nodeSignature identifies interchangeable nodes: a member fits on all nodes with the
// same signature or on none.
type nodeSignature struct {
	site    Site
	overlay nodeOverlay
}

// placeMember places the next member of the n-th unit on a node at position from or
// later of the group, then all other members and units. A nil group means all nodes.
func (s *searcher) placeMember(n int, group []int32, from int) bool {
	i := s.order[n]
	shape := s.units[i].Shape
	if len(s.blocks[i].Cells) == shape.Workers {
		return s.placeUnit(n + 1)
	}
	size := len(group)
	if group == nil {
		size = len(s.p.Sites)
	}
	var tried []nodeSignature
	for at := from; at < size; at++ {
		node := at
		if group != nil {
			node = int(group[at])
		}
		if s.steps--; s.steps < 0 {
			return false
		}
		s.p.loadAccount(s.units[i].Account)
		// Restricted nodes are not interchangeable: other accounts may have gangs there.
		key := nodeSignature{s.p.Sites[node], s.p.overlays[node]}
		if !s.restricted[node] && slices.Contains(tried, key) {
			continue
		}
		tried = append(tried, key)
		if s.placeOnNode(n, group, at, node, shape) {
			return true
		}
	}
	return false
}

// placeOnNode tries the candidate masks of the node for the next member of the n-th
// unit. at is the position of the node in the group.
func (s *searcher) placeOnNode(n int, group []int32, at, node int, shape structs.Shape) bool {
	i := s.order[n]
	next := at + 1
	if shape.Workers == 1 {
		next = at
	}
	account := s.units[i].Account
	s.p.loadAccount(account)
	for _, mask := range s.candidateMasks(node, shape) {
		s.p.loadAccount(account)
		cell := packing.Cell{Node: node, Mask: mask}
		site := s.p.Sites[node]
		var ownGangs []OwnGang
		if s.p.overlays[node].nonReclaimable&mask != 0 {
			ownGangs = slices.Clone(s.p.OwnGangs[account])
		}
		s.p.takeBlock([]packing.Cell{cell}, shape)
		s.blocks[i].Cells = append(s.blocks[i].Cells, cell)
		if s.placeMember(n, group, next) {
			return true
		}
		s.blocks[i].Cells = s.blocks[i].Cells[:len(s.blocks[i].Cells)-1]
		s.p.Sites[node] = site
		if ownGangs != nil {
			copy(s.p.OwnGangs[account], ownGangs)
			s.p.loadedAccount = -1
		}
	}
	return false
}

// candidateMasks returns the masks to try for a member on the node, for the loaded
// account. Blocks within one run of available accelerators are interchangeable, so
// only the lowest mask of each run is tried. On restricted nodes all are tried,
// because blocks of other accounts may not overlap the gangs there.
func (s *searcher) candidateMasks(node int, shape structs.Shape) []uint64 {
	best, _, ok := s.p.cheapestMask(node, shape)
	if !ok {
		return nil
	}
	k := shape.Accelerators
	if k == 0 || !packing.Consecutive(shape.Adjacency) {
		return []uint64{best}
	}
	avail := s.p.availableMask(node)
	starts := packing.Starts(avail, k)
	if !s.restricted[node] {
		starts &= ^(avail << 1) // only the start of each run
	}
	var masks []uint64
	for ; starts != 0; starts &= starts - 1 {
		masks = append(masks, packing.AllMask(k)<<uint(bits.TrailingZeros64(starts)))
	}
	return masks
}
