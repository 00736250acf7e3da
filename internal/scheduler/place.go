package scheduler

import (
	"slices"
	"time"

	"github.com/parsleypier/parsleypier/internal/scheduler/guarantee"
	"github.com/parsleypier/parsleypier/internal/scheduler/packing"
	"github.com/parsleypier/parsleypier/internal/structs"
)

// maxPlacements bounds the work of one decision when many workers become free
// at once.
const maxPlacements = 512

// shareWeight scales shareExcess into the unit of order keys, the binary
// logarithm of seconds. The key of a job whose account holds twice its fair share
// is raised by shareWeight.
const shareWeight = 0.5

// placeJobs places jobs in queue order until every job class is empty or has a job
// that cannot be placed, or the plan has maxPlacements placements.
func (p *planner) placeJobs() {
	p.updateShares()
	for {
		next, score := -1, 0.0
		for i := range p.jobClasses {
			c := &p.jobClasses[i]
			if c.done {
				continue
			}
			if e, ok := c.best(); ok {
				if s := e.orderKey + shareWeight*p.accounts[c.account].shareExcess; next < 0 || s < score {
					next, score = i, s
				}
			}
		}
		if next < 0 || len(p.plan.Placements) >= maxPlacements {
			return
		}
		p.placeNext(next)
	}
}

// placeNext tries to place the first job of class k. If the job finds no place,
// the class is done for this decision, unless a reclaim for the job has begun.
func (p *planner) placeNext(k int) {
	c := &p.jobClasses[k]
	best, _ := c.best()
	i := int(best.job)
	j := &p.snap.Waiting[i]
	reason, ok := p.placeOrReclaim(c, i)
	if !ok {
		p.plan.WaitReasons[j.ID] = reason
	}
	if !ok && reason != structs.WaitReclaim {
		c.done = true
		if pr := p.reservationPriority(j); pr > 0 && reason != structs.WaitQuota {
			p.unplaced = append(p.unplaced, unplacedJob{classIndex: k, jobIndex: i, priority: pr})
		}
		return
	}
	c.pop()
	p.updateShares()
}

// placeOrReclaim places the job or begins a reclaim for it. ok reports whether it
// was placed; otherwise reason says why the job waits.
func (p *planner) placeOrReclaim(c *jobClass, i int) (reason structs.WaitReason, ok bool) {
	j := &p.snap.Waiting[i]
	if !p.withinQuota(c.account, j.Shape) {
		return structs.WaitQuota, false
	}
	req := p.request(c, j)
	reason = p.shortageReason(j.Shape)
	for _, holds := range p.holdLevels(j) {
		if blocked, ok := p.tryPlace(c, j, &req, holds); ok {
			return "", true
		} else if blocked {
			reason = structs.WaitGuarantee
		}
	}
	if p.reclaim(c, i, p.holds) {
		return structs.WaitReclaim, false
	}
	// As a last resort, a job that claims a guaranteed unit takes capacity that is
	// reserved for jobs only because they have waited long.
	if len(p.reservations) == 0 || !p.ledger.HasUnusedUnit(c.account, j.Shape) {
		return reason, false
	}
	if _, ok := p.tryPlace(c, j, &req, p.preemptHolds); ok {
		return "", true
	}
	if p.reclaim(c, i, p.preemptHolds) {
		return structs.WaitReclaim, false
	}
	return reason, false
}

// tryPlace places the job on capacity outside the holds. blocked reports that the
// job fits only on capacity that a guarantee needs.
func (p *planner) tryPlace(c *jobClass, j *structs.WaitingJob, req *packing.Request, holds []packing.Hold) (blocked, ok bool) {
	req.Holds = holds
	cells := p.chooser.Find(p.state, req)
	if cells == nil {
		return false, false
	}
	inside, allowed := p.ledger.Place(p.change(c.account, j, cells))
	if !allowed {
		req.Holds = p.withOtherBlocks(holds, c.account)
		if cells = p.chooser.Find(p.state, req); cells == nil {
			return true, false
		}
		if inside, allowed = p.ledger.Place(p.change(c.account, j, cells)); !allowed {
			return true, false
		}
	}
	p.addPlacement(c.account, j, cells, inside)
	return false, true
}

