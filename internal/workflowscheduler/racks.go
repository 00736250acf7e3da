package workflowscheduler

import (
	"slices"
	"strings"
)

// racks groups the nodes of a decision by rack.
type racks struct {
	all    []int   // all nodes
	nodes  [][]int // by rack, racks in the order of their first node
	of     []int   // rack of each node
	index  map[string]int
	sorted []int // racks in the order of their names
}

func newRacks(nodes []node) *racks {
	r := &racks{of: make([]int, len(nodes)), index: map[string]int{}}
	var names []string
	for n := range nodes {
		name := nodes[n].Rack
		at, ok := r.index[name]
		if !ok {
			at = len(r.nodes)
			r.index[name] = at
			r.nodes, names, r.sorted = append(r.nodes, nil), append(names, name), append(r.sorted, at)
		}
		r.all, r.of[n] = append(r.all, n), at
		r.nodes[at] = append(r.nodes[at], n)
	}
	slices.SortFunc(r.sorted, func(a, b int) int { return strings.Compare(names[a], names[b]) })
	return r
}

// named returns the nodes of a rack; none if there is no such rack.
func (r *racks) named(rack string) []int {
	if at, ok := r.index[rack]; ok {
		return r.nodes[at]
	}
	return nil
}

// count returns the number of racks of places.
func (r *racks) count(spots []spot) int {
	seen := map[int]bool{}
	for _, s := range spots {
		seen[r.of[s.node]] = true
	}
	return len(seen)
}

// rooms counts how many tasks of a group fit, in all and by rack.
type rooms struct {
	total  int
	byRack []int
}

func (p *planner) countRooms(g int, room func(g, node int) int) *rooms {
	r := &rooms{byRack: make([]int, len(p.racks.nodes))}
	for n := range p.nodes {
		r.add(p.racks.of[n], room(g, n))
	}
	return r
}

func (r *rooms) add(rack, count int) {
	r.total += count
	r.byRack[rack] += count
}

func (r *rooms) inRack(racks *racks, name string) int {
	if at, ok := racks.index[name]; ok {
		return r.byRack[at]
	}
	return 0
}

func (r *rooms) mostInRack() int {
	most := 0
	for _, count := range r.byRack {
		most = max(most, count)
	}
	return most
}
