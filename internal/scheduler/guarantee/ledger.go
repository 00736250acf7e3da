package guarantee

import (
	"cmp"
	"slices"

	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Use is the relation of a running gang to its account's guarantee.
type Use uint8

// The uses.
const (
	// Outside means that the gang uses no unit. It borrows, unless a block of its
	// own account overlaps it.
	Outside Use = iota
	// Inside means that the gang has the shape of a unit of its account and uses it.
	Inside
)

// Ledger is the state of the guarantees during one scheduling decision. A guaranteed
// unit is in use if a gang of its account runs with its shape. For each unused unit
// the ledger keeps a block of accelerators, each of which is free, used by a
// reclaimable gang outside its own guarantee, or used by a gang of the unit's own
// account. The blocks are disjoint.
type Ledger struct {
	// Uses has the use of each running gang of the snapshot; nil if the domain has no
	// guarantees.
	Uses []Use
	// Repacks counts the packings computed after the initial one.
	Repacks int

	snap  *structs.Snapshot
	state *packing.State
	cells func(gang int) []packing.Cell
	// shapes lists the guaranteed shapes, sorted by account.
	shapes []shapeCount
	// placedBeforeBuild lists the reclaimable placements recorded before buildProblem.
	placedBeforeBuild []Change

	built   bool // buildProblem has run
	problem *Problem
	units   []Unit  // the unused units
	blocks  []Block // by unit
	// residual is the capacity of the sites without the blocks.
	residual      []Site
	unplacedUnits int // units whose block has no cells
	// searchComplete is set if the last search finished within its budget: if units
	// are unplaced, no packing of all units exists.
	searchComplete bool
}

// shapeCount counts the units of one guaranteed shape of an account.
type shapeCount struct {
	Unit
	unused int
	// pending counts the units used by jobs whose victims are still stopping.
	pending int
}

// NewLedger returns a ledger with the running gangs matched to guaranteed units.
// account returns the index of a gang's account, cells the cells of the gang.
func NewLedger(snap *structs.Snapshot, state *packing.State, account func(gang int) int, cells func(gang int) []packing.Cell) *Ledger {
	l := &Ledger{snap: snap, state: state, cells: cells}
	l.addShapes()
	if len(l.shapes) == 0 {
		return l
	}
	l.Uses = make([]Use, len(snap.Running))
	var candidates []int
	for g := range snap.Running {
		if r := &snap.Running[g]; !r.Stopping && l.findShape(account(g), r.Shape, hasAnyUnit) >= 0 {
			candidates = append(candidates, g)
		}
	}
	// Match non-reclaimable gangs first, because the others can be stopped.
	slices.SortFunc(candidates, func(a, b int) int {
		ra, rb := &snap.Running[a], &snap.Running[b]
		return cmp.Or(boolToInt(ra.Reclaimable())-boolToInt(rb.Reclaimable()), cmp.Compare(ra.Started, rb.Started), a-b)
	})
	for _, g := range candidates {
		if i := l.findShape(account(g), snap.Running[g].Shape, hasUnusedUnit); i >= 0 {
			l.Uses[g] = Inside
			l.shapes[i].unused--
		}
	}
	return l
}

// addShapes counts the units by account and shape that are guaranteed in the domain.
func (l *Ledger) addShapes() {
	for a := range l.snap.Accounts {
		acct := &l.snap.Accounts[a]
		for i := range acct.Guarantee {
			g := &acct.Guarantee[i]
			if DomainOf(acct, g) != l.snap.Domain {
				continue
			}
			u := Unit{Account: a, Shape: g.Shape}
			at := slices.IndexFunc(l.shapes, func(s shapeCount) bool { return s.Unit == u })
			if at < 0 {
				at = len(l.shapes)
				l.shapes = append(l.shapes, shapeCount{Unit: u})
			}
			l.shapes[at].unused += max(1, g.Count)
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func hasAnyUnit(*shapeCount) bool       { return true }
func hasUnusedUnit(g *shapeCount) bool  { return g.unused > 0 }
func hasPendingUnit(g *shapeCount) bool { return g.pending > 0 }

// findShape returns the index of a guaranteed shape of the account that a job of the
// shape can use and that satisfies match, or -1.
func (l *Ledger) findShape(account int, shape structs.Shape, match func(*shapeCount) bool) int {
	from, _ := slices.BinarySearchFunc(l.shapes, account, func(g shapeCount, a int) int { return cmp.Compare(g.Account, a) })
	for i := from; i < len(l.shapes) && l.shapes[i].Account == account; i++ {
		if g := &l.shapes[i]; match(g) && JobFitsUnit(g.Shape, shape) {
			return i
		}
	}
	return -1
}

// Empty reports whether the domain has no guarantees.
func (l *Ledger) Empty() bool { return len(l.shapes) == 0 }

// EachUnused calls f with each guaranteed shape that has unused units and their count.
func (l *Ledger) EachUnused(f func(u Unit, count int)) {
	for i := range l.shapes {
		if g := &l.shapes[i]; g.unused > 0 {
			f(g.Unit, g.unused)
		}
	}
}

// JobFitsUnit reports whether a job of shape job can use a guaranteed unit of shape
// unit: the workers and accelerators are equal, the unit's adjacency implies that of
// the job, and the job needs no more cores and memory than the unit. Zero cores or
// memory of the unit mean no limit.
func JobFitsUnit(unit, job structs.Shape) bool {
	return unit.Workers == job.Workers && unit.Accelerators == job.Accelerators &&
		(unit.Adjacency == job.Adjacency || impliedBy(job.Adjacency, unit.Adjacency)) &&
		(unit.CoresMilli == 0 || job.CoresMilli <= unit.CoresMilli) && (unit.MemoryMB == 0 || job.MemoryMB <= unit.MemoryMB)
}

// impliedBy reports whether every place with adjacency b also has adjacency a.
func impliedBy(a, b structs.Adjacency) bool {
	switch b {
	case structs.AdjacentRack:
		return true // all workers of a rack are in one zone
	case structs.AdjacentZone:
		return a != structs.AdjacentRack
	case structs.AdjacentWorker:
		return a == structs.AdjacentWorker || a == structs.AdjacentNone || a == ""
	}
	return a == structs.AdjacentNone || a == ""
}

// HasUnusedUnit reports whether the account has an unused unit for a job of the shape.
func (l *Ledger) HasUnusedUnit(account int, shape structs.Shape) bool {
	return l.findShape(account, shape, hasUnusedUnit) >= 0
}

// Blocks returns the blocks kept for the unused units. A block without cells has no
// place, for example because workers were lost.
func (l *Ledger) Blocks() []Block {
	l.buildProblem()
	return l.blocks
}

// UnplacedUnits returns the number of unused units that have no place.
func (l *Ledger) UnplacedUnits() int {
	l.buildProblem()
	return l.unplacedUnits
}

// repackSearchSteps bounds the search for each further packing of a decision.
const repackSearchSteps = 2000

// initialSearchSteps bounds the search for the first packing of a decision. If a
// packing exists but is not found, claims may make it impossible. With 2,000
// steps, two runs of the benchmark profile alwusta had a rule violation.
const initialSearchSteps = 20_000

// buildProblem computes the sites, fills l.units with the unused units, and computes the
// initial packing, once.
func (l *Ledger) buildProblem() {
	if l.built {
		return
	}
	l.built = true
	st := l.state
	p := &Problem{Sites: make([]Site, len(st.Nodes)), Racks: st.Racks, Zones: st.Zones, OwnGangs: make([][]OwnGang, len(l.snap.Accounts))}
	for i := range st.Nodes {
		n := &st.Nodes[i]
		p.Sites[i] = Site{Rack: n.Rack, Zone: n.Zone}
		if n.State == structs.WorkerReady {
			p.Sites[i] = Site{Rack: n.Rack, Zone: n.Zone, Avail: n.Free, Cores: n.Cores, Memory: n.Memory, Slots: n.Slots}
		}
	}
	l.problem = p
	for g := range l.snap.Running {
		l.addGang(g)
	}
	for i := range l.shapes {
		for range l.shapes[i].unused {
			l.units = append(l.units, l.shapes[i].Unit)
		}
	}
	for i := range l.placedBeforeBuild {
		c := &l.placedBeforeBuild[i]
		l.addCells(c.Account, c.Cells, c.Shape, true, false) // reclaimable and not stopping
	}
	l.pack(initialSearchSteps)
}

// addGang adds a running gang to the sites. Gangs inside their guarantee are left out,
// so no block overlaps them.
func (l *Ledger) addGang(g int) {
	r := &l.snap.Running[g]
	if l.Uses != nil && l.Uses[g] == Inside {
		return
	}
	l.addCells(l.accountOf(r.Account), l.cells(g), r.Shape, r.Stopping || r.Reclaimable(), r.Stopping)
}

func (l *Ledger) accountOf(name string) int {
	i, ok := slices.BinarySearchFunc(l.snap.Accounts, name, func(a structs.Account, n string) int { return cmp.Compare(a.Name, n) })
	if !ok {
		return -1
	}
	return i
}

// addCells adds the cells of a gang to the sites: those of a reclaimable gang as
// available capacity, and those of a gang that is not stopping as an own gang of its
// account.
func (l *Ledger) addCells(account int, cells []packing.Cell, shape structs.Shape, reclaimable, stopping bool) {
	for _, c := range cells {
		if l.state.Nodes[c.Node].State != structs.WorkerReady {
			continue
		}
		s := &l.problem.Sites[c.Node]
		if reclaimable {
			s.Avail |= c.Mask
			s.Cores += shape.CoresMilli
			s.Memory += shape.MemoryMB
			s.Slots++
			if !stopping {
				s.Reclaimable |= c.Mask
			}
		}
		if account >= 0 && !stopping {
			o := OwnGang{Node: c.Node, Mask: c.Mask, NonReclaimable: !reclaimable}
			if !reclaimable {
				o.Cores, o.Memory, o.Slots = shape.CoresMilli, shape.MemoryMB, 1
			}
			l.problem.OwnGangs[account] = append(l.problem.OwnGangs[account], o)
		}
	}
}

// repack packs the unused units again and counts the packing.
func (l *Ledger) repack() {
	l.Repacks++
	l.pack(repackSearchSteps)
}

// pack packs the unused units with at most budget search steps.
func (l *Ledger) pack(budget int) {
	blocks, res := l.problem.Pack(l.units, budget)
	l.blocks, l.searchComplete = blocks, res != BudgetExhausted
	l.updateResidual()
}

// updateResidual computes the residual and the number of unplaced units from the
// blocks.
func (l *Ledger) updateResidual() {
	l.unplacedUnits = 0
	p := l.problem
	before := p.save()
	for i := range l.blocks {
		b := &l.blocks[i]
		if b.Cells == nil {
			l.unplacedUnits++
			continue
		}
		p.loadAccount(b.Account)
		p.takeBlock(b.Cells, b.Shape)
	}
	l.residual = append(l.residual[:0], p.Sites...)
	p.restore(before)
}
