// Package scheduler decides which waiting gang jobs start on which accelerators.
// Scheduling is a pure function: it reads a snapshot of the domain and returns a
// plan, without side effects. Package workflowscheduler does the same for the tasks
// of workflows.
//
// A job runs as a gang: a number of members that start together, each on a worker of
// its own. Its shape says how many workers it needs, what it needs on each of them and
// how near to each other they must be. In the planner, a node is a worker with its
// free capacity, and a cell is a set of accelerators on one node, which one member
// uses.
//
// The guarantee of an account consists of units, each of one guaranteed shape. A job
// claims an unused unit of its account if it can run in the unit's shape. A block is
// the set of cells that is kept for an unused unit. Gangs beyond the guarantee of
// their account borrow their accelerators. A claim may reclaim borrowed accelerators by
// preempting the borrowers.
//
// A reservation keeps cells for one waiting job until it can start. A hold is the
// capacity that reservations keep on one node.
package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler/guarantee"
	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/scheduler/preemption"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Options select variants of the policy for benchmarks. The zero value is the
// production policy.
type Options struct {
	// Strategy chooses among the placements that can hold a shape.
	Strategy packing.Strategy
}

// Schedule returns the plan for the snapshot.
func Schedule(s *structs.Snapshot) *structs.Plan { return ScheduleWith(Options{}, s) }

// ScheduleWith returns the plan for the snapshot under the options.
func ScheduleWith(o Options, s *structs.Snapshot) *structs.Plan {
	p := newPlanner(o, s)
	if len(s.Waiting) == 0 {
		return p.plan
	}
	p.buildQueue()
	p.resumePreempting()
	p.keepReservations()
	p.placeJobs()
	p.probeWorkers()
	p.reserveUnplaced()
	return p.plan
}

// account is the state of a client account during one scheduling decision.
// guaranteed and used count accelerators.
type account struct {
	guaranteed, used int
	weight           float64
	// shareExcess is the account's relative excess over its weighted fair share;
	// see updateShares.
	shareExcess float64
}

// planner holds the state of one scheduling decision.
type planner struct {
	opts     Options
	snap     *structs.Snapshot
	state    *packing.State
	chooser  packing.Chooser
	ledger   *guarantee.Ledger
	accounts []account
	plan     *structs.Plan
	// completionWeight is the weight of completion time relative to the sum of the
	// weights of completion time and fragmentation, 0 to 1.
	completionWeight float64

	gangAccount []int32          // account index by running gang; -1 if unknown
	gangCells   [][]packing.Cell // by running gang; filled by cells
	workerIndex map[string]int32 // node index by worker ID
	// stopping marks the running gangs that are already stopping or that this plan
	// stops.
	stopping []bool

	jobClasses []jobClass
	// holds is the capacity of all reservations, by node; preemptHolds is that of
	// the reservations for which victims are being stopped.
	holds, preemptHolds []packing.Hold
	reservations        []reservation
	reclaimFinder       *preemption.Finder // victims are the gangs that a reclaim may stop
	urgentFinder        *preemption.Finder // victims are the gangs that an urgent job may preempt
	gangsByNode         [][]int32          // see gangsOn
	nodeIndexes         []int32            // see allNodeIndexes
	gangEnds            []gangEnd          // scratch buffer of earliestOnNode
	inOwnBlocks         []bool             // by running gang; see gangsInOwnBlocks
	unplaced            []unplacedJob
	reclaimCount        int // reclaims and preemptions for urgent jobs that this plan begins; at most maxReclaims
	// defragmented is set once the plan moves gangs to free a block for a large job;
	// a plan does so for at most one job.
	defragmented bool
}

// reservation is capacity reserved for a waiting job.
type reservation struct {
	jobIndex int
	cells    []packing.Cell
	start    time.Duration
	// preempting is set if victims are being stopped for the job.
	preempting bool
}

