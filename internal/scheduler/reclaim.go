package scheduler

import (
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler/guarantee"
	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/scheduler/preemption"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// expectedStopTime is the expected time until the victims of a preemption have
// stopped. Victims that still run after it are stopped by force.
const expectedStopTime = 3 * time.Second

// maxReclaims bounds the reclaims begun in one decision; the next decision follows
// within a second.
const maxReclaims = 64

// urgentPreemptWaitFactor is the wait, in multiples of the expected run time, after
// which an urgent job preempts borrowers. On the alwusta benchmark deployment, a
// factor of 1 raised fragmentation from 0.651 to 0.686, and a factor of 8 raised
// the 95th percentile of completion times under the burst load from 472 s to 615 s.
const urgentPreemptWaitFactor = 4

// resumePreempting places the jobs with a reservation from the last plan whose reserved
// cells are free, and renews the reservations of those whose victims are still stopping.
// It skips jobs over quota, reservations with cells on unknown workers, and jobs that
// would take capacity that a guarantee needs. It leaves other jobs to keepReservations.
func (p *planner) resumePreempting() {
	for k := range p.jobClasses {
		c := &p.jobClasses[k]
		j := c.example
		if j.Reserved == nil || len(c.jobs) == 0 {
			continue
		}
		cells := p.toCells(j.Reserved.Members)
		if len(cells) != j.Shape.Workers || !p.withinQuota(c.account, j.Shape) {
			continue
		}
		// All victims may have stopped since the last plan, so no stopping gang is
		// required on the cells.
		free := p.cellsFree(j, cells)
		if !free && !(j.Preempting && p.freeAfterStops(j, cells)) {
			continue
		}
		change := p.change(c.account, j, cells)
		change.Pending = !free
		inside, ok := p.ledger.Place(change)
		if !ok {
			continue
		}
		i := int(c.jobs[0].job)
		c.removeFromQueue()
		if free {
			p.addPlacement(c.account, j, cells, inside)
			continue
		}
		p.accounts[c.account].used += j.Shape.Total()
		p.addReservation(i, cells, j.Reserved.Start, true)
		p.plan.WaitReasons[j.ID] = structs.WaitReclaim
	}
}

// cellsFree reports whether the job can start on the cells now, without capacity
// that other reservations hold.
func (p *planner) cellsFree(j *structs.WaitingJob, cells []packing.Cell) bool {
	for _, c := range cells {
		n := &p.state.Nodes[c.Node]
		var h packing.Hold
		if p.holds != nil {
			h = p.holds[c.Node]
		}
		if n.State != structs.WorkerReady || (n.Free&^h.Mask)&c.Mask != c.Mask ||
			n.Cores-h.Cores < j.Shape.CoresMilli || n.Memory-h.Memory < j.Shape.MemoryMB || n.Slots-h.Slots < 1 {
			return false
		}
	}
	return true
}

// freeAfterStops reports whether the accelerators of the cells are free or used only
// by stopping gangs, and not reserved otherwise.
func (p *planner) freeAfterStops(j *structs.WaitingJob, cells []packing.Cell) bool {
	for _, c := range cells {
		n := &p.state.Nodes[c.Node]
		avail := n.Free
		for _, g := range p.gangsOn(c.Node) {
			if p.stopping[g] {
				avail |= p.gangMask(int(g), c.Node)
			}
		}
		if p.holds != nil {
			avail &^= p.holds[c.Node].Mask
		}
		if n.State != structs.WorkerReady || avail&c.Mask != c.Mask || slices.Contains(j.Avoid, n.ID) {
			return false
		}
	}
	return true
}

// reclaim preempts gangs for a job that claims a unit of its account's guarantee, or
// for an urgent job that fits into the unused part of that guarantee, on
// accelerators outside the holds. Other urgent jobs may preempt borrowers; see
// preemptForUrgent. It reports whether a preemption has begun.
func (p *planner) reclaim(c *jobClass, i int, holds []packing.Hold) bool {
	j := &p.snap.Waiting[i]
	claims := p.ledger.HasUnusedUnit(c.account, j.Shape)
	if p.reclaimCount >= maxReclaims {
		return false
	}
	if !claims && !p.claimsPartOfUnit(c, j) {
		return p.preemptForUrgent(c, i, holds)
	}
	if p.reclaimFinder == nil {
		p.reclaimFinder = preemption.NewFinder(p.state, p.reclaimVictims())
	}
	req := p.request(c, j)
	req.Holds = holds
	var place *preemption.Place
	if claims {
		place = p.reclaimFinder.Find(&req, nil)
	}
	if place == nil || !p.guaranteesAllow(c, j, place) {
		if place = p.reclaimFinder.Find(&req, p.ownBlockMasks(c.account, j.Shape, claims)); place == nil || !p.guaranteesAllow(c, j, place) {
			return false
		}
	}
	p.reclaimCount++
	p.accounts[c.account].used += j.Shape.Total()
	p.preempt(p.reclaimFinder, i, place, structs.PreemptReclaim)
	return true
}

// preemptForUrgent preempts borrowers with a checkpoint for an urgent job that has
// waited long, on capacity that no guarantee needs.
func (p *planner) preemptForUrgent(c *jobClass, i int, holds []packing.Hold) bool {
	j := &p.snap.Waiting[i]
	if j.Urgency != structs.Urgent || p.snap.Now-j.Submitted < urgentPreemptWaitFactor*expectedRunTime(j) {
		return false
	}
	if p.urgentFinder == nil {
		var victims []preemption.Victim
		for _, v := range p.reclaimVictims() {
			if r := &p.snap.Running[v.Gang]; r.Stopping || r.Checkpointable && r.Urgency != structs.Urgent && p.snap.Now-r.Started > minRunBeforeMove {
				victims = append(victims, v)
			}
		}
		p.urgentFinder = preemption.NewFinder(p.state, victims)
	}
	req := p.request(c, j)
	req.Holds = holds
	if !j.Idempotent && !j.Checkpointable {
		req.Holds = p.withOtherBlocks(holds, c.account)
	}
	place := p.urgentFinder.Find(&req, nil)
	if place == nil || len(place.Victims) == 0 || !p.guaranteesAllow(c, j, place) {
		return false
	}
	p.reclaimCount++
	p.accounts[c.account].used += j.Shape.Total()
	p.preempt(p.urgentFinder, i, place, structs.PreemptUrgent)
	return true
}

// guaranteesAllow reports whether the unused guarantees still pack after the job
// takes the place, and if so records the pending placement in the ledger.
func (p *planner) guaranteesAllow(c *jobClass, j *structs.WaitingJob, place *preemption.Place) bool {
	_, ok := p.ledger.Place(p.pendingChange(c.account, j, place.Cells))
	return ok
}

// claimsPartOfUnit reports whether the urgent job may claim a part of a guaranteed
// unit: with the job, the account must not use more than its guarantee.
func (p *planner) claimsPartOfUnit(c *jobClass, j *structs.WaitingJob) bool {
	a := &p.accounts[c.account]
	return j.Urgency == structs.Urgent && j.Shape.Total() > 0 && a.used+j.Shape.Total() <= a.guaranteed
}

// ownBlockMasks returns, by node, the accelerators of the blocks kept for account a.
// If sameShape is set, only blocks of units that a job of shape s uses count.
func (p *planner) ownBlockMasks(a int, s structs.Shape, sameShape bool) []uint64 {
	within := make([]uint64, len(p.state.Nodes))
	for _, b := range p.ledger.Blocks() {
		if b.Account == a && (!sameShape || guarantee.JobFitsUnit(b.Shape, s)) {
			for _, c := range b.Cells {
				within[c.Node] |= c.Mask
			}
		}
	}
	return within
}

// preempt adds the preemption of the victims to the plan and reserves the place for
// waiting job i.
func (p *planner) preempt(f *preemption.Finder, i int, place *preemption.Place, reason structs.PreemptReason) {
	for _, v := range place.Victims {
		victim := &f.Victims[v]
		if p.stopping[victim.Gang] {
			continue
		}
		p.stopping[victim.Gang] = true
		victim.Cost = 0
		p.plan.Preemptions = append(p.plan.Preemptions, structs.Preemption{
			GangID: p.snap.Running[victim.Gang].ID, ForJob: p.snap.Waiting[i].ID, Reason: reason,
		})
	}
	p.addReservation(i, place.Cells, p.snap.Now+expectedStopTime, true)
}

// reclaimVictims returns the gangs that may be stopped for a claim on a guarantee:
// reclaimable gangs outside their account's guarantee, and those that are already
// stopping.
func (p *planner) reclaimVictims() []preemption.Victim {
	var out []preemption.Victim
	for g := range p.snap.Running {
		r := &p.snap.Running[g]
		if !r.Stopping && (!r.Reclaimable() || p.insideGuarantee(g)) {
			continue
		}
		v := preemption.Victim{Gang: g, Cells: p.cells(g), Shape: r.Shape}
		if !r.Stopping {
			v.Cost = preemption.LostWork(r, p.snap.Now)
		}
		out = append(out, v)
	}
	return out
}

// insideGuarantee reports whether gang g uses a unit of its account's guarantee or
// runs wholly in blocks kept for its account.
func (p *planner) insideGuarantee(g int) bool {
	if p.ledger.Uses == nil {
		return false
	}
	if p.inOwnBlocks == nil {
		p.inOwnBlocks = p.gangsInOwnBlocks()
	}
	return p.ledger.Uses[g] == guarantee.Inside || p.inOwnBlocks[g]
}

// gangsInOwnBlocks marks the gangs that run wholly in blocks kept for their own
// account.
func (p *planner) gangsInOwnBlocks() []bool {
	covered := make([]bool, len(p.snap.Running))
	blocks := make([]map[int]uint64, len(p.accounts))
	for _, b := range p.ledger.Blocks() {
		if blocks[b.Account] == nil {
			blocks[b.Account] = map[int]uint64{}
		}
		for _, c := range b.Cells {
			blocks[b.Account][c.Node] |= c.Mask
		}
	}
	for g := range p.snap.Running {
		a := p.gangAccount[g]
		if a < 0 || blocks[a] == nil {
			continue
		}
		covered[g] = !slices.ContainsFunc(p.cells(g), func(c packing.Cell) bool { return c.Mask&^blocks[a][c.Node] != 0 })
	}
	return covered
}
