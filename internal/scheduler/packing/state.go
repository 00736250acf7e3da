// Package packing finds places for shapes on workers. It represents accelerators as
// bitmaps, respects adjacency, cores, memory and slots, and prefers the place that
// keeps large blocks of accelerators whole. A place is a list of cells, one for each
// member of a gang; a cell is a set of accelerators on one worker.
package packing

import (
	"math/bits"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Node is a worker with its free capacity.
type Node struct {
	ID    string
	Class string
	State structs.WorkerState
	// Rack and Zone are indexes into State.Racks and State.Zones.
	Rack, Zone int
	// All has a bit for each accelerator, Free for each free one, and Movable for
	// each one used by a gang that can be moved.
	All, Free, Movable uint64
	// Cores (thousandths of a core), Memory (MiB) and Slots are free.
	Cores, Memory, Slots int
}

// State is the free capacity of a domain.
type State struct {
	Nodes []Node
	// Racks and Zones list the nodes of each rack and zone.
	Racks, Zones [][]int32
	// FreeTotal is the number of free accelerators on all ready nodes.
	FreeTotal int

	rackFree   []int32         // free accelerators on ready nodes, by rack
	candidates []nodeCandidate // scratch buffer of Chooser.Find
	// freeBlocks and freeOrMovableBlocks are nil until SetExpectedShapes.
	freeBlocks, freeOrMovableBlocks *blockTable
}

// Cell is the set of accelerators of a gang on one node.
type Cell struct {
	Node int
	Mask uint64
}

// Hold is reserved capacity of a node that a request must not use.
type Hold struct {
	Mask                 uint64
	Cores, Memory, Slots int
}

type groupKey struct{ region, zone, rack string }

// AllMask returns the bitmap of n accelerators.
func AllMask(n int) uint64 {
	if n >= 64 {
		return ^uint64(0)
	}
	return 1<<uint(n) - 1
}

// NewState returns the free capacity of the workers. Nodes have the workers' order.
func NewState(workers []structs.Worker) *State {
	s := &State{Nodes: make([]Node, len(workers))}
	racks, zones := map[groupKey]int{}, map[groupKey]int{}
	var last groupKey
	rack, zone := -1, -1
	for i := range workers {
		w := &workers[i]
		all := AllMask(w.Accelerators)
		s.Nodes[i] = Node{
			ID: w.ID, Class: w.Class, State: w.State, All: all, Free: all &^ w.Busy,
			Cores: w.CoresMilli - w.CoresUsedMilli, Memory: w.MemoryMB - w.MemoryUsedMB, Slots: w.Slots - w.SlotsUsed,
		}
		// Consecutive workers are often in one rack, so the lookup is skipped if the
		// key is unchanged.
		if key := (groupKey{w.Region, w.Zone, w.Rack}); rack < 0 || key != last {
			last = key
			rack = groupIndex(racks, &s.Racks, key)
			zone = groupIndex(zones, &s.Zones, groupKey{w.Region, w.Zone, ""})
		}
		s.Nodes[i].Rack, s.Nodes[i].Zone = rack, zone
		s.Racks[rack] = append(s.Racks[rack], int32(i))
		s.Zones[zone] = append(s.Zones[zone], int32(i))
		if w.State == structs.WorkerProbing {
			s.Nodes[i].Slots = freeProbeSlots(w)
		}
	}
	s.rackFree = make([]int32, len(s.Racks))
	for i := range s.Nodes {
		s.addFreeCount(i, 1)
	}
	return s
}

// freeProbeSlots returns the free slots of a probing worker, which receives one job at
// a time: 1 if it is idle, else 0.
func freeProbeSlots(w *structs.Worker) int {
	if w.SlotsUsed > 0 {
		return 0
	}
	return min(1, w.Slots)
}

// groupIndex returns the index of the group with the key and adds the group if needed.
func groupIndex(index map[groupKey]int, lists *[][]int32, key groupKey) int {
	g, ok := index[key]
	if !ok {
		g = len(*lists)
		index[key] = g
		*lists = append(*lists, nil)
	}
	return g
}

// addFreeCount adds sign times the free accelerators of node i to FreeTotal and
// rackFree.
func (s *State) addFreeCount(i, sign int) {
	n := &s.Nodes[i]
	if n.State != structs.WorkerReady {
		return
	}
	free := sign * bits.OnesCount64(n.Free)
	s.FreeTotal += free
	s.rackFree[n.Rack] += int32(free)
}

// Take removes the cells of a gang of the shape from the free capacity.
func (s *State) Take(cells []Cell, shape structs.Shape) { s.take(cells, shape, 0) }

// TakeMovable is like Take, for a gang that can be moved.
func (s *State) TakeMovable(cells []Cell, shape structs.Shape) { s.take(cells, shape, ^uint64(0)) }

func (s *State) take(cells []Cell, shape structs.Shape, movable uint64) {
	for _, c := range cells {
		s.addFreeCount(c.Node, -1)
		n := &s.Nodes[c.Node]
		n.Free &^= c.Mask
		n.Movable = n.Movable&^c.Mask | c.Mask&movable
		n.Cores -= shape.CoresMilli
		n.Memory -= shape.MemoryMB
		n.Slots--
		s.addFreeCount(c.Node, 1)
		s.updateBlockTables(c.Node)
	}
}

// Release returns the cells of a gang of the shape to the free capacity.
func (s *State) Release(cells []Cell, shape structs.Shape) {
	for _, c := range cells {
		s.addFreeCount(c.Node, -1)
		n := &s.Nodes[c.Node]
		n.Free |= c.Mask & n.All
		n.Cores += shape.CoresMilli
		n.Memory += shape.MemoryMB
		n.Slots++
		s.addFreeCount(c.Node, 1)
		s.updateBlockTables(c.Node)
	}
}

// Clone returns an independent copy without block tables.
func (s *State) Clone() *State {
	c := *s
	c.Nodes = append([]Node(nil), s.Nodes...)
	c.rackFree = append([]int32(nil), s.rackFree...)
	c.candidates, c.freeBlocks, c.freeOrMovableBlocks = nil, nil, nil
	return &c
}

// Groups returns the sets of nodes, one of which must hold a whole gang with the
// adjacency. Nil means that the gang may use any nodes.
func (s *State) Groups(a structs.Adjacency) [][]int32 {
	switch a {
	case structs.AdjacentRack:
		return s.Racks
	case structs.AdjacentZone:
		return s.Zones
	}
	return nil
}

// Consecutive reports whether the adjacency needs consecutive accelerators.
func Consecutive(a structs.Adjacency) bool { return a != structs.AdjacentNone && a != "" }

// Starts returns a bitmap of the positions at which k consecutive set bits of free
// start.
func Starts(free uint64, k int) uint64 {
	m := free
	for have := 1; have < k; {
		step := min(have, k-have)
		m &= m >> uint(step)
		have += step
	}
	return m
}

// Lowest returns the k lowest set bits of free, or all if there are fewer.
func Lowest(free uint64, k int) uint64 {
	var m uint64
	for ; k > 0 && free != 0; k-- {
		b := free & -free
		m |= b
		free &^= b
	}
	return m
}

// CanTake reports whether k accelerators can be taken from free; with consecutive, as
// one run.
func CanTake(free uint64, k int, consecutive bool) bool {
	if k == 0 {
		return true
	}
	if consecutive {
		return Starts(free, k) != 0
	}
	return bits.OnesCount64(free) >= k
}