func newPlanner(o Options, s *structs.Snapshot) *planner {
	p := &planner{opts: o, snap: s, plan: &structs.Plan{WaitReasons: map[string]structs.WaitReason{}}}
	p.state = packing.NewState(s.Workers)
	if sum := s.Weights.Completion + s.Weights.Fragmentation; sum > 0 {
		p.completionWeight = s.Weights.Completion / sum
	} else {
		p.completionWeight = 0.5
	}
	p.accounts = make([]account, len(s.Accounts))
	for i := range s.Accounts {
		a := &s.Accounts[i]
		p.accounts[i].weight = a.Weight
		if a.Weight <= 0 {
			p.accounts[i].weight = 1
		}
		for j := range a.Guarantee {
			g := &a.Guarantee[j]
			if guarantee.DomainOf(a, g) == s.Domain {
				p.accounts[i].guaranteed += g.Shape.Total() * max(1, g.Count)
			}
		}
	}
	p.indexGangs()
	p.ledger = guarantee.NewLedger(s, p.state, func(g int) int { return int(p.gangAccount[g]) }, p.cells)
	p.chooser = packing.Chooser{Strategy: o.Strategy, Mix: p.expectedShapes()}
	for g := range s.Running {
		if s.Running[g].Checkpointable {
			p.state.SetMovable(p.cells(g))
		}
	}
	p.state.SetExpectedShapes(p.chooser.Mix)
	return p
}

// indexGangs records the account of each running gang and sums the accelerators
// that each account uses.
func (p *planner) indexGangs() {
	p.gangAccount = make([]int32, len(p.snap.Running))
	p.stopping = make([]bool, len(p.snap.Running))
	for g := range p.snap.Running {
		r := &p.snap.Running[g]
		a := p.accountIndex(r.Account)
		p.gangAccount[g] = int32(a)
		p.stopping[g] = r.Stopping
		if a >= 0 {
			p.accounts[a].used += r.Shape.Total()
		}
	}
}

// accountIndex returns the index of the account, or -1.
func (p *planner) accountIndex(name string) int {
	i, ok := slices.BinarySearchFunc(p.snap.Accounts, name, func(a structs.Account, n string) int {
		return strings.Compare(a.Name, n)
	})
	if !ok {
		return -1
	}
	return i
}

// cells returns the cells of a running gang, one for each member.
func (p *planner) cells(g int) []packing.Cell {
	if p.gangCells == nil {
		p.gangCells = make([][]packing.Cell, len(p.snap.Running))
	}
	if p.gangCells[g] == nil {
		p.gangCells[g] = p.toCells(p.snap.Running[g].Members)
	}
	return p.gangCells[g]
}

// toCells converts members to cells and leaves out members on unknown workers.
func (p *planner) toCells(members []structs.MemberPlacement) []packing.Cell {
	if p.workerIndex == nil {
		p.workerIndex = make(map[string]int32, len(p.snap.Workers))
		for i := range p.snap.Workers {
			p.workerIndex[p.snap.Workers[i].ID] = int32(i)
		}
	}
	cells := make([]packing.Cell, 0, len(members))
	for _, m := range members {
		if i, ok := p.workerIndex[m.Worker]; ok {
			cells = append(cells, packing.Cell{Node: int(i), Mask: m.Accelerators})
		}
	}
	return cells
}

// members converts cells to members.
func (p *planner) members(cells []packing.Cell) []structs.MemberPlacement {
	out := make([]structs.MemberPlacement, len(cells))
	for i, c := range cells {
		out[i] = structs.MemberPlacement{Worker: p.state.Nodes[c.Node].ID, Accelerators: c.Mask}
	}
	return out
}

// expectedShapes returns the shapes that future jobs are expected to have: those of
// unused guaranteed units, of running gangs and, with a tenth of the weight, of the
// declared kinds. The weights are proportional to the accelerators of the shape.
func (p *planner) expectedShapes() packing.ExpectedShapes {
	var all []packing.ExpectedShape
	add := func(s structs.Shape, weight float64) {
		all = append(all, packing.ExpectedShape{
			Workers: s.Workers, Accelerators: s.Accelerators, Adjacency: s.Adjacency, Weight: weight * float64(s.Total()),
		})
	}
	p.ledger.EachUnused(func(u guarantee.Unit, count int) { add(u.Shape, float64(count)) })
	for i := range p.snap.Kinds {
		add(p.snap.Kinds[i].Shape, 0.1)
	}
	for i := range p.snap.Running {
		add(p.snap.Running[i].Shape, 1)
	}
	return packing.NewExpectedShapes(all)
}

// kind returns the kind with the name, or nil.
func (p *planner) kind(name string) *structs.Kind {
	i, ok := slices.BinarySearchFunc(p.snap.Kinds, name, func(k structs.Kind, n string) int {
		return strings.Compare(k.Name, n)
	})
	if ok {
		return &p.snap.Kinds[i]
	}
	for i := range p.snap.Kinds {
		if p.snap.Kinds[i].Name == name {
			return &p.snap.Kinds[i]
		}
	}
	return nil
}
