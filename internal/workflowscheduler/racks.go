package workflowscheduler

import (
	"slices"
	"strings"
)

// racks maps between the nodes of a decision and their racks.
type racks struct {
	all          []int   // all nodes
	nodesOf      [][]int // nodes of each rack; racks are numbered by their first node
	rackOf       []int   // rack index of each node
	indexByName  map[string]int
	sortedByName []int // rack indexes in the order of the rack names
}

// newRacks numbers the racks of the nodes.
func newRacks(nodes []node) *racks {
	r := &racks{rackOf: make([]int, len(nodes)), indexByName: map[string]int{}}
	var names []string
	for n := range nodes {
		name := nodes[n].Rack
		at, ok := r.indexByName[name]
		if !ok {
			at = len(r.nodesOf)
			r.indexByName[name] = at
			r.nodesOf, names, r.sortedByName = append(r.nodesOf, nil), append(names, name), append(r.sortedByName, at)
		}
		r.all, r.rackOf[n] = append(r.all, n), at
		r.nodesOf[at] = append(r.nodesOf[at], n)
	}
	slices.SortFunc(r.sortedByName, func(a, b int) int { return strings.Compare(names[a], names[b]) })
	return r
}

// named returns the nodes of a rack, or nil if there is no such rack.
func (r *racks) named(rack string) []int {
	if at, ok := r.indexByName[rack]; ok {
		return r.nodesOf[at]
	}
	return nil
}

// countRacks returns the number of racks that the placements use.
func (r *racks) countRacks(placements []placement) int {
	seen := map[int]bool{}
	for _, s := range placements {
		seen[r.rackOf[s.node]] = true
	}
	return len(seen)
}

// slotCounts is how many tasks of a group fit, in total and by rack.
type slotCounts struct {
	total  int
	byRack []int
}

// countSlots sums up slots, the number of tasks of group g that fit on a node, over all
// nodes.
func (p *planner) countSlots(g int, slots func(g, node int) int) *slotCounts {
	r := &slotCounts{byRack: make([]int, len(p.racks.nodesOf))}
	for n := range p.nodes {
		r.add(p.racks.rackOf[n], slots(g, n))
	}
	return r
}

func (r *slotCounts) add(rack, count int) {
	r.total += count
	r.byRack[rack] += count
}

// inRack returns how many tasks fit in the named rack.
func (r *slotCounts) inRack(racks *racks, name string) int {
	if at, ok := racks.indexByName[name]; ok {
		return r.byRack[at]
	}
	return 0
}

// mostInRack returns how many tasks fit in the rack in which most fit.
func (r *slotCounts) mostInRack() int {
	most := 0
	for _, count := range r.byRack {
		most = max(most, count)
	}
	return most
}
