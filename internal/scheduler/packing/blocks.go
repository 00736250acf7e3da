package packing

import (
	"math/bits"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// blockTable counts the blocks that fit for each expected shape on each node, and in
// each rack or zone for shapes of several workers that must be in one.
type blockTable struct {
	expected    ExpectedShapes
	nodeBlocks  []int32   // block count at index node*len(expected)+shape
	groupBlocks [][]int32 // block count by shape and group; nil for shapes without a group
}

// blocksIn returns the number of blocks of the shape that fit in free.
func (e *ExpectedShape) blocksIn(free uint64) int32 {
	return int32(usableCount(free, *e) / e.Accelerators)
}

// groupOf returns the index of the rack or zone of the node if the shape must be
// within one, else -1.
func (e *ExpectedShape) groupOf(n *Node) int {
	switch {
	case e.Workers < 2:
	case e.Adjacency == structs.AdjacentRack:
		return n.Rack
	case e.Adjacency == structs.AdjacentZone:
		return n.Zone
	}
	return -1
}

// newBlockTable counts the blocks for the expected shapes. bitmap returns the
// accelerators of a node to count.
func newBlockTable(s *State, expected ExpectedShapes, bitmap func(*Node) uint64) *blockTable {
	t := &blockTable{expected: expected, nodeBlocks: make([]int32, len(expected)*len(s.Nodes)), groupBlocks: make([][]int32, len(expected))}
	for k := range expected {
		if e := &expected[k]; e.Workers >= 2 && (e.Adjacency == structs.AdjacentRack || e.Adjacency == structs.AdjacentZone) {
			t.groupBlocks[k] = make([]int32, max(len(s.Racks), len(s.Zones)))
		}
	}
	for i := range s.Nodes {
		t.update(s, i, bitmap(&s.Nodes[i]))
	}
	return t
}

// update counts the blocks of node i again, with the accelerators in bitmap.
func (t *blockTable) update(s *State, i int, bitmap uint64) {
	n := &s.Nodes[i]
	if !isReady(n.State) {
		bitmap = 0
	}
	for k := range t.expected {
		e := &t.expected[k]
		at := i*len(t.expected) + k
		count := e.blocksIn(bitmap)
		if t.groupBlocks[k] != nil {
			t.groupBlocks[k][e.groupOf(n)] += count - t.nodeBlocks[at]
		}
		t.nodeBlocks[at] = count
	}
}

// costOfTaking returns the weighted increase in the number of accelerators that the
// expected shapes cannot use if mask is taken from the bitmap of node i.
func (t *blockTable) costOfTaking(s *State, i int, bitmap, mask uint64) float64 {
	taken := bits.OnesCount64(mask & bitmap)
	sum := 0.0
	for k := range t.expected {
		e := &t.expected[k]
		lost := t.nodeBlocks[i*len(t.expected)+k] - e.blocksIn(bitmap&^mask)
		if g := t.groupBlocks[k]; g != nil {
			// Only blocks for whole gangs count, so taking a spare worker of a rack
			// costs nothing.
			have, w := g[e.groupOf(&s.Nodes[i])], int32(e.Workers)
			lost = (have/w - (have-lost)/w) * w
		}
		sum += e.Weight * float64(int(lost)*e.Accelerators-taken)
	}
	return sum
}

func freeBitmap(n *Node) uint64          { return n.Free }
func freeOrMovableBitmap(n *Node) uint64 { return n.Free | n.Movable }

// SetExpectedShapes sets the expected shapes, which determine the fragmentation cost of
// places.
func (s *State) SetExpectedShapes(expected ExpectedShapes) {
	s.freeBlocks = newBlockTable(s, expected, freeBitmap)
	s.freeOrMovableBlocks = newBlockTable(s, expected, freeOrMovableBitmap)
}

// SetMovable marks accelerators as used by gangs that can be moved. It must be called
// before SetExpectedShapes.
func (s *State) SetMovable(cells []Cell) {
	for _, c := range cells {
		s.Nodes[c.Node].Movable |= c.Mask
	}
}

// updateBlockTables updates the block tables after a change of node i.
func (s *State) updateBlockTables(i int) {
	if s.freeBlocks != nil {
		s.freeBlocks.update(s, i, s.Nodes[i].Free)
		s.freeOrMovableBlocks.update(s, i, freeOrMovableBitmap(&s.Nodes[i]))
	}
}

// fixedFreeWeight is, for a job that cannot be moved, the weight of the fragmentation
// of free accelerators, relative to that of accelerators that are free or movable.
const fixedFreeWeight = 0.25

// fragmentationCost returns the cost of taking mask from node i. A fixed job breaks
// blocks for as long as it runs, including blocks that moving other gangs would
// free.
func (s *State) fragmentationCost(i int, mask uint64, fixed bool) float64 {
	if s.freeBlocks == nil {
		return 0
	}
	n := &s.Nodes[i]
	cost := s.freeBlocks.costOfTaking(s, i, n.Free, mask)
	if !fixed {
		return cost
	}
	return fixedFreeWeight*cost + s.freeOrMovableBlocks.costOfTaking(s, i, freeOrMovableBitmap(n), mask)
}