// moveRequest returns the request for a new place of a running gang.
func moveRequest(r *structs.RunningGang, k *structs.Kind) packing.Request {
	req := packing.Request{Shape: r.Shape}
	if k != nil {
		req.Classes = k.Classes
	}
	return req
}

func (p *planner) request(c *jobClass, j *structs.WaitingJob) packing.Request {
	return packing.Request{Shape: j.Shape, Classes: c.workerClasses(), ClassCosts: p.workerClassCosts(c), Avoid: j.Avoid, Fixed: !j.Checkpointable}
}

// Weights of the run time lost on slower hardware, relative to the number of
// accelerators that a placement makes unusable for the expected shapes.
const (
	// Urgent jobs take the fastest free worker if completion time weighs more
	// than fragmentation: with urgent jobs on 40% slower workers, the 95th
	// percentile of completion times rose from 408 s to 461 s.
	urgentSpeedWeight = 1000
	speedWeight       = 1
)

// workerClassCosts returns the cost of placing a job of the class on each worker
// class: the time lost on slower hardware plus the position of the class in the
// kind's list of preferred classes.
func (p *planner) workerClassCosts(c *jobClass) map[string]float64 {
	if c.workerClassCosts != nil {
		return c.workerClassCosts
	}
	weight := speedWeight * p.completionWeight
	if c.example.Urgency == structs.Urgent {
		weight = urgentSpeedWeight * max(0, 2*p.completionWeight-1)
	}
	c.workerClassCosts = map[string]float64{}
	for i, name := range c.workerClasses() {
		c.workerClassCosts[name] = float64(i)
	}
	fastest := 0.0
	for _, speed := range p.snap.Speeds[c.example.Kind] {
		fastest = max(fastest, speed)
	}
	for name, speed := range p.snap.Speeds[c.example.Kind] {
		if speed > 0 {
			c.workerClassCosts[name] += weight * (fastest/speed - 1)
		}
	}
	return c.workerClassCosts
}

// change returns the placement of the job as a change to the guarantee ledger.
func (p *planner) change(a int, j *structs.WaitingJob, cells []packing.Cell) *guarantee.Change {
	return &guarantee.Change{Account: a, Shape: j.Shape, Cells: cells, Reclaimable: j.Idempotent || j.Checkpointable}
}

// pendingChange is like change, for a job that starts only when its victims have
// stopped.
func (p *planner) pendingChange(a int, j *structs.WaitingJob, cells []packing.Cell) *guarantee.Change {
	c := p.change(a, j, cells)
	c.Pending = true
	return c
}

// shortageReason returns why the shape finds no place: too few free accelerators,
// or enough of them but fragmented.
func (p *planner) shortageReason(s structs.Shape) structs.WaitReason {
	if p.state.FreeTotal < s.Total() {
		return structs.WaitNoCapacity
	}
	return structs.WaitFragmented
}

// withinQuota reports whether the account stays within its quota and borrowing
// limit if it holds the shape in addition.
func (p *planner) withinQuota(a int, s structs.Shape) bool {
	q, acct := &p.snap.Accounts[a].Quota, &p.accounts[a]
	usedAfter := acct.used + s.Total()
	if q.Accelerators > 0 && usedAfter > q.Accelerators {
		return false
	}
	return q.BorrowingLimit == nil || s.Total() == 0 || usedAfter <= acct.guaranteed+*q.BorrowingLimit
}

// addPlacement adds the placement to the plan and takes its capacity. inside says
// that the job uses a unit of its account's guarantee.
func (p *planner) addPlacement(a int, j *structs.WaitingJob, cells []packing.Cell, inside bool) {
	if j.Checkpointable {
		p.state.TakeMovable(cells, j.Shape)
	} else {
		p.state.Take(cells, j.Shape)
	}
	p.accounts[a].used += j.Shape.Total()
	pl := structs.Placement{
		JobID: j.ID, Members: p.members(cells),
		Borrowed:   !inside && p.accounts[a].used > p.accounts[a].guaranteed,
		Backfilled: p.overlapsReservation(cells),
	}
	p.plan.Placements = append(p.plan.Placements, pl)
}

