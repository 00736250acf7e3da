// Package guarantee checks that the guaranteed shapes of all client accounts can be
// packed at once: onto the declared hardware when a manifest is admitted, and onto
// free or reclaimable capacity when work is placed.
package guarantee

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Unit is one guaranteed shape of an account, to be packed onto sites.
type Unit struct {
	Account int
	Shape   structs.Shape
}

// Site is the capacity of a node for guaranteed units.
type Site struct {
	Rack, Zone int
	// Avail has the accelerators that are free, or used by a reclaimable or a
	// stopping gang. Reclaimable has those of reclaimable gangs that are not stopping.
	Avail, Reclaimable uint64
	// Taken has the accelerators of the blocks placed so far.
	Taken uint64
	// Cores (thousandths of a core), Memory (MiB) and Slots are free or
	// reclaimable.
	Cores, Memory, Slots int
}

// OwnGang is what a running gang of an account uses on a node. Blocks of the same
// account may overlap it.
type OwnGang struct {
	Node int
	Mask uint64
	// NonReclaimable is set if the gang cannot be reclaimed. Its accelerators are
	// then not in Site.Avail, and Cores, Memory and Slots, which are 0 for other
	// gangs, are not in those of the site.
	NonReclaimable       bool
	Cores, Memory, Slots int
}

// Block is the place of a unit in a packing. Cells is nil if the unit is unplaced.
type Block struct {
	Unit
	Cells []packing.Cell
}

// Problem is a set of sites onto which units are packed.
type Problem struct {
	Sites        []Site
	Racks, Zones [][]int32
	// OwnGangs lists the gangs of each account, by account index. Accounts beyond its
	// end have none.
	OwnGangs [][]OwnGang

	overlays      []nodeOverlay   // by node; see loadAccount
	loadedAccount int             // account whose gangs are in overlays; -1 for none
	candidates    []nodeCandidate // result of findCandidates
}

// nodeOverlay is what the gangs of the loaded account use on a node. own has the
// accelerators of all its gangs; the other fields count only non-reclaimable ones.
type nodeOverlay struct {
	own, nonReclaimable  uint64
	cores, memory, slots int
}

// nodeCandidate is the cheapest place for a member on a node.
type nodeCandidate struct {
	node, cost int
	mask       uint64
}

// placementOrder returns the indexes of units from the hardest to place to the
// easiest.
func placementOrder(units []Unit) []int { return orderBy(units, compareUnits) }

// orderBy returns the indexes of units in the order of compare.
func orderBy(units []Unit, compare func(a, b *Unit) int) []int {
	idx := make([]int, len(units))
	for i := range idx {
		idx[i] = i
	}
	slices.SortStableFunc(idx, func(a, b int) int { return compare(&units[a], &units[b]) })
	return idx
}

// compareWidths orders units that need more of each worker first, and otherwise as
// compareUnits does.
func compareWidths(a, b *Unit) int {
	return cmp.Or(-cmp.Compare(a.Shape.Accelerators, b.Shape.Accelerators), compareUnits(a, b))
}

// compareUnits orders units that are harder to place first.
func compareUnits(a, b *Unit) int {
	return cmp.Or(
		-cmp.Compare(adjacencyRank(a.Shape), adjacencyRank(b.Shape)),
		-cmp.Compare(a.Shape.Accelerators, b.Shape.Accelerators),
		-cmp.Compare(a.Shape.Total(), b.Shape.Total()),
		-cmp.Compare(a.Shape.CoresMilli, b.Shape.CoresMilli),
		-cmp.Compare(a.Shape.MemoryMB, b.Shape.MemoryMB),
		cmp.Compare(a.Account, b.Account),
	)
}

// adjacencyRank ranks a shape by the number of workers that must be in one rack or
// zone; a rack ranks higher than a zone.
func adjacencyRank(s structs.Shape) int {
	if s.Workers < 2 {
		return 0
	}
	switch s.Adjacency {
	case structs.AdjacentRack:
		return 2 * s.Workers
	case structs.AdjacentZone:
		return 2*s.Workers - 1
	}
	return 0
}

// Greedy packs the units one by one, the hardest first. It returns a block for each
// unit, in the order of units, and the number of unplaced units.
func (p *Problem) Greedy(units []Unit) ([]Block, int) {
	return p.greedy(units, placementOrder(units))
}

// greedy is Greedy with the units placed in the order of idx.
func (p *Problem) greedy(units []Unit, idx []int) ([]Block, int) {
	saved := p.save()
	blocks := make([]Block, len(units))
	failed := 0
	for i := 0; i < len(idx); {
		j := i + 1
		for j < len(idx) && units[idx[j]] == units[idx[i]] {
			j++
		}
		failed += p.placeEqualUnits(units, idx[i:j], blocks)
		i = j
	}
	p.restore(saved)
	return blocks, failed
}

// siteState is a copy of the state that placing blocks changes.
type siteState struct {
	sites    []Site
	ownGangs [][]OwnGang
}

