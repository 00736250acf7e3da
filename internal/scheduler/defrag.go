package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/scheduler/preemption"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// Limits of defragmentation.
const (
	// minRunBeforeMove is the time that a gang runs before it may be moved: a resumed
	// gang needs it to restore its checkpoint. With 2 minutes, gangs that had just
	// started kept blocks fragmented, and fragmentation rose by 10%.
	minRunBeforeMove = 10 * time.Second
	// forcedMoveWaitFactor is the wait, in multiples of the expected run time, after
	// which a job's gain counts in full whatever gangs it displaces. It bounds the
	// wait of the largest job class.
	forcedMoveWaitFactor = 8
	// resumeCostSeconds is the work that each accelerator of a gang loses when the
	// gang resumes from a checkpoint elsewhere, in addition to the cost of stopping
	// it.
	resumeCostSeconds = 10
	// displacedWaitFraction is the expected wait of a displaced gang, as a fraction
	// of the wait that the waiting job saves.
	displacedWaitFraction = 0.25
	// guaranteedCostFactor multiplies the cost of moving gangs inside their
	// guarantee, so that they are moved last.
	guaranteedCostFactor = 4
	// maxShortRunTime is the 90th percentile of run times up to which a gang without
	// a checkpoint may be stopped for a larger job; the gang then starts over. With
	// 5 minutes, the renders of some accounts, which take 2 minutes, did not
	// qualify.
	maxShortRunTime = 10 * time.Minute
)

// defragment frees a block for the waiting job by moving smaller gangs if the gain
// exceeds the lost work, and reports whether it did. start is when the job could
// start without a move.
func (p *planner) defragment(c *jobClass, i int, start time.Duration) bool {
	j := &p.snap.Waiting[i]
	wait := p.snap.Now - j.Submitted
	delay := (start - p.snap.Now - expectedStopTime).Seconds()
	if p.defragmented || j.Preempting || delay <= 0 {
		return false
	}
	finder := preemption.NewFinder(p.state, p.movableGangs(j))
	req := p.request(c, j)
	req.Holds = p.holds
	place := finder.Find(&req, nil)
	if place == nil || len(place.Victims) == 0 {
		return false
	}
	cost := p.costOfMove(finder, place)
	gain := delay * float64(j.Shape.Total())
	if wait < forcedMoveWaitFactor*expectedRunTime(j) {
		gain *= p.gainFraction(cost, j.Shape.Total())
	}
	if gain < cost.lostWork {
		return false
	}
	for _, v := range place.Victims {
		if g := finder.Victims[v].Gang; !p.stopping[g] && !p.ledger.TryReleaseUnit(g) {
			return false
		}
	}
	if !p.guaranteesAllow(c, j, place) {
		return false
	}
	p.defragmented = true
	p.accounts[c.account].used += j.Shape.Total()
	p.preempt(finder, i, place, structs.PreemptDefragment)
	return true
}

// movableGangs returns the gangs that may be moved for the job, and those that are
// already stopping. Only smaller gangs are moved, so two jobs never displace each
// other in turn.
func (p *planner) movableGangs(j *structs.WaitingJob) []preemption.Victim {
	var out []preemption.Victim
	for g := range p.snap.Running {
		r := &p.snap.Running[g]
		if !r.Stopping && !p.movableFor(g, j) {
			continue
		}
		v := preemption.Victim{Gang: g, Cells: p.cells(g), Shape: r.Shape}
		if !r.Stopping {
			v.Cost = preemption.LostWork(r, p.snap.Now)
			if p.insideGuarantee(g) {
				v.Cost *= guaranteedCostFactor
			}
		}
		out = append(out, v)
	}
	return out
}

// movableFor reports whether gang g may be moved for the job: it must be smaller,
// and either have a checkpoint or be a straggler.
func (p *planner) movableFor(g int, j *structs.WaitingJob) bool {
	r := &p.snap.Running[g]
	return !p.stopping[g] && r.Shape.Total() < j.Shape.Total() && p.snap.Now-r.Started > minRunBeforeMove &&
		(r.Checkpointable || p.isStraggler(r))
}