// holdLevels returns the sets of holds to try for the job: first those of all
// reservations, then only those of reservations that start before the job is
// expected to end, so that the job may backfill the later ones.
func (p *planner) holdLevels(j *structs.WaitingJob) [][]packing.Hold {
	if len(p.reservations) == 0 {
		return [][]packing.Hold{nil}
	}
	levels := [][]packing.Hold{p.holds}
	end := p.snap.Now + p90RunTime(j)
	if slices.ContainsFunc(p.reservations, func(r reservation) bool { return r.start >= end }) {
		levels = append(levels, p.holdsBefore(end))
	}
	return levels
}

// holdsBefore returns the holds of reservations that start before end, or for which
// victims are being stopped.
func (p *planner) holdsBefore(end time.Duration) []packing.Hold {
	holds := make([]packing.Hold, len(p.state.Nodes))
	for i := range p.reservations {
		if r := &p.reservations[i]; r.start < end || r.preempting {
			addHold(holds, r.cells, p.snap.Waiting[r.jobIndex].Shape)
		}
	}
	return holds
}

// addHold adds the capacity of a gang of shape s on the cells to the holds.
func addHold(holds []packing.Hold, cells []packing.Cell, s structs.Shape) {
	for _, c := range cells {
		h := &holds[c.Node]
		h.Mask |= c.Mask
		h.Cores += s.CoresMilli
		h.Memory += s.MemoryMB
		h.Slots++
	}
}

// addReservation reserves the cells for waiting job i. preempting says that
// victims are being stopped for it.
func (p *planner) addReservation(i int, cells []packing.Cell, start time.Duration, preempting bool) {
	if p.holds == nil {
		p.holds = make([]packing.Hold, len(p.state.Nodes))
		p.preemptHolds = make([]packing.Hold, len(p.state.Nodes))
	}
	j := &p.snap.Waiting[i]
	addHold(p.holds, cells, j.Shape)
	if preempting {
		addHold(p.preemptHolds, cells, j.Shape)
	}
	p.reservations = append(p.reservations, reservation{jobIndex: i, cells: cells, start: start, preempting: preempting})
	p.plan.Reservations = append(p.plan.Reservations, structs.Reservation{JobID: j.ID, Members: p.members(cells), Start: start})
}

// overlapsReservation reports whether the cells use reserved accelerators.
func (p *planner) overlapsReservation(cells []packing.Cell) bool {
	if p.holds == nil {
		return false
	}
	return slices.ContainsFunc(cells, func(c packing.Cell) bool { return p.holds[c.Node].Mask&c.Mask != 0 })
}

// withOtherBlocks returns the holds plus the blocks kept for the guarantees of
// other accounts.
func (p *planner) withOtherBlocks(holds []packing.Hold, a int) []packing.Hold {
	out := make([]packing.Hold, len(p.state.Nodes))
	copy(out, holds)
	for _, b := range p.ledger.Blocks() {
		if b.Account == a {
			continue
		}
		for _, c := range b.Cells {
			out[c.Node].Mask |= c.Mask
		}
	}
	return out
}

// probeWorkers places one idempotent job on each idle worker in the probing state.
func (p *planner) probeWorkers() {
	for n := range p.state.Nodes {
		node := &p.state.Nodes[n]
		if node.State == structs.WorkerProbing && p.snap.Workers[n].SlotsUsed == 0 {
			p.probeWorker(n)
		}
	}
}

// probeWorker places a suitable job on node n as a probe: a single-worker idempotent
// job that is not urgent.
func (p *planner) probeWorker(n int) {
	for k := range p.jobClasses {
		c := &p.jobClasses[k]
		best, ok := c.best()
		if !ok || c.example.Shape.Workers != 1 || !c.example.Idempotent || c.example.Urgency == structs.Urgent {
			continue
		}
		i := int(best.job)
		j := &p.snap.Waiting[i]
		req := p.request(c, j)
		req.Probing = true
		cells := p.chooser.Find(p.state, &req)
		if cells == nil || !p.withinQuota(c.account, j.Shape) {
			continue
		}
		inside, ok := p.ledger.Place(p.change(c.account, j, cells))
		if !ok {
			continue
		}
		p.addPlacement(c.account, j, cells, inside)
		last := &p.plan.Placements[len(p.plan.Placements)-1]
		last.Probe = true
		p.state.Nodes[cells[0].Node].Slots = 0
		delete(p.plan.WaitReasons, j.ID)
		p.unplaced = slices.DeleteFunc(p.unplaced, func(cand unplacedJob) bool { return cand.jobIndex == i })
		c.pop()
		return
	}
}