func (p *Problem) save() siteState {
	p.loadedAccount = -1
	s := siteState{sites: slices.Clone(p.Sites)}
	for a := range p.OwnGangs {
		if slices.ContainsFunc(p.OwnGangs[a], func(o OwnGang) bool { return o.NonReclaimable }) {
			s.ownGangs = append(s.ownGangs, slices.Clone(p.OwnGangs[a]))
		} else {
			s.ownGangs = append(s.ownGangs, p.OwnGangs[a])
		}
	}
	return s
}

func (p *Problem) restore(s siteState) {
	copy(p.Sites, s.sites)
	for a := range s.ownGangs {
		copy(p.OwnGangs[a], s.ownGangs[a])
	}
	p.loadedAccount = -1
}

// placeEqualUnits places equal units, given by their indexes, and returns the number
// that did not fit.
func (p *Problem) placeEqualUnits(units []Unit, idx []int, blocks []Block) int {
	u := units[idx[0]]
	p.loadAccount(u.Account)
	for _, i := range idx {
		blocks[i].Unit = u
	}
	if u.Shape.Workers == 1 {
		return p.placeSingles(u.Shape, idx, blocks)
	}
	for n, i := range idx {
		cells := p.placeGang(u.Shape)
		if cells == nil {
			return len(idx) - n
		}
		p.takeBlock(cells, u.Shape)
		blocks[i].Cells = cells
	}
	return 0
}

// placeSingles places equal single-worker units, filling the cheapest nodes first, and
// returns the number that did not fit.
func (p *Problem) placeSingles(shape structs.Shape, idx []int, blocks []Block) int {
	p.findCandidates(nil, shape)
	if len(idx) == 1 && len(p.candidates) > 0 {
		// With many accounts, most calls place one unit. Sorting the nodes for each
		// would take most of the time of a packing.
		p.candidates = append(p.candidates[:0], slices.MinFunc(p.candidates, compareCandidates))
	} else {
		slices.SortFunc(p.candidates, compareCandidates)
	}
	n := 0
	for _, s := range p.candidates {
		for mask, ok := s.mask, true; ok && n < len(idx); n++ {
			cells := []packing.Cell{{Node: s.node, Mask: mask}}
			p.takeBlock(cells, shape)
			blocks[idx[n]].Cells = cells
			if n+1 < len(idx) {
				mask, _, ok = p.cheapestMask(s.node, shape)
			}
		}
		if n == len(idx) {
			return 0
		}
	}
	return len(idx) - n
}

func compareCandidates(a, b nodeCandidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.node, b.node))
}

// placeGang returns the cheapest place for a unit of several workers, or nil.
func (p *Problem) placeGang(shape structs.Shape) []packing.Cell {
	groups := p.groups(shape)
	var cells []packing.Cell
	bestCost := 0
	for _, g := range groups {
		p.findCandidates(g, shape)
		if len(p.candidates) < shape.Workers {
			continue
		}
		slices.SortFunc(p.candidates, compareCandidates)
		// Among groups of equal cost, prefer the one with the fewest remaining nodes.
		cost := len(p.candidates) - shape.Workers
		for _, s := range p.candidates[:shape.Workers] {
			cost += 100 * s.cost
		}
		if cells != nil && cost >= bestCost {
			continue
		}
		bestCost = cost
		cells = make([]packing.Cell, 0, shape.Workers)
		for _, s := range p.candidates[:shape.Workers] {
			cells = append(cells, packing.Cell{Node: s.node, Mask: s.mask})
		}
	}
	return cells
}

var allNodesGroup = [][]int32{nil}

// groups returns the sets of nodes to try for a unit; a nil set means all nodes. A single
// worker is always in one rack and in one zone.
func (p *Problem) groups(shape structs.Shape) [][]int32 {
	switch {
	case shape.Workers == 1:
		return allNodesGroup
	case shape.Adjacency == structs.AdjacentRack:
		return p.Racks
	case shape.Adjacency == structs.AdjacentZone:
		return p.Zones
	}
	return allNodesGroup
}

// findCandidates fills p.candidates with the nodes of the group that can hold a member
// of a unit of the loaded account; a nil group means all nodes.
func (p *Problem) findCandidates(group []int32, shape structs.Shape) {
	p.candidates = p.candidates[:0]
	if group == nil {
		for i := range p.Sites {
			if mask, cost, ok := p.cheapestMask(i, shape); ok {
				p.candidates = append(p.candidates, nodeCandidate{node: i, cost: cost, mask: mask})
			}
		}
		return
	}
	for _, i := range group {
		if mask, cost, ok := p.cheapestMask(int(i), shape); ok {
			p.candidates = append(p.candidates, nodeCandidate{node: int(i), cost: cost, mask: mask})
		}
	}
}

// loadAccount fills the overlays with the gangs of the account.
func (p *Problem) loadAccount(account int) {
	if p.loadedAccount == account {
		return
	}
	if p.overlays == nil {
		p.overlays = make([]nodeOverlay, len(p.Sites))
	}
	clear(p.overlays)
	p.loadedAccount = account
	if account >= len(p.OwnGangs) {
		return
	}
	for _, o := range p.OwnGangs[account] {
		v := &p.overlays[o.Node]
		v.own |= o.Mask
		if o.NonReclaimable {
			v.nonReclaimable |= o.Mask
			v.cores += o.Cores
			v.memory += o.Memory
			v.slots += o.Slots
		}
	}
}