// isStraggler reports whether the gang is one of the last of a short, idempotent
// kind of work. While more jobs of the kind wait, stopping one gang does not free
// its accelerators, because the next job takes them.
func (p *planner) isStraggler(r *structs.RunningGang) bool {
	return r.Idempotent && r.Urgency != structs.Urgent && max(r.RunTimeP50, r.RunTimeP90) <= maxShortRunTime &&
		!slices.ContainsFunc(p.jobClasses, func(c jobClass) bool { return c.example.Kind == r.Kind && len(c.jobs) > 0 })
}

// moveCost is the cost of a move: the lost work in accelerator seconds, and the
// displaced gangs that find no other place at once. gangs counts the checkpointable
// ones, and accelerators is the number of accelerators of all of them. The gangs that
// relocateGuaranteed displaces in turn count in both, checkpointable or not.
type moveCost struct {
	lostWork            float64
	gangs, accelerators int
}

// gainFraction returns the fraction of a job's gain that remains after the wait of the
// gangs it displaces. For fragmentation, the additional accelerators in use
// count; for completion time, the number of displaced gangs.
func (p *planner) gainFraction(cost moveCost, total int) float64 {
	used := 1 - float64(cost.accelerators)/float64(total)
	return (1-p.completionWeight)*used + p.completionWeight*(1-displacedWaitFraction*float64(cost.gangs))
}

// costOfMove returns the cost of moving the victims of the place.
func (p *planner) costOfMove(f *preemption.Finder, place *preemption.Place) moveCost {
	st := p.state.Clone()
	for _, c := range place.Cells {
		// The victims cannot use the cells that the job takes.
		st.Nodes[c.Node].Free &^= c.Mask
		st.Nodes[c.Node].Slots--
	}
	cost := moveCost{lostWork: place.Cost}
	var guaranteedVictims []int
	for _, v := range place.Victims {
		r := &p.snap.Running[f.Victims[v].Gang]
		if r.Stopping {
			continue
		}
		if r.Checkpointable {
			cost.lostWork += resumeCostSeconds * float64(r.Shape.Total())
		}
		req := moveRequest(r, p.kind(r.Kind))
		req.Holds = p.holds
		if cells := p.chooser.Find(st, &req); cells != nil {
			st.Take(cells, r.Shape)
			continue
		}
		if p.insideGuarantee(f.Victims[v].Gang) {
			guaranteedVictims = append(guaranteedVictims, v)
			continue
		}
		if r.Checkpointable {
			cost.gangs++ // gangs without a checkpoint are short and start over soon
		}
		cost.accelerators += r.Shape.Total()
	}
	if len(guaranteedVictims) > 0 {
		p.relocateGuaranteed(f, st, place, guaranteedVictims, &cost)
	}
	return cost
}

// relocateGuaranteed adds to cost that of the borrowers that the moved gangs inside
// their guarantee (given as victim indexes) would preempt in turn to run elsewhere.
// The lost work is infinite if one of them has no other place.
func (p *planner) relocateGuaranteed(f *preemption.Finder, st *packing.State, place *preemption.Place, guaranteedVictims []int, cost *moveCost) {
	var borrowers []preemption.Victim
	for v := range f.Victims {
		if g := f.Victims[v].Gang; !slices.Contains(place.Victims, v) && !p.stopping[g] && !p.insideGuarantee(g) {
			borrowers = append(borrowers, f.Victims[v])
		}
	}
	relocationFinder := preemption.NewFinder(st, borrowers)
	for _, v := range guaranteedVictims {
		r := &p.snap.Running[f.Victims[v].Gang]
		req := moveRequest(r, p.kind(r.Kind))
		req.Holds = p.holds
		newPlace := relocationFinder.Find(&req, nil)
		if newPlace == nil {
			cost.lostWork = math.Inf(1)
			return
		}
		for _, w := range newPlace.Victims {
			victim := &relocationFinder.Victims[w]
			cost.lostWork += victim.Cost
			if victim.Cells == nil {
				continue
			}
			cost.gangs++
			cost.accelerators += victim.Shape.Total()
			st.Release(victim.Cells, victim.Shape)
			victim.Cost, victim.Cells = 0, nil
		}
		st.Take(newPlace.Cells, r.Shape)
	}
}
