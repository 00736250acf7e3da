package guarantee

import (
	"testing"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// threeNodes returns a problem with three nodes of 8 accelerators in one rack. The lowest one of the
// first node is used by a non-reclaimable gang of account 1, that of the second node by one of
// account 2, and the highest one of the third node by another.
func threeNodes() *Problem {
	p := &Problem{Racks: [][]int32{{0, 1, 2}}, Zones: [][]int32{{0, 1, 2}}, OwnGangs: make([][]OwnGang, 3)}
	for n := range 3 {
		site := Site{Avail: 0xff, Cores: 64000, Memory: 1 << 18, Slots: 8}
		if n < 2 {
			site.Avail &^= 1
			p.OwnGangs[n+1] = []OwnGang{{Node: n, Mask: 1, NonReclaimable: true, Slots: 1}}
		} else {
			site.Avail &^= 1 << 7
		}
		p.Sites = append(p.Sites, site)
	}
	return p
}

// TestSearchTriesNodesWithOtherGangs guards against a packing that is not found because two nodes
// count as interchangeable on which different accounts have gangs.
func TestSearchTriesNodesWithOtherGangs(t *testing.T) {
	units := []Unit{
		{Account: 0, Shape: structs.Shape{Workers: 2, Accelerators: 7, Adjacency: structs.AdjacentRack}},
		{Account: 1, Shape: structs.Shape{Workers: 1, Accelerators: 8, Adjacency: structs.AdjacentWorker}},
	}
	if blocks, left := threeNodes().search(units, placementOrder(units), admitSearchSteps); blocks == nil {
		t.Errorf("no packing is found, %d steps are left; want the first unit on nodes 1 and 2", left)
	}
}
