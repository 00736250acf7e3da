package packing

import (
	"math"
	"slices"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Request is a shape with the constraints on its place.
type Request struct {
	Shape structs.Shape
	// Classes lists the suitable worker classes, best first; empty means all.
	Classes []string
	// ClassCosts has the additional cost of a member on each worker class, in units
	// of accelerators made unusable for the expected shapes.
	ClassCosts map[string]float64
	// Avoid lists workers that must not be used.
	Avoid []string
	// Holds is reserved capacity that must not be used, by node; nil means none.
	Holds []Hold
	// Fixed is set if the job cannot be moved once it runs.
	Fixed bool
	// Probing selects probing workers instead of ready ones.
	Probing bool
}

// Chooser finds places by a strategy.
type Chooser struct {
	Strategy Strategy
	// Mix has the expected shapes by which the Gradient and Remaining strategies choose
	// accelerators on a node. Remaining compares nodes by them too, while Gradient does so
	// by those of State.SetExpectedShapes. Buddy ignores them.
	Mix ExpectedShapes
}

// nodeCandidate is the best place for a member on a node.
type nodeCandidate struct {
	node int32
	cost float64
	mask uint64
}

// Find returns the cheapest place for the request, or nil if there is none. It does
// not take the capacity.
func (ch Chooser) Find(s *State, r *Request) []Cell {
	if !r.Probing && s.FreeTotal < r.Shape.Total() {
		return nil
	}
	groups := s.Groups(r.Shape.Adjacency)
	if groups == nil {
		s.candidates = s.candidates[:0]
		for i := range s.Nodes {
			s.addCandidate(ch, r, i)
		}
		return cheapestCells(s.candidates, r.Shape.Workers, nil, math.Inf(1))
	}
	var cells []Cell
	limit := math.Inf(1)
	for _, nodes := range groups {
		if len(nodes) < r.Shape.Workers {
			continue
		}
		s.candidates = s.candidates[:0]
		for _, i := range nodes {
			s.addCandidate(ch, r, int(i))
		}
		if found := cheapestCells(s.candidates, r.Shape.Workers, cells, limit); found != nil {
			cells = found
			limit = 0
			for _, c := range s.candidates[:r.Shape.Workers] {
				limit += c.cost
			}
		}
	}
	return cells
}

// addCandidate adds node i to s.candidates if it can hold a member.
func (s *State) addCandidate(ch Chooser, r *Request, i int) {
	n := &s.Nodes[i]
	free, ok := s.usableOnNode(r, i)
	if !ok {
		return
	}
	consecutive := Consecutive(r.Shape.Adjacency)
	if !CanTake(free, r.Shape.Accelerators, consecutive) {
		return
	}
	mask, cost := ch.Strategy.pickMask(free, r.Shape.Accelerators, consecutive, ch.Mix)
	if ch.Strategy == Gradient {
		cost = s.fragmentationCost(i, mask, r.Fixed)
	}
	cost += r.ClassCosts[n.Class]
	// Among equal costs, prefer the rack with the fewest free accelerators, which is
	// the least useful to gangs that need a whole rack.
	cost += float64(s.rackFree[n.Rack]) * 1e-4
	s.candidates = append(s.candidates, nodeCandidate{node: int32(i), cost: cost, mask: mask})
}

// usableOnNode returns the accelerators of node i that the request may use. It reports
// false if the node cannot hold a member for any reason other than accelerators.
func (s *State) usableOnNode(r *Request, i int) (uint64, bool) {
	n := &s.Nodes[i]
	if r.Probing {
		if n.State != structs.WorkerProbing {
			return 0, false
		}
	} else if !isReady(n.State) {
		return 0, false
	}
	free, cores, memory, slots := n.Free, n.Cores, n.Memory, n.Slots
	if r.Holds != nil {
		h := &r.Holds[i]
		free &^= h.Mask
		cores -= h.Cores
		memory -= h.Memory
		slots -= h.Slots
	}
	if cores < r.Shape.CoresMilli || memory < r.Shape.MemoryMB || slots < 1 {
		return 0, false
	}
	if len(r.Classes) > 0 && !Suits(r.Classes, n.Class) || slices.Contains(r.Avoid, n.ID) {
		return 0, false
	}
	return free, true
}

// cheapestCells returns the cells of the cheapest nodes in list, or nil if there are
// too few nodes or they cost limit or more. It moves the chosen nodes to the front of
// list and stores the cells in reuse if that has the capacity.
func cheapestCells(list []nodeCandidate, workers int, reuse []Cell, limit float64) []Cell {
	if len(list) < workers {
		return nil
	}
	if workers == 1 {
		low := 0
		for i := range list {
			if list[i].cost < list[low].cost {
				low = i
			}
		}
		list[0], list[low] = list[low], list[0]
	} else {
		slices.SortFunc(list, func(a, b nodeCandidate) int {
			switch {
			case a.cost < b.cost:
				return -1
			case a.cost > b.cost:
				return 1
			}
			return int(a.node - b.node)
		})
	}
	sum := 0.0
	for _, c := range list[:workers] {
		sum += c.cost
	}
	if sum >= limit {
		return nil
	}
	cells := reuse[:0]
	for _, c := range list[:workers] {
		cells = append(cells, Cell{Node: int(c.node), Mask: c.mask})
	}
	return cells
}

// FitsEmpty reports whether the workers could hold the shape if nothing ran and all of
// them were ready. workers must be those passed to NewState.
func (s *State) FitsEmpty(workers []structs.Worker, shape structs.Shape, classes []string) bool {
	groups := s.Groups(shape.Adjacency)
	if groups == nil {
		count := 0
		for i := range workers {
			if fitsEmptyWorker(&workers[i], shape, classes) {
				if count++; count >= shape.Workers {
					return true
				}
			}
		}
		return false
	}
	for _, g := range groups {
		count := 0
		for _, i := range g {
			if fitsEmptyWorker(&workers[i], shape, classes) {
				if count++; count >= shape.Workers {
					return true
				}
			}
		}
	}
	return false
}

// fitsEmptyWorker reports whether the empty worker can hold a member of the shape.
func fitsEmptyWorker(w *structs.Worker, s structs.Shape, classes []string) bool {
	return w.Accelerators >= s.Accelerators && w.CoresMilli >= s.CoresMilli && w.MemoryMB >= s.MemoryMB && w.Slots >= 1 &&
		Suits(classes, w.Class)
}
