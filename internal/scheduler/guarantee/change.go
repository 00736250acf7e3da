package guarantee

import (
	"slices"

	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Change is a placement of a job that is checked against the guarantees.
type Change struct {
	Account     int
	Shape       structs.Shape
	Cells       []packing.Cell
	Reclaimable bool
	// Pending is set if the job starts only when its victims have stopped.
	Pending bool
}

// maxRepacks bounds the packings computed in one decision. Once it is reached, only
// placements that need no new packing are allowed.
const maxRepacks = 24

// Place reports as ok whether the unused guaranteed units still pack after the change,
// apart from units that had no place before, and if so records the change. inside
// reports whether the change uses a guaranteed unit of its account.
func (l *Ledger) Place(c *Change) (inside, ok bool) {
	if len(l.shapes) == 0 {
		return false, true
	}
	if u := l.findShape(c.Account, c.Shape, hasUnusedUnit); u >= 0 {
		l.buildProblem()
		if !l.placeOnUnit(c, u) {
			return true, false
		}
		if c.Pending {
			l.shapes[u].pending++
		}
		return true, true
	}
	gang := *c
	// The next decision may match this gang to a unit that another gang or a
	// pending job uses now. The gang would then not be reclaimable, so no block may
	// overlap it.
	if l.findShape(c.Account, c.Shape, hasPendingUnit) >= 0 || !c.Reclaimable && l.findShape(c.Account, c.Shape, hasAnyUnit) >= 0 {
		gang.Account, gang.Reclaimable = -1, false
	}
	if !gang.Reclaimable {
		l.buildProblem()
		return false, l.placeNonReclaimable(&gang)
	}
	// Free accelerators become reclaimable ones, so the blocks stay valid.
	if c.Pending {
		return false, true // nothing changes until the victims have stopped
	}
	if l.built {
		l.recordGang(c, true)
	} else {
		l.placedBeforeBuild = append(l.placedBeforeBuild, *c)
	}
	return false, true
}

// recordGang updates the sites with the gang of the change.
func (l *Ledger) recordGang(c *Change, reclaimable bool) {
	l.takeCells(c)
	l.addCells(c.Account, c.Cells, c.Shape, reclaimable, false)
}

// takeCells removes the capacity of the change from the sites.
func (l *Ledger) takeCells(c *Change) { subtractCells(l.problem.Sites, c) }

// subtractCells removes the capacity of the change from sites.
func subtractCells(sites []Site, c *Change) {
	for _, cell := range c.Cells {
		s := &sites[cell.Node]
		s.Avail &^= cell.Mask
		s.Reclaimable &^= cell.Mask
		s.Cores -= c.Shape.CoresMilli
		s.Memory -= c.Shape.MemoryMB
		s.Slots--
	}
}

// TryReleaseUnit reports whether the running gang may be moved. If the gang uses a
// guaranteed unit, the unit must pack elsewhere, and then counts as unused.
func (l *Ledger) TryReleaseUnit(gang int) bool {
	if l.Uses == nil || l.Uses[gang] != Inside {
		return true
	}
	r := &l.snap.Running[gang]
	i := l.findShape(l.accountOf(r.Account), r.Shape, hasAnyUnit)
	if i < 0 {
		return false
	}
	l.buildProblem()
	if !l.tryRepack(l.unplacedUnits, func() { l.units = append(l.units, l.shapes[i].Unit) }) {
		return false
	}
	l.shapes[i].unused++
	return true
}

// placeOnUnit records the change as the use of a unit of shapes[u]. It reports false
// if the other units would no longer pack.
func (l *Ledger) placeOnUnit(c *Change, u int) bool {
	want := l.shapes[u].Unit
	first := -1
	for i := range l.units {
		if l.units[i] != want {
			continue
		}
		if first < 0 {
			first = i
		}
		if !l.avoidsBlocks(c, i) {
			continue
		}
		l.shapes[u].unused--
		l.takeCells(c)
		residualUpdated := l.releaseBlock(i)
		l.removeUnit(i)
		if residualUpdated {
			subtractCells(l.residual, c)
		} else {
			l.updateResidual()
		}
		return true
	}
	limit := l.unplacedUnits
	if l.blocks[first].Cells == nil {
		limit-- // the unit itself was unplaced; no other unit may become so
	}
	if !l.tryRepack(limit, func() { l.takeCells(c); l.removeUnit(first) }) {
		return false
	}
	l.shapes[u].unused--
	return true
}

// releaseBlock adds block i back to the residual. It reports false, without a change,
// if non-reclaimable gangs of the account share resources with the block: the
// residual must then be recomputed.
func (l *Ledger) releaseBlock(i int) bool {
	b := &l.blocks[i]
	for _, cell := range b.Cells {
		if l.ownNonReclaimableUnder(b.Account, cell) {
			return false
		}
	}
	for _, cell := range b.Cells {
		r := &l.residual[cell.Node]
		r.Taken &^= cell.Mask
		r.Cores += b.Shape.CoresMilli
		r.Memory += b.Shape.MemoryMB
		r.Slots++
	}
	if b.Cells == nil {
		l.unplacedUnits--
	}
	return true
}

// placeNonReclaimable records the change as a gang that cannot be reclaimed. It reports
// false if the unused units would no longer pack.
func (l *Ledger) placeNonReclaimable(c *Change) bool {
	if l.unplacedUnits == 0 && l.avoidsBlocks(c, -1) || (l.unplacedUnits == 0 || l.searchComplete) && l.withinOwnBlocks(c) {
		l.recordGang(c, false)
		l.updateResidual()
		return true
	}
	if l.unplacedUnits > 0 && !l.searchComplete {
		return false
	}
	return l.tryRepack(l.unplacedUnits, func() { l.recordGang(c, false) })
}

// tryRepack calls apply and packs the unused units again. If more than limit units are then
// unplaced, or one for which there was a place before, it undoes the change and reports false.
func (l *Ledger) tryRepack(limit int, apply func()) bool {
	if l.Repacks >= maxRepacks {
		return false
	}
	unplaced := l.unplacedByUnit()
	units, blocks, searchComplete := slices.Clone(l.units), l.blocks, l.searchComplete
	sites := slices.Clone(l.problem.Sites)
	ownGangs := make([][]OwnGang, len(l.problem.OwnGangs))
	copy(ownGangs, l.problem.OwnGangs)
	apply()
	l.repack()
	if l.unplacedUnits <= limit && !l.lostPlaces(unplaced) {
		return true
	}
	l.units, l.blocks, l.searchComplete = units, blocks, searchComplete
	copy(l.problem.Sites, sites)
	copy(l.problem.OwnGangs, ownGangs)
	l.problem.loadedAccount = -1
	l.updateResidual()
	return false
}

// unplacedByUnit counts the unused units that have no place.
func (l *Ledger) unplacedByUnit() map[Unit]int {
	count := map[Unit]int{}
	for i := range l.blocks {
		if l.blocks[i].Cells == nil {
			count[l.blocks[i].Unit]++
		}
	}
	return count
}

// lostPlaces reports whether more of any unit have no place than before.
func (l *Ledger) lostPlaces(before map[Unit]int) bool {
	for u, n := range l.unplacedByUnit() {
		if n > before[u] {
			return true
		}
	}
	return false
}

// removeUnit removes unused unit i and its block.
func (l *Ledger) removeUnit(i int) {
	l.units = slices.Delete(l.units, i, i+1)
	l.blocks = slices.Delete(slices.Clone(l.blocks), i, i+1)
}

// avoidsBlocks reports whether the change takes no capacity of any block, except that
// of unit own (-1 for none).
func (l *Ledger) avoidsBlocks(c *Change, own int) bool {
	for _, cell := range c.Cells {
		r := &l.residual[cell.Node]
		avail, cores, memory, slots := r.Avail&^r.Taken, r.Cores, r.Memory, r.Slots
		if own >= 0 {
			b := &l.blocks[own]
			for _, d := range b.Cells {
				if d.Node == cell.Node {
					avail |= d.Mask & r.Avail
					cores += b.Shape.CoresMilli
					memory += b.Shape.MemoryMB
					slots++
				}
			}
		}
		if cell.Mask&^avail != 0 || cores < c.Shape.CoresMilli || memory < c.Shape.MemoryMB || slots < 1 {
			return false
		}
	}
	return true
}

// withinOwnBlocks reports whether each cell of the change lies in a block of its own
// account that has the cores, memory and a slot for it.
func (l *Ledger) withinOwnBlocks(c *Change) bool {
	if c.Account < 0 {
		return false
	}
	for _, cell := range c.Cells {
		found := false
		for i := range l.blocks {
			b := &l.blocks[i]
			if b.Account != c.Account || c.Shape.CoresMilli > b.Shape.CoresMilli || c.Shape.MemoryMB > b.Shape.MemoryMB {
				continue
			}
			for _, d := range b.Cells {
				if d.Node == cell.Node && cell.Mask != 0 && cell.Mask&^d.Mask == 0 && !l.ownNonReclaimableUnder(c.Account, d) {
					found = true
				}
			}
		}
		if !found {
			return false
		}
	}
	return true
}

// ownNonReclaimableUnder reports whether a non-reclaimable gang of the account already
// overlaps the cell. A second one needs a full packing, because both share the
// cores, memory and slots of the block.
func (l *Ledger) ownNonReclaimableUnder(account int, d packing.Cell) bool {
	for _, o := range l.problem.OwnGangs[account] {
		if o.NonReclaimable && o.Node == d.Node && o.Mask&d.Mask != 0 {
			return true
		}
	}
	return false
}