// Costs of a place, for each accelerator. A block preferably overlaps its account's own
// gangs, so that those count as inside the guarantee, and otherwise free
// accelerators, so that a claim need not stop any gang.
const (
	ownGangDiscount = 1000
	reclaimableCost = 20
)

// cheapestMask returns the cheapest accelerators of node i for a member of a unit of
// the loaded account; ok is false if it does not fit.
func (p *Problem) cheapestMask(i int, shape structs.Shape) (mask uint64, cost int, ok bool) {
	s, v := &p.Sites[i], &p.overlays[i]
	if s.Cores+v.cores < shape.CoresMilli || s.Memory+v.memory < shape.MemoryMB || s.Slots+v.slots < 1 {
		return 0, 0, false
	}
	k := shape.Accelerators
	if k == 0 {
		return 0, 0, p.hasResources(i, 0, shape)
	}
	avail := p.availableMask(i)
	left := bits.OnesCount64(avail) - k
	if left < 0 {
		return 0, 0, false
	}
	if !packing.Consecutive(shape.Adjacency) {
		mask = packing.Lowest(avail&v.own, k)
		mask |= packing.Lowest(avail&^v.own&^s.Reclaimable, k-bits.OnesCount64(mask))
		mask |= packing.Lowest(avail&^mask, k-bits.OnesCount64(mask))
		return mask, left + p.coverCost(i, mask), p.hasResources(i, mask, shape)
	}
	for starts := packing.Starts(avail, k); starts != 0; starts &= starts - 1 {
		m := packing.AllMask(k) << uint(bits.TrailingZeros64(starts))
		c := left + p.coverCost(i, m) + adjacentFree(avail, m)
		if (!ok || c < cost) && p.hasResources(i, m, shape) {
			mask, cost, ok = m, c, true
		}
	}
	return mask, cost, ok
}

// availableMask returns the accelerators of node i that a block of the loaded account
// may take.
func (p *Problem) availableMask(i int) uint64 {
	return (p.Sites[i].Avail | p.overlays[i].nonReclaimable) &^ p.Sites[i].Taken
}

// coverCost returns the cost of a block on mask of node i, by the gangs that it
// overlaps.
func (p *Problem) coverCost(i int, mask uint64) int {
	own, reclaimable := p.overlays[i].own, p.Sites[i].Reclaimable
	return reclaimableCost*bits.OnesCount64(mask&reclaimable&^own) - ownGangDiscount*bits.OnesCount64(mask&own)
}

// hasResources reports whether node i has the cores, memory and slots for a block on
// mask. Resources used by the account's own non-reclaimable gangs that overlap mask
// count as available.
func (p *Problem) hasResources(i int, mask uint64, shape structs.Shape) bool {
	s := &p.Sites[i]
	if s.Cores >= shape.CoresMilli && s.Memory >= shape.MemoryMB && s.Slots >= 1 {
		return true
	}
	cores, memory, slots := p.ownUsage(i, mask, false)
	return s.Cores+cores >= shape.CoresMilli && s.Memory+memory >= shape.MemoryMB && s.Slots+slots >= 1
}

// ownUsage returns the resources that the loaded account's own non-reclaimable gangs
// that overlap mask use on node i. With spend, they do not count for a further block.
func (p *Problem) ownUsage(i int, mask uint64, spend bool) (cores, memory, slots int) {
	v := &p.overlays[i]
	if v.nonReclaimable&mask == 0 {
		return 0, 0, 0
	}
	ownGangs := p.OwnGangs[p.loadedAccount]
	for j := range ownGangs {
		o := &ownGangs[j]
		if o.Node != i || !o.NonReclaimable || o.Mask&mask == 0 {
			continue
		}
		cores += o.Cores
		memory += o.Memory
		slots += o.Slots
		if spend {
			o.Cores, o.Memory, o.Slots = 0, 0, 0
		}
	}
	if spend {
		v.cores -= cores
		v.memory -= memory
		v.slots -= slots
	}
	return cores, memory, slots
}

// adjacentFree counts the available accelerators directly beside the run m. Each is
// the end of a remainder that the run would leave.
func adjacentFree(avail, m uint64) int {
	return bits.OnesCount64((m<<1 | m>>1) &^ m & avail)
}

// takeBlock removes the cells of a block of the loaded account from the sites.
func (p *Problem) takeBlock(cells []packing.Cell, shape structs.Shape) {
	for _, c := range cells {
		cores, memory, slots := p.ownUsage(c.Node, c.Mask, true)
		s := &p.Sites[c.Node]
		s.Taken |= c.Mask
		s.Cores -= max(0, shape.CoresMilli-cores)
		s.Memory -= max(0, shape.MemoryMB-memory)
		s.Slots -= max(0, 1-slots)
	}
}
